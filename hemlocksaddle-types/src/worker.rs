//! Messages between a rack's owner and its workers.
//!
//! Times named `worker_ms` are on the worker's own monotonic clock. The owner
//! estimates the worker's current time as the last timestamp received from it plus
//! the time since. This estimate is never ahead of the worker's clock, so
//! a deadline derived from it is never too late.
//!
//! A restarted worker has a new clock, so an order names the incarnation that its
//! times refer to, and any other incarnation refuses it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    clock::MonoMs,
    job::{Attempt, Checkpoint, TaskEnd, TaskId, Urgency},
    name::ServiceName,
    resources::Resources,
};

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Task to start.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Service of the task; tasks of one service form one interference class.
    pub service: ServiceName,
    /// Resources to reserve for the task.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub expected_run_ms: u64,
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Whether the task can be checkpointed.
    pub resumable: bool,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Incarnation of the worker whose clock the times refer to; any other answers `TooLate`.
    pub incarnation: u64,
    /// Time on the worker's clock after which the worker refuses the order.
    pub start_by_worker_ms: MonoMs,
    /// Time on the worker's clock at which the task's lease expires.
    pub lease_until_worker_ms: MonoMs,
}

/// Reply to a [`StartTask`] order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReply {
    /// Task was started.
    Started,
    /// Worker already runs this attempt, or has run it.
    AlreadyKnown,
    /// Order arrived after `start_by_worker_ms`, or was for another incarnation of the worker.
    TooLate,
    /// Worker refuses the order for this reason.
    Refused(Arc<str>),
}

/// Renewal of the leases of a worker's tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Incarnation of the worker whose clock the lease refers to; any other renews no lease.
    pub incarnation: u64,
    /// Time on the worker's clock at which renewed leases expire; `None` only requests a report.
    pub lease_until_worker_ms: Option<MonoMs>,
    /// Tasks whose leases are renewed; the leases of other tasks stay as they are.
    pub tasks: Vec<(TaskId, Attempt)>,
    /// Ended tasks whose result is durable; the worker may drop them.
    pub acknowledged: Vec<(TaskId, Attempt)>,
}

/// Task running on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Service of the task.
    pub service: ServiceName,
    /// Resources reserved for the task.
    pub demand: Resources,
    /// Last measured resource usage; lags behind the actual usage.
    pub usage: Resources,
    /// Run time so far in milliseconds, including the progress that earlier attempts checkpointed.
    pub progress_ms: u64,
    /// Run time that the last checkpoint preserves, in milliseconds.
    pub checkpoint_ms: u64,
    /// Measured slowdown factor in thousandths, 1000 without contention; lags behind the actual value.
    pub slowdown_milli: u64,
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Whether the task can be checkpointed.
    pub resumable: bool,
    /// Whether the worker throttles the task.
    pub throttled: bool,
}

/// Task that ended on a worker and is not yet acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// How the attempt ended.
    pub end: TaskEnd,
}

/// Full report of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Time on the worker's monotonic clock at which it made the report.
    pub worker_ms: MonoMs,
    /// Incarnation of the worker's process; a new value means that it restarted and that its earlier
    /// tasks no longer run.
    pub incarnation: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Ended tasks that are not yet acknowledged.
    pub ended: Vec<EndedTask>,
}
