//! Work that a plan takes, counted: an owner plans up to a few hundred times a second.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{StartAnswer, WorkCounts};
use hemlocksaddle_types::workflow::Step;
use workflow_support::{Harness, best_effort, long_running, step};

const WORKERS: usize = 20;

/// Cluster whose workers each run a long-running and a best-effort task and have reported both.
fn busy_cluster() -> Harness {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    for id in 0..WORKERS as u64 {
        let image = |kind: &str| format!("{kind}-{}", id % 3);
        harness.accept(2 * id + 1, vec![long_running(1, 6_000, &image("service"))]);
        harness.accept(2 * id + 2, vec![best_effort(1, 9_000, &image("batch"))]);
        let starts = harness.starts();
        harness.answer_all(&starts, StartAnswer::Accepted);
    }
    harness.advance(2_000);
    report_busy(&mut harness);
    harness.starts();
    harness.scheduler.take_work_counts();
    harness
}

fn report_busy(harness: &mut Harness) {
    (0..WORKERS).for_each(|number| harness.report_assigned(number));
}

fn plan(harness: &mut Harness) -> WorkCounts {
    harness.starts_again_later();
    harness.scheduler.take_work_counts()
}

/// Guards against an owner that checks every run a few hundred times a second, and has no time left
/// for starts on a slower processor.
#[gtest]
fn a_plan_without_a_report_checks_no_run() {
    let mut harness = busy_cluster();
    for _ in 0..10 {
        harness.advance(4);
        expect_that!(plan(&mut harness).checked_runs, eq(0));
    }
}

/// Guards against runs that are no longer checked once a plan has passed without a report.
#[gtest]
fn a_plan_after_a_report_checks_the_runs_of_that_worker_only() {
    let mut harness = busy_cluster();
    harness.advance(700);
    harness.report_assigned(3);
    let worker = harness.scheduler.worker(harness.workers[3]);
    let runs = worker.expect("worker").tasks() as u64;
    let checked = plan(&mut harness).checked_runs;
    expect_that!(checked, all![ge(runs), le(2 * runs)]);
}

/// Guards against work per start that grows with the number of tasks times the number of workers.
#[gtest]
fn the_tasks_of_a_step_are_placed_with_one_comparison_of_all_workers() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    harness.scheduler.take_work_counts();
    harness.accept(1, vec![step(40, 2_000)]);
    expect_that!(harness.starts().len(), eq(40));
    let compared = harness.scheduler.take_work_counts().compared_workers;
    expect_that!(compared, le(WORKERS as u64 + 40));
}

/// Guards against a cluster that is full of work and has each plan compare all workers for each of
/// the waiting steps, although a step of smaller tasks has just fit nowhere.
#[gtest]
fn steps_that_need_more_than_one_that_does_not_fit_are_not_compared() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    harness.accept(1, vec![step(WORKERS as u32, 15_000)]);
    harness.starts();
    for id in 2..52 {
        harness.accept(id, vec![step(3, 2_000 + id)]);
    }
    harness.scheduler.take_work_counts();
    expect_that!(harness.starts(), is_empty());
    let compared = harness.scheduler.take_work_counts().compared_workers;
    expect_that!(compared, le(WORKERS as u64));
}

/// Guards against headroom computed for every worker in each plan that places a best-effort task.
#[gtest]
fn headroom_is_computed_only_for_workers_that_may_be_the_best() {
    let mut harness = busy_cluster();
    harness.accept(100, vec![best_effort(1, 100, "batch-0")]);
    expect_that!(harness.starts().len(), eq(1));
    let headrooms = harness.scheduler.take_work_counts().headrooms;
    expect_that!(headrooms, all![ge(1), le(3)]);
}

/// Guards against an owner whose load cannot be told apart by its cause.
#[gtest]
fn plans_count_their_work_and_give_it_once() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    harness.accept(1, vec![step(1, 2_000)]);
    expect_that!(harness.starts().len(), eq(1));
    let work = harness.scheduler.take_work_counts();
    let expected = WorkCounts {
        plans: 1,
        steps: 1,
        compared_workers: WORKERS as u64,
        ..work
    };
    expect_that!(work, eq(expected));
    expect_that!(
        harness.scheduler.take_work_counts(),
        eq(WorkCounts::default())
    );
}

/// Guards against a step that is passed over in the belief that it needs more than one that does not
/// fit, although it needs less of some resource or is limited differently.
#[gtest]
fn a_step_that_needs_less_than_one_that_does_not_fit_is_started() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(2, 15_000)]);
    harness.starts();
    let limited = Step {
        max_per_worker: 1,
        ..step(3, 500)
    };
    harness.accept(2, vec![step(1, 2_000)]);
    harness.accept(3, vec![limited]);
    harness.accept(4, vec![step(1, 500)]);
    harness.accept(5, vec![best_effort(1, 500, "batch")]);
    let started: Vec<u64> = harness.starts().iter().map(|s| s.name.workflow.0).collect();
    expect_that!(started, elements_are![eq(&3), eq(&3), eq(&4), eq(&5)]);
}
