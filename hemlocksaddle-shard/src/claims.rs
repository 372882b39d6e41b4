//! Leader election for shards, over a stream with conditional appends.
//!
//! Every node follows the claims stream, which has one partition per shard. The
//! owner renews its claim there; `hemlocksaddle_policy::take_over` decides when
//! another node claims the shard with the next term. A claim is appended on the
//! condition that the stream has not grown, so only one of several concurrent
//! claims succeeds. It is the first append of a new writer epoch, which fences off
//! renewals by the previous owner.

mod layout;
pub(crate) mod own;
mod shares;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use hemlocksaddle_node::wait::Signal;
use hemlocksaddle_policy::{
    take_over::{
        Candidate, OWNERSHIP_LEASE_MS, OwnerView, ShardView, Successor, should_claim_before_stop,
    },
    unserved::Served,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
    name::NodeName,
};
use serde_json::json;

use self::{own::OwnClaim, shares::ShareRecords};
use crate::{
    event::Event,
    node::Env,
    ports::{Record, Result, StoreError, Stream},
    record::{self, CapKey, Claim, FORMAT, LAYOUT_KEY, Layout},
    snapshot::Snapshots,
};

/// Longest time that one read of the claims waits for new records.
const READ_WAIT_MS: Millis = Millis(1_000);

/// Interval at which shards are checked for a missing owner.
const CHECK_INTERVAL_MS: Millis = Millis(50);

/// Pause after a failed call to the store.
const RETRY_MS: Millis = Millis(150);

/// Largest number of shards; a stream has this many partitions.
const MAX_SHARDS: u32 = 8;

#[derive(Clone, Debug)]
struct ObservedClaim {
    claim: Claim,
    /// Time at which the latest claim or renewal was read.
    renewed_at: MonoMs,
    /// Time at which the first record of the term was read.
    claimed_at: MonoMs,
    /// Time until which an owner of any term may have started work.
    served: Served,
    /// Time at which the first record with the owner's offer of the shard was read.
    released_at: Option<MonoMs>,
    /// Start of the period in which the owner has answered no call from this node.
    unanswered_since: Option<MonoMs>,
}

/// Offer of a shard by an owner that stops, or that does not recover.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    /// Node that should claim the shard first; `None` if the owner knows none.
    pub(crate) successor: Option<NodeName>,
    /// Time of the offer.
    pub(crate) offered_at: MonoMs,
    /// Whether the owner gives the shard up because it has not recovered.
    pub(crate) is_given_up: bool,
}

/// Read position of a partition.
#[derive(Default)]
struct PartitionState {
    end: Cell<u64>,
    /// Time at which the latest record was read.
    record_read_at: Cell<Option<MonoMs>>,
    /// Start of the period in which all reads succeeded.
    read_since: Cell<Option<MonoMs>>,
    /// Time of the latest answer to a read.
    read_at: Cell<MonoMs>,
}

/// This node's view of the claims.
pub(crate) struct Claims {
    env: Rc<Env>,
    layout: RefCell<Option<Layout>>,
    /// Time at which the layout became known; no shard can be claimed before.
    layout_since: Cell<MonoMs>,
    observed: RefCell<BTreeMap<u32, ObservedClaim>>,
    partitions: Vec<PartitionState>,
    /// Signals a change of an owner or of the layout.
    pub(crate) changed: Signal,
    /// Whether a claim is being made; its outcome is not known.
    pub(crate) claiming: Cell<bool>,
    own_claims: RefCell<BTreeMap<u32, OwnClaim>>,
    pub(crate) stopping: Cell<bool>,
    /// Time at which the process ends at the latest, once it is about to stop.
    pub(crate) exit_by: Cell<Option<MonoMs>>,
    pub(crate) owned: Cell<u64>,
    /// Shard and term that were not claimed because of the version of the records.
    refused: Cell<Option<(u32, u64)>>,
    /// State of a shard that was offered to this node.
    snapshots: RefCell<Option<(u32, Snapshots)>>,
    /// Shares of tenant caps.
    pub(crate) shares: ShareRecords,
}

impl Claims {
    pub(crate) fn new(env: Rc<Env>) -> Rc<Claims> {
        Rc::new(Claims {
            env,
            layout: RefCell::default(),
            layout_since: Cell::new(MonoMs(0)),
            observed: RefCell::default(),
            partitions: (0..MAX_SHARDS).map(|_| PartitionState::default()).collect(),
            changed: Signal::default(),
            claiming: Cell::new(false),
            own_claims: RefCell::default(),
            stopping: Cell::new(false),
            exit_by: Cell::new(None),
            owned: Cell::new(0),
            refused: Cell::default(),
            snapshots: RefCell::default(),
            shares: ShareRecords::default(),
        })
    }

    /// Returns the layout, once it is known.
    pub(crate) fn layout(&self) -> Option<Layout> {
        self.layout.borrow().clone()
    }

    /// Returns the latest claim of a shard.
    pub(crate) fn claim(&self, shard: u32) -> Option<Claim> {
        let observed = self.observed.borrow();
        observed.get(&shard).map(|observed| observed.claim.clone())
    }

    /// Returns whether this process made the claim.
    pub(crate) fn is_own(&self, claim: &Claim) -> bool {
        claim.node == self.env.settings.node && claim.started_ms == self.env.started_ms
    }

    /// Follows the claims until the process ends.
    pub(crate) async fn follow(self: Rc<Self>) {
        self.env.spawn(self.clone().follow_partition(0));
        let shards = loop {
            let seen = self.changed.count();
            if let Some(layout) = self.layout() {
                break layout.shards;
            }
            self.changed.wait_past(seen).await;
        };
        for partition in 1..shards.min(MAX_SHARDS) {
            self.env.spawn(self.clone().follow_partition(partition));
        }
    }

    async fn follow_partition(self: Rc<Self>, partition: u32) {
        loop {
            if self.read_newest(partition).await.is_err() {
                self.env.sleep(RETRY_MS).await;
                continue;
            }
            while self.read_tail(partition).await {}
            // A store that deletes records sooner than they are read would be read without a pause.
            self.env.sleep(RETRY_MS).await;
        }
    }

    fn partition(&self, partition: u32) -> &PartitionState {
        &self.partitions[partition as usize]
    }

    async fn read_newest(&self, partition: u32) -> Result<()> {
        let (records, end) = self.env.read_all(Stream::Claims, partition).await?;
        self.partition(partition).end.set(end);
        self.partition(partition)
            .record_read_at
            .set(Some(self.env.now()));
        for record in &records {
            self.apply(partition, record);
        }
        self.partition(partition).read_at.set(self.env.now());
        self.partition(partition)
            .read_since
            .set(Some(self.env.now()));
        Ok(())
    }

    /// Reads new records; returns `false` if the position is no longer available.
    async fn read_tail(&self, partition: u32) -> bool {
        let state = self.partition(partition);
        let read = self
            .env
            .read(Stream::Claims, partition, state.end.get(), READ_WAIT_MS);
        match read.await {
            Ok(tail) => {
                state.read_at.set(self.env.now());
                if tail.next != state.end.replace(tail.next) {
                    state.record_read_at.set(Some(self.env.now()));
                }
                for record in tail.records.iter().flatten() {
                    self.apply(partition, record);
                }
                if state.read_since.get().is_none() {
                    state.read_since.set(Some(self.env.now()));
                }
                true
            }
            Err(StoreError::Truncated(first)) => {
                let from = state.end.get();
                self.env
                    .log_position_lost(Stream::Claims, partition, from, first);
                false
            }
            Err(_) => {
                state.read_since.set(None);
                self.env.sleep(RETRY_MS).await;
                true
            }
        }
    }

    fn apply(&self, partition: u32, record: &Record) {
        let Some(value) = &record.value else { return };
        if *record.key == *LAYOUT_KEY {
            match record::decode::<Layout>(&record.key, value) {
                Ok(layout) => {
                    if self.layout.replace(Some(layout)).is_none() {
                        self.layout_since.set(self.env.now());
                    }
                    self.changed.notify();
                }
                Err(cause) => self.log_unreadable(record, &cause),
            }
            return;
        }
        if let Some(key) = CapKey::parse(&record.key) {
            if let Err(cause) = self.shares.apply(partition, key, record) {
                self.log_unreadable(record, &cause);
            }
            return;
        }
        let Some(shard) = record::claimed_shard(&record.key) else {
            return;
        };
        match record::decode::<Claim>(&record.key, value) {
            Ok(claim) => self.observe(shard, claim),
            Err(cause) => self.log_unreadable(record, &cause),
        }
    }

    fn log_unreadable(&self, record: &Record, cause: &dyn std::fmt::Display) {
        let inputs = json!({ "key": &*record.key, "cause": cause.to_string() });
        self.env.event(Event::RecordUnreadable, &inputs);
    }

    fn observe(&self, shard: u32, claim: Claim) {
        let renewed_at = self.env.now();
        let mut observed = self.observed.borrow_mut();
        let known = observed.get(&shard);
        if known.is_some_and(|known| known.claim.term > claim.term) {
            return;
        }
        let changed = known.is_none_or(|known| known.claim != claim);
        let same_term = known.filter(|known| known.claim.term == claim.term);
        let has_recovered = claim.unrecovered_terms == 0;
        let served = known.map_or(Served::default(), |known| known.served);
        let served = served.after_record(has_recovered, renewed_at);
        let updated = ObservedClaim {
            served,
            renewed_at,
            claimed_at: same_term.map_or(renewed_at, |known| known.claimed_at),
            released_at: same_term
                .and_then(|known| known.released_at)
                .or(claim.released.then_some(renewed_at)),
            unanswered_since: same_term.and_then(|known| known.unanswered_since),
            claim,
        };
        observed.insert(shard, updated);
        drop(observed);
        if changed {
            self.changed.notify();
        }
    }

    /// Claims shards whose owner has failed or that are offered to this node.
    pub(crate) async fn claim_vacant(self: Rc<Self>) {
        loop {
            self.env.sleep(CHECK_INTERVAL_MS).await;
            let Some(layout) = self.layout() else {
                if !self.stopping.get() {
                    self.decide_layout().await;
                }
                continue;
            };
            for shard in 0..layout.shards {
                if self.may_claim(shard) {
                    self.read_ahead(shard).await;
                }
                // The view may have changed while the state was read.
                if self.may_claim(shard) {
                    self.try_claim(shard).await;
                }
            }
        }
    }

    fn may_claim(&self, shard: u32) -> bool {
        if self.stopping.get() && !self.may_claim_last(shard) {
            return false;
        }
        let Some(read_since) = self.partition(shard).read_since.get() else {
            return false;
        };
        let observed = self.observed.borrow();
        let observed = observed.get(&shard);
        let term = observed.map_or(0, |observed| observed.claim.term);
        let format = observed.map_or(0, |observed| observed.claim.format);
        if format > FORMAT {
            self.refuse_format(shard, term, format);
            return false;
        }
        let view = ShardView {
            // Before the layout is known no node can claim, so that time must not count.
            read_since: read_since.max(self.layout_since.get()),
            owner: observed.map(|observed| self.owner_view(observed)),
        };
        self.candidate(shard, term)
            .should_claim(&view, self.env.now())
    }

    /// Logs, once a term, that a shard is not claimed because this node may not understand its records.
    fn refuse_format(&self, shard: u32, term: u64, format: u32) {
        if self.refused.replace(Some((shard, term))) != Some((shard, term)) {
            let inputs = json!({
                "shard": shard, "term": term, "format": format, "own_format": FORMAT,
            });
            self.env.event(Event::FormatRefused, &inputs);
        }
    }

    /// Whether this node, which is about to stop, has read the state of a shard that is offered to it, and has
    /// time to own it.
    fn may_claim_last(&self, shard: u32) -> bool {
        let claim = self.claim(shard);
        let named = claim.and_then(|claim| claim.successor);
        if named.as_ref() != Some(&self.env.settings.node) {
            return false;
        }
        let snapshots = self.snapshots.borrow();
        let has_state = snapshots.as_ref().is_some_and(|(of, _)| *of == shard);
        let left = self.exit_by.get().map(|at| at.since(self.env.now()));
        has_state && left.is_some_and(should_claim_before_stop)
    }

    fn owner_view(&self, observed: &ObservedClaim) -> OwnerView {
        let claim = &observed.claim;
        // A claim by an earlier incarnation of this node has no owner any more.
        let ended = claim.node == self.env.settings.node && !self.is_own(claim);
        OwnerView {
            renewed_at: observed.renewed_at,
            claimed_at: observed.claimed_at,
            released_since: observed
                .released_at
                .or(ended.then_some(observed.renewed_at)),
            successor: match &claim.successor {
                None => Successor::Any,
                Some(node) if *node == self.env.settings.node => Successor::Candidate,
                Some(_) => Successor::Other,
            },
            cpu_share: f64::from(claim.cpu_milli) / 1_000.0,
            unanswered_since: observed.unanswered_since,
        }
    }

    /// Returns this node as a candidate for a shard.
    pub(crate) fn candidate(&self, shard: u32, term: u64) -> Candidate {
        let settings = &self.env.settings;
        let parts = [
            settings.node.as_str().as_bytes(),
            &shard.to_be_bytes(),
            &term.to_be_bytes(),
        ];
        Candidate {
            cpu_share: settings.cpu_share,
            owned: self.owned.get(),
            jitter_seed: stable_hash(&parts),
        }
    }

    /// Returns the time for which this node knows no owner of a shard that starts its work.
    pub(crate) fn unserved_for(&self, shard: u32) -> Millis {
        let state = self.partition(shard);
        let Some(read_since) = state.read_since.get() else {
            return Millis(0);
        };
        let observed = self.observed.borrow();
        let observed = observed.get(&shard);
        let served = observed.map_or(Served::default(), |observed| observed.served);
        let read_since = read_since.max(self.layout_since.get());
        served.unserved_for(read_since, state.read_at.get())
    }

    /// Returns whether the owner of a shard has failed to answer this node.
    pub(crate) fn is_unanswered(&self, shard: u32) -> bool {
        let observed = self.observed.borrow();
        observed
            .get(&shard)
            .is_some_and(|observed| observed.unanswered_since.is_some())
    }

    /// Records whether the owner of a term answered a call that was sent at `sent_at`.
    pub(crate) fn record_answer(&self, shard: u32, term: u64, sent_at: MonoMs, answered: bool) {
        let mut observed = self.observed.borrow_mut();
        let owner = observed.get_mut(&shard);
        let Some(owner) = owner.filter(|owner| owner.claim.term == term) else {
            return;
        };
        if answered {
            owner.unanswered_since = None;
        } else {
            owner.unanswered_since.get_or_insert(sent_at);
        }
    }

    /// Reads the state of a shard that its owner offers to this node, while the owner goes on.
    async fn read_ahead(&self, shard: u32) {
        let claim = self.claim(shard);
        let named = claim.as_ref().and_then(|claim| claim.successor.as_ref());
        if named != Some(&self.env.settings.node) {
            return;
        }
        let started_at = self.env.now();
        // A claim may have failed after an earlier read.
        let known = self.take_snapshots(shard);
        let is_known = known.is_some();
        let read = async {
            let mut snapshots = match known {
                Some(snapshots) => snapshots,
                None => Snapshots::read(&self.env, shard).await?,
            };
            snapshots.read_following(&self.env, shard).await?;
            Ok::<_, StoreError>(snapshots)
        };
        let read = read.await;
        let inputs = json!({
            "shard": shard, "again": is_known, "took_ms": self.env.now().since(started_at).0,
            "outcome": format!("{:?}", read.as_ref().map(|_| ())),
        });
        self.env.event(Event::ReadAhead, &inputs);
        if read.is_err() {
            // Without it, the state is read after the claim.
            self.env.sleep(RETRY_MS).await;
        }
        self.snapshots.replace(read.ok().map(|read| (shard, read)));
    }

    /// Takes the state of a shard that was read before this node claimed it.
    pub(crate) fn take_snapshots(&self, shard: u32) -> Option<Snapshots> {
        let (of_shard, snapshots) = self.snapshots.take()?;
        (of_shard == shard).then_some(snapshots)
    }

    async fn try_claim(&self, shard: u32) {
        if self.claiming.replace(true) {
            return;
        }
        // All are read without an await in between, so that they are consistent.
        let earlier = self.claim(shard);
        let term = earlier.as_ref().map_or(1, |claim| claim.term + 1);
        let partition = self.partition(shard);
        let end = partition.end.get();
        let earlier_read_at = partition.record_read_at.get().filter(|_| earlier.is_some());
        let earlier_leases_end_within = earlier.as_ref().map(|claim| {
            let longest = OWNERSHIP_LEASE_MS + self.env.settings.lease_ms;
            claim.leases_end_within_ms.unwrap_or(longest)
        });
        let earlier_unreached = earlier.as_ref().map(|claim| claim.unreached.clone());
        let unrecovered = earlier.as_ref().map_or(0, |claim| claim.unrecovered_terms);
        let unrecovered_terms = unrecovered.saturating_add(1);
        let first = self.first_sequence();
        let sent_at = self.env.clocks();
        {
            let mut own_claim = self.own_claim_record(shard, term);
            own_claim.attempts.send(sent_at);
            own_claim.earlier_read_at = earlier_read_at;
            own_claim.earlier_leases_end_within = earlier_leases_end_within;
            own_claim.earlier_unreached = earlier_unreached.unwrap_or_default();
            own_claim.unrecovered_terms = unrecovered_terms;
        }
        let leases = self.terms_before_recovery(shard, term);
        let claim = self.own_claim(shard, term, None, &leases);
        let made = self
            .append_claim(shard, &claim, first, Some(end), Vec::new())
            .await;
        self.claiming.set(false);
        if made.as_ref().is_err_and(|error| error.is_certain()) {
            let mut own_claim = self.own_claim_record(shard, term);
            own_claim.attempts.rejected(sent_at);
        }
        if made.is_ok() {
            // Applied at once: reading it back takes a third of a second while the store is slow.
            self.observe(shard, claim);
        }
        let inputs = json!({
            "shard": shard, "term": term, "end": end,
            "outcome": format!("{made:?}"),
        });
        self.env.event(Event::Claimed, &inputs);
        if made.is_err() {
            // The stream may have grown; the pause lets new records arrive before the next attempt.
            self.env.sleep(CHECK_INTERVAL_MS).await;
        }
    }
}
