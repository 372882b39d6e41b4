//! Clock, background tasks and randomness on compio.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::FutureExt;
use hemlocksaddle_node::ports::{PortFuture, Runtime};
use hemlocksaddle_types::clock::{Millis, MonoMs, WallMs};

/// Runtime of the thread that polls it.
///
/// The monotonic clock goes on while the process is stopped. A machine that is
/// suspended as a whole stops the clock too; the start-by times in the workers'
/// clocks cover that case.
pub struct CompioRuntime {
    started: Instant,
}

impl CompioRuntime {
    /// Runtime whose monotonic clock starts now.
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

/// Duration of a span.
pub(crate) fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
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

    fn sleep(&self, span: Millis) -> PortFuture<'static, ()> {
        compio::time::sleep(duration(span)).boxed_local()
    }

    fn spawn(&self, future: PortFuture<'static, ()>) {
        compio::runtime::spawn(future).detach();
    }

    fn random(&self) -> u64 {
        rand::random()
    }
}
