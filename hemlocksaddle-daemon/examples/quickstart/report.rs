//! Sums over the nodes, and the final page.

use std::{collections::BTreeMap, net::SocketAddr};

use hemlocksaddle_fakes::http::control::PlatformReport;

use crate::{
    client::Client,
    load::{Latencies, Seen},
};

/// Checks and violations of each invariant, summed over processes.
#[derive(Default)]
pub(crate) struct Invariants(BTreeMap<String, (u64, u64)>);

impl Invariants {
    /// Adds what a node counts now.
    pub(crate) async fn add(&mut self, client: &Client, node: SocketAddr) -> eyre::Result<()> {
        let answer = client.get(node, "/metrics").await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        for line in text.lines() {
            if let Some((name, value)) = sample(line, "hemlocksaddle_invariant_checks") {
                self.0.entry(name).or_default().0 += value;
            }
            if let Some((name, value)) = sample(line, "hemlocksaddle_invariant_violations") {
                self.0.entry(name).or_default().1 += value;
            }
        }
        Ok(())
    }

    fn violations(&self) -> u64 {
        self.0.values().map(|(_, violations)| violations).sum()
    }
}

/// Label and value of a sample of a metric.
fn sample(line: &str, metric: &str) -> Option<(String, u64)> {
    let (label, value) = line.strip_prefix(metric)?.split_once("\"} ")?;
    let label = label.strip_prefix("{invariant=\"")?;
    Some((label.to_owned(), value.parse().ok()?))
}

/// Work during a period.
#[derive(Clone, Copy)]
pub(crate) struct Work {
    /// Run time in core milliseconds, progress of running tasks included.
    pub(crate) core_ms: u64,
    /// Length in milliseconds.
    pub(crate) length_ms: u64,
}

impl Work {
    /// Cores that worked, on average.
    fn cores(self) -> f64 {
        self.core_ms as f64 / self.length_ms.max(1) as f64
    }
}

/// Everything that the run found.
pub(crate) struct Report<'a> {
    pub(crate) seen: &'a Seen,
    pub(crate) judged: &'a PlatformReport,
    pub(crate) invariants: &'a Invariants,
    /// Latencies before the first failure, of idempotent and non-idempotent requests.
    pub(crate) steady: [Latencies; 2],
    /// Requests that executors saw cut off during the planned stops.
    pub(crate) cut_off: u64,
    pub(crate) before: Work,
    pub(crate) during: Work,
    pub(crate) all: Work,
    /// Jobs and requests without an end.
    pub(crate) outstanding: u64,
    /// Nodes whose planned stop did not end with success.
    pub(crate) bad_stops: usize,
}

impl Report<'_> {
    /// Prints the page and returns whether nothing was violated or lost.
    pub(crate) fn print(&self) -> bool {
        self.print_measures();
        self.print_invariants();
        let lost = self.seen.lost.borrow();
        for job in lost.iter() {
            println!("lost job: {job}");
        }
        for (rule, detail) in &self.judged.violations {
            println!("violation of {rule} seen by the stand-in: {detail}");
        }
        let violations = self.invariants.violations() + self.judged.violations.len() as u64;
        let good = violations == 0
            && lost.is_empty()
            && self.outstanding == 0
            && self.cut_off == 0
            && self.bad_stops == 0;
        println!(
            "{}: {violations} violations, {} jobs lost, {} without an end, {} bad stops",
            if good { "passed" } else { "FAILED" },
            lost.len(),
            self.outstanding,
            self.bad_stops
        );
        good
    }

    fn print_measures(&self) {
        let [repeatable, once] = &self.steady;
        println!("quick requests, no failure: {repeatable}");
        println!("  non-idempotent: {once}");
        println!("quick requests, with failures: {}", self.seen.repeatable);
        println!("  non-idempotent: {}", self.seen.once);
        println!(
            "  not served after all attempts: {}",
            self.seen.unserved.get()
        );
        println!("answers by result code: {:?}", self.seen.codes.borrow());
        println!(
            "batch: {} jobs accepted, {} completed, throughput {:.1} cores of work",
            self.seen.accepted.get(),
            self.seen.completed.get(),
            self.all.cores()
        );
        println!(
            "evictions: {}; task starts: {}; appends: {}",
            self.judged.evictions, self.judged.starts, self.judged.appends
        );
        let ratio = self.during.cores() / (self.before.cores() * 2.0 / 3.0);
        println!(
            "data-centre change: {:.1} cores of work, before {:.1}; {ratio:.2} of two thirds of that",
            self.during.cores(),
            self.before.cores()
        );
    }

    fn print_invariants(&self) {
        println!("{:<32} {:>10} {:>10}", "invariant", "checks", "violations");
        for (name, (checks, violations)) in &self.invariants.0 {
            println!("{name:<32} {checks:>10} {violations:>10}");
        }
        println!(
            "seen by the stand-in: {} violations; requests cut off: {} by the planned stops, {} in all",
            self.judged.violations.len(),
            self.cut_off,
            self.judged.aborted_requests
        );
    }
}
