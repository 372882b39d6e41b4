//! Plans beside many steps that cannot start.
//!
//! Load pattern: callers submit some thousand steps that no worker can take, or none while all are busy. The owner has
//! to plan within its ownership lease all the same, and ordinary work goes on.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{StartAnswer, WaitReason, WorkCounts};
use hemlocksaddle_types::{resources::Resources, workflow::Step};
use workflow_support::{Harness, long_running, step};

const WORKERS: usize = 20;

const STEPS: u64 = 256;

/// Maximum number of comparisons in failed attempts of one plan, for new steps and others together.
const MAX_COMPARISONS: u64 = 1_000_000;

/// Step for workers with a label.
fn labelled(label: &str) -> Step {
    Step {
        required_label: Some(label.into()),
        ..step(1, 1_000)
    }
}

/// Accepts workflows of steps that differ in their number.
fn accept_many(harness: &mut Harness, workflows: u64, of: impl Fn(u64) -> Step) {
    for id in 1..=workflows {
        let numbers = (0..STEPS).map(|number| (id - 1) * STEPS + number);
        harness.accept(id, numbers.map(&of).collect());
    }
}

fn plan(harness: &mut Harness) -> WorkCounts {
    harness.scheduler.take_work_counts();
    harness.starts_again_later();
    harness.scheduler.take_work_counts()
}

/// Guards against plans that compare each step with all others that fit nowhere, which take longer than the ownership
/// lease for some thousand steps with labels of their own.
#[gtest]
fn steps_with_labels_that_no_worker_has_are_not_compared() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    accept_many(&mut harness, 10, |number| {
        labelled(&format!("label-{number}"))
    });
    let work = plan(&mut harness);
    expect_that!((work.steps, work.compared_workers), eq((0, 0)));
    harness.accept(100, vec![step(1, 1_000), labelled("kind")]);
    expect_that!(harness.starts().len(), eq(2));
}

/// Guards against gangs and tasks above the size of all workers that are compared with each worker in each plan.
#[gtest]
fn steps_that_exceed_the_capacity_of_idle_workers_are_not_compared() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    let gang = Step {
        gang: true,
        ..step(WORKERS as u32 * 16 + 1, 1_000)
    };
    harness.accept(1, vec![step(1, 16_001), gang]);
    expect_that!(plan(&mut harness).steps, eq(0));
}

/// Guards against steps that stay left out after a worker has come that could take them.
#[gtest]
fn a_step_starts_once_a_worker_is_listed_that_can_take_it() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 20_000)]);
    expect_that!(harness.starts(), is_empty());
    let number = harness.list_another(32_000);
    harness.report_idle(number);
    expect_that!(harness.starts().len(), eq(1));
    harness.accept(2, vec![step(1, 18_000)]);
    expect_that!(harness.starts(), is_empty());
    harness.set_capacity(0, 18_000);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a step that no worker can take and that is not reported as waiting.
#[gtest]
fn a_step_that_no_worker_can_take_is_reported_with_its_reason() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![labelled("none")]);
    harness.accept(2, vec![step(1, 20_000)]);
    harness.starts();
    harness.advance(10_000);
    let waiting = harness.waiting();
    let reasons: Vec<_> = waiting.steps.iter().map(|step| step.reason).collect();
    expect_that!(
        reasons,
        unordered_elements_are![eq(&WaitReason::Label), eq(&WaitReason::Room)]
    );
}

/// Guards against plans whose time grows with the square of the steps that need more of one resource and less of
/// another than all steps before them.
#[gtest]
fn a_step_is_compared_with_few_of_those_that_fit_nowhere() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    harness.accept(1_000, vec![step(WORKERS as u32, 15_500)]);
    harness.starts();
    accept_many(&mut harness, 4, |number| Step {
        demand: Resources {
            cpu_milli: 1_000 + number,
            memory_mb: 5_000 - number,
            accelerators: 0,
        },
        ..step(1, 0)
    });
    let work = plan(&mut harness);
    expect_that!(work.steps, eq(4 * STEPS));
    expect_that!(work.compared_steps, le(64 * 4 * STEPS));
}

/// Guards against plans that look at each task of a long-running step, of which a caller may submit a hundred thousand.
#[gtest]
fn long_running_tasks_that_never_ran_are_looked_at_as_one() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    harness.accept(1, vec![long_running(100_000, 1_000, "service")]);
    let started = harness.starts();
    harness.advance(3_000);
    let work = plan(&mut harness);
    // Twice in a plan: before short tasks, and for interrupted ones where start orders are scarce.
    expect_that!(work.task_ranges, le(2 * (started.len() as u64 + 1)));
}

/// Guards against plans that compare all workers for each gang of many, although fewer members have just found no room.
#[gtest]
fn gangs_that_need_as_much_as_one_without_room_are_not_compared() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    harness.accept(1_000, vec![step(WORKERS as u32, 15_500)]);
    harness.starts();
    accept_many(&mut harness, 4, |number| Step {
        gang: true,
        ..step(2 + number as u32 % 7, 1_000)
    });
    let compared = plan(&mut harness).compared_workers;
    expect_that!(compared, le(WORKERS as u64));
}

/// Workers of a large pool.
const MANY_WORKERS: usize = 2_400;

/// Cluster without room, beside steps that say nothing about each other.
fn full_cluster_with_limited_steps() -> Harness {
    let mut harness = Harness::with_workers(MANY_WORKERS, 16_000);
    harness.accept(1_000, vec![step(MANY_WORKERS as u32, 15_500)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    accept_many(&mut harness, 4, |_| Step {
        max_per_worker: 1,
        ..step(1, 1_000)
    });
    harness
}

/// Guards against a plan that takes longer than the ownership lease because it compares all workers for each of
/// the steps that wait.
#[gtest]
fn a_plan_makes_a_bounded_number_of_comparisons_without_a_start() {
    let mut harness = full_cluster_with_limited_steps();
    let first = plan(&mut harness).compared_workers;
    expect_that!(first, le(MAX_COMPARISONS + MANY_WORKERS as u64));
    expect_that!(harness.scheduler.has_postponed_steps(), eq(true));
}

/// Guards against steps that are never attempted because others before them use up the comparisons of each plan.
#[gtest]
fn all_steps_are_attempted_within_a_few_plans() {
    let mut harness = full_cluster_with_limited_steps();
    let plans = (1..=20).take_while(|_| {
        plan(&mut harness);
        harness.scheduler.has_postponed_steps()
    });
    let compared = 4 * STEPS * MANY_WORKERS as u64;
    expect_that!(plans.count() as u64, le(compared / (MAX_COMPARISONS / 2)));
    let number = harness.list_another(16_000);
    harness.report_idle(number);
    // Room for one task of a step on the new worker, for sixteen steps.
    let mut started = 0;
    for _ in 0..20 {
        started += harness.starts().len();
    }
    expect_that!(started, eq(16));
}

/// Guards against new work that waits until all others have been attempted again.
#[gtest]
fn a_new_step_is_attempted_at_once() {
    let mut harness = full_cluster_with_limited_steps();
    for _ in 0..10 {
        plan(&mut harness);
    }
    // In each part of a round. Each worker has half a core left.
    for id in 2_000..2_010 {
        harness.advance(10);
        harness.accept(id, vec![step(1, 400)]);
        let starts = harness.starts();
        let mut started = starts.iter().map(|start| start.name.workflow.0);
        expect_that!(started.any(|started| started == id), eq(true));
    }
}
