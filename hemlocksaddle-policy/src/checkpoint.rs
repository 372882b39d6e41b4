//! Checkpoint interval of a task.
//!
//! Young's approximation: the interval that balances the cost of checkpoints
//! against the work lost in a failure is the square root of 2 * checkpoint cost *
//! mean time between failures (MTBF).

use hemlocksaddle_types::clock::Millis;

/// Lower bound of the interval.
const MIN_INTERVAL_MS: u64 = 30_000;
/// Upper bound of the interval.
const MAX_INTERVAL_MS: u64 = 3_600_000;

/// Interval between checkpoints of a task on a host.
///
/// The MTBF is estimated from `failures` within `observed_ms` of run time. One
/// failure is added to the count as a prior, so that a short time without failures
/// is not taken as evidence of reliability.
#[must_use]
pub fn interval(cost_ms: Millis, failures: u64, observed_ms: Millis) -> Millis {
    let mtbf_ms = observed_ms.0 / (failures + 1);
    let squared = u128::from(cost_ms.0) * 2 * u128::from(mtbf_ms);
    let interval = u64::try_from(squared.isqrt()).unwrap_or(u64::MAX);
    Millis(interval.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
}

/// Whether evicting a task now loses at most one checkpoint interval of progress.
#[must_use]
pub fn is_cheap_to_evict(unsaved_ms: u64, interval: Millis) -> bool {
    unsaved_ms <= interval.0
}
