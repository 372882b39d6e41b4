//! Workflows: jobs of several steps that depend on each other.
//!
//! A workflow is handed in under an id that its caller chooses, so that a second
//! submission of the same id is recognised. It consists of steps; a step has a
//! number of equal tasks and may name earlier steps that have to be done first.
//! A workflow with a schedule runs its steps once for each occurrence.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{Millis, WallMs},
    error::{Error, ErrorKind, Result},
    resources::Resources,
};

/// Longest opaque text of a workflow in bytes.
pub const MAX_TEXT_BYTES: usize = 4_000;

/// Most steps of a workflow.
pub const MAX_STEPS: usize = 256;

/// Most tasks of one occurrence of a workflow.
pub const MAX_TASKS: u64 = 100_000;

/// Most occurrences of a schedule.
pub const MAX_OCCURRENCES: u32 = 100_000;

/// Id that the caller chose: 64 bits, written as 16 lower-case hexadecimal digits.
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

/// Task of a workflow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// Workflow.
    pub workflow: WorkflowId,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u16,
    /// Task of the step, counted from 0.
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

/// Number of a task's start; a later start has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Run(pub u64);

/// Step of a workflow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of equal tasks.
    pub tasks: u32,
    /// What one task requests.
    pub demand: Resources,
    /// Declared run time of a task in milliseconds; may be far off.
    pub expected_run_ms: u64,
    /// Earlier steps whose tasks must all be done.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Tasks work only together and end together.
    pub gang: bool,
    /// Tasks slow down when they run on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the data.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 is no limit.
    pub max_per_worker: u32,
    /// Copies of a task may run at the same time.
    pub speculative: bool,
    /// Tasks run until the workflow is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Program that the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound of the tail latency of a lasting task in milliseconds; 0 is none.
    pub target_ms: u64,
    /// Tasks use the processors that other tasks leave idle.
    pub best_effort: bool,
    /// Tasks that may be away at the same time because of the scheduler.
    pub max_unavailable: Option<u32>,
    /// Tasks write checkpoints.
    pub checkpointed: bool,
}

/// Times at which a workflow is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Time of the first.
    pub first_ms: WallMs,
    /// Time between two.
    pub interval_ms: Millis,
}

/// Workflow as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workflow {
    /// Queue that it was handed in to.
    pub queue: Arc<str>,
    /// Text that is passed to every task.
    pub text: Arc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// Schedule; `None` runs it once, at once.
    pub schedule: Option<Schedule>,
    /// Wall-clock time at which the node took it.
    pub received_ms: WallMs,
}

impl Workflow {
    /// Checks sizes and the order of the steps.
    ///
    /// # Errors
    ///
    /// Fails for a workflow without tasks, above a limit, or with a step that does
    /// not come after those it depends on.
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

    /// Number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }
}

/// State of a workflow as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
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

/// Tasks of one step that are done or have failed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Done tasks, as ranges of indices with an exclusive end.
    pub done: Vec<(u32, u32)>,
    /// Failed runs, as index of the task and run.
    pub failed: Vec<(u32, Run)>,
}

/// Durable progress of a workflow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Final state, once there is one.
    pub ended: Option<State>,
    /// Wall-clock time of the end.
    pub ended_ms: Option<WallMs>,
    /// Steps with ended tasks.
    pub steps: Vec<StepProgress>,
}

/// Record in the stream of submissions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submission {
    /// Workflow was handed in.
    Accepted(Box<Workflow>),
    /// Caller cancelled it.
    Cancelled,
}

/// Queue as the configuration defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: Arc<str>,
    /// Host name that callers use.
    pub host: Arc<str>,
    /// Start of the paths of the queue.
    pub path_prefix: Arc<str>,
    /// Pool of workers that runs its tasks.
    pub pool: Arc<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Attempts after which a failing task is given up.
    pub max_attempts: u32,
    /// Part of the completion target that grows with the longest chain of work.
    pub stretch: f64,
    /// Fixed part of the completion target.
    pub target_completion_ms: Millis,
    /// Time that callers wait for an answer.
    pub timeout_ms: Millis,
}

/// Pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: Arc<str>,
    /// Workers refuse what does not fit.
    pub workers_check_room: bool,
    /// Machines are off.
    pub standby: bool,
}

/// Configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Version; a later one is higher.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools of workers.
    pub pools: Vec<Pool>,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
}

impl Catalogue {
    /// Queue of a host name and path, with the rest of the path after its prefix.
    #[must_use]
    pub fn route<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Queue, &'p str)> {
        let matching = self.queues.iter().filter_map(|queue| {
            let rest = path.strip_prefix(&*queue.path_prefix)?;
            (*queue.host == *host).then_some((queue, rest))
        });
        matching.max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Queue of a name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }

    /// Pool of a name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| *pool.name == *name)
    }
}

/// Question of a node to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardRequest {
    /// State of a workflow.
    State(u32, WorkflowId),
    /// Accepted workflows of a queue for which no task has started.
    Waiting(u32, Arc<str>),
    /// Asks to store a submission.
    Store(u32, WorkflowId, Submission),
    /// Whether the node owns the shard, from a node that watches it.
    Ownership(u32),
}

impl ShardRequest {
    /// Shard that the question is about.
    #[must_use]
    pub fn shard(&self) -> u32 {
        match self {
            ShardRequest::State(shard, _)
            | ShardRequest::Waiting(shard, _)
            | ShardRequest::Store(shard, _, _)
            | ShardRequest::Ownership(shard) => *shard,
        }
    }
}

/// Answer of the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardResponse {
    /// State of a workflow; `None` if it is not known.
    State(Option<State>),
    /// Number of waiting workflows.
    Waiting(u32),
    /// Submission is stored.
    Stored,
    /// Submission is certain not to be stored.
    NotStored,
    /// It is not known whether the submission is stored.
    StoreUnknown,
    /// Node owns the shard; it may not have read its state yet.
    Owner,
    /// Node does not own the shard, or has not read its state yet.
    NotOwner,
}
