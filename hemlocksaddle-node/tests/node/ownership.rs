//! Ownership: at most one node holds the lease of a unit, and after a failure another soon does.

use std::collections::BTreeSet;

use googletest::prelude::*;
use hemlocksaddle_types::{
    clock::Millis,
    record::{Offset, Stream},
    unit::{Term, Unit},
};

use crate::cluster::Cluster;

/// Queues and racks of the small deployment.
const UNITS: usize = 4 + 6;

fn units_of(cluster: &Cluster, index: usize) -> Vec<Unit> {
    let owned = cluster.node(index).core().ownership.owned();
    owned.into_iter().map(|(unit, _)| unit).collect()
}

/// Guards against units that no node claims, or of which two nodes hold a lease.
#[gtest]
fn every_unit_gets_one_owner() {
    for seed in 0..5 {
        let cluster = Cluster::new(3, seed);
        (0..3).for_each(|index| cluster.start(index));
        cluster.run_checked(8_000);
        expect_that!(cluster.leased_units(), eq(UNITS), "seed {seed}");
        expect_that!(cluster.publish(0, 0, &[]), ok(anything()));
        cluster.run_checked(8_000);
        expect_that!(cluster.leased_units(), eq(UNITS + 6), "seed {seed}");
    }
}

/// Guards against units that stay without an owner after a node is killed, and
/// against a successor that acts while orders of that node can still take effect.
#[gtest]
fn successors_take_over_from_a_killed_node() {
    for seed in 0..5 {
        let cluster = Cluster::running(5, seed);
        let lost = units_of(&cluster, 0);
        cluster.kill(0);
        cluster.run(6_500);
        let early = cluster.lease_holders();
        expect_true!(
            lost.iter().all(|unit| !early.contains_key(unit)),
            "seed {seed}"
        );
        cluster.run_checked(5_500);
        expect_that!(cluster.leased_units(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against an owner that acts on an expired lease after a pause, and
/// against a successor that counts its promise from before the owner's request.
#[gtest]
fn at_most_one_lease_under_pauses_and_partitions() {
    for seed in 0..12 {
        let cluster = Cluster::running(5, seed);
        let sim = cluster.platform.sim.clone();
        for _ in 0..12 {
            let index = usize::try_from(sim.below(5)).unwrap_or(0);
            let other = usize::try_from(sim.below(5)).unwrap_or(0);
            let (one, two) = (cluster.name(index).clone(), cluster.name(other).clone());
            match sim.below(4) {
                0 => cluster.pause(index, 500 + sim.below(12_000)),
                1 => cluster.set_partitioned(one.as_str(), two.as_str(), true),
                2 => cluster.set_partitioned(one.as_str(), "log", true),
                _ => cluster.set_log_down(sim.below(3) == 0),
            }
            cluster.run_checked(1_000 + sim.below(5_000));
            cluster.set_partitioned(one.as_str(), two.as_str(), false);
            if sim.below(2) == 0 {
                cluster.set_partitioned(one.as_str(), "log", false);
            }
        }
        cluster.set_log_down(false);
        (0..5)
            .for_each(|index| cluster.set_partitioned(cluster.name(index).as_str(), "log", false));
        cluster.run_checked(20_000);
        expect_that!(cluster.leased_units(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against claims that take effect after their node has granted a promise,
/// and against units that stay blocked by claims of unknown outcome.
#[gtest]
fn at_most_one_lease_when_appends_are_lost_or_late() {
    for seed in 0..8 {
        let cluster = Cluster::new(5, seed);
        cluster.set_append_faults(20, 20);
        (0..5).for_each(|index| cluster.start(index));
        cluster.run_checked(10_000);
        cluster.pause(1, 9_000);
        cluster.kill(0);
        cluster.run_checked(15_000);
        cluster.start(0);
        // Ends before units are moved back, during which they briefly have no owner.
        cluster.run_checked(25_000);
        expect_that!(cluster.leased_units(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against units that move back and forth between partitioned nodes that
/// both reach the log, so that neither ever gets a lease.
#[gtest]
fn a_partition_between_nodes_leaves_most_units_usable() {
    for seed in 0..5 {
        let cluster = Cluster::running(3, seed);
        let claims = || {
            cluster
                .platform
                .read_now(Stream::Claims, Offset(0))
                .records
                .len()
        };
        let before = claims();
        cluster.set_partitioned("node-0", "node-1", true);
        cluster.set_partitioned("node-0", "node-2", true);
        let mut usable = 0;
        for _ in 0..60 {
            cluster.run_checked(1_000);
            usable += cluster.leased_units();
        }
        expect_that!(claims() - before, le(40), "seed {seed}");
        expect_that!(usable, ge(60 * UNITS * 6 / 10), "seed {seed}");
        cluster.set_partitioned("node-0", "node-1", false);
        cluster.set_partitioned("node-0", "node-2", false);
        cluster.run_checked(10_000);
        expect_that!(cluster.leased_units(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against an owner that drops a unit to release it and resumes it under
/// the same term because the append of the release failed. Parts number jobs from
/// the start of a term, so job numbers would repeat.
#[gtest]
fn a_dropped_term_never_becomes_active_again() {
    let mut dropped = 0;
    for seed in 0..10 {
        let cluster = Cluster::running(5, seed);
        cluster.kill(0);
        cluster.run(15_000);
        cluster.start(0);
        cluster.run(58_000);
        cluster.set_append_faults(30, 60);
        let mut gone: BTreeSet<(usize, Unit, Term)> = BTreeSet::new();
        let mut before: BTreeSet<(usize, Unit, Term)> = BTreeSet::new();
        for _ in 0..1_500 {
            cluster.run(20);
            let nodes = (0..5).map(|index| (index, cluster.node(index)));
            let now: BTreeSet<_> = nodes
                .flat_map(|(index, node)| {
                    let owned = node.core().ownership.owned().into_iter();
                    owned.map(move |(unit, term)| (index, unit, term))
                })
                .collect();
            gone.extend(before.difference(&now).cloned());
            expect_that!(gone.intersection(&now).count(), eq(0), "seed {seed}");
            before = now;
        }
        dropped += gone.len();
    }
    expect_that!(dropped, ge(5));
}

/// Guards against leases that expire in a log outage although all successors grant promises.
#[gtest]
fn promises_extend_leases_during_a_log_outage() {
    let cluster = Cluster::running(5, 3);
    cluster.set_log_down(true);
    cluster.run(5_000);
    for _ in 0..100 {
        cluster.run_checked(500);
        expect_that!(cluster.leased_units(), eq(UNITS));
    }
}

/// Guards against an owner that keeps its lease without the log and without one of its successors.
#[gtest]
fn leases_expire_without_log_and_successor() {
    let cluster = Cluster::running(3, 4);
    cluster.set_log_down(true);
    cluster.run(5_000);
    cluster.kill(2);
    cluster.run(3_200);
    expect_that!(cluster.leased_units(), eq(0));
    cluster.set_log_down(false);
    cluster.run_checked(15_000);
    expect_that!(cluster.leased_units(), eq(UNITS));
}

/// Guards against a planned stop whose units are claimed only after a timeout, and
/// against a restarted node that treats units of its earlier incarnation as its own.
#[gtest]
fn a_planned_stop_hands_units_over_at_once() {
    let cluster = Cluster::running(5, 5);
    let node = cluster.node(0);
    cluster.platform.sim.block_on(node.stop());
    expect_that!(units_of(&cluster, 0), is_empty());
    cluster.kill(0);
    cluster.run_checked(2_500);
    expect_that!(cluster.leased_units(), eq(UNITS));
    cluster.start(0);
    cluster.run_checked(3_000);
    expect_that!(units_of(&cluster, 0), is_empty());
}

/// Guards against units that never move back to their highest-ranked node, and
/// against concurrent moves by one owner.
#[gtest]
fn units_move_back_to_a_restarted_node() {
    let cluster = Cluster::running(5, 6);
    let before = units_of(&cluster, 0);
    assert_that!(before, not(is_empty()));
    cluster.kill(0);
    cluster.run(15_000);
    cluster.start(0);
    cluster.run_checked(50_000);
    expect_that!(units_of(&cluster, 0), is_empty());
    cluster.run_checked(120_000);
    expect_that!(units_of(&cluster, 0), eq(&before));
    expect_that!(cluster.leased_units(), eq(UNITS));
}

/// Guards against claims that expire with the log's retention, after which a new
/// node would treat owned units as unclaimed.
#[gtest]
fn claims_outlive_the_retention() {
    let cluster = Cluster::new(4, 7);
    let retention_ms = Millis(300_000);
    cluster.platform.timing.borrow_mut().retention_ms = retention_ms;
    cluster.platform.faults.borrow_mut().log_retention = retention_ms;
    (0..3).for_each(|index| cluster.start(index));
    cluster.run(1_000_000);
    cluster.start(3);
    cluster.run_checked(30_000);
    let (old, new) = (cluster.node(0), cluster.node(3));
    for unit in cluster.lease_holders().keys() {
        let owner = old.core().ownership.owner(unit);
        expect_that!(new.core().ownership.owner(unit), eq(&owner), "{unit}");
    }
    expect_that!(cluster.leased_units(), eq(UNITS));
}
