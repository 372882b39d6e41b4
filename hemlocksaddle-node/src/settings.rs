//! Settings of a node, checked.
//!
//! The defaults of [`Timing`] and [`Limits`] are those of `docs/design.md`. A
//! longer lease costs recovery time after a worker or owner is lost; a shorter
//! one costs messages.

use hemlocksaddle_types::{
    clock::Millis,
    name::{DataCentre, NodeName},
};

use crate::ports::PeerAddress;

/// Intervals and validity spans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval of heartbeats between nodes.
    pub heartbeat_ms: Millis,
    /// Silence after which a peer connection is replaced.
    pub peer_silent_ms: Millis,
    /// Silence of an owner after which its first successor claims.
    pub owner_silent_ms: Millis,
    /// Validity of a right from a read of the claims, counted from its sending.
    pub right_valid_ms: Millis,
    /// Validity of a successor's promise, counted by the owner from sending its request.
    pub promise_valid_ms: Millis,
    /// Interval at which promises are asked for.
    pub promise_every_ms: Millis,
    /// Longest wait of a read at the log's tail.
    pub read_wait_ms: Millis,
    /// Age of a documents read up to which starts are allowed.
    pub documents_fresh_ms: Millis,
    /// Age of a host list up to which starts are allowed while the log is down.
    pub hosts_fresh_ms: Millis,
    /// Interval at which the host list is fetched.
    pub hosts_every_ms: Millis,
    /// Time within which a worker must have received a start order.
    pub start_by_ms: Millis,
    /// Lease of a task.
    pub lease_ms: Millis,
    /// Interval at which a worker's leases are renewed.
    pub renew_every_ms: Millis,
    /// Timeout of a call to the platform.
    pub platform_call_ms: Millis,
    /// Retention of the log's streams.
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

/// Bounds that protect the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Queues that jobs are spread over; the same on all nodes.
    pub queues: u16,
    /// Appends a second of all nodes together.
    pub appends_per_second: u32,
    /// Longest body of a request in bytes.
    pub body_bytes: usize,
    /// Headers of a request.
    pub headers: usize,
    /// Size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Time in which a request's headers must have arrived.
    pub header_read_ms: Millis,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Waiting requests per service, as a multiple of the slots of all its executors.
    pub waiting_per_slot: u32,
    /// Jobs that are live in one queue.
    pub jobs_per_queue: usize,
    /// Share of requests that may be sent a second time, in percent.
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
    /// Intervals.
    pub timing: Timing,
    /// Bounds.
    pub limits: Limits,
}
