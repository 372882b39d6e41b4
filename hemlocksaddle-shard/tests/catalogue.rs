//! Checks that the catalogues in `docs/` list exactly the events, metrics and reasons of the code.
//!
//! Guards against events that operators cannot look up.

use std::{collections::BTreeSet, fs, path::Path};

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{TenantUse, TenantUses, WaitReason};
use hemlocksaddle_shard::{event::Event, metrics::Metrics};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(name);
    fs::read_to_string(path).expect("page exists")
}

/// First cells of the rows of the table in a section of OPERATIONS.md.
fn operations_table(section: &str) -> BTreeSet<String> {
    let text = page("OPERATIONS.md");
    let from = text.find(section).expect("section exists");
    let section = text[from + section.len()..].split("\n## ").next();
    let rows = section.unwrap_or_default().lines();
    let rows = rows.filter(|line| line.starts_with('|')).skip(2);
    let cells = rows.map(|row| row.trim_matches('|').split('|').next().unwrap_or_default());
    cells.map(|cell| cell.trim().to_owned()).collect()
}

#[gtest]
fn every_reason_to_wait_is_explained_and_no_other() {
    let expected = WaitReason::ALL.iter();
    let expected: BTreeSet<String> = expected.map(|reason| reason.text().to_owned()).collect();
    expect_that!(operations_table("## 4. A task waits"), eq(&expected));
}

#[gtest]
fn every_metric_is_listed_and_no_other() {
    let metrics = Metrics::new().expect("metrics");
    metrics.submissions.with_label_values(&["accepted"]).inc();
    metrics
        .orders
        .with_label_values(&["start", "Accepted"])
        .inc();
    metrics.store_calls.with_label_values(&["read", "ok"]).inc();
    metrics.ends.with_label_values(&["Done"]).inc();
    metrics
        .delegated_calls
        .with_label_values(&["answered"])
        .inc();
    metrics.refused_calls.with_label_values(&["no key"]).inc();
    let recognised = &metrics.recognised_retries;
    recognised.with_label_values(&["node", "unknown"]).inc();
    metrics.waiting_tasks.with_label_values(&["room"]).set(1);
    metrics.unrecovered_s.with_label_values(&["0"]).set(1.0);
    metrics.plan_work.with_label_values(&["plans"]).inc();
    metrics.copies.with_label_values(&["late"]).inc();
    let uses = TenantUses {
        highest: vec![("tenant".into(), TenantUse::default())],
        ..TenantUses::default()
    };
    metrics.tenants.replace(Some(&uses));
    for counter in [&metrics.closed_connections, &metrics.refused_bodies] {
        counter.with_label_values(&["callers", "memory"]).inc();
    }
    for gauge in [&metrics.connection_bytes, &metrics.connection_bytes_left] {
        gauge.with_label_values(&["callers"]).set(1);
    }
    let text = String::from_utf8(metrics.text().expect("text")).expect("text");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let rendered: BTreeSet<String> = types
        .filter_map(|rest| rest.split(' ').next())
        .map(str::to_owned)
        .collect();
    let listed = operations_table("## Counters");
    let listed: BTreeSet<String> = listed
        .iter()
        .map(|cell| cell.trim_matches('`').split('{').next().unwrap_or_default())
        .map(str::to_owned)
        .collect();
    expect_that!(listed, eq(&rendered));
}

#[gtest]
fn every_event_is_in_the_catalogue_and_no_other() {
    let text = page("shard-events.md");
    let rows = text.lines().filter(|line| line.starts_with('|')).skip(2);
    let listed: Vec<(String, String)> = rows
        .map(|row| {
            let mut cells = row.trim_matches('|').split('|').map(str::trim);
            let mut next = || cells.next().unwrap_or_default().to_owned();
            (next(), next())
        })
        .collect();
    let expected = Event::ALL.iter();
    let expected: Vec<(String, String)> = expected
        .map(|event| (event.number().to_string(), event.text().to_owned()))
        .collect();
    expect_that!(listed, eq(&expected));
}
