//! Counts from which the burn of an objective is computed.
//!
//! A node counts the good and the total requests that it answered as entry node.
//! The counts of all nodes are added up by whoever asks; those of a node that was
//! replaced are lost, so a report always states since when each node has counted.

use serde::{Deserialize, Serialize};

use crate::{clock::WallMs, name::ServiceName};

/// Good and total requests of a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that met the objective.
    pub good: u64,
    /// All requests that count against the objective.
    pub total: u64,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Counts) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Share of bad requests, 0 to 1; 0 without requests.
    #[must_use]
    pub fn bad_ratio(&self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = self.total - self.good.min(self.total);
        bad as f64 / self.total as f64
    }

    /// Rate at which the error budget is used up; 1 uses it up in exactly the objective's window.
    #[must_use]
    pub fn burn_rate(&self, success_milli_percent: u32) -> f64 {
        let allowed = 1.0 - f64::from(success_milli_percent.min(100_000)) / 100_000.0;
        if allowed <= 0.0 {
            return if self.bad_ratio() > 0.0 {
                f64::INFINITY
            } else {
                0.0
            };
        }
        self.bad_ratio() / allowed
    }
}

/// Windows over which burn is reported, in minutes.
pub const WINDOWS_MINUTES: [u32; 5] = [5, 30, 60, 360, 4_320];

/// Counts of one service on one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Service.
    pub service: ServiceName,
    /// Latency that a good request stays within, in milliseconds.
    pub latency_ms: u64,
    /// Share of requests that must be good, in thousandths of a percent.
    pub success_milli_percent: u32,
    /// Length of the objective's window in hours.
    pub window_hours: u32,
    /// Counts of the windows in the order of [`WINDOWS_MINUTES`].
    pub windows: Vec<Counts>,
    /// Counts of the objective's window.
    pub objective_window: Counts,
}

/// Counts of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBurn {
    /// Wall-clock time since which the node has counted.
    pub since_ms: WallMs,
    /// Services of the documents in force.
    pub services: Vec<ServiceBurn>,
}
