//! Waiting with a limit, and waking of waiters.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_types::clock::Millis;

use crate::ports::Runtime;

/// Output of the future, or `None` if it takes longer than the span.
pub async fn within<T>(
    runtime: &dyn Runtime,
    span: Millis,
    future: impl Future<Output = T> + Unpin,
) -> Option<T> {
    match select(future, runtime.sleep(span)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

/// Wakes all that wait at the time; a wake-up without waiters is not kept.
#[derive(Debug, Default)]
pub struct Notify {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notify {
    /// Wakes all waiters.
    pub fn wake(&self) {
        for waiter in self.waiters.take() {
            // A waiter whose wait has ended is gone already.
            let _ = waiter.send(());
        }
    }

    /// Future that completes at the next wake-up after this call.
    pub fn woken(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }
}
