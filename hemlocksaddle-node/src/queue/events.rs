//! Events of attempts, and the ends of jobs.

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
    state::{Job, LivePhase, Outcome, Requeued},
};
use crate::{core::AppendError, event::Event, invariant::Invariant};

/// Longest wait for an event to become durable; below the sender's wait for the reply.
const RECORD_MS: Millis = Millis(4_000);
/// Longest wait for the reply to a stop.
const STOP_REPLY_MS: Millis = Millis(2_000);
/// Pause before a stop is ordered again.
const STOP_AGAIN_MS: Millis = Millis(3_000);
/// Failures after which a job counts as bad, whatever the workers are like.
const MAX_FAILURES: u32 = 10;

/// What an event means for its task.
#[derive(Debug)]
enum Effect {
    /// Waits again, resuming from the checkpoint if there is one.
    Requeue(Option<Checkpoint>),
    /// Ended for good.
    End(TaskEnd),
    /// Ended for good, and the job with it.
    EndJob(TaskEnd, Outcome),
}

impl Queues {
    /// Takes an event of a rack; it is acknowledged once it is durable.
    pub(super) async fn take_event(&self, known: AttemptStatus) -> Response {
        let queue = match self.open_queue(known.task.job.queue) {
            Ok(queue) => queue,
            Err(reply) => return reply,
        };
        if !self.is_current(&queue, &known) {
            return Response::Ok;
        }
        match &known.event {
            TaskEvent::Running(worker) => {
                self.note_running(&queue, &known, worker);
                Response::Ok
            }
            TaskEvent::NotStarted => {
                self.not_started(&queue, known.task);
                Response::Ok
            }
            TaskEvent::Lost(_) | TaskEvent::Ended(..) => self.settle(&queue, &known).await,
        }
    }

    /// Whether an event is about the current attempt of its task.
    ///
    /// An attempt that is newer than what is known was started by an earlier
    /// owner while the log was down, and is adopted. The end of an attempt that
    /// was recorded as lost comes too late: the record decides how its task goes on.
    fn is_current(&self, queue: &Rc<Queue>, known: &AttemptStatus) -> bool {
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get(&known.task.job) else {
            return false;
        };
        if job.result.is_some() || known.task.index >= job.spec.tasks {
            return false;
        }
        let index = known.task.index;
        if let Some(live) = job.live.get(&index)
            && live.attempt >= known.attempt
        {
            return live.attempt == known.attempt;
        }
        let waiting = job.requeued.get(&index).map(|task| task.attempt);
        let refused = job
            .requeued
            .get(&index)
            .is_some_and(|task| task.attempt == known.attempt && !task.may_have_run);
        let ran = known.event != TaskEvent::NotStarted;
        let text = || format!("{:?} {:?} ran after a refusal", known.task, known.attempt);
        let truthful =
            self.core
                .invariants
                .check(Invariant::TruthfulRefusal, !(refused && ran), text);
        let ended = index < job.next_fresh && waiting.is_none() && !job.live.contains_key(&index);
        let known_later = waiting.is_some_and(|last| last >= known.attempt);
        if ended || (known_later && truthful) {
            return false;
        }
        let checkpoint = job.requeued.get(&index).and_then(|t| t.checkpoint.clone());
        let live = job.recovered(known.attempt, None, checkpoint);
        jobs.add_live(known.task.job, index, live);
        true
    }

    fn note_running(&self, queue: &Queue, known: &AttemptStatus, worker: &WorkerName) {
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get_mut(&known.task.job) else {
            return;
        };
        job.ever_ran = true;
        if let Some(live) = job.live.get_mut(&known.task.index) {
            live.worker = Some(worker.clone());
            live.since_ms = self.now();
            if live.phase == LivePhase::Unknown {
                live.phase = LivePhase::Running;
            }
        }
    }

    fn not_started(&self, queue: &Rc<Queue>, task: TaskId) {
        {
            let mut jobs = queue.jobs.borrow_mut();
            let Some(live) = jobs.remove_live(task.job, task.index) else {
                return;
            };
            let requeued = Requeued {
                attempt: live.attempt,
                checkpoint: live.checkpoint,
                may_have_run: live.ran_before,
            };
            jobs.requeue(task.job, task.index, requeued);
        }
        self.conclude_if_over(queue, task.job);
        queue.work.notify();
    }

    /// Makes the end of an attempt durable and applies it.
    pub(super) async fn settle(&self, queue: &Rc<Queue>, known: &AttemptStatus) -> Response {
        let Some((effect, record)) = self.begin_settling(queue, known) else {
            let text = Arc::from("the event is being made durable");
            return Response::Refused(ResultCode::NotReady, text);
        };
        let records = vec![record];
        match self.append(queue, records.clone(), Some(RECORD_MS)).await {
            Ok(_) => {
                self.apply_effect(queue, known, effect);
                return Response::Ok;
            }
            Err(AppendError::NotAppended) => self.abandon_settling(queue, known.task),
            Err(AppendError::OutcomeUnknown) => self.settle_later(queue, known, effect, records),
        }
        let text = Arc::from("the event is not durable yet");
        Response::Refused(ResultCode::LogUnavailable, text)
    }

    /// Goes on with an end whose record may be in the log: another event of the
    /// attempt must not decide otherwise. A second record of it changes nothing.
    fn settle_later(
        &self,
        queue: &Rc<Queue>,
        known: &AttemptStatus,
        effect: Effect,
        records: Vec<Record>,
    ) {
        let Some(queues) = self.this.upgrade() else {
            return;
        };
        let (queue, known) = (queue.clone(), known.clone());
        self.spawn(async move {
            if queues.append(&queue, records, None).await.is_ok() {
                queues.apply_effect(&queue, &known, effect);
            }
        });
    }

    fn begin_settling(&self, queue: &Queue, known: &AttemptStatus) -> Option<(Effect, Record)> {
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get_mut(&known.task.job)?;
        let live = job.live.get(&known.task.index)?;
        if live.settling || live.attempt != known.attempt {
            return None;
        }
        let is_bad = self.judge_failure(job, known);
        let effect = effect(job, known, is_bad)?;
        let (task, attempt) = (known.task, known.attempt);
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
        job.live.get_mut(&task.index)?.settling = true;
        Some((effect, record))
    }

    /// Notes what an end says about its worker and job; returns whether the job fails too often.
    fn judge_failure(&self, job: &Job, known: &AttemptStatus) -> bool {
        let mut suspicion = self.suspicion.borrow_mut();
        match &known.event {
            TaskEvent::Ended(worker, TaskEnd::Completed) => {
                suspicion.record_success(worker, &job.id)
            }
            TaskEvent::Ended(worker, TaskEnd::Failed(_)) => {
                suspicion.record_failure(worker, &job.id)
            }
            _ => {}
        }
        suspicion.is_bad_job(&job.id) || job.failures >= MAX_FAILURES
    }

    fn abandon_settling(&self, queue: &Queue, task: TaskId) {
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get_mut(&task.job);
        if let Some(live) = job.and_then(|job| job.live.get_mut(&task.index)) {
            live.settling = false;
        }
    }

    fn apply_effect(&self, queue: &Rc<Queue>, known: &AttemptStatus, effect: Effect) {
        let (id, index) = (known.task.job, known.task.index);
        self.note_effect(known, &effect);
        {
            let mut jobs = queue.jobs.borrow_mut();
            let Some(live) = jobs.remove_live(id, index) else {
                return;
            };
            if let (TaskEvent::Ended(worker, TaskEnd::Failed(_)), Some(job)) =
                (&known.event, jobs.jobs.get_mut(&id))
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
        self.stop_live(queue, id);
        self.conclude_if_over(queue, id);
        queue.work.notify();
    }

    fn note_effect(&self, known: &AttemptStatus, effect: &Effect) {
        let (task, attempt) = (known.task, known.attempt.0);
        let label = match (&known.event, effect) {
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
        let text = format!("task {} attempt {attempt}: {:?}", task.index, known.event);
        self.explain(task.job, text);
    }

    /// Lets a job come to an end: nothing of it starts, and what runs is stopped.
    pub(super) fn begin_end(
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
        self.stop_live(queue, id);
        self.conclude_if_over(queue, id);
    }

    /// Orders the stop of all attempts of a job that is ending.
    pub(super) fn stop_live(&self, queue: &Rc<Queue>, id: JobId) {
        let mut to_stop = Vec::new();
        {
            let mut jobs = queue.jobs.borrow_mut();
            let job = jobs.jobs.get_mut(&id);
            let Some(job) = job.filter(|job| job.ending.is_some()) else {
                return;
            };
            for (index, live) in &mut job.live {
                if !live.stopping && live.phase != LivePhase::Placing {
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
            self.spawn(async move { queues.stop_until_over(&queue, task).await });
        }
    }

    async fn stop_until_over(&self, queue: &Rc<Queue>, task: TaskId) {
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
            if let (true, Some(rack)) = (self.may_act(queue), rack)
                && let Some(owner) = self.core.ownership.owner(&Unit::Rack(rack.clone()))
            {
                let request = Request::StopTask(rack, task, attempt, false);
                // The effect shows in a later event; a lost reply is covered by the repeat.
                let _ = self.core.calls.call(&owner, request, STOP_REPLY_MS).await;
            }
            self.core.ports.runtime.sleep(STOP_AGAIN_MS).await;
        }
    }

    /// Makes the result of a job durable if nothing of it runs any more.
    pub(super) fn conclude_if_over(&self, queue: &Rc<Queue>, id: JobId) {
        let outcome = {
            let mut jobs = queue.jobs.borrow_mut();
            let job = jobs.jobs.get_mut(&id);
            let Some(job) = job.filter(|job| job.durable && !job.concluding) else {
                return;
            };
            let Some(outcome) = job.outcome() else {
                return;
            };
            job.concluding = true;
            self.truthful(job, outcome)
        };
        let Some(queues) = self.this.upgrade() else {
            return;
        };
        let queue = queue.clone();
        self.spawn(async move { queues.conclude(&queue, id, outcome).await });
    }

    fn truthful(&self, job: &Job, outcome: Outcome) -> Outcome {
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

    async fn conclude(&self, queue: &Rc<Queue>, id: JobId, outcome: Outcome) {
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
        self.explain(id, format!("ended: {}", outcome.0.text()));
        {
            let mut jobs = queue.jobs.borrow_mut();
            jobs.unfinished = jobs.unfinished.saturating_sub(1);
            if let Some(job) = jobs.jobs.get_mut(&id) {
                job.result = Some(outcome);
                job.finished_ms = Some(self.now());
            }
            jobs.update_waiting(id);
        }
        queue.changed(id);
    }
}

/// What an event means for its task, given the job's rules.
fn effect(job: &Job, known: &AttemptStatus, is_bad: bool) -> Option<Effect> {
    let resumed_from = job.live.get(&known.task.index)?.checkpoint.clone();
    match &known.event {
        TaskEvent::Lost(_) => Some(stopped(job, resumed_from)),
        TaskEvent::Ended(_, TaskEnd::Completed) => Some(Effect::End(TaskEnd::Completed)),
        TaskEvent::Ended(_, TaskEnd::Failed(text)) => Some(failed(job, text, is_bad, resumed_from)),
        TaskEvent::Ended(_, TaskEnd::Stopped(checkpoint) | TaskEnd::LeaseLapsed(checkpoint)) => {
            Some(stopped(job, checkpoint.clone().or(resumed_from)))
        }
        TaskEvent::Running(_) | TaskEvent::NotStarted => None,
    }
}

/// Attempt that ended before its work was done.
fn stopped(job: &Job, checkpoint: Option<Checkpoint>) -> Effect {
    if job.ending.is_some() {
        return Effect::End(TaskEnd::Stopped(checkpoint));
    }
    if job.may_rerun() {
        return Effect::Requeue(checkpoint);
    }
    let code = ResultCode::WorkerLost;
    Effect::EndJob(TaskEnd::LeaseLapsed(None), (code, Arc::from(code.text())))
}

/// Attempt that ended with an error of its own.
fn failed(job: &Job, text: &Arc<str>, is_bad: bool, resumed_from: Option<Checkpoint>) -> Effect {
    if job.ending.is_some() {
        return Effect::End(TaskEnd::Failed(text.clone()));
    }
    if job.may_rerun() && !is_bad {
        return Effect::Requeue(resumed_from);
    }
    let outcome = (ResultCode::JobFailed, text.clone());
    Effect::EndJob(TaskEnd::Failed(text.clone()), outcome)
}
