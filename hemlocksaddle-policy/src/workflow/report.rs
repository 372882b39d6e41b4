//! Applies reports of workers and their answers to orders.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    delegation::{End, EndKind, Report, StartAnswer, TaskStatus},
    resources::Resources,
    workflow::{Failure, Run, Step, TaskName},
};

use super::{
    Order, Phase, Scheduler, Start, TaskKey, WorkerKey,
    job::FULL_PACE,
    restart::Presence,
    worker::{Assigned, Leftover},
};

/// Maximum number of ends in one report; further ends follow in later reports.
const MAX_LISTED_ENDS: usize = 500;

/// Delay before a failed task is started again.
///
/// A longer delay would not help a task that fails by its own fault, and a failing
/// worker is suspended separately.
const RETRY_PAUSE_MS: Millis = Millis(50);

impl Scheduler {
    /// Applies a report.
    pub fn apply_report(&mut self, key: WorkerKey, report: &Report, now: MonoMs, wall: WallMs) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        self.updated_at = now;
        worker.silent_since = None;
        worker.doubted = false;
        // Its runs ended with their lease, not by a crash.
        worker.expired.clear();
        worker.reported_at = worker.reported_at.max(Some(report.sent_at));
        worker.first_report_at.get_or_insert(now);
        let locates = worker.answers_this_owner_alone(report.sent_at);
        worker.pace_due = true;
        let applied = worker.applied_ends;
        for end in report.ends.iter().filter(|end| end.number > applied) {
            self.apply_end(key, end, now, wall);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.applied_ends = end.number;
            }
        }
        let mut listed = Vec::new();
        if let Some(worker) = self.workers.get_mut(key) {
            worker.release_ends(now);
            // Later ones may have been seen while the report was on its way.
            let seen = |run: &mut Leftover| run.seen_at <= report.sent_at;
            listed.extend(worker.leftovers.extract_if(.., seen));
        }
        for status in &report.running {
            self.apply_status(key, status, locates, now);
        }
        self.renew_charges(key, listed);
        if report.ends.len() < MAX_LISTED_ENDS {
            self.drop_missing(key, report, wall);
        }
        self.learn(key, report, now);
    }

    fn apply_end(&mut self, worker: WorkerKey, end: &End, now: MonoMs, wall: WallMs) {
        if end.kind == EndKind::Lapsed
            && let Some(worker) = self.workers.get_mut(worker)
        {
            // The lease has expired since the earlier ends.
            worker.withheld_end = None;
        }
        let Some(key) = end.task.and_then(|name| self.named_task_key(name)) else {
            if end.task.is_some_and(|name| self.is_superseded(name, end)) {
                self.withhold(worker, end);
            }
            return;
        };
        let assigned = self
            .workers
            .get(worker)
            .and_then(|worker| worker.tasks.get(&key));
        let carried_over =
            assigned.is_some_and(|assigned| assigned.presence == Presence::CarriedOver);
        let job = &mut self.jobs[key.job];
        job.started = true;
        let gang = job.step(key).gang;
        let task = job.task_mut(key);
        task.run = task.run.max(end.run);
        task.has_run = true;
        let current = task.phase.worker() == Some(worker) && task.run == end.run;
        // A process also answers the order to stop a run that crashed its predecessor.
        if !(carried_over && end.kind == EndKind::Stopped) {
            // The worker has outlived the run.
            task.crashes.retain(|crash| crash.run != end.run);
        }
        task.unseen_run = false;
        let is_earlier = self.earlier_run_ended(key, worker, end.run);
        let job = &mut self.jobs[key.job];
        let task = job.task_mut(key);
        if end.checkpoint.is_some() && end.kind != EndKind::Done {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        let is_superseded = !is_earlier && task.restarted.is_some_and(|run| end.run < run);
        if end.kind == EndKind::Done && is_superseded {
            job.settle(key);
            return self.withhold(worker, end);
        }
        match end.kind {
            EndKind::Done => {
                if current {
                    self.observe_run_time(key, now);
                } else {
                    self.stop_superseded(key, now);
                }
                if is_earlier || self.stop_earlier(key) {
                    self.copy_decided(key, !is_earlier);
                }
                self.complete_task(key);
                if gang {
                    self.complete_gang(key);
                }
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.record_success();
                }
            }
            EndKind::Failed => {
                if current {
                    self.unassign(key);
                }
                self.run_failed(worker, key, end.run, now, wall);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {
                if current {
                    self.unassign(key);
                }
            }
        }
        if gang && end.kind != EndKind::Done {
            self.stop_gang(key);
        }
        self.jobs[key.job].settle(key);
        self.finish_if_complete(key.job, wall);
    }

    /// Orders the current run of a task to stop after another run of it completed.
    fn stop_superseded(&mut self, key: TaskKey, now: MonoMs) {
        let name = self.name(key);
        let job = &self.jobs[key.job];
        let demand = occupied(job.step(key));
        let task = job.task(key);
        let Some(task) = task else { return };
        let (phase, run) = (task.phase, task.run);
        let Some(worker) = phase.worker() else { return };
        let lease_until = self.workers.get(worker).map(|worker| worker.lease_until);
        let seen_at = match phase {
            // The order may be carried out later.
            Phase::Starting { .. } => lease_until.unwrap_or(now).max(now),
            _ => now,
        };
        self.stop_leftover(worker, name, run, Some(demand), seen_at);
    }

    fn run_failed(&mut self, worker: WorkerKey, key: TaskKey, run: Run, now: MonoMs, wall: WallMs) {
        let job = &mut self.jobs[key.job];
        let long_running = job.step(key).long_running;
        let task = job.task_mut(key);
        if task.failed.contains(&run) {
            return;
        }
        if long_running {
            // Their attempts are not limited; the latest tells a successor that the task ran.
            task.failed.clear();
        }
        task.failed.push(run);
        task.failed_on = Some(worker);
        task.not_before = now + RETRY_PAUSE_MS;
        self.record_worker_failure(worker, now);
        self.unsaved.insert(key.job);
        self.check_attempts(key, wall);
    }

    /// Ends the workflow of a task that has used up its attempts.
    ///
    /// Until the configuration tells their limit, the task is remembered and not started. Long-running tasks
    /// have no limit.
    fn check_attempts(&mut self, key: TaskKey, wall: WallMs) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        if job.step(key).long_running {
            return;
        }
        let Some(max_attempts) = self.queue(&job.spec.queue).map(|queue| queue.max_attempts) else {
            self.unchecked_attempts.push(key);
            return;
        };
        let task = job.task(key).filter(|task| task.phase != Phase::Done);
        let failed = task.map_or(0, |task| task.failed.len());
        if failed >= max_attempts as usize {
            let attempts = u32::try_from(failed).unwrap_or(u32::MAX);
            let task = self.name(key);
            self.fail_job(key.job, Failure::Attempts { task, attempts }, wall);
        }
    }

    /// Checks the attempts of tasks that failed while the limit was not known.
    pub(super) fn check_remembered_attempts(&mut self, wall: WallMs) {
        for key in std::mem::take(&mut self.unchecked_attempts) {
            self.check_attempts(key, wall);
        }
    }

    /// Applies the state of a run; `locates` if no predecessor can have seen its end meanwhile.
    fn apply_status(&mut self, worker: WorkerKey, status: &TaskStatus, locates: bool, now: MonoMs) {
        let Some(key) = self.named_task_key(status.task) else {
            self.stop_leftover(worker, status.task, status.run, None, now);
            return;
        };
        let clock_ms = self.workers.get(worker).map(|worker| worker.clock_ms);
        let known = self
            .workers
            .get(worker)
            .and_then(|worker| worker.tasks.get(&key));
        let unanswered = known.is_some_and(|known| known.run == status.run && known.unanswered);
        let job = &mut self.jobs[key.job];
        job.started = true;
        let wanted = job.is_open();
        let step = job.step(key);
        let assigned = Assigned {
            run: status.run,
            demand: step.demand,
            best_effort: step.best_effort,
            long_running: step.long_running,
            measurement: status.measurement,
            presence: Presence::Reported,
            unanswered,
        };
        let task = job.task_mut(key);
        let adopted = task.phase == Phase::Waiting && status.run >= task.run;
        let current = task.phase.worker() == Some(worker) && task.run == status.run;
        if !adopted && !current {
            let occupied = occupied(job.step(key));
            job.settle(key);
            if wanted && self.copies.is_earlier(key, worker, status.run) {
                self.earlier_run_listed(key, clock_ms);
                self.keep_leftover(worker, status.task, status.run, Some(occupied), now);
                return;
            }
            self.stop_leftover(worker, status.task, status.run, Some(occupied), now);
            return;
        }
        if status.percent != task.percent || task.run != status.run || adopted {
            task.progressed_at = now;
        }
        task.percent = status.percent;
        // The worker has not ended with the run.
        task.crashes.retain(|crash| crash.run != status.run);
        if adopted || task.run != status.run || task.started_clock_ms.is_none() {
            task.started_clock_ms = clock_ms;
        }
        task.run = status.run;
        task.has_run = true;
        if status.checkpoint.is_some() {
            task.checkpoint.clone_from(&status.checkpoint);
        }
        if adopted {
            task.adopted_percent = Some(status.percent);
            task.pace = FULL_PACE;
            task.pace_unknown = false;
            task.halted_at = None;
            let state = job.step_state(key);
            state.waiting -= 1;
            job.placed += 1;
            self.tenancy.charge(job.tenant, assigned.demand);
        }
        if locates {
            let state = job.step_state(key);
            let task = &mut state.tasks[key.index];
            state.located += u32::from(!std::mem::replace(&mut task.located, true));
        }
        let task = job.task_mut(key);
        if adopted {
            task.unseen_run = false;
            task.ordered_at = now;
        }
        if !matches!(task.phase, Phase::Running { .. } | Phase::Stopping { .. }) {
            task.phase = Phase::Running { worker, since: now };
            task.progressed_at = now;
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.add(key, assigned);
            if let Some(task) = worker.tasks.get_mut(&key) {
                task.measurement = status.measurement;
            }
        }
        self.record_survival(key, worker);
        if !wanted {
            self.stop(key);
        }
    }

    /// Takes back that the run of a task is known not to have been followed by another.
    pub(super) fn forget_location(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(key.job) {
            let state = job.step_state(key);
            let task = &mut state.tasks[key.index];
            state.located -= u32::from(std::mem::replace(&mut task.located, false));
        }
    }

    /// Orders a run to stop that is no longer assigned, and counts it until the worker drops it.
    fn stop_leftover(
        &mut self,
        worker: WorkerKey,
        task: TaskName,
        run: Run,
        demand: Option<Resources>,
        now: MonoMs,
    ) {
        self.keep_leftover(worker, task, run, demand, now);
        self.orders.push(Order::Stop { worker, task, run });
    }

    /// Counts a run that is not assigned until the worker drops it.
    fn keep_leftover(
        &mut self,
        worker: WorkerKey,
        task: TaskName,
        run: Run,
        demand: Option<Resources>,
        now: MonoMs,
    ) {
        let charge = self.charge_of(task);
        if let Some(on) = self.workers.get_mut(worker) {
            let replaced = on.add_leftover(Leftover {
                task,
                run,
                demand,
                charge,
                seen_at: now,
            });
            if let Some(charge) = charge {
                self.tenancy.charge(charge.tenant, charge.demand);
            }
            self.renew_charges(worker, replaced);
        }
    }

    /// Unassigns tasks that a worker's report should list but does not.
    fn drop_missing(&mut self, worker: WorkerKey, report: &Report, wall: WallMs) {
        let Some(assigned) = self.workers.get(worker) else {
            return;
        };
        let missing: Vec<TaskKey> = assigned
            .tasks
            .keys()
            .copied()
            .filter(|&key| {
                let name = self.name(key);
                let task = self.jobs[key.job].task(key);
                let confirmed_at = task.and_then(|task| match task.phase {
                    Phase::Running { since, .. } => Some(since),
                    Phase::Stopping { answered_at, .. } => answered_at,
                    _ => None,
                });
                confirmed_at.is_some_and(|at| at < report.sent_at)
                    && !report.running.iter().any(|status| status.task == name)
            })
            .collect();
        for key in missing {
            self.unassign(key);
            self.finish_if_complete(key.job, wall);
        }
    }

    /// Applies the answer to an order to start; returns whether to send the order again.
    pub fn start_answered(&mut self, start: &Start, answer: StartAnswer, now: MonoMs) -> bool {
        let clock_ms = self.workers.get(start.worker).map(|worker| worker.clock_ms);
        let Some(job) = self.jobs.get_mut(start.task.job) else {
            return false;
        };
        let task = job.task_mut(start.task);
        let Phase::Starting {
            worker,
            maybe_started,
        } = task.phase
        else {
            // A report arrived before the answer, or the task was stopped meanwhile.
            return false;
        };
        if worker != start.worker || task.run != start.run {
            return false;
        }
        match answer {
            StartAnswer::Accepted => {
                task.phase = Phase::Running { worker, since: now };
                task.progressed_at = now;
                task.percent = 0;
                task.has_run = true;
                task.started_clock_ms = clock_ms;
                job.started = true;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.pace_due = true;
                }
            }
            StartAnswer::Unknown => {
                task.phase = Phase::Starting {
                    worker,
                    maybe_started: true,
                };
                if let Some(worker) = self.workers.get_mut(worker)
                    && let Some(assigned) = worker.tasks.get_mut(&start.task)
                {
                    assigned.unanswered = true;
                }
                return true;
            }
            StartAnswer::NotSent if maybe_started => return true,
            // The answer to the stop, or a report of the run, shows whether the first order took effect.
            _ if maybe_started => self.stop(start.task),
            StartAnswer::OtherLife => self.unassign_refused(start),
            StartAnswer::NoRoom | StartAnswer::Unhealthy | StartAnswer::NotSent => {
                self.unassign_refused(start);
                if let Some(worker) = self.workers.get_mut(start.worker) {
                    worker.record_refusal(now);
                }
            }
            StartAnswer::OldRun | StartAnswer::Late | StartAnswer::Fenced => {
                self.unassign_refused(start);
            }
            StartAnswer::Invalid => {
                self.unassign_refused(start);
                let task = self.jobs[start.task.job].task_mut(start.task);
                task.not_before = now + INVALID_PAUSE_MS;
            }
        }
        false
    }

    /// Returns a task to the waiting state whose start was certainly not carried out.
    fn unassign_refused(&mut self, start: &Start) {
        self.unassign(start.task);
        let task = self.jobs[start.task.job].task_mut(start.task);
        if task.undo_restarted(start.run) {
            self.unsaved.insert(start.task.job);
        }
    }

    /// Whether a start is still unconfirmed, so that its order may be sent again.
    #[must_use]
    pub fn is_start_pending(&self, start: &Start) -> bool {
        let job = self.jobs.get(start.task.job);
        let task = job.and_then(|job| job.task(start.task));
        task.is_some_and(|task| {
            task.run == start.run
                && matches!(task.phase, Phase::Starting { worker, .. } if worker == start.worker)
        })
    }

    /// Orders a run to stop whose start got no answer, so that it cannot begin later.
    pub fn abandon_start(&mut self, start: &Start) {
        if let Some(job) = self.jobs.get(start.task.job)
            && job
                .task(start.task)
                .is_some_and(|task| task.run == start.run)
        {
            self.stop(start.task);
        }
    }

    /// Records that a change of pace may not have been carried out.
    pub fn pace_unknown(&mut self, name: TaskName, run: Run) {
        if let Some(key) = self.task_key(name) {
            let task = self.jobs[key.job].task_mut(key);
            if task.run == run {
                task.pace_unknown = true;
                let worker = task.phase.worker();
                if let Some(worker) = worker.and_then(|key| self.workers.get_mut(key)) {
                    worker.pace_due = true;
                }
            }
        }
    }

    /// Records that a worker answered an order to stop.
    pub fn stop_answered(&mut self, worker: WorkerKey, name: TaskName, run: Run, now: MonoMs) {
        let Some(key) = self.task_key(name) else {
            return;
        };
        let task = self.jobs[key.job].task_mut(key);
        if let Phase::Stopping {
            worker: on,
            answered_at,
        } = &mut task.phase
            && *on == worker
            && task.run == run
        {
            answered_at.get_or_insert(now);
        }
    }

    /// Whether an order to stop is still unanswered, so that it has to be sent again.
    #[must_use]
    pub fn is_stop_pending(&self, worker: WorkerKey, name: TaskName, run: Run) -> bool {
        let Some(key) = self.task_key(name) else {
            return false;
        };
        let task = self.jobs[key.job].task(key);
        task.is_some_and(|task| {
            task.run == run
                && matches!(task.phase,
                    Phase::Stopping { worker: on, answered_at: None } if on == worker)
        })
    }
}

/// Resources that a run of a step occupies on its worker.
pub(super) fn occupied(step: &Step) -> Resources {
    let cpu_milli = if step.best_effort {
        0
    } else {
        step.demand.cpu_milli
    };
    Resources {
        cpu_milli,
        ..step.demand
    }
}

/// Delay before a task is started again after a worker could not parse its order.
const INVALID_PAUSE_MS: Millis = Millis(2_000);
