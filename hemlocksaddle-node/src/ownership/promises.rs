//! Promises of successors not to claim a unit for a limited time.
//!
//! They extend an owner's lease while the log cannot be read. The owner counts a
//! promise from its request, the successor from its grant and with the clock
//! margin added, so a promise always ends at the owner first.

use std::{collections::BTreeMap, rc::Rc};

use hemlocksaddle_types::{
    clock::MonoMs,
    name::NodeName,
    peer::{Request, Response},
    unit::{Term, Unit},
};

use super::UnitTable;

impl UnitTable {
    /// Promises not to claim the units and returns those granted.
    ///
    /// Refuses units on which this node has a claim of unknown outcome, units owned
    /// at a newer term, and units owned by another node at the same term. A term
    /// that this node has not read yet is granted: the promise only binds this
    /// node.
    pub(super) fn grant_promises(
        &self,
        from: &NodeName,
        units: &[(Unit, Term)],
    ) -> Vec<(Unit, Term)> {
        let valid_ms = self.env.settings.timing.promise_valid_ms;
        let until_ms = self.env.now() + valid_ms.with_clock_margin();
        let granted = units
            .iter()
            .filter(|(unit, term)| self.can_promise(from, unit, *term));
        let granted: Vec<(Unit, Term)> = granted.cloned().collect();
        let mut granted_until = self.granted_until_ms.borrow_mut();
        for (unit, _) in &granted {
            granted_until.insert(unit.clone(), until_ms);
        }
        granted
    }

    fn can_promise(&self, from: &NodeName, unit: &Unit, term: Term) -> bool {
        if self.pending_claims.borrow().contains(unit) {
            return false;
        }
        let claims = self.claims.borrow();
        let known = claims.term(unit);
        known < term || (known == term && claims.owner(unit) == Some(from))
    }

    /// Whether an unexpired promise keeps this node from claiming the unit.
    pub(super) fn has_promised(&self, unit: &Unit, now: MonoMs) -> bool {
        let granted_until = self.granted_until_ms.borrow();
        granted_until
            .get(unit)
            .is_some_and(|until_ms| now <= *until_ms)
    }

    /// Periodically requests promises from the successors of all held units.
    pub(super) async fn run_promises(self: Rc<Self>) {
        while !self.env.ended.get() {
            for (node, units) in self.units_by_successor() {
                self.env.spawn(self.clone().request_promises(node, units));
            }
            let interval = self.env.settings.timing.promise_every_ms;
            self.env.sleep(interval).await;
        }
    }

    fn units_by_successor(&self) -> BTreeMap<NodeName, Vec<(Unit, Term)>> {
        let mut by_node: BTreeMap<NodeName, Vec<(Unit, Term)>> = BTreeMap::new();
        let held = self.held.borrow();
        for (unit, held) in held.iter().filter(|(_, held)| !held.is_releasing) {
            for node in &held.successors {
                let units = by_node.entry(node.clone()).or_default();
                units.push((unit.clone(), held.term));
            }
        }
        by_node
    }

    async fn request_promises(self: Rc<Self>, node: NodeName, units: Vec<(Unit, Term)>) {
        let valid_ms = self.env.settings.timing.promise_valid_ms;
        let sent_ms = self.env.now();
        let call = self.calls.call(&node, Request::Promise(units), valid_ms);
        let Ok(Response::Promised(promised)) = call.await else {
            return;
        };
        let until_ms = sent_ms + valid_ms;
        let mut all_held = self.held.borrow_mut();
        for (unit, term) in promised {
            if let Some(held) = all_held.get_mut(&unit).filter(|held| held.term == term) {
                let promised = held.promised_until_ms.entry(node.clone()).or_default();
                *promised = until_ms.max(*promised);
            }
        }
    }
}
