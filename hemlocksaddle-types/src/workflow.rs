//! Workflows: jobs of several steps with dependencies between them.
//!
//! A workflow is submitted under an id that its caller chooses, so that a repeated
//! submission is recognised. Its steps form a directed acyclic graph: a step has a
//! number of equal tasks and may depend on earlier steps, whose tasks must be done
//! first. A workflow with a schedule runs its steps once per occurrence.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{Millis, WallMs},
    delegation::{DelegatedAnswer, DelegatedCall, Offer},
    error::{Error, ErrorKind, Result},
    resources::Resources,
};

/// Maximum size in bytes of the opaque text of a workflow.
pub const MAX_TEXT_BYTES: usize = 4_000;

/// Maximum number of steps in a workflow.
pub const MAX_STEPS: usize = 256;

/// Maximum number of tasks in one occurrence of a workflow.
pub const MAX_TASKS: u64 = 100_000;

/// Maximum number of occurrences in a schedule.
pub const MAX_OCCURRENCES: u32 = 100_000;

/// Workflow id chosen by the caller: 64 bits, written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkflowId(pub u64);

impl fmt::Display for WorkflowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for WorkflowId {
    type Err = Error;

    fn from_str(text: &str) -> Result<WorkflowId> {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let number = u64::from_str_radix(text, 16);
        match number {
            Ok(number) if text.len() == 16 && text.bytes().all(digit) => Ok(WorkflowId(number)),
            _ => Err(Error::new(
                ErrorKind::Name,
                format!("workflow id {text:?} is not 16 lower-case hexadecimal digits"),
            )),
        }
    }
}

/// Identifier of a task, written as `WORKFLOW.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// Workflow that the task belongs to.
    pub workflow: WorkflowId,
    /// Occurrence of the workflow, counted from 0.
    pub occurrence: u32,
    /// Index of the step, counted from 0.
    pub step: u16,
    /// Index of the task in its step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName {
            workflow,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{workflow}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskName {
    type Err = Error;

    fn from_str(text: &str) -> Result<TaskName> {
        let invalid = || Error::new(ErrorKind::Name, format!("{text:?} is not a task's name"));
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(invalid);
        let name = TaskName {
            workflow: next()?.parse()?,
            occurrence: next()?.parse().map_err(|_| invalid())?,
            step: next()?.parse().map_err(|_| invalid())?,
            index: next()?.parse().map_err(|_| invalid())?,
        };
        match parts.next() {
            None => Ok(name),
            Some(_) => Err(invalid()),
        }
    }
}

/// Number of a run of a task; a later run has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Run(pub u64);

/// Step of a workflow: equal tasks and how to place them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of equal tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Declared run time of each task in milliseconds; may be inaccurate.
    pub expected_run_ms: u64,
    /// Indices of earlier steps whose tasks must all be done before this step starts.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Gang scheduling: the tasks make progress only if all of them run, and they end together.
    pub gang: bool,
    /// Rack affinity: the tasks run slower when they are spread over several racks.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the input data; preferred for placement.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Speculative execution: several copies of a task may run at the same time.
    pub speculative: bool,
    /// Tasks run until the workflow is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Program image that the tasks run; tasks of one image are expected to behave alike.
    pub image: Option<Arc<str>>,
    /// Tail latency target of a long-running task in milliseconds; 0 means none.
    pub target_ms: u64,
    /// Tasks only use processor time that other tasks leave idle.
    pub best_effort: bool,
    /// Maximum number of tasks that the scheduler may make unavailable at the same time.
    pub max_unavailable: Option<u32>,
    /// Tasks write checkpoints.
    pub checkpointed: bool,
}

/// Times at which the occurrences of a workflow are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Wall-clock time of the first occurrence.
    pub first_ms: WallMs,
    /// Time between two consecutive occurrences.
    pub interval_ms: Millis,
}

/// Workflow as accepted from its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workflow {
    /// Name of the queue that it was submitted to.
    pub queue: Arc<str>,
    /// Opaque text that is passed to every task.
    pub text: Arc<str>,
    /// Steps; each one depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Schedule; `None` runs the workflow once, immediately.
    pub schedule: Option<Schedule>,
    /// Wall-clock time at which the node received it.
    pub received_ms: WallMs,
    /// Name of the tenant that submitted it; `None` without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<Arc<str>>,
}

impl Workflow {
    /// Checks the limits and that steps depend on earlier steps only.
    ///
    /// # Errors
    ///
    /// Fails if the workflow has no steps, exceeds a limit, or has a step without
    /// tasks or with a dependency on itself or a later step.
    pub fn check(&self) -> Result<()> {
        let range = |text: String| Err(Error::new(ErrorKind::Range, text));
        if self.text.len() > MAX_TEXT_BYTES {
            return range(format!(
                "text has {} bytes, at most {MAX_TEXT_BYTES} are allowed",
                self.text.len()
            ));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return range(format!(
                "{} steps; 1 to {MAX_STEPS} are allowed",
                self.steps.len()
            ));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks > MAX_TASKS {
            return range(format!("{tasks} tasks; at most {MAX_TASKS} are allowed"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return range(format!("step {number} has no tasks"));
            }
            if let Some(dependency) = step
                .depends_on
                .iter()
                .find(|&&index| usize::from(index) >= number)
            {
                return range(format!(
                    "step {number} depends on step {dependency}, which is not earlier"
                ));
            }
        }
        match self.schedule {
            Some(schedule) if schedule.occurrences > MAX_OCCURRENCES => range(format!(
                "{} occurrences; at most {MAX_OCCURRENCES} are allowed",
                schedule.occurrences
            )),
            _ => Ok(()),
        }
    }

    /// Number of occurrences; 1 without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }
}

/// State of a workflow as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl State {
    /// Whether the state is final.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// Why a workflow failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// A task failed as often as its queue allows.
    Attempts {
        /// Task that failed.
        task: TaskName,
        /// Number of failed runs.
        attempts: u32,
    },
    /// Workers crashed under a task.
    Crashes {
        /// Task that is held responsible.
        task: TaskName,
        /// Workers that crashed.
        workers: Vec<Arc<str>>,
    },
}

impl Failure {
    /// Task that made the workflow fail.
    #[must_use]
    pub fn task(&self) -> TaskName {
        match self {
            Failure::Attempts { task, .. } | Failure::Crashes { task, .. } => *task,
        }
    }

    /// Workers that crashed under the task.
    #[must_use]
    pub fn workers(&self) -> &[Arc<str>] {
        match self {
            Failure::Attempts { .. } => &[],
            Failure::Crashes { workers, .. } => workers,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Attempts { task, attempts } => {
                write!(f, "task {task} failed {attempts} times")
            }
            Failure::Crashes { task, workers } => {
                write!(f, "{} workers crashed under task {task}", workers.len())
            }
        }
    }
}

/// Run that was lost when its worker crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Run that was lost.
    pub run: Run,
    /// Worker that crashed.
    pub worker: Arc<str>,
    /// Weight of the crash as evidence against the task.
    pub suspicion: u32,
    /// Upper bound of the time from the start of the run to the crash.
    pub age: Millis,
}

/// Done and begun tasks, failed and crashed runs, and restarted tasks of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Occurrence of the workflow.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Done tasks, as half-open index ranges `(start, end)`.
    pub done: Vec<(u32, u32)>,
    /// Failed runs, as pairs of task index and run number.
    pub failed: Vec<(u32, Run)>,
    /// Tasks that were started again while the end of an earlier run was unknown, as pairs of task
    /// index and number of the new run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub restarted: Vec<(u32, Run)>,
    /// Runs that were lost in crashes which their tasks may have caused, by task index.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<(u32, CrashedRun)>,
    /// Long-running tasks that have run, as half-open index ranges.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<(u32, u32)>,
    /// Tasks of which a run may have ended in a way that is not known, on a worker that is gone, as
    /// half-open index ranges.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub end_unknown: Vec<(u32, u32)>,
}

impl StepProgress {
    /// Whether there is nothing to store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.has_started() && self.end_unknown.is_empty()
    }

    /// Whether a task of the step is known to have started.
    #[must_use]
    pub fn has_started(&self) -> bool {
        !(self.done.is_empty()
            && self.failed.is_empty()
            && self.restarted.is_empty()
            && self.crashed.is_empty()
            && self.begun.is_empty())
    }
}

/// Durable progress of a workflow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Final state, once the workflow has ended.
    pub ended: Option<State>,
    /// Wall-clock time at which the workflow ended.
    pub ended_ms: Option<WallMs>,
    /// Why the workflow failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Failure>,
    /// Occurrences of which all tasks are done, as half-open ranges of their numbers; `steps` tells nothing of
    /// their done tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Progress of the steps that have any.
    pub steps: Vec<StepProgress>,
    /// Name of the tenant that submitted the workflow; the submission may be deleted before the progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<Arc<str>>,
    /// Further records that hold the rest; `None` if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub further: Option<FurtherParts>,
}

/// Further records of a progress that is too large for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FurtherParts {
    /// Generation of the records; each change of the progress writes a new one.
    pub generation: u64,
    /// Number of records.
    pub count: u32,
}

/// Record in the submissions stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submission {
    /// Workflow was submitted and accepted.
    Accepted(Box<Workflow>),
    /// Workflow without a tenant was cancelled by its caller.
    Cancelled,
    /// Workflow was cancelled by a caller of this tenant; without effect on work of others.
    CancelledBy(Arc<str>),
}

/// Configuration of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host name under which callers reach the queue.
    pub host: Arc<str>,
    /// Prefix of the request paths that belong to the queue.
    pub path_prefix: Arc<str>,
    /// Name of the pool of workers that runs its tasks.
    pub pool: Arc<str>,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of attempts at a failing task.
    pub max_attempts: u32,
    /// Factor of the critical path (longest chain of dependent work) in the completion target.
    pub stretch: f64,
    /// Constant part of the completion target.
    pub target_completion_ms: Millis,
    /// Time for which callers wait for a response.
    pub timeout_ms: Millis,
    /// Whether calls need no key of a tenant.
    #[serde(default)]
    pub public: bool,
}

/// Configuration of a pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Admission check: workers refuse tasks that exceed their free resources.
    #[serde(rename = "workers_check_room")]
    pub admission_check: bool,
    /// Machines of the pool are powered off.
    pub standby: bool,
}

/// SHA-256 digest of a tenant's key.
///
/// The key itself is not kept; see [`crate::tenant`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Configuration of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Share of the capacity when all of it is in use, relative to the other tenants.
    pub weight: u32,
    /// Largest resources that its tasks may use at the same time; 0 means no limit.
    pub cap: Resources,
}

/// Limits of clients' connections; 0 is a limit that the configuration does not set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Time for a head.
    pub head_ms: Millis,
    /// Time for which a connection may be unused.
    pub idle_ms: Millis,
}

/// Queues, pools and limits of the current configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Version of the configuration; a later one is higher.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools of workers.
    pub pools: Vec<Pool>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Limits of clients' connections.
    #[serde(default)]
    pub client_limits: ClientLimits,
    /// All tenants; if there are none, calls need no key.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

impl Catalogue {
    /// Finds the queue for a host name and path by longest prefix match; also returns the path after
    /// the prefix.
    #[must_use]
    pub fn route<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Queue, &'p str)> {
        let matching = self.queues.iter().filter_map(|queue| {
            let rest = path.strip_prefix(&*queue.path_prefix)?;
            (*queue.host == *host).then_some((queue, rest))
        });
        matching.max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Finds a queue by name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }

    /// Finds a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| *pool.name == *name)
    }
}

/// Call of a node to the owner of a shard; the first field is the shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardRequest {
    /// Asks for the state of a workflow.
    State(u32, WorkflowId),
    /// Asks for the number of a queue's accepted workflows without a started task.
    Waiting(u32, Arc<str>),
    /// Asks the owner to store a submission.
    Store(u32, WorkflowId, Submission),
    /// Asks whether the node owns the shard; sent by nodes that monitor the owner.
    Ownership(u32),
    /// Offers the owner to carry out calls to workers.
    Offer(u32, Offer),
    /// Asks a delegate to carry out a call to a worker; sent by the owner.
    Delegate(u32, Box<DelegatedCall>),
    /// Asks for the state of a workflow for a caller of a tenant.
    TenantState(u32, WorkflowId, Arc<str>),
    /// Asks for the number of a queue's accepted workflows of a tenant without a started task.
    TenantWaiting(u32, Arc<str>, Arc<str>),
}

impl ShardRequest {
    /// Shard that the call refers to.
    #[must_use]
    pub fn shard(&self) -> u32 {
        match self {
            ShardRequest::State(shard, _)
            | ShardRequest::Waiting(shard, _)
            | ShardRequest::Store(shard, _, _)
            | ShardRequest::Ownership(shard)
            | ShardRequest::Offer(shard, _)
            | ShardRequest::Delegate(shard, _)
            | ShardRequest::TenantState(shard, ..)
            | ShardRequest::TenantWaiting(shard, ..) => *shard,
        }
    }
}

/// Response to a [`ShardRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardResponse {
    /// State of the workflow; `None` if the shard has no such workflow.
    State(Option<State>),
    /// Workflow has failed, with the reason if it is known.
    Failed(Option<Box<Failure>>),
    /// Number of workflows without a started task.
    Waiting(u32),
    /// Submission is stored.
    Stored,
    /// Submission is certain not to be stored.
    NotStored,
    /// It is unknown whether the submission is stored.
    StoreUnknown,
    /// Node owns the shard, but may still be loading its state.
    Owner,
    /// Node does not own the shard, or its state is not loaded or not current.
    NotOwner,
    /// Answer to a delegated call.
    Delegated(DelegatedAnswer),
    /// Submission is not stored, and is not to be stored without the owner either.
    Refused(Refusal),
}

/// Why an owner refuses a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another tenant has submitted a workflow under the id.
    IdInUse,
    /// Tenant has more accepted work than it can run in time.
    OverQuota {
        /// Time after which there is probably room, in seconds.
        retry_after_s: u32,
    },
}
