//! End-to-end tests of workers that leave before the owner of their shard changes.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, LEASE_MS, step};

/// Time within which tasks that wait are started by a successor that has nobody to wait for: the
/// failover target of 1.5 s, three rounds of tasks of a second, and a second to spare.
const COMPLETED_WITHIN: Millis = Millis(5_500);

/// Lets a worker leave, waits, and submits more tasks than fit at once.
fn after_a_departure(seed: u64, wait: Millis) -> (Deployment, usize) {
    let deployment = Deployment::new(seed, 3, 2);
    deployment.wait_for_owner();
    deployment.fleet.set_unreachable(1, true);
    deployment.store.remove_worker(1);
    deployment.sim.run_for(wait);
    let owner = deployment.owner().expect("owner");
    let accepted = deployment.submit((owner + 1) % 3, 1, vec![step(20)]);
    assert_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
    deployment.sim.run_for(Millis(500));
    (deployment, owner)
}

/// Load pattern: workers leave, later the owner is killed. Guards against inherited work that waits
/// for reports of workers that left long before.
#[gtest]
fn work_goes_on_at_once_after_an_owner_is_killed_although_a_worker_has_left() {
    for seed in 1..=10 {
        let (deployment, owner) = after_a_departure(seed, Millis(LEASE_MS + 2_000));
        deployment.kill(owner);
        let ended = deployment.wait_for_end((owner + 1) % 3, 1, COMPLETED_WITHIN);
        expect_that!(ended, some(eq(State::Completed)), "seed {seed}");
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Load pattern: idle workers leave, and the owner is killed right after. Guards against inherited work
/// that waits for the leases of workers on which nothing ran.
#[gtest]
fn work_goes_on_at_once_after_an_owner_is_killed_although_an_idle_worker_has_just_left() {
    for seed in 1..=10 {
        let (deployment, owner) = after_a_departure(seed, Millis(LEASE_MS / 2));
        deployment.kill(owner);
        let ended = deployment.wait_for_end((owner + 1) % 3, 1, COMPLETED_WITHIN);
        expect_that!(ended, some(eq(State::Completed)), "seed {seed}");
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Load pattern: workers leave, later the owner stops as planned. Guards against inherited work that
/// waits for reports of workers that left long before.
#[gtest]
fn work_goes_on_at_once_after_a_planned_stop_although_a_worker_has_left() {
    for seed in 1..=10 {
        let (deployment, owner) = after_a_departure(seed, Millis(LEASE_MS + 2_000));
        deployment.node(owner).expect("node").release();
        let ended = deployment.wait_for_end((owner + 1) % 3, 1, COMPLETED_WITHIN);
        expect_that!(ended, some(eq(State::Completed)), "seed {seed}");
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Time after its last run within which a long-running task has to run again where there is room.
const RUNS_AGAIN_WITHIN: Millis = Millis(9_000);

/// Load pattern: workers are lost for good, on a platform that allows long leases. Guards against tasks
/// of a lost worker that wait for a lease longer than the time within which they have to run again.
#[gtest]
fn the_work_of_a_lost_worker_runs_again_in_time_although_leases_may_be_long() {
    for seed in 1..=10 {
        let deployment = Deployment::without_nodes(seed, 3);
        deployment.fleet.max_lease_ms.set(10_000);
        deployment.fleet.run_ms.set(100_000);
        (0..3).for_each(|number| deployment.start(number));
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let accepted = deployment.submit((owner + 1) % 3, 1, vec![step(12)]);
        assert_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
        deployment.sim.run_for(Millis(1_000 + 90 * seed));
        let lost = deployment.fleet.running_on(1) as u64;
        assert_that!(lost, gt(0), "seed {seed}");
        deployment.fleet.set_unreachable(1, true);
        deployment.store.remove_worker(1);
        deployment.sim.run_for(RUNS_AGAIN_WITHIN);
        expect_that!(deployment.fleet.starts(), eq(12 + lost), "seed {seed}");
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Guards against a worker that is not waited for after it was listed again, and so against two runs
/// of a task.
#[gtest]
fn a_worker_that_is_listed_again_is_waited_for() {
    for seed in 1..=10 {
        let (deployment, owner) = after_a_departure(seed, Millis(LEASE_MS + 2_000));
        deployment.fleet.set_unreachable(1, false);
        deployment.store.put_worker(1);
        deployment.sim.run_for(Millis(1_500));
        deployment.fleet.run_ms.set(LEASE_MS);
        deployment.submit((owner + 1) % 3, 2, vec![step(12)]);
        deployment.sim.run_for(Millis(300));
        // Only the roster tells the successor of this worker.
        deployment.fleet.set_unreachable(1, true);
        deployment.store.remove_worker(1);
        deployment.kill(owner);
        expect_that!(deployment.fleet.running_on(1), gt(0), "seed {seed}");
        for id in 1..=2 {
            let ended = deployment.wait_for_end((owner + 1) % 3, id, Millis(60_000));
            expect_that!(ended, some(eq(State::Completed)), "seed {seed}, {id}");
        }
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}
