//! Life cycle of workflows: acceptance, cancellation, completion and recovery.

use std::{collections::BTreeMap, sync::Arc};

use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    workflow::{CrashedRun, Failure, Progress, Run, State, StepProgress, Workflow, WorkflowId},
};

use super::{
    JobKey, Order, Phase, Scheduler, TaskKey, WorkerKey,
    ended::of_ended,
    interference::ImageId,
    job::{Job, StepState},
};

/// Maximum number of workflows whose progress is saved at once.
///
/// The records of workflows with four steps take less than half a second on a link of 2 Mbit/s; a
/// call to the store may take more than twice as long.
pub const MAX_SAVED_WORKFLOWS: usize = 500;

/// Number of restored tasks of a step with an unknown end from which all waiting ones are taken as such.
const MAX_SINGLY_UNKNOWN: usize = 1_000;

/// Progress that is to be made durable.
#[derive(Clone, Debug, Default)]
pub struct Unsaved {
    /// Progress of each changed workflow.
    pub progress: Vec<(WorkflowId, Progress)>,
    /// Workers to remove from the roster, after the progress is durable or together with it.
    pub departed: Vec<Arc<str>>,
    keys: Vec<JobKey>,
    ends: Vec<(WorkerKey, u64)>,
    crashes: Vec<TaskKey>,
}

impl Unsaved {
    /// Whether there is nothing to save.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.progress.is_empty() && self.ends.is_empty() && self.departed.is_empty()
    }
}

impl Scheduler {
    /// Adds an accepted workflow, or confirms a known one; returns whether it was added.
    pub fn accept(&mut self, id: WorkflowId, spec: Workflow, now: MonoMs, inherited: bool) -> bool {
        if let Some(&key) = self.by_id.get(&id) {
            self.jobs[key].unconfirmed = false;
            return false;
        }
        if self.note_submission(id) {
            return false;
        }
        self.add(id, spec, now, inherited);
        true
    }

    /// Adds an accepted workflow that is not started until [`Scheduler::accept`] confirms it;
    /// returns whether it was added.
    pub fn accept_unconfirmed(&mut self, id: WorkflowId, spec: Workflow, now: MonoMs) -> bool {
        if self.by_id.contains_key(&id) || self.note_submission(id) {
            return false;
        }
        let key = self.add(id, spec, now, false);
        self.jobs[key].unconfirmed = true;
        true
    }

    fn add(&mut self, id: WorkflowId, spec: Workflow, now: MonoMs, inherited: bool) -> JobKey {
        let steps = spec.steps.iter();
        let images: Vec<_> = steps
            .map(|step| self.interference.image_id(step.image.as_ref()))
            .collect();
        if !inherited || !self.interference.has_restored_demand() {
            self.record_demand(&spec, &images);
        }
        let tenant = spec.tenant.clone();
        let canceller = (id, tenant.clone());
        let key = self.jobs.insert(Job::new(id, spec, images, now, inherited));
        self.jobs[key].tenant = tenant.map(|name| self.tenancy.enter(&name));
        self.by_id.insert(id, key);
        self.open_jobs.push(key);
        if self.pending_cancels.remove(&canceller).is_some() {
            self.cancel_job(key);
        }
        key
    }

    fn record_demand(&mut self, spec: &Workflow, images: &[ImageId]) {
        for (step, &image) in spec.steps.iter().zip(images) {
            if step.best_effort {
                let run_s = step.expected_run_ms as f64 / 1_000.0;
                let work = f64::from(step.tasks) * step.demand.cpu_milli as f64 * run_s;
                self.interference.record_demand(image, work);
            }
        }
    }

    /// Cancels a workflow without a tenant and orders its runs to stop.
    pub fn cancel(&mut self, id: WorkflowId, now: MonoMs) {
        self.cancel_by(id, None, now);
    }

    pub(super) fn cancel_job(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.ended.is_some() || job.cancelled {
            return;
        }
        job.cancelled = true;
        self.cancelled_jobs.push(key);
        self.stop_all(key);
        self.remove_open(key);
    }

    /// Restores durable progress of a workflow.
    pub fn restore(&mut self, id: WorkflowId, progress: &Progress) {
        let Some(&key) = self.by_id.get(&id) else {
            return self.restore_ended(id, progress);
        };
        if self.remove_foreign(key, progress) {
            self.restore_ended(id, progress);
            self.note_submission(id);
            return;
        }
        let job = &mut self.jobs[key];
        job.occurrences.restore_done(&progress.done);
        job.started |= !progress.done.is_empty();
        for saved in &progress.steps {
            job.started |= saved.has_started();
            if !job.occurrences.is_open(saved.occurrence) {
                for &(index, run) in &saved.restarted {
                    let of = (saved.occurrence, saved.step, index);
                    job.occurrences.restore_restarted(of, run);
                }
                continue;
            }
            job.occurrences
                .ensure(saved.occurrence, &job.spec, job.accepted_at);
            let occurrence = job.occurrences.get_mut(saved.occurrence);
            let Some(step) = occurrence.and_then(|o| o.steps.get_mut(usize::from(saved.step)))
            else {
                continue;
            };
            restore_step(step, saved);
            job.maybe_done.push(saved.occurrence);
            let suspects = saved.crashed.iter().map(|&(index, _)| TaskKey {
                job: key,
                occurrence: saved.occurrence,
                step: saved.step,
                index,
            });
            self.suspects.extend(suspects);
            // The predecessor may not have known the limit of attempts.
            let failed = saved.failed.iter().map(|&(index, _)| TaskKey {
                job: key,
                occurrence: saved.occurrence,
                step: saved.step,
                index,
            });
            self.unchecked_attempts.extend(failed);
        }
        job.retire_occurrences();
        if let Some(state) = progress.ended {
            let at_ms = progress.ended_ms.unwrap_or(job.spec.received_ms);
            job.ended = Some((state, at_ms));
            job.ended_saved = true;
            job.failure.clone_from(&progress.failure);
            self.remove_open(key);
        }
    }

    /// Takes progress that is not durable yet, of [`MAX_SAVED_WORKFLOWS`] workflows at most.
    ///
    /// Ends and departures are taken with the last part, since they depend on the progress.
    #[must_use]
    pub fn take_unsaved(&mut self) -> Unsaved {
        let keys = self.unsaved.iter().take(MAX_SAVED_WORKFLOWS);
        let keys: Vec<JobKey> = keys.copied().collect();
        for key in &keys {
            self.unsaved.remove(key);
        }
        let is_last = self.unsaved.is_empty();
        let progress = keys.iter().map(|&key| {
            let job = &self.jobs[key];
            (job.id, progress(job))
        });
        let progress = progress.collect();
        let with_crashes = keys.iter().copied();
        let crashes = with_crashes
            .flat_map(|key| std::mem::take(&mut self.jobs[key].unsaved_crashes))
            .collect();
        let departed = if is_last {
            self.take_departed()
        } else {
            Vec::new()
        };
        let ends = self
            .workers
            .iter()
            .filter(|(_, worker)| is_last && worker.has_unsaved_ends());
        Unsaved {
            progress,
            departed,
            crashes,
            ends: ends
                .map(|(key, worker)| (key, worker.acknowledgeable_ends()))
                .collect(),
            keys,
        }
    }

    /// Records that progress is durable.
    pub fn mark_saved(&mut self, saved: Unsaved) {
        for key in saved.keys {
            if let Some(job) = self.jobs.get_mut(key)
                && job.ended.is_some()
                && !self.unsaved.contains(&key)
            {
                job.ended_saved = true;
            }
        }
        for key in saved.crashes {
            if let Some(job) = self.jobs.get_mut(key.job)
                && !job.unsaved_crashes.contains(&key)
                && let Some(task) = job.find_task_mut(key)
            {
                task.crash_unsaved = false;
            }
        }
        for (key, upto) in saved.ends {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.saved_ends = worker.saved_ends.max(upto);
            }
        }
    }

    /// Puts back progress that could not be saved.
    pub fn mark_unsaved(&mut self, unsaved: Unsaved) {
        let jobs = &self.jobs;
        let known = unsaved
            .keys
            .into_iter()
            .filter(|&key| jobs.contains_key(key));
        self.unsaved.extend(known);
        self.put_back_departed(unsaved.departed);
        for key in unsaved.crashes {
            if let Some(job) = self.jobs.get_mut(key.job) {
                job.unsaved_crashes.push(key);
            }
        }
    }

    /// Number of open workflows of a queue without a started task, excluding those with a schedule.
    #[must_use]
    pub fn count_waiting(&self, queue: &str) -> u32 {
        self.count_waiting_if(queue, |_| true)
    }

    /// Number of such workflows whose tenant meets a condition.
    pub(super) fn count_waiting_if(
        &self,
        queue: &str,
        counts: impl Fn(Option<&Arc<str>>) -> bool,
    ) -> u32 {
        let waiting = self.jobs.values().filter(|job| {
            !job.started
                && job.is_open()
                && job.spec.schedule.is_none()
                && *job.spec.queue == *queue
                && counts(job.spec.tenant.as_ref())
        });
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Removes workflows that ended more than `keep_ended_ms` ago; returns their ids.
    pub fn forget_ended(&mut self, wall: WallMs) -> Vec<WorkflowId> {
        let keep_ms = self.limits.keep_ended_ms;
        let old = self.jobs.iter().filter(|(_, job)| {
            let ended = job.ended.filter(|_| job.ended_saved);
            job.placed == 0 && ended.is_some_and(|(_, at_ms)| wall.since(at_ms) > keep_ms)
        });
        let old: Vec<_> = old.map(|(key, job)| (key, job.id)).collect();
        for (key, id) in &old {
            if let Some(job) = self.jobs.remove(*key) {
                self.tenancy.leave(job.tenant);
            }
            self.by_id.remove(id);
            self.unsaved.remove(key);
        }
        let mut old: Vec<_> = old.into_iter().map(|(_, id)| id).collect();
        old.extend(self.forget_outcomes(wall));
        old
    }

    /// Ends a workflow whose tasks are all done, or a cancelled one without assigned tasks.
    pub(super) fn finish_if_complete(&mut self, key: JobKey, wall: WallMs) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.ended.is_some() {
            return;
        }
        if job.cancelled {
            if job.placed == 0 {
                job.ended = Some((State::Cancelled, wall));
                self.unsaved.insert(key);
            }
            return;
        }
        job.retire_occurrences();
        if job.is_done() {
            job.ended = Some((State::Completed, wall));
            self.unsaved.insert(key);
            self.remove_open(key);
        }
    }

    /// Ends cancelled workflows without assigned tasks.
    ///
    /// Those of a predecessor may have runs on workers that have not reported yet.
    pub(super) fn finish_cancelled(&mut self, now: MonoMs, wall: WallMs) {
        let failover_complete = self.is_failover_complete(now);
        for key in std::mem::take(&mut self.cancelled_jobs) {
            let inherited = self.jobs.get(key).is_some_and(|job| job.inherited);
            if failover_complete || !inherited {
                self.finish_if_complete(key, wall);
            }
            if self.jobs.get(key).is_some_and(|job| job.ended.is_none()) {
                self.cancelled_jobs.push(key);
            }
        }
    }

    /// Ends a workflow as failed.
    pub(super) fn fail_job(&mut self, key: JobKey, failure: Failure, wall: WallMs) {
        let job = &mut self.jobs[key];
        if job.ended.is_some() || job.cancelled {
            return;
        }
        job.ended = Some((State::Failed, wall));
        job.failure = Some(failure);
        self.unsaved.insert(key);
        self.stop_all(key);
        self.remove_open(key);
    }

    pub(super) fn remove_open(&mut self, key: JobKey) {
        self.open_jobs.retain(|&open| open != key);
    }

    fn stop_all(&mut self, key: JobKey) {
        self.stop_earlier_of(key);
        let job = &self.jobs[key];
        let mut placed = Vec::new();
        for (occurrence, state) in job.occurrences.iter() {
            for (step, tasks) in state.steps.iter().enumerate() {
                let assigned = tasks.tasks.own();
                let assigned = assigned.filter(|(_, task)| task.phase.worker().is_some());
                placed.extend(assigned.map(|(index, _)| TaskKey {
                    job: key,
                    occurrence,
                    step: u16::try_from(step).unwrap_or(u16::MAX),
                    index,
                }));
            }
        }
        for task in placed {
            self.stop(task);
        }
    }

    /// Orders the run of an assigned task to stop.
    pub(super) fn stop(&mut self, key: TaskKey) {
        let name = self.name(key);
        let job = &mut self.jobs[key.job];
        let Some(worker) = job.task(key).and_then(|task| task.phase.worker()) else {
            return;
        };
        let task = job.task_mut(key);
        if matches!(task.phase, Phase::Stopping { .. }) {
            return;
        }
        task.phase = Phase::Stopping {
            worker,
            answered_at: None,
        };
        let run = task.run;
        self.orders.push(Order::Stop {
            worker,
            task: name,
            run,
        });
    }

    /// Returns an assigned task to the waiting state after its run ended.
    pub(super) fn unassign(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let (tenant, demand) = (job.tenant, job.step(key).demand);
        let long_running = job.step(key).long_running;
        let state = job.step_state(key);
        // A task that is not assigned gets no state of its own.
        let Some(worker) = state.tasks[key.index].phase.worker() else {
            return;
        };
        let task = &mut state.tasks[key.index];
        // A start that was refused or taken back continues the wait.
        if !matches!(task.phase, Phase::Starting { .. }) {
            task.waiting_since = Some(self.updated_at);
            if task.has_run && long_running {
                self.unsaved.insert(key.job);
            }
        }
        task.phase = Phase::Waiting;
        state.waiting += 1;
        job.placed -= 1;
        self.tenancy.release(tenant, demand);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.remove(key);
        }
    }

    /// Marks a task as done.
    pub(super) fn complete_task(&mut self, key: TaskKey) {
        self.unassign(key);
        let job = &mut self.jobs[key.job];
        let state = job.step_state(key);
        let task = &mut state.tasks[key.index];
        if task.phase == Phase::Done {
            return;
        }
        task.phase = Phase::Done;
        state.tasks.settle(key.index);
        state.waiting -= 1;
        state.done += 1;
        if state.is_done() {
            job.maybe_done.push(key.occurrence);
        }
        job.started = true;
        self.unsaved.insert(key.job);
    }
}

fn restore_step(step: &mut StepState, saved: &StepProgress) {
    let count = step.tasks.count();
    let indices = |ranges: &[(u32, u32)]| -> Vec<u32> {
        let ranges = ranges.iter();
        ranges.flat_map(|&(from, to)| from..to.min(count)).collect()
    };
    for index in indices(&saved.done) {
        if step.tasks[index].phase == Phase::Waiting {
            step.tasks[index].phase = Phase::Done;
            step.tasks.settle(index);
            step.done += 1;
            step.waiting -= 1;
        }
    }
    for &(index, run) in &saved.failed {
        if let Some(task) = step.tasks.get_mut(index)
            && !task.failed.contains(&run)
        {
            task.failed.push(run);
            task.run = task.run.max(run);
            task.has_run = true;
        }
    }
    for index in indices(&saved.begun) {
        step.tasks[index].has_run = true;
    }
    for (index, crashed) in &saved.crashed {
        if let Some(task) = step.tasks.get_mut(*index)
            && !task.crashes.contains(crashed)
        {
            task.crashes.push(crashed.clone());
            task.run = task.run.max(crashed.run);
            task.unseen_run = task.is_suspect();
        }
    }
    for &(index, run) in &saved.restarted {
        if let Some(task) = step.tasks.get_mut(index) {
            task.restarted = Some(run);
            task.run = task.run.max(run);
            step.tasks.settle(index);
        }
    }
    let end_unknown = indices(&saved.end_unknown);
    if end_unknown.len() > MAX_SINGLY_UNKNOWN {
        // To take an end as unknown that is known costs an acknowledgement at most.
        step.tasks.mark_waiting_unknown();
        return;
    }
    for index in end_unknown {
        step.tasks[index].end_unknown = true;
    }
}

fn crashed_runs(step: &StepState) -> Vec<(u32, CrashedRun)> {
    let crashed = step.tasks.own().flat_map(|(index, task)| {
        let crashes = task.crashes.iter();
        crashes.map(move |run| (index, run.clone()))
    });
    crashed.collect()
}

/// Progress of a workflow, to be made durable.
pub(super) fn progress(job: &Job) -> Progress {
    let mut steps = Vec::new();
    for (occurrence, state) in job.occurrences.iter() {
        for (number, step) in state.steps.iter().enumerate() {
            let saved = StepProgress {
                occurrence,
                step: u16::try_from(number).unwrap_or(u16::MAX),
                done: step.tasks.ranges(|task| task.phase == Phase::Done),
                failed: failed_runs(step),
                restarted: step.tasks.restarted(),
                crashed: crashed_runs(step),
                begun: step
                    .tasks
                    .ranges(|task| job.spec.steps[number].long_running && task.has_run),
                end_unknown: step
                    .tasks
                    .ranges(|task| task.end_unknown && task.phase != Phase::Done),
            };
            let saved = if job.ended.is_some() {
                of_ended(saved)
            } else {
                saved
            };
            if !saved.is_empty() {
                steps.push(saved);
            }
        }
    }
    steps.extend(restarted_of_done(job));
    Progress {
        done: if job.ended.is_some() {
            Vec::new()
        } else {
            job.occurrences.done().to_vec()
        },
        further: None,
        ended: job.ended.map(|(state, _)| state),
        ended_ms: job.ended.map(|(_, at_ms)| at_ms),
        failure: job.failure.clone(),
        tenant: job.spec.tenant.clone(),
        steps,
    }
}

/// Progress of steps of done occurrences: what decides whether a late end is acknowledged.
fn restarted_of_done(job: &Job) -> Vec<StepProgress> {
    let mut steps: BTreeMap<(u32, u16), StepProgress> = BTreeMap::new();
    for (&(occurrence, step, index), &run) in job.occurrences.restarted() {
        let saved = steps.entry((occurrence, step)).or_default();
        saved.occurrence = occurrence;
        saved.step = step;
        saved.restarted.push((index, run));
    }
    steps.into_values().collect()
}

fn failed_runs(step: &StepState) -> Vec<(u32, Run)> {
    let failed = step
        .tasks
        .own()
        .flat_map(|(index, task)| task.failed.iter().map(move |&run| (index, run)));
    failed.collect()
}
