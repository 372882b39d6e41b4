//! How a node gets a submission stored: one line for each pattern.

use googletest::prelude::*;
use hemlocksaddle_policy::intake::{Action, SUBMISSION_TIMEOUT_MS, SubmissionState};
use hemlocksaddle_types::clock::Millis;

const CALM: SubmissionState = SubmissionState {
    elapsed: Millis(0),
    has_owner: true,
    since_owner_asked: None,
    store_latency: Millis(4),
    store_failing_for: Millis(0),
    append_failing_for: None,
    maybe_stored: false,
};

/// Guards against nodes that fill a slow store's partition, and against callers who wait for nothing.
#[gtest]
fn each_pattern_has_its_step() {
    let lost = SubmissionState {
        has_owner: false,
        elapsed: Millis(300),
        ..CALM
    };
    let slow = SubmissionState {
        store_latency: Millis(340),
        ..lost
    };
    let unavailable = SubmissionState {
        append_failing_for: Some(Millis(150)),
        ..lost
    };
    let failing = SubmissionState {
        store_failing_for: Millis(400),
        ..CALM
    };
    let cases = [
        ("calm", CALM, Action::AskOwner),
        ("owner killed, store quick", lost, Action::Append),
        ("owner killed beside a slow store", slow, Action::Wait),
        (
            "successor found beside a slow store",
            SubmissionState {
                has_owner: true,
                ..slow
            },
            Action::AskOwner,
        ),
        (
            "owner still reads its state",
            SubmissionState {
                since_owner_asked: Some(Millis(50)),
                ..CALM
            },
            Action::Append,
        ),
        (
            "owner still reads its state from a slow store",
            SubmissionState {
                since_owner_asked: Some(Millis(50)),
                has_owner: true,
                ..slow
            },
            Action::Wait,
        ),
        ("store unavailable", unavailable, Action::GiveUp),
        (
            "store unavailable, may be stored",
            SubmissionState {
                maybe_stored: true,
                ..unavailable
            },
            Action::Append,
        ),
        (
            "store unavailable, owner not asked yet",
            failing,
            Action::AskOwner,
        ),
        (
            "store unavailable, and the owner does not reach it either",
            SubmissionState {
                since_owner_asked: Some(Millis(0)),
                ..failing
            },
            Action::GiveUp,
        ),
        (
            "store unavailable, an append was not answered",
            SubmissionState {
                since_owner_asked: Some(Millis(0)),
                maybe_stored: true,
                ..failing
            },
            Action::Append,
        ),
        (
            "no owner in time",
            SubmissionState {
                elapsed: SUBMISSION_TIMEOUT_MS,
                ..slow
            },
            Action::GiveUp,
        ),
    ];
    for (pattern, state, expected) in cases {
        expect_that!(state.next_action(), eq(expected), "{pattern}");
    }
}
