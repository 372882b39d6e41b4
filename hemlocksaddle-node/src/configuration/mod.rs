//! Current documents and host list, and permission to start work in a data centre.
//!
//! Documents are read from the log; a node that cannot reach it fetches newer
//! ones from peers. A data centre is out if either the documents or the host list
//! say so. A start needs fresh knowledge of both. The age of a read counts from
//! its request, because the answer may have been delayed in the network or in a
//! paused process.

mod hosts;
mod publish;
mod registry;
mod start_permission;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use hemlocksaddle_types::{
    clock::Millis,
    document::{Document, Revision},
    host::HostList,
    name::{DataCentre, NodeName, ServiceName},
    peer::{Heartbeat, Request, Response},
    record::{Offset, Record, Stream},
    unit::Term,
};

use crate::{
    core::{Calls, Configuration, Handler, Journal, PeerState, PublishResult},
    env::Env,
    event::Event,
    journal::LogWriter,
    ownership::rendezvous,
    ports::PortFuture,
    snapshot_schedule::SnapshotSchedule,
    stream::{Follower, StreamReader, ValidBatch},
};

use hosts::HostListCache;
use publish::PendingPublish;
use registry::Registry;
pub use registry::{CurrentDocument, PublishOutcome};

/// Interval between checks for peers with newer documents.
const RELAY_CHECK_INTERVAL_MS: Millis = Millis(250);

/// Age of the last read to the tail above which documents are fetched from peers.
const STALE_AFTER_MS: Millis = Millis(1_000);

/// Timeout of a call that fetches documents from a peer.
const RELAY_CALL_TIMEOUT_MS: Millis = Millis(1_000);

/// Interval between checks for documents whose snapshot is due.
const SNAPSHOT_CHECK_INTERVAL_MS: Millis = Millis(10_000);

/// Timeout of an append of snapshots; they are retried later.
const SNAPSHOT_APPEND_TIMEOUT_MS: Millis = Millis(10_000);

/// Maximum number of snapshots in one append; 4 MB with texts of the maximum length.
const MAX_SNAPSHOTS: usize = 16;

/// Documents, host list and publishes in progress of a node.
pub struct ConfigurationStore {
    env: Rc<Env>,
    journal: Rc<dyn Journal>,
    log: Rc<LogWriter>,
    calls: Rc<dyn Calls>,
    reader: RefCell<StreamReader>,
    follower: Follower,
    registry: RefCell<Registry>,
    /// Offset up to which documents relayed by peers have been applied.
    relayed_next: Cell<Offset>,
    has_caught_up: Cell<bool>,
    hosts: HostListCache,
    data_centres_out: RefCell<BTreeSet<DataCentre>>,
    /// Publishes of this node whose outcome is not known yet, by publish id.
    pending: RefCell<BTreeMap<u64, PendingPublish>>,
    /// Number of publishes whose task is still running.
    active_publishes: Cell<usize>,
    snapshot_schedule: SnapshotSchedule<ServiceName>,
}

impl ConfigurationStore {
    /// Creates a store without documents.
    #[must_use]
    pub fn new(
        env: Rc<Env>,
        journal: Rc<dyn Journal>,
        log: Rc<LogWriter>,
        calls: Rc<dyn Calls>,
    ) -> Rc<ConfigurationStore> {
        let snapshot_schedule = SnapshotSchedule::new(env.settings.timing.retention_ms);
        Rc::new(ConfigurationStore {
            env,
            journal,
            log,
            calls,
            reader: RefCell::default(),
            follower: Follower::default(),
            registry: RefCell::default(),
            relayed_next: Cell::default(),
            has_caught_up: Cell::default(),
            hosts: HostListCache::default(),
            data_centres_out: RefCell::default(),
            pending: RefCell::default(),
            active_publishes: Cell::default(),
            snapshot_schedule,
        })
    }

    /// Starts the background tasks.
    pub fn start(self: &Rc<Self>) {
        self.env.spawn(self.clone().follow_documents());
        self.env.spawn(self.clone().follow_hosts());
        self.env.spawn(self.clone().follow_peers());
        self.env.spawn(self.clone().run_snapshots());
    }

    /// Whether the documents have been read to the tail since the start.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.has_caught_up.get()
    }

    /// First offset of the documents that is not applied, whether from the log or from peers.
    #[must_use]
    pub fn applied_next(&self) -> Offset {
        self.reader.borrow().next().max(self.relayed_next.get())
    }

    /// Whether the log fails and no reachable peer has newer documents than this node.
    ///
    /// At least one peer must be ready. Otherwise nodes that all started during
    /// an outage would confirm each other's empty state as current.
    #[must_use]
    pub fn matches_peers(&self) -> bool {
        let reachable = self.reachable_peers();
        let heartbeats = reachable.iter().filter_map(|peer| peer.heartbeat.as_ref());
        let mut serving = heartbeats.clone().filter(|heartbeat| heartbeat.ready);
        let is_current = heartbeats
            .clone()
            .all(|heartbeat| heartbeat.documents_next <= self.applied_next());
        self.env.log_health.is_failing() && serving.next().is_some() && is_current
    }

    /// Current document of a service with its revision.
    #[must_use]
    pub fn current_document(&self, service: &ServiceName) -> Option<CurrentDocument> {
        self.registry.borrow().get(service).cloned()
    }

    /// Whether a publish of this node may still take effect without this node having read it.
    #[must_use]
    pub fn has_unresolved_publish(&self) -> bool {
        !self.pending.borrow().is_empty() || self.log.has_unresolved_batch(Stream::Documents)
    }

    fn reachable_peers(&self) -> Vec<PeerState> {
        let now = self.env.now();
        let silent_ms = self.env.settings.timing.peer_silent_ms;
        let mut peers = self.calls.peers();
        peers.retain(|peer| {
            let last_heartbeat_ms = peer.last_heartbeat_ms;
            last_heartbeat_ms
                .is_some_and(|last_heartbeat_ms| now.since(last_heartbeat_ms) <= silent_ms)
        });
        peers
    }

    async fn follow_documents(self: Rc<Self>) {
        while !self.env.ended.get() {
            let next = self.reader.borrow().next();
            let read = self
                .follower
                .poll(&self.env, Stream::Documents, next, false);
            let Some(read) = read.await else {
                continue;
            };
            let (batches, is_at_tail) = self.reader.borrow_mut().apply(read.batch);
            let has_changed = !batches.is_empty();
            batches.iter().for_each(|batch| self.apply_batch(batch));
            self.follower.record_applied(read.sent_ms, is_at_tail);
            if is_at_tail && !self.has_caught_up.replace(true) {
                let next = self.reader.borrow().next();
                self.log.skip_to(Stream::Documents, next);
            }
            self.resolve_void_publishes();
            if has_changed {
                self.update_data_centres_out();
            }
        }
    }

    fn apply_batch(&self, batch: &ValidBatch) {
        for record in &batch.records {
            match record {
                Record::Publish(publish) => {
                    let is_truncated = self.reader.borrow().is_truncated();
                    let outcome = self.registry.borrow_mut().publish(
                        publish,
                        batch.offset,
                        is_truncated,
                        &self.env.invariants,
                    );
                    self.record_outcome(publish, outcome);
                }
                Record::RestateDocument {
                    service,
                    revision,
                    text,
                } => {
                    self.registry.borrow_mut().apply_snapshot(
                        service,
                        *revision,
                        text,
                        batch.offset,
                        &self.env.invariants,
                    );
                    self.postpone_snapshot(service);
                }
                other => Event::RecordInvalid.log(format_args!("not for documents: {other:?}")),
            }
        }
    }

    fn postpone_snapshot(&self, service: &ServiceName) {
        let settings = &self.env.settings;
        let rank = rendezvous::rank(service.as_str(), &settings.node, &settings.peers);
        let is_live = self.has_caught_up.get();
        let now = self.env.now();
        self.snapshot_schedule
            .postpone(service.clone(), rank, is_live, now);
    }

    async fn follow_hosts(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.hosts.fetch(&self.env).await;
            self.update_data_centres_out();
            let interval = self.env.settings.timing.hosts_every_ms;
            self.env.sleep(interval).await;
        }
    }

    /// Recomputes which data centres are out and logs the changes.
    fn update_data_centres_out(&self) {
        let mut out = self.hosts.leaving_data_centres();
        for current in self.registry.borrow().all() {
            out.extend(current.document.data_centres_out.iter().cloned());
        }
        let before = self.data_centres_out.replace(out.clone());
        out.difference(&before)
            .for_each(|data_centre| Event::DataCentreOut.log(format_args!("{data_centre}")));
        before
            .difference(&out)
            .for_each(|data_centre| Event::DataCentreIn.log(format_args!("{data_centre}")));
    }

    async fn follow_peers(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.env.sleep(RELAY_CHECK_INTERVAL_MS).await;
            if !self.follower.is_fresh(self.env.now(), STALE_AFTER_MS) {
                self.fetch_newer_documents().await;
            }
        }
    }

    async fn fetch_newer_documents(&self) {
        let since = self.applied_next();
        let reachable = self.reachable_peers();
        let candidates = reachable.iter().filter_map(|peer| {
            let heartbeat = peer.heartbeat.as_ref()?;
            (heartbeat.documents_next > since).then_some((heartbeat.documents_next, &peer.node))
        });
        let Some((_, peer)) = candidates.max() else {
            return;
        };
        let call = self
            .calls
            .call(peer, Request::Documents(since), RELAY_CALL_TIMEOUT_MS);
        if let Ok(Response::Documents(documents, covered_next)) = call.await {
            for relayed in &documents {
                let mut registry = self.registry.borrow_mut();
                if registry.apply_relayed(relayed, &self.env.invariants) {
                    log_applied(&relayed.service, relayed.revision, "relayed");
                }
            }
            let covered_next = covered_next.max(self.relayed_next.get());
            self.relayed_next.set(covered_next);
            self.update_data_centres_out();
        }
    }

    async fn run_snapshots(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.env.sleep(SNAPSHOT_CHECK_INTERVAL_MS).await;
            let is_idle = self.has_caught_up.get() && self.journal.log_is_up();
            let due = self.snapshot_schedule.due(self.env.now(), MAX_SNAPSHOTS);
            if is_idle && !due.is_empty() && !self.env.stopping.get() {
                let records = due
                    .iter()
                    .filter_map(|service| self.snapshot_record(service));
                let limit = Some(SNAPSHOT_APPEND_TIMEOUT_MS);
                let append =
                    self.journal
                        .append(Stream::Documents, Term(0), records.collect(), limit);
                // Snapshots that were not written stay due.
                let _ = append.await;
            }
        }
    }

    fn snapshot_record(&self, service: &ServiceName) -> Option<Record> {
        let current = self.current_document(service)?;
        Some(Record::RestateDocument {
            service: service.clone(),
            revision: current.revision,
            text: current.document.text.clone(),
        })
    }
}

fn log_applied(service: &ServiceName, revision: Revision, source: &str) {
    Event::DocumentApplied.log(format_args!("{service} revision {} {source}", revision.0));
}

/// [`Configuration`] backed by a shared [`ConfigurationStore`].
pub struct SharedConfiguration(pub Rc<ConfigurationStore>);

impl Configuration for SharedConfiguration {
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>> {
        let registry = self.0.registry.borrow();
        registry
            .get(service)
            .map(|current| current.document.clone())
    }

    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        let registry = self.0.registry.borrow();
        let all = registry.all();
        all.map(|current| (current.document.clone(), current.revision))
            .collect()
    }

    fn hosts(&self) -> Rc<HostList> {
        self.0.hosts.list()
    }

    fn may_start_in(&self, data_centre: &DataCentre) -> bool {
        self.0.may_start_in(data_centre)
    }

    fn is_out(&self, data_centre: &DataCentre) -> bool {
        self.0.data_centres_out.borrow().contains(data_centre)
    }

    fn publish(
        &self,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PortFuture<'_, PublishResult> {
        Box::pin(self.0.clone().publish(service, expected, text))
    }
}

impl Handler for ConfigurationStore {
    fn handle(&self, _from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>> {
        let Request::Documents(since) = request else {
            return None;
        };
        let registry = self.registry.borrow();
        let (documents, covered_next) = registry.since(*since, self.applied_next());
        let response = Response::Documents(documents, covered_next);
        Some(Box::pin(async { response }))
    }

    fn fill_heartbeat(&self, heartbeat: &mut Heartbeat) {
        heartbeat.documents_next = self.applied_next();
        heartbeat.log_failed_ago_ms = self.env.log_health.failed_ago(self.env.now());
        heartbeat.publish_unsettled = self.has_unresolved_publish();
    }
}
