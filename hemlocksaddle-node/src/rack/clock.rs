//! Lower bound on a worker's clock.

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Last timestamp of a worker and the local time of its receipt.
///
/// The worker takes the timestamp before this node receives it, so timestamp plus
/// elapsed time is never later than the worker's clock. The elapsed time is
/// reduced by 2% to allow for clock drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    /// Worker's clock in its last report.
    pub stamp_ms: MonoMs,
    /// Local time at which the report was received.
    pub received_ms: MonoMs,
}

impl WorkerClock {
    /// Lower bound of the worker's clock at local time `now`.
    #[must_use]
    pub fn lower_bound(&self, now: MonoMs) -> MonoMs {
        let elapsed = now.since(self.received_ms).0;
        self.stamp_ms + Millis(elapsed - elapsed / 50)
    }
}
