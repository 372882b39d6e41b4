//! Run-time checks of the system's safety properties.
//!
//! Each property is checked where the action is taken. A violation panics in
//! tests; in production it is counted and logged, and the caller refuses the
//! action.

use std::cell::{Cell, RefCell};

use crate::event::Event;

/// Safety property that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// The resources committed on a host never exceed its processors, memory or accelerators.
    HostCapacity,
    /// A task never runs in two places at once.
    SinglePlace,
    /// Evicted work resumes exactly once.
    ResumeOnce,
    /// No task starts in a data centre that has been taken out.
    NoStartInOutDataCentre,
    /// Each caller receives the whole answer to its own request.
    OwnAnswer,
    /// A request or task that is reported as "not run" did not run.
    TruthfulRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work.
    NoWorkForLeavingTarget,
    /// A planned stop aborts no request.
    GracefulStop,
    /// An accepted configuration never reverts.
    ConfigurationNeverReverts,
}

impl Invariant {
    /// All invariants, in the order of their discriminants.
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

    /// Name in metrics and logs.
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

/// Reaction to a violation, in addition to counting and logging it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnViolation {
    /// Panics, for tests.
    Panic,
    /// Returns `false`, upon which the caller refuses the action.
    Refuse,
    /// Records the detail, for tests that violate an invariant deliberately.
    Record,
}

/// Counters of checks and violations, by invariant.
pub struct Invariants {
    on_violation: OnViolation,
    checks: [Cell<u64>; Invariant::ALL.len()],
    violations: [Cell<u64>; Invariant::ALL.len()],
    recorded: RefCell<Vec<(Invariant, String)>>,
}

impl Invariants {
    /// Creates counters at zero.
    #[must_use]
    pub fn new(on_violation: OnViolation) -> Invariants {
        Invariants {
            on_violation,
            checks: Default::default(),
            violations: Default::default(),
            recorded: RefCell::default(),
        }
    }

    /// Counts a check and returns `holds`; `detail` is evaluated only on a violation.
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

    /// Number of checks so far.
    #[must_use]
    pub fn checks(&self, invariant: Invariant) -> u64 {
        self.checks[invariant as usize].get()
    }

    /// Number of violations so far.
    #[must_use]
    pub fn violations(&self, invariant: Invariant) -> u64 {
        self.violations[invariant as usize].get()
    }

    /// Violations recorded under [`OnViolation::Record`], oldest first.
    #[must_use]
    pub fn recorded(&self) -> Vec<(Invariant, String)> {
        self.recorded.borrow().clone()
    }
}
