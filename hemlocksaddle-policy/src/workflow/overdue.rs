//! Long-running tasks that have waited for long, which are served before short tasks.
//!
//! Short tasks take what becomes free as soon as they wait without a pause, however
//! long a long-running task has waited. Two groups of long-running tasks are therefore
//! served before them after a long wait:
//!
//! - Tasks that ran before and were interrupted. Their own capacity went to short tasks
//!   when they ended, so they get any capacity back. If none has a large enough piece,
//!   a few workers are held until enough of their short tasks have ended.
//! - Tasks that never ran, and gangs, where two of them would fit. They are started
//!   rarely, since each takes capacity for minutes from short tasks whose work is worth
//!   more; the first task of each step is started sooner.
//!
//! While the start orders in flight limit the starts and not the capacity, as after a change
//! of owner on a narrow link, interrupted tasks come before short ones without a wait. They
//! get half of the orders, and only capacity that short tasks have not used recently.
//!
//! The rates are proportional to the number of workers. They bound what short tasks
//! lose if many long-running tasks are interrupted at once.

use std::{cmp::Reverse, sync::Arc};

use hemlocksaddle_types::clock::{Millis, MonoMs};

use super::{
    Scheduler, TaskKey,
    capacity::{CapacityRule, RELAX_AFTER_MS},
    placement::Candidates,
    plan::ReadyStep,
    unplaced::Unplaced,
};

/// Waiting time after which an interrupted task is served before short ones.
///
/// The platform expects such a task to run again within 9 s. A held worker takes up to two seconds
/// to become free, and reports and orders take up to one while the owner is slow.
const INTERRUPTED_AFTER_MS: Millis = Millis(5_000);

/// Time for which a worker gets at most one interrupted task before short ones, on average.
///
/// A long-running task stays for a minute or more, so a fleet without other work is filled within
/// one stay.
const RESTART_PERIOD_MS: Millis = Millis(8_000);

/// Time for which a worker gets at most one task that never ran before short ones, on average.
///
/// Some ten times as long as such a task stays, so that a small part of the fleet is filled this way.
const FIRST_START_PERIOD_MS: Millis = Millis(600_000);

/// The same for the first task of a step of which nothing runs, or for a gang.
///
/// A workflow of which nothing runs is lost to its caller, and there are far fewer workflows than
/// tasks. Three that arrive together on 48 workers start within the platform's limit of 3 s.
const FIRST_OF_STEP_PERIOD_MS: Millis = Millis(20_000);

/// Number of workers of which one may be held for interrupted tasks.
///
/// Bounds the capacity that short tasks lose to 6%.
const WORKERS_PER_HELD: usize = 16;

/// Maximum number of tasks of each group for which all workers are compared in one plan.
///
/// Tasks that need as much as one that fits nowhere are not compared and do not count.
const MAX_EXAMINED_TASKS: usize = 16;

/// Times from which long-running tasks may be started before short ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OverdueStarts {
    next_restart_at: MonoMs,
    next_first_at: MonoMs,
    next_first_of_step_at: MonoMs,
}

impl OverdueStarts {
    fn next_new_at(&mut self, is_first_of_step: bool) -> &mut MonoMs {
        if is_first_of_step {
            &mut self.next_first_of_step_at
        } else {
            &mut self.next_first_at
        }
    }
}

/// Long-running task that has waited for long.
struct Overdue {
    key: TaskKey,
    waiting_since: MonoMs,
    /// Whether no task of its step has been started.
    is_first_of_step: bool,
    /// Index of its step among the ready ones.
    step: usize,
}

impl Scheduler {
    /// Starts tasks that have waited for long, and holds workers for those that fit nowhere.
    pub(super) fn place_overdue(
        &mut self,
        ready: &[ReadyStep],
        candidates: &mut Candidates,
        now: MonoMs,
    ) {
        let workers = candidates.keys().count();
        if workers == 0 {
            return;
        }
        let (interrupted, new) = self.overdue(ready, INTERRUPTED_AFTER_MS, now);
        self.place_interrupted(ready, &interrupted, candidates, workers, now);
        self.place_new(ready, &new, candidates, workers, now);
    }

    /// Starts interrupted tasks that take no capacity from short ones, where start orders are scarce.
    pub(super) fn place_before_short(
        &mut self,
        ready: &[ReadyStep],
        candidates: &mut Candidates,
        now: MonoMs,
    ) {
        if self.start_budget == 0 {
            return;
        }
        let waiting: u32 = ready.iter().map(|step| self.waiting_tasks(step)).sum();
        if waiting <= self.start_budget {
            return;
        }
        let (mut left, mut examined) = (self.start_budget.div_ceil(2), 0);
        candidates.capacity_rule = CapacityRule::OutsideRecentPeak;
        for task in self.overdue(ready, Millis(0), now).0 {
            if left == 0 || examined == MAX_EXAMINED_TASKS {
                break;
            }
            let step = &ready[task.step];
            if self.is_ruled_out(task.key, &step.queue.pool, candidates) {
                continue;
            }
            if self.start_overdue(step, task.key, candidates, now) {
                left -= 1;
            } else {
                examined += 1;
            }
        }
    }

    fn waiting_tasks(&self, ready: &ReadyStep) -> u32 {
        let first = ready.key(0);
        let steps = &self.jobs[ready.job].occurrences[first.occurrence].steps;
        steps[usize::from(ready.step)].waiting
    }

    fn place_new(
        &mut self,
        ready: &[ReadyStep],
        new: &[Overdue],
        candidates: &mut Candidates,
        workers: usize,
        now: MonoMs,
    ) {
        let mut examined = 0;
        for task in new {
            if self.start_budget == 0 || examined == MAX_EXAMINED_TASKS {
                break;
            }
            candidates.capacity_rule = CapacityRule::FitsTwo;
            let step = &ready[task.step];
            let is_early = now < *self.overdue_starts.next_new_at(task.is_first_of_step);
            if is_early || self.is_ruled_out(task.key, &step.queue.pool, candidates) {
                continue;
            }
            examined += 1;
            if self.start_overdue(step, task.key, candidates, now) {
                let period = if task.is_first_of_step {
                    FIRST_OF_STEP_PERIOD_MS
                } else {
                    FIRST_START_PERIOD_MS
                };
                let next_at = self.overdue_starts.next_new_at(task.is_first_of_step);
                *next_at = now + Millis(period.0 / workers as u64);
            }
        }
    }

    /// Starts a task, or the whole gang if it belongs to one; returns whether it fit.
    fn start_overdue(
        &mut self,
        ready: &ReadyStep,
        key: TaskKey,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> bool {
        let spec = self.jobs[key.job].spec.clone();
        let step = &spec.steps[usize::from(key.step)];
        let pool = &ready.queue.pool;
        if step.gang {
            return self.place_gang(ready, step, candidates, now);
        }
        let Some((place, worker)) = self.choose_place(candidates, key, pool, None) else {
            self.rule_out(key, pool, candidates);
            return false;
        };
        self.start_next(key, worker, now);
        candidates.invalidate(place);
        true
    }

    fn place_interrupted(
        &mut self,
        ready: &[ReadyStep],
        interrupted: &[Overdue],
        candidates: &mut Candidates,
        workers: usize,
        now: MonoMs,
    ) {
        let max_held = workers.div_ceil(WORKERS_PER_HELD);
        let (mut held, mut examined) = (0, 0);
        // Steps whose tasks fit nowhere, and those for which no worker can be held either.
        let (mut unplaced, mut hopeless) = (Vec::new(), Vec::new());
        candidates.capacity_rule = CapacityRule::Any;
        for task in interrupted {
            let pool = &ready[task.step].queue.pool;
            if examined == MAX_EXAMINED_TASKS {
                break;
            }
            if !self.cap_allows(task.key) {
                continue;
            }
            let fits_nowhere =
                unplaced.contains(&task.step) || self.is_ruled_out(task.key, pool, candidates);
            let mut choice = None;
            if !fits_nowhere {
                examined += 1;
                choice = self.choose_place(candidates, task.key, pool, None);
            }
            let may_start = self.start_budget > 0 && now >= self.overdue_starts.next_restart_at;
            match choice {
                Some((place, worker)) if may_start => {
                    self.start_next(task.key, worker, now);
                    candidates.invalidate(place);
                    let pause = Millis(RESTART_PERIOD_MS.0 / workers as u64);
                    self.overdue_starts.next_restart_at = now + pause;
                }
                Some((_, worker)) if held < max_held => {
                    candidates.hold(worker);
                    held += 1;
                }
                Some(_) => break,
                None => {
                    if !fits_nowhere {
                        unplaced.push(task.step);
                        self.rule_out(task.key, pool, candidates);
                    }
                    if held == max_held || hopeless.contains(&task.step) {
                        continue;
                    }
                    if self.hold_worker(task.key, pool, candidates) {
                        held += 1;
                    } else {
                        hopeless.push(task.step);
                    }
                }
            }
        }
    }

    /// Records that a task fits nowhere in this plan.
    fn rule_out(&self, key: TaskKey, pool: &Arc<str>, candidates: &mut Candidates) {
        let job = &self.jobs[key.job];
        let rule = candidates.capacity_rule;
        let unplaced = Unplaced::new(job.step(key), job.image(key), pool, rule);
        candidates.unplaced.extend(unplaced);
    }

    /// Whether a task needs as much as one that fits nowhere, or exceeds its tenant's cap.
    fn is_ruled_out(&self, key: TaskKey, pool: &Arc<str>, candidates: &mut Candidates) -> bool {
        let job = &self.jobs[key.job];
        let rule = candidates.capacity_rule;
        let (step, image) = (job.step(key), job.image(key));
        !self.cap_allows(key) || candidates.unplaced.rules_out(step, image, pool, rule)
    }

    /// Interrupted tasks that have waited for `interrupted_after`, and the first new task of each step that
    /// has waited for long, longest wait first.
    fn overdue(
        &mut self,
        ready: &[ReadyStep],
        interrupted_after: Millis,
        now: MonoMs,
    ) -> (Vec<Overdue>, Vec<Overdue>) {
        let (mut interrupted, mut new) = (Vec::new(), Vec::new());
        for (number, step) in ready.iter().enumerate() {
            let job = &self.jobs[step.job];
            let spec = &job.spec.steps[usize::from(step.step)];
            if !spec.long_running {
                continue;
            }
            let first = step.key(0);
            let state = &job.occurrences[first.occurrence].steps[usize::from(first.step)];
            let is_first_of_step = state.waiting == spec.tasks;
            let mut has_new = false;
            // A step may have a hundred thousand tasks, of which few were ever started.
            for (index, _, task) in job.segments(first) {
                self.work.task_ranges += 1;
                if !step.may_start(task, now) {
                    continue;
                }
                let key = step.key(index);
                let is_new = !task.has_run || spec.gang;
                let (served_after, waiting_since) = if is_new {
                    (RELAX_AFTER_MS, job.waiting_since(key))
                } else {
                    // A task that a predecessor left waiting may have waited for any time.
                    (interrupted_after, task.waiting_since.unwrap_or(MonoMs(0)))
                };
                if (is_new && has_new) || now.since(waiting_since) < served_after {
                    continue;
                }
                has_new |= is_new;
                let group = if is_new { &mut new } else { &mut interrupted };
                group.push(Overdue {
                    key,
                    waiting_since,
                    is_first_of_step,
                    step: number,
                });
            }
        }
        interrupted.sort_by_key(|task| task.waiting_since);
        new.sort_by_key(|task| task.waiting_since);
        (interrupted, new)
    }

    /// Keeps other tasks off the worker that will have room for a task first; returns whether there
    /// is one.
    fn hold_worker(&self, key: TaskKey, pool: &str, candidates: &mut Candidates) -> bool {
        let demand_milli = self.jobs[key.job].step(key).demand.cpu_milli;
        let workers = candidates.keys().filter(|&worker| {
            let worker = &self.workers[worker];
            let without_short = worker.long_running_cpu_milli + demand_milli;
            *worker.listing.pool == *pool
                && without_short <= worker.listing.capacity.cpu_milli
                && self.lacks_only_processors(worker, key)
        });
        let free_milli = |&worker: &_| Reverse(self.workers[worker].free().cpu_milli);
        let Some(worker) = workers.min_by_key(free_milli) else {
            return false;
        };
        candidates.hold(worker);
        true
    }
}
