//! Metrics and log lines about the connections of clients.

use std::collections::BTreeMap;

use serde_json::json;

use crate::{Node, event::Event};

impl Node {
    /// Counts a connection that the node closed.
    pub fn count_closed_connection(&self, listener: &str, reason: &str) {
        let closed = &self.env.metrics.closed_connections;
        closed.with_label_values(&[listener, reason]).inc();
    }

    /// Counts a request that was refused because of its body.
    pub fn count_refused_body(&self, listener: &str, reason: &str) {
        let refused = &self.env.metrics.refused_bodies;
        refused.with_label_values(&[listener, reason]).inc();
    }

    /// Sets the bytes that the connections to a listener hold and may still take.
    pub fn set_connection_bytes(&self, listener: &str, held: usize, left: usize) {
        let metrics = &self.env.metrics;
        let gauges = [
            (&metrics.connection_bytes, held),
            (&metrics.connection_bytes_left, left),
        ];
        for (gauge, bytes) in gauges {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            gauge.with_label_values(&[listener]).set(bytes);
        }
    }

    /// Logs how many connections were closed since the last line, by reason.
    pub fn log_closed_connections(
        &self,
        listener: &str,
        closed: &BTreeMap<&str, u64>,
        held: usize,
        left: usize,
    ) {
        let inputs = json!({
            "listener": listener, "closed": closed, "held_bytes": held, "left_bytes": left,
        });
        self.env.event(Event::ConnectionsClosed, &inputs);
    }

    /// Logs how many requests were refused because of their bodies since the last line, by reason.
    pub fn log_refused_bodies(
        &self,
        listener: &str,
        refused: &BTreeMap<&str, u64>,
        held: usize,
        left: usize,
    ) {
        let inputs = json!({
            "listener": listener, "refused": refused, "held_bytes": held, "left_bytes": left,
        });
        self.env.event(Event::BodiesRefused, &inputs);
    }
}
