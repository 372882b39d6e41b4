//! Simulated cluster: nodes with real queues and racks, and fakes for the other parts.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::{
    core::{
        AppendError, AppendResult, CallError, Calls, Configuration, Core, Fenced, Handler, Journal,
        Ownership, OwnershipLease, PeerState, PublishResult,
    },
    explain::Explanations,
    invariant::{Invariants, OnViolation},
    metrics::Metrics,
    ports::{
        Hosts, Log, PeerAddress, PeerLink, Peers, PortError, PortFuture, Ports, ReadBatch, Targets,
    },
    queue::Queues,
    rack::Racks,
    settings::{Limits, Settings, Timing},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    document::{Document, Objective, Revision},
    host::{Host, HostList, HostRole, HostState},
    job::{JobId, JobSpec, JobStatus, Urgency},
    name::{DataCentre, IdempotencyKey, NodeName, RackName, ServiceName, TeamName, WorkerName},
    outcome::ResultCode,
    peer::{Explanation, Heartbeat, Request, Response},
    record::{Offset, Record, Stream},
    request::{QuickRequest, QuickResponse},
    resources::Resources,
    unit::{QueueIndex, Term, Unit},
};

use crate::workers::{Platform, WorkersPort};

/// Parses a name of any type; panics if it is invalid.
pub(crate) fn name<T: for<'a> TryFrom<&'a str, Error = hemlocksaddle_types::error::Error>>(
    text: &str,
) -> T {
    T::try_from(text).expect("valid name")
}

/// Resources with a number of cores and 1000 MB of memory per core.
pub(crate) fn cores(count: u64) -> Resources {
    Resources {
        cpu_milli: count * 1_000,
        memory_mb: count * 1_000,
        accelerators: 0,
    }
}

/// Job whose tasks need `size` cores each.
pub(crate) fn job(team: &str, tasks: u32, size: u64) -> JobSpec {
    JobSpec {
        service: name("matching"),
        team: name(team),
        key: None,
        body_hash: 1,
        tasks,
        demand: cores(size),
        expected_run_ms: 3_000,
        urgency: Urgency::Normal,
        idempotent: false,
        resumable: true,
        deadline_ms: None,
    }
}

pub(crate) fn keyed(spec: JobSpec, key: &str) -> JobSpec {
    JobSpec {
        key: Some(name::<IdempotencyKey>(key)),
        ..spec
    }
}

/// State shared by all nodes: units, streams, hosts and injected faults.
pub(crate) struct Shared {
    pub(crate) sim: SimRuntime,
    pub(crate) platform: Rc<Platform>,
    pub(crate) units: RefCell<BTreeMap<Unit, (NodeName, Term)>>,
    pub(crate) streams: RefCell<BTreeMap<Stream, (Term, Vec<Record>)>>,
    pub(crate) log_up: Cell<bool>,
    /// Whether appends with a timeout store the records but report an unknown outcome.
    pub(crate) lose_appends: Cell<bool>,
    pub(crate) hosts: RefCell<Rc<HostList>>,
    pub(crate) out: RefCell<BTreeSet<DataCentre>>,
    pub(crate) quota: RefCell<BTreeMap<TeamName, Resources>>,
    pub(crate) nodes: RefCell<BTreeMap<NodeName, Rc<TestNode>>>,
    pub(crate) dead: RefCell<BTreeSet<NodeName>>,
    /// Nodes without ownership leases.
    pub(crate) without_lease: RefCell<BTreeSet<NodeName>>,
    /// Whether the configuration wrongly allows starts in data centres that are out.
    pub(crate) stale_configuration: Cell<bool>,
    /// Number of next replies to `Submit` and `Place` to lose.
    pub(crate) lose_replies: Cell<u32>,
}

pub(crate) struct TestNode {
    pub(crate) core: Rc<Core>,
    pub(crate) racks: Rc<Racks>,
    pub(crate) queues: Rc<Queues>,
}

/// Ownership, configuration, calls and journal as one node sees them.
struct NodeView {
    shared: Rc<Shared>,
    node: NodeName,
}

impl Ownership for NodeView {
    fn lease(&self, unit: &Unit) -> Option<OwnershipLease> {
        if self.shared.without_lease.borrow().contains(&self.node) {
            return None;
        }
        let units = self.shared.units.borrow();
        let (_, term) = units.get(unit).filter(|(owner, _)| *owner == self.node)?;
        Some(OwnershipLease {
            term: *term,
            until_ms: MonoMs(u64::MAX),
        })
    }

    fn owner(&self, unit: &Unit) -> Option<NodeName> {
        self.shared
            .units
            .borrow()
            .get(unit)
            .map(|(owner, _)| owner.clone())
    }

    fn owned(&self) -> Vec<(Unit, Term)> {
        let units = self.shared.units.borrow();
        let own = units.iter().filter(|(_, (owner, _))| *owner == self.node);
        own.map(|(unit, (_, term))| (unit.clone(), *term)).collect()
    }

    fn was_released(&self, _unit: &Unit) -> bool {
        false
    }
}

impl Configuration for NodeView {
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>> {
        let known = service.as_str() == "matching";
        known.then(|| document("makers", cores(10)))
    }

    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        let quota = self.shared.quota.borrow();
        let documents = quota.iter();
        documents
            .map(|(team, quota)| (document(team.as_str(), *quota), Revision(1)))
            .collect()
    }

    fn hosts(&self) -> Rc<HostList> {
        self.shared.hosts.borrow().clone()
    }

    fn may_start_in(&self, data_centre: &DataCentre) -> bool {
        self.shared.stale_configuration.get() || !self.is_out(data_centre)
    }

    fn is_out(&self, data_centre: &DataCentre) -> bool {
        self.shared.out.borrow().contains(data_centre)
    }

    fn publish(&self, _: ServiceName, _: Revision, _: Arc<str>) -> PortFuture<'_, PublishResult> {
        Box::pin(async { Err((ResultCode::NotReady, Arc::from(""))) })
    }
}

fn document(team: &str, quota: Resources) -> Rc<Document> {
    Rc::new(Document {
        service: name("matching"),
        team: name(team),
        data_centres_out: BTreeSet::new(),
        objective: Objective {
            latency_ms: Millis(250),
            success_milli_percent: 99_900,
            window_hours: 720,
        },
        slots: 8,
        connections: 60,
        max_deadline_ms: Millis(10_000),
        executors: Vec::new(),
        quota,
        text: Arc::from(""),
    })
}

impl Calls for NodeView {
    fn call(
        &self,
        node: &NodeName,
        request: Request,
        timeout: Millis,
    ) -> PortFuture<'_, Result<Response, CallError>> {
        let shared = self.shared.clone();
        let (from, to) = (self.node.clone(), node.clone());
        Box::pin(async move {
            let (sim, started) = (shared.sim.clone(), shared.sim.now());
            sim.sleep(Millis(1)).await;
            if shared.dead.borrow().contains(&to) {
                return Err(CallError::NotSent);
            }
            let target = shared.nodes.borrow().get(&to).cloned();
            let target = target.ok_or(CallError::NotSent)?;
            let handlers: [&dyn Handler; 2] = [&*target.racks, &*target.queues];
            let mut handlers = handlers.into_iter();
            let reply = handlers.find_map(|handler| handler.handle(&from, &request));
            let reply = match reply {
                Some(reply) => {
                    // A node that crashes while it handles the call never replies.
                    let limit = sim.sleep(timeout);
                    match select(reply, pin!(limit)).await {
                        Either::Left((reply, _)) => reply,
                        Either::Right(_) => return Err(CallError::NoReply),
                    }
                }
                None => Response::Unsupported,
            };
            sim.sleep(Millis(1)).await;
            let countable = matches!(request, Request::Submit(..) | Request::Place(_));
            let lose = countable && shared.lose_replies.get() > 0;
            if lose {
                shared.lose_replies.set(shared.lose_replies.get() - 1);
            }
            let late = sim.now().0 > started.0 + timeout.0;
            if lose || late || shared.dead.borrow().contains(&to) {
                return Err(CallError::NoReply);
            }
            Ok(reply)
        })
    }

    fn peers(&self) -> Vec<PeerState> {
        let now = self
            .shared
            .nodes
            .borrow()
            .get(&self.node)
            .map(|n| n.core.ports.runtime.now());
        let nodes = self.shared.nodes.borrow();
        let others = nodes.iter().filter(|(other, _)| **other != self.node);
        let dead = self.shared.dead.borrow();
        others
            .filter(|(other, _)| !dead.contains(*other))
            .map(|(other, node)| PeerState {
                node: other.clone(),
                data_centre: name("a"),
                last_heartbeat_ms: now,
                heartbeat: Some(Rc::new(heartbeat(&node.racks))),
            })
            .collect()
    }

    fn send_heartbeats(&self) {}
}

fn heartbeat(racks: &Racks) -> Heartbeat {
    let mut heartbeat = Heartbeat {
        documents_next: Offset(0),
        ready: true,
        leaving: false,
        log_failed_ago_ms: None,
        publish_unsettled: false,
        slots: Vec::new(),
        racks: Vec::new(),
    };
    racks.fill_heartbeat(&mut heartbeat);
    heartbeat
}

impl Journal for NodeView {
    fn open(&self, stream: Stream, term: Term) -> PortFuture<'_, Result<Vec<Record>, Fenced>> {
        let shared = self.shared.clone();
        Box::pin(async move {
            while !shared.log_up.get() {
                shared.sim.sleep(Millis(50)).await;
            }
            shared.sim.sleep(Millis(5)).await;
            let mut streams = shared.streams.borrow_mut();
            let (highest, records) = streams.entry(stream).or_default();
            if *highest > term {
                return Err(Fenced);
            }
            *highest = term;
            Ok(records.clone())
        })
    }

    fn append(
        &self,
        stream: Stream,
        term: Term,
        records: Vec<Record>,
        timeout: Option<Millis>,
    ) -> PortFuture<'_, AppendResult> {
        let shared = self.shared.clone();
        Box::pin(async move {
            let started = shared.sim.now();
            while !shared.log_up.get() {
                shared.sim.sleep(Millis(50)).await;
                if timeout.is_some_and(|limit| shared.sim.now().0 > started.0 + limit.0) {
                    return Err(AppendError::NotAppended);
                }
            }
            shared.sim.sleep(Millis(5)).await;
            let mut streams = shared.streams.borrow_mut();
            let (highest, kept) = streams.entry(stream).or_default();
            if *highest > term {
                return Err(AppendError::NotAppended);
            }
            kept.extend(records);
            match (shared.lose_appends.get(), timeout) {
                (true, Some(_)) => Err(AppendError::OutcomeUnknown),
                _ => Ok(Offset(kept.len() as u64)),
            }
        })
    }

    fn log_is_up(&self) -> bool {
        self.shared.log_up.get()
    }
}

/// Port whose calls all fail; queues and racks do not use it.
struct UnusedPort;

impl Log for UnusedPort {
    fn append(&self, _: Stream, _: Bytes) -> PortFuture<'_, Result<Offset, PortError>> {
        Box::pin(async { Err(PortError::NotSent) })
    }
    fn read(
        &self,
        _: Stream,
        _: Offset,
        _: Millis,
    ) -> PortFuture<'_, Result<ReadBatch, PortError>> {
        Box::pin(async { Err(PortError::NotSent) })
    }
}

impl Hosts for UnusedPort {
    fn fetch(&self) -> PortFuture<'_, Result<HostList, PortError>> {
        Box::pin(async { Err(PortError::NotSent) })
    }
}

impl Targets for UnusedPort {
    fn send(
        &self,
        _: std::net::SocketAddr,
        _: &ServiceName,
        _: u32,
        _: QuickRequest,
        _: Millis,
    ) -> PortFuture<'_, Result<QuickResponse, PortError>> {
        Box::pin(async { Err(PortError::NotSent) })
    }
}

impl Peers for UnusedPort {
    fn connect(&self, _: &PeerAddress) -> PortFuture<'_, Result<PeerLink, PortError>> {
        Box::pin(async { Err(PortError::NotSent) })
    }
}

/// Nodes `n0`, `n1`, ... in data centres `a`, `b`, ... with one rack of workers each.
pub(crate) struct SimCluster {
    pub(crate) shared: Rc<Shared>,
}

/// Retention of the log; short, so that test runs exceed it.
pub(crate) const RETENTION_MS: Millis = Millis(600_000);
pub(crate) const QUEUES: u16 = 2;

impl SimCluster {
    /// Cluster with a rack of `workers` workers per node, each with 4 cores.
    pub(crate) fn new(seed: u64, nodes: usize, workers: usize) -> SimCluster {
        SimCluster::with(seed, nodes, workers, OnViolation::Panic)
    }

    pub(crate) fn with(
        seed: u64,
        nodes: usize,
        workers: usize,
        on_violation: OnViolation,
    ) -> SimCluster {
        let sim = SimRuntime::new(seed);
        let platform = Platform::new(sim.clone());
        let shared = Rc::new(Shared {
            sim,
            platform,
            units: RefCell::default(),
            streams: RefCell::default(),
            log_up: Cell::new(true),
            lose_appends: Cell::new(false),
            hosts: RefCell::default(),
            out: RefCell::default(),
            quota: RefCell::default(),
            nodes: RefCell::default(),
            dead: RefCell::default(),
            without_lease: RefCell::default(),
            stale_configuration: Cell::new(false),
            lose_replies: Cell::new(0),
        });
        let cluster = SimCluster { shared };
        cluster.add_hosts(nodes, workers);
        cluster.add_units(nodes);
        for index in 0..nodes {
            cluster.add_node(index, on_violation);
        }
        cluster
    }

    fn add_hosts(&self, racks: usize, workers: usize) {
        let mut hosts = Vec::new();
        for rack in 0..racks {
            for number in 0..workers {
                let worker: WorkerName = name(&format!("w{rack}{number}"));
                self.shared.platform.add(&worker, cores(4));
                hosts.push(Host {
                    role: HostRole::Worker {
                        name: worker,
                        rack: name(&format!("r{rack}")),
                        capacity: cores(4),
                    },
                    data_centre: data_centre(rack),
                    address: "127.0.0.1:1".parse().expect("valid address"),
                    state: HostState::Live,
                });
            }
        }
        let as_of_ms = WallMs(0);
        *self.shared.hosts.borrow_mut() = Rc::new(HostList { as_of_ms, hosts });
    }

    fn add_units(&self, nodes: usize) {
        let mut units = self.shared.units.borrow_mut();
        for index in 0..nodes {
            let rack: RackName = name(&format!("r{index}"));
            units.insert(Unit::Rack(rack), (node_name(index), Term(1)));
        }
        for index in 0..QUEUES {
            let owner = node_name(usize::from(index) % nodes);
            units.insert(Unit::Queue(QueueIndex(index)), (owner, Term(1)));
        }
    }

    fn add_node(&self, index: usize, on_violation: OnViolation) {
        let node = node_name(index);
        let view = || NodeView {
            shared: self.shared.clone(),
            node: node.clone(),
        };
        let core = Rc::new(Core {
            ports: Ports {
                runtime: self.shared.sim.node_runtime(&node),
                log: Rc::new(UnusedPort),
                hosts: Rc::new(UnusedPort),
                workers: Rc::new(WorkersPort(self.shared.platform.clone())),
                targets: Rc::new(UnusedPort),
                peers: Rc::new(UnusedPort),
            },
            settings: Settings {
                node: node.clone(),
                data_centre: data_centre(index),
                peers: Vec::new(),
                timing: Timing {
                    retention_ms: RETENTION_MS,
                    ..Timing::default()
                },
                limits: Limits {
                    queues: QUEUES,
                    ..Limits::default()
                },
            },
            started_ms: 1,
            ownership: Rc::new(view()),
            configuration: Rc::new(view()),
            calls: Rc::new(view()),
            journal: Rc::new(view()),
            invariants: Rc::new(Invariants::new(on_violation)),
            metrics: Rc::new(Metrics::new()),
            explanations: Rc::new(Explanations::new(node.clone())),
            stopping: Rc::new(Cell::new(false)),
        });
        let racks = Racks::new(core.clone());
        let queues = Queues::new(core.clone());
        queues.attach_racks(racks.clone());
        racks.start();
        queues.start();
        let built = TestNode {
            core,
            racks,
            queues,
        };
        self.shared.nodes.borrow_mut().insert(node, Rc::new(built));
    }

    pub(crate) fn node(&self, index: usize) -> Rc<TestNode> {
        self.shared.nodes.borrow()[&node_name(index)].clone()
    }

    pub(crate) fn run_for(&self, ms: u64) {
        self.shared.sim.run_for(Millis(ms));
    }

    /// Submits through a node, in virtual time.
    pub(crate) fn submit(&self, node: usize, spec: JobSpec) -> Result<JobId, ResultCode> {
        let node = self.node(node);
        let at_most_once = !spec.idempotent && !spec.resumable;
        let submit = async move { node.queues.submit(spec).await };
        let job = self.shared.sim.block_on(submit).map_err(|(code, _)| code)?;
        if at_most_once {
            self.shared.platform.at_most_once.borrow_mut().insert(job);
        }
        Ok(job)
    }

    pub(crate) fn status(&self, node: usize, job: JobId, wait_ms: u64) -> JobStatus {
        let node = self.node(node);
        let status = async move { node.queues.job_status(job, Millis(wait_ms)).await };
        self.shared.sim.block_on(status).expect("status")
    }

    /// Crashes a node, and hands its units over to `successor` after the wait.
    pub(crate) fn kill(&self, index: usize, successor: usize, wait_ms: u64) {
        let dead = node_name(index);
        self.shared.sim.kill(&dead);
        self.shared.dead.borrow_mut().insert(dead.clone());
        self.run_for(wait_ms);
        self.hand_over(&dead, &node_name(successor));
    }

    /// Waits up to 120 s for the result of each job in turn, and returns their statuses.
    pub(crate) fn wait_for_results(&self, node: usize, jobs: &[JobId]) -> Vec<JobStatus> {
        let statuses = jobs.iter().map(|job| self.status(node, *job, 120_000));
        statuses.collect()
    }

    pub(crate) fn hand_over(&self, from: &NodeName, to: &NodeName) {
        let mut units = self.shared.units.borrow_mut();
        for (owner, term) in units.values_mut().filter(|(owner, _)| owner == from) {
            *owner = to.clone();
            term.0 += 1;
        }
    }

    pub(crate) fn set_host_state(&self, data_centre: &DataCentre, state: HostState) {
        let mut hosts = HostList::clone(&self.shared.hosts.borrow());
        for host in hosts
            .hosts
            .iter_mut()
            .filter(|h| h.data_centre == *data_centre)
        {
            host.state = state;
        }
        *self.shared.hosts.borrow_mut() = Rc::new(hosts);
    }

    /// Scheduling decisions about a job.
    pub(crate) fn explain(&self, node: usize, job: JobId) -> Vec<Explanation> {
        let node = self.node(node);
        let lines = async move { node.queues.explain_job(job).await };
        self.shared.sim.block_on(lines).expect("explanation")
    }

    /// Checks the invariants over all runs so far.
    pub(crate) fn check(&self) {
        self.shared.platform.check_runs();
    }
}

impl Drop for SimCluster {
    fn drop(&mut self) {
        self.shared.sim.close();
        self.shared.nodes.borrow_mut().clear();
    }
}

pub(crate) fn node_name(index: usize) -> NodeName {
    name(&format!("n{index}"))
}

pub(crate) fn data_centre(index: usize) -> DataCentre {
    name(["a", "b", "c", "d"][index % 4])
}
