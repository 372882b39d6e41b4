//! Detection of faulty workers.
//!
//! A worker that fails tasks which succeed elsewhere is put into backoff and gets
//! no starts; after each wait one task is placed on it as a probe.

use hemlocksaddle_policy::backoff::{BackoffConfig, Permission};
use hemlocksaddle_types::{
    clock::Millis,
    job::{JobId, TaskEnd},
    name::WorkerName,
    peer::TaskEvent,
};

use super::{
    Racks,
    state::{CommitmentKey, Phase, WorkerKey},
};
use crate::event::Event;

/// Backoff of suspect workers.
pub(super) const WORKER_BACKOFF: BackoffConfig = BackoffConfig {
    initial_ms: Millis(30_000),
    max_ms: Millis(1_800_000),
    probe_timeout_ms: Millis(60_000),
};

impl Racks {
    /// Whether the backoff permits a start: the worker is not in backoff, or its probe is due.
    pub(super) fn backoff_allows(&self, worker: &WorkerName) -> bool {
        let permission = self.worker_backoff.borrow().peek(worker, self.now());
        !matches!(permission, Permission::NotBefore(_))
    }

    /// Consumes the probe if the worker is in backoff.
    pub(super) fn acquire_probe(&self, worker: WorkerKey) {
        let name = self
            .state
            .borrow()
            .workers
            .get(worker)
            .map(|w| w.name.clone());
        let Some(name) = name else {
            return;
        };
        let permission = self.worker_backoff.borrow_mut().acquire(&name, self.now());
        if permission == Permission::Probe {
            self.probing.borrow_mut().insert(name);
        }
    }

    /// Records successes and failures of finished attempts.
    pub(super) fn record_ends(&self, finished: &[CommitmentKey]) {
        for key in finished {
            let end = {
                let state = self.state.borrow();
                let commitment = state.commitments.get(*key);
                commitment.and_then(|commitment| match &commitment.phase {
                    Phase::Finished(TaskEvent::Ended(worker, end)) => {
                        Some((worker.clone(), commitment.id.0.job, end.clone()))
                    }
                    _ => None,
                })
            };
            match end {
                Some((worker, job, TaskEnd::Completed)) => self.record_success(&worker, job),
                Some((worker, job, TaskEnd::Failed(_))) => self.record_task_failure(&worker, job),
                _ => {}
            }
        }
    }

    fn record_success(&self, worker: &WorkerName, job: JobId) {
        self.failure_attribution
            .borrow_mut()
            .record_success(worker, &job);
        self.worker_backoff.borrow_mut().record_success(worker);
        self.probing.borrow_mut().remove(worker);
    }

    /// Records that a worker failed or refused a task, and puts it into backoff if it is suspect.
    pub(super) fn record_task_failure(&self, worker: &WorkerName, job: JobId) {
        let is_suspect = {
            let mut failure_attribution = self.failure_attribution.borrow_mut();
            failure_attribution.record_failure(worker, &job);
            failure_attribution.is_suspect(worker)
        };
        if !is_suspect {
            return;
        }
        let now = self.now();
        let random = self.core.ports.runtime.random();
        let mut worker_backoff = self.worker_backoff.borrow_mut();
        if matches!(worker_backoff.peek(worker, now), Permission::NotBefore(_))
            && !self.is_probing(worker)
        {
            // Failures of tasks placed before the backoff began do not extend it.
            return;
        }
        let until_ms = worker_backoff.record_refusal(worker, (), now, random);
        self.probing.borrow_mut().remove(worker);
        Event::WorkerSetAside.log(format_args!("{worker} for {}", until_ms.since(now)));
    }

    fn is_probing(&self, worker: &WorkerName) -> bool {
        self.probing.borrow().contains(worker)
    }
}
