//! Loops that could go on without a pause for as long as a peer answers, or answers at once.
//!
//! Failures: answers of the store or of workers that leave a caller where it was.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::{frontend::Submitted, ports::Stream};
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, step, store::Odd};

const WORKERS: usize = 3;

/// Time for which a fault lasts; shorter than the time without a renewal after which a shard is claimed.
const FAULT_MS: Millis = Millis(1_500);

/// Most calls to a stream in that time: three nodes, a pause of at least 100 ms and two calls after each.
const MAX_CALLS: usize = 100;

/// Longest time until a workflow of one task of 1 s has ended.
const END_MS: Millis = Millis(12_000);

const STREAMS: [Stream; 5] = [
    Stream::Claims,
    Stream::Submissions,
    Stream::Progress,
    Stream::Operator,
    Stream::Workers,
];

/// Number of calls of all nodes to each stream during a fault.
fn calls_during(deployment: &Deployment, odd: Odd) -> Vec<(Stream, usize)> {
    deployment.store.calls.borrow_mut().clear();
    deployment.store.odd.set(Some(odd));
    deployment.sim.run_for(FAULT_MS);
    deployment.store.odd.set(None);
    let calls = deployment.store.calls.borrow();
    let calls = STREAMS.map(|stream| (stream, calls.get(&stream).copied().unwrap_or(0)));
    calls.to_vec()
}

fn expect_work_is_done(deployment: &Deployment, id: u64, context: &str) {
    deployment.sim.run_for(Millis(4_000));
    let owner = deployment.owner().expect("owner");
    deployment.submit_in_background(owner, id, vec![step(1)]);
    let state = deployment.wait_for_end(owner, id, END_MS);
    expect_that!(state, some(eq(State::Completed)), "{context}");
}

/// Guards against nodes that take their processor and their link by repeating a call without a pause, and against ones
/// that do not go on afterwards.
#[gtest]
fn odd_answers_of_the_store_are_followed_by_a_pause() {
    for odd in [Odd::Empty, Odd::Truncated, Odd::OutOfSequence] {
        let deployment = Deployment::new(1, 3, WORKERS);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        deployment.submit_in_background(owner, 1, vec![step(1)]);
        for (stream, calls) in calls_during(&deployment, odd) {
            expect_that!(calls, le(MAX_CALLS), "{odd:?}, {stream:?}");
        }
        expect_work_is_done(&deployment, 2, &format!("{odd:?}"));
    }
}

/// Guards against a listing that goes on for ever, and takes more memory with each page.
#[gtest]
fn a_page_that_does_not_follow_the_one_before_ends_a_listing() {
    let deployment = Deployment::new(1, 3, WORKERS);
    deployment.wait_for_owner();
    deployment.store.odd.set(Some(Odd::RepeatedPage));
    deployment.kill(deployment.owner().expect("owner"));
    deployment.sim.run_for(Millis(3_000));
    for (stream, calls) in calls_during(&deployment, Odd::RepeatedPage) {
        expect_that!(calls, le(MAX_CALLS), "{stream:?}");
    }
    expect_work_is_done(&deployment, 1, "after repeated pages");
}

/// Guards against a refusal of work that is stored, and runs.
#[gtest]
fn an_append_whose_answer_cannot_be_read_is_not_called_refused() {
    let deployment = Deployment::new(1, 2, WORKERS);
    deployment.wait_for_owner();
    let owner = deployment.owner().expect("owner");
    deployment.store.odd.set(Some(Odd::UnreadableAppend));
    let outcome = deployment.submit(1 - owner, 1, vec![step(1)]);
    deployment.store.odd.set(None);
    expect_that!(outcome, eq(Submitted::Unknown));
    let state = deployment.wait_for_end(owner, 1, END_MS);
    expect_that!(state, some(eq(State::Completed)));
}

/// Time for which workers are watched; the requests that are open at first wait for up to a second.
const WATCHED_MS: Millis = Millis(3_000);

/// Most calls to the workers in that time: the early answers that are allowed, and one in 50 ms.
const MAX_WORKER_CALLS: u64 = WORKERS as u64 * 85;

/// Guards against an owner that asks a worker without a pause which does not wait as it should.
#[gtest]
fn a_worker_that_does_not_wait_is_asked_at_an_interval() {
    let deployment = Deployment::new(1, 1, WORKERS);
    deployment.wait_for_owner();
    deployment.fleet.answers_at_once.set(true);
    deployment.fleet.take_calls(0);
    deployment.sim.run_for(WATCHED_MS);
    expect_that!(deployment.fleet.take_calls(0), le(MAX_WORKER_CALLS));
    expect_work_is_done(&deployment, 1, "worker that does not wait");
}
