//! Jobs, tasks and attempts.
//!
//! A job consists of equal tasks; each attempt runs one task on one worker.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::WallMs,
    name::{IdempotencyKey, ServiceName, TeamName},
    outcome::ResultCode,
    resources::Resources,
    unit::QueueIndex,
};

/// Job identifier: the queue that holds the job, and a number unique in that queue.
///
/// The upper 32 bits of the number are the term of the queue's owner that
/// accepted the job, the lower 32 bits are a counter, so that different owners
/// of a queue never assign the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Queue that holds the job.
    pub queue: QueueIndex,
    /// Number within the queue.
    pub number: u64,
}

/// Task identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

/// Number of an attempt to run a task, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt(pub u32);

/// Scheduling class of a job or request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Runs when resources are free; may be evicted by urgent tasks.
    Batch,
    /// Runs ahead of batch work; evicts no task.
    #[default]
    Normal,
    /// Starts within 2.8 s; may evict batch tasks.
    Urgent,
}

/// Checkpoint from which a task resumes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Name of the checkpoint on the platform.
    pub name: Arc<str>,
    /// Run time that the checkpoint preserves, in milliseconds.
    pub progress_ms: u64,
}

/// Specification of a job, as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Service whose document applies to the job.
    pub service: ServiceName,
    /// Team whose quota is charged.
    pub team: TeamName,
    /// Idempotency key, by which a repeated submission finds the same job.
    pub key: Option<IdempotencyKey>,
    /// Hash of the submitted body, which distinguishes a repeat from a reused key.
    pub body_hash: u64,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Declared run time of each task in milliseconds; often inaccurate.
    pub expected_run_ms: u64,
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Whether a lost task may be run again from the start.
    pub idempotent: bool,
    /// Whether tasks can be checkpointed.
    pub resumable: bool,
    /// Wall-clock time after which the caller no longer needs the job.
    pub deadline_ms: Option<WallMs>,
}

/// How an attempt ended on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// Ran to completion.
    Completed,
    /// Ended with an error of the task itself.
    Failed(Arc<str>),
    /// Stopped on request, with a checkpoint if there is one.
    Stopped(Option<Checkpoint>),
    /// Stopped by the worker because its lease expired, with a checkpoint if there is one.
    LeaseLapsed(Option<Checkpoint>),
}

/// State of a job as reported to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of waiting tasks.
    pub queued: u32,
    /// Number of tasks that run or may run.
    pub running: u32,
    /// Number of completed tasks.
    pub completed: u32,
    /// Final result, once the job has ended.
    pub result: Option<ResultCode>,
    /// Human-readable reason why tasks wait or failed.
    pub detail: Arc<str>,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.queue.0, self.number)
    }
}

impl std::str::FromStr for JobId {
    type Err = crate::error::Error;
    fn from_str(text: &str) -> crate::error::Result<JobId> {
        let parsed = text.split_once('-').and_then(|(queue, number)| {
            let queue = QueueIndex(queue.parse().ok()?);
            let number = u64::from_str_radix(number, 16).ok()?;
            Some(JobId { queue, number })
        });
        parsed.ok_or_else(|| {
            crate::error::Error::new(
                crate::error::ErrorKind::Name,
                format!("job {text:?} is not of the form QUEUE-HEXNUMBER"),
            )
        })
    }
}
