//! Promises: each side counts them from the right moment, and none is broken by a claim under way.

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
    played::{PlayedPeer, outage_heartbeat},
};

const UNIT: Unit = Unit::Queue(QueueIndex(0));

/// Right of 3,000 ms by the slowest clock, in true milliseconds.
const LONGEST_RIGHT_MS: u64 = 3_031;

/// Puts a claim of a played node on the unit into the log.
fn put_claim(cluster: &Cluster, owner: usize) {
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

/// Nodes whose valid claims on the unit at its second term are in the log.
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

/// Owner that is played, with real successors 0 and 1 to which it is silent.
fn played_owner(seed: u64) -> (Cluster, Rc<PlayedPeer>) {
    let cluster = Cluster::new(3, seed);
    put_claim(&cluster, 2);
    let owner = PlayedPeer::new(&cluster, 2, |_| None);
    (0..2).for_each(|index| cluster.start(index));
    cluster.run(1_000);
    (cluster, owner)
}

/// Sends promise calls at an interval and watches the log; every claim that
/// appears must be later than the promises of its node allow.
fn watch_promises(cluster: &Cluster, owner: &PlayedPeer, span_ms: u64, asks_until_ms: u64) {
    let request = Request::Promise(vec![(UNIT, Term(1))]);
    let mut seen = claimants(cluster).len();
    for step in 0..span_ms / 10 {
        if step % 80 == 0 && step * 10 < asks_until_ms {
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
                last.is_none() || since >= LONGEST_RIGHT_MS,
                "{claimant} claimed {since} ms after the owner asked it for a promise"
            );
        }
    }
}

/// Guards against a successor that claims although it has promised not to, or
/// that counts its promise without the clock margin.
#[gtest]
fn a_promise_binds_its_giver() {
    for seed in 0..20 {
        let (cluster, owner) = played_owner(seed);
        watch_promises(&cluster, &owner, 12_000, 12_000);
        expect_that!(claimants(&cluster), is_empty(), "seed {seed}");
        watch_promises(&cluster, &owner, 6_000, 10);
        expect_that!(claimants(&cluster), not(is_empty()), "seed {seed}");
    }
}

/// Guards against a successor that promises while a claim of its own may still take effect.
#[gtest]
fn no_promise_while_a_claim_is_under_way() {
    let mut claimed = 0;
    for seed in 0..20 {
        let (cluster, owner) = played_owner(seed);
        owner.call_all(&Request::Promise(vec![(UNIT, Term(1))]));
        cluster.set_append_faults(0, 100);
        cluster.run(3_800);
        watch_promises(&cluster, &owner, 30_000, 30_000);
        claimed += usize::from(!claimants(&cluster).is_empty());
    }
    // The other claims were settled as void before they arrived.
    expect_that!(claimed, ge(10));
}

/// Guards against an owner that counts a promise from the reply, which may be
/// late, rather than from its request.
#[gtest]
fn an_owner_counts_a_promise_from_its_request() {
    for seed in 0..10 {
        let cluster = Cluster::new(3, seed);
        let promise = |request: &Request| match request {
            Request::Promise(units) => Some(Response::Promised(units.clone())),
            _ => None,
        };
        let peers = [1, 2].map(|index| {
            let peer = PlayedPeer::new(&cluster, index, promise);
            peer.heartbeat.replace(Some(outage_heartbeat(Offset(0))));
            peer.answer_delay_ms.set(Some(1_500));
            peer
        });
        cluster.start(0);
        cluster.run(8_000);
        cluster.cut("node-0", "log", true);
        cluster.run(8_000);
        let node = cluster.node(0);
        let right = || node.core().ownership.right(&UNIT);
        expect_true!(right().is_some(), "seed {seed}: promises keep the right");
        peers.iter().for_each(|peer| peer.answer_delay_ms.set(None));
        let last = peers.iter().filter_map(|peer| {
            let answered = peer.answered.borrow();
            answered.last().map(|(at_ms, _)| *at_ms)
        });
        let last_ms = last.min().expect("promises were asked for");
        let now = cluster.platform.sim.now().0;
        cluster.run(last_ms + LONGEST_RIGHT_MS - now);
        expect_that!(right(), none(), "seed {seed}");
    }
}

/// Guards against a restarted node that claims before the promises of its
/// earlier process have lapsed.
#[gtest]
fn a_restarted_node_claims_nothing_owned_at_first() {
    for seed in 0..10 {
        let cluster = Cluster::settled(3, seed);
        let count = || count_batches(&cluster);
        let before = count();
        cluster.kill(0);
        cluster.run(100);
        cluster.start(0);
        cluster.run(2_950);
        expect_that!(count(), eq(before), "seed {seed}");
        cluster.run_watched(12_000);
        expect_that!(cluster.acted_on(), eq(10), "seed {seed}");
    }
}

/// Guards against an owner that acts on after its release was sent: the next
/// owner acts at once, perhaps before the old one reads the release.
#[gtest]
fn the_right_ends_before_the_release_is_sent() {
    for seed in 0..10 {
        let cluster = Cluster::settled(3, seed);
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
        cluster.run_watched(8_000);
        expect_that!(cluster.acted_on(), eq(10), "seed {seed}");
    }
}

/// Guards against units that nobody serves because a restarted node of their owner's name is
/// heard but never becomes ready.
#[gtest]
fn an_owner_that_is_heard_but_never_ready_is_succeeded() {
    for (ready, leaving, succeeded) in [
        (false, false, true),
        (true, false, false),
        (false, true, false),
    ] {
        let (cluster, owner) = played_owner(3);
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
