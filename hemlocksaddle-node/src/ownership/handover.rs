//! Releases: at a planned stop, and to move a unit to its top-scored node.
//!
//! The right to act ends before a release is sent. A unit that is moved while
//! this node keeps running is released only after everything sent under the
//! right has expired, because the next owner acts at once.

use std::rc::Rc;

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::NodeName,
    record::{Record, Stream},
    unit::{Term, Unit},
};

use crate::{core::AppendError, wait::within};

use super::{UnitTable, rendezvous};

/// Interval at which moves are considered.
const MOVE_EVERY_MS: Millis = Millis(1_000);

/// Time for which the top-scored node must have been up.
const UP_BEFORE_MOVE_MS: Millis = Millis(60_000);

/// Time to wait for another node's claim before the next move.
const MOVE_MS: Millis = Millis(10_000);

/// Pause after a unit came back, so that it is not offered in a loop.
const FAILED_MOVE_MS: Millis = Millis(60_000);

/// Time within which the log must have taken a release.
const RELEASE_APPEND_MS: Millis = Millis(5_000);

/// Pause before a release is tried again.
const RELEASE_RETRY_MS: Millis = Millis(500);

/// Time for which a planned stop waits until its releases are in the log.
const STOP_RELEASE_MS: Millis = Millis(15_000);

/// Interval at which claims are checked for being restated.
const RESTATE_EVERY_MS: Millis = Millis(10_000);

/// Most units restated in one append.
const MAX_RESTATED: usize = 128;

impl UnitTable {
    /// Releases all units; called when all parts have finished.
    ///
    /// Gives up after a time, because the log may be down; successors then take
    /// over when this node falls silent.
    pub async fn release_all(&self) {
        let released = async {
            while !self.held.borrow().is_empty() || !self.claiming.borrow().is_empty() {
                self.wait_until_settled().await;
                self.release(&self.held()).await;
                if !self.claiming.borrow().is_empty() {
                    let seen = self.applied.count();
                    self.applied.wait_past(seen).await;
                }
            }
        };
        within(&*self.env.ports.runtime, STOP_RELEASE_MS, released).await;
    }

    /// Ends the right to the units and releases them.
    ///
    /// Once begun, a release is repeated until the log has it. The parts have
    /// dropped the unit by then, and a term that they dropped must not come back:
    /// they number what they do from the start of a term.
    async fn release(&self, units: &[(Unit, Term)]) {
        self.set_releasing(units, true);
        while units.iter().any(|unit| self.is_held(unit)) && !self.env.ended.get() {
            let records = units.iter().map(|(unit, term)| Record::Release {
                unit: unit.clone(),
                term: *term,
            });
            let limit = Some(RELEASE_APPEND_MS);
            let append = self
                .journal
                .append(Stream::Claims, Term(0), records.collect(), limit);
            match append.await {
                Ok(offset) => self.wait_until_read(offset).await,
                Err(AppendError::NotAppended) => self.env.sleep(RELEASE_RETRY_MS).await,
                Err(AppendError::OutcomeUnknown) => self.wait_until_settled().await,
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
            self.env.sleep(MOVE_EVERY_MS).await;
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
        let mut settled = self.settled().into_iter();
        settled.find(|(unit, _)| {
            let ranked = rendezvous::ranked(&unit.to_string(), &self.env.settings.peers);
            let top = ranked.first().map(|peer| &peer.node);
            top.is_some_and(|top| top != self.env.node() && self.has_been_up(top, now))
        })
    }

    fn has_been_up(&self, node: &NodeName, now: MonoMs) -> bool {
        let up_since = self.peer_up_since_ms.borrow().get(node).copied();
        let is_stable = up_since.is_some_and(|up_ms| now.since(up_ms) >= UP_BEFORE_MOVE_MS);
        is_stable && self.is_taking(node)
    }

    async fn move_unit(&self, moved: (Unit, Term)) {
        let units = [moved];
        let (unit, term) = &units[0];
        self.set_releasing(&units, true);
        let timing = &self.env.settings.timing;
        let sent_ms = self.longest_deadline(unit).unwrap_or_default();
        let drain_ms = sent_ms.max(timing.start_by_ms).with_clock_margin();
        self.env.sleep(drain_ms).await;
        if self.env.stopping.get() {
            return;
        }
        self.release(&units).await;
        let taken = async {
            while self.claims.borrow().term(unit) == *term && !self.env.ended.get() {
                let seen = self.applied.count();
                self.applied.wait_past(seen).await;
            }
        };
        // A unit that nobody takes is claimed by this node again, by rank.
        within(&*self.env.ports.runtime, MOVE_MS, taken).await;
        if self.claims.borrow().owner(unit) == Some(self.env.node()) {
            self.env.sleep(FAILED_MOVE_MS).await;
        }
    }

    /// Notes that the stream has a record of the unit, which postpones restating it.
    pub(super) fn note_seen(&self, unit: &Unit) {
        let settings = &self.env.settings;
        let is_held = self.held.borrow().contains_key(unit);
        let rank = match is_held {
            true => 0,
            false => 1 + rendezvous::rank(&unit.to_string(), &settings.node, &settings.peers),
        };
        let is_live = self.has_caught_up.get();
        self.restates
            .postpone(unit.clone(), rank, is_live, self.env.now());
    }

    pub(super) async fn run_restates(self: Rc<Self>) {
        while !self.env.ended.get() {
            self.env.sleep(RESTATE_EVERY_MS).await;
            let is_idle = self.has_caught_up.get() && self.journal.log_is_up();
            let due = self.restates.due(self.env.now(), MAX_RESTATED);
            if is_idle && !due.is_empty() && !self.env.stopping.get() {
                let records = due.iter().flat_map(|unit| self.restated(unit));
                let limit = Some(RELEASE_APPEND_MS);
                let append = self
                    .journal
                    .append(Stream::Claims, Term(0), records.collect(), limit);
                // What was not written stays due.
                let _ = append.await;
            }
        }
    }

    /// Claim in force and, if the unit is released, the release behind it.
    fn restated(&self, unit: &Unit) -> Vec<Record> {
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
