//! Deployment of nodes on virtual time, with an in-memory store, fake workers and connections.

mod fleet;
pub(crate) mod kept_lines;
mod node_fleet;
mod peers;
pub(crate) mod store;
mod tenants;
mod unanswered;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use hemlocksaddle_fakes::runtime::{ENVIRONMENT, SimRuntime};
use hemlocksaddle_policy::workflow::Listing;
use hemlocksaddle_shard::{
    Node, Settings,
    frontend::{StateLookup, Submitted},
    node::Ports,
    ports::{Formats, OperatorRecord, Record, Stream},
};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    name::{DataCentre, NodeName},
    resources::Resources,
    workflow::{Catalogue, ClientLimits, Pool, Queue, Schedule, State, Step, Workflow, WorkflowId},
};

use self::peers::{Connections, FakePeers};
pub(crate) use self::{
    fleet::FakeFleet,
    store::{FakeStore, NodeStore},
};

/// Bandwidth of a link that carries the calls to all workers of a test.
const FAST_LINK_KBPS: u32 = 1_000_000;

/// Maximum lease of a worker in milliseconds.
pub(crate) const LEASE_MS: u64 = 6_000;

/// Processors that each task needs, in thousandths of a core.
pub(crate) const TASK_CPU_MILLI: u64 = 1_000;

/// Outcome of a submission; `None` while there is none.
pub(crate) type Outcome = Rc<Cell<Option<Submitted>>>;

/// Nodes by peer address.
type Registry = Rc<RefCell<BTreeMap<SocketAddr, Rc<Node>>>>;

pub(crate) struct Deployment {
    pub(crate) sim: SimRuntime,
    pub(crate) store: Rc<FakeStore>,
    pub(crate) fleet: Rc<FakeFleet>,
    nodes: Registry,
    stores: RefCell<BTreeMap<usize, Rc<NodeStore>>>,
    /// Nodes whose requests to others are lost.
    loses_requests: RefCell<BTreeMap<usize, Rc<Cell<bool>>>>,
    pub(crate) connections: Rc<Connections>,
    /// Setting of the nodes that are started from now on.
    pub(crate) reservations: Cell<bool>,
    /// Setting of the nodes that are started from now on.
    pub(crate) copies: Cell<bool>,
    catalogue: Rc<RefCell<Catalogue>>,
}

/// Longest key of a record that the platform's store takes.
pub(crate) const LONGEST_KEY_BYTES: usize = 255;

/// Decoder of operator and worker records in the fake store; the key alone identifies them.
struct FakeFormats {
    catalogue: Rc<RefCell<Catalogue>>,
    fleet: Rc<FakeFleet>,
}

impl Formats for FakeFormats {
    fn operator_record(&self, record: &Record) -> Result<OperatorRecord, String> {
        match &*record.key {
            "config" => Ok(OperatorRecord::Catalogue(self.catalogue.borrow().clone())),
            other => Err(format!("unknown key {other}")),
        }
    }

    fn listing(&self, record: &Record) -> Result<Listing, String> {
        if let Some(odd) = odd_listing(&record.key) {
            return Ok(odd);
        }
        let number: usize = record.key.parse().map_err(|_| "not a worker")?;
        if number >= self.fleet.count() {
            return Err("not a worker".to_owned());
        }
        let (born_ms, cpu_milli) = self.fleet.listed(number);
        let mut listing = listing(number);
        listing.born_ms = born_ms;
        listing.capacity.cpu_milli = cpu_milli;
        listing.draining = record.value.as_deref() == Some(store::DRAINING);
        Ok(listing)
    }
}

/// Listing of another writer, which can be decoded, by the key of its record.
fn odd_listing(key: &str) -> Option<Listing> {
    let mut listing = listing(0);
    listing.name = key.into();
    match key.split_once(':')?.0 {
        "long name" => listing.name = "n".repeat(LONGEST_KEY_BYTES).into(),
        "many labels" => listing.labels = vec!["label".into(); 60_000],
        "large numbers" => {
            listing.capacity = Resources {
                cpu_milli: u64::MAX,
                memory_mb: u64::MAX,
                accelerators: u64::MAX,
            };
            listing.remaining_ms = Some(Millis(u64::MAX));
        }
        "late start" => listing.born_ms = u64::MAX,
        _ => return None,
    }
    Some(listing)
}

pub(crate) fn listing(number: usize) -> Listing {
    Listing {
        name: number.to_string().into(),
        born_ms: 1,
        address: SocketAddr::from(([127, 0, 1, 1], 1_000 + number as u16)),
        pool: "pool".into(),
        data_centre: DataCentre::try_from("a").expect("name"),
        labels: vec!["kind".into(), format!("rack-{}", number / 3).into()],
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
            public: false,
        }],
        pools: vec![Pool {
            name: "pool".into(),
            admission_check: false,
            standby: false,
        }],
        max_body_bytes: 1 << 18,
        client_limits: ClientLimits::default(),
        tenants: Vec::new(),
    }
}

impl Deployment {
    /// Creates a deployment whose nodes all start at once.
    pub(crate) fn new(seed: u64, nodes: usize, workers: usize) -> Deployment {
        let deployment = Deployment::without_nodes(seed, workers);
        (0..nodes).for_each(|number| deployment.start(number));
        deployment
    }

    /// Creates the store and workers; the test starts the nodes.
    pub(crate) fn without_nodes(seed: u64, workers: usize) -> Deployment {
        let sim = SimRuntime::new(seed);
        let store = FakeStore::new(sim.clone());
        let deployment = Deployment {
            fleet: FakeFleet::new(sim.clone(), store.clone(), workers),
            store,
            nodes: Registry::default(),
            stores: RefCell::default(),
            loses_requests: RefCell::default(),
            connections: Rc::default(),
            reservations: Cell::new(false),
            copies: Cell::new(false),
            catalogue: Rc::new(RefCell::new(catalogue())),
            sim,
        };
        deployment.store.put_config();
        (0..workers).for_each(|number| deployment.store.put_worker(number));
        deployment
    }

    /// Changes the configuration and writes it with the next version.
    pub(crate) fn configure(&self, change: impl FnOnce(&mut Catalogue)) {
        let mut catalogue = self.catalogue.borrow_mut();
        change(&mut catalogue);
        catalogue.version += 1;
        drop(catalogue);
        self.store.put_config();
    }

    /// Starts a node, or restarts it after it was killed.
    pub(crate) fn start(&self, number: usize) {
        self.start_with_share(number, 0.25);
    }

    /// Starts a node with a share of a core.
    pub(crate) fn start_with_share(&self, number: usize, cpu_share: f64) {
        self.start_with(number, cpu_share, FAST_LINK_KBPS);
    }

    /// Starts a node with a share of a core and a link of the given bandwidth.
    pub(crate) fn start_with(&self, number: usize, cpu_share: f64, link_kbps: u32) {
        let name = node_name(number);
        let runtime = self.sim.node_runtime(&name);
        let settings = Settings {
            node: name,
            data_centre: DataCentre::try_from("a").expect("name"),
            peer_address: address(number),
            cpu_share,
            link_kbps,
            lease_ms: Millis(self.fleet.max_lease_ms.get()),
            keep_ended_ms: Millis(120_000),
            reservations: self.reservations.get(),
            copies: self.copies.get(),
            max_record_bytes: self.store.max_record_bytes.get(),
            max_append_bytes: store::RECORDS_PER_APPEND * self.store.max_record_bytes.get(),
        };
        let store = Rc::new(NodeStore {
            store: self.store.clone(),
            rejects_calls: Cell::new(false),
            page_ms: Cell::new(0),
            is_silent: Cell::new(false),
            silent_stream: Cell::new(None),
            answer_ms: Cell::new(0),
            record_us: Cell::new(0),
            link_free_at_us: Cell::new(0),
            worker_records_read: Cell::new(0),
            worker_reads: Cell::new(0),
        });
        self.stores.borrow_mut().insert(number, store.clone());
        let ports = Ports {
            runtime: runtime.clone(),
            store: store.clone(),
            formats: Rc::new(FakeFormats {
                catalogue: self.catalogue.clone(),
                fleet: self.fleet.clone(),
            }),
            fleet: self.fleet.of_node(number),
        };
        let node = Node::new(settings, ports).expect("metrics");
        let loses_requests = Rc::new(Cell::new(false));
        node.set_peers(Rc::new(FakePeers::new(
            self.nodes.clone(),
            loses_requests.clone(),
            self.sim.clone(),
            self.connections.clone(),
        )));
        self.loses_requests
            .borrow_mut()
            .insert(number, loses_requests);
        node.start();
        self.nodes.borrow_mut().insert(address(number), node);
    }

    /// Kills a node's process.
    pub(crate) fn kill(&self, number: usize) {
        self.nodes.borrow_mut().remove(&address(number));
        self.sim.kill(&node_name(number));
    }

    /// Makes the store reject all calls of a node while it serves the others.
    pub(crate) fn reject_store_calls(&self, number: usize) {
        self.stores.borrow()[&number].rejects_calls.set(true);
    }

    /// Makes the store lose all calls of a node and their answers, or ends this.
    pub(crate) fn set_store_silent(&self, number: usize, is_silent: bool) {
        self.stores.borrow()[&number].is_silent.set(is_silent);
    }

    /// Loses the answers to a node's reads of a stream; `None` ends this.
    pub(crate) fn set_stream_silent(&self, number: usize, stream: Option<Stream>) {
        self.stores.borrow()[&number].silent_stream.set(stream);
    }

    /// Sets the time that an answer of the store takes to a node.
    pub(crate) fn set_answer_time(&self, number: usize, answer: Millis) {
        self.stores.borrow()[&number].answer_ms.set(answer.0);
    }

    /// The store as a node sees it.
    pub(crate) fn store_of(&self, number: usize) -> Rc<NodeStore> {
        self.stores.borrow()[&number].clone()
    }

    /// Sets the time that a page of newest records takes on a node's link.
    pub(crate) fn set_page_time(&self, number: usize, page: Millis) {
        self.stores.borrow()[&number].page_ms.set(page.0);
    }

    /// Loses the requests of a node to others from now on; it still answers theirs.
    pub(crate) fn lose_requests(&self, number: usize) {
        self.loses_requests.borrow()[&number].set(true);
    }

    /// Suspends a node's process.
    pub(crate) fn pause(&self, number: usize, duration: Millis) {
        self.sim.pause(&node_name(number), duration);
    }

    /// Suspends the machine of a node, which only its wall clock counts.
    pub(crate) fn suspend(&self, number: usize, duration: Millis) {
        self.sim.suspend(&node_name(number), duration);
    }

    pub(crate) fn node(&self, number: usize) -> Option<Rc<Node>> {
        self.nodes.borrow().get(&address(number)).cloned()
    }

    /// Returns the number of a node that owns the shard.
    pub(crate) fn owner(&self) -> Option<usize> {
        let count = self.nodes.borrow().len() + 4;
        (0..count).find(|&number| self.node(number).is_some_and(|node| node.owned() > 0))
    }

    /// Returns the number of the node that has claimed a shard.
    pub(crate) fn owner_of(&self, shard: u32) -> Option<usize> {
        let key = format!("shard/{shard}");
        let claim = self.store.newest_value_of(Stream::Claims, shard, &key)?;
        let claim: BTreeMap<String, ciborium::Value> =
            ciborium::from_reader(claim.as_ref()).ok()?;
        let name = claim.get("node")?.as_text()?.to_owned();
        (0..16).find(|&number| node_name(number).as_str() == name)
    }

    /// Runs for the time within which a node must have claimed the shard, and checks that one has.
    pub(crate) fn wait_for_owner(&self) {
        self.sim.run_for(Millis(6_000));
        assert!(self.owner().is_some(), "no node owns the shard");
    }

    /// Submits a workflow at a node and returns the outcome.
    pub(crate) fn submit(&self, at: usize, id: u64, steps: Vec<Step>) -> Submitted {
        let node = self.node(at).expect("node");
        self.sim
            .block_on(node.frontend.submit(WorkflowId(id), workflow(steps)))
    }

    /// Submits a workflow with a schedule at a node and returns the outcome.
    pub(crate) fn submit_scheduled(
        &self,
        at: usize,
        id: u64,
        steps: Vec<Step>,
        schedule: Schedule,
    ) -> Submitted {
        let node = self.node(at).expect("node");
        let workflow = Workflow {
            schedule: Some(schedule),
            ..workflow(steps)
        };
        let submit = node.frontend.submit(WorkflowId(id), workflow);
        self.sim.block_on(submit)
    }

    /// Submits a workflow at a node, without waiting for the outcome.
    pub(crate) fn submit_in_background(&self, at: usize, id: u64, steps: Vec<Step>) -> Outcome {
        self.submit_workflow_in_background(at, id, workflow(steps))
    }

    fn submit_workflow_in_background(&self, at: usize, id: u64, workflow: Workflow) -> Outcome {
        let outcome = Outcome::default();
        if let Some(node) = self.node(at) {
            let outcome = outcome.clone();
            self.sim.spawn(ENVIRONMENT, async move {
                let submitted = node.frontend.submit(WorkflowId(id), workflow).await;
                outcome.set(Some(submitted));
            });
        }
        outcome
    }

    pub(crate) fn cancel(&self, at: usize, id: u64) -> Submitted {
        let node = self.node(at).expect("node");
        let caller = self.caller_of(&node, id);
        self.sim
            .block_on(node.frontend.cancel(WorkflowId(id), &caller))
    }

    pub(crate) fn state(&self, at: usize, id: u64) -> StateLookup {
        let node = self.node(at).expect("node");
        let caller = self.caller_of(&node, id);
        self.sim
            .block_on(node.frontend.state(WorkflowId(id), &caller))
    }

    /// Polls until a workflow has ended and returns its final state; `None` after the timeout.
    pub(crate) fn wait_for_end(&self, at: usize, id: u64, timeout: Millis) -> Option<State> {
        let until = self.sim.now() + timeout;
        while self.sim.now() < until {
            match self.state(at, id) {
                StateLookup::State(state) if state.is_final() => return Some(state),
                StateLookup::Failed(_) => return Some(State::Failed),
                _ => {}
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

/// Returns a workflow of the test queue.
pub(crate) fn workflow(steps: Vec<Step>) -> Workflow {
    Workflow {
        queue: "queue".into(),
        text: "text".into(),
        steps,
        schedule: None,
        received_ms: WallMs(0),
        tenant: None,
    }
}

/// Returns a step of equal tasks that run for a second.
pub(crate) fn step(tasks: u32) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_milli: TASK_CPU_MILLI,
            memory_mb: 100,
            accelerators: 0,
        },
        expected_run_ms: 1_000,
        ..Step::default()
    }
}
