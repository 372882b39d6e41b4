//! Next action of a node that holds a submission, one case for each state of owner and store.

use googletest::prelude::*;
use hemlocksaddle_policy::intake::{Action, SUBMISSION_TIMEOUT_MS, SubmissionState};
use hemlocksaddle_types::clock::Millis;

const HEALTHY: SubmissionState = SubmissionState {
    elapsed: Millis(0),
    has_owner: true,
    since_owner_asked: None,
    store_latency: Millis(4),
    store_failing_for: Millis(0),
    append_failing_for: None,
    maybe_stored: false,
};

/// Guards against nodes that saturate a partition of a slow store, and against
/// callers that wait although no answer can come.
#[gtest]
fn each_state_has_its_action() {
    let lost = SubmissionState {
        has_owner: false,
        elapsed: Millis(300),
        ..HEALTHY
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
        ..HEALTHY
    };
    let cases = [
        ("healthy", HEALTHY, Action::AskOwner),
        ("owner killed, fast store", lost, Action::Append),
        ("owner killed, slow store", slow, Action::Wait),
        (
            "successor found, slow store",
            SubmissionState {
                has_owner: true,
                ..slow
            },
            Action::AskOwner,
        ),
        (
            "owner still recovering",
            SubmissionState {
                since_owner_asked: Some(Millis(50)),
                ..HEALTHY
            },
            Action::Append,
        ),
        (
            "owner still recovering, slow store",
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
            "store unavailable to the owner too",
            SubmissionState {
                since_owner_asked: Some(Millis(0)),
                ..failing
            },
            Action::GiveUp,
        ),
        (
            "store unavailable, append unanswered",
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
    for (case, state, expected) in cases {
        expect_that!(state.next_action(), eq(expected), "{case}");
    }
}
