//! Tests that invariant checks detect violations.
//!
//! Each test violates one invariant by input from outside the component that checks it, which
//! guards against checks that can never fail.

use googletest::prelude::*;
use hemlocksaddle_node::{
    core::Handler,
    invariant::{Invariant, OnViolation},
    ports::PortFuture,
};
use hemlocksaddle_types::{
    clock::Millis,
    job::{Attempt, JobId, JobSpec, TaskId, Urgency},
    peer::{AttemptStatus, Place, Request, Response, TaskEvent},
    record::{Record, Stream},
    unit::{QueueIndex, Term},
};

use crate::sim_cluster::{SimCluster, cores, data_centre, job, name, node_name};

fn recording_cluster(seed: u64) -> SimCluster {
    let cluster = SimCluster::with(seed, 1, 1, OnViolation::Record);
    cluster.run_for(1_000);
    cluster
}

fn violations(cluster: &SimCluster, invariant: Invariant) -> u64 {
    cluster.node(0).core.invariants.violations(invariant)
}

fn first_task(job: JobId) -> TaskId {
    TaskId { job, index: 0 }
}

fn place(task: TaskId, attempt: u32) -> Request {
    Request::Place(Place {
        rack: name("r0"),
        queue_term: Term(9),
        task,
        attempt: Attempt(attempt),
        service: name("matching"),
        demand: cores(1),
        expected_run_ms: 1_000,
        urgency: Urgency::Normal,
        resumable: true,
        idempotent: false,
        checkpoint: None,
        avoid: Vec::new(),
        within_ms: Millis(1_000),
    })
}

fn event(task: TaskId, attempt: u32, event: TaskEvent) -> Request {
    Request::TaskEvent(AttemptStatus {
        task,
        attempt: Attempt(attempt),
        event,
    })
}

fn handle(cluster: &SimCluster, handler: &dyn Handler, request: &Request) -> Response {
    let reply: PortFuture<'static, Response> =
        handler.handle(&node_name(0), request).expect("handled");
    cluster.shared.sim.block_on(reply)
}

/// A worker reports less capacity than its tasks need.
#[gtest]
fn detects_host_capacity_violation() {
    let cluster = recording_cluster(80);
    cluster.submit(0, job("makers", 4, 1)).expect("accepted");
    cluster.run_for(1_000);
    let worker = name("w00");
    cluster
        .shared
        .platform
        .with(&worker, |worker| worker.capacity = cores(2));
    cluster.run_for(2_500);
    expect_that!(violations(&cluster, Invariant::HostCapacity), gt(0));
}

/// A queue owner orders the next attempt while the previous one is running.
#[gtest]
fn detects_single_place_violation() {
    let cluster = recording_cluster(81);
    let id = cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    cluster.run_for(1_000);
    let node = cluster.node(0);
    handle(&cluster, &*node.racks, &place(first_task(id), 2));
    expect_that!(violations(&cluster, Invariant::SinglePlace), eq(1));
    expect_that!(
        cluster.shared.platform.runs.borrow().len(),
        eq(1),
        "refused"
    );
}

/// A newer attempt is reported as running while one that resumes from the same checkpoint is
/// being placed.
#[gtest]
fn detects_resume_once_violation() {
    let cluster = recording_cluster(82);
    let id = cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    let node = cluster.node(0);
    let running = event(first_task(id), 9, TaskEvent::Running(name("w00")));
    handle(&cluster, &*node.queues, &running);
    cluster.run_for(1_000);
    expect_that!(violations(&cluster, Invariant::ResumeOnce), eq(1));
    expect_that!(
        cluster.shared.platform.runs.borrow().len(),
        eq(0),
        "refused"
    );
}

/// The configuration allows starts in a data centre that is out.
#[gtest]
fn detects_no_start_in_out_data_centre_violation() {
    let cluster = recording_cluster(83);
    cluster.shared.stale_configuration.set(true);
    assert!(cluster.shared.out.borrow_mut().insert(data_centre(0)));
    cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    cluster.run_for(1_000);
    expect_that!(
        violations(&cluster, Invariant::NoStartInOutDataCentre),
        gt(0)
    );
    expect_that!(
        cluster.shared.platform.runs.borrow().len(),
        eq(0),
        "refused"
    );
}

/// A rack reports an attempt as running after refusing it.
#[gtest]
fn detects_truthful_refusal_violation() {
    let cluster = recording_cluster(84);
    // The restarted worker refuses orders addressed to its earlier incarnation.
    cluster.shared.platform.restart(&name("w00"));
    let id = cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    cluster.run_for(60);
    expect_that!(cluster.status(0, id, 0).queued, eq(1));
    expect_that!(violations(&cluster, Invariant::TruthfulRefusal), eq(0));
    let running = event(first_task(id), 1, TaskEvent::Running(name("w00")));
    handle(&cluster, &*cluster.node(0).queues, &running);
    expect_that!(violations(&cluster, Invariant::TruthfulRefusal), eq(1));
    expect_that!(cluster.status(0, id, 0).queued, eq(0), "counted as running");
}

/// The log contains a requeue of a task that must run at most once.
#[gtest]
fn detects_at_most_once_violation() {
    let cluster = recording_cluster(85);
    let id = JobId {
        queue: QueueIndex(0),
        number: 1 << 32,
    };
    let spec = JobSpec {
        resumable: false,
        ..job("makers", 1, 1)
    };
    let accepted_ms = cluster.node(0).core.ports.runtime.wall_now();
    let records = [
        Record::JobAccepted {
            job: id,
            spec,
            accepted_ms,
        },
        Record::TaskRequeued {
            task: first_task(id),
            attempt: Attempt(1),
            checkpoint: None,
        },
    ];
    let stream = Stream::Queue(QueueIndex(0));
    cluster
        .shared
        .streams
        .borrow_mut()
        .entry(stream)
        .or_default()
        .1
        .extend(records);
    cluster.hand_over(&node_name(0), &node_name(0));
    cluster.run_for(15_000);
    expect_that!(violations(&cluster, Invariant::AtMostOnce), gt(0));
    expect_that!(
        cluster.shared.platform.runs.borrow().len(),
        eq(0),
        "refused"
    );
}
