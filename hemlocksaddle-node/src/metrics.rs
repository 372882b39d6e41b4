//! Metrics of a node in Prometheus text format.
//!
//! `docs/metrics.md` lists all names with units and labels. Label values come
//! only from documents, settings and enums, which bounds the number of series.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder};

use crate::invariant::{Invariant, Invariants};

/// Registry, with the metrics that several modules update.
pub struct Metrics {
    registry: Registry,
    /// `hemlocksaddle_results_total{code}`: results returned to callers, by code.
    pub results: IntCounterVec,
    /// `hemlocksaddle_log_appends_total{result}`: appends to the platform's log, by outcome.
    pub appends: IntCounterVec,
    /// `hemlocksaddle_tasks_total{event}`: task events, by kind.
    pub tasks: IntCounterVec,
    /// `hemlocksaddle_owned_units{kind}`: units owned by this node, by kind.
    pub owned_units: IntGaugeVec,
    invariant_checks: IntGaugeVec,
    invariant_violations: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates a registry and registers the shared metrics.
    #[must_use]
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric =
                IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are valid");
            registry
                .register(Box::new(metric.clone()))
                .expect("metric names are unique");
            metric
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let metric =
                IntGaugeVec::new(Opts::new(name, help), labels).expect("metric names are valid");
            registry
                .register(Box::new(metric.clone()))
                .expect("metric names are unique");
            metric
        };
        Metrics {
            results: counter("hemlocksaddle_results_total", "Results given.", &["code"]),
            appends: counter(
                "hemlocksaddle_log_appends_total",
                "Appends to the platform's log.",
                &["result"],
            ),
            tasks: counter("hemlocksaddle_tasks_total", "Task events.", &["event"]),
            owned_units: gauge("hemlocksaddle_owned_units", "Units owned.", &["kind"]),
            invariant_checks: gauge(
                "hemlocksaddle_invariant_checks",
                "Checks of an invariant.",
                &["invariant"],
            ),
            invariant_violations: gauge(
                "hemlocksaddle_invariant_violations",
                "Violations of an invariant.",
                &["invariant"],
            ),
            registry,
        }
    }

    /// Registry, for modules that register metrics of their own.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Renders all metrics, including the current counters of `invariants`.
    #[must_use]
    pub fn render(&self, invariants: &Invariants) -> String {
        for invariant in Invariant::ALL {
            let label = [invariant.name()];
            let checks = i64::try_from(invariants.checks(invariant)).unwrap_or(i64::MAX);
            let violations = i64::try_from(invariants.violations(invariant)).unwrap_or(i64::MAX);
            self.invariant_checks.with_label_values(&label).set(checks);
            self.invariant_violations
                .with_label_values(&label)
                .set(violations);
        }
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
