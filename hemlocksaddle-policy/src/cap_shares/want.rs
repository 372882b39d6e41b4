//! When a shard reports that a tenant is held back.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
};

use super::Want;

/// Time for which a tenant is held back before this is reported; shorter shortages end by themselves.
const REPORT_AFTER_MS: Millis = Millis(1_000);

/// Time without a shortage after which the report is withdrawn: tasks that start and end together leave gaps.
const WITHDRAW_AFTER_MS: Millis = Millis(3_000);

/// Shortest time between two changes of a report.
const CHANGE_INTERVAL_MS: Millis = Millis(2_000);

/// Change of an amount that is reported, as a divisor of the reported one.
const CHANGE_DIVISOR: u64 = 4;

/// Report of what a tenant wants in a shard, which changes seldom.
#[derive(Clone, Debug, Default)]
pub struct WantReport {
    reported: Option<Want>,
    changed_at: MonoMs,
    /// First and latest time of the present shortage; both lie within gaps of `WITHDRAW_AFTER_MS`.
    shortage: Option<(MonoMs, MonoMs)>,
}

impl WantReport {
    /// Takes note of the present want; returns what is to be reported.
    pub fn update(&mut self, now: MonoMs, want: Option<Want>) -> Option<Want> {
        let ongoing = self
            .shortage
            .filter(|&(_, latest)| now.since(latest) < WITHDRAW_AFTER_MS);
        self.shortage = match (ongoing, &want) {
            (Some((first, _)), Some(_)) => Some((first, now)),
            (None, Some(_)) => Some((now, now)),
            (ongoing, None) => ongoing,
        };
        let is_due = match (&self.reported, &want) {
            (None, None) => false,
            (None, Some(_)) => self
                .shortage
                .is_some_and(|(first, _)| now.since(first) >= REPORT_AFTER_MS),
            (Some(_), None) => self.shortage.is_none(),
            (Some(reported), Some(want)) => {
                now.since(self.changed_at) >= CHANGE_INTERVAL_MS && differs(reported, want)
            }
        };
        if is_due {
            self.reported = want;
            self.changed_at = now;
        }
        self.reported
    }
}

fn differs(reported: &Want, want: &Want) -> bool {
    let is_far = |reported: u64, now: u64| reported.abs_diff(now) > reported / CHANGE_DIVISOR;
    let far = |a: &Resources, b: &Resources| {
        is_far(a.cpu_milli, b.cpu_milli)
            || is_far(a.memory_mb, b.memory_mb)
            || is_far(a.accelerators, b.accelerators)
    };
    reported.unit != want.unit || far(&reported.total, &want.total)
}
