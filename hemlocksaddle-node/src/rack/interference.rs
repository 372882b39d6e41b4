//! Mitigation of interference between tasks on a worker.
//!
//! Each report updates the interference model. When a task that is not a batch
//! task is slowed down, the batch neighbour with the highest expected effect on it
//! is throttled, and if that does not help, a neighbour is evicted.

use std::{net::SocketAddr, rc::Rc};

use hemlocksaddle_policy::interference::{Action, Thresholds};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    job::Urgency,
    name::{ServiceName, WorkerName},
};

use super::{
    Racks,
    preempt::may_evict,
    state::{AttemptId, Commitment, CommitmentKey, State, WorkerKey},
};
use crate::{event::Event, wait::within};

/// Slowdown reported for a task that runs without contention.
const UNCONTENDED_SLOWDOWN_MILLI: u64 = 1_000;

/// Thresholds of the mitigation. `settle_ms` covers the lag and the measurement window of the
/// reports, 5 s each, plus one renewal, so that each action waits until the effect of the last
/// one is visible.
const THRESHOLDS: Thresholds = Thresholds {
    act_milli: 200,
    release_milli: 80,
    settle_ms: Millis(12_000),
    hold_ms: Millis(30_000),
};

/// Order to throttle a task or to lift its throttle.
struct Throttle {
    address: SocketAddr,
    worker: WorkerName,
    id: AttemptId,
    on: bool,
}

impl Racks {
    /// Updates the model from a worker's last report and takes the next mitigation action.
    pub(super) fn mitigate_interference(self: &Rc<Self>, worker: WorkerKey) {
        let now = self.now();
        self.observe_interference(worker, now);
        let worst = self.worst_slowed(worker);
        let slowdown = worst.as_ref().map_or(0, |(_, slowdown)| *slowdown);
        let action = {
            let mut mitigations = self.mitigations.borrow_mut();
            let Some(entry) = mitigations.entry(worker) else {
                return;
            };
            entry.or_default().next_action(slowdown, &THRESHOLDS, now)
        };
        let class = worst.map(|(class, _)| class);
        match (action, class) {
            (Action::Throttle, Some(class)) => self.throttle_neighbour(worker, &class, now),
            (Action::Move, Some(class)) => self.evict_neighbour(worker, &class, now),
            (Action::Release, _) => self.lift_throttles(worker),
            _ => {}
        }
    }

    fn observe_interference(&self, worker: WorkerKey, now: MonoMs) {
        let state = self.state.borrow();
        let mut interference_model = self.interference_model.borrow_mut();
        let tasks: Vec<(CommitmentKey, &Commitment)> = state.active_on(worker).collect();
        for (key, commitment) in &tasks {
            if commitment.slowdown_milli == 0 || commitment.throttled {
                continue;
            }
            let others = tasks
                .iter()
                .filter(|(other, c)| other != key && !c.throttled);
            let others = others.map(|(_, c)| (c.service.clone(), c.demand.cpu_milli));
            let others: Vec<(ServiceName, u64)> = others.collect();
            interference_model.observe(
                &commitment.service,
                &others,
                excess_slowdown_milli(commitment),
                now,
            );
        }
    }

    /// Class and excess slowdown of the task that is slowed down most, batch tasks excluded.
    fn worst_slowed(&self, worker: WorkerKey) -> Option<(ServiceName, u64)> {
        let state = self.state.borrow();
        let tasks = state.active_on(worker);
        let tasks = tasks.filter(|(_, c)| c.urgency != Urgency::Batch);
        let worst = tasks.max_by_key(|(_, c)| excess_slowdown_milli(c));
        worst.map(|(_, c)| (c.service.clone(), excess_slowdown_milli(c)))
    }

    /// Eligible batch task with the highest expected slowdown of a class.
    fn most_interfering(
        &self,
        state: &State,
        worker: WorkerKey,
        class: &ServiceName,
        now: MonoMs,
        eligible: impl Fn(&Commitment) -> bool,
    ) -> Option<CommitmentKey> {
        let interference_model = self.interference_model.borrow();
        let tasks = state.active_on(worker);
        let tasks = tasks.filter(|(_, c)| c.urgency == Urgency::Batch && eligible(c));
        let worst = tasks.max_by_key(|(_, c)| {
            let expected = interference_model.expected_slowdown_milli(class, [&c.service], now);
            (expected, c.demand.cpu_milli)
        });
        worst.map(|(key, _)| key)
    }

    fn throttle_neighbour(self: &Rc<Self>, worker: WorkerKey, class: &ServiceName, now: MonoMs) {
        let key = {
            let state = self.state.borrow();
            self.most_interfering(&state, worker, class, now, |c| !c.throttled)
        };
        if let Some(key) = key {
            self.order_throttle(key, true);
        }
    }

    fn evict_neighbour(self: &Rc<Self>, worker: WorkerKey, class: &ServiceName, now: MonoMs) {
        let key = {
            let state = self.state.borrow();
            self.most_interfering(&state, worker, class, now, may_evict)
        };
        if let Some(key) = key {
            Event::TaskEvicted.log(format_args!("from a worker where it slows {class} down"));
            self.core
                .metrics
                .tasks
                .with_label_values(&["evicted"])
                .inc();
            self.begin_stop(key, true);
        }
    }

    fn lift_throttles(self: &Rc<Self>, worker: WorkerKey) {
        let throttled: Vec<CommitmentKey> = {
            let state = self.state.borrow();
            let tasks = state.active_on(worker).filter(|(_, c)| c.throttled);
            tasks.map(|(key, _)| key).collect()
        };
        for key in throttled {
            self.order_throttle(key, false);
        }
    }

    /// Sends a throttle order in the background; the next report shows whether it took effect.
    fn order_throttle(self: &Rc<Self>, key: CommitmentKey, on: bool) {
        let order = {
            let state = self.state.borrow();
            let commitment = state.commitments.get(key);
            commitment.and_then(|commitment| {
                let worker = state.workers.get(commitment.worker)?;
                Some((
                    commitment.worker,
                    Throttle {
                        address: worker.address,
                        worker: worker.name.clone(),
                        id: commitment.id,
                        on,
                    },
                ))
            })
        };
        let Some((_, order)) = order.filter(|(worker, _)| self.holds_rack_lease_of(*worker)) else {
            return;
        };
        Event::TaskThrottled.log(format_args!("{:?} on {}: {on}", order.id, order.worker));
        let racks = self.clone();
        self.spawn(async move { racks.send_throttle(&order).await });
    }

    async fn send_throttle(&self, order: &Throttle) {
        let (task, attempt) = order.id;
        let workers = &self.core.ports.workers;
        let call = workers.throttle(order.address, &order.worker, task, attempt, order.on);
        let limit = self.core.settings.timing.platform_call_ms;
        // Reports reveal a lost order, and the mitigation then repeats it.
        let _ = within(&*self.core.ports.runtime, limit, call).await;
    }
}

/// Slowdown above the uncontended run time, in thousandths; 0 without a measurement.
fn excess_slowdown_milli(commitment: &Commitment) -> u64 {
    commitment
        .slowdown_milli
        .saturating_sub(UNCONTENDED_SLOWDOWN_MILLI)
}
