//! Log lines and metrics about tasks that have waited long.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_types::{clock::Millis, resources::Resources, workflow::Step};
use support::{Deployment, kept_lines, kept_lines::lines_of, step};

/// Load pattern: a task that no worker has room for, beside others that run. Guards against a wait
/// of which neither log nor metrics tell the reason, and against a line for each look.
#[gtest]
fn a_task_without_room_is_logged_and_counted_with_its_reason() {
    kept_lines::keep();
    let deployment = Deployment::new(1, 3, 2);
    deployment.wait_for_owner();
    let large = Step {
        demand: Resources {
            cpu_milli: 9_000,
            ..Resources::default()
        },
        long_running: true,
        ..step(2)
    };
    deployment.submit(0, 7, vec![large]);
    deployment.submit(0, 8, vec![step(1)]);
    deployment.sim.run_for(Millis(14_000));
    let lines = lines_of(55);
    let waited: Vec<u64> = lines
        .iter()
        .filter_map(|line| line["waited_ms"].as_u64())
        .collect();
    expect_that!(
        waited,
        elements_are![
            all!(ge(&3_000), lt(&4_100)),
            all!(ge(&6_000), lt(&7_100)),
            ge(&12_000)
        ]
    );
    for line in &lines {
        expect_that!(line["task"].as_str(), some(eq("0000000000000007.0.0.0")));
        expect_that!(line["reason"].as_str(), some(eq("room")));
        expect_that!(line["tasks"].as_u64(), some(eq(2)));
        expect_that!(line["workers"]["usable"].as_u64(), some(eq(2)));
        expect_that!(line["workers"]["room_for_one"].as_u64(), some(eq(0)));
    }
    let started = lines_of(50);
    expect_that!(started.len(), eq(1));
    expect_that!(started[0]["waited_ms"].as_u64(), some(lt(1_000)));
    let owner = deployment.owner().expect("owner");
    let metrics = deployment.node(owner).expect("node").metrics_text();
    let metrics = String::from_utf8(metrics.expect("metrics")).expect("text");
    expect_that!(
        metrics,
        contains_substring("shard_waiting_tasks{reason=\"room\"} 2")
    );
    expect_that!(
        metrics,
        not(contains_substring("shard_longest_wait_seconds 0\n"))
    );
}
