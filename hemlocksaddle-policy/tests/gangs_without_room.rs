//! Gangs that need more room than all workers have.
//!
//! Load pattern: a caller submits a few gangs of the largest size, of which the workers hold a small part.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use std::collections::BTreeSet;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, StartAnswer};
use hemlocksaddle_types::workflow::Step;
use workflow_support::{Harness, memory::peak_kb, step};

/// Largest memory that the scheduling of the gangs may take, in kB: a quarter of the smallest process, which has 32 MB.
const MAX_GROWTH_KB: u64 = 8_000;

const WORKERS: usize = 8;

const GANGS: u64 = 20;

const MEMBERS: u32 = 100_000;

fn gang(tasks: u32, cpu_milli: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, cpu_milli)
    }
}

/// Guards against an owner that exceeds its memory, and each successor as well, because each attempt to place a gang
/// leaves state for all of its members behind.
#[gtest]
fn gangs_that_do_not_fit_take_no_memory_for_their_members() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    let before_kb = peak_kb();
    for id in 1..=GANGS {
        harness.accept(id, vec![gang(MEMBERS, 1_000)]);
    }
    for _ in 0..5 {
        harness.advance(100);
        expect_that!(harness.starts(), is_empty());
        harness.waiting();
    }
    expect_that!(peak_kb() - before_kb, lt(MAX_GROWTH_KB));
}

/// Guards against an owner that compares all workers for each member of a gang which cannot fit, in each plan.
#[gtest]
fn a_gang_that_does_not_fit_is_compared_with_each_worker_once() {
    let mut harness = Harness::with_workers(WORKERS, 16_000);
    for id in 1..=GANGS {
        harness.accept(id, vec![gang(MEMBERS, 1_000)]);
    }
    harness.scheduler.take_work_counts();
    harness.starts();
    let compared = harness.scheduler.take_work_counts().compared_workers;
    expect_that!(compared, le(GANGS * WORKERS as u64));
}

/// Guards against members that keep traces of an attempt which failed although the room was enough for all of them:
/// the room for long-running tasks beside the recent peak of short ones is smaller than what is free.
#[gtest]
fn an_attempt_that_fails_leaves_the_gang_to_the_next_plan() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.accept(1, vec![step(2, 10_000)]);
    let short = harness.starts();
    harness.answer_all(&short, StartAnswer::Accepted);
    harness.starts_again_later();
    short
        .iter()
        .for_each(|start| harness.end(start, EndKind::Done));
    let long_running = Step {
        long_running: true,
        ..gang(4, 6_000)
    };
    harness.accept(2, vec![long_running]);
    expect_that!(harness.starts(), is_empty());
    harness.advance(2_000);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(4));
    let runs: BTreeSet<_> = starts.iter().map(|start| start.run).collect();
    expect_that!(runs.len(), eq(1));
    expect_that!(runs.first(), eq(short.first().map(|start| &start.run)));
}
