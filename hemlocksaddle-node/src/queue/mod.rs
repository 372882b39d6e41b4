//! Queues that this node owns: their jobs, from acceptance to result.
//!
//! The state of a queue is in its stream of the log. A new owner fences the
//! stream, replays it and asks all racks for the queue's tasks before it starts
//! earlier work. Nothing is acknowledged before it is durable: an acceptance
//! before the caller is answered, a start before it is ordered, a checkpoint
//! before the next attempt, an end before the caller is told. While the log is
//! down only accepted work that is idempotent or resumable starts, and its
//! records follow.

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
    requests::guard::GuardTable,
    wait::Signal,
};

mod accept;
mod client;
mod dispatch;
mod events;
mod launch;
mod recover;
mod state;
mod upkeep;

pub use client::Refusal;
use state::Jobs;

/// Interval at which owned queues are compared with ownership.
const SUPERVISE_EVERY_MS: Millis = Millis(100);
/// Time after the begin of a stop in which calls may still find another owner.
const STOP_CALLS_MS: Millis = Millis(2_000);
/// Longest time that a planned stop waits for placements in progress.
const STOP_WAIT_MS: Millis = Millis(5_000);
/// Waits after refusals of a rack.
const RACK_STEPS: BackoffConfig = BackoffConfig {
    initial_ms: Millis(200),
    max_ms: Millis(5_000),
    probe_timeout_ms: Millis(1_000),
};

/// How far a new owner of a queue has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Stream is being fenced and read.
    Opening,
    /// Jobs are known, but not all attempts of earlier owners; only new jobs start.
    Settling,
    /// All is known that can be known.
    Settled,
    /// No longer owned in this term.
    Closed,
}

/// Queue that this node owns.
struct Queue {
    index: QueueIndex,
    term: Term,
    taken_ms: MonoMs,
    stage: Cell<Stage>,
    next_number: Cell<u32>,
    jobs: RefCell<Jobs>,
    /// Wakes the dispatcher.
    work: Signal,
    placing: Cell<usize>,
    /// Whether an attempt's state has to be asked for soon.
    doubtful: Cell<bool>,
}

impl Queue {
    /// Whether attempts of a job may start at this stage.
    ///
    /// Before the queue is settled, only jobs accepted in this term may start:
    /// an earlier owner may have started any task of the others without a record.
    fn may_start(&self, job: JobId) -> bool {
        match self.stage.get() {
            Stage::Settled => true,
            Stage::Settling => job.number >> 32 == self.term.0,
            Stage::Opening | Stage::Closed => false,
        }
    }

    /// Wakes everyone who waits for a job of the queue.
    fn wake_waiting(&self) {
        let jobs = self.jobs.borrow();
        let changed = jobs.jobs.values().map(|job| job.changed.clone());
        let changed: Vec<Rc<Signal>> = changed.collect();
        drop(jobs);
        for signal in changed {
            signal.notify();
        }
    }

    /// Wakes those who wait for a job's status.
    fn changed(&self, job: JobId) {
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

/// Demand that was sent to a rack and is not in its summary yet.
struct Promised {
    rack: RackName,
    demand: Resources,
    at_ms: MonoMs,
}

/// Queue side of a node.
pub struct Queues {
    this: Weak<Queues>,
    core: Rc<Core>,
    queues: RefCell<BTreeMap<QueueIndex, Rc<Queue>>>,
    backoff: RefCell<Backoff<RackName, PlaceRefusal>>,
    promised: RefCell<Vec<Promised>>,
    suspicion: RefCell<FailureAttribution<WorkerName, JobId>>,
    racks: RefCell<Option<Rc<Racks>>>,
    guard: RefCell<Option<Rc<GuardTable>>>,
    /// Calls of callers in progress.
    calls: Rc<Cell<usize>>,
    stopping: Cell<bool>,
    /// Notified once when a planned stop begins.
    stopped: Signal,
    stop_began_ms: Cell<Option<MonoMs>>,
    running: Cell<bool>,
}

impl Queues {
    /// Queue side over the node's parts; does nothing until started.
    #[must_use]
    pub fn new(core: Rc<Core>) -> Rc<Queues> {
        Rc::new_cyclic(|this| Queues {
            this: this.clone(),
            core,
            queues: RefCell::default(),
            backoff: RefCell::new(Backoff::new(RACK_STEPS)),
            promised: RefCell::default(),
            suspicion: RefCell::default(),
            racks: RefCell::default(),
            guard: RefCell::default(),
            calls: Rc::default(),
            stopping: Cell::new(false),
            stopped: Signal::default(),
            stop_began_ms: Cell::new(None),
            running: Cell::new(false),
        })
    }

    /// Makes the racks of this node known; those of peers are in their heartbeats.
    pub fn attach_racks(&self, racks: Rc<Racks>) {
        *self.racks.borrow_mut() = Some(racks);
    }

    /// Hands the records of request keys to the table when a queue is taken over.
    pub fn attach_guard(&self, guard: Rc<GuardTable>) {
        *self.guard.borrow_mut() = Some(guard);
    }

    /// Starts to look after owned queues in the background.
    pub fn start(self: &Rc<Self>) {
        if self.running.replace(true) {
            return;
        }
        let queues = self.clone();
        self.spawn(async move { queues.supervise().await });
    }

    /// Accepts and starts nothing more, and waits for placements in progress.
    pub fn stop(self: &Rc<Self>) -> PortFuture<'static, ()> {
        let queues = self.clone();
        Box::pin(async move {
            queues.begin_stop();
            let deadline = queues.now() + STOP_WAIT_MS;
            while queues.is_placing() && queues.now() < deadline {
                queues.core.ports.runtime.sleep(Millis(50)).await;
            }
            // Every call ends within its own limits.
            while queues.calls.get() > 0 {
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
        self.stopped.notify();
        for queue in self.queues.borrow().values() {
            queue.wake_waiting();
        }
    }

    /// Whether calls that still look for an owner have to end because of a stop.
    fn stop_is_due(&self) -> bool {
        let began_ms = self.stop_began_ms.get();
        began_ms.is_some_and(|began_ms| self.now().since(began_ms) >= STOP_CALLS_MS)
    }

    fn is_placing(&self) -> bool {
        let queues = self.queues.borrow();
        queues.values().any(|queue| queue.placing.get() > 0)
    }

    fn now(&self) -> MonoMs {
        self.core.ports.runtime.now()
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.core.ports.runtime.spawn(Box::pin(future));
    }

    /// Whether this node may act on the queue now.
    fn may_act(&self, queue: &Queue) -> bool {
        let right = self.core.ownership.lease(&Unit::Queue(queue.index));
        queue.stage.get() != Stage::Closed && right.is_some_and(|right| right.term == queue.term)
    }

    /// Queue that this node may act on and whose jobs are known.
    fn open_queue(&self, index: QueueIndex) -> Result<Rc<Queue>, Response> {
        let queue = self.queues.borrow().get(&index).cloned();
        let queue = queue.ok_or(Response::NotOwner)?;
        if !self.may_act(&queue) || queue.stage.get() == Stage::Opening {
            return Err(Response::NotOwner);
        }
        Ok(queue)
    }

    /// Keeps a decision about a job for explanation.
    fn explain(&self, job: JobId, text: String) {
        let at_ms = self.core.ports.runtime.wall_now();
        self.core.explanations.add(Subject::Job(job), at_ms, text);
    }

    async fn supervise(self: Rc<Self>) {
        while self.running.get() {
            self.sync_queues();
            self.core.ports.runtime.sleep(SUPERVISE_EVERY_MS).await;
        }
    }

    /// Takes over queues that this node now owns, drops those that it lost.
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
                self.take_over(index, term);
            }
        }
    }

    fn take_over(self: &Rc<Self>, index: QueueIndex, term: Term) {
        let queue = Rc::new(Queue {
            index,
            term,
            taken_ms: self.now(),
            stage: Cell::new(Stage::Opening),
            next_number: Cell::new(0),
            jobs: RefCell::default(),
            work: Signal::default(),
            placing: Cell::new(0),
            doubtful: Cell::new(false),
        });
        self.queues.borrow_mut().insert(index, queue.clone());
        let queues = self.clone();
        self.spawn(async move { queues.run(queue).await });
    }

    /// Ends a queue's tasks and wakes everyone who waits for its jobs.
    fn close(&self, queue: &Queue) {
        queue.stage.set(Stage::Closed);
        queue.work.notify();
        if let Some(guard) = &*self.guard.borrow() {
            guard.forget(queue.index);
        }
        queue.wake_waiting();
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
                let work = async move { queues.cancel_here(job).await };
                Some(detached(runtime, work))
            }
            Request::Explain(job) => Some(Box::pin(async move { queues.explain_here(job) })),
            Request::TaskEvent(event) => {
                let work = async move { queues.take_event(event).await };
                Some(detached(runtime, work))
            }
            _ => None,
        }
    }

    fn fill_heartbeat(&self, _heartbeat: &mut Heartbeat) {}
}

/// Queue that holds the jobs of a team; the same on all nodes.
#[must_use]
pub fn queue_of(team: &TeamName, queues: u16) -> QueueIndex {
    let index = stable_hash(&[team.as_str().as_bytes()]) % u64::from(queues.max(1));
    QueueIndex(u16::try_from(index).unwrap_or_default())
}
