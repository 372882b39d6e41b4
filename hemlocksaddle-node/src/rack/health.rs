//! Workers that fail what others run well.
//!
//! Such a worker is set aside with a backoff of its own; at the end of each wait
//! one task is placed on it as a probe.

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

/// Waits of a worker that is set aside.
pub(super) const ASIDE_STEPS: BackoffConfig = BackoffConfig {
    initial_ms: Millis(30_000),
    max_ms: Millis(1_800_000),
    probe_timeout_ms: Millis(60_000),
};

impl Racks {
    /// Whether a worker may get a start: it is not set aside, or its probe is due.
    pub(super) fn is_trusted(&self, worker: &WorkerName) -> bool {
        let allow = self.set_aside.borrow().peek(worker, self.now());
        !matches!(allow, Permission::NotBefore(_))
    }

    /// Uses up the probe if the worker is set aside.
    pub(super) fn note_probe(&self, worker: WorkerKey) {
        let name = self
            .state
            .borrow()
            .workers
            .get(worker)
            .map(|w| w.name.clone());
        let Some(name) = name else {
            return;
        };
        let allow = self.set_aside.borrow_mut().acquire(&name, self.now());
        if allow == Permission::Probe {
            self.probing.borrow_mut().insert(name);
        }
    }

    /// Learns from the ends of attempts.
    pub(super) fn learn_from(&self, over: &[CommitmentKey]) {
        for key in over {
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
                Some((worker, job, TaskEnd::Completed)) => self.note_success(&worker, job),
                Some((worker, job, TaskEnd::Failed(_))) => self.note_task_failure(&worker, job),
                _ => {}
            }
        }
    }

    fn note_success(&self, worker: &WorkerName, job: JobId) {
        self.suspicion.borrow_mut().record_success(worker, &job);
        self.set_aside.borrow_mut().record_success(worker);
        self.probing.borrow_mut().remove(worker);
    }

    /// Notes that a worker failed or refused a task.
    pub(super) fn note_task_failure(&self, worker: &WorkerName, job: JobId) {
        let suspect = {
            let mut suspicion = self.suspicion.borrow_mut();
            suspicion.record_failure(worker, &job);
            suspicion.is_suspect(worker)
        };
        if !suspect {
            return;
        }
        let now = self.now();
        let random = self.core.ports.runtime.random();
        let mut set_aside = self.set_aside.borrow_mut();
        if matches!(set_aside.peek(worker, now), Permission::NotBefore(_))
            && !self.is_probing(worker)
        {
            // Failures of tasks that were placed before the worker was set aside do not lengthen the wait.
            return;
        }
        let until_ms = set_aside.record_refusal(worker, (), now, random);
        self.probing.borrow_mut().remove(worker);
        Event::WorkerSetAside.log(format_args!("{worker} for {}", until_ms.since(now)));
    }

    fn is_probing(&self, worker: &WorkerName) -> bool {
        self.probing.borrow().contains(worker)
    }
}
