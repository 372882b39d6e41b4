//! Usage per publication, request and waiting job, and of a cold start, as slopes of fitted lines.

use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::{
    cluster::{Cluster, Size, Usage},
    slopes::{MEMORY_KB, print_fits, submit},
};

/// Time for memory and background work to reach a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Requests in progress at any time.
const CONCURRENCY: usize = 16;
/// CPU demand of a task that occupies a whole worker, in millicores.
const FULL_WORKER_CPU_MILLI: u64 = 16_000;

/// Subtracts the usage of an idle node over the same time.
fn without_idle(mut used: Usage, idle: &Usage) -> Usage {
    let share = used.seconds / idle.seconds;
    used.cpu_seconds -= idle.cpu_seconds * share;
    used.log_bytes -= idle.log_bytes * share;
    used.peer_bytes -= idle.peer_bytes * share;
    used
}

/// Usage per publication and per document in a cluster of three nodes.
pub(crate) async fn documents() -> eyre::Result<()> {
    let size = Size {
        nodes: 3,
        ..Size::default()
    };
    let cluster = Cluster::start(size).await?;
    compio::time::sleep(SETTLE_TIME).await;
    let idle = cluster.usage_during(SETTLE_TIME).await?;
    let (mut points, mut memory) = (Vec::new(), Vec::new());
    let mut propagation_ms = Vec::new();
    let mut all = 0;
    for count in [5, 10, 20, 40] {
        let before = cluster.usage().await?;
        for _ in 0..count {
            let service = format!("service-{all}");
            cluster.publish(&service, 0).await?;
            let responded = Instant::now();
            cluster.wait_for_document(&service).await?;
            propagation_ms.push(responded.elapsed().as_secs_f64() * 1e3);
            all += 1;
        }
        let used = cluster.usage().await?.since(&before);
        points.push((f64::from(count), without_idle(used, &idle)));
        memory.push((f64::from(all), used));
    }
    print_fits(
        "publication, 3 nodes",
        &points,
        &[
            ("CPU us", |usage| usage.cpu_seconds * 1e6),
            ("log bytes", |usage| usage.log_bytes),
            ("peer bytes", |usage| usage.peer_bytes),
            ("ms, publication after publication", |usage| {
                usage.seconds * 1e3
            }),
        ],
    );
    print_fits("document", &memory, &[("memory kB", MEMORY_KB)]);
    propagation_ms.sort_by(f64::total_cmp);
    println!(
        "\nFrom the publisher's answer until all 3 nodes show the document: median {:.0} ms, \
         longest {:.0} ms of {all}.\n",
        propagation_ms[propagation_ms.len() / 2],
        propagation_ms[propagation_ms.len() - 1]
    );
    Ok(())
}

/// Usage per synchronous request through one node.
pub(crate) async fn requests() -> eyre::Result<()> {
    let cluster = Cluster::start(Size::default()).await?;
    cluster.publish("orders", 0).await?;
    compio::time::sleep(SETTLE_TIME).await;
    let idle = cluster.usage_during(SETTLE_TIME).await?;
    let mut points = Vec::new();
    let mut failed = 0;
    for count in [100, 200, 400, 800] {
        let before = cluster.usage().await?;
        for _ in 0..count / CONCURRENCY {
            let batch = (0..CONCURRENCY).map(|_| cluster.request());
            for succeeded in join_all(batch).await {
                failed += u64::from(!succeeded?);
            }
        }
        let used = cluster.usage().await?.since(&before);
        let sent = count / CONCURRENCY * CONCURRENCY;
        points.push((sent as f64, without_idle(used, &idle)));
    }
    print_fits(
        "quick request",
        &points,
        &[("CPU us", |usage| usage.cpu_seconds * 1e6)],
    );
    println!("\nQuick requests without a good answer: {failed}.\n");
    Ok(())
}

/// Usage per waiting job, and per accepted job in the cold start of a node that has to read them.
pub(crate) async fn waiting_jobs() -> eyre::Result<()> {
    let size = Size {
        workers: 1,
        ..Size::default()
    };
    let mut cluster = Cluster::start(size).await?;
    cluster.publish("orders", 0).await?;
    compio::time::sleep(SETTLE_TIME).await;
    // The first job occupies the only worker, so all other jobs wait.
    submit(&cluster, 1, 600_000, FULL_WORKER_CPU_MILLI).await?;
    cluster.wait_for_starts(1).await?;
    let (mut waiting, mut cold_starts) = (Vec::new(), Vec::new());
    let mut all = 0;
    for count in [0, 500, 500, 1_000] {
        all += submit(&cluster, count, 600_000, FULL_WORKER_CPU_MILLI).await?;
        waiting.push((all as f64, cluster.usage_during(SETTLE_TIME).await?));
    }
    print_fits(
        "waiting job",
        &waiting,
        &[
            ("memory kB", MEMORY_KB),
            ("CPU us/s", |usage| usage.cpu_seconds / usage.seconds * 1e6),
        ],
    );
    for _ in 0..2 {
        cold_starts.push((all as f64, cluster.restart_first_node().await?));
        all += submit(&cluster, 1_000, 600_000, FULL_WORKER_CPU_MILLI).await?;
    }
    cold_starts.push((all as f64, cluster.restart_first_node().await?));
    print_fits(
        "accepted job in the streams, cold start",
        &cold_starts,
        &[
            ("ms until a job is accepted", |usage| usage.seconds * 1e3),
            ("CPU us", |usage| usage.cpu_seconds * 1e6),
            ("log bytes", |usage| usage.log_bytes),
            ("memory kB", MEMORY_KB),
        ],
    );
    Ok(())
}
