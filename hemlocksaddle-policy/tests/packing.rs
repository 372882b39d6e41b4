//! Choice of the worker for a small task while a larger one finds no room.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::StartAnswer;
use workflow_support::{
    Harness,
    fleet::{LATER, timed},
};

/// Starts tasks of 20 and 14 cores on two workers of 32 cores, then small ones of 3.5 cores, if `large_waits`
/// beside a task of 40 cores that fits on neither; returns whether the first small one goes to the fuller worker.
fn goes_to_the_fuller_worker(reservations: bool, large_waits: bool) -> bool {
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
    if large_waits {
        harness.accept(3, vec![timed(1, 40_000, 1_000)]);
        expect_that!(harness.starts(), is_empty());
    }
    harness.accept_in(4, LATER, vec![timed(1, 3_500, 1_000)]);
    let small = harness.starts().remove(0);
    harness.number_of(&small) == worker
}

/// Guards against small tasks that break up the largest pieces of room while a larger task waits for one.
#[gtest]
fn small_tasks_fill_the_fuller_worker_while_a_larger_task_finds_no_room() {
    expect_that!(goes_to_the_fuller_worker(true, true), eq(true));
}

/// Guards against fuller workers than needed where nothing waits, and against another choice where the
/// setting is off.
#[gtest]
fn small_tasks_go_to_the_emptier_worker_otherwise() {
    expect_that!(goes_to_the_fuller_worker(true, false), eq(false));
    expect_that!(goes_to_the_fuller_worker(false, false), eq(false));
    expect_that!(goes_to_the_fuller_worker(false, true), eq(false));
}
