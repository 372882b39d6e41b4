//! Work that a plan takes, counted: an owner plans up to a few hundred times a second.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{StartAnswer, WorkCounts};
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
