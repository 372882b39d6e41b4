//! Progress that takes more space than one record of the store.
//!
//! Load pattern: a schedule with thousands of occurrences, and workflows with many steps or lost runs on a store
//! that takes small records.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use bytes::Bytes;
use googletest::prelude::*;
use hemlocksaddle_shard::{
    frontend::Submitted,
    parts::{split, split_appends},
    ports::{Record, Stream},
};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    workflow::{CrashedRun, Progress, Run, Schedule, State, Step, StepProgress},
};
use support::{Deployment, LEASE_MS, step};

/// Longest time until a workflow of short tasks is completed.
const TIMEOUT_MS: Millis = Millis(20_000);

/// Occurrences whose done steps took more than the largest record of the store.
const OCCURRENCES: u32 = 2_400;

fn chain(steps: u16) -> Vec<Step> {
    let step = |number: u16| Step {
        depends_on: (0..number).rev().take(1).collect(),
        ..step(1)
    };
    (0..steps).map(step).collect()
}

/// Submits a schedule whose occurrences are all due.
fn submit_due(deployment: &Deployment, at: usize, id: u64, occurrences: u32, steps: Vec<Step>) {
    let schedule = Schedule {
        occurrences,
        first_ms: WallMs(0),
        interval_ms: Millis(0),
    };
    let accepted = deployment.submit_scheduled(at, id, steps, schedule);
    assert_that!(accepted, eq(Submitted::Accepted));
}

fn expect_completed(deployment: &Deployment, at: usize, id: u64, what: &str) {
    let ended = deployment.wait_for_end(at, id, TIMEOUT_MS);
    expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
}

/// Guards against one workflow whose progress the store refuses, so that the owner stores no progress any more.
#[gtest]
fn a_schedule_of_thousands_of_occurrences_does_not_keep_others_from_ending() {
    let deployment = Deployment::new(1, 3, 4);
    deployment.wait_for_owner();
    deployment.fleet.run_ms.set(5);
    let at = deployment.owner().expect("owner");
    submit_due(&deployment, at, 1, OCCURRENCES, chain(4));
    deployment.wait_for_end(at, 1, Millis(60_000));
    deployment.submit(at, 2, vec![step(4)]);
    expect_completed(&deployment, at, 2, "beside the schedule");
    expect_completed(&deployment, at, 1, "schedule");
    expect_that!(*deployment.fleet.violations.borrow(), is_empty());
}

/// Guards against a successor that does not know which occurrences are done.
#[gtest]
fn a_successor_starts_no_task_of_an_occurrence_that_is_done() {
    for seed in 1..=3 {
        let deployment = Deployment::new(seed, 3, 4);
        deployment.wait_for_owner();
        deployment.fleet.run_ms.set(5);
        let owner = deployment.owner().expect("owner");
        let at = (owner + 1) % 3;
        submit_due(&deployment, at, 1, 400, chain(3));
        deployment.sim.run_for(Millis(300 + 100 * seed));
        deployment.kill(owner);
        deployment.sim.run_for(Millis(4_000));
        expect_completed(&deployment, at, 1, &format!("seed {seed}"));
        expect_that!(
            *deployment.fleet.violations.borrow(),
            is_empty(),
            "seed {seed}"
        );
    }
}

/// Lets workflows of many steps run on a store that takes small records, with owners that are killed.
fn play_with_small_records(seed: u64, kill_after: Millis) {
    let deployment = Deployment::without_nodes(seed, 4);
    deployment.store.max_record_bytes.set(1_500);
    (0..3).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    deployment.fleet.run_ms.set(40);
    let owner = deployment.owner().expect("owner");
    let at = (owner + 1) % 3;
    for id in 1..=4 {
        let accepted = deployment.submit(at, id, chain(4));
        assert_that!(accepted, eq(Submitted::Accepted));
    }
    submit_due(&deployment, at, 5, 150, chain(3));
    deployment.sim.run_for(kill_after);
    let keys = deployment.store.live_keys(Stream::Progress);
    let parts = keys.iter().filter(|key| key.split('/').count() > 2);
    expect_that!(parts.count(), gt(0), "seed {seed}: progress is in parts");
    // Some ends are lost, so that tasks are started again.
    deployment.fleet.set_unreachable(0, true);
    deployment.kill(owner);
    deployment.sim.run_for(Millis(LEASE_MS + 4_000));
    deployment.fleet.set_unreachable(0, false);
    for id in 1..=5 {
        let what = format!("seed {seed}, owner killed after {kill_after:?}");
        let ended = deployment.wait_for_end(at, id, Millis(40_000));
        expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
    }
    expect_that!(
        *deployment.fleet.violations.borrow(),
        is_empty(),
        "seed {seed}"
    );
    deployment.sim.run_for(Millis(140_000));
    let keys = deployment.store.live_keys(Stream::Progress);
    let left = keys.iter().filter(|key| key.starts_with("progress/"));
    expect_that!(left.count(), eq(0), "seed {seed}: parts are deleted");
}

/// Guards against tasks that run twice, or never, because a part of their workflow's progress is lost or left over.
#[gtest]
fn progress_in_parts_survives_changes_of_owner() {
    for seed in 1..=6 {
        play_with_small_records(seed, Millis(180 + 30 * seed));
    }
}

/// Progress with items of every kind.
fn varied_progress() -> Progress {
    let crashed = |index: u32| CrashedRun {
        run: Run(u64::MAX - u64::from(index)),
        worker: "w".repeat(200).into(),
        suspicion: u32::MAX,
        age: Millis(u64::MAX),
    };
    let step = |occurrence: u32| StepProgress {
        occurrence,
        step: 255,
        done: (1..3_000)
            .map(|n| (u32::MAX - 2 * n, u32::MAX - 2 * n + 1))
            .collect(),
        failed: (0..2_000).map(|n| (u32::MAX - n, Run(u64::MAX))).collect(),
        restarted: (0..1_000).map(|n| (u32::MAX - n, Run(u64::MAX))).collect(),
        crashed: (0..200).map(|n| (n, crashed(n))).collect(),
        begun: vec![(0, u32::MAX)],
        end_unknown: vec![(7, u32::MAX)],
    };
    Progress {
        ended: Some(State::Failed),
        ended_ms: Some(WallMs(u64::MAX)),
        failure: None,
        tenant: Some("t".repeat(128).into()),
        done: (0..10_000).map(|n| (2 * n, 2 * n + 1)).collect(),
        steps: (0..5).map(|number| step(u32::MAX - number)).collect(),
        further: None,
    }
}

fn encoded_bytes(progress: &Progress) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(progress, &mut bytes).expect("encoded");
    bytes.len()
}

/// Guards against a part that the store refuses, and against items that no part has.
#[gtest]
fn parts_of_a_progress_are_small_and_complete() {
    let whole = varied_progress();
    for max_bytes in [700, 5_000, 64 << 10] {
        let parts = split(whole.clone(), max_bytes);
        expect_that!(parts.iter().map(encoded_bytes).max(), some(le(max_bytes)));
        expect_that!(parts[0].ended, some(eq(State::Failed)));
        expect_that!(parts[1].ended, none());
        let done: Vec<_> = parts.iter().flat_map(|part| part.done.clone()).collect();
        expect_that!(done, eq(&whole.done));
        for step in &whole.steps {
            let mut joined = StepProgress {
                occurrence: step.occurrence,
                step: step.step,
                ..StepProgress::default()
            };
            let steps = parts.iter().flat_map(|part| &part.steps);
            for part in steps.filter(|part| part.occurrence == step.occurrence) {
                joined.done.extend(&part.done);
                joined.failed.extend(&part.failed);
                joined.restarted.extend(&part.restarted);
                joined.crashed.extend(part.crashed.iter().cloned());
                joined.begun.extend(&part.begun);
                joined.end_unknown.extend(&part.end_unknown);
            }
            expect_that!(joined, eq(step));
        }
    }
    let small = Progress::default();
    expect_that!(split(small.clone(), 700), elements_are![eq(&small)]);
}

/// Guards against an append that the store refuses, and against records that change places.
#[gtest]
fn appends_are_small_and_keep_the_order() {
    let record = |number: usize| Record {
        key: format!("{number}").into(),
        value: Some(Bytes::from(vec![0; 37 * (number % 11)])),
    };
    let records: Vec<Record> = (0..100).map(record).collect();
    let appends = split_appends(records.clone(), 400);
    let size = |append: &Vec<Record>| {
        let sizes = append.iter().map(hemlocksaddle_shard::parts::record_bytes);
        sizes.sum::<usize>()
    };
    expect_that!(appends.iter().map(size).max(), some(le(400)));
    expect_that!(appends.concat(), eq(&records));
    expect_that!(split_appends(Vec::new(), 400), is_empty());
}
