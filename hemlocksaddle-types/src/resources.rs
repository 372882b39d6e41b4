//! Resource vectors: processor time, memory and accelerators.

use std::ops::{Add, AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// Resources of a host or task, as a demand, a reservation or a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerator devices.
    pub accelerators: u64,
}

impl Resources {
    /// Whether `self` is at most `free` in every dimension.
    #[must_use]
    pub fn fits_in(&self, free: &Resources) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// How many times `self` fits in `free`; the largest number if it is zero in every dimension.
    #[must_use]
    pub fn times_in(&self, free: &Resources) -> u64 {
        let times = |demand: u64, free: u64| free.checked_div(demand).unwrap_or(u64::MAX);
        times(self.cpu_milli, free.cpu_milli)
            .min(times(self.memory_mb, free.memory_mb))
            .min(times(self.accelerators, free.accelerators))
    }

    /// Subtracts `used` in each dimension, down to zero.
    #[must_use]
    pub fn saturating_sub(&self, used: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// Adds `other` in each dimension, up to the largest number.
    #[must_use]
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Resources of `count` equal tasks, up to the largest number.
    #[must_use]
    pub fn saturating_mul(&self, count: u64) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Minimum in each dimension.
    #[must_use]
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Maximum in each dimension.
    #[must_use]
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(mut self, other: Resources) -> Resources {
        self += other;
        self
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.saturating_sub(&other);
    }
}
