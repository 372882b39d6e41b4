//! Evacuation of data centres.

use googletest::prelude::*;
use hemlocksaddle_types::{host::HostState, outcome::ResultCode};

use crate::sim_cluster::{SimCluster, data_centre, job};

/// Guards against starts in a data centre that a document takes out, or whose hosts are leaving.
#[gtest]
fn nothing_starts_in_a_data_centre_that_is_out() {
    for by_document in [true, false] {
        let cluster = SimCluster::new(50, 2, 2);
        cluster.run_for(1_000);
        let out = data_centre(0);
        match by_document {
            true => assert!(cluster.shared.out.borrow_mut().insert(out)),
            false => cluster.set_host_state(&out, HostState::Leaving),
        }
        cluster.run_for(1_000);
        let id = cluster.submit(0, job("makers", 6, 1)).expect("accepted");
        let status = cluster.status(0, id, 60_000);
        expect_that!(status.result, some(eq(ResultCode::Completed)));
        let runs = cluster.shared.platform.runs.borrow();
        expect_that!(
            runs.iter().all(|run| run.worker.as_str().starts_with("w1")),
            eq(true)
        );
    }
}

/// Guards against tasks that stay in a leaving data centre despite free resources elsewhere, and
/// against evicted tasks that lose their progress or run twice.
#[gtest]
fn evicted_tasks_resume_from_their_checkpoint() {
    let cluster = SimCluster::new(51, 2, 2);
    cluster.shared.platform.run_ms.set(20_000);
    cluster.run_for(1_000);
    let id = cluster.submit(0, job("makers", 6, 1)).expect("accepted");
    cluster.run_for(5_000);
    assert!(cluster.shared.out.borrow_mut().insert(data_centre(0)));
    cluster.run_for(8_000);
    let left = cluster.shared.platform.runs.borrow().clone();
    let left = left.iter().filter(|run| run.until_ms.is_none());
    let left = left.filter(|run| run.worker.as_str().starts_with("w0"));
    expect_that!(left.count(), eq(0));
    let status = cluster.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    let runs = cluster.shared.platform.runs.borrow();
    let resumed = runs.iter().filter(|run| run.attempt.0 > 1);
    expect_that!(resumed.clone().count(), gt(0));
    for run in resumed {
        let progress_ms = run.checkpoint.as_ref().map(|c| c.progress_ms);
        expect_that!(progress_ms, some(gt(3_000)));
    }
    drop(runs);
    cluster.check();
}

/// Guards against evicted tasks that only wait in a queue: without free resources elsewhere, tasks
/// keep running where they are.
#[gtest]
fn tasks_without_capacity_elsewhere_stay() {
    let cluster = SimCluster::new(52, 2, 1);
    cluster.shared.platform.run_ms.set(20_000);
    cluster.run_for(1_000);
    let id = cluster.submit(0, job("makers", 8, 1)).expect("accepted");
    cluster.run_for(3_000);
    assert!(cluster.shared.out.borrow_mut().insert(data_centre(0)));
    let status = cluster.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    expect_that!(cluster.shared.platform.runs.borrow().len(), eq(8));
}
