//! Deployment with its fake platform: hosts, services, faults, and the ports of its nodes.

use std::{
    cell::RefCell, collections::BTreeMap, future::Future, net::SocketAddr, rc::Rc, sync::Arc,
};

use hemlocksaddle_node::{
    ports::{PeerAddress, PortFuture, Ports, Result},
    settings::{Limits, Settings, Timing},
};
use hemlocksaddle_types::{
    clock::Millis,
    host::{Host, HostRole, HostState},
    name::{DataCentre, ServiceName, WorkerName},
    record::Stream,
    resources::Resources,
};

use crate::{
    checker::Checker,
    log::StreamRecords,
    network::{Endpoint, Network},
    peers::Links,
    runtime::{ENVIRONMENT, SimRuntime},
    targets::Executor,
    workers::{TaskBehaviour, Worker},
};

/// Slots of each executor.
const SLOTS: usize = 8;
/// Interval at which workers are advanced that receive no calls.
const TICK_INTERVAL: Millis = Millis(250);

/// Size and names of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Service that takes requests and jobs.
    pub service: &'static str,
    /// Team whose quota is used.
    pub team: &'static str,
    /// Data centres.
    pub data_centres: [&'static str; 3],
    /// Total number of nodes.
    pub nodes: usize,
    /// Workers in total and per rack; racks are assigned to data centres round-robin.
    pub workers: (usize, usize),
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Total number of executors.
    pub executors: usize,
    /// Number of queues.
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
    pub fn with_nodes(self, nodes: usize) -> Deployment {
        Deployment { nodes, ..self }
    }

    /// Data centre of a rack, executor or node by its index.
    #[must_use]
    pub fn data_centre(&self, index: usize) -> DataCentre {
        name(self.data_centres[index % self.data_centres.len()])
    }

    fn hosts(&self) -> Vec<Host> {
        let mut hosts = Vec::new();
        let mut add = |role, data_centre, address| {
            hosts.push(Host {
                role,
                data_centre,
                address,
                state: HostState::Live,
            });
        };
        for index in 0..self.workers.0 {
            let rack = index / self.workers.1;
            let role = HostRole::Worker {
                name: name(&format!("worker-{index}")),
                rack: name(&format!("rack-{rack}")),
                capacity: self.capacity,
            };
            add(role, self.data_centre(rack), address(8, index));
        }
        for index in 0..self.executors {
            let role = HostRole::Executor {
                name: name(&index.to_string()),
            };
            add(role, self.data_centre(index), address(7, index));
        }
        for peer in self.peers() {
            add(
                HostRole::Node { name: peer.node },
                peer.data_centre,
                peer.address,
            );
        }
        hosts
    }

    fn peers(&self) -> Vec<PeerAddress> {
        let peer = |index| PeerAddress {
            node: name(&format!("node-{index}")),
            data_centre: self.data_centre(index),
            address: address(6, index),
        };
        (0..self.nodes).map(peer).collect()
    }

    /// Text of the service's document with the given data centres out.
    #[must_use]
    pub fn document(&self, out: &[&str]) -> String {
        let executor = |index| {
            let data_centre = self.data_centre(index);
            format!("executor.{index} = {data_centre} {}\n", address(7, index))
        };
        let executors: String = (0..self.executors).map(executor).collect();
        let workers = self.workers.0 as u64;
        format!(
            "[service]\nname = {}\nteam = {}\ndata_centres_out = {}\n\
             [objective]\nlatency_ms = 250\nsuccess_percent = 99.9\nwindow_hours = 720\n\
             [targets]\nslots = {SLOTS}\nconnections = 60\nmax_deadline_ms = 10000\n{executors}\
             [quota]\ncpu_milli = {}\nmemory_mb = {}\naccelerators = 0\n",
            self.service,
            self.team,
            out.join(", "),
            self.capacity.cpu_milli * workers,
            self.capacity.memory_mb * workers
        )
    }
}

/// Injected faults, other than partitions, dead hosts and silent connections.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The log accepts no appends and serves no reads.
    pub log_down: bool,
    /// Average delay added to each call to the log.
    pub log_slow: Millis,
    /// Share of appends that take effect without a response, in percent.
    pub log_lost_percent: u64,
    /// Share of appends that take effect late, mostly after the caller gave up, in percent.
    pub log_late_percent: u64,
    /// Retention time of records in the log.
    pub log_retention: Millis,
    /// Age of the host list that is served.
    pub hosts_lag: Millis,
    /// Share of all responses that are lost after the call took effect, in percent.
    pub lost_responses_percent: u64,
    /// Share of executors' responses that arrive after the deadline, in percent.
    pub late_responses_percent: u64,
    /// Mean service time of executors in milliseconds.
    pub service_ms: u64,
    /// Additional slowdown by each batch task that uses a whole worker, in thousandths.
    pub batch_interference_milli: u64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            log_down: false,
            log_slow: Millis(0),
            log_lost_percent: 0,
            log_late_percent: 0,
            log_retention: Millis(24 * 3_600_000),
            hosts_lag: Millis(500),
            lost_responses_percent: 0,
            late_responses_percent: 0,
            service_ms: 20,
            batch_interference_milli: 0,
        }
    }
}

/// Fake platform of one run.
pub struct Platform {
    /// Executor and virtual clock.
    pub sim: SimRuntime,
    /// Size and names.
    pub deployment: Deployment,
    /// Checker of the nodes' behaviour.
    pub checker: Checker,
    /// Current faults.
    pub faults: RefCell<Faults>,
    /// Actual behaviour of a job's tasks, by the job's idempotency key.
    pub task_behaviours: RefCell<BTreeMap<Arc<str>, TaskBehaviour>>,
    /// Addresses of all nodes, for their settings.
    pub nodes: Vec<PeerAddress>,
    /// Timing settings of every node.
    pub timing: RefCell<Timing>,
    pub(crate) network: RefCell<Network>,
    pub(crate) log: RefCell<BTreeMap<Stream, StreamRecords>>,
    pub(crate) hosts: RefCell<Vec<(u64, Vec<Host>)>>,
    pub(crate) workers: RefCell<BTreeMap<WorkerName, Worker>>,
    pub(crate) targets: RefCell<BTreeMap<SocketAddr, Executor>>,
    pub(crate) links: RefCell<Links>,
}

impl Platform {
    /// Creates a platform at time zero, without running nodes.
    #[must_use]
    pub fn new(deployment: Deployment, seed: u64) -> Rc<Platform> {
        let hosts = deployment.hosts();
        Platform::with_hosts(deployment, hosts, seed)
    }

    /// Creates a platform with the given hosts instead of those of the deployment.
    #[must_use]
    pub fn with_hosts(deployment: Deployment, hosts: Vec<Host>, seed: u64) -> Rc<Platform> {
        let sim = SimRuntime::new(seed);
        let platform = Rc::new(Platform {
            checker: Checker::new(&sim),
            faults: RefCell::default(),
            task_behaviours: RefCell::default(),
            nodes: deployment.peers(),
            timing: RefCell::default(),
            network: RefCell::default(),
            log: RefCell::default(),
            hosts: RefCell::new(vec![(0, hosts.clone())]),
            workers: RefCell::default(),
            targets: RefCell::default(),
            links: RefCell::default(),
            deployment,
            sim,
        });
        for host in &hosts {
            platform.add_worker(host);
            platform.add_executor(host);
        }
        let weak_platform = Rc::downgrade(&platform);
        platform.sim.spawn(ENVIRONMENT, async move {
            while let Some(platform) = weak_platform.upgrade() {
                platform.advance_all();
                platform.sim.sleep(TICK_INTERVAL).await;
            }
        });
        platform
    }

    fn add_executor(&self, host: &Host) {
        if matches!(host.role, HostRole::Executor { .. }) {
            let name = host.address.to_string();
            let endpoint = Endpoint::new(ENVIRONMENT, &name, Some(&host.data_centre));
            let executor = Executor::new(endpoint, SLOTS);
            self.targets.borrow_mut().insert(host.address, executor);
        }
    }

    /// Service of the deployment.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        name(self.deployment.service)
    }

    pub(crate) fn endpoint(&self, node: &PeerAddress) -> Endpoint {
        let process = self.sim.node_process(&node.node);
        Endpoint::new(process, node.node.as_str(), Some(&node.data_centre))
    }

    /// Ports of a node's current process.
    #[must_use]
    pub fn ports(self: &Rc<Self>, node: &PeerAddress) -> Ports {
        self.ports_of(self.endpoint(node))
    }

    pub(crate) fn ports_of(self: &Rc<Self>, from: Endpoint) -> Ports {
        let runtime = self.sim.runtime(from.process);
        let platform = self.clone();
        let ports = Rc::new(NodePorts { platform, from });
        Ports {
            runtime,
            log: ports.clone(),
            hosts: ports.clone(),
            workers: ports.clone(),
            targets: ports.clone(),
            peers: ports,
        }
    }

    /// Advances the run by a duration of true time.
    pub fn run_for(&self, duration: Millis) {
        self.sim.run_for(duration);
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
}

/// All ports of one process.
pub(crate) struct NodePorts {
    pub(crate) platform: Rc<Platform>,
    pub(crate) from: Endpoint,
}

impl NodePorts {
    pub(crate) fn call_platform<T: 'static, F: Future<Output = T> + 'static>(
        &self,
        service: &str,
        timeout: Millis,
        work: impl FnOnce() -> F + 'static,
    ) -> PortFuture<'static, Result<T>> {
        let to = Endpoint::new(ENVIRONMENT, service, None);
        self.platform.call(&self.from, to, timeout, false, work)
    }
}

fn capacity(cores: u64, memory_gb: u64) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        memory_mb: memory_gb * 1_000,
        accelerators: 0,
    }
}

fn address(net: u8, index: usize) -> SocketAddr {
    let host = u8::try_from(index + 1).expect("at most 254 hosts of a kind");
    SocketAddr::from(([127, 0, net, host], 7_000))
}

/// Converts a name that is known to be valid; panics if it is not.
pub(crate) fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}
