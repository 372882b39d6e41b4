//! How a node gets a submission stored.
//!
//! The owner of the shard stores what all nodes take in few appends, so it is asked
//! first. Without it, a node appends by itself, which is quicker than to wait for a
//! successor. Not so beside a slow store: its partitions take one append after the
//! other, and appends of many nodes fill them until even the successor cannot read
//! what it needs. There the node waits for the successor.

use hemlocksaddle_types::clock::Millis;

/// Time after the submission up to which it is tried; below the time limit of callers, so that most get an answer.
pub const SUBMISSION_TIMEOUT_MS: Millis = Millis(2_600);

/// Time for which the store may turn a submission away before it is failed; a few tries.
const MAX_APPEND_FAILURE_MS: Millis = Millis(120);

/// Failure of the store, without any call that succeeds, after which it counts as away; a few tries.
pub const STORE_UNAVAILABLE_MS: Millis = Millis(300);

/// Delay of the store's answers from which nodes do not append by themselves.
///
/// Forty nodes at three submissions a second each then need no more than a partition takes.
const SLOW_STORE_LATENCY_MS: Millis = Millis(50);

/// Pause before an owner that could not store a submission is asked again.
const OWNER_RETRY_MS: Millis = Millis(200);

/// What a node knows while it holds a submission.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionState {
    /// Time since the submission arrived.
    pub elapsed: Millis,
    /// Whether the shard has an owner that answers, as far as the node knows.
    pub has_owner: bool,
    /// Time since this owner was last asked in vain.
    pub since_owner_asked: Option<Millis>,
    /// Delay of the store's latest answers.
    pub store_latency: Millis,
    /// Time for which no call of the node to the store has succeeded.
    pub store_failing_for: Millis,
    /// Time for which the store has turned the submission away.
    pub append_failing_for: Option<Millis>,
    /// Whether the submission may have been stored already.
    pub maybe_stored: bool,
}

/// Next step for a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the owner to store it.
    AskOwner,
    /// Append it to the store.
    Append,
    /// Wait for an owner or for the store.
    Wait,
    /// Tell the caller that it is not stored, or that this is unknown.
    GiveUp,
}

impl SubmissionState {
    /// Next step.
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
            // An append that is not answered could not be told from one that is carried out.
            Action::GiveUp
        } else if self.store_latency < SLOW_STORE_LATENCY_MS {
            Action::Append
        } else {
            Action::Wait
        }
    }
}
