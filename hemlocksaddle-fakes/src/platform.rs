//! Deployments: hosts, services and nodes with their ports.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use hemlocksaddle_node::{
    ports::{PeerAddress, Ports},
    settings::{Limits, Settings, Timing},
};
use hemlocksaddle_types::{
    clock::Millis,
    host::{Host, HostRole, HostState},
    name::{DataCentre, ExecutorName, NodeName, RackName, ServiceName, TeamName, WorkerName},
    resources::Resources,
};

use crate::{
    hosts::FakeHosts, judge::Judges, log::FakeLog, network::Endpoint, network::Network,
    peers::FakePeers, runtime::SimRuntime, targets::FakeTargets, workers::FakeWorkers,
};

/// Size and names of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Service that takes requests and jobs.
    pub service: &'static str,
    /// Team that is charged.
    pub team: &'static str,
    /// Data centres.
    pub data_centres: [&'static str; 3],
    /// Nodes in all.
    pub nodes: usize,
    /// Workers in all and per rack; racks are dealt to the data centres in turn.
    pub workers: (usize, usize),
    /// What each worker has.
    pub capacity: Resources,
    /// Executors in all, with 8 slots each.
    pub executors: usize,
    /// Queues.
    pub queues: u16,
}

impl Deployment {
    /// Three nodes, six racks of two workers, six executors.
    #[must_use]
    pub fn small() -> Deployment {
        Deployment {
            service: "orders",
            team: "makers",
            data_centres: ["dc-a", "dc-b", "dc-c"],
            nodes: 3,
            workers: (12, 2),
            capacity: capacity(16, 60),
            executors: 6,
            queues: 4,
        }
    }

    /// The Khomas deployment.
    #[must_use]
    pub fn khomas() -> Deployment {
        Deployment {
            data_centres: ["khomas-a", "khomas-b", "khomas-c"],
            nodes: 9,
            workers: (70, 10),
            executors: 70,
            queues: 16,
            ..Deployment::small()
        }
    }

    /// The Jadran deployment.
    #[must_use]
    pub fn jadran() -> Deployment {
        Deployment {
            service: "collation",
            team: "slagaci",
            data_centres: ["split-a", "zadar-b", "rijeka-c"],
            nodes: 7,
            workers: (50, 8),
            capacity: capacity(32, 125),
            executors: 50,
            queues: 16,
        }
    }

    /// Same deployment with another number of nodes.
    #[must_use]
    pub fn with_nodes(mut self, nodes: usize) -> Deployment {
        self.nodes = nodes;
        self
    }

    fn data_centre(&self, index: usize) -> DataCentre {
        name(self.data_centres[index % 3])
    }

    fn hosts(&self) -> Vec<Host> {
        let mut hosts = Vec::new();
        for index in 0..self.workers.0 {
            let rack = index / self.workers.1;
            let role = HostRole::Worker {
                name: name::<WorkerName>(&format!("worker-{index}")),
                rack: name::<RackName>(&format!("rack-{rack}")),
                capacity: self.capacity,
            };
            hosts.push(host(role, self.data_centre(rack), 8, index));
        }
        for index in 0..self.executors {
            let role = HostRole::Executor {
                name: name::<ExecutorName>(&index.to_string()),
            };
            hosts.push(host(role, self.data_centre(index), 7, index));
        }
        for peer in self.peers() {
            let role = HostRole::Node { name: peer.node };
            hosts.push(Host {
                role,
                data_centre: peer.data_centre,
                address: peer.address,
                state: HostState::Live,
            });
        }
        hosts
    }

    fn peers(&self) -> Vec<PeerAddress> {
        let peer = |index| PeerAddress {
            node: name::<NodeName>(&format!("node-{index}")),
            data_centre: self.data_centre(index),
            address: address(6, index),
        };
        (0..self.nodes).map(peer).collect()
    }

    /// Text of the service's document with data centres taken out.
    #[must_use]
    pub fn document(&self, out: &[&str]) -> String {
        let mut text = format!(
            "[service]\nname = {}\nteam = {}\ndata_centres_out = {}\n\
             [objective]\nlatency_ms = 250\nsuccess_percent = 99.9\nwindow_hours = 720\n\
             [targets]\nslots = 8\nconnections = 60\nmax_deadline_ms = 10000\n",
            self.service,
            self.team,
            out.join(", ")
        );
        for index in 0..self.executors {
            let data_centre = self.data_centre(index);
            text += &format!("executor.{index} = {data_centre} {}\n", address(7, index));
        }
        let workers = self.workers.0 as u64;
        let (cpu_milli, memory_mb) = (self.capacity.cpu_milli, self.capacity.memory_mb);
        text += &format!(
            "[quota]\ncpu_milli = {}\nmemory_mb = {}\naccelerators = 0\n",
            cpu_milli * workers,
            memory_mb * workers
        );
        text
    }
}

/// Fakes of one deployment, and what starts nodes on it.
pub struct Platform {
    /// Executor and clock.
    pub sim: SimRuntime,
    /// Size and names.
    pub deployment: Deployment,
    /// Network.
    pub network: Rc<Network>,
    /// Judges.
    pub judges: Rc<Judges>,
    /// Log.
    pub log: Rc<FakeLog>,
    /// Host list.
    pub hosts: Rc<FakeHosts>,
    /// Workers.
    pub workers: Rc<FakeWorkers>,
    /// Executors.
    pub targets: Rc<FakeTargets>,
    /// Connections between nodes.
    pub peers: Rc<FakePeers>,
    /// Nodes of the settings.
    pub nodes: Vec<PeerAddress>,
    /// Intervals that every node gets.
    pub timing: RefCell<Timing>,
}

impl Platform {
    /// Platform at time zero, without nodes.
    #[must_use]
    pub fn new(deployment: Deployment, seed: u64) -> Platform {
        let sim = SimRuntime::new(seed);
        let network = Network::new(&sim);
        let judges = Judges::new(&sim);
        let list = deployment.hosts();
        let targets = FakeTargets::new(&network, &judges);
        for host in &list {
            if let HostRole::Executor { .. } = host.role {
                targets.add(host.address, &host.data_centre, 8);
            }
        }
        Platform {
            log: FakeLog::new(&network, &judges),
            workers: FakeWorkers::new(&network, &judges, &list),
            hosts: FakeHosts::new(&network, list),
            peers: FakePeers::new(&network),
            nodes: deployment.peers(),
            timing: RefCell::default(),
            targets,
            judges,
            network,
            deployment,
            sim,
        }
    }

    /// Service of the deployment.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        name(self.deployment.service)
    }

    /// Team of the service.
    #[must_use]
    pub fn team(&self) -> TeamName {
        name(self.deployment.team)
    }

    /// Endpoint of a node's present process.
    #[must_use]
    pub fn endpoint(&self, node: &PeerAddress) -> Endpoint {
        Endpoint {
            process: self.sim.node_process(&node.node),
            name: node.node.clone().into(),
            data_centre: Some(node.data_centre.clone()),
        }
    }

    /// Ports of a node's present process.
    #[must_use]
    pub fn ports(&self, node: &PeerAddress) -> Ports {
        let endpoint = self.endpoint(node);
        Ports {
            runtime: self.sim.node_runtime(&node.node),
            log: self.log.port(&endpoint),
            hosts: self.hosts.port(&endpoint),
            workers: self.workers.port(&endpoint),
            targets: self.targets.port(&endpoint),
            peers: self.peers.port(&endpoint),
        }
    }

    /// Settings of a node.
    #[must_use]
    pub fn settings(&self, node: &PeerAddress) -> Settings {
        Settings {
            node: node.node.clone(),
            data_centre: node.data_centre.clone(),
            peers: self.nodes.clone(),
            timing: *self.timing.borrow(),
            limits: Limits {
                queues: self.deployment.queues,
                ..Limits::default()
            },
        }
    }

    /// Runs for a span of true time.
    pub fn run_for(&self, span: Millis) {
        self.sim.run_for(span);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.sim.close();
    }
}

fn capacity(cores: u64, memory_gb: u64) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        memory_mb: memory_gb * 1_000,
        accelerators: 0,
    }
}

fn host(role: HostRole, data_centre: DataCentre, net: u8, index: usize) -> Host {
    Host {
        role,
        data_centre,
        address: address(net, index),
        state: HostState::Live,
    }
}

fn address(net: u8, index: usize) -> SocketAddr {
    let host = u8::try_from(index + 1).expect("at most 254 hosts of a kind");
    SocketAddr::from(([127, 0, net, host], 7_000))
}

/// Name that is known to be valid.
fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}
