//! Tenants that workflows belong to.
//!
//! A cancellation may be read before the submission of its workflow. It is kept with its tenant until then, and
//! one of another tenant has no effect.

use std::sync::Arc;

use hemlocksaddle_types::{
    clock::MonoMs,
    workflow::{Progress, WorkflowId},
};

use super::{JobKey, Scheduler};

/// Workflow that was cancelled, and the tenant whose caller did so.
pub(super) type Canceller = (WorkflowId, Option<Arc<str>>);

/// Tenant of a workflow that a scheduler knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owned<'a> {
    /// Workflow is not known.
    Unknown,
    /// Workflow was submitted without a tenant.
    ByNone,
    /// Workflow belongs to this tenant.
    By(&'a Arc<str>),
}

impl Owned<'_> {
    /// Whether the workflow is known and was submitted by another tenant, or by one where `tenant` is `None`.
    #[must_use]
    pub fn differs(&self, tenant: Option<&str>) -> bool {
        match self {
            Owned::Unknown => false,
            Owned::ByNone => tenant.is_some(),
            Owned::By(known) => tenant != Some(known),
        }
    }
}

impl Scheduler {
    /// Tenant of a workflow, also of one of which only the outcome is kept.
    #[must_use]
    pub fn tenant_of(&self, id: WorkflowId) -> Owned<'_> {
        let tenant = match (self.job(id), self.ended.get(&id)) {
            (Some(job), _) => &job.spec.tenant,
            (None, Some(ended)) => &ended.tenant,
            (None, None) => return Owned::Unknown,
        };
        tenant.as_ref().map_or(Owned::ByNone, Owned::By)
    }

    /// Whether a workflow is known and was submitted by the given tenant, or without one.
    #[must_use]
    pub fn belongs_to(&self, id: WorkflowId, tenant: Option<&str>) -> bool {
        let owned = self.tenant_of(id);
        owned != Owned::Unknown && !owned.differs(tenant)
    }

    /// Cancels a workflow of a tenant, or one without a tenant, and orders its runs to stop; returns false if the
    /// workflow is known and is not the tenant's.
    pub fn cancel_by(&mut self, id: WorkflowId, tenant: Option<&str>, now: MonoMs) -> bool {
        if self.tenant_of(id).differs(tenant) {
            // The record is to be deleted with those of the workflow.
            self.note_submission(id);
            return false;
        }
        match self.by_id.get(&id).copied() {
            Some(key) => self.cancel_job(key),
            None if self.note_submission(id) => {}
            None => {
                self.pending_cancels
                    .insert((id, tenant.map(Arc::from)), now);
            }
        }
        true
    }

    /// Removes a restored workflow under an id of which progress tells that another tenant's workflow has ended;
    /// returns whether it did.
    ///
    /// The other submission is deleted by then, and a node without an owner has stored this one later.
    pub(super) fn remove_foreign(&mut self, key: JobKey, progress: &Progress) -> bool {
        let job = &self.jobs[key];
        // Owners of earlier versions store progress without a tenant.
        let is_other = progress.tenant.is_some() && progress.tenant != job.spec.tenant;
        if !is_other || progress.ended.is_none() {
            return false;
        }
        let tenant = job.tenant;
        self.by_id.remove(&job.id);
        self.jobs.remove(key);
        self.tenancy.leave(tenant);
        self.remove_open(key);
        self.cancelled_jobs.retain(|&cancelled| cancelled != key);
        true
    }

    /// Number of open workflows of a queue and a tenant without a started task, excluding those with a
    /// schedule; without a tenant, of those that have none.
    #[must_use]
    pub fn count_waiting_of(&self, queue: &str, tenant: Option<&str>) -> u32 {
        self.count_waiting_if(queue, |known| known.map(|known| &**known) == tenant)
    }
}
