//! Choice of the worker for a small task while a larger one finds no room.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::StartAnswer;
use workflow_support::{
    Harness,
    fleet::{LATER, timed},
};

/// Task of 20 cores, for which neither of the workers below has room.
const LARGE_MILLI: u64 = 20_000;

/// Starts tasks of 20 and 14 cores on two workers of 32 cores, then small ones of 3.5 cores, if `large_milli` is given
/// beside a task of that size that finds no room; returns whether the first small one goes to the fuller worker.
fn goes_to_the_fuller_worker(reservations: bool, large_milli: Option<u64>) -> bool {
    let mut harness = Harness::with_reservations(2, 32_000, reservations);
    let mut worker = 0;
    for (id, cpu_milli) in [(1, 20_000), (2, 14_000)] {
        harness.accept(id, vec![timed(1, cpu_milli, 60_000)]);
        let start = harness.starts().remove(0);
        harness.answer(&start, StartAnswer::Accepted);
        if id == 1 {
            worker = harness.number_of(&start);
        }
    }
    if let Some(cpu_milli) = large_milli {
        harness.accept(3, vec![timed(1, cpu_milli, 1_000)]);
        expect_that!(harness.starts(), is_empty());
    }
    harness.accept_in(4, LATER, vec![timed(1, 3_500, 1_000)]);
    let small = harness.starts().remove(0);
    harness.number_of(&small) == worker
}

/// Guards against small tasks that break up the largest pieces of room while a larger task waits for one.
#[gtest]
fn small_tasks_fill_the_fuller_worker_while_a_larger_task_finds_no_room() {
    expect_that!(goes_to_the_fuller_worker(true, Some(LARGE_MILLI)), eq(true));
}

/// Guards against fuller workers than needed where nothing waits, and against another choice where the
/// setting is off.
#[gtest]
fn small_tasks_go_to_the_emptier_worker_otherwise() {
    expect_that!(goes_to_the_fuller_worker(true, None), eq(false));
    expect_that!(goes_to_the_fuller_worker(false, None), eq(false));
    expect_that!(
        goes_to_the_fuller_worker(false, Some(LARGE_MILLI)),
        eq(false)
    );
}

/// Guards against a caller who changes the placement of all others by a task that no worker can ever take.
#[gtest]
fn small_tasks_leave_no_pieces_for_a_task_above_the_size_of_all_workers() {
    expect_that!(goes_to_the_fuller_worker(true, Some(40_000)), eq(false));
}
