//! Request counts from which error budget burn rates are computed.
//!
//! Each node counts the good and the total requests that it answered as entry
//! node. The reader of a report adds up the counts of all nodes. The counts of a
//! replaced node are lost, so a report states since when each node has counted.

use serde::{Deserialize, Serialize};

use crate::{clock::WallMs, name::ServiceName};

/// Good and total requests in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that met the objective.
    pub good: u64,
    /// All requests that count against the objective.
    pub total: u64,
}

impl Counts {
    /// Adds the counts of another period or node.
    pub fn add(&mut self, other: Counts) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Ratio of bad to total requests, 0 to 1; 0 if there were no requests.
    #[must_use]
    pub fn bad_ratio(&self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = self.total - self.good.min(self.total);
        bad as f64 / self.total as f64
    }

    /// Burn rate of the error budget; at 1, the budget is used up in exactly the objective's window.
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

/// Windows over which burn rates are reported, in minutes.
pub const WINDOWS_MINUTES: [u32; 5] = [5, 30, 60, 360, 4_320];

/// Objective and request counts of one service on one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Service that the counts belong to.
    pub service: ServiceName,
    /// Maximum latency of a good request, in milliseconds.
    pub latency_ms: u64,
    /// Required share of good requests, in thousandths of a percent.
    pub success_milli_percent: u32,
    /// Length of the objective's rolling window in hours.
    pub window_hours: u32,
    /// Counts per window, in the order of [`WINDOWS_MINUTES`].
    pub windows: Vec<Counts>,
    /// Counts over the objective's window.
    pub objective_window: Counts,
}

/// Request counts of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBurn {
    /// Wall-clock time since which the node has counted.
    pub since_ms: WallMs,
    /// Counts per service that has a document.
    pub services: Vec<ServiceBurn>,
}
