//! Start of one attempt: record, then order.

use std::rc::Rc;

use hemlocksaddle_types::{
    clock::Millis,
    job::{Attempt, JobId, JobSpec, TaskId},
    name::{RackName, WorkerName},
    peer::{Place, PlaceRefusal, Placed, Request, Response},
    record::Record,
    unit::Unit,
};

use super::{
    Queue, Queues,
    dispatch::Choice,
    state::{Job, Live, LivePhase, Requeued},
};
use crate::{
    core::{AppendError, CallError},
    invariant::Invariant,
};

/// Longest wait for the record of a start; one that takes longer is tried again later.
const RECORD_MS: Millis = Millis(1_500);
/// Time within which a rack has to carry an order out, eviction of others included.
const WITHIN_MS: Millis = Millis(2_500);
/// Longest wait for the rack's answer.
const ANSWER_MS: Millis = Millis(4_500);
/// Pause of a job after the log took no record of a start.
const LOG_PAUSE_MS: Millis = Millis(500);

/// Pause of a job after an assertion refused its start.
const REFUSED_PAUSE_MS: Millis = Millis(10_000);
/// Attempts that one owner of a queue can number; a task that is refused every
/// 200 ms uses them up in more than three hours.
const ATTEMPTS_PER_TERM: u64 = 1 << 16;

/// Attempt on its way to a rack.
struct Launch {
    id: JobId,
    index: u32,
    attempt: Attempt,
    before: Requeued,
    rack: RackName,
    spec: Rc<JobSpec>,
    avoid: Vec<WorkerName>,
    considered: usize,
}

impl Launch {
    fn task(&self) -> TaskId {
        TaskId {
            job: self.id,
            index: self.index,
        }
    }
}

impl Queues {
    /// Starts the next task of a job on a rack, in the background.
    pub(super) fn launch(self: &Rc<Self>, queue: &Rc<Queue>, choice: Choice) {
        let id = choice.job;
        let Some(launch) = self.begin(queue, choice) else {
            self.set_back(queue, id);
            return;
        };
        queue.placing.set(queue.placing.get() + 1);
        let (queues, queue) = (self.clone(), queue.clone());
        self.spawn(async move {
            queues.carry_out(&queue, &launch).await;
            queue.placing.set(queue.placing.get() - 1);
            queue.work.notify();
        });
    }

    /// Passes a job over whose next task must not start.
    fn set_back(&self, queue: &Queue, id: JobId) {
        if let Some(job) = queue.jobs.borrow_mut().jobs.get_mut(&id) {
            job.not_before_ms = self.now() + REFUSED_PAUSE_MS;
        }
    }

    /// Turns the next task of a job into an attempt.
    fn begin(&self, queue: &Queue, choice: Choice) -> Option<Launch> {
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get(&choice.job)?;
        let (index, before) = job.next_task()?;
        let single = !job.live.contains_key(&index);
        let invariants = &self.core.invariants;
        let text = || format!("task {index} of {} is live already", choice.job);
        if !invariants.check(Invariant::SinglePlace, single, text) {
            return None;
        }
        let at_most_once = job.may_rerun() || !before.may_have_run;
        let text = || format!("task {index} of {} may have run", choice.job);
        if !invariants.check(Invariant::AtMostOnce, at_most_once, text) {
            return None;
        }
        let launch = Launch {
            id: choice.job,
            index,
            attempt: next_attempt(queue, job, before.attempt),
            before,
            rack: choice.rack,
            spec: job.spec.clone(),
            avoid: job.failed_on.iter().cloned().collect(),
            considered: choice.considered,
        };
        jobs.add_live(launch.id, index, self.placing(&launch));
        self.promise(&launch.rack, launch.spec.demand);
        Some(launch)
    }

    fn placing(&self, launch: &Launch) -> Live {
        Live {
            attempt: launch.attempt,
            rack: Some(launch.rack.clone()),
            worker: None,
            phase: LivePhase::Placing,
            checkpoint: launch.before.checkpoint.clone(),
            ran_before: launch.before.may_have_run,
            since_ms: self.now(),
            settling: false,
            stopping: false,
        }
    }

    async fn carry_out(&self, queue: &Rc<Queue>, launch: &Launch) {
        if !self.record_start(queue, launch).await {
            self.take_back(queue, launch, LOG_PAUSE_MS);
            return;
        }
        if !self.may_start(queue, launch) {
            self.take_back(queue, launch, Millis(0));
            return;
        }
        let Some(owner) = self.core.ownership.owner(&Unit::Rack(launch.rack.clone())) else {
            self.refused(queue, launch, PlaceRefusal::NotOwner);
            return;
        };
        let order = Request::Place(self.order(queue, launch));
        let reply = self.core.calls.call(&owner, order, ANSWER_MS).await;
        match reply {
            Ok(Response::Placed(Placed::Accepted(worker))) => {
                self.running_on(queue, launch, worker);
            }
            Ok(Response::Placed(Placed::Refused(reason))) => self.refused(queue, launch, reason),
            Err(CallError::NotSent) | Ok(Response::NotOwner | Response::Unsupported) => {
                self.refused(queue, launch, PlaceRefusal::NotOwner);
            }
            Err(CallError::NoReply) | Ok(_) => self.in_doubt(queue, launch),
        }
    }

    /// Makes the start durable; `true` if the order may be sent.
    ///
    /// While the log is down, work that may run again starts without a record,
    /// which is written later.
    async fn record_start(&self, queue: &Rc<Queue>, launch: &Launch) -> bool {
        let record = Record::TaskStarted {
            task: launch.task(),
            attempt: launch.attempt,
            rack: launch.rack.clone(),
        };
        let may_rerun = launch.spec.idempotent || launch.spec.resumable;
        if self.core.journal.log_is_up() {
            let records = vec![record.clone()];
            match self.append(queue, records, Some(RECORD_MS)).await {
                Ok(_) => return true,
                Err(_) if self.core.journal.log_is_up() => return false,
                // Settled by the writer; the record may appear later and does no harm.
                Err(AppendError::OutcomeUnknown) => return may_rerun,
                Err(AppendError::NotAppended) => {}
            }
        }
        if may_rerun {
            self.record_later(queue, vec![record]);
        }
        may_rerun
    }

    /// Writes records when the log takes them.
    pub(super) fn record_later(&self, queue: &Rc<Queue>, records: Vec<Record>) {
        let Some(queues) = self.this.upgrade() else {
            return;
        };
        let queue = queue.clone();
        self.spawn(async move {
            // A failure means that a higher term is in the stream; its owner finds the attempt by asking.
            let _ = queues.append(&queue, records, None).await;
        });
    }

    /// Checks right and job directly before the order is sent.
    fn may_start(&self, queue: &Queue, launch: &Launch) -> bool {
        if self.stopping.get() || !self.may_act(queue) {
            return false;
        }
        let jobs = queue.jobs.borrow();
        let job = jobs.jobs.get(&launch.id);
        let Some(job) = job.filter(|job| job.ending.is_none()) else {
            return false;
        };
        let live = job.live.get(&launch.index);
        let current = live.is_some_and(|live| {
            live.attempt == launch.attempt && live.checkpoint == launch.before.checkpoint
        });
        let text = || {
            format!(
                "{:?} attempt {:?} is not current",
                launch.task(),
                launch.attempt
            )
        };
        self.core
            .invariants
            .check(Invariant::ResumeOnce, current, text)
    }

    fn order(&self, queue: &Queue, launch: &Launch) -> Place {
        Place {
            rack: launch.rack.clone(),
            queue_term: queue.term,
            task: launch.task(),
            attempt: launch.attempt,
            service: launch.spec.service.clone(),
            demand: launch.spec.demand,
            expected_run_ms: launch.spec.expected_run_ms,
            urgency: launch.spec.urgency,
            resumable: launch.spec.resumable,
            idempotent: launch.spec.idempotent,
            checkpoint: launch.before.checkpoint.clone(),
            avoid: launch.avoid.clone(),
            within_ms: WITHIN_MS,
        }
    }

    fn running_on(&self, queue: &Rc<Queue>, launch: &Launch, worker: WorkerName) {
        self.backoff.borrow_mut().record_success(&launch.rack);
        let text = format!(
            "task {} attempt {} placed on worker {worker} of rack {}; {} racks considered",
            launch.index, launch.attempt.0, launch.rack, launch.considered
        );
        self.explain(launch.id, text);
        self.core.metrics.tasks.with_label_values(&["placed"]).inc();
        let ending = {
            let mut jobs = queue.jobs.borrow_mut();
            let Some(job) = jobs.jobs.get_mut(&launch.id) else {
                return;
            };
            job.ever_ran = true;
            let live = job.live.get_mut(&launch.index);
            if let Some(live) = live.filter(|live| live.attempt == launch.attempt) {
                live.phase = LivePhase::Running;
                live.worker = Some(worker);
                live.since_ms = self.now();
            }
            job.ending.is_some()
        };
        if ending {
            self.stop_live(queue, launch.id);
        }
    }

    fn refused(&self, queue: &Rc<Queue>, launch: &Launch, reason: PlaceRefusal) {
        let now = self.now();
        let random = self.core.ports.runtime.random();
        let mut backoff = self.backoff.borrow_mut();
        let until = backoff.record_refusal(&launch.rack, reason, now, random);
        drop(backoff);
        let text = format!(
            "task {} attempt {} refused by rack {}: {reason:?}; the rack is asked again in {}",
            launch.index,
            launch.attempt.0,
            launch.rack,
            until.since(now)
        );
        self.explain(launch.id, text);
        self.take_back(queue, launch, Millis(0));
    }

    /// Notes that the outcome of an order is unknown; the rack is asked about it.
    fn in_doubt(&self, queue: &Queue, launch: &Launch) {
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get_mut(&launch.id) else {
            return;
        };
        job.ever_ran = true;
        let live = job.live.get_mut(&launch.index);
        if let Some(live) = live.filter(|live| live.attempt == launch.attempt) {
            live.phase = LivePhase::Unknown;
            live.since_ms = self.now();
            queue.doubtful.set(true);
        }
    }

    /// Lets a task wait again whose attempt is certain not to have run.
    fn take_back(&self, queue: &Rc<Queue>, launch: &Launch, pause: Millis) {
        {
            let mut jobs = queue.jobs.borrow_mut();
            let current = jobs.jobs.get(&launch.id).is_some_and(|job| {
                let live = job.live.get(&launch.index);
                live.is_some_and(|live| live.attempt == launch.attempt)
            });
            if !current {
                return;
            }
            jobs.remove_live(launch.id, launch.index);
            let task = Requeued {
                attempt: launch.attempt,
                ..launch.before.clone()
            };
            if let Some(job) = jobs.jobs.get_mut(&launch.id) {
                job.not_before_ms = job.not_before_ms.max(self.now() + pause);
            }
            jobs.requeue(launch.id, launch.index, task);
        }
        self.conclude_if_over(queue, launch.id);
    }
}

/// Number of a task's next attempt.
///
/// An earlier owner of the queue may have started attempts during a log outage
/// that this owner never hears of. Work that such an owner could have started is
/// numbered from another range in each term, so that a late event of an unknown
/// attempt is never taken for one of the current attempt.
fn next_attempt(queue: &Queue, job: &Job, last: Attempt) -> Attempt {
    let accepted_in = job.id.number >> 32;
    let terms = queue.term.0.saturating_sub(accepted_in);
    let range = match job.may_rerun() {
        true => u32::try_from(terms * ATTEMPTS_PER_TERM).unwrap_or(u32::MAX - 1),
        false => 0,
    };
    Attempt(last.0.max(range) + 1)
}
