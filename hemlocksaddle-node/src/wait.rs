//! Event notification and timeouts for tasks on a single thread.

use std::{
    cell::{Cell, RefCell},
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
    wakers: RefCell<Vec<Waker>>,
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
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits until the number of events exceeds `seen`.
    pub async fn wait_past(&self, seen: u64) {
        poll_fn(|context| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            // Replaces the waker that an earlier poll of the same task left behind.
            wakers.retain(|waker| !waker.will_wake(context.waker()));
            wakers.push(context.waker().clone());
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
