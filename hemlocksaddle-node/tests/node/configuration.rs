//! Configuration: consistent publish outcomes, monotonic revisions, and starts only on fresh data.

use std::{rc::Rc, sync::Arc};

use futures_util::future::join;
use googletest::prelude::*;
use hemlocksaddle_node::{core::PublishResult, node::Node};
use hemlocksaddle_types::{
    clock::Millis,
    document::Revision,
    host::{Host, HostState},
    name::DataCentre,
    outcome::ResultCode,
    peer::Heartbeat,
    record::Offset,
};

use crate::{
    cluster::Cluster,
    fake_peer::{FakePeer, outage_heartbeat},
};

fn centre(name: &str) -> DataCentre {
    DataCentre::try_from(name).expect("a name")
}

fn may_start(cluster: &Cluster, index: usize, name: &str) -> bool {
    let node = cluster.node(index);
    node.core().configuration.may_start_in(&centre(name))
}

fn code(result: PublishResult) -> ResultCode {
    result.expect_err("a refusal").0
}

/// Guards against two operators whose concurrent publishes on revision 1 are both accepted.
#[gtest]
fn concurrent_publishes_have_one_winner() {
    for seed in 0..10 {
        let cluster = Cluster::running(3, seed);
        expect_that!(cluster.publish(0, 0, &[]), ok(eq(&Revision(1))));
        cluster.run(1_000);
        let (one, two) = (cluster.node(1), cluster.node(2));
        let service = cluster.platform.service();
        let text = |out: &[&str]| Arc::from(cluster.platform.deployment.document(out));
        let race = join(
            one.publish(service.clone(), Revision(1), text(&["dc-a"])),
            two.publish(service, Revision(1), text(&["dc-b"])),
        );
        let (first, second) = cluster.platform.sim.block_on(race);
        expect_true!(first.is_ok() != second.is_ok(), "seed {seed}");
        let loser = code(if first.is_ok() { second } else { first.clone() });
        expect_that!(loser, eq(ResultCode::RevisionConflict));
        cluster.run(1_500);
        for index in 0..3 {
            let out = centre(if first.is_ok() { "dc-a" } else { "dc-b" });
            expect_that!(cluster.revision(index), eq(2));
            expect_true!(cluster.node(index).core().configuration.is_out(&out));
        }
    }
}

/// Guards against refusing a publish as "not run" that takes effect later, and against
/// losing an accepted one.
#[gtest]
fn publish_results_are_correct_when_appends_are_lost_or_late() {
    for seed in 0..10 {
        let cluster = Cluster::running(3, seed);
        cluster.set_append_faults(30, 30);
        let mut revision = 0;
        for round in 0..12 {
            let result = cluster.publish(round % 3, revision, &[]);
            let (low, high) = match result {
                Ok(accepted) => (accepted.0, accepted.0),
                Err((code, _)) if code.number() < 2_000 => (revision, revision),
                Err(_) => (revision, revision + 1),
            };
            cluster.run(30_000);
            let current = cluster.revision(0);
            expect_true!((low..=high).contains(&current), "seed {seed} round {round}");
            revision = current;
        }
        expect_that!(revision, ge(6), "seed {seed}");
    }
}

/// Guards against a document that takes effect although it is invalid or of another service.
#[gtest]
fn an_invalid_document_changes_nothing() {
    let cluster = Cluster::running(3, 1);
    expect_that!(cluster.publish(0, 0, &[]), ok(anything()));
    let broken = cluster.publish_text(1, 1, String::from("[service]\nname = orders\n"));
    expect_that!(code(broken), eq(ResultCode::InvalidDocument));
    let text = cluster.platform.deployment.document(&[]);
    let other = cluster.publish_text(1, 1, text.replace("name = orders", "name = other"));
    expect_that!(code(other), eq(ResultCode::InvalidDocument));
    expect_that!(cluster.revision(0), eq(1));
}

/// Guards against refusing a publish as "log unavailable, not run" that takes effect after the outage.
#[gtest]
fn a_refused_publish_does_not_take_effect_after_an_outage() {
    for seed in 0..8 {
        let cluster = Cluster::running(3, seed);
        cluster.set_log_down(true);
        cluster.run(3_000);
        let result = cluster.publish(0, 0, &[]);
        let code = code(result);
        cluster.set_log_down(false);
        cluster.run(20_000);
        let current = cluster.revision(1);
        match code {
            ResultCode::LogUnavailable => expect_that!(current, eq(0), "seed {seed}"),
            other => expect_that!(other, eq(ResultCode::AnswerLost)),
        }
    }
}

/// Guards against a node that keeps an outdated document because only it cannot reach the log.
#[gtest]
fn a_node_without_the_log_gets_documents_from_peers() {
    let cluster = Cluster::running(3, 2);
    expect_that!(cluster.publish(0, 0, &[]), ok(anything()));
    cluster.run(1_000);
    cluster.set_partitioned("node-2", "log", true);
    cluster.run(3_000);
    expect_that!(cluster.publish(0, 1, &["dc-a"]), ok(anything()));
    cluster.run(3_000);
    expect_that!(cluster.revision(2), eq(2));
    expect_false!(may_start(&cluster, 2, "dc-b"));
    cluster.set_partitioned("node-2", "log", false);
    cluster.run(3_000);
    expect_that!(cluster.revision(2), eq(2));
    expect_that!(cluster.publish(2, 2, &[]), ok(eq(&Revision(3))));
    cluster.run(1_500);
    expect_that!(cluster.revision(0), eq(3));
}

/// Guards against relayed documents that change outcomes in log order: a conflict
/// that a node reads after the relayed document must remain one.
#[gtest]
fn a_relayed_document_does_not_change_earlier_outcomes() {
    let cluster = Cluster::running(3, 2);
    expect_that!(cluster.publish(0, 0, &[]), ok(anything()));
    cluster.run(1_000);
    cluster.set_partitioned("node-2", "log", true);
    let ahead = cluster.publish(0, 3, &["dc-b"]);
    expect_that!(code(ahead), eq(ResultCode::RevisionConflict));
    expect_that!(cluster.publish(0, 1, &["dc-a"]), ok(anything()));
    expect_that!(cluster.publish(0, 2, &["dc-c"]), ok(anything()));
    cluster.run(5_000);
    expect_that!(cluster.revision(2), eq(3));
    cluster.set_partitioned("node-2", "log", false);
    cluster.run(5_000);
    expect_that!(cluster.revision(2), eq(3));
    let node = cluster.node(2);
    expect_true!(node.core().configuration.is_out(&centre("dc-c")));
}

/// Guards against revisions that decrease under faults.
#[gtest]
fn revisions_never_decrease() {
    for seed in 0..6 {
        let cluster = Cluster::running(4, seed);
        let sim = cluster.platform.sim.clone();
        let mut highest = [0; 4];
        cluster.set_append_faults(10, 10);
        for _ in 0..15 {
            let index = usize::try_from(sim.below(3)).unwrap_or(0);
            let node = cluster.name(index + 1).clone();
            cluster.set_partitioned(node.as_str(), "log", sim.below(2) == 0);
            // Refusals are expected; only the current revision is checked.
            let _ = cluster.publish(0, highest[0], &[]);
            cluster.run(200 + sim.below(4_000));
            for (index, before) in highest.iter_mut().enumerate() {
                let now = cluster.revision(index);
                expect_that!(now, ge(*before), "seed {seed}");
                *before = now;
            }
        }
        (0..4)
            .for_each(|index| cluster.set_partitioned(cluster.name(index).as_str(), "log", false));
        cluster.run(10_000);
        let texts = |node: &Rc<Node>| {
            let documents = node.documents();
            documents
                .first()
                .map(|(document, revision)| (document.text.clone(), *revision))
        };
        let nodes = cluster.nodes();
        expect_true!(nodes.iter().all(|node| texts(node) == texts(&nodes[0])));
    }
}

/// Guards against starts in a data centre that is out by the document or by the host list.
#[gtest]
fn either_source_takes_a_data_centre_out() {
    let cluster = Cluster::running(3, 3);
    expect_true!(may_start(&cluster, 0, "dc-a"));
    expect_that!(cluster.publish(1, 0, &["dc-a"]), ok(anything()));
    cluster.run(2_000);
    for index in 0..3 {
        expect_false!(may_start(&cluster, index, "dc-a"));
        expect_true!(may_start(&cluster, index, "dc-b"));
    }
    let in_b = |host: &Host| host.data_centre == centre("dc-b");
    cluster.platform.set_state(HostState::Leaving, in_b);
    cluster.run(2_500);
    expect_false!(may_start(&cluster, 0, "dc-b"));
    cluster.platform.set_state(HostState::Live, in_b);
    expect_that!(cluster.publish(1, 1, &[]), ok(anything()));
    cluster.run(2_500);
    expect_true!(may_start(&cluster, 0, "dc-a") && may_start(&cluster, 0, "dc-b"));
}

/// Guards against starts on stale documents: if only one node cannot reach the
/// log, it must not start work, since other nodes may accept a publish.
#[gtest]
fn no_start_when_only_this_node_lacks_the_log() {
    let cluster = Cluster::running(3, 4);
    cluster.set_partitioned("node-0", "log", true);
    cluster.run(2_100);
    for _ in 0..100 {
        cluster.run(100);
        expect_false!(may_start(&cluster, 0, "dc-c"));
        expect_true!(may_start(&cluster, 1, "dc-c"));
    }
}

/// Guards against an outage that prevents starts although every running node confirms it.
#[gtest]
fn an_outage_that_all_nodes_confirm_allows_starts() {
    for seed in 0..5 {
        let cluster = Cluster::running(3, seed);
        cluster.set_log_down(true);
        cluster.run(10_000);
        let allowed = (0..100).filter(|_| {
            cluster.run(100);
            may_start(&cluster, 0, "dc-c")
        });
        expect_that!(allowed.count(), ge(95), "seed {seed}");
    }
}

/// Guards against starts during an outage while a running node is unreachable or
/// the host list is stale: either could hide that a data centre is out.
#[gtest]
fn no_start_in_an_outage_that_is_not_fully_confirmed() {
    let cluster = Cluster::running(3, 5);
    cluster.set_log_down(true);
    cluster.run(10_000);
    cluster.set_partitioned("node-0", "node-2", true);
    cluster.run(2_200);
    expect_false!(may_start(&cluster, 0, "dc-b"));
    expect_true!(may_start(&cluster, 1, "dc-b"));
    cluster.set_partitioned("node-0", "node-2", false);
    cluster.run(5_000);
    expect_true!(may_start(&cluster, 0, "dc-b"));
    cluster.set_partitioned("node-0", "hosts", true);
    cluster.run(7_000);
    expect_false!(may_start(&cluster, 0, "dc-b"));
}

/// Guards against starts during an outage that a peer's heartbeat does not confirm in full.
#[gtest]
fn every_condition_on_a_peer_heartbeat_is_required() {
    let cluster = Cluster::new(3, 10);
    (0..2).for_each(|index| cluster.start(index));
    let peer = FakePeer::new(&cluster, 2, |_| None);
    cluster.run(3_000);
    let next = Offset(0);
    peer.heartbeat.replace(Some(outage_heartbeat(next)));
    cluster.set_log_down(true);
    cluster.run(8_000);
    let may_start_after = |change: &dyn Fn(&mut Heartbeat)| {
        let mut heartbeat = outage_heartbeat(next);
        change(&mut heartbeat);
        peer.heartbeat.replace(Some(heartbeat));
        cluster.run(700);
        may_start(&cluster, 0, "dc-b")
    };
    expect_true!(may_start_after(&|_| {}));
    expect_false!(may_start_after(
        &|heartbeat| heartbeat.publish_unsettled = true
    ));
    expect_true!(may_start_after(&|_| {}));
    expect_false!(may_start_after(
        &|heartbeat| heartbeat.documents_next = Offset(1)
    ));
    expect_true!(may_start_after(&|_| {}));
    expect_false!(may_start_after(
        &|heartbeat| heartbeat.log_failed_ago_ms = None
    ));
    expect_true!(may_start_after(&|_| {}));
    expect_false!(may_start_after(
        &|heartbeat| heartbeat.log_failed_ago_ms = Some(Millis(2_001))
    ));
    peer.heartbeat.replace(None);
    cluster.run(2_200);
    expect_false!(may_start(&cluster, 0, "dc-b"));
}

/// Guards against a dead node that prevents starts forever, and against starts
/// while a data centre with live hosts has no running node.
#[gtest]
fn a_dead_node_prevents_starts_until_its_host_is_gone() {
    let cluster = Cluster::running(4, 6);
    cluster.set_log_down(true);
    cluster.run(10_000);
    cluster.kill(3);
    cluster.run(2_500);
    expect_false!(may_start(&cluster, 0, "dc-b"));
    let gone = |address| move |host: &Host| host.address == address;
    cluster
        .platform
        .set_state(HostState::Gone, gone(cluster.address(3).address));
    cluster.run(3_000);
    expect_true!(may_start(&cluster, 0, "dc-b"));
    cluster.kill(1);
    cluster
        .platform
        .set_state(HostState::Gone, gone(cluster.address(1).address));
    cluster.run(5_000);
    expect_false!(may_start(&cluster, 0, "dc-b"), "dc-b has hosts but no node");
}

/// Guards against a new node that is ready before it knows the documents.
#[gtest]
fn a_new_node_is_not_ready_before_it_has_caught_up() {
    let cluster = Cluster::new(3, 7);
    cluster.start(0);
    cluster.start(1);
    cluster.run(5_000);
    expect_that!(cluster.publish(0, 0, &["dc-a"]), ok(anything()));
    cluster.set_log_down(true);
    cluster.run(4_000);
    cluster.set_partitioned("node-2", "dc-a", true);
    cluster.set_partitioned("node-2", "dc-b", true);
    cluster.start(2);
    cluster.run(10_000);
    expect_false!(cluster.node(2).is_ready(), "neither log nor peers");
    expect_that!(code(cluster.publish(2, 0, &[])), eq(ResultCode::NotReady));
    cluster.set_partitioned("node-2", "dc-b", false);
    cluster.run(5_000);
    expect_true!(cluster.node(2).is_ready());
    expect_that!(cluster.revision(2), eq(1));
}

/// Guards against nodes that all start during an outage and confirm each other's
/// empty state as current.
#[gtest]
fn new_nodes_do_not_confirm_each_other() {
    let cluster = Cluster::new(3, 8);
    cluster.set_log_down(true);
    (0..3).for_each(|index| cluster.start(index));
    cluster.run(20_000);
    expect_true!(cluster.nodes().iter().all(|node| !node.is_ready()));
    cluster.set_log_down(false);
    cluster.run(5_000);
    expect_true!(cluster.nodes().iter().all(|node| node.is_ready()));
}

/// Guards against documents that expire with the log's retention.
#[gtest]
fn documents_outlive_the_retention() {
    let cluster = Cluster::new(4, 9);
    let retention_ms = Millis(300_000);
    cluster.platform.timing.borrow_mut().retention_ms = retention_ms;
    cluster.platform.faults.borrow_mut().log_retention = retention_ms;
    (0..3).for_each(|index| cluster.start(index));
    cluster.run(5_000);
    expect_that!(cluster.publish(0, 0, &[]), ok(anything()));
    expect_that!(cluster.publish(1, 1, &["dc-c"]), ok(anything()));
    cluster.run(1_000_000);
    let before = cluster.platform.checker.counts().appends;
    cluster.run(300_000);
    expect_that!(cluster.platform.checker.counts().appends - before, le(20));
    cluster.start(3);
    cluster.run(5_000);
    expect_that!(cluster.revision(3), eq(2));
    expect_that!(cluster.publish(3, 2, &[]), ok(eq(&Revision(3))));
    cluster.run(1_500);
    expect_that!(cluster.revision(0), eq(3));
}
