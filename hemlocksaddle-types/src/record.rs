//! Records in the streams of the platform's log.
//!
//! Records are CBOR. A batch is one append. A batch is void if its number is not
//! above the highest seen from the same writer, or if its term is below the
//! highest seen in the stream. Every reader applies the same two rules, so an
//! append that takes effect late, after its writer gave it up or lost the queue,
//! changes nothing anywhere.

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
    /// Claims on units.
    Claims,
    /// State of one queue.
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

/// Position in a stream, from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

/// Identifier of a batch: writer, its start and a counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// Node that wrote the batch.
    pub node: NodeName,
    /// Wall-clock start of that node in milliseconds.
    pub started_ms: u64,
    /// Counter of that node in the stream, from 1.
    pub number: u64,
}

/// One append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifier.
    pub id: BatchId,
    /// Writer's term of the queue; 0 in the other streams.
    pub term: Term,
    /// Records in order.
    pub records: Vec<Record>,
}

/// One fact in a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Operator publishes a document.
    Publish(Publish),
    /// Document in force, written again before it expires.
    RestateDocument {
        /// Service.
        service: ServiceName,
        /// Revision in force.
        revision: Revision,
        /// Text of that revision.
        text: Arc<str>,
    },
    /// Node claims a unit.
    Claim(Claim),
    /// Owner gives a unit up.
    Release {
        /// Unit.
        unit: Unit,
        /// Term that ends.
        term: Term,
    },
    /// Claim in force, written again before it expires.
    RestateClaim(Claim),
    /// Job is accepted.
    JobAccepted {
        /// Job.
        job: JobId,
        /// Content.
        spec: JobSpec,
        /// Wall-clock time of acceptance.
        accepted_ms: WallMs,
    },
    /// Attempt is about to start.
    TaskStarted {
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: Attempt,
        /// Rack that is asked to run it; the rack's owner chooses the worker.
        rack: RackName,
    },
    /// Attempt ended with a checkpoint, or was lost; the task is queued again.
    TaskRequeued {
        /// Task.
        task: TaskId,
        /// Attempt that ended.
        attempt: Attempt,
        /// Checkpoint from which the next attempt resumes.
        checkpoint: Option<Checkpoint>,
    },
    /// Task ended for good.
    TaskEnded {
        /// Task.
        task: TaskId,
        /// Last attempt.
        attempt: Attempt,
        /// How it ended.
        end: TaskEnd,
    },
    /// Job has its final result.
    JobEnded {
        /// Job.
        job: JobId,
        /// Result.
        result: ResultCode,
        /// Text for people.
        detail: Arc<str>,
    },
    /// Caller cancelled a job.
    JobCancelled {
        /// Job.
        job: JobId,
    },
    /// Live job, written again before it expires.
    RestateJob(Bytes),
    /// Non-idempotent request is about to be sent.
    RequestIntent {
        /// Service.
        service: ServiceName,
        /// Key.
        key: IdempotencyKey,
        /// Hash of the body, to tell a repeat from a reused key.
        body_hash: u64,
        /// Wall-clock time of the intent.
        at_ms: WallMs,
    },
    /// Non-idempotent request has an outcome.
    RequestOutcome {
        /// Service.
        service: ServiceName,
        /// Key.
        key: IdempotencyKey,
        /// Response that a repeat receives.
        response: QuickResponse,
    },
}

/// Publication of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Service.
    pub service: ServiceName,
    /// Revision that the operator edited; 0 for a new service.
    pub expected: Revision,
    /// INI text.
    pub text: Arc<str>,
    /// Unique identifier, to find the verdict on this publication.
    pub publish_id: u64,
}

/// Claim on a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Unit.
    pub unit: Unit,
    /// Claimant.
    pub node: NodeName,
    /// Wall-clock start of the claimant in milliseconds; a restarted node does not own what its predecessor claimed.
    pub started_ms: u64,
    /// Term in force before; the claim is void if it is another.
    pub previous: Term,
    /// Term of this claim.
    pub term: Term,
    /// Nodes that may claim the unit from this owner.
    pub successors: Vec<NodeName>,
}
