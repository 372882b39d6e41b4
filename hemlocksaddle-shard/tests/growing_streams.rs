//! Recovery beside streams that grow all the time.
//!
//! Load pattern: hundreds of workers renew their records several hundred times a second, so that each read of
//! a new owner brings more, while callers submit and the store forgets its history.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{cell::Cell, rc::Rc};

use googletest::prelude::*;
use hemlocksaddle_fakes::runtime::ENVIRONMENT;
use hemlocksaddle_shard::{frontend::Submitted, ports::Stream};
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, step};

/// Number of workers of most tests; fewer than on the platform, with the same number of records a second.
const WORKERS: usize = 12;

/// Interval at which a worker's record is written: 500 a second.
const RECORD_INTERVAL_MS: Millis = Millis(2);

/// Time that an answer of the store takes to a node, beyond that of the store itself.
const ANSWER_MS: Millis = Millis(15);

/// Longest time until an owner has recovered and its work has ended; callers wait for 3 s, and a change of
/// owner takes up to 9 s where workers have to report first.
const RECOVERY_MS: Millis = Millis(12_000);

/// Renews the records of workers in turn, `burst` of them at each interval.
fn renew_records(deployment: &Deployment, interval: Millis, burst: usize) {
    let (sim, store) = (deployment.sim.clone(), deployment.store.clone());
    let workers = deployment.fleet.count();
    deployment.sim.spawn(ENVIRONMENT, async move {
        let mut number = 0;
        loop {
            sim.sleep(interval).await;
            for _ in 0..burst {
                store.put_worker(number % workers);
                number += 1;
            }
        }
    });
}

/// Makes the store forget the history of all streams at an interval.
fn forget_history(deployment: &Deployment, interval: Millis) {
    let (sim, store) = (deployment.sim.clone(), deployment.store.clone());
    deployment.sim.spawn(ENVIRONMENT, async move {
        loop {
            sim.sleep(interval).await;
            for stream in [Stream::Submissions, Stream::Progress, Stream::Workers] {
                store.forget_history(stream);
            }
        }
    });
}

/// Submits a workflow of one task at a node at an interval; returns the number of submissions.
fn submit_steadily(deployment: &Deployment, at: usize, interval: Millis) -> Rc<Cell<u64>> {
    let submitted = Rc::new(Cell::new(0));
    for number in 0..200 {
        let node = deployment.node(at).expect("node");
        let (sim, submitted) = (deployment.sim.clone(), submitted.clone());
        deployment.sim.spawn(ENVIRONMENT, async move {
            sim.sleep(Millis(interval.0 * number)).await;
            let id = hemlocksaddle_types::workflow::WorkflowId(1_000 + number);
            let workflow = support::workflow(vec![step(1)]);
            let _ = node.frontend.submit(id, workflow).await;
            submitted.set(submitted.get() + 1);
        });
    }
    submitted
}

fn deployment_with_growing_stream(seed: u64, nodes: usize) -> Deployment {
    let deployment = Deployment::without_nodes(seed, WORKERS);
    for number in 0..nodes {
        deployment.start(number);
        deployment.set_answer_time(number, ANSWER_MS);
    }
    renew_records(&deployment, RECORD_INTERVAL_MS, 1);
    deployment
}

/// Checks that work that is submitted at a node is done in time.
fn expect_work_is_done(deployment: &Deployment, at: usize, id: u64, context: &str) {
    deployment.submit_in_background(at, id, vec![step(2)]);
    let state = deployment.wait_for_end(at, id, RECOVERY_MS);
    expect_that!(state, some(eq(State::Completed)), "{context}");
    let violations = deployment.fleet.violations.borrow();
    expect_that!(*violations, is_empty(), "{context}");
}

/// Guards against an owner that reads the workers' stream for ever because each read brings more.
#[gtest]
fn an_owner_recovers_beside_a_stream_that_grows_with_each_read() {
    for seed in 1..=5 {
        let deployment = deployment_with_growing_stream(seed, 3);
        deployment.wait_for_owner();
        expect_work_is_done(&deployment, 0, 1, &format!("first owner, seed {seed}"));
        let owner = deployment.owner().expect("owner");
        deployment.kill(owner);
        let other = (owner + 1) % 3;
        expect_work_is_done(&deployment, other, 2, &format!("second owner, seed {seed}"));
    }
}

/// Guards against a planned change of owner that hangs in reading ahead or after it.
#[gtest]
fn a_successor_reads_ahead_beside_a_growing_stream() {
    for seed in 1..=5 {
        let deployment = deployment_with_growing_stream(seed, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        submit_steadily(&deployment, other, Millis(20));
        deployment.node(owner).expect("node").release();
        deployment.sim.run_for(Millis(2_000));
        expect_that!(
            deployment.node(owner).expect("node").owned(),
            eq(0),
            "seed {seed}"
        );
        expect_work_is_done(&deployment, other, 1, &format!("seed {seed}"));
    }
}

/// Guards against a new owner that begins to read anew, without a pause, each time the store has deleted
/// records that it was about to read.
#[gtest]
fn an_owner_recovers_while_the_store_forgets_its_history() {
    for seed in 1..=5 {
        let deployment = deployment_with_growing_stream(seed, 3);
        forget_history(&deployment, Millis(20));
        deployment.wait_for_owner();
        expect_work_is_done(&deployment, 0, 1, &format!("first owner, seed {seed}"));
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        submit_steadily(&deployment, other, Millis(20));
        deployment.kill(owner);
        expect_work_is_done(&deployment, other, 2, &format!("second owner, seed {seed}"));
    }
}

/// Time after a claim for which the answers to appends are lost, those to the fences among them.
const LOST_ANSWERS_MS: u64 = 1_500;

/// Guards against a state that lacks what was stored while the answers to the fences were lost and the store forgot its
/// history.
#[gtest]
fn nothing_is_lost_while_answers_to_the_fences_are_lost() {
    for seed in 1..=5 {
        let deployment = deployment_with_growing_stream(seed, 3);
        forget_history(&deployment, Millis(20));
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        let mut outcomes = Vec::new();
        let mut claimed_ms = None;
        for id in 1..=60 {
            outcomes.push((
                id,
                deployment.submit_in_background(other, id, vec![step(1)]),
            ));
            if id == 10 {
                deployment.kill(owner);
            }
            if id > 10 && deployment.owner().is_some() {
                claimed_ms.get_or_insert(deployment.sim.now().0);
            }
            let is_lost = |at| deployment.sim.now().0 < at + LOST_ANSWERS_MS;
            let lost = id >= 10 && claimed_ms.is_none_or(is_lost);
            deployment.store.lose_answers.set(lost);
            deployment.sim.run_for(Millis(80));
        }
        expect_that!(claimed_ms, some(anything()), "seed {seed}");
        deployment.store.lose_answers.set(false);
        for (id, outcome) in outcomes {
            let state = deployment.wait_for_end(other, id, RECOVERY_MS);
            // The store has carried out appends whose answers were lost; a refusal is certain.
            let is_refused = outcome.get() == Some(Submitted::Unavailable);
            let expected = (!is_refused).then_some(State::Completed);
            expect_that!(state, eq(expected), "{id}, seed {seed}, {outcome:?}");
        }
        let violations = deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "seed {seed}");
    }
}

/// Factor of the store's latency with which each answer takes 300 ms.
const SLOW_FACTOR: u64 = 75;

/// Guards against recovery that does not end while the store takes 300 ms an answer, in which 150 records
/// are added.
#[gtest]
fn an_owner_recovers_from_a_growing_stream_in_a_slow_store() {
    for seed in 1..=5 {
        let deployment = deployment_with_growing_stream(seed, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        deployment.store.latency_factor.set(SLOW_FACTOR);
        deployment.kill(owner);
        let other = (owner + 1) % 3;
        deployment.sim.run_for(Millis(3_000));
        expect_work_is_done(&deployment, other, 1, &format!("seed {seed}"));
    }
}

/// Workers of the size to design for, of which each of two shards reads all records.
const MANY_WORKERS: usize = 2_400;

/// Shards of that many workers.
const SHARDS: usize = 2;

/// Records of that many workers at each interval: 2,180 a second.
const MANY_RECORDS: usize = 24;

/// Interval of these records; each worker's is written every 1.1 s.
const MANY_INTERVAL_MS: Millis = Millis(11);

/// Time that a record of 350 bytes takes on a link of 2 Mbit/s, in microseconds.
const RECORD_US: u64 = 1_400;

/// Records in an answer to a read, of 264 kB.
const READ_RECORDS: usize = 750;

/// Time that an answer takes to a node that is far from the store.
const FAR_ANSWER_MS: Millis = Millis(30);

/// Most reads of the workers' stream in a recovery: five pages of all workers, twice, with a read in between.
const MAX_READS: usize = 11;

/// Most records read in a recovery: those of all workers twice, and one read in between.
const MAX_RECORDS: usize = 2 * MANY_WORKERS + READ_RECORDS;

/// Guards against a recovery whose reads grow with the time that they take: the stream grows three times as fast
/// as the link of its node carries it, and each answer of the store takes 300 ms.
#[gtest]
fn recovery_of_many_workers_on_a_narrow_link_is_bounded() {
    let deployment = Deployment::without_nodes(1, MANY_WORKERS);
    deployment.store.max_read_records.set(READ_RECORDS);
    deployment.start_with(0, 0.25, 2_000);
    deployment.set_answer_time(0, FAR_ANSWER_MS);
    let store = deployment.store_of(0);
    store.record_us.set(RECORD_US);
    renew_records(&deployment, MANY_INTERVAL_MS, MANY_RECORDS);
    let claimed = (0..3_000).any(|_| {
        deployment.sim.run_for(Millis(10));
        deployment
            .node(0)
            .is_some_and(|node| node.owned() == SHARDS)
    });
    expect_that!(claimed, eq(true));
    deployment.store.latency_factor.set(SLOW_FACTOR);
    let (reads, records) = (store.worker_reads.get(), store.worker_records_read.get());
    for id in 1..=4 {
        deployment.submit_in_background(0, id, vec![step(2)]);
    }
    let started = (0..6_000).any(|_| {
        deployment.sim.run_for(Millis(10));
        deployment.fleet.starts() > 0
    });
    expect_that!(started, eq(true));
    let reads = store.worker_reads.get() - reads;
    let records = store.worker_records_read.get() - records;
    expect_that!(reads, le(SHARDS * MAX_READS));
    expect_that!(records, le(SHARDS * MAX_RECORDS));
}
