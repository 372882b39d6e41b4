//! Event notification and timeouts for tasks on a single thread.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::{Future, poll_fn},
    pin::pin,
    task::{Poll, Waker},
};

use futures_util::future::{Either, select};
use hemlocksaddle_types::clock::Millis;

use crate::ports::Runtime;

/// Event counter that tasks can wait on.
#[derive(Default)]
pub struct Signal {
    count: Cell<u64>,
    /// Wakers by number of the wait; each is removed when its wait ends.
    wakers: RefCell<BTreeMap<u64, Waker>>,
    next_wait: Cell<u64>,
}

/// Removes the waker of a wait that ends or is abandoned, which would keep its task in memory.
struct Wait<'a> {
    signal: &'a Signal,
    number: u64,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.signal.wakers.borrow_mut().remove(&self.number);
    }
}

impl Signal {
    /// Number of events so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts an event and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        let wakers = self.wakers.take();
        // In the order of the waits, so that runs on virtual time repeat.
        wakers.into_values().for_each(Waker::wake);
    }

    /// Number of tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.wakers.borrow().len()
    }

    /// Waits until the number of events exceeds `seen`.
    pub async fn wait_past(&self, seen: u64) {
        let number = self.next_wait.get();
        self.next_wait.set(number + 1);
        let wait = Wait {
            signal: self,
            number,
        };
        poll_fn(|context| {
            if wait.signal.count.get() > seen {
                return Poll::Ready(());
            }
            let waker = context.waker().clone();
            wait.signal.wakers.borrow_mut().insert(wait.number, waker);
            Poll::Pending
        })
        .await;
    }
}

/// Runs a future with a timeout; returns `None` if the timeout expires first.
pub async fn within<T>(
    runtime: &dyn Runtime,
    duration: Millis,
    future: impl Future<Output = T>,
) -> Option<T> {
    let limit = runtime.sleep(duration);
    match select(pin!(future), limit).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}

/// Random duration below `duration`, which keeps nodes from acting in lockstep.
#[must_use]
pub fn jitter(runtime: &dyn Runtime, duration: Millis) -> Millis {
    Millis(runtime.random() % duration.0.max(1))
}
