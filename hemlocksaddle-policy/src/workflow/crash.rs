//! Crashes of workers and the runs that were lost with them.
//!
//! A worker that answers as a later process has crashed, and its runs ended with it.
//! How long the worker lived after the start of a run is measured between readings
//! of the worker's own clock, so that slow answers do not distort it.

use std::sync::Arc;

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::{Run, TaskName},
};

use super::{Scheduler, TaskKey, Worker, WorkerKey};

/// Crash of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Name of the worker's incarnation.
    pub worker: Arc<str>,
    /// Time from the first unanswered call to the discovery of the new incarnation.
    pub silent: Millis,
    /// Runs that were lost.
    pub runs: Vec<LostRun>,
}

/// Run that was lost when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// Name of the task.
    pub task: TaskName,
    /// Run that was lost.
    pub run: Run,
    /// Time for which the worker is known to have lived after the start of the run.
    pub survived: Millis,
}

impl Worker {
    /// Time for which the worker is known to have lived after a reading of its clock.
    pub(super) fn survived(&self, started_clock_ms: Option<u64>) -> Millis {
        let survived_ms = started_clock_ms.map_or(0, |ms| self.clock_ms.saturating_sub(ms));
        Millis(survived_ms)
    }
}

impl Scheduler {
    /// Records a reading of a worker's clock.
    pub fn record_clock(&mut self, key: WorkerKey, clock_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.clock_ms = worker.clock_ms.max(clock_ms);
        }
    }

    /// Removes a worker whose process was replaced by a later one, with all its runs.
    pub fn worker_replaced(&mut self, key: WorkerKey, now: MonoMs) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let is_new = worker.reported_at.is_none() && worker.tasks.is_empty();
        if worker.listing.draining || is_new {
            // It left as announced, or its crash is known and only its listing is out of date.
            self.remove_worker(key);
            return;
        }
        let lost_run = |&key: &TaskKey| {
            let task = self.jobs[key.job].task(key);
            LostRun {
                task: self.name(key),
                run: task.map_or(Run(0), |task| task.run),
                survived: worker.survived(task.and_then(|task| task.started_clock_ms)),
            }
        };
        let mut runs: Vec<LostRun> = worker.tasks.keys().map(lost_run).collect();
        runs.sort_by_key(|run| run.survived);
        let silent = worker
            .silent_since
            .map_or(Millis(0), |since| now.since(since));
        self.crashes.push(Crash {
            worker: worker.listing.name.clone(),
            silent,
            runs,
        });
        self.remove_worker(key);
    }

    /// Takes the crashes since the last call, for the log.
    #[must_use]
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }
}
