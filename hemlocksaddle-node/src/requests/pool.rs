//! Executors of one service that this node owns, and their slots.
//!
//! Executors and slots are stored in arenas. An executor that was removed from the
//! document, whose unit was lost, or that the host list shows as leaving is
//! drained: it receives no new requests and is removed when its last one has ended.

use std::collections::HashSet;

use hemlocksaddle_policy::{
    admission::Queue,
    backoff::{Backoff, BackoffConfig, Permission},
    retry::Budget,
    routing::{self, Candidate, Load, ServiceTimeEstimate},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    document::Document,
    name::{ExecutorName, ServiceName},
    peer::SlotSummary,
    request::RequestId,
    unit::Unit,
};
use slotmap::{SlotMap, new_key_type};

use super::{peers::PeerView, waiting::WaitQueue};

new_key_type! {
    /// Key of an executor.
    pub(super) struct ExecutorKey;
    /// Key of an occupied slot.
    pub(super) struct SlotKey;
}

/// Backoff of a failing executor.
const EXECUTOR_BACKOFF: BackoffConfig = BackoffConfig {
    initial_ms: Millis(200),
    max_ms: Millis(10_000),
    probe_timeout_ms: Millis(10_000),
};

/// Consecutive error responses after which an executor is put into backoff while others succeed.
///
/// An executor that fails immediately looks fast and would attract most requests.
const CONSECUTIVE_ERROR_LIMIT: u32 = 5;

/// Kind of failure of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No connection was established.
    Unreachable,
    /// The response was lost.
    NoAnswer,
    /// It responded with a server error.
    Errors,
}

/// How a request on a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Never sent, for a reason unrelated to the executor.
    Unused,
    /// Answered without a server error.
    Answered,
    /// Failed because of the executor.
    Failed(Failure),
}

/// Executor that this node owns, or a former one that is drained.
pub(super) struct Executor {
    /// Name in the document.
    pub(super) name: ExecutorName,
    /// IP address and port.
    pub(super) address: std::net::SocketAddr,
    /// Unit of ownership.
    pub(super) unit: Unit,
    /// Whether it may receive new requests; if not, it is drained.
    pub(super) open: bool,
    in_use: u32,
    consecutive_errors: u32,
    service_time: ServiceTimeEstimate,
}

/// Occupied slot.
pub(super) struct Slot {
    /// Executor to which the slot belongs.
    pub(super) executor: ExecutorKey,
    /// Request that occupies the slot.
    pub(super) request: RequestId,
    since_ms: MonoMs,
    probe: bool,
    end_recorded: bool,
}

/// State of one service on this node.
pub(super) struct Pool {
    /// Name of the service.
    pub(super) service: ServiceName,
    /// Requests that wait for a slot.
    pub(super) waiting: WaitQueue,
    /// Load of the peers.
    pub(super) peers: Vec<PeerView>,
    /// Time of the last update of `peers` from the heartbeats.
    pub(super) peers_refreshed_ms: MonoMs,
    /// Retry budget, shared by retries and hedges.
    pub(super) budget: Budget,
    /// Maximum number of connections to an executor.
    pub(super) connections: u32,
    /// Longest deadline of a request.
    pub(super) max_deadline_ms: Millis,
    slots_per_executor: u32,
    executors: SlotMap<ExecutorKey, Executor>,
    slots: SlotMap<SlotKey, Slot>,
    backoff: Backoff<ExecutorName, Failure>,
    reference_ms: f64,
}

impl Pool {
    pub(super) fn new(document: &Document, retry_percent: u32) -> Pool {
        Pool {
            service: document.service.clone(),
            waiting: WaitQueue::default(),
            peers: Vec::new(),
            peers_refreshed_ms: MonoMs(0),
            budget: Budget::new(retry_percent),
            connections: document.connections,
            max_deadline_ms: document.max_deadline_ms,
            slots_per_executor: document.slots,
            executors: SlotMap::with_key(),
            slots: SlotMap::with_key(),
            backoff: Backoff::new(EXECUTOR_BACKOFF),
            reference_ms: routing::DEFAULT_SERVICE_MS,
        }
    }

    /// Applies the document and the set of executors that may receive requests.
    pub(super) fn refresh(&mut self, document: &Document, open: &HashSet<ExecutorName>) {
        self.slots_per_executor = document.slots;
        self.connections = document.connections;
        self.max_deadline_ms = document.max_deadline_ms;
        for executor in self.executors.values_mut() {
            executor.open = false;
        }
        for listed in &document.executors {
            if open.contains(&listed.name) {
                self.open(listed);
            }
        }
        self.executors
            .retain(|_, executor| executor.open || executor.in_use > 0);
        let executors = &self.executors;
        self.backoff
            .retain(|name| executors.values().any(|executor| executor.name == *name));
    }

    fn open(&mut self, listed: &hemlocksaddle_types::document::Executor) {
        let mut known = self.executors.values_mut();
        let same = known.find(|e| e.name == listed.name && e.address == listed.address);
        if let Some(executor) = same {
            executor.open = true;
            return;
        }
        self.executors.insert(Executor {
            name: listed.name.clone(),
            address: listed.address,
            unit: Unit::Target(self.service.clone(), listed.name.clone()),
            open: true,
            in_use: 0,
            consecutive_errors: 0,
            service_time: ServiceTimeEstimate::default(),
        });
    }

    /// Updates the reference service time and which executors are slow.
    pub(super) fn update_slow_executors(&mut self, now: MonoMs) {
        let open = self.executors.values().filter(|executor| executor.open);
        let mut means: Vec<f64> = open
            .filter_map(|executor| executor.service_time.answered_mean_ms(now.0))
            .collect();
        if !means.is_empty() {
            // With a reference near zero, every delay would count as slow.
            self.reference_ms = routing::reference_ms(&mut means).max(1.0);
        }
        for executor in self.executors.values_mut() {
            executor.service_time.update_slow(now.0, self.reference_ms);
        }
    }

    /// Executors that may receive a request now and whose slow state is `slow`.
    fn usable(&self, slow: bool, now: MonoMs) -> impl Iterator<Item = (ExecutorKey, &Executor)> {
        let backoff_allows =
            move |name| !matches!(self.backoff.peek(name, now), Permission::NotBefore(_));
        self.executors
            .iter()
            .filter(move |(_, executor)| executor.open && executor.service_time.is_slow() == slow)
            .filter(move |(_, executor)| backoff_allows(&executor.name))
    }

    /// Load of the executors that are not slow, or of the slow ones if there are no others.
    pub(super) fn load(&self, now: MonoMs) -> Load {
        let fast = self.load_of(false, now);
        if fast.slots > 0 {
            fast
        } else {
            self.load_of(true, now)
        }
    }

    fn load_of(&self, slow: bool, now: MonoMs) -> Load {
        let mut load = Load {
            waiting: self.waiting.len(),
            mean_ms: self.reference_ms,
            ..Load::default()
        };
        for (_, executor) in self.usable(slow, now) {
            load.slots += self.slots_per_executor;
            load.free += self.slots_per_executor.saturating_sub(executor.in_use);
        }
        load
    }

    /// Reference service time in milliseconds: the median of the executors' means.
    pub(super) fn reference_ms(&self) -> f64 {
        self.reference_ms
    }

    /// Queue that a request would join, for admission control.
    ///
    /// If all executors are in backoff, it has the slots of those that may be probed before the
    /// deadline.
    pub(super) fn queue(&self, waiting_per_slot: u32, now: MonoMs, deadline: MonoMs) -> Queue {
        let load = self.load(now);
        let slots = match load.slots {
            0 => self.slots_available_by(deadline, now),
            slots => slots,
        };
        Queue {
            waiting: load.waiting,
            limit: waiting_per_slot.saturating_mul(slots),
            slots,
            mean_ms: load.mean_ms,
        }
    }

    fn slots_available_by(&self, deadline: MonoMs, now: MonoMs) -> u32 {
        let open = self.executors.values().filter(|executor| executor.open);
        let in_time = open.filter(|executor| match self.backoff.peek(&executor.name, now) {
            Permission::Granted | Permission::Probe => true,
            Permission::NotBefore(at) => at < deadline,
        });
        in_time.map(|_| self.slots_per_executor).sum()
    }

    /// Load as reported to peers.
    pub(super) fn summary(&self, now: MonoMs) -> SlotSummary {
        let load = self.load(now);
        SlotSummary {
            service: self.service.clone(),
            free: load.free,
            total: load.slots,
            waiting: load.waiting,
            // A `u32` holds 71 minutes in microseconds, more than any mean service time.
            mean_us: (load.mean_ms * 1_000.0) as u32,
        }
    }

    /// Reserves a free slot for a request, avoiding one executor.
    pub(super) fn reserve(
        &mut self,
        request: &RequestId,
        avoid: Option<&ExecutorName>,
        now: MonoMs,
        random: u64,
    ) -> Option<SlotKey> {
        let fast = self.load_of(false, now);
        let executor = self
            .choose_executor(false, avoid, now, random)
            .or_else(|| {
                let allowed = fast.slots == 0 || self.should_use_slow(&fast, now);
                allowed.then(|| self.choose_executor(true, avoid, now, random))?
            })?;
        let state = self.executors.get_mut(executor)?;
        let probe = self.backoff.acquire(&state.name, now) == Permission::Probe;
        state.in_use += 1;
        state.service_time.start(now.0);
        Some(self.slots.insert(Slot {
            executor,
            request: request.clone(),
            since_ms: now,
            probe,
            end_recorded: false,
        }))
    }

    fn should_use_slow(&self, fast: &Load, now: MonoMs) -> bool {
        let means = self
            .usable(true, now)
            .map(|(_, executor)| executor.service_time.mean_ms(now.0, self.reference_ms));
        let fastest = means.min_by(f64::total_cmp);
        fastest.is_some_and(|mean_ms| routing::should_use_slow(fast, mean_ms))
    }

    fn choose_executor(
        &self,
        slow: bool,
        avoid: Option<&ExecutorName>,
        now: MonoMs,
        random: u64,
    ) -> Option<ExecutorKey> {
        let (keys, candidates): (Vec<ExecutorKey>, Vec<Candidate>) = self
            .usable(slow, now)
            .filter(|(_, executor)| avoid != Some(&executor.name))
            .map(|(key, executor)| (key, self.candidate(executor, now)))
            .unzip();
        let index = routing::choose_executor(&candidates, random)?;
        Some(keys[index])
    }

    fn candidate(&self, executor: &Executor, now: MonoMs) -> Candidate {
        Candidate {
            in_use: executor.in_use,
            slots: self.slots_per_executor,
            mean_ms: executor
                .service_time
                .effective_mean_ms(now.0, self.reference_ms),
        }
    }

    /// Slot and its executor.
    pub(super) fn slot(&self, key: SlotKey) -> Option<(&Slot, &Executor)> {
        let slot = self.slots.get(key)?;
        Some((slot, self.executors.get(slot.executor)?))
    }

    /// Frees a slot.
    pub(super) fn release(&mut self, key: SlotKey) {
        if let Some(slot) = self.slots.remove(key)
            && let Some(executor) = self.executors.get_mut(slot.executor)
        {
            executor.in_use = executor.in_use.saturating_sub(1);
        }
    }

    /// Records how a request ended, once per slot.
    ///
    /// Returns the executor if this puts it into backoff.
    pub(super) fn record_end(
        &mut self,
        key: SlotKey,
        end: End,
        now: MonoMs,
        random: u64,
    ) -> Option<ExecutorName> {
        let slot = self.slots.get_mut(key)?;
        if std::mem::replace(&mut slot.end_recorded, true) {
            return None;
        }
        let slot = &self.slots[key];
        let executor = self.executors.get_mut(slot.executor)?;
        let answered = end == End::Answered;
        executor.service_time.end(slot.since_ms.0, now.0, answered);
        match end {
            End::Unused => return None,
            End::Answered => executor.consecutive_errors = 0,
            End::Failed(Failure::Errors) => executor.consecutive_errors += 1,
            End::Failed(_) => {}
        }
        let name = executor.name.clone();
        let failure = self.failure_to_count(slot.executor, end);
        match failure {
            None => {
                self.backoff.record_success(&name);
                None
            }
            // Concurrent requests that fail together count as one failure.
            Some(_) if !slot.probe && self.backoff.peek(&name, now) != Permission::Granted => None,
            Some(failure) => {
                self.backoff.record_refusal(&name, failure, now, random);
                Some(name)
            }
        }
    }

    fn failure_to_count(&self, key: ExecutorKey, end: End) -> Option<Failure> {
        match end {
            End::Failed(Failure::Errors) => {
                let errors = self.executors[key].consecutive_errors;
                let mut others = self.executors.iter().filter(|(other, _)| *other != key);
                let others_succeed = others.any(|(_, other)| other.consecutive_errors == 0);
                (errors >= CONSECUTIVE_ERROR_LIMIT && others_succeed).then_some(Failure::Errors)
            }
            End::Failed(failure) => Some(failure),
            End::Unused | End::Answered => None,
        }
    }

    /// Whether no request waits or occupies a slot.
    pub(super) fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.waiting.len() == 0
    }

    /// Number of occupied slots.
    pub(super) fn in_use(&self) -> usize {
        self.slots.len()
    }
}
