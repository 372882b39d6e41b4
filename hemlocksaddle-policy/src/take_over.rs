//! When a node claims a shard from its owner (failover).
//!
//! A claim leaves the shard without an owner for some hundred milliseconds, so a
//! node needs evidence that the owner has failed: either its renewals have stopped,
//! or it does not respond to the node and has also missed one renewal. Neither a
//! missing response nor a single missed renewal is enough, because each has other
//! causes: renewals are late while the store is slow, and a node that is
//! partitioned from the owner gets no response although all others do. Concurrent
//! claims are safe, because the store accepts only one of them.
//!
//! A claim succeeds only if its node has read all earlier records of the shard, and it is fenced
//! against later ones. A renewal is sent before it is read, so no ownership lease of any earlier
//! term lasts longer than one lease from the time at which the last of these records was read:
//! the records of all earlier terms precede it, however short-lived the owners in between were.

use hemlocksaddle_types::clock::{Millis, MonoMs, WallMs};

/// Interval at which an owner renews its claim.
pub const RENEW_INTERVAL_MS: Millis = Millis(700);

/// Interval at which an owner renews a claim that it has offered to a named node, whose claim fails if
/// it meets a renewal.
///
/// The lease lasts for another 1.5 s when the next renewal is sent, longer than a call to the store may take.
const YIELD_INTERVAL_MS: Millis = Millis(1_500);

/// Time after which an owner renews its claim again.
#[must_use]
pub fn renew_interval(has_named_successor: bool) -> Millis {
    if has_named_successor {
        YIELD_INTERVAL_MS
    } else {
        RENEW_INTERVAL_MS
    }
}

/// Duration of the ownership lease, counted from the sending of the latest renewal.
///
/// It covers two missed renewals and a slow answer. A longer lease would make a
/// successor wait longer for workers that it cannot reach.
pub const OWNERSHIP_LEASE_MS: Millis = Millis(3_000);

/// Time without a renewal after which a shard is claimed: two renewals plus the
/// latency of a slow store.
pub const OWNER_TIMEOUT_MS: Millis = Millis(1_900);

/// Time without a renewal after which the shard of a suspect owner is claimed: one missed renewal.
const SUSPECT_TIMEOUT_MS: Millis = Millis(900);

/// Time after which a shard that was offered to one node is claimed by others.
///
/// The node first reads the state, which takes up to 5 s on a full link of 2 Mbit/s, while the owner goes on until
/// its grace period ends.
const SUCCESSOR_TIMEOUT_MS: Millis = Millis(5_000);

/// Shortest time for which a node that is about to stop claims a shard.
///
/// Its successor reads most of the state in that time over a link of 2 Mbit/s. Any other node would
/// read all of it after its claim, while the shard has no owner.
const MIN_LAST_TERM_MS: Millis = Millis(2_500);

/// Whether a node that has read the state of a shard which was offered to it should claim it
/// although its process ends after `left`.
#[must_use]
pub fn should_claim_before_stop(left: Millis) -> bool {
    left >= MIN_LAST_TERM_MS
}

/// Longest time for which an owner that claimed while it was about to stop waits for the offer of a
/// successor; each node offers itself once a second.
pub const MAX_WAIT_FOR_SUCCESSOR_MS: Millis = Millis(1_500);

/// Time without a response after which an owner is suspect.
const SUSPECT_AFTER_MS: Millis = Millis(200);

/// Range of the jitter of the claim delay, so that few nodes collide.
const MAX_JITTER_MS: u64 = 250;

/// Claim delay per shard that the node already owns, so that shards spread over nodes.
const OWNED_SHARD_DELAY_MS: u64 = 400;

/// Upper bound of the additional claim delay of a node with less than a full share of a core.
///
/// Exceeds the delay of nodes with a full share, so that a slow node owns a shard
/// only if no other node is left.
const MAX_SLOW_NODE_DELAY_MS: f64 = 2_000.0;

/// Share of a core at or above which the claim delay does not depend on the share.
const FULL_SHARE: f64 = 0.25;

/// Smallest share of a core that is distinguished; lower ones count as this.
const MIN_SHARE: f64 = 0.05;

/// Ratio of the node's share of a core to the owner's from which it takes over from
/// a working owner.
///
/// A smaller gain does not justify a failover.
const MIN_SPEED_RATIO: f64 = 2.0;

/// Age of a claim from which a faster node may take over, so that the owner has finished recovery.
const MIN_CLAIM_AGE_MS: Millis = Millis(1_000);

/// Node that may claim a shard.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Share of a core that the node has.
    pub cpu_share: f64,
    /// Number of shards that the node owns.
    pub owned: u64,
    /// Source of the jitter; depends on node, shard and term.
    pub jitter_seed: u64,
}

/// Node to which an owner that stops offers its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// Any node.
    Any,
    /// The candidate.
    Candidate,
    /// Another node.
    Other,
}

/// Claim of the current owner, as seen by the candidate.
#[derive(Clone, Copy, Debug)]
pub struct OwnerView {
    /// Time at which the last renewal was read.
    pub renewed_at: MonoMs,
    /// Time at which the first record of the term was read.
    pub claimed_at: MonoMs,
    /// Time since which the owner offers the shard, or has certainly terminated.
    ///
    /// An owner that stops goes on renewing its claim until another node has claimed the shard.
    pub released_since: Option<MonoMs>,
    /// Node to which the owner offers the shard.
    pub successor: Successor,
    /// Share of a core that the owner has.
    pub cpu_share: f64,
    /// Time since which the owner has not responded to the candidate.
    pub unanswered_since: Option<MonoMs>,
}

/// State of a shard, as seen by the candidate.
#[derive(Clone, Copy, Debug)]
pub struct ShardView {
    /// Time since which the shard exists and the candidate has read its claims without a gap.
    pub read_since: MonoMs,
    /// Current owner; `None` if no node has ever claimed the shard.
    pub owner: Option<OwnerView>,
}

/// Largest rate error of another process's clock that the wait for earlier leases allows for, in
/// percent.
const CLOCK_ERROR_PERCENT: u64 = 3;

/// Margin for the delay between a check of a lease and its effect.
const LEASE_MARGIN_MS: u64 = 100;

/// Time by which all workers' leases granted in earlier terms have expired.
///
/// `earlier_read_at` is the time at which the last record before the claim was read; `None` if no
/// earlier claim is known. The last lease is granted at the end of the predecessor's ownership
/// lease.
#[must_use]
pub fn failover_complete_at(
    earlier_read_at: Option<MonoMs>,
    now: MonoMs,
    worker_lease: Millis,
) -> MonoMs {
    let end_within = Millis(OWNERSHIP_LEASE_MS.0 + worker_lease.0);
    leases_expired_at(earlier_read_at.unwrap_or(now), end_within)
}

/// Time by which all workers' leases have expired that end within `end_within` of the last renewal of their
/// owner, which was read at `read_at`.
#[must_use]
pub fn leases_expired_at(read_at: MonoMs, end_within: Millis) -> MonoMs {
    let wait_ms = end_within.0 + end_within.0 * CLOCK_ERROR_PERCENT / 100 + LEASE_MARGIN_MS;
    read_at + Millis(wait_ms)
}

/// Longest lease of a worker that an owner grants.
///
/// The work of a lost worker waits for its lease, and has to run again within 9 s. A change of
/// owner, with the first report of every worker, takes up to half of it.
const MAX_WORKER_LEASE_MS: Millis = Millis(6_000);

/// Lease that an owner grants to a worker where the platform allows leases up to `limit`.
///
/// The wait for leases of earlier terms counts with `limit`, which other versions may have granted.
#[must_use]
pub fn worker_lease(limit: Millis) -> Millis {
    limit.min(MAX_WORKER_LEASE_MS)
}

/// Time after a renewal from which leases of workers are shortened.
///
/// Two renewals and a slow answer; only an owner that may be about to lose the shard shortens leases.
const FULL_LEASES_MS: Millis = Millis(2_000);

/// Time after the latest renewal of an owner within which every worker's lease that it grants ends, on
/// the worker's clock.
#[must_use]
pub fn leases_end_within(limit: Millis) -> Millis {
    FULL_LEASES_MS + worker_lease(limit)
}

/// Lease that an owner grants to a worker at `now`, after a renewal that was sent at `renewed_at`.
#[must_use]
pub fn granted_lease(limit: Millis, renewed_at: ClockReading, now: ClockReading) -> Millis {
    let left_ms = leases_end_within(limit)
        .0
        .saturating_sub(renewed_at.elapsed(now).0);
    worker_lease(limit).min(Millis(left_ms))
}

/// Both clocks of a node at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic clock, which does not count a suspension of the machine; read first.
    pub mono: MonoMs,
    /// Wall clock, which counts it but may be set.
    pub wall: WallMs,
}

impl ClockReading {
    /// Time since this reading, by the clock on which more has passed.
    #[must_use]
    pub fn elapsed(self, now: ClockReading) -> Millis {
        now.mono.since(self.mono).max(now.wall.since(self.wall))
    }

    /// Whether the ownership lease of a renewal sent at `self` is valid at `now`, by both clocks.
    #[must_use]
    pub fn lease_is_valid(self, now: ClockReading) -> bool {
        let wall_is_valid = now.wall >= self.wall && now.wall.since(self.wall) < OWNERSHIP_LEASE_MS;
        now.mono < self.mono + OWNERSHIP_LEASE_MS && wall_is_valid
    }
}

/// Sending of an append whose sequence number stays the same until it is answered.
///
/// The store may answer a repeat like an attempt that took effect before, without a new
/// record, so a lease granted by the answer runs from the first attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AppendAttempts {
    first_sent_at: Option<ClockReading>,
}

impl AppendAttempts {
    /// Records an attempt sent at `now`; returns the time from which its lease runs.
    pub fn send(&mut self, now: ClockReading) -> ClockReading {
        *self.first_sent_at.get_or_insert(now)
    }

    /// Records that the attempt sent at `sent_at` certainly had no effect.
    pub fn rejected(&mut self, sent_at: ClockReading) {
        // An earlier attempt without an answer may still have taken effect.
        self.first_sent_at = self.first_sent_at.filter(|&first| first != sent_at);
    }

    /// Time from which the lease runs; `None` if no attempt can have taken effect.
    #[must_use]
    pub fn first_sent_at(&self) -> Option<ClockReading> {
        self.first_sent_at
    }
}

impl Candidate {
    /// Whether the candidate has a full share of a core and should therefore
    /// monitor the owner closely, for a fast failover.
    #[must_use]
    pub fn has_full_share(&self) -> bool {
        self.cpu_share >= FULL_SHARE
    }

    /// Whether the candidate should claim the shard now.
    #[must_use]
    pub fn should_claim(&self, shard: &ShardView, now: MonoMs) -> bool {
        let delay = self.claim_delay();
        let Some(owner) = shard.owner else {
            return now.since(shard.read_since) >= delay;
        };
        if self.is_much_faster(owner.cpu_share)
            && now.since(owner.claimed_at) >= MIN_CLAIM_AGE_MS + delay
        {
            return now.since(shard.read_since) >= delay;
        }
        let (since, timeout) = match owner.released_since {
            Some(_) if owner.successor == Successor::Candidate => return true,
            Some(released_since) if owner.successor == Successor::Other => {
                (released_since, SUCCESSOR_TIMEOUT_MS)
            }
            Some(released_since) => (released_since, Millis(0)),
            None if is_suspect(&owner, now) => (owner.renewed_at, SUSPECT_TIMEOUT_MS),
            None => (owner.renewed_at, OWNER_TIMEOUT_MS),
        };
        now.since(since.max(shard.read_since)) >= timeout + delay
    }

    /// Delay before a claim: jitter, plus an amount per owned shard and for a slow node.
    #[must_use]
    pub fn claim_delay(&self) -> Millis {
        let share = self.cpu_share.clamp(MIN_SHARE, FULL_SHARE);
        let slow_node_ms = MAX_SLOW_NODE_DELAY_MS * (1.0 - share / FULL_SHARE);
        Millis(
            self.jitter_seed % MAX_JITTER_MS
                + slow_node_ms as u64
                + OWNED_SHARD_DELAY_MS * self.owned,
        )
    }

    /// Whether the owner has less than a full share of a core, and the candidate a
    /// full one that is at least `MIN_SPEED_RATIO` times as large.
    fn is_much_faster(&self, owner_share: f64) -> bool {
        let is_slow = owner_share < FULL_SHARE && self.cpu_share >= MIN_SPEED_RATIO * owner_share;
        self.has_full_share() && is_slow
    }
}

fn is_suspect(owner: &OwnerView, now: MonoMs) -> bool {
    owner
        .unanswered_since
        .is_some_and(|since| now.since(since) >= SUSPECT_AFTER_MS)
}
