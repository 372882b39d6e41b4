//! Hosts as listed by the platform; the list lags behind the actual state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    clock::WallMs,
    name::{DataCentre, ExecutorName, NodeName, RackName, WorkerName},
    resources::Resources,
};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be stopped; receives no new work.
    Leaving,
    /// Not running.
    Gone,
}

/// What a host runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// Worker, which runs tasks.
    Worker {
        /// Name of the worker.
        name: WorkerName,
        /// Rack of the worker.
        rack: RackName,
        /// Total resources of the worker.
        capacity: Resources,
    },
    /// Executor, which handles requests of a service.
    Executor {
        /// Name of the executor.
        name: ExecutorName,
    },
    /// Node of this system.
    Node {
        /// Name of the node.
        name: NodeName,
    },
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// What the host runs.
    pub role: HostRole,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// IP address and port on which the host serves its role.
    pub address: SocketAddr,
    /// State that the platform last observed.
    pub state: HostState,
}

/// Snapshot of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Wall-clock time of the snapshot on the platform's clock.
    pub as_of_ms: WallMs,
    /// All hosts.
    pub hosts: Vec<Host>,
}
