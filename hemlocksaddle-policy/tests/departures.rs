//! Workers that leave or are lost for good, and owners that follow each other afterwards.
//!
//! Load pattern: the fleet is scaled in, or workers are lost, and the owner changes later. A
//! successor must not wait for reports that cannot come, and must know of runs whose end nobody saw.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{
    End, EndKind, MAX_SAVED_WORKFLOWS, Start, StartAnswer, Worker,
};
use hemlocksaddle_types::workflow::{Run, State, Step, WorkflowId};
use workflow_support::{Harness, LEASE_MS, long_running, step};

/// Time after a worker's first report from which no request of a former owner is open at it: the longest wait of a
/// report request, on a clock that is 2% slow, and some more.
const OPEN_REQUEST_MS: u64 = 1_100;

/// Saves, and returns the names of the workers that left the roster.
fn departed(harness: &mut Harness) -> Vec<String> {
    harness.starts_again_later();
    let unsaved = harness.scheduler.take_unsaved();
    let names = unsaved.departed.iter().map(ToString::to_string).collect();
    harness.scheduler.mark_saved(unsaved);
    names
}

/// Runs a task on a worker of two that is lost for good; the other has no room to start it again.
fn lost_with_its_worker() -> (Harness, Start) {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    let number = harness.number_of(&first);
    harness.set_capacity(1 - number, 100);
    harness.leave(number);
    harness.silence(first.worker);
    harness.advance(LEASE_MS + 100);
    (harness, first)
}

/// Guards against a successor that waits for workers of which the owner knew that they were gone.
#[gtest]
fn a_worker_that_left_is_removed_from_the_roster_once_its_lease_has_expired() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    harness.leave(harness.number_of(&first));
    harness.silence(first.worker);
    harness.advance(LEASE_MS - 100);
    expect_that!(departed(&mut harness), is_empty());
    harness.advance(200);
    let name = format!("w{}", harness.number_of(&first));
    expect_that!(departed(&mut harness), elements_are![eq(&name)]);
    expect_that!(departed(&mut harness), is_empty());
}

/// Guards against a successor that waits for workers which were idle when they left.
#[gtest]
fn an_idle_worker_that_left_is_removed_from_the_roster_at_once() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.leave(0);
    // It may only be missing from the list while it answers.
    expect_that!(departed(&mut harness), is_empty());
    harness.silence(harness.workers[0]);
    expect_that!(departed(&mut harness), elements_are![eq("w0")]);
    expect_that!(departed(&mut harness), is_empty());
}

/// Load pattern: many workers are drained, leave at about the same time, and the owner changes then. Guards
/// against a successor that waits for workers which had been empty for long before they left.
#[gtest]
fn a_draining_worker_leaves_the_roster_once_it_is_empty() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    harness.drain(&start);
    expect_that!(departed(&mut harness), is_empty());
    harness.end(&start, EndKind::Done);
    harness.save();
    let name = format!("w{}", harness.number_of(&start));
    expect_that!(departed(&mut harness), elements_are![eq(&name)]);
    expect_that!(departed(&mut harness), is_empty());
    expect_that!(harness.scheduler.unrostered(), is_empty());
}

/// Guards against a worker that gets tasks again after a drain was called off, but is missing from the
/// roster.
#[gtest]
fn a_worker_whose_drain_was_called_off_is_added_to_the_roster_again() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    let ready = harness.roster();
    harness.drain(&start);
    harness.end(&start, EndKind::Done);
    harness.save();
    expect_that!(departed(&mut harness), elements_are![eq("w0")]);
    harness.scheduler.list_workers(ready, harness.now());
    harness.accept(2, vec![step(1, 1_000)]);
    expect_that!(harness.starts(), is_empty());
    let unrostered = harness.scheduler.unrostered();
    assert_that!(unrostered.len(), eq(1));
    harness.scheduler.mark_rostered(unrostered[0].0);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a run that a successor does not wait for: its start was not answered.
#[gtest]
fn a_worker_that_may_have_started_a_task_stays_in_the_roster() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Unknown);
    harness.leave(0);
    harness.silence(start.worker);
    expect_that!(departed(&mut harness), is_empty());
    harness.scheduler.abandon_start(&start);
    harness.advance(LEASE_MS - 200);
    expect_that!(departed(&mut harness), is_empty());
}

/// Guards against runs that a successor does not wait for: the predecessor's, on a worker that has
/// not reported.
#[gtest]
fn a_worker_without_a_report_stays_in_the_roster() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.leave(0);
    harness.silence(harness.workers[0]);
    expect_that!(departed(&mut harness), is_empty());
}

/// Load pattern: workers are added just after a change of owner, one does not answer. Guards against
/// inherited work that waits for workers which no predecessor used.
#[gtest]
fn inherited_work_does_not_wait_for_a_worker_that_is_new() {
    let mut harness = Harness::unreported(1, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.list_another(16_000);
    harness.report_idle(0);
    expect_that!(harness.starts().len(), eq(1));
}

/// Load pattern: workers are drained one after another while owners change, and one has left with its
/// tasks. Guards against a task that waits for the reports of all workers after the owner itself has
/// moved it off a draining worker.
#[gtest]
fn a_task_whose_run_was_seen_in_this_term_does_not_wait_for_other_workers() {
    let mut harness = Harness::unreported(3, 16_000, 10_000);
    harness.accept_inherited(1, vec![long_running(1, 4_000, "image")]);
    harness.accept_inherited(2, vec![long_running(1, 4_000, "image")]);
    harness.report_running(0, 1, Run(1));
    harness.report_idle(1);
    harness.advance(OPEN_REQUEST_MS);
    harness.report_running(0, 1, Run(1));
    harness.leave(2);
    harness.silence(harness.workers[2]);
    let mut listed = harness.roster();
    listed[0].draining = true;
    listed.truncate(2);
    harness.scheduler.list_workers(listed, harness.now());
    expect_that!(harness.stops().len(), eq(1));
    harness.end_stopped(0, 1, Run(1));
    let starts = harness.starts();
    assert_that!(starts.len(), eq(1));
    expect_that!(starts[0].name.workflow, eq(WorkflowId(1)));
    expect_that!(starts[0].worker, eq(harness.workers[1]));
    // The run of the other task may be on the worker that has not reported.
    harness.advance(1_000);
    expect_that!(harness.starts(), is_empty());
}

/// Load pattern: an owner that has not noticed its successor beside workers that are drained. Guards against a
/// second run of a task whose end the former owner may learn by a request that was open when the worker reported
/// to the new one, and of one whose worker was replaced, since each may have started it elsewhere.
#[gtest]
fn a_task_waits_for_all_workers_while_a_former_owner_may_have_restarted_it() {
    let inherit = || {
        let mut harness = Harness::unreported(3, 16_000, 10_000);
        harness.accept_inherited(1, vec![long_running(1, 4_000, "image")]);
        harness.report_running(0, 1, Run(1));
        harness.report_idle(1);
        harness
    };
    let mut early = inherit();
    early.advance(OPEN_REQUEST_MS - 200);
    early.report_running(0, 1, Run(1));
    early.end_stopped(0, 1, Run(1));
    expect_that!(early.starts(), is_empty());
    let mut replaced = inherit();
    replaced.advance(OPEN_REQUEST_MS);
    replaced.report_running(0, 1, Run(1));
    let worker = replaced.workers[0];
    let now = replaced.now();
    replaced.scheduler.worker_replaced(worker, now);
    expect_that!(replaced.starts(), is_empty());
}

/// Guards against a completed run that is acknowledged after a later run was started: it ended before the
/// predecessor took its lease as expired, on a worker that reports late.
#[gtest]
fn an_earlier_run_that_is_reported_late_is_not_acknowledged_after_a_restart() {
    let mut harness = Harness::unreported(3, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.report_running(0, 1, Run(2));
    harness.report_idle(1);
    harness.advance(OPEN_REQUEST_MS);
    harness.report_running(0, 1, Run(2));
    harness.end_stopped(0, 1, Run(2));
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    let done = End {
        number: 1,
        task: Some(start.name),
        run: Run(1),
        kind: EndKind::Done,
        checkpoint: None,
    };
    harness.report_ends(2, vec![done]);
    harness.save();
    let late = harness.scheduler.worker(harness.workers[2]);
    expect_that!(late.map(Worker::withholds_ends), some(eq(true)));
    expect_that!(harness.state(1), some(eq(State::Running)));
}

/// Load pattern: owner after owner is stopped beside steps with copies, which a successor starts before all workers
/// have reported. Guards against a worker that gets a task of a step beside a predecessor's run of the same
/// step, although the step allows one on each worker.
#[gtest]
fn a_run_that_is_being_stopped_counts_against_the_limit_of_its_step_on_the_worker() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.report_idle(0);
    let one_each = Step {
        max_per_worker: 1,
        speculative: true,
        ..step(2, 1_000)
    };
    harness.accept(1, vec![one_each]);
    let first = harness.starts();
    assert_that!(first.len(), eq(1));
    harness.answer_all(&first, StartAnswer::Accepted);
    harness.report_running(1, 1, Run(1));
    expect_that!(harness.stops().len(), eq(1));
    expect_that!(harness.starts(), is_empty());
    harness.advance(100);
    harness.report_idle(1);
    let second = harness.starts();
    assert_that!(second.len(), eq(1));
    expect_that!(second[0].worker, eq(harness.workers[1]));
}

/// Guards against a second run of a task on a worker that was restarted, and used by a predecessor,
/// before the platform's list shows it.
#[gtest]
fn a_successor_waits_for_the_incarnation_in_the_roster() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    let mut restarted = harness.roster().remove(1);
    restarted.born_ms += 1;
    let new = harness.scheduler.restore_roster(vec![restarted]);
    expect_that!(new.len(), eq(1));
    harness.workers[1] = new[0];
    expect_that!(departed(&mut harness), is_empty());
    harness.report_idle(0);
    expect_that!(harness.starts(), is_empty());
    harness.report_idle(1);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against workflows whose ends are taken as unknown because of a worker that no predecessor
/// used: each of them would be saved at once, and shown as changed.
#[gtest]
fn a_new_worker_that_dies_before_its_first_report_leaves_inherited_workflows_unchanged() {
    let mut harness = Harness::unreported(1, 16_000, 0);
    harness.accept_inherited(1, vec![step(1, 20_000)]);
    let number = harness.list_another(16_000);
    harness.report_idle(0);
    harness.leave(number);
    harness.silence(harness.workers[number]);
    harness.advance(100);
    expect_that!(harness.starts(), is_empty());
    expect_that!(harness.save(), is_empty());
}

/// Guards against a worker in use that is missing from the roster.
#[gtest]
fn a_worker_that_is_listed_again_before_the_save_stays_in_the_roster() {
    let mut harness = Harness::with_workers(1, 16_000);
    let roster = harness.roster();
    harness.leave(0);
    harness.silence(harness.workers[0]);
    harness.advance(LEASE_MS + 100);
    harness.starts_again_later();
    expect_that!(harness.scheduler.worker(harness.workers[0]), none());
    harness.list_again(roster);
    expect_that!(departed(&mut harness), is_empty());
    expect_that!(harness.scheduler.unrostered().len(), eq(1));
}

/// Load pattern: a worker disappears from the platform's list twice within one save. Guards against a
/// worker that leaves the roster while it runs a task.
#[gtest]
fn a_worker_that_got_a_task_since_it_was_gone_stays_in_the_roster() {
    let mut harness = Harness::with_workers(1, 16_000);
    let roster = harness.roster();
    harness.scheduler.list_workers(Vec::new(), harness.now());
    harness.silence(harness.workers[0]);
    harness.starts_again_later();
    harness.scheduler.list_workers(roster, harness.now());
    harness.report_idle(0);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    harness.scheduler.list_workers(Vec::new(), harness.now());
    expect_that!(departed(&mut harness), is_empty());
}

/// Load pattern: a worker is restarted while thousands of workflows are unsaved, and disappears from the
/// platform's list before the last part is saved. Guards against a worker that leaves the roster while it
/// runs a task.
#[gtest]
fn a_worker_that_was_restarted_during_a_save_stays_in_the_roster() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    let workflows = 2 * MAX_SAVED_WORKFLOWS as u64;
    (2..=workflows).for_each(|id| harness.accept_inherited(id, vec![step(1, 20_000)]));
    harness.report_idle(0);
    harness.leave(1);
    harness.silence(harness.workers[1]);
    harness.advance(10_100);
    harness.starts_again_later();
    let mut listed = harness.roster_of(0);
    listed[0].born_ms += 1;
    harness.list_again(listed);
    let first_part = harness.scheduler.take_unsaved();
    harness.scheduler.mark_saved(first_part);
    harness.scheduler.mark_rostered(harness.workers[0]);
    harness.report_idle(0);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    harness.scheduler.list_workers(Vec::new(), harness.now());
    let mut names = departed(&mut harness);
    names.extend(departed(&mut harness));
    expect_that!(names, elements_are![eq("w1")]);
}

/// Guards against a run that a successor does not wait for: a late order carried it out, and it was
/// told to stop.
#[gtest]
fn a_worker_with_a_run_that_is_being_stopped_stays_in_the_roster() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.report_running(0, 7, Run(1));
    harness.leave(0);
    harness.silence(harness.workers[0]);
    expect_that!(departed(&mut harness), is_empty());
}

/// Guards against departures that a failed save forgets.
#[gtest]
fn a_departure_that_could_not_be_saved_is_saved_later() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.leave(0);
    harness.silence(harness.workers[0]);
    harness.advance(LEASE_MS + 100);
    harness.starts_again_later();
    let unsaved = harness.scheduler.take_unsaved();
    harness.scheduler.mark_unsaved(unsaved);
    expect_that!(departed(&mut harness), elements_are![eq("w0")]);
}

/// Guards against a run that completed unseen and is acknowledged by a later owner, although its
/// task was started again: the worker is not in the roster any more, but comes back.
#[gtest]
fn a_successor_knows_of_runs_on_workers_that_left_the_roster() {
    let (mut before, first) = lost_with_its_worker();
    expect_that!(before.starts(), is_empty());
    let progress = before.save();
    let mut successor = Harness::with_workers(2, 16_000);
    successor.accept_inherited(1, vec![step(1, 1_000)]);
    successor.restore(progress);
    let second = successor.starts().remove(0);
    successor.answer(&second, StartAnswer::Accepted);
    let earlier = Start {
        run: Run(1),
        ..first
    };
    successor.end(&earlier, EndKind::Done);
    successor.save();
    let worker = successor.scheduler.worker(earlier.worker);
    let worker = worker.expect("worker");
    expect_that!(worker.saved_ends, eq(0));
    expect_that!(successor.state(1), some(eq(State::Running)));
}

/// Returns a successor that may give up a worker which never reported.
fn after_a_worker_without_a_report() -> Harness {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.report_idle(0);
    harness.leave(1);
    harness.silence(harness.workers[1]);
    harness.advance(10_100);
    harness
}

/// Guards against a run that completed unseen on a worker that never reported to the owner between,
/// and is acknowledged by a later owner although its task was started again.
#[gtest]
fn a_later_successor_knows_of_runs_on_workers_that_never_reported() {
    let mut between = after_a_worker_without_a_report();
    let second = between.starts().remove(0);
    between.answer(&second, StartAnswer::NotSent);
    let progress = between.save();
    let mut last = Harness::with_workers(2, 16_000);
    last.accept_inherited(1, vec![step(1, 1_000)]);
    last.restore(progress);
    let third = last.starts().remove(0);
    last.answer(&third, StartAnswer::Accepted);
    let first = Start {
        worker: last.workers[1 - last.number_of(&third)],
        run: Run(1),
        ..third.clone()
    };
    last.end(&first, EndKind::Done);
    last.save();
    let worker = last.scheduler.worker(first.worker).expect("worker");
    expect_that!(worker.saved_ends, eq(0));
}

/// Load pattern: a worker is lost for good while thousands of workflows wait, and the owner changes. Guards
/// against a save that takes longer than a call to the store may, and is repeated without an end.
#[gtest]
fn many_changed_workflows_are_saved_in_parts() {
    let mut harness = Harness::unreported(2, 100, 10_000);
    let workflows = 3_000;
    (1..=workflows).for_each(|id| harness.accept_inherited(id, vec![step(1, 1_000)]));
    harness.report_idle(0);
    harness.leave(1);
    harness.silence(harness.workers[1]);
    harness.advance(10_100);
    let mut saved = 0;
    loop {
        harness.starts_again_later();
        let unsaved = harness.scheduler.take_unsaved();
        expect_that!(unsaved.progress.len(), le(MAX_SAVED_WORKFLOWS));
        saved += unsaved.progress.len();
        let is_last = saved == workflows as usize;
        // The worker leaves the roster once all that depends on it is durable.
        expect_that!(unsaved.departed.len(), eq(usize::from(is_last)));
        if is_last || unsaved.is_empty() {
            break;
        }
        harness.scheduler.mark_saved(unsaved);
    }
    expect_that!(saved, eq(workflows as usize));
}

/// Guards against ends that are acknowledged before the progress of their workflows is durable.
#[gtest]
fn ends_are_acknowledged_after_the_last_part_of_a_save() {
    let mut harness = Harness::with_workers(1, 100_000_000);
    let workflows = 2 * MAX_SAVED_WORKFLOWS as u64;
    (1..=workflows).for_each(|id| harness.accept(id, vec![step(1, 1_000)]));
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    for start in &starts {
        harness.end(start, EndKind::Done);
    }
    let acknowledged = |harness: &Harness| {
        let worker = harness.scheduler.worker(harness.workers[0]);
        worker.expect("worker").saved_ends
    };
    harness.save();
    expect_that!(acknowledged(&harness), eq(0));
    harness.save();
    expect_that!(acknowledged(&harness), eq(workflows));
}

/// Guards against a workflow that is shown as running after its only start was refused.
#[gtest]
fn a_workflow_whose_start_was_refused_stays_queued_after_a_change_of_owner() {
    let mut between = after_a_worker_without_a_report();
    let second = between.starts().remove(0);
    let mut progress = between.save();
    between.answer(&second, StartAnswer::NotSent);
    progress.extend(between.save());
    let mut last = Harness::unreported(1, 16_000, 10_000);
    last.accept_inherited(1, vec![step(1, 1_000)]);
    let (_, latest) = progress.pop().expect("progress");
    last.restore(vec![(WorkflowId(1), latest)]);
    expect_that!(last.state(1), some(eq(State::Queued)));
}

/// Guards against a workflow that is shown as running although nothing of it has started.
#[gtest]
fn a_workflow_that_never_ran_stays_queued_over_two_changes_of_owner() {
    let mut between = after_a_worker_without_a_report();
    let second = between.starts().remove(0);
    between.answer(&second, StartAnswer::NotSent);
    let progress = between.save();
    let mut last = Harness::unreported(1, 16_000, 10_000);
    last.accept_inherited(1, vec![step(1, 1_000)]);
    last.restore(progress);
    expect_that!(last.state(1), some(eq(State::Queued)));
    expect_that!(last.scheduler.count_waiting("queue"), eq(1));
}
