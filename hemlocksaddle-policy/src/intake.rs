//! Next action of a node that holds a submission which is not stored yet.
//!
//! The owner of the shard batches the submissions of all nodes into few appends, so
//! it is asked first. Without a reachable owner, a node appends by itself, which
//! takes less time than waiting for a successor. While the store is slow, a node
//! waits for the successor instead: a partition processes appends one at a time,
//! and appends of many nodes would saturate it until even the successor could not
//! read its state.

use hemlocksaddle_types::clock::Millis;

/// Time after arrival until which a node tries to store a submission; below the
/// timeout of callers, so that most get an answer.
pub const SUBMISSION_TIMEOUT_MS: Millis = Millis(2_600);

/// Time for which appends of a submission may fail before the submission is refused; enough for a
/// few attempts.
const MAX_APPEND_FAILURE_MS: Millis = Millis(120);

/// Time without a successful call after which the store counts as unavailable;
/// enough for a few attempts.
pub const STORE_UNAVAILABLE_MS: Millis = Millis(300);

/// Latency of the store at or above which nodes do not append by themselves.
///
/// Below it, 40 nodes with three submissions per second each stay within the
/// capacity of a partition.
const SLOW_STORE_LATENCY_MS: Millis = Millis(50);

/// Delay before an owner that could not store a submission is asked again.
const OWNER_RETRY_MS: Millis = Millis(200);

/// Progress of a submission and the state of its shard, as known to the node.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionState {
    /// Time since the submission arrived.
    pub elapsed: Millis,
    /// Whether the shard has an owner that responds, as far as the node knows.
    pub has_owner: bool,
    /// Time since the current owner was last asked without success.
    pub since_owner_asked: Option<Millis>,
    /// Latency of the most recent calls to the store.
    pub store_latency: Millis,
    /// Time for which no call of the node to the store has succeeded.
    pub store_failing_for: Millis,
    /// Time since the first append of the submission that did not succeed.
    pub append_failing_for: Option<Millis>,
    /// Whether the submission may already be stored, because the outcome of an attempt is unknown.
    pub maybe_stored: bool,
}

/// Next action for a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the owner to store it.
    AskOwner,
    /// Append it to the store directly.
    Append,
    /// Wait for an owner or for the store.
    Wait,
    /// Report to the caller that it is not stored, or that this is unknown.
    GiveUp,
}

impl SubmissionState {
    /// Decides the next action.
    #[must_use]
    pub fn next_action(&self) -> Action {
        let failed = self
            .append_failing_for
            .is_some_and(|duration| duration >= MAX_APPEND_FAILURE_MS);
        if self.elapsed >= SUBMISSION_TIMEOUT_MS || failed && !self.maybe_stored {
            return Action::GiveUp;
        }
        let may_ask_owner = self
            .since_owner_asked
            .is_none_or(|since| since >= OWNER_RETRY_MS);
        if self.has_owner && may_ask_owner {
            Action::AskOwner
        } else if self.store_failing_for >= STORE_UNAVAILABLE_MS && !self.maybe_stored {
            // Nothing that may be stored was sent yet, so the refusal is certain. An append that
            // gets no answer would leave the outcome unknown.
            Action::GiveUp
        } else if self.store_latency < SLOW_STORE_LATENCY_MS {
            Action::Append
        } else {
            Action::Wait
        }
    }
}
