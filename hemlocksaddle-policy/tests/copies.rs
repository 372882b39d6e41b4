//! Speculative copies of tasks whose run is late or may never have started.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{
    CopyEvent, CopyReason, EndKind, Order, Phase, Start, StartAnswer,
};
use hemlocksaddle_types::workflow::State;
use workflow_support::{Harness, copies::speculative, step};

/// Progress in 100 ms of a run that takes as long as declared.
const FULL_SPEED: f64 = 10.0;

/// The same of a run that takes three times as long.
const THIRD_SPEED: f64 = 10.0 / 3.0;

/// Learns that runs take as long as declared.
fn learn_run_times(harness: &mut Harness) {
    for id in 1_000..1_020 {
        harness.accept(id, vec![speculative(1, 1_000)]);
        let start = harness.starts().remove(0);
        harness.answer(&start, StartAnswer::Accepted);
        harness.advance(1_000);
        harness.end(&start, EndKind::Done);
        harness.save();
    }
    harness.renew();
}

/// Leaves the start of a task unanswered for 900 ms.
fn leave_unanswered(harness: &mut Harness, start: &Start) {
    for _ in 0..2 {
        harness.advance(400);
        harness.answer(start, StartAnswer::Unknown);
    }
    harness.advance(100);
    harness.renew();
}

/// Starts one task and leaves its start unanswered until it has a copy; returns the orders to start both.
fn unanswered_with_copy(harness: &mut Harness) -> (Start, Start) {
    harness.accept(1, vec![speculative(1, 4_000)]);
    let first = harness.starts().remove(0);
    harness.renew();
    leave_unanswered(harness, &first);
    let copy = harness.starts().remove(0);
    (first, copy)
}

/// Starts one task that runs at a third of its speed until it has a copy; returns the orders to start both.
fn late_with_copy(harness: &mut Harness) -> (Start, Start) {
    learn_run_times(harness);
    harness.accept(1, vec![speculative(1, 4_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    let mut runs = [(first.clone(), 0.0, THIRD_SPEED)];
    let mut started = harness.pass_running(700, &mut runs);
    assert_that!(started.len(), eq(1));
    let copy = started.remove(0);
    harness.answer(&copy, StartAnswer::Accepted);
    (first, copy)
}

/// Load: twenty tasks on twenty workers, of which a tenth leaves orders to start unanswered. Guards against tasks
/// that are held until a lease has expired, and against copies of tasks that run as expected.
#[gtest]
fn unanswered_starts_on_a_tenth_of_the_workers_are_copied() {
    let mut harness = Harness::with_copies(20, 16_000, 2);
    harness.accept(1, vec![speculative(20, 4_000)]);
    let starts = harness.starts();
    harness.renew();
    let is_lost = |harness: &Harness, start: &Start| harness.number_of(start) < 2;
    let (lost, answered): (Vec<_>, Vec<_>) = starts
        .into_iter()
        .partition(|start| is_lost(&harness, start));
    assert_that!(lost.len(), eq(2));
    harness.answer_all(&answered, StartAnswer::Accepted);
    harness.answer_all(&lost, StartAnswer::Unknown);
    let mut runs: Vec<_> = answered
        .into_iter()
        .map(|start| (start, 0.0, FULL_SPEED))
        .collect();
    // One lost answer is no reason; the order is sent again first.
    expect_that!(harness.pass_running(700, &mut runs), is_empty());
    let copies = harness.pass_running(200, &mut runs);
    let copied: Vec<_> = copies.iter().map(|copy| copy.name).collect();
    let expected: Vec<_> = lost.iter().map(|start| start.name).collect();
    expect_that!(copied.len(), eq(2));
    for name in expected {
        expect_that!(copied, contains(eq(&name)));
    }
    for copy in &copies {
        // Both lost starts were ordered from workers of rack 0.
        expect_that!(harness.number_of(copy), ge(2));
        harness.answer(copy, StartAnswer::Accepted);
    }
    let reasons = harness.copies().into_iter().map(|(.., reason)| reason);
    expect_that!(
        reasons.collect::<Vec<_>>(),
        each(eq(&CopyReason::Unanswered))
    );
    runs.iter()
        .for_each(|(start, ..)| harness.end(start, EndKind::Done));
    copies
        .iter()
        .for_each(|copy| harness.end(copy, EndKind::Done));
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Completed)));
}

/// Load: ten tasks of one workflow, of which those on half of the ten workers take three times as long as the others.
/// Guards against a workflow that is late although a copy would be in time, against copies on the slow workers, and
/// against copies without a limit.
#[gtest]
fn runs_that_take_three_times_as_long_on_some_workers_are_copied() {
    let mut harness = Harness::with_copies(10, 32_000, 1);
    learn_run_times(&mut harness);
    harness.accept(1, vec![speculative(10, 4_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    let slow = |harness: &Harness, start: &Start| harness.number_of(start) < 5;
    let mut runs: Vec<_> = starts
        .iter()
        .map(|start| {
            let speed = if slow(&harness, start) {
                THIRD_SPEED
            } else {
                FULL_SPEED
            };
            (start.clone(), 0.0, speed)
        })
        .collect();
    let copies = harness.pass_running(700, &mut runs);
    // 5% of 320 cores.
    expect_that!(copies.len(), eq(4));
    for copy in &copies {
        expect_that!(slow(&harness, copy), eq(false), "{copy:?}");
        let of_copied = starts.iter().find(|start| start.name == copy.name);
        expect_that!(
            of_copied.is_some_and(|start| slow(&harness, start)),
            eq(true)
        );
    }
    let reasons = harness.copies().into_iter().map(|(.., reason)| reason);
    expect_that!(reasons.collect::<Vec<_>>(), each(eq(&CopyReason::Late)));
}

/// Load: late runs on workers of which each task takes a whole one, and on workers with room while other tasks wait.
/// Guards against copies that take the processors of work that was not started yet.
#[gtest]
fn a_full_pool_gets_no_copies() {
    // Both workers are full with a task each; workers 2 and 3 have room for neither.
    let mut harness = Harness::with_copies(2, 4_000, 1);
    learn_run_times(&mut harness);
    harness.accept(1, vec![speculative(2, 4_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    let with_speed = |start: &Start| (start.clone(), 0.0, THIRD_SPEED);
    let mut runs: Vec<_> = starts.iter().map(with_speed).collect();
    expect_that!(harness.pass_running(2_000, &mut runs), is_empty());
    // Room for the copy of a small task, but not for a large one that waits.
    let copies_beside = |waits: bool| {
        let mut harness = Harness::with_copies(4, 8_000, 1);
        learn_run_times(&mut harness);
        harness.accept(1, vec![speculative(4, 2_000)]);
        let starts = harness.starts();
        harness.answer_all(&starts, StartAnswer::Accepted);
        if waits {
            harness.accept(2, vec![step(1, 8_000)]);
        }
        let mut runs: Vec<_> = starts
            .iter()
            .map(|start| (start.clone(), 0.0, FULL_SPEED))
            .collect();
        runs[0].2 = THIRD_SPEED;
        let copies = harness.pass_running(900, &mut runs);
        copies.len()
    };
    expect_that!(copies_beside(false), eq(1));
    expect_that!(copies_beside(true), eq(0));
}

/// Load: a late run in a workflow that is in time all the same, since its longer step is still to come. Guards against
/// copies that help no caller.
#[gtest]
fn a_late_run_of_a_workflow_in_time_gets_no_copy() {
    for rest_ms in [0, 10_000] {
        let mut harness = Harness::with_copies(4, 16_000, 1);
        learn_run_times(&mut harness);
        let mut last = step(1, 4_000);
        last.expected_run_ms = rest_ms;
        last.depends_on = vec![0];
        harness.accept(1, vec![speculative(1, 4_000), last]);
        let first = harness.starts().remove(0);
        harness.answer(&first, StartAnswer::Accepted);
        let mut runs = [(first, 0.0, THIRD_SPEED)];
        let copies = harness.pass_running(900, &mut runs);
        expect_that!(copies.len(), eq(usize::from(rest_ms == 0)), "{rest_ms} ms");
    }
}

/// Load: a late run and an unanswered start of a step without `speculative`, and of one with it where copies are
/// off. Guards against a task that runs twice without its caller's leave.
#[gtest]
fn other_steps_and_schedulers_without_the_setting_get_no_copies() {
    for (is_on, is_speculative) in [(true, false), (false, true)] {
        let mut harness = Harness::with_copies(4, 16_000, 1);
        learn_run_times(&mut harness);
        harness.scheduler.set_copies(is_on);
        let mut asked = speculative(2, 4_000);
        asked.speculative = is_speculative;
        harness.accept(1, vec![asked]);
        let starts = harness.starts();
        harness.answer(&starts[0], StartAnswer::Accepted);
        harness.answer(&starts[1], StartAnswer::Unknown);
        let mut runs = [(starts[0].clone(), 0.0, THIRD_SPEED)];
        expect_that!(harness.pass_running(2_000, &mut runs), is_empty());
    }
}

/// Load: an unanswered start in a pool whose workers do not check whether a task fits. Guards against a worker that
/// starts the task late, beyond its capacity.
#[gtest]
fn an_unanswered_start_is_not_copied_where_workers_do_not_check_their_room() {
    let mut harness = Harness::with_copies(4, 16_000, 1);
    harness.unguard_pool();
    harness.accept(1, vec![speculative(1, 4_000)]);
    let first = harness.starts().remove(0);
    harness.renew();
    leave_unanswered(&mut harness, &first);
    expect_that!(harness.starts(), is_empty());
}

/// Load: a late run with a copy; either completes first. Guards against a loser that goes on, and against a task
/// that is completed twice or an end that is never acknowledged.
#[gtest]
fn the_first_end_counts_and_the_other_run_is_stopped() {
    for copy_wins in [true, false] {
        let mut harness = Harness::with_copies(4, 16_000, 1);
        let (first, copy) = late_with_copy(&mut harness);
        let (winner, loser) = if copy_wins {
            (&copy, &first)
        } else {
            (&first, &copy)
        };
        expect_that!(harness.stops(), is_empty());
        harness.scheduler.take_copy_events();
        harness.end(winner, EndKind::Done);
        expect_that!(
            harness.scheduler.take_copy_events(),
            elements_are![pat!(CopyEvent::Decided {
                by_copy: eq(&copy_wins),
                ..
            })]
        );
        expect_that!(harness.stops(), elements_are![eq(&(loser.name, loser.run))]);
        harness.save();
        expect_that!(harness.state(1), some(eq(State::Completed)));
        // The loser may complete before the order reaches it.
        harness.end(loser, EndKind::Done);
        harness.save();
        for start in [winner, loser] {
            let worker = harness.scheduler.worker(start.worker).expect("worker");
            expect_that!(worker.saved_ends, eq(worker.applied_ends));
            expect_that!(worker.has_unsaved_ends(), eq(false));
        }
        expect_that!(harness.starts(), is_empty());
        expect_that!(harness.scheduler.copied_tasks(), eq(0));
    }
}

/// Failure: both runs of a copied task fail, twice a task where three attempts are allowed. Guards against a failed
/// run that counts twice or not at all, and against a run that is stopped for the failure of the other.
#[gtest]
fn each_run_that_fails_counts_as_one_attempt() {
    let mut harness = Harness::with_copies(6, 16_000, 1);
    let (first, copy) = late_with_copy(&mut harness);
    harness.end(&first, EndKind::Failed);
    expect_that!(harness.stops(), is_empty());
    expect_that!(
        harness.phase(1, 0),
        pat!(Phase::Running {
            worker: eq(copy.worker),
            ..
        })
    );
    harness.end(&copy, EndKind::Failed);
    harness.advance(100);
    let mut third = harness.starts();
    assert_that!(third.len(), eq(1));
    let third = third.remove(0);
    expect_that!(third.run, gt(copy.run));
    expect_that!(harness.state(1), some(eq(State::Running)));
    // A copy would be a fourth attempt.
    harness.renew();
    leave_unanswered(&mut harness, &third);
    expect_that!(harness.starts(), is_empty());
    harness.answer(&third, StartAnswer::Accepted);
    harness.end(&third, EndKind::Failed);
    harness.save();
    expect_that!(harness.state(1), some(eq(State::Failed)));
}

/// Failure: the order that got no answer is carried out after its task is done. Guards against a run that nobody
/// stops, and against room that is given away while the order may still be carried out.
#[gtest]
fn a_start_that_is_carried_out_after_the_end_is_stopped() {
    let mut harness = Harness::with_copies(2, 4_000, 1);
    let (first, copy) = unanswered_with_copy(&mut harness);
    harness.answer(&copy, StartAnswer::Accepted);
    harness.report_running(harness.number_of(&copy), 1, copy.run);
    // The report does not list the run yet; its room is kept.
    harness.report_idle(harness.number_of(&first));
    harness.end(&copy, EndKind::Done);
    harness.accept(2, vec![step(2, 4_000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].worker, eq(copy.worker));
    harness.stops();
    harness.report_running(harness.number_of(&first), 1, first.run);
    expect_that!(harness.stops(), elements_are![eq(&(first.name, first.run))]);
    harness.report_idle(harness.number_of(&first));
    expect_that!(harness.starts().len(), eq(1));
}

/// Failure: the copy is refused, or its worker is lost. Guards against a task without a run, a run on the worker of
/// the earlier one, and an earlier run that is stopped or does not count.
#[gtest]
fn the_earlier_run_counts_when_the_copy_is_lost() {
    for is_refused in [true, false] {
        let mut harness = Harness::with_copies(3, 16_000, 1);
        let (first, copy) = unanswered_with_copy(&mut harness);
        if is_refused {
            harness.answer(&copy, StartAnswer::NoRoom);
        } else {
            harness.answer(&copy, StartAnswer::Accepted);
            harness.crash(&copy, 100);
        }
        harness.report_running(harness.number_of(&first), 1, first.run);
        harness.advance(100);
        for start in harness.starts() {
            expect_that!(start.worker, not(eq(first.worker)));
            expect_that!(start.run, gt(first.run));
        }
        harness.report_running(harness.number_of(&first), 1, first.run);
        expect_that!(harness.stops(), not(contains(eq(&(first.name, first.run)))));
        harness.end(&first, EndKind::Done);
        harness.save();
        expect_that!(
            harness.state(1),
            some(eq(State::Completed)),
            "refused: {is_refused}"
        );
    }
}

/// Failure: the worker of the copy is silent until its lease has expired, and the task starts once more. Guards against
/// the end of the earlier run, which was never in doubt, that is not acknowledged.
#[gtest]
fn the_earlier_run_counts_after_the_end_of_the_copy_is_unknown() {
    let mut harness = Harness::with_copies(4, 16_000, 1);
    let (first, copy) = unanswered_with_copy(&mut harness);
    harness.answer(&copy, StartAnswer::Accepted);
    harness.silence(copy.worker);
    for _ in 0..8 {
        harness.advance(1_000);
        harness.report_running(harness.number_of(&first), 1, first.run);
        let starts = harness.starts();
        harness.answer_all(&starts, StartAnswer::Accepted);
        let again = starts.iter().find(|start| start.name == first.name);
        if let Some(again) = again {
            expect_that!(again.worker, not(any![eq(first.worker), eq(copy.worker)]));
            harness.end(&first, EndKind::Done);
            harness.save();
            let worker = harness.scheduler.worker(first.worker).expect("worker");
            expect_that!(worker.has_unsaved_ends(), eq(false));
            expect_that!(harness.state(1), some(eq(State::Completed)));
            return;
        }
    }
    panic!("the task did not start again");
}

/// Failure: the worker of the unanswered start starts anew before it carries the order out. Guards against a run of
/// the new process that is not counted or goes on.
#[gtest]
fn a_later_process_is_ordered_to_stop_a_run_that_may_still_start() {
    let mut harness = Harness::with_copies(3, 4_000, 1);
    let (first, copy) = unanswered_with_copy(&mut harness);
    harness.answer(&copy, StartAnswer::Accepted);
    let number = harness.number_of(&first);
    let mut listed = harness.roster();
    listed[number].born_ms += 1;
    let new = harness.scheduler.list_workers(listed, harness.now());
    harness.workers[number] = new[0];
    harness.scheduler.mark_rostered(new[0]);
    let stops = harness
        .orders()
        .into_iter()
        .filter_map(|order| match order {
            Order::Stop { worker, run, .. } => Some((worker, run)),
            _ => None,
        });
    expect_that!(
        stops.collect::<Vec<_>>(),
        elements_are![eq(&(new[0], first.run))]
    );
    harness.report_idle(number);
    harness.accept(2, vec![step(2, 4_000)]);
    // The room of the run is kept.
    expect_that!(harness.starts().len(), eq(1));
}

/// Failure: the earlier run completes while the start of the copy is unanswered. Guards against room of the copy's worker
/// that is given away while the order may still be carried out.
#[gtest]
fn the_room_of_an_unanswered_copy_is_kept() {
    let mut harness = Harness::with_copies(2, 4_000, 1);
    let (first, copy) = unanswered_with_copy(&mut harness);
    harness.answer(&copy, StartAnswer::Unknown);
    harness.end(&first, EndKind::Done);
    expect_that!(harness.stops(), elements_are![eq(&(copy.name, copy.run))]);
    harness.advance(100);
    harness.report_idle(harness.number_of(&copy));
    harness.report_idle(harness.number_of(&first));
    harness.accept(2, vec![step(2, 4_000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].worker, eq(first.worker));
}

/// Failure: a task crashes each worker that starts it, so that its start gets no answer. Guards against a copy that
/// crashes another worker before the first crash is known.
#[gtest]
fn a_start_on_a_worker_that_is_silent_is_not_copied() {
    let mut harness = Harness::with_copies(4, 16_000, 1);
    harness.accept(1, vec![speculative(1, 4_000)]);
    let first = harness.starts().remove(0);
    harness.renew();
    harness.silence(first.worker);
    leave_unanswered(&mut harness, &first);
    expect_that!(harness.starts(), is_empty());
}

/// Failure: the same, with a worker whose connections stay open, so that it is taken as silent later. Guards against a
/// crash that is not held against the task since its run was set aside.
#[gtest]
fn the_crash_of_the_worker_of_the_earlier_run_counts_against_the_task() {
    let mut harness = Harness::with_copies(4, 16_000, 1);
    let (first, copy) = unanswered_with_copy(&mut harness);
    harness.answer(&copy, StartAnswer::Unknown);
    harness.crash(&first, 100);
    let job = harness
        .scheduler
        .job(first.name.workflow)
        .expect("workflow");
    let task = job.task_named(first.name).expect("task");
    let crashed: Vec<_> = task.crashes.iter().map(|crash| crash.run).collect();
    expect_that!(crashed, elements_are![eq(&first.run)]);
}

/// Failure: a run whose start got no answer, and which a report has shown since, is moved off a worker that leaves.
/// Guards against a second run before the first one has stopped.
#[gtest]
fn a_run_that_is_being_moved_is_not_taken_as_unanswered() {
    let mut harness = Harness::with_copies(4, 16_000, 1);
    let mut asked = speculative(1, 4_000);
    asked.checkpointed = true;
    harness.accept(1, vec![asked]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Unknown);
    harness.advance(100);
    harness.report_running(harness.number_of(&first), 1, first.run);
    harness.drain(&first);
    expect_that!(harness.stops(), elements_are![eq(&(first.name, first.run))]);
    harness.advance(1_000);
    expect_that!(harness.starts(), is_empty());
}

/// Failure: the worker of the earlier run is silent until its lease has expired. Guards against an entry that counts as a
/// second run for good.
#[gtest]
fn an_earlier_run_is_forgotten_when_its_lease_has_expired() {
    let mut harness = Harness::with_copies(4, 16_000, 1);
    let (first, copy) = late_with_copy(&mut harness);
    harness.silence(first.worker);
    for second in 0..8 {
        harness.advance(1_000);
        harness.report_progress(harness.number_of(&copy), 1, copy.run, 20 + second);
        harness.starts();
    }
    expect_that!(harness.scheduler.copied_tasks(), eq(0));
}

/// Failure: the caller cancels a workflow with two runs. Guards against an earlier run that goes on.
#[gtest]
fn both_runs_of_a_cancelled_workflow_are_stopped() {
    let mut harness = Harness::with_copies(4, 16_000, 1);
    let (first, copy) = late_with_copy(&mut harness);
    harness.cancel(1);
    let stops = harness.stops();
    expect_that!(
        stops,
        unordered_elements_are![eq(&(first.name, first.run)), eq(&(copy.name, copy.run))]
    );
}

/// Failure: the owner is replaced while a task has two runs. Guards against a task that is started once more, and
/// against a task that never ends since the runs stop each other.
#[gtest]
fn a_successor_keeps_one_of_both_runs() {
    for earlier_first in [true, false] {
        let mut harness = Harness::with_copies(4, 16_000, 1);
        let (first, copy) = late_with_copy(&mut harness);
        let progress = harness.save();
        let numbers = [harness.number_of(&first), harness.number_of(&copy)];
        let mut successor = Harness::of_term(3, 4, 16_000, 10_000);
        successor.scheduler.set_copies(true);
        successor.configure_attempts(3);
        successor.accept_inherited(1, vec![speculative(1, 4_000)]);
        successor.restore(progress);
        let mut runs = [(numbers[0], first.run), (numbers[1], copy.run)];
        if !earlier_first {
            runs.reverse();
        }
        for (number, run) in runs {
            successor.report_running(number, 1, run);
        }
        expect_that!(successor.starts(), is_empty());
        expect_that!(
            successor.stops(),
            elements_are![eq(&(first.name, runs[1].1))]
        );
        // The other one completes before the order reaches it.
        let loser = Start {
            worker: successor.workers[runs[1].0],
            run: runs[1].1,
            ..first.clone()
        };
        successor.end(&loser, EndKind::Done);
        successor.save();
        expect_that!(successor.state(1), some(eq(State::Completed)));
        let worker = successor.scheduler.worker(loser.worker).expect("worker");
        expect_that!(worker.has_unsaved_ends(), eq(false));
    }
}

/// Load: a tenant whose cap allows one run of a late task. Guards against a copy beyond the cap.
#[gtest]
fn a_copy_counts_for_the_cap_of_its_tenant() {
    for (cap, expected) in [(7_000, 0), (8_000, 1)] {
        let mut harness = Harness::with_copies(4, 16_000, 1);
        harness.configure_tenants(&[("a", 1, cap)]);
        harness.accept_of("a", 1, vec![speculative(1, 4_000)]);
        let first = harness.starts().remove(0);
        harness.renew();
        leave_unanswered(&mut harness, &first);
        let copies = harness.starts();
        expect_that!(copies.len(), eq(expected), "cap {cap}");
        let (used, _) = harness.scheduler.tenant_usage("a").expect("tenant");
        expect_that!(used.cpu_milli, eq(4_000 * (1 + expected as u64)));
        let last = copies.into_iter().next().unwrap_or(first);
        harness.answer(&last, StartAnswer::Accepted);
        harness.end(&last, EndKind::Done);
        harness.advance(10_000);
        (0..4).for_each(|number| harness.report_idle(number));
        harness.save();
        let (used, _) = harness.scheduler.tenant_usage("a").expect("tenant");
        expect_that!(used.cpu_milli, eq(0));
    }
}
