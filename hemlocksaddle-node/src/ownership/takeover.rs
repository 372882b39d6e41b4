//! Claiming of units: unclaimed, released, or owned by a node that fell silent.
//!
//! Nodes wait longer the lower they rank for a unit, so that normally only the
//! first one claims it.

use std::{collections::BTreeSet, rc::Rc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostRole,
    name::{NodeName, RackName},
    record::{Claim, Offset, Record, Stream},
    unit::{QueueIndex, Term, Unit},
};

use crate::{core::AppendError, event::Event};

use super::{UnitTable, claims::UnitState, rendezvous};

/// Interval between checks for units to claim.
const CLAIM_CHECK_INTERVAL_MS: Millis = Millis(250);

/// Gap between two checks from which this process counts as paused.
const PAUSE_THRESHOLD_MS: Millis = Millis(1_000);

/// Additional claim delay per rank or position among the successors.
const RANK_DELAY_MS: Millis = Millis(1_000);

/// Time after the failover wait in which a unit is not claimed from a silent owner.
///
/// Bounds the cost of a partition to one failover wait per unit in this time.
const NEW_OWNER_GRACE_MS: Millis = Millis(10_000);

/// Maximum age of the last read to the tail for claiming.
const MAX_READ_AGE_MS: Millis = Millis(1_500);

/// Timeout of an append of claims; a later one would rest on stale reads.
const CLAIM_APPEND_TIMEOUT_MS: Millis = Millis(2_000);

/// Interval between checks of an append whose outcome is unknown.
const OUTCOME_POLL_INTERVAL_MS: Millis = Millis(100);

/// Maximum number of units claimed in one append.
const MAX_CLAIMS: usize = 128;

impl UnitTable {
    pub(super) async fn run_claims(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.update_peer_liveness();
            self.update_active_units();
            let units = self.claimable();
            if !units.is_empty() {
                self.pending_claims
                    .borrow_mut()
                    .extend(units.iter().cloned());
                self.env.spawn(self.clone().claim(units));
            }
            self.env.sleep(CLAIM_CHECK_INTERVAL_MS).await;
        }
    }

    /// Updates how long each peer has been up and when it was last ready or leaving.
    ///
    /// A pause of this process restarts the measurement of silence: messages of
    /// peers may have arrived meanwhile and not been read yet.
    fn update_peer_liveness(&self) {
        let now = self.env.now();
        if now.since(self.last_check_ms.replace(now)) > PAUSE_THRESHOLD_MS {
            self.running_since_ms.set(now);
        }
        let silent_ms = self.env.settings.timing.peer_silent_ms;
        let mut up_since = self.peer_up_since_ms.borrow_mut();
        let mut served = self.peer_last_served_ms.borrow_mut();
        for peer in self.calls.peers() {
            let is_reachable = peer
                .last_heartbeat_ms
                .is_some_and(|last_heartbeat_ms| now.since(last_heartbeat_ms) <= silent_ms);
            let heartbeat = peer.heartbeat.as_ref();
            let serves = heartbeat.is_some_and(|heartbeat| heartbeat.ready || heartbeat.leaving);
            if let (true, Some(last_heartbeat_ms)) = (serves, peer.last_heartbeat_ms) {
                served.insert(peer.node.clone(), last_heartbeat_ms);
            }
            match is_reachable {
                true => {
                    up_since.entry(peer.node).or_insert(now);
                }
                false => {
                    up_since.remove(&peer.node);
                }
            }
        }
    }

    fn update_active_units(&self) {
        let now = self.env.now();
        let mut counts = [0_i64; 3];
        for (unit, held) in self.held.borrow_mut().iter_mut() {
            if !held.is_active && now >= held.active_from_ms {
                held.is_active = true;
                Event::UnitSettled.log(format_args!("{unit} term {}", held.term.0));
            }
            match unit {
                Unit::Queue(_) => counts[0] += 1,
                Unit::Rack(_) => counts[1] += 1,
                Unit::Target(..) => counts[2] += 1,
            }
        }
        for (kind, count) in ["queue", "rack", "target"].into_iter().zip(counts) {
            let gauge = &self.env.metrics.owned_units;
            gauge.with_label_values(&[kind]).set(count);
        }
    }

    fn claimable(&self) -> Vec<Unit> {
        let now = self.env.now();
        let may_claim = self.env.ready.get() && !self.env.stopping.get();
        if !may_claim || !self.follower.is_fresh(now, MAX_READ_AGE_MS) {
            return Vec::new();
        }
        let units = self.all_units();
        let claimable = units
            .into_iter()
            .filter(|unit| self.should_claim(unit, now));
        claimable.take(MAX_CLAIMS).collect()
    }

    /// Units that exist according to settings, host list and documents.
    fn all_units(&self) -> BTreeSet<Unit> {
        let queues = 0..self.env.settings.limits.queues;
        let mut units: BTreeSet<Unit> =
            queues.map(|index| Unit::Queue(QueueIndex(index))).collect();
        units.extend(self.racks().into_iter().map(Unit::Rack));
        for (document, _) in self.configuration.documents() {
            let executors = document.executors.iter();
            units.extend(
                executors
                    .map(|executor| Unit::Target(document.service.clone(), executor.name.clone())),
            );
        }
        units
    }

    fn racks(&self) -> BTreeSet<RackName> {
        let hosts = self.configuration.hosts();
        let mut cached = self.racks.borrow_mut();
        if !Rc::ptr_eq(&hosts, &cached.0) {
            let racks = hosts.hosts.iter().filter_map(|host| match &host.role {
                HostRole::Worker { rack, .. } => Some(rack.clone()),
                HostRole::Executor { .. } | HostRole::Node { .. } => None,
            });
            let racks = racks.collect();
            *cached = (hosts, racks);
        }
        cached.1.clone()
    }

    fn should_claim(&self, unit: &Unit, now: MonoMs) -> bool {
        let is_ours =
            self.pending_claims.borrow().contains(unit) || self.held.borrow().contains_key(unit);
        if is_ours {
            return false;
        }
        let claims = self.claims.borrow();
        match claims.get(unit) {
            None => self.should_claim_unclaimed(unit, now),
            // Promises to the previous owner end with its release.
            Some(state) if state.is_released => self.should_claim_released(unit, state, now),
            Some(state) => !self.has_promised(unit, now) && self.should_claim_owned(state, now),
        }
    }

    /// Prevents another claim on a unit until its new owner has had time to act.
    ///
    /// Otherwise a unit could move back and forth between partitioned nodes that
    /// both reach the log, without either ever being allowed to act on it.
    pub(super) fn protect(&self, unit: &Unit, now: MonoMs) {
        let until_ms = now + self.failover_wait(unit) + NEW_OWNER_GRACE_MS;
        let mut protected = self.protected_until_ms.borrow_mut();
        protected.insert(unit.clone(), until_ms);
    }

    fn should_claim_unclaimed(&self, unit: &Unit, now: MonoMs) -> bool {
        let mut since = self.unclaimed_since_ms.borrow_mut();
        let since_ms = *since.entry(unit.clone()).or_insert(now);
        let settings = &self.env.settings;
        let rank = rendezvous::rank(&unit.to_string(), &settings.node, &settings.peers);
        let is_truncated = self.reader.borrow().is_truncated();
        let is_old_enough = !is_truncated || self.prior_promises_expired(now);
        is_old_enough && now.since(since_ms) >= claim_delay(rank)
    }

    /// Whether to claim a released unit; ranks count only nodes that accept units.
    fn should_claim_released(&self, unit: &Unit, state: &UnitState, now: MonoMs) -> bool {
        let settings = &self.env.settings;
        let ranked = rendezvous::ranked(&unit.to_string(), &settings.peers);
        let candidates = ranked
            .iter()
            .filter(|peer| peer.node == settings.node || self.accepts_units(&peer.node));
        let mut ranks = candidates.enumerate();
        let own_rank = ranks.find(|(_, peer)| peer.node == settings.node);
        let rank = own_rank.map_or(0, |(rank, _)| rank);
        now.since(state.changed_ms) >= claim_delay(rank)
    }

    /// Whether a peer is reachable, ready and not leaving.
    pub(super) fn accepts_units(&self, node: &NodeName) -> bool {
        if !self.peer_up_since_ms.borrow().contains_key(node) {
            return false;
        }
        let peers = self.calls.peers();
        let peer = peers.iter().find(|peer| peer.node == *node);
        let heartbeat = peer.and_then(|peer| peer.heartbeat.as_ref());
        heartbeat.is_some_and(|heartbeat| heartbeat.ready && !heartbeat.leaving)
    }

    fn should_claim_owned(&self, state: &UnitState, now: MonoMs) -> bool {
        if !self.prior_promises_expired(now) {
            return false;
        }
        let claim = &state.claim;
        if claim.node == *self.env.node() {
            return true;
        }
        let mut successors = claim.successors.iter();
        let Some(rank) = successors.position(|node| node == self.env.node()) else {
            return false;
        };
        let protected = self.protected_until_ms.borrow();
        let is_protected = protected
            .get(&claim.unit)
            .is_some_and(|until_ms| now < *until_ms);
        let silent_ms = self.env.settings.timing.owner_silent_ms;
        !is_protected && self.silence_of(&claim.node, now) >= silent_ms + claim_delay(rank)
    }

    /// Whether all promises granted by an earlier incarnation of this node have expired.
    fn prior_promises_expired(&self, now: MonoMs) -> bool {
        let valid_ms = self.env.settings.timing.promise_valid_ms;
        now.since(self.env.started_at) > valid_ms.with_clock_margin()
    }

    /// Time since a peer last reported that it is ready or leaving.
    ///
    /// Counted at the earliest from the start of this process or the end of its last pause.
    /// Other heartbeats do not count: a restarted node that is not ready owns
    /// nothing, and failover of its earlier units must not wait for it.
    fn silence_of(&self, node: &NodeName, now: MonoMs) -> Millis {
        let served_ms = self.peer_last_served_ms.borrow().get(node).copied();
        now.since(
            served_ms
                .max(Some(self.running_since_ms.get()))
                .unwrap_or(now),
        )
    }

    /// Appends claims and waits until their outcome is known.
    async fn claim(self: Rc<Self>, units: Vec<Unit>) {
        let records = units
            .iter()
            .map(|unit| Record::Claim(self.next_claim(unit)));
        let limit = Some(CLAIM_APPEND_TIMEOUT_MS);
        let append = self
            .journal
            .append(Stream::Claims, Term(0), records.collect(), limit);
        match append.await {
            Ok(offset) => self.wait_until_read(offset).await,
            Err(AppendError::NotAppended) => {}
            Err(AppendError::OutcomeUnknown) => self.wait_for_append_outcome().await,
        }
        let mut pending_claims = self.pending_claims.borrow_mut();
        units.iter().for_each(|unit| {
            pending_claims.remove(unit);
        });
    }

    fn next_claim(&self, unit: &Unit) -> Claim {
        let settings = &self.env.settings;
        let previous = self.claims.borrow().term(unit);
        Claim {
            unit: unit.clone(),
            node: settings.node.clone(),
            started_ms: self.env.started_ms,
            previous,
            term: Term(previous.0 + 1),
            successors: rendezvous::successors(unit, &settings.node, &settings.peers),
        }
    }

    /// Waits until this node has read the claims beyond an offset.
    pub(super) async fn wait_until_read(&self, offset: Offset) {
        loop {
            let seen = self.applied.count();
            if self.reader.borrow().next() > offset || self.env.ended.get() {
                return;
            }
            self.applied.wait_past(seen).await;
        }
    }

    /// Waits until no append has an unknown outcome and this node has read as far as the journal.
    pub(super) async fn wait_for_append_outcome(&self) {
        loop {
            let is_resolved = !self.log.has_unresolved_batch(Stream::Claims);
            let has_read = self.reader.borrow().next() >= self.log.read_position(Stream::Claims);
            if (is_resolved && has_read) || self.env.ended.get() {
                return;
            }
            self.env.sleep(OUTCOME_POLL_INTERVAL_MS).await;
        }
    }
}

fn claim_delay(rank: usize) -> Millis {
    Millis(RANK_DELAY_MS.0 * rank as u64)
}
