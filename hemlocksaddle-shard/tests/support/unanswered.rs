//! Workers that leave orders unanswered, and carry them out late.

use std::cell::{Cell, RefCell};

use hemlocksaddle_types::clock::Millis;

/// Orders that workers leave unanswered.
#[derive(Default)]
pub(crate) struct Unanswered {
    /// Workers with numbers below this one leave orders unanswered.
    pub(crate) workers: Cell<usize>,
    /// Time after which they carry out orders.
    pub(crate) late: Cell<Millis>,
    /// Worker and time of each such order.
    orders: RefCell<Vec<(usize, Millis)>>,
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
