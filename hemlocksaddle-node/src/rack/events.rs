//! Delivery of task events to queue owners.
//!
//! Delivery is at least once: an event is resent until the owner of the task's
//! queue acknowledges it. The owner acknowledges only durable events, so the
//! worker may then forget the ended task.

use std::rc::Rc;

use hemlocksaddle_policy::backoff::jittered;
use hemlocksaddle_types::{
    clock::Millis,
    peer::{AttemptStatus, Request, Response, TaskEvent},
    unit::Unit,
};

use super::{
    Racks,
    state::{CommitmentKey, Phase, attempt_status},
};

/// Timeout of an acknowledgement; covers an append to a slow log.
const ACK_TIMEOUT_MS: Millis = Millis(5_000);
/// Delay before the first retry.
const INITIAL_RETRY_MS: Millis = Millis(100);
/// Maximum delay between retries.
const MAX_RETRY_MS: Millis = Millis(2_000);

impl Racks {
    /// Starts the delivery of the events of finished commitments.
    pub(super) fn deliver_all(&self, finished: Vec<CommitmentKey>) {
        for key in finished {
            let Some(racks) = self.this.upgrade() else {
                return;
            };
            self.count_event(key);
            self.events_in_progress
                .set(self.events_in_progress.get() + 1);
            self.spawn(async move {
                racks.deliver(key).await;
                racks
                    .events_in_progress
                    .set(racks.events_in_progress.get() - 1);
            });
        }
    }

    fn count_event(&self, key: CommitmentKey) {
        let label = match self.event_of(key).map(|status| status.event) {
            Some(TaskEvent::Ended(..)) => "ended",
            Some(TaskEvent::Lost(_)) => "lost",
            Some(TaskEvent::NotStarted) => "not_started",
            _ => return,
        };
        self.core.metrics.tasks.with_label_values(&[label]).inc();
    }

    async fn deliver(self: &Rc<Self>, key: CommitmentKey) {
        let mut delay = INITIAL_RETRY_MS;
        while let Some(event) = self.event_of(key) {
            if self.send_event(key, &event).await {
                self.remove_acknowledged(key, &event);
                continue;
            }
            let runtime = &self.core.ports.runtime;
            runtime.sleep(jittered(delay, runtime.random())).await;
            delay = Millis((delay.0 * 2).min(MAX_RETRY_MS.0));
        }
    }

    /// Sends an event once; returns whether the queue owner acknowledged it.
    async fn send_event(&self, key: CommitmentKey, event: &AttemptStatus) -> bool {
        let worker = self.state.borrow().commitments.get(key).map(|c| c.worker);
        if !worker.is_some_and(|worker| self.holds_rack_lease_of(worker)) {
            return false;
        }
        let queue = Unit::Queue(event.task.job.queue);
        let Some(owner) = self.core.ownership.owner(&queue) else {
            return false;
        };
        let request = Request::TaskEvent(event.clone());
        let reply = self.core.calls.call(&owner, request, ACK_TIMEOUT_MS).await;
        matches!(reply, Ok(Response::Ok))
    }

    /// Current event of a finished commitment.
    fn event_of(&self, key: CommitmentKey) -> Option<AttemptStatus> {
        let state = self.state.borrow();
        let commitment = state.commitments.get(key)?;
        let worker = state.workers.get(commitment.worker)?;
        match commitment.phase {
            Phase::Finished(_) => Some(attempt_status(commitment, &worker.name)),
            _ => None,
        }
    }

    /// Removes a commitment whose event was acknowledged, unless it has a newer event by now.
    fn remove_acknowledged(&self, key: CommitmentKey, event: &AttemptStatus) {
        if self.event_of(key).as_ref() != Some(event) {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(commitment) = state.remove(key, now) else {
            return;
        };
        let ended = matches!(event.event, TaskEvent::Ended(..));
        if let (true, Some(worker)) = (ended, state.workers.get_mut(commitment.worker)) {
            worker.acknowledged.push(commitment.id);
        }
    }
}
