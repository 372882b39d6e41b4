//! Clock, background tasks and random numbers on compio.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::FutureExt;
use hemlocksaddle_node::ports::{PortFuture, Runtime};
use hemlocksaddle_types::clock::{Millis, MonoMs, WallMs};

/// Implementation of [`Runtime`] on the compio runtime of the current thread.
///
/// The monotonic clock advances while the process is stopped. It does not advance
/// while the whole machine is suspended. The start-by time of a task is given in
/// the worker's clock, so a worker rejects a start order that a suspension delayed.
pub struct CompioRuntime {
    started: Instant,
}

impl CompioRuntime {
    /// Creates a runtime whose monotonic clock starts at zero.
    #[must_use]
    pub fn new() -> CompioRuntime {
        CompioRuntime {
            started: Instant::now(),
        }
    }
}

impl Default for CompioRuntime {
    fn default() -> CompioRuntime {
        CompioRuntime::new()
    }
}

/// Converts milliseconds to a [`Duration`].
pub(crate) fn duration(wait: Millis) -> Duration {
    Duration::from_millis(wait.0)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Runtime for CompioRuntime {
    fn now(&self) -> MonoMs {
        MonoMs(millis(self.started.elapsed()))
    }

    fn wall_now(&self) -> WallMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMs(millis(since_epoch.unwrap_or_default()))
    }

    fn sleep(&self, wait: Millis) -> PortFuture<'static, ()> {
        compio::time::sleep(duration(wait)).boxed_local()
    }

    fn spawn(&self, future: PortFuture<'static, ()>) {
        compio::runtime::spawn(future).detach();
    }

    fn random(&self) -> u64 {
        rand::random()
    }
}
