//! Decisions of the scheduler: which tasks start, on which worker, and when they may restart.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Phase, StartAnswer};
use hemlocksaddle_types::workflow::{Run, State, Step};
use workflow_support::{Harness, LEASE_MS, long_running, step};

/// Guards against a workflow that is never reported as completed, or is before that is durable.
#[gtest]
fn a_workflow_of_two_steps_runs_in_order_and_completes_once_saved() {
    let mut harness = Harness::with_workers(2, 16_000);
    let second = Step {
        depends_on: vec![0],
        ..step(1, 1_000)
    };
    harness.accept(1, vec![step(2, 1_000), second]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(2));
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.end(&starts[0], EndKind::Done);
    expect_that!(harness.starts(), is_empty());
    harness.end(&starts[1], EndKind::Done);
    let last = harness.starts();
    expect_that!(last.len(), eq(1));
    expect_that!(last[0].name.step, eq(1));
    harness.answer_all(&last, StartAnswer::Accepted);
    harness.end(&last[0], EndKind::Done);
    expect_that!(harness.state(1), some(eq(State::Running)));
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Completed)));
}

/// Guards against a second run of a task whose first start got no answer.
#[gtest]
fn an_unanswered_start_keeps_its_task_assigned() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    expect_that!(harness.answer(&start, StartAnswer::Unknown), eq(true));
    harness.advance(2_000);
    expect_that!(harness.starts(), is_empty());
    // This refusal does not prove that the first order was not carried out.
    expect_that!(harness.answer(&start, StartAnswer::NoRoom), eq(false));
    expect_that!(harness.starts(), is_empty());
    expect_that!(harness.stops(), contains(eq(&(start.name, start.run))));
}

/// Guards against a task that is stopped as stalled because a report lists it before its start
/// is answered.
#[gtest]
fn a_task_reported_before_its_start_is_answered_keeps_running() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    harness.advance(10_000);
    let start = harness.starts().remove(0);
    harness.advance(5);
    harness.report_progress(0, 1, start.run, 0);
    expect_that!(harness.stops(), is_empty());
    expect_that!(harness.answer(&start, StartAnswer::Unknown), eq(false));
    expect_that!(harness.stops(), is_empty());
}

/// Guards against a start order that is sent again after its run was stopped.
#[gtest]
fn a_start_is_pending_until_its_run_is_over() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    expect_that!(harness.answer(&start, StartAnswer::Unknown), eq(true));
    expect_that!(harness.scheduler.is_start_pending(&start), eq(true));
    harness.cancel(1);
    expect_that!(harness.scheduler.is_start_pending(&start), eq(false));
}

/// Guards against a task that waits forever after a worker refused it for lack of capacity.
#[gtest]
fn a_start_refused_for_lack_of_capacity_goes_to_another_worker() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::NoRoom);
    let second = harness.starts().remove(0);
    expect_that!(second.worker, not(eq(first.worker)));
    expect_that!(second.run, gt(first.run));
}

/// Guards against a second run while the lease of an unresponsive worker may still be valid.
#[gtest]
fn a_silent_worker_keeps_its_tasks_until_its_lease_has_expired() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    harness.silence(start.worker);
    harness.advance(LEASE_MS - 100);
    expect_that!(harness.starts(), is_empty());
    harness.advance(200);
    let again = harness.starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].worker, not(eq(start.worker)));
}

/// Guards against a new owner that starts tasks its predecessor may have started.
#[gtest]
fn inherited_tasks_wait_until_every_worker_has_reported() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.report_idle(0);
    expect_that!(harness.starts(), is_empty());
    harness.accept(2, vec![step(1, 1_000)]);
    expect_that!(
        harness.starts().len(),
        eq(1),
        "a new workflow need not wait"
    );
    harness.report_idle(1);
    expect_that!(harness.starts().len(), eq(1));
}

/// Load pattern: submissions through an owner that has not seen its successor's claim. Guards against
/// an owner that starts what it stored behind its successor's fence.
#[gtest]
fn a_stored_submission_is_started_once_it_is_confirmed() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept_unconfirmed(1, vec![step(1, 1_000)]);
    harness.accept(2, vec![step(1, 1_000)]);
    expect_that!(harness.starts().len(), eq(1), "the other one need not wait");
    expect_that!(harness.state(1), some(eq(State::Queued)));
    harness.accept(1, vec![step(1, 1_000)]);
    expect_that!(harness.starts().len(), eq(1));
    harness.accept_unconfirmed(1, vec![step(1, 1_000)]);
    harness.accept_unconfirmed(2, vec![step(1, 1_000)]);
    expect_that!(harness.phase(2, 0), not(eq(Phase::Waiting)));
}

/// Guards against a new owner that waits forever for a dead worker.
#[gtest]
fn inherited_tasks_start_once_the_predecessors_leases_have_expired() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.report_idle(0);
    harness.advance(9_000);
    harness.report_idle(0);
    expect_that!(harness.starts(), is_empty());
    harness.advance(1_100);
    harness.report_idle(0);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a second run of a task that the predecessor started and a worker reports.
#[gtest]
fn a_run_of_the_predecessor_is_adopted_from_the_report() {
    let mut harness = Harness::unreported(1, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.report_running(0, 1, Run(7));
    expect_that!(harness.starts(), is_empty());
    expect_that!(harness.phase(1, 0), matches_pattern!(Phase::Running { .. }));
    expect_that!(harness.state(1), some(eq(State::Running)));
}

/// Guards against tasks that continue after their workflow was cancelled.
#[gtest]
fn a_cancelled_workflow_is_stopped_also_where_a_worker_reports_it_late() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(2, 1_000)]);
    let starts = harness.starts();
    harness.answer(&starts[0], StartAnswer::Accepted);
    harness.cancel(1);
    expect_that!(harness.stops().len(), eq(2));
    expect_that!(harness.state(1), some(eq(State::Cancelled)));
    harness.end(&starts[0], EndKind::Stopped);
    harness.report_running(0, 1, Run(starts[1].run.0 + 1));
    expect_that!(harness.stops().len(), ge(1));
}

/// Guards against more attempts than allowed, and against counting one failed attempt twice.
#[gtest]
fn a_task_fails_after_its_last_attempt_and_a_repeated_end_counts_once() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(1, 1_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    harness.end(&first, EndKind::Failed);
    harness.list_ends_again(&first, EndKind::Failed);
    expect_that!(harness.state(1), some(eq(State::Running)));
    harness.advance(100);
    let second = harness.starts().remove(0);
    harness.answer(&second, StartAnswer::Accepted);
    harness.end(&second, EndKind::Failed);
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Failed)));
}

/// Guards against a new owner that runs tasks again whose completion was saved.
#[gtest]
fn restored_progress_starts_only_unfinished_tasks() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(3, 1_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.end(&starts[1], EndKind::Done);
    let progress = harness.save();
    let mut successor = Harness::unreported(1, 16_000, 0);
    successor.accept_inherited(1, vec![step(3, 1_000)]);
    successor.restore(progress);
    successor.report_idle(0);
    let again = successor.starts();
    let left: Vec<u32> = again.iter().map(|start| start.name.index).collect();
    expect_that!(left, elements_are![eq(&0), eq(&2)]);
}

/// Guards against a gang of which only some members start.
#[gtest]
fn a_gang_that_does_not_fit_as_a_whole_starts_no_member() {
    let mut harness = Harness::with_workers(2, 2_000);
    let gang = Step {
        gang: true,
        ..step(3, 2_000)
    };
    harness.accept(1, vec![gang]);
    expect_that!(harness.starts(), is_empty());
    let mut harness = Harness::with_workers(3, 2_000);
    let gang = Step {
        gang: true,
        ..step(3, 2_000)
    };
    harness.accept(1, vec![gang]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(3));
    expect_that!(
        starts.iter().all(|start| start.run == starts[0].run),
        eq(true)
    );
}

/// Load pattern: the first run of every task fails, on every worker. Guards against a pool in which
/// all workers are suspended, so that no one runs the next attempts.
#[gtest]
fn half_of_a_pool_is_used_although_tasks_fail_on_every_worker() {
    let mut harness = Harness::with_workers(6, 8_000);
    harness.accept(1, vec![step(48, 1_000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(48));
    harness.answer_all(&starts, StartAnswer::Accepted);
    for start in &starts {
        harness.end(start, EndKind::Failed);
    }
    harness.advance(100);
    expect_that!(harness.starts().len(), ge(24));
}

/// Guards against a faulty worker that uses up the attempts of many workflows.
#[gtest]
fn a_worker_whose_tasks_fail_is_suspended() {
    let mut harness = Harness::with_workers(2, 64_000);
    for id in 1..=2 {
        harness.accept(id, vec![step(1, 1_000)]);
    }
    let starts = harness.starts();
    let bad = starts[0].worker;
    harness.answer_all(&starts, StartAnswer::Accepted);
    for start in starts.iter().filter(|start| start.worker == bad) {
        harness.end(start, EndKind::Failed);
    }
    for id in 3..=4 {
        harness.accept(id, vec![step(2, 1_000)]);
    }
    harness.advance(100);
    let next = harness.starts();
    harness.answer_all(&next, StartAnswer::Accepted);
    for start in next.iter().filter(|start| start.worker == bad) {
        harness.end(start, EndKind::Failed);
    }
    harness.advance(100);
    harness.accept(5, vec![step(8, 1_000)]);
    let after = harness.starts();
    expect_that!(after.iter().any(|start| start.worker == bad), eq(false));
}

/// Guards against long-running tasks that stay above their target because one of several
/// best-effort images interferes with them, and against halting the harmless images.
#[gtest]
fn an_interfering_best_effort_image_is_halted_and_a_harmless_one_keeps_running() {
    let mut harness = Harness::with_workers(1, 32_000);
    harness.accept(1, vec![long_running(4, 2_000, "serving")]);
    let serving = harness.starts();
    harness.answer_all(&serving, StartAnswer::Accepted);
    harness.accept(2, vec![workflow_support::best_effort(1, 3_000, "harmful")]);
    harness.accept(3, vec![workflow_support::best_effort(1, 3_000, "harmless")]);
    let best_effort_runs = harness.starts();
    harness.answer_all(&best_effort_runs, StartAnswer::Accepted);
    // The tails are long exactly while the interfering image runs.
    for _ in 0..40 {
        let interfering_image_runs = harness.pace_of(2) > 0;
        let tail_ms = if interfering_image_runs { 150 } else { 40 };
        harness.report_tails(0, tail_ms);
        harness.advance(700);
        let _ = harness.starts();
    }
    expect_that!(harness.pace_of(2), eq(0));
    expect_that!(harness.pace_of(3), eq(100));
}

/// Load pattern: an order to halt interfering work gets no answer, or is not sent because the owner has no
/// lease. Guards against work that interferes on, because the order counts as carried out.
#[gtest]
fn a_halt_that_may_not_have_been_carried_out_is_ordered_again() {
    let mut harness = Harness::with_workers(1, 32_000);
    harness.accept(1, vec![long_running(1, 4_000, "frail")]);
    harness.accept(2, vec![workflow_support::best_effort(1, 8_000, "loud")]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    for _ in 0..20 {
        harness.advance(700);
        harness.report_tails(0, 1_000);
        harness.starts_again_later();
    }
    expect_that!(harness.pace_of(2), eq(0));
    harness.take_paces();
    harness.advance(700);
    harness.report_tails(0, 1_000);
    harness.starts_again_later();
    expect_that!(harness.take_paces(), is_empty());
    let loud = starts.iter().find(|start| start.name.workflow.0 == 2);
    let loud = loud.expect("start");
    harness.scheduler.pace_unknown(loud.name, loud.run);
    harness.advance(700);
    harness.report_tails(0, 1_000);
    harness.starts_again_later();
    expect_that!(harness.take_paces(), elements_are![eq(&(loud.name, 0))]);
}

/// Guards against workers with a mix of long-running images, after tasks of several images arrive
/// on empty workers.
#[gtest]
fn long_running_tasks_are_grouped_by_image() {
    let mut harness = Harness::with_workers(4, 32_000);
    for (id, image) in [(1, "a"), (2, "b"), (3, "a"), (4, "b")] {
        harness.accept(id, vec![long_running(2, 4_000, image)]);
    }
    let starts = harness.starts();
    let workers = |id: u64| -> Vec<_> {
        let of = starts.iter().filter(|start| start.name.workflow.0 == id);
        of.map(|start| start.worker).collect()
    };
    expect_that!(workers(1), eq(&workers(3)));
    expect_that!(workers(2), eq(&workers(4)));
    expect_that!(workers(1)[0], not(eq(workers(2)[0])));
}

/// Guards against best-effort tasks that wait although the long-running tasks use only half of
/// what they reserve.
#[gtest]
fn best_effort_tasks_use_cpu_that_long_running_tasks_reserve_but_leave_idle() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![long_running(4, 4_000, "serving")]);
    let serving = harness.starts();
    harness.answer_all(&serving, StartAnswer::Accepted);
    harness.accept(2, vec![workflow_support::best_effort(2, 3_000, "harmless")]);
    expect_that!(harness.starts().len(), eq(2));
}

/// Guards against short tasks that wait behind long-running ones when processors are scarce: short
/// tasks are worth several times as much per processor, and only if they are in time.
#[gtest]
fn short_tasks_start_before_waiting_long_running_tasks() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(1, 16_000)]);
    let first = harness.starts();
    harness.answer_all(&first, StartAnswer::Accepted);
    harness.accept(2, vec![long_running(2, 8_000, "a")]);
    harness.accept(3, vec![step(1, 8_000)]);
    expect_that!(harness.starts(), is_empty());
    harness.end(&first[0], EndKind::Done);
    let next = harness.starts();
    expect_that!(next[0].name.workflow.0, eq(3));
}

/// Guards against long-running tasks that arrive between two waves of short tasks, take the
/// capacity that the waves use in turn, and keep it for minutes.
#[gtest]
fn long_running_tasks_leave_the_recent_peak_of_short_tasks_free() {
    let mut harness = Harness::with_workers(4, 16_000);
    harness.accept(1, vec![step(4, 8_000)]);
    let wave = harness.starts();
    harness.answer_all(&wave, StartAnswer::Accepted);
    harness.advance(1_000);
    expect_that!(harness.starts(), is_empty());
    wave.iter()
        .for_each(|start| harness.end(start, EndKind::Done));
    harness.advance(1_000);
    harness.accept(2, vec![long_running(8, 8_000, "a")]);
    let long_running = harness.starts();
    // Half of each of the four workers.
    expect_that!(long_running.len(), eq(4));
    harness.answer_all(&long_running, StartAnswer::Accepted);
    harness.accept(3, vec![step(4, 8_000)]);
    expect_that!(harness.starts().len(), eq(4));
}

/// Guards against long-running tasks that wait although capacity beside the recent peak of short
/// tasks is free.
#[gtest]
fn long_running_tasks_start_while_half_of_the_processors_are_free() {
    let mut harness = Harness::with_workers(4, 16_000);
    harness.accept(1, vec![step(8, 8_000)]);
    let wave = harness.starts();
    harness.answer_all(&wave, StartAnswer::Accepted);
    harness.advance(1_000);
    wave.iter()
        .for_each(|start| harness.end(start, EndKind::Done));
    harness.accept(2, vec![long_running(4, 8_000, "a")]);
    expect_that!(harness.starts().len(), eq(4));
}

/// Guards against a gang of a lower-priority queue that is held to the capacity rule of the
/// long-running step placed before it.
#[gtest]
fn a_gang_uses_free_capacity_while_a_long_running_step_waits() {
    let mut harness = Harness::with_workers(1, 16_000);
    harness.accept(1, vec![step(1, 8_000)]);
    let short = harness.starts();
    harness.answer_all(&short, StartAnswer::Accepted);
    harness.advance(1_000);
    expect_that!(harness.starts(), is_empty());
    harness.end(&short[0], EndKind::Done);
    harness.accept(2, vec![long_running(1, 12_000, "a")]);
    let gang = Step {
        gang: true,
        ..step(1, 10_000)
    };
    harness.accept_in(3, "later", vec![gang]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].name.workflow.0, eq(3));
}

/// Guards against a worker that has left and is used again after a restart of the owner, which knows
/// it from the roster only.
#[gtest]
fn a_worker_that_has_left_gets_no_task_after_a_restart() {
    let mut before = Harness::with_workers(2, 16_000);
    let roster = before.roster();
    before.leave(0);
    let mut harness = Harness::unreported(0, 16_000, 10_000);
    harness.restore_roster(roster);
    harness.list(1);
    (0..2).for_each(|number| harness.report_idle(number));
    harness.accept(1, vec![step(20, 1_000)]);
    let starts = harness.starts();
    expect_that!(starts, not(is_empty()));
    let left = harness.workers[0];
    expect_that!(starts.iter().all(|start| start.worker != left), eq(true));
}
