//! Cluster of request parts on one virtual clock, with fakes for everything else.

#![allow(dead_code, unreachable_pub, missing_docs)]

mod fakes;

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

use fakes::Fakes;

/// One-way network delay between two nodes; there is none between a node and an executor.
pub const ONE_WAY_DELAY_US: u64 = 1_000;

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
    /// Answers after this time in microseconds.
    Fixed(u64),
    /// Answers after an exponentially distributed time with this mean, in microseconds.
    Exponential(u64),
    /// Accepts no connection.
    Refuse,
    /// Runs the request without answering, so that the send times out.
    NeverAnswer,
    /// Runs the request; its answer is lost immediately.
    LoseAnswer,
    /// Answers with status 500 immediately.
    Error,
    /// Answers immediately with the identifier of another request.
    WrongId,
    /// Violates the port's contract: answers with a code that means "not run".
    FalseRefusal,
    /// Violates the port's contract: never returns, not even after the timeout.
    Hang,
}

/// Executor that records the requests that reach it.
pub struct FakeExecutor {
    pub behaviour: Cell<Behaviour>,
    pub in_use: Cell<u32>,
    pub peak_in_use: Cell<u32>,
    pub runs: RefCell<Vec<RequestId>>,
}

type ReceivedHeartbeat = (MonoMs, Rc<Heartbeat>);

/// State that all nodes share.
pub struct SimCluster {
    pub sim: SimRuntime,
    pub nodes: RefCell<Vec<Rc<Requests>>>,
    pub stopping: RefCell<Vec<Rc<Cell<bool>>>>,
    pub cores: RefCell<Vec<Rc<Core>>>,
    pub executors: Vec<FakeExecutor>,
    pub document: RefCell<Rc<Document>>,
    pub hosts: RefCell<Rc<HostList>>,
    pub owners: RefCell<BTreeMap<Unit, usize>>,
    pub leases_valid: Cell<bool>,
    pub log_up: Cell<bool>,
    pub append_outcome_unknown: Cell<bool>,
    pub records: RefCell<Vec<Record>>,
    pub partitioned: RefCell<Vec<(usize, usize)>>,
    pub calls: RefCell<HashMap<&'static str, u64>>,
    pub lose_replies: Cell<bool>,
    /// Whether the answers of peers carry the identifier of another request.
    pub wrong_answer_ids: Cell<bool>,
    heartbeats: RefCell<HashMap<(usize, usize), ReceivedHeartbeat>>,
    max_runs_kept: usize,
}

pub struct Options {
    pub seed: u64,
    pub nodes: usize,
    pub executors: usize,
    pub slots: u32,
    pub on_violation: OnViolation,
    /// Extra sends (retries and hedges) permitted, in percent of the requests.
    pub retry_percent: u32,
    /// Whether executors record the identifiers of requests.
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

impl SimCluster {
    pub fn new(options: &Options) -> Rc<SimCluster> {
        let executors = (0..options.executors).map(|_| FakeExecutor {
            behaviour: Cell::new(Behaviour::Fixed(20_000)),
            in_use: Cell::new(0),
            peak_in_use: Cell::new(0),
            runs: RefCell::default(),
        });
        let cluster = Rc::new(SimCluster {
            sim: SimRuntime::new(options.seed),
            nodes: RefCell::default(),
            stopping: RefCell::default(),
            cores: RefCell::default(),
            executors: executors.collect(),
            document: RefCell::new(Rc::new(document(options))),
            hosts: RefCell::default(),
            owners: RefCell::default(),
            leases_valid: Cell::new(true),
            log_up: Cell::new(true),
            append_outcome_unknown: Cell::new(false),
            records: RefCell::default(),
            partitioned: RefCell::default(),
            calls: RefCell::default(),
            lose_replies: Cell::new(false),
            wrong_answer_ids: Cell::new(false),
            heartbeats: RefCell::default(),
            max_runs_kept: if options.keep_runs { usize::MAX } else { 0 },
        });
        cluster.set_leaving(&[]);
        for index in 0..options.executors {
            let unit = Unit::Target(service(), executor_name(index));
            cluster
                .owners
                .borrow_mut()
                .insert(unit, index % options.nodes);
        }
        for queue in 0..16 {
            let owner = usize::from(queue) % options.nodes;
            cluster
                .owners
                .borrow_mut()
                .insert(Unit::Queue(QueueIndex(queue)), owner);
        }
        for index in 0..options.nodes {
            cluster.add_node(index, options);
        }
        cluster
    }

    fn add_node(self: &Rc<SimCluster>, index: usize, options: &Options) {
        let fakes = Rc::new(Fakes {
            cluster: self.clone(),
            index,
        });
        let stopping = Rc::new(Cell::new(false));
        let core = Rc::new(core(self, &fakes, options, &stopping));
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
        let cluster = self.clone();
        core.ports.runtime.spawn(Box::pin(async move {
            loop {
                cluster.send_heartbeat(index);
                let runtime = cluster.cores.borrow()[index].ports.runtime.clone();
                runtime.sleep(Millis(500)).await;
            }
        }));
    }

    /// Transfers the ownership of an executor to a node.
    pub fn set_owner(&self, executor: usize, node: usize) {
        let unit = Unit::Target(service(), executor_name(executor));
        self.owners.borrow_mut().insert(unit, node);
    }

    /// Replaces the host list by one in which exactly these executors are leaving.
    pub fn set_leaving(&self, leaving: &[usize]) {
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

    /// Sends a request to a node and waits for the response.
    pub fn execute(self: &Rc<SimCluster>, node: usize, request: QuickRequest) -> QuickResponse {
        let requests = self.nodes.borrow()[node].clone();
        self.sim
            .block_on(async move { requests.execute(request).await })
    }

    /// Sends a request in the background; the cell receives the response.
    pub fn spawn_request(
        self: &Rc<SimCluster>,
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

    fn send_heartbeat(self: &Rc<SimCluster>, from: usize) {
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
        let cluster = self.clone();
        self.count("beat");
        self.sim.spawn(0, async move {
            cluster.one_way_delay().await;
            let count = cluster.nodes.borrow().len();
            for to in (0..count).filter(|to| *to != from) {
                if !cluster.is_partitioned(from, to) {
                    let now = cluster.cores.borrow()[to].ports.runtime.now();
                    let received = (now, heartbeat.clone());
                    cluster.heartbeats.borrow_mut().insert((to, from), received);
                }
            }
        });
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let partitioned = self.partitioned.borrow();
        partitioned.contains(&(a, b)) || partitioned.contains(&(b, a))
    }

    fn count(&self, kind: &'static str) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    async fn one_way_delay(&self) {
        let at_us = self.sim.now_us() + ONE_WAY_DELAY_US;
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
    cluster: &Rc<SimCluster>,
    fakes: &Rc<Fakes>,
    options: &Options,
    stopping: &Rc<Cell<bool>>,
) -> Core {
    let name = node_name(fakes.index);
    Core {
        ports: Ports {
            runtime: cluster.sim.node_runtime(&name),
            log: fakes.clone(),
            hosts: fakes.clone(),
            workers: fakes.clone(),
            targets: fakes.clone(),
            peers: fakes.clone(),
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
        ownership: fakes.clone(),
        configuration: fakes.clone(),
        calls: fakes.clone(),
        journal: fakes.clone(),
        invariants: Rc::new(Invariants::new(options.on_violation)),
        metrics: Rc::new(Metrics::new()),
        explanations: Rc::new(Explanations::new(name)),
        stopping: stopping.clone(),
    }
}
