//! Log lines about connections that a listener does not serve.

use std::{cell::Cell, fmt::Display};

/// Connections that were not served; a line is logged for the first one and at each doubling.
pub struct RejectedConnections {
    listener: &'static str,
    count: Cell<u64>,
}

impl RejectedConnections {
    /// Begins to count for a listener, which lines name.
    #[must_use]
    pub fn new(listener: &'static str) -> RejectedConnections {
        RejectedConnections {
            listener,
            count: Cell::new(0),
        }
    }

    /// Counts a connection that was not served; returns whether a line was logged.
    pub fn record(&self, cause: impl Display) -> bool {
        let count = self.count.get() + 1;
        self.count.set(count);
        let is_logged = count.is_power_of_two();
        if is_logged {
            log::warn!(
                target: "hemlocksaddle",
                "connection {count} not served at the address for {}: {cause}",
                self.listener
            );
        }
        is_logged
    }
}
