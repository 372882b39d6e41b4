//! Assertions that fire: each test breaks one sentence on purpose from outside of the part that
//! asserts it. Guards against assertions that hold whatever happens.

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

use crate::world::{World, cores, data_centre, job, name, node_name};

fn recording(seed: u64) -> World {
    let world = World::with(seed, 1, 1, OnViolation::Record);
    world.run_for(1_000);
    world
}

fn violations(world: &World, invariant: Invariant) -> u64 {
    world.node(0).core.invariants.violations(invariant)
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

fn handle(world: &World, handler: &dyn Handler, request: &Request) -> Response {
    let reply: PortFuture<'static, Response> =
        handler.handle(&node_name(0), request).expect("handled");
    world.shared.sim.block_on(reply)
}

/// A worker reports less capacity than it was given work for.
#[gtest]
fn host_capacity_fires() {
    let world = recording(80);
    world.submit(0, job("makers", 4, 1)).expect("accepted");
    world.run_for(1_000);
    let worker = name("w00");
    world
        .shared
        .platform
        .with(&worker, |worker| worker.capacity = cores(2));
    world.run_for(2_500);
    expect_that!(violations(&world, Invariant::HostCapacity), gt(0));
}

/// A queue owner orders the next attempt while the last one runs.
#[gtest]
fn single_place_fires() {
    let world = recording(81);
    let id = world.submit(0, job("makers", 1, 1)).expect("accepted");
    world.run_for(1_000);
    let node = world.node(0);
    handle(&world, &*node.racks, &place(first_task(id), 2));
    expect_that!(violations(&world, Invariant::SinglePlace), eq(1));
    expect_that!(world.shared.platform.runs.borrow().len(), eq(1), "refused");
}

/// A newer attempt turns up while one is on its way from the same checkpoint.
#[gtest]
fn resume_once_fires() {
    let world = recording(82);
    let id = world.submit(0, job("makers", 1, 1)).expect("accepted");
    let node = world.node(0);
    let running = event(first_task(id), 9, TaskEvent::Running(name("w00")));
    handle(&world, &*node.queues, &running);
    world.run_for(1_000);
    expect_that!(violations(&world, Invariant::ResumeOnce), eq(1));
    expect_that!(world.shared.platform.runs.borrow().len(), eq(0), "refused");
}

/// The configuration allows a start in a data centre that it shows as out.
#[gtest]
fn no_start_in_out_data_centre_fires() {
    let world = recording(83);
    world.shared.stale.set(true);
    assert!(world.shared.out.borrow_mut().insert(data_centre(0)));
    world.submit(0, job("makers", 1, 1)).expect("accepted");
    world.run_for(1_000);
    expect_that!(violations(&world, Invariant::NoStartInOutDataCentre), gt(0));
    expect_that!(world.shared.platform.runs.borrow().len(), eq(0), "refused");
}

/// A rack refuses an attempt and then reports it as running.
#[gtest]
fn truthful_refusal_fires() {
    let world = recording(84);
    // The restarted worker refuses orders for its earlier process.
    world.shared.platform.restart(&name("w00"));
    let id = world.submit(0, job("makers", 1, 1)).expect("accepted");
    world.run_for(60);
    expect_that!(world.status(0, id, 0).queued, eq(1));
    expect_that!(violations(&world, Invariant::TruthfulRefusal), eq(0));
    let running = event(first_task(id), 1, TaskEvent::Running(name("w00")));
    handle(&world, &*world.node(0).queues, &running);
    expect_that!(violations(&world, Invariant::TruthfulRefusal), eq(1));
    expect_that!(world.status(0, id, 0).queued, eq(0), "taken for running");
}

/// The log holds a requeue of work that must not run twice.
#[gtest]
fn at_most_once_fires() {
    let world = recording(85);
    let id = JobId {
        queue: QueueIndex(0),
        number: 1 << 32,
    };
    let spec = JobSpec {
        resumable: false,
        ..job("makers", 1, 1)
    };
    let accepted_ms = world.node(0).core.ports.runtime.wall_now();
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
    world
        .shared
        .streams
        .borrow_mut()
        .entry(stream)
        .or_default()
        .1
        .extend(records);
    world.hand_over(&node_name(0), &node_name(0));
    world.run_for(15_000);
    expect_that!(violations(&world, Invariant::AtMostOnce), gt(0));
    expect_that!(world.shared.platform.runs.borrow().len(), eq(0), "refused");
}
