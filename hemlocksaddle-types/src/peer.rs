//! Messages between nodes.
//!
//! Two nodes share one WebSocket connection, on which either can send calls. The
//! hello message carries the protocol version. A node sends only what the lower of
//! the two versions supports and ignores unknown fields, so that adjacent versions
//! interoperate during a rolling upgrade. A message that cannot be decoded is
//! counted and dropped; if it was a call, the call times out at the sender.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{Millis, WallMs},
    document::Revision,
    job::{Attempt, Checkpoint, JobId, JobSpec, JobStatus, TaskEnd, TaskId, Urgency},
    name::{DataCentre, NodeName, RackName, ServiceName, WorkerName},
    outcome::ResultCode,
    record::Offset,
    request::{QuickRequest, QuickResponse},
    resources::Resources,
    unit::{QueueIndex, Term, Unit},
    workflow,
};

/// Protocol version; incremented by every change other than an added field.
pub const VERSION: u16 = 1;

/// Message on a connection between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message in each direction.
    Hello(Hello),
    /// Periodic state of the sender.
    Heartbeat(Heartbeat),
    /// Call; the reply carries the same number.
    Call(u64, Request),
    /// Reply to the call with this number.
    Reply(u64, Response),
}

/// Handshake of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Name of the sender.
    pub node: NodeName,
    /// Sender's data centre.
    pub data_centre: DataCentre,
    /// Wall-clock time at which the sender started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// Periodic state of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// First offset of the documents stream that the sender has not applied.
    pub documents_next: Offset,
    /// Whether the sender is ready to serve callers.
    pub ready: bool,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Time since the sender's last log request was sent, if that request failed.
    pub log_failed_ago_ms: Option<Millis>,
    /// Whether the outcome of a publication by the sender is unknown.
    pub publish_unsettled: bool,
    /// Free slots and waiting requests per service.
    pub slots: Vec<SlotSummary>,
    /// Free resources of each rack that the sender owns.
    pub racks: Vec<RackSummary>,
}

/// Slots of one node for one service; slow executors are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotSummary {
    /// Service that the slots belong to.
    pub service: ServiceName,
    /// Number of free slots.
    pub free: u32,
    /// Total number of slots.
    pub total: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Mean service time in microseconds; 0 if unknown.
    #[serde(default)]
    pub mean_us: u32,
}

/// Capacity and free resources of a rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackSummary {
    /// Name of the rack.
    pub rack: RackName,
    /// Data centre of the rack.
    pub data_centre: DataCentre,
    /// Whether tasks may start in the rack now.
    pub open: bool,
    /// Sum of the free resources of all workers that accept tasks.
    pub free: Resources,
    /// Maximum free resources on a single worker, in each dimension.
    pub largest_free: Resources,
    /// Maximum resources on a single worker, in each dimension, that evicting batch tasks would free.
    pub evictable: Resources,
    /// Total resources of the rack.
    pub capacity: Resources,
}

/// Order from a queue's owner to a rack's owner to place one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Rack to place the attempt in.
    pub rack: RackName,
    /// Term of the queue's owner; the rack's owner refuses orders with an older term.
    pub queue_term: Term,
    /// Task to run.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Service of the job.
    pub service: ServiceName,
    /// Resources that the task needs.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub expected_run_ms: u64,
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Whether the task can be checkpointed.
    pub resumable: bool,
    /// Whether a task whose attempt was lost may be run again.
    pub idempotent: bool,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Workers to exclude because earlier attempts failed there.
    pub avoid: Vec<WorkerName>,
    /// Time within which the order must be carried out, measured by the receiver from its arrival.
    pub within_ms: Millis,
}

/// Response of a rack's owner to a [`Place`] order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placed {
    /// Attempt runs or may run on this worker.
    Accepted(WorkerName),
    /// Attempt is certain not to run in the rack.
    Refused(PlaceRefusal),
}

/// Why an attempt is not placed in a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PlaceRefusal {
    /// Receiver does not hold the ownership lease of the rack, or is stopping.
    NotOwner,
    /// Data centre or host takes no new work, or the information about the data centre is stale.
    DataCentreClosed,
    /// No worker has enough free resources now, or the ramp after the data centre's return allows no
    /// further start yet.
    NoRoom,
    /// No worker of the rack could run the task even if it were idle.
    NeverFits,
    /// Workers with enough free resources refused the start order, did not respond, or are in backoff.
    WorkersFailing,
    /// Order carries the term of an earlier owner of the queue.
    StaleTerm,
}

/// Event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEvent {
    /// Worker reports the attempt as running.
    Running(WorkerName),
    /// Worker reports the end of the attempt.
    Ended(WorkerName, TaskEnd),
    /// Worker did not report until after the lease expired, or restarted.
    Lost(WorkerName),
    /// Start order did not reach a worker; the attempt is certain not to have run.
    NotStarted,
}

/// Attempt with its latest event, as known to the rack's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Latest event.
    pub event: TaskEvent,
}

/// Current document of a service, relayed between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedDocument {
    /// Service that the document configures.
    pub service: ServiceName,
    /// Current revision.
    pub revision: Revision,
    /// Offset in the documents stream at which the revision was published.
    pub offset: Offset,
    /// INI text.
    pub text: Arc<str>,
}

/// Call to another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a promise not to claim these units, which the sender owns at these terms.
    Promise(Vec<(Unit, Term)>),
    /// Asks for the documents published at or after this offset.
    Documents(Offset),
    /// Asks the owner of a target to execute a request.
    Forward(QuickRequest),
    /// Asks for at most this number of a service's waiting requests.
    Pull(ServiceName, u32),
    /// Asks the owner of the key's queue to record the intent of a non-idempotent request and execute it.
    Guarded(QuickRequest),
    /// Asks a queue's owner to accept a job.
    Submit(QueueIndex, JobSpec),
    /// Asks for a job's status; waits for the job's end up to this duration.
    JobStatus(JobId, Millis),
    /// Cancels a job.
    Cancel(JobId),
    /// Asks for the decisions that led to a job's current state.
    Explain(JobId),
    /// Asks a rack's owner to place an attempt.
    Place(Place),
    /// Reports the latest event of an attempt to the queue's owner.
    TaskEvent(AttemptStatus),
    /// Asks a node for a queue's attempts in the racks that it owns.
    TasksOf(QueueIndex),
    /// Asks a rack's owner to stop an attempt, after a checkpoint if the flag is set.
    StopTask(RackName, TaskId, Attempt, bool),
    /// Call to the owner of a workflow shard.
    Workflow(workflow::ShardRequest),
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Units for which the promise is given, with their terms.
    Promised(Vec<(Unit, Term)>),
    /// Documents, and the offset after the last one that they cover.
    Documents(Vec<RelayedDocument>, Offset),
    /// Response to a synchronous request.
    Quick(QuickResponse),
    /// Response to a forwarded request, with the slots of the node that executed it.
    Ran(QuickResponse, SlotSummary),
    /// Waiting requests handed over to the node that asked for them.
    Pulled(Vec<QuickRequest>),
    /// Job is accepted, by this call or by an earlier one with the same key.
    Submitted(JobId),
    /// Status of a job.
    JobStatus(JobStatus),
    /// Decisions about a job, oldest first.
    Explained(Vec<Explanation>),
    /// Result of a placement order.
    Placed(Placed),
    /// Known attempts of a queue per rack; the flag tells whether the rack's list is complete.
    Tasks(Vec<(RackName, bool, Vec<AttemptStatus>)>),
    /// Call succeeded.
    Ok,
    /// Call is refused, with a result code and a human-readable reason.
    Refused(ResultCode, Arc<str>),
    /// Response of the owner of a workflow shard.
    Workflow(workflow::ShardResponse),
    /// Receiver does not own the unit that the call refers to.
    NotOwner,
    /// Receiver does not support the call.
    Unsupported,
}

/// Decision of a node about a job, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Wall-clock time of the decision.
    pub at_ms: WallMs,
    /// Node that made the decision.
    pub node: NodeName,
    /// Decision, its evidence and the alternatives considered.
    pub text: Arc<str>,
}
