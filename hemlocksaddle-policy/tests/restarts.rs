//! Workers that start again under their name.
//!
//! Load pattern: a worker's process ends and another takes its name and address, while starts are on
//! their way. An order to start names only the worker, so that either process may carry it out.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Phase, Start, StartAnswer};
use hemlocksaddle_types::workflow::{Run, TaskName, WorkflowId};
use workflow_support::{Harness, step};

/// Harness with a task whose start was ordered; another worker has room for it.
fn ordered() -> (Harness, Start) {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    (harness, start)
}

/// Replaces the worker of a start by a later process that has answered.
fn reborn(harness: &mut Harness, start: &Start) -> usize {
    let number = harness.number_of(start);
    let now = harness.now();
    harness.workers[number] = harness.scheduler.worker_reborn(start.worker, 2, now);
    // A suspect is started again once its crash is durable.
    harness.save();
    harness.advance(1);
    number
}

fn stop_of(start: &Start) -> (TaskName, Run) {
    (start.name, start.run)
}

/// Guards against a second run of a task that the later process had accepted.
#[gtest]
fn a_run_that_no_report_has_listed_stays_assigned_until_the_later_process_reports() {
    let (mut harness, start) = ordered();
    harness.answer(&start, StartAnswer::Accepted);
    let number = reborn(&mut harness, &start);
    expect_that!(harness.starts(), is_empty());
    harness.report_running(number, 1, start.run);
    expect_that!(
        harness.phase(1, 0),
        pat!(Phase::Running {
            worker: eq(harness.workers[number]),
            ..
        })
    );
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a task that waits for a run that ended with the earlier process.
#[gtest]
fn a_run_that_the_later_process_does_not_list_is_started_again() {
    let (mut harness, start) = ordered();
    harness.answer(&start, StartAnswer::Accepted);
    let number = reborn(&mut harness, &start);
    harness.report_idle(number);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a task that waits although its run was seen on the earlier process.
#[gtest]
fn a_run_that_the_earlier_process_reported_is_started_again_at_once() {
    let (mut harness, start) = ordered();
    harness.answer(&start, StartAnswer::Accepted);
    harness.report_running(harness.number_of(&start), 1, start.run);
    reborn(&mut harness, &start);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against an order without an answer that the later process carries out after the task was
/// started elsewhere.
#[gtest]
fn an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() {
    let (mut harness, start) = ordered();
    harness.answer(&start, StartAnswer::Unknown);
    // The order that was repeated took effect at the earlier process; the first may still arrive.
    harness.report_running(harness.number_of(&start), 1, start.run);
    let number = reborn(&mut harness, &start);
    harness.report_idle(number);
    expect_that!(harness.starts(), is_empty());
    expect_that!(harness.stops(), elements_are![eq(&stop_of(&start))]);
    let now = harness.now();
    let worker = harness.workers[number];
    harness
        .scheduler
        .stop_answered(worker, start.name, start.run, now);
    harness.advance(1);
    harness.report_idle(number);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against the same where the platform's list tells of the later process first.
#[gtest]
fn a_run_stays_assigned_when_the_list_names_a_later_process() {
    let (mut harness, start) = ordered();
    harness.answer(&start, StartAnswer::Accepted);
    let number = harness.number_of(&start);
    let mut listed = harness.roster();
    listed[number].born_ms += 1;
    let now = harness.now();
    let new = harness.scheduler.list_workers(listed, now);
    harness.workers[number] = new[0];
    harness.save();
    expect_that!(harness.starts(), is_empty());
    harness.advance(1);
    harness.report_idle(number);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against tasks on a process whose labels and capacity are not known yet.
#[gtest]
fn a_later_process_gets_no_tasks_before_the_platform_lists_it() {
    let mut harness = Harness::with_workers(1, 16_000);
    let listed = harness.roster();
    let now = harness.now();
    harness.workers[0] = harness.scheduler.worker_reborn(harness.workers[0], 2, now);
    harness.report_idle(0);
    harness.scheduler.list_workers(listed.clone(), now);
    harness.accept(1, vec![step(1, 1_000)]);
    expect_that!(harness.scheduler.unrostered(), is_empty());
    expect_that!(harness.starts(), is_empty());
    let mut later = listed;
    later[0].born_ms = 2;
    harness.scheduler.list_workers(later, now);
    harness.scheduler.mark_rostered(harness.workers[0]);
    expect_that!(harness.starts().len(), eq(1));
    expect_that!(harness.scheduler.job(WorkflowId(1)), some(anything()));
}

/// Guards against ends of a later process that are acknowledged before anybody has seen them: it
/// numbers its ends anew.
#[gtest]
fn ends_are_not_acknowledged_to_a_process_that_may_be_a_later_one() {
    let (mut harness, start) = ordered();
    harness.answer(&start, StartAnswer::Accepted);
    harness.end(&start, EndKind::Done);
    harness.save();
    let upto = |harness: &Harness| {
        let worker = harness.scheduler.worker(start.worker);
        worker.expect("worker").ends_to_acknowledge()
    };
    expect_that!(upto(&harness), eq(1));
    harness.silence(start.worker);
    expect_that!(upto(&harness), eq(0));
    harness.report_idle(harness.number_of(&start));
    expect_that!(upto(&harness), eq(1));
    harness.scheduler.doubt_worker(start.worker);
    expect_that!(upto(&harness), eq(0));
}
