//! Construction and life cycle of a node.
//!
//! The inner modules (log writer, peers, configuration, ownership) are built
//! here; queues, racks and requests are passed in as a list of parts. References
//! back to an owner are `Weak`, which avoids reference cycles: a dropped node is
//! freed once its runtime has dropped its tasks.

mod status;

use std::rc::Rc;

use futures_util::future::join_all;
use hemlocksaddle_types::{
    clock::Millis,
    document::{Document, Revision},
    name::ServiceName,
};

use crate::{
    configuration::{ConfigurationStore, SharedConfiguration},
    core::{Calls, Configuration, Core, Handler, Journal, Part, PublishResult},
    env::Env,
    event::Event,
    explain::Explanations,
    invariant::OnViolation,
    journal::{LogWriter, SharedJournal},
    ownership::{SharedOwnership, UnitTable},
    parts,
    peers::{PeerCalls, SharedCalls},
    ports::{PeerLink, Ports},
    settings::Settings,
};

pub use status::{LogStatus, NodeStatus, PeerStatus, UnitStatus};

/// Interval at which a starting node checks whether it has caught up.
const READY_POLL_INTERVAL_MS: Millis = Millis(100);

/// Maximum time for which a planned stop waits for the calls being handled to complete.
const DRAIN_TIMEOUT_MS: Millis = Millis(10_000);

/// Node with its inner modules and parts.
pub struct Node {
    env: Rc<Env>,
    core: Rc<Core>,
    log: Rc<LogWriter>,
    peers: Rc<PeerCalls>,
    configuration: Rc<ConfigurationStore>,
    ownership: Rc<UnitTable>,
    parts: Vec<Rc<dyn Part>>,
}

impl Node {
    /// Creates a node with queues, racks and requests.
    #[must_use]
    pub fn new(ports: Ports, settings: Settings, on_violation: OnViolation) -> Rc<Node> {
        Node::with_parts(ports, settings, on_violation, parts::all)
    }

    /// Creates a node with the parts that `build` returns, which start and handle calls in that order.
    #[must_use]
    pub fn with_parts(
        ports: Ports,
        settings: Settings,
        on_violation: OnViolation,
        build: impl FnOnce(&Rc<Core>) -> Vec<Rc<dyn Part>>,
    ) -> Rc<Node> {
        let env = Env::new(ports, settings, on_violation);
        let log = LogWriter::new(env.clone());
        let peers = PeerCalls::new(env.clone());
        let journal: Rc<dyn Journal> = Rc::new(SharedJournal(log.clone()));
        let calls: Rc<dyn Calls> = Rc::new(SharedCalls(peers.clone()));
        let configuration =
            ConfigurationStore::new(env.clone(), journal.clone(), log.clone(), calls.clone());
        let shared: Rc<dyn Configuration> = Rc::new(SharedConfiguration(configuration.clone()));
        let ownership = UnitTable::new(
            env.clone(),
            journal.clone(),
            log.clone(),
            calls.clone(),
            shared.clone(),
        );
        let core = Rc::new(Core {
            ports: env.ports.clone(),
            settings: env.settings.clone(),
            started_ms: env.started_ms,
            ownership: Rc::new(SharedOwnership(ownership.clone())),
            configuration: shared,
            calls,
            journal,
            invariants: env.invariants.clone(),
            metrics: env.metrics.clone(),
            explanations: Rc::new(Explanations::new(env.settings.node.clone())),
            stopping: env.stopping.clone(),
        });
        let parts = build(&core);
        let mut handlers: Vec<Rc<dyn Handler>> = vec![configuration.clone(), ownership.clone()];
        handlers.extend(parts.iter().cloned().map(|part| part as Rc<dyn Handler>));
        handlers
            .iter()
            .for_each(|handler| peers.add_handler(handler));
        Rc::new(Node {
            env,
            core,
            log,
            peers,
            configuration,
            ownership,
            parts,
        })
    }

    /// Starts all modules and parts; the node serves once it has caught up with the log.
    pub fn start(&self) {
        Event::NodeStarted.log(format_args!("{}", self.env.node()));
        self.peers.start();
        self.configuration.start();
        self.ownership.start();
        self.parts.iter().cloned().for_each(Part::start);
        let readiness = wait_until_ready(
            self.env.clone(),
            self.configuration.clone(),
            self.ownership.clone(),
            self.core.calls.clone(),
        );
        self.env.spawn(readiness);
    }

    /// Serves a connection opened by a peer.
    pub fn accept_peer(&self, link: PeerLink) {
        self.peers.accept(link);
    }

    /// Whether the node has caught up and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.env.ready.get() && !self.env.stopping.get()
    }

    /// Services and state shared by the parts.
    #[must_use]
    pub fn core(&self) -> &Rc<Core> {
        &self.core
    }

    /// Publishes a document and waits until it is accepted or rejected.
    pub async fn publish(
        &self,
        service: ServiceName,
        expected: Revision,
        text: std::sync::Arc<str>,
    ) -> PublishResult {
        let publication = self.core.configuration.publish(service, expected, text);
        publication.await
    }

    /// Current documents with their revisions.
    #[must_use]
    pub fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        self.core.configuration.documents()
    }

    /// All metrics in Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.env.metrics.render(&self.env.invariants)
    }

    /// Finishes accepted work, releases all units and ends the background tasks.
    pub async fn stop(&self) {
        if self.env.stopping.replace(true) {
            return;
        }
        Event::NodeStopping.log(format_args!("{}", self.env.node()));
        self.core.calls.send_heartbeats();
        join_all(self.parts.iter().cloned().map(Part::stop)).await;
        self.configuration.drain().await;
        self.peers.drain(DRAIN_TIMEOUT_MS).await;
        self.ownership.release_all().await;
        self.env.ended.set(true);
        self.peers.close();
        self.log.close();
        Event::NodeStopped.log(format_args!("{}", self.env.node()));
    }
}

async fn wait_until_ready(
    env: Rc<Env>,
    configuration: Rc<ConfigurationStore>,
    ownership: Rc<UnitTable>,
    calls: Rc<dyn Calls>,
) {
    while !env.ended.get() {
        let has_read = configuration.has_caught_up() && ownership.has_caught_up();
        if has_read || configuration.matches_peers() {
            env.ready.set(true);
            Event::NodeReady.log(format_args!("{}", env.node()));
            calls.send_heartbeats();
            return;
        }
        env.sleep(READY_POLL_INTERVAL_MS).await;
    }
}
