//! Service documents.
//!
//! A document is parsed in two steps: INI text to raw sections and keys, then
//! `TryFrom` to the checked type. Every node runs the same check on the same
//! text, so that all of them accept or reject a revision alike.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    name::{DataCentre, ExecutorName, ServiceName, TeamName},
    resources::Resources,
};

/// Revision of a service's document, from 1; 0 means that there is none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Executor of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executor {
    /// Name, unique in the service.
    pub name: ExecutorName,
    /// Data centre that holds it.
    pub data_centre: DataCentre,
    /// IP number and port.
    pub address: SocketAddr,
}

/// Objective against which burn is reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Latency that a good request stays within.
    pub latency_ms: Millis,
    /// Share of requests that must be good, in thousandths of a percent.
    pub success_milli_percent: u32,
    /// Length of the objective's window in hours.
    pub window_hours: u32,
}

/// Checked document of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Service.
    pub service: ServiceName,
    /// Team that is charged.
    pub team: TeamName,
    /// Data centres that take no starts.
    pub data_centres_out: BTreeSet<DataCentre>,
    /// Objective.
    pub objective: Objective,
    /// Requests that an executor takes at once.
    pub slots: u32,
    /// Connections that an executor takes at once.
    pub connections: u32,
    /// Longest deadline of a quick request.
    pub max_deadline_ms: Millis,
    /// Executors.
    pub executors: Vec<Executor>,
    /// Team's quota on workers.
    pub quota: Resources,
    /// Text as published.
    pub text: Arc<str>,
}
