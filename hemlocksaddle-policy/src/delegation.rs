//! Which nodes carry out an owner's calls to its workers.
//!
//! One owner sees all workers of a shard and therefore places better than several
//! that see a part, but each call to a worker costs it processor time and bytes. An
//! owner whose own processor or link does not suffice for its workers delegates the
//! calls to other nodes. It uses as few of them as suffice, because each needs the
//! text of the workflows whose tasks it starts, and prefers those with a large share
//! of a core, whose answers are fast.
//!
//! A worker is called through a node in its own data centre if there is one. The
//! node is chosen by rendezvous hashing over racks, so that a delegate that is lost
//! or gained moves only its own racks.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    delegation::Offer,
    hash::stable_hash,
    name::{DataCentre, NodeName},
};

use crate::recovery_watch::StoreView;

/// Interval at which a node repeats its offer.
pub const OFFER_INTERVAL_MS: Millis = Millis(1_000);

/// Time without an offer or an answer after which a node no longer counts.
///
/// A delegate that fails is noticed by its unanswered calls. A short limit would drop the delegates
/// of an owner whose link is congested, which needs them most.
const HEARD_TTL_MS: Millis = Millis(10_000);

/// Time without an offer or an answer after which a node may be gone: three offers.
const ALIVE_TTL_MS: Millis = Millis(3_000);

/// Time from the offer of a shard within which a successor is still named.
const RENAME_WITHIN_MS: Millis = Millis(1_500);

/// Time for which a delegate that did not answer is not used.
const FAILED_PAUSE_MS: Millis = Millis(3_000);

/// Thousandths of a core that the calls to one worker take: five calls a second of 150 us each, and
/// as much again for peaks.
const CPU_MILLI_PER_WORKER: f64 = 1.5;

/// Bandwidth that the calls to one worker take, in kbit/s: five calls a second of 1,200 bytes, and
/// as much again for peaks.
const KBPS_PER_WORKER: f64 = 100.0;

/// Capacity of the delegates relative to the number of workers, so that one may be lost.
const SPARE: f64 = 1.5;

/// Time by which a process started after the owner's if its node has been restarted since.
///
/// Above the differences at the start of a deployment, and those of clocks.
const RESTARTED_AFTER_MS: Millis = Millis(15_000);

/// Share of a core in thousandths at or above which a node is preferred.
const FULL_SHARE_MILLI: u32 = 250;

/// Number of workers that a node can call.
#[must_use]
pub fn worker_capacity(cpu_milli: u32, link_kbps: u32) -> f64 {
    let by_cpu = f64::from(cpu_milli) / CPU_MILLI_PER_WORKER;
    by_cpu.min(f64::from(link_kbps) / KBPS_PER_WORKER)
}

/// Whether a node should offer itself to an owner.
///
/// Nodes with a small share of a core do so only if the owner is one of them, because then there
/// are probably no others.
#[must_use]
pub fn should_offer(cpu_milli: u32, owner_cpu_milli: u32) -> bool {
    cpu_milli >= FULL_SHARE_MILLI || owner_cpu_milli < FULL_SHARE_MILLI
}

/// Node that has offered to carry out calls.
#[derive(Clone, Debug)]
struct Candidate {
    offer: Offer,
    heard_at: MonoMs,
    failed_until: MonoMs,
    /// Whether the process declined a call.
    is_stopping: bool,
    /// Whether the owner has a connection to it.
    is_connected: bool,
}

impl Candidate {
    fn is_usable(&self, now: MonoMs) -> bool {
        self.offer.available
            && self.is_connected
            && now.since(self.heard_at) < HEARD_TTL_MS
            && now >= self.failed_until
    }

    fn capacity(&self) -> f64 {
        worker_capacity(self.offer.cpu_milli, self.offer.link_kbps)
    }

    /// Whether it was heard lately, and is not about to stop.
    ///
    /// Whether the owner can reach it does not matter: the owner's own link may be full.
    fn is_alive(&self, now: MonoMs) -> bool {
        self.offer.available && now.since(self.heard_at) < ALIVE_TTL_MS
    }

    fn store(&self) -> Option<StoreView> {
        let latency = self.offer.store_latency_ms?;
        Some(StoreView {
            latency,
            failing_for: self.offer.store_failing_ms,
        })
    }
}

/// Node that calls are delegated to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// Name of the node.
    pub node: NodeName,
    /// Data centre that the node is in.
    pub data_centre: DataCentre,
    /// Address for peers.
    pub address: SocketAddr,
}

/// Delegates of an owner.
#[derive(Debug)]
pub struct Delegates {
    own_capacity: f64,
    candidates: BTreeMap<NodeName, Candidate>,
    active: Vec<Delegate>,
}

impl Delegates {
    /// No delegates, for an owner with the given share of a core and link.
    #[must_use]
    pub fn new(cpu_milli: u32, link_kbps: u32) -> Delegates {
        Delegates {
            own_capacity: worker_capacity(cpu_milli, link_kbps),
            candidates: BTreeMap::new(),
            active: Vec::new(),
        }
    }

    /// Records an offer.
    pub fn record_offer(&mut self, mut offer: Offer, now: MonoMs) {
        let node = offer.node.clone();
        let known = self.candidates.get(&node);
        let failed_until = known.map_or(MonoMs(0), |known| known.failed_until);
        // An offer that was sent before the process began to stop may arrive late.
        let is_stopping = known
            .is_some_and(|known| known.is_stopping && known.offer.started_ms == offer.started_ms);
        offer.available &= !is_stopping;
        let is_connected = known.is_none_or(|known| known.is_connected);
        let candidate = Candidate {
            offer,
            heard_at: now,
            failed_until,
            is_stopping,
            is_connected,
        };
        self.candidates.insert(node, candidate);
    }

    /// Records that a delegate answered a call.
    pub fn record_answer(&mut self, node: &NodeName, now: MonoMs) {
        if let Some(candidate) = self.candidates.get_mut(node) {
            candidate.heard_at = now;
        }
    }

    /// Records that a delegate did not answer, and stops using it.
    pub fn record_failure(&mut self, node: &NodeName, now: MonoMs) {
        if let Some(candidate) = self.candidates.get_mut(node) {
            candidate.failed_until = now + FAILED_PAUSE_MS;
        }
        self.active.retain(|delegate| delegate.node != *node);
    }

    /// Records that a node declined a call because it is stopping, and stops using its process.
    pub fn record_declined(&mut self, node: &NodeName) {
        if let Some(candidate) = self.candidates.get_mut(node) {
            candidate.offer.available = false;
            candidate.is_stopping = true;
        }
        self.active.retain(|delegate| delegate.node != *node);
    }

    /// Records to which candidates connections are open; others are not chosen.
    pub fn record_connections(&mut self, is_open: impl Fn(SocketAddr) -> bool) {
        for candidate in self.candidates.values_mut() {
            candidate.is_connected = is_open(candidate.offer.address);
        }
    }

    /// Records that the connection to a delegate was closed, and stops using it until there is one.
    pub fn record_disconnected(&mut self, node: &NodeName) {
        if let Some(candidate) = self.candidates.get_mut(node) {
            candidate.is_connected = false;
        }
        self.active.retain(|delegate| delegate.node != *node);
    }

    /// Chooses the delegates for a number of workers; returns whether they changed.
    pub fn choose(&mut self, workers: usize, now: MonoMs) -> bool {
        self.candidates
            .retain(|_, candidate| now.since(candidate.heard_at) < HEARD_TTL_MS);
        let mut chosen = Vec::new();
        if workers as f64 > self.own_capacity {
            let mut needed = workers as f64 * SPARE;
            for candidate in self.by_preference(now) {
                if needed <= 0.0 {
                    break;
                }
                needed -= candidate.capacity();
                chosen.push(Delegate {
                    node: candidate.offer.node.clone(),
                    data_centre: candidate.offer.data_centre.clone(),
                    address: candidate.offer.address,
                });
            }
        }
        let changed = chosen != self.active;
        self.active = chosen;
        changed
    }

    /// Usable candidates: nodes with a large share first, and of these in turn one of each data
    /// centre.
    fn by_preference(&self, now: MonoMs) -> Vec<&Candidate> {
        let mut ranks: BTreeMap<&DataCentre, u32> = BTreeMap::new();
        let mut usable: Vec<&Candidate> = self
            .candidates
            .values()
            .filter(|candidate| candidate.is_usable(now))
            .collect();
        usable.sort_by_key(|candidate| candidate.offer.cpu_milli < FULL_SHARE_MILLI);
        let mut ranked: Vec<_> = usable
            .into_iter()
            .map(|candidate| {
                let rank = ranks.entry(&candidate.offer.data_centre).or_default();
                *rank += 1;
                let is_slow = candidate.offer.cpu_milli < FULL_SHARE_MILLI;
                ((is_slow, *rank), candidate)
            })
            .collect();
        ranked.sort_by_key(|(key, _)| *key);
        ranked.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Node that should own the shard after the owner, a process that started at `started_ms`.
    ///
    /// A fast node comes first. Of these, one that has been restarted since: nodes that are stopped in turn
    /// are stopped once each, so that it stays. Then the one that reads the state soonest.
    #[must_use]
    pub fn successor(&self, started_ms: u64, now: MonoMs) -> Option<&NodeName> {
        let usable = self.candidates.values();
        let usable = usable.filter(|candidate| candidate.is_alive(now));
        let best = usable.max_by_key(|candidate| {
            let offer = &candidate.offer;
            let is_fast = offer.cpu_milli >= FULL_SHARE_MILLI;
            let was_restarted = offer.started_ms >= started_ms + RESTARTED_AFTER_MS.0;
            (is_fast, was_restarted, offer.link_kbps, offer.cpu_milli)
        });
        best.map(|candidate| &candidate.offer.node)
    }

    /// Node that may recover the shard sooner than an owner that has a share of a core, a link and a view of the
    /// store; `None` if there is none.
    ///
    /// It has no smaller share and no narrower link than the owner. The store's answers come first, since
    /// recovery mostly waits for them.
    #[must_use]
    pub fn better_owner(
        &self,
        cpu_milli: u32,
        link_kbps: u32,
        store: StoreView,
        now: MonoMs,
    ) -> Option<&NodeName> {
        let better = self.candidates.values().filter(|candidate| {
            let offer = &candidate.offer;
            candidate.is_alive(now)
                && offer.cpu_milli >= cpu_milli
                && offer.link_kbps >= link_kbps
                && store.may_be_better(candidate.store())
        });
        let best = better.min_by_key(|candidate| {
            let offer = &candidate.offer;
            let latency = offer.store_latency_ms.unwrap_or(store.latency);
            (latency, Reverse(offer.link_kbps), Reverse(offer.cpu_milli))
        });
        best.map(|candidate| &candidate.offer.node)
    }

    /// Node that should own the shard after the owner has offered it to `named` for `waited`.
    ///
    /// An owner that has just recovered knows no offers at first, and the named node may be about to stop. Another
    /// one is only named early, since it has to read the state; later the named one is kept as long as it is known.
    #[must_use]
    pub fn next_successor(
        &self,
        named: Option<&NodeName>,
        started_ms: u64,
        waited: Millis,
        now: MonoMs,
    ) -> Option<&NodeName> {
        let known = named.and_then(|named| self.candidates.get_key_value(named));
        match known {
            Some((node, candidate)) if candidate.offer.available => Some(node),
            _ if waited < RENAME_WITHIN_MS => self.successor(started_ms, now),
            // It has read most of the state by now, and may claim before it stops.
            Some((node, _)) => Some(node),
            None => None,
        }
    }

    /// Nodes that calls are delegated to.
    #[must_use]
    pub fn active(&self) -> &[Delegate] {
        &self.active
    }

    /// Node through which the workers of a rack are called; `None` if the owner calls them itself.
    #[must_use]
    pub fn route(&self, data_centre: &DataCentre, rack: &str) -> Option<&Delegate> {
        let is_near = |delegate: &&Delegate| delegate.data_centre == *data_centre;
        let near = self.active.iter().filter(is_near);
        let weight = |delegate: &&Delegate| {
            avalanche(stable_hash(&[
                delegate.node.as_str().as_bytes(),
                rack.as_bytes(),
            ]))
        };
        near.max_by_key(weight)
            .or_else(|| self.active.iter().max_by_key(weight))
    }
}

/// Spreads a difference in any bit over all bits, as the comparison of weights needs.
///
/// Constants are those of the finaliser of MurmurHash3.
fn avalanche(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
