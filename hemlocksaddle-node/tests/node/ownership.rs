//! Ownership: one node at a time may act on a unit, and someone soon does.

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

/// Guards against units that nobody claims, or that two nodes take for theirs.
#[gtest]
fn every_unit_gets_one_owner() {
    for seed in 0..5 {
        let cluster = Cluster::new(3, seed);
        (0..3).for_each(|index| cluster.start(index));
        cluster.run_watched(8_000);
        expect_that!(cluster.acted_on(), eq(UNITS), "seed {seed}");
        expect_that!(cluster.publish(0, 0, &[]), ok(anything()));
        cluster.run_watched(8_000);
        expect_that!(cluster.acted_on(), eq(UNITS + 6), "seed {seed}");
    }
}

/// Guards against units that stay without an owner after a death, and against
/// a successor that acts while the dead node's orders could still take effect.
#[gtest]
fn successors_take_over_after_a_death() {
    for seed in 0..5 {
        let cluster = Cluster::settled(5, seed);
        let lost = units_of(&cluster, 0);
        cluster.kill(0);
        cluster.run(6_500);
        let early = cluster.rights();
        expect_true!(
            lost.iter().all(|unit| !early.contains_key(unit)),
            "seed {seed}"
        );
        cluster.run_watched(5_500);
        expect_that!(cluster.acted_on(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against an owner that acts on old evidence after a pause, and against
/// a successor that counts its promise from before the owner asked.
#[gtest]
fn no_two_rights_under_pauses_and_partitions() {
    for seed in 0..12 {
        let cluster = Cluster::settled(5, seed);
        let sim = cluster.platform.sim.clone();
        for _ in 0..12 {
            let index = usize::try_from(sim.below(5)).unwrap_or(0);
            let other = usize::try_from(sim.below(5)).unwrap_or(0);
            let (one, two) = (cluster.name(index).clone(), cluster.name(other).clone());
            match sim.below(4) {
                0 => cluster.pause(index, 500 + sim.below(12_000)),
                1 => cluster.cut(one.as_str(), two.as_str(), true),
                2 => cluster.cut(one.as_str(), "log", true),
                _ => cluster.set_log_down(sim.below(3) == 0),
            }
            cluster.run_watched(1_000 + sim.below(5_000));
            cluster.cut(one.as_str(), two.as_str(), false);
            if sim.below(2) == 0 {
                cluster.cut(one.as_str(), "log", false);
            }
        }
        cluster.set_log_down(false);
        (0..5).for_each(|index| cluster.cut(cluster.name(index).as_str(), "log", false));
        cluster.run_watched(20_000);
        expect_that!(cluster.acted_on(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against claims that take effect late, after their node made a promise,
/// and against units that stay blocked by claims of unknown outcome.
#[gtest]
fn no_two_rights_when_appends_are_lost_or_late() {
    for seed in 0..8 {
        let cluster = Cluster::new(5, seed);
        cluster.set_append_faults(20, 20);
        (0..5).for_each(|index| cluster.start(index));
        cluster.run_watched(10_000);
        cluster.pause(1, 9_000);
        cluster.kill(0);
        cluster.run_watched(15_000);
        cluster.start(0);
        // Ends before units are moved, which leaves them without an owner for a moment.
        cluster.run_watched(25_000);
        expect_that!(cluster.acted_on(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against units that go back and forth between nodes that both reach
/// the log but not each other, so that neither may ever act.
#[gtest]
fn a_partition_between_nodes_leaves_most_units_usable() {
    for seed in 0..5 {
        let cluster = Cluster::settled(3, seed);
        let claims = || {
            cluster
                .platform
                .read_now(Stream::Claims, Offset(0))
                .records
                .len()
        };
        let before = claims();
        cluster.cut("node-0", "node-1", true);
        cluster.cut("node-0", "node-2", true);
        let mut usable = 0;
        for _ in 0..60 {
            cluster.run_watched(1_000);
            usable += cluster.acted_on();
        }
        expect_that!(claims() - before, le(40), "seed {seed}");
        expect_that!(usable, ge(60 * UNITS * 6 / 10), "seed {seed}");
        cluster.cut("node-0", "node-1", false);
        cluster.cut("node-0", "node-2", false);
        cluster.run_watched(10_000);
        expect_that!(cluster.acted_on(), eq(UNITS), "seed {seed}");
    }
}

/// Guards against a unit that its owner dropped to release it and then takes up
/// again under the same term, when the log did not take the release: parts
/// number jobs from the start of a term.
#[gtest]
fn a_dropped_term_never_comes_back() {
    let mut dropped = 0;
    for seed in 0..10 {
        let cluster = Cluster::settled(5, seed);
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

/// Guards against a log outage that stops owners whose successors promise.
#[gtest]
fn promises_keep_rights_during_a_log_outage() {
    let cluster = Cluster::settled(5, 3);
    cluster.set_log_down(true);
    cluster.run(5_000);
    for _ in 0..100 {
        cluster.run_watched(500);
        expect_that!(cluster.acted_on(), eq(UNITS));
    }
}

/// Guards against an owner that goes on without log and without one of its successors.
#[gtest]
fn rights_end_without_log_and_successor() {
    let cluster = Cluster::settled(3, 4);
    cluster.set_log_down(true);
    cluster.run(5_000);
    cluster.kill(2);
    cluster.run(3_200);
    expect_that!(cluster.acted_on(), eq(0));
    cluster.set_log_down(false);
    cluster.run_watched(15_000);
    expect_that!(cluster.acted_on(), eq(UNITS));
}

/// Guards against a planned stop that leaves units to time out, and against
/// a restarted process that takes its predecessor's units for its own.
#[gtest]
fn a_planned_stop_hands_units_over_at_once() {
    let cluster = Cluster::settled(5, 5);
    let node = cluster.node(0);
    cluster.platform.sim.block_on(node.stop());
    expect_that!(units_of(&cluster, 0), is_empty());
    cluster.kill(0);
    cluster.run_watched(2_500);
    expect_that!(cluster.acted_on(), eq(UNITS));
    cluster.start(0);
    cluster.run_watched(3_000);
    expect_that!(units_of(&cluster, 0), is_empty());
}

/// Guards against units that never return to their node, and against two
/// moves by one owner at once.
#[gtest]
fn units_move_back_to_a_returned_node() {
    let cluster = Cluster::settled(5, 6);
    let before = units_of(&cluster, 0);
    assert_that!(before, not(is_empty()));
    cluster.kill(0);
    cluster.run(15_000);
    cluster.start(0);
    cluster.run_watched(50_000);
    expect_that!(units_of(&cluster, 0), is_empty());
    cluster.run_watched(120_000);
    expect_that!(units_of(&cluster, 0), eq(&before));
    expect_that!(cluster.acted_on(), eq(UNITS));
}

/// Guards against claims that expire with the log's retention, after which a
/// new node would take owned units for unclaimed ones.
#[gtest]
fn claims_outlive_the_retention() {
    let cluster = Cluster::new(4, 7);
    let retention_ms = Millis(300_000);
    cluster.platform.timing.borrow_mut().retention_ms = retention_ms;
    cluster.platform.faults.borrow_mut().log_retention = retention_ms;
    (0..3).for_each(|index| cluster.start(index));
    cluster.run(1_000_000);
    cluster.start(3);
    cluster.run_watched(30_000);
    let (old, new) = (cluster.node(0), cluster.node(3));
    for unit in cluster.rights().keys() {
        let owner = old.core().ownership.owner(unit);
        expect_that!(new.core().ownership.owner(unit), eq(&owner), "{unit}");
    }
    expect_that!(cluster.acted_on(), eq(UNITS));
}
