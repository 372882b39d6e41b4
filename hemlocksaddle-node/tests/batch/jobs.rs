//! The path of a job from acceptance to result.

use googletest::prelude::*;
use hemlocksaddle_types::{outcome::ResultCode, record::Record};

use crate::world::{World, job, keyed};

/// Guards against jobs that are accepted but never placed, or whose end is never reported.
#[gtest]
fn a_job_runs_to_its_end_and_is_answered() {
    let world = World::new(1, 3, 2);
    world.run_for(1_000);
    let id = world.submit(2, job("makers", 5, 1)).expect("accepted");
    let status = world.status(1, id, 30_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    expect_that!(status.completed, eq(5));
    expect_that!(world.shared.platform.runs.borrow().len(), eq(5));
    world.judge();
}

/// Guards against an acceptance, a start or an end that a caller or worker sees before it is durable.
#[gtest]
fn records_precede_their_effects() {
    let world = World::new(2, 1, 1);
    world.run_for(1_000);
    let id = world.submit(0, job("makers", 1, 1)).expect("accepted");
    world.status(0, id, 30_000);
    let streams = world.shared.streams.borrow();
    let (_, records) = streams
        .iter()
        .find(|(_, (_, r))| !r.is_empty())
        .map(|(_, s)| s)
        .expect("records");
    let kinds: Vec<&str> = records.iter().map(kind).collect();
    expect_that!(
        kinds,
        eq(&vec!["accepted", "started", "ended", "job ended"])
    );
}

fn kind(record: &Record) -> &'static str {
    match record {
        Record::JobAccepted { .. } => "accepted",
        Record::TaskStarted { .. } => "started",
        Record::TaskRequeued { .. } => "requeued",
        Record::TaskEnded { .. } => "ended",
        Record::JobEnded { .. } => "job ended",
        Record::JobCancelled { .. } => "cancelled",
        _ => "other",
    }
}

/// Guards against a repeated submission that runs twice, and a reused key that hides another job.
#[gtest]
fn a_key_finds_its_job_and_refuses_another_body() {
    let world = World::new(3, 2, 1);
    world.run_for(1_000);
    let spec = keyed(job("makers", 1, 1), "k1");
    let first = world.submit(0, spec.clone()).expect("accepted");
    expect_that!(world.submit(1, spec.clone()), ok(eq(first)));
    let other = hemlocksaddle_types::job::JobSpec {
        body_hash: 2,
        ..spec
    };
    expect_that!(world.submit(1, other), err(eq(ResultCode::KeyReused)));
}

/// Guards against a lost reply that is reported as "not run" although the job was accepted.
#[gtest]
fn a_lost_reply_is_settled_by_the_key_or_reported_as_may_have_run() {
    let world = World::new(4, 2, 1);
    world.run_for(1_000);
    world.shared.lose_replies.set(1);
    let unkeyed = world.submit(0, job("makers", 1, 1));
    expect_that!(unkeyed, err(eq(ResultCode::AnswerLost)));
    world.shared.lose_replies.set(1);
    let spec = keyed(job("makers", 1, 1), "k1");
    expect_that!(world.submit(0, spec), ok(anything()));
}

/// Guards against jobs that wait for ever because no worker could hold them.
#[gtest]
fn a_job_that_can_never_run_is_refused() {
    let world = World::new(5, 1, 2);
    world.run_for(1_000);
    let refused = world.submit(0, job("makers", 1, 5));
    expect_that!(refused, err(eq(ResultCode::CanNeverRun)));
}

/// Guards against a worker that is committed beyond its capacity under a burst; the worker asserts it.
#[gtest]
fn a_burst_never_exceeds_a_worker() {
    for seed in 10..15 {
        let world = World::new(seed, 2, 2);
        world.run_for(1_000);
        let ids: Vec<_> = (0..12)
            .map(|_| {
                world
                    .submit(0, job("makers", 3, 1 + seed % 3))
                    .expect("accepted")
            })
            .collect();
        for id in ids {
            let status = world.status(0, id, 60_000);
            expect_that!(status.result, some(eq(ResultCode::Completed)));
        }
        world.judge();
    }
}
