//! Promises: owner and successor count them from the right time, and no claim in flight breaks one.

use std::rc::Rc;

use googletest::prelude::*;
use hemlocksaddle_node::stream::StreamReader;
use hemlocksaddle_types::{
    name::NodeName,
    peer::{Heartbeat, Request, Response},
    record::{Batch, BatchId, Claim, Offset, Record, Stream},
    unit::{QueueIndex, Term, Unit},
};

use crate::{
    cluster::Cluster,
    fake_peer::{FakePeer, outage_heartbeat},
};

const UNIT: Unit = Unit::Queue(QueueIndex(0));

/// Longest lease in true time: 3,000 ms on the slowest clock.
const MAX_LEASE_MS: u64 = 3_031;

/// Appends a claim of a fake node on the unit to the log.
fn append_claim(cluster: &Cluster, owner: usize) {
    let node = cluster.name(owner).clone();
    let others = cluster.platform.nodes.iter();
    let others = others.filter(|peer| peer.node != node);
    let claim = Claim {
        unit: UNIT,
        node: node.clone(),
        started_ms: 1,
        previous: Term(0),
        term: Term(1),
        successors: others.map(|peer| peer.node.clone()).collect(),
    };
    let batch = Batch {
        id: BatchId {
            node,
            started_ms: 1,
            number: 1,
        },
        term: Term(0),
        records: vec![Record::Claim(claim)],
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&batch, &mut bytes).expect("encodes");
    cluster.platform.append_now(Stream::Claims, bytes.into());
}

/// Nodes with a valid claim on the unit at its second term in the log.
fn claimants(cluster: &Cluster) -> Vec<NodeName> {
    let read = cluster.platform.read_now(Stream::Claims, Offset(0));
    let (batches, _) = StreamReader::new().apply(read);
    let batches = batches.into_iter();
    let records = batches.flat_map(|batch| batch.records);
    let claims = records.filter_map(|record| match record {
        Record::Claim(claim) if claim.unit == UNIT && claim.term == Term(2) => Some(claim.node),
        _ => None,
    });
    claims.collect()
}

fn count_batches(cluster: &Cluster) -> usize {
    let read = cluster.platform.read_now(Stream::Claims, Offset(0));
    read.records.len()
}

/// Cluster with a fake owner of the unit that sends no heartbeats; nodes 0 and 1 are its successors.
fn fake_owner(seed: u64) -> (Cluster, Rc<FakePeer>) {
    let cluster = Cluster::new(3, seed);
    append_claim(&cluster, 2);
    let owner = FakePeer::new(&cluster, 2, |_| None);
    (0..2).for_each(|index| cluster.start(index));
    cluster.run(1_000);
    (cluster, owner)
}

/// Requests promises every 800 ms until `request_until_ms` and checks that no claim
/// appears in the log before the promises of its node have expired.
fn check_promises(cluster: &Cluster, owner: &FakePeer, duration_ms: u64, request_until_ms: u64) {
    let request = Request::Promise(vec![(UNIT, Term(1))]);
    let mut seen = claimants(cluster).len();
    for step in 0..duration_ms / 10 {
        if step % 80 == 0 && step * 10 < request_until_ms {
            owner.call_all(&request);
        }
        let appends = cluster.platform.checker.counts().appends;
        cluster.run(10);
        if cluster.platform.checker.counts().appends == appends {
            continue;
        }
        for claimant in claimants(cluster).into_iter().skip(seen) {
            seen += 1;
            let (replies, called_ms) = (owner.replies.borrow(), owner.called_ms.borrow());
            let granted = replies.iter().filter(|(_, node, response)| {
                *node == claimant && *response == Response::Promised(vec![(UNIT, Term(1))])
            });
            let last = granted
                .map(|(number, _, _)| called_ms[usize::try_from(*number).unwrap_or(0)])
                .max();
            let since = cluster.platform.sim.now().0 - last.unwrap_or(0);
            assert!(
                last.is_none() || since >= MAX_LEASE_MS,
                "{claimant} claimed {since} ms after the owner requested its promise"
            );
        }
    }
}

/// Guards against a successor that claims a unit before its promise has expired,
/// or that keeps the promise without the clock margin.
#[gtest]
fn a_successor_keeps_its_promise() {
    for seed in 0..20 {
        let (cluster, owner) = fake_owner(seed);
        check_promises(&cluster, &owner, 12_000, 12_000);
        expect_that!(claimants(&cluster), is_empty(), "seed {seed}");
        check_promises(&cluster, &owner, 6_000, 10);
        expect_that!(claimants(&cluster), not(is_empty()), "seed {seed}");
    }
}

/// Guards against a successor that grants a promise while its own claim may still take effect.
#[gtest]
fn no_promise_while_a_claim_is_in_flight() {
    let mut claimed = 0;
    for seed in 0..20 {
        let (cluster, owner) = fake_owner(seed);
        owner.call_all(&Request::Promise(vec![(UNIT, Term(1))]));
        cluster.set_append_faults(0, 100);
        cluster.run(3_800);
        check_promises(&cluster, &owner, 30_000, 30_000);
        claimed += usize::from(!claimants(&cluster).is_empty());
    }
    // The other claims were resolved as void before they took effect.
    expect_that!(claimed, ge(10));
}

/// Guards against an owner that counts a promise from the reply, which may be
/// delayed, rather than from its request.
#[gtest]
fn an_owner_counts_a_promise_from_its_request() {
    for seed in 0..10 {
        let cluster = Cluster::new(3, seed);
        let promise = |request: &Request| match request {
            Request::Promise(units) => Some(Response::Promised(units.clone())),
            _ => None,
        };
        let peers = [1, 2].map(|index| {
            let peer = FakePeer::new(&cluster, index, promise);
            peer.heartbeat.replace(Some(outage_heartbeat(Offset(0))));
            peer.answer_delay_ms.set(Some(1_500));
            peer
        });
        cluster.start(0);
        cluster.run(8_000);
        cluster.set_partitioned("node-0", "log", true);
        cluster.run(8_000);
        let node = cluster.node(0);
        let lease = || node.core().ownership.lease(&UNIT);
        expect_true!(lease().is_some(), "seed {seed}: promises extend the lease");
        peers.iter().for_each(|peer| peer.answer_delay_ms.set(None));
        let last = peers.iter().filter_map(|peer| {
            let answered = peer.answered.borrow();
            answered.last().map(|(at_ms, _)| *at_ms)
        });
        let last_ms = last.min().expect("promises were requested");
        let now = cluster.platform.sim.now().0;
        cluster.run(last_ms + MAX_LEASE_MS - now);
        expect_that!(lease(), none(), "seed {seed}");
    }
}

/// Guards against a restarted node that claims units before the promises of its
/// earlier incarnation have expired.
#[gtest]
fn a_restarted_node_waits_before_claiming_owned_units() {
    for seed in 0..10 {
        let cluster = Cluster::running(3, seed);
        let count = || count_batches(&cluster);
        let before = count();
        cluster.kill(0);
        cluster.run(100);
        cluster.start(0);
        cluster.run(2_950);
        expect_that!(count(), eq(before), "seed {seed}");
        cluster.run_checked(12_000);
        expect_that!(cluster.leased_units(), eq(10), "seed {seed}");
    }
}

/// Guards against an owner that acts after it has sent its release: the next owner
/// acts without a wait, possibly before the previous one reads the release.
#[gtest]
fn the_lease_ends_before_the_release_is_sent() {
    for seed in 0..10 {
        let cluster = Cluster::running(3, seed);
        let node = cluster.node(0);
        let count = || count_batches(&cluster);
        let before = count();
        let process = cluster.platform.sim.node_process(cluster.name(0));
        cluster
            .platform
            .sim
            .spawn(process, async move { node.stop().await });
        while count() == before {
            cluster.run(1);
        }
        cluster.pause(0, 6_000);
        cluster.run_checked(8_000);
        expect_that!(cluster.leased_units(), eq(10), "seed {seed}");
    }
}

/// Guards against units that stay with a restarted owner that sends heartbeats but
/// never becomes ready.
#[gtest]
fn units_of_a_reachable_owner_that_is_not_ready_are_claimed() {
    for (ready, leaving, succeeded) in [
        (false, false, true),
        (true, false, false),
        (false, true, false),
    ] {
        let (cluster, owner) = fake_owner(3);
        owner.heartbeat.replace(Some(Heartbeat {
            ready,
            leaving,
            ..outage_heartbeat(Offset(0))
        }));
        cluster.run(12_000);
        let claimed = !claimants(&cluster).is_empty();
        expect_that!(claimed, eq(succeeded), "ready {ready}, leaving {leaving}");
    }
}
