//! Workers that start again under their name, with connections that outlast the process.
//!
//! Load pattern: a worker loses power for less than a report request takes to time out. Meanwhile
//! and until the owner learns of the new process, tasks are started there.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, step};

/// Time for which a worker is away; shorter than the timeout of a report request.
const AWAY_MS: Millis = Millis(700);

/// Time from the start of a process until the platform lists it: one interval of status reports.
const LISTED_AFTER_MS: Millis = Millis(1_100);

/// Interval at which workers restart in turn; longer than it takes to run the tasks of one elsewhere, so
/// that no task is blamed for two of the crashes.
const RESTART_INTERVAL_MS: u64 = 4_000;

/// Interval of submissions.
const SUBMIT_INTERVAL_MS: u64 = 200;

/// Number of submissions of a run.
const SUBMISSIONS: u64 = 120;

/// Longest time until all submissions are completed.
const TIMEOUT_MS: Millis = Millis(60_000);

/// Deployment whose workers answer starts without the start time of their process.
fn deployment(seed: u64, nodes: usize) -> Deployment {
    let deployment = Deployment::new(seed, nodes, 8);
    deployment.fleet.connections_hang.set(true);
    deployment.fleet.plain_start_answers.set(true);
    deployment.fleet.listed_after.set(LISTED_AFTER_MS);
    deployment.fleet.run_ms.set(900 + 100 * (seed % 5));
    deployment.wait_for_owner();
    deployment
}

/// Submits at a fixed rate while workers restart in turn; `meanwhile` is called at each restart.
fn submit_beside_restarts(deployment: &Deployment, meanwhile: impl Fn(u64)) {
    submit_beside_restarts_every(deployment, RESTART_INTERVAL_MS, meanwhile);
}

/// Like [`submit_beside_restarts`], with the interval of restarts in milliseconds.
fn submit_beside_restarts_every(
    deployment: &Deployment,
    interval_ms: u64,
    meanwhile: impl Fn(u64),
) {
    for id in 1..=SUBMISSIONS {
        let accepted = deployment.submit(0, id, vec![step(4)]);
        assert_that!(accepted, eq(Submitted::Accepted));
        deployment.sim.run_for(Millis(SUBMIT_INTERVAL_MS));
        if (id * SUBMIT_INTERVAL_MS).is_multiple_of(interval_ms) {
            let restart = id * SUBMIT_INTERVAL_MS / interval_ms;
            let number = restart as usize % deployment.fleet.count();
            deployment.fleet.restart(number, AWAY_MS);
            meanwhile(restart);
        }
    }
}

/// Checks that each task completed and that none ran twice.
fn expect_once(deployment: &Deployment, what: &str) {
    for id in 1..=SUBMISSIONS {
        let ended = deployment.wait_for_end(0, id, TIMEOUT_MS);
        expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
    }
    expect_that!(*deployment.fleet.violations.borrow(), is_empty(), "{what}");
}

/// Guards against two runs of a task: one on a worker that started again before the owner knew of it,
/// one elsewhere, since the owner took the first as ended with the earlier process.
#[gtest]
fn a_run_that_a_restarted_worker_accepted_is_not_started_elsewhere() {
    for seed in 1..=20 {
        let deployment = deployment(seed, 3);
        submit_beside_restarts(&deployment, |_| {});
        expect_once(&deployment, &format!("seed {seed}"));
    }
}

/// The same, if the start time of the process is in each answer.
#[gtest]
fn a_run_that_a_worker_accepted_as_a_known_later_process_is_not_started_elsewhere() {
    for seed in 1..=20 {
        let deployment = deployment(seed, 3);
        deployment.fleet.plain_start_answers.set(false);
        submit_beside_restarts(&deployment, |_| {});
        expect_once(&deployment, &format!("seed {seed}"));
    }
}

/// The same, if some answers to starts are lost as well.
#[gtest]
fn a_start_whose_answer_was_lost_is_not_repeated_beside_a_restarted_worker() {
    for seed in 1..=20 {
        let deployment = deployment(seed, 3);
        deployment.fleet.lose_answer_every.set(5);
        submit_beside_restarts(&deployment, |_| {});
        expect_once(&deployment, &format!("seed {seed}"));
    }
}

/// The same for a successor, which knows the earlier process from the roster.
#[gtest]
fn a_run_that_a_restarted_worker_accepted_is_known_to_a_successor() {
    for seed in 1..=20 {
        let deployment = deployment(seed, 4);
        submit_beside_restarts(&deployment, |restart| {
            if restart % 2 == seed % 2
                && let Some(owner) = deployment.owner()
            {
                deployment.sim.run_for(Millis(100 * (seed % 10)));
                deployment.kill(owner);
                deployment.start(owner);
            }
        });
        expect_once(&deployment, &format!("seed {seed}"));
    }
}

/// Load pattern: one of eight workers restarts every 2 s. Guards against a sound workflow that is given up because
/// its tasks had just started on two of them.
#[gtest]
fn sound_workflows_are_not_given_up_beside_frequent_restarts() {
    for seed in 1..=20 {
        let deployment = deployment(seed, 3);
        submit_beside_restarts_every(&deployment, 2_000, |_| {});
        expect_once(&deployment, &format!("seed {seed}"));
    }
}
