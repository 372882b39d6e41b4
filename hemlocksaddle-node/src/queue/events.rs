//! Events of task attempts, and the end of jobs.

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_types::{
    clock::Millis,
    job::{Checkpoint, JobId, TaskEnd, TaskId},
    name::WorkerName,
    outcome::{ResultCode, RunState},
    peer::{AttemptStatus, Request, Response, TaskEvent},
    record::Record,
    unit::Unit,
};

use super::{
    Queue, Queues,
    state::{AttemptPhase, Job, Outcome, Requeued},
};
use crate::{core::AppendError, event::Event, invariant::Invariant};

/// Maximum wait for an event to become durable; less than the sender waits for the reply.
const RECORD_TIMEOUT_MS: Millis = Millis(4_000);
/// Timeout of a stop request.
const STOP_REPLY_TIMEOUT_MS: Millis = Millis(2_000);
/// Delay before a stop request is repeated.
const STOP_RETRY_DELAY_MS: Millis = Millis(3_000);
/// Failures after which a job counts as bad, whichever workers its tasks failed on.
const MAX_JOB_FAILURES: u32 = 10;

/// Effect of an event on its task and job.
#[derive(Debug)]
enum Effect {
    /// The task is requeued and resumes from the checkpoint if there is one.
    Requeue(Option<Checkpoint>),
    /// The task has ended.
    End(TaskEnd),
    /// The task has ended, and the job ends with this outcome.
    EndJob(TaskEnd, Outcome),
}

impl Queues {
    /// Handles an event from a rack; the end of an attempt is acknowledged once it is durable.
    pub(super) async fn handle_event(&self, status: AttemptStatus) -> Response {
        let queue = match self.open_queue(status.task.job.queue) {
            Ok(queue) => queue,
            Err(reply) => return reply,
        };
        if !self.admit_event(&queue, &status) {
            return Response::Ok;
        }
        match &status.event {
            TaskEvent::Running(worker) => {
                self.record_running(&queue, &status, worker);
                Response::Ok
            }
            TaskEvent::NotStarted => {
                self.handle_not_started(&queue, status.task);
                Response::Ok
            }
            TaskEvent::Lost(_) | TaskEvent::Ended(..) => self.commit_event(&queue, &status).await,
        }
    }

    /// Whether an event concerns the current attempt of its task.
    ///
    /// An attempt newer than the known ones was started by an earlier owner while
    /// the log was down; it is adopted. An event of an attempt that was recorded as
    /// lost is ignored, because the record already decided what happens to the task.
    fn admit_event(&self, queue: &Rc<Queue>, status: &AttemptStatus) -> bool {
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get(&status.task.job) else {
            return false;
        };
        if job.result.is_some() || status.task.index >= job.spec.tasks {
            return false;
        }
        let index = status.task.index;
        if let Some(live) = job.live.get(&index)
            && live.attempt >= status.attempt
        {
            return live.attempt == status.attempt;
        }
        let waiting = job.requeued.get(&index).map(|task| task.attempt);
        let refused = job
            .requeued
            .get(&index)
            .is_some_and(|task| task.attempt == status.attempt && !task.may_have_run);
        let ran = status.event != TaskEvent::NotStarted;
        let text = || format!("{:?} {:?} ran after a refusal", status.task, status.attempt);
        let truthful =
            self.core
                .invariants
                .check(Invariant::TruthfulRefusal, !(refused && ran), text);
        let ended = index < job.next_fresh && waiting.is_none() && !job.live.contains_key(&index);
        let known_later = waiting.is_some_and(|last| last >= status.attempt);
        if ended || (known_later && truthful) {
            return false;
        }
        let checkpoint = job.requeued.get(&index).and_then(|t| t.checkpoint.clone());
        let live = job.recovered_attempt(status.attempt, None, checkpoint);
        jobs.add_attempt(status.task.job, index, live);
        true
    }

    fn record_running(&self, queue: &Queue, status: &AttemptStatus, worker: &WorkerName) {
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get_mut(&status.task.job) else {
            return;
        };
        job.ever_ran = true;
        if let Some(live) = job.live.get_mut(&status.task.index) {
            live.worker = Some(worker.clone());
            live.updated_ms = self.now();
            if live.phase == AttemptPhase::Unknown {
                live.phase = AttemptPhase::Running;
            }
        }
    }

    fn handle_not_started(&self, queue: &Rc<Queue>, task: TaskId) {
        {
            let mut jobs = queue.jobs.borrow_mut();
            let Some(live) = jobs.remove_attempt(task.job, task.index) else {
                return;
            };
            let requeued = Requeued {
                attempt: live.attempt,
                checkpoint: live.checkpoint,
                may_have_run: live.earlier_may_have_run,
            };
            jobs.requeue(task.job, task.index, requeued);
        }
        self.finish_if_done(queue, task.job);
        queue.dispatch_signal.notify();
    }

    /// Appends the end of an attempt to the log and then applies it.
    pub(super) async fn commit_event(&self, queue: &Rc<Queue>, status: &AttemptStatus) -> Response {
        let Some((effect, record)) = self.begin_commit(queue, status) else {
            let text = Arc::from("the event is being made durable");
            return Response::Refused(ResultCode::NotReady, text);
        };
        let records = vec![record];
        match self
            .append(queue, records.clone(), Some(RECORD_TIMEOUT_MS))
            .await
        {
            Ok(_) => {
                self.apply_effect(queue, status, effect);
                return Response::Ok;
            }
            Err(AppendError::NotAppended) => self.abort_commit(queue, status.task),
            Err(AppendError::OutcomeUnknown) => {
                self.commit_event_later(queue, status, effect, records)
            }
        }
        let text = Arc::from("the event is not durable yet");
        Response::Refused(ResultCode::LogUnavailable, text)
    }

    /// Appends the end of an attempt again if its record may already be in the log.
    ///
    /// The attempt stays marked as committing, so that another event cannot decide
    /// differently. Replay ignores a duplicate record.
    fn commit_event_later(
        &self,
        queue: &Rc<Queue>,
        status: &AttemptStatus,
        effect: Effect,
        records: Vec<Record>,
    ) {
        let Some(queues) = self.this.upgrade() else {
            return;
        };
        let (queue, status) = (queue.clone(), status.clone());
        self.spawn(async move {
            if queues.append(&queue, records, None).await.is_ok() {
                queues.apply_effect(&queue, &status, effect);
            }
        });
    }

    fn begin_commit(&self, queue: &Queue, status: &AttemptStatus) -> Option<(Effect, Record)> {
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get_mut(&status.task.job)?;
        let live = job.live.get(&status.task.index)?;
        if live.committing || live.attempt != status.attempt {
            return None;
        }
        let is_bad_job = self.attribute_failure(job, status);
        let effect = event_effect(job, status, is_bad_job)?;
        let (task, attempt) = (status.task, status.attempt);
        let record = match &effect {
            Effect::Requeue(checkpoint) => Record::TaskRequeued {
                task,
                attempt,
                checkpoint: checkpoint.clone(),
            },
            Effect::End(end) | Effect::EndJob(end, _) => Record::TaskEnded {
                task,
                attempt,
                end: end.clone(),
            },
        };
        job.live.get_mut(&task.index)?.committing = true;
        Some((effect, record))
    }

    /// Updates failure attribution with the end of an attempt; returns whether the job is bad.
    fn attribute_failure(&self, job: &Job, status: &AttemptStatus) -> bool {
        let mut failure_attribution = self.failure_attribution.borrow_mut();
        match &status.event {
            TaskEvent::Ended(worker, TaskEnd::Completed) => {
                failure_attribution.record_success(worker, &job.id)
            }
            TaskEvent::Ended(worker, TaskEnd::Failed(_)) => {
                failure_attribution.record_failure(worker, &job.id)
            }
            _ => {}
        }
        failure_attribution.is_bad_job(&job.id) || job.failures >= MAX_JOB_FAILURES
    }

    fn abort_commit(&self, queue: &Queue, task: TaskId) {
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get_mut(&task.job);
        if let Some(live) = job.and_then(|job| job.live.get_mut(&task.index)) {
            live.committing = false;
        }
    }

    fn apply_effect(&self, queue: &Rc<Queue>, status: &AttemptStatus, effect: Effect) {
        let (id, index) = (status.task.job, status.task.index);
        self.record_effect(status, &effect);
        {
            let mut jobs = queue.jobs.borrow_mut();
            let Some(live) = jobs.remove_attempt(id, index) else {
                return;
            };
            if let (TaskEvent::Ended(worker, TaskEnd::Failed(_)), Some(job)) =
                (&status.event, jobs.jobs.get_mut(&id))
            {
                job.failed_on.insert(worker.clone());
                job.failures += 1;
            }
            match effect {
                Effect::Requeue(checkpoint) => {
                    let task = Requeued {
                        attempt: live.attempt,
                        checkpoint,
                        may_have_run: true,
                    };
                    jobs.requeue(id, index, task);
                }
                Effect::End(TaskEnd::Completed) => {
                    if let Some(job) = jobs.jobs.get_mut(&id) {
                        job.completed += 1;
                    }
                }
                Effect::End(_) => {}
                Effect::EndJob(_, outcome) => {
                    if let Some(job) = jobs.jobs.get_mut(&id) {
                        job.ending.get_or_insert(outcome);
                    }
                    jobs.update_waiting(id);
                }
            }
        }
        self.stop_attempts(queue, id);
        self.finish_if_done(queue, id);
        queue.dispatch_signal.notify();
    }

    fn record_effect(&self, status: &AttemptStatus, effect: &Effect) {
        let (task, attempt) = (status.task, status.attempt.0);
        let label = match (&status.event, effect) {
            (TaskEvent::Lost(worker), _) => {
                Event::TaskLost.log(format_args!("{task:?} attempt {attempt} on {worker}"));
                "requeued_lost"
            }
            (_, Effect::Requeue(_)) => {
                Event::TaskEvicted.log(format_args!("{task:?} attempt {attempt}"));
                "requeued"
            }
            _ => "finished",
        };
        self.core.metrics.tasks.with_label_values(&[label]).inc();
        let text = format!("task {} attempt {attempt}: {:?}", task.index, status.event);
        self.record_decision(task.job, text);
    }

    /// Ends a job: no further attempt starts, and live attempts are stopped.
    pub(super) fn end_job(
        &self,
        queue: &Rc<Queue>,
        id: JobId,
        outcome: impl FnOnce(&Job) -> Outcome,
    ) {
        {
            let mut jobs = queue.jobs.borrow_mut();
            let Some(job) = jobs.jobs.get_mut(&id) else {
                return;
            };
            if job.result.is_some() || job.ending.is_some() {
                return;
            }
            job.ending = Some(outcome(job));
            jobs.update_waiting(id);
        }
        self.stop_attempts(queue, id);
        self.finish_if_done(queue, id);
    }

    /// Requests the stop of all live attempts of a job that is ending.
    pub(super) fn stop_attempts(&self, queue: &Rc<Queue>, id: JobId) {
        let mut to_stop = Vec::new();
        {
            let mut jobs = queue.jobs.borrow_mut();
            let job = jobs.jobs.get_mut(&id);
            let Some(job) = job.filter(|job| job.ending.is_some()) else {
                return;
            };
            for (index, live) in &mut job.live {
                if !live.stopping && live.phase != AttemptPhase::Placing {
                    live.stopping = true;
                    to_stop.push(*index);
                }
            }
        }
        for index in to_stop {
            let Some(queues) = self.this.upgrade() else {
                return;
            };
            let queue = queue.clone();
            let task = TaskId { job: id, index };
            self.spawn(async move { queues.stop_until_ended(&queue, task).await });
        }
    }

    async fn stop_until_ended(&self, queue: &Rc<Queue>, task: TaskId) {
        loop {
            let target = {
                let jobs = queue.jobs.borrow();
                let job = jobs.jobs.get(&task.job);
                let live = job.and_then(|job| job.live.get(&task.index));
                live.map(|live| (live.rack.clone(), live.attempt))
            };
            let Some((rack, attempt)) = target else {
                return;
            };
            if queue.stage.get() == super::Stage::Closed {
                return;
            }
            if let (true, Some(rack)) = (self.holds_lease(queue), rack)
                && let Some(owner) = self.core.ownership.owner(&Unit::Rack(rack.clone()))
            {
                let request = Request::StopTask(rack, task, attempt, false);
                // An event will report the end; the request is repeated until then.
                let _ = self
                    .core
                    .calls
                    .call(&owner, request, STOP_REPLY_TIMEOUT_MS)
                    .await;
            }
            self.core.ports.runtime.sleep(STOP_RETRY_DELAY_MS).await;
        }
    }

    /// Appends the result of a job to the log if no attempt is live and none will start.
    pub(super) fn finish_if_done(&self, queue: &Rc<Queue>, id: JobId) {
        let outcome = {
            let mut jobs = queue.jobs.borrow_mut();
            let job = jobs.jobs.get_mut(&id);
            let Some(job) = job.filter(|job| job.durable && !job.finishing) else {
                return;
            };
            let Some(outcome) = job.outcome() else {
                return;
            };
            job.finishing = true;
            self.checked_outcome(job, outcome)
        };
        let Some(queues) = self.this.upgrade() else {
            return;
        };
        let queue = queue.clone();
        self.spawn(async move { queues.finish(&queue, id, outcome).await });
    }

    fn checked_outcome(&self, job: &Job, outcome: Outcome) -> Outcome {
        let not_run = outcome.0.run_state() == RunState::NotRun;
        let text = || format!("job {} ran and ends with {}", job.id, outcome.0.number());
        let holds = !(not_run && job.ever_ran);
        match self
            .core
            .invariants
            .check(Invariant::TruthfulRefusal, holds, text)
        {
            true => outcome,
            false => (ResultCode::WorkerLost, outcome.1),
        }
    }

    async fn finish(&self, queue: &Rc<Queue>, id: JobId, outcome: Outcome) {
        let record = Record::JobEnded {
            job: id,
            result: outcome.0,
            detail: outcome.1.clone(),
        };
        if self.append(queue, vec![record], None).await.is_err() {
            return;
        }
        Event::JobEnded.log(format_args!("{id}: {}", outcome.0.number()));
        let label = outcome.0.number().to_string();
        self.core.metrics.results.with_label_values(&[&label]).inc();
        self.record_decision(id, format!("ended: {}", outcome.0.text()));
        {
            let mut jobs = queue.jobs.borrow_mut();
            jobs.unfinished = jobs.unfinished.saturating_sub(1);
            if let Some(job) = jobs.jobs.get_mut(&id) {
                job.result = Some(outcome);
                job.finished_ms = Some(self.now());
            }
            jobs.update_waiting(id);
        }
        queue.notify_job(id);
    }
}

/// Effect of an event; `None` if the event does not end an attempt.
fn event_effect(job: &Job, status: &AttemptStatus, is_bad_job: bool) -> Option<Effect> {
    let resumed_from = job.live.get(&status.task.index)?.checkpoint.clone();
    match &status.event {
        TaskEvent::Lost(_) => Some(stop_effect(job, resumed_from)),
        TaskEvent::Ended(_, TaskEnd::Completed) => Some(Effect::End(TaskEnd::Completed)),
        TaskEvent::Ended(_, TaskEnd::Failed(text)) => {
            Some(failure_effect(job, text, is_bad_job, resumed_from))
        }
        TaskEvent::Ended(_, TaskEnd::Stopped(checkpoint) | TaskEnd::LeaseLapsed(checkpoint)) => {
            Some(stop_effect(job, checkpoint.clone().or(resumed_from)))
        }
        TaskEvent::Running(_) | TaskEvent::NotStarted => None,
    }
}

/// Effect of an attempt that ended before its work was done.
fn stop_effect(job: &Job, checkpoint: Option<Checkpoint>) -> Effect {
    if job.ending.is_some() {
        return Effect::End(TaskEnd::Stopped(checkpoint));
    }
    if job.may_rerun() {
        return Effect::Requeue(checkpoint);
    }
    let code = ResultCode::WorkerLost;
    Effect::EndJob(TaskEnd::LeaseLapsed(None), (code, Arc::from(code.text())))
}

/// Effect of an attempt that failed with an error.
fn failure_effect(
    job: &Job,
    text: &Arc<str>,
    is_bad_job: bool,
    resumed_from: Option<Checkpoint>,
) -> Effect {
    if job.ending.is_some() {
        return Effect::End(TaskEnd::Failed(text.clone()));
    }
    if job.may_rerun() && !is_bad_job {
        return Effect::Requeue(resumed_from);
    }
    let outcome = (ResultCode::JobFailed, text.clone());
    Effect::EndJob(TaskEnd::Failed(text.clone()), outcome)
}
