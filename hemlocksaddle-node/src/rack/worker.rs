//! Task that looks after one worker: renews its leases and takes its reports.
//!
//! A renewal whose answer was lost may have taken effect, so the lease counts as
//! extended from the sending. After a failed call only reports are asked for, so
//! that the leases of a worker that does not answer come to an end.

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

/// Pause after a call that failed or was not allowed.
const RETRY_MS: Millis = Millis(500);

impl Racks {
    /// Renews leases until the worker is no longer of this node.
    pub(super) async fn look_after(self: Rc<Self>, key: WorkerKey) {
        while self.running.get() && self.state.borrow().workers.contains_key(key) {
            let pause = match self.may_act_on(key) {
                true => self.renew(key).await,
                false => RETRY_MS,
            };
            self.core.ports.runtime.sleep(pause).await;
        }
    }

    /// Renews the leases of all workers once.
    pub(super) async fn renew_all(&self) {
        let keys: Vec<WorkerKey> = self.state.borrow().workers.keys().collect();
        let renewals = keys.into_iter().map(|key| async move {
            if self.may_act_on(key) {
                self.renew(key).await;
            }
        });
        futures_util::future::join_all(renewals).await;
    }

    /// Renews the leases of one worker, and returns the pause until the next renewal.
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
            Some(Ok(report)) => self.take_report(key, &report, &acknowledged, sent_ms),
            _ => self.note_failure(key),
        }
    }

    fn next_renewal(&self, key: WorkerKey, now: MonoMs) -> Option<(SocketAddr, WorkerName, Renew)> {
        let lease = self.core.settings.timing.lease_ms;
        let mut state = self.state.borrow_mut();
        let worker = state.workers.get(key)?;
        let target = (worker.address, worker.name.clone());
        let incarnation = worker.incarnation;
        let acknowledged = worker.acknowledged.clone();
        let clock = worker.clock.filter(|_| !worker.failing);
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

    fn take_report(
        &self,
        key: WorkerKey,
        report: &WorkerReport,
        acknowledged: &[AttemptId],
        asked_ms: MonoMs,
    ) -> Millis {
        let now = self.now();
        let lease = self.core.settings.timing.lease_ms;
        let (first, failing, over) = {
            let mut state = self.state.borrow_mut();
            let Some(worker) = state.workers.get_mut(key) else {
                return RETRY_MS;
            };
            worker.acknowledged.retain(|id| !acknowledged.contains(id));
            let (first, failing) = (worker.heard_ms.is_none(), worker.failing);
            (
                first,
                failing,
                state.apply_report(key, report, (asked_ms, now), lease),
            )
        };
        self.check_capacity(key);
        if failing {
            Event::WorkerReachable.log(format_args!("{}", self.name_of(key)));
        }
        self.learn_from(&over);
        self.deliver_all(over);
        if let Some(racks) = self.this.upgrade() {
            racks.react(key);
        }
        let every = self.core.settings.timing.renew_every_ms;
        match (first || failing) && !report.running.is_empty() {
            true => Millis(0),
            false => jittered(every, self.core.ports.runtime.random()),
        }
    }

    /// Asserts that what runs on a worker, attempts of earlier owners included, fits.
    fn check_capacity(&self, key: WorkerKey) {
        let state = self.state.borrow();
        let Some(worker) = state.workers.get(key) else {
            return;
        };
        let tasks = state.holding_on(key);
        let held = tasks.fold(Resources::default(), |sum, (_, c)| sum + c.demand);
        let fits = held.fits_in(&worker.capacity);
        let text = || {
            format!(
                "worker {} holds {held:?} of {:?}",
                worker.name, worker.capacity
            )
        };
        // There is no action to refuse; the worker gets no start until its tasks fit.
        let _ = self
            .core
            .invariants
            .check(Invariant::HostCapacity, fits, text);
    }

    fn note_failure(&self, key: WorkerKey) -> Millis {
        let was_failing = match self.state.borrow_mut().workers.get_mut(key) {
            Some(worker) => std::mem::replace(&mut worker.failing, true),
            None => true,
        };
        if !was_failing {
            Event::WorkerUnreachable.log(format_args!("{}", self.name_of(key)));
        }
        RETRY_MS
    }

    fn name_of(&self, key: WorkerKey) -> String {
        let state = self.state.borrow();
        let worker = state.workers.get(key);
        worker.map_or_else(String::new, |worker| worker.name.to_string())
    }

    /// Declares attempts lost whose lease has passed on workers that do not answer.
    pub(super) fn lapse_leases(&self) {
        let now = self.now();
        let lapsed = self.lapsed(now);
        let mut over = Vec::new();
        for (key, worker) in lapsed {
            let lost = TaskEvent::Lost(worker);
            if self.state.borrow_mut().finish(key, lost) {
                over.push(key);
            }
        }
        self.deliver_all(over);
        self.forget_gone_workers();
    }

    fn lapsed(&self, now: MonoMs) -> Vec<(CommitmentKey, WorkerName)> {
        let fresh = Millis(self.core.settings.timing.renew_every_ms.0 * 2);
        let state = self.state.borrow();
        let mut lapsed = Vec::new();
        for (key, commitment) in &state.commitments {
            let Some(worker) = state.workers.get(commitment.worker) else {
                continue;
            };
            let answers = worker.heard_ms.is_some_and(|ms| now.since(ms) <= fresh);
            if commitment.holds() && now > commitment.lease_until_ms && !answers {
                lapsed.push((key, worker.name.clone()));
            }
        }
        lapsed
    }

    /// Drops workers that the host list no longer shows as running and that hold nothing.
    fn forget_gone_workers(&self) {
        let mut state = self.state.borrow_mut();
        let gone: Vec<WorkerKey> = state
            .workers
            .iter()
            .filter(|(_, w)| w.listed == HostState::Gone && w.failing && w.commitments.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            state.drop_worker(key);
        }
    }
}

/// Extends the leases of all attempts on a worker, and returns the attempts.
fn extend_leases(state: &mut State, key: WorkerKey, until_ms: MonoMs) -> Vec<AttemptId> {
    let keys: Vec<CommitmentKey> = state.holding_on(key).map(|(key, _)| key).collect();
    let mut tasks = Vec::new();
    for key in keys {
        if let Some(commitment) = state.commitments.get_mut(key) {
            commitment.lease_until_ms = commitment.lease_until_ms.max(until_ms);
            tasks.push(commitment.id);
        }
    }
    tasks
}
