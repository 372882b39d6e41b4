//! Capacity that long-running tasks leave free for short ones.
//!
//! Short tasks arrive in waves and hold their processors for seconds, long-running
//! tasks for minutes. A long-running task that takes capacity just released by a
//! wave delays the next wave, whose work is worth several times as much per
//! processor, but only if it completes in time. Long-running tasks are therefore
//! limited to capacity outside the recent peak of short tasks. After a long wait
//! they may start anyway, provided that two of them would fit. The `overdue` module
//! serves them before short tasks where these wait without a pause.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::Step,
};

use super::{Scheduler, Worker};

/// Window of the peak usage of short tasks: a typical run and the gap until the next.
const PEAK_WINDOW_MS: Millis = Millis(1_500);

/// Waiting time after which a long-running task may use any capacity that fits two of it.
///
/// One second below the platform's limit of 3 s on the wait of a task while two such tasks would
/// fit.
pub(super) const RELAX_AFTER_MS: Millis = Millis(2_000);

/// Maximum over a sliding window of about [`PEAK_WINDOW_MS`], kept in two buckets of half a window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentPeak {
    value: u64,
    earlier: u64,
    since: MonoMs,
}

impl RecentPeak {
    fn record(&mut self, value: u64, now: MonoMs) {
        let half = Millis(PEAK_WINDOW_MS.0 / 2);
        let passed = now.since(self.since);
        if passed >= half {
            self.earlier = if passed >= PEAK_WINDOW_MS {
                value
            } else {
                self.value
            };
            self.value = value;
            self.since = now;
        }
        self.value = self.value.max(value);
    }

    fn get(&self) -> u64 {
        self.value.max(self.earlier)
    }
}

impl Worker {
    /// Whether a long-running task fits beside the recent peak of short tasks.
    pub(super) fn fits_outside_recent_peak(&self, cpu_milli: u64) -> bool {
        let reserved = self.long_running_cpu_milli + self.short_task_peak.get();
        reserved + cpu_milli <= self.listing.capacity.cpu_milli
    }
}

impl Scheduler {
    /// Records the CPU that short tasks reserve on each worker now.
    pub(super) fn record_short_task_usage(&mut self, now: MonoMs) {
        for worker in self.workers.values_mut() {
            let short = worker
                .committed
                .cpu_milli
                .saturating_sub(worker.long_running_cpu_milli);
            worker.short_task_peak.record(short, now);
        }
    }
}

/// Capacity that the tasks of a step may use, in the order in which steps are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CapacityRule {
    /// Any free capacity.
    Any,
    /// Any free capacity, if two tasks of the step would fit.
    FitsTwo,
    /// Only capacity outside the recent peak of short tasks.
    OutsideRecentPeak,
}

impl CapacityRule {
    /// Rule for a step with a task that has waited since `waiting_since`.
    pub(super) fn for_step(step: &Step, waiting_since: MonoMs, now: MonoMs) -> CapacityRule {
        if !step.long_running {
            CapacityRule::Any
        } else if now.since(waiting_since) >= RELAX_AFTER_MS {
            CapacityRule::FitsTwo
        } else {
            CapacityRule::OutsideRecentPeak
        }
    }
}
