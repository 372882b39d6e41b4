//! Deployment of nodes over an in-memory store, workers and connections, on virtual time.

mod fleet;
mod peers;
mod store;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_policy::workflow::Listing;
use hemlocksaddle_shard::{
    Node, Settings,
    frontend::{StateLookup, Submitted},
    node::Ports,
    ports::{Formats, OperatorRecord, Record},
};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    name::{DataCentre, NodeName},
    resources::Resources,
    workflow::{Catalogue, Queue, State, Step, Workflow, WorkflowId},
};

use self::peers::FakePeers;
pub(crate) use self::{
    fleet::FakeFleet,
    store::{FakeStore, NodeStore},
};

/// Longest lease of a worker.
pub(crate) const LEASE_MS: u64 = 6_000;

/// Nodes by the address that peers use.
type Registry = Rc<RefCell<BTreeMap<SocketAddr, Rc<Node>>>>;

pub(crate) struct Deployment {
    pub(crate) sim: SimRuntime,
    pub(crate) store: Rc<FakeStore>,
    pub(crate) fleet: Rc<FakeFleet>,
    nodes: Registry,
    stores: RefCell<BTreeMap<usize, Rc<NodeStore>>>,
    catalogue: Catalogue,
}

/// Formats in which the fake store holds others' records: the key says what it is.
struct FakeFormats {
    catalogue: Catalogue,
    workers: usize,
}

impl Formats for FakeFormats {
    fn operator_record(&self, record: &Record) -> Result<OperatorRecord, String> {
        match &*record.key {
            "config" => Ok(OperatorRecord::Catalogue(self.catalogue.clone())),
            other => Err(format!("unknown key {other}")),
        }
    }

    fn listing(&self, record: &Record) -> Result<Listing, String> {
        let number: usize = record.key.parse().map_err(|_| "not a worker")?;
        (number < self.workers)
            .then(|| listing(number))
            .ok_or_else(|| "not a worker".to_owned())
    }
}

pub(crate) fn listing(number: usize) -> Listing {
    Listing {
        name: number.to_string().into(),
        born_ms: 1,
        address: SocketAddr::from(([127, 0, 1, 1], 1_000 + number as u16)),
        pool: "pool".into(),
        data_centre: DataCentre::try_from("a").expect("name"),
        labels: vec!["kind".into(), "rack".into()],
        capacity: Resources {
            cpu_milli: 8_000,
            memory_mb: 8_000,
            accelerators: 0,
        },
        draining: false,
        remaining_ms: None,
    }
}

fn catalogue() -> Catalogue {
    Catalogue {
        version: 1,
        queues: vec![Queue {
            name: "queue".into(),
            host: "host".into(),
            path_prefix: "/q/".into(),
            pool: "pool".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.5,
            target_completion_ms: Millis(250),
            timeout_ms: Millis(3_000),
        }],
        pools: Vec::new(),
        max_body_bytes: 1 << 18,
    }
}

impl Deployment {
    /// Nodes and workers, all started at once.
    pub(crate) fn new(seed: u64, nodes: usize, workers: usize) -> Deployment {
        let deployment = Deployment::without_nodes(seed, workers);
        (0..nodes).for_each(|number| deployment.start(number));
        deployment
    }

    /// Workers and the store; nodes are started one by one.
    pub(crate) fn without_nodes(seed: u64, workers: usize) -> Deployment {
        let sim = SimRuntime::new(seed);
        let deployment = Deployment {
            store: FakeStore::new(sim.clone()),
            fleet: FakeFleet::new(sim.clone(), workers),
            nodes: Registry::default(),
            stores: RefCell::default(),
            catalogue: catalogue(),
            sim,
        };
        deployment.store.put_config();
        (0..workers).for_each(|number| deployment.store.put_worker(number));
        deployment
    }

    /// Starts a node, or starts it again after it was killed.
    pub(crate) fn start(&self, number: usize) {
        self.start_with_share(number, 0.25);
    }

    /// Starts a node that has a share of a core.
    pub(crate) fn start_with_share(&self, number: usize, cpu_share: f64) {
        let name = node_name(number);
        let runtime = self.sim.node_runtime(&name);
        let settings = Settings {
            node: name,
            data_centre: DataCentre::try_from("a").expect("name"),
            peer_address: address(number),
            cpu_share,
            lease_ms: Millis(LEASE_MS),
            keep_ended_ms: Millis(120_000),
        };
        let store = Rc::new(NodeStore {
            store: self.store.clone(),
            turned_away: Cell::new(false),
        });
        self.stores.borrow_mut().insert(number, store.clone());
        let ports = Ports {
            runtime: runtime.clone(),
            store: store.clone(),
            formats: Rc::new(FakeFormats {
                catalogue: self.catalogue.clone(),
                workers: self.fleet.count(),
            }),
            fleet: self.fleet.clone(),
        };
        let node = Node::new(settings, ports).expect("metrics");
        node.set_peers(Rc::new(FakePeers::new(self.nodes.clone())));
        node.start();
        self.nodes.borrow_mut().insert(address(number), node);
    }

    /// Ends a node's process without warning.
    pub(crate) fn kill(&self, number: usize) {
        self.nodes.borrow_mut().remove(&address(number));
        self.sim.kill(&node_name(number));
    }

    /// Lets the store turn a node away while it serves the others.
    pub(crate) fn turn_away(&self, number: usize) {
        self.stores.borrow()[&number].turned_away.set(true);
    }

    /// Stops a node's process for a while.
    pub(crate) fn pause(&self, number: usize, span: Millis) {
        self.sim.pause(&node_name(number), span);
    }

    pub(crate) fn node(&self, number: usize) -> Option<Rc<Node>> {
        self.nodes.borrow().get(&address(number)).cloned()
    }

    /// Number of a node that owns the shard.
    pub(crate) fn owner(&self) -> Option<usize> {
        let count = self.nodes.borrow().len() + 4;
        (0..count).find(|&number| self.node(number).is_some_and(|node| node.owned() > 0))
    }

    /// Runs until a node owns the shard and is ready.
    pub(crate) fn settle(&self) {
        self.sim.run_for(Millis(6_000));
        assert!(self.owner().is_some(), "no node owns the shard");
    }

    /// Submits a workflow at a node and waits for the answer.
    pub(crate) fn submit(&self, at: usize, id: u64, steps: Vec<Step>) -> Submitted {
        let node = self.node(at).expect("node");
        self.sim
            .block_on(node.frontend.submit(WorkflowId(id), workflow(steps)))
    }

    pub(crate) fn cancel(&self, at: usize, id: u64) -> Submitted {
        let node = self.node(at).expect("node");
        self.sim.block_on(node.frontend.cancel(WorkflowId(id)))
    }

    pub(crate) fn state(&self, at: usize, id: u64) -> StateLookup {
        let node = self.node(at).expect("node");
        self.sim.block_on(node.frontend.state(WorkflowId(id)))
    }

    /// Asks until a workflow has ended, at most for the span.
    pub(crate) fn wait_for_end(&self, at: usize, id: u64, span: Millis) -> Option<State> {
        let until = self.sim.now() + span;
        while self.sim.now() < until {
            if let StateLookup::State(state) = self.state(at, id)
                && state.is_final()
            {
                return Some(state);
            }
            self.sim.run_for(Millis(100));
        }
        None
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.sim.close();
    }
}

fn node_name(number: usize) -> NodeName {
    NodeName::try_from(format!("node-{number}").as_str()).expect("name")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))
}

/// Step of equal tasks that run for a second.
/// Workflow of the test queue.
pub(crate) fn workflow(steps: Vec<Step>) -> Workflow {
    Workflow {
        queue: "queue".into(),
        text: "text".into(),
        steps,
        schedule: None,
        received_ms: WallMs(0),
    }
}

pub(crate) fn step(tasks: u32) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_milli: 1_000,
            memory_mb: 100,
            accelerators: 0,
        },
        expected_run_ms: 1_000,
        ..Step::default()
    }
}
