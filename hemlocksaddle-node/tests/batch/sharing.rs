//! Urgent work, fair shares, bad workers and bad jobs, interference.

use googletest::prelude::*;
use hemlocksaddle_node::queue::queue_for_team;
use hemlocksaddle_types::{
    clock::Millis,
    job::{JobSpec, Urgency},
    name::WorkerName,
    outcome::ResultCode,
};

use crate::world::{QUEUES, World, cores, job, name};

fn with_urgency(spec: JobSpec, urgency: Urgency) -> JobSpec {
    JobSpec { urgency, ..spec }
}

/// Guards against urgent work that waits behind batch work, and victims that lose their progress.
#[gtest]
fn urgent_work_starts_within_its_bound_on_full_workers() {
    for seed in 60..65 {
        let world = World::new(seed, 2, 2);
        world.shared.platform.run_ms.set(60_000);
        world.run_for(1_000);
        let batch = with_urgency(job("makers", 16, 1), Urgency::Batch);
        let batch = world.submit(0, batch).expect("accepted");
        world.run_for(10_000);
        expect_that!(world.status(0, batch, 0).running, eq(16));
        let asked_ms = world.shared.sim.now().0;
        *world.shared.quota.borrow_mut() = [(name("makers"), cores(100))].into();
        let urgent = with_urgency(job("makers", 1, 2), Urgency::Urgent);
        let urgent = world.submit(0, urgent).expect("accepted");
        world.run_for(5_000);
        let runs = world.shared.platform.runs.borrow();
        let started = runs
            .iter()
            .find(|run| run.task.job == urgent)
            .expect("started");
        expect_that!(started.from_ms - asked_ms, le(2_800));
        let stopped = runs
            .iter()
            .filter(|run| run.task.job == batch && run.until_ms.is_some());
        expect_that!(stopped.count(), eq(2), "no more victims than needed");
        drop(runs);
        for status in world.finish(0, &[batch, urgent]) {
            expect_that!(status.result, some(eq(ResultCode::Completed)));
        }
        world.judge();
    }
}

/// Guards against one team's backlog that starves another team in the same queue.
#[gtest]
fn teams_share_by_their_quota() {
    let world = World::new(66, 1, 2);
    world.shared.platform.run_ms.set(4_000);
    world.run_for(1_000);
    let batch = |team: &str| with_urgency(job(team, 40, 1), Urgency::Batch);
    // Shares hold within a queue, so both teams have to be in the same one.
    let names = (0..20).map(|number| format!("team{number}"));
    let in_first = |team: &String| queue_for_team(&name(team), QUEUES).0 == 0;
    let teams: Vec<String> = names.filter(in_first).take(2).collect();
    let quota = teams.iter().map(|team| (name(team), cores(4)));
    *world.shared.quota.borrow_mut() = quota.collect();
    let first = world.submit(0, batch(&teams[0])).expect("accepted");
    world.run_for(1_000);
    let second = world.submit(0, batch(&teams[1])).expect("accepted");
    world.run_for(20_000);
    let running = |id| world.status(0, id, 0).running;
    expect_that!(running(second), ge(3));
    expect_that!(running(first), ge(3));
}

/// Guards against a worker that fails everything and, being always free, attracts all tasks.
#[gtest]
fn a_worker_that_fails_everything_is_set_aside() {
    let world = World::new(67, 1, 3);
    world.shared.platform.run_ms.set(500);
    world.run_for(1_000);
    let bad: WorkerName = name("w01");
    world
        .shared
        .platform
        .with(&bad, |worker| worker.failing = true);
    let jobs: Vec<_> = (0..30)
        .map(|_| {
            world.run_for(1_500);
            let spec = with_urgency(job("makers", 4, 1), Urgency::Batch);
            world.submit(0, spec).expect("accepted")
        })
        .collect();
    for status in world.finish(0, &jobs) {
        expect_that!(status.result, some(eq(ResultCode::Completed)), "{status:?}");
    }
    let runs = world.shared.platform.runs.borrow();
    let on_bad = runs.iter().filter(|run| run.worker == bad).count();
    expect_that!(on_bad, le(12), "{on_bad} of {} attempts", runs.len());
}

/// Guards against a job that fails everywhere and is retried for ever, or makes good workers suspect.
#[gtest]
fn a_job_that_fails_everywhere_ends() {
    let world = World::new(68, 2, 3);
    world.run_for(1_000);
    let names: Vec<WorkerName> = world
        .shared
        .platform
        .workers
        .borrow()
        .keys()
        .cloned()
        .collect();
    for worker in &names {
        world
            .shared
            .platform
            .with(worker, |worker| worker.failing = true);
    }
    let id = world.submit(0, job("makers", 1, 1)).expect("accepted");
    let status = world.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::JobFailed)));
    expect_that!(world.shared.platform.runs.borrow().len(), le(4));
    for worker in &names {
        world
            .shared
            .platform
            .with(worker, |worker| worker.failing = false);
    }
    let id = world.submit(0, job("makers", 6, 4)).expect("accepted");
    world.run_for(3_000);
    expect_that!(
        world.status(0, id, 0).running,
        eq(6),
        "all workers are used again"
    );
}

/// Guards against a reaction that moves work before it has throttled it, or that repeats a step
/// before the measurements show the effect of the last one.
#[gtest]
fn a_noisy_neighbour_is_throttled_and_then_moved() {
    let world = World::new(69, 1, 2);
    world.shared.platform.run_ms.set(200_000);
    world.run_for(1_000);
    let noisy = world.submit(0, with_urgency(job("makers", 1, 3), Urgency::Batch));
    let noisy = noisy.expect("accepted");
    world.run_for(1_000);
    let worker = world.shared.platform.runs.borrow()[0].worker.clone();
    let quick = world.submit(0, job("makers", 1, 1)).expect("accepted");
    world.run_for(1_000);
    let beside = world.shared.platform.runs.borrow()[1].worker.clone();
    expect_that!(beside, eq(&worker), "small tasks are packed");
    world
        .shared
        .platform
        .with(&worker, |worker| worker.slowdown_milli = 1_600);
    world.run_for(6_000);
    let throttles = world.shared.platform.throttles.borrow().clone();
    expect_that!(throttles.len(), eq(1));
    expect_that!(throttles[0].0.job, eq(noisy));
    expect_that!(throttles[0].1, eq(true));
    expect_that!(
        world.shared.platform.runs.borrow().len(),
        eq(2),
        "not moved yet"
    );
    world.run_for(20_000);
    let runs = world.shared.platform.runs.borrow();
    let moved = runs
        .iter()
        .filter(|run| run.task.job == noisy)
        .nth(1)
        .expect("moved");
    expect_that!(moved.worker, not(eq(&worker)));
    let untouched = runs.iter().filter(|run| run.task.job == quick).count();
    expect_that!(untouched, eq(1));
}

/// Guards against cancellations that leave tasks running or change their answer when repeated.
#[gtest]
fn a_cancelled_job_stops_and_says_whether_it_ran() {
    let world = World::new(70, 2, 1);
    world.shared.platform.run_ms.set(60_000);
    world.run_for(1_000);
    let batch = |tasks| with_urgency(job("makers", tasks, 1), Urgency::Batch);
    let running = world.submit(0, batch(8)).expect("accepted");
    world.run_for(2_000);
    let waiting = world.submit(0, batch(10_000)).expect("accepted");
    for id in [running, waiting, running] {
        let node = world.node(1);
        let cancel = async move { node.queues.cancel(id).await };
        expect_that!(world.shared.sim.block_on(cancel), ok(anything()));
    }
    let result = |id| world.status(1, id, 20_000).result;
    expect_that!(result(running), some(eq(ResultCode::CancelledWhileRunning)));
    expect_that!(result(waiting), some(eq(ResultCode::CancelledBeforeStart)));
    let runs = world.shared.platform.runs.borrow();
    expect_that!(runs.iter().all(|run| run.until_ms.is_some()), eq(true));
    expect_that!(runs.iter().any(|run| run.task.job == waiting), eq(false));
}

/// Guards against jobs that run after their deadline, or that are reported as not run although
/// they were running.
#[gtest]
fn jobs_end_at_their_deadline() {
    let world = World::new(71, 1, 1);
    world.shared.platform.run_ms.set(30_000);
    world.run_for(1_000);
    let now = world.node(0).core.ports.runtime.wall_now();
    let limited = |spec| JobSpec {
        deadline_ms: Some(now + Millis(4_000)),
        urgency: Urgency::Batch,
        ..spec
    };
    let running = world
        .submit(0, limited(job("makers", 4, 1)))
        .expect("accepted");
    world.run_for(500);
    let waiting = world
        .submit(0, limited(job("makers", 2, 1)))
        .expect("accepted");
    let result = |id| world.status(0, id, 15_000).result;
    expect_that!(result(waiting), some(eq(ResultCode::DeadlineBeforeStart)));
    expect_that!(result(running), some(eq(ResultCode::DeadlineWhileRunning)));
}

/// Guards against an urgent, small task that waits because a large one is ahead of it.
#[gtest]
fn a_job_without_room_does_not_hold_up_others() {
    let world = World::new(72, 1, 1);
    world.shared.platform.run_ms.set(20_000);
    world.run_for(1_000);
    let batch = |size| with_urgency(job("makers", 1, size), Urgency::Batch);
    world.submit(0, batch(2)).expect("accepted");
    world.run_for(500);
    world.submit(0, batch(4)).expect("accepted");
    let small = world.submit(0, batch(1)).expect("accepted");
    world.run_for(1_000);
    expect_that!(world.status(0, small, 0).running, eq(1));
}

/// Guards against a job that waits for ever because it failed on the only workers there are.
#[gtest]
fn a_failing_job_on_few_workers_ends() {
    let world = World::new(73, 1, 1);
    world.run_for(1_000);
    world
        .shared
        .platform
        .with(&name("w00"), |worker| worker.failing = true);
    let id = world.submit(0, job("makers", 1, 1)).expect("accepted");
    let status = world.status(0, id, 600_000);
    expect_that!(status.result, some(eq(ResultCode::JobFailed)));
    expect_that!(world.shared.platform.runs.borrow().len(), le(12));
}
