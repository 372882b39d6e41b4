//! Messages between a rack's owner and its workers.
//!
//! Times named `worker_ms` are in the worker's own monotonic clock. The owner
//! works them out from the last stamp it received plus the time since, which is
//! never later than the worker's true time, so a deadline given this way is
//! never too late.
//!
//! A worker that restarts has another clock, so an order names the process that
//! its times are meant for, and no other process follows it.

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
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Service, which is the class for interference.
    pub service: ServiceName,
    /// Resources to commit.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub expected_run_ms: u64,
    /// Urgency.
    pub urgency: Urgency,
    /// Whether the task can be checkpointed.
    pub resumable: bool,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Worker's process whose clock the times are in; another process answers `TooLate`.
    pub incarnation: u64,
    /// Worker's time after which the order is refused.
    pub start_by_worker_ms: MonoMs,
    /// Worker's time at which the lease lapses.
    pub lease_until_worker_ms: MonoMs,
}

/// Answer to an order to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReply {
    /// Task runs.
    Started,
    /// Same task and attempt already runs or ended here.
    AlreadyKnown,
    /// Order arrived after its `start_by`, or was for an earlier process of the worker.
    TooLate,
    /// Worker does not take it, with the reason.
    Refused(Arc<str>),
}

/// Renewal of a worker's leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Worker's process whose clock the lease is in; another process renews nothing.
    pub incarnation: u64,
    /// Worker's time at which renewed leases lapse; `None` only asks for a report.
    pub lease_until_worker_ms: Option<MonoMs>,
    /// Tasks to renew; others keep their lease.
    pub tasks: Vec<(TaskId, Attempt)>,
    /// Ended tasks whose report is durable and may be forgotten.
    pub acknowledged: Vec<(TaskId, Attempt)>,
}

/// Task that runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Service of the task.
    pub service: ServiceName,
    /// Resources that are committed for it.
    pub demand: Resources,
    /// Resources that it was last seen to use; lags.
    pub usage: Resources,
    /// Run time so far in milliseconds, earlier attempts' checkpoints included.
    pub progress_ms: u64,
    /// Run time that the last checkpoint preserves, in milliseconds.
    pub checkpoint_ms: u64,
    /// Measured slowdown in thousandths of the uncontended speed; lags.
    pub slowdown_milli: u64,
    /// Urgency.
    pub urgency: Urgency,
    /// Whether the task can be checkpointed.
    pub resumable: bool,
    /// Whether it is throttled.
    pub throttled: bool,
}

/// Task that ended on a worker and was not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub end: TaskEnd,
}

/// Full report of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Worker's monotonic time when it made the report.
    pub worker_ms: MonoMs,
    /// Start of the worker's process; another value means that it restarted and runs nothing from before.
    pub incarnation: u64,
    /// What the worker has in all.
    pub capacity: Resources,
    /// Tasks that run.
    pub running: Vec<RunningTask>,
    /// Tasks that ended.
    pub ended: Vec<EndedTask>,
}
