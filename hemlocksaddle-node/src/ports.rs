//! Ports: the traits through which the node accesses its environment.
//!
//! The node itself uses no socket, clock or async runtime. The programs implement
//! these traits on compio; tests implement them on a simulated network with a
//! virtual clock and a seeded random generator. They are trait objects rather than
//! type parameters because a call costs a network round trip anyway and the
//! node's types stay simple.

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
    /// The call had no effect: it was refused, or no connection was made.
    NotSent,
    /// The outcome is unknown: the call was sent, but not answered.
    Unknown,
}

/// Clock, task spawning and random numbers.
pub trait Runtime {
    /// Monotonic time.
    fn now(&self) -> MonoMs;
    /// Wall-clock time.
    fn wall_now(&self) -> WallMs;
    /// Waits for the duration.
    fn sleep(&self, duration: Millis) -> PortFuture<'static, ()>;
    /// Spawns a background task.
    fn spawn(&self, future: PortFuture<'static, ()>);
    /// Uniformly distributed random number.
    fn random(&self) -> u64;
}

/// Records returned by a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records with their offsets, in ascending order.
    pub records: Vec<(Offset, Bytes)>,
    /// First offset that the log still retains.
    pub first: Offset,
    /// Offset after the last record of the stream at the time of the read.
    pub next: Offset,
}

/// Platform's log.
pub trait Log {
    /// Appends one record and returns its offset.
    fn append(&self, stream: Stream, record: Bytes) -> PortFuture<'_, Result<Offset>>;
    /// Reads records from an offset; waits up to `wait` if there are none yet (long poll).
    fn read(&self, stream: Stream, from: Offset, wait: Millis)
    -> PortFuture<'_, Result<ReadBatch>>;
}

/// Platform's list of hosts.
pub trait Hosts {
    /// Fetches the current list.
    fn fetch(&self) -> PortFuture<'_, Result<HostList>>;
}

/// Platform's workers.
pub trait Workers {
    /// Starts an attempt of a task.
    fn start(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        order: StartTask,
    ) -> PortFuture<'_, Result<StartReply>>;
    /// Renews the leases of tasks and returns a full report of the worker.
    fn renew(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        renew: Renew,
    ) -> PortFuture<'_, Result<WorkerReport>>;
    /// Stops an attempt, after a checkpoint if `checkpoint` is set; its end appears in later reports.
    fn stop(
        &self,
        address: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        checkpoint: bool,
    ) -> PortFuture<'_, Result<()>>;
    /// Throttles an attempt, or lifts its throttle if `on` is `false`.
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
/// Implementations keep at most `connections` open to an address, send one
/// request at a time on a connection, and close the connection if the returned
/// future is dropped before it completes.
pub trait Targets {
    /// Sends a request and waits for the complete answer, at most for the timeout.
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
    /// Receives the next message; an error means that the connection is closed.
    fn receive(&mut self) -> PortFuture<'_, Result<Message>>;
}

/// Authenticated connection to a peer, before the exchange of hellos.
pub struct PeerLink {
    /// Sending half.
    pub sender: Rc<dyn PeerSender>,
    /// Receiving half.
    pub receiver: Box<dyn PeerReceiver>,
}

/// Node in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the node.
    pub node: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// IP address and port of its listener for peers.
    pub address: SocketAddr,
}

/// Outgoing connections to peers; incoming ones are passed to `Node::accept_peer`.
pub trait Peers {
    /// Opens and authenticates a connection.
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>>;
}

/// All ports of a node.
#[derive(Clone)]
pub struct Ports {
    /// Clock, task spawning and random numbers.
    pub runtime: Rc<dyn Runtime>,
    /// Platform's log.
    pub log: Rc<dyn Log>,
    /// Platform's list of hosts.
    pub hosts: Rc<dyn Hosts>,
    /// Platform's workers.
    pub workers: Rc<dyn Workers>,
    /// Targets that serve requests.
    pub targets: Rc<dyn Targets>,
    /// Connections to peers.
    pub peers: Rc<dyn Peers>,
}
