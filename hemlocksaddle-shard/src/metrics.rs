//! Counters and histograms of a node.

use hemlocksaddle_policy::workflow::WorkCounts;
use hemlocksaddle_types::clock::Millis;
use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::tenant_metrics::TenantMetrics;

/// Bucket bounds of the latency histograms, from one store append to a caller's time limit.
const LATENCY_BOUNDS_S: &[f64] = &[0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Bucket bounds of the times of a plan, from the resolution of the clock to a wait that callers notice.
const PLAN_BOUNDS_S: &[f64] = &[
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.5, 2.0,
];

/// Metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Submissions by outcome.
    pub submissions: IntCounterVec,
    /// Submissions that were not refused because of an earlier attempt, by who knew it and by answer.
    pub recognised_retries: IntCounterVec,
    /// Refused calls by reason.
    pub refused_calls: IntCounterVec,
    /// Orders to workers by kind and answer.
    pub orders: IntCounterVec,
    /// Calls to the store by operation and outcome.
    pub store_calls: IntCounterVec,
    /// Ended runs by kind of end.
    pub ends: IntCounterVec,
    /// Crashes of workers.
    pub worker_crashes: IntCounter,
    /// Workflows that were given up because workers crashed under a task.
    pub given_up: IntCounter,
    /// Time from submission to durable acceptance.
    pub accept_s: Histogram,
    /// Time to save progress.
    pub save_s: Histogram,
    /// Work of plans by kind.
    pub plan_work: IntCounterVec,
    /// Time that a plan takes.
    pub plan_s: Histogram,
    /// Time by which the pause after a plan ends late, because the owner was busy.
    pub plan_late_s: Histogram,
    /// Number of shards that the node owns.
    pub owned_shards: IntGauge,
    /// Owners whose state is in memory, those that have stepped down included.
    pub held_owners: IntGauge,
    /// Time since the claim of a shard while its owner, this node, has not recovered; 0 otherwise.
    pub unrecovered_s: GaugeVec,
    /// Shards that were given up because they were not recovered in time.
    pub shards_given_up: IntCounter,
    /// Number of nodes that carry out the owner's calls to workers.
    pub delegates: IntGauge,
    /// Calls to delegates by outcome.
    pub delegated_calls: IntCounterVec,
    /// Tasks that have waited long, by what they wait for.
    pub waiting_tasks: IntGaugeVec,
    /// Longest wait of a task, 0 while none has waited long.
    pub longest_wait_s: Gauge,
    /// What tenants use.
    pub tenants: TenantMetrics,
    /// Connections of clients that the node closed, by listener and reason.
    pub closed_connections: IntCounterVec,
    /// Requests refused because of their bodies, by listener and reason.
    pub refused_bodies: IntCounterVec,
    /// Bytes that clients' connections hold, by listener.
    pub connection_bytes: IntGaugeVec,
    /// Bytes that clients' connections may still take, by listener.
    pub connection_bytes_left: IntGaugeVec,
    /// Processors that reservations keep idle, in thousandths of a core.
    pub reserved_cpu_milli: IntGauge,
    /// Workers for whose first report the owner waits.
    pub awaited_reports: IntGauge,
    /// Time until the last of these waits ends, 0 without any.
    pub awaited_reports_s: Gauge,
    /// Speculative copies by reason, and tasks with two runs by the run that completed first.
    pub copies: IntCounterVec,
    /// Tasks with two runs.
    pub copied_tasks: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        let histogram = |name: &str, help: &str, bounds_s: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(bounds_s.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let owned_shards = IntGauge::new("shard_owned", "Shards that the node owns.")?;
        registry.register(Box::new(owned_shards.clone()))?;
        let held_owners = IntGauge::new(
            "shard_held_owners",
            "Owners whose state is in memory, those that have stepped down included.",
        )?;
        registry.register(Box::new(held_owners.clone()))?;
        let delegates = IntGauge::new(
            "shard_delegates",
            "Nodes that carry out the owner's calls to workers.",
        )?;
        registry.register(Box::new(delegates.clone()))?;
        let waiting_tasks = IntGaugeVec::new(
            Opts::new(
                "shard_waiting_tasks",
                "Tasks that have waited long, by what they wait for.",
            ),
            &["reason"],
        )?;
        registry.register(Box::new(waiting_tasks.clone()))?;
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        let longest_wait_s = Gauge::new(
            "shard_longest_wait_seconds",
            "Longest wait of a task, 0 while none has waited long.",
        )?;
        registry.register(Box::new(longest_wait_s.clone()))?;
        let reserved_cpu_milli = IntGauge::new(
            "shard_reserved_cpu_milli",
            "Processors that reservations keep idle, in thousandths of a core.",
        )?;
        registry.register(Box::new(reserved_cpu_milli.clone()))?;
        let awaited_reports = IntGauge::new(
            "shard_awaited_reports",
            "Workers for whose first report the owner waits.",
        )?;
        registry.register(Box::new(awaited_reports.clone()))?;
        let awaited_reports_s = Gauge::new(
            "shard_awaited_reports_seconds",
            "Time until the last wait for a first report ends, 0 without any.",
        )?;
        registry.register(Box::new(awaited_reports_s.clone()))?;
        let copied_tasks = IntGauge::new("shard_copied_tasks", "Tasks with two runs.")?;
        registry.register(Box::new(copied_tasks.clone()))?;
        let worker_crashes = IntCounter::new("shard_worker_crashes_total", "Crashes of workers.")?;
        registry.register(Box::new(worker_crashes.clone()))?;
        let given_up = IntCounter::new(
            "shard_workflows_given_up_total",
            "Workflows given up because workers crashed under a task.",
        )?;
        registry.register(Box::new(given_up.clone()))?;
        let unrecovered_s = GaugeVec::new(
            Opts::new(
                "shard_unrecovered_seconds",
                "Time since the claim while the owner has not recovered, 0 otherwise.",
            ),
            &["shard"],
        )?;
        registry.register(Box::new(unrecovered_s.clone()))?;
        let shards_given_up = IntCounter::new(
            "shard_unrecovered_given_up_total",
            "Shards offered to another node because they were not recovered in time.",
        )?;
        registry.register(Box::new(shards_given_up.clone()))?;
        let tenants = TenantMetrics::new(&registry)?;
        Ok(Metrics {
            tenants,
            unrecovered_s,
            shards_given_up,
            worker_crashes,
            given_up,
            delegates,
            waiting_tasks,
            longest_wait_s,
            closed_connections: counter(
                "shard_closed_connections_total",
                "Connections of clients that the node closed, by listener and reason.",
                &["listener", "reason"],
            )?,
            recognised_retries: counter(
                "shard_recognised_retries_total",
                "Submissions not refused because of an earlier attempt, by who knew it and by answer.",
                &["known_by", "answer"],
            )?,
            refused_bodies: counter(
                "shard_refused_bodies_total",
                "Requests refused because of their bodies, by listener and reason.",
                &["listener", "reason"],
            )?,
            connection_bytes: gauge(
                "shard_connection_bytes",
                "Bytes that connections of clients hold.",
                &["listener"],
            )?,
            connection_bytes_left: gauge(
                "shard_connection_bytes_left",
                "Bytes that connections of clients may still take.",
                &["listener"],
            )?,
            reserved_cpu_milli,
            awaited_reports,
            awaited_reports_s,
            copies: counter(
                "shard_copies_total",
                "Speculative copies by reason, and copied tasks by the run that completed first.",
                &["kind"],
            )?,
            copied_tasks,
            delegated_calls: counter(
                "shard_delegated_calls_total",
                "Calls to delegates by outcome.",
                &["outcome"],
            )?,
            submissions: counter(
                "shard_submissions_total",
                "Submissions by outcome.",
                &["outcome"],
            )?,
            refused_calls: counter(
                "shard_refused_calls_total",
                "Calls refused for their key or tenant, by reason.",
                &["reason"],
            )?,
            orders: counter(
                "shard_orders_total",
                "Orders to workers.",
                &["kind", "answer"],
            )?,
            store_calls: counter(
                "shard_store_calls_total",
                "Calls to the store.",
                &["call", "outcome"],
            )?,
            ends: counter("shard_run_ends_total", "Ends of runs by kind.", &["kind"])?,
            accept_s: histogram(
                "shard_accept_seconds",
                "Time to accept a submission.",
                LATENCY_BOUNDS_S,
            )?,
            save_s: histogram(
                "shard_save_seconds",
                "Time to make progress durable.",
                LATENCY_BOUNDS_S,
            )?,
            plan_work: counter("shard_plan_work_total", "Work of plans by kind.", &["kind"])?,
            plan_s: histogram("shard_plan_seconds", "Time of a plan.", PLAN_BOUNDS_S)?,
            plan_late_s: histogram(
                "shard_plan_late_seconds",
                "Time by which the pause after a plan ends late.",
                PLAN_BOUNDS_S,
            )?,
            owned_shards,
            held_owners,
            registry,
        })
    }

    /// Records the time and the work of a plan.
    pub(crate) fn record_plan(&self, took: Millis, work: &WorkCounts) {
        self.plan_s.observe(took.0 as f64 / 1_000.0);
        let kinds = [
            ("plans", work.plans),
            ("steps", work.steps),
            ("checked runs", work.checked_runs),
            ("compared workers", work.compared_workers),
            ("compared steps", work.compared_steps),
            ("task ranges", work.task_ranges),
            ("headrooms", work.headrooms),
            ("tenant turns", work.tenant_turns),
            ("estimated runs", work.estimated_runs),
        ];
        for (kind, count) in kinds {
            self.plan_work.with_label_values(&[kind]).inc_by(count);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
