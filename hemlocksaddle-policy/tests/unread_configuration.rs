//! Workflows of a queue whose definition the owner does not know yet.
//!
//! Load pattern: the owner changes while tasks run, and a task fails before the successor has read the
//! configuration.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{End, EndKind};
use hemlocksaddle_types::workflow::{Run, State, TaskName, WorkflowId};
use workflow_support::{Harness, step};

/// Workflow with one task, of a queue that is configured later.
fn unconfigured() -> Harness {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept_in(1, "new", vec![step(1, 1_000)]);
    harness
}

/// Reports that a run of the task has failed.
fn fail(harness: &mut Harness, run: u64) {
    let name = TaskName {
        workflow: WorkflowId(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    harness.report_running(0, 1, Run(run));
    harness.report_ends(
        0,
        vec![End {
            number: run,
            task: Some(name),
            run: Run(run),
            kind: EndKind::Failed,
            checkpoint: None,
        }],
    );
    harness.advance(100);
}

/// Guards against a workflow that is given up after one failed run, since its queue is not known.
#[gtest]
fn a_failed_run_of_an_unknown_queue_is_repeated_once_the_queue_is_known() {
    let mut harness = unconfigured();
    fail(&mut harness, 1);
    expect_that!(harness.starts(), is_empty());
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Running)));
    harness.configure_queue("new", 2);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against more runs than the queue allows, if its limit is known only after they have failed.
#[gtest]
fn the_limit_of_attempts_holds_once_the_queue_is_known() {
    let mut harness = unconfigured();
    fail(&mut harness, 1);
    fail(&mut harness, 2);
    expect_that!(harness.starts(), is_empty());
    harness.configure_queue("new", 2);
    expect_that!(harness.starts(), is_empty());
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Failed)));
}

/// Guards against a third run of a task whose two failed runs ended at an owner that did not know the limit.
#[gtest]
fn the_limit_of_attempts_holds_for_a_successor_of_an_owner_that_did_not_know_it() {
    let mut predecessor = unconfigured();
    fail(&mut predecessor, 1);
    fail(&mut predecessor, 2);
    expect_that!(predecessor.starts(), is_empty());
    let progress = predecessor.save();
    let mut harness = unconfigured();
    for (id, progress) in &progress {
        harness.scheduler.restore(*id, progress);
    }
    harness.configure_queue("new", 2);
    expect_that!(harness.starts(), is_empty());
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Failed)));
}
