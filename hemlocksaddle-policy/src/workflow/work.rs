//! Counts of the work that planning takes.
//!
//! An owner plans up to a few hundred times a second, so that its processor time is
//! mostly the work of one plan. The counts show which part grows with the workers, with
//! the runs or with the waiting tasks, also where a clock is too coarse to tell.

use super::Scheduler;

/// Work that plans took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Plans.
    pub plans: u64,
    /// Steps with waiting tasks that a plan tried to place.
    pub steps: u64,
    /// Runs checked for a stall, for their pace and for a halt; a run counts once for each check.
    pub checked_runs: u64,
    /// Workers compared as places for a task.
    pub compared_workers: u64,
    /// Comparisons of a step with another one that fits nowhere.
    pub compared_steps: u64,
    /// Ranges of equal tasks looked at for long-running tasks that have waited for long.
    pub task_ranges: u64,
    /// Workers whose headroom for best-effort tasks was computed.
    pub headrooms: u64,
    /// Turns of tenants, each of which takes one entry from a heap.
    pub tenant_turns: u64,
    /// Runs whose end was estimated for a reservation.
    pub estimated_runs: u64,
}

impl Scheduler {
    /// Takes the counts of the work since the last call.
    pub fn take_work_counts(&mut self) -> WorkCounts {
        std::mem::take(&mut self.work)
    }
}
