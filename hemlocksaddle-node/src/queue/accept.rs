//! Submission, status, cancellation and explanation of jobs at the queue's owner.

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_policy::fairness::over_quota;
use hemlocksaddle_types::{
    clock::Millis,
    host::{HostRole, HostState},
    job::{JobId, JobSpec, Urgency},
    outcome::{ResultCode, RunState},
    peer::Response,
    record::{Record, Stream},
    resources::Resources,
    unit::QueueIndex,
};

use super::{Queue, Queues, state::Job};
use crate::{
    core::AppendError, event::Event, explain::Subject, invariant::Invariant, wait::within,
};

/// Maximum wait for the log before a submission or cancellation is refused.
const APPEND_WAIT_MS: Millis = Millis(2_000);
/// Maximum time that a duplicate submission waits for the first one to become durable.
const DUPLICATE_WAIT_MS: Millis = Millis(3_000);
/// Maximum wait of a status call.
const MAX_STATUS_WAIT_MS: Millis = Millis(60_000);

/// Whether workers of the host list have the capacity for a demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Feasibility {
    /// A live worker has the capacity.
    Feasible,
    /// Only workers that are leaving or gone have the capacity.
    NoLiveWorker,
    /// No worker of the list has the capacity.
    Infeasible,
    /// The host list is not known.
    Unknown,
}

impl Queues {
    /// Accepts a job for a queue of this node; replies once the acceptance is durable.
    pub(super) async fn accept(&self, index: QueueIndex, spec: JobSpec) -> Response {
        let queue = match self.open_queue(index) {
            Ok(queue) => queue,
            Err(reply) => return reply,
        };
        if let Some(reply) = self.find_duplicate(&queue, &spec).await {
            return reply;
        }
        if let Err((code, text)) = self.check_admission(&queue, &spec) {
            return self.refuse(code, &text);
        }
        self.accept_new(&queue, spec).await
    }

    fn refuse(&self, code: ResultCode, text: &str) -> Response {
        let label = code.number().to_string();
        self.core.metrics.results.with_label_values(&[&label]).inc();
        Response::Refused(code, Arc::from(text))
    }

    /// Response to a submission whose key is already known; `None` if the key is new.
    async fn find_duplicate(&self, queue: &Rc<Queue>, spec: &JobSpec) -> Option<Response> {
        let key = (spec.service.clone(), spec.key.clone()?);
        let (body_hash, id) = *queue.jobs.borrow().keys.get(&key)?;
        if body_hash != spec.body_hash {
            let text = "the key belongs to another request";
            return Some(self.refuse(ResultCode::KeyReused, text));
        }
        let deadline = self.now() + DUPLICATE_WAIT_MS;
        loop {
            let changed = {
                let jobs = queue.jobs.borrow();
                let job = jobs.jobs.get(&id)?;
                if job.durable {
                    return Some(Response::Submitted(id));
                }
                job.changed.clone()
            };
            let seen = changed.count();
            let changed = changed.wait_past(seen);
            let left = deadline.since(self.now());
            if left.0 == 0
                || within(&*self.core.ports.runtime, left, changed)
                    .await
                    .is_none()
            {
                let text = "an earlier submission with the key is not settled yet";
                return Some(self.refuse(ResultCode::EarlierAttemptUnknown, text));
            }
        }
    }

    fn check_admission(&self, queue: &Queue, spec: &JobSpec) -> Result<(), (ResultCode, String)> {
        let refuse = |code: ResultCode, text: &str| Err((code, String::from(text)));
        if self.stopping.get() || self.core.stopping.get() {
            return refuse(ResultCode::Stopping, "the owner of the queue is stopping");
        }
        if spec.tasks == 0 {
            return refuse(ResultCode::Malformed, "a job has at least one task");
        }
        if self.core.configuration.document(&spec.service).is_none() {
            return refuse(
                ResultCode::UnknownService,
                "no document describes the service",
            );
        }
        if queue.jobs.borrow().unfinished >= self.core.settings.limits.jobs_per_queue {
            return refuse(
                ResultCode::Overloaded,
                "the queue has too many unfinished jobs",
            );
        }
        match self.feasibility(&spec.demand) {
            Feasibility::Infeasible => {
                let text = format!("no worker could ever hold {:?}", spec.demand);
                return Err((ResultCode::CanNeverRun, text));
            }
            Feasibility::Unknown => {
                return refuse(ResultCode::NotReady, "the host list is not known yet");
            }
            Feasibility::Feasible | Feasibility::NoLiveWorker => {}
        }
        if !self.core.journal.log_is_up() {
            return refuse(ResultCode::LogUnavailable, "the log does not answer");
        }
        match self.is_over_quota(queue, spec) {
            true => refuse(
                ResultCode::QuotaExceeded,
                "the team is over its quota and no rack has room",
            ),
            false => Ok(()),
        }
    }

    /// Whether a job has to be refused because its team is over its quota.
    ///
    /// Batch jobs wait instead: they are submitted before there is capacity for
    /// them, and their number is bounded by the limit of jobs per queue.
    fn is_over_quota(&self, queue: &Queue, spec: &JobSpec) -> bool {
        if spec.urgency == Urgency::Batch {
            return false;
        }
        let jobs = queue.jobs.borrow();
        let used = jobs.used.get(&spec.team).copied().unwrap_or_default();
        let over = over_quota(&(used + spec.demand), &self.team_quota(&spec.team));
        over && !self.has_free_capacity(&spec.demand)
    }

    /// Compares a demand with the capacity of the workers in the host list.
    pub(super) fn feasibility(&self, demand: &Resources) -> Feasibility {
        let hosts = self.core.configuration.hosts();
        let mut best = match hosts.hosts.is_empty() {
            true => return Feasibility::Unknown,
            false => Feasibility::Infeasible,
        };
        for host in &hosts.hosts {
            match &host.role {
                HostRole::Worker { capacity, .. } if demand.fits_in(capacity) => {
                    if host.state == HostState::Live {
                        return Feasibility::Feasible;
                    }
                    best = Feasibility::NoLiveWorker;
                }
                _ => {}
            }
        }
        best
    }

    async fn accept_new(&self, queue: &Rc<Queue>, spec: JobSpec) -> Response {
        let id = self.add_job(queue, spec);
        let record = self.acceptance_record(queue, id);
        let limit = Some(APPEND_WAIT_MS);
        match self.append(queue, record, limit).await {
            Ok(_) => {
                self.apply_acceptance(queue, id);
                Response::Submitted(id)
            }
            Err(AppendError::NotAppended) => {
                self.withdraw(queue, id);
                let absent = !queue.jobs.borrow().jobs.contains_key(&id);
                let text = || format!("refused job {id} is kept");
                let truthful = self
                    .core
                    .invariants
                    .check(Invariant::TruthfulRefusal, absent, text);
                match truthful {
                    true => self.refuse(ResultCode::LogUnavailable, "the log took no record"),
                    false => self.refuse(ResultCode::AnswerLost, "the job may have been accepted"),
                }
            }
            Err(AppendError::OutcomeUnknown) => {
                self.retry_acceptance(queue, id);
                let text = "the log's answer was lost; a repeat with the same key finds the job";
                self.refuse(ResultCode::AnswerLost, text)
            }
        }
    }

    fn add_job(&self, queue: &Queue, spec: JobSpec) -> JobId {
        let counter = queue.next_job_number.get();
        queue.next_job_number.set(counter + 1);
        let id = JobId {
            queue: queue.index,
            number: queue.term.0 << 32 | u64::from(counter),
        };
        let mut jobs = queue.jobs.borrow_mut();
        if let Some(key) = &spec.key {
            let key = (spec.service.clone(), key.clone());
            jobs.keys.insert(key, (spec.body_hash, id));
        }
        let job = Job::new(id, spec, self.core.ports.runtime.wall_now());
        jobs.unfinished += 1;
        jobs.jobs.insert(id, job);
        id
    }

    fn acceptance_record(&self, queue: &Queue, id: JobId) -> Vec<Record> {
        let jobs = queue.jobs.borrow();
        let job = jobs.jobs.get(&id);
        let record = job.map(|job| Record::JobAccepted {
            job: id,
            spec: (*job.spec).clone(),
            accepted_ms: job.accepted_ms,
        });
        record.into_iter().collect()
    }

    /// Marks a job as accepted after its record became durable, and wakes the dispatcher.
    fn apply_acceptance(&self, queue: &Queue, id: JobId) {
        Event::JobAccepted.log(format_args!("{id}"));
        {
            let mut jobs = queue.jobs.borrow_mut();
            if let Some(job) = jobs.jobs.get_mut(&id) {
                job.durable = true;
            }
            jobs.update_waiting(id);
        }
        self.record_decision(id, String::from("accepted; the record is durable"));
        queue.notify_job(id);
        queue.dispatch_signal.notify();
    }

    /// Removes a job whose acceptance is certainly not in the log.
    fn withdraw(&self, queue: &Queue, id: JobId) {
        queue.notify_job(id);
        let mut jobs = queue.jobs.borrow_mut();
        jobs.unfinished = jobs.unfinished.saturating_sub(1);
        jobs.forget(id);
    }

    /// Appends an acceptance again whose outcome is unknown; replay ignores a duplicate record.
    fn retry_acceptance(&self, queue: &Rc<Queue>, id: JobId) {
        let Some(queues) = self.this.upgrade() else {
            return;
        };
        let queue = queue.clone();
        self.spawn(async move {
            let record = queues.acceptance_record(&queue, id);
            if queues.append(&queue, record, None).await.is_ok() {
                queues.apply_acceptance(&queue, id);
            }
        });
    }

    /// Appends records to a queue's stream under its term.
    pub(super) async fn append(
        &self,
        queue: &Queue,
        records: Vec<Record>,
        limit: Option<Millis>,
    ) -> crate::core::AppendResult {
        let stream = Stream::Queue(queue.index);
        let journal = &self.core.journal;
        journal.append(stream, queue.term, records, limit).await
    }

    /// Status of a job; returns when the job has a result or the wait is over.
    pub(super) async fn status(&self, id: JobId, wait: Millis) -> Response {
        let queue = match self.open_queue(id.queue) {
            Ok(queue) => queue,
            Err(reply) => return reply,
        };
        let deadline = self.now() + wait.min(MAX_STATUS_WAIT_MS);
        loop {
            let (status, changed) = {
                let jobs = queue.jobs.borrow();
                let Some(job) = jobs.jobs.get(&id) else {
                    return Response::Refused(ResultCode::UnknownJob, Arc::from("no such job"));
                };
                (job.status(), job.changed.clone())
            };
            let left = deadline.since(self.now());
            if status.result.is_some() || left.0 == 0 {
                return Response::JobStatus(status);
            }
            if self.stopping.get() {
                return Response::NotOwner;
            }
            let runtime = &*self.core.ports.runtime;
            let changed = changed.wait_past(changed.count());
            if within(runtime, left, changed).await.is_some() && !self.holds_lease(&queue) {
                return Response::NotOwner;
            }
        }
    }

    /// Cancels a job; idempotent.
    pub(super) async fn cancel_local(&self, id: JobId) -> Response {
        let queue = match self.open_queue(id.queue) {
            Ok(queue) => queue,
            Err(reply) => return reply,
        };
        let state = {
            let jobs = queue.jobs.borrow();
            let job = jobs.jobs.get(&id);
            job.map(|job| job.result.is_some() || job.ending.is_some())
        };
        match state {
            None => return Response::Refused(ResultCode::UnknownJob, Arc::from("no such job")),
            Some(true) => return Response::Ok,
            Some(false) => {}
        }
        let record = vec![Record::JobCancelled { job: id }];
        match self.append(&queue, record, Some(APPEND_WAIT_MS)).await {
            Ok(_) => {
                self.end_job(&queue, id, Job::cancellation_outcome);
                Response::Ok
            }
            Err(AppendError::NotAppended) => {
                self.refuse(ResultCode::LogUnavailable, "the log took no record")
            }
            Err(AppendError::OutcomeUnknown) => {
                self.refuse(ResultCode::AnswerLost, "the job may have been cancelled")
            }
        }
    }

    /// Recorded decisions about a job.
    pub(super) fn explain_local(&self, id: JobId) -> Response {
        if let Err(reply) = self.open_queue(id.queue) {
            return reply;
        }
        Response::Explained(self.core.explanations.about(&Subject::Job(id)))
    }
}

/// Whether a result code states that the request did not run.
pub(super) fn implies_not_run(code: ResultCode) -> bool {
    code.run_state() == RunState::NotRun
}
