//! Deadline-aware admission control.
//!
//! An overloaded queue that admits everything serves mostly requests whose callers
//! have already given up. A request is therefore admitted only if the expected wait
//! plus three mean service times fit into its deadline. A deadline that is too
//! short for this even without a wait is an exception: the request is admitted if
//! the wait is short. An admitted request is dropped before it starts if it can no
//! longer finish in time.

use hemlocksaddle_types::clock::Millis;

/// Mean service times that must fit into the remaining time in addition to the wait.
///
/// 95% of exponentially distributed service times are below three means; with a
/// single mean, more than a third of the admitted requests would miss their
/// deadline.
const REQUIRED_SERVICE_TIMES: f64 = 3.0;

/// Minimum retry delay given to a refused caller.
const MIN_RETRY_AFTER_MS: f64 = 10.0;

/// State of the queue that a request would join.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of waiting requests.
    pub limit: u32,
    /// Number of slots that serve the queue.
    pub slots: u32,
    /// Mean service time in milliseconds.
    pub mean_ms: f64,
}

/// Result of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may wait.
    Admit,
    /// The queue is full or the deadline would be missed; carries the delay before a retry.
    Refuse(Millis),
}

impl Queue {
    /// Expected wait of a request that joins now, in milliseconds; infinite without slots.
    #[must_use]
    pub fn expected_wait_ms(&self) -> f64 {
        if self.slots == 0 {
            return f64::INFINITY;
        }
        f64::from(self.waiting + 1) * self.mean_ms / f64::from(self.slots)
    }

    /// Decides whether a request with this much time remaining may wait.
    #[must_use]
    pub fn admit(&self, remaining: Millis) -> Decision {
        let wait_ms = self.expected_wait_ms();
        let needed_ms = wait_ms + REQUIRED_SERVICE_TIMES * self.mean_ms;
        let fits = needed_ms <= to_f64(remaining);
        // The deadline is too short even without a wait, so no queue would be short
        // enough; such a request may wait for up to a quarter of its remaining time.
        let unattainable = to_f64(remaining) < REQUIRED_SERVICE_TIMES * self.mean_ms;
        let short_wait = wait_ms <= to_f64(remaining) / 4.0;
        if self.waiting < self.limit && (fits || (unattainable && short_wait)) {
            return Decision::Admit;
        }
        Decision::Refuse(retry_after(wait_ms))
    }
}

/// Whether a request that takes `fastest_ms` can finish in the remaining time.
#[must_use]
pub fn can_meet_deadline(remaining: Millis, fastest_ms: f64) -> bool {
    remaining.0 > 0 && to_f64(remaining) >= fastest_ms
}

/// Time until a queue with this expected wait has drained, clamped to between 10 ms and 5 s.
#[must_use]
pub fn retry_after(wait_ms: f64) -> Millis {
    let bounded = wait_ms.clamp(MIN_RETRY_AFTER_MS, 5_000.0);
    // The clamp keeps the value within the range of `u64`.
    Millis(bounded as u64)
}

/// Converts a duration to milliseconds; exact, because durations here are minutes
/// at most, far below 2^53 ms.
fn to_f64(duration: Millis) -> f64 {
    duration.0 as f64
}
