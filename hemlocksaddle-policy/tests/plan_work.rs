//! Work that a plan takes, counted: an owner plans up to a few hundred times a second.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::WorkCounts;
use workflow_support::{Harness, step};

const WORKERS: usize = 20;

/// Guards against an owner whose load cannot be told apart by its cause.
#[gtest]
fn plans_count_their_work_and_give_it_once() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    harness.accept(1, vec![step(1, 2_000)]);
    expect_that!(harness.starts().len(), eq(1));
    let work = harness.scheduler.take_work_counts();
    let expected = WorkCounts {
        plans: 1,
        steps: 1,
        compared_workers: WORKERS as u64,
        ..work
    };
    expect_that!(work, eq(expected));
    expect_that!(
        harness.scheduler.take_work_counts(),
        eq(WorkCounts::default())
    );
}
