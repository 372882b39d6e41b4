//! Documents and host list in force, and the proof that a start is allowed.
//!
//! Documents come from the log and, where a node cannot reach it, from peers.
//! Whether a data centre is out is decided by the stricter of two sources, the
//! documents and the host list. A start needs fresh knowledge of both; the
//! freshness counts from when the read was sent, because the answer may have been
//! under way or waiting in a paused process for any time.

mod hosts;
mod proof;
mod publish;
mod registry;

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

use hosts::HostView;
use publish::Pending;
use registry::Registry;
pub use registry::{InForce, Verdict};

/// Interval at which peers that are ahead are asked for documents.
const RELAY_EVERY_MS: Millis = Millis(250);

/// Age of the last read to the tail from which peers are asked.
const RELAY_AFTER_MS: Millis = Millis(1_000);

/// Timeout of a relay call.
const RELAY_CALL_MS: Millis = Millis(1_000);

/// Interval at which documents are checked for being restated.
const RESTATE_EVERY_MS: Millis = Millis(10_000);

/// Time to wait for restated documents to be durable; they are tried again later.
const RESTATE_APPEND_MS: Millis = Millis(10_000);

/// Most documents restated in one append: 4 MB of the longest texts.
const MAX_RESTATED: usize = 16;

/// Documents, host list and publications of a node.
pub struct ConfigurationStore {
    env: Rc<Env>,
    journal: Rc<dyn Journal>,
    log: Rc<LogWriter>,
    calls: Rc<dyn Calls>,
    reader: RefCell<StreamReader>,
    follower: Follower,
    registry: RefCell<Registry>,
    relayed_next: Cell<Offset>,
    has_caught_up: Cell<bool>,
    hosts: HostView,
    out: RefCell<BTreeSet<DataCentre>>,
    pending: RefCell<BTreeMap<u64, Pending>>,
    /// Publications whose operator waits for the verdict.
    publishing: Cell<usize>,
    restates: SnapshotSchedule<ServiceName>,
}

impl ConfigurationStore {
    /// Store without documents.
    #[must_use]
    pub fn new(
        env: Rc<Env>,
        journal: Rc<dyn Journal>,
        log: Rc<LogWriter>,
        calls: Rc<dyn Calls>,
    ) -> Rc<ConfigurationStore> {
        let restates = SnapshotSchedule::new(env.settings.timing.retention_ms);
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
            hosts: HostView::default(),
            out: RefCell::default(),
            pending: RefCell::default(),
            publishing: Cell::default(),
            restates,
        })
    }

    /// Starts following the stream, the host list and the peers.
    pub fn start(self: &Rc<Self>) {
        self.env.spawn(self.clone().follow_documents());
        self.env.spawn(self.clone().follow_hosts());
        self.env.spawn(self.clone().follow_peers());
        self.env.spawn(self.clone().restate_documents());
    }

    /// Whether the stream was read to the tail since the start.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.has_caught_up.get()
    }

    /// First offset of the stream that is not applied, whether read or relayed.
    #[must_use]
    pub fn applied_next(&self) -> Offset {
        self.reader.borrow().next().max(self.relayed_next.get())
    }

    /// Whether the log fails, and this node is as up to date as every peer that it reaches.
    ///
    /// At least one of them must serve, or nodes that all started without the
    /// log would take each other's lack of documents for the state in force.
    #[must_use]
    pub fn matches_peers(&self) -> bool {
        let reached = self.reached_peers();
        let beats = reached.iter().filter_map(|peer| peer.heartbeat.as_ref());
        let mut serving = beats.clone().filter(|beat| beat.ready);
        let is_current = beats
            .clone()
            .all(|beat| beat.documents_next <= self.applied_next());
        self.env.log_health.is_failing() && serving.next().is_some() && is_current
    }

    /// Document in force with its revision.
    #[must_use]
    pub fn in_force(&self, service: &ServiceName) -> Option<InForce> {
        self.registry.borrow().get(service).cloned()
    }

    /// Whether a publication of this node can still change what is in force without this node knowing.
    #[must_use]
    pub fn has_unsettled_publish(&self) -> bool {
        !self.pending.borrow().is_empty() || self.log.has_unresolved_batch(Stream::Documents)
    }

    fn reached_peers(&self) -> Vec<PeerState> {
        let now = self.env.now();
        let silent_ms = self.env.settings.timing.peer_silent_ms;
        let mut peers = self.calls.peers();
        peers.retain(|peer| {
            let heard_ms = peer.last_heartbeat_ms;
            heard_ms.is_some_and(|heard_ms| now.since(heard_ms) <= silent_ms)
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
            self.drop_void_publications();
            if has_changed {
                self.note_out();
            }
        }
    }

    fn apply_batch(&self, batch: &ValidBatch) {
        for record in &batch.records {
            match record {
                Record::Publish(publish) => {
                    let is_truncated = self.reader.borrow().is_truncated();
                    let verdict = self.registry.borrow_mut().publish(
                        publish,
                        batch.offset,
                        is_truncated,
                        &self.env.invariants,
                    );
                    self.note_verdict(publish, verdict);
                }
                Record::RestateDocument {
                    service,
                    revision,
                    text,
                } => {
                    self.registry.borrow_mut().restate(
                        service,
                        *revision,
                        text,
                        batch.offset,
                        &self.env.invariants,
                    );
                    self.note_seen(service);
                }
                other => Event::RecordInvalid.log(format_args!("not for documents: {other:?}")),
            }
        }
    }

    fn note_seen(&self, service: &ServiceName) {
        let settings = &self.env.settings;
        let rank = rendezvous::rank(service.as_str(), &settings.node, &settings.peers);
        let is_live = self.has_caught_up.get();
        let now = self.env.now();
        self.restates.postpone(service.clone(), rank, is_live, now);
    }

    async fn follow_hosts(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.hosts.fetch(&self.env).await;
            self.note_out();
            let interval = self.env.settings.timing.hosts_every_ms;
            self.env.sleep(interval).await;
        }
    }

    /// Works out which data centres are out and logs what changed.
    fn note_out(&self) {
        let mut out = self.hosts.leaving_data_centres();
        for in_force in self.registry.borrow().all() {
            out.extend(in_force.document.data_centres_out.iter().cloned());
        }
        let before = self.out.replace(out.clone());
        out.difference(&before)
            .for_each(|data_centre| Event::DataCentreOut.log(format_args!("{data_centre}")));
        before
            .difference(&out)
            .for_each(|data_centre| Event::DataCentreIn.log(format_args!("{data_centre}")));
    }

    async fn follow_peers(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.env.sleep(RELAY_EVERY_MS).await;
            if !self.follower.is_fresh(self.env.now(), RELAY_AFTER_MS) {
                self.ask_peer_ahead().await;
            }
        }
    }

    async fn ask_peer_ahead(&self) {
        let since = self.applied_next();
        let reached = self.reached_peers();
        let offers = reached.iter().filter_map(|peer| {
            let beat = peer.heartbeat.as_ref()?;
            (beat.documents_next > since).then_some((beat.documents_next, &peer.node))
        });
        let Some((_, peer)) = offers.max() else {
            return;
        };
        let call = self
            .calls
            .call(peer, Request::Documents(since), RELAY_CALL_MS);
        if let Ok(Response::Documents(documents, covered)) = call.await {
            for relayed in &documents {
                let mut registry = self.registry.borrow_mut();
                if registry.relayed(relayed, &self.env.invariants) {
                    log_applied(&relayed.service, relayed.revision, "relayed");
                }
            }
            let covered = covered.max(self.relayed_next.get());
            self.relayed_next.set(covered);
            self.note_out();
        }
    }

    async fn restate_documents(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.env.sleep(RESTATE_EVERY_MS).await;
            let is_idle = self.has_caught_up.get() && self.journal.log_is_up();
            let due = self.restates.due(self.env.now(), MAX_RESTATED);
            if is_idle && !due.is_empty() && !self.env.stopping.get() {
                let records = due.iter().filter_map(|service| self.restated(service));
                let limit = Some(RESTATE_APPEND_MS);
                let append =
                    self.journal
                        .append(Stream::Documents, Term(0), records.collect(), limit);
                // What was not written stays due.
                let _ = append.await;
            }
        }
    }

    fn restated(&self, service: &ServiceName) -> Option<Record> {
        let in_force = self.in_force(service)?;
        Some(Record::RestateDocument {
            service: service.clone(),
            revision: in_force.revision,
            text: in_force.document.text.clone(),
        })
    }
}

fn log_applied(service: &ServiceName, revision: Revision, source: &str) {
    Event::DocumentApplied.log(format_args!("{service} revision {} {source}", revision.0));
}

/// Configuration with a shared store.
pub struct SharedConfiguration(pub Rc<ConfigurationStore>);

impl Configuration for SharedConfiguration {
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>> {
        let registry = self.0.registry.borrow();
        registry
            .get(service)
            .map(|in_force| in_force.document.clone())
    }

    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        let registry = self.0.registry.borrow();
        let all = registry.all();
        all.map(|in_force| (in_force.document.clone(), in_force.revision))
            .collect()
    }

    fn hosts(&self) -> Rc<HostList> {
        self.0.hosts.list()
    }

    fn may_start_in(&self, data_centre: &DataCentre) -> bool {
        self.0.may_start_in(data_centre)
    }

    fn is_out(&self, data_centre: &DataCentre) -> bool {
        self.0.out.borrow().contains(data_centre)
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
        let (documents, covered) = registry.since(*since, self.applied_next());
        let response = Response::Documents(documents, covered);
        Some(Box::pin(async { response }))
    }

    fn fill_heartbeat(&self, heartbeat: &mut Heartbeat) {
        heartbeat.documents_next = self.applied_next();
        heartbeat.log_failed_ago_ms = self.env.log_health.failed_ago(self.env.now());
        heartbeat.publish_unsettled = self.has_unsettled_publish();
    }
}
