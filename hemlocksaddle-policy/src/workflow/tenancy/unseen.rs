//! Runs of a predecessor that no report has shown yet.
//!
//! A predecessor stores which tasks are done, not which run. Until the failover is complete, every task of an
//! inherited workflow that is neither done, nor assigned, nor located may be running. The predecessor
//! may also have started a step before it stored the end of the steps that it depends on, so that a step
//! counts whether it seems due or not. Steps that depend on each other in a chain cannot run at
//! once: of a chain, the largest step counts. No more can run than fits on the workers that have not
//! reported, since the others refuse orders of earlier terms.

use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    resources::Resources,
    workflow::{State, Workflow},
};

use crate::workflow::{
    Job, Phase, Scheduler,
    job::{Occurrence, StepState},
};

/// Bound of what runs on a worker, in multiples of its listed capacity.
///
/// Best-effort tasks may request up to 1.45 times its processors, and its capacity may have shrunk.
const MAX_COMMITMENT: u64 = 2;

/// Upper bound of the resources that the tasks of one occurrence use at once, from the number of
/// tasks in each step that may be running.
fn bound(spec: &Workflow, tasks: impl Fn(usize) -> u32) -> Resources {
    let (mut total, mut chain) = (Resources::default(), Resources::default());
    for (number, step) in spec.steps.iter().enumerate() {
        let unseen = step.demand.saturating_mul(u64::from(tasks(number)));
        let previous = number.checked_sub(1).and_then(|n| u16::try_from(n).ok());
        if previous.is_some_and(|previous| step.depends_on.contains(&previous)) {
            chain = chain.max(&unseen);
        } else {
            total = total.saturating_add(&chain);
            chain = unseen;
        }
    }
    total.saturating_add(&chain)
}

impl StepState {
    /// Number of tasks that may be running unseen.
    ///
    /// A task that waits after it was located has no other run.
    fn unseen(&self) -> u32 {
        if self.located == 0 {
            return self.waiting;
        }
        let located = self.tasks.own();
        let located =
            located.filter(|(_, task)| task.located && matches!(task.phase, Phase::Waiting));
        self.waiting
            .saturating_sub(u32::try_from(located.count()).unwrap_or(u32::MAX))
    }
}

impl Occurrence {
    fn unseen(&self, spec: &Workflow) -> Resources {
        bound(spec, |step| self.steps[step].unseen())
    }
}

impl Job {
    /// Upper bound of what may be running unseen, if the failover is not complete.
    fn unseen(&self, wall: WallMs) -> Resources {
        // A failed workflow may still be stopping its runs; the others ended without any.
        let has_ended = self.ended.is_some_and(|(state, _)| state != State::Failed);
        if !self.inherited || has_ended {
            return Resources::default();
        }
        let active = self.occurrences.iter();
        let active = active.fold(Resources::default(), |sum, (_, occurrence)| {
            sum.saturating_add(&occurrence.unseen(&self.spec))
        });
        let others = self.occurrences.due_without_state(&self.spec, wall);
        if others == 0 {
            return active;
        }
        let whole = bound(&self.spec, |step| self.spec.steps[step].tasks);
        active.saturating_add(&whole.saturating_mul(u64::from(others)))
    }
}

impl Scheduler {
    /// Counts the runs of the predecessor that no report has shown for their tenants.
    pub(in crate::workflow) fn count_unseen_runs(&mut self, now: MonoMs, wall: WallMs) {
        if std::mem::take(&mut self.tenancy.has_unseen) {
            for account in self.tenancy.tenants.values_mut() {
                account.unseen = Resources::default();
            }
        }
        if self.tenancy.len() == 0 || self.is_failover_complete(now) {
            return;
        }
        let unreported = self.workers.values();
        let unreported =
            unreported.filter(|worker| worker.inherited && worker.reported_at.is_none());
        let room = unreported.fold(Resources::default(), |sum, worker| {
            sum.saturating_add(&worker.listing.capacity)
        });
        for job in self.jobs.values().filter(|job| job.tenant.is_some()) {
            let unseen = job.unseen(wall);
            let account = self.tenancy.account_mut(job.tenant);
            account.unseen = account.unseen.saturating_add(&unseen);
            self.tenancy.has_unseen = true;
        }
        let room = room.saturating_mul(MAX_COMMITMENT);
        for account in self.tenancy.tenants.values_mut() {
            account.unseen = account.unseen.min(&room);
        }
    }
}
