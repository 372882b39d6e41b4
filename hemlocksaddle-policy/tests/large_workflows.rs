//! Workflows with far more tasks than workers can run at a time.
//!
//! Load pattern: a schedule with a day of due occurrences, or several workflows of the largest size, on few workers;
//! small workflows come later.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Start, StartAnswer};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    workflow::{Progress, Schedule, State, Step, WorkflowId},
};
use workflow_support::{Harness, memory::peak_kb, step};

/// Largest memory that the state of large workflows may take beside all else, in kB; a node has 260 MB.
const MAX_GROWTH_KB: u64 = 40_000;

/// Occurrences of a day with one each second.
const DAY_OF_OCCURRENCES: u32 = 86_400;

/// Number of start orders of one plan.
const START_BUDGET: u32 = 50;

/// Latest saved progress of each workflow.
type Saved = BTreeMap<WorkflowId, Progress>;

/// Accepts a schedule whose occurrences are all due.
fn accept_due(harness: &mut Harness, id: u64, occurrences: u32, steps: Vec<Step>) {
    let schedule = Schedule {
        occurrences,
        first_ms: WallMs(0),
        interval_ms: Millis(0),
    };
    harness.accept_scheduled(id, steps, schedule);
}

/// Plans once with the usual number of start orders, ends all runs that were started, and saves the progress.
fn run_started(harness: &mut Harness, progress: &mut Saved) -> Vec<Start> {
    harness.scheduler.set_start_budget(START_BUDGET);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    for start in &starts {
        harness.end(start, EndKind::Done);
    }
    progress.extend(harness.save());
    harness.advance(100);
    starts
}

/// Plans until a workflow has a start; returns the number of plans.
fn plans_until_started(harness: &mut Harness, id: u64) -> Option<usize> {
    (1..=200).find(|_| {
        let starts = run_started(harness, &mut Saved::new());
        starts
            .iter()
            .any(|start| start.name.workflow == WorkflowId(id))
    })
}

/// Guards against an owner that exceeds its memory, and each successor as well, because of one submission.
#[gtest]
fn the_state_of_large_workflows_is_small() {
    let mut harness = Harness::with_workers(4, 16_000);
    let before_kb = peak_kb();
    accept_due(&mut harness, 1, DAY_OF_OCCURRENCES, vec![step(20, 100)]);
    for id in 2..=11 {
        harness.accept(id, vec![step(50_000, 100), step(50_000, 100)]);
    }
    let mut progress = Saved::new();
    for _ in 0..50 {
        run_started(&mut harness, &mut progress);
    }
    let mut successor = Harness::unreported(4, 16_000, 0);
    accept_due(&mut successor, 1, DAY_OF_OCCURRENCES, vec![step(20, 100)]);
    for id in 2..=11 {
        successor.accept_inherited(id, vec![step(50_000, 100), step(50_000, 100)]);
    }
    successor.restore(progress.clone().into_iter().collect());
    (0..4).for_each(|number| successor.report_idle(number));
    for _ in 0..50 {
        run_started(&mut successor, &mut progress);
    }
    expect_that!(peak_kb() - before_kb, lt(MAX_GROWTH_KB));
}

/// Guards against small workflows that wait for a schedule with a day of due occurrences.
#[gtest]
fn a_schedule_that_is_late_does_not_keep_later_workflows_waiting() {
    let mut harness = Harness::with_workers(4, 16_000);
    accept_due(&mut harness, 1, DAY_OF_OCCURRENCES, vec![step(20, 100)]);
    expect_that!(plans_until_started(&mut harness, 1), some(eq(1)));
    harness.accept(2, vec![step(1, 100)]);
    // One plan for each fifty of the tasks of earlier occurrences, of which five hundred have state.
    expect_that!(plans_until_started(&mut harness, 2), some(le(12)));
}

/// Guards against occurrences that are never started, or twice, because they get state one after the other.
#[gtest]
fn all_occurrences_of_a_late_schedule_run_once() {
    let mut harness = Harness::with_workers(4, 16_000);
    accept_due(&mut harness, 1, 300, vec![step(3, 100), step(2, 100)]);
    let mut names = Vec::new();
    for _ in 0..40 {
        let starts = run_started(&mut harness, &mut Saved::new());
        names.extend(starts.iter().map(|start| start.name));
    }
    expect_that!(harness.state(1), some(eq(State::Completed)));
    expect_that!(names.len(), eq(300 * 5));
    names.sort();
    names.dedup();
    expect_that!(names.len(), eq(300 * 5));
}

/// Guards against a successor that misses occurrences which had no state yet, or starts done ones again.
#[gtest]
fn a_successor_goes_on_with_a_late_schedule() {
    let mut harness = Harness::with_workers(4, 16_000);
    accept_due(&mut harness, 1, 200, vec![step(5, 100)]);
    let (mut names, mut progress) = (Vec::new(), Saved::new());
    for _ in 0..7 {
        let starts = run_started(&mut harness, &mut progress);
        names.extend(starts.iter().map(|start| start.name));
    }
    let mut successor = Harness::with_workers(4, 16_000);
    accept_due(&mut successor, 1, 200, vec![step(5, 100)]);
    successor.restore(progress.clone().into_iter().collect());
    for _ in 0..20 {
        let starts = run_started(&mut successor, &mut progress);
        names.extend(starts.iter().map(|start| start.name));
    }
    expect_that!(successor.state(1), some(eq(State::Completed)));
    names.sort();
    names.dedup();
    expect_that!(names.len(), eq(200 * 5));
}
