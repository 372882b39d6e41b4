//! Derives the orders to send from the state of the scheduler.

use std::{cmp::Ordering, rc::Rc, sync::Arc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    workflow::{Queue, Run},
};

use super::{
    JobKey, Order, Phase, Scheduler, Start, TaskKey, WorkerKey,
    capacity::CapacityRule,
    consolidation::Blocked,
    job::{FULL_PACE, Task},
    placement::Candidates,
    ranking::SharedRanking,
    restart::Presence,
    unplaced::Unplaced,
    worker::Assigned,
};

/// Time without progress after which a run is moved.
///
/// Reports give whole percents at least every 1.5 s, so the progress of a run of up
/// to two minutes changes within this time.
const STALL_TIMEOUT_MS: Millis = Millis(2_500);

/// Time within which a long-running task must be at work after its start.
const LONG_RUNNING_START_TIMEOUT_MS: Millis = Millis(6_000);

/// Time before a draining worker leaves at which checkpointed runs are moved off it.
const MOVE_BEFORE_LEAVING_MS: Millis = Millis(1_500);

/// Step whose waiting tasks may start.
pub(super) struct ReadyStep {
    pub(super) job: JobKey,
    occurrence: u32,
    pub(super) step: u16,
    pub(super) queue: Arc<Queue>,
    due_at: MonoMs,
    capacity_rule: CapacityRule,
    /// Whether only located tasks may start.
    awaits_reports: bool,
}

impl ReadyStep {
    pub(super) fn key(&self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }

    /// Whether a task of the step may be started now.
    pub(super) fn may_start(&self, task: &Task, now: MonoMs) -> bool {
        task.may_start(now) && (task.located || !self.awaits_reports)
    }

    /// Whether steps of different tenants are served by the tenants' shares.
    pub(super) fn shares_with(&self, other: &ReadyStep) -> bool {
        (self.queue.priority, self.capacity_rule) == (other.queue.priority, other.capacity_rule)
    }

    fn cmp_urgency(&self, other: &ReadyStep) -> Ordering {
        self.queue
            .priority
            .cmp(&other.queue.priority)
            .then(self.capacity_rule.cmp(&other.capacity_rule))
            .then(self.due_at.cmp(&other.due_at))
            .then(self.step.cmp(&other.step))
    }
}

impl Scheduler {
    /// Orders to send now.
    pub fn plan(&mut self, now: MonoMs, wall: WallMs) -> Vec<Order> {
        self.updated_at = now;
        self.expire(now);
        self.finish_cancelled(now, wall);
        self.give_up_suspects(wall);
        self.check_remembered_attempts(wall);
        self.move_stalled(now);
        self.move_off_draining();
        self.adjust_paces(now);
        self.record_short_task_usage(now);
        let ready = self.ready(now, wall);
        self.keep_path_for_reports(now);
        self.count_unseen_runs(now, wall);
        let mut candidates = self.candidates(now);
        self.begin_round();
        self.refresh_reservations(&candidates, now);
        self.move_halted(&mut candidates, now);
        self.place_overdue(&ready, &mut candidates, now);
        self.place_before_short(&ready, &mut candidates, now);
        self.place_ready(&ready, &mut candidates, now);
        self.place_copies(&ready, &mut candidates, now);
        self.consolidate(&candidates, now);
        self.work.plans += 1;
        self.work.compared_workers += candidates.compared_workers;
        self.work.headrooms += candidates.headrooms;
        self.work.compared_steps += candidates.unplaced.compared;
        std::mem::take(&mut self.orders)
    }

    /// Keeps back start orders while first reports are on their way.
    ///
    /// Each report takes the place of an order on the path, up to half of them. Inherited tasks wait for the
    /// last report, and new work alone would fill a narrow link.
    fn keep_path_for_reports(&mut self, now: MonoMs) {
        if self.is_failover_complete(now) {
            return;
        }
        let workers = self.workers.values();
        let awaited = workers
            .filter(|worker| worker.is_first_report_due())
            .count();
        let kept = u32::try_from(awaited).unwrap_or(u32::MAX);
        self.start_budget -= kept.min(self.start_budget / 2);
    }

    /// Steps whose waiting tasks may start, most urgent first.
    ///
    /// Infeasible steps are left out.
    fn ready(&mut self, now: MonoMs, wall: WallMs) -> Vec<ReadyStep> {
        let failover_complete = self.is_failover_complete(now);
        self.missing_reports |= failover_complete && !self.all_reported();
        let feasibility = self.take_feasibility();
        let mut ready = Vec::new();
        for &key in &self.open_jobs {
            let job = &mut self.jobs[key];
            job.add_due_occurrences(now, wall);
            let Some(queue) = self.queues.get(&job.spec.queue) else {
                continue;
            };
            let pool = feasibility.pool(&queue.pool);
            let unconfirmed = job.unconfirmed;
            let may_await_reports = job.may_await_reports(failover_complete);
            for (occurrence, state) in job.occurrences.iter_mut() {
                for (number, spec) in job.spec.steps.iter().enumerate() {
                    let awaits_reports = may_await_reports && !spec.speculative;
                    let due = !unconfirmed && state.step_is_due(spec);
                    let step = &mut state.steps[number];
                    let must_wait = awaits_reports && step.located == 0;
                    if step.waiting == 0 || must_wait || !due {
                        step.waiting_since = None;
                        continue;
                    }
                    let waiting_since = *step.waiting_since.get_or_insert(now);
                    if !pool.is_some_and(|pool| pool.is_feasible(spec)) {
                        continue;
                    }
                    ready.push(ReadyStep {
                        job: key,
                        occurrence,
                        step: u16::try_from(number).unwrap_or(u16::MAX),
                        queue: queue.clone(),
                        due_at: state.due_at,
                        capacity_rule: CapacityRule::for_step(spec, waiting_since, now),
                        awaits_reports,
                    });
                }
            }
        }
        self.put_back_feasibility(feasibility);
        ready.sort_by(ReadyStep::cmp_urgency);
        ready
    }

    /// Places the tasks of a step from an index; returns from which to go on if the tenant's turn is over.
    pub(super) fn place_step(
        &mut self,
        ready: &ReadyStep,
        from: u32,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> Option<u32> {
        let job = &self.jobs[ready.job];
        let spec: Rc<_> = job.spec.clone();
        let step = &spec.steps[usize::from(ready.step)];
        candidates.capacity_rule = ready.capacity_rule;
        let (pool, rule) = (&ready.queue.pool, ready.capacity_rule);
        let image = job.images[usize::from(ready.step)];
        let is_ruled_out = candidates.unplaced.rules_out(step, image, pool, rule);
        if !is_ruled_out && !self.may_attempt(ready, candidates) {
            return None;
        }
        let compared_before = candidates.compared_workers;
        if step.gang {
            if !is_ruled_out && !self.place_gang(ready, step, candidates, now) {
                self.record_failed_attempt(ready, candidates, compared_before);
            }
            return None;
        }
        let mut ranking = SharedRanking::default();
        let mut next = from;
        while let Some(index) = self.jobs[ready.job].first_waiting(ready.key(next)) {
            next = index + 1;
            let key = ready.key(index);
            if self.start_budget == 0 || !self.cap_allows(key) {
                return None;
            }
            let task = self.jobs[ready.job].task(key);
            if !task.is_some_and(|task| ready.may_start(task, now)) {
                continue;
            }
            let Some(wanted) = self.wanted(key, pool, None) else {
                continue;
            };
            let taken = if is_ruled_out {
                None
            } else {
                self.next_place(candidates, &wanted, &mut ranking)
            };
            // All tasks of a step are equal: if this one fits nowhere, neither do the others.
            let Some((place, worker)) = taken else {
                if !is_ruled_out {
                    self.record_failed_attempt(ready, candidates, compared_before);
                    let unplaced = Unplaced::new(step, image, pool, rule);
                    let unplaced = self.unless_reserved(unplaced, step);
                    candidates.unplaced.extend(unplaced);
                }
                if step.best_effort {
                    self.blocked.push(Blocked {
                        image,
                        demand: step.demand,
                        tasks: step.tasks - index,
                    });
                }
                return None;
            };
            self.start_next(key, worker, now);
            candidates.invalidate(place);
            if self.tenancy.is_turn_over() {
                return Some(next);
            }
        }
        None
    }

    /// Starts the next run of a task.
    pub(super) fn start_next(&mut self, key: TaskKey, worker: WorkerKey, now: MonoMs) {
        let run = self.next_run(key);
        self.start(key, worker, run, now);
    }

    fn next_run(&self, key: TaskKey) -> Run {
        let last = self.jobs[key.job].task(key).map_or(Run(0), |task| task.run);
        self.run_after(last)
    }

    /// Number of the run that follows another one of the same task.
    pub(super) fn run_after(&self, last: Run) -> Run {
        self.first_run().max(Run(last.0 + 1))
    }

    pub(super) fn start(&mut self, key: TaskKey, worker: WorkerKey, run: Run, now: MonoMs) {
        self.count_reserved_start(key, worker, now);
        let name = self.name(key);
        let failover_complete = self.is_failover_complete(now);
        let job = &mut self.jobs[key.job];
        let text = job.spec.text.clone();
        let waiting_since = job.waiting_since(key);
        let step = job.step(key);
        let assigned = Assigned {
            run,
            demand: step.demand,
            best_effort: step.best_effort,
            long_running: step.long_running,
            measurement: 0,
            presence: Presence::Ordered,
            unanswered: false,
        };
        // An inherited task may have run on a worker that has not reported.
        let end_unknown =
            job.inherited && self.missing_reports || job.awaits_reports(step, failover_complete);
        let task = job.task_mut(key);
        if task.end_unknown || end_unknown {
            task.mark_restarted(run);
            self.unsaved.insert(key.job);
        }
        if std::mem::take(&mut task.unseen_run) {
            task.run = Run(task.run.0 + 1);
            task.add_unseen_crash();
            self.unsaved.insert(key.job);
        }
        task.phase = Phase::Starting {
            worker,
            maybe_started: false,
        };
        task.run = run;
        task.started_clock_ms = None;
        task.ordered_at = now;
        task.waiting_since = Some(waiting_since);
        let is_suspect = task.is_suspect();
        task.percent = 0;
        task.adopted_percent = None;
        task.pace = FULL_PACE;
        task.pace_unknown = false;
        task.halted_at = None;
        let checkpoint = task.checkpoint.clone();
        job.step_state(key).waiting -= 1;
        job.placed += 1;
        self.tenancy.charge(job.tenant, assigned.demand);
        if let Some(on) = self.workers.get_mut(worker) {
            on.add(key, assigned);
            on.record_start(is_suspect, now);
        }
        self.start_budget = self.start_budget.saturating_sub(1);
        self.orders.push(Order::Start(Start {
            worker,
            task: key,
            name,
            run,
            text,
            checkpoint,
            waited: now.since(waiting_since),
        }));
    }

    /// Stops runs that make no progress, so that they restart elsewhere.
    ///
    /// A run can only turn out as stalled by a report that is later than the last checked one.
    fn move_stalled(&mut self, now: MonoMs) {
        let mut stalled = Vec::new();
        let mut checked_runs = 0;
        for (worker_key, worker) in &mut self.workers {
            let Some(reported_at) = worker.reported_at else {
                continue;
            };
            if worker.stalls_checked_at.replace(reported_at) == Some(reported_at) {
                continue;
            }
            checked_runs += worker.tasks.len() as u64;
            for &key in worker.tasks.keys() {
                let job = &self.jobs[key.job];
                let Some(task) = job.task(key) else { continue };
                let is_limited = task.pace < FULL_PACE || task.pace_unknown;
                if !matches!(task.phase, Phase::Running { .. }) || is_limited {
                    continue;
                }
                let long_running = job.step(key).long_running;
                let timeout = if long_running {
                    LONG_RUNNING_START_TIMEOUT_MS
                } else {
                    STALL_TIMEOUT_MS
                };
                let at_work = long_running && task.percent == 100;
                if !at_work && reported_at.since(task.progressed_at) > timeout {
                    stalled.push((key, worker_key));
                }
            }
        }
        self.work.checked_runs += checked_runs;
        for (key, worker) in stalled {
            self.jobs[key.job].task_mut(key).failed_on = Some(worker);
            self.record_worker_failure(worker, now);
            self.stop(key);
        }
    }

    /// Moves runs off draining workers.
    ///
    /// Long-running tasks move at once, checkpointed runs shortly before the worker leaves.
    fn move_off_draining(&mut self) {
        let mut moved = Vec::new();
        for worker in self.workers.values() {
            if !worker.listing.draining {
                continue;
            }
            let soon = worker
                .listing
                .remaining_ms
                .is_none_or(|left| left <= MOVE_BEFORE_LEAVING_MS);
            moved.extend(worker.tasks.keys().copied().filter(|&key| {
                let step = self.jobs[key.job].step(key);
                step.long_running || (soon && step.checkpointed)
            }));
        }
        for key in moved {
            let running = self.jobs[key.job].task(key).map(|task| task.phase);
            if matches!(running, Some(Phase::Running { .. })) {
                self.stop(key);
            }
        }
    }
}
