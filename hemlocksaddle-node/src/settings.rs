//! Validated settings of a node.
//!
//! `docs/design.md` explains the defaults of [`Timing`] and [`Limits`]. Longer
//! leases delay recovery after a worker or owner is lost; shorter ones need more
//! messages.

use hemlocksaddle_types::{
    clock::Millis,
    name::{DataCentre, NodeName},
};

use crate::ports::PeerAddress;

/// Intervals, timeouts and periods of validity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval of heartbeats between nodes.
    pub heartbeat_ms: Millis,
    /// Time without a message after which a peer connection is closed and replaced.
    pub peer_silent_ms: Millis,
    /// Time without a heartbeat of an owner after which its first successor claims its units.
    pub owner_silent_ms: Millis,
    /// Validity of an ownership lease after a read of the claims, counted from sending the read.
    pub right_valid_ms: Millis,
    /// Validity of a successor's promise not to claim, counted by the owner from sending its request.
    pub promise_valid_ms: Millis,
    /// Interval at which an owner requests promises.
    pub promise_every_ms: Millis,
    /// Longest wait of a long poll at the log's tail.
    pub read_wait_ms: Millis,
    /// Maximum age of a read of the documents that permits starts.
    pub documents_fresh_ms: Millis,
    /// Maximum age of a host list that permits starts while the log is down.
    pub hosts_fresh_ms: Millis,
    /// Interval at which the host list is fetched.
    pub hosts_every_ms: Millis,
    /// Time within which a worker must have received a start order.
    pub start_by_ms: Millis,
    /// Duration of a task's lease at its worker.
    pub lease_ms: Millis,
    /// Interval at which the leases at a worker are renewed.
    pub renew_every_ms: Millis,
    /// Timeout of a call to the platform.
    pub platform_call_ms: Millis,
    /// Retention period of the log's streams.
    pub retention_ms: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_ms: Millis(500),
            peer_silent_ms: Millis(2_000),
            owner_silent_ms: Millis(3_000),
            right_valid_ms: Millis(3_000),
            promise_valid_ms: Millis(3_000),
            promise_every_ms: Millis(1_000),
            read_wait_ms: Millis(500),
            documents_fresh_ms: Millis(2_000),
            hosts_fresh_ms: Millis(5_000),
            hosts_every_ms: Millis(1_000),
            start_by_ms: Millis(1_000),
            lease_ms: Millis(8_000),
            renew_every_ms: Millis(2_000),
            platform_call_ms: Millis(1_500),
            retention_ms: Millis(24 * 3_600_000),
        }
    }
}

/// Resource limits that protect a node from overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of queues over which jobs are distributed; the same on all nodes.
    pub queues: u16,
    /// Appends per second to the log, of all nodes together.
    pub appends_per_second: u32,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum number of a request's headers.
    pub headers: usize,
    /// Maximum size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Timeout for receiving a request's headers.
    pub header_read_ms: Millis,
    /// Maximum number of open connections from callers.
    pub caller_connections: usize,
    /// Maximum number of waiting requests per service, as a multiple of its executors' slots.
    pub waiting_per_slot: u32,
    /// Maximum number of unfinished jobs in a queue.
    pub jobs_per_queue: usize,
    /// Budget of extra sends (retries and hedges), in percent of requests.
    pub retry_percent: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queues: 16,
            appends_per_second: 300,
            body_bytes: 1 << 20,
            headers: 64,
            header_bytes: 16 << 10,
            header_read_ms: Millis(5_000),
            caller_connections: 1_024,
            waiting_per_slot: 4,
            jobs_per_queue: 20_000,
            retry_percent: 10,
        }
    }
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this node.
    pub node: NodeName,
    /// Data centre of this node.
    pub data_centre: DataCentre,
    /// All nodes, this one included; the same on all nodes.
    pub peers: Vec<PeerAddress>,
    /// Intervals, timeouts and periods of validity.
    pub timing: Timing,
    /// Resource limits.
    pub limits: Limits,
}
