//! Calls to workers through delegates, which are killed, suspended and replaced.
//!
//! All nodes have a link that carries the calls to one worker, so that the owner of
//! twelve workers needs others.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, step};

const NODES: usize = 6;

/// Bandwidth for the calls to two workers.
const LINK_KBPS: u32 = 200;

/// Time from the signal to stop until the process is killed.
const GRACE_MS: Millis = Millis(6_000);

/// Time for an owner to be elected and to choose delegates.
const SETTLE_MS: Millis = Millis(9_000);

fn deployment(seed: u64, workers: usize) -> Deployment {
    let deployment = Deployment::without_nodes(seed, workers);
    (0..NODES).for_each(|number| deployment.start_with(number, 0.25, LINK_KBPS));
    deployment.sim.run_for(SETTLE_MS);
    assert!(deployment.owner().is_some(), "no node owns the shard");
    deployment
}

/// Nodes that called workers since the last call of this function.
fn callers(deployment: &Deployment) -> Vec<usize> {
    (0..NODES)
        .filter(|&node| deployment.fleet.take_calls(node) > 0)
        .collect()
}

fn metrics(deployment: &Deployment, node: usize) -> String {
    let metrics = deployment.node(node).expect("node").metrics_text();
    String::from_utf8(metrics.expect("metrics")).expect("text")
}

fn submit(deployment: &Deployment, at: usize, ids: std::ops::RangeInclusive<u64>) {
    for id in ids {
        let accepted = deployment.submit(at, id, vec![step(6)]);
        assert_that!(accepted, eq(Submitted::Accepted));
    }
}

fn expect_completed(deployment: &Deployment, at: usize, ids: std::ops::RangeInclusive<u64>) {
    for id in ids {
        let ended = deployment.wait_for_end(at, id, Millis(30_000));
        expect_that!(ended, some(eq(State::Completed)), "workflow {id}");
    }
    expect_that!(*deployment.fleet.violations.borrow(), is_empty());
}

/// Load pattern: owner's link full. Guards against an owner that calls all workers itself.
#[gtest]
fn an_owner_with_a_slow_link_calls_workers_through_others() {
    let deployment = deployment(1, 12);
    let owner = deployment.owner().expect("owner");
    callers(&deployment);
    submit(&deployment, owner, 1..=4);
    expect_completed(&deployment, owner, 1..=4);
    let callers = callers(&deployment);
    expect_that!(callers, not(contains(eq(&owner))));
    expect_that!(callers.len(), ge(3));
    expect_that!(deployment.fleet.starts(), eq(24));
}

/// Guards against tasks that are lost or run twice when a delegate's process is killed.
#[gtest]
fn work_goes_on_when_a_delegate_is_killed() {
    for seed in 1..=10 {
        let deployment = deployment(seed, 12);
        let owner = deployment.owner().expect("owner");
        callers(&deployment);
        submit(&deployment, owner, 1..=4);
        deployment.sim.run_for(Millis(100 * seed));
        let delegate = callers(&deployment)[0];
        deployment.kill(delegate);
        submit(&deployment, owner, 5..=6);
        expect_completed(&deployment, owner, 1..=6);
    }
}

/// Guards against a delegate that carries out calls after a pause of seconds, when their permission
/// has run out: a start of a task that has run elsewhere since.
#[gtest]
fn a_delegate_that_was_suspended_starts_nothing_again() {
    for seed in 1..=10 {
        let deployment = deployment(seed, 12);
        let owner = deployment.owner().expect("owner");
        callers(&deployment);
        submit(&deployment, owner, 1..=3);
        let delegate = callers(&deployment)[0];
        deployment.pause(delegate, Millis(4_500));
        submit(&deployment, owner, 4..=8);
        expect_completed(&deployment, owner, 1..=8);
        deployment.sim.run_for(Millis(6_000));
        expect_that!(
            *deployment.fleet.violations.borrow(),
            is_empty(),
            "seed {seed}"
        );
        expect_that!(deployment.fleet.running(), eq(0), "seed {seed}");
    }
}

/// Guards against a delegate that goes on for an owner which was suspended and replaced meanwhile.
#[gtest]
fn delegates_follow_the_successor_of_a_suspended_owner() {
    for seed in 1..=10 {
        let deployment = deployment(seed, 12);
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % NODES;
        submit(&deployment, other, 1..=4);
        deployment.pause(owner, Millis(5_000));
        deployment.sim.run_for(Millis(4_000));
        submit(&deployment, other, 5..=8);
        expect_completed(&deployment, other, 1..=8);
        expect_that!(deployment.owner(), some(not(eq(owner))), "seed {seed}");
    }
}

/// Guards against tasks that are lost or run twice when the owner's process is killed while its calls
/// are on the way through delegates.
#[gtest]
fn a_successor_takes_over_the_work_behind_delegates() {
    for seed in 1..=10 {
        let deployment = deployment(seed, 12);
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % NODES;
        submit(&deployment, other, 1..=4);
        deployment.sim.run_for(Millis(70 * seed));
        deployment.kill(owner);
        expect_completed(&deployment, other, 1..=4);
    }
}

/// Guards against workers that stay silent because their delegate cannot reach them any more.
#[gtest]
fn a_worker_that_was_cut_off_is_used_again() {
    let deployment = deployment(3, 12);
    let owner = deployment.owner().expect("owner");
    submit(&deployment, owner, 1..=4);
    (0..12).for_each(|worker| deployment.fleet.set_unreachable(worker, true));
    deployment.sim.run_for(Millis(3_000));
    (0..12).for_each(|worker| deployment.fleet.set_unreachable(worker, false));
    submit(&deployment, owner, 5..=8);
    expect_completed(&deployment, owner, 1..=8);
}

/// Guards against a delegate that is given up because a worker behind it is silent.
#[gtest]
fn a_silent_worker_does_not_cost_its_delegate() {
    let deployment = deployment(4, 12);
    let owner = deployment.owner().expect("owner");
    submit(&deployment, owner, 1..=2);
    callers(&deployment);
    deployment.fleet.set_unreachable(0, true);
    for _ in 0..10 {
        deployment.sim.run_for(Millis(500));
        expect_that!(callers(&deployment), not(contains(eq(&owner))));
    }
    let metrics = metrics(&deployment, owner);
    let unanswered = "shard_delegated_calls_total{outcome=\"no answer\"}";
    expect_that!(metrics, not(contains_substring(unanswered)));
}

/// Guards against workers that are called through a delegate until it exits: the
/// withdrawal of its offer may be lost on a full link.
#[gtest]
fn a_stopping_delegate_hands_its_workers_back_at_once() {
    for seed in 1..=10 {
        let deployment = deployment(seed, 12);
        let owner = deployment.owner().expect("owner");
        submit(&deployment, owner, 1..=3);
        callers(&deployment);
        deployment.sim.run_for(Millis(1_500));
        let stopping = callers(&deployment)[0];
        deployment.lose_requests(stopping);
        deployment.node(stopping).expect("node").shut_down(GRACE_MS);
        // Calls that arrive while the declined ones are answered.
        deployment.sim.run_for(Millis(20));
        callers(&deployment);
        deployment.sim.run_for(Millis(1_500));
        let called = callers(&deployment);
        expect_that!(called, not(contains(eq(&stopping))), "seed {seed}");
        expect_that!(called, not(contains(eq(&owner))), "seed {seed}");
        let lost = "shard_delegated_calls_total{outcome=\"no answer\"}";
        let metrics = metrics(&deployment, owner);
        expect_that!(metrics, not(contains_substring(lost)), "seed {seed}");
        submit(&deployment, owner, 4..=6);
        expect_completed(&deployment, owner, 1..=6);
    }
}

/// Load pattern: links full, so that a connection takes longer to open than an order may. Guards against a new owner
/// that opens a connection for each call and loses its delegates meanwhile.
#[gtest]
fn a_new_owner_has_connections_before_it_uses_them() {
    for seed in 1..=10 {
        let deployment = deployment(seed, 24);
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % NODES;
        submit(&deployment, other, 1..=6);
        deployment.connections.opening_ms.set(450);
        deployment.kill(owner);
        expect_completed(&deployment, other, 1..=6);
        expect_that!(deployment.connections.repeated.get(), eq(0), "seed {seed}");
        let successor = deployment.owner().expect("successor");
        let metrics = metrics(&deployment, successor);
        for outcome in ["not sent", "no answer"] {
            let lost = format!("shard_delegated_calls_total{{outcome=\"{outcome}\"}}");
            expect_that!(metrics, not(contains_substring(lost)), "seed {seed}");
        }
    }
}
