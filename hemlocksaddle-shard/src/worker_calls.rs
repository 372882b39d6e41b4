//! Calls to workers that an owner bounds, as `hemlocksaddle_policy::worker_connections` decides.

use std::cell::RefCell;

use foldhash::HashMap;
use hemlocksaddle_policy::{
    worker_connections::{ExtraReports, UnansweredOrders},
    workflow::WorkerKey,
};
use hemlocksaddle_types::clock::MonoMs;

/// Bounded calls to each worker.
#[derive(Default)]
pub(crate) struct WorkerCalls {
    orders: RefCell<HashMap<WorkerKey, UnansweredOrders>>,
    /// Workers with an additional report request in flight.
    reports: RefCell<HashMap<WorkerKey, ExtraReports>>,
}

impl WorkerCalls {
    /// Records whether an order was answered.
    pub(crate) fn record_order(&self, worker: WorkerKey, answered: bool, now: MonoMs) {
        let mut orders = self.orders.borrow_mut();
        if !answered {
            orders.entry(worker).or_default().record_lost(now);
            return;
        }
        if let Some(known) = orders.get_mut(&worker) {
            known.record_answer();
            if known.is_empty(now) {
                orders.remove(&worker);
            }
        }
    }

    /// Whether an order to a worker may be repeated now; if so, the repeat counts as sent.
    pub(crate) fn take_repeat(&self, worker: WorkerKey, now: MonoMs) -> bool {
        let mut orders = self.orders.borrow_mut();
        orders
            .get_mut(&worker)
            .is_none_or(|known| known.take_repeat(now))
    }

    /// Asks for an additional report; returns whether to request one now.
    pub(crate) fn ask_report(&self, worker: WorkerKey) -> bool {
        self.reports.borrow_mut().entry(worker).or_default().ask()
    }

    /// Records that an additional request has ended; returns whether to request one more.
    pub(crate) fn report_ended(&self, worker: WorkerKey) -> bool {
        let mut reports = self.reports.borrow_mut();
        let again = reports.entry(worker).or_default().ended();
        if !again {
            reports.remove(&worker);
        }
        again
    }

    /// Drops what is known of a worker that is gone.
    pub(crate) fn forget(&self, worker: WorkerKey) {
        self.orders.borrow_mut().remove(&worker);
    }
}
