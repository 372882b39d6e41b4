//! Diagnosis of tasks that have waited long: what for, and which capacity is free.
//!
//! Load pattern of each test: a task that cannot start for one reason until its wait is
//! reported.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{
    EndKind, InterferenceSnapshot, PoolCapacity, Start, StartAnswer, WaitReason, WaitingStep,
};
use hemlocksaddle_types::{
    clock::Millis,
    name::DataCentre,
    workflow::{Run, Step},
};
use workflow_support::{Harness, best_effort, long_running, step};

/// Wait from which a long-running task is reported.
const LONG_RUNNING_MS: u64 = 3_000;

/// Wait from which any other task is reported.
const OTHERS_MS: u64 = 10_000;

/// Time for which a worker takes no task after it refused one.
const REFUSED_MS: u64 = 300;

/// Passes time, with a plan at least every second.
fn wait(harness: &mut Harness, ms: u64) {
    let mut left = ms;
    while left > 0 {
        harness.starts_again_later();
        let passed = left.min(1_000);
        harness.advance(passed);
        left -= passed;
    }
}

/// The only step that is reported.
fn only(harness: &Harness) -> WaitingStep {
    let waiting = harness.waiting();
    assert_that!(waiting.steps.len(), eq(1));
    expect_that!(waiting.longest, eq(waiting.steps[0].waited));
    expect_that!(waiting.unexamined_tasks, eq(0));
    waiting.steps[0].clone()
}

/// Expects that the only reported step waits for a reason; returns the workers of its pool.
fn expect_reason(harness: &Harness, reason: WaitReason) -> PoolCapacity {
    let step = only(harness);
    expect_that!(step.reason, eq(reason));
    step.capacity
}

fn start(harness: &mut Harness) -> Start {
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    start
}

/// Guards against a report of each short wait, and against one that comes late.
#[gtest]
fn a_wait_is_reported_from_its_threshold_on() {
    for (tasks, threshold_ms) in [
        (long_running(2, 5_000, "image"), LONG_RUNNING_MS),
        (step(2, 5_000), OTHERS_MS),
    ] {
        let mut harness = Harness::with_workers(1, 4_000);
        harness.accept(1, vec![tasks]);
        wait(&mut harness, threshold_ms - 1);
        expect_that!(harness.waiting().steps, is_empty());
        harness.advance(1);
        let waiting = only(&harness);
        expect_that!(waiting.waited, eq(Millis(threshold_ms)));
        expect_that!(waiting.tasks, eq(2));
        expect_that!(waiting.demand.cpu_milli, eq(5_000));
        expect_that!(waiting.task.workflow.0, eq(1));
    }
}

/// Guards against a log that is filled by one task that waits for hours.
#[gtest]
fn a_wait_is_due_for_a_line_at_each_doubling_of_its_threshold() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(1, 5_000, "image")]);
    let mut lines_at = Vec::new();
    for second in 1..=50 {
        wait(&mut harness, 1_000);
        let waiting = harness.waiting();
        if waiting.steps.iter().any(|step| step.has_doubled) {
            lines_at.push(second);
        }
    }
    expect_that!(
        lines_at,
        elements_are![eq(&3), eq(&6), eq(&12), eq(&24), eq(&48)]
    );
}

/// Guards against a report whose cost grows with the number of waiting workflows, and against tasks
/// that it leaves out without a trace.
#[gtest]
fn the_longest_waiting_steps_are_examined_and_the_others_counted() {
    let mut harness = Harness::with_workers(1, 4_000);
    for id in 1..=10 {
        harness.accept(id, vec![long_running(3, 5_000, "image")]);
        wait(&mut harness, 10);
    }
    wait(&mut harness, LONG_RUNNING_MS + 1_000);
    let waiting = harness.waiting();
    let ids = waiting.steps.iter().map(|step| step.task.workflow.0);
    expect_that!(
        ids.collect::<Vec<u64>>(),
        eq(&(1..=8).collect::<Vec<u64>>())
    );
    expect_that!(waiting.unexamined_tasks, eq(6));
}

/// Guards against a task without any line in the log because others have waited longer.
#[gtest]
fn a_step_is_examined_at_its_threshold_although_many_wait_longer() {
    let mut harness = Harness::with_workers(1, 4_000);
    for id in 1..=10 {
        harness.accept(id, vec![long_running(1, 5_000, "image")]);
    }
    wait(&mut harness, 4_000);
    harness.accept(11, vec![long_running(1, 5_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    let waiting = harness.waiting();
    expect_that!(waiting.steps.len(), eq(9));
    let due = waiting.steps.iter().filter(|step| step.has_doubled);
    let due: Vec<u64> = due.map(|step| step.task.workflow.0).collect();
    expect_that!(due, elements_are![eq(&11)]);
    expect_that!(waiting.unexamined_tasks, eq(2));
}

/// Guards against a wait that looks short because the task was in between ordered to a worker that
/// refused it, and against a start whose line does not tell how long the task had waited.
#[gtest]
fn a_refused_start_continues_the_wait() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    let first = harness.starts().remove(0);
    expect_that!(first.waited, eq(Millis(0)));
    harness.advance(100);
    harness.answer(&first, StartAnswer::NoRoom);
    wait(&mut harness, REFUSED_MS);
    let second = harness.starts().remove(0);
    expect_that!(second.waited, eq(Millis(100 + REFUSED_MS)));
}

/// Guards against a wait that counts from the first start of a task whose run has failed.
#[gtest]
fn the_wait_of_a_failed_task_counts_from_the_end_of_its_run() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    let first = start(&mut harness);
    harness.advance(4_000);
    harness.end(&first, EndKind::Failed);
    wait(&mut harness, 60);
    let second = harness.starts().remove(0);
    expect_that!(second.waited, eq(Millis(60)));
}

#[gtest]
fn a_task_of_the_predecessor_waits_for_unreported_workers() {
    let mut harness = Harness::unreported(2, 4_000, 60_000);
    harness.report_idle(0);
    harness.accept_inherited(1, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::UnreportedWorkers);
    expect_that!(workers.usable, eq(1));
    expect_that!(workers.unreported, eq(1));
}

#[gtest]
fn a_task_of_a_stored_submission_waits_until_it_is_read_back() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept_unconfirmed(1, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    expect_reason(&harness, WaitReason::UnconfirmedSubmission);
}

#[gtest]
fn a_task_that_crashed_its_worker_waits_while_the_crash_cannot_be_saved() {
    let mut harness = Harness::with_workers(2, 4_000);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    let first = start(&mut harness);
    harness.crash(&first, 100);
    wait(&mut harness, LONG_RUNNING_MS);
    expect_reason(&harness, WaitReason::UnsavedCrash);
}

#[gtest]
fn a_task_that_its_worker_cannot_parse_waits_for_the_back_off() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    for _ in 0..2 {
        let start = harness.starts().remove(0);
        harness.answer(&start, StartAnswer::Invalid);
        wait(&mut harness, 2_000);
    }
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Invalid);
    let workers = expect_reason(&harness, WaitReason::BackOff);
    expect_that!(workers.allowed, eq(1));
}

#[gtest]
fn a_member_waits_for_the_others_of_its_gang_to_end() {
    let mut harness = Harness::with_workers(1, 4_000);
    let gang = Step {
        gang: true,
        ..long_running(2, 1_000, "image")
    };
    harness.accept(1, vec![gang]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.advance(10);
    harness.report_all(0, 10);
    harness.end(&starts[1], EndKind::Failed);
    expect_that!(harness.stops().len(), eq(1));
    wait(&mut harness, LONG_RUNNING_MS);
    expect_reason(&harness, WaitReason::GangEnding);
}

#[gtest]
fn a_task_waits_for_the_answer_to_its_order() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(2, 1_000, "image")]);
    for start in harness.starts() {
        harness.answer(&start, StartAnswer::Unknown);
    }
    wait(&mut harness, LONG_RUNNING_MS);
    expect_reason(&harness, WaitReason::StartUnanswered);
    expect_that!(only(&harness).tasks, eq(2));
}

#[gtest]
fn a_task_waits_while_all_workers_drain_or_do_not_answer() {
    let mut harness = Harness::with_workers(3, 4_000);
    harness.accept(9, vec![step(1, 1_000)]);
    let drained = start(&mut harness);
    harness.drain(&drained);
    let drained = harness.number_of(&drained);
    harness.silence(harness.workers[(drained + 1) % 3]);
    harness.silence(harness.workers[(drained + 2) % 3]);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::NoWorker);
    expect_that!(workers.usable, eq(0));
    expect_that!(workers.draining, eq(1));
    expect_that!(workers.silent, eq(2));
}

#[gtest]
fn a_task_waits_while_its_data_centre_is_closed() {
    let mut harness = Harness::with_workers(2, 4_000);
    let closed = DataCentre::try_from("a").expect("name");
    harness
        .scheduler
        .close_data_centres(std::iter::once(closed).collect());
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::NoWorker);
    expect_that!(workers.closed, eq(2));
}

#[gtest]
fn a_task_waits_while_its_worker_runs_what_the_owner_does_not_know() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.unguard_pool();
    harness.report_running(0, 77, Run(1));
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::NoWorker);
    expect_that!(workers.held_back, eq(1));
}

#[gtest]
fn a_task_waits_while_its_worker_is_suspended_for_refusals() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    let mut waited_ms = 0;
    while waited_ms < LONG_RUNNING_MS {
        let start = harness.starts().remove(0);
        harness.answer(&start, StartAnswer::NoRoom);
        wait(&mut harness, REFUSED_MS);
        waited_ms += REFUSED_MS;
    }
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::NoRoom);
    let workers = expect_reason(&harness, WaitReason::NoWorker);
    expect_that!(workers.suspended, eq(1));
}

#[gtest]
fn a_task_waits_for_a_worker_with_its_label() {
    let mut harness = Harness::with_workers(1, 4_000);
    let labelled = Step {
        required_label: Some("other".into()),
        ..long_running(1, 1_000, "image")
    };
    harness.accept(1, vec![labelled]);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::Label);
    expect_that!(workers.usable, eq(1));
    expect_that!(workers.room_for_one, eq(0));
    expect_that!(workers.free_cpu_milli, eq(4_000));
}

#[gtest]
fn a_task_waits_for_room_on_a_worker_that_is_full_of_earlier_tasks() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(1, 4_000, "image")]);
    start(&mut harness);
    harness.accept(2, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::Room);
    expect_that!(workers.started_meanwhile, eq(0));
    expect_that!(workers.free_cpu_milli, eq(0));
}

#[gtest]
fn a_task_is_overtaken_by_short_tasks_that_never_leave_enough_room() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(10, vec![step(1, 1_000)]);
    let mut running = start(&mut harness);
    harness.accept(1, vec![long_running(1, 4_000, "image")]);
    for id in 11..=13 {
        wait(&mut harness, 1_000);
        harness.accept(id, vec![step(1, 1_000)]);
        harness.end(&running, EndKind::Done);
        running = start(&mut harness);
    }
    let workers = expect_reason(&harness, WaitReason::Overtaken);
    expect_that!(workers.started_meanwhile, eq(1));
    expect_that!(workers.started_less_urgent, eq(0));
    expect_that!(workers.cpu_milli, eq(4_000));
    expect_that!(workers.free_cpu_milli, eq(3_000));
    expect_that!(workers.largest_free_cpu_milli, eq(3_000));
    expect_that!(workers.room_for_one, eq(0));
}

#[gtest]
fn a_task_is_overtaken_by_less_urgent_short_tasks_that_fit_where_it_does_not() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(9, vec![step(1, 500)]);
    let first = start(&mut harness);
    harness.accept(1, vec![long_running(1, 4_000, "image")]);
    wait(&mut harness, 1_000);
    harness.accept_in(10, "later", vec![step(1, 1_000)]);
    start(&mut harness);
    harness.end(&first, EndKind::Done);
    wait(&mut harness, 2_000);
    let workers = expect_reason(&harness, WaitReason::OvertakenByLessUrgent);
    expect_that!(workers.started_meanwhile, eq(1));
    expect_that!(workers.started_less_urgent, eq(1));
}

/// Short tasks fill a worker while a long-running one waits, and end together.
fn wave_on_one_worker(harness: &mut Harness, ms: u64) {
    harness.accept(10, vec![step(3, 1_000)]);
    let wave = harness.starts();
    harness.answer_all(&wave, StartAnswer::Accepted);
    harness.accept(1, vec![long_running(1, 2_000, "image")]);
    wait(harness, ms);
    for start in &wave {
        harness.end(start, EndKind::Done);
    }
}

#[gtest]
fn a_task_waits_for_more_room_on_the_only_worker_of_a_wave_that_has_ended() {
    let mut harness = Harness::with_workers(1, 3_000);
    wave_on_one_worker(&mut harness, LONG_RUNNING_MS);
    expect_that!(harness.starts(), is_empty());
    let workers = expect_reason(&harness, WaitReason::RoomForOne);
    expect_that!(workers.room_for_one, eq(1));
    expect_that!(workers.room_for_two, eq(0));
    expect_that!(workers.allowed, eq(1));
}

#[gtest]
fn a_refused_task_waits_again_for_the_recent_peak_to_pass() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.accept(1, vec![long_running(1, 2_000, "image")]);
    let mut waited_ms = 0;
    while waited_ms < LONG_RUNNING_MS {
        let start = harness.starts().remove(0);
        harness.starts_again_later();
        harness.answer(&start, StartAnswer::NoRoom);
        wait(&mut harness, REFUSED_MS);
        waited_ms += REFUSED_MS;
    }
    harness.accept(10, vec![step(3, 1_000)]);
    let wave = harness.starts();
    harness.answer_all(&wave, StartAnswer::Accepted);
    harness.starts_again_later();
    harness.advance(50);
    for start in &wave {
        harness.end(start, EndKind::Done);
    }
    expect_that!(harness.starts(), is_empty());
    let workers = expect_reason(&harness, WaitReason::RecentPeak);
    expect_that!(workers.room_for_one, eq(1));
    expect_that!(workers.allowed, eq(0));
}

#[gtest]
fn a_task_waits_because_of_the_number_of_its_step_on_the_worker() {
    let mut harness = Harness::with_workers(1, 4_000);
    let one_each = Step {
        max_per_worker: 1,
        ..long_running(2, 1_000, "image")
    };
    harness.accept(1, vec![one_each]);
    start(&mut harness);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::TasksPerWorker);
    expect_that!(workers.room_for_two, eq(1));
    expect_that!(workers.allowed, eq(0));
}

#[gtest]
fn a_best_effort_task_waits_where_it_would_interfere() {
    let snapshot = serde_json::json!({
        "images": ["frail", "loud"],
        "lasting": [{ "image": 0, "weights": [0.0, 8.0], "strengths": [1.0, 1.0], "base": 0.2 }],
    });
    let snapshot: InterferenceSnapshot = serde_json::from_value(snapshot).expect("valid");
    let mut harness = Harness::with_workers(1, 8_000);
    harness.scheduler.restore_interference(snapshot);
    harness.accept(1, vec![long_running(1, 2_000, "frail")]);
    let frail = start(&mut harness);
    harness.accept(2, vec![best_effort(1, 4_000, "loud")]);
    for _ in 0..OTHERS_MS / 1_000 {
        harness.report_long_running(0, &[(1, frail.run)]);
        wait(&mut harness, 1_000);
    }
    expect_reason(&harness, WaitReason::Interference);
}

#[gtest]
fn a_gang_waits_for_room_for_all_of_its_members() {
    let mut harness = Harness::with_workers(1, 2_000);
    let gang = Step {
        gang: true,
        ..step(3, 1_000)
    };
    harness.accept(1, vec![gang]);
    wait(&mut harness, OTHERS_MS);
    let workers = expect_reason(&harness, WaitReason::GangRoom);
    expect_that!(workers.room_for_two, eq(1));
}

#[gtest]
fn a_task_waits_for_the_start_budget_while_answers_are_out() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.scheduler.set_start_budget(0);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    let workers = expect_reason(&harness, WaitReason::StartBudget);
    expect_that!(workers.allowed, eq(1));
}

#[gtest]
fn a_task_waits_for_the_next_plan_once_its_worker_answers_again() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.silence(harness.workers[0]);
    harness.accept(1, vec![long_running(1, 1_000, "image")]);
    wait(&mut harness, LONG_RUNNING_MS);
    expect_reason(&harness, WaitReason::NoWorker);
    harness.report_idle(0);
    expect_reason(&harness, WaitReason::NextPlan);
    expect_that!(harness.starts().len(), eq(1));
    expect_that!(harness.waiting().steps, is_empty());
}
