//! End-to-end tests of workers on which a run completes while they are cut off.
//!
//! Load pattern: a worker is cut off for longer than its lease while its only task completes; the task is started
//! again elsewhere, and hundreds of short tasks follow.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, LEASE_MS, step};

/// Longest time until a workflow is completed, with a rest of a lease that has to expire first.
const TIMEOUT_MS: Millis = Millis(20_000);

/// Time from the loss of an owner within which inherited tasks start without the report of a worker.
const STARTED_AGAIN_WITHIN_MS: Millis = Millis(12_000);

/// Time within which a worker that can be reached again has reported; a call to it during the cut may hang as long.
const REPORTED_AGAIN_WITHIN_MS: Millis = Millis(10_500);

/// Lets a task complete on a worker that is cut off; returns the number of the worker.
fn complete_behind_a_cut(deployment: &Deployment, at: usize, kills_owner: bool) -> usize {
    deployment.fleet.run_ms.set(3_500);
    let accepted = deployment.submit(at, 1, vec![step(1)]);
    assert_that!(accepted, eq(Submitted::Accepted));
    deployment.sim.run_for(Millis(1_000));
    let cut = (0..deployment.fleet.count()).find(|&number| deployment.fleet.running_on(number) > 0);
    let cut = cut.expect("task runs");
    deployment.fleet.set_unreachable(cut, true);
    if kills_owner {
        deployment.kill(deployment.owner().expect("owner"));
        deployment.sim.run_for(STARTED_AGAIN_WITHIN_MS);
    } else {
        deployment.sim.run_for(Millis(LEASE_MS + 2_000));
    }
    deployment.fleet.set_unreachable(cut, false);
    deployment.sim.run_for(REPORTED_AGAIN_WITHIN_MS);
    let ended = deployment.wait_for_end(at, 1, TIMEOUT_MS);
    expect_that!(ended, some(eq(State::Completed)));
    expect_that!(
        deployment.fleet.starts(),
        eq(2),
        "the task is started again"
    );
    cut
}

/// Runs hundreds of tasks on each worker, and expects that all workers still take some afterwards.
fn expect_use_of(cut: usize, deployment: &Deployment, at: usize, what: &str) {
    deployment.fleet.run_ms.set(20);
    for id in 2..=41 {
        let accepted = deployment.submit(at, id, vec![step(40)]);
        expect_that!(accepted, eq(Submitted::Accepted), "{what}");
        let ended = deployment.wait_for_end(at, id, TIMEOUT_MS);
        expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
    }
    deployment.fleet.run_ms.set(1_000);
    deployment.submit(at, 99, vec![step(12)]);
    deployment.sim.run_for(Millis(500));
    expect_that!(deployment.fleet.running_on(cut), gt(0), "{what}");
    expect_that!(*deployment.fleet.violations.borrow(), is_empty(), "{what}");
}

/// Guards against a worker that gets no more tasks for good after it was cut off once.
#[gtest]
fn a_worker_takes_tasks_again_after_a_run_completed_behind_a_cut() {
    for seed in 1..=5 {
        let deployment = Deployment::new(seed, 3, 2);
        deployment.wait_for_owner();
        let at = deployment.owner().expect("owner");
        let cut = complete_behind_a_cut(&deployment, at, false);
        expect_use_of(cut, &deployment, at, &format!("seed {seed}"));
    }
}

/// Guards against a worker that gets no more tasks for good after it was cut off during a change of owner.
#[gtest]
fn a_worker_takes_tasks_again_after_a_run_completed_behind_a_cut_and_a_change_of_owner() {
    for seed in 1..=5 {
        let deployment = Deployment::new(seed, 3, 2);
        deployment.wait_for_owner();
        let at = (deployment.owner().expect("owner") + 1) % 3;
        let cut = complete_behind_a_cut(&deployment, at, true);
        expect_use_of(cut, &deployment, at, &format!("seed {seed}"));
    }
}
