//! Capacity of workers that changes while they run, and runs that still occupy it.
//!
//! Load pattern: a full fleet whose workers lose and regain a part of their capacity, and
//! whose pool does not check whether a task fits.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Start, StartAnswer};
use hemlocksaddle_types::workflow::Run;
use workflow_support::{Harness, LEASE_MS, best_effort, long_running, step};

/// Guards against a start beyond a capacity that has shrunk, and against room that stays unused
/// once it has grown again.
#[gtest]
fn starts_follow_a_capacity_that_shrinks_and_grows() {
    let mut harness = Harness::with_workers(1, 8_000);
    harness.accept(1, vec![step(4, 1_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.set_capacity(0, 5_000);
    harness.accept(2, vec![step(4, 1_000)]);
    expect_that!(harness.starts().len(), eq(1));
    harness.set_capacity(0, 2_000);
    harness.accept(3, vec![step(4, 1_000)]);
    expect_that!(harness.starts(), is_empty());
    harness.set_capacity(0, 8_000);
    expect_that!(harness.starts().len(), eq(3));
}

/// Guards against a worker that gets new tasks while it is over its capacity, although some end.
#[gtest]
fn a_worker_over_its_capacity_gets_no_task_until_enough_have_ended() {
    let mut harness = Harness::with_workers(1, 8_000);
    harness.accept(1, vec![step(8, 1_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.set_capacity(0, 4_000);
    harness.accept(2, vec![step(8, 1_000)]);
    for start in &starts[..4] {
        harness.end(start, EndKind::Done);
        expect_that!(harness.starts(), is_empty());
    }
    harness.end(&starts[4], EndKind::Done);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a start beside a run that was ordered to stop because another run of its task
/// has completed: it occupies its worker until it has ended.
#[gtest]
fn a_superseded_run_occupies_its_worker_until_it_has_ended() {
    let mut harness = Harness::with_workers(2, 2_000);
    harness.accept(1, vec![step(1, 2_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    harness.advance(10);
    let other = 1 - harness.number_of(&first);
    // The run of an earlier term completes beside the current one.
    let earlier = Start {
        worker: harness.workers[other],
        run: Run(1),
        ..first.clone()
    };
    harness.end(&earlier, EndKind::Done);
    expect_that!(harness.stops().len(), eq(1));
    harness.accept(2, vec![step(2, 2_000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(harness.number_of(&starts[0]), eq(other));
    harness.report_idle(harness.number_of(&first));
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a start beside a run that the worker reports and that is not assigned to it.
#[gtest]
fn a_reported_run_that_is_to_stop_occupies_its_worker() {
    let mut harness = Harness::with_workers(2, 2_000);
    harness.accept(1, vec![step(1, 2_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    let other = 1 - harness.number_of(&start);
    harness.report_running(other, 1, Run(1));
    expect_that!(harness.stops().len(), eq(1));
    harness.accept(2, vec![step(1, 2_000)]);
    expect_that!(harness.starts(), is_empty());
    harness.report_idle(other);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a start on a worker of an unguarded pool that runs a task of unknown size.
#[gtest]
fn an_unguarded_worker_with_an_unknown_run_gets_no_task() {
    let mut harness = Harness::with_workers(1, 8_000);
    harness.unguard_pool();
    harness.report_running(0, 77, Run(1));
    harness.accept(1, vec![step(1, 1_000)]);
    expect_that!(harness.starts(), is_empty());
    harness.report_idle(0);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against starts by an outdated capacity where the worker does not check it: the list of
/// workers cannot be read, so a capacity that has shrunk would not be seen.
#[gtest]
fn an_unguarded_pool_gets_no_task_while_its_workers_cannot_be_listed() {
    for guarded in [true, false] {
        let mut harness = Harness::with_workers(1, 8_000);
        if !guarded {
            harness.unguard_pool();
        }
        harness.advance(LEASE_MS / 2);
        harness.report_idle(0);
        harness.accept(1, vec![step(1, 1_000)]);
        let expected = if guarded { 1 } else { 0 };
        expect_that!(harness.starts().len(), eq(expected));
        harness.set_capacity(0, 8_000);
        expect_that!(harness.starts().len(), eq(1 - expected));
    }
}

/// Guards against a task that waits for its shrunk worker although another has room, and against
/// one that keeps waiting once a worker has regained its capacity.
#[gtest]
fn a_task_that_no_longer_fits_is_placed_elsewhere_or_starts_once_capacity_is_back() {
    for shrunk in 0..2 {
        let mut harness = Harness::with_workers(2, 8_000);
        harness.unguard_pool();
        harness.set_capacity(shrunk, 4_400);
        harness.accept(1, vec![step(2, 6_000)]);
        let starts = harness.starts();
        expect_that!(starts.len(), eq(1));
        expect_that!(harness.number_of(&starts[0]), eq(1 - shrunk));
        harness.set_capacity(1 - shrunk, 4_400);
        harness.end(&starts[0], EndKind::Done);
        expect_that!(harness.starts(), is_empty());
        harness.set_capacity(shrunk, 8_000);
        let starts = harness.starts();
        expect_that!(starts.len(), eq(1));
        expect_that!(harness.number_of(&starts[0]), eq(shrunk));
    }
}

/// Guards against a start in the place of a cancelled run before it has ended, where both would
/// have fitted before the worker shrank.
#[gtest]
fn a_run_that_is_being_stopped_counts_against_the_shrunk_capacity() {
    let mut harness = Harness::with_workers(1, 8_000);
    harness.unguard_pool();
    harness.accept(1, vec![step(1, 3_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    harness.set_capacity(0, 4_400);
    harness.cancel(1);
    expect_that!(harness.stops().len(), eq(1));
    harness.accept(2, vec![step(1, 2_000)]);
    expect_that!(harness.starts(), is_empty());
    harness.end_stopped(0, 1, start.run);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against arithmetic on room below zero: a capacity far below what runs must neither stop
/// runs nor look like a large room, for any kind of task.
#[gtest]
fn a_capacity_far_below_what_runs_starts_and_stops_nothing() {
    for shrunk_milli in [0, 1, 1_000, 3_999] {
        let mut harness = Harness::with_workers(1, 16_000);
        harness.unguard_pool();
        harness.accept(1, vec![long_running(2, 4_000, "serving")]);
        harness.accept(2, vec![step(2, 4_000)]);
        harness.accept(3, vec![best_effort(1, 3_000, "batch")]);
        let starts = harness.starts();
        expect_that!(starts.len(), eq(5));
        harness.answer_all(&starts, StartAnswer::Accepted);
        harness.set_capacity(0, shrunk_milli);
        harness.accept(4, vec![step(1, 1_000)]);
        harness.accept(5, vec![best_effort(1, 6_000, "batch")]);
        harness.accept(6, vec![long_running(1, 1_000, "serving")]);
        for _ in 0..10 {
            harness.report_tails(0, 40);
            expect_that!(harness.starts(), is_empty(), "{shrunk_milli}");
            expect_that!(harness.stops(), is_empty(), "{shrunk_milli}");
            harness.advance(500);
            harness.set_capacity(0, shrunk_milli);
        }
        harness.set_capacity(0, 32_000);
        expect_that!(harness.starts().len(), eq(3), "{shrunk_milli}");
    }
}
