//! Time in milliseconds.
//!
//! A node works with two clocks: a monotonic one for leases, rights and
//! timeouts, and a wall clock for times that are shown to people or that have to
//! survive a node (deadlines in log records). The types are distinct so that one
//! is never compared with the other. Monotonic times of different processes are
//! never compared either: clocks may differ in value and slightly in rate.

use std::{
    fmt,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

/// Span of time in milliseconds.
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
    /// Interval plus the allowance for clocks that differ in rate: 2% and 100 ms.
    #[must_use]
    pub fn with_clock_margin(self) -> Millis {
        Millis(self.0 + self.0 / 50 + 100)
    }
}

impl MonoMs {
    /// Time since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: MonoMs) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl WallMs {
    /// Time since `earlier`; zero if `earlier` is later.
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
    fn add(self, span: Millis) -> MonoMs {
        MonoMs(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for MonoMs {
    type Output = MonoMs;
    fn sub(self, span: Millis) -> MonoMs {
        MonoMs(self.0.saturating_sub(span.0))
    }
}

impl Add<Millis> for WallMs {
    type Output = WallMs;
    fn add(self, span: Millis) -> WallMs {
        WallMs(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
