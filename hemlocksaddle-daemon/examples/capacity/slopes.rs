//! The measured slopes.

use std::time::Duration;

use futures_util::future::{join_all, try_join_all};

use crate::{
    cluster::{Cluster, Size, Usage},
    fit,
};

/// Span of each measurement; a multiple of all intervals of the node.
const SPAN: Duration = Duration::from_secs(4);
/// Time for claims and first reports before a measurement.
const SETTLE: Duration = Duration::from_secs(3);
/// Jobs that are submitted at once.
const WAVE: usize = 50;

/// Value of a usage that is fitted.
pub(crate) type Value = fn(&Usage) -> f64;

const CPU: Value = |usage| usage.cpu_seconds / usage.seconds * 1e6;
pub(crate) const MEMORY: Value = |usage| usage.memory_kb;
const LOG: Value = |usage| usage.log_bytes / usage.seconds;
const HOSTS: Value = |usage| usage.host_bytes / usage.seconds;
const WORKERS: Value = |usage| usage.worker_bytes / usage.seconds;
const PEERS: Value = |usage| usage.peer_bytes / usage.seconds;

/// Prints one row per value.
pub(crate) fn report(per: &str, points: &[(f64, Usage)], values: &[(&str, Value)]) {
    for (unit, value) in values {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, use_)| (*x, value(use_))).collect();
        let fit = fit::line(&points);
        let steps: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.0}")).collect();
        println!(
            "| {per} | {unit} | {:.4} | {:.0} | {:.3} | {} |",
            fit.slope,
            fit.base,
            fit.r_squared,
            steps.join(", ")
        );
    }
}

/// Prints the head of the table.
pub(crate) fn head() {
    println!("| per | unit | slope | at zero | R^2 | steps |");
    println!("| --- | --- | --- | --- | --- | --- |");
}

const PLATFORM: [(&str, Value); 5] = [
    ("CPU us/s", CPU),
    ("memory kB", MEMORY),
    ("worker bytes/s", WORKERS),
    ("host list bytes/s", HOSTS),
    ("log bytes/s", LOG),
];

const LINKS: [(&str, Value); 3] = [
    ("CPU us/s", CPU),
    ("memory kB", MEMORY),
    ("peer bytes/s", PEERS),
];

/// Measures a cluster that has nothing to do.
async fn idle(per: usize, size: Size) -> eyre::Result<(f64, Usage)> {
    let cluster = Cluster::start(size).await?;
    compio::time::sleep(SETTLE).await;
    Ok((per as f64, cluster.over(SPAN).await?))
}

/// Idle workers at intervals of renewals and of reads of the host list.
pub(crate) async fn workers(renew_every_ms: u64, hosts_every_ms: u64) -> eyre::Result<()> {
    let steps = [0, 40, 80, 160].map(|workers| {
        let size = Size {
            workers,
            renew_every_ms,
            hosts_every_ms,
            ..Size::default()
        };
        idle(workers, size)
    });
    let points = try_join_all(steps).await?;
    let per =
        format!("idle worker, renewed every {renew_every_ms} ms, listed every {hosts_every_ms} ms");
    report(&per, &points, &PLATFORM);
    Ok(())
}

/// Peers, with a single queue so that nearly all of the traffic is heartbeats.
pub(crate) async fn peers(heartbeat_ms: u64) -> eyre::Result<()> {
    let mut points = Vec::new();
    for nodes in [2, 5, 9] {
        let size = Size {
            nodes,
            heartbeat_ms,
            queues: 1,
            ..Size::default()
        };
        points.push(idle(nodes - 1, size).await?);
    }
    let per = format!("peer, heartbeat every {heartbeat_ms} ms");
    report(&per, &points, &LINKS);
    Ok(())
}

/// Units of a cluster of three nodes: with two successors each, every node takes part in all promises.
pub(crate) async fn units() -> eyre::Result<()> {
    let mut points = Vec::new();
    for queues in [1, 32, 64] {
        let size = Size {
            nodes: 3,
            queues,
            ..Size::default()
        };
        points.push(idle(queues, size).await?);
    }
    report("unit in a cluster of 3 nodes", &points, &LINKS);
    Ok(())
}

/// Racks of one worker in a cluster of three nodes, as seen on the peer links.
pub(crate) async fn racks() -> eyre::Result<()> {
    let mut points = Vec::new();
    for workers in [0, 24, 48] {
        let size = Size {
            nodes: 3,
            workers,
            rack: 1,
            ..Size::default()
        };
        points.push(idle(workers, size).await?);
    }
    report("rack in a cluster of 3 nodes", &points, &LINKS);
    Ok(())
}

/// Submits jobs of one task in waves; returns how many were accepted.
pub(crate) async fn submit(
    cluster: &Cluster,
    count: usize,
    run_ms: u64,
    cpu_milli: u64,
) -> eyre::Result<u64> {
    let mut accepted = 0;
    for first in (0..count).step_by(WAVE) {
        let wave = WAVE.min(count - first);
        let jobs = (0..wave).map(|_| cluster.submit(run_ms, cpu_milli));
        for job in join_all(jobs).await {
            accepted += u64::from(job?);
        }
    }
    Ok(accepted)
}

/// Starts, and then running tasks, on one node.
pub(crate) async fn tasks() -> eyre::Result<()> {
    let size = Size {
        workers: 40,
        ..Size::default()
    };
    let cluster = Cluster::start(size).await?;
    cluster.publish("orders", 0).await?;
    compio::time::sleep(SETTLE).await;
    let idle = cluster.over(SPAN).await?;
    let mut running = vec![(0.0, idle)];
    let mut starts = Vec::new();
    let mut all = 0;
    for count in [50, 100, 200, 400] {
        let before = cluster.usage().await?;
        let accepted = submit(&cluster, count, 600_000, 100).await?;
        all += accepted;
        cluster.started(all).await?;
        let mut used = cluster.usage().await?.since(&before);
        // What the node uses without starts is not part of a start.
        let share = used.seconds / idle.seconds;
        used.cpu_seconds -= idle.cpu_seconds * share;
        used.log_bytes -= idle.log_bytes * share;
        used.worker_bytes -= running[running.len() - 1].1.worker_bytes * share;
        starts.push((accepted as f64, used));
        compio::time::sleep(SETTLE).await;
        running.push((all as f64, cluster.over(SPAN).await?));
    }
    report(
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
    report("running task", &running, &PLATFORM);
    Ok(())
}
