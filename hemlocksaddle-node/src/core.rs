//! Interfaces between the node's modules.
//!
//! Queues, racks and request routing access ownership, configuration, peers and
//! the log only through these traits. Their state queries are answered from
//! memory, so that an ownership lease, or the permission to start in a data
//! centre, can be checked immediately before a send.

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    document::{Document, Revision},
    host::HostList,
    name::{DataCentre, NodeName, ServiceName},
    peer::{Heartbeat, Request, Response},
    record::{Offset, Record, Stream},
    unit::{Term, Unit},
};

use crate::{
    explain::Explanations,
    invariant::Invariants,
    metrics::Metrics,
    ports::{PortFuture, Ports},
    settings::Settings,
};

/// Time-limited permission of a unit's owner to act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLease {
    /// Term of the claim.
    pub term: Term,
    /// Monotonic time at which the lease expires unless it is renewed.
    pub until_ms: MonoMs,
}

/// Ownership of units.
pub trait Ownership {
    /// Returns the valid lease of this node on the unit; `None` if it must not act.
    fn lease(&self, unit: &Unit) -> Option<OwnershipLease>;
    /// Returns the owner of the unit according to the log, which may be this node.
    fn owner(&self, unit: &Unit) -> Option<NodeName>;
    /// Returns the units that this node owns and whose failover wait is over, with their terms.
    ///
    /// A lease on them may still be missing for a while, so callers check
    /// [`Ownership::lease`] before each action.
    fn owned(&self) -> Vec<(Unit, Term)>;
    /// Whether the previous owner released the unit, so none of its actions can still take effect.
    fn was_released(&self, unit: &Unit) -> bool;
}

/// Current documents and host list.
pub trait Configuration {
    /// Current document of a service.
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>>;
    /// Current documents of all services with their revisions.
    fn documents(&self) -> Vec<(Rc<Document>, Revision)>;
    /// Latest host list.
    fn hosts(&self) -> Rc<HostList>;
    /// Whether tasks may start in the data centre: it is not out, and the evidence for that is fresh.
    fn may_start_in(&self, data_centre: &DataCentre) -> bool;
    /// Whether a document or the host list takes the data centre out of service.
    fn is_out(&self, data_centre: &DataCentre) -> bool;
    /// Publishes a document and waits until it is accepted or rejected.
    fn publish(
        &self,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PortFuture<'_, PublishResult>;
}

/// Result of a publish: the new revision, or a result code with its explanation.
pub type PublishResult =
    std::result::Result<Revision, (hemlocksaddle_types::outcome::ResultCode, Arc<str>)>;

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request did not reach the peer.
    NotSent,
    /// The request was sent, but no reply arrived.
    NoReply,
}

/// State of a peer according to its last heartbeat.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Name of the peer.
    pub node: NodeName,
    /// Data centre of the peer.
    pub data_centre: DataCentre,
    /// Monotonic time at which the last heartbeat arrived; `None` before the first.
    pub last_heartbeat_ms: Option<MonoMs>,
    /// Contents of the last heartbeat.
    pub heartbeat: Option<Rc<Heartbeat>>,
}

/// Remote calls to peers.
pub trait Calls {
    /// Calls a node. A call to this node itself is handled without a connection.
    fn call(
        &self,
        node: &NodeName,
        request: Request,
        timeout: Millis,
    ) -> PortFuture<'_, std::result::Result<Response, CallError>>;
    /// State of all nodes in the settings except this one.
    fn peers(&self) -> Vec<PeerState>;
    /// Sends a heartbeat to all peers ahead of the interval, for example when slots become free.
    fn send_heartbeats(&self);
}

/// Why an append failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The records are not in the log and will not appear there later.
    NotAppended,
    /// The records may be in the log or appear later; the writer keeps reading back to find out.
    OutcomeUnknown,
}

/// The stream contains a batch of a higher term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// Offset of the appended batch, or why the append failed.
pub type AppendResult = std::result::Result<Offset, AppendError>;

/// Log writer with group commit.
pub trait Journal {
    /// Fences a stream with a term and returns all valid records before the fence.
    ///
    /// Afterwards batches of lower terms are void. Fails only if the stream
    /// already contains a higher term; waits while the log is down.
    fn open(
        &self,
        stream: Stream,
        term: Term,
    ) -> PortFuture<'_, std::result::Result<Vec<Record>, Fenced>>;
    /// Appends records atomically and waits until they have been read back as valid.
    ///
    /// `term` is the one given to [`Journal::open`], or 0 for streams without a
    /// fence. Once the stream contains a higher term, the result is `NotAppended`.
    ///
    /// After the timeout, the result is `NotAppended` if the records were still
    /// unsent, in which case they are withdrawn, and `OutcomeUnknown` otherwise.
    /// Without a timeout the call waits until the log accepts the records.
    fn append(
        &self,
        stream: Stream,
        term: Term,
        records: Vec<Record>,
        timeout: Option<Millis>,
    ) -> PortFuture<'_, AppendResult>;
    /// Whether a log request that was sent within the last two seconds succeeded.
    fn log_is_up(&self) -> bool;
}

/// Part of the node that handles calls from peers.
pub trait Handler {
    /// Handles a call; `None` if the call is not for this part.
    fn handle(&self, from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>>;
    /// Adds this part's state to the heartbeat.
    fn fill_heartbeat(&self, heartbeat: &mut Heartbeat);
}

/// Part of the node with a life cycle controlled by [`Node`](crate::node::Node).
pub trait Part: Handler {
    /// Starts the part's background tasks.
    fn start(self: Rc<Self>);
    /// Finishes accepted work; completes when none of it is in progress.
    fn stop(self: Rc<Self>) -> PortFuture<'static, ()>;
}

/// Services and state shared by all parts of the node.
pub struct Core {
    /// Ports to the outside.
    pub ports: Ports,
    /// Settings of the node.
    pub settings: Settings,
    /// Wall-clock time at which this node started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Ownership of units.
    pub ownership: Rc<dyn Ownership>,
    /// Documents and host list.
    pub configuration: Rc<dyn Configuration>,
    /// Calls to peers.
    pub calls: Rc<dyn Calls>,
    /// Writer of the log's streams.
    pub journal: Rc<dyn Journal>,
    /// Run-time checks of invariants.
    pub invariants: Rc<Invariants>,
    /// Metrics of the node.
    pub metrics: Rc<Metrics>,
    /// Recent decisions about jobs and requests.
    pub explanations: Rc<Explanations>,
    /// Whether the node has begun a planned stop.
    pub stopping: Rc<std::cell::Cell<bool>>,
}
