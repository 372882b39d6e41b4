//! Usage per worker, listed host, peer, unit, rack and task, as slopes of fitted lines.

use std::time::Duration;

use futures_util::future::{join_all, try_join_all};

use crate::{
    cluster::{Cluster, Size, Usage},
    fit,
};

/// Duration of each measurement; a multiple of all intervals of the node.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);
/// Time for claims and first reports before a measurement.
const WARM_UP: Duration = Duration::from_secs(3);
/// Jobs submitted concurrently.
const SUBMIT_BATCH: usize = 50;

/// Quantity of a usage to which a line is fitted.
pub(crate) type Metric = fn(&Usage) -> f64;

const CPU_US_PER_S: Metric = |usage| usage.cpu_seconds / usage.seconds * 1e6;
pub(crate) const MEMORY_KB: Metric = |usage| usage.memory_kb;
const LOG_BYTES_PER_S: Metric = |usage| usage.log_bytes / usage.seconds;
const HOST_BYTES_PER_S: Metric = |usage| usage.host_bytes / usage.seconds;
const WORKER_BYTES_PER_S: Metric = |usage| usage.worker_bytes / usage.seconds;
const PEER_BYTES_PER_S: Metric = |usage| usage.peer_bytes / usage.seconds;

/// Fits a line for each metric and prints one table row for it.
pub(crate) fn print_fits(per: &str, points: &[(f64, Usage)], metrics: &[(&str, Metric)]) {
    for (unit, metric) in metrics {
        let points: Vec<(f64, f64)> = points
            .iter()
            .map(|(x, usage)| (*x, metric(usage)))
            .collect();
        let fit = fit::fit_line(&points);
        let steps: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.0}")).collect();
        println!(
            "| {per} | {unit} | {:.4} | {:.0} | {:.3} | {} |",
            fit.slope,
            fit.intercept,
            fit.r_squared,
            steps.join(", ")
        );
    }
}

/// Prints the header of the table.
pub(crate) fn print_header() {
    println!("| per | unit | slope | at zero | R^2 | steps |");
    println!("| --- | --- | --- | --- | --- | --- |");
}

const PLATFORM_METRICS: [(&str, Metric); 5] = [
    ("CPU us/s", CPU_US_PER_S),
    ("memory kB", MEMORY_KB),
    ("worker bytes/s", WORKER_BYTES_PER_S),
    ("host list bytes/s", HOST_BYTES_PER_S),
    ("log bytes/s", LOG_BYTES_PER_S),
];

const HOST_LIST_METRICS: [(&str, Metric); 3] = [
    ("CPU us/s", CPU_US_PER_S),
    ("memory kB", MEMORY_KB),
    ("host list bytes/s", HOST_BYTES_PER_S),
];

const PEER_METRICS: [(&str, Metric); 3] = [
    ("CPU us/s", CPU_US_PER_S),
    ("memory kB", MEMORY_KB),
    ("peer bytes/s", PEER_BYTES_PER_S),
];

/// Measures an idle cluster; returns `count`, the size that is varied, and the usage.
async fn measure_idle(count: usize, size: Size) -> eyre::Result<(f64, Usage)> {
    let cluster = Cluster::start(size).await?;
    compio::time::sleep(WARM_UP).await;
    Ok((
        count as f64,
        cluster.usage_during(MEASUREMENT_DURATION).await?,
    ))
}

/// Usage per idle worker, for given intervals of lease renewals and host list reads.
pub(crate) async fn workers(renew_every_ms: u64, hosts_every_ms: u64) -> eyre::Result<()> {
    let steps = [0, 40, 80, 160].map(|workers| {
        let size = Size {
            workers,
            renew_every_ms,
            hosts_every_ms,
            ..Size::default()
        };
        measure_idle(workers, size)
    });
    let points = try_join_all(steps).await?;
    let per =
        format!("idle worker, renewed every {renew_every_ms} ms, listed every {hosts_every_ms} ms");
    print_fits(&per, &points, &PLATFORM_METRICS);
    Ok(())
}

/// Usage per host that is listed but that the node does not call.
pub(crate) async fn listed_hosts() -> eyre::Result<()> {
    let steps = [0, 800, 1_600, 2_400].map(|listed| {
        let size = Size {
            listed,
            ..Size::default()
        };
        measure_idle(listed, size)
    });
    let points = try_join_all(steps).await?;
    print_fits("listed host", &points, &HOST_LIST_METRICS);
    Ok(())
}

/// Usage per peer, with a single queue so that nearly all of the traffic is heartbeats.
pub(crate) async fn peers(heartbeat_ms: u64) -> eyre::Result<()> {
    let mut points = Vec::new();
    for nodes in [2, 5, 9] {
        let size = Size {
            nodes,
            heartbeat_ms,
            queues: 1,
            ..Size::default()
        };
        points.push(measure_idle(nodes - 1, size).await?);
    }
    let per = format!("peer, heartbeat every {heartbeat_ms} ms");
    print_fits(&per, &points, &PEER_METRICS);
    Ok(())
}

/// Usage per unit in a cluster of three nodes. Each unit has two successors, so every node takes part
/// in all promises.
pub(crate) async fn units() -> eyre::Result<()> {
    let mut points = Vec::new();
    for queues in [1, 32, 64] {
        let size = Size {
            nodes: 3,
            queues,
            ..Size::default()
        };
        points.push(measure_idle(queues, size).await?);
    }
    print_fits("unit in a cluster of 3 nodes", &points, &PEER_METRICS);
    Ok(())
}

/// Usage per rack of one worker in a cluster of three nodes, with the bytes to and from peers.
pub(crate) async fn racks() -> eyre::Result<()> {
    let mut points = Vec::new();
    for workers in [0, 24, 48] {
        let size = Size {
            nodes: 3,
            workers,
            rack: 1,
            ..Size::default()
        };
        points.push(measure_idle(workers, size).await?);
    }
    print_fits("rack in a cluster of 3 nodes", &points, &PEER_METRICS);
    Ok(())
}

/// Submits jobs of one task in concurrent batches; returns the number accepted.
pub(crate) async fn submit(
    cluster: &Cluster,
    count: usize,
    run_ms: u64,
    cpu_milli: u64,
) -> eyre::Result<u64> {
    let mut accepted = 0;
    for first in (0..count).step_by(SUBMIT_BATCH) {
        let batch = SUBMIT_BATCH.min(count - first);
        let jobs = (0..batch).map(|_| cluster.submit(run_ms, cpu_milli));
        for job in join_all(jobs).await {
            accepted += u64::from(job?);
        }
    }
    Ok(accepted)
}

/// Usage per task start and per running task on one node.
pub(crate) async fn tasks() -> eyre::Result<()> {
    let size = Size {
        workers: 40,
        ..Size::default()
    };
    let cluster = Cluster::start(size).await?;
    cluster.publish("orders", 0).await?;
    compio::time::sleep(WARM_UP).await;
    let idle = cluster.usage_during(MEASUREMENT_DURATION).await?;
    let mut running = vec![(0.0, idle)];
    let mut starts = Vec::new();
    let mut all = 0;
    for count in [50, 100, 200, 400] {
        let before = cluster.usage().await?;
        let accepted = submit(&cluster, count, 600_000, 100).await?;
        all += accepted;
        cluster.wait_for_starts(all).await?;
        let mut used = cluster.usage().await?.since(&before);
        // Subtracts the usage that the node has without task starts.
        let share = used.seconds / idle.seconds;
        used.cpu_seconds -= idle.cpu_seconds * share;
        used.log_bytes -= idle.log_bytes * share;
        used.worker_bytes -= running[running.len() - 1].1.worker_bytes * share;
        starts.push((accepted as f64, used));
        compio::time::sleep(WARM_UP).await;
        running.push((
            all as f64,
            cluster.usage_during(MEASUREMENT_DURATION).await?,
        ));
    }
    print_fits(
        "task start, job of one task",
        &starts,
        &[
            ("CPU us", |usage| usage.cpu_seconds * 1e6),
            ("log bytes", |usage| usage.log_bytes),
            ("worker bytes", |usage| usage.worker_bytes),
            ("appends", |usage| usage.appends),
            ("ms until all started", |usage| usage.seconds * 1e3),
        ],
    );
    print_fits("running task", &running, &PLATFORM_METRICS);
    Ok(())
}
