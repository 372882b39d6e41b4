//! Idle connections to workers, repeats of unanswered orders and additional reports.

use googletest::prelude::*;
use hemlocksaddle_policy::worker_connections::{ExtraReports, IdleRules, UnansweredOrders};
use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Limit of open connections at a worker.
const WORKER_LIMIT: usize = 64;

/// Time for which a worker holds an order that it does not answer.
const HELD_MS: u64 = 20_000;

/// Load: eight orders to a worker that leaves all unanswered for 20 s, each repeated every 400 ms as long as
/// allowed. Guards against repeats that keep more connections open than the worker takes, which it resets together
/// with those of other calls.
#[gtest]
fn repeats_to_a_worker_that_answers_nothing_stay_below_its_limit() {
    let mut orders = UnansweredOrders::default();
    let mut sent = Vec::new();
    for at in (0..60_000).step_by(400) {
        let now = MonoMs(at);
        for _ in 0..8 {
            if at == 0 || orders.take_repeat(now) {
                sent.push(at);
                orders.record_lost(now);
            }
        }
        let held = sent.iter().filter(|&&sent_at| at - sent_at < HELD_MS);
        let idle = IdleRules::default().max_idle;
        assert_that!(held.count() + idle, lt(WORKER_LIMIT), "at {at} ms");
    }
}

/// Load: a worker that answers again after it has left many orders unanswered. Guards against orders that are held
/// back although the worker carries them out.
#[gtest]
fn repeats_go_on_at_once_when_the_worker_answers_again() {
    let mut orders = UnansweredOrders::default();
    let now = MonoMs(1_000);
    (0..100).for_each(|_| orders.record_lost(now));
    expect_true!(orders.take_repeat(now));
    expect_false!(orders.take_repeat(now));
    orders.record_answer();
    expect_true!(orders.take_repeat(now));
    expect_true!(orders.take_repeat(now));
    // Unanswered again: the earlier ones still count.
    orders.record_lost(now);
    expect_false!(orders.take_repeat(now));
    expect_true!(orders.is_empty(now + Millis(HELD_MS)));
    expect_true!(orders.take_repeat(now + Millis(HELD_MS)));
}

/// Failure: one order of several is lost, as by a middlebox that forgets one connection. Guards against closing
/// connections that are known to work, each of which has to be opened again.
#[gtest]
fn connections_that_answered_since_the_lost_call_are_kept() {
    let rules = IdleRules::default();
    expect_true!(rules.survives_lost_call(Millis(399), Millis(400)));
    expect_false!(rules.survives_lost_call(Millis(400), Millis(400)));
    expect_false!(rules.survives_lost_call(Millis(2_000), Millis(400)));
}

/// Load: sixteen runs on one worker that are stopped at once, each followed by a request for a report. Guards
/// against a connection for each, and against an event that no later report covers.
#[gtest]
fn reports_that_are_asked_for_together_are_requested_once_more_at_most() {
    let mut reports = ExtraReports::default();
    let asked = (0..16).filter(|_| reports.ask()).count();
    expect_that!(asked, eq(1));
    expect_true!(reports.ended());
    expect_false!(reports.ended());
    expect_true!(reports.ask());
    expect_false!(reports.ended());
}
