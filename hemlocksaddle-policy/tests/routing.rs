//! Request routing, slow executors, admission control and the retry budget.

use googletest::prelude::*;
use hemlocksaddle_policy::{
    admission::{Decision, Queue},
    retry::Budget,
    routing::{Load, Route, ServiceTimeEstimate, choose_route, should_use_slow},
};
use hemlocksaddle_types::clock::Millis;

fn load(free: u32, waiting: u32, slots: u32) -> Load {
    Load {
        free,
        waiting,
        slots,
        mean_ms: 20.0,
    }
}

/// Guards the order of preference: local slot, short local wait, peer with most
/// free slots, shortest queue.
#[googletest::test]
fn routes_follow_the_expected_delay() {
    let cases = [
        (load(1, 0, 8), vec![load(8, 0, 8)], Route::Local),
        (load(0, 0, 64), vec![load(8, 0, 8)], Route::Queue),
        (
            load(0, 0, 8),
            vec![load(1, 0, 8), load(5, 0, 8)],
            Route::Peer(1),
        ),
        (
            load(0, 9, 8),
            vec![load(0, 9, 8), load(0, 2, 8)],
            Route::Peer(1),
        ),
        (
            load(0, 2, 8),
            vec![load(0, 2, 8), load(0, 2, 8)],
            Route::Queue,
        ),
        (
            load(0, 0, 0),
            vec![load(0, 5, 8), load(0, 0, 0)],
            Route::Peer(0),
        ),
        (load(0, 0, 0), vec![load(0, 0, 0)], Route::Unavailable),
    ];
    for (own, peers, expected) in cases {
        for random in 0..4 {
            expect_that!(
                choose_route(&own, &peers, random),
                eq(expected),
                "{own:?} {peers:?}"
            );
        }
    }
}

/// Guards the detection of slow executors by late answers and by missing ones, and their recovery.
#[googletest::test]
fn slow_executors_are_detected_and_recover() {
    let mut answered = ServiceTimeEstimate::default();
    let mut silent = ServiceTimeEstimate::default();
    for n in 0..32 {
        answered.start(n * 60);
        answered.end(n * 60, n * 60 + 60, true);
    }
    (0..8).for_each(|_| silent.start(1_920));
    expect_true!(answered.update_slow(1_920, 20.0));
    expect_false!(silent.update_slow(1_920, 20.0));
    expect_true!(silent.update_slow(2_000, 20.0));
    expect_false!(answered.update_slow(61_920, 20.0));
    expect_true!(should_use_slow(&load(0, 20, 8), 60.0));
    expect_false!(should_use_slow(&load(0, 2, 8), 60.0));
}

/// Guards against admitting requests to a full queue, or requests whose wait does
/// not fit into the deadline.
#[googletest::test]
fn admission_compares_wait_and_deadline() {
    let queue = |waiting, limit| Queue {
        waiting,
        limit,
        slots: 8,
        mean_ms: 20.0,
    };
    let decisions = [
        (queue(0, 32), 100, true),
        (queue(31, 32), 150, true),
        (queue(31, 32), 130, false),
        (queue(32, 32), 10_000, false),
        (queue(1, 32), 30, true),
        (queue(10, 32), 30, false),
    ];
    for (queue, remaining, admitted) in decisions {
        let decision = queue.admit(Millis(remaining));
        expect_that!(
            decision == Decision::Admit,
            eq(admitted),
            "{queue:?} {remaining}"
        );
    }
}

/// Guards the budget: a reserve of 10, then the configured share; hedges leave half of the reserve.
#[googletest::test]
fn extra_sends_are_limited_to_a_share_of_first_sends() {
    let mut budget = Budget::new(10);
    expect_that!((0..20).filter(|_| budget.withdraw_hedge()).count(), eq(5));
    expect_that!((0..20).filter(|_| budget.withdraw()).count(), eq(5));
    let granted = (0..1_000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });
    expect_that!(granted.count(), eq(100));
    expect_false!(Budget::new(0).withdraw());
}
