//! Calls between nodes: replies match their calls, silent connections are replaced, and stray or
//! invalid messages have no effect.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use googletest::prelude::*;
use hemlocksaddle_node::{
    core::{CallError, Core, Handler, Part},
    invariant::{Invariant, OnViolation},
    ports::PortFuture,
};
use hemlocksaddle_types::{
    clock::Millis,
    document::Revision,
    job::JobId,
    name::NodeName,
    peer::{Heartbeat, RelayedDocument, Request, Response},
    record::Offset,
    unit::QueueIndex,
};

use crate::{
    cluster::Cluster,
    fake_peer::{FakePeer, outage_heartbeat},
};

/// Part that echoes the job of a cancel call, delayed by the job's number in milliseconds.
struct Echo(Rc<Core>);

impl Part for Echo {
    fn start(self: Rc<Self>) {}

    fn stop(self: Rc<Self>) -> PortFuture<'static, ()> {
        Box::pin(async {})
    }
}

impl Handler for Echo {
    fn handle(&self, _from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>> {
        let Request::Cancel(job) = request else {
            return None;
        };
        let (job, delay) = (*job, self.0.ports.runtime.sleep(Millis(job.number)));
        Some(Box::pin(async move {
            delay.await;
            Response::Submitted(job)
        }))
    }

    fn fill_heartbeat(&self, _heartbeat: &mut Heartbeat) {}
}

fn echo_cluster(seed: u64) -> Cluster {
    let cluster = Cluster::new(3, seed);
    (0..3).for_each(|index| {
        cluster.start_with(index, OnViolation::Panic, |core| {
            vec![Rc::new(Echo(core.clone()))]
        });
    });
    cluster.run(2_000);
    cluster
}

fn cancel(number: u64) -> Request {
    let queue = QueueIndex(0);
    Request::Cancel(JobId { queue, number })
}

/// Guards against a late or reordered reply that completes another call.
#[gtest]
fn every_call_gets_its_own_reply() {
    for seed in 0..10 {
        let cluster = echo_cluster(seed);
        let sim = cluster.platform.sim.clone();
        let ended = Rc::new(RefCell::new(0));
        for _ in 0..300 {
            let index = usize::try_from(sim.below(3)).unwrap_or(0);
            let other = usize::try_from(sim.below(3)).unwrap_or(0);
            let (from, to) = (cluster.node(index), cluster.name(other).clone());
            let (number, ended) = (sim.below(2_000), ended.clone());
            let process = sim.node_process(cluster.name(index));
            let timeout = Millis(sim.below(1_500));
            sim.spawn(process, async move {
                let reply = from.core().calls.call(&to, cancel(number), timeout).await;
                if let Ok(Response::Submitted(job)) = &reply {
                    assert_eq!(job.number, number);
                }
                assert!(
                    matches!(reply, Ok(Response::Submitted(_)) | Err(_)),
                    "{reply:?}"
                );
                *ended.borrow_mut() += 1;
            });
            if sim.below(20) == 0 {
                cluster.platform.silence(50);
            }
            cluster.run(sim.below(60));
        }
        cluster.run(5_000);
        expect_that!(*ended.borrow(), eq(300), "seed {seed}");
    }
}

/// Guards against keeping a silent connection forever, and against reporting "not sent"
/// for a call that was in flight.
#[gtest]
fn a_silent_connection_is_replaced() {
    let cluster = echo_cluster(1);
    let (node, to) = (cluster.node(0), cluster.name(1).clone());
    let call = |number, timeout_ms| {
        let call = node
            .core()
            .calls
            .call(&to, cancel(number), Millis(timeout_ms));
        cluster.platform.sim.block_on(call)
    };
    expect_that!(call(1, 1_000), ok(anything()));
    cluster.platform.silence(100);
    expect_that!(call(2, 1_000), err(eq(&CallError::NoReply)));
    cluster.run(3_500);
    expect_that!(call(3, 1_000), ok(anything()));
}

/// Guards against calls to a dead node that are reported as sent or never complete.
#[gtest]
fn a_call_to_a_dead_node_is_not_sent() {
    let cluster = echo_cluster(2);
    cluster.kill(1);
    cluster.run(3_000);
    let (node, to) = (cluster.node(0), cluster.name(1).clone());
    let call = node.core().calls.call(&to, cancel(1), Millis(1_000));
    expect_that!(
        cluster.platform.sim.block_on(call),
        err(eq(&CallError::NotSent))
    );
}

fn relayed(cluster: &Cluster, revision: u64, text: String) -> Response {
    let document = RelayedDocument {
        service: cluster.platform.service(),
        revision: Revision(revision),
        offset: Offset(900),
        text: Arc::from(text),
    };
    Response::Documents(vec![document], Offset(1_000))
}

/// Cluster of two nodes and a fake third that relays a document; node 0 is partitioned from the log.
fn cluster_with_fake_peer(revision: u64, out: &[&str]) -> Cluster {
    let cluster = Cluster::new(3, 3);
    (0..2).for_each(|index| cluster.start_with(index, OnViolation::Record, |_| Vec::new()));
    cluster.run(5_000);
    expect_that!(cluster.publish(1, 0, &[]), ok(anything()));
    expect_that!(cluster.publish(1, 1, &[]), ok(anything()));
    cluster.run(1_000);
    cluster.set_partitioned("node-0", "log", true);
    let text = cluster.platform.deployment.document(out);
    let response = relayed(&cluster, revision, text);
    let peer = FakePeer::new(&cluster, 2, move |_| Some(response.clone()));
    let ahead = outage_heartbeat(Offset(1_000));
    peer.heartbeat.replace(Some(ahead));
    cluster.run(8_000);
    cluster
}

fn recorded_violations(cluster: &Cluster) -> Vec<Invariant> {
    let recorded = cluster.node(0).core().invariants.recorded();
    recorded
        .into_iter()
        .map(|(invariant, _)| invariant)
        .collect()
}

/// Guards against an unnoticed violation of "an accepted configuration never
/// reverts": a peer relays another text under the current revision.
#[gtest]
fn two_texts_of_one_revision_violate_the_invariant() {
    let cluster = cluster_with_fake_peer(2, &["dc-a"]);
    expect_that!(
        recorded_violations(&cluster),
        contains(eq(&Invariant::ConfigurationNeverReverts))
    );
    let node = cluster.node(0);
    let current = &node.documents()[0];
    expect_true!(current.0.data_centres_out.is_empty());
    let document = cluster.platform.deployment.document(&[]);
    expect_that!(*current.0.text, eq(document.as_str()));
}

/// Guards against an old revision, relayed with a high offset, that replaces a newer one.
#[gtest]
fn an_old_revision_from_a_peer_changes_nothing() {
    let cluster = cluster_with_fake_peer(1, &["dc-a"]);
    expect_that!(cluster.revision(0), eq(2));
    expect_that!(recorded_violations(&cluster), is_empty());
}

/// Guards against stray replies that complete a call. Also shows that documents of
/// the fake peer are applied.
#[gtest]
fn stray_replies_are_dropped() {
    let cluster = cluster_with_fake_peer(3, &["dc-a"]);
    expect_that!(cluster.revision(0), eq(3));
    let (node, to) = (cluster.node(0), cluster.name(2).clone());
    for _ in 0..20 {
        let call = node.core().calls.call(&to, cancel(1), Millis(1_000));
        let reply = cluster.platform.sim.block_on(call);
        expect_true!(matches!(reply, Ok(Response::Documents(..))), "{reply:?}");
    }
}
