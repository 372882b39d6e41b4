//! Messages between nodes.
//!
//! One WebSocket connection joins two nodes; both send calls over it. The hello
//! carries the version. A node sends only what the lower of both versions knows
//! and ignores unknown fields, so that nodes of neighbouring versions work
//! together while they are replaced one by one. A message that cannot be decoded
//! is counted and dropped; a call that was in it times out at the sender.

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

/// Version of the messages; raised when a change is not just an added field.
pub const VERSION: u16 = 1;

/// Message on a peer connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message in each direction.
    Hello(Hello),
    /// Periodic state of the sender.
    Heartbeat(Heartbeat),
    /// Call that expects a reply with the same number.
    Call(u64, Request),
    /// Reply to a call.
    Reply(u64, Response),
}

/// Introduction of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the sender's messages.
    pub version: u16,
    /// Sender.
    pub node: NodeName,
    /// Sender's data centre.
    pub data_centre: DataCentre,
    /// Wall-clock start of the sender in milliseconds.
    pub started_ms: u64,
}

/// Periodic state of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// First offset of the documents stream that the sender has not applied.
    pub documents_next: Offset,
    /// Whether the sender serves.
    pub ready: bool,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether the sender's last attempt to reach the log failed, and how long ago that attempt was sent.
    pub log_failed_ago_ms: Option<Millis>,
    /// Whether a publication of the sender has an unknown outcome.
    pub publish_unsettled: bool,
    /// Free slots and waiting requests per service.
    pub slots: Vec<SlotSummary>,
    /// Free resources per rack that the sender may act on.
    pub racks: Vec<RackSummary>,
}

/// Free slots of one node for one service, without those of slow executors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotSummary {
    /// Service.
    pub service: ServiceName,
    /// Slots without a request.
    pub free: u32,
    /// Slots in all.
    pub total: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Mean service time in microseconds; 0 if it is not known.
    #[serde(default)]
    pub mean_us: u32,
}

/// Free resources of a rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackSummary {
    /// Rack.
    pub rack: RackName,
    /// Data centre of the rack.
    pub data_centre: DataCentre,
    /// Whether tasks may start there now.
    pub open: bool,
    /// Sum of what is free.
    pub free: Resources,
    /// Most that a single worker has free.
    pub largest_free: Resources,
    /// What batch tasks hold and urgent work could take.
    pub evictable: Resources,
    /// What the rack has in all.
    pub capacity: Resources,
}

/// Order of a queue owner to place one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Rack that shall run it.
    pub rack: RackName,
    /// Queue owner's term, to refuse orders of an earlier owner.
    pub queue_term: Term,
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Service.
    pub service: ServiceName,
    /// Demand.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub expected_run_ms: u64,
    /// Urgency.
    pub urgency: Urgency,
    /// Whether the task can be checkpointed.
    pub resumable: bool,
    /// Whether a lost attempt may be run again.
    pub idempotent: bool,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Workers to avoid, because earlier attempts failed there.
    pub avoid: Vec<WorkerName>,
    /// Time within which the order must be carried out, counted by the receiver from receipt.
    pub within_ms: Millis,
}

/// Answer of a rack owner to a placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placed {
    /// Attempt runs, or may run, on the worker.
    Accepted(WorkerName),
    /// Certain not to run there.
    Refused(PlaceRefusal),
}

/// Why a rack does not take an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PlaceRefusal {
    /// Receiver does not own the rack, or does not know whether it still does.
    NotOwner,
    /// Data centre is out or its state is not known freshly enough.
    DataCentreClosed,
    /// No worker has room now.
    NoRoom,
    /// No worker of the rack could ever hold it.
    NeverFits,
    /// Workers refused or did not answer.
    WorkersFailing,
    /// Order came from an earlier owner of the queue.
    StaleTerm,
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEvent {
    /// Worker reports it as running.
    Running(WorkerName),
    /// Worker reports its end.
    Ended(WorkerName, TaskEnd),
    /// Worker was not heard of past the lease, or restarted.
    Lost(WorkerName),
    /// Order did not reach a worker; certain not to have run.
    NotStarted,
}

/// Attempt that a rack knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Latest event.
    pub event: TaskEvent,
}

/// Document in force, as relayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedDocument {
    /// Service.
    pub service: ServiceName,
    /// Revision.
    pub revision: Revision,
    /// Offset of the publication that brought the revision.
    pub offset: Offset,
    /// Text.
    pub text: Arc<str>,
}

/// Call to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a promise not to claim these units, owned at these terms.
    Promise(Vec<(Unit, Term)>),
    /// Asks for documents whose offset is at or above this.
    Documents(Offset),
    /// Asks the owner of a target to run a request.
    Forward(QuickRequest),
    /// Asks for waiting requests of a service.
    Pull(ServiceName, u32),
    /// Asks the owner of the key's queue to run a non-idempotent request behind its intent.
    Guarded(QuickRequest),
    /// Asks a queue owner to accept a job.
    Submit(QueueIndex, JobSpec),
    /// Asks for a job's status, waiting up to the span for its end.
    JobStatus(JobId, Millis),
    /// Cancels a job.
    Cancel(JobId),
    /// Asks why a job is where it is.
    Explain(JobId),
    /// Asks a rack owner to place an attempt.
    Place(Place),
    /// Tells a queue owner what happened to an attempt.
    TaskEvent(AttemptStatus),
    /// Asks a node for the attempts of a queue that its racks know.
    TasksOf(QueueIndex),
    /// Asks a rack owner to stop an attempt, with a checkpoint if the flag is set.
    StopTask(RackName, TaskId, Attempt, bool),
    /// Asks the owner of a shard about workflows.
    Workflow(workflow::ShardRequest),
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Units for which the promise is given.
    Promised(Vec<(Unit, Term)>),
    /// Documents, and the first offset of the stream that they do not cover.
    Documents(Vec<RelayedDocument>, Offset),
    /// Answer to a quick request.
    Quick(QuickResponse),
    /// Answer to a forwarded request, with the slots of the node that ran it.
    Ran(QuickResponse, SlotSummary),
    /// Requests handed over.
    Pulled(Vec<QuickRequest>),
    /// Job is accepted, newly or before.
    Submitted(JobId),
    /// Status of a job.
    JobStatus(JobStatus),
    /// Explanation of a job, one line per decision, oldest first.
    Explained(Vec<Explanation>),
    /// Answer to a placement.
    Placed(Placed),
    /// Attempts of a queue: per rack the known ones, and whether the rack's state is settled.
    Tasks(Vec<(RackName, bool, Vec<AttemptStatus>)>),
    /// Done.
    Ok,
    /// Refused, with code and a text for people.
    Refused(ResultCode, Arc<str>),
    /// Answer about workflows.
    Workflow(workflow::ShardResponse),
    /// Receiver is not the owner of what the call needs.
    NotOwner,
    /// Receiver does not know the call.
    Unsupported,
}

/// Decision that a node took, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Wall-clock time of the decision.
    pub at_ms: WallMs,
    /// Node that decided.
    pub node: NodeName,
    /// What was decided, on what evidence, and what else was considered.
    pub text: Arc<str>,
}
