//! Tasks that wait behind others that cannot be started.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Start, StartAnswer};
use hemlocksaddle_types::workflow::Step;
use workflow_support::{Harness, LEASE_MS, long_running, step};

/// Interval at which short tasks end.
const END_INTERVAL_MS: u64 = 100;

/// Time within which an interrupted task has to run again: the platform's limits on its wait.
const RESTART_WITHIN_MS: u64 = 9_000;

/// Id of the workflow whose start is awaited.
const AWAITED: u64 = 1;

/// Id of the workflow of short tasks.
const SHORT: u64 = 2;

/// Id of the workflow of the tasks that wait longest.
const AHEAD: u64 = 3;

/// Plans and accepts the starts.
fn start_all(harness: &mut Harness) -> Vec<Start> {
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    starts
}

/// Ends one short task at each interval; returns the time until the awaited workflow starts.
fn wait_for_start(harness: &mut Harness, limit_ms: u64) -> Option<u64> {
    let mut running: Vec<Start> = Vec::new();
    for waited_ms in (0..=limit_ms).step_by(END_INTERVAL_MS as usize) {
        let starts = start_all(harness);
        if starts.iter().any(|start| start.name.workflow.0 == AWAITED) {
            return Some(waited_ms);
        }
        let is_short = |start: &Start| start.name.workflow.0 == SHORT;
        running.extend(starts.into_iter().filter(is_short));
        for start in running.drain(..1.min(running.len())) {
            harness.end(&start, EndKind::Done);
        }
        harness.save();
        harness.advance(END_INTERVAL_MS);
    }
    None
}

/// Load pattern: many long-running tasks are interrupted by a worker that shrinks for good. Guards
/// against other interrupted tasks that are never looked at, because those fit nowhere.
#[gtest]
fn an_interrupted_task_is_served_although_many_before_it_can_never_be_placed() {
    let mut harness = Harness::with_workers(8, 16_000);
    harness.set_capacity(0, 600_000);
    harness.accept(AHEAD, vec![long_running(16, 30_000, "a")]);
    let ahead = start_all(&mut harness);
    expect_that!(ahead.len(), eq(16));
    harness.accept(AWAITED, vec![long_running(1, 4_000, "a")]);
    let awaited = start_all(&mut harness);
    ahead
        .iter()
        .for_each(|start| harness.end(start, EndKind::Failed));
    harness.set_capacity(0, 16_000);
    harness.advance(10);
    harness.end(&awaited[0], EndKind::Failed);
    harness.accept(SHORT, vec![step(4_000, 4_000)]);
    let waited = wait_for_start(&mut harness, RESTART_WITHIN_MS);
    expect_that!(waited, some(anything()));
}

/// Load pattern: several large long-running tasks and a small one are interrupted on full workers.
/// Guards against a small one that gets none of the pieces that become free, because a worker is
/// already held for a large one and the next large one fits nowhere.
#[gtest]
fn an_interrupted_task_that_fits_is_served_while_larger_ones_wait_for_a_held_worker() {
    let mut harness = Harness::with_workers(8, 16_000);
    harness.accept(AHEAD, vec![long_running(7, 16_000, "a")]);
    let ahead = start_all(&mut harness);
    expect_that!(ahead.len(), eq(7));
    harness.accept(AWAITED, vec![long_running(1, 4_000, "a")]);
    let awaited = start_all(&mut harness);
    harness.accept(SHORT, vec![step(4_000, 4_000)]);
    ahead
        .iter()
        .for_each(|start| harness.end(start, EndKind::Failed));
    harness.advance(10);
    harness.end(&awaited[0], EndKind::Failed);
    let waited = wait_for_start(&mut harness, RESTART_WITHIN_MS);
    expect_that!(waited, some(anything()));
}

/// Gang of which all but one task fit, and a short task behind it.
fn gang_that_does_not_fit() -> Harness {
    let mut harness = Harness::with_workers(4, 16_000);
    harness.accept(SHORT, vec![step(1, 8_000)]);
    start_all(&mut harness);
    let gang = Step {
        gang: true,
        ..step(4, 12_000)
    };
    harness.accept(AHEAD, vec![gang]);
    harness
}

/// Load pattern: a gang waits for room while the start orders in flight are near their limit. Guards
/// against short tasks behind it that never start, because each attempt to place the gang uses up the
/// limit.
#[gtest]
fn a_gang_that_fits_nowhere_leaves_the_start_budget_to_others() {
    let mut harness = gang_that_does_not_fit();
    harness.accept(AWAITED, vec![step(1, 2_000)]);
    harness.scheduler.set_start_budget(3);
    expect_that!(harness.starts().len(), eq(1));
}

/// Load pattern: a gang waits for room for the time of a few thousand plans. Guards against run numbers
/// of a later term, which a successor uses again.
#[gtest]
fn a_gang_that_fits_nowhere_uses_no_run_numbers() {
    let mut harness = gang_that_does_not_fit();
    harness.starts();
    for _ in 0..50 {
        harness.advance(4);
        expect_that!(harness.starts(), is_empty());
    }
    harness.set_capacity(0, 24_000);
    harness.set_capacity(1, 24_000);
    harness.set_capacity(2, 24_000);
    harness.set_capacity(3, 24_000);
    let runs: Vec<u64> = harness.starts().iter().map(|start| start.run.0).collect();
    expect_that!(runs, all![len(eq(4)), each(eq(&4_097))]);
}

/// Fills the workers of a new owner with short tasks and waits for the inherited long-running task.
fn wait_after_a_change_of_owner(mut before: Harness) -> Option<u64> {
    let progress = before.save();
    let mut harness = Harness::unreported(8, 16_000, 0);
    harness.accept_inherited(AWAITED, vec![long_running(1, 8_000, "a")]);
    harness.restore(progress);
    harness.accept(SHORT, vec![step(4_000, 4_000)]);
    for number in 0..8 {
        harness.report_idle(number);
    }
    wait_for_start(&mut harness, RESTART_WITHIN_MS)
}

/// Scheduler with the awaited task at work, and its start.
fn running_before() -> (Harness, Start) {
    let mut before = Harness::with_workers(8, 16_000);
    before.accept(AWAITED, vec![long_running(1, 8_000, "a")]);
    let first = start_all(&mut before).remove(0);
    (before, first)
}

/// Load pattern: a worker crashes, then the owner changes, on a fleet full of short tasks. Guards
/// against an interrupted task that counts as one that never ran.
#[gtest]
fn a_task_interrupted_by_a_crash_gets_back_a_place_after_a_change_of_owner() {
    let (mut before, first) = running_before();
    before.crash(&first, 500);
    expect_that!(wait_after_a_change_of_owner(before), some(anything()));
}

/// Load pattern: a lease lapses, then the owner changes, on a fleet full of short tasks. Guards
/// against an interrupted task that counts as one that never ran.
#[gtest]
fn a_task_interrupted_by_a_lapsed_lease_gets_back_a_place_after_a_change_of_owner() {
    let (mut before, first) = running_before();
    before.end(&first, EndKind::Lapsed);
    expect_that!(wait_after_a_change_of_owner(before), some(anything()));
}

/// Load pattern: a worker stays silent until its lease has expired, then the owner changes, on a fleet
/// full of short tasks. Guards against an interrupted task that counts as one that never ran.
#[gtest]
fn a_task_interrupted_by_a_silent_worker_gets_back_a_place_after_a_change_of_owner() {
    let (mut before, first) = running_before();
    before.silence(first.worker);
    before.advance(LEASE_MS + 100);
    before.starts();
    expect_that!(wait_after_a_change_of_owner(before), some(anything()));
}

/// Time within which a task has to start for which two times its demand is free.
const START_WITHIN_MS: u64 = 3_000;

/// Queues up short tasks on 48 full workers, of which pairs end all the time.
fn full_fleet() -> (Harness, Vec<Start>) {
    let mut harness = Harness::with_workers(48, 16_000);
    harness.accept(SHORT, vec![step(4_000, 8_000)]);
    let running = start_all(&mut harness);
    (harness, running)
}

/// Replaces pairs of short tasks for a time; returns when tasks of other workflows start.
fn replace_pairs(harness: &mut Harness, running: &mut Vec<Start>, limit_ms: u64) -> Vec<u64> {
    let mut started_ms = Vec::new();
    for waited_ms in (0..=limit_ms).step_by(END_INTERVAL_MS as usize) {
        for start in running.drain(..2) {
            harness.end(&start, EndKind::Done);
        }
        harness.save();
        for start in start_all(harness) {
            if start.name.workflow.0 == SHORT {
                running.push(start);
            } else {
                started_ms.push(waited_ms);
            }
        }
        harness.advance(END_INTERVAL_MS);
    }
    started_ms
}

/// Load pattern: short tasks queue up without a pause on a small fleet, and several long-running
/// workflows arrive. Guards against all but the first that wait for 12.5 s each, while room for two of
/// their tasks becomes free all the time.
#[gtest]
fn several_new_long_running_workflows_start_although_short_tasks_keep_waiting() {
    let (mut harness, mut running) = full_fleet();
    for id in 10..13 {
        harness.accept(id, vec![long_running(1, 8_000, "a")]);
    }
    let started_ms = replace_pairs(&mut harness, &mut running, 2 * START_WITHIN_MS);
    expect_that!(started_ms, all![len(eq(3)), each(le(&START_WITHIN_MS))]);
}

/// Load pattern: short tasks queue up without a pause, and a gang of long-running tasks arrives. Guards
/// against a gang that never starts, although two times its demand becomes free again and again.
#[gtest]
fn a_long_running_gang_starts_although_short_tasks_keep_waiting() {
    let (mut harness, mut running) = full_fleet();
    let gang = Step {
        gang: true,
        ..long_running(2, 4_000, "a")
    };
    harness.accept(10, vec![gang]);
    let started_ms = replace_pairs(&mut harness, &mut running, 2 * START_WITHIN_MS);
    expect_that!(started_ms, all![len(eq(2)), each(le(&START_WITHIN_MS))]);
}

/// Load pattern: the owner changes again and again on a fleet full of short tasks. Guards against an
/// interrupted task whose wait begins anew with each owner.
#[gtest]
fn an_interrupted_task_is_served_at_once_after_a_change_of_owner() {
    let (mut before, first) = running_before();
    before.end(&first, EndKind::Stopped);
    let waited = wait_after_a_change_of_owner(before);
    expect_that!(waited, some(lt(START_WITHIN_MS)));
}
