//! Pacing (CPU throttling) of best-effort runs beside long-running tasks.
//!
//! Every report contains the tail latencies of the long-running tasks. Together
//! with the learned interference weights they give each task's headroom: how much
//! best-effort work it tolerates within its target. Runs that interfere least per
//! processor get their share first, and the others are paced to what remains. If
//! a tail exceeds its target nevertheless, the runs known to interfere with it are
//! halted regardless of the model, and all best-effort runs if that is not enough.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    delegation::Report,
};

use super::{
    Order, Phase, Scheduler, TaskKey, Worker, WorkerKey,
    interference::{ImageId, Neighbour, expected_load},
    job::FULL_PACE,
    placement::Candidates,
};

/// Time between two changes of pace on one worker: the window of the reported tail plus its delay.
const PACE_INTERVAL_MS: Millis = Millis(600);

/// Age from which a run's interference shows in a tail, and the time between two observations.
const OBSERVATION_DELAY_MS: Millis = Millis(500);

/// Margin for a rise of the load until the next change of pace.
const LOAD_MARGIN: f64 = 0.05;

/// Margin for a rise of the load while a newly placed task runs, which takes seconds.
const PLACEMENT_LOAD_MARGIN: f64 = 0.1;

/// Fraction of the target utilisation up to which best-effort work is allowed.
const UTILISATION_LIMIT: f64 = 0.93;

/// Time above the target after which all best-effort runs on a worker are halted.
///
/// Two reports after the first reaction, and well below the time for which a
/// long-running task may exceed its target.
const HALT_ALL_AFTER_MS: Millis = Millis(1_200);

/// Tail, as a fraction of the target, from which a worker gets no more best-effort tasks.
const TAIL_LIMIT: f64 = 0.95;

/// Smallest change of pace that is worth an order, in percent.
const MIN_CHANGE_PERCENT: u8 = 15;

/// Pace below which a run is halted.
const MIN_PACE_PERCENT: f64 = 15.0;

/// Time after which a halted run with checkpoints is moved to another worker.
const MOVE_HALTED_AFTER_MS: Millis = Millis(300);

/// Time after which a halted run without checkpoints is restarted on another worker.
const RESTART_HALTED_AFTER_MS: Millis = Millis(1_500);

/// Long-running task with its headroom.
struct LongRunningTask {
    image: ImageId,
    /// Relative increase of its utilisation that best-effort work may cause.
    headroom: f64,
    /// Tail latency as a fraction of its target.
    tail: f64,
}

/// Remaining headroom of the long-running tasks of one image on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    pub(super) image: ImageId,
    /// Negative infinity while a tail is at or above [`TAIL_LIMIT`].
    remaining: f64,
}

/// Best-effort run on a worker.
struct BestEffortRun {
    key: TaskKey,
    neighbour: Neighbour,
    pace: u8,
}

impl Scheduler {
    /// Updates the interference model from a report.
    pub(super) fn learn(&mut self, key: WorkerKey, report: &Report, now: MonoMs) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if report.running.is_empty() || now < worker.learned_at + OBSERVATION_DELAY_MS {
            return;
        }
        worker.learned_at = now;
        let worker = &self.workers[key];
        let neighbours = self.neighbours(worker, now);
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        for task in tasks {
            if let Some((image, tail)) = self.tail(&self.workers[key], task) {
                let step = self.jobs[task.job].step_state(task);
                let load = self
                    .interference
                    .observe(image, step.load, tail, &neighbours);
                step.load = Some(load);
            }
        }
    }

    /// Image and relative tail of a long-running task that is at work.
    fn tail(&self, worker: &Worker, key: TaskKey) -> Option<(ImageId, f64)> {
        let job = &self.jobs[key.job];
        let step = job.step(key);
        let at_work = job.task(key)?.percent == 100;
        let measurement = worker.tasks.get(&key)?.measurement;
        let is_observable = step.target_ms > 0 && at_work && measurement > 0;
        is_observable.then(|| (job.image(key), measurement as f64 / step.target_ms as f64))
    }

    /// Best-effort runs whose interference shows in the tails, with the processors that they use.
    fn neighbours(&self, worker: &Worker, now: MonoMs) -> Vec<Neighbour> {
        let visible = |key: TaskKey| {
            let task = self.jobs[key.job].task(key);
            task.is_some_and(|task| match task.phase {
                Phase::Running { since, .. } => now.since(since) >= OBSERVATION_DELAY_MS,
                Phase::Stopping { .. } => true,
                _ => false,
            })
        };
        let runs = worker
            .tasks
            .iter()
            .filter(|(key, task)| task.best_effort && visible(**key));
        let neighbours = runs.map(|(&key, assigned)| Neighbour {
            image: self.jobs[key.job].image(key),
            share: cpu_share(assigned.measurement, worker),
        });
        neighbours.collect()
    }

    /// Long-running tasks on a worker, with their headroom after a load rise of `load_margin`.
    fn long_running(&self, worker: &Worker, load_margin: f64) -> Vec<LongRunningTask> {
        let long_running = worker.tasks.iter().filter_map(|(&key, assigned)| {
            let job = &self.jobs[key.job];
            let target_ms = job.step(key).target_ms;
            if target_ms == 0 {
                return None;
            }
            let image = job.image(key);
            let load = expected_load(job.load(key)) + load_margin;
            let limit = self.interference.target_utilisation(image) * UTILISATION_LIMIT;
            Some(LongRunningTask {
                headroom: (limit / load - 1.0).max(0.0),
                tail: assigned.measurement as f64 / target_ms as f64,
                image,
            })
        });
        long_running.collect()
    }

    /// Best-effort runs on a worker at their full demand.
    fn best_effort_runs(&self, worker: &Worker) -> Vec<BestEffortRun> {
        let best_effort = worker
            .tasks
            .iter()
            .filter(|(_, assigned)| assigned.best_effort);
        let runs = best_effort.filter_map(|(&key, assigned)| {
            let job = &self.jobs[key.job];
            Some(BestEffortRun {
                key,
                neighbour: Neighbour {
                    image: job.image(key),
                    share: cpu_share(assigned.demand.cpu_milli, worker),
                },
                pace: job.task(key)?.pace,
            })
        });
        runs.collect()
    }

    /// Headroom that the current best-effort runs on a worker leave, by long-running image.
    pub(super) fn headroom(&self, worker: &Worker) -> Vec<Headroom> {
        if worker.long_running_cpu_milli == 0 {
            return Vec::new();
        }
        let present = self.best_effort_runs(worker);
        let present: Vec<Neighbour> = present.into_iter().map(|run| run.neighbour).collect();
        let mut headroom: Vec<Headroom> = Vec::new();
        for task in self.long_running(worker, PLACEMENT_LOAD_MARGIN) {
            let increase = self.interference.utilisation_increase(task.image, &present);
            let remaining = match task.tail >= TAIL_LIMIT {
                true => f64::NEG_INFINITY,
                false => task.headroom - increase,
            };
            match headroom.iter_mut().find(|known| known.image == task.image) {
                Some(known) => known.remaining = known.remaining.min(remaining),
                None => headroom.push(Headroom {
                    image: task.image,
                    remaining,
                }),
            }
        }
        headroom
    }

    /// Fraction of its demand that another best-effort task could use.
    pub(super) fn usable_fraction(&self, headroom: &[Headroom], added: ImageId, share: f64) -> f64 {
        if headroom
            .iter()
            .any(|headroom| headroom.remaining == f64::NEG_INFINITY)
        {
            return 0.0;
        }
        let parts = headroom.iter().map(|headroom| {
            let needed = self.interference.weight(added, headroom.image) * share;
            granted_fraction(needed, headroom.remaining)
        });
        parts.fold(1.0, f64::min)
    }

    /// Orders changes of pace.
    pub(super) fn adjust_paces(&mut self, now: MonoMs) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let worker = &self.workers[key];
            // A tail above its target calls for more after a time, also without another report.
            let is_due = worker.pace_due || worker.is_over_target();
            if is_due && worker.best_effort_cpu_milli > 0 {
                self.pace_worker(key, now);
            }
        }
    }

    fn pace_worker(&mut self, key: WorkerKey, now: MonoMs) {
        let worker = &self.workers[key];
        if worker
            .reported_at
            .is_none_or(|at| at < worker.paced_at + PACE_INTERVAL_MS)
        {
            return;
        }
        self.work.checked_runs += worker.tasks.len() as u64;
        let long_running = self.long_running(worker, LOAD_MARGIN);
        let runs = self.best_effort_runs(worker);
        let mut paces = self.allocate_paces(&long_running, &runs);
        self.resume_one(&long_running, &runs, &mut paces);
        let over_target: Vec<&LongRunningTask> =
            long_running.iter().filter(|task| task.tail > 1.0).collect();
        let since = match over_target.is_empty() {
            true => None,
            false => Some(worker.over_target_since.unwrap_or(now)),
        };
        let halt_all = since.is_some_and(|since| now.since(since) >= HALT_ALL_AFTER_MS);
        for task in over_target {
            self.halt_interfering(task, &runs, &mut paces, halt_all);
        }
        self.workers[key].over_target_since = since;
        self.workers[key].pace_due = false;
        let mut changed = false;
        for (run, pace) in runs.iter().zip(paces) {
            changed |= self.set_pace(key, run, pace, now);
        }
        if changed {
            self.workers[key].paced_at = now;
        }
    }

    /// Pace of each best-effort run such that the long-running tasks tolerate all of them together.
    fn allocate_paces(&self, long_running: &[LongRunningTask], runs: &[BestEffortRun]) -> Vec<u8> {
        let worst_weight = |run: &BestEffortRun| {
            let weights = long_running
                .iter()
                .map(|task| self.interference.weight(run.neighbour.image, task.image));
            weights.fold(0.0, f64::max)
        };
        let mut order: Vec<usize> = (0..runs.len()).collect();
        order.sort_by(|&a, &b| worst_weight(&runs[a]).total_cmp(&worst_weight(&runs[b])));
        let mut remaining: Vec<f64> = long_running.iter().map(|task| task.headroom).collect();
        let mut paces = vec![FULL_PACE; runs.len()];
        for index in order {
            let neighbour = &runs[index].neighbour;
            let needed: Vec<f64> = long_running
                .iter()
                .map(|task| self.interference.weight(neighbour.image, task.image) * neighbour.share)
                .collect();
            let parts = needed
                .iter()
                .zip(&remaining)
                .map(|(needed, remaining)| granted_fraction(*needed, *remaining));
            let part = parts.fold(1.0, f64::min);
            let percent = part * f64::from(FULL_PACE);
            let percent = if percent < MIN_PACE_PERCENT {
                0.0
            } else {
                percent
            };
            paces[index] = percent as u8;
            for (remaining, needed) in remaining.iter_mut().zip(needed) {
                *remaining -= needed * percent / f64::from(FULL_PACE);
            }
        }
        paces
    }

    /// Resumes at most one halted run with known interference, the one that was halted first.
    ///
    /// If several resumed together, the following tails could not tell them apart.
    fn resume_one(
        &self,
        long_running: &[LongRunningTask],
        runs: &[BestEffortRun],
        paces: &mut [u8],
    ) {
        let is_interfering = |run: &BestEffortRun| {
            let neighbour = &run.neighbour;
            long_running
                .iter()
                .any(|task| self.interference.weight(neighbour.image, task.image) > 0.0)
        };
        let resumed =
            |(run, pace): (&BestEffortRun, &u8)| run.pace == 0 && *pace > 0 && is_interfering(run);
        let halted_at = |run: &BestEffortRun| {
            let task = self.jobs[run.key.job].task(run.key);
            task.and_then(|task| task.halted_at)
        };
        let pairs = runs.iter().zip(paces.iter()).enumerate();
        let resumed: Vec<usize> = pairs
            .filter(|(_, pair)| resumed(*pair))
            .map(|(i, _)| i)
            .collect();
        let first = resumed
            .iter()
            .copied()
            .min_by_key(|&index| halted_at(&runs[index]));
        for index in resumed.into_iter().filter(|&index| Some(index) != first) {
            paces[index] = 0;
        }
    }

    /// Halts runs known to interfere with a long-running task; if none is known, halves all paces.
    ///
    /// With `all`, halts every run.
    fn halt_interfering(
        &self,
        task: &LongRunningTask,
        runs: &[BestEffortRun],
        paces: &mut [u8],
        all: bool,
    ) {
        let known: Vec<bool> = runs
            .iter()
            .map(|run| self.interference.weight(run.neighbour.image, task.image) > 0.0)
            .collect();
        let any_known = known.contains(&true);
        for ((run, pace), known) in runs.iter().zip(paces).zip(known) {
            if known || all {
                *pace = 0;
            } else if !any_known {
                *pace = (*pace).min(run.pace / 2);
            }
        }
    }

    fn set_pace(
        &mut self,
        worker: WorkerKey,
        best_effort: &BestEffortRun,
        percent: u8,
        now: MonoMs,
    ) -> bool {
        let key = best_effort.key;
        let name = self.name(key);
        let task = self.jobs[key.job].task_mut(key);
        let is_negligible = percent.abs_diff(task.pace) < MIN_CHANGE_PERCENT
            && percent != 0
            && percent != FULL_PACE;
        let is_in_force = !task.pace_unknown && (task.pace == percent || is_negligible);
        if !matches!(task.phase, Phase::Running { .. }) || is_in_force {
            return false;
        }
        task.pace = percent;
        task.pace_unknown = false;
        task.halted_at = (percent == 0).then_some(now);
        let run = task.run;
        if percent == 0 {
            self.workers[worker].has_halted = true;
        }
        self.orders.push(Order::Pace {
            worker,
            task: name,
            run,
            percent,
        });
        true
    }

    /// Stops halted runs that could continue on another worker.
    pub(super) fn move_halted(&mut self, candidates: &mut Candidates, now: MonoMs) {
        let mut halted = Vec::new();
        let mut checked_runs = 0;
        for (worker_key, worker) in &mut self.workers {
            if !worker.has_halted {
                continue;
            }
            checked_runs += worker.tasks.len() as u64;
            let is_halted = |key: &TaskKey| {
                let task = self.jobs[key.job].task(*key);
                task.is_some_and(|task| task.halted_at.is_some())
            };
            worker.has_halted = worker.tasks.keys().any(is_halted);
            let best_effort = worker
                .tasks
                .iter()
                .filter(|(_, assigned)| assigned.best_effort);
            halted.extend(best_effort.filter_map(|(&key, _)| {
                let job = &self.jobs[key.job];
                let task = job.task(key)?;
                let delay = match job.step(key).checkpointed {
                    true => MOVE_HALTED_AFTER_MS,
                    false => RESTART_HALTED_AFTER_MS,
                };
                let is_due = task.halted_at.is_some_and(|at| now.since(at) >= delay);
                let running = matches!(task.phase, Phase::Running { .. });
                (is_due && running).then_some((key, worker_key))
            }));
        }
        self.work.checked_runs += checked_runs;
        for (key, worker) in halted {
            let Some(queue) = self.queue(&self.jobs[key.job].spec.queue).cloned() else {
                continue;
            };
            let elsewhere = self.choose(candidates, key, &queue.pool, None);
            if elsewhere.is_some_and(|elsewhere| elsewhere != worker) && !self.is_above_cap(key) {
                self.jobs[key.job].task_mut(key).failed_on = Some(worker);
                self.stop(key);
            }
        }
    }
}

/// Fraction of `needed` that `remaining` covers.
fn granted_fraction(needed: f64, remaining: f64) -> f64 {
    if needed <= f64::EPSILON {
        return 1.0;
    }
    (remaining / needed).clamp(0.0, 1.0)
}

/// Share of a worker's processors.
pub(super) fn cpu_share(cpu_milli: u64, worker: &Worker) -> f64 {
    cpu_milli as f64 / worker.listing.capacity.cpu_milli.max(1) as f64
}
