//! Pauses between the plans of an owner.
//!
//! Plans run on the only thread of a node. A pause that is at least as long as a plan leaves half of the thread to the
//! node's other tasks: renewals of the claim, answers to callers and reports of workers.

use hemlocksaddle_types::clock::Millis;

/// Shortest pause, so that one plan covers runs that end together.
const MIN_PAUSE_MS: Millis = Millis(4);

/// Longest time between two plans; pauses and leases end without an event that triggers one.
pub const MAX_PLAN_INTERVAL_MS: Millis = Millis(100);

/// Pause before the next plan, by the time that the latest ones took.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanInterval {
    latest: Millis,
}

impl PlanInterval {
    /// Pause after a plan that took some time.
    ///
    /// The shorter of the latest two plans counts, since the process may have been suspended during the other one.
    #[must_use]
    pub fn pause_after(&mut self, took: Millis) -> Millis {
        let earlier = std::mem::replace(&mut self.latest, took);
        took.min(earlier).clamp(MIN_PAUSE_MS, MAX_PLAN_INTERVAL_MS)
    }
}
