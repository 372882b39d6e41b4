//! Workers that leave orders unanswered, and carry them out late.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
};

use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Run, TaskName},
};

/// Orders that workers leave unanswered.
#[derive(Default)]
pub(crate) struct Unanswered {
    /// Workers with numbers below this one leave orders unanswered.
    pub(crate) workers: Cell<usize>,
    /// Time after which they carry out orders.
    pub(crate) late: Cell<Millis>,
    /// Number of runs of a task that may go on when another starts; 1 where steps allow copies.
    pub(crate) other_runs: Cell<usize>,
    /// Worker and time of each such order.
    orders: RefCell<Vec<(usize, Millis)>>,
    /// Runs of steps with copies that were ordered before an end of their task was acknowledged.
    ordered: RefCell<BTreeSet<(TaskName, Run)>>,
}

impl Unanswered {
    /// Records an order; returns whether the worker leaves it unanswered.
    pub(super) fn takes(&self, worker: usize, now: Millis) -> bool {
        let takes = worker < self.workers.get();
        if takes {
            self.orders.borrow_mut().push((worker, now));
        }
        takes
    }

    /// Records that a run was ordered before an end of its task was acknowledged, if its step allows copies.
    pub(super) fn record_ordered(&self, task: TaskName, run: Run) {
        if self.other_runs.get() > 0 {
            self.ordered.borrow_mut().insert((task, run));
        }
    }

    /// Whether a run may start after its task has ended: it was ordered before, and the order was carried out late.
    pub(super) fn may_start_late(&self, task: TaskName, run: Run) -> bool {
        self.ordered.borrow().contains(&(task, run))
    }

    /// Largest number of unanswered orders that a worker got within a time, for which it holds their connections.
    pub(crate) fn most_within(&self, held: Millis) -> usize {
        let orders = self.orders.borrow();
        let held_at = |&(worker, at): &(usize, Millis)| {
            let since = orders.iter().filter(|&&(other, sent_at)| {
                other == worker && sent_at <= at && at.0 - sent_at.0 < held.0
            });
            since.count()
        };
        orders.iter().map(held_at).max().unwrap_or(0)
    }
}
