//! Jobs, tasks and attempts.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::WallMs,
    name::{IdempotencyKey, ServiceName, TeamName},
    outcome::ResultCode,
    resources::Resources,
    unit::QueueIndex,
};

/// Job identifier: the queue that holds it, and a number unique in that queue.
///
/// The number is the term of the accepting owner in the upper and a counter in
/// the lower 32 bits, so that two owners of one queue never give out the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Queue that holds the job.
    pub queue: QueueIndex,
    /// Number within the queue.
    pub number: u64,
}

/// Task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Number of the task in its job, from 0.
    pub index: u32,
}

/// Number of an attempt to run a task, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt(pub u32);

/// How soon work is needed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Runs when there is room; first to be evicted.
    Batch,
    /// Ordinary.
    #[default]
    Normal,
    /// Starts within 2.8 s; may evict batch tasks.
    Urgent,
}

/// Checkpoint from which a task resumes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Platform's name of the checkpoint.
    pub name: Arc<str>,
    /// Run time that the checkpoint preserves, in milliseconds.
    pub progress_ms: u64,
}

/// What a caller asks to be run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Service whose document governs the job.
    pub service: ServiceName,
    /// Team that is charged.
    pub team: TeamName,
    /// Key under which a repeated submission finds the same job.
    pub key: Option<IdempotencyKey>,
    /// Hash of the submitted body, to tell a repeat from a reused key.
    pub body_hash: u64,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Demand of each task.
    pub demand: Resources,
    /// Declared run time of each task in milliseconds; often far off.
    pub expected_run_ms: u64,
    /// Urgency.
    pub urgency: Urgency,
    /// Whether a lost task may be run again from the start.
    pub idempotent: bool,
    /// Whether tasks can be checkpointed.
    pub resumable: bool,
    /// Time after which the job is no longer wanted.
    pub deadline_ms: Option<WallMs>,
}

/// How an attempt ended on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// Ran to its end.
    Completed,
    /// Ended with an error of its own.
    Failed(Arc<str>),
    /// Stopped on request, with a checkpoint if there is one.
    Stopped(Option<Checkpoint>),
    /// Stopped by the worker because its lease lapsed.
    LeaseLapsed(Option<Checkpoint>),
}

/// State of a job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Job.
    pub job: JobId,
    /// Tasks waiting.
    pub queued: u32,
    /// Tasks running or perhaps running.
    pub running: u32,
    /// Tasks that completed.
    pub completed: u32,
    /// Final result, once there is one.
    pub result: Option<ResultCode>,
    /// Why tasks wait or failed, for people.
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
