//! Preemption, fair sharing, faulty workers and jobs, interference, cancellation and deadlines.

use googletest::prelude::*;
use hemlocksaddle_node::queue::queue_for_team;
use hemlocksaddle_types::{
    clock::Millis,
    job::{JobSpec, Urgency},
    name::WorkerName,
    outcome::ResultCode,
};

use crate::sim_cluster::{QUEUES, SimCluster, cores, job, name};

fn with_urgency(spec: JobSpec, urgency: Urgency) -> JobSpec {
    JobSpec { urgency, ..spec }
}

/// Guards against urgent tasks that wait behind batch tasks, and evicted tasks that lose their
/// progress.
#[gtest]
fn an_urgent_task_preempts_batch_tasks_within_its_bound() {
    for seed in 60..65 {
        let cluster = SimCluster::new(seed, 2, 2);
        cluster.shared.platform.run_ms.set(60_000);
        cluster.run_for(1_000);
        let batch = with_urgency(job("makers", 16, 1), Urgency::Batch);
        let batch = cluster.submit(0, batch).expect("accepted");
        cluster.run_for(10_000);
        expect_that!(cluster.status(0, batch, 0).running, eq(16));
        let submitted_ms = cluster.shared.sim.now().0;
        *cluster.shared.quota.borrow_mut() = [(name("makers"), cores(100))].into();
        let urgent = with_urgency(job("makers", 1, 2), Urgency::Urgent);
        let urgent = cluster.submit(0, urgent).expect("accepted");
        cluster.run_for(5_000);
        let runs = cluster.shared.platform.runs.borrow();
        let started = runs
            .iter()
            .find(|run| run.task.job == urgent)
            .expect("started");
        expect_that!(started.from_ms - submitted_ms, le(2_800));
        let stopped = runs
            .iter()
            .filter(|run| run.task.job == batch && run.until_ms.is_some());
        expect_that!(stopped.count(), eq(2), "no more victims than needed");
        drop(runs);
        for status in cluster.wait_for_results(0, &[batch, urgent]) {
            expect_that!(status.result, some(eq(ResultCode::Completed)));
        }
        cluster.check();
    }
}

/// Guards against a team whose backlog starves another team in the same queue.
#[gtest]
fn teams_share_by_their_quota() {
    let cluster = SimCluster::new(66, 1, 2);
    cluster.shared.platform.run_ms.set(4_000);
    cluster.run_for(1_000);
    let batch = |team: &str| with_urgency(job(team, 40, 1), Urgency::Batch);
    // Fair sharing works within a queue, so both teams must use the same one.
    let names = (0..20).map(|number| format!("team{number}"));
    let in_first = |team: &String| queue_for_team(&name(team), QUEUES).0 == 0;
    let teams: Vec<String> = names.filter(in_first).take(2).collect();
    let quota = teams.iter().map(|team| (name(team), cores(4)));
    *cluster.shared.quota.borrow_mut() = quota.collect();
    let first = cluster.submit(0, batch(&teams[0])).expect("accepted");
    cluster.run_for(1_000);
    let second = cluster.submit(0, batch(&teams[1])).expect("accepted");
    cluster.run_for(20_000);
    let running = |id| cluster.status(0, id, 0).running;
    expect_that!(running(second), ge(3));
    expect_that!(running(first), ge(3));
}

/// Guards against a worker that fails every task and, being always free, attracts all of them.
#[gtest]
fn a_worker_that_fails_everything_is_put_into_backoff() {
    let cluster = SimCluster::new(67, 1, 3);
    cluster.shared.platform.run_ms.set(500);
    cluster.run_for(1_000);
    let faulty: WorkerName = name("w01");
    cluster
        .shared
        .platform
        .with(&faulty, |worker| worker.fail_tasks = true);
    let jobs: Vec<_> = (0..30)
        .map(|_| {
            cluster.run_for(1_500);
            let spec = with_urgency(job("makers", 4, 1), Urgency::Batch);
            cluster.submit(0, spec).expect("accepted")
        })
        .collect();
    for status in cluster.wait_for_results(0, &jobs) {
        expect_that!(status.result, some(eq(ResultCode::Completed)), "{status:?}");
    }
    let runs = cluster.shared.platform.runs.borrow();
    let on_faulty = runs.iter().filter(|run| run.worker == faulty).count();
    expect_that!(on_faulty, le(12), "{on_faulty} of {} attempts", runs.len());
}

/// Guards against a job that fails on every worker and is retried for ever, or makes healthy
/// workers suspect.
#[gtest]
fn a_job_that_fails_everywhere_ends() {
    let cluster = SimCluster::new(68, 2, 3);
    cluster.run_for(1_000);
    let names: Vec<WorkerName> = cluster
        .shared
        .platform
        .workers
        .borrow()
        .keys()
        .cloned()
        .collect();
    for worker in &names {
        cluster
            .shared
            .platform
            .with(worker, |worker| worker.fail_tasks = true);
    }
    let id = cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    let status = cluster.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::JobFailed)));
    expect_that!(cluster.shared.platform.runs.borrow().len(), le(4));
    for worker in &names {
        cluster
            .shared
            .platform
            .with(worker, |worker| worker.fail_tasks = false);
    }
    let id = cluster.submit(0, job("makers", 6, 4)).expect("accepted");
    cluster.run_for(3_000);
    expect_that!(
        cluster.status(0, id, 0).running,
        eq(6),
        "all workers are used again"
    );
}

/// Guards against a mitigation that evicts a task before throttling it, or that acts again before
/// the measurements show the effect of the last action.
#[gtest]
fn a_noisy_neighbour_is_throttled_and_then_evicted() {
    let cluster = SimCluster::new(69, 1, 2);
    cluster.shared.platform.run_ms.set(200_000);
    cluster.run_for(1_000);
    let noisy = cluster.submit(0, with_urgency(job("makers", 1, 3), Urgency::Batch));
    let noisy = noisy.expect("accepted");
    cluster.run_for(1_000);
    let worker = cluster.shared.platform.runs.borrow()[0].worker.clone();
    let affected = cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    cluster.run_for(1_000);
    let neighbour_worker = cluster.shared.platform.runs.borrow()[1].worker.clone();
    expect_that!(neighbour_worker, eq(&worker), "small tasks are packed");
    cluster
        .shared
        .platform
        .with(&worker, |worker| worker.slowdown_milli = 1_600);
    cluster.run_for(6_000);
    let throttles = cluster.shared.platform.throttles.borrow().clone();
    expect_that!(throttles.len(), eq(1));
    expect_that!(throttles[0].0.job, eq(noisy));
    expect_that!(throttles[0].1, eq(true));
    expect_that!(
        cluster.shared.platform.runs.borrow().len(),
        eq(2),
        "not evicted yet"
    );
    cluster.run_for(20_000);
    let runs = cluster.shared.platform.runs.borrow();
    let restarted = runs
        .iter()
        .filter(|run| run.task.job == noisy)
        .nth(1)
        .expect("restarted elsewhere");
    expect_that!(restarted.worker, not(eq(&worker)));
    let untouched = runs.iter().filter(|run| run.task.job == affected).count();
    expect_that!(untouched, eq(1));
}

/// Guards against cancellations that leave tasks running, or whose result changes when repeated.
#[gtest]
fn a_cancelled_job_stops_and_reports_whether_it_ran() {
    let cluster = SimCluster::new(70, 2, 1);
    cluster.shared.platform.run_ms.set(60_000);
    cluster.run_for(1_000);
    let batch = |tasks| with_urgency(job("makers", tasks, 1), Urgency::Batch);
    let running = cluster.submit(0, batch(8)).expect("accepted");
    cluster.run_for(2_000);
    let waiting = cluster.submit(0, batch(10_000)).expect("accepted");
    for id in [running, waiting, running] {
        let node = cluster.node(1);
        let cancel = async move { node.queues.cancel(id).await };
        expect_that!(cluster.shared.sim.block_on(cancel), ok(anything()));
    }
    let result = |id| cluster.status(1, id, 20_000).result;
    expect_that!(result(running), some(eq(ResultCode::CancelledWhileRunning)));
    expect_that!(result(waiting), some(eq(ResultCode::CancelledBeforeStart)));
    let runs = cluster.shared.platform.runs.borrow();
    expect_that!(runs.iter().all(|run| run.until_ms.is_some()), eq(true));
    expect_that!(runs.iter().any(|run| run.task.job == waiting), eq(false));
}

/// Guards against jobs that run past their deadline, or that are reported as not run although they
/// were running.
#[gtest]
fn jobs_end_at_their_deadline() {
    let cluster = SimCluster::new(71, 1, 1);
    cluster.shared.platform.run_ms.set(30_000);
    cluster.run_for(1_000);
    let now = cluster.node(0).core.ports.runtime.wall_now();
    let limited = |spec| JobSpec {
        deadline_ms: Some(now + Millis(4_000)),
        urgency: Urgency::Batch,
        ..spec
    };
    let running = cluster
        .submit(0, limited(job("makers", 4, 1)))
        .expect("accepted");
    cluster.run_for(500);
    let waiting = cluster
        .submit(0, limited(job("makers", 2, 1)))
        .expect("accepted");
    let result = |id| cluster.status(0, id, 15_000).result;
    expect_that!(result(waiting), some(eq(ResultCode::DeadlineBeforeStart)));
    expect_that!(result(running), some(eq(ResultCode::DeadlineWhileRunning)));
}

/// Guards against head-of-line blocking of a small job by a large one that does not fit.
#[gtest]
fn a_job_without_capacity_does_not_block_others() {
    let cluster = SimCluster::new(72, 1, 1);
    cluster.shared.platform.run_ms.set(20_000);
    cluster.run_for(1_000);
    let batch = |size| with_urgency(job("makers", 1, size), Urgency::Batch);
    cluster.submit(0, batch(2)).expect("accepted");
    cluster.run_for(500);
    cluster.submit(0, batch(4)).expect("accepted");
    let small = cluster.submit(0, batch(1)).expect("accepted");
    cluster.run_for(1_000);
    expect_that!(cluster.status(0, small, 0).running, eq(1));
}

/// Guards against a job that waits for ever because it has failed on all existing workers.
#[gtest]
fn a_failing_job_on_few_workers_ends() {
    let cluster = SimCluster::new(73, 1, 1);
    cluster.run_for(1_000);
    cluster
        .shared
        .platform
        .with(&name("w00"), |worker| worker.fail_tasks = true);
    let id = cluster.submit(0, job("makers", 1, 1)).expect("accepted");
    let status = cluster.status(0, id, 600_000);
    expect_that!(status.result, some(eq(ResultCode::JobFailed)));
    expect_that!(cluster.shared.platform.runs.borrow().len(), le(12));
}
