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
