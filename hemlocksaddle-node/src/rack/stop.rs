//! Stop orders, repeated until the attempt is finished.

use std::rc::Rc;

use hemlocksaddle_types::{clock::Millis, name::RackName, peer::Response};

use super::{
    Racks,
    state::{AttemptId, CommitmentKey, Phase},
};
use crate::wait::within;

/// Delay between a stop order and the report that is requested to see its effect.
const STOP_CHECK_DELAY_MS: Millis = Millis(200);
/// Delay before a stop order is repeated.
const STOP_RETRY_MS: Millis = Millis(2_000);

impl Racks {
    /// Handles a queue owner's order to stop an attempt.
    ///
    /// An unknown attempt is closed, so that a delayed placement of it is refused.
    pub(super) fn stop_task(
        self: &Rc<Self>,
        rack: &RackName,
        id: AttemptId,
        checkpoint: bool,
    ) -> Response {
        let term = self.state.borrow().racks.get(rack).map(|owned| owned.term);
        if !term.is_some_and(|term| self.holds_rack_lease(rack, term)) {
            return Response::NotOwner;
        }
        let key = self.state.borrow().by_attempt.get(&id).copied();
        match key {
            Some(key) => self.begin_stop(key, checkpoint),
            None => self.state.borrow_mut().close(id, self.now()),
        }
        Response::Ok
    }

    /// Stops an attempt in the background, unless a stop is in progress or the attempt is over.
    pub(super) fn begin_stop(self: &Rc<Self>, key: CommitmentKey, checkpoint: bool) {
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            let Some(commitment) = state.commitments.get_mut(key) else {
                return;
            };
            let in_progress = commitment.stop_sent_ms.is_some();
            if in_progress || !commitment.is_active() {
                return;
            }
            commitment.stop_sent_ms = Some(now);
            commitment.stop_with_checkpoint = checkpoint;
        }
        let racks = self.clone();
        self.spawn(async move { racks.stop_until_finished(key).await });
    }

    async fn stop_until_finished(self: Rc<Self>, key: CommitmentKey) {
        while self.running.get() && self.is_attempt_active(key) {
            self.send_stop(key).await;
            self.core.ports.runtime.sleep(STOP_CHECK_DELAY_MS).await;
            self.fetch_report(key).await;
            if self.is_attempt_active(key) {
                self.core.ports.runtime.sleep(STOP_RETRY_MS).await;
            }
        }
    }

    fn is_attempt_active(&self, key: CommitmentKey) -> bool {
        let state = self.state.borrow();
        state.commitments.get(key).is_some_and(|c| c.is_active())
    }

    async fn send_stop(&self, key: CommitmentKey) {
        let order = {
            let state = self.state.borrow();
            let commitment = state.commitments.get(key);
            commitment.and_then(|commitment| {
                let worker = state.workers.get(commitment.worker)?;
                let target = (commitment.worker, worker.address, worker.name.clone());
                Some((target, commitment.id, commitment.stop_with_checkpoint))
            })
        };
        let Some(((worker, address, name), (task, attempt), checkpoint)) = order else {
            return;
        };
        if !self.holds_rack_lease_of(worker) {
            return;
        }
        let workers = &self.core.ports.workers;
        let call = workers.stop(address, &name, task, attempt, checkpoint);
        let limit = self.core.settings.timing.platform_call_ms;
        let reply = within(&*self.core.ports.runtime, limit, call).await;
        let mut state = self.state.borrow_mut();
        let commitment = state.commitments.get_mut(key);
        if let (Some(Ok(())), Some(commitment)) = (reply, commitment)
            && commitment.phase == Phase::Running
        {
            commitment.phase = Phase::Stopping;
        }
    }

    /// Requests a report from the worker of an attempt ahead of the renewal schedule.
    pub(super) async fn fetch_report(&self, key: CommitmentKey) {
        let worker = self.state.borrow().commitments.get(key).map(|c| c.worker);
        if let Some(worker) = worker
            && self.holds_rack_lease_of(worker)
        {
            self.renew(worker).await;
        }
    }
}
