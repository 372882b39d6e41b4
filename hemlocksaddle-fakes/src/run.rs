//! Randomised run: real nodes under random work and faults, and a summary of the outcome.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use hemlocksaddle_types::{clock::Millis, job::JobId};
use serde::Serialize;

use crate::{
    checker::Rule,
    cluster::Cluster,
    platform::Deployment,
    runtime::ENVIRONMENT,
    schedule::{ScheduledFault, generate},
    workload::Workload,
};

/// Maximum time for all jobs, calls and faults to finish after the end of arrivals.
const SETTLE_TIMEOUT: Millis = Millis(30 * 60_000);
/// Interval at which a run checks whether everything has finished.
const POLL_INTERVAL: Millis = Millis(1_000);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Deployment.
    pub deployment: Deployment,
    /// Seed of work, faults and interleaving.
    pub seed: u64,
    /// Time during which work arrives and faults are injected.
    pub duration: Millis,
    /// Numbers of the faults to skip.
    pub skipped: BTreeSet<usize>,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Seed.
    pub seed: u64,
    /// Hash over the order and times of all task polls.
    pub trace_hash: String,
    /// Virtual time at which all work had finished or the run gave up, in milliseconds.
    pub settled_ms: u64,
    /// Faults with their numbers.
    pub faults: Vec<String>,
    /// Number of synchronous requests by result code; 0 stands for no response.
    pub results: BTreeMap<u16, u64>,
    /// Accepted jobs in the log.
    pub jobs: usize,
    /// Task starts.
    pub task_starts: u64,
    /// Appends to the log.
    pub appends: u64,
    /// 99th percentile of the latency of completed synchronous requests, in milliseconds.
    pub quick_p99_ms: u64,
    /// Completed work of tasks divided by the time of the run, in cores.
    pub work_cores: f64,
    /// Tasks that were evicted.
    pub evictions: u64,
    /// The same ratio over the periods in which a data centre was removed and restored, in cores.
    pub work_in_changes_cores: f64,
    /// Violations, including work that did not finish.
    pub violations: Vec<String>,
}

/// Runs a plan to its end.
#[must_use]
pub fn run(plan: &Plan) -> Outcome {
    let cluster = Cluster::start(plan.deployment.clone(), plan.seed);
    let sim = cluster.platform.sim.clone();
    let workload = Workload::start(&cluster, plan.seed);
    let scheduled = generate(plan.seed, plan.duration);
    let kept = scheduled.iter().enumerate();
    let kept = kept.filter(|(number, _)| !plan.skipped.contains(number));
    let change_totals = Rc::new(Cell::new((0, 0)));
    let active_faults = Rc::new(Cell::new(0));
    for (_, fault) in kept.clone() {
        active_faults.set(active_faults.get() + 1);
        let (workload, active_faults) = (workload.clone(), active_faults.clone());
        let injection = inject(workload, *fault, change_totals.clone());
        sim.spawn(ENVIRONMENT, async move {
            injection.await;
            active_faults.set(active_faults.get() - 1);
        });
    }
    sim.run_for(plan.duration);
    workload.stop_arrivals();
    let mut unfinished_jobs = Vec::new();
    for _ in 0..SETTLE_TIMEOUT.0 / POLL_INTERVAL.0 {
        sim.run_for(POLL_INTERVAL);
        unfinished_jobs = cluster.platform.checker.unfinished_jobs();
        if unfinished_jobs.is_empty() && workload.open_calls.get() == 0 && active_faults.get() == 0
        {
            break;
        }
    }
    report_unfinished(&workload, &unfinished_jobs, active_faults.get());
    (0..cluster.platform.nodes.len()).for_each(|index| cluster.kill_node(index));
    let faults = kept
        .map(|(number, fault)| describe(number, fault))
        .collect();
    let outcome = summary(plan.seed, &workload, faults, change_totals.get());
    sim.close();
    outcome
}

async fn inject(
    workload: Rc<Workload>,
    fault: ScheduledFault,
    change_totals: Rc<Cell<(u64, u64)>>,
) {
    let cluster = workload.cluster.clone();
    let sim = &cluster.platform.sim;
    sim.sleep_until(fault.at.0 * 1_000).await;
    let (began, before) = (sim.now().0, cluster.platform.checker.counts().work_core_ms);
    workload.inject(fault).await;
    if fault.kind.removes_data_centre() {
        let (duration_ms, core_ms) = change_totals.get();
        let done = cluster.platform.checker.counts().work_core_ms - before;
        change_totals.set((duration_ms + sim.now().0 - began, core_ms + done));
    }
}

fn report_unfinished(workload: &Workload, unfinished_jobs: &[JobId], active_faults: usize) {
    let checker = &workload.cluster.platform.checker;
    for job in unfinished_jobs {
        checker.report(Rule::Unsettled, format!("job {job} has no result"));
    }
    let open_calls = workload.open_calls.get();
    if open_calls > 0 || active_faults > 0 {
        let detail =
            format!("{open_calls} calls have no response, {active_faults} faults did not end");
        checker.report(Rule::Unsettled, detail);
    }
}

fn describe(number: usize, fault: &ScheduledFault) -> String {
    format!(
        "{number}: at {} for {}: {:?}",
        fault.at, fault.duration, fault.kind
    )
}

fn summary(
    seed: u64,
    workload: &Workload,
    faults: Vec<String>,
    change_totals: (u64, u64),
) -> Outcome {
    let platform = &workload.cluster.platform;
    let counts = platform.checker.counts();
    let mut latencies = workload.latencies.take();
    latencies.sort_unstable();
    let cores = |core_ms: u64, duration_ms: u64| core_ms as f64 / duration_ms.max(1) as f64;
    let violations = platform.checker.violations().into_iter();
    let violations =
        violations.map(|found| format!("{} {:?}: {}", found.at, found.rule, found.detail));
    let settled_ms = platform.sim.now().0;
    Outcome {
        seed,
        trace_hash: format!("{:016x}", platform.sim.trace_hash()),
        settled_ms,
        faults,
        results: workload.results.take(),
        jobs: platform.checker.jobs(),
        task_starts: counts.starts,
        appends: counts.appends,
        quick_p99_ms: latencies
            .get(latencies.len() * 99 / 100)
            .copied()
            .unwrap_or(0),
        work_cores: cores(counts.work_core_ms, settled_ms),
        evictions: counts.evictions,
        work_in_changes_cores: cores(change_totals.1, change_totals.0),
        violations: violations.collect(),
    }
}
