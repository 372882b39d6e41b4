//! Life cycle of a job from acceptance to result.

use googletest::prelude::*;
use hemlocksaddle_types::{outcome::ResultCode, record::Record};

use crate::sim_cluster::{SimCluster, job, keyed};

/// Guards against accepted jobs that are never placed or whose end is never reported.
#[gtest]
fn a_job_runs_to_completion_and_reports_its_result() {
    let cluster = SimCluster::new(1, 3, 2);
    cluster.run_for(1_000);
    let id = cluster.submit(2, job("makers", 5, 1)).expect("accepted");
    let status = cluster.status(1, id, 30_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    expect_that!(status.completed, eq(5));
    expect_that!(cluster.shared.platform.runs.borrow().len(), eq(5));
    cluster.check();
}

/// Guards against an acceptance, a start or an end that becomes visible before its record is durable.
#[gtest]
fn records_precede_their_effects() {
    let cluster = SimCluster::new(2, 1, 1);
    cluster.run_for(1_000);
    let id = cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    cluster.status(0, id, 30_000);
    let streams = cluster.shared.streams.borrow();
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

/// Guards against a repeated submission that runs twice, and a reused key that returns the job
/// of another body.
#[gtest]
fn a_repeated_key_returns_its_job_and_refuses_another_body() {
    let cluster = SimCluster::new(3, 2, 1);
    cluster.run_for(1_000);
    let spec = keyed(job("makers", 1, 1), "k1");
    let first = cluster.submit(0, spec.clone()).expect("accepted");
    expect_that!(cluster.submit(1, spec.clone()), ok(eq(first)));
    let other = hemlocksaddle_types::job::JobSpec {
        body_hash: 2,
        ..spec
    };
    expect_that!(cluster.submit(1, other), err(eq(ResultCode::KeyReused)));
}

/// Guards against a lost reply that is reported as "not run" although the job was accepted.
#[gtest]
fn a_lost_reply_is_resolved_by_the_key_or_reported_as_may_have_run() {
    let cluster = SimCluster::new(4, 2, 1);
    cluster.run_for(1_000);
    cluster.shared.lose_replies.set(1);
    let unkeyed = cluster.submit(0, job("makers", 1, 1));
    expect_that!(unkeyed, err(eq(ResultCode::AnswerLost)));
    cluster.shared.lose_replies.set(1);
    let spec = keyed(job("makers", 1, 1), "k1");
    expect_that!(cluster.submit(0, spec), ok(anything()));
}

/// Guards against jobs that wait for ever because their demand exceeds every worker's capacity.
#[gtest]
fn a_job_that_can_never_run_is_refused() {
    let cluster = SimCluster::new(5, 1, 2);
    cluster.run_for(1_000);
    let refused = cluster.submit(0, job("makers", 1, 5));
    expect_that!(refused, err(eq(ResultCode::CanNeverRun)));
}

/// Guards against overcommitment of a worker during a burst; the fake worker asserts its capacity.
#[gtest]
fn a_burst_never_exceeds_worker_capacity() {
    for seed in 10..15 {
        let cluster = SimCluster::new(seed, 2, 2);
        cluster.run_for(1_000);
        let ids: Vec<_> = (0..12)
            .map(|_| {
                cluster
                    .submit(0, job("makers", 3, 1 + seed % 3))
                    .expect("accepted")
            })
            .collect();
        for id in ids {
            let status = cluster.status(0, id, 60_000);
            expect_that!(status.result, some(eq(ResultCode::Completed)));
        }
        cluster.check();
    }
}
