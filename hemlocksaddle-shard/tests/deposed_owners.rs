//! Memory of owners that have lost their shard.
//!
//! Load pattern: owners are suspended in turn for longer than their lease, so that each node owns the shard again and
//! again. The configuration does not change meanwhile.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::clock::Millis;
use support::{Deployment, step};

const NODES: usize = 3;

/// Suspension after which another node owns the shard.
const SUSPENSION_MS: Millis = Millis(6_000);

/// Time by which all calls of a deposed owner have been answered or timed out.
const SETTLE_MS: Millis = Millis(12_000);

/// Owners in memory, by node.
fn held_owners(deployment: &Deployment) -> Vec<u32> {
    let held = |number| {
        let node = deployment.node(number).expect("node");
        let text = String::from_utf8(node.metrics_text().expect("metrics")).expect("text");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix("shard_held_owners "));
        value.and_then(|value| value.parse().ok()).expect("metric")
    };
    (0..NODES).map(held).collect()
}

/// Guards against nodes that keep the whole state of the shard once for each time that they owned it, and exceed their
/// memory after a few changes of owner.
#[gtest]
fn a_deposed_owner_is_dropped_with_its_state() {
    let deployment = Deployment::new(1, NODES, 4);
    deployment.wait_for_owner();
    for id in 1..=6 {
        let owner = deployment.owner().expect("owner");
        expect_that!(
            deployment.submit(owner, id, vec![step(2)]),
            eq(Submitted::Accepted)
        );
        deployment.suspend(owner, SUSPENSION_MS);
        deployment.sim.run_for(SUSPENSION_MS);
        deployment.sim.run_for(SETTLE_MS);
        expect_that!(deployment.owner(), some(not(eq(owner))));
    }
    let held = held_owners(&deployment);
    expect_that!(
        held.iter().sum::<u32>(),
        eq(1),
        "owners in memory by node: {held:?}"
    );
}
