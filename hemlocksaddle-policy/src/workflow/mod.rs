//! Scheduling of workflows on the workers of one shard.
//!
//! The [`Scheduler`] holds the state that the owner of a shard knows: accepted
//! workflows, workers, and the tasks assigned to them. Reports, submissions and
//! answers to orders are applied to it; [`Scheduler::plan`] returns the orders to
//! send. It does no I/O and takes the time as an argument, so every decision can
//! be tested and replayed.
//!
//! Three rules prevent a task from running twice. First, a task stays assigned to its
//! worker until its run has certainly ended: the worker reported the end, has a
//! new incarnation, or its lease has certainly expired. Second, a new owner does
//! not start a task that its predecessor may have started until every worker has
//! reported or its lease has expired, unless a report has shown the task's latest run
//! when no predecessor could learn of its end any more. Third, where a task was started again after a lease had expired,
//! or before every worker has reported, a completed earlier run that is reported later
//! is not acknowledged; the result of the later run counts.

mod backlog;
mod capacity;
mod consolidation;
mod copies;
mod crash;
mod ended;
mod feasibility;
mod gang;
mod interference;
mod job;
mod lifecycle;
mod listing;
mod occurrences;
mod overdue;
mod ownership;
mod pacing;
mod packing;
mod placement;
mod plan;
mod ranges;
mod ranking;
mod report;
mod reservation;
mod reserved;
mod restart;
mod rounds;
mod run_time;
mod tasks;
mod tenancy;
mod unplaced;
mod unreached;
mod waiting;
mod withheld;
mod work;
mod worker;

use std::{net::SocketAddr, sync::Arc};

use foldhash::{HashMap, HashMapExt, HashSet};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::DataCentre,
    workflow::{Catalogue, Queue, Run, TaskName, WorkflowId},
};
use slotmap::{SlotMap, new_key_type};

use crate::unreached::Process;

pub use hemlocksaddle_types::delegation::{End, EndKind, Report, StartAnswer, TaskStatus};

pub use self::{
    backlog::TenantLoads,
    copies::{CopyEvent, CopyReason},
    crash::{Crash, LostRun, Outage},
    interference::InterferenceSnapshot,
    job::{Job, Phase, TaskKey},
    lifecycle::{MAX_SAVED_WORKFLOWS, Unsaved},
    listing::Listing,
    ownership::Owned,
    reservation::ReservedRoom,
    tenancy::{TenantDemand, TenantUse, TenantUses},
    waiting::{PoolCapacity, WaitReason, Waiting, WaitingStep},
    work::WorkCounts,
    worker::Worker,
};

new_key_type! {
    /// Key of a workflow in the scheduler.
    pub struct JobKey;
    /// Key of one incarnation of a worker in the scheduler.
    pub struct WorkerKey;
    /// Key of a tenant in the scheduler.
    pub struct TenantKey;
}

/// Longest time that a worker holds a report request until a run ends (long poll).
pub const REPORT_WAIT_MS: Millis = Millis(1_000);

/// Time for which a worker may hold a report request of a predecessor that arrived before the first one of a
/// new owner: the longest wait, on a slow clock.
const OPEN_REQUEST_MS: Millis = Millis(REPORT_WAIT_MS.0 + 100);

/// Run numbers that belong to one term; the next term starts above them.
const RUNS_PER_TERM: u64 = 4_096;

/// Time limits set by the platform.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which an ended workflow stays visible.
    pub keep_ended_ms: Millis,
    /// Whether room is reserved for tasks that fit nowhere, and kept of use for the sizes that wait.
    pub reservations: bool,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop {
        /// Worker that holds the run.
        worker: WorkerKey,
        /// Name of the task.
        task: TaskName,
        /// Run to stop.
        run: Run,
    },
    /// Limit a run to a share of its processors.
    Pace {
        /// Worker that holds the run.
        worker: WorkerKey,
        /// Name of the task.
        task: TaskName,
        /// Run to limit.
        run: Run,
        /// Share in percent.
        percent: u8,
    },
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Worker that is to run the task.
    pub worker: WorkerKey,
    /// Key of the task.
    pub task: TaskKey,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the new run.
    pub run: Run,
    /// Text of the workflow, passed on to the task.
    pub text: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Time for which the task had waited.
    pub waited: Millis,
}

/// Scheduling state of one shard, kept by its owner.
pub struct Scheduler {
    limits: Limits,
    term: u64,
    /// Latest definition of every queue, including queues removed since.
    queues: HashMap<Arc<str>, Arc<Queue>>,
    closed: HashSet<DataCentre>,
    /// Pools whose workers start a task even if it does not fit.
    unguarded_pools: HashSet<Arc<str>>,
    /// Time of the latest read of the platform's list of workers.
    listed_at: MonoMs,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<WorkflowId, JobKey>,
    /// Ended workflows that are not in `jobs` any more.
    ended: HashMap<WorkflowId, ended::EndedWorkflow>,
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<Arc<str>, WorkerKey>,
    unsaved: HashSet<JobKey>,
    /// Workers that are gone and are to be removed from the durable roster.
    departed: HashSet<Arc<str>>,
    orders: Vec<Order>,
    /// Cancellations that were read before the submission of their workflow.
    pending_cancels: HashMap<ownership::Canceller, MonoMs>,
    /// Time by which every lease granted in an earlier term has expired.
    failover_complete_at: MonoMs,
    /// Earlier times by which those on some processes have expired.
    earlier_leases: HashMap<Process, MonoMs>,
    /// Whether leases of earlier terms were waited out because some worker did not report.
    missing_reports: bool,
    open_jobs: Vec<JobKey>,
    /// Cancelled workflows that have not ended yet.
    cancelled_jobs: Vec<JobKey>,
    interference: interference::InterferenceModel,
    /// Best-effort tasks that this plan could not place.
    blocked: Vec<consolidation::Blocked>,
    consolidated_at: MonoMs,
    /// Steps that idle workers could take; `None` if the list of workers has changed.
    feasibility: Option<feasibility::Feasibility>,
    /// Number of start orders that the next plan may give.
    start_budget: u32,
    overdue_starts: overdue::OverdueStarts,
    /// Time of the latest plan or report.
    updated_at: MonoMs,
    /// Tasks whose crashes have not been weighed yet.
    suspects: Vec<TaskKey>,
    /// Tasks that failed while the limit of their attempts was not known.
    unchecked_attempts: Vec<TaskKey>,
    /// Latest crash at each address, for as long as its worker is not taken as steady.
    crashed_at: HashMap<SocketAddr, MonoMs>,
    /// Latest losses of workers by crashes.
    losses: Vec<crash::Loss>,
    /// Crashes that are not logged yet.
    crashes: Vec<Crash>,
    rounds: rounds::Rounds,
    run_times: run_time::RunTimes,
    reservations: reserved::Reservations,
    packing: packing::Packing,
    /// Work of the plans that is not reported yet.
    work: WorkCounts,
    tenancy: tenancy::Tenancy,
    copies: copies::Copies,
}

impl Scheduler {
    /// Empty scheduler of a term; leases of earlier terms have expired by `failover_complete_at`.
    #[must_use]
    pub fn new(limits: Limits, term: u64, failover_complete_at: MonoMs) -> Scheduler {
        Scheduler {
            limits,
            term,
            queues: HashMap::new(),
            closed: HashSet::default(),
            unguarded_pools: HashSet::default(),
            listed_at: MonoMs(0),
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            ended: HashMap::new(),
            workers: SlotMap::with_key(),
            by_name: HashMap::new(),
            unsaved: HashSet::default(),
            departed: HashSet::default(),
            orders: Vec::new(),
            pending_cancels: HashMap::new(),
            failover_complete_at,
            earlier_leases: HashMap::new(),
            missing_reports: false,
            open_jobs: Vec::new(),
            cancelled_jobs: Vec::new(),
            interference: interference::InterferenceModel::default(),
            blocked: Vec::new(),
            consolidated_at: MonoMs(0),
            feasibility: None,
            start_budget: u32::MAX,
            overdue_starts: overdue::OverdueStarts::default(),
            updated_at: MonoMs(0),
            suspects: Vec::new(),
            unchecked_attempts: Vec::new(),
            crashed_at: HashMap::new(),
            losses: Vec::new(),
            crashes: Vec::new(),
            rounds: rounds::Rounds::default(),
            run_times: run_time::RunTimes::default(),
            reservations: reserved::Reservations::default(),
            packing: packing::Packing::default(),
            work: WorkCounts::default(),
            tenancy: tenancy::Tenancy::default(),
            copies: copies::Copies::default(),
        }
    }

    /// Applies a configuration; accepted workflows of a removed queue keep its last definition.
    pub fn configure(&mut self, catalogue: &Catalogue) {
        for queue in &catalogue.queues {
            let known = self.queues.get(&queue.name);
            if known.is_none_or(|known| **known != *queue) {
                self.queues
                    .insert(queue.name.clone(), Arc::new(queue.clone()));
            }
        }
        let unguarded = catalogue.pools.iter().filter(|pool| !pool.admission_check);
        self.tenancy.configure(&catalogue.tenants);
        self.unguarded_pools = unguarded.map(|pool| pool.name.clone()).collect();
    }

    fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.get(name)
    }

    /// Replaces the set of data centres that get no new tasks.
    pub fn close_data_centres(&mut self, closed: HashSet<DataCentre>) {
        self.closed = closed;
    }

    /// Sets the number of start orders that the next plan may give.
    ///
    /// A gang is started whole, even if it exceeds what is left.
    pub fn set_start_budget(&mut self, starts: u32) {
        self.start_budget = starts;
    }

    /// Number of workers that did not answer the last report request.
    #[must_use]
    pub fn silent_workers(&self) -> usize {
        self.workers
            .values()
            .filter(|worker| worker.is_silent())
            .count()
    }

    /// Worker with the given key.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// All known workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Workflow with the given id, unless only its outcome is kept.
    #[must_use]
    pub fn job(&self, id: WorkflowId) -> Option<&Job> {
        self.jobs.get(*self.by_id.get(&id)?)
    }

    /// Learned interference between images, for the next owner.
    #[must_use]
    pub fn interference_snapshot(&self) -> InterferenceSnapshot {
        self.interference.snapshot()
    }

    /// Restores interference learned by a predecessor; must come before any workflow is accepted.
    pub fn restore_interference(&mut self, snapshot: InterferenceSnapshot) {
        self.interference.restore(snapshot);
    }

    /// Term of the owner.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    fn first_run(&self) -> Run {
        Run((self.term.saturating_sub(1)) * RUNS_PER_TERM + 1)
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

    /// Key of a task that a worker names; creates the state of its occurrence.
    ///
    /// A predecessor may have started tasks of occurrences that this owner does not take as due yet.
    fn named_task_key(&mut self, name: TaskName) -> Option<TaskKey> {
        let job = *self.by_id.get(&name.workflow)?;
        self.jobs[job].ensure_occurrence_of(name, self.updated_at);
        self.task_key(name)
    }

    fn name(&self, key: TaskKey) -> TaskName {
        self.jobs[key.job].name_of(key)
    }
}
