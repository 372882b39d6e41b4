//! Rounds in which steps that find no room are tried.
//!
//! To try a step takes a comparison of all workers. A plan makes a bounded number of comparisons that lead to no start,
//! so that its time stays far below the ownership lease for any number of waiting steps. The steps that it did not get
//! to are tried by the next plans, each step once before any is tried again. Steps that were never tried have as many
//! comparisons to themselves, so that new work does not wait for a round to end. While the number is enough for all
//! steps, each plan is a round of its own, and all steps are tried in their order.

use super::{Scheduler, placement::Candidates, plan::ReadyStep};

/// Comparisons of a worker that may lead to no start in one plan, for steps that were tried before and for others.
///
/// A comparison takes about 10 ns on a full core of an x86-64 server, so that all take 40 ms on a quarter of it.
const MAX_FRUITLESS_COMPARISONS: u64 = 500_000;

/// Round of tries.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rounds {
    /// Number of the current round; 0 before the first.
    current: u32,
    /// Whether the latest plan left steps to the next one.
    has_more: bool,
}

impl Scheduler {
    /// Begins a round, unless the latest plan left steps of the current one.
    pub(super) fn begin_tries(&mut self) {
        if !std::mem::take(&mut self.rounds.has_more) {
            self.rounds.current = self.rounds.current.wrapping_add(1).max(1);
        }
    }

    /// Whether the latest plan left steps to the next one.
    #[must_use]
    pub fn has_untried_steps(&self) -> bool {
        self.rounds.has_more
    }

    /// Whether a step may be tried in this plan.
    pub(super) fn may_try(&mut self, ready: &ReadyStep, candidates: &Candidates) -> bool {
        let rounds = &mut self.rounds;
        let state = self.jobs[ready.job].step_state(ready.key(0));
        if state.tried_in == rounds.current {
            return false;
        }
        let is_new = state.tried_in == 0;
        let max = MAX_FRUITLESS_COMPARISONS * if is_new { 2 } else { 1 };
        let may_try = candidates.fruitless < max;
        rounds.has_more |= !may_try;
        may_try
    }

    /// Records that a step fits nowhere, after comparisons from a number on.
    pub(super) fn record_fruitless(
        &mut self,
        ready: &ReadyStep,
        candidates: &mut Candidates,
        compared_before: u64,
    ) {
        candidates.fruitless += candidates.compared_workers - compared_before;
        let state = self.jobs[ready.job].step_state(ready.key(0));
        state.tried_in = self.rounds.current;
    }
}
