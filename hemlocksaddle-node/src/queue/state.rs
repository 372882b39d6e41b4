//! State of one queue, rebuilt by replaying its records.
//!
//! Tasks that were never started have no entry of their own: a task is fresh if its
//! index is `next_fresh` or above. Requeued and live tasks are in maps, and all
//! others below `next_fresh` have ended. A cancellation therefore takes the same
//! time for a job of one task and for a job of ten thousand.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
};

use foldhash::fast::FixedState;
use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    job::{Attempt, Checkpoint, JobId, JobSpec, JobStatus, TaskEnd, TaskId, Urgency},
    name::{IdempotencyKey, RackName, ServiceName, TeamName, WorkerName},
    outcome::ResultCode,
    record::Record,
    resources::Resources,
};
use serde::{Deserialize, Serialize};

use crate::wait::Signal;

/// Result of a job with a human-readable text.
pub(crate) type Outcome = (ResultCode, Arc<str>);

/// Idempotency key of a submission, scoped to its service.
pub(crate) type SubmitKey = (ServiceName, IdempotencyKey);

/// Task that waits for another attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Requeued {
    /// Number of the last attempt.
    pub(crate) attempt: Attempt,
    /// Checkpoint to resume from.
    pub(crate) checkpoint: Option<Checkpoint>,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
}

/// Phase of an attempt, as far as its queue owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AttemptPhase {
    /// This owner is placing the attempt.
    Placing,
    /// The rack's owner confirmed that the attempt runs or may run.
    Running,
    /// The rack's owner did not reply or changed, or an earlier queue owner started the attempt.
    Unknown,
}

/// Attempt that runs or may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LiveAttempt {
    pub(crate) attempt: Attempt,
    pub(crate) rack: Option<RackName>,
    pub(crate) worker: Option<WorkerName>,
    pub(crate) phase: AttemptPhase,
    /// Checkpoint that the attempt resumed from.
    pub(crate) checkpoint: Option<Checkpoint>,
    /// Whether an earlier attempt may have run.
    pub(crate) earlier_may_have_run: bool,
    /// Time at which the placement began or its outcome was last updated.
    pub(crate) updated_ms: MonoMs,
    /// Whether the end of the attempt is being appended to the log.
    pub(crate) committing: bool,
    /// Whether a background loop is requesting that the rack stops the attempt.
    pub(crate) stopping: bool,
}

/// Job of a queue.
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Rc<JobSpec>,
    pub(crate) accepted_ms: WallMs,
    /// Whether the acceptance is durable.
    pub(crate) durable: bool,
    pub(crate) next_fresh: u32,
    pub(crate) requeued: BTreeMap<u32, Requeued>,
    pub(crate) live: BTreeMap<u32, LiveAttempt>,
    pub(crate) completed: u32,
    /// Whether any attempt ran or may have run.
    pub(crate) ever_ran: bool,
    /// Result that the job gets once no attempt is live; while set, no attempt starts.
    pub(crate) ending: Option<Outcome>,
    /// Whether the final result is being appended to the log.
    pub(crate) finishing: bool,
    pub(crate) result: Option<Outcome>,
    pub(crate) finished_ms: Option<MonoMs>,
    /// Workers on which attempts failed.
    pub(crate) failed_on: BTreeSet<WorkerName>,
    /// Number of failed attempts.
    pub(crate) failures: u32,
    /// Why the tasks wait, as shown in the status.
    pub(crate) detail: Arc<str>,
    /// Time before which no task of the job is placed.
    pub(crate) not_before_ms: MonoMs,
    /// Time of the last snapshot by this owner; before the first one, time of acceptance.
    pub(crate) snapshot_ms: WallMs,
    pub(crate) changed: Rc<Signal>,
}

/// Complete state of a job, written before the retention drops its records.
#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    job: JobId,
    spec: JobSpec,
    accepted_ms: WallMs,
    next_fresh: u32,
    requeued: BTreeMap<u32, Requeued>,
    live: BTreeMap<u32, (Attempt, Option<RackName>, Option<Checkpoint>)>,
    completed: u32,
    ending: Option<(ResultCode, Arc<str>)>,
    result: Option<(ResultCode, Arc<str>)>,
}

impl Job {
    /// Creates a job without attempts.
    pub(crate) fn new(id: JobId, spec: JobSpec, accepted_ms: WallMs) -> Job {
        Job {
            id,
            spec: Rc::new(spec),
            accepted_ms,
            durable: false,
            next_fresh: 0,
            requeued: BTreeMap::new(),
            live: BTreeMap::new(),
            completed: 0,
            ever_ran: false,
            ending: None,
            finishing: false,
            result: None,
            finished_ms: None,
            failed_on: BTreeSet::new(),
            failures: 0,
            detail: Arc::from(""),
            not_before_ms: MonoMs(0),
            snapshot_ms: accepted_ms,
            changed: Rc::default(),
        }
    }

    /// Whether another attempt may follow a lost one.
    pub(crate) fn may_rerun(&self) -> bool {
        self.spec.idempotent || self.spec.resumable
    }

    /// Number of tasks that wait for an attempt.
    pub(crate) fn waiting(&self) -> u32 {
        if self.ending.is_some() || self.result.is_some() {
            return 0;
        }
        let fresh = self.spec.tasks.saturating_sub(self.next_fresh);
        fresh + u32::try_from(self.requeued.len()).unwrap_or(u32::MAX)
    }

    /// Next task to start, with the state of its earlier attempts; requeued tasks come first.
    pub(crate) fn next_task(&self) -> Option<(u32, Requeued)> {
        if self.waiting() == 0 {
            return None;
        }
        let requeued = self.requeued.first_key_value();
        let requeued = requeued.map(|(index, task)| (*index, task.clone()));
        requeued.or_else(|| {
            let fresh = self.next_fresh < self.spec.tasks;
            fresh.then(|| (self.next_fresh, Requeued::default()))
        })
    }

    /// Removes a task from the waiting ones.
    ///
    /// The records of tasks that start at the same time may be in the log in any
    /// order, so fresh tasks with a lower index are requeued.
    pub(crate) fn mark_started(&mut self, index: u32) {
        self.requeued.remove(&index);
        for passed in self.next_fresh..index {
            self.requeued.insert(passed, Requeued::default());
        }
        self.next_fresh = self.next_fresh.max(index + 1);
    }

    /// Outcome of the job, if no attempt is live and none will start.
    pub(crate) fn outcome(&self) -> Option<Outcome> {
        if !self.live.is_empty() || self.result.is_some() {
            return None;
        }
        let finished = self.next_fresh >= self.spec.tasks && self.requeued.is_empty();
        let completed = || (ResultCode::Completed, Arc::from(""));
        let outcome = self.ending.clone().or_else(|| finished.then(completed))?;
        Some(self.match_run_state(outcome))
    }

    /// Adjusts the outcome to whether the job ran: a placement may have been in
    /// progress when the job was cancelled or its deadline passed.
    fn match_run_state(&self, outcome: Outcome) -> Outcome {
        let code = match (outcome.0, self.ever_ran) {
            (ResultCode::CancelledBeforeStart, true) => ResultCode::CancelledWhileRunning,
            (ResultCode::DeadlineBeforeStart, true) => ResultCode::DeadlineWhileRunning,
            (ResultCode::DeadlineWhileRunning, false) => ResultCode::DeadlineBeforeStart,
            _ => return outcome,
        };
        (code, Arc::from(code.text()))
    }

    /// Outcome of a cancellation at this time.
    pub(crate) fn cancellation_outcome(&self) -> Outcome {
        let code = match self.ever_ran {
            true => ResultCode::CancelledWhileRunning,
            false => ResultCode::CancelledBeforeStart,
        };
        (code, Arc::from(code.text()))
    }

    /// Status as reported to callers.
    pub(crate) fn status(&self) -> JobStatus {
        let ended = self.result.as_ref().or(self.ending.as_ref());
        JobStatus {
            job: self.id,
            queued: self.waiting(),
            running: u32::try_from(self.live.len()).unwrap_or(u32::MAX),
            completed: self.completed,
            result: self.result.as_ref().map(|(code, _)| *code),
            detail: ended.map_or_else(|| self.detail.clone(), |(_, text)| text.clone()),
        }
    }

    /// Snapshot of the job as a record; `None` if it cannot be encoded.
    pub(crate) fn snapshot_record(&self) -> Option<Record> {
        let live = self.live.iter().map(|(index, live)| {
            let state = (live.attempt, live.rack.clone(), live.checkpoint.clone());
            (*index, state)
        });
        let snapshot = Snapshot {
            job: self.id,
            spec: (*self.spec).clone(),
            accepted_ms: self.accepted_ms,
            next_fresh: self.next_fresh,
            requeued: self.requeued.clone(),
            live: live.collect(),
            completed: self.completed,
            ending: self.ending.clone(),
            result: self.result.clone(),
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&snapshot, &mut bytes).ok()?;
        Some(Record::RestateJob(bytes.into()))
    }

    fn from_snapshot(snapshot: Snapshot) -> Job {
        let mut job = Job::new(snapshot.job, snapshot.spec, snapshot.accepted_ms);
        job.durable = true;
        job.next_fresh = snapshot.next_fresh;
        job.ever_ran = !snapshot.live.is_empty() || snapshot.completed > 0;
        job.ever_ran |= snapshot.requeued.values().any(|task| task.may_have_run);
        job.requeued = snapshot.requeued;
        job.completed = snapshot.completed;
        job.ending = snapshot.ending;
        job.result = snapshot.result;
        for (index, (attempt, rack, checkpoint)) in snapshot.live {
            let live = job.recovered_attempt(attempt, rack, checkpoint);
            job.live.insert(index, live);
        }
        job
    }

    /// Attempt known only from a record or an event, in an unknown phase.
    ///
    /// A task that must not run twice gets another attempt only if no earlier one
    /// ran, so a recorded attempt is the only one that may have run.
    pub(crate) fn recovered_attempt(
        &self,
        attempt: Attempt,
        rack: Option<RackName>,
        checkpoint: Option<Checkpoint>,
    ) -> LiveAttempt {
        LiveAttempt {
            attempt,
            rack,
            worker: None,
            phase: AttemptPhase::Unknown,
            checkpoint,
            earlier_may_have_run: self.may_rerun(),
            updated_ms: MonoMs(0),
            committing: false,
            stopping: false,
        }
    }
}

/// Rank of an urgency; lower ranks are served first.
pub(crate) fn urgency_rank(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}

/// Jobs of a queue, with indexes derived from them.
#[derive(Default)]
pub(crate) struct Jobs {
    pub(crate) jobs: HashMap<JobId, Job, FixedState>,
    pub(crate) keys: HashMap<SubmitKey, (u64, JobId), FixedState>,
    /// Jobs with waiting tasks, by urgency and team.
    pub(crate) waiting: BTreeMap<(u8, TeamName), BTreeSet<JobId>>,
    /// Resources that the live attempts of each team hold or may hold.
    pub(crate) used: HashMap<TeamName, Resources, FixedState>,
    /// Number of jobs without a result.
    pub(crate) unfinished: usize,
}

impl Jobs {
    /// Rebuilds the jobs from the valid records of the stream.
    pub(crate) fn replay(records: &[Record]) -> Jobs {
        let mut jobs = Jobs::default();
        for record in records {
            jobs.apply(record);
        }
        jobs.rebuild_indexes();
        jobs
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::JobAccepted {
                job,
                spec,
                accepted_ms,
            } => {
                let accepted = || Job::new(*job, spec.clone(), *accepted_ms);
                self.jobs.entry(*job).or_insert_with(accepted).durable = true;
            }
            Record::TaskStarted {
                task,
                attempt,
                rack,
            } => self.apply_started(*task, *attempt, rack),
            Record::TaskRequeued {
                task,
                attempt,
                checkpoint,
            } => self.apply_requeued(*task, *attempt, checkpoint),
            Record::TaskEnded { task, attempt, end } => self.apply_ended(*task, *attempt, end),
            Record::JobCancelled { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    let outcome = job.cancellation_outcome();
                    job.ending.get_or_insert(outcome);
                }
            }
            Record::JobEnded {
                job,
                result,
                detail,
            } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.result = Some((*result, detail.clone()));
                    job.live.clear();
                }
            }
            Record::RestateJob(bytes) => self.apply_snapshot(bytes),
            _ => {}
        }
    }

    fn apply_started(&mut self, task: TaskId, attempt: Attempt, rack: &RackName) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let last = job.requeued.get(&task.index).map(|task| task.attempt);
        let last = last.or(job.live.get(&task.index).map(|live| live.attempt));
        let fresh = task.index >= job.next_fresh;
        if !fresh && last.is_none_or(|last| last >= attempt) {
            return;
        }
        let before = job.requeued.get(&task.index);
        let before = before.and_then(|task| task.checkpoint.clone());
        let resumed = job.live.get(&task.index).and_then(|l| l.checkpoint.clone());
        job.mark_started(task.index);
        job.ever_ran = true;
        let live = job.recovered_attempt(attempt, Some(rack.clone()), before.or(resumed));
        job.live.insert(task.index, live);
    }

    fn apply_requeued(&mut self, task: TaskId, attempt: Attempt, checkpoint: &Option<Checkpoint>) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let known = job.live.get(&task.index).map(|live| live.attempt);
        let fresh = task.index >= job.next_fresh;
        let waiting = job.requeued.get(&task.index).map(|task| task.attempt);
        if !fresh && known.or(waiting).is_none_or(|known| known > attempt) {
            return;
        }
        job.mark_started(task.index);
        job.live.remove(&task.index);
        job.ever_ran = true;
        let requeued = Requeued {
            attempt,
            checkpoint: checkpoint.clone(),
            may_have_run: true,
        };
        job.requeued.insert(task.index, requeued);
    }

    fn apply_ended(&mut self, task: TaskId, attempt: Attempt, end: &TaskEnd) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let known = job.live.get(&task.index).map(|live| live.attempt);
        let waiting = job.requeued.get(&task.index).map(|task| task.attempt);
        let fresh = task.index >= job.next_fresh;
        if !fresh && known.or(waiting).is_none_or(|known| known > attempt) {
            return;
        }
        job.mark_started(task.index);
        job.live.remove(&task.index);
        job.ever_ran = true;
        match end {
            TaskEnd::Completed => job.completed += 1,
            TaskEnd::Failed(text) => {
                job.ending
                    .get_or_insert((ResultCode::JobFailed, text.clone()));
            }
            TaskEnd::LeaseLapsed(_) => {
                let code = ResultCode::WorkerLost;
                job.ending.get_or_insert((code, Arc::from(code.text())));
            }
            TaskEnd::Stopped(_) => {}
        }
    }

    /// Adds a job from its snapshot; no effect if older records of the job were still there.
    fn apply_snapshot(&mut self, bytes: &[u8]) {
        let Ok(snapshot) = ciborium::from_reader::<Snapshot, _>(bytes) else {
            crate::event::Event::RecordInvalid.log(format_args!("restated job"));
            return;
        };
        let job = Job::from_snapshot(snapshot);
        self.jobs.entry(job.id).or_insert(job);
    }

    /// Rebuilds the indexes after a replay, except `waiting`.
    fn rebuild_indexes(&mut self) {
        self.unfinished = self
            .jobs
            .values()
            .filter(|job| job.result.is_none())
            .count();
        for job in self.jobs.values() {
            if let Some(key) = &job.spec.key {
                let key = (job.spec.service.clone(), key.clone());
                self.keys.insert(key, (job.spec.body_hash, job.id));
            }
            for _ in &job.live {
                *self.used.entry(job.spec.team.clone()).or_default() += job.spec.demand;
            }
        }
    }

    /// Updates `waiting` after a change of a job.
    pub(crate) fn update_waiting(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let key = (urgency_rank(job.spec.urgency), job.spec.team.clone());
        if job.durable && job.waiting() > 0 {
            self.waiting.entry(key).or_default().insert(id);
            return;
        }
        if let Some(ids) = self.waiting.get_mut(&key) {
            ids.remove(&id);
            if ids.is_empty() {
                self.waiting.remove(&key);
            }
        }
    }

    /// Adds a live attempt.
    pub(crate) fn add_attempt(&mut self, id: JobId, index: u32, live: LiveAttempt) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.mark_started(index);
        if job.live.insert(index, live).is_none() {
            *self.used.entry(job.spec.team.clone()).or_default() += job.spec.demand;
        }
        self.update_waiting(id);
    }

    /// Removes a live attempt and returns it.
    pub(crate) fn remove_attempt(&mut self, id: JobId, index: u32) -> Option<LiveAttempt> {
        let job = self.jobs.get_mut(&id)?;
        let live = job.live.remove(&index)?;
        if let Some(used) = self.used.get_mut(&job.spec.team) {
            *used -= job.spec.demand;
        }
        Some(live)
    }

    /// Adds a task that waits for another attempt.
    pub(crate) fn requeue(&mut self, id: JobId, index: u32, task: Requeued) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.requeued.insert(index, task);
        }
        self.update_waiting(id);
    }

    /// Removes a job and its idempotency key.
    pub(crate) fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(key) = &job.spec.key {
            self.keys.remove(&(job.spec.service.clone(), key.clone()));
        }
    }
}
