//! Several request parts on one virtual clock, with stand-ins for everything else.

#![allow(dead_code, unreachable_pub, missing_docs)]

mod stand_in;

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

use stand_in::StandIn;

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
                requests.idempotency().reset(queue, Term(1));
                requests.idempotency().finish_replay(queue);
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
            .block_on(async move { requests.execute(request).await })
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
            let response = requests.execute(request).await;
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
