//! Rounds of placement attempts.
//!
//! An attempt to place a step compares all workers. A plan makes a bounded number of comparisons in attempts that fail,
//! so that its duration stays far below the ownership lease for any number of waiting steps. Further steps are postponed
//! to the next plans: in a round, each step is attempted once before any is attempted again. Steps that were never
//! attempted have a bound of their own, so that new work does not wait for the end of a round. While no step is postponed,
//! each plan is a round of its own and attempts all steps in their order.

use super::{Scheduler, placement::Candidates, plan::ReadyStep};

/// Maximum number of comparisons in failed attempts of one plan, for steps that were attempted before and for new ones.
///
/// A comparison takes about 10 ns on a full core of an x86-64 server, so that both together take 40 ms on a quarter of
/// one.
const MAX_FAILED_COMPARISONS: u64 = 500_000;

/// Current round of attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rounds {
    /// Number of the round; 0 before the first.
    current: u32,
    /// Whether the latest plan postponed steps.
    has_postponed: bool,
}

impl Scheduler {
    /// Begins a round, unless the latest plan postponed steps of the current one.
    pub(super) fn begin_round(&mut self) {
        if !std::mem::take(&mut self.rounds.has_postponed) {
            // 0 stands for no round.
            self.rounds.current = self.rounds.current.wrapping_add(1).max(1);
        }
    }

    /// Whether the latest plan postponed steps to the next one.
    #[must_use]
    pub fn has_postponed_steps(&self) -> bool {
        self.rounds.has_postponed
    }

    /// Whether a plan may attempt to place a step; records that it is postponed if its round has not come to it.
    pub(super) fn may_attempt(&mut self, ready: &ReadyStep, candidates: &Candidates) -> bool {
        let rounds = &mut self.rounds;
        let state = self.jobs[ready.job].step_state(ready.key(0));
        if state.last_failed_round == rounds.current {
            return false;
        }
        let is_new = state.last_failed_round == 0;
        let max = MAX_FAILED_COMPARISONS * if is_new { 2 } else { 1 };
        let may_attempt = candidates.failed_comparisons < max;
        rounds.has_postponed |= !may_attempt;
        may_attempt
    }

    /// Records an attempt that failed, with the comparisons since a count of them.
    pub(super) fn record_failed_attempt(
        &mut self,
        ready: &ReadyStep,
        candidates: &mut Candidates,
        compared_before: u64,
    ) {
        candidates.failed_comparisons += candidates.compared_workers - compared_before;
        let state = self.jobs[ready.job].step_state(ready.key(0));
        state.last_failed_round = self.rounds.current;
    }
}
