//! Reaction to interference on a worker.
//!
//! Each report feeds the learner. When a task that is not batch work is slowed
//! down, the batch neighbour that is expected to slow it most is throttled, and
//! moved if that does not help.

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

/// Reported value of a task that nothing slows down.
const UNCONTENDED_SLOWDOWN_MILLI: u64 = 1_000;

/// Thresholds of the reaction. `settle_ms` is the reports' lag and window of 5 s
/// each plus one renewal, so that no step follows before the last one shows.
const THRESHOLDS: Thresholds = Thresholds {
    act_milli: 200,
    release_milli: 80,
    settle_ms: Millis(12_000),
    hold_ms: Millis(30_000),
};

/// Throttle to be ordered.
struct Throttle {
    address: SocketAddr,
    worker: WorkerName,
    id: AttemptId,
    on: bool,
}

impl Racks {
    /// Learns from a worker's report and reacts to it.
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
            (Action::Release, _) => self.unthrottle_all(worker),
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

    /// Class and slowdown of the task that is to be protected and suffers most.
    fn worst_slowed(&self, worker: WorkerKey) -> Option<(ServiceName, u64)> {
        let state = self.state.borrow();
        let tasks = state.active_on(worker);
        let tasks = tasks.filter(|(_, c)| c.urgency != Urgency::Batch);
        let worst = tasks.max_by_key(|(_, c)| excess_slowdown_milli(c));
        worst.map(|(_, c)| (c.service.clone(), excess_slowdown_milli(c)))
    }

    /// Batch neighbour that is expected to slow a class most.
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

    fn unthrottle_all(self: &Rc<Self>, worker: WorkerKey) {
        let throttled: Vec<CommitmentKey> = {
            let state = self.state.borrow();
            let tasks = state.active_on(worker).filter(|(_, c)| c.throttled);
            tasks.map(|(key, _)| key).collect()
        };
        for key in throttled {
            self.order_throttle(key, false);
        }
    }

    /// Orders a throttle in the background; the next report shows whether it took effect.
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
        // A lost order shows in the reports, and the reaction repeats it.
        let _ = within(&*self.core.ports.runtime, limit, call).await;
    }
}

/// Slowdown above the uncontended time in thousandths; a task without a measurement has none.
fn excess_slowdown_milli(commitment: &Commitment) -> u64 {
    commitment
        .slowdown_milli
        .saturating_sub(UNCONTENDED_SLOWDOWN_MILLI)
}
