//! How a node gets a submission stored.
//!
//! The owner of the shard stores what all nodes take in few appends, so it is asked
//! first. Without it, a node appends by itself, which is quicker than to wait for a
//! successor. Not so beside a slow store: its partitions take one append after the
//! other, and appends of many nodes fill them until even the successor cannot read
//! what it needs. There the node waits for the successor.

use hemlocksaddle_types::clock::Millis;

/// Time after the submission up to which it is tried; below the time limit of callers, so that most get an answer.
pub const SETTLE_MS: Millis = Millis(2_600);

/// Time for which the store may turn a submission away before it is refused; a few tries.
const TURNED_AWAY_MS: Millis = Millis(120);

/// Failure of the store, without any call that succeeds, after which it counts as away; a few tries.
pub const STORE_AWAY_MS: Millis = Millis(300);

/// Delay of the store's answers from which nodes do not append by themselves.
///
/// Forty nodes at three submissions a second each then need no more than a partition takes.
const SLOW_STORE_MS: Millis = Millis(50);

/// Pause before an owner that could not store a submission is asked again.
const ASK_AGAIN_MS: Millis = Millis(200);

/// What a node knows while it holds a submission.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Time since the submission arrived.
    pub waited: Millis,
    /// Whether the shard has an owner that answers, as far as the node knows.
    pub has_owner: bool,
    /// Time since this owner was last asked in vain.
    pub asked_ago: Option<Millis>,
    /// Delay of the store's latest answers.
    pub store_delay: Millis,
    /// Time for which no call of the node to the store has succeeded.
    pub store_failing_for: Millis,
    /// Time for which the store has turned the submission away.
    pub turned_away_for: Option<Millis>,
    /// Whether the submission may have been stored already.
    pub unsure: bool,
}

/// Next step for a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the owner to store it.
    AskOwner,
    /// Append it to the store.
    Append,
    /// Wait for an owner or for the store.
    Wait,
    /// Tell the caller that it is not stored, or that this is unknown.
    GiveUp,
}

impl Situation {
    /// Next step.
    #[must_use]
    pub fn next_step(&self) -> Step {
        let refused = self
            .turned_away_for
            .is_some_and(|span| span >= TURNED_AWAY_MS);
        if self.waited >= SETTLE_MS || refused && !self.unsure {
            return Step::GiveUp;
        }
        let may_ask = self.asked_ago.is_none_or(|ago| ago >= ASK_AGAIN_MS);
        if self.has_owner && may_ask {
            Step::AskOwner
        } else if self.store_failing_for >= STORE_AWAY_MS && !self.unsure {
            // An append that is not answered could not be told from one that is carried out.
            Step::GiveUp
        } else if self.store_delay < SLOW_STORE_MS {
            Step::Append
        } else {
            Step::Wait
        }
    }
}
