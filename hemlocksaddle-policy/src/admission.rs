//! Early refusal of requests that would miss their deadline.
//!
//! Under overload a queue that admits everything serves only requests whose
//! callers have given up. A request is therefore admitted only if the expected
//! wait and a usual service time fit into its deadline, and it is dropped before
//! its start if the time remaining is shorter than a usual service time.

use hemlocksaddle_types::clock::Millis;

/// Service times that must fit into the time remaining when a request is admitted.
///
/// 95% of exponentially distributed service times are below three means; with a
/// single mean more than a third of the admitted requests would miss the deadline.
const REQUIRED_SERVICE_TIMES: f64 = 3.0;

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER_MS: f64 = 10.0;

/// State of the queue that a request would join.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may wait at most.
    pub limit: u32,
    /// Slots that serve the queue.
    pub slots: u32,
    /// Mean service time in milliseconds.
    pub mean_ms: f64,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Request may wait.
    Admit,
    /// Request would miss its deadline or the queue is full; a retry may help after the duration.
    Refuse(Millis),
}

impl Queue {
    /// Expected wait of a request that joins now, in milliseconds.
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
        // A deadline below a usual service time cannot be met by waiting less,
        // so it is decided by the queue alone.
        let unattainable = to_f64(remaining) < REQUIRED_SERVICE_TIMES * self.mean_ms;
        let short_wait = wait_ms <= to_f64(remaining) / 4.0;
        if self.waiting < self.limit && (fits || (unattainable && short_wait)) {
            return Decision::Admit;
        }
        Decision::Refuse(retry_after(wait_ms))
    }
}

/// Whether a request is worth starting with this much time remaining.
#[must_use]
pub fn can_meet_deadline(remaining: Millis, fastest_ms: f64) -> bool {
    remaining.0 > 0 && to_f64(remaining) >= fastest_ms
}

/// Time after which a queue that is this long has drained, within 10 ms to 5 s.
#[must_use]
pub fn retry_after(wait_ms: f64) -> Millis {
    let bounded = wait_ms.clamp(MIN_RETRY_AFTER_MS, 5_000.0);
    // The clamp keeps the value well inside the range of u64.
    Millis(bounded as u64)
}

/// Spans here are minutes at most, far below the 53 bits that are exact.
fn to_f64(duration: Millis) -> f64 {
    duration.0 as f64
}
