//! Eviction from data centres and hosts that leave, and the ramp after their return.
//!
//! A task is moved only as far as there is room elsewhere: a task that keeps
//! running in a leaving data centre does more work than one that waits in a
//! queue. The room is divided among all racks that are being emptied. Tasks that
//! can neither be checkpointed nor run again stay until they end.

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

/// Interval of the rounds; longer than a summary takes to show what a round has moved.
const ROUND_MS: Millis = Millis(1_500);
/// Age up to which a summary of a peer counts.
const SUMMARY_FRESH_MS: Millis = Millis(2_000);
/// Time after the return of a data centre in which starts ramp up.
const RAMP_MS: Millis = Millis(10_000);
/// Starts a second and rack that each second of the ramp adds.
const RAMP_STEP: u64 = 2;

impl Racks {
    /// Moves tasks away from what is leaving until the node stops.
    pub(super) async fn empty_leaving(self: Rc<Self>) {
        while self.running.get() {
            self.core.ports.runtime.sleep(ROUND_MS).await;
            if self.stopping.get() {
                continue;
            }
            let racks: Vec<RackName> = self.state.borrow().racks.keys().cloned().collect();
            let leaving: Vec<CommitmentKey> =
                racks.iter().flat_map(|rack| self.to_move(rack)).collect();
            for key in leaving {
                self.note_eviction(key);
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

    fn note_eviction(&self, key: CommitmentKey) {
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

    /// Tasks of a rack that move in this round.
    fn to_move(&self, rack: &RackName) -> Vec<CommitmentKey> {
        let state = self.state.borrow();
        let Some(owned) = state.racks.get(rack) else {
            return Vec::new();
        };
        if !self.has_right(rack, owned.term) {
            return Vec::new();
        }
        let out = self.core.configuration.is_out(&owned.data_centre);
        let mut movable = movable(&state, rack, out);
        if movable.is_empty() {
            return movable;
        }
        movable.sort_by_key(|key| unsaved_work(&state, *key));
        let mut room = self.room_elsewhere(&state, rack);
        movable.retain(|key| {
            let demand = state.commitments.get(*key).map(|c| c.demand);
            let Some(demand) = demand.filter(|demand| demand.fits_in(&room)) else {
                return false;
            };
            room -= demand;
            true
        });
        movable
    }

    /// This rack's part of the room in open racks, without what is on its way there already.
    fn room_elsewhere(&self, state: &State, rack: &RackName) -> Resources {
        let mut all: Vec<RackSummary> = state
            .racks
            .keys()
            .filter_map(|rack| self.summary(state, rack))
            .collect();
        let now = self.now();
        for peer in self.core.calls.peers() {
            let fresh = peer
                .last_heartbeat_ms
                .is_some_and(|ms| now.since(ms) <= SUMMARY_FRESH_MS);
            if let (true, Some(heartbeat)) = (fresh, peer.heartbeat) {
                all.extend(heartbeat.racks.iter().cloned());
            }
        }
        let (open, closed): (Vec<_>, Vec<_>) = all
            .into_iter()
            .filter(|summary| summary.rack != *rack)
            .partition(|summary| summary.open);
        let room = open
            .iter()
            .fold(Resources::default(), |sum, s| sum + s.free);
        let racks = u64::try_from(closed.len() + 1).unwrap_or(u64::MAX);
        let moving = state
            .workers_of(rack)
            .flat_map(|(key, _)| state.holding_on(key));
        let moving = moving.filter(|(_, c)| c.stop_sent_ms.is_some());
        let moving = moving.fold(Resources::default(), |sum, (_, c)| sum + c.demand);
        divided(&room, racks).saturating_sub(&moving)
    }

    /// Follows whether racks are out, so that starts ramp up after their return.
    pub(super) fn follow_returns(&self) {
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

    /// Whether the ramp after a return leaves room for another start; counts the start.
    pub(super) fn ramp_allows(&self, rack: &RackName) -> bool {
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
    let leaving = workers.filter(|(_, worker)| out || worker.listed == HostState::Leaving);
    let holding = leaving.flat_map(|(key, _)| state.holding_on(key));
    let movable = holding.filter(|(_, c)| {
        let may_move = c.resumable || c.idempotent;
        may_move && c.phase == Phase::Running && c.stop_sent_ms.is_none()
    });
    movable.map(|(key, _)| key).collect()
}

/// Work that a move loses; least goes first.
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
