//! Several request parts on one virtual clock, with stand-ins for everything else.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use futures_util::future::{Either, FutureExt, pending, ready, select};
use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::{
    core::*,
    explain::Explanations,
    invariant::{Invariants, OnViolation},
    metrics::Metrics,
    ports::{self, *},
    requests::Requests,
    settings::{Limits, Settings, Timing},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    document::{Document, Executor, Objective, Revision},
    host::{Host, HostList, HostRole, HostState},
    job::{Attempt, TaskId, Urgency},
    name::{DataCentre, ExecutorName, IdempotencyKey, NodeName, ServiceName, TeamName, WorkerName},
    outcome::ResultCode,
    peer::{Heartbeat, Request, Response},
    record::{Offset, Record, Stream},
    request::{QuickRequest, QuickResponse, RequestId},
    resources::Resources,
    unit::{QueueIndex, Term, Unit},
    worker::{Renew, StartReply, StartTask, WorkerReport},
};

/// Way between two nodes and between a node and an executor is instant unless this is set.
pub const ONE_WAY_US: u64 = 1_000;

pub fn service() -> ServiceName {
    ServiceName::try_from("orders").expect("valid")
}

pub fn node_name(index: usize) -> NodeName {
    NodeName::try_from(format!("n{index}").as_str()).expect("valid")
}

fn executor_name(index: usize) -> ExecutorName {
    ExecutorName::try_from(format!("e{index}").as_str()).expect("valid")
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(index).expect("small")))
}

fn data_centre() -> DataCentre {
    DataCentre::try_from("split-a").expect("valid")
}

/// How an executor behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after a fixed time.
    After(u64),
    /// Answers after an exponentially distributed time with this mean in microseconds.
    Exponential(u64),
    /// Accepts no connection.
    Refuse,
    /// Runs the request and never answers.
    Silent,
    /// Runs the request and loses its answer at once.
    Lose,
    /// Answers status 500 at once.
    Error,
    /// Answers with the identifier of another request.
    Foreign,
    /// Breaks the port: answers with a code that says "not run".
    FalseRefusal,
    /// Breaks the port: never returns, not even after the time limit.
    Stuck,
}

/// Executor and what it saw.
pub struct FakeExecutor {
    pub behaviour: Cell<Behaviour>,
    pub in_use: Cell<u32>,
    pub most_in_use: Cell<u32>,
    pub runs: RefCell<Vec<RequestId>>,
}

type Beat = (MonoMs, Rc<Heartbeat>);

/// World that all nodes share.
pub struct World {
    pub sim: SimRuntime,
    pub nodes: RefCell<Vec<Rc<Requests>>>,
    pub stopping: RefCell<Vec<Rc<Cell<bool>>>>,
    pub cores: RefCell<Vec<Rc<Core>>>,
    pub executors: Vec<FakeExecutor>,
    pub document: RefCell<Rc<Document>>,
    pub hosts: RefCell<Rc<HostList>>,
    pub owners: RefCell<BTreeMap<Unit, usize>>,
    pub rights: Cell<bool>,
    pub log_up: Cell<bool>,
    pub unsettled: Cell<bool>,
    pub records: RefCell<Vec<Record>>,
    pub cut: RefCell<Vec<(usize, usize)>>,
    pub calls: RefCell<HashMap<&'static str, u64>>,
    pub lose_replies: Cell<bool>,
    /// Whether peers answer with the identifier of another request.
    pub confuse_answers: Cell<bool>,
    beats: RefCell<HashMap<(usize, usize), Beat>>,
    most_runs_kept: usize,
}

pub struct Options {
    pub seed: u64,
    pub nodes: usize,
    pub executors: usize,
    pub slots: u32,
    pub on_violation: OnViolation,
    /// Share of requests that may be sent a second time.
    pub retry_percent: u32,
    /// Whether executors keep the identifiers of requests.
    pub keep_runs: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            seed: 1,
            nodes: 1,
            executors: 1,
            slots: 8,
            on_violation: OnViolation::Panic,
            retry_percent: 10,
            keep_runs: true,
        }
    }
}

impl World {
    pub fn new(options: &Options) -> Rc<World> {
        let executors = (0..options.executors).map(|_| FakeExecutor {
            behaviour: Cell::new(Behaviour::After(20_000)),
            in_use: Cell::new(0),
            most_in_use: Cell::new(0),
            runs: RefCell::default(),
        });
        let world = Rc::new(World {
            sim: SimRuntime::new(options.seed),
            nodes: RefCell::default(),
            stopping: RefCell::default(),
            cores: RefCell::default(),
            executors: executors.collect(),
            document: RefCell::new(Rc::new(document(options))),
            hosts: RefCell::default(),
            owners: RefCell::default(),
            rights: Cell::new(true),
            log_up: Cell::new(true),
            unsettled: Cell::new(false),
            records: RefCell::default(),
            cut: RefCell::default(),
            calls: RefCell::default(),
            lose_replies: Cell::new(false),
            confuse_answers: Cell::new(false),
            beats: RefCell::default(),
            most_runs_kept: if options.keep_runs { usize::MAX } else { 0 },
        });
        world.set_hosts(&[]);
        for index in 0..options.executors {
            let unit = Unit::Target(service(), executor_name(index));
            world
                .owners
                .borrow_mut()
                .insert(unit, index % options.nodes);
        }
        for queue in 0..16 {
            let owner = usize::from(queue) % options.nodes;
            world
                .owners
                .borrow_mut()
                .insert(Unit::Queue(QueueIndex(queue)), owner);
        }
        for index in 0..options.nodes {
            world.add_node(index, options);
        }
        world
    }

    fn add_node(self: &Rc<World>, index: usize, options: &Options) {
        let stand_in = Rc::new(StandIn {
            world: self.clone(),
            index,
        });
        let stopping = Rc::new(Cell::new(false));
        let core = Rc::new(core(self, &stand_in, options, &stopping));
        let requests = Requests::new(core.clone());
        for queue in 0..16 {
            let queue = QueueIndex(queue);
            if self.owners.borrow()[&Unit::Queue(queue)] == index {
                requests.guards().reset(queue, Term(1));
                requests.guards().settled(queue);
            }
        }
        self.nodes.borrow_mut().push(requests.clone());
        self.cores.borrow_mut().push(core.clone());
        self.stopping.borrow_mut().push(stopping);
        requests.start();
        let world = self.clone();
        core.ports.runtime.spawn(Box::pin(async move {
            loop {
                world.beat(index);
                let runtime = world.cores.borrow()[index].ports.runtime.clone();
                runtime.sleep(Millis(500)).await;
            }
        }));
    }

    /// Moves a unit to a node.
    pub fn set_owner(&self, executor: usize, node: usize) {
        let unit = Unit::Target(service(), executor_name(executor));
        self.owners.borrow_mut().insert(unit, node);
    }

    /// Host list with these executors leaving.
    pub fn set_hosts(&self, leaving: &[usize]) {
        let hosts = (0..self.executors.len()).map(|index| Host {
            role: HostRole::Executor {
                name: executor_name(index),
            },
            data_centre: data_centre(),
            address: address(index),
            state: match leaving.contains(&index) {
                true => HostState::Leaving,
                false => HostState::Live,
            },
        });
        let list = HostList {
            as_of_ms: WallMs(0),
            hosts: hosts.collect(),
        };
        self.hosts.replace(Rc::new(list));
    }

    pub fn request(&self, node: usize, key: Option<&str>, deadline_ms: u64) -> QuickRequest {
        QuickRequest {
            id: self.nodes.borrow()[node].next_request_id(),
            service: service(),
            key: key.map(|key| IdempotencyKey::try_from(key).expect("valid")),
            idempotent: key.is_none(),
            deadline_ms: Millis(deadline_ms),
            urgency: Urgency::Normal,
            headers: BTreeMap::new(),
            body: Bytes::from_static(b"order"),
        }
    }

    /// Sends one request to a node and waits for the response.
    pub fn quick(self: &Rc<World>, node: usize, request: QuickRequest) -> QuickResponse {
        let requests = self.nodes.borrow()[node].clone();
        self.sim
            .block_on(async move { requests.quick(request).await })
    }

    /// Sends a request in the background; the response appears in the cell.
    pub fn quick_later(
        self: &Rc<World>,
        node: usize,
        request: QuickRequest,
    ) -> Rc<RefCell<Option<QuickResponse>>> {
        let requests = self.nodes.borrow()[node].clone();
        let result = Rc::new(RefCell::new(None));
        let cell = result.clone();
        self.sim.spawn(0, async move {
            let response = requests.quick(request).await;
            cell.replace(Some(response));
        });
        result
    }

    pub fn runs(&self) -> usize {
        self.executors.iter().map(|e| e.runs.borrow().len()).sum()
    }

    fn beat(self: &Rc<World>, from: usize) {
        let mut heartbeat = Heartbeat {
            documents_next: Offset(0),
            ready: true,
            leaving: self.stopping.borrow()[from].get(),
            log_failed_ago_ms: None,
            publish_unsettled: false,
            slots: Vec::new(),
            racks: Vec::new(),
        };
        self.nodes.borrow()[from].fill_heartbeat(&mut heartbeat);
        let heartbeat = Rc::new(heartbeat);
        let world = self.clone();
        self.count("beat");
        self.sim.spawn(0, async move {
            world.travel().await;
            let count = world.nodes.borrow().len();
            for to in (0..count).filter(|to| *to != from) {
                if !world.is_cut(from, to) {
                    let now = world.cores.borrow()[to].ports.runtime.now();
                    let beat = (now, heartbeat.clone());
                    world.beats.borrow_mut().insert((to, from), beat);
                }
            }
        });
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut = self.cut.borrow();
        cut.contains(&(a, b)) || cut.contains(&(b, a))
    }

    fn count(&self, kind: &'static str) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    async fn travel(&self) {
        let at_us = self.sim.now_us() + ONE_WAY_US;
        self.sim.sleep_until(at_us).await;
    }
}

fn document(options: &Options) -> Document {
    let executors = (0..options.executors).map(|index| Executor {
        name: executor_name(index),
        data_centre: data_centre(),
        address: address(index),
    });
    Document {
        service: service(),
        team: TeamName::try_from("makers").expect("valid"),
        data_centres_out: Default::default(),
        objective: Objective {
            latency_ms: Millis(250),
            success_milli_percent: 99_900,
            window_hours: 720,
        },
        slots: options.slots,
        connections: 60,
        max_deadline_ms: Millis(10_000),
        executors: executors.collect(),
        quota: Resources::default(),
        text: Arc::from(""),
    }
}

fn core(
    world: &Rc<World>,
    stand_in: &Rc<StandIn>,
    options: &Options,
    stopping: &Rc<Cell<bool>>,
) -> Core {
    let name = node_name(stand_in.index);
    Core {
        ports: Ports {
            runtime: world.sim.node_runtime(&name),
            log: stand_in.clone(),
            hosts: stand_in.clone(),
            workers: stand_in.clone(),
            targets: stand_in.clone(),
            peers: stand_in.clone(),
        },
        settings: Settings {
            node: name.clone(),
            data_centre: data_centre(),
            peers: Vec::new(),
            timing: Timing::default(),
            limits: Limits {
                retry_percent: options.retry_percent,
                ..Limits::default()
            },
        },
        started_ms: 1,
        ownership: stand_in.clone(),
        configuration: stand_in.clone(),
        calls: stand_in.clone(),
        journal: stand_in.clone(),
        invariants: Rc::new(Invariants::new(options.on_violation)),
        metrics: Rc::new(Metrics::new()),
        explanations: Rc::new(Explanations::new(name)),
        stopping: stopping.clone(),
    }
}

/// Everything around the request part of one node.
struct StandIn {
    world: Rc<World>,
    index: usize,
}

impl StandIn {
    async fn run(self: Rc<Self>, index: usize, id: RequestId) -> ports::Result<QuickResponse> {
        let world = &self.world;
        let executor = &world.executors[index];
        let behaviour = executor.behaviour.get();
        if behaviour == Behaviour::Refuse {
            return Err(PortError::NotSent);
        }
        if executor.runs.borrow().len() < world.most_runs_kept {
            executor.runs.borrow_mut().push(id.clone());
        }
        let _busy = Busy::new(executor);
        let mut response = QuickResponse::refusal(ResultCode::Completed, "done");
        response.status = 200;
        let mut answered = id.to_string();
        match behaviour {
            Behaviour::After(us) => world.sim.sleep_until(world.sim.now_us() + us).await,
            Behaviour::Exponential(mean_us) => {
                let us = exponential(&world.sim, mean_us);
                world.sim.sleep_until(world.sim.now_us() + us).await;
            }
            Behaviour::Silent | Behaviour::Stuck => pending::<()>().await,
            Behaviour::FalseRefusal => response.code = ResultCode::Overloaded,
            Behaviour::Lose => return Err(PortError::Unknown),
            Behaviour::Error => {
                response.code = ResultCode::TargetError;
                response.status = 500;
            }
            Behaviour::Foreign => answered = String::from("another"),
            Behaviour::Refuse => {}
        }
        response
            .headers
            .insert(Arc::from("request-id"), Arc::from(answered.as_str()));
        Ok(response)
    }
}

/// Exponentially distributed time with a mean, in microseconds.
pub fn exponential(sim: &SimRuntime, mean_us: u64) -> u64 {
    let uniform = (sim.below(1 << 32) + 1) as f64 / (1u64 << 32) as f64;
    (-uniform.ln() * mean_us as f64) as u64
}

struct Busy<'a>(&'a FakeExecutor);

impl Busy<'_> {
    fn new(executor: &FakeExecutor) -> Busy<'_> {
        let in_use = executor.in_use.get() + 1;
        executor.in_use.set(in_use);
        executor
            .most_in_use
            .set(executor.most_in_use.get().max(in_use));
        Busy(executor)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}

impl Targets for StandIn {
    fn send(
        &self,
        address: SocketAddr,
        _service: &ServiceName,
        _connections: u32,
        request: QuickRequest,
        within: Millis,
    ) -> PortFuture<'_, ports::Result<QuickResponse>> {
        let index = usize::from(address.port() - 7_000);
        let stand_in = Rc::new(StandIn {
            world: self.world.clone(),
            index: self.index,
        });
        let run = stand_in.run(index, request.id).boxed_local();
        let sim = self.world.sim.clone();
        let stuck = self.world.executors[index].behaviour.get() == Behaviour::Stuck;
        let within = if stuck { Millis(1 << 40) } else { within };
        Box::pin(async move {
            match select(run, Box::pin(sim.sleep(within))).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(PortError::Unknown),
            }
        })
    }
}

impl Ownership for StandIn {
    fn right(&self, unit: &Unit) -> Option<Right> {
        let owns = self.world.owners.borrow().get(unit) == Some(&self.index);
        (owns && self.world.rights.get()).then_some(Right {
            term: Term(1),
            until_ms: MonoMs(u64::MAX),
        })
    }
    fn owner(&self, unit: &Unit) -> Option<NodeName> {
        self.world
            .owners
            .borrow()
            .get(unit)
            .map(|index| node_name(*index))
    }
    fn owned(&self) -> Vec<(Unit, Term)> {
        let owners = self.world.owners.borrow();
        let own = owners.iter().filter(|(_, owner)| **owner == self.index);
        own.map(|(unit, _)| (unit.clone(), Term(1))).collect()
    }
    fn was_released(&self, _unit: &Unit) -> bool {
        true
    }
}

impl Configuration for StandIn {
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>> {
        let document = self.world.document.borrow().clone();
        (document.service == *service).then_some(document)
    }
    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        vec![(self.world.document.borrow().clone(), Revision(1))]
    }
    fn hosts(&self) -> Rc<HostList> {
        self.world.hosts.borrow().clone()
    }
    fn may_start_in(&self, _data_centre: &DataCentre) -> bool {
        true
    }
    fn is_out(&self, _data_centre: &DataCentre) -> bool {
        false
    }
    fn publish(
        &self,
        _service: ServiceName,
        _expected: Revision,
        _text: Arc<str>,
    ) -> PortFuture<'_, PublishResult> {
        pending().boxed_local()
    }
}

impl Calls for StandIn {
    fn call(
        &self,
        node: &NodeName,
        request: Request,
        within: Millis,
    ) -> PortFuture<'_, std::result::Result<Response, CallError>> {
        let from = node_name(self.index);
        let to: usize = node.as_str()[1..].parse().expect("node index");
        self.world.count(match request {
            Request::Forward(_) => "forward",
            Request::Pull(..) => "pull",
            _ => "other",
        });
        let world = self.world.clone();
        let own = self.index;
        let exchange = async move {
            if own != to {
                if world.is_cut(own, to) {
                    return Err(CallError::NotSent);
                }
                world.travel().await;
            }
            let target = world.nodes.borrow()[to].clone();
            let reply = target.handle(&from, &request).expect("a request call");
            // The peer goes on when the caller gives up.
            let mut response = {
                let (sender, receiver) = futures_channel::oneshot::channel();
                world.cores.borrow()[to]
                    .ports
                    .runtime
                    .spawn(Box::pin(async move {
                        let _ = sender.send(reply.await);
                    }));
                receiver.await.map_err(|_| CallError::NoReply)?
            };
            if own != to {
                world.travel().await;
                if world.is_cut(own, to) || world.lose_replies.get() {
                    return Err(CallError::NoReply);
                }
            }
            if let (true, Response::Ran(answer, _)) = (world.confuse_answers.get(), &mut response) {
                answer
                    .headers
                    .insert(Arc::from("request-id"), Arc::from("another"));
            }
            Ok(response)
        };
        let sim = self.world.sim.clone();
        Box::pin(async move {
            match select(Box::pin(exchange), Box::pin(sim.sleep(within))).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(CallError::NoReply),
            }
        })
    }
    fn peers(&self) -> Vec<PeerState> {
        let count = self.world.nodes.borrow().len();
        let others = (0..count).filter(|index| *index != self.index);
        let beats = self.world.beats.borrow();
        let states = others.map(|index| {
            let beat = beats.get(&(self.index, index));
            PeerState {
                node: node_name(index),
                data_centre: data_centre(),
                heard_ms: beat.map(|beat| beat.0),
                heartbeat: beat.map(|beat| beat.1.clone()),
            }
        });
        states.collect()
    }
    fn beat_now(&self) {
        self.world.beat(self.index);
    }
}

impl Journal for StandIn {
    fn open(
        &self,
        _stream: Stream,
        _term: Term,
    ) -> PortFuture<'_, std::result::Result<Vec<Record>, Fenced>> {
        ready(Ok(Vec::new())).boxed_local()
    }
    fn append(
        &self,
        _stream: Stream,
        _term: Term,
        records: Vec<Record>,
        within: Option<Millis>,
    ) -> PortFuture<'_, AppendResult> {
        let world = self.world.clone();
        Box::pin(async move {
            world.sim.sleep(Millis(20)).await;
            if world.unsettled.get() && within.is_some() {
                return Err(AppendError::Unsettled);
            }
            while !world.log_up.get() {
                if within.is_some() {
                    return Err(AppendError::NotAppended);
                }
                world.sim.sleep(Millis(100)).await;
            }
            world.records.borrow_mut().extend(records);
            Ok(Offset(0))
        })
    }
    fn log_is_up(&self) -> bool {
        self.world.log_up.get()
    }
}

impl Log for StandIn {
    fn append(&self, _stream: Stream, _record: Bytes) -> PortFuture<'_, ports::Result<Offset>> {
        pending().boxed_local()
    }
    fn read(
        &self,
        _stream: Stream,
        _from: Offset,
        _wait: Millis,
    ) -> PortFuture<'_, ports::Result<ReadBatch>> {
        pending().boxed_local()
    }
}

impl Hosts for StandIn {
    fn fetch(&self) -> PortFuture<'_, ports::Result<HostList>> {
        pending().boxed_local()
    }
}

impl ports::Peers for StandIn {
    fn connect(&self, _peer: &PeerAddress) -> PortFuture<'_, ports::Result<PeerLink>> {
        pending().boxed_local()
    }
}

impl Workers for StandIn {
    fn start(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _order: StartTask,
    ) -> PortFuture<'_, ports::Result<StartReply>> {
        pending().boxed_local()
    }
    fn renew(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _renew: Renew,
    ) -> PortFuture<'_, ports::Result<WorkerReport>> {
        pending().boxed_local()
    }
    fn stop(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _task: TaskId,
        _attempt: Attempt,
        _checkpoint: bool,
    ) -> PortFuture<'_, ports::Result<()>> {
        pending().boxed_local()
    }
    fn throttle(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _task: TaskId,
        _attempt: Attempt,
        _on: bool,
    ) -> PortFuture<'_, ports::Result<()>> {
        pending().boxed_local()
    }
}
