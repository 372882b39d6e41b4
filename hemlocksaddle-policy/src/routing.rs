//! Choice of the node and the executor that serve a request.
//!
//! A node knows its own slots exactly and those of its peers with a delay. It uses
//! a free slot of its own first. Otherwise it compares the expected wait in its own
//! queue with that at each peer plus the round trip, so that a request is not
//! forwarded when a local slot is expected to become free sooner. Among peers with
//! free slots, the one with the most is chosen.
//!
//! The reference is the median of the executors' mean service times. An executor
//! that is much slower than the reference is marked as slow and gets requests only
//! if there are no others or the wait for them is long. An extra send is a retry or
//! a hedge: a further attempt of a request that was sent before.
//!
//! Rejected alternatives: random choice, the power of two choices on each node's
//! local counts, and a subset of executors per node. All of them exceed the slots of
//! an executor when several nodes choose independently. The example `routing`
//! measures them.

/// Round trip between two nodes, in milliseconds; data centres are about 1 ms apart.
pub const PEER_ROUND_TRIP_MS: f64 = 2.0;

/// Service time assumed before the first response, in milliseconds.
pub const DEFAULT_SERVICE_MS: f64 = 20.0;

/// Window of the exponentially weighted moving average of service times, in completions: once it
/// is filled, the latest completion has a weight of 1/64.
const WINDOW_COMPLETIONS: f64 = 64.0;

/// Weight of the prior: number of completions with the reference service time that are added to
/// those of each executor.
///
/// With fewer, a single long request marks an executor as slow.
const PRIOR_COMPLETIONS: f64 = 8.0;

/// Half-life of evidence about an executor, in milliseconds.
///
/// An executor that is avoided yields no new evidence, so the old must decay for it
/// to be tried again; with 10 s, far below 1% of the requests try it.
const EVIDENCE_HALF_LIFE_MS: f64 = 10_000.0;

/// Multiple of the reference below which executors count as equally fast.
///
/// Averages of equal executors differ by chance; without this margin the one with
/// the lowest average would get most requests under low load.
const EQUAL_FACTOR: f64 = 1.3;

/// Multiple of the reference above which an executor is marked as slow.
const SLOW_FACTOR: f64 = 1.8;

/// Multiple of the reference at or below which a slow executor is no longer marked as slow.
const RECOVERED_FACTOR: f64 = 1.5;

/// One slot out of this many has to be free for an extra send.
const SPARE_SLOTS_DIVISOR: u32 = 10;

/// Ratio of wait to additional service time above which a slow executor is worth using.
///
/// A waiting request also delays those behind it, so the ratio is below one. At 95%
/// load with one slow executor in ten, the example `routing` measured a median of
/// 34.5 ms and a p99 of 113.4 ms with a ratio of 1, and 19.1 ms and 100.2 ms with
/// 0.25; 0.1 raised the p99.9 from 155.5 ms to 168.9 ms.
const SLOW_WAIT_RATIO: f64 = 0.25;

/// Slots and queue of a node for one service.
///
/// Slots are those of the executors that are not slow, or of the slow ones if there
/// are no others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of free slots.
    pub free: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of slots, free or in use.
    pub slots: u32,
    /// Mean service time in milliseconds; the reference of the node.
    pub mean_ms: f64,
}

/// Route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// A free slot of this node.
    Local,
    /// The peer with this index.
    Peer(usize),
    /// The queue of this node.
    Queue,
    /// No route: neither this node nor a peer has any slots, free or in use.
    Unavailable,
}

impl Load {
    /// Expected wait of a request that arrives now, in milliseconds; infinite without slots.
    #[must_use]
    pub fn expected_wait_ms(&self) -> f64 {
        if self.slots == 0 {
            return f64::INFINITY;
        }
        if self.free > self.waiting {
            return 0.0;
        }
        f64::from(self.waiting + 1 - self.free) * self.mean_ms / f64::from(self.slots)
    }
}

/// Chooses the route of a new request; `random` breaks ties between peers.
#[must_use]
pub fn choose_route(own: &Load, peers: &[Load], random: u64) -> Route {
    if own.free > own.waiting {
        return Route::Local;
    }
    let own_ms = own.expected_wait_ms();
    let best = best_peer(peers, random);
    match best {
        Some((index, peer_ms)) if peer_ms + PEER_ROUND_TRIP_MS < own_ms => Route::Peer(index),
        _ if own.slots > 0 => Route::Queue,
        _ => Route::Unavailable,
    }
}

/// Chooses the route of the last request in this node's queue.
#[must_use]
pub fn choose_route_for_last(own: &Load, peers: &[Load], random: u64) -> Route {
    let ahead = Load {
        waiting: own.waiting.saturating_sub(1),
        ..*own
    };
    choose_route(&ahead, peers, random)
}

/// Peer with the shortest expected wait; ties go to the peer with more free slots.
fn best_peer(peers: &[Load], random: u64) -> Option<(usize, f64)> {
    let count = peers.len();
    let start = usize::try_from(random % u64::try_from(count.max(1)).unwrap_or(1)).unwrap_or(0);
    let mut best: Option<(usize, f64, u32)> = None;
    for step in 0..count {
        let index = (start + step) % count;
        let wait_ms = peers[index].expected_wait_ms();
        let free = peers[index].free;
        let better = match best {
            None => wait_ms.is_finite(),
            Some((_, best_ms, best_free)) => {
                wait_ms < best_ms || (wait_ms == best_ms && free > best_free)
            }
        };
        if better {
            best = Some((index, wait_ms, free));
        }
    }
    best.map(|(index, wait_ms, _)| (index, wait_ms))
}

/// Whether an idle node should pull waiting requests from a peer.
#[must_use]
pub fn should_pull(peer: &Load) -> bool {
    peer.waiting > 0 && peer.expected_wait_ms() > PEER_ROUND_TRIP_MS
}

/// Whether a node can take an extra send without delaying other requests.
#[must_use]
pub fn has_spare_capacity(load: &Load) -> bool {
    load.waiting == 0 && load.free > 0 && load.free >= load.slots / SPARE_SLOTS_DIVISOR
}

/// Load and speed of an executor that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests in progress.
    pub in_use: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Mean service time in milliseconds, from [`ServiceTimeEstimate::effective_mean_ms`].
    pub mean_ms: f64,
}

/// Chooses the executor with the least work per slot among those with a free slot; `random`
/// breaks ties.
#[must_use]
pub fn choose_executor(candidates: &[Candidate], random: u64) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(random % u64::try_from(count.max(1)).unwrap_or(1)).unwrap_or(0);
    let order = (0..count).map(|step| (start + step) % count);
    let with_free_slot = order.filter(|index| candidates[*index].in_use < candidates[*index].slots);
    with_free_slot.min_by(|a, b| {
        candidates[*a]
            .work_per_slot_ms()
            .total_cmp(&candidates[*b].work_per_slot_ms())
    })
}

impl Candidate {
    fn work_per_slot_ms(&self) -> f64 {
        f64::from(self.in_use + 1) / f64::from(self.slots.max(1)) * self.mean_ms
    }
}

/// Whether a waiting request should use a slow executor.
///
/// It should if the expected wait for an executor that is not slow exceeds
/// `SLOW_WAIT_RATIO` times the additional service time of the slow one.
#[must_use]
pub fn should_use_slow(fast: &Load, slow_mean_ms: f64) -> bool {
    fast.expected_wait_ms() > SLOW_WAIT_RATIO * (slow_mean_ms - fast.mean_ms)
}

/// Estimate of the mean service time of an executor.
///
/// Requests in progress are right-censored observations: they contribute their age
/// but no completion. Without the decay and the prior, this is the maximum-likelihood
/// estimate for exponentially distributed times. An executor that stops responding is
/// therefore detected without waiting for its responses.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimeEstimate {
    completed: f64,
    busy_ms: f64,
    last_decay_ms: u64,
    in_use: u32,
    started_sum_ms: u64,
    slow: bool,
}

impl ServiceTimeEstimate {
    /// Records the start of a request.
    pub fn start(&mut self, now_ms: u64) {
        self.in_use += 1;
        self.started_sum_ms += now_ms;
    }

    /// Records the end of a request; only an answered one contributes to the estimate.
    pub fn end(&mut self, started_ms: u64, now_ms: u64, answered: bool) {
        self.in_use = self.in_use.saturating_sub(1);
        self.started_sum_ms = self.started_sum_ms.saturating_sub(started_ms);
        if !answered {
            return;
        }
        self.decay(now_ms);
        let keep = 1.0 - 1.0 / WINDOW_COMPLETIONS;
        self.completed = self.completed * keep + 1.0;
        self.busy_ms = self.busy_ms * keep + now_ms.saturating_sub(started_ms) as f64;
    }

    /// Mean service time in milliseconds, shrunk towards the reference while there
    /// is little evidence.
    #[must_use]
    pub fn mean_ms(&self, now_ms: u64, reference_ms: f64) -> f64 {
        let ages_ms = (u64::from(self.in_use) * now_ms).saturating_sub(self.started_sum_ms) as f64;
        let weight = self.decay_factor(now_ms);
        let busy_ms = self.busy_ms * weight + ages_ms + PRIOR_COMPLETIONS * reference_ms;
        busy_ms / (self.completed * weight + PRIOR_COMPLETIONS)
    }

    /// Mean service time for the choice of an executor, in milliseconds; the reference
    /// unless the executor is clearly slower.
    #[must_use]
    pub fn effective_mean_ms(&self, now_ms: u64, reference_ms: f64) -> f64 {
        let mean_ms = self.mean_ms(now_ms, reference_ms);
        if mean_ms < EQUAL_FACTOR * reference_ms {
            return reference_ms;
        }
        mean_ms
    }

    /// Mean service time of the answered requests alone, in milliseconds; `None` if
    /// there are too few.
    #[must_use]
    pub fn answered_mean_ms(&self, now_ms: u64) -> Option<f64> {
        let enough = self.completed * self.decay_factor(now_ms) >= PRIOR_COMPLETIONS;
        // Both sums decay by the same factor, which cancels out.
        enough.then(|| self.busy_ms / self.completed)
    }

    /// Updates and returns whether the executor is slow, with hysteresis.
    pub fn update_slow(&mut self, now_ms: u64, reference_ms: f64) -> bool {
        let factor = if self.slow {
            RECOVERED_FACTOR
        } else {
            SLOW_FACTOR
        };
        self.slow = self.mean_ms(now_ms, reference_ms) > factor * reference_ms;
        self.slow
    }

    /// Whether the executor was slow at the last update.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.slow
    }

    fn decay_factor(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.last_decay_ms) as f64;
        0.5_f64.powf(age_ms / EVIDENCE_HALF_LIFE_MS)
    }

    fn decay(&mut self, now_ms: u64) {
        let weight = self.decay_factor(now_ms);
        self.completed *= weight;
        self.busy_ms *= weight;
        self.last_decay_ms = now_ms;
    }
}

/// Reference service time in milliseconds: the median of the executors' means, or the
/// default if there are none.
///
/// Reorders `means`.
#[must_use]
pub fn reference_ms(means: &mut [f64]) -> f64 {
    if means.is_empty() {
        return DEFAULT_SERVICE_MS;
    }
    let middle = (means.len() - 1) / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
