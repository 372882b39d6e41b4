//! When a node claims a shard.
//!
//! A claim costs the shard its owner for some hundred milliseconds, so a node waits
//! for evidence that the owner is gone: its renewals have stopped, or it does not
//! answer its peers and has missed a renewal besides. Either alone has other causes.
//! Renewals are late while the store is slow, and a node that is cut off from the
//! owner hears no answer though all others do. Two claims at once do no harm,
//! because the store takes one of them.

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Interval at which an owner renews its claim.
pub const RENEW_INTERVAL_MS: Millis = Millis(700);

/// Silence of an owner after which its shard is claimed: two renewals and the answers of a slow store.
pub const OWNER_TIMEOUT_MS: Millis = Millis(1_900);

/// Silence after which the shard of an owner that does not answer is claimed: one renewal is missed.
const SUSPECT_TIMEOUT_MS: Millis = Millis(900);

/// Time for which an owner has not answered before it counts as suspect.
const SUSPECT_AFTER_MS: Millis = Millis(200);

/// Largest pause before a claim, so that few nodes collide.
const MAX_JITTER_MS: u64 = 250;

/// Pause before a claim for each shard that the node owns, so that shards spread over nodes.
const OWNED_SHARD_DELAY_MS: u64 = 400;

/// Longest pause for a node with a small share of a processor.
///
/// Above what any node with a full share waits, so that a slow one owns a shard
/// only where no other is left.
const MAX_SLOW_NODE_DELAY_MS: f64 = 2_000.0;

/// Share of a core from which a node waits no longer than others.
const FULL_SHARE: f64 = 0.25;

/// Smallest share that is told apart from none.
const MIN_SHARE: f64 = 0.05;

/// Times the owner's share of a core that a node needs to take the shard over from a working owner.
///
/// A small gain is not worth a take-over.
const MIN_SPEED_RATIO: f64 = 2.0;

/// Age of a claim from which a faster node may take over, so that the owner has recovered.
const MIN_CLAIM_AGE_MS: Millis = Millis(1_000);

/// Node that may claim a shard.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Share of a core.
    pub cpu_share: f64,
    /// Shards that it owns.
    pub owned: u64,
    /// Number jitter_seed for node, shard and term.
    pub jitter_seed: u64,
}

/// Claim of the present owner, as the candidate sees it.
#[derive(Clone, Copy, Debug)]
pub struct OwnerView {
    /// Last renewal that was read.
    pub renewed_at: MonoMs,
    /// First record of the term that was read.
    pub claimed_at: MonoMs,
    /// Whether the owner has given the shard up or has certainly ended.
    pub released: bool,
    /// Owner's share of a core.
    pub cpu_share: f64,
    /// Time since which the owner has not answered the candidate.
    pub unanswered_since: Option<MonoMs>,
}

/// What the candidate knows of a shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardView {
    /// Time since which the candidate has read the claims without a gap, and the shard exists.
    pub read_since: MonoMs,
    /// Present owner, if any node ever claimed the shard.
    pub owner: Option<OwnerView>,
}

impl Candidate {
    /// Whether the candidate should watch the owner closely, to take over quickly.
    #[must_use]
    pub fn has_full_share(&self) -> bool {
        self.cpu_share >= FULL_SHARE
    }

    /// Whether the candidate claims the shard now.
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
        let timeout = if owner.released {
            Millis(0)
        } else if is_suspect(&owner, now) {
            SUSPECT_TIMEOUT_MS
        } else {
            OWNER_TIMEOUT_MS
        };
        now.since(owner.renewed_at.max(shard.read_since)) >= timeout + delay
    }

    /// Pause before a claim: jitter_seed, longer for a node that owns shards or is slow.
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

    /// Whether the owner is slow and the candidate is not.
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
