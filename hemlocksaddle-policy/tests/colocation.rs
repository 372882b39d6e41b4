//! Lasting tasks beside best-effort tasks: which worker each of them gets.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{Learned, StartAnswer};
use hemlocksaddle_types::workflow::Run;
use workflow_support::{World, filler, lasting};

/// What a predecessor learned: `loud` and `noisy` harm `frail`, nothing harms `robust` and `sturdy`.
fn learned() -> Learned {
    let regression = |weights: [f64; 5]| {
        serde_json::json!({
            "weights": weights,
            "products": weights,
            "squares": vec![vec![1.0; 5]; 5],
        })
    };
    let lasting = |image: usize, weights| serde_json::json!({ "image": image, "regression": regression(weights), "base": 0.2 });
    let learned = serde_json::json!({
        "images": ["frail", "robust", "sturdy", "loud", "noisy"],
        "lasting": [
            lasting(0, [0.0, 0.0, 0.0, 8.0, 6.0]),
            lasting(1, [0.0; 5]),
            lasting(2, [0.0; 5]),
        ],
    });
    serde_json::from_value(learned).expect("valid")
}

/// Accepts a lasting task, starts it, and returns its worker and run.
fn run(world: &mut World, id: u64, cpu_milli: u64, image: &str) -> (usize, Run) {
    world.accept(id, vec![lasting(1, cpu_milli, image)]);
    let start = world.starts().remove(0);
    world.answer(&start, StartAnswer::Accepted);
    let worker = world.workers.iter().position(|&key| key == start.worker);
    (worker.expect("worker"), start.run)
}

/// Guards against a frail lasting task among robust ones, which closes the worker to loud work.
#[gtest]
fn lasting_tasks_are_grouped_by_what_they_bear() {
    let mut world = World::with_workers(2, 32_000);
    world.board.restore_learned(learned());
    world.accept(9, vec![filler(1, 64_000, "loud")]);
    let (frail, _) = run(&mut world, 1, 4_000, "frail");
    let (robust, _) = run(&mut world, 2, 4_000, "robust");
    let (sturdy, _) = run(&mut world, 3, 4_000, "sturdy");
    expect_that!(robust, not(eq(frail)));
    expect_that!(sturdy, eq(robust));
}

/// Load pattern: loud work waits while half of the processors are idle, because every worker has
/// one frail task since a time when they were full.
#[gtest]
fn a_frail_task_is_moved_to_its_like_while_loud_work_waits() {
    let mut world = World::with_workers(2, 16_000);
    world.board.restore_learned(learned());
    let (first, run_1) = run(&mut world, 1, 6_000, "frail");
    let (second, run_2) = run(&mut world, 2, 6_000, "robust");
    let (full, run_3) = run(&mut world, 3, 10_000, "frail");
    expect_that!(full, eq(first));
    let (mixed, run_4) = run(&mut world, 4, 6_000, "frail");
    expect_that!(mixed, eq(second));
    world.cancel(3);
    let stopped = world.stops();
    expect_that!(stopped.len(), eq(1));
    world.end_stopped(first, 3, run_3);
    world.pass(6_000);
    world.report_lasting(first, &[(1, run_1)]);
    world.report_lasting(second, &[(2, run_2), (4, run_4)]);
    world.accept(5, vec![filler(2, 6_000, "loud")]);
    expect_that!(world.starts(), is_empty());
    let moved = world.stops();
    expect_that!(moved.len(), eq(1));
    expect_that!(moved[0].0.workflow.0, eq(4));
    world.report_lasting(second, &[(2, run_2)]);
    world.end_stopped(second, 4, run_4);
    let next = world.starts();
    let of = |id: u64| next.iter().find(|start| start.name.workflow.0 == id);
    expect_that!(
        of(4).map(|start| start.worker),
        some(eq(world.workers[first]))
    );
    expect_that!(
        of(5).map(|start| start.worker),
        some(eq(world.workers[second]))
    );
}
