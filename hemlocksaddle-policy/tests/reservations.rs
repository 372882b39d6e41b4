//! Room reserved for large short tasks that small ones would otherwise keep out.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Start, StartAnswer};
use hemlocksaddle_types::{clock::Millis, workflow::Step};
use workflow_support::{
    Harness, best_effort,
    fleet::{Fleet, LATER, TICK_MS, URGENT, mean, timed},
    long_running,
};

/// Share of the processors that may be reserved, in percent.
const MAX_RESERVED_PERCENT: u64 = 3;

/// Load at 95% use of 48 workers of 32 cores: urgent tasks of 5.1 cores beside many of 3.5 cores that may wait,
/// all with run times between half and twice the declared ones.
fn mixed_load(reservations: bool) -> Fleet {
    let mut fleet = Fleet::of_32_cores(48, reservations, 2.0);
    fleet.pass(40_000, |fleet| {
        fleet.arrive(4.4, URGENT, &timed(10, 5_100, 800));
        fleet.arrive(7.6, LATER, &timed(20, 3_500, 2_200));
    });
    fleet
}

/// Guards against urgent tasks of 5.1 cores that wait while each piece of 3.5 cores that becomes free goes to
/// a task that may wait, and against reservations that pay for it with idle processors.
#[gtest]
fn large_urgent_tasks_wait_less_at_95_percent_use() {
    let (off, on) = (mixed_load(false), mixed_load(true));
    let wait = |fleet: &Fleet| mean(&fleet.waits(5_100));
    expect_that!(wait(&on), lt(wait(&off) * 0.7));
    expect_that!(on.used_core_s, gt(off.used_core_s * 0.99));
    let small = |fleet: &Fleet| fleet.waits(3_500).len() as f64;
    expect_that!(small(&on), gt(small(&off) * 0.98));
}

/// Fleet of 4 workers that tasks of 4 cores of a later queue keep full, which always wait.
fn full_fleet(reservations: bool) -> Fleet {
    let mut fleet = Fleet::of_32_cores(4, reservations, 1.3);
    fleet.pass(3_000, keep_full);
    fleet
}

fn keep_full(fleet: &mut Fleet) {
    fleet.arrive(30.0, LATER, &timed(4, 4_000, 1_000));
}

/// Time until all tasks of a workflow have started while the fleet stays full; at most `max_ms`.
fn time_to_start(fleet: &mut Fleet, workflow: u64, tasks: usize, max_ms: u64) -> u64 {
    for passed_ms in (0..max_ms).step_by(TICK_MS as usize) {
        let started = fleet.started.iter();
        if started.filter(|task| task.workflow == workflow).count() == tasks {
            return passed_ms;
        }
        fleet.pass(TICK_MS, keep_full);
        let bound_milli = (4 * 32_000 * MAX_RESERVED_PERCENT / 100).max(12_000);
        expect_that!(
            fleet.harness.scheduler.reserved_cpu_milli(),
            le(bound_milli)
        );
    }
    max_ms
}

/// Guards against a step that comes due on a full fleet and has its last tasks start seconds later.
#[gtest]
fn a_step_20_wide_on_a_full_fleet_starts_sooner() {
    let time = |reservations| {
        let mut fleet = full_fleet(reservations);
        let wide = fleet.accept(URGENT, timed(20, 5_000, 800));
        time_to_start(&mut fleet, wide, 20, 20_000)
    };
    let (off, on) = (time(false), time(true));
    expect_that!(on, all![lt(off), lt(3_000)], "{off} ms without");
}

/// Guards against a large task that waits until a burst of small ones, and all that follow, is over.
#[gtest]
fn a_large_task_starts_behind_a_burst_of_small_ones() {
    let time = |reservations| {
        let mut fleet = full_fleet(reservations);
        fleet.accept(URGENT, timed(100, 2_000, 500));
        let large = fleet.accept(URGENT, timed(1, 12_000, 800));
        time_to_start(&mut fleet, large, 1, 20_000)
    };
    expect_that!(time(false), eq(20_000));
    // The target of the large task, 1.5 times its run and 250 ms, and the burst before it.
    expect_that!(time(true), lt(1_450 + 1_000));
}

/// Guards against a large task that never starts, or room that is held on and on, where all runs take three
/// times as long as declared.
#[gtest]
fn a_large_task_starts_although_runs_take_three_times_as_long() {
    let time = |reservations| {
        let mut fleet = Fleet::of_32_cores(4, reservations, 1.3);
        fleet.slowness = 3;
        // Full, and no run has ended that would tell.
        fleet.pass(500, keep_full);
        assert_that!(fleet.used_core_s, gt(3.0 * 126.0));
        let large = fleet.accept(URGENT, timed(1, 12_000, 800));
        time_to_start(&mut fleet, large, 1, 20_000)
    };
    expect_that!(time(false), eq(20_000));
    // It is worth nothing after three times its target.
    expect_that!(time(true), lt(3 * 1_450));
}

/// Guards against a reservation that waits for a worker whose runs hang.
#[gtest]
fn a_reservation_leaves_a_worker_that_hangs() {
    for hung in 0..4 {
        let run = |reservations| {
            let mut fleet = full_fleet(reservations);
            fleet.hung = Some(hung);
            let large = fleet.accept(URGENT, timed(1, 12_000, 800));
            let time = time_to_start(&mut fleet, large, 1, 20_000);
            let started = fleet.started.iter().find(|task| task.workflow == large);
            (time, started.map(|task| task.worker))
        };
        let ((off, _), (on, worker)) = (run(false), run(true));
        expect_that!(on, all![lt(off), lt(1_450)]);
        expect_that!(worker, some(ne(hung)));
    }
}

/// Fills two workers of 4 cores with tasks of 1.5 cores, so that small tasks fit beside them and a task of
/// 4 cores does not.
fn two_full_workers(harness: &mut Harness) {
    harness.accept_in(1, LATER, vec![timed(4, 1_500, 600)]);
    let starts = harness.starts();
    assert_that!(starts.len(), eq(4));
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.accept(2, vec![timed(1, 4_000, 1_000)]);
    harness.accept_in(3, LATER, vec![timed(8, 1_000, 600)]);
}

/// Workers on which the small waiting tasks start now.
fn small_starts(harness: &mut Harness) -> Vec<usize> {
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    let small = starts.iter().filter(|start| start.name.workflow.0 == 3);
    small.map(|start| harness.number_of(start)).collect()
}

/// Guards against small tasks that take the room of a reservation, and against room that stays reserved on a
/// worker that starts to drain or does not answer, or in a data centre that is closed.
#[gtest]
fn a_reservation_moves_off_a_worker_that_leaves_or_is_silent() {
    for fault in ["drains", "silent", "closed"] {
        let mut harness = Harness::with_reservations(2, 4_000, true);
        two_full_workers(&mut harness);
        let [open] = small_starts(&mut harness)[..] else {
            fail!("one worker is to be reserved").and_log_failure();
            return;
        };
        let reserved = 1 - open;
        expect_that!(harness.scheduler.reserved_cpu_milli(), eq(1_000));
        match fault {
            "drains" => harness.drain_worker(reserved),
            "silent" => harness.silence(harness.workers[reserved]),
            _ => harness.close_alone(reserved),
        }
        harness.advance(30);
        expect_that!(small_starts(&mut harness), is_empty());
        // The other worker is full: its reservation holds no room yet.
        expect_that!(harness.scheduler.reserved_cpu_milli(), eq(0));
        harness.end_first_of(1, open);
        expect_that!(small_starts(&mut harness), is_empty());
        expect_that!(harness.scheduler.reserved_cpu_milli(), eq(1_500));
    }
}

/// Guards against a reservation of which nothing is left after a change of owner: nothing is stored.
#[gtest]
fn a_new_owner_reserves_room_from_what_runs_and_waits() {
    let mut before = Harness::with_reservations(2, 4_000, true);
    two_full_workers(&mut before);
    let mut harness = Harness::unreported_with(2, 4_000, 0, true);
    harness.accept_inherited_in(1, LATER, vec![timed(4, 1_500, 600)]);
    for number in 0..2 {
        let runs = before.runs_on(number, 1);
        harness.report_runs(number, &runs, 40);
    }
    harness.accept(2, vec![timed(1, 4_000, 1_000)]);
    harness.accept_in(3, LATER, vec![timed(8, 1_000, 600)]);
    expect_that!(small_starts(&mut harness).len(), eq(1));
    expect_that!(harness.scheduler.reserved_cpu_milli(), eq(1_000));
}

/// Guards against a reservation on a worker that is far from the task's data, where one beside them has room
/// hardly later.
#[gtest]
fn room_is_reserved_beside_the_data() {
    for beside in 0..2 {
        let mut harness = Harness::with_reservations(2, 4_000, true);
        let mut listed = harness.roster();
        listed[beside].labels = vec!["kind".into(), "data".into()];
        harness.scheduler.list_workers(listed, harness.now());
        two_full_workers(&mut harness);
        harness.cancel(2);
        let near = Step {
            data_rack: Some("data".into()),
            ..timed(1, 4_000, 1_000)
        };
        harness.accept(5, vec![near]);
        expect_that!(small_starts(&mut harness), elements_are![eq(&(1 - beside))]);
    }
}

/// Guards against room that stays idle although a task would have ended before it is needed.
#[gtest]
fn tasks_that_end_before_the_reservation_use_its_room() {
    let mut harness = Harness::with_reservations(2, 4_000, true);
    two_full_workers(&mut harness);
    harness.accept_in(4, LATER, vec![timed(2, 1_000, 200)]);
    let starts = harness.starts();
    let of = |id| {
        starts
            .iter()
            .filter(|start| start.name.workflow.0 == id)
            .count()
    };
    expect_that!((of(3), of(4)), eq((1, 1)));
}

/// Guards against a reservation that keeps off best-effort work, which reserves no processors, against one that
/// waits for the end of a long-running task, and against a gang that starts in reserved room.
#[gtest]
fn long_running_and_best_effort_tasks_and_gangs_go_with_reservations() {
    let mut harness = Harness::with_reservations(2, 4_000, true);
    harness.accept_in(5, LATER, vec![long_running(1, 1_000, "a")]);
    let service = harness.starts().remove(0);
    harness.answer(&service, StartAnswer::Accepted);
    harness.accept_in(1, LATER, vec![timed(5, 1_300, 600)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.accept(2, vec![timed(1, 4_000, 1_000)]);
    let gang = Step {
        gang: true,
        ..timed(2, 100, 100)
    };
    harness.accept_in(3, LATER, vec![gang]);
    harness.accept_in(4, LATER, vec![best_effort(1, 50, "b")]);
    let starts = harness.starts();
    let reserved = 1 - harness.number_of(&service);
    let is_gang_there =
        |start: &Start| start.name.workflow.0 == 3 && harness.number_of(start) == reserved;
    expect_that!(starts.iter().any(is_gang_there), eq(false));
    expect_that!(
        starts.iter().any(|start| start.name.workflow.0 == 4),
        eq(true)
    );
    expect_that!(harness.scheduler.reserved_cpu_milli(), eq(100));
}

/// Guards against a wait whose line in the log does not tell where room is reserved, and for what it waits.
#[gtest]
fn the_diagnosis_names_the_reservation() {
    let mut harness = Harness::with_reservations(1, 4_000, true);
    harness.accept_in(1, LATER, vec![timed(2, 1_500, 11_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.accept(2, vec![timed(1, 4_000, 20_000)]);
    for _ in 0..100 {
        harness.starts_again_later();
        harness.advance(100);
        let worker = harness.workers[0];
        harness
            .scheduler
            .extend_lease(worker, harness.now() + Millis(6_000));
    }
    let waiting = harness.waiting();
    let large = waiting.steps.iter().find(|step| step.task.workflow.0 == 2);
    let room = large
        .and_then(|step| step.reservation.clone())
        .expect("reservation");
    expect_that!(room.worker, eq(harness.workers[0]));
    expect_that!(room.expected_in.0, eq(1_000));
    expect_that!((room.awaited_runs, room.reservations), eq((2, 1)));
    expect_that!(room.last_run.map(|run| run.workflow.0), some(eq(1)));
}

/// Guards against plans whose cost grows with workers times waiting tasks: 2,400 workers, 10,000 waiting tasks
/// of 500 steps.
#[gtest]
fn a_plan_for_2400_workers_and_10000_waiting_tasks_is_bounded() {
    const WORKERS: u64 = 2_400;
    let mut harness = Harness::with_reservations(WORKERS as usize, 32_000, true);
    harness.accept_in(1, LATER, vec![timed(9 * WORKERS as u32, 3_500, 1_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    for id in 0..500 {
        let queue = if id % 2 == 0 { URGENT } else { LATER };
        harness.accept_in(
            2 + id,
            queue,
            vec![timed(20, 5_100 - (id % 7) * 200, 1_000)],
        );
    }
    harness.scheduler.take_work_counts();
    for _ in 0..10 {
        harness.advance(50);
        harness.end(&starts[0], EndKind::Done);
        harness.starts_again_later();
        let work = harness.scheduler.take_work_counts();
        // Without reservations, all workers are compared for a few sizes in each queue.
        expect_that!(work.compared_workers, le(10 * WORKERS));
        // 64 workers for each of two steps, and the reserved ones, of 9 runs each.
        expect_that!(work.estimated_runs, le(9 * (2 * 64 + WORKERS / 4)));
    }
}
