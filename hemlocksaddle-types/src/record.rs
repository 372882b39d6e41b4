//! Records in the streams of the platform's log.
//!
//! Records are encoded as CBOR, and each append writes one batch. A batch is void
//! if its number is not above the highest seen from the same writer
//! (deduplication), or if its term is below the highest seen in the stream
//! (fencing). Every reader applies both rules, so an append that takes effect
//! late, after its writer gave up on it or lost the queue, has no effect on any
//! node.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    clock::WallMs,
    document::Revision,
    job::{Attempt, Checkpoint, JobId, JobSpec, TaskEnd, TaskId},
    name::{IdempotencyKey, NodeName, RackName, ServiceName},
    outcome::ResultCode,
    request::QuickResponse,
    unit::{QueueIndex, Term, Unit},
};

/// Stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stream {
    /// Published documents.
    Documents,
    /// Claims on units and their releases.
    Claims,
    /// State changes of one queue.
    Queue(QueueIndex),
}

impl Stream {
    /// Name of the stream in the platform's log.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Stream::Documents => String::from("documents"),
            Stream::Claims => String::from("claims"),
            Stream::Queue(index) => format!("queue-{}", index.0),
        }
    }
}

/// Position of a record in a stream, counted from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

/// Identifier of a batch: the writing node, its start time and a counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// Node that wrote the batch.
    pub node: NodeName,
    /// Wall-clock time at which that node started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of that node in the stream, from 1.
    pub number: u64,
}

/// Records of one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifier of the batch.
    pub id: BatchId,
    /// Writer's term of the queue; 0 in the other streams.
    pub term: Term,
    /// Records in the order in which they apply.
    pub records: Vec<Record>,
}

/// State change in a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Document published by an operator.
    Publish(Publish),
    /// Current document, rewritten before the log's retention removes it.
    RestateDocument {
        /// Service that the document configures.
        service: ServiceName,
        /// Current revision.
        revision: Revision,
        /// INI text of this revision.
        text: Arc<str>,
    },
    /// Node claims a unit.
    Claim(Claim),
    /// Owner releases a unit.
    Release {
        /// Unit that is released.
        unit: Unit,
        /// Term of the owner, which ends.
        term: Term,
    },
    /// Current claim, rewritten before the log's retention removes it.
    RestateClaim(Claim),
    /// Job is accepted.
    JobAccepted {
        /// Identifier of the job.
        job: JobId,
        /// Specification of the job.
        spec: JobSpec,
        /// Wall-clock time of acceptance.
        accepted_ms: WallMs,
    },
    /// Attempt is about to start.
    TaskStarted {
        /// Task to start.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Rack in which the attempt is placed; the rack's owner chooses the worker.
        rack: RackName,
    },
    /// Attempt ended with a checkpoint, or was lost; the task is queued again.
    TaskRequeued {
        /// Task that is queued again.
        task: TaskId,
        /// Attempt that ended.
        attempt: Attempt,
        /// Checkpoint from which the next attempt resumes.
        checkpoint: Option<Checkpoint>,
    },
    /// Task ended and is not run again.
    TaskEnded {
        /// Task that ended.
        task: TaskId,
        /// Last attempt.
        attempt: Attempt,
        /// How it ended.
        end: TaskEnd,
    },
    /// Job has its final result.
    JobEnded {
        /// Job that ended.
        job: JobId,
        /// Final result.
        result: ResultCode,
        /// Human-readable explanation of the result.
        detail: Arc<str>,
    },
    /// Caller cancelled a job.
    JobCancelled {
        /// Job that is cancelled.
        job: JobId,
    },
    /// Encoded state of an unfinished job, rewritten before the log's retention removes it.
    RestateJob(Bytes),
    /// Non-idempotent request is about to be sent.
    RequestIntent {
        /// Service of the request.
        service: ServiceName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Hash of the body, which distinguishes a repeat from a reused key.
        body_hash: u64,
        /// Wall-clock time of the intent.
        at_ms: WallMs,
    },
    /// Non-idempotent request has an outcome.
    RequestOutcome {
        /// Service of the request.
        service: ServiceName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Response that is returned to a repeat.
        response: QuickResponse,
    },
}

/// Publication of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Service that the document configures.
    pub service: ServiceName,
    /// Revision that the new one replaces; 0 for a new service.
    pub expected: Revision,
    /// INI text of the new revision.
    pub text: Arc<str>,
    /// Unique identifier by which the publisher finds the outcome of this publication.
    pub publish_id: u64,
}

/// Claim on a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Unit that is claimed.
    pub unit: Unit,
    /// Node that claims the unit.
    pub node: NodeName,
    /// Wall-clock time at which that node started, in milliseconds since the Unix epoch; a restarted
    /// node does not own what it claimed before the restart.
    pub started_ms: u64,
    /// Term that the claim replaces; the claim is void if another term is current (compare-and-swap).
    pub previous: Term,
    /// Term of this claim.
    pub term: Term,
    /// Nodes that may take the unit over from this owner.
    pub successors: Vec<NodeName>,
}
