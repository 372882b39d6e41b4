//! Names, addresses, document and settings files of the deployment.

use std::{
    fs,
    io::BufRead,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

use hemlocksaddle_types::{
    host::{Host, HostRole, HostState},
    name::{ExecutorName, NodeName, RackName, WorkerName},
    resources::Resources,
};
use serde::{Deserialize, Serialize};

/// Data centres, with one node in each.
pub(crate) const DATA_CENTRES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
/// Service that receives requests and jobs.
pub(crate) const SERVICE: &str = "orders";
/// Slots of each executor.
pub(crate) const SLOTS: usize = 8;
/// Maximum connections of each executor.
pub(crate) const CONNECTIONS: usize = 60;

const EXECUTORS: usize = 6;
const RACKS: usize = 6;
const WORKERS_PER_RACK: usize = 2;
/// Resources of each worker.
const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 60_000,
    accelerators: 0,
};

/// Total cores of all workers.
pub(crate) const TOTAL_CORES: u64 = (RACKS * WORKERS_PER_RACK) as u64 * CAPACITY.cpu_milli / 1_000;

/// Addresses of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NodeAddresses {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// Converts a name that is known to be valid; panics if it is not.
pub(crate) fn parse_name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}

/// Assigns free loopback ports to the nodes; another process may still take them first.
pub(crate) fn allocate_nodes() -> eyre::Result<Vec<NodeAddresses>> {
    // All listeners stay open until the last port is known, so that no port is assigned twice.
    let mut listeners = Vec::new();
    let mut free_address = || -> eyre::Result<SocketAddr> {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
        Ok(listeners[listeners.len() - 1].local_addr()?)
    };
    let mut nodes = Vec::new();
    for data_centre in DATA_CENTRES {
        nodes.push(NodeAddresses {
            name: format!("node-{data_centre}"),
            data_centre: data_centre.to_owned(),
            callers: free_address()?,
            peers: free_address()?,
        });
    }
    Ok(nodes)
}

/// Reads the addresses of the nodes, which the scenario writes as one line of JSON.
pub(crate) fn read_nodes_from_stdin() -> eyre::Result<Vec<NodeAddresses>> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}

/// Hosts of the deployment; the fake platform fills in the addresses of workers and executors.
pub(crate) fn hosts(nodes: &[NodeAddresses]) -> Vec<Host> {
    let unset = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut hosts = Vec::new();
    for index in 0..RACKS * WORKERS_PER_RACK {
        let rack = index / WORKERS_PER_RACK;
        let role = HostRole::Worker {
            name: parse_name::<WorkerName>(&format!("worker-{index}")),
            rack: parse_name::<RackName>(&format!("rack-{rack}")),
            capacity: CAPACITY,
        };
        hosts.push(host(role, DATA_CENTRES[rack % 3], unset));
    }
    for index in 0..EXECUTORS {
        let role = HostRole::Executor {
            name: parse_name::<ExecutorName>(&index.to_string()),
        };
        hosts.push(host(role, DATA_CENTRES[index % 3], unset));
    }
    for node in nodes {
        let role = HostRole::Node {
            name: parse_name::<NodeName>(&node.name),
        };
        hosts.push(host(role, &node.data_centre, node.peers));
    }
    hosts
}

fn host(role: HostRole, data_centre: &str, address: SocketAddr) -> Host {
    Host {
        role,
        data_centre: parse_name(data_centre),
        address,
        state: HostState::Live,
    }
}

/// Document of the service with some data centres evacuated.
pub(crate) fn document(executors: &[SocketAddr], evacuated: &[&str]) -> String {
    let lines = executors.iter().enumerate().map(|(index, address)| {
        let data_centre = DATA_CENTRES[index % 3];
        format!("executor.{index} = {data_centre} {address}\n")
    });
    format!(
        "[service]\nname = {SERVICE}\nteam = makers\ndata_centres_out = {}\n\
         [objective]\nlatency_ms = 250\nsuccess_percent = 99.9\nwindow_hours = 720\n\
         [targets]\nslots = {SLOTS}\nconnections = {CONNECTIONS}\nmax_deadline_ms = 10000\n{}\
         [quota]\ncpu_milli = {}\nmemory_mb = 720000\naccelerators = 0\n",
        evacuated.join(", "),
        lines.collect::<String>(),
        TOTAL_CORES * 1_000,
    )
}

/// Writes the settings file of a node and returns its path.
pub(crate) fn write_settings(
    directory: &Path,
    node: &NodeAddresses,
    nodes: &[NodeAddresses],
    platform: SocketAddr,
    key: &str,
) -> eyre::Result<PathBuf> {
    let peers = nodes
        .iter()
        .map(|peer| format!("{} = {} {}\n", peer.name, peer.data_centre, peer.peers));
    let text = format!(
        "[node]\nname = {}\ndata_centre = {}\ncallers = {}\npeers_listen = {}\n\
         [peers]\n{}[platform]\nlog = {platform}\nhosts = {platform}\nworkers = {platform}\n\
         [limits]\nqueues = 6\n[secret]\npeer_key = {key}\n",
        node.name,
        node.data_centre,
        node.callers,
        node.peers,
        peers.collect::<String>()
    );
    let path = directory.join(format!("{}.ini", node.name));
    fs::write(&path, text)?;
    Ok(path)
}
