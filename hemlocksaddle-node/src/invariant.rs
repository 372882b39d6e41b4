//! Assertions of what must always hold.
//!
//! Each is checked where the action is taken. In tests a violation panics; in
//! production it is counted and logged, and the caller refuses the action.

use std::cell::{Cell, RefCell};

use crate::event::Event;

/// Sentence that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// No host is ever committed beyond its processors, memory or accelerators.
    HostCapacity,
    /// A task never runs in two places at once.
    SinglePlace,
    /// Evicted work resumes exactly once.
    ResumeOnce,
    /// No task starts in a data centre that has been taken out.
    NoStartInOutDataCentre,
    /// Each caller receives the whole answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    TruthfulRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work.
    NoWorkForLeavingTarget,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// An accepted configuration never reverts.
    ConfigurationNeverReverts,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 10] = [
        Invariant::HostCapacity,
        Invariant::SinglePlace,
        Invariant::ResumeOnce,
        Invariant::NoStartInOutDataCentre,
        Invariant::OwnAnswer,
        Invariant::TruthfulRefusal,
        Invariant::AtMostOnce,
        Invariant::NoWorkForLeavingTarget,
        Invariant::GracefulStop,
        Invariant::ConfigurationNeverReverts,
    ];

    /// Name for metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Invariant::HostCapacity => "host_capacity",
            Invariant::SinglePlace => "single_place",
            Invariant::ResumeOnce => "resume_once",
            Invariant::NoStartInOutDataCentre => "no_start_in_out_data_centre",
            Invariant::OwnAnswer => "own_answer",
            Invariant::TruthfulRefusal => "truthful_refusal",
            Invariant::AtMostOnce => "at_most_once",
            Invariant::NoWorkForLeavingTarget => "no_work_for_leaving_target",
            Invariant::GracefulStop => "graceful_stop",
            Invariant::ConfigurationNeverReverts => "configuration_never_reverts",
        }
    }
}

/// What a violation does besides being counted and logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnViolation {
    /// Panics, for tests.
    Panic,
    /// Lets the caller refuse the action.
    Refuse,
    /// Records the detail, for tests that break an invariant on purpose.
    Record,
}

/// Counters of checks and violations.
pub struct Invariants {
    on_violation: OnViolation,
    checks: [Cell<u64>; Invariant::ALL.len()],
    violations: [Cell<u64>; Invariant::ALL.len()],
    recorded: RefCell<Vec<(Invariant, String)>>,
}

impl Invariants {
    /// New counters.
    #[must_use]
    pub fn new(on_violation: OnViolation) -> Invariants {
        Invariants {
            on_violation,
            checks: Default::default(),
            violations: Default::default(),
            recorded: RefCell::default(),
        }
    }

    /// Checks one assertion and returns whether it holds.
    #[must_use]
    pub fn check(
        &self,
        invariant: Invariant,
        holds: bool,
        detail: impl FnOnce() -> String,
    ) -> bool {
        let checks = &self.checks[invariant as usize];
        checks.set(checks.get() + 1);
        if holds {
            return true;
        }
        let violations = &self.violations[invariant as usize];
        violations.set(violations.get() + 1);
        let detail = detail();
        Event::InvariantViolated.log(format_args!("{}: {detail}", invariant.name()));
        match self.on_violation {
            OnViolation::Panic => panic!("invariant {} violated: {detail}", invariant.name()),
            OnViolation::Refuse => {}
            OnViolation::Record => self.recorded.borrow_mut().push((invariant, detail)),
        }
        false
    }

    /// Checks made so far.
    #[must_use]
    pub fn checks(&self, invariant: Invariant) -> u64 {
        self.checks[invariant as usize].get()
    }

    /// Violations so far.
    #[must_use]
    pub fn violations(&self, invariant: Invariant) -> u64 {
        self.violations[invariant as usize].get()
    }

    /// Violations that were recorded with [`OnViolation::Record`].
    #[must_use]
    pub fn recorded(&self) -> Vec<(Invariant, String)> {
        self.recorded.borrow().clone()
    }
}
