//! Data centres that leave and return.

use googletest::prelude::*;
use hemlocksaddle_types::{host::HostState, outcome::ResultCode};

use crate::world::{World, data_centre, job};

/// Guards against starts in a data centre that operators have taken out, or whose hosts are leaving.
#[gtest]
fn nothing_starts_in_a_data_centre_that_is_out() {
    for by_document in [true, false] {
        let world = World::new(50, 2, 2);
        world.run_for(1_000);
        let out = data_centre(0);
        match by_document {
            true => assert!(world.shared.out.borrow_mut().insert(out)),
            false => world.set_host_state(&out, HostState::Leaving),
        }
        world.run_for(1_000);
        let id = world.submit(0, job("makers", 6, 1)).expect("accepted");
        let status = world.status(0, id, 60_000);
        expect_that!(status.result, some(eq(ResultCode::Completed)));
        let runs = world.shared.platform.runs.borrow();
        expect_that!(
            runs.iter().all(|run| run.worker.as_str().starts_with("w1")),
            eq(true)
        );
    }
}

/// Guards against work that stays in a leaving data centre although there is room elsewhere, and
/// against evicted work that loses its progress or runs twice.
#[gtest]
fn batch_work_moves_with_its_checkpoint() {
    let world = World::new(51, 2, 2);
    world.shared.platform.run_ms.set(20_000);
    world.run_for(1_000);
    let id = world.submit(0, job("makers", 6, 1)).expect("accepted");
    world.run_for(5_000);
    assert!(world.shared.out.borrow_mut().insert(data_centre(0)));
    world.run_for(8_000);
    let left = world.shared.platform.runs.borrow().clone();
    let left = left.iter().filter(|run| run.until_ms.is_none());
    let left = left.filter(|run| run.worker.as_str().starts_with("w0"));
    expect_that!(left.count(), eq(0));
    let status = world.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    let runs = world.shared.platform.runs.borrow();
    let resumed = runs.iter().filter(|run| run.attempt.0 > 1);
    expect_that!(resumed.clone().count(), gt(0));
    for run in resumed {
        let progress_ms = run.checkpoint.as_ref().map(|c| c.progress_ms);
        expect_that!(progress_ms, some(gt(3_000)));
    }
    drop(runs);
    world.judge();
}

/// Guards against evictions into a queue: without room elsewhere the work goes on where it is.
#[gtest]
fn work_without_room_elsewhere_stays() {
    let world = World::new(52, 2, 1);
    world.shared.platform.run_ms.set(20_000);
    world.run_for(1_000);
    let id = world.submit(0, job("makers", 8, 1)).expect("accepted");
    world.run_for(3_000);
    assert!(world.shared.out.borrow_mut().insert(data_centre(0)));
    let status = world.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    expect_that!(world.shared.platform.runs.borrow().len(), eq(8));
}
