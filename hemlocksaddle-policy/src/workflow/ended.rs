//! Ended workflows of which only the outcome is kept.
//!
//! Once the outcome of a workflow is durable and none of its tasks is assigned, its submission is not
//! needed any more: a successor restores the workflow from its progress alone. The outcome is kept until
//! the retention time has passed, so that its state can be told and a repeated submission is recognised.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    workflow::{Failure, Progress, Run, State, StepProgress, TaskName, WorkflowId},
};

use super::{End, EndKind, Job, JobKey, Scheduler, lifecycle::progress};

/// Outcome of a workflow.
#[derive(Debug)]
pub(super) struct EndedWorkflow {
    state: State,
    at_ms: WallMs,
    failure: Option<Failure>,
    /// Name of the workflow's tenant.
    pub(super) tenant: Option<Arc<str>>,
    /// Latest runs that were started after one whose end is unknown, by occurrence, step and index.
    restarted: HashMap<(u32, u16, u32), Run>,
    /// Whether the submissions may hold records of the workflow.
    has_submission: bool,
}

impl EndedWorkflow {
    /// Outcome that durable progress tells; `None` if the workflow has not ended.
    fn from_progress(progress: &Progress) -> Option<EndedWorkflow> {
        Some(EndedWorkflow {
            state: progress.ended?,
            at_ms: progress.ended_ms.unwrap_or_default(),
            failure: progress.failure.clone(),
            tenant: progress.tenant.clone(),
            restarted: restarted_runs(progress).collect(),
            has_submission: false,
        })
    }
}

/// Runs in a progress that were started after one whose end is unknown.
fn restarted_runs(progress: &Progress) -> impl Iterator<Item = ((u32, u16, u32), Run)> {
    progress.steps.iter().flat_map(|step| {
        let runs = step.restarted.iter();
        runs.map(|&(index, run)| ((step.occurrence, step.step, index), run))
    })
}

impl Scheduler {
    /// State of a workflow as shown to its caller; `None` if it is not known.
    #[must_use]
    pub fn state(&self, id: WorkflowId) -> Option<State> {
        let ended = self.ended.get(&id).map(|ended| ended.state);
        ended.or_else(|| self.job(id).map(Job::state))
    }

    /// Why a workflow failed.
    #[must_use]
    pub fn failure(&self, id: WorkflowId) -> Option<&Failure> {
        match self.ended.get(&id) {
            Some(ended) => ended.failure.as_ref(),
            None => self.job(id)?.failure.as_ref(),
        }
    }

    /// Restores the outcome of a workflow whose submission is deleted; ignored unless it has ended.
    pub(super) fn restore_ended(&mut self, id: WorkflowId, progress: &Progress) {
        if let Some(known) = self.ended.get_mut(&id) {
            // A further part of the progress.
            known.restarted.extend(restarted_runs(progress));
            return;
        }
        if let Some(mut ended) = EndedWorkflow::from_progress(progress) {
            let canceller = (id, ended.tenant.clone());
            ended.has_submission = self.pending_cancels.remove(&canceller).is_some();
            self.ended.insert(id, ended);
        }
    }

    /// Records that the submissions hold a record of a workflow; returns whether it is kept as ended.
    pub(super) fn note_submission(&mut self, id: WorkflowId) -> bool {
        let ended = self.ended.get_mut(&id);
        ended.map(|ended| ended.has_submission = true).is_some()
    }

    /// Takes up to `limit` workflows whose records in the submissions are to be deleted.
    ///
    /// Their outcomes are durable and none of their tasks is assigned.
    #[must_use]
    pub fn take_ended_submissions(&mut self, limit: usize, now: MonoMs) -> Vec<WorkflowId> {
        self.reduce_ended(now);
        let with_submission = self.ended.iter_mut().filter(|(_, e)| e.has_submission);
        let taken = with_submission.take(limit).map(|(id, ended)| {
            // A submission that is repeated from now on is deleted separately.
            ended.has_submission = false;
            *id
        });
        taken.collect()
    }

    /// Puts back workflows whose records may not have been deleted.
    pub fn put_back_ended_submissions(&mut self, ids: &[WorkflowId]) {
        for id in ids {
            self.note_submission(*id);
        }
    }

    /// Reduces workflows to their outcome as soon as it is durable and no task is assigned.
    fn reduce_ended(&mut self, now: MonoMs) {
        // Workers that have not reported yet may hold runs of a predecessor.
        let failover_complete = self.is_failover_complete(now);
        let reducible = |key: JobKey, job: &Job| {
            job.ended_saved
                && job.placed == 0
                && (failover_complete || !job.inherited)
                && job.unsaved_crashes.is_empty()
                && !self.unsaved.contains(&key)
        };
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(key, job)| reducible(*key, job))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            let Some(job) = self.jobs.remove(key) else {
                continue;
            };
            self.by_id.remove(&job.id);
            self.tenancy.leave(job.tenant);
            if let Some(mut ended) = EndedWorkflow::from_progress(&progress(&job)) {
                ended.has_submission = true;
                self.ended.insert(job.id, ended);
            }
        }
    }

    /// Removes the outcomes that were reached more than `keep_ended_ms` ago; returns their ids.
    pub(super) fn forget_outcomes(&mut self, wall: WallMs) -> Vec<WorkflowId> {
        let keep_ms = self.limits.keep_ended_ms;
        let is_old = |ended: &EndedWorkflow| wall.since(ended.at_ms) > keep_ms;
        let old = self.ended.extract_if(|_, ended| is_old(ended));
        old.map(|(id, _)| id).collect()
    }

    /// Whether a run completed whose task was started again while its end was unknown, in a workflow or an
    /// occurrence of which only the outcome is kept.
    pub(super) fn is_superseded(&self, name: TaskName, end: &End) -> bool {
        let key = (name.occurrence, name.step, name.index);
        let ended = self.ended.get(&name.workflow);
        let of_ended = ended.and_then(|ended| ended.restarted.get(&key).copied());
        let job = self.job(name.workflow);
        let of_job = job.and_then(|job| job.occurrences.restarted_run(key));
        end.kind == EndKind::Done && of_ended.or(of_job).is_some_and(|run| end.run < run)
    }
}

/// Progress of a step of an ended workflow: what decides whether a late end is acknowledged.
pub(super) fn of_ended(step: StepProgress) -> StepProgress {
    StepProgress {
        occurrence: step.occurrence,
        step: step.step,
        restarted: step.restarted,
        ..StepProgress::default()
    }
}
