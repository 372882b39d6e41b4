//! Estimated ends of runs.
//!
//! Callers declare the run time of a step, and may be wrong by a factor of two either
//! way. The ratio of actual to declared run times is therefore learned by image and
//! queue, with its mean deviation, as round trips are estimated in network protocols.
//! The progress that a run reports replaces this estimate step by step. A run that is
//! later than estimated is expected to be late by as much again, so that a run which
//! hangs counts less the longer it hangs. A new owner starts with the declared times.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::clock::{Millis, MonoMs};

use super::{Phase, Scheduler, TaskKey, interference::ImageId};

/// Weight of a new observation in the mean of the ratio.
const MEAN_GAIN: f64 = 0.125;

/// Weight of a new observation in the mean deviation of the ratio.
const DEVIATION_GAIN: f64 = 0.25;

/// Deviations within which a run is taken as certain to end.
///
/// A ratio that is spread evenly between half and twice the declared time deviates by 0.4 on average
/// and by no more than 0.8 from its middle.
const CERTAIN_DEVIATIONS: f64 = 2.0;

/// Ratio before the first observation: the declared time, wrong by up to a factor of two.
const UNKNOWN_RATIO: Ratio = Ratio {
    mean: 1.0,
    deviation: 0.5,
};

/// Largest ratio that an observation counts as, so that one hung run does not spoil the estimate.
const MAX_RATIO: f64 = 8.0;

/// Maximum number of learned ratios; all are dropped when there are more.
const MAX_RATIOS: usize = 1_024;

/// Progress in percent from which a run's own speed counts.
const MIN_PROGRESS_PERCENT: u8 = 10;

/// Progress in percent from which only a run's own speed counts.
const FULL_PROGRESS_PERCENT: u8 = 50;

/// Ratio of actual to declared run times.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    mean: f64,
    deviation: f64,
}

impl Ratio {
    fn observe(&mut self, ratio: f64) {
        let difference = ratio - self.mean;
        self.mean += difference * MEAN_GAIN;
        self.deviation += (difference.abs() - self.deviation) * DEVIATION_GAIN;
    }
}

/// Learned ratios of actual to declared run times.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    ratios: HashMap<(Arc<str>, ImageId), Ratio>,
}

/// Run time in milliseconds, with the error that it may have.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    expected_ms: f64,
    error_ms: f64,
}

impl Estimate {
    /// Mean of two estimates; `weight` is that of the other one.
    fn mix(self, other: Estimate, weight: f64) -> Estimate {
        let mean = |a: f64, b: f64| a * (1.0 - weight) + b * weight;
        Estimate {
            expected_ms: mean(self.expected_ms, other.expected_ms),
            error_ms: mean(self.error_ms, other.error_ms),
        }
    }
}

impl Scheduler {
    /// Learns from a run that completes.
    pub(super) fn observe_run_time(&mut self, key: TaskKey, now: MonoMs) {
        let job = &self.jobs[key.job];
        let step = job.step(key);
        let is_timed = !step.long_running && !step.best_effort && step.expected_run_ms > 0;
        let task = job.task(key).filter(|task| task.adopted_percent.is_none());
        let Some(task) = task.filter(|_| is_timed && self.learns_run_times()) else {
            return;
        };
        let ratio = now.since(task.ordered_at).0 as f64 / step.expected_run_ms as f64;
        let kind = (job.spec.queue.clone(), job.image(key));
        let ratios = &mut self.run_times.ratios;
        if ratios.len() == MAX_RATIOS && !ratios.contains_key(&kind) {
            ratios.clear();
        }
        let known = ratios.entry(kind).or_insert(UNKNOWN_RATIO);
        known.observe(ratio.min(MAX_RATIO));
    }

    fn learns_run_times(&self) -> bool {
        self.limits.reservations || self.copies.is_on()
    }

    /// Run time that is expected of a task, and its mean deviation.
    pub(super) fn typical_run(&self, key: TaskKey) -> Option<(Millis, Millis)> {
        let time = self.run_time(key)?;
        let deviation_ms = time.error_ms / CERTAIN_DEVIATIONS;
        Some((whole(time.expected_ms), whole(deviation_ms)))
    }

    /// Run time of a task that is started now; `None` if it runs until it is stopped or declared none.
    fn run_time(&self, key: TaskKey) -> Option<Estimate> {
        let job = &self.jobs[key.job];
        let step = job.step(key);
        if step.long_running || step.best_effort || step.expected_run_ms == 0 {
            return None;
        }
        let kind = (job.spec.queue.clone(), job.image(key));
        let ratio = self.run_times.ratios.get(&kind).unwrap_or(&UNKNOWN_RATIO);
        let declared_ms = step.expected_run_ms as f64;
        Some(Estimate {
            expected_ms: declared_ms * ratio.mean,
            error_ms: declared_ms * ratio.deviation * CERTAIN_DEVIATIONS,
        })
    }

    /// Time by which a task certainly ends that is started now.
    pub(super) fn certain_end(&self, key: TaskKey, now: MonoMs) -> Option<MonoMs> {
        let time = self.run_time(key)?;
        Some(now + whole(time.expected_ms + time.error_ms))
    }

    /// Time at which the run of an assigned task is expected to end.
    pub(super) fn expected_end(&self, key: TaskKey, now: MonoMs) -> Option<MonoMs> {
        let mut time = self.run_time(key)?;
        let task = self.jobs[key.job].task(key)?;
        let (since, from) = match task.phase {
            Phase::Running { since, .. } => (since, task.adopted_percent.unwrap_or(0)),
            _ => (task.ordered_at, 0),
        };
        let progress = task.percent.saturating_sub(from);
        if progress >= MIN_PROGRESS_PERCENT {
            let percent_ms = task.progressed_at.since(since).0 as f64 / f64::from(progress);
            let own = Estimate {
                expected_ms: percent_ms * 100.0,
                // The progress is in whole percents.
                error_ms: percent_ms * 100.0 / f64::from(progress),
            };
            let weight = f64::from(progress) / f64::from(FULL_PROGRESS_PERCENT);
            time = time.mix(own, weight.min(1.0));
        }
        let known_at = if task.percent == 0 {
            since
        } else {
            task.progressed_at
        };
        let left = f64::from(100 - task.percent.min(100)) / 100.0;
        let end_at = known_at + whole(time.expected_ms * left);
        // A run beyond its estimate is expected to be late by as much again.
        let late = now.since(end_at);
        Some(if late.0 == 0 { end_at } else { now + late })
    }
}

fn whole(ms: f64) -> Millis {
    Millis(ms.max(0.0).ceil() as u64)
}
