//! Error budget burn report over several nodes.

use std::net::SocketAddr;

use googletest::prelude::*;

use hemlocksaddle_cli::{
    burn::{Severity, combine, render_table},
    page,
};
use hemlocksaddle_types::{
    burn::{Counts, NodeBurn, ServiceBurn},
    clock::WallMs,
    name::ServiceName,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Counts of a node that served 1,000 requests in each window, of which `bad` were bad.
fn node(bad: [u64; 5]) -> NodeBurn {
    let windows = bad.map(|bad| Counts {
        good: 1_000 - bad,
        total: 1_000,
    });
    NodeBurn {
        since_ms: WallMs(1_800_000_000_000),
        services: vec![ServiceBurn {
            service: ServiceName::try_from("orders").expect("valid name"),
            latency_ms: 250,
            success_milli_percent: 99_900,
            window_hours: 720,
            windows: windows.to_vec(),
            objective_window: windows[4],
        }],
    }
}

/// Guards against alerts that fire although only one window exceeds the threshold,
/// or that do not fire at all.
#[gtest]
fn an_alert_needs_both_windows() {
    // Bad requests per window (5m, 30m, 1h, 6h, 3d), expected alert.
    let cases = [
        ([15, 0, 15, 0, 0], Some(Severity::Page)),
        ([15, 0, 14, 0, 0], None),
        ([0, 0, 15, 0, 0], None),
        ([0, 7, 0, 7, 0], Some(Severity::Page)),
        ([0, 0, 0, 2, 2], Some(Severity::Ticket)),
        ([0, 0, 0, 0, 2], None),
        ([0, 0, 0, 0, 0], None),
    ];
    for (bad, expected) in cases {
        let report = combine(&[(address(1), node(bad))], Vec::new());
        expect_that!(
            report.services[0].alert,
            eq(expected),
            "bad requests {bad:?}"
        );
    }
}

/// Guards against a report that omits nodes whose counts are missing, and against
/// error texts that are not escaped in the HTML page.
#[gtest]
fn counts_add_up_and_missing_nodes_are_named() {
    let answered = [
        (address(1), node([1, 1, 1, 1, 1])),
        (address(2), node([0, 0, 0, 0, 0])),
    ];
    let missing = vec![(address(3), String::from("connection refused <b>"))];
    let report = combine(&answered, missing);
    expect_that!(report.services[0].total, eq(2_000));
    expect_that!(report.services[0].good, eq(1_999));
    expect_that!(report.services[0].budget_left, near(0.5, 1e-9));
    expect_that!(
        render_table(&report),
        contains_substring("no counts from 127.0.0.1:3")
    );
    let html = page::render(&report);
    expect_that!(html, contains_substring("connection refused &lt;b&gt;"));
    expect_that!(html, not(contains_substring("<b>")));
}
