//! Whole pieces of room for large tasks.
//!
//! A short task goes to the worker with the smallest committed share, which leaves
//! pieces of the same size everywhere. While larger tasks find no room, a smaller one
//! goes to the fullest worker on which it fits instead (best fit), so that the pieces
//! that are left are large. Sizes count for a time after they waited, since pieces grow
//! only as runs end.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::Step,
};

use super::Scheduler;

/// Time for which a size counts after it found no room.
///
/// Several times as long as a typical run takes, since the pieces that are to stay whole appear as runs end.
const KEEP_SIZE_MS: Millis = Millis(10_000);

/// Largest task that found no room lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Packing {
    largest_milli: u64,
    waited_at: MonoMs,
}

impl Packing {
    /// Records the size of a task that finds no room, or 0.
    pub(super) fn record_waiting(&mut self, cpu_milli: u64, now: MonoMs) {
        let is_old = now.since(self.waited_at) > KEEP_SIZE_MS;
        if is_old || cpu_milli >= self.largest_milli {
            self.largest_milli = cpu_milli;
            self.waited_at = now;
        }
    }
}

impl Scheduler {
    /// Whether a short task goes to the fullest worker on which it fits.
    pub(super) fn fits_best(&self, step: &Step) -> bool {
        step.demand.cpu_milli < self.packing.largest_milli
    }
}
