//! Estimate of a worker's clock.

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Last stamp of a worker with the time at which it was received.
///
/// The stamp was made before it was received, so stamp plus elapsed time is never
/// later than the worker's true time. A possible difference in clock rate of 2%
/// is taken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    /// Worker's time in its last report.
    pub stamp_ms: MonoMs,
    /// Own time at which the report was received.
    pub received_ms: MonoMs,
}

impl WorkerClock {
    /// Lower bound of the worker's time at `now`.
    #[must_use]
    pub fn lower_bound(&self, now: MonoMs) -> MonoMs {
        let elapsed = now.since(self.received_ms).0;
        self.stamp_ms + Millis(elapsed - elapsed / 50)
    }
}
