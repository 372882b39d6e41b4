//! Room that is reserved: log line, metric, delegates, and changes of owner.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_types::hash::stable_hash;
use hemlocksaddle_types::{clock::Millis, resources::Resources, workflow::Step};
use support::{Deployment, kept_lines, kept_lines::lines_of, step};

/// Nodes of a deployment.
const NODES: usize = 6;

/// Workers of a deployment, with room for eight small tasks each.
const WORKERS: usize = 12;

/// Starts nodes that reserve room, with links over which an owner calls workers through delegates.
fn deployment(seed: u64, shards: u32) -> Deployment {
    let deployment = Deployment::without_nodes(seed, WORKERS);
    deployment.reservations.set(true);
    deployment.store.put_layout(shards);
    (0..NODES).for_each(|number| deployment.start_with(number, 0.25, 200));
    deployment.sim.run_for(Millis(9_000));
    deployment.fleet.run_ms.set(1_000);
    deployment
}

/// Next id from `from` on that belongs to a shard.
fn id_of(shard: u32, shards: u32, from: u64) -> u64 {
    let is_of =
        |id: &u64| stable_hash(&[&id.to_be_bytes()]) % u64::from(shards) == u64::from(shard);
    (from..).find(is_of).expect("an id")
}

/// Task that needs a whole worker.
fn large() -> Step {
    Step {
        demand: Resources {
            cpu_milli: 8_000,
            ..Resources::default()
        },
        expected_run_ms: 1_000,
        ..step(1)
    }
}

/// Sends small tasks that keep all workers full.
fn load(deployment: &Deployment, first_id: u64, duration_ms: u64) {
    for number in 0..duration_ms / 100 {
        let at = (0..NODES).find(|&node| deployment.node(node).is_some());
        let small = Step {
            expected_run_ms: 1_000,
            ..step(12)
        };
        deployment.submit_in_background(at.expect("node"), first_id + number, vec![small]);
        deployment.sim.run_for(Millis(100));
    }
}

/// Load pattern: a task that needs a whole worker, while small ones keep all workers full, with calls through delegates
/// and the owner killed during the wait. Guards against a reservation that the next owner does not make anew.
#[gtest]
fn a_large_task_starts_although_its_owner_is_killed() {
    for seed in 1..=4 {
        let deployment = deployment(seed, 1);
        load(&deployment, 1_000, 3_000);
        let owner = deployment.owner().expect("owner");
        let at = (owner + 1) % NODES;
        deployment.submit_in_background(at, 7, vec![large()]);
        deployment.sim.run_for(Millis(150));
        deployment.kill(owner);
        load(&deployment, 2_000, 20_000);
        expect_that!(deployment.fleet.has_started(7), eq(true), "seed {seed}");
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Load pattern: a task that needs a whole worker in each of two shards, while small ones keep all workers full. Guards
/// against owners that count on the room of each other's workers.
#[gtest]
fn large_tasks_start_in_each_of_two_shards() {
    for seed in 1..=4 {
        let deployment = deployment(seed, 2);
        load(&deployment, 1_000, 3_000);
        let ids = [id_of(0, 2, 1), id_of(1, 2, 1)];
        for id in ids {
            deployment.submit_in_background(0, id, vec![large()]);
        }
        load(&deployment, 2_000, 20_000);
        for id in ids {
            expect_that!(deployment.fleet.has_started(id), eq(true), "seed {seed}");
        }
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Load pattern: a short task that needs a whole worker, while both workers run tasks that end in twelve
/// seconds. Guards against a wait whose line does not name the reservation, and against reserved room that no
/// metric shows.
#[gtest]
fn a_wait_is_logged_with_its_reservation() {
    kept_lines::keep();
    let deployment = Deployment::without_nodes(1, 2);
    deployment.reservations.set(true);
    (0..3).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    deployment.fleet.run_ms.set(12_000);
    let small = Step {
        expected_run_ms: 12_000,
        ..step(14)
    };
    let large = Step {
        demand: Resources {
            cpu_milli: 8_000,
            ..Resources::default()
        },
        expected_run_ms: 20_000,
        ..step(1)
    };
    deployment.submit(0, 7, vec![small]);
    deployment.sim.run_for(Millis(500));
    deployment.submit(0, 8, vec![large]);
    deployment.sim.run_for(Millis(11_100));
    let lines = lines_of(55);
    assert_that!(lines.len(), eq(1));
    let reservation = &lines[0]["reservation"];
    expect_that!(reservation["worker"].as_str(), some(any![eq("0"), eq("1")]));
    expect_that!(reservation["expected_in_ms"].as_u64(), some(le(3_000)));
    expect_that!(reservation["awaited_runs"].as_u64(), some(eq(7)));
    let last = reservation["last_run"].as_str();
    expect_that!(last, some(starts_with("0000000000000007.")));
    expect_that!(reservation["reservations"].as_u64(), some(eq(1)));
    let owner = deployment.owner().expect("owner");
    let metrics = deployment.node(owner).expect("node").metrics_text();
    let metrics = String::from_utf8(metrics.expect("metrics")).expect("text");
    expect_that!(
        metrics,
        contains_substring("shard_reserved_cpu_milli 1000\n")
    );
}
