//! Runs whose worker was silent until its lease had expired, and that ended in the meantime.
//!
//! Load pattern: the owner's link or a worker's link is congested for longer than a lease. A run
//! completes, its end cannot be reported, and the task is started again elsewhere.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Phase, Start, StartAnswer};
use hemlocksaddle_types::workflow::State;
use workflow_support::{Harness, LEASE_MS, step};

/// Returns the first run of a task, on a worker that is silent past its lease, and the second.
fn restarted(harness: &mut Harness) -> (Start, Start) {
    harness.accept(1, vec![step(1, 1_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    harness.silence(first.worker);
    harness.advance(LEASE_MS + 100);
    let second = harness.starts().remove(0);
    harness.answer(&second, StartAnswer::Accepted);
    // The order and the report that follows it renew the lease of the second worker.
    harness.report_running(harness.number_of(&second), 1, second.run);
    (first, second)
}

fn acknowledged_ends(harness: &Harness, start: &Start) -> u64 {
    let worker = harness.scheduler.worker(start.worker);
    worker.expect("worker").saved_ends
}

/// Guards against a completed run that is acknowledged although its task was started again: the
/// task would have completed once and run twice.
#[gtest]
fn the_end_of_a_run_is_not_acknowledged_after_its_task_was_started_again() {
    let mut harness = Harness::with_workers(2, 16_000);
    let (first, second) = restarted(&mut harness);
    harness.end(&first, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(0));
    expect_that!(
        harness.phase(1, 0),
        pat!(Phase::Running {
            worker: eq(second.worker),
            ..
        })
    );
    expect_that!(harness.stops(), is_empty());
    harness.end(&second, EndKind::Done);
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Completed)));
    expect_that!(acknowledged_ends(&harness, &second), eq(1));
    harness.list_ends_again(&first, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(0));
}

/// Guards against a second run of a task whose completed run is reported just before it starts again.
#[gtest]
fn the_end_of_a_run_is_acknowledged_if_its_task_was_not_started_again() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    harness.silence(first.worker);
    harness.advance(LEASE_MS + 100);
    let second = harness.starts().remove(0);
    harness.answer(&second, StartAnswer::NoRoom);
    harness.end(&first, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(1));
    expect_that!(harness.state(1), some(eq(State::Completed)));
}

/// Guards against a worker whose ends are kept back although its lease has expired since: the
/// expired lease ended all runs of that time.
#[gtest]
fn ends_are_acknowledged_again_after_a_run_lapsed() {
    let mut harness = Harness::with_workers(2, 16_000);
    let (first, _) = restarted(&mut harness);
    harness.end(&first, EndKind::Done);
    harness.accept(2, vec![step(1, 1_000)]);
    let other = harness.starts().remove(0);
    let on_first = Start {
        worker: first.worker,
        ..other
    };
    harness.end(&on_first, EndKind::Lapsed);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(2));
}

/// Guards against a successor that acknowledges the end that its predecessor kept back.
#[gtest]
fn a_successor_knows_which_tasks_were_started_again() {
    let mut harness = Harness::with_workers(2, 16_000);
    let (first, second) = restarted(&mut harness);
    harness.end(&second, EndKind::Done);
    let progress = harness.save();
    let mut successor = Harness::unreported(2, 16_000, 10_000);
    successor.accept_inherited(1, vec![step(1, 1_000)]);
    successor.restore(progress);
    successor.end(&first, EndKind::Done);
    successor.save();
    expect_that!(acknowledged_ends(&successor, &first), eq(0));
    expect_that!(successor.state(1), some(eq(State::Completed)));
}

/// Guards against a successor that starts inherited tasks without a worker's report and then
/// acknowledges the end of the predecessor's run on it.
#[gtest]
fn a_successor_keeps_back_ends_of_tasks_that_it_started_without_a_report() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.report_idle(0);
    harness.advance(10_100);
    harness.report_idle(0);
    let second = harness.starts().remove(0);
    harness.answer(&second, StartAnswer::Accepted);
    let first = Start {
        worker: harness.workers[1],
        run: hemlocksaddle_types::workflow::Run(1),
        ..second.clone()
    };
    harness.end(&first, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(0));
    expect_that!(
        harness.phase(1, 0),
        pat!(Phase::Running {
            worker: eq(second.worker),
            ..
        })
    );
}

/// Loses the second run of a task as well, and returns it with the order to start the third.
fn lost_twice(harness: &mut Harness) -> (Start, Start, Start) {
    let (first, second) = restarted(harness);
    harness.silence(second.worker);
    harness.advance(LEASE_MS + 100);
    harness.report_idle(2);
    let third = harness.starts().remove(0);
    (first, second, third)
}

/// Guards against the end of a second lost run that is acknowledged beside a third run.
#[gtest]
fn no_lost_run_is_acknowledged_after_a_third_start() {
    let mut harness = Harness::with_workers(3, 16_000);
    let (first, second, third) = lost_twice(&mut harness);
    harness.answer(&third, StartAnswer::Accepted);
    harness.end(&second, EndKind::Done);
    harness.end(&first, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(0));
    expect_that!(acknowledged_ends(&harness, &second), eq(0));
    expect_that!(
        harness.phase(1, 0),
        pat!(Phase::Running {
            worker: eq(third.worker),
            ..
        })
    );
}

/// Guards against a refused third start that makes the end of the first run acknowledged, although
/// the second run has begun.
#[gtest]
fn a_refused_start_changes_nothing_for_earlier_runs() {
    let mut harness = Harness::with_workers(3, 16_000);
    let (first, second, third) = lost_twice(&mut harness);
    harness.answer(&third, StartAnswer::NoRoom);
    harness.end(&first, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(0));
    harness.end(&second, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &second), eq(1));
    expect_that!(harness.state(1), some(eq(State::Completed)));
}
