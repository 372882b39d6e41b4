//! Units of ownership.
//!
//! A unit is owned by at most one node at a time. Racks and targets are owned
//! separately from queues because their state is stored elsewhere: a queue's
//! state is in the log, a rack's state is held by its workers, and a target has no
//! durable state.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::{ExecutorName, RackName, ServiceName};

/// Index of a queue, less than the `queues` setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueIndex(pub u16);

/// Fencing token of a unit: each claim increments it, and orders with a lower term are refused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Unit of ownership: at most one node may act on it at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Unit {
    /// Queue, with its jobs and request intents.
    Queue(QueueIndex),
    /// Rack, with its workers.
    Rack(RackName),
    /// Executor of a service, with its slots and connections.
    Target(ServiceName, ExecutorName),
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unit::Queue(index) => write!(f, "queue/{}", index.0),
            Unit::Rack(rack) => write!(f, "rack/{rack}"),
            Unit::Target(service, executor) => write!(f, "target/{service}/{executor}"),
        }
    }
}
