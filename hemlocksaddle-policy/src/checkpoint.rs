//! How often a task should be checkpointed.
//!
//! Young's approximation: the interval that balances the cost of checkpoints
//! against the work that a failure loses is the square root of twice the cost of
//! a checkpoint times the mean time between failures.

use hemlocksaddle_types::clock::Millis;

/// Shortest interval, whatever the failure rate.
const MIN_INTERVAL_MS: u64 = 30_000;
/// Longest interval, whatever the failure rate.
const MAX_INTERVAL_MS: u64 = 3_600_000;

/// Interval between checkpoints of a task on a host.
///
/// `failures` in `observed_ms` of run time give the failure rate; one failure is
/// assumed beforehand, so that a short quiet time does not count as safety.
#[must_use]
pub fn interval(cost_ms: Millis, failures: u64, observed_ms: Millis) -> Millis {
    let mtbf_ms = observed_ms.0 / (failures + 1);
    let squared = u128::from(cost_ms.0) * 2 * u128::from(mtbf_ms);
    let interval = u64::try_from(squared.isqrt()).unwrap_or(u64::MAX);
    Millis(interval.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
}

/// Whether evicting a task now loses little: it was checkpointed within the last interval.
#[must_use]
pub fn is_cheap_to_evict(unsaved_ms: u64, interval: Millis) -> bool {
    unsaved_ms <= interval.0
}
