//! Long-running tasks that wait while short tasks arrive without a pause.
//!
//! Load pattern: a full fleet whose short tasks come back in waves or queue up, so that all
//! capacity that becomes free has a short task waiting for it.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Start, StartAnswer};
use hemlocksaddle_types::workflow::Step;
use workflow_support::{Harness, long_running, step};

/// Time within which a task has to start for which two times its demand is free.
const START_WITHIN_MS: u64 = 3_000;

/// Interval at which short tasks end in pairs.
const PAIR_ENDS_MS: u64 = 100;

/// Id of the workflow with the long-running task.
const LONG_RUNNING: u64 = 1;

/// Plans, and accepts the starts; returns those of short tasks and whether the long-running task started.
fn start_all(harness: &mut Harness) -> (Vec<Start>, bool) {
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    let (long, short): (Vec<_>, Vec<_>) = starts
        .into_iter()
        .partition(|start| start.name.workflow.0 == LONG_RUNNING);
    (short, !long.is_empty())
}

/// Queues up short tasks on full workers, then a long-running one; the pairs of short tasks that end
/// are replaced at once. Returns the time that the long-running task waited, or `None`.
fn wait_behind_short_tasks(queue_of_long_running: &str) -> Option<u64> {
    let mut harness = Harness::with_workers(4, 16_000);
    harness.accept(2, vec![step(400, 8_000)]);
    let (mut running, _) = start_all(&mut harness);
    harness.accept_in(
        LONG_RUNNING,
        queue_of_long_running,
        vec![long_running(1, 8_000, "a")],
    );
    for waited_ms in (0..=2 * START_WITHIN_MS).step_by(PAIR_ENDS_MS as usize) {
        for start in running.drain(..2) {
            harness.end(&start, EndKind::Done);
        }
        harness.save();
        let (started, long_running_started) = start_all(&mut harness);
        if long_running_started {
            return Some(waited_ms);
        }
        running.extend(started);
        harness.advance(PAIR_ENDS_MS);
    }
    None
}

/// Guards against a long-running task that never starts although capacity for two of it becomes free
/// again and again, because short tasks of its priority always wait as well.
#[gtest]
fn a_long_running_task_starts_although_short_tasks_keep_waiting() {
    expect_that!(wait_behind_short_tasks("queue"), some(le(START_WITHIN_MS)));
}

/// Guards against a long-running task of a less urgent queue that never starts although capacity for
/// two of it becomes free again and again.
#[gtest]
fn a_long_running_task_of_a_later_queue_starts_although_short_tasks_keep_waiting() {
    expect_that!(wait_behind_short_tasks("later"), some(le(START_WITHIN_MS)));
}

/// Guards against a long-running task that waits beside a worker with room for two of it, because that
/// worker is the only one and short tasks use it in waves.
#[gtest]
fn one_worker_with_room_for_two_suffices_for_a_long_running_task() {
    let mut harness = Harness::with_workers(1, 16_000);
    let mut waited_ms = 0;
    for wave in 0..10 {
        harness.accept(10 + wave, vec![step(2, 8_000)]);
        let (short, _) = start_all(&mut harness);
        if wave == 0 {
            harness.accept(LONG_RUNNING, vec![long_running(1, 8_000, "a")]);
        }
        harness.advance(PAIR_ENDS_MS);
        waited_ms += PAIR_ENDS_MS;
        expect_that!(start_all(&mut harness).1, eq(false));
        short
            .iter()
            .for_each(|start| harness.end(start, EndKind::Done));
        harness.save();
        for _ in 0..4 {
            let (_, started) = start_all(&mut harness);
            if started {
                expect_that!(waited_ms, le(START_WITHIN_MS));
                return;
            }
            harness.advance(PAIR_ENDS_MS);
            waited_ms += PAIR_ENDS_MS;
        }
    }
    fail!("never started").and_log_failure();
}

/// Time within which an interrupted task has to run again: the platform's limits on its wait.
const RESTART_WITHIN_MS: u64 = 9_000;

/// Fills workers with one long-running task each, on which short tasks leave no room, and fails some of
/// them. Short tasks wait for all that becomes free.
fn interrupt(harness: &mut Harness, long_running_milli: u64, interrupted: usize) -> Vec<Start> {
    let workers = u32::try_from(harness.workers.len()).expect("few workers");
    let limited = Step {
        max_per_worker: 1,
        ..long_running(workers, long_running_milli, "a")
    };
    harness.accept(LONG_RUNNING, vec![limited]);
    let long = harness.starts();
    harness.answer_all(&long, StartAnswer::Accepted);
    harness.accept(2, vec![step(4_000, 4_000)]);
    let (running, _) = start_all(harness);
    long[..interrupted]
        .iter()
        .for_each(|start| harness.end(start, EndKind::Failed));
    running
}

/// Ends the short task that started first; returns how many long-running tasks started.
fn end_one_short(harness: &mut Harness, running: &mut Vec<Start>) -> usize {
    let ended = running.remove(0);
    harness.end(&ended, EndKind::Done);
    harness.save();
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    let (long, short): (Vec<_>, Vec<_>) = starts
        .into_iter()
        .partition(|start| start.name.workflow.0 == LONG_RUNNING);
    running.extend(short);
    long.len()
}

/// Guards against a long-running task that fails and then waits for tens of seconds, because no worker
/// ever has as much free at once as it had: short tasks take each piece that becomes free.
#[gtest]
fn an_interrupted_task_gets_back_a_place_that_short_tasks_have_taken() {
    let mut harness = Harness::with_workers(8, 16_000);
    let mut running = interrupt(&mut harness, 8_000, 1);
    for _ in (0..RESTART_WITHIN_MS).step_by(PAIR_ENDS_MS as usize) {
        if end_one_short(&mut harness, &mut running) > 0 {
            return;
        }
        harness.advance(PAIR_ENDS_MS);
    }
    fail!("never started again").and_log_failure();
}

/// Guards against an interrupted task that loses its claim to a place with a change of owner.
#[gtest]
fn an_interrupted_task_gets_back_its_place_after_a_change_of_owner() {
    let mut before = Harness::with_workers(8, 16_000);
    before.accept(LONG_RUNNING, vec![long_running(1, 8_000, "a")]);
    let first = before.starts().remove(0);
    before.answer(&first, StartAnswer::Accepted);
    before.end(&first, EndKind::Failed);
    let progress = before.save();
    let mut harness = Harness::unreported(8, 16_000, 0);
    harness.accept_inherited(LONG_RUNNING, vec![long_running(1, 8_000, "a")]);
    harness.restore(progress);
    harness.accept(2, vec![step(4_000, 4_000)]);
    for number in 0..8 {
        harness.report_idle(number);
    }
    let (mut running, started_at_once) = start_all(&mut harness);
    if started_at_once {
        return;
    }
    for _ in (0..RESTART_WITHIN_MS).step_by(PAIR_ENDS_MS as usize) {
        if end_one_short(&mut harness, &mut running) > 0 {
            return;
        }
        harness.advance(PAIR_ENDS_MS);
    }
    fail!("never started again").and_log_failure();
}

/// Load pattern: many long-running tasks interrupted at once. Guards against short tasks that get
/// nothing until all of them run again.
#[gtest]
fn short_tasks_keep_most_of_what_becomes_free_while_many_tasks_are_interrupted() {
    let mut harness = Harness::with_workers(64, 16_000);
    let mut running = interrupt(&mut harness, 4_000, 48);
    let (mut long_started, mut short_ended) = (0, 0);
    for _ in 0..400 {
        long_started += end_one_short(&mut harness, &mut running);
        short_ended += 1;
        harness.advance(20);
    }
    expect_that!(long_started, all!(gt(16), lt(short_ended / 8)));
}

/// Load pattern: a tenth of the fleet leaves, so that many long-running tasks are interrupted at once,
/// and every piece that becomes free is too small for them. Guards against tasks that get their places
/// one after the other, the last after tens of seconds.
#[gtest]
fn many_interrupted_tasks_get_places_at_once_where_no_piece_is_large_enough() {
    const INTERRUPTED: usize = 12;
    let mut harness = Harness::with_workers(64, 16_000);
    let mut running = interrupt(&mut harness, 8_000, INTERRUPTED);
    let mut long_started = 0;
    for _ in (0..RESTART_WITHIN_MS).step_by(10) {
        long_started += end_one_short(&mut harness, &mut running);
        harness.advance(10);
    }
    expect_that!(long_started, eq(INTERRUPTED));
}

/// Load pattern: a change of owner on a narrow link, with few start orders at once, free capacity, hundreds
/// of short tasks, and long-running tasks that the predecessor left waiting. Guards against long-running
/// tasks that start one by one after short ones, and against short ones that get no start meanwhile.
#[gtest]
fn interrupted_tasks_get_half_of_scarce_start_orders_after_a_change_of_owner() {
    let mut before = Harness::with_workers(20, 16_000);
    before.accept(LONG_RUNNING, vec![long_running(60, 1_000, "a")]);
    let starts = before.starts();
    assert_that!(starts.len(), eq(60));
    before.answer_all(&starts, StartAnswer::Accepted);
    for start in &starts {
        before.end(start, EndKind::Stopped);
    }
    let progress = before.save();
    let mut harness = Harness::unreported(20, 16_000, 0);
    harness.accept(2, vec![step(400, 100)]);
    harness.accept_inherited(LONG_RUNNING, vec![long_running(60, 1_000, "a")]);
    harness.restore(progress);
    (0..20).for_each(|number| harness.report_idle(number));
    let mut long_started = 0;
    for _ in 0..8 {
        harness.scheduler.set_start_budget(16);
        let starts = harness.starts();
        harness.answer_all(&starts, StartAnswer::Accepted);
        let is_long = |start: &&Start| start.name.workflow.0 == LONG_RUNNING;
        let long = starts.iter().filter(is_long).count();
        expect_that!(starts.len() - long, ge(7));
        long_started += long;
        harness.advance(50);
    }
    expect_that!(long_started, eq(60));
}

/// Load pattern: a change of owner on a narrow link while new short tasks arrive. Guards against starts of
/// new work that delay the first reports, for which inherited tasks wait, and against orders that are kept
/// back for workers which do not answer.
#[gtest]
fn start_orders_are_kept_back_while_first_reports_are_due() {
    let mut harness = Harness::unreported(40, 16_000, 10_000);
    harness.accept(2, vec![step(400, 100)]);
    let starts = |harness: &mut Harness| {
        harness.scheduler.set_start_budget(32);
        let starts = harness.starts();
        harness.answer_all(&starts, StartAnswer::Accepted);
        harness.advance(10);
        starts.len()
    };
    (0..10).for_each(|number| harness.report_idle(number));
    expect_that!(starts(&mut harness), eq(16));
    (10..30).for_each(|number| harness.report_idle(number));
    expect_that!(starts(&mut harness), eq(22));
    (30..39).for_each(|number| harness.report_idle(number));
    expect_that!(starts(&mut harness), eq(31));
    harness.silence(harness.workers[39]);
    expect_that!(starts(&mut harness), eq(32));
}
