//! Scheduling of workflows on the workers of one shard.
//!
//! The [`Board`] holds what the owner of a shard believes: the accepted
//! workflows, the workers and what runs on them. Reports, submissions and
//! answers to orders are applied to it; [`Board::plan`] returns the orders that
//! follow. It makes no calls and reads no clock, so that every decision can be
//! tested and replayed.
//!
//! Two rules keep a task from running twice. A placed task keeps its place until
//! the end of its run is known: reported by the worker, implied by a new life of
//! the worker, or implied by a lease that has certainly lapsed. And an owner that
//! has just taken over starts no task that its predecessor may have started
//! before every worker has reported or its lease has lapsed.

mod capacity;
mod consolidation;
mod interference;
mod job;
mod lifecycle;
mod pacing;
mod placement;
mod plan;
mod report;
mod worker;

use std::sync::Arc;

use foldhash::{HashMap, HashMapExt, HashSet};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::DataCentre,
    workflow::{Catalogue, Queue, Run, TaskName, WorkflowId},
};
use slotmap::{SlotMap, new_key_type};

pub use self::{
    interference::InterferenceSnapshot,
    job::{Job, Phase, TaskKey},
    lifecycle::Unsaved,
    report::{End, EndKind, Report, TaskStatus},
    worker::{Listing, Worker},
};

new_key_type! {
    /// Key of a workflow on the board.
    pub struct JobKey;
    /// Key of one life of a worker on the board.
    pub struct WorkerKey;
}

/// Runs that one term may number; the next term starts above them.
const RUNS_PER_TERM: u64 = 4_096;

/// Time limits that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which an ended workflow stays visible.
    pub keep_ended_ms: Millis,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskName,
        /// Run.
        run: Run,
    },
    /// Let a run use a share of its processors.
    Pace {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskName,
        /// Run.
        run: Run,
        /// Share in percent.
        percent: u8,
    },
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Worker.
    pub worker: WorkerKey,
    /// Task.
    pub task: TaskKey,
    /// Name of the task.
    pub name: TaskName,
    /// Run.
    pub run: Run,
    /// Text of the workflow.
    pub text: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
}

/// Answer to an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartAnswer {
    /// Run is there.
    Accepted,
    /// Worker has no room.
    NoRoom,
    /// Run is not higher than one that ended there.
    OldRun,
    /// Order arrived after its deadline.
    Late,
    /// Worker is unhealthy and has done nothing.
    Unhealthy,
    /// Worker cannot read the order.
    Invalid,
    /// Worker has a new life.
    OtherLife,
    /// Worker has seen a higher term.
    Fenced,
    /// No connection; certain to have done nothing.
    NotSent,
    /// No answer.
    Unknown,
}

/// What the owner of a shard believes.
pub struct Scheduler {
    limits: Limits,
    term: u64,
    /// Latest definition of every queue, also of those that were removed since.
    queues: HashMap<Arc<str>, Arc<Queue>>,
    closed: HashSet<DataCentre>,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<WorkflowId, JobKey>,
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<Arc<str>, WorkerKey>,
    unsaved: HashSet<JobKey>,
    orders: Vec<Order>,
    /// Cancellations of workflows whose submission has not been read yet.
    pending_cancels: HashMap<WorkflowId, MonoMs>,
    /// Time at which nothing of the predecessor can run unseen any more.
    takeover_complete_at: MonoMs,
    open_jobs: Vec<JobKey>,
    interference: interference::InterferenceModel,
    /// Best-effort work that found no worker in this plan.
    blocked: Vec<consolidation::Blocked>,
    consolidated_at: MonoMs,
}

impl Scheduler {
    /// Empty board of a term whose predecessors' orders are void from `settled_at` on.
    #[must_use]
    pub fn new(limits: Limits, term: u64, takeover_complete_at: MonoMs) -> Scheduler {
        Scheduler {
            limits,
            term,
            queues: HashMap::new(),
            closed: HashSet::default(),
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            workers: SlotMap::with_key(),
            by_name: HashMap::new(),
            unsaved: HashSet::default(),
            orders: Vec::new(),
            pending_cancels: HashMap::new(),
            takeover_complete_at,
            open_jobs: Vec::new(),
            interference: interference::InterferenceModel::default(),
            blocked: Vec::new(),
            consolidated_at: MonoMs(0),
        }
    }

    /// Applies a configuration; accepted workflows of removed queues go on under the old definition.
    pub fn configure(&mut self, catalogue: &Catalogue) {
        for queue in &catalogue.queues {
            let known = self.queues.get(&queue.name);
            if known.is_none_or(|known| **known != *queue) {
                self.queues
                    .insert(queue.name.clone(), Arc::new(queue.clone()));
            }
        }
    }

    fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.get(name)
    }

    /// Replaces the set of data centres that get no new task.
    pub fn close_data_centres(&mut self, closed: HashSet<DataCentre>) {
        self.closed = closed;
    }

    /// Worker of a key.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Workflow of an id.
    #[must_use]
    pub fn job(&self, id: WorkflowId) -> Option<&Job> {
        self.jobs.get(*self.by_id.get(&id)?)
    }

    /// What was learned about the harm between images.
    #[must_use]
    pub fn interference_snapshot(&self) -> InterferenceSnapshot {
        self.interference.snapshot()
    }

    /// Goes on from what a predecessor learned; has to come before any workflow.
    pub fn restore_interference(&mut self, snapshot: InterferenceSnapshot) {
        self.interference.restore(snapshot);
    }

    /// Term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    fn first_run(&self) -> Run {
        Run((self.term.saturating_sub(1)) * RUNS_PER_TERM + 1)
    }

    /// Whether every worker has reported in this term or its lease has lapsed.
    #[must_use]
    pub fn is_takeover_complete(&self, now: MonoMs) -> bool {
        now >= self.takeover_complete_at
            || self
                .workers
                .values()
                .all(|worker| worker.reported_at.is_some())
    }

    fn task_key(&self, name: TaskName) -> Option<TaskKey> {
        let job = *self.by_id.get(&name.workflow)?;
        let key = TaskKey {
            job,
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
        };
        self.jobs[job].task(key).is_some().then_some(key)
    }

    fn name(&self, key: TaskKey) -> TaskName {
        TaskName {
            workflow: self.jobs[key.job].id,
            occurrence: key.occurrence,
            step: key.step,
            index: key.index,
        }
    }
}
