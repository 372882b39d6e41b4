//! State machine of claims, replicated by reading the log in order.
//!
//! Every node applies the same rules, so nodes that have read up to the same
//! offset agree on the owner of each unit. A claim takes effect if it names the
//! current term as the previous one and its node is eligible: any node may claim
//! an unclaimed or released unit, but only the owner itself (by name) or one of
//! the successors in the current claim may claim an owned one.

use std::collections::BTreeMap;

use hemlocksaddle_types::{
    clock::MonoMs,
    name::NodeName,
    record::Claim,
    unit::{Term, Unit},
};

/// Current claim on a unit.
#[derive(Clone, Debug)]
pub(super) struct UnitState {
    /// Last claim that took effect.
    pub(super) claim: Claim,
    /// Whether the owner has released the unit since.
    pub(super) is_released: bool,
    /// Whether there was no previous owner or it had released the unit; no failover wait is needed then.
    pub(super) is_clean_handover: bool,
    /// Time at which this node read the last change.
    pub(super) changed_ms: MonoMs,
}

impl UnitState {
    fn may_claim(&self, node: &NodeName) -> bool {
        self.is_released || self.claim.node == *node || self.claim.successors.contains(node)
    }
}

/// Current claims on all units.
#[derive(Default)]
pub(super) struct ClaimTable {
    units: BTreeMap<Unit, UnitState>,
}

impl ClaimTable {
    pub(super) fn get(&self, unit: &Unit) -> Option<&UnitState> {
        self.units.get(unit)
    }

    pub(super) fn term(&self, unit: &Unit) -> Term {
        self.units
            .get(unit)
            .map(|state| state.claim.term)
            .unwrap_or_default()
    }

    /// Owner of the unit; `None` if it is unclaimed or released.
    pub(super) fn owner(&self, unit: &Unit) -> Option<&NodeName> {
        let state = self.units.get(unit)?;
        (!state.is_released).then_some(&state.claim.node)
    }

    /// Applies a claim and returns whether it took effect.
    ///
    /// A reader of a truncated stream may have missed claims and therefore also
    /// accepts a claim whose previous term is above the one it knows. This is safe,
    /// as the claim can only take a unit away from the reader.
    pub(super) fn claim(&mut self, claim: &Claim, is_truncated: bool, now: MonoMs) -> bool {
        let current = self.units.get(&claim.unit);
        let term = self.term(&claim.unit);
        let skips_ahead = is_truncated && claim.previous > term;
        let may_claim = current.is_none_or(|state| state.may_claim(&claim.node));
        let is_next = claim.previous == term && may_claim;
        if claim.term <= claim.previous || !(is_next || skips_ahead) {
            return false;
        }
        let is_clean_handover = match current {
            Some(state) => state.is_released && !skips_ahead,
            None => !is_truncated,
        };
        self.set(claim, is_clean_handover, now);
        true
    }

    /// Applies a snapshot of a claim if its term is newer; returns whether it was.
    pub(super) fn apply_snapshot(&mut self, claim: &Claim, now: MonoMs) -> bool {
        let is_newer = claim.term > self.term(&claim.unit);
        if is_newer {
            self.set(claim, false, now);
        }
        is_newer
    }

    fn set(&mut self, claim: &Claim, is_clean_handover: bool, now: MonoMs) {
        self.units.insert(
            claim.unit.clone(),
            UnitState {
                claim: claim.clone(),
                is_released: false,
                is_clean_handover,
                changed_ms: now,
            },
        );
    }

    /// Applies a release and returns whether it took effect.
    pub(super) fn release(&mut self, unit: &Unit, term: Term, now: MonoMs) -> bool {
        let Some(state) = self.units.get_mut(unit) else {
            return false;
        };
        if state.claim.term != term || state.is_released {
            return false;
        }
        state.is_released = true;
        state.changed_ms = now;
        true
    }
}
