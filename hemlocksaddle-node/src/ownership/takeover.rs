//! Claims of units without an owner and of units whose owner is silent.

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

/// Interval at which units are checked.
const TICK_MS: Millis = Millis(250);

/// Gap between two checks that shows that this process was paused.
const PAUSE_MS: Millis = Millis(1_000);

/// Extra wait of each next rank or successor.
const NEXT_RANK_MS: Millis = Millis(1_000);

/// Time for which a new owner may act before a silence counts against it.
///
/// A partition then costs a unit at most one take-over wait in this time.
const NEW_OWNER_MS: Millis = Millis(10_000);

/// Age of the last read to the tail up to which this node claims.
const CLAIM_FRESH_MS: Millis = Millis(1_500);

/// Time within which the log must have taken a claim; a later one would be stale.
const CLAIM_APPEND_MS: Millis = Millis(2_000);

/// Interval at which an unsettled claim is looked at.
const SETTLE_EVERY_MS: Millis = Millis(100);

/// Most units claimed in one append.
const MAX_CLAIMS: usize = 128;

impl UnitTable {
    pub(super) async fn run_claims(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.note_tick();
            self.note_settled();
            let units = self.claimable();
            if !units.is_empty() {
                self.claiming.borrow_mut().extend(units.iter().cloned());
                self.env.spawn(self.clone().claim(units));
            }
            self.env.sleep(TICK_MS).await;
        }
    }

    /// Restarts the silence of peers after a pause of this process, whose messages wait to be read.
    fn note_tick(&self) {
        let now = self.env.now();
        if now.since(self.last_tick_ms.replace(now)) > PAUSE_MS {
            self.awake_since_ms.set(now);
        }
        let silent_ms = self.env.settings.timing.peer_silent_ms;
        let mut up_since = self.peer_up_since_ms.borrow_mut();
        let mut served = self.peer_served_ms.borrow_mut();
        for peer in self.calls.peers() {
            let heard = peer
                .last_heartbeat_ms
                .is_some_and(|heard_ms| now.since(heard_ms) <= silent_ms);
            let beat = peer.heartbeat.as_ref();
            let serves = beat.is_some_and(|beat| beat.ready || beat.leaving);
            if let (true, Some(heard_ms)) = (serves, peer.last_heartbeat_ms) {
                served.insert(peer.node.clone(), heard_ms);
            }
            match heard {
                true => {
                    up_since.entry(peer.node).or_insert(now);
                }
                false => {
                    up_since.remove(&peer.node);
                }
            }
        }
    }

    fn note_settled(&self) {
        let now = self.env.now();
        let mut counts = [0_i64; 3];
        for (unit, held) in self.held.borrow_mut().iter_mut() {
            if !held.is_settled && now >= held.act_from_ms {
                held.is_settled = true;
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
        if !may_claim || !self.follower.is_fresh(now, CLAIM_FRESH_MS) {
            return Vec::new();
        }
        let units = self.all_units();
        let claimable = units
            .into_iter()
            .filter(|unit| self.should_claim(unit, now));
        claimable.take(MAX_CLAIMS).collect()
    }

    /// Units that exist by settings, host list and documents.
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
        let mut known = self.racks.borrow_mut();
        if !Rc::ptr_eq(&hosts, &known.0) {
            let racks = hosts.hosts.iter().filter_map(|host| match &host.role {
                HostRole::Worker { rack, .. } => Some(rack.clone()),
                HostRole::Executor { .. } | HostRole::Node { .. } => None,
            });
            let racks = racks.collect();
            *known = (hosts, racks);
        }
        known.1.clone()
    }

    fn should_claim(&self, unit: &Unit, now: MonoMs) -> bool {
        let is_ours =
            self.claiming.borrow().contains(unit) || self.held.borrow().contains_key(unit);
        if is_ours {
            return false;
        }
        let claims = self.claims.borrow();
        match claims.get(unit) {
            None => self.should_claim_unclaimed(unit, now),
            // The owner gave up what was promised to it with the release.
            Some(state) if state.is_released => self.should_claim_released(unit, state, now),
            Some(state) => !self.is_bound(unit, now) && self.should_claim_owned(state, now),
        }
    }

    /// Keeps a unit from being claimed again until its new owner could act for a while.
    ///
    /// Between nodes that do not hear each other but both reach the log, a unit
    /// would otherwise go back and forth before either may act on it.
    pub(super) fn protect(&self, unit: &Unit, now: MonoMs) {
        let until_ms = now + self.takeover_wait(unit) + NEW_OWNER_MS;
        let mut protected = self.protected_until_ms.borrow_mut();
        protected.insert(unit.clone(), until_ms);
    }

    fn should_claim_unclaimed(&self, unit: &Unit, now: MonoMs) -> bool {
        let mut since = self.unclaimed_since_ms.borrow_mut();
        let since_ms = *since.entry(unit.clone()).or_insert(now);
        let settings = &self.env.settings;
        let rank = rendezvous::rank(&unit.to_string(), &settings.node, &settings.peers);
        let is_truncated = self.reader.borrow().is_truncated();
        let is_old_enough = !is_truncated || self.has_outlived_promises(now);
        is_old_enough && now.since(since_ms) >= rank_wait(rank)
    }

    /// A released unit goes to the best node that is up, so ranks count only nodes that are heard.
    fn should_claim_released(&self, unit: &Unit, state: &UnitState, now: MonoMs) -> bool {
        let settings = &self.env.settings;
        let ranked = rendezvous::ranked(&unit.to_string(), &settings.peers);
        let takers = ranked
            .iter()
            .filter(|peer| peer.node == settings.node || self.is_taking(&peer.node));
        let mut ranks = takers.enumerate();
        let own_rank = ranks.find(|(_, peer)| peer.node == settings.node);
        let rank = own_rank.map_or(0, |(rank, _)| rank);
        now.since(state.seen_ms) >= rank_wait(rank)
    }

    /// Whether a peer is up, serves and is not stopping.
    pub(super) fn is_taking(&self, node: &NodeName) -> bool {
        if !self.peer_up_since_ms.borrow().contains_key(node) {
            return false;
        }
        let peers = self.calls.peers();
        let peer = peers.iter().find(|peer| peer.node == *node);
        let beat = peer.and_then(|peer| peer.heartbeat.as_ref());
        beat.is_some_and(|beat| beat.ready && !beat.leaving)
    }

    fn should_claim_owned(&self, state: &UnitState, now: MonoMs) -> bool {
        if !self.has_outlived_promises(now) {
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
        !is_protected && self.silence_of(&claim.node, now) >= silent_ms + rank_wait(rank)
    }

    /// Whether all promises that an earlier process of this node gave have lapsed.
    fn has_outlived_promises(&self, now: MonoMs) -> bool {
        let valid_ms = self.env.settings.timing.promise_valid_ms;
        now.since(self.env.started_at) > valid_ms.with_clock_margin()
    }

    /// Time since a peer was last heard to serve or to finish its planned stop.
    ///
    /// A restarted node that is heard but does not become ready owns nothing, and
    /// the units of its predecessor must not wait for it.
    fn silence_of(&self, node: &NodeName, now: MonoMs) -> Millis {
        let served_ms = self.peer_served_ms.borrow().get(node).copied();
        now.since(
            served_ms
                .max(Some(self.awake_since_ms.get()))
                .unwrap_or(now),
        )
    }

    /// Appends claims and waits until their outcome is read or certain.
    async fn claim(self: Rc<Self>, units: Vec<Unit>) {
        let records = units.iter().map(|unit| Record::Claim(self.claim_on(unit)));
        let limit = Some(CLAIM_APPEND_MS);
        let append = self
            .journal
            .append(Stream::Claims, Term(0), records.collect(), limit);
        match append.await {
            Ok(offset) => self.wait_until_read(offset).await,
            Err(AppendError::NotAppended) => {}
            Err(AppendError::OutcomeUnknown) => self.wait_until_settled().await,
        }
        let mut claiming = self.claiming.borrow_mut();
        units.iter().for_each(|unit| {
            claiming.remove(unit);
        });
    }

    fn claim_on(&self, unit: &Unit) -> Claim {
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

    /// Waits until this node has read past an offset of the claims.
    pub(super) async fn wait_until_read(&self, offset: Offset) {
        loop {
            let seen = self.applied.count();
            if self.reader.borrow().next() > offset || self.env.ended.get() {
                return;
            }
            self.applied.wait_past(seen).await;
        }
    }

    /// Waits until given-up appends are settled and read as far as the journal read.
    pub(super) async fn wait_until_settled(&self) {
        loop {
            let is_settled = !self.log.has_unresolved_batch(Stream::Claims);
            let has_read = self.reader.borrow().next() >= self.log.read_position(Stream::Claims);
            if (is_settled && has_read) || self.env.ended.get() {
                return;
            }
            self.env.sleep(SETTLE_EVERY_MS).await;
        }
    }
}

fn rank_wait(rank: usize) -> Millis {
    Millis(NEXT_RANK_MS.0 * rank as u64)
}
