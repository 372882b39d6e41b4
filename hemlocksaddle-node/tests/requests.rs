//! Quick requests over several nodes on the virtual clock.

mod requests_support;

use googletest::prelude::*;
use hemlocksaddle_types::{clock::Millis, outcome::ResultCode};
use requests_support::{Options, World};

/// Guards the thin path: one idempotent request through one node to one executor and back.
#[googletest::test]
fn idempotent_request_is_answered() {
    let world = World::new(&Options::default());
    let response = world.quick(0, world.request(0, None, 1_000));
    expect_that!(response.code, eq(ResultCode::Completed));
    expect_that!(response.status, eq(200));
    expect_that!(world.runs(), eq(1));
}

/// Guards against a node without executors that refuses or runs a request itself.
#[googletest::test]
fn node_without_executors_forwards() {
    let options = Options {
        nodes: 2,
        ..Options::default()
    };
    let world = World::new(&options);
    world.sim.run_for(Millis(100));
    let response = world.quick(1, world.request(1, None, 1_000));
    expect_that!(response.code, eq(ResultCode::Completed));
    expect_that!(world.runs(), eq(1));
}
