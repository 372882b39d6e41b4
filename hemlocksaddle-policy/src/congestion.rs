//! Limits of what an owner of many workers sends at once, from the latency of their answers.
//!
//! The path from an owner to its workers is shared: its own link and its own
//! processor carry the calls to all of them. If more is sent than the path carries,
//! calls queue up, time out and are sent again, and the repeats queue up as well
//! (congestion collapse). Two mechanisms prevent this. [`LatencyEstimate`] derives
//! the timeout of a call from the latency of recent answers, so that a call is not
//! repeated while the first one is still queued. [`StartWindow`] limits the start
//! orders in flight by additive increase and multiplicative decrease, so that tasks
//! wait with the scheduler, which can still change its mind, and not on the path.
//!
//! A worker that does not answer counts against the path only if no other worker has
//! answered fast meanwhile.

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Weight of a new latency in the estimate, as for the retransmission timer of TCP (RFC 6298).
const LATENCY_WEIGHT: f64 = 0.125;

/// Weight of a new deviation in the estimate, from RFC 6298.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations that a timeout allows for beyond the mean latency, from RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Mean latency from which reports are requested less often.
const SLOW_LATENCY_MS: f64 = 50.0;

/// Time by which the wait of a report request grows for each millisecond of latency.
const WAIT_PER_LATENCY: f64 = 5.0;

/// Latency of the calls to many workers, mean and deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl LatencyEstimate {
    /// Records the latency of an answered call.
    pub fn record(&mut self, latency: Millis) {
        let latency_ms = latency.0 as f64;
        let Some(mean_ms) = self.mean_ms else {
            self.mean_ms = Some(latency_ms);
            self.deviation_ms = latency_ms / 2.0;
            return;
        };
        let error_ms = latency_ms - mean_ms;
        self.deviation_ms += DEVIATION_WEIGHT * (error_ms.abs() - self.deviation_ms);
        self.mean_ms = Some(mean_ms + LATENCY_WEIGHT * error_ms);
    }

    /// Timeout of the next call, within bounds.
    #[must_use]
    pub fn timeout(&self, min: Millis, max: Millis) -> Millis {
        let Some(mean_ms) = self.mean_ms else {
            return min;
        };
        let timeout_ms = mean_ms + DEVIATIONS * self.deviation_ms;
        Millis((timeout_ms as u64).clamp(min.0, max.0))
    }

    /// Time for which a worker should wait for a run to end before it reports, from the usual one
    /// to the longest.
    ///
    /// Frequent reports of tail latencies give way to orders while the path is slow.
    #[must_use]
    pub fn report_wait(&self, usual: Millis, max: Millis) -> Millis {
        let excess_ms = (self.mean_ms.unwrap_or(0.0) - SLOW_LATENCY_MS).max(0.0);
        Millis((usual.0 + (excess_ms * WAIT_PER_LATENCY) as u64).min(max.0))
    }
}

/// Start orders in flight at the beginning, and at least.
const MIN_WINDOW: f64 = 32.0;

/// Start orders in flight at most.
const MAX_WINDOW: f64 = 2_048.0;

/// Latency up to which the window grows; many times that of an idle path.
const LOW_LATENCY_MS: Millis = Millis(100);

/// Latency from which the window shrinks; below the shortest timeout of a call.
const HIGH_LATENCY_MS: Millis = Millis(250);

/// Factor by which the window shrinks.
const DECREASE: f64 = 0.7;

/// Limit of the start orders in flight to all workers.
#[derive(Clone, Copy, Debug)]
pub struct StartWindow {
    size: f64,
    in_flight: u32,
    /// Whether the window, and not the number of waiting tasks, limits the orders.
    is_limiting: bool,
    /// Time of the last decrease; orders that were sent before it do not cause another.
    decreased_at: MonoMs,
    /// Time at which the latest fast answer was received.
    fast_answer_at: MonoMs,
}

impl Default for StartWindow {
    fn default() -> StartWindow {
        StartWindow {
            size: MIN_WINDOW,
            in_flight: 0,
            is_limiting: false,
            decreased_at: MonoMs(0),
            fast_answer_at: MonoMs(0),
        }
    }
}

impl StartWindow {
    /// Number of start orders that may be sent now.
    #[must_use]
    pub fn available(&self) -> u32 {
        (self.size as u32).saturating_sub(self.in_flight)
    }

    /// Records that a start order was sent.
    pub fn sent(&mut self) {
        self.in_flight += 1;
        self.is_limiting |= self.available() == 0;
    }

    /// Records the answer to a start order.
    pub fn answered(&mut self, sent_at: MonoMs, now: MonoMs) {
        self.leave();
        let latency = now.since(sent_at);
        if latency <= LOW_LATENCY_MS {
            self.fast_answer_at = now;
            if self.is_limiting {
                // One more for each answer doubles the window in a round trip.
                self.size = (self.size + 1.0).min(MAX_WINDOW);
            }
        } else if latency >= HIGH_LATENCY_MS {
            self.decrease(sent_at, now);
        }
    }

    /// Records that a start order got no answer.
    ///
    /// If other workers answered fast meanwhile, the worker is at fault and not the path.
    pub fn lost(&mut self, sent_at: MonoMs, now: MonoMs) {
        self.leave();
        if self.fast_answer_at < sent_at {
            self.decrease(sent_at, now);
        }
    }

    fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.is_limiting &= f64::from(self.in_flight) > self.size / 2.0;
    }

    fn decrease(&mut self, sent_at: MonoMs, now: MonoMs) {
        if sent_at >= self.decreased_at {
            self.size = (self.size * DECREASE).max(MIN_WINDOW);
            self.decreased_at = now;
        }
    }
}

/// Pause before a worker that did not answer is polled again.
const SILENT_PAUSE_MS: u64 = 150;

/// Number of silent workers up to which each is polled after [`SILENT_PAUSE_MS`].
const SILENT_POLLED_FAST: u64 = 16;

/// Longest pause before a worker that did not answer is polled again.
const MAX_SILENT_PAUSE_MS: u64 = 1_500;

/// Pause before a worker that did not answer is polled again.
///
/// It grows with the number of such workers, so that up to 160 of them together are polled about a
/// hundred times per second. More are polled more often in all, because a worker that answers again
/// has to be noticed before its lease expires.
#[must_use]
pub fn silent_poll_pause(silent_workers: usize) -> Millis {
    let pause_ms = SILENT_PAUSE_MS * silent_workers as u64 / SILENT_POLLED_FAST;
    Millis(pause_ms.clamp(SILENT_PAUSE_MS, MAX_SILENT_PAUSE_MS))
}

/// Shortest pause between two appends of progress.
const MIN_SAVE_PAUSE_MS: u64 = 20;

/// Longest pause between two appends of progress.
const MAX_SAVE_PAUSE_MS: u64 = 250;

/// Share of the link that appends of progress may take.
const SAVE_LINK_SHARE: f64 = 0.1;

/// Time that an append may take on the link, in milliseconds; less than half of the time limit of a call.
const APPEND_TRANSFER_MS: usize = 500;

/// Largest size of an append on any link.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// Smallest limit of an append, which a few records take.
const MIN_APPEND_BYTES: usize = 1_000;

/// Largest size of an append in bytes, on a link of the given bandwidth.
#[must_use]
pub fn append_bytes(link_kbps: u32) -> usize {
    let transferred = (link_kbps as usize).saturating_mul(APPEND_TRANSFER_MS) / 8;
    transferred.clamp(MIN_APPEND_BYTES, MAX_APPEND_BYTES)
}

/// Pause after an append of progress of the given size, on a link of the given bandwidth.
///
/// A longer pause covers more runs with one record, since a workflow's progress is stored whole.
#[must_use]
pub fn save_pause(bytes: usize, link_kbps: u32) -> Millis {
    let sending_ms = bytes as f64 * 8.0 / f64::from(link_kbps.max(1));
    let pause_ms = (sending_ms / SAVE_LINK_SHARE) as u64;
    Millis(pause_ms.clamp(MIN_SAVE_PAUSE_MS, MAX_SAVE_PAUSE_MS))
}
