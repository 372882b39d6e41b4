//! Speculative copies, from the setting to the workers.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{State, Step},
};
use support::{Deployment, step};

/// Number of workers, of which a tenth leaves orders unanswered.
const WORKERS: usize = 10;

/// Deployment whose workers check their capacity, and of which the first carries orders out late, without an answer.
fn deployment(seed: u64, copies: bool, late: Millis) -> Deployment {
    let deployment = Deployment::without_nodes(seed, WORKERS);
    deployment.copies.set(copies);
    deployment.configure(|catalogue| catalogue.pools[0].admission_check = true);
    (0..3).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    let unanswered = &deployment.fleet.unanswered;
    unanswered.workers.set(1);
    unanswered.late.set(late);
    unanswered.other_runs.set(usize::from(copies));
    deployment
}

fn speculative(tasks: u32) -> Step {
    Step {
        speculative: true,
        ..step(tasks)
    }
}

/// Submits a workflow with a task for each worker; returns the virtual time until it has completed.
fn time_to_complete(deployment: &Deployment, id: u64) -> Millis {
    let from = deployment.sim.now();
    deployment.submit(0, id, vec![speculative(WORKERS as u32)]);
    let mut end = deployment.wait_for_end(0, id, Millis(20_000));
    if end.is_none() {
        // The task is started on the same worker again and again.
        deployment.fleet.unanswered.workers.set(0);
        end = deployment.wait_for_end(0, id, Millis(60_000));
    }
    assert_that!(end, some(eq(State::Completed)));
    Millis(deployment.sim.now().0 - from.0)
}

/// Load: a task for each of ten workers, of which one leaves orders unanswered and carries them out after 2 s or 6 s,
/// before and after they expire. Guards against a workflow that waits until the lease of that worker has expired,
/// although copies are on, and against a worker beyond its capacity or a task with three runs.
#[gtest]
fn a_workflow_with_unanswered_starts_ends_sooner_with_copies() {
    for seed in 1..=5 {
        for late in [Millis(2_000), Millis(6_000)] {
            let time = |copies| {
                let deployment = deployment(seed, copies, late);
                let took = time_to_complete(&deployment, 1);
                deployment.sim.run_for(Millis(10_000));
                let violations = deployment.fleet.violations.borrow().clone();
                expect_that!(violations, is_empty(), "seed {seed}, copies {copies}");
                expect_that!(deployment.fleet.running(), eq(0), "seed {seed}");
                took
            };
            expect_that!(time(true).0, lt(time(false).0), "seed {seed}, {late:?}");
        }
    }
}

/// Failure: the owner is killed while tasks have two runs, at several times. Guards against a workflow that never
/// ends, and against a run that its successor starts beside both.
#[gtest]
fn a_killed_owner_loses_no_task_that_has_a_copy() {
    for seed in 1..=5 {
        for after in [900, 1_100, 1_500, 2_100] {
            let deployment = deployment(seed, true, Millis(2_000));
            deployment.submit(0, 1, vec![speculative(2 * WORKERS as u32)]);
            deployment.sim.run_for(Millis(after));
            let owner = deployment.owner().expect("owner");
            deployment.kill(owner);
            deployment.sim.run_for(Millis(1_000));
            deployment.start(owner);
            let end = deployment.wait_for_end((owner + 1) % 3, 1, Millis(60_000));
            expect_that!(end, some(eq(State::Completed)), "seed {seed}, {after} ms");
            deployment.sim.run_for(Millis(10_000));
            let violations = deployment.fleet.violations.borrow().clone();
            expect_that!(violations, is_empty(), "seed {seed}, {after} ms");
            expect_that!(deployment.fleet.running(), eq(0), "seed {seed}, {after} ms");
        }
    }
}
