//! Co-location of long-running and best-effort tasks: which worker each of them gets.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{InterferenceSnapshot, StartAnswer};
use hemlocksaddle_types::workflow::Run;
use workflow_support::{Harness, best_effort, long_running};

/// Interference learned by a predecessor: `loud` and `noisy` interfere with `frail`, and no image
/// interferes with `robust` or `sturdy`.
fn snapshot() -> InterferenceSnapshot {
    let long_running = |image: usize, weights: [f64; 5]| {
        let (weights, strengths) = (weights.to_vec(), vec![1.0; 5]);
        serde_json::json!({
            "image": image, "weights": weights, "strengths": strengths, "base": 0.2,
        })
    };
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

/// Load pattern: a change of owner after the best-effort work has ended. Guards against a successor that
/// groups long-running tasks as if there were no demand, since it does not read submissions of ended work.
#[gtest]
fn a_successor_knows_the_demand_of_ended_work() {
    let mut former = Harness::with_workers(2, 32_000);
    former.scheduler.restore_interference(snapshot());
    former.accept(9, vec![best_effort(1, 64_000, "loud")]);
    let mut harness = Harness::with_workers(2, 32_000);
    let learned = former.scheduler.interference_snapshot();
    harness.scheduler.restore_interference(learned);
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

/// Load: as before, and the cap of the sensitive task's tenant was lowered. Guards against a move that stops a run
/// which may not start again.
#[gtest]
fn a_task_is_not_moved_while_its_tenant_is_above_the_cap() {
    for (cap_milli, moves) in [(6_000, 1), (5_999, 0)] {
        let mut harness = Harness::with_workers(2, 16_000);
        harness.scheduler.restore_interference(snapshot());
        let (first, run_1) = start_long_running(&mut harness, 1, 6_000, "frail");
        let (second, run_2) = start_long_running(&mut harness, 2, 6_000, "robust");
        let (_, run_3) = start_long_running(&mut harness, 3, 10_000, "frail");
        harness.accept_of("a", 4, vec![long_running(1, 6_000, "frail")]);
        let starts = harness.starts();
        harness.answer(&starts[0], StartAnswer::Accepted);
        let run_4 = starts[0].run;
        harness.cancel(3);
        harness.stops();
        harness.end_stopped(first, 3, run_3);
        harness.advance(6_000);
        harness.report_long_running(first, &[(1, run_1)]);
        harness.report_long_running(second, &[(2, run_2), (4, run_4)]);
        harness.configure_tenants(&[("a", 1, cap_milli)]);
        harness.accept(5, vec![best_effort(2, 6_000, "loud")]);
        expect_that!(harness.starts(), is_empty());
        expect_that!(harness.stops().len(), eq(moves), "cap {cap_milli}");
    }
}

/// Load pattern: more images than one owner met so far. Guards against images that share an estimate
/// although only one of them interferes.
#[gtest]
fn forty_images_are_told_apart() {
    let mut harness = Harness::with_workers(1, 64_000);
    let image = |number: u64| format!("image-{number}");
    for number in 0..44 {
        harness.accept(100 + number, vec![best_effort(1, 1_000, &image(number))]);
        harness.cancel(100 + number);
    }
    // Task 1 serves; beside it run an interfering image and a harmless one, by turns.
    harness.accept(1, vec![long_running(1, 16_000, "serving")]);
    harness.accept(2, vec![best_effort(1, 16_000, &image(42))]);
    harness.accept(3, vec![best_effort(1, 16_000, &image(43))]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    for _ in 0..200 {
        harness.advance(700);
        let loud = harness.pace_of(2);
        let tail_ms = if loud > 0 { 160 } else { 40 };
        harness.report_tails(0, tail_ms);
        harness.starts();
    }
    expect_that!(harness.pace_of(3), eq(100));
    expect_that!(harness.pace_of(2), lt(100));
}

/// Guards against a snapshot of the estimates that grows with the square of the images: it is stored
/// every few seconds, and an owner with a slow link could do nothing else meanwhile.
#[gtest]
fn the_stored_estimates_grow_linearly_with_the_images() {
    let size = |images: u64| {
        let mut harness = Harness::with_workers(1, 64_000);
        harness.accept(1, vec![long_running(1, 16_000, "serving")]);
        for number in 0..images {
            let id = 100 + number;
            harness.accept(id, vec![best_effort(1, 1_000, &format!("image-{number}"))]);
        }
        let starts = harness.starts();
        harness.answer_all(&starts, StartAnswer::Accepted);
        harness.advance(700);
        harness.report_all(0, 40);
        let snapshot = harness.scheduler.interference_snapshot();
        serde_json::to_string(&snapshot).expect("text").len()
    };
    let (ten, forty) = (size(10), size(40));
    expect_that!(forty, lt(6 * ten));
}

/// Load pattern: owner's link full, so that reports are requested less often. Guards against a
/// long-running task over its target whose worker is not watched closely.
#[gtest]
fn a_worker_is_over_target_from_the_report_that_shows_it() {
    let mut harness = Harness::with_workers(1, 32_000);
    harness.accept(1, vec![long_running(1, 8_000, "serving")]);
    harness.accept(2, vec![best_effort(1, 4_000, "first")]);
    harness.accept(3, vec![best_effort(1, 4_000, "second")]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    let is_over_target = |harness: &Harness| {
        let worker = harness.scheduler.worker(harness.workers[0]);
        worker.expect("worker").is_over_target()
    };
    for (tail_ms, expected) in [(50, false), (150, true), (150, true), (50, false)] {
        harness.advance(700);
        harness.report_tails(0, tail_ms);
        harness.starts();
        expect_that!(
            is_over_target(&harness),
            eq(expected),
            "tail of {tail_ms} ms"
        );
    }
}

/// Guards against stored estimates that grow with each new name of an image, until the store refuses them.
#[gtest]
fn stored_estimates_are_bounded_whatever_images_are_named() {
    let mut harness = Harness::with_workers(1, 16_000);
    for id in 0..2_000 {
        let name = format!("{}-{id}", "image".repeat(100));
        harness.accept(id, vec![best_effort(1, 100, &name)]);
    }
    let stored = serde_json::to_string(&harness.scheduler.interference_snapshot());
    expect_that!(stored.expect("encoded").len(), lt(64 << 10));
    // Names that differ at their end only are told apart.
    let mut successor = Harness::with_workers(1, 16_000);
    let snapshot = harness.scheduler.interference_snapshot();
    successor.scheduler.restore_interference(snapshot.clone());
    let restored = successor.scheduler.interference_snapshot();
    expect_that!(
        serde_json::to_string(&restored).expect("encoded"),
        eq(&serde_json::to_string(&snapshot).expect("encoded"))
    );
}
