//! Gangs of many tasks that need next to nothing, for which the workers have room.
//!
//! Load pattern: a caller submits a gang of the largest size whose tasks need a thousandth of a core each.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_types::workflow::Step;
use workflow_support::{Harness, memory::peak_kb, step};

/// Largest memory that the start of the gang may take, in kB: a quarter of the smallest process, which has 32 MB.
const MAX_GROWTH_KB: u64 = 8_000;

/// Guards against an owner that exceeds its memory, and each successor as well, because the state of all members and
/// their orders are created at once.
#[gtest]
fn a_gang_of_small_tasks_starts_within_the_memory_of_the_owner() {
    let mut harness = Harness::with_workers(8, 32_000);
    let before_kb = peak_kb();
    let gang = Step {
        gang: true,
        ..step(80_000, 1)
    };
    harness.accept(1, vec![gang]);
    harness.starts();
    expect_that!(peak_kb() - before_kb, lt(MAX_GROWTH_KB));
}
