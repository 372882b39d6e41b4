//! Claims in log order.
//!
//! Every reader applies the same rules, so all nodes agree on the owner of a
//! unit up to the offset that they have read. A claim takes effect if it names
//! the term in force before it, and if its node may claim: any node an unowned
//! unit, and only the owner's name or a successor an owned one.

use std::collections::BTreeMap;

use hemlocksaddle_types::{
    clock::MonoMs,
    name::NodeName,
    record::Claim,
    unit::{Term, Unit},
};

/// Last claim on a unit that took effect.
#[derive(Clone, Debug)]
pub(super) struct UnitState {
    /// Claim.
    pub(super) claim: Claim,
    /// Whether its owner has released the unit.
    pub(super) is_released: bool,
    /// Whether the owner before left nothing to wait for.
    pub(super) was_clean: bool,
    /// Time at which this node read the latest change.
    pub(super) seen_ms: MonoMs,
}

impl UnitState {
    fn may_claim(&self, node: &NodeName) -> bool {
        self.is_released || self.claim.node == *node || self.claim.successors.contains(node)
    }
}

/// Claims in force.
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

    /// Node that owns the unit.
    pub(super) fn owner(&self, unit: &Unit) -> Option<&NodeName> {
        let state = self.units.get(unit)?;
        (!state.is_released).then_some(&state.claim.node)
    }

    /// Applies a claim and returns whether it took effect.
    ///
    /// A reader of a truncated stream may lack claims. It then follows a claim
    /// on a later term than it knows: that can only take a unit from it.
    pub(super) fn claim(&mut self, claim: &Claim, is_truncated: bool, now: MonoMs) -> bool {
        let current = self.units.get(&claim.unit);
        let term = self.term(&claim.unit);
        let is_beyond = is_truncated && claim.previous > term;
        let may_claim = current.is_none_or(|state| state.may_claim(&claim.node));
        let is_next = claim.previous == term && may_claim;
        if claim.term <= claim.previous || !(is_next || is_beyond) {
            return false;
        }
        let was_clean = match current {
            Some(state) => state.is_released && !is_beyond,
            None => !is_truncated,
        };
        self.set(claim, was_clean, now);
        true
    }

    /// Applies a restated claim if it is newer than what is known.
    pub(super) fn restate(&mut self, claim: &Claim, now: MonoMs) -> bool {
        let is_newer = claim.term > self.term(&claim.unit);
        if is_newer {
            self.set(claim, false, now);
        }
        is_newer
    }

    fn set(&mut self, claim: &Claim, was_clean: bool, now: MonoMs) {
        self.units.insert(
            claim.unit.clone(),
            UnitState {
                claim: claim.clone(),
                is_released: false,
                was_clean,
                seen_ms: now,
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
        state.seen_ms = now;
        true
    }
}
