//! What the node's modules offer each other.
//!
//! Queues, racks and request routing see ownership, configuration, peers and the
//! log only through the traits here. Each of them answers from memory, so that a
//! right or a proof can be checked directly before a send.

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

/// Right to act on a unit, until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLease {
    /// Term of the claim.
    pub term: Term,
    /// Monotonic time at which the right ends unless it is renewed.
    pub until_ms: MonoMs,
}

/// Ownership of units.
pub trait Ownership {
    /// Right to act on the unit now; `None` if this node must not act.
    fn lease(&self, unit: &Unit) -> Option<OwnershipLease>;
    /// Node that owns the unit according to the log, this node included.
    fn owner(&self, unit: &Unit) -> Option<NodeName>;
    /// Units that this node owns and whose hand-over wait is over, with their terms.
    ///
    /// The right may still be absent for a while; it is checked before each act.
    fn owned(&self) -> Vec<(Unit, Term)>;
    /// Whether the previous owner released the unit, so that nothing of it is left to wait for.
    fn was_released(&self, unit: &Unit) -> bool;
}

/// Documents and host list in force.
pub trait Configuration {
    /// Document of a service.
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>>;
    /// All documents with their revisions.
    fn documents(&self) -> Vec<(Rc<Document>, Revision)>;
    /// Latest host list.
    fn hosts(&self) -> Rc<HostList>;
    /// Whether a start in the data centre is allowed now: it is not out, and that is known freshly enough.
    fn may_start_in(&self, data_centre: &DataCentre) -> bool;
    /// Whether documents or host list show the data centre as out.
    fn is_out(&self, data_centre: &DataCentre) -> bool;
    /// Publishes a document and waits for the verdict on it.
    fn publish(
        &self,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PortFuture<'_, PublishResult>;
}

/// Verdict on a publication: new revision, or code and text.
pub type PublishResult =
    std::result::Result<Revision, (hemlocksaddle_types::outcome::ResultCode, Arc<str>)>;

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Certain not to have reached the peer.
    NotSent,
    /// Sent, but no reply came.
    NoReply,
}

/// State of a peer as its last heartbeat gave it.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Peer.
    pub node: NodeName,
    /// Data centre of the peer.
    pub data_centre: DataCentre,
    /// Monotonic time at which the last heartbeat arrived; `None` if there was none.
    pub last_heartbeat_ms: Option<MonoMs>,
    /// Last heartbeat.
    pub heartbeat: Option<Rc<Heartbeat>>,
}

/// Calls to peers.
pub trait Calls {
    /// Calls a peer. A call to this node itself is handled without a connection.
    fn call(
        &self,
        node: &NodeName,
        request: Request,
        timeout: Millis,
    ) -> PortFuture<'_, std::result::Result<Response, CallError>>;
    /// Peers of the settings, this node excluded.
    fn peers(&self) -> Vec<PeerState>;
    /// Sends a heartbeat to all peers now, for example after slots became free.
    fn send_heartbeats(&self);
}

/// Why an append failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// Certain not to be in the log, now or later.
    NotAppended,
    /// May be in the log or appear later; the writer goes on settling it.
    OutcomeUnknown,
}

/// Stream has a batch of a higher term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// Result of an append.
pub type AppendResult = std::result::Result<Offset, AppendError>;

/// Writer of records with group commit.
pub trait Journal {
    /// Fences a stream with a term and returns all valid records before the fence.
    ///
    /// From then on only batches of this term are valid. Fails only if a higher
    /// term is in the stream already; waits while the log is down.
    fn open(
        &self,
        stream: Stream,
        term: Term,
    ) -> PortFuture<'_, std::result::Result<Vec<Record>, Fenced>>;
    /// Appends records as one unit and waits until they were read back as valid.
    ///
    /// `term` is the one given to [`Journal::open`], or 0 for streams without a
    /// fence. `NotAppended` is also the result once a higher term is in the stream.
    ///
    /// With a limit, the call gives up after it: `NotAppended` if the records
    /// had not been sent and were withdrawn, else `OutcomeUnknown`. Without a limit
    /// it waits until the log takes the records, however long that is.
    fn append(
        &self,
        stream: Stream,
        term: Term,
        records: Vec<Record>,
        timeout: Option<Millis>,
    ) -> PortFuture<'_, AppendResult>;
    /// Whether the log took or served something sent within the last two seconds.
    fn log_is_up(&self) -> bool;
}

/// Part of the node that answers calls of peers.
pub trait Handler {
    /// Handles a call; `None` if the call is not for this part.
    fn handle(&self, from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>>;
    /// Adds this part's state to the heartbeat.
    fn fill_heartbeat(&self, heartbeat: &mut Heartbeat);
}

/// Part of the node that the assembly in `node` starts and stops.
pub trait Part: Handler {
    /// Starts the part's background tasks.
    fn start(self: Rc<Self>);
    /// Finishes what the part has accepted; completes when nothing of it is in progress.
    fn stop(self: Rc<Self>) -> PortFuture<'static, ()>;
}

/// What every part of the node has at hand.
pub struct Core {
    /// Ports.
    pub ports: Ports,
    /// Settings.
    pub settings: Settings,
    /// Wall-clock start of this node in milliseconds.
    pub started_ms: u64,
    /// Ownership.
    pub ownership: Rc<dyn Ownership>,
    /// Configuration.
    pub configuration: Rc<dyn Configuration>,
    /// Peers.
    pub calls: Rc<dyn Calls>,
    /// Log writer.
    pub journal: Rc<dyn Journal>,
    /// Assertions.
    pub invariants: Rc<Invariants>,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Decisions kept for explanation.
    pub explanations: Rc<Explanations>,
    /// Whether the node has begun a planned stop.
    pub stopping: Rc<std::cell::Cell<bool>>,
}
