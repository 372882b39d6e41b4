//! Ports: everything that the node needs from outside.
//!
//! The node never touches a socket, a clock or a runtime. The programs bind
//! these traits to compio, tests bind them to a virtual clock with a seed. Trait
//! objects are used rather than type parameters: a call costs a network round
//! trip anyway, and the node's types stay readable.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    host::HostList,
    job::{Attempt, TaskId},
    name::{DataCentre, NodeName, ServiceName, WorkerName},
    peer::Message,
    record::{Offset, Stream},
    request::{QuickRequest, QuickResponse},
    worker::{Renew, StartReply, StartTask, WorkerReport},
};

/// Future that stays on the node's thread.
pub type PortFuture<'a, T> = LocalBoxFuture<'a, T>;

/// Result of a call to the platform, a target or a peer.
pub type Result<T> = std::result::Result<T, PortError>;

/// Why a call through a port failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PortError {
    /// Certain to have had no effect: refused, or no connection was made.
    NotSent,
    /// Outcome unknown: sent, but no answer.
    Unknown,
}

/// Clock, tasks and randomness.
pub trait Runtime {
    /// Monotonic time.
    fn now(&self) -> MonoMs;
    /// Wall-clock time.
    fn wall_now(&self) -> WallMs;
    /// Completes after the duration.
    fn sleep(&self, duration: Millis) -> PortFuture<'static, ()>;
    /// Runs a future in the background.
    fn spawn(&self, future: PortFuture<'static, ()>);
    /// Uniform random number.
    fn random(&self) -> u64;
}

/// Records that a read returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records with their offsets, ascending.
    pub records: Vec<(Offset, Bytes)>,
    /// First offset that is still kept.
    pub first: Offset,
    /// Offset after the last record of the stream at the time of the read.
    pub next: Offset,
}

/// Platform's log.
pub trait Log {
    /// Appends one record and returns its offset.
    fn append(&self, stream: Stream, record: Bytes) -> PortFuture<'_, Result<Offset>>;
    /// Reads records from an offset; waits up to the duration if there are none yet.
    fn read(&self, stream: Stream, from: Offset, wait: Millis)
    -> PortFuture<'_, Result<ReadBatch>>;
}

/// Platform's list of hosts.
pub trait Hosts {
    /// Fetches the list.
    fn fetch(&self) -> PortFuture<'_, Result<HostList>>;
}

/// Platform's workers.
pub trait Workers {
    /// Orders a task to start.
    fn start(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        order: StartTask,
    ) -> PortFuture<'_, Result<StartReply>>;
    /// Renews leases and returns a full report.
    fn renew(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        renew: Renew,
    ) -> PortFuture<'_, Result<WorkerReport>>;
    /// Stops an attempt, with a checkpoint first if asked; its end appears in the reports.
    fn stop(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        checkpoint: bool,
    ) -> PortFuture<'_, Result<()>>;
    /// Throttles an attempt or lifts the throttle.
    fn throttle(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        on: bool,
    ) -> PortFuture<'_, Result<()>>;
}

/// Targets that serve requests.
///
/// Implementations keep at most `connections` open to an address, never share a
/// connection between two requests at once, and close it when the returned
/// future is dropped before its end.
pub trait Targets {
    /// Sends a request and waits for the whole answer, at most for the duration.
    fn send(
        &self,
        address: SocketAddr,
        service: &ServiceName,
        connections: u32,
        request: QuickRequest,
        timeout: Millis,
    ) -> PortFuture<'_, Result<QuickResponse>>;
}

/// Sending half of a connection to a peer.
pub trait PeerSender {
    /// Queues a message; an error means that the connection is closed.
    fn send(&self, message: Message) -> Result<()>;
    /// Closes the connection.
    fn close(&self);
}

/// Receiving half of a connection to a peer.
pub trait PeerReceiver {
    /// Next message; an error means that the connection is closed.
    fn receive(&mut self) -> PortFuture<'_, Result<Message>>;
}

/// Connection to a peer, authenticated but before its hello.
pub struct PeerLink {
    /// Sending half.
    pub sender: Rc<dyn PeerSender>,
    /// Receiving half.
    pub receiver: Box<dyn PeerReceiver>,
}

/// Node as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name.
    pub node: NodeName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// IP number and port of its peer listener.
    pub address: SocketAddr,
}

/// Connections to peers. Incoming ones are handed to `Node::accept_peer`.
pub trait Peers {
    /// Opens a connection.
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>>;
}

/// All ports of a node.
#[derive(Clone)]
pub struct Ports {
    /// Clock, tasks and randomness.
    pub runtime: Rc<dyn Runtime>,
    /// Platform's log.
    pub log: Rc<dyn Log>,
    /// Platform's list of hosts.
    pub hosts: Rc<dyn Hosts>,
    /// Platform's workers.
    pub workers: Rc<dyn Workers>,
    /// Targets.
    pub targets: Rc<dyn Targets>,
    /// Connections to peers.
    pub peers: Rc<dyn Peers>,
}
