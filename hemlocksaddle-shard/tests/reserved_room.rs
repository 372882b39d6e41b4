//! Log line and metric about room that is reserved.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_types::{clock::Millis, resources::Resources, workflow::Step};
use support::{Deployment, kept_lines, kept_lines::lines_of, step};

/// Load pattern: a short task that needs a whole worker, while both workers run tasks that end in twelve
/// seconds. Guards against a wait whose line does not name the reservation, and against reserved room that no
/// metric shows.
#[gtest]
fn a_wait_is_logged_with_its_reservation() {
    kept_lines::keep();
    let deployment = Deployment::without_nodes(1, 2);
    deployment.reservations.set(true);
    (0..3).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    deployment.fleet.run_ms.set(12_000);
    let small = Step {
        expected_run_ms: 12_000,
        ..step(14)
    };
    let large = Step {
        demand: Resources {
            cpu_milli: 8_000,
            ..Resources::default()
        },
        expected_run_ms: 20_000,
        ..step(1)
    };
    deployment.submit(0, 7, vec![small]);
    deployment.sim.run_for(Millis(500));
    deployment.submit(0, 8, vec![large]);
    deployment.sim.run_for(Millis(11_100));
    let lines = lines_of(55);
    assert_that!(lines.len(), eq(1));
    let reservation = &lines[0]["reservation"];
    expect_that!(reservation["worker"].as_str(), some(any![eq("0"), eq("1")]));
    expect_that!(reservation["expected_in_ms"].as_u64(), some(le(3_000)));
    expect_that!(reservation["awaited_runs"].as_u64(), some(eq(7)));
    let last = reservation["last_run"].as_str();
    expect_that!(last, some(starts_with("0000000000000007.")));
    expect_that!(reservation["reservations"].as_u64(), some(eq(1)));
    let owner = deployment.owner().expect("owner");
    let metrics = deployment.node(owner).expect("node").metrics_text();
    let metrics = String::from_utf8(metrics.expect("metrics")).expect("text");
    expect_that!(
        metrics,
        contains_substring("shard_reserved_cpu_milli 1000\n")
    );
}
