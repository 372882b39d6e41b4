//! Owners that do not recover: reports, the time that they are given, and who may do better.

use googletest::prelude::*;
use hemlocksaddle_policy::recovery_watch::{Reports, StoreView, recovery_limit};
use hemlocksaddle_types::clock::Millis;

/// Failure: a store that answers one stream no more. Guards against a recovery that nobody sees, and against a log
/// that it fills.
#[gtest]
fn a_recovery_is_reported_after_callers_have_lost_patience_and_at_each_doubling() {
    let mut reports = Reports::default();
    let due: Vec<u64> = (0..=60_000)
        .step_by(250)
        .filter(|&waited| reports.is_due(Millis(waited)))
        .collect();
    expect_that!(
        due,
        elements_are![&3_000, &6_000, &12_000, &24_000, &48_000]
    );
    // An owner whose process was paused reports once.
    let mut late = Reports::default();
    expect_that!(late.is_due(Millis(13_000)), eq(true));
    expect_that!(late.is_due(Millis(13_250)), eq(false));
}

/// Load: 2,400 workers over 2 Mbit/s, whose sound recovery takes 15.5 s, and 490, with 8 s. Failure: owners that do
/// not recover. Guards against a sound recovery that is given up, and against two nodes that hand a shard back and
/// forth for ever.
#[gtest]
fn an_owner_gets_twice_the_time_of_its_unrecovered_predecessor() {
    let cases = [
        (2_000, 1, 18_000),
        (2_000, 2, 36_000),
        (200_000, 0, 6_120),
        (200_000, 1, 6_120),
        (200_000, 2, 12_240),
        (200_000, 5, 97_920),
        (200_000, 6, 120_000),
        (0, u32::MAX, 120_000),
    ];
    for (link_kbps, terms, limit) in cases {
        let case = format!("{link_kbps} kbit/s, {terms} terms");
        expect_that!(
            recovery_limit(link_kbps, terms),
            eq(Millis(limit)),
            "{case}"
        );
    }
}

/// Failure: a store that is slow for one node or for all. Guards against a hand-over to a node that waits as long.
#[gtest]
fn a_node_may_do_better_if_the_store_answers_it_sooner() {
    let view = |latency, failing_for| StoreView {
        latency: Millis(latency),
        failing_for: Millis(failing_for),
    };
    let cases = [
        ("slow for the owner", view(400, 0), Some(view(4, 0)), true),
        ("slow for both", view(400, 0), Some(view(300, 0)), false),
        ("fast for both", view(4, 0), Some(view(6, 0)), true),
        (
            "fails for the other",
            view(400, 0),
            Some(view(4, 400)),
            false,
        ),
        (
            "fails for the owner",
            view(20, 400),
            Some(view(300, 0)),
            true,
        ),
        ("fails for both", view(20, 400), Some(view(20, 400)), false),
        ("not known of an earlier version", view(400, 0), None, true),
    ];
    for (case, owner, other, expected) in cases {
        expect_that!(owner.may_be_better(other), eq(expected), "{case}");
    }
}
