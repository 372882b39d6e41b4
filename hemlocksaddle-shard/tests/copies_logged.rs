//! Log lines and metrics about speculative copies.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{State, Step},
};
use support::{Deployment, kept_lines, kept_lines::lines_of, step};

/// Load: a task for each of ten workers, of which one leaves orders unanswered and carries them out after 2 s. Guards
/// against copies that no log line and no metric shows.
#[gtest]
fn copies_are_logged_and_counted() {
    kept_lines::keep();
    let deployment = Deployment::without_nodes(1, 10);
    deployment.copies.set(true);
    deployment.configure(|catalogue| catalogue.pools[0].admission_check = true);
    (0..3).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    deployment.fleet.unanswered.workers.set(1);
    deployment.fleet.unanswered.late.set(Millis(2_000));
    deployment.fleet.unanswered.other_runs.set(1);
    let step = Step {
        speculative: true,
        ..step(10)
    };
    deployment.submit(0, 1, vec![step]);
    let end = deployment.wait_for_end(0, 1, Millis(60_000));
    assert_that!(end, some(eq(State::Completed)));
    let ordered = lines_of(58);
    assert_that!(ordered, not(is_empty()));
    expect_that!(ordered[0]["reason"].as_str(), some(eq("unanswered")));
    expect_that!(ordered[0]["earlier_worker"].as_str(), some(eq("0")));
    expect_that!(lines_of(59).len(), eq(ordered.len()));
    let owner = deployment.owner().expect("owner");
    let metrics = deployment.node(owner).expect("node").metrics_text();
    let metrics = String::from_utf8(metrics.expect("metrics")).expect("text");
    let count = format!(
        "shard_copies_total{{kind=\"unanswered\"}} {}\n",
        ordered.len()
    );
    expect_that!(metrics, contains_substring(count));
    expect_that!(metrics, contains_substring("shard_copied_tasks 0\n"));
}
