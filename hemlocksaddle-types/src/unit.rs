//! Units of ownership.
//!
//! A unit is owned by at most one node at a time. Racks and targets are owned
//! apart from queues because their state lives elsewhere: a queue's state is in
//! the log, a rack's in its workers, a target's nowhere.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::{ExecutorName, RackName, ServiceName};

/// Number of a queue, below the `queues` setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueIndex(pub u16);

/// Number of a claim on a unit; each new claim has the next one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Something that exactly one node may act on at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Unit {
    /// Jobs and request intents of one queue.
    Queue(QueueIndex),
    /// Workers of one rack.
    Rack(RackName),
    /// Slots and connections of one executor.
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
