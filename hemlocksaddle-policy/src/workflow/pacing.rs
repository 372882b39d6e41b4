//! Pacing of best-effort tasks beside lasting tasks that exceed their target.
//!
//! A lasting task reports the tail of its response times, roughly and with a lag.
//! Best-effort tasks beside it are slowed at once when it exceeds its target and
//! let go step by step once it is well below.

use foldhash::HashMap;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::Step,
};

use super::{Board, Order, Phase, TaskKey, Worker, WorkerKey, job::FULL_PACE};

/// Time between two changes of the pace on one worker: the window of the reported tail and its lag.
const SETTLE_MS: Millis = Millis(700);

/// Share of the target below which best-effort tasks are let go, in percent.
const RELAX_BELOW_PERCENT: u64 = 70;

/// Step by which the pace is raised, in percent.
const RAISE_PERCENT: u8 = 20;

/// Pace below which a task is halted.
const LEAST_PERCENT: u8 = 20;

/// Cost of a worker whose lasting tasks exceed their target, as a share of its processors.
const OVER_TARGET_COST: f64 = 2.0;

/// What is known about the harm that tasks do to each other.
#[derive(Debug, Default)]
pub(super) struct Harm {
    /// Highest share of its target that a lasting task of each worker reported last.
    pressure: HashMap<WorkerKey, f64>,
}

impl Harm {
    /// Cost of another best-effort task on a worker.
    pub(super) fn cost(&self, board: &Board, worker: &Worker, _step: &Step) -> f64 {
        let key = board.by_name.get(&worker.listing.name);
        let pressure = key.and_then(|key| self.pressure.get(key)).copied();
        match pressure {
            Some(pressure) if pressure > 1.0 => OVER_TARGET_COST,
            Some(pressure) => pressure / 2.0,
            None => 0.0,
        }
    }
}

impl Board {
    /// Orders changes of pace.
    pub(super) fn pace(&mut self, now: MonoMs) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.pace_worker(key, now);
        }
    }

    fn pace_worker(&mut self, key: WorkerKey, now: MonoMs) {
        let worker = &self.workers[key];
        let pressure = self.pressure(worker);
        let reported = worker.reported_at.unwrap_or(MonoMs(0));
        let fresh = reported >= worker.paced_at + SETTLE_MS;
        let Some(pressure) = pressure else {
            self.harm.pressure.remove(&key);
            return;
        };
        self.harm.pressure.insert(key, pressure);
        if !fresh {
            return;
        }
        let relaxed = pressure * 100.0 < RELAX_BELOW_PERCENT as f64;
        if pressure <= 1.0 && !relaxed {
            return;
        }
        let mut changed = false;
        for task in self.best_effort_tasks(key) {
            changed |= self.change_pace(key, task, pressure > 1.0);
        }
        if changed {
            self.workers[key].paced_at = now;
        }
    }

    /// Highest share of its target that a lasting task on the worker reports.
    fn pressure(&self, worker: &Worker) -> Option<f64> {
        let shares = worker.tasks.iter().filter_map(|(&key, assigned)| {
            let target_ms = self.jobs[key.job].step(key).target_ms;
            (target_ms > 0).then(|| assigned.figure as f64 / target_ms as f64)
        });
        shares.reduce(f64::max)
    }

    fn best_effort_tasks(&self, key: WorkerKey) -> Vec<TaskKey> {
        let tasks = self.workers[key].tasks.iter();
        let best_effort = tasks.filter(|(_, assigned)| assigned.best_effort);
        best_effort.map(|(&task, _)| task).collect()
    }

    fn change_pace(&mut self, worker: WorkerKey, key: TaskKey, slow_down: bool) -> bool {
        let name = self.name(key);
        let task = self.jobs[key.job].task_mut(key);
        if !matches!(task.phase, Phase::Running { .. }) {
            return false;
        }
        let pace = match slow_down {
            true if task.pace / 2 < LEAST_PERCENT => 0,
            true => task.pace / 2,
            false => (task.pace + RAISE_PERCENT).min(FULL_PACE),
        };
        if pace == task.pace {
            return false;
        }
        task.pace = pace;
        let run = task.run;
        self.orders.push(Order::Pace {
            worker,
            task: name,
            run,
            percent: pace,
        });
        true
    }
}
