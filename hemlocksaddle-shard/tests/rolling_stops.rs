//! Planned stops of nodes, one after the other.
//!
//! Load pattern: a deployment of slow nodes is restarted node by node. An owner that stops goes on until
//! another node has claimed its shard, and ends with the grace period.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::{StateLookup, Submitted};
use hemlocksaddle_types::clock::Millis;
use support::{Deployment, step};

/// Share of a core of a slow node.
const SLOW_SHARE: f64 = 0.12;

/// Time for a deployment of slow nodes to choose an owner.
const START_MS: Millis = Millis(9_000);

/// Longest time from the start of a stop until another node owns the shard.
const HAND_OVER_MS: Millis = Millis(1_600);

fn slow_deployment(seed: u64, nodes: usize) -> Deployment {
    let deployment = Deployment::without_nodes(seed, 4);
    (0..nodes).for_each(|number| deployment.start_with_share(number, SLOW_SHARE));
    deployment.sim.run_for(START_MS);
    deployment
}

/// Begins the planned stop of a node.
fn release(deployment: &Deployment, number: usize) {
    deployment.node(number).expect("node").release();
}

/// Number of shards that a node owns.
fn owned(deployment: &Deployment, number: usize) -> usize {
    deployment.node(number).expect("node").owned()
}

/// Guards against an owner that finds no successor before its process ends, because its renewals keep slow
/// nodes from claiming a shard that it offers.
#[gtest]
fn slow_nodes_claim_an_offered_shard_beside_renewals() {
    for seed in 1..=20 {
        let deployment = slow_deployment(seed, 5);
        let owner = deployment.owner().expect("owner");
        deployment.sim.run_for(Millis(37 * seed));
        release(&deployment, owner);
        deployment.sim.run_for(HAND_OVER_MS);
        expect_that!(owned(&deployment, owner), eq(0), "seed {seed}");
        let owners = (0..5).filter(|&number| owned(&deployment, number) > 0);
        expect_that!(owners.count(), eq(1), "seed {seed}");
    }
}

/// Bandwidth of a slow link.
const SLOW_LINK_KBPS: u32 = 2_000;

/// Time that a page of the store takes on the links of all nodes.
const PAGE_MS: Millis = Millis(3_500);

/// Deployment whose links take a time for each page, and the number of its owner.
fn slow_link_deployment(seed: u64, nodes: usize, page: Millis) -> (Deployment, usize) {
    let deployment = Deployment::without_nodes(seed, 6);
    (0..nodes).for_each(|number| deployment.start_with(number, 0.25, SLOW_LINK_KBPS));
    deployment.wait_for_owner();
    (0..nodes).for_each(|number| deployment.set_page_time(number, page));
    let owner = deployment.owner().expect("owner");
    (deployment, owner)
}

/// Load pattern: workers are replaced in turn while the owner changes, over links on which the successor reads
/// its state for seconds. Guards against tasks that it starts on workers that have announced meanwhile that
/// they leave.
#[gtest]
fn a_successor_knows_which_workers_leave_when_it_has_read_its_state() {
    for seed in 1..=10 {
        let (deployment, owner) = slow_link_deployment(seed, 3, PAGE_MS);
        let other = (owner + 1) % 3;
        deployment.kill(owner);
        let successor = (0..500).find_map(|_| {
            deployment.sim.run_for(Millis(10));
            deployment.owner()
        });
        expect_that!(successor, some(anything()), "seed {seed}");
        for id in 1..=5 {
            deployment.submit(other, id, vec![step(4)]);
        }
        (0..3).for_each(|number| deployment.fleet.drain(number));
        deployment.sim.run_for(Millis(20_000));
        let violations = deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "seed {seed}");
        expect_that!(deployment.fleet.starts(), ge(20), "seed {seed}");
    }
}

/// Longest time without a start in a planned change of owner; two intervals of submissions more than the
/// reading of what has followed the state.
const MAX_GAP_MS: u64 = 1_000;

/// Guards against a planned change of owner in which nothing starts while the successor reads its state, which
/// its predecessor could have bridged.
#[gtest]
fn an_owner_that_stops_goes_on_until_its_successor_has_read_the_state() {
    for seed in 1..=10 {
        let (deployment, owner) = slow_link_deployment(seed, 4, PAGE_MS);
        release(&deployment, owner);
        let mut gap_ms = 0;
        let mut longest_ms = 0;
        for id in 1..=70 {
            let starts = deployment.fleet.starts();
            deployment.submit((owner + 1) % 4, id, vec![step(1)]);
            deployment.sim.run_for(Millis(100));
            gap_ms = if deployment.fleet.starts() > starts {
                0
            } else {
                gap_ms + 100
            };
            longest_ms = longest_ms.max(gap_ms);
        }
        expect_that!(owned(&deployment, owner), eq(0), "seed {seed}");
        expect_that!(longest_ms, le(MAX_GAP_MS), "seed {seed}");
        let violations = deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "seed {seed}");
    }
}

/// Time from the signal to the kill.
const GRACE_MS: Millis = Millis(6_000);

/// Time from the signal to the exit.
const EXIT_MS: u64 = 5_300;

/// Time of a page with which a successor still reads when it is stopped as well.
const SHORT_PAGE_MS: Millis = Millis(1_000);

/// Guards against a shard that waits for its named successor although that one has been stopped meanwhile.
#[gtest]
fn a_shard_is_offered_to_another_node_when_its_successor_stops() {
    for seed in 1..=20 {
        let (deployment, owner) = slow_link_deployment(seed, 3, SHORT_PAGE_MS);
        release(&deployment, owner);
        deployment.sim.run_for(Millis(300));
        // Of equal nodes the last one is named.
        let others: Vec<usize> = (0..3).filter(|&number| number != owner).collect();
        release(&deployment, others[1]);
        deployment.sim.run_for(Millis(3_500));
        expect_that!(owned(&deployment, owner), eq(0), "seed {seed}");
        expect_that!(owned(&deployment, others[0]), eq(1), "seed {seed}");
    }
}

/// Load pattern: nodes are stopped one after the other, also the named successor when it has just read the
/// state. Guards against a shard that is left to nodes which have read nothing of it.
#[gtest]
fn a_successor_that_is_stopped_as_well_owns_the_shard_until_another_has_read_the_state() {
    for seed in 1..=10 {
        let (deployment, owner) = slow_link_deployment(seed, 4, PAGE_MS);
        deployment.node(owner).expect("node").shut_down(GRACE_MS);
        deployment.sim.run_for(Millis(3_000));
        // Of equal nodes the last one is named.
        let named = (0..4)
            .filter(|&number| number != owner)
            .max()
            .expect("node");
        deployment.node(named).expect("node").shut_down(GRACE_MS);
        let begun_at = deployment.sim.now();
        let mut gap_ms = 0;
        let mut longest_ms = 0;
        for id in 1..=100 {
            let elapsed = Millis(deployment.sim.now().0 - begun_at.0);
            if elapsed.0 + 3_000 >= EXIT_MS && deployment.node(owner).is_some() {
                deployment.kill(owner);
            }
            if elapsed.0 >= EXIT_MS && deployment.node(named).is_some() {
                deployment.kill(named);
            }
            let starts = deployment.fleet.starts();
            let at = (0..4).find(|&number| number != owner && number != named);
            deployment.submit(at.expect("node"), id, vec![step(1)]);
            deployment.sim.run_for(Millis(100));
            gap_ms = if deployment.fleet.starts() > starts {
                0
            } else {
                gap_ms + 100
            };
            longest_ms = longest_ms.max(gap_ms);
        }
        expect_that!(longest_ms, le(MAX_GAP_MS), "seed {seed}");
        let violations = deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "seed {seed}");
    }
}

/// Time that an answer of the store takes to a successor, so that it knows of a renewal late.
const LATE_ANSWER_MS: Millis = Millis(120);

/// Load pattern: a successor is stopped while it reads the state, and its claim meets a renewal. Guards against a
/// successor that has read the state and gives the shard up after one claim.
#[gtest]
fn a_claim_that_meets_a_renewal_is_repeated_by_a_node_that_stops() {
    for offset in 0..24 {
        let page = Millis(3_000 + 30 * offset);
        let (deployment, owner) = slow_link_deployment(offset, 4, page);
        // Of equal nodes the last one is named.
        let named = (0..4)
            .filter(|&number| number != owner)
            .max()
            .expect("node");
        deployment.set_answer_time(named, LATE_ANSWER_MS);
        deployment.node(owner).expect("node").shut_down(GRACE_MS);
        deployment.sim.run_for(Millis(2_500));
        deployment.node(named).expect("node").shut_down(GRACE_MS);
        // Others claim 5 s after the offer.
        deployment.sim.run_for(Millis(2_400));
        expect_that!(owned(&deployment, named), eq(1), "page {page:?}");
    }
}

/// Longest time from a claim without the state until work starts: one read of the state, and first reports.
const BLIND_RECOVERY_MS: u64 = PAGE_MS.0 + 1_000;

/// Load pattern: an owner is lost, and its successor reads the state for seconds over a slow link. Guards against a
/// lost answer to a fence after which all of the state is read again.
#[gtest]
fn the_state_is_read_once_although_the_answer_to_a_fence_is_lost() {
    for seed in 1..=10 {
        let (deployment, owner) = slow_link_deployment(seed, 3, PAGE_MS);
        let other = (owner + 1) % 3;
        deployment.kill(owner);
        let successor = (0..5_000).find_map(|_| {
            deployment.sim.run_for(Millis(1));
            deployment.owner()
        });
        expect_that!(successor, some(anything()), "seed {seed}");
        let claimed_at = deployment.sim.now();
        deployment.store.lose_answers.set(true);
        deployment.sim.run_for(Millis(20));
        deployment.store.lose_answers.set(false);
        let _outcome = deployment.submit_in_background(other, 1, vec![step(1)]);
        while deployment.fleet.starts() == 0 && deployment.sim.now().0 < claimed_at.0 + 20_000 {
            deployment.sim.run_for(Millis(50));
        }
        let took_ms = deployment.sim.now().0 - claimed_at.0;
        expect_that!(took_ms, le(BLIND_RECOVERY_MS), "seed {seed}");
    }
}

/// Guards against a submission that a successor does not know right after its recovery, since it was stored
/// while the state was read.
#[gtest]
fn a_successor_knows_submissions_that_were_stored_while_it_read_the_state() {
    for seed in 1..=10 {
        let (deployment, owner) = slow_link_deployment(seed, 3, PAGE_MS);
        let other = (owner + 1) % 3;
        deployment.kill(owner);
        let mut stored = Vec::new();
        for id in 1..=80 {
            if deployment.submit(other, id, vec![step(1)]) == Submitted::Accepted {
                stored.push(id);
            }
            deployment.sim.run_for(Millis(100));
            for id in &stored {
                let state = deployment.state(other, *id);
                let unknown = matches!(state, StateLookup::NotFound);
                expect_that!(unknown, eq(false), "seed {seed}: workflow {id}");
            }
        }
    }
}
