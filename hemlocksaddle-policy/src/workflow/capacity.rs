//! Room that lasting tasks leave to short ones.
//!
//! Short tasks come in waves and hold their processors for seconds, lasting tasks
//! for minutes. A lasting task that takes what a wave has just left keeps the next
//! wave waiting, whose work is worth several times as much for each processor and
//! only while it is in time. Lasting tasks therefore take only what short tasks
//! have not used for a while. Where they have waited for long and there is room
//! for two, they take it all the same.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::Step,
};

use super::{Scheduler, Worker};

/// Time for which short tasks keep a claim on the processors that they used: a usual run and the way to the next.
const PEAK_WINDOW_MS: Millis = Millis(1_500);

/// Time after which a lasting task takes any room that there is for two of it.
///
/// A second below the three for which the platform lets a task with room for two wait.
const RELAX_AFTER_MS: Millis = Millis(2_000);

/// Largest value of the last while, exact to half of it.
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
    /// Whether a lasting task takes nothing that short tasks have used lately.
    pub(super) fn fits_outside_recent_peak(&self, cpu_milli: u64) -> bool {
        let reserved = self.long_running_cpu_milli + self.short_task_peak.get();
        reserved + cpu_milli <= self.listing.capacity.cpu_milli
    }
}

impl Scheduler {
    /// Notes what short tasks use now.
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

/// Room that the tasks of a step may take; in the order in which steps are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CapacityRule {
    /// Whatever is free.
    Any,
    /// Whatever is free, where that is enough for two.
    FitsTwo,
    /// What short tasks have not used lately.
    OutsideRecentPeak,
}

impl CapacityRule {
    /// Room for a step of which a task waits.
    pub(super) fn for_step(step: &Step, waiting_since: MonoMs, now: MonoMs) -> CapacityRule {
        if !step.lasting {
            CapacityRule::Any
        } else if now.since(waiting_since) >= RELAX_AFTER_MS {
            CapacityRule::FitsTwo
        } else {
            CapacityRule::OutsideRecentPeak
        }
    }
}
