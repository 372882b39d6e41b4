//! Ended workflows whose submissions are deleted.
//!
//! Load pattern: a steady load of short workflows beside changes of owner, so that most workflows in the
//! store have ended.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Start, StartAnswer};
use hemlocksaddle_types::workflow::{Failure, Progress, Run, State, WorkflowId};
use workflow_support::{Harness, LEASE_MS, step};

/// Retention time of ended workflows in milliseconds.
const KEEP_ENDED_MS: u64 = 120_000;

/// Accepts a workflow of one task and starts it.
fn start(harness: &mut Harness, id: u64) -> Start {
    harness.accept(id, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    start
}

/// Completes a workflow of one task.
fn complete(harness: &mut Harness, id: u64) {
    let start = start(harness, id);
    harness.end(&start, EndKind::Done);
}

/// Workflows whose submissions may be deleted now.
fn take(harness: &mut Harness) -> Vec<WorkflowId> {
    let now = harness.now();
    harness.scheduler.take_ended_submissions(10, now)
}

/// Successor that restores progress without the submissions.
fn successor(progress: &[(WorkflowId, Progress)]) -> Harness {
    let mut successor = Harness::with_workers(2, 16_000);
    successor.restore(progress.to_vec());
    successor
}

/// Guards against a submission that is deleted before the outcome is durable: a successor would know
/// neither.
#[gtest]
fn a_submission_is_deleted_only_after_the_outcome_is_durable() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    expect_that!(take(&mut harness), is_empty());
    let unsaved = harness.scheduler.take_unsaved();
    expect_that!(take(&mut harness), is_empty());
    harness.scheduler.mark_saved(unsaved);
    expect_that!(take(&mut harness), elements_are![eq(&WorkflowId(1))]);
    expect_that!(take(&mut harness), is_empty());
    expect_that!(harness.state(1), some(eq(State::Completed)));
}

/// Guards against a submission that is deleted while a task is still being stopped, so that a successor
/// would not know what the run occupies.
#[gtest]
fn a_submission_is_kept_while_a_task_is_assigned() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(2, 1_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.end(&starts[0], EndKind::Failed);
    harness.advance(100);
    let again = harness.starts().remove(0);
    harness.answer(&again, StartAnswer::Accepted);
    harness.end(&again, EndKind::Failed);
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Failed)));
    expect_that!(take(&mut harness), is_empty());
    harness.end(&starts[1], EndKind::Stopped);
    harness.save();
    expect_that!(take(&mut harness), elements_are![eq(&WorkflowId(1))]);
}

/// Guards against a successor that deletes the submission of a workflow whose runs may still be on
/// workers that have not reported.
#[gtest]
fn a_successor_keeps_submissions_until_all_workers_have_reported() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    let progress = harness.save();
    let mut successor = Harness::unreported(1, 16_000, 1_000_000);
    successor.accept_inherited(1, vec![step(1, 1_000)]);
    successor.restore(progress);
    expect_that!(take(&mut successor), is_empty());
    successor.report_idle(0);
    expect_that!(take(&mut successor), elements_are![eq(&WorkflowId(1))]);
}

/// Guards against a successor that does not know an ended workflow without its submission: its caller
/// would be told that there is none, and a repeated submission would run again.
#[gtest]
fn a_successor_restores_outcomes_from_the_progress_alone() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    let cancelled = start(&mut harness, 3);
    harness.cancel(3);
    harness.end(&cancelled, EndKind::Stopped);
    let failing = start(&mut harness, 2);
    harness.end(&failing, EndKind::Failed);
    harness.advance(100);
    let again = harness.starts().remove(0);
    harness.answer(&again, StartAnswer::Accepted);
    harness.end(&again, EndKind::Failed);
    let progress = harness.save();
    expect_that!(progress.len(), eq(3));
    let mut successor = successor(&progress);
    expect_that!(successor.state(1), some(eq(State::Completed)));
    expect_that!(successor.state(2), some(eq(State::Failed)));
    expect_that!(successor.state(3), some(eq(State::Cancelled)));
    let failure = successor.scheduler.failure(WorkflowId(2));
    expect_that!(
        failure,
        some(matches_pattern!(&Failure::Attempts {
            attempts: eq(2),
            ..
        }))
    );
    expect_that!(take(&mut successor), is_empty());
    for id in 1..=3 {
        successor.accept(id, vec![step(1, 1_000)]);
        successor.accept_unconfirmed(id, vec![step(1, 1_000)]);
        successor.cancel(id);
    }
    expect_that!(successor.starts(), is_empty());
    expect_that!(successor.state(1), some(eq(State::Completed)));
    expect_that!(take(&mut successor).len(), eq(3));
}

/// Guards against a workflow that is cancelled before its first start and never ends: its records would stay
/// in the store for good.
#[gtest]
fn a_workflow_that_is_cancelled_while_it_waits_ends() {
    let mut harness = Harness::with_workers(1, 500);
    harness.accept(1, vec![step(1, 1_000)]);
    harness.cancel(1);
    expect_that!(harness.starts(), is_empty());
    expect_that!(harness.save()[0].1.ended, some(eq(State::Cancelled)));
    expect_that!(harness.state(1), some(eq(State::Cancelled)));
    expect_that!(take(&mut harness), elements_are![eq(&WorkflowId(1))]);
    harness.advance(KEEP_ENDED_MS + 100);
    let wall = harness.wall();
    expect_that!(harness.scheduler.forget_ended(wall).len(), eq(1));
}

/// Guards against a cancelled workflow that never ends, because the worker of its last run was lost.
#[gtest]
fn a_cancelled_workflow_ends_when_the_lease_of_its_last_run_has_expired() {
    let mut harness = Harness::with_workers(1, 16_000);
    let start = start(&mut harness, 1);
    harness.cancel(1);
    harness.silence(start.worker);
    harness.advance(LEASE_MS - 100);
    harness.starts();
    harness.save();
    expect_that!(take(&mut harness), is_empty());
    harness.advance(200);
    harness.starts();
    expect_that!(harness.save()[0].1.ended, some(eq(State::Cancelled)));
    expect_that!(take(&mut harness), elements_are![eq(&WorkflowId(1))]);
}

/// Guards against a successor that ends a cancelled workflow while workers that have not reported may
/// hold its runs.
#[gtest]
fn a_successor_ends_a_cancelled_workflow_after_all_workers_have_reported() {
    let mut successor = Harness::unreported(1, 16_000, 1_000_000);
    successor.accept_inherited(1, vec![step(1, 1_000)]);
    successor.cancel(1);
    successor.starts();
    expect_that!(successor.save(), is_empty());
    successor.report_running(0, 1, Run(1));
    successor.starts();
    expect_that!(successor.stops().len(), eq(1));
    expect_that!(successor.save(), is_empty());
    successor.end_stopped(0, 1, Run(1));
    successor.starts();
    expect_that!(successor.save()[0].1.ended, some(eq(State::Cancelled)));
}

/// Guards against a cancellation that is read before the outcome and later cancels another workflow.
#[gtest]
fn a_cancellation_of_an_ended_workflow_is_ignored_and_deleted() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    let progress = harness.save();
    let mut successor = Harness::with_workers(1, 16_000);
    successor.cancel(1);
    successor.restore(progress);
    expect_that!(successor.state(1), some(eq(State::Completed)));
    expect_that!(take(&mut successor), elements_are![eq(&WorkflowId(1))]);
}

/// Guards against a repeated submission that stays in the store behind the deletion, after which a
/// successor would run it again once the outcome is deleted.
#[gtest]
fn a_submission_that_is_repeated_behind_its_deletion_is_deleted_again() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    harness.save();
    let taken = take(&mut harness);
    harness.accept(1, vec![step(1, 1_000)]);
    expect_that!(harness.starts(), is_empty());
    expect_that!(take(&mut harness), eq(&taken));
    harness.scheduler.put_back_ended_submissions(&taken);
    expect_that!(take(&mut harness), eq(&taken));
}

/// Guards against an outcome that is forgotten early or never.
#[gtest]
fn outcomes_are_forgotten_after_the_retention_time() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    let progress = harness.save();
    take(&mut harness);
    let mut successor = successor(&progress);
    for harness in [&mut harness, &mut successor] {
        harness.advance(KEEP_ENDED_MS - 100);
        let wall = harness.wall();
        expect_that!(harness.scheduler.forget_ended(wall), is_empty());
        harness.advance(200);
        let wall = harness.wall();
        let forgotten = harness.scheduler.forget_ended(wall);
        expect_that!(forgotten, elements_are![eq(&WorkflowId(1))]);
        expect_that!(harness.state(1), none());
    }
}

/// Guards against a run of an ended workflow that goes on, and against the end of one that the worker
/// lists for ever.
#[gtest]
fn late_runs_are_stopped_and_late_ends_acknowledged() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    let progress = harness.save();
    let mut successor = successor(&progress);
    successor.report_running(0, 1, Run(1));
    successor.starts();
    expect_that!(successor.stops().len(), eq(1));
    expect_that!(successor.state(1), some(eq(State::Completed)));
    successor.end_stopped(0, 1, Run(1));
    successor.save();
    let worker = successor.scheduler.worker(successor.workers[0]);
    expect_that!(worker.expect("worker").saved_ends, eq(1));
    expect_that!(successor.starts(), is_empty());
}

/// Guards against a completed run that is acknowledged after its task was started again and the
/// submission deleted: the task would have completed twice. The same for a successor.
#[gtest]
fn the_end_of_a_superseded_run_is_not_acknowledged_after_the_deletion() {
    let mut harness = Harness::with_workers(2, 16_000);
    let first = start(&mut harness, 1);
    harness.silence(first.worker);
    harness.advance(LEASE_MS + 100);
    let second = harness.starts().remove(0);
    harness.answer(&second, StartAnswer::Accepted);
    harness.end(&second, EndKind::Done);
    let progress = harness.save();
    expect_that!(harness.state(1), some(eq(State::Completed)));
    expect_that!(take(&mut harness).len(), eq(1));
    let number = harness.number_of(&first);
    let mut successor = successor(&progress);
    let first_in_successor = Start {
        worker: successor.workers[number],
        ..first.clone()
    };
    for (harness, first) in [(&mut harness, first), (&mut successor, first_in_successor)] {
        harness.end(&first, EndKind::Done);
        harness.save();
        let worker = harness.scheduler.worker(first.worker);
        expect_that!(worker.expect("worker").saved_ends, eq(0));
    }
}

/// Guards against a late answer to a start that concerns a workflow whose submission is deleted.
#[gtest]
fn a_start_that_is_answered_after_the_deletion_is_ignored() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.end(&start, EndKind::Done);
    harness.save();
    expect_that!(take(&mut harness).len(), eq(1));
    expect_that!(harness.answer(&start, StartAnswer::Unknown), eq(false));
    expect_that!(harness.scheduler.is_start_pending(&start), eq(false));
    expect_that!(harness.starts(), is_empty());
}

/// Guards against progress records of ended workflows that grow with their tasks.
#[gtest]
fn the_progress_of_an_ended_workflow_has_no_steps() {
    let mut harness = Harness::with_workers(1, 16_000);
    complete(&mut harness, 1);
    let progress = harness.save();
    expect_that!(progress[0].1.ended, some(eq(State::Completed)));
    expect_that!(progress[0].1.steps, is_empty());
}
