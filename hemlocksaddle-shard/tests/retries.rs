//! Retries of submissions whose earlier attempt may be stored: none is refused.
//!
//! Failures: lost answers, callers that leave, a store that is unavailable, and owners that do not recover, so that
//! nodes refuse new submissions.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{cell::Cell, rc::Rc};

use googletest::prelude::*;
use hemlocksaddle_fakes::runtime::ENVIRONMENT;
use hemlocksaddle_shard::{frontend::Submitted, ports::Stream};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Step, WorkflowId},
};
use support::{Deployment, step, workflow};

const WORKERS: usize = 6;

const FAST_LINK_KBPS: u32 = 1_000_000;

const SLOW_LINK_KBPS: u32 = 2_000;

/// Time that a record of 1 kB takes over a link of 2 Mbit/s.
const SLOW_RECORD_US: u64 = 4_000;

/// Time from the loss of the owner until nodes refuse workflows of 1 s: 3 s until its lease has ended and 4.25 s
/// until their results come too late, with a margin.
const REFUSING_MS: Millis = Millis(9_000);

/// Number of a node that starts while the others refuse; it refuses nothing at first.
const LATE: usize = 3;

/// Time until a node that has started reads the configuration and the claims.
const STARTED_MS: Millis = Millis(300);

fn long_running() -> Vec<Step> {
    vec![Step {
        long_running: true,
        ..step(1)
    }]
}

/// Deployment in which no owner recovers, and a node that refuses new short work.
fn refusing(seed: u64, link_kbps: u32, record_us: u64) -> (Deployment, usize) {
    refusing_beside(seed, link_kbps, record_us, Millis(0))
}

/// As [`refusing`], with the time that a page of newest records takes.
fn refusing_beside(seed: u64, link_kbps: u32, record_us: u64, page: Millis) -> (Deployment, usize) {
    let deployment = Deployment::without_nodes(seed, WORKERS);
    (0..3).for_each(|number| deployment.start_with(number, 0.25, link_kbps));
    deployment.wait_for_owner();
    let owner = deployment.owner().expect("owner");
    (0..3).for_each(|number| {
        deployment.set_stream_silent(number, Some(Stream::Workers));
        deployment.set_page_time(number, page);
        let link = &deployment.store_of(number).record_us;
        link.set(record_us);
    });
    deployment.kill(owner);
    deployment.sim.run_for(REFUSING_MS);
    let successor = deployment.owner().expect("successor");
    let other = (0..3).find(|&number| number != owner && number != successor);
    let other = other.expect("other node");
    expect_refused(&deployment, other, 1_000);
    deployment.start_with(LATE, 0.25, FAST_LINK_KBPS);
    deployment.set_stream_silent(LATE, Some(Stream::Workers));
    deployment.sim.run_for(STARTED_MS);
    (deployment, other)
}

fn expect_refused(deployment: &Deployment, at: usize, id: u64) {
    let outcome = deployment.submit(at, id, vec![step(1)]);
    assert_that!(outcome, matches_pattern!(Submitted::Unserved(_)), "{id}");
}

/// Submits a workflow at a node whose caller leaves after a time.
fn submit_and_leave(deployment: &Deployment, at: usize, id: u64, after: Millis) {
    let node = deployment.node(at).expect("node");
    let left = deployment.sim.sleep(after);
    deployment.sim.block_on(async move {
        let submit = node
            .frontend
            .submit(WorkflowId(id), workflow(vec![step(1)]));
        futures_util::future::select(std::pin::pin!(submit), std::pin::pin!(left)).await;
    });
}

/// Failure: no owner recovers, beside a store that answers in 4 ms or in 300 ms, or with pages that take 2 s, so that
/// a recovery times out. Guards against a refusal at one
/// node of what another node has stored, and against work that is stored although nobody has submitted it before.
#[gtest]
fn a_retry_of_stored_work_is_accepted_while_no_owner_serves() {
    for (seed, latency_factor, page_ms) in [(1, 1, 0), (2, 1, 2_000), (3, 75, 0), (4, 75, 0)] {
        let page = Millis(page_ms);
        let (deployment, other) = refusing_beside(seed, FAST_LINK_KBPS, 0, page);
        let stored = deployment.submit(LATE, 1, vec![step(1)]);
        assert_that!(stored, eq(Submitted::Accepted), "seed {seed}");
        deployment.store.latency_factor.set(latency_factor);
        let retried = deployment.submit(other, 1, vec![step(1)]);
        expect_that!(retried, eq(Submitted::Accepted), "seed {seed}");
        expect_refused(&deployment, other, 2);
        let records = deployment.store.live_keys(Stream::Submissions);
        let records = records.iter().filter(|key| key.starts_with("accepted/"));
        expect_that!(records.count(), eq(1), "seed {seed}");
    }
}

/// Failure: records are deleted before a node has read them. Guards against a refusal of what they held.
#[gtest]
fn a_retry_is_not_refused_after_records_were_deleted() {
    let (deployment, other) = refusing(1, FAST_LINK_KBPS, 0);
    let stored = deployment.submit(LATE, 1, vec![step(1)]);
    assert_that!(stored, eq(Submitted::Accepted));
    deployment.store.forget_history(Stream::Submissions);
    for _ in 0..6 {
        let retried = deployment.submit(other, 1, vec![step(1)]);
        expect_that!(retried, eq(Submitted::Accepted));
        deployment.sim.run_for(Millis(500));
    }
    deployment.sim.run_for(Millis(3_500));
    expect_refused(&deployment, other, 2);
}

/// Load: 30 submissions a second of 1 kB, over links of 2 Mbit/s. Guards against a refusal of what is not read yet,
/// against nodes that refuse nothing because they fall behind, and against reads without a bound.
#[gtest]
fn a_retry_is_not_refused_over_a_slow_link() {
    let (deployment, other) = refusing(2, SLOW_LINK_KBPS, SLOW_RECORD_US);
    let reads = || deployment.store.calls.borrow()[&Stream::Submissions];
    let (before, started) = (reads(), deployment.sim.now());
    let mut appends = 0;
    for round in 0..20 {
        for id in 0..5 {
            // The late node stores this for as long as no owner serves; it would come to refuse short work.
            let stored = deployment.submit(LATE, 10 + round * 5 + id, long_running());
            assert_that!(stored, eq(Submitted::Accepted));
            appends += 1;
            deployment.sim.run_for(Millis(25));
        }
        let retried = deployment.submit(other, 10 + round * 5 + 4, vec![step(1)]);
        expect_that!(retried, eq(Submitted::Accepted), "round {round}");
        expect_refused(&deployment, other, 500 + round);
    }
    // Three nodes follow, each with at most 10 reads a second.
    let bound = (deployment.sim.now().0 - started.0) as usize * 3 / 100 + 10;
    expect_that!(reads() - before - appends, le(bound));
}

/// Failure: the store is unavailable after an append without an answer. Guards against a refusal of the retry at
/// the same node, and against one that takes as long as the first attempt.
#[gtest]
fn a_retry_at_the_same_node_is_not_refused_while_the_store_is_unavailable() {
    for leaves in [false, true] {
        let deployment = Deployment::new(3, 3, WORKERS);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        deployment.kill(owner);
        deployment.store.lose_answers.set(true);
        if leaves {
            submit_and_leave(&deployment, other, 1, Millis(500));
        } else {
            let first = deployment.submit(other, 1, vec![step(1)]);
            assert_that!(first, eq(Submitted::Unknown));
        }
        deployment.store.lose_answers.set(false);
        deployment.store.down.set(true);
        deployment.sim.run_for(Millis(400));
        let asked_at = deployment.sim.now();
        let retried = deployment.submit(other, 1, vec![step(1)]);
        expect_that!(retried, eq(Submitted::Unknown), "leaves: {leaves}");
        let refused = deployment.submit(other, 2, vec![step(1)]);
        expect_that!(refused, eq(Submitted::Unavailable), "leaves: {leaves}");
        expect_that!(deployment.sim.now().0 - asked_at.0, lt(1_000));
    }
}

/// Failure: the store is unavailable to all after the work was stored. Guards against a refusal by an owner that
/// knows the workflow, and against one by a node that has stored it.
#[gtest]
fn a_retry_of_stored_work_is_accepted_while_the_store_is_unavailable() {
    let deployment = Deployment::new(4, 3, WORKERS);
    deployment.wait_for_owner();
    let owner = deployment.owner().expect("owner");
    let first = deployment.submit(owner, 1, vec![step(1)]);
    assert_that!(first, eq(Submitted::Accepted));
    deployment.store.down.set(true);
    deployment.sim.run_for(Millis(600));
    for at in 0..3 {
        let retried = deployment.submit(at, 1, vec![step(1)]);
        expect_that!(retried, eq(Submitted::Accepted), "at {at}");
        let refused = deployment.submit(at, 10 + at as u64, vec![step(1)]);
        expect_that!(refused, eq(Submitted::Unavailable), "at {at}");
    }
    expect_that!(deployment.fleet.starts(), eq(1));
}

/// Failure: the owner's append gets no answer, and the first node's caller leaves. Guards against a refusal by the owner
/// of a retry that comes through another node.
#[gtest]
fn an_owner_does_not_refuse_a_retry_whose_append_got_no_answer() {
    let deployment = Deployment::new(5, 3, WORKERS);
    deployment.wait_for_owner();
    let owner = deployment.owner().expect("owner");
    let (first, second) = ((owner + 1) % 3, (owner + 2) % 3);
    deployment.store.reset.set(true);
    let outcome: Rc<Cell<Option<Submitted>>> = Rc::default();
    let (node, kept) = (deployment.node(first).expect("node"), outcome.clone());
    deployment.sim.spawn(ENVIRONMENT, async move {
        let submit = node.frontend.submit(WorkflowId(1), workflow(vec![step(1)]));
        kept.set(Some(submit.await));
    });
    deployment.sim.run_for(Millis(600));
    let retried = deployment.submit(second, 1, vec![step(1)]);
    expect_that!(retried, eq(Submitted::Unknown));
    let refused = deployment.submit(second, 2, vec![step(1)]);
    expect_that!(refused, eq(Submitted::Unavailable));
    deployment.sim.run_for(Millis(3_000));
    expect_that!(outcome.get(), some(eq(Submitted::Unknown)));
}

/// Failure: two tenants use one id while no owner serves. Guards against work that is answered as accepted and
/// dropped at the recovery.
#[gtest]
fn a_second_tenant_of_an_id_is_refused_while_no_owner_serves() {
    let (deployment, other) = refusing(6, FAST_LINK_KBPS, 0);
    deployment.configure_tenants(&[("a", 100), ("b", 100)]);
    deployment.sim.run_for(STARTED_MS);
    let first = deployment.submit_of("a", LATE, 1, long_running());
    assert_that!(first, eq(Submitted::Accepted));
    deployment.sim.run_for(Millis(1_000));
    let second = deployment.submit_of("b", other, 1, long_running());
    expect_that!(second, eq(Submitted::Unavailable));
    let second = deployment.submit_of("b", other, 1, vec![step(1)]);
    expect_that!(second, eq(Submitted::Unavailable));
    let retried = deployment.submit_of("a", other, 1, long_running());
    expect_that!(retried, eq(Submitted::Accepted));
    let records = deployment.store.live_keys(Stream::Submissions);
    let records = records.iter().filter(|key| key.starts_with("accepted/"));
    expect_that!(records.count(), eq(1));
}
