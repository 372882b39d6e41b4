//! Burn counters: time windows, removed services and the burn rate.

use std::{collections::BTreeSet, sync::Arc};

use googletest::prelude::*;

use hemlocksaddle_node::burn::BurnCounters;
use hemlocksaddle_types::{
    burn::Counts,
    clock::{Millis, WallMs},
    document::{Document, Objective},
    name::{ServiceName, TeamName},
    resources::Resources,
};

const START: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;

fn document(name: &str) -> Document {
    Document {
        service: ServiceName::try_from(name).expect("valid name"),
        team: TeamName::try_from("makers").expect("valid name"),
        data_centres_out: BTreeSet::new(),
        objective: Objective {
            latency_ms: Millis(250),
            success_milli_percent: 99_900,
            window_hours: 24,
        },
        slots: 8,
        connections: 60,
        max_deadline_ms: Millis(10_000),
        executors: Vec::new(),
        quota: Resources::default(),
        text: Arc::from(""),
    }
}

/// Guards against counts that are dropped from a window too early or too late.
#[gtest]
fn requests_leave_each_window_when_it_has_passed() {
    let document = document("orders");
    let burn = BurnCounters::new(WallMs(START));
    for n in 0..10 {
        burn.record(&document.service, WallMs(START), n != 0);
    }
    // Minutes since the requests, totals expected in the five windows.
    let cases = [
        (4, [10, 10, 10, 10, 10]),
        (5, [0, 10, 10, 10, 10]),
        (30, [0, 0, 10, 10, 10]),
        (60, [0, 0, 0, 10, 10]),
        (360, [0, 0, 0, 0, 10]),
        (4_320, [0, 0, 0, 0, 0]),
    ];
    for (minutes, expected) in cases {
        let now = WallMs(START + minutes * MINUTE_MS);
        let report = burn.report(now, &[&document]);
        let totals: Vec<u64> = report.services[0].windows.iter().map(|c| c.total).collect();
        expect_that!(totals, eq(&expected.to_vec()), "after {minutes} minutes");
    }
}

/// Guards against a new service inheriting the counts of a removed service of the same name.
#[gtest]
fn counts_of_a_removed_service_are_dropped() {
    let document = document("orders");
    let burn = BurnCounters::new(WallMs(START));
    burn.record(&document.service, WallMs(START), true);
    expect_that!(burn.report(WallMs(START), &[]).services, is_empty());
    let report = burn.report(WallMs(START), &[&document]);
    expect_that!(report.services[0].objective_window, eq(Counts::default()));
}

/// Guards against a burn rate that deviates from the definition of the error budget.
#[gtest]
fn burn_rate_is_one_when_the_budget_lasts_exactly_the_window() {
    // Good, total, objective in thousandths of a percent, burn rate.
    let cases = [
        (999, 1_000, 99_900, 1.0),
        (1_000, 1_000, 99_900, 0.0),
        (986, 1_000, 99_900, 14.0),
        (0, 0, 99_900, 0.0),
        (99, 100, 99_000, 1.0),
    ];
    for (good, total, objective, expected) in cases {
        let rate = Counts { good, total }.burn_rate(objective);
        expect_that!(rate, near(expected, 1e-6), "{good} of {total}");
    }
    let all_good_required = Counts { good: 9, total: 10 }.burn_rate(100_000);
    expect_true!(all_good_required.is_infinite());
}
