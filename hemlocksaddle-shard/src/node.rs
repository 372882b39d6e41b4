//! Node of a deployment: follows the store, owns shards and answers peers.

mod store_calls;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_node::ports::{PeerLink, Peers, PortFuture, Runtime};
use hemlocksaddle_policy::{congestion::append_bytes, shutdown::Shutdown, take_over::ClockReading};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    name::{DataCentre, NodeName},
    workflow::{ShardRequest, ShardResponse},
};
use serde_json::{Value, json};

use crate::{
    claims::Claims,
    configuration::Configuration,
    delegate::{Delegate, offer_delegation, offer_to_owner},
    event::{Event, Log},
    failure_detector::probe_owners,
    frontend::Frontend,
    links::{Links, RequestHandler},
    metrics::Metrics,
    owner::Owner,
    ports::{Fleet, Formats, Store},
    retries::Retries,
};

/// Duration of a store failure after which the node reports itself as not ready.
const UNREADY_AFTER_MS: Millis = Millis(700);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node.
    pub node: NodeName,
    /// Data centre that the node is in.
    pub data_centre: DataCentre,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Share of a core that the node may use; 1.0 is a whole core.
    pub cpu_share: f64,
    /// Bandwidth of the node's link in kbit/s.
    pub link_kbps: u32,
    /// Longest lease of a worker.
    pub lease_ms: Millis,
    /// Retention time of ended workflows.
    pub keep_ended_ms: Millis,
    /// Whether owners reserve room for tasks that fit nowhere.
    pub reservations: bool,
    /// Whether owners make speculative copies of tasks of steps that allow them.
    pub copies: bool,
    /// Largest record that the store takes, with its key.
    pub max_record_bytes: usize,
    /// Largest append that the store takes.
    pub max_append_bytes: usize,
}

impl Settings {
    /// Share of a core that the node may use, in thousandths.
    pub(crate) fn cpu_milli(&self) -> u32 {
        (self.cpu_share * 1_000.0).round() as u32
    }

    /// Largest append of several records that the store takes and that does not occupy the node's link for long.
    pub(crate) fn append_bytes(&self) -> usize {
        append_bytes(self.link_kbps).min(self.max_append_bytes)
    }
}

/// Interfaces (ports) through which a node reaches its environment.
pub struct Ports {
    /// Clock, task spawning and randomness.
    pub runtime: Rc<dyn Runtime>,
    /// Platform's store.
    pub store: Rc<dyn Store>,
    /// Formats of records that operators and workers write.
    pub formats: Rc<dyn Formats>,
    /// Platform's workers.
    pub fleet: Rc<dyn Fleet>,
}

/// Ports, settings, metrics and log, shared by all parts of a node.
pub(crate) struct Env {
    pub(crate) ports: Ports,
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    pub(crate) started_ms: u64,
    log: Log,
    store_failing_since: Cell<Option<MonoMs>>,
    store_latency: Cell<Millis>,
    /// Number of reads that were answered early without records.
    early_answers: Cell<u64>,
}

impl Env {
    pub(crate) fn now(&self) -> MonoMs {
        self.ports.runtime.now()
    }

    pub(crate) fn wall(&self) -> WallMs {
        self.ports.runtime.wall_now()
    }

    pub(crate) fn clocks(&self) -> ClockReading {
        ClockReading {
            mono: self.now(),
            wall: self.wall(),
        }
    }

    pub(crate) async fn sleep(&self, duration: Millis) {
        self.ports.runtime.sleep(duration).await;
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ports.runtime.spawn(Box::pin(task));
    }

    pub(crate) fn event(&self, event: Event, inputs: &Value) {
        self.log.emit(event, self.now(), self.wall(), inputs);
    }
}

/// Owners that run on this node, by shard.
pub(crate) struct Owners {
    owners: RefCell<HashMap<u32, Rc<Owner>>>,
    delegate: Rc<Delegate>,
}

impl Owners {
    /// Answers a request from local state, if this node owns the shard, or carries out a call.
    pub(crate) async fn answer_locally(&self, request: ShardRequest) -> ShardResponse {
        if let ShardRequest::Delegate(shard, call) = request {
            return ShardResponse::Delegated(self.delegate.carry_out(shard, *call).await);
        }
        let owner = self.owners.borrow().get(&request.shard()).cloned();
        match owner {
            Some(owner) => owner.answer(request).await,
            None => ShardResponse::NotOwner,
        }
    }
}

impl RequestHandler for Rc<Owners> {
    fn answer(&self, request: ShardRequest) -> PortFuture<'static, ShardResponse> {
        let owners = self.clone();
        Box::pin(async move { owners.answer_locally(request).await })
    }
}

/// Node of a deployment.
pub struct Node {
    pub(crate) env: Rc<Env>,
    claims: Rc<Claims>,
    configuration: Rc<Configuration>,
    links: Rc<Links>,
    owners: Rc<Owners>,
    retries: Rc<Retries>,
    /// Interface for callers.
    pub frontend: Rc<Frontend>,
}

impl Node {
    /// Creates a node; [`Node::start`] starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be registered.
    pub fn new(settings: Settings, ports: Ports) -> prometheus::Result<Rc<Node>> {
        let started_ms = ports.runtime.wall_now().0;
        let env = Rc::new(Env {
            log: Log::new(settings.node.clone()),
            metrics: Metrics::new()?,
            started_ms,
            store_failing_since: Cell::new(None),
            store_latency: Cell::new(Millis(0)),
            early_answers: Cell::new(0),
            settings,
            ports,
        });
        let claims = Claims::new(env.clone());
        let configuration = Configuration::new(env.clone());
        let links = Links::new(env.clone());
        let owners = Rc::new(Owners {
            owners: RefCell::new(HashMap::new()),
            delegate: Delegate::new(env.clone()),
        });
        let retries = Retries::new(env.clone(), claims.clone());
        let frontend = Frontend::new(
            env.clone(),
            configuration.clone(),
            claims.clone(),
            links.clone(),
            owners.clone(),
            retries.clone(),
        );
        Ok(Rc::new(Node {
            env,
            claims,
            configuration,
            links,
            owners,
            retries,
            frontend,
        }))
    }

    /// Starts all background tasks.
    pub fn start(self: &Rc<Self>) {
        let inputs = json!({
            "data_centre": self.env.settings.data_centre.as_str(),
            "peers_at": self.env.settings.peer_address.to_string(),
            "started_ms": self.env.started_ms,
        });
        self.env.event(Event::Started, &inputs);
        self.env.spawn(self.configuration.clone().follow());
        self.env.spawn(self.claims.clone().follow());
        self.env.spawn(self.claims.clone().claim_vacant());
        self.env.spawn(self.retries.clone().watch());
        self.env.spawn(probe_owners(
            self.env.clone(),
            self.claims.clone(),
            self.links.clone(),
        ));
        self.env.spawn(offer_delegation(
            self.env.clone(),
            self.claims.clone(),
            self.links.clone(),
        ));
        let node = self.clone();
        self.env.spawn(async move { node.run_owners().await });
    }

    /// Waits for the key that peers authenticate with.
    pub async fn peer_key(&self) -> Arc<str> {
        loop {
            let seen = self.claims.changed.count();
            if let Some(layout) = self.claims.layout() {
                return layout.peer_key;
            }
            self.claims.changed.wait_past(seen).await;
        }
    }

    /// Sets the adapter that opens connections to peers.
    pub fn set_peers(&self, peers: Rc<dyn Peers>) {
        self.links.set_peers(peers);
    }

    /// Serves a connection that a peer opened.
    pub fn accept_peer(&self, link: PeerLink) {
        let handler = Rc::new(self.owners.clone());
        self.env
            .spawn(Links::serve(self.env.clone(), link, handler));
    }

    /// Returns whether the node is ready to serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.claims.stopping.get()
            && self.configuration.catalogue().is_some()
            && self.claims.layout().is_some()
            && self.env.store_failing_for() < UNREADY_AFTER_MS
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn metrics_text(&self) -> prometheus::Result<Vec<u8>> {
        self.env.metrics.text()
    }

    /// Logs that the settings file was reloaded, and with which outcome.
    pub fn log_reload(&self, outcome: &str) {
        self.env
            .event(Event::Reloaded, &json!({ "outcome": outcome }));
    }

    /// Begins a graceful shutdown of a process that is killed after `grace`; returns its times.
    pub fn shut_down(&self, grace: Millis) -> Shutdown {
        let shutdown = Shutdown::new(self.env.now(), grace);
        self.frontend.begin_shutdown(shutdown);
        self.claims.exit_by.set(Some(shutdown.exit_by));
        self.release();
        shutdown
    }

    /// Current time of the clock that a shutdown is measured by.
    #[must_use]
    pub fn now(&self) -> MonoMs {
        self.env.now()
    }

    /// Offers all owned shards to other nodes; callers are still served.
    pub fn release(&self) {
        self.claims.stopping.set(true);
        self.owners.delegate.stop();
        let owners = self.owners.owners.borrow();
        self.env
            .event(Event::Stopping, &json!({ "owned": owners.len() }));
        owners.values().for_each(|owner| owner.release());
        drop(owners);
        let shards = self.claims.layout().map_or(0, |layout| layout.shards);
        for shard in 0..shards {
            // Withdraws the offer, so that owners use other delegates before the process ends.
            self.env.spawn(offer_to_owner(
                self.env.clone(),
                self.claims.clone(),
                self.links.clone(),
                shard,
            ));
        }
    }

    /// Whether a claim of the node is under way, which may succeed.
    #[must_use]
    pub fn is_claiming(&self) -> bool {
        self.claims.claiming.get()
    }

    /// Returns the number of shards that the node still owns.
    #[must_use]
    pub fn owned(&self) -> usize {
        let owners = self.owners.owners.borrow();
        owners.values().filter(|owner| !owner.ended.get()).count()
    }

    /// Runs an owner for each shard that this process has claimed and drops replaced ones.
    async fn run_owners(self: Rc<Self>) {
        loop {
            let seen = self.claims.changed.count();
            let shards = self.claims.layout().map_or(0, |layout| layout.shards);
            for shard in 0..shards {
                self.reconcile_owner(shard);
            }
            self.claims.changed.wait_past(seen).await;
        }
    }

    fn reconcile_owner(&self, shard: u32) {
        let claim = self.claims.claim(shard);
        let own = claim.filter(|claim| self.claims.is_own(claim));
        let mut owners = self.owners.owners.borrow_mut();
        let running = owners.get(&shard).map(|owner| owner.term);
        match own {
            Some(claim) if running == Some(claim.term) => {}
            Some(claim) if !claim.released => {
                let owner = Owner::new(
                    self.env.clone(),
                    self.claims.clone(),
                    self.configuration.clone(),
                    self.links.clone(),
                    shard,
                    claim.term,
                );
                owners.insert(shard, owner.clone());
                if self.claims.stopping.get() {
                    self.env.spawn(owner.clone().release_to_successor());
                }
                self.env.spawn(owner.run());
            }
            _ => {
                owners.remove(&shard);
            }
        }
        let owned = owners.len();
        self.claims.owned.set(owned as u64);
        self.env
            .metrics
            .owned_shards
            .set(i64::try_from(owned).unwrap_or(i64::MAX));
    }
}
