//! Hosts as the platform's lagging list shows them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    clock::WallMs,
    name::{DataCentre, ExecutorName, NodeName, RackName, WorkerName},
    resources::Resources,
};

/// State of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// To be stopped; gets no new work.
    Leaving,
    /// Not running.
    Gone,
}

/// What a host runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// Runs tasks.
    Worker {
        /// Name of the worker.
        name: WorkerName,
        /// Rack that holds the worker.
        rack: RackName,
        /// What the worker has in all.
        capacity: Resources,
    },
    /// Serves requests of a service.
    Executor {
        /// Name of the executor.
        name: ExecutorName,
    },
    /// Runs one of our nodes.
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
    /// Data centre that holds the host.
    pub data_centre: DataCentre,
    /// Address of its service, IP number and port.
    pub address: SocketAddr,
    /// State as last seen by the platform.
    pub state: HostState,
}

/// Host list at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Platform's time of the list.
    pub as_of_ms: WallMs,
    /// All hosts.
    pub hosts: Vec<Host>,
}
