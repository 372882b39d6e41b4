//! Time in milliseconds.
//!
//! A node uses two clocks: a monotonic one for leases and timeouts, and a wall
//! clock for times that are displayed or that must outlive the process, such as
//! deadlines in log records. Distinct types keep the two from being compared.
//! Monotonic times of different processes are never compared either, because
//! their clocks have different origins and may drift in rate.

use std::{
    fmt,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

/// Duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

/// Monotonic time of this process in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoMs(pub u64);

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallMs(pub u64);

impl Millis {
    /// Duration plus the allowance for clock drift between processes: 2% and 100 ms.
    #[must_use]
    pub fn with_clock_margin(self) -> Millis {
        Millis(self.0 + self.0 / 50 + 100)
    }
}

impl MonoMs {
    /// Time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: MonoMs) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl WallMs {
    /// Time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: WallMs) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Add<Millis> for MonoMs {
    type Output = MonoMs;
    fn add(self, duration: Millis) -> MonoMs {
        MonoMs(self.0.saturating_add(duration.0))
    }
}

impl Sub<Millis> for MonoMs {
    type Output = MonoMs;
    fn sub(self, duration: Millis) -> MonoMs {
        MonoMs(self.0.saturating_sub(duration.0))
    }
}

impl Add<Millis> for WallMs {
    type Output = WallMs;
    fn add(self, duration: Millis) -> WallMs {
        WallMs(self.0.saturating_add(duration.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
