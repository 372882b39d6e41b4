//! Co-location of long-running and best-effort tasks: which worker each of them gets.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{InterferenceSnapshot, StartAnswer};
use hemlocksaddle_types::workflow::Run;
use workflow_support::{Harness, best_effort, long_running};

/// Interference learned by a predecessor: `loud` and `noisy` interfere with `frail`, and no image
/// interferes with `robust` or `sturdy`.
fn snapshot() -> InterferenceSnapshot {
    let regression = |weights: [f64; 5]| {
        serde_json::json!({
            "weights": weights,
            "products": weights,
            "squares": vec![vec![1.0; 5]; 5],
        })
    };
    let long_running = |image: usize, weights| serde_json::json!({ "image": image, "regression": regression(weights), "base": 0.2 });
    let snapshot = serde_json::json!({
        "images": ["frail", "robust", "sturdy", "loud", "noisy"],
        "lasting": [
            long_running(0, [0.0, 0.0, 0.0, 8.0, 6.0]),
            long_running(1, [0.0; 5]),
            long_running(2, [0.0; 5]),
        ],
    });
    serde_json::from_value(snapshot).expect("valid")
}

/// Accepts and starts a long-running task; returns the index of its worker, and its run.
fn start_long_running(harness: &mut Harness, id: u64, cpu_milli: u64, image: &str) -> (usize, Run) {
    harness.accept(id, vec![long_running(1, cpu_milli, image)]);
    let start = harness.starts().remove(0);
    harness.answer(&start, StartAnswer::Accepted);
    let worker = harness.workers.iter().position(|&key| key == start.worker);
    (worker.expect("worker"), start.run)
}

/// Guards against a sensitive long-running task placed among robust ones, which closes their worker
/// to interfering work.
#[gtest]
fn long_running_tasks_are_grouped_by_what_they_tolerate() {
    let mut harness = Harness::with_workers(2, 32_000);
    harness.scheduler.restore_interference(snapshot());
    harness.accept(9, vec![best_effort(1, 64_000, "loud")]);
    let (frail, _) = start_long_running(&mut harness, 1, 4_000, "frail");
    let (robust, _) = start_long_running(&mut harness, 2, 4_000, "robust");
    let (sturdy, _) = start_long_running(&mut harness, 3, 4_000, "sturdy");
    expect_that!(robust, not(eq(frail)));
    expect_that!(sturdy, eq(robust));
}

/// Guards against interfering work that waits while half of the processors are idle, because each
/// worker still has a sensitive task from a time when the workers were full.
#[gtest]
fn a_sensitive_task_is_moved_to_similar_ones_while_interfering_work_waits() {
    let mut harness = Harness::with_workers(2, 16_000);
    harness.scheduler.restore_interference(snapshot());
    let (first, run_1) = start_long_running(&mut harness, 1, 6_000, "frail");
    let (second, run_2) = start_long_running(&mut harness, 2, 6_000, "robust");
    let (full, run_3) = start_long_running(&mut harness, 3, 10_000, "frail");
    expect_that!(full, eq(first));
    let (mixed, run_4) = start_long_running(&mut harness, 4, 6_000, "frail");
    expect_that!(mixed, eq(second));
    harness.cancel(3);
    let stopped = harness.stops();
    expect_that!(stopped.len(), eq(1));
    harness.end_stopped(first, 3, run_3);
    harness.advance(6_000);
    harness.report_long_running(first, &[(1, run_1)]);
    harness.report_long_running(second, &[(2, run_2), (4, run_4)]);
    harness.accept(5, vec![best_effort(2, 6_000, "loud")]);
    expect_that!(harness.starts(), is_empty());
    let moved = harness.stops();
    expect_that!(moved.len(), eq(1));
    expect_that!(moved[0].0.workflow.0, eq(4));
    harness.report_long_running(second, &[(2, run_2)]);
    harness.end_stopped(second, 4, run_4);
    let next = harness.starts();
    let of = |id: u64| next.iter().find(|start| start.name.workflow.0 == id);
    expect_that!(
        of(4).map(|start| start.worker),
        some(eq(harness.workers[first]))
    );
    expect_that!(
        of(5).map(|start| start.worker),
        some(eq(harness.workers[second]))
    );
}
