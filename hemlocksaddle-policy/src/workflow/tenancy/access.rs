//! Answers to callers of a tenant, to whom the workflows of others do not exist.

use std::sync::Arc;

use hemlocksaddle_types::{clock::MonoMs, workflow::WorkflowId};

use crate::workflow::{Job, JobKey, Scheduler};

/// Who cancels a workflow.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Canceller {
    /// The tenant is not checked.
    Anyone,
    /// Caller of a tenant, or without one.
    Tenant(Option<Arc<str>>),
}

impl Canceller {
    fn may_cancel(&self, owner: Option<&str>) -> bool {
        match self {
            Canceller::Anyone => true,
            Canceller::Tenant(tenant) => tenant.as_deref() == owner,
        }
    }
}

/// Cancellations that were read before the submission of their workflow.
#[derive(Clone, Debug)]
pub(in crate::workflow) struct PendingCancel {
    /// Time of the latest.
    pub(in crate::workflow) at: MonoMs,
    /// Without repetitions, so that a tenant cannot replace the cancellation of another.
    by: Vec<Canceller>,
}

impl Scheduler {
    /// Cancels a workflow and orders its runs to stop.
    pub fn cancel(&mut self, id: WorkflowId, now: MonoMs) {
        self.cancel_as(id, Canceller::Anyone, now);
    }

    /// Cancels a workflow of the given tenant; returns false if the workflow is known and is not the tenant's.
    ///
    /// The cancellation of a workflow that is not known yet takes effect if its submission turns out to be
    /// the tenant's.
    pub fn cancel_by(&mut self, id: WorkflowId, tenant: Option<&str>, now: MonoMs) -> bool {
        self.cancel_as(id, Canceller::Tenant(tenant.map(Arc::from)), now)
    }

    fn cancel_as(&mut self, id: WorkflowId, by: Canceller, now: MonoMs) -> bool {
        let is_allowed = self.owner_of(id).is_none_or(|tenant| by.may_cancel(tenant));
        match self.by_id.get(&id).copied() {
            Some(key) if is_allowed => self.cancel_job(key),
            Some(_) => {}
            // The submissions hold a record of the cancellation.
            None if self.note_submission(id) => {}
            None => {
                let empty = PendingCancel {
                    at: now,
                    by: Vec::new(),
                };
                let pending = self.pending_cancels.entry(id).or_insert(empty);
                pending.at = now;
                if !pending.by.contains(&by) {
                    pending.by.push(by);
                }
            }
        }
        is_allowed
    }

    /// Takes the cancellations of a workflow that were read before it; returns whether one applies.
    pub(in crate::workflow) fn take_pending_cancel(&mut self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let pending = self.pending_cancels.remove(&job.id);
        pending.is_some_and(|pending| {
            let owner = job.spec.tenant.as_deref();
            pending.by.iter().any(|by| by.may_cancel(owner))
        })
    }

    /// Tenant of a workflow that is known; also of one of which only the outcome is kept.
    fn owner_of(&self, id: WorkflowId) -> Option<Option<&str>> {
        let ended = self.ended.get(&id).map(|ended| ended.tenant.as_deref());
        ended.or_else(|| self.job(id).map(|job| job.spec.tenant.as_deref()))
    }

    /// Whether a workflow is known and was submitted by the given tenant, or without one.
    #[must_use]
    pub fn belongs_to(&self, id: WorkflowId, tenant: Option<&str>) -> bool {
        self.owner_of(id) == Some(tenant)
    }

    /// Number of open workflows of a queue without a started task, excluding those with a schedule.
    #[must_use]
    pub fn count_waiting(&self, queue: &str) -> u32 {
        self.count_queued(queue, |_| true)
    }

    /// Like [`Scheduler::count_waiting`], only of workflows of the given tenant, or of those without one.
    #[must_use]
    pub fn count_waiting_of(&self, queue: &str, tenant: Option<&str>) -> u32 {
        self.count_queued(queue, |job| job.spec.tenant.as_deref() == tenant)
    }

    fn count_queued(&self, queue: &str, counts: impl Fn(&Job) -> bool) -> u32 {
        let waiting = self.jobs.values().filter(|job| {
            !job.started
                && job.is_open()
                && job.spec.schedule.is_none()
                && *job.spec.queue == *queue
                && counts(job)
        });
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }
}
