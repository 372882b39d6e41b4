//! Launch of one attempt: its start is recorded before the rack is told to place it.

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
    dispatch::PlacementChoice,
    state::{AttemptPhase, Job, LiveAttempt, Requeued},
};
use crate::{
    core::{AppendError, CallError},
    invariant::Invariant,
};

/// Maximum wait for the record of a start; after it the start is retried later.
const RECORD_TIMEOUT_MS: Millis = Millis(1_500);
/// Time within which a rack has to place an attempt, including evictions.
const PLACEMENT_TIMEOUT_MS: Millis = Millis(2_500);
/// Timeout of a placement request.
const REPLY_TIMEOUT_MS: Millis = Millis(4_500);
/// Delay of a job after the record of a start could not be appended.
const LOG_RETRY_DELAY_MS: Millis = Millis(500);

/// Delay of a job after an invariant check prevented a start.
const VIOLATION_DELAY_MS: Millis = Millis(10_000);
/// Number of attempt numbers that a task has in each term of its queue; a task that is
/// refused every 200 ms uses them up only after more than three hours.
const ATTEMPTS_PER_TERM: u64 = 1 << 16;

/// Attempt that is being placed on a rack.
struct Launch {
    id: JobId,
    index: u32,
    attempt: Attempt,
    previous: Requeued,
    rack: RackName,
    spec: Rc<JobSpec>,
    avoid: Vec<WorkerName>,
    racks_considered: usize,
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
    /// Starts the next task of a job on a rack in the background.
    pub(super) fn launch(self: &Rc<Self>, queue: &Rc<Queue>, choice: PlacementChoice) {
        let id = choice.job;
        let Some(launch) = self.begin_launch(queue, choice) else {
            self.delay_after_violation(queue, id);
            return;
        };
        queue
            .active_placements
            .set(queue.active_placements.get() + 1);
        let (queues, queue) = (self.clone(), queue.clone());
        self.spawn(async move {
            queues.run_launch(&queue, &launch).await;
            queue
                .active_placements
                .set(queue.active_placements.get() - 1);
            queue.dispatch_signal.notify();
        });
    }

    /// Delays a job whose next task must not start.
    fn delay_after_violation(&self, queue: &Queue, id: JobId) {
        if let Some(job) = queue.jobs.borrow_mut().jobs.get_mut(&id) {
            job.not_before_ms = self.now() + VIOLATION_DELAY_MS;
        }
    }

    /// Creates an attempt for the next task of a job; `None` if an invariant forbids it.
    fn begin_launch(&self, queue: &Queue, choice: PlacementChoice) -> Option<Launch> {
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get(&choice.job)?;
        let (index, previous) = job.next_task()?;
        let single = !job.live.contains_key(&index);
        let invariants = &self.core.invariants;
        let text = || format!("task {index} of {} is live already", choice.job);
        if !invariants.check(Invariant::SinglePlace, single, text) {
            return None;
        }
        let at_most_once = job.may_rerun() || !previous.may_have_run;
        let text = || format!("task {index} of {} may have run", choice.job);
        if !invariants.check(Invariant::AtMostOnce, at_most_once, text) {
            return None;
        }
        let launch = Launch {
            id: choice.job,
            index,
            attempt: next_attempt(queue, job, previous.attempt),
            previous,
            rack: choice.rack,
            spec: job.spec.clone(),
            avoid: job.failed_on.iter().cloned().collect(),
            racks_considered: choice.racks_considered,
        };
        jobs.add_attempt(launch.id, index, self.placing_attempt(&launch));
        self.add_pending_demand(&launch.rack, launch.spec.demand);
        Some(launch)
    }

    fn placing_attempt(&self, launch: &Launch) -> LiveAttempt {
        LiveAttempt {
            attempt: launch.attempt,
            rack: Some(launch.rack.clone()),
            worker: None,
            phase: AttemptPhase::Placing,
            checkpoint: launch.previous.checkpoint.clone(),
            earlier_may_have_run: launch.previous.may_have_run,
            updated_ms: self.now(),
            committing: false,
            stopping: false,
        }
    }

    async fn run_launch(&self, queue: &Rc<Queue>, launch: &Launch) {
        if !self.record_start(queue, launch).await {
            self.revert(queue, launch, LOG_RETRY_DELAY_MS);
            return;
        }
        if !self.may_send(queue, launch) {
            self.revert(queue, launch, Millis(0));
            return;
        }
        let Some(owner) = self.core.ownership.owner(&Unit::Rack(launch.rack.clone())) else {
            self.apply_refusal(queue, launch, PlaceRefusal::NotOwner);
            return;
        };
        let request = Request::Place(self.placement_request(queue, launch));
        let reply = self
            .core
            .calls
            .call(&owner, request, REPLY_TIMEOUT_MS)
            .await;
        match reply {
            Ok(Response::Placed(Placed::Accepted(worker))) => {
                self.apply_accepted(queue, launch, worker);
            }
            Ok(Response::Placed(Placed::Refused(reason))) => {
                self.apply_refusal(queue, launch, reason)
            }
            Err(CallError::NotSent) | Ok(Response::NotOwner | Response::Unsupported) => {
                self.apply_refusal(queue, launch, PlaceRefusal::NotOwner);
            }
            Err(CallError::NoReply) | Ok(_) => self.mark_unknown(queue, launch),
        }
    }

    /// Records the start in the log; `true` if the attempt may be placed.
    ///
    /// While the log is down, a task that may run again starts without a record, and
    /// the record is written later.
    async fn record_start(&self, queue: &Rc<Queue>, launch: &Launch) -> bool {
        let record = Record::TaskStarted {
            task: launch.task(),
            attempt: launch.attempt,
            rack: launch.rack.clone(),
        };
        let may_rerun = launch.spec.idempotent || launch.spec.resumable;
        if self.core.journal.log_is_up() {
            let records = vec![record.clone()];
            match self.append(queue, records, Some(RECORD_TIMEOUT_MS)).await {
                Ok(_) => return true,
                Err(_) if self.core.journal.log_is_up() => return false,
                // The log writer resolves the append; a record that appears later is harmless.
                Err(AppendError::OutcomeUnknown) => return may_rerun,
                Err(AppendError::NotAppended) => {}
            }
        }
        if may_rerun {
            self.record_in_background(queue, vec![record]);
        }
        may_rerun
    }

    /// Appends records in the background, waiting for the log if necessary.
    pub(super) fn record_in_background(&self, queue: &Rc<Queue>, records: Vec<Record>) {
        let Some(queues) = self.this.upgrade() else {
            return;
        };
        let queue = queue.clone();
        self.spawn(async move {
            // Fails only if the stream has a higher term. That owner learns of the attempt by
            // reconciliation with the racks.
            let _ = queues.append(&queue, records, None).await;
        });
    }

    /// Checks the ownership lease, the job and the attempt directly before the request is sent.
    fn may_send(&self, queue: &Queue, launch: &Launch) -> bool {
        if self.stopping.get() || !self.holds_lease(queue) {
            return false;
        }
        let jobs = queue.jobs.borrow();
        let job = jobs.jobs.get(&launch.id);
        let Some(job) = job.filter(|job| job.ending.is_none()) else {
            return false;
        };
        let live = job.live.get(&launch.index);
        let current = live.is_some_and(|live| {
            live.attempt == launch.attempt && live.checkpoint == launch.previous.checkpoint
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

    fn placement_request(&self, queue: &Queue, launch: &Launch) -> Place {
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
            checkpoint: launch.previous.checkpoint.clone(),
            avoid: launch.avoid.clone(),
            within_ms: PLACEMENT_TIMEOUT_MS,
        }
    }

    fn apply_accepted(&self, queue: &Rc<Queue>, launch: &Launch, worker: WorkerName) {
        self.backoff.borrow_mut().record_success(&launch.rack);
        let text = format!(
            "task {} attempt {} placed on worker {worker} of rack {}; {} racks considered",
            launch.index, launch.attempt.0, launch.rack, launch.racks_considered
        );
        self.record_decision(launch.id, text);
        self.core.metrics.tasks.with_label_values(&["placed"]).inc();
        let ending = {
            let mut jobs = queue.jobs.borrow_mut();
            let Some(job) = jobs.jobs.get_mut(&launch.id) else {
                return;
            };
            job.ever_ran = true;
            let live = job.live.get_mut(&launch.index);
            if let Some(live) = live.filter(|live| live.attempt == launch.attempt) {
                live.phase = AttemptPhase::Running;
                live.worker = Some(worker);
                live.updated_ms = self.now();
            }
            job.ending.is_some()
        };
        if ending {
            self.stop_attempts(queue, launch.id);
        }
    }

    fn apply_refusal(&self, queue: &Rc<Queue>, launch: &Launch, reason: PlaceRefusal) {
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
        self.record_decision(launch.id, text);
        self.revert(queue, launch, Millis(0));
    }

    /// Marks an attempt whose placement has an unknown outcome, for reconciliation.
    fn mark_unknown(&self, queue: &Queue, launch: &Launch) {
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get_mut(&launch.id) else {
            return;
        };
        job.ever_ran = true;
        let live = job.live.get_mut(&launch.index);
        if let Some(live) = live.filter(|live| live.attempt == launch.attempt) {
            live.phase = AttemptPhase::Unknown;
            live.updated_ms = self.now();
            queue.needs_reconciliation.set(true);
        }
    }

    /// Requeues a task whose attempt certainly did not run.
    fn revert(&self, queue: &Rc<Queue>, launch: &Launch, pause: Millis) {
        {
            let mut jobs = queue.jobs.borrow_mut();
            let current = jobs.jobs.get(&launch.id).is_some_and(|job| {
                let live = job.live.get(&launch.index);
                live.is_some_and(|live| live.attempt == launch.attempt)
            });
            if !current {
                return;
            }
            jobs.remove_attempt(launch.id, launch.index);
            let task = Requeued {
                attempt: launch.attempt,
                ..launch.previous.clone()
            };
            if let Some(job) = jobs.jobs.get_mut(&launch.id) {
                job.not_before_ms = job.not_before_ms.max(self.now() + pause);
            }
            jobs.requeue(launch.id, launch.index, task);
        }
        self.finish_if_done(queue, launch.id);
    }
}

/// Number of a task's next attempt.
///
/// An earlier owner of the queue may have started attempts during a log outage
/// that are unknown to this owner. Tasks that may run again therefore use a separate
/// range of attempt numbers in each term, so that a late event of an unknown attempt
/// is never attributed to the current attempt.
fn next_attempt(queue: &Queue, job: &Job, last: Attempt) -> Attempt {
    let accepted_in = job.id.number >> 32;
    let terms = queue.term.0.saturating_sub(accepted_in);
    let range = match job.may_rerun() {
        true => u32::try_from(terms * ATTEMPTS_PER_TERM).unwrap_or(u32::MAX - 1),
        false => 0,
    };
    Attempt(last.0.max(range) + 1)
}
