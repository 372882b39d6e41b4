//! Submissions that together, or alone, exceed what the store takes in one append.
//!
//! Load pattern: many workflows with long texts are submitted at the same moment.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{State, Step},
};
use support::{Deployment, step};

/// Longest time until a workflow of one-second tasks is completed.
const TIMEOUT_MS: Millis = Millis(20_000);

/// Time within which forty submissions are stored in five appends of 4 ms each.
const STORED_WITHIN: Millis = Millis(60);

/// Step whose image takes most of a submission.
fn with_image(name_bytes: usize) -> Step {
    Step {
        image: Some("i".repeat(name_bytes).into()),
        ..step(1)
    }
}

fn deployment() -> Deployment {
    let deployment = Deployment::without_nodes(1, 4);
    deployment.store.max_record_bytes.set(4_000);
    (0..3).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    deployment
}

/// Guards against submissions that the owner refuses, although the store takes each of them, because they came at the
/// same moment.
#[gtest]
fn submissions_that_exceed_one_append_together_are_accepted() {
    let deployment = deployment();
    let at = deployment.owner().expect("owner");
    let submit = |id| deployment.submit_in_background(at, id, vec![with_image(3_000)]);
    let outcomes: Vec<_> = (1..=40).map(submit).collect();
    deployment.sim.run_for(STORED_WITHIN);
    for (outcome, id) in outcomes.iter().zip(1..) {
        expect_that!(
            outcome.get(),
            some(eq(Submitted::Accepted)),
            "workflow {id}"
        );
        let ended = deployment.wait_for_end(at, id, TIMEOUT_MS);
        expect_that!(ended, some(eq(State::Completed)), "workflow {id}");
    }
}

/// Guards against a submission that no store can take and that is refused as if it could be repeated, with others
/// that came at the same moment.
#[gtest]
fn a_submission_over_the_size_of_a_record_is_refused_alone() {
    let deployment = deployment();
    let at = deployment.owner().expect("owner");
    let large = deployment.submit_in_background(at, 1, vec![with_image(5_000)]);
    let small = deployment.submit_in_background(at, 2, vec![with_image(10)]);
    deployment.sim.run_for(Millis(2_000));
    expect_that!(large.get(), some(eq(Submitted::TooLarge)));
    expect_that!(small.get(), some(eq(Submitted::Accepted)));
    expect_that!(
        deployment.wait_for_end(at, 2, TIMEOUT_MS),
        some(eq(State::Completed))
    );
}

/// Guards against appends that take longer on a slow link than a call to the store may.
#[gtest]
fn an_append_takes_half_a_second_of_a_slow_link_at_most() {
    let deployment = Deployment::without_nodes(1, 4);
    deployment.start_with(0, 0.25, 2_000);
    deployment.wait_for_owner();
    let submit = |id| deployment.submit_in_background(0, id, vec![with_image(30_000)]);
    let outcomes: Vec<_> = (1..=40).map(submit).collect();
    deployment.sim.run_for(Millis(2_000));
    let accepted = outcomes
        .iter()
        .filter(|outcome| outcome.get() == Some(Submitted::Accepted));
    expect_that!(accepted.count(), eq(40));
    expect_that!(deployment.store.largest_append_bytes.get(), le(125_000));
}
