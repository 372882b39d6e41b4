//! Totals over all nodes, and the final report.

use std::{collections::BTreeMap, net::SocketAddr};

use hemlocksaddle_fakes::http::control::PlatformReport;

use crate::{
    client::Client,
    load::{CallerStats, Latencies},
};

/// Checks and violations of each invariant, summed over node processes.
#[derive(Default)]
pub(crate) struct Invariants(BTreeMap<String, (u64, u64)>);

impl Invariants {
    /// Adds the current counters of a node.
    pub(crate) async fn add(&mut self, client: &Client, node: SocketAddr) -> eyre::Result<()> {
        let response = client.get(node, "/metrics").await?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        for line in text.lines() {
            if let Some((name, value)) = parse_sample(line, "hemlocksaddle_invariant_checks") {
                self.0.entry(name).or_default().0 += value;
            }
            if let Some((name, value)) = parse_sample(line, "hemlocksaddle_invariant_violations") {
                self.0.entry(name).or_default().1 += value;
            }
        }
        Ok(())
    }

    fn violations(&self) -> u64 {
        self.0.values().map(|(_, violations)| violations).sum()
    }
}

/// Returns the label `invariant` and the value of a metric's sample line.
fn parse_sample(line: &str, metric: &str) -> Option<(String, u64)> {
    let (label, value) = line.strip_prefix(metric)?.split_once("\"} ")?;
    let label = label.strip_prefix("{invariant=\"")?;
    Some((label.to_owned(), value.parse().ok()?))
}

/// Work done in a period.
#[derive(Clone, Copy)]
pub(crate) struct Work {
    /// Run time in core milliseconds, including the progress of running tasks.
    pub(crate) core_ms: u64,
    /// Length of the period in milliseconds.
    pub(crate) elapsed_ms: u64,
}

impl Work {
    /// Mean number of busy cores.
    fn mean_cores(self) -> f64 {
        self.core_ms as f64 / self.elapsed_ms.max(1) as f64
    }
}

/// Results of a run.
pub(crate) struct Report<'a> {
    pub(crate) stats: &'a CallerStats,
    pub(crate) platform_report: &'a PlatformReport,
    pub(crate) invariants: &'a Invariants,
    /// Latencies before the first failure, of idempotent and non-idempotent requests.
    pub(crate) steady: [Latencies; 2],
    /// Requests whose connection to an executor was closed early during the planned stops.
    pub(crate) aborted_by_stops: u64,
    pub(crate) work_before: Work,
    pub(crate) work_evacuated: Work,
    pub(crate) work_total: Work,
    /// Jobs and requests still in progress at the end.
    pub(crate) unfinished: u64,
    /// Nodes that exited with an error after their planned stop.
    pub(crate) failed_stops: usize,
}

impl Report<'_> {
    /// Prints the report; returns whether nothing was violated, lost or left unfinished.
    pub(crate) fn print(&self) -> bool {
        self.print_measurements();
        self.print_invariants();
        let lost = self.stats.lost.borrow();
        for job in lost.iter() {
            println!("lost job: {job}");
        }
        for (rule, detail) in &self.platform_report.violations {
            println!("violation of {rule} seen by the fake platform: {detail}");
        }
        let violations =
            self.invariants.violations() + self.platform_report.violations.len() as u64;
        let good = violations == 0
            && lost.is_empty()
            && self.unfinished == 0
            && self.aborted_by_stops == 0
            && self.failed_stops == 0;
        println!(
            "{}: {violations} violations, {} jobs lost, {} without an end, {} bad stops",
            if good { "passed" } else { "FAILED" },
            lost.len(),
            self.unfinished,
            self.failed_stops
        );
        good
    }

    fn print_measurements(&self) {
        let [idempotent, non_idempotent] = &self.steady;
        println!("quick requests, no failure: {idempotent}");
        println!("  non-idempotent: {non_idempotent}");
        println!("quick requests, with failures: {}", self.stats.idempotent);
        println!("  non-idempotent: {}", self.stats.non_idempotent);
        println!(
            "  not served after all attempts: {}",
            self.stats.unserved.get()
        );
        println!("answers by result code: {:?}", self.stats.codes.borrow());
        println!(
            "batch: {} jobs accepted, {} completed, throughput {:.1} cores of work",
            self.stats.accepted.get(),
            self.stats.completed.get(),
            self.work_total.mean_cores()
        );
        println!(
            "evictions: {}; task starts: {}; appends: {}",
            self.platform_report.evictions,
            self.platform_report.starts,
            self.platform_report.appends
        );
        let ratio = self.work_evacuated.mean_cores() / (self.work_before.mean_cores() * 2.0 / 3.0);
        println!(
            "data-centre change: {:.1} cores of work, before {:.1}; {ratio:.2} of two thirds of that",
            self.work_evacuated.mean_cores(),
            self.work_before.mean_cores()
        );
    }

    fn print_invariants(&self) {
        println!("{:<32} {:>10} {:>10}", "invariant", "checks", "violations");
        for (name, (checks, violations)) in &self.invariants.0 {
            println!("{name:<32} {checks:>10} {violations:>10}");
        }
        println!(
            "seen by the fake platform: {} violations; requests cut off: {} by the planned stops, {} in all",
            self.platform_report.violations.len(),
            self.aborted_by_stops,
            self.platform_report.aborted_requests
        );
    }
}
