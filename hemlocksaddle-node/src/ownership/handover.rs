//! Planned handover: releases at a planned stop and moves of units.
//!
//! A unit is moved to the node with the highest rendezvous score once that node
//! has been up for a while. The lease ends before the release is sent. The next
//! owner acts without a wait, so a unit that is moved while this node keeps
//! running is released only after everything sent under the lease has expired.
//!
//! Also writes snapshots of claims before the retention of the log drops them.

use std::rc::Rc;

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::NodeName,
    record::{Record, Stream},
    unit::{Term, Unit},
};

use crate::{core::AppendError, wait::within};

use super::{UnitTable, rendezvous};

/// Interval between checks for units to move.
const MOVE_CHECK_INTERVAL_MS: Millis = Millis(1_000);

/// Minimum uptime of the highest-ranked node before a unit is moved to it.
const MIN_UPTIME_BEFORE_MOVE_MS: Millis = Millis(60_000);

/// Timeout for another node's claim on a released unit.
const MOVE_TIMEOUT_MS: Millis = Millis(10_000);

/// Delay after a move that failed, so that the same unit is not released in a loop.
const FAILED_MOVE_BACKOFF_MS: Millis = Millis(60_000);

/// Timeout of an append of releases or snapshots.
const RELEASE_APPEND_TIMEOUT_MS: Millis = Millis(5_000);

/// Delay before a release is retried.
const RELEASE_RETRY_DELAY_MS: Millis = Millis(500);

/// Timeout of all releases of a planned stop.
const RELEASE_ALL_TIMEOUT_MS: Millis = Millis(15_000);

/// Interval between checks for claims whose snapshot is due.
const SNAPSHOT_CHECK_INTERVAL_MS: Millis = Millis(10_000);

/// Maximum number of units with snapshots in one append.
const MAX_SNAPSHOTS: usize = 128;

impl UnitTable {
    /// Releases all units; called after all parts have stopped.
    ///
    /// Returns after a timeout even if units are left, because the log may be
    /// down; their successors claim them once this node is silent.
    pub async fn release_all(&self) {
        let released = async {
            while !self.held.borrow().is_empty() || !self.pending_claims.borrow().is_empty() {
                self.wait_for_append_outcome().await;
                self.release(&self.held_units()).await;
                if !self.pending_claims.borrow().is_empty() {
                    let seen = self.applied.count();
                    self.applied.wait_past(seen).await;
                }
            }
        };
        within(&*self.env.ports.runtime, RELEASE_ALL_TIMEOUT_MS, released).await;
    }

    /// Ends the leases of the units and releases them.
    ///
    /// Retries until the releases are in the log. By then the parts have dropped
    /// the units, and a dropped term must not become active again: parts number
    /// their jobs from the start of a term.
    async fn release(&self, units: &[(Unit, Term)]) {
        self.set_releasing(units, true);
        while units.iter().any(|unit| self.is_held(unit)) && !self.env.ended.get() {
            let records = units.iter().map(|(unit, term)| Record::Release {
                unit: unit.clone(),
                term: *term,
            });
            let limit = Some(RELEASE_APPEND_TIMEOUT_MS);
            let append = self
                .journal
                .append(Stream::Claims, Term(0), records.collect(), limit);
            match append.await {
                Ok(offset) => self.wait_until_read(offset).await,
                Err(AppendError::NotAppended) => self.env.sleep(RELEASE_RETRY_DELAY_MS).await,
                Err(AppendError::OutcomeUnknown) => self.wait_for_append_outcome().await,
            }
        }
    }

    fn is_held(&self, (unit, term): &(Unit, Term)) -> bool {
        let all_held = self.held.borrow();
        all_held.get(unit).is_some_and(|held| held.term == *term)
    }

    fn set_releasing(&self, units: &[(Unit, Term)], is_releasing: bool) {
        let mut all_held = self.held.borrow_mut();
        for (unit, term) in units {
            if let Some(held) = all_held.get_mut(unit).filter(|held| held.term == *term) {
                held.is_releasing = is_releasing;
            }
        }
    }

    pub(super) async fn run_moves(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.env.sleep(MOVE_CHECK_INTERVAL_MS).await;
            if self.env.stopping.get() || !self.journal.log_is_up() {
                continue;
            }
            if let Some(moved) = self.unit_to_move() {
                self.move_unit(moved).await;
            }
        }
    }

    fn unit_to_move(&self) -> Option<(Unit, Term)> {
        let now = self.env.now();
        let mut active = self.active_units().into_iter();
        active.find(|(unit, _)| {
            let ranked = rendezvous::ranked(&unit.to_string(), &self.env.settings.peers);
            let top = ranked.first().map(|peer| &peer.node);
            top.is_some_and(|top| top != self.env.node() && self.is_move_target(top, now))
        })
    }

    fn is_move_target(&self, node: &NodeName, now: MonoMs) -> bool {
        let up_since = self.peer_up_since_ms.borrow().get(node).copied();
        let is_stable = up_since.is_some_and(|up_ms| now.since(up_ms) >= MIN_UPTIME_BEFORE_MOVE_MS);
        is_stable && self.accepts_units(node)
    }

    async fn move_unit(&self, moved: (Unit, Term)) {
        let units = [moved];
        let (unit, term) = &units[0];
        self.set_releasing(&units, true);
        let timing = &self.env.settings.timing;
        let deadline_ms = self.longest_deadline(unit).unwrap_or_default();
        let drain_ms = deadline_ms.max(timing.start_by_ms).with_clock_margin();
        self.env.sleep(drain_ms).await;
        if self.env.stopping.get() {
            return;
        }
        self.release(&units).await;
        let claimed = async {
            while self.claims.borrow().term(unit) == *term && !self.env.ended.get() {
                let seen = self.applied.count();
                self.applied.wait_past(seen).await;
            }
        };
        // If no other node claims the unit, this node claims it again according to its rank.
        within(&*self.env.ports.runtime, MOVE_TIMEOUT_MS, claimed).await;
        if self.claims.borrow().owner(unit) == Some(self.env.node()) {
            self.env.sleep(FAILED_MOVE_BACKOFF_MS).await;
        }
    }

    /// Reschedules the snapshot of a unit after a record of it was read.
    pub(super) fn postpone_snapshot(&self, unit: &Unit) {
        let settings = &self.env.settings;
        let is_held = self.held.borrow().contains_key(unit);
        let rank = match is_held {
            true => 0,
            false => 1 + rendezvous::rank(&unit.to_string(), &settings.node, &settings.peers),
        };
        let is_live = self.has_caught_up.get();
        self.snapshot_schedule
            .postpone(unit.clone(), rank, is_live, self.env.now());
    }

    pub(super) async fn run_snapshots(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.env.sleep(SNAPSHOT_CHECK_INTERVAL_MS).await;
            let is_idle = self.has_caught_up.get() && self.journal.log_is_up();
            let due = self.snapshot_schedule.due(self.env.now(), MAX_SNAPSHOTS);
            if is_idle && !due.is_empty() && !self.env.stopping.get() {
                let records = due.iter().flat_map(|unit| self.snapshot_records(unit));
                let limit = Some(RELEASE_APPEND_TIMEOUT_MS);
                let append = self
                    .journal
                    .append(Stream::Claims, Term(0), records.collect(), limit);
                // Snapshots that were not written stay due.
                let _ = append.await;
            }
        }
    }

    /// Snapshot of the current claim, followed by its release if the unit is released.
    fn snapshot_records(&self, unit: &Unit) -> Vec<Record> {
        let claims = self.claims.borrow();
        let Some(state) = claims.get(unit) else {
            return Vec::new();
        };
        let mut records = vec![Record::RestateClaim(state.claim.clone())];
        if state.is_released {
            records.push(Record::Release {
                unit: unit.clone(),
                term: state.claim.term,
            });
        }
        records
    }
}
