//! Speculative copies of tasks whose run is late or may never have started.
//!
//! The copy becomes the run of the task. The earlier run is kept as a leftover of its worker that is not ordered to
//! stop, and has an entry in a table here. The first of both to complete counts, and the other is stopped then.
//! `docs/design/copies.md` gives the reasons.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::{Queue, Run, Step, TaskName},
};
use slotmap::SecondaryMap;

use super::{
    JobKey, Order, Phase, Scheduler, TaskKey, Worker, WorkerKey, capacity::CapacityRule, job::Task,
    placement::Candidates, plan::ReadyStep, report::occupied, restart::Presence, worker::Leftover,
};
use crate::usefulness::{completion_target, is_useful_any_time, longest_chain_after, useful_for};

/// Interval at which runs are checked.
const CHECK_INTERVAL_MS: Millis = Millis(100);

/// Time without an answer after which a start is copied.
///
/// Twice the shortest timeout of an order, so that one lost answer is repeated first.
const UNANSWERED_MS: Millis = Millis(800);

/// Time for which a worker with a late run gets no copies.
const SLOW_WORKER_MS: Millis = Millis(10_000);

/// Part of a pool's processors that tasks with two runs may need, in percent.
const MAX_SHARE_PERCENT: u64 = 5;

/// Progress in percent from which a run that is not overdue counts as measured.
const MIN_PROGRESS_PERCENT: u8 = 10;

/// Age from which a run or a start is checked; no shorter delay tells a late one.
const MIN_AGE_MS: Millis = Millis(300);

/// Maximum number of tasks for which all workers are compared in one check.
const MAX_EXAMINED_TASKS: usize = 16;

/// Why a task was copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyReason {
    /// The order to start it got no answer.
    Unanswered,
    /// Its run is late.
    Late,
}

impl CopyReason {
    /// Name in log lines and metrics.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            CopyReason::Unanswered => "unanswered",
            CopyReason::Late => "late",
        }
    }
}

/// Event in the life of a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyEvent {
    /// A copy was ordered.
    Started {
        /// Name of the task.
        task: TaskName,
        /// Run of the copy.
        run: Run,
        /// Name of its worker.
        worker: Arc<str>,
        /// Earlier run.
        earlier: Run,
        /// Name of the worker of the earlier run.
        earlier_worker: Arc<str>,
        /// Why the task was copied.
        reason: CopyReason,
        /// Time until the earlier run was expected to end.
        expected_in: Millis,
    },
    /// A task with two runs is done.
    Decided {
        /// Name of the task.
        task: TaskName,
        /// Whether the copy completed first.
        by_copy: bool,
    },
}

/// Earlier run of a task that has a copy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Original {
    worker: WorkerKey,
    run: Run,
    /// Time of the order to start it.
    pub(super) ordered_at: MonoMs,
    /// Reading of the worker's clock by which it had started; `None` if it may not have.
    pub(super) started_clock_ms: Option<u64>,
}

/// Tasks with two runs.
#[derive(Debug, Default)]
pub(super) struct Copies {
    is_on: bool,
    originals: HashMap<TaskKey, Original>,
    /// Workers with a late run, and until when they get no copies.
    slow_until: SecondaryMap<WorkerKey, MonoMs>,
    checked_at: MonoMs,
    events: Vec<CopyEvent>,
}

impl Copies {
    pub(super) fn is_on(&self) -> bool {
        self.is_on
    }

    /// Worker of the earlier run of a task.
    pub(super) fn earlier_worker(&self, key: TaskKey) -> Option<WorkerKey> {
        self.originals.get(&key).map(|original| original.worker)
    }

    /// Earlier run of a task, if it has a number.
    pub(super) fn earlier(&self, key: TaskKey, run: Run) -> Option<&Original> {
        let original = self.originals.get(&key);
        original.filter(|original| original.run == run)
    }

    /// Whether a run is the earlier one of a task that has a copy.
    pub(super) fn is_earlier(&self, key: TaskKey, worker: WorkerKey, run: Run) -> bool {
        let original = self.originals.get(&key);
        original.is_some_and(|original| (original.worker, original.run) == (worker, run))
    }
}

/// Task that a copy may help.
struct Late {
    key: TaskKey,
    worker: WorkerKey,
    reason: CopyReason,
    expected_end: MonoMs,
}

/// Processors of a pool for tasks with two runs, in thousandths of a core.
struct PoolShare {
    pool: Arc<str>,
    used_milli: u64,
    max_milli: u64,
}

impl PoolShare {
    fn allows(&self, demand_milli: u64) -> bool {
        self.used_milli == 0 || self.used_milli + demand_milli <= self.max_milli
    }
}

/// What the result of a workflow is worth, by the end of one of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Worth {
    Nothing,
    Late,
    InTime,
}

impl Scheduler {
    /// Turns copies on or off; they are off at first.
    pub fn set_copies(&mut self, is_on: bool) {
        self.copies.is_on = is_on;
    }

    /// Number of tasks with two runs.
    #[must_use]
    pub fn copied_tasks(&self) -> usize {
        self.copies.originals.len()
    }

    /// Takes the events of copies since the last call.
    pub fn take_copy_events(&mut self) -> Vec<CopyEvent> {
        std::mem::take(&mut self.copies.events)
    }

    /// Orders copies of late tasks; must come after all other starts of a plan.
    pub(super) fn place_copies(
        &mut self,
        ready: &[ReadyStep],
        candidates: &mut Candidates,
        now: MonoMs,
    ) {
        if !self.copies.is_on || now.since(self.copies.checked_at) < CHECK_INTERVAL_MS {
            return;
        }
        self.copies.checked_at = now;
        self.drop_ended_originals(now);
        candidates.capacity_rule = CapacityRule::Any;
        let mut late = self.late_tasks(now);
        late.sort_by_key(|task| (task.expected_end, task.key));
        let mut shares: Vec<PoolShare> = Vec::new();
        let mut examined = 0;
        for task in late {
            if self.start_budget == 0 || examined == MAX_EXAMINED_TASKS {
                return;
            }
            let Some(queue) = self.queue_of(task.key.job) else {
                continue;
            };
            let known = shares.iter().position(|share| share.pool == queue.pool);
            let index = known.unwrap_or_else(|| {
                shares.push(self.share_of(ready, &queue.pool));
                shares.len() - 1
            });
            let demand_milli = self.jobs[task.key.job].step(task.key).demand.cpu_milli;
            let share = &mut shares[index];
            if share.max_milli == 0 || !share.allows(demand_milli) {
                continue;
            }
            examined += 1;
            if self.copy(&task, &queue, candidates, now) {
                share.used_milli += demand_milli;
            }
        }
    }

    /// Processors of a pool for tasks with two runs; none while tasks wait in it.
    fn share_of(&self, ready: &[ReadyStep], pool: &Arc<str>) -> PoolShare {
        let mut share = PoolShare {
            pool: pool.clone(),
            used_milli: 0,
            max_milli: 0,
        };
        if self.has_waiting(ready, pool) {
            return share;
        }
        let in_pool = |worker: &&Worker| worker.listed && worker.listing.pool == *pool;
        let all = self.workers.values().filter(in_pool);
        let all_milli: u64 = all.map(|worker| worker.listing.capacity.cpu_milli).sum();
        share.max_milli = all_milli * MAX_SHARE_PERCENT / 100;
        let copied = self.copies.originals.iter().filter(|(_, original)| {
            let worker = self.workers.get(original.worker);
            worker.is_some_and(|worker| worker.listing.pool == *pool)
        });
        let copied = copied.filter_map(|(key, _)| Some(self.jobs.get(key.job)?.step(*key)));
        share.used_milli = copied.map(|step| step.demand.cpu_milli).sum();
        share
    }

    fn queue_of(&self, job: JobKey) -> Option<Arc<Queue>> {
        self.queue(&self.jobs[job].spec.queue).cloned()
    }

    /// Drops the entries of runs that are known to have ended.
    fn drop_ended_originals(&mut self, now: MonoMs) {
        let ended = self.copies.originals.iter().filter(|(key, original)| {
            let Some(job) = self.jobs.get(key.job) else {
                return true;
            };
            let name = job.name_of(**key);
            let worker = self.workers.get(original.worker);
            !worker.is_some_and(|worker| {
                let mut leftovers = worker.leftovers.iter();
                now <= worker.lease_until
                    && leftovers.any(|left| (left.task, left.run) == (name, original.run))
            })
        });
        let ended: Vec<TaskKey> = ended.map(|(&key, _)| key).collect();
        for key in ended {
            self.copies.originals.remove(&key);
        }
    }

    /// Tasks whose workflows are worth more with a copy; marks workers with late runs.
    fn late_tasks(&mut self, now: MonoMs) -> Vec<Late> {
        let mut late = Vec::new();
        let mut slow = Vec::new();
        for (worker, on) in &self.workers {
            // The task may have crashed it, and would crash the next one.
            if on.is_silent() {
                continue;
            }
            for (&key, assigned) in &on.tasks {
                let job = &self.jobs[key.job];
                if !may_have_copy(job.step(key)) || !job.is_open() {
                    continue;
                }
                let Some(task) = job.task(key) else { continue };
                if now.since(task.ordered_at) < MIN_AGE_MS {
                    continue;
                }
                let Some(queue) = self.queue(&job.spec.queue) else {
                    continue;
                };
                let Some((expected, deviation)) = self.typical_run(key) else {
                    continue;
                };
                let (reason, expected_end) = match task.phase {
                    Phase::Running { since, .. } => {
                        let Some(end) = self.expected_end(key, now) else {
                            continue;
                        };
                        let is_measured = task.percent >= MIN_PROGRESS_PERCENT
                            || now > since + expected + deviation;
                        if !is_measured || end <= now + expected + deviation {
                            continue;
                        }
                        slow.push(worker);
                        (CopyReason::Late, end)
                    }
                    Phase::Starting { .. } | Phase::Stopping { .. }
                        if assigned.unanswered && assigned.presence == Presence::Ordered =>
                    {
                        // Without an admission check, the late run might exceed the worker's capacity.
                        let is_guarded = !self.unguarded_pools.contains(&on.listing.pool);
                        if !is_guarded || now.since(task.ordered_at) < UNANSWERED_MS {
                            continue;
                        }
                        let held_until = on.lease_until.max(now);
                        (CopyReason::Unanswered, held_until + expected)
                    }
                    _ => continue,
                };
                let worth = |end| self.worth(key, queue, end, now);
                if may_be_copied(task, queue)
                    && self.copies.earlier_worker(key).is_none()
                    && worth(now + expected) > worth(expected_end)
                {
                    late.push(Late {
                        key,
                        worker,
                        reason,
                        expected_end,
                    });
                }
            }
        }
        for worker in slow {
            let until = now + SLOW_WORKER_MS;
            self.copies.slow_until.insert(worker, until);
        }
        late
    }

    /// What the workflow of a task is worth if its run ends at a time.
    fn worth(&self, key: TaskKey, queue: &Queue, end: MonoMs, now: MonoMs) -> Worth {
        let job = &self.jobs[key.job];
        let due_at = job
            .occurrences
            .get(key.occurrence)
            .map_or(now, |occurrence| occurrence.due_at);
        let rest = longest_chain_after(&job.spec.steps, usize::from(key.step));
        let takes = (end + rest).since(due_at);
        if takes <= completion_target(&job.spec, queue) {
            Worth::InTime
        } else if is_useful_any_time(&job.spec) || takes <= useful_for(&job.spec, queue) {
            Worth::Late
        } else {
            Worth::Nothing
        }
    }

    /// Whether tasks wait in a pool that copies would hold back.
    fn has_waiting(&self, ready: &[ReadyStep], pool: &str) -> bool {
        ready.iter().any(|ready| {
            let first = ready.key(0);
            let job = &self.jobs[first.job];
            let state = job.occurrences.get(first.occurrence);
            let waiting = state.map_or(0, |state| state.steps[usize::from(first.step)].waiting);
            *ready.queue.pool == *pool
                && waiting > 0
                && !job.step(first).best_effort
                && self.cap_allows(first)
        })
    }

    /// Orders a copy if there is a place for it; returns whether it did.
    fn copy(
        &mut self,
        late: &Late,
        queue: &Queue,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> bool {
        let key = late.key;
        if !self.cap_allows(key) {
            return false;
        }
        let Some((index, worker)) = self.place_of_copy(late, &queue.pool, candidates, now) else {
            return false;
        };
        let Some(earlier) = self.set_aside(key, late.worker, now) else {
            return false;
        };
        self.start_next(key, worker, now);
        candidates.invalidate(index);
        let (Some(on), Some(earlier_on)) =
            (self.workers.get(worker), self.workers.get(late.worker))
        else {
            return true;
        };
        let run = self.jobs[key.job].task(key).map_or(Run(0), |task| task.run);
        self.copies.events.push(CopyEvent::Started {
            task: self.name(key),
            run,
            worker: on.listing.name.clone(),
            earlier,
            earlier_worker: earlier_on.listing.name.clone(),
            reason: late.reason,
            expected_in: late.expected_end.since(now),
        });
        true
    }

    /// Cheapest place for a copy: in another rack than the earlier run, and not on a slow worker.
    fn place_of_copy(
        &self,
        late: &Late,
        pool: &str,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> Option<(usize, WorkerKey)> {
        let wanted = self.wanted(late.key, pool, None)?;
        let rack = self.workers.get(late.worker)?.listing.rack();
        candidates.compared_workers += candidates.len() as u64;
        let places = (0..candidates.len()).filter_map(|index| {
            let worker = candidates.worker(index);
            let is_slow = self.copies.slow_until.get(worker);
            let is_same_rack = rack.is_some() && self.workers[worker].listing.rack() == rack;
            if worker == late.worker || is_same_rack || is_slow.is_some_and(|&until| now < until) {
                return None;
            }
            self.place(candidates, index, &wanted)
        });
        let best = places.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Some((best.index, candidates.worker(best.index)))
    }

    /// Makes the run of a task its earlier one, which goes on; the task waits then. Returns the run.
    fn set_aside(&mut self, key: TaskKey, worker: WorkerKey, now: MonoMs) -> Option<Run> {
        let task = self.name(key);
        let job = &self.jobs[key.job];
        let demand = occupied(job.step(key));
        let state = job.task(key)?;
        let run = state.run;
        let original = Original {
            worker,
            run,
            ordered_at: state.ordered_at,
            started_clock_ms: state.started_clock_ms,
        };
        let is_running = matches!(state.phase, Phase::Running { .. });
        let charge = self.charge_of(task);
        self.unassign(key);
        let on = self.workers.get_mut(worker)?;
        // An order without an answer may be carried out until the lease that it granted has expired.
        let seen_at = if is_running {
            now
        } else {
            on.lease_until.max(now)
        };
        let replaced = on.add_leftover(Leftover {
            task,
            run,
            demand: Some(demand),
            charge,
            seen_at,
        });
        if let Some(charge) = charge {
            self.tenancy.charge(charge.tenant, charge.demand);
        }
        self.renew_charges(worker, replaced);
        self.copies.originals.insert(key, original);
        Some(run)
    }

    /// Records that a report listed the earlier run of a task.
    pub(super) fn earlier_run_listed(&mut self, key: TaskKey, clock_ms: Option<u64>) {
        if let Some(original) = self.copies.originals.get_mut(&key) {
            original.started_clock_ms = original.started_clock_ms.or(clock_ms);
        }
    }

    /// Records the end of a run; returns whether it is the earlier one of a task with a copy, which is forgotten.
    pub(super) fn earlier_run_ended(&mut self, key: TaskKey, worker: WorkerKey, run: Run) -> bool {
        if !self.copies.is_earlier(key, worker, run) {
            return false;
        }
        self.copies.originals.remove(&key);
        let name = self.name(key);
        if let Some(on) = self.workers.get_mut(worker) {
            let is_same = |left: &mut Leftover| (left.task, left.run) == (name, run);
            let ended: Vec<Leftover> = on.leftovers.extract_if(.., is_same).collect();
            self.release_charges(ended.iter().filter_map(|left| left.charge));
        }
        true
    }

    /// Records that a task with two runs is done.
    pub(super) fn copy_decided(&mut self, key: TaskKey, by_copy: bool) {
        let task = self.name(key);
        let events = &mut self.copies.events;
        events.push(CopyEvent::Decided { task, by_copy });
    }

    /// Orders the earlier run of a task to stop; returns whether there was one.
    pub(super) fn stop_earlier(&mut self, key: TaskKey) -> bool {
        let Some(original) = self.copies.originals.remove(&key) else {
            return false;
        };
        let task = self.name(key);
        self.orders.push(Order::Stop {
            worker: original.worker,
            task,
            run: original.run,
        });
        true
    }

    /// Orders the earlier runs of all tasks of a workflow to stop.
    pub(super) fn stop_earlier_of(&mut self, job: JobKey) {
        let originals = self.copies.originals.keys();
        let mut keys: Vec<TaskKey> = originals.filter(|key| key.job == job).copied().collect();
        keys.sort_unstable();
        for key in keys {
            self.stop_earlier(key);
        }
    }

    /// Takes the leftovers of a worker that an order without an answer may still start.
    pub(super) fn take_unstarted(&mut self, worker: WorkerKey, now: MonoMs) -> Vec<Leftover> {
        let worker = self.workers.get_mut(worker);
        let leftovers = worker.map(|worker| &mut worker.leftovers);
        let mut unstarted = Vec::new();
        if let Some(leftovers) = leftovers {
            unstarted.extend(leftovers.extract_if(.., |run| run.seen_at > now));
        }
        unstarted
    }

    /// Counts such runs on a later process of their worker, and orders it to stop them.
    ///
    /// An order names the worker, so that the later process may carry it out.
    pub(super) fn stop_unstarted(&mut self, worker: WorkerKey, unstarted: Vec<Leftover>) {
        for leftover in unstarted {
            self.orders.push(Order::Stop {
                worker,
                task: leftover.task,
                run: leftover.run,
            });
            if let Some(on) = self.workers.get_mut(worker) {
                on.add_leftover(leftover);
            }
        }
    }
}

/// Whether tasks of a step may have two runs.
fn may_have_copy(step: &Step) -> bool {
    step.speculative && !step.gang && !step.long_running && !step.best_effort
}

/// Whether a task may have a second run: both may fail within the limit of attempts, and neither its crashes nor
/// its earlier runs are in doubt.
fn may_be_copied(task: &Task, queue: &Queue) -> bool {
    task.failed.len() + 2 <= queue.max_attempts as usize
        && task.crashes.is_empty()
        && !task.end_unknown
        && task.restarted.is_none()
}
