//! Choice of a worker for a task.
//!
//! Tasks that reserve processors go where the smallest share is committed, which
//! keeps room for wide steps on many workers and spreads the load that tasks put
//! on each other. Best-effort tasks go where most processors are idle.

use hemlocksaddle_types::{clock::MonoMs, resources::Resources, workflow::Step};

use super::{Board, TaskKey, Worker, WorkerKey};

/// Share of a reservation that a lasting task uses on average, in percent.
///
/// Best-effort tasks may request what is left; a worker where they get less than
/// they request slows them, and the next ones go elsewhere.
const RESERVED_USE_PERCENT: u64 = 100;

/// Penalty of a worker outside the rack of the data, as a share of its processors.
const FAR_PENALTY: f64 = 0.5;

/// Penalty of the worker where the task has just failed.
const FAILED_PENALTY: f64 = 4.0;

impl Worker {
    /// Whether new tasks may be started on it.
    pub(super) fn is_usable(&self, now: MonoMs) -> bool {
        self.listed
            && self.rostered
            && !self.listing.draining
            && !self.silent
            && self.reported_at.is_some()
            && now >= self.suspended_until
    }

    /// Processors that neither reservations nor best-effort tasks use, in thousandths of a core.
    pub(super) fn idle_cpu_milli(&self) -> u64 {
        let used = self.committed.cpu_milli * RESERVED_USE_PERCENT / 100;
        let free = self.listing.capacity.cpu_milli.saturating_sub(used);
        free.saturating_sub(self.best_effort_cpu_milli)
    }

    fn fits(&self, step: &Step) -> bool {
        if !step.best_effort {
            return step.demand.fits_in(&self.free());
        }
        let free = self.free();
        let reserved = Resources {
            cpu_milli: 0,
            ..step.demand
        };
        reserved.fits_in(&free) && step.demand.cpu_milli <= self.idle_cpu_milli()
    }

    fn has_label(&self, step: &Step) -> bool {
        let labels = &self.listing.labels;
        step.required_label
            .as_ref()
            .is_none_or(|label| labels.contains(label))
    }
}

impl Board {
    /// Workers that may get tasks now.
    pub(super) fn usable(&self, now: MonoMs) -> Vec<WorkerKey> {
        let usable = self.workers.iter().filter(|(_, worker)| {
            worker.is_usable(now) && !self.closed.contains(&worker.listing.data_centre)
        });
        usable.map(|(key, _)| key).collect()
    }

    /// Best worker for a task, or `None` if it fits nowhere now.
    pub(super) fn choose(
        &self,
        usable: &[WorkerKey],
        key: TaskKey,
        pool: &str,
        rack: Option<&str>,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key.job];
        let step = job.step(key);
        let task = job.task(key)?;
        let candidates = usable.iter().filter_map(|&worker_key| {
            let worker = &self.workers[worker_key];
            let allowed = *worker.listing.pool == *pool
                && worker.has_label(step)
                && worker.fits(step)
                && rack.is_none_or(|rack| worker.listing.rack().is_some_and(|of| **of == *rack))
                && self.below_limit(worker, key, step);
            allowed.then(|| {
                let mut cost = self.cost(worker, step);
                if task.failed_on == Some(worker_key) {
                    cost += FAILED_PENALTY;
                }
                (worker_key, cost)
            })
        });
        let best = candidates.min_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(worker, _)| worker)
    }

    fn below_limit(&self, worker: &Worker, key: TaskKey, step: &Step) -> bool {
        if step.max_per_worker == 0 {
            return true;
        }
        let same = worker.tasks.keys().filter(|other| {
            other.job == key.job && other.occurrence == key.occurrence && other.step == key.step
        });
        same.count() < step.max_per_worker as usize
    }

    fn cost(&self, worker: &Worker, step: &Step) -> f64 {
        let capacity = worker.listing.capacity.cpu_milli.max(1) as f64;
        let far = step
            .data_rack
            .as_ref()
            .is_some_and(|rack| worker.listing.rack() != Some(rack));
        let far = if far { FAR_PENALTY } else { 0.0 };
        if step.best_effort {
            let idle = worker.idle_cpu_milli() as f64 / capacity;
            return far - idle + self.harm.cost(self, worker, step);
        }
        let used = (worker.committed.cpu_milli + step.demand.cpu_milli) as f64 / capacity;
        far + used
    }
}
