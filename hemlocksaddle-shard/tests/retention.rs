//! What the streams hold of ended workflows, and what a successor makes of it.
//!
//! Load pattern: a steady load of short workflows beside owners that are killed, stopped or suspended, and a
//! store that loses answers or carries out calls late.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::{
    frontend::{StateLookup, Submitted},
    ports::Stream,
};
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, step};

/// Number of workflows of a test.
const WORKFLOWS: u64 = 20;

/// Time within which the submissions of ended workflows are deleted.
const DELETED_MS: Millis = Millis(5_000);

/// Time for which ended workflows stay visible, and the interval at which older ones are deleted.
const FORGOTTEN_MS: Millis = Millis(135_000);

/// Number of workflows in the submissions.
fn stored(deployment: &Deployment) -> usize {
    let keys = deployment.store.live_keys(Stream::Submissions);
    keys.iter().filter(|key| !key.starts_with("fence")).count()
}

/// Runs workflows of one task to their end, through a node.
fn run_workflows(deployment: &Deployment, at: usize) {
    for id in 1..=WORKFLOWS {
        let accepted = deployment.submit(at, id, vec![step(1)]);
        assert_that!(accepted, eq(Submitted::Accepted));
    }
    for id in 1..=WORKFLOWS {
        let ended = deployment.wait_for_end(at, id, Millis(30_000));
        assert_that!(ended, some(eq(State::Completed)), "workflow {id}");
    }
}

/// Checks that each workflow is completed as seen from a node, and that none ran twice.
fn expect_completed_once(deployment: &Deployment, at: usize, what: &str) {
    for id in 1..=WORKFLOWS {
        let ended = deployment.wait_for_end(at, id, Millis(30_000));
        expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
    }
    expect_that!(deployment.fleet.starts(), eq(WORKFLOWS), "{what}");
    expect_that!(*deployment.fleet.violations.borrow(), is_empty(), "{what}");
}

/// Guards against submissions of ended workflows that a successor has to read for as long as their
/// outcomes are kept.
#[gtest]
fn submissions_of_ended_workflows_are_deleted_and_a_successor_knows_the_outcomes() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        run_workflows(&deployment, other);
        deployment.sim.run_for(DELETED_MS);
        expect_that!(stored(&deployment), eq(0), "seed {seed}");
        deployment.kill(owner);
        deployment.sim.run_for(Millis(6_000));
        expect_completed_once(&deployment, other, &format!("seed {seed}"));
        expect_that!(
            deployment.state(other, WORKFLOWS + 1),
            eq(&StateLookup::NotFound)
        );
    }
}

/// Guards against a repeated submission or a late cancellation of a workflow whose records are deleted:
/// neither may run it again or change its state, at the owner and at a successor.
#[gtest]
fn repeated_submissions_and_late_cancellations_change_nothing() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        run_workflows(&deployment, other);
        deployment.sim.run_for(DELETED_MS);
        let repeat = || {
            for id in 1..=WORKFLOWS {
                let accepted = deployment.submit(other, id, vec![step(1)]);
                expect_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
                if id % 2 == 0 {
                    deployment.cancel(other, id);
                }
            }
        };
        repeat();
        deployment.kill(owner);
        repeat();
        deployment.sim.run_for(Millis(6_000));
        repeat();
        deployment.sim.run_for(DELETED_MS);
        expect_completed_once(&deployment, other, &format!("seed {seed}"));
        expect_that!(stored(&deployment), eq(0), "seed {seed}");
    }
}

/// Load pattern: the owner is suspended while it deletes, another node appends repeated submissions
/// directly, and the former owner goes on later. Guards against a deletion by a deposed owner that makes a
/// successor lose a workflow or run it again.
#[gtest]
fn a_deposed_owner_that_deletes_does_no_harm() {
    for seed in 1..=20 {
        let deployment = Deployment::new(seed, 4, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 4;
        for id in 1..=WORKFLOWS {
            let accepted = deployment.submit(other, id, vec![step(1)]);
            assert_that!(accepted, eq(Submitted::Accepted));
        }
        deployment.sim.run_for(Millis(900 + 97 * seed));
        deployment.pause(owner, Millis(4_000));
        for id in (1..=WORKFLOWS).step_by(3) {
            deployment.submit(other, id, vec![step(1)]);
        }
        deployment.sim.run_for(Millis(12_000));
        expect_completed_once(&deployment, other, &format!("seed {seed}"));
        deployment.sim.run_for(DELETED_MS);
        expect_that!(stored(&deployment), eq(0), "seed {seed}");
    }
}

/// Load pattern: a store that loses answers while the owner deletes, and a change of owner then. Guards
/// against a deletion that is not repeated, and against one that is carried out unnoticed.
#[gtest]
fn deletions_without_an_answer_are_repeated() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        run_workflows(&deployment, other);
        deployment.store.lose_answers.set(true);
        deployment.sim.run_for(Millis(400 * seed));
        if seed % 2 == 0 {
            deployment.kill(owner);
        }
        deployment.store.lose_answers.set(false);
        deployment.sim.run_for(Millis(8_000) + DELETED_MS);
        expect_completed_once(&deployment, other, &format!("seed {seed}"));
        expect_that!(stored(&deployment), eq(0), "seed {seed}");
    }
}

/// Guards against records of ended workflows that stay in the store after the retention time, and
/// against outcomes that a successor restored and keeps.
#[gtest]
fn outcomes_are_deleted_after_the_retention_time_also_by_a_successor() {
    for with_successor in [false, true] {
        let deployment = Deployment::new(1, 3, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        run_workflows(&deployment, other);
        deployment.sim.run_for(DELETED_MS);
        if with_successor {
            deployment.kill(owner);
        }
        deployment.sim.run_for(FORGOTTEN_MS);
        expect_that!(deployment.state(other, 1), eq(&StateLookup::NotFound));
        let progress = deployment.store.live_keys(Stream::Progress);
        let of_workflows = progress.iter().filter(|key| key.starts_with("progress/"));
        expect_that!(of_workflows.count(), eq(0), "{with_successor}");
        expect_that!(stored(&deployment), eq(0), "{with_successor}");
    }
}

/// Guards against a workflow that was accepted beside the deletions and waits for a plan until the owner has
/// read them back, or is lost with them.
#[gtest]
fn workflows_that_are_accepted_beside_deletions_run_once() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 4);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        deployment.fleet.run_ms.set(200);
        for id in 1..=100 {
            let accepted = deployment.submit(other, id, vec![step(1)]);
            expect_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
            deployment.sim.run_for(Millis(60));
            if id == 50 {
                deployment.kill(owner);
            }
        }
        for id in 1..=100 {
            let ended = deployment.wait_for_end(other, id, Millis(30_000));
            expect_that!(ended, some(eq(State::Completed)), "seed {seed}, {id}");
        }
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}
