//! Job queues owned by this node, from the acceptance of a job to its result.
//!
//! The state of a queue is stored in its stream of the log. A new owner fences the
//! stream, replays it and reconciles it with the attempts that the racks report
//! before it starts jobs of earlier owners. Each step is made durable before it
//! takes effect: an acceptance before the reply to the caller, a start before the
//! placement request, a checkpoint before the next attempt, and a result before it
//! is reported. While the log is down, only accepted jobs that are idempotent or
//! resumable start; their records are written later.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
};

use hemlocksaddle_policy::{
    backoff::{Backoff, BackoffConfig},
    failure_attribution::FailureAttribution,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
    job::JobId,
    name::{NodeName, RackName, TeamName, WorkerName},
    peer::{Heartbeat, PlaceRefusal, Request, Response},
    resources::Resources,
    unit::{QueueIndex, Term, Unit},
};

use crate::{
    core::{Core, Handler, Part},
    detach::detached,
    explain::Subject,
    ports::PortFuture,
    rack::Racks,
    requests::idempotency::IdempotencyTable,
    wait::Signal,
};

mod accept;
mod client;
mod dispatch;
mod events;
mod launch;
mod maintenance;
mod recover;
mod state;

pub use client::Refusal;
use state::Jobs;

/// Interval at which the open queues are synchronised with ownership.
const SUPERVISE_INTERVAL_MS: Millis = Millis(100);
/// Time after the start of a planned stop during which calls may still look for another owner.
const STOP_ROUTING_GRACE_MS: Millis = Millis(2_000);
/// Maximum time that a planned stop waits for placements in progress.
const STOP_WAIT_MS: Millis = Millis(5_000);
/// Backoff after a rack refuses a placement.
const RACK_BACKOFF: BackoffConfig = BackoffConfig {
    initial_ms: Millis(200),
    max_ms: Millis(5_000),
    probe_timeout_ms: Millis(1_000),
};

/// Recovery stage of a queue at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Stream is being fenced and replayed.
    Opening,
    /// Jobs are known, but attempts of earlier owners may be unknown; only new jobs start.
    Reconciling,
    /// Attempts of earlier owners are known or over; all jobs may start.
    Reconciled,
    /// No longer owned under this term.
    Closed,
}

/// Queue owned by this node under a term.
struct Queue {
    index: QueueIndex,
    term: Term,
    acquired_ms: MonoMs,
    stage: Cell<Stage>,
    next_job_number: Cell<u32>,
    jobs: RefCell<Jobs>,
    /// Notified when the dispatcher may have something to start.
    dispatch_signal: Signal,
    active_placements: Cell<usize>,
    /// Whether the state of an attempt is unknown, so that reconciliation runs again soon.
    needs_reconciliation: Cell<bool>,
}

impl Queue {
    /// Whether attempts of a job may start at this stage.
    ///
    /// During reconciliation, only jobs accepted in this term may start: an earlier
    /// owner may have started any task of the other jobs without a record.
    fn may_start(&self, job: JobId) -> bool {
        match self.stage.get() {
            Stage::Reconciled => true,
            Stage::Reconciling => job.number >> 32 == self.term.0,
            Stage::Opening | Stage::Closed => false,
        }
    }

    /// Wakes the waiters of all jobs.
    fn notify_all_jobs(&self) {
        let jobs = self.jobs.borrow();
        let changed = jobs.jobs.values().map(|job| job.changed.clone());
        let changed: Vec<Rc<Signal>> = changed.collect();
        drop(jobs);
        for signal in changed {
            signal.notify();
        }
    }

    /// Wakes the waiters of a job.
    fn notify_job(&self, job: JobId) {
        let changed = self
            .jobs
            .borrow()
            .jobs
            .get(&job)
            .map(|job| job.changed.clone());
        if let Some(changed) = changed {
            changed.notify();
        }
    }
}

/// Demand of a placement that the summary of the rack may not include yet.
struct PendingDemand {
    rack: RackName,
    demand: Resources,
    at_ms: MonoMs,
}

/// Queues of a node, with the client side of job calls.
pub struct Queues {
    this: Weak<Queues>,
    core: Rc<Core>,
    queues: RefCell<BTreeMap<QueueIndex, Rc<Queue>>>,
    backoff: RefCell<Backoff<RackName, PlaceRefusal>>,
    pending_demand: RefCell<Vec<PendingDemand>>,
    failure_attribution: RefCell<FailureAttribution<WorkerName, JobId>>,
    racks: RefCell<Option<Rc<Racks>>>,
    idempotency: RefCell<Option<Rc<IdempotencyTable>>>,
    /// Number of callers' calls in progress.
    active_calls: Rc<Cell<usize>>,
    stopping: Cell<bool>,
    /// Notified once, when a planned stop begins.
    stop_signal: Signal,
    stop_began_ms: Cell<Option<MonoMs>>,
    running: Cell<bool>,
}

impl Queues {
    /// Creates the queues of a node; nothing runs before [`Queues::start`].
    #[must_use]
    pub fn new(core: Rc<Core>) -> Rc<Queues> {
        Rc::new_cyclic(|this| Queues {
            this: this.clone(),
            core,
            queues: RefCell::default(),
            backoff: RefCell::new(Backoff::new(RACK_BACKOFF)),
            pending_demand: RefCell::default(),
            failure_attribution: RefCell::default(),
            racks: RefCell::default(),
            idempotency: RefCell::default(),
            active_calls: Rc::default(),
            stopping: Cell::new(false),
            stop_signal: Signal::default(),
            stop_began_ms: Cell::new(None),
            running: Cell::new(false),
        })
    }

    /// Sets the racks of this node; racks of peers are known from their heartbeats.
    pub fn attach_racks(&self, racks: Rc<Racks>) {
        *self.racks.borrow_mut() = Some(racks);
    }

    /// Sets the idempotency table, which the replay of a queue fills from the queue's records.
    pub fn attach_idempotency(&self, idempotency: Rc<IdempotencyTable>) {
        *self.idempotency.borrow_mut() = Some(idempotency);
    }

    /// Starts the background task that opens and closes queues as ownership changes.
    pub fn start(self: &Rc<Self>) {
        if self.running.replace(true) {
            return;
        }
        let queues = self.clone();
        self.spawn(async move { queues.supervise().await });
    }

    /// Stops accepting and starting jobs, then waits for placements and calls in progress.
    pub fn stop(self: &Rc<Self>) -> PortFuture<'static, ()> {
        let queues = self.clone();
        Box::pin(async move {
            queues.begin_stop();
            let deadline = queues.now() + STOP_WAIT_MS;
            while queues.has_active_placements() && queues.now() < deadline {
                queues.core.ports.runtime.sleep(Millis(50)).await;
            }
            // Each call has a time limit of its own.
            while queues.active_calls.get() > 0 {
                queues.core.ports.runtime.sleep(Millis(50)).await;
            }
            queues.running.set(false);
            let all = std::mem::take(&mut *queues.queues.borrow_mut());
            for queue in all.into_values() {
                queues.close(&queue);
            }
        })
    }

    fn begin_stop(&self) {
        self.stopping.set(true);
        self.stop_began_ms.set(Some(self.now()));
        self.stop_signal.notify();
        for queue in self.queues.borrow().values() {
            queue.notify_all_jobs();
        }
    }

    /// Whether calls that still look for an owner have to be refused because of a planned stop.
    fn stop_grace_is_over(&self) -> bool {
        let began_ms = self.stop_began_ms.get();
        began_ms.is_some_and(|began_ms| self.now().since(began_ms) >= STOP_ROUTING_GRACE_MS)
    }

    fn has_active_placements(&self) -> bool {
        let queues = self.queues.borrow();
        queues
            .values()
            .any(|queue| queue.active_placements.get() > 0)
    }

    fn now(&self) -> MonoMs {
        self.core.ports.runtime.now()
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.core.ports.runtime.spawn(Box::pin(future));
    }

    /// Whether this node holds the ownership lease of the queue now, under the queue's term.
    fn holds_lease(&self, queue: &Queue) -> bool {
        let lease = self.core.ownership.lease(&Unit::Queue(queue.index));
        queue.stage.get() != Stage::Closed && lease.is_some_and(|lease| lease.term == queue.term)
    }

    /// Returns a queue whose lease this node holds and whose stream has been replayed.
    fn open_queue(&self, index: QueueIndex) -> Result<Rc<Queue>, Response> {
        let queue = self.queues.borrow().get(&index).cloned();
        let queue = queue.ok_or(Response::NotOwner)?;
        if !self.holds_lease(&queue) || queue.stage.get() == Stage::Opening {
            return Err(Response::NotOwner);
        }
        Ok(queue)
    }

    /// Records a decision about a job for later explanation.
    fn record_decision(&self, job: JobId, text: String) {
        let at_ms = self.core.ports.runtime.wall_now();
        self.core.explanations.add(Subject::Job(job), at_ms, text);
    }

    async fn supervise(self: Rc<Self>) {
        while self.running.get() {
            self.sync_queues();
            self.core.ports.runtime.sleep(SUPERVISE_INTERVAL_MS).await;
        }
    }

    /// Opens queues that this node now owns and closes those that it no longer owns.
    fn sync_queues(self: &Rc<Self>) {
        let owned: BTreeMap<QueueIndex, Term> = self
            .core
            .ownership
            .owned()
            .into_iter()
            .filter_map(|(unit, term)| match unit {
                Unit::Queue(index) => Some((index, term)),
                _ => None,
            })
            .collect();
        let known: Vec<Rc<Queue>> = self.queues.borrow().values().cloned().collect();
        for queue in known {
            if owned.get(&queue.index) != Some(&queue.term) {
                self.queues.borrow_mut().remove(&queue.index);
                self.close(&queue);
            }
        }
        for (index, term) in owned {
            if !self.queues.borrow().contains_key(&index) {
                self.open(index, term);
            }
        }
    }

    fn open(self: &Rc<Self>, index: QueueIndex, term: Term) {
        let queue = Rc::new(Queue {
            index,
            term,
            acquired_ms: self.now(),
            stage: Cell::new(Stage::Opening),
            next_job_number: Cell::new(0),
            jobs: RefCell::default(),
            dispatch_signal: Signal::default(),
            active_placements: Cell::new(0),
            needs_reconciliation: Cell::new(false),
        });
        self.queues.borrow_mut().insert(index, queue.clone());
        let queues = self.clone();
        self.spawn(async move { queues.run(queue).await });
    }

    /// Ends the background tasks of a queue and wakes the waiters of its jobs.
    fn close(&self, queue: &Queue) {
        queue.stage.set(Stage::Closed);
        queue.dispatch_signal.notify();
        if let Some(idempotency) = &*self.idempotency.borrow() {
            idempotency.forget(queue.index);
        }
        queue.notify_all_jobs();
    }
}

impl Part for Queues {
    fn start(self: Rc<Self>) {
        Queues::start(&self);
    }

    fn stop(self: Rc<Self>) -> PortFuture<'static, ()> {
        Queues::stop(&self)
    }
}

impl Handler for Queues {
    fn handle(&self, _from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>> {
        let queues = self.this.upgrade()?;
        let runtime = &*self.core.ports.runtime;
        match request.clone() {
            Request::Submit(index, spec) => {
                let work = async move { queues.accept(index, spec).await };
                Some(detached(runtime, work))
            }
            Request::JobStatus(job, wait) => {
                Some(Box::pin(async move { queues.status(job, wait).await }))
            }
            Request::Cancel(job) => {
                let work = async move { queues.cancel_local(job).await };
                Some(detached(runtime, work))
            }
            Request::Explain(job) => Some(Box::pin(async move { queues.explain_local(job) })),
            Request::TaskEvent(event) => {
                let work = async move { queues.handle_event(event).await };
                Some(detached(runtime, work))
            }
            _ => None,
        }
    }

    fn fill_heartbeat(&self, _heartbeat: &mut Heartbeat) {}
}

/// Returns the queue that holds the jobs of a team; the same on all nodes.
#[must_use]
pub fn queue_for_team(team: &TeamName, queues: u16) -> QueueIndex {
    let index = stable_hash(&[team.as_str().as_bytes()]) % u64::from(queues.max(1));
    QueueIndex(u16::try_from(index).unwrap_or_default())
}
