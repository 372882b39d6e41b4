//! Moves long-running tasks that keep best-effort work off idle processors.
//!
//! Best-effort images differ in which long-running images they interfere with. One
//! task of a sensitive image closes its worker to work that all other tasks there
//! tolerate, and long-running tasks stay for minutes. While best-effort tasks wait
//! because no worker tolerates them, such tasks are moved to workers that are
//! incompatible with this work anyway. A move costs about a second of one task; the
//! processors that it frees for best-effort work can be used until the task would have
//! ended.

use hemlocksaddle_types::{clock::Millis, clock::MonoMs, resources::Resources};

use super::{
    Phase, Scheduler, TaskKey, Worker, WorkerKey, interference::ImageId, placement::Candidates,
};

/// Minimum time between two moves, so that the effect of one shows before the next.
const CONSOLIDATION_INTERVAL_MS: Millis = Millis(300);

/// Maximum number of tasks that are moved off one worker at once.
const MAX_MOVED_TASKS: usize = 2;

/// Time after its start for which a long-running task is not moved.
const MIN_RUN_BEFORE_MOVE_MS: Millis = Millis(5_000);

/// Best-effort tasks of a step that could not be placed.
#[derive(Clone, Debug)]
pub(super) struct Blocked {
    pub(super) image: ImageId,
    pub(super) demand: Resources,
    pub(super) tasks: u32,
}

impl Scheduler {
    /// Makes a worker usable for the largest blocked best-effort work, if that takes few moves.
    pub(super) fn consolidate(&mut self, candidates: &Candidates, now: MonoMs) {
        let blocked = std::mem::take(&mut self.blocked);
        if now < self.consolidated_at + CONSOLIDATION_INTERVAL_MS {
            return;
        }
        let work = |blocked: &Blocked| blocked.demand.cpu_milli * u64::from(blocked.tasks);
        let Some(largest) = blocked.into_iter().max_by_key(work) else {
            return;
        };
        let options = candidates.keys().filter_map(|key| {
            let moved = self.tasks_to_move(key, &largest, now)?;
            let cpu_milli: u64 = moved.iter().map(|&task| self.demand(task).cpu_milli).sum();
            let elsewhere = moved.iter().all(|&task| {
                self.fits_on_incompatible_worker(candidates, key, task, largest.image)
            });
            elsewhere.then_some((cpu_milli, key, moved))
        });
        let Some((_, worker, moved)) = options.min_by_key(|(cpu_milli, ..)| *cpu_milli) else {
            return;
        };
        self.consolidated_at = now;
        for task in moved {
            self.jobs[task.job].task_mut(task).failed_on = Some(worker);
            self.stop(task);
        }
    }

    fn demand(&self, key: TaskKey) -> Resources {
        self.jobs[key.job].step(key).demand
    }

    /// Whether a worker has a long-running task that does not tolerate an image.
    fn is_incompatible(&self, worker: &Worker, image: ImageId) -> bool {
        worker.tasks.iter().any(|(key, task)| {
            task.long_running
                && self
                    .interference
                    .is_incompatible(image, self.jobs[key.job].image(*key))
        })
    }

    /// Long-running tasks that close a worker to the work; `None` if moving them would not help.
    fn tasks_to_move(&self, key: WorkerKey, work: &Blocked, now: MonoMs) -> Option<Vec<TaskKey>> {
        let worker = &self.workers[key];
        let has_capacity = worker.idle_cpu_milli() >= work.demand.cpu_milli
            && worker.free().memory_mb >= work.demand.memory_mb;
        if !has_capacity {
            return None;
        }
        let long_running = worker.tasks.iter().filter(|(_, task)| task.long_running);
        let incompatible: Vec<TaskKey> = long_running
            .filter(|(key, _)| {
                self.interference
                    .is_incompatible(work.image, self.jobs[key.job].image(**key))
            })
            .map(|(key, _)| *key)
            .collect();
        let movable = incompatible.iter().all(|&key| self.may_move(key, now));
        (movable && (1..=MAX_MOVED_TASKS).contains(&incompatible.len())).then_some(incompatible)
    }

    fn may_move(&self, key: TaskKey, now: MonoMs) -> bool {
        let job = &self.jobs[key.job];
        let long_enough = job.task(key).is_some_and(|task| {
            matches!(task.phase, Phase::Running { since, .. } if now.since(since) >= MIN_RUN_BEFORE_MOVE_MS)
        });
        let step = job.step(key);
        long_enough && step.max_unavailable.is_none() && !step.gang && !self.is_above_cap(key)
    }

    /// Whether another worker that is already incompatible with an image has capacity for a task.
    fn fits_on_incompatible_worker(
        &self,
        candidates: &Candidates,
        from: WorkerKey,
        task: TaskKey,
        image: ImageId,
    ) -> bool {
        let step = self.jobs[task.job].step(task);
        let pool = &self.workers[from].listing.pool;
        candidates.keys().any(|key| {
            let worker = &self.workers[key];
            key != from
                && worker.listing.pool == *pool
                && worker.takes(step)
                && worker.fits_outside_recent_peak(step.demand.cpu_milli)
                && self.is_incompatible(worker, image)
        })
    }
}
