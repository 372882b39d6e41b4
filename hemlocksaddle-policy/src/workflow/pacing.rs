//! Pacing of best-effort tasks beside lasting tasks.
//!
//! Every report gives the tails of the lasting tasks. From these and the learned
//! weights follows how much best-effort work each of them bears; the work that
//! harms least per processor is granted first and the rest is paced to what is
//! left. Where a tail exceeds its target all the same, the work that harms it is
//! halted without asking the model, and all of it if that was not enough.

use hemlocksaddle_types::clock::{Millis, MonoMs};

use super::{
    Board, Order, Phase, TaskKey, Worker, WorkerKey,
    harm::{Image, Neighbour, expected_load},
    job::FULL_PACE,
    placement::Candidates,
    report::Report,
};

/// Time between two changes of the pace on one worker: the window of the reported tail and its lag.
const SETTLE_MS: Millis = Millis(600);

/// Age of a run from which its harm shows in a tail.
const SHOWS_MS: Millis = Millis(500);

/// Rise of a load that is allowed for until the next change of pace.
const LOAD_RISE: f64 = 0.05;

/// Rise of a load that is allowed for when a task is placed, which runs for seconds.
const PLACED_RISE: f64 = 0.1;

/// Part of the utilisation at the target that best-effort work may lead to.
const MOST_UTILISATION: f64 = 0.93;

/// Time over the target after which all best-effort work on a worker is halted.
///
/// Two reports after the first reaction, and well below the time for which a
/// lasting task may exceed its target.
const HALT_ALL_MS: Millis = Millis(1_200);

/// Tail, as a share of the target, from which a worker gets no more best-effort work.
const FULL_TAIL: f64 = 0.95;

/// Least change of a pace that is worth an order, in percent.
const LEAST_CHANGE_PERCENT: u8 = 15;

/// Pace below which a task is halted.
const LEAST_PACE_PERCENT: f64 = 15.0;

/// Time after which a halted run with checkpoints is moved to another worker.
const MOVE_HALTED_MS: Millis = Millis(300);

/// Time after which a halted run without checkpoints is started anew on another worker.
const RESTART_HALTED_MS: Millis = Millis(1_500);

/// Lasting task with what it bears.
struct Lasting {
    image: Image,
    /// Part by which best-effort work may raise its utilisation.
    bears: f64,
    /// Tail as a share of its target.
    tail: f64,
}

/// What the lasting tasks of one image on a worker still bear.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bears {
    pub(super) image: Image,
    /// Negative infinity if a tail exceeds its target now.
    left: f64,
}

/// Best-effort run.
struct Filler {
    key: TaskKey,
    near: Neighbour,
    pace: u8,
}

impl Board {
    /// Learns from a report how best-effort tasks harm lasting ones.
    pub(super) fn learn(&mut self, key: WorkerKey, report: &Report, now: MonoMs) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if report.rows.is_empty() || now < worker.learned_at + SHOWS_MS {
            return;
        }
        worker.learned_at = now;
        let worker = &self.workers[key];
        let beside = self.beside(worker, now);
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        for task in tasks {
            if let Some((image, tail)) = self.tail(&self.workers[key], task) {
                let step = self.jobs[task.job].step_state(task);
                let load = self.harm.observe(image, step.load, tail, &beside);
                step.load = Some(load);
            }
        }
    }

    /// Image and tail of a lasting task that is at work.
    fn tail(&self, worker: &Worker, key: TaskKey) -> Option<(Image, f64)> {
        let job = &self.jobs[key.job];
        let step = job.step(key);
        let at_work = job.task(key)?.percent == 100;
        let figure = worker.tasks.get(&key)?.figure;
        let seen = step.target_ms > 0 && at_work && figure > 0;
        seen.then(|| (job.image(key), figure as f64 / step.target_ms as f64))
    }

    /// Best-effort work whose harm shows in the tails, by the processors that it uses.
    fn beside(&self, worker: &Worker, now: MonoMs) -> Vec<Neighbour> {
        let old = |key: TaskKey| {
            let task = self.jobs[key.job].task(key);
            task.is_some_and(|task| match task.phase {
                Phase::Running { since, .. } => now.since(since) >= SHOWS_MS,
                Phase::Stopping { .. } => true,
                _ => false,
            })
        };
        let runs = worker
            .tasks
            .iter()
            .filter(|(key, task)| task.best_effort && old(**key));
        let beside = runs.map(|(&key, assigned)| Neighbour {
            image: self.jobs[key.job].image(key),
            share: share(assigned.figure, worker),
        });
        beside.collect()
    }

    /// Lasting tasks on a worker with what they bear if their load rises by `rise`.
    fn lasting(&self, worker: &Worker, rise: f64) -> Vec<Lasting> {
        let lasting = worker.tasks.iter().filter_map(|(&key, assigned)| {
            let job = &self.jobs[key.job];
            let target_ms = job.step(key).target_ms;
            if target_ms == 0 {
                return None;
            }
            let image = job.image(key);
            let load = expected_load(job.load(key)) + rise;
            let most = self.harm.target_utilisation(image) * MOST_UTILISATION;
            Some(Lasting {
                bears: (most / load - 1.0).max(0.0),
                tail: assigned.figure as f64 / target_ms as f64,
                image,
            })
        });
        lasting.collect()
    }

    /// Best-effort runs on a worker at their full demand.
    fn fillers(&self, worker: &Worker) -> Vec<Filler> {
        let best_effort = worker
            .tasks
            .iter()
            .filter(|(_, assigned)| assigned.best_effort);
        let fillers = best_effort.filter_map(|(&key, assigned)| {
            let job = &self.jobs[key.job];
            Some(Filler {
                key,
                near: Neighbour {
                    image: job.image(key),
                    share: share(assigned.demand.cpu_milli, worker),
                },
                pace: job.task(key)?.pace,
            })
        });
        fillers.collect()
    }

    /// What the lasting tasks on a worker bear beyond the best-effort tasks that are there.
    pub(super) fn bears(&self, worker: &Worker) -> Vec<Bears> {
        if worker.lasting_cpu_milli == 0 {
            return Vec::new();
        }
        let present = self.fillers(worker);
        let present: Vec<Neighbour> = present.into_iter().map(|filler| filler.near).collect();
        let mut bears: Vec<Bears> = Vec::new();
        for lasting in self.lasting(worker, PLACED_RISE) {
            let raise = self.harm.raise(lasting.image, &present);
            let left = match lasting.tail >= FULL_TAIL {
                true => f64::NEG_INFINITY,
                false => lasting.bears - raise,
            };
            match bears.iter_mut().find(|known| known.image == lasting.image) {
                Some(known) => known.left = known.left.min(left),
                None => bears.push(Bears {
                    image: lasting.image,
                    left,
                }),
            }
        }
        bears
    }

    /// Part of its demand that another best-effort task could use.
    pub(super) fn bearable(&self, bears: &[Bears], added: Image, share: f64) -> f64 {
        if bears.iter().any(|bears| bears.left == f64::NEG_INFINITY) {
            return 0.0;
        }
        let parts = bears.iter().map(|bears| {
            let needed = self.harm.weight(added, bears.image) * share;
            granted_part(needed, bears.left)
        });
        parts.fold(1.0, f64::min)
    }

    /// Orders changes of pace.
    pub(super) fn pace(&mut self, now: MonoMs) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            if self.workers[key].best_effort_cpu_milli > 0 {
                self.pace_worker(key, now);
            }
        }
    }

    fn pace_worker(&mut self, key: WorkerKey, now: MonoMs) {
        let worker = &self.workers[key];
        if worker
            .reported_at
            .is_none_or(|at| at < worker.paced_at + SETTLE_MS)
        {
            return;
        }
        let lasting = self.lasting(worker, LOAD_RISE);
        let fillers = self.fillers(worker);
        let mut paces = self.granted(&lasting, &fillers);
        self.release_one(&lasting, &fillers, &mut paces);
        let over: Vec<&Lasting> = lasting
            .iter()
            .filter(|lasting| lasting.tail > 1.0)
            .collect();
        let since = match over.is_empty() {
            true => None,
            false => Some(worker.over_target_since.unwrap_or(now)),
        };
        let too_long = since.is_some_and(|since| now.since(since) >= HALT_ALL_MS);
        for lasting in over {
            self.halt_culprits(lasting, &fillers, &mut paces, too_long);
        }
        self.workers[key].over_target_since = since;
        let mut changed = false;
        for (filler, pace) in fillers.iter().zip(paces) {
            changed |= self.set_pace(key, filler, pace, now);
        }
        if changed {
            self.workers[key].paced_at = now;
        }
    }

    /// Pace of each best-effort run that the lasting tasks bear together.
    fn granted(&self, lasting: &[Lasting], fillers: &[Filler]) -> Vec<u8> {
        let harm = |filler: &Filler| {
            let weights = lasting
                .iter()
                .map(|to| self.harm.weight(filler.near.image, to.image));
            weights.fold(0.0, f64::max)
        };
        let mut order: Vec<usize> = (0..fillers.len()).collect();
        order.sort_by(|&a, &b| harm(&fillers[a]).total_cmp(&harm(&fillers[b])));
        let mut left: Vec<f64> = lasting.iter().map(|lasting| lasting.bears).collect();
        let mut paces = vec![FULL_PACE; fillers.len()];
        for index in order {
            let near = &fillers[index].near;
            let needed: Vec<f64> = lasting
                .iter()
                .map(|to| self.harm.weight(near.image, to.image) * near.share)
                .collect();
            let parts = needed
                .iter()
                .zip(&left)
                .map(|(needed, left)| granted_part(*needed, *left));
            let part = parts.fold(1.0, f64::min);
            let percent = part * f64::from(FULL_PACE);
            let percent = if percent < LEAST_PACE_PERCENT {
                0.0
            } else {
                percent
            };
            paces[index] = percent as u8;
            for (left, needed) in left.iter_mut().zip(needed) {
                *left -= needed * percent / f64::from(FULL_PACE);
            }
        }
        paces
    }

    /// Lets at most one halted run with known harm go on, the one that was halted first.
    ///
    /// Runs that go on together cannot be told apart by the tails that follow.
    fn release_one(&self, lasting: &[Lasting], fillers: &[Filler], paces: &mut [u8]) {
        let is_harmful = |filler: &Filler| {
            let near = &filler.near;
            lasting
                .iter()
                .any(|to| self.harm.weight(near.image, to.image) > 0.0)
        };
        let released =
            |(filler, pace): (&Filler, &u8)| filler.pace == 0 && *pace > 0 && is_harmful(filler);
        let halted_at = |filler: &Filler| {
            let task = self.jobs[filler.key.job].task(filler.key);
            task.and_then(|task| task.halted_at)
        };
        let pairs = fillers.iter().zip(paces.iter()).enumerate();
        let released: Vec<usize> = pairs
            .filter(|(_, pair)| released(*pair))
            .map(|(i, _)| i)
            .collect();
        let first = released
            .iter()
            .copied()
            .min_by_key(|&index| halted_at(&fillers[index]));
        for index in released.into_iter().filter(|&index| Some(index) != first) {
            paces[index] = 0;
        }
    }

    /// Halts the work that is known to harm a lasting task; slows all of it if none is known.
    fn halt_culprits(&self, lasting: &Lasting, fillers: &[Filler], paces: &mut [u8], all: bool) {
        let known: Vec<bool> = fillers
            .iter()
            .map(|filler| self.harm.weight(filler.near.image, lasting.image) > 0.0)
            .collect();
        let any_known = known.contains(&true);
        for ((filler, pace), known) in fillers.iter().zip(paces).zip(known) {
            if known || all {
                *pace = 0;
            } else if !any_known {
                *pace = (*pace).min(filler.pace / 2);
            }
        }
    }

    fn set_pace(&mut self, worker: WorkerKey, filler: &Filler, percent: u8, now: MonoMs) -> bool {
        let key = filler.key;
        let name = self.name(key);
        let task = self.jobs[key.job].task_mut(key);
        let small = percent.abs_diff(task.pace) < LEAST_CHANGE_PERCENT
            && percent != 0
            && percent != FULL_PACE;
        if !matches!(task.phase, Phase::Running { .. }) || task.pace == percent || small {
            return false;
        }
        task.pace = percent;
        task.halted_at = (percent == 0).then_some(now);
        let run = task.run;
        self.orders.push(Order::Pace {
            worker,
            task: name,
            run,
            percent,
        });
        true
    }

    /// Stops halted runs that could go on elsewhere.
    pub(super) fn move_halted(&mut self, candidates: &mut Candidates, now: MonoMs) {
        let mut halted = Vec::new();
        for (worker_key, worker) in &self.workers {
            let best_effort = worker
                .tasks
                .iter()
                .filter(|(_, assigned)| assigned.best_effort);
            halted.extend(best_effort.filter_map(|(&key, _)| {
                let job = &self.jobs[key.job];
                let task = job.task(key)?;
                let patience = match job.step(key).checkpointed {
                    true => MOVE_HALTED_MS,
                    false => RESTART_HALTED_MS,
                };
                let long = task.halted_at.is_some_and(|at| now.since(at) >= patience);
                let running = matches!(task.phase, Phase::Running { .. });
                (long && running).then_some((key, worker_key))
            }));
        }
        for (key, worker) in halted {
            let Some(queue) = self.queue(&self.jobs[key.job].spec.queue).cloned() else {
                continue;
            };
            let elsewhere = self.choose(candidates, key, &queue.pool, None);
            if elsewhere.is_some_and(|elsewhere| elsewhere != worker) {
                self.jobs[key.job].task_mut(key).failed_on = Some(worker);
                self.stop(key);
            }
        }
    }
}

/// Part of what is needed that is left.
fn granted_part(needed: f64, left: f64) -> f64 {
    if needed <= f64::EPSILON {
        return 1.0;
    }
    (left / needed).clamp(0.0, 1.0)
}

/// Share of a worker's processors.
pub(super) fn share(cpu_milli: u64, worker: &Worker) -> f64 {
    cpu_milli as f64 / worker.listing.capacity.cpu_milli.max(1) as f64
}
