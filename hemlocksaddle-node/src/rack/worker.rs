//! Lease renewal and report handling of one worker.
//!
//! A renewal whose response was lost may have taken effect, so a lease counts as
//! extended as soon as its renewal is sent. After a failed call only reports are
//! requested, so that the leases on an unresponsive worker expire.

use std::{net::SocketAddr, rc::Rc};

use hemlocksaddle_policy::backoff::jittered;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostState,
    name::WorkerName,
    peer::TaskEvent,
    resources::Resources,
    worker::{Renew, WorkerReport},
};

use super::{
    Racks,
    state::{AttemptId, CommitmentKey, State, WorkerKey},
};
use crate::{event::Event, invariant::Invariant, wait::within};

/// Delay after a call that failed, or that was not made without the rack lease.
const RETRY_MS: Millis = Millis(500);

impl Racks {
    /// Renews the leases of one worker until its rack is lost or the node stops.
    pub(super) async fn run_renewals(self: Rc<Self>, key: WorkerKey) {
        while self.running.get() && self.state.borrow().workers.contains_key(key) {
            let delay = match self.holds_rack_lease_of(key) {
                true => self.renew(key).await,
                false => RETRY_MS,
            };
            self.core.ports.runtime.sleep(delay).await;
        }
    }

    /// Renews the leases of all workers once.
    pub(super) async fn renew_all(&self) {
        let keys: Vec<WorkerKey> = self.state.borrow().workers.keys().collect();
        let renewals = keys.into_iter().map(|key| async move {
            if self.holds_rack_lease_of(key) {
                self.renew(key).await;
            }
        });
        futures_util::future::join_all(renewals).await;
    }

    /// Renews the leases of one worker and returns the delay until the next renewal.
    pub(super) async fn renew(&self, key: WorkerKey) -> Millis {
        let sent_ms = self.now();
        let Some((address, name, renew)) = self.next_renewal(key, sent_ms) else {
            return RETRY_MS;
        };
        let acknowledged = renew.acknowledged.clone();
        let runtime = &self.core.ports.runtime;
        let call = self.core.ports.workers.renew(address, &name, renew);
        let limit = self.core.settings.timing.platform_call_ms;
        match within(&**runtime, limit, call).await {
            Some(Ok(report)) => self.handle_report(key, &report, &acknowledged, sent_ms),
            _ => self.mark_unreachable(key),
        }
    }

    fn next_renewal(&self, key: WorkerKey, now: MonoMs) -> Option<(SocketAddr, WorkerName, Renew)> {
        let lease = self.core.settings.timing.lease_ms;
        let mut state = self.state.borrow_mut();
        let worker = state.workers.get(key)?;
        let target = (worker.address, worker.name.clone());
        let incarnation = worker.incarnation;
        let acknowledged = worker.acknowledged.clone();
        let clock = worker.clock.filter(|_| !worker.unreachable);
        let lease_until = clock.map(|clock| clock.lower_bound(now) + lease);
        let tasks = match lease_until {
            Some(_) => extend_leases(&mut state, key, now + lease.with_clock_margin()),
            None => Vec::new(),
        };
        let renew = Renew {
            incarnation,
            lease_until_worker_ms: lease_until,
            tasks,
            acknowledged,
        };
        Some((target.0, target.1, renew))
    }

    fn handle_report(
        &self,
        key: WorkerKey,
        report: &WorkerReport,
        acknowledged: &[AttemptId],
        requested_ms: MonoMs,
    ) -> Millis {
        let now = self.now();
        let lease = self.core.settings.timing.lease_ms;
        let (first, was_unreachable, finished) = {
            let mut state = self.state.borrow_mut();
            let Some(worker) = state.workers.get_mut(key) else {
                return RETRY_MS;
            };
            worker.acknowledged.retain(|id| !acknowledged.contains(id));
            let (first, was_unreachable) = (worker.last_report_ms.is_none(), worker.unreachable);
            (
                first,
                was_unreachable,
                state.apply_report(key, report, (requested_ms, now), lease),
            )
        };
        self.check_capacity(key);
        if was_unreachable {
            Event::WorkerReachable.log(format_args!("{}", self.name_of(key)));
        }
        self.record_ends(&finished);
        self.deliver_all(finished);
        if let Some(racks) = self.this.upgrade() {
            racks.mitigate_interference(key);
        }
        let every = self.core.settings.timing.renew_every_ms;
        match (first || was_unreachable) && !report.running.is_empty() {
            true => Millis(0),
            false => jittered(every, self.core.ports.runtime.random()),
        }
    }

    /// Checks the invariant that the active attempts on a worker, including those of earlier
    /// owners, fit its capacity.
    fn check_capacity(&self, key: WorkerKey) {
        let state = self.state.borrow();
        let Some(worker) = state.workers.get(key) else {
            return;
        };
        let tasks = state.active_on(key);
        let committed = tasks.fold(Resources::default(), |sum, (_, c)| sum + c.demand);
        let fits = committed.fits_in(&worker.capacity);
        let text = || {
            format!(
                "worker {} holds {committed:?} of {:?}",
                worker.name, worker.capacity
            )
        };
        // There is no action to refuse; the worker has no free resources until its tasks fit again.
        let _ = self
            .core
            .invariants
            .check(Invariant::HostCapacity, fits, text);
    }

    fn mark_unreachable(&self, key: WorkerKey) -> Millis {
        let was_unreachable = match self.state.borrow_mut().workers.get_mut(key) {
            Some(worker) => std::mem::replace(&mut worker.unreachable, true),
            None => true,
        };
        if !was_unreachable {
            Event::WorkerUnreachable.log(format_args!("{}", self.name_of(key)));
        }
        RETRY_MS
    }

    fn name_of(&self, key: WorkerKey) -> String {
        let state = self.state.borrow();
        let worker = state.workers.get(key);
        worker.map_or_else(String::new, |worker| worker.name.to_string())
    }

    /// Declares attempts on unresponsive workers lost once their lease has expired.
    pub(super) fn expire_leases(&self) {
        let now = self.now();
        let expired = self.expired(now);
        let mut finished = Vec::new();
        for (key, worker) in expired {
            let lost = TaskEvent::Lost(worker);
            if self.state.borrow_mut().finish(key, lost) {
                finished.push(key);
            }
        }
        self.deliver_all(finished);
        self.remove_gone_workers();
    }

    fn expired(&self, now: MonoMs) -> Vec<(CommitmentKey, WorkerName)> {
        let fresh = Millis(self.core.settings.timing.renew_every_ms.0 * 2);
        let state = self.state.borrow();
        let mut expired = Vec::new();
        for (key, commitment) in &state.commitments {
            let Some(worker) = state.workers.get(commitment.worker) else {
                continue;
            };
            let responsive = worker
                .last_report_ms
                .is_some_and(|ms| now.since(ms) <= fresh);
            if commitment.is_active() && now > commitment.lease_until_ms && !responsive {
                expired.push((key, worker.name.clone()));
            }
        }
        expired
    }

    /// Drops unreachable workers that the host list shows as gone and that have no commitments.
    fn remove_gone_workers(&self) {
        let mut state = self.state.borrow_mut();
        let gone: Vec<WorkerKey> = state
            .workers
            .iter()
            .filter(|(_, w)| {
                w.host_state == HostState::Gone && w.unreachable && w.commitments.is_empty()
            })
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            state.drop_worker(key);
        }
    }
}

/// Extends the leases of all active attempts on a worker and returns these attempts.
fn extend_leases(state: &mut State, key: WorkerKey, until_ms: MonoMs) -> Vec<AttemptId> {
    let keys: Vec<CommitmentKey> = state.active_on(key).map(|(key, _)| key).collect();
    let mut tasks = Vec::new();
    for key in keys {
        if let Some(commitment) = state.commitments.get_mut(key) {
            commitment.lease_until_ms = commitment.lease_until_ms.max(until_ms);
            tasks.push(commitment.id);
        }
    }
    tasks
}
