//! Evacuation of leaving hosts and data centres, and the ramp-up after a data centre's return.
//!
//! Tasks are evicted only as far as other racks have free resources: a task that
//! keeps running in a leaving data centre makes more progress than one that waits
//! in a queue. The free resources are divided among all racks that are not open.
//! Tasks that can neither be checkpointed nor run again stay until they end.

use std::rc::Rc;

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostState,
    name::RackName,
    peer::RackSummary,
    resources::Resources,
};

use super::{
    Racks,
    state::{CommitmentKey, Phase, State},
};
use crate::event::Event;

/// Interval between evacuation rounds; exceeds the time until the summaries show the effect of
/// a round.
const EVACUATION_INTERVAL_MS: Millis = Millis(1_500);
/// Maximum age of a peer's rack summaries.
const MAX_SUMMARY_AGE_MS: Millis = Millis(2_000);
/// Duration of the ramp-up after the return of a data centre.
const RAMP_MS: Millis = Millis(10_000);
/// Increase of the start rate of a rack, in starts per second for each second of the ramp.
const RAMP_STEP: u64 = 2;

impl Racks {
    /// Evicts tasks from leaving hosts and data centres until the node stops.
    pub(super) async fn run_evacuation(self: Rc<Self>) {
        while self.running.get() {
            self.core.ports.runtime.sleep(EVACUATION_INTERVAL_MS).await;
            if self.stopping.get() {
                continue;
            }
            let racks: Vec<RackName> = self.state.borrow().racks.keys().cloned().collect();
            let leaving: Vec<CommitmentKey> = racks
                .iter()
                .flat_map(|rack| self.select_evictions(rack))
                .collect();
            for key in leaving {
                self.record_eviction(key);
                let resumable = self
                    .state
                    .borrow()
                    .commitments
                    .get(key)
                    .is_some_and(|c| c.resumable);
                self.begin_stop(key, resumable);
            }
        }
    }

    fn record_eviction(&self, key: CommitmentKey) {
        let state = self.state.borrow();
        if let Some(commitment) = state.commitments.get(key) {
            Event::TaskEvicted.log(format_args!("{:?} from a leaving host", commitment.id));
            self.core
                .metrics
                .tasks
                .with_label_values(&["evicted"])
                .inc();
        }
    }

    /// Tasks of a rack to evict in this round.
    fn select_evictions(&self, rack: &RackName) -> Vec<CommitmentKey> {
        let state = self.state.borrow();
        let Some(owned) = state.racks.get(rack) else {
            return Vec::new();
        };
        if !self.holds_rack_lease(rack, owned.term) {
            return Vec::new();
        }
        let out = self.core.configuration.is_out(&owned.data_centre);
        let mut movable = movable(&state, rack, out);
        if movable.is_empty() {
            return movable;
        }
        movable.sort_by_key(|key| unsaved_work(&state, *key));
        let mut free = self.free_elsewhere(&state, rack);
        movable.retain(|key| {
            let demand = state.commitments.get(*key).map(|c| c.demand);
            let Some(demand) = demand.filter(|demand| demand.fits_in(&free)) else {
                return false;
            };
            free -= demand;
            true
        });
        movable
    }

    /// This rack's share of the free resources in open racks, minus the demand of tasks that are
    /// already being stopped.
    fn free_elsewhere(&self, state: &State, rack: &RackName) -> Resources {
        let mut all: Vec<RackSummary> = state
            .racks
            .keys()
            .filter_map(|rack| self.summary(state, rack))
            .collect();
        let now = self.now();
        for peer in self.core.calls.peers() {
            let fresh = peer
                .last_heartbeat_ms
                .is_some_and(|ms| now.since(ms) <= MAX_SUMMARY_AGE_MS);
            if let (true, Some(heartbeat)) = (fresh, peer.heartbeat) {
                all.extend(heartbeat.racks.iter().cloned());
            }
        }
        let (open, closed): (Vec<_>, Vec<_>) = all
            .into_iter()
            .filter(|summary| summary.rack != *rack)
            .partition(|summary| summary.open);
        let free = open
            .iter()
            .fold(Resources::default(), |sum, s| sum + s.free);
        let racks = u64::try_from(closed.len() + 1).unwrap_or(u64::MAX);
        let moving = state
            .workers_of(rack)
            .flat_map(|(key, _)| state.active_on(key));
        let moving = moving.filter(|(_, c)| c.stop_sent_ms.is_some());
        let moving = moving.fold(Resources::default(), |sum, (_, c)| sum + c.demand);
        divided(&free, racks).saturating_sub(&moving)
    }

    /// Detects returns of data centres, after which starts ramp up.
    pub(super) fn detect_returns(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        for owned in state.racks.values_mut() {
            let out = self.core.configuration.is_out(&owned.data_centre);
            if owned.was_out && !out {
                owned.returned_ms = Some(now);
            }
            owned.was_out = out;
        }
    }

    /// Whether the ramp after a return allows another start now; counts the request.
    pub(super) fn acquire_ramp_permit(&self, rack: &RackName) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(owned) = state.racks.get_mut(rack) else {
            return false;
        };
        let Some(returned_ms) = owned.returned_ms else {
            return true;
        };
        let since = now.since(returned_ms);
        if since >= RAMP_MS {
            owned.returned_ms = None;
            return true;
        }
        let second = MonoMs(now.0 / 1_000);
        if owned.ramp.0 != second {
            owned.ramp = (second, 0);
        }
        owned.ramp.1 += 1;
        owned.ramp.1 <= (since.0 / 1_000 + 1) * RAMP_STEP
    }
}

fn movable(state: &State, rack: &RackName, out: bool) -> Vec<CommitmentKey> {
    let workers = state.workers_of(rack);
    let leaving = workers.filter(|(_, worker)| out || worker.host_state == HostState::Leaving);
    let active = leaving.flat_map(|(key, _)| state.active_on(key));
    let movable = active.filter(|(_, c)| {
        let may_move = c.resumable || c.idempotent;
        may_move && c.phase == Phase::Running && c.stop_sent_ms.is_none()
    });
    movable.map(|(key, _)| key).collect()
}

/// Work lost by an eviction, in millicore-milliseconds; tasks that lose least are evicted first.
fn unsaved_work(state: &State, key: CommitmentKey) -> u64 {
    let Some(commitment) = state.commitments.get(key) else {
        return 0;
    };
    let unsaved_ms = match commitment.resumable {
        true => 0,
        false => commitment.progress_ms,
    };
    unsaved_ms.saturating_mul(commitment.demand.cpu_milli)
}

fn divided(amount: &Resources, by: u64) -> Resources {
    Resources {
        cpu_milli: amount.cpu_milli / by,
        memory_mb: amount.memory_mb / by,
        accelerators: amount.accelerators / by,
    }
}
