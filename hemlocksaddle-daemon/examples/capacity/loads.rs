//! Slopes of work that callers and operators bring, and of a cold start.

use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::{
    cluster::{Cluster, Size, Usage},
    slopes::{MEMORY, report, submit},
};

/// Time after which memory and background work have settled.
const SETTLE: Duration = Duration::from_secs(2);
/// Requests in progress at once.
const IN_PROGRESS: usize = 16;
/// Processors that no worker of the cluster has free.
const LARGE_MILLI: u64 = 16_000;

/// Removes from a usage what the idle node would have used.
fn without_idle(mut used: Usage, idle: &Usage) -> Usage {
    let share = used.seconds / idle.seconds;
    used.cpu_seconds -= idle.cpu_seconds * share;
    used.log_bytes -= idle.log_bytes * share;
    used.peer_bytes -= idle.peer_bytes * share;
    used
}

/// Publications in a cluster of three nodes.
pub(crate) async fn documents() -> eyre::Result<()> {
    let size = Size {
        nodes: 3,
        ..Size::default()
    };
    let cluster = Cluster::start(size).await?;
    compio::time::sleep(SETTLE).await;
    let idle = cluster.over(SETTLE).await?;
    let (mut points, mut memory) = (Vec::new(), Vec::new());
    let mut in_force_ms = Vec::new();
    let mut all = 0;
    for count in [5, 10, 20, 40] {
        let before = cluster.usage().await?;
        for _ in 0..count {
            let service = format!("service-{all}");
            cluster.publish(&service, 0).await?;
            let answered = Instant::now();
            cluster.in_force(&service).await?;
            in_force_ms.push(answered.elapsed().as_secs_f64() * 1e3);
            all += 1;
        }
        let used = cluster.usage().await?.since(&before);
        points.push((f64::from(count), without_idle(used, &idle)));
        memory.push((f64::from(all), used));
    }
    report(
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
    report("document", &memory, &[("memory kB", MEMORY)]);
    in_force_ms.sort_by(f64::total_cmp);
    println!(
        "\nFrom the publisher's answer until all 3 nodes show the document: median {:.0} ms, \
         longest {:.0} ms of {all}.\n",
        in_force_ms[in_force_ms.len() / 2],
        in_force_ms[in_force_ms.len() - 1]
    );
    Ok(())
}

/// Quick requests through one node.
pub(crate) async fn requests() -> eyre::Result<()> {
    let cluster = Cluster::start(Size::default()).await?;
    cluster.publish("orders", 0).await?;
    compio::time::sleep(SETTLE).await;
    let idle = cluster.over(SETTLE).await?;
    let mut points = Vec::new();
    let mut failed = 0;
    for count in [100, 200, 400, 800] {
        let before = cluster.usage().await?;
        for _ in 0..count / IN_PROGRESS {
            let wave = (0..IN_PROGRESS).map(|_| cluster.request());
            for answered in join_all(wave).await {
                failed += u64::from(!answered?);
            }
        }
        let used = cluster.usage().await?.since(&before);
        let sent = count / IN_PROGRESS * IN_PROGRESS;
        points.push((sent as f64, without_idle(used, &idle)));
    }
    report(
        "quick request",
        &points,
        &[("CPU us", |usage| usage.cpu_seconds * 1e6)],
    );
    println!("\nQuick requests without a good answer: {failed}.\n");
    Ok(())
}

/// Jobs that wait, and the cold start of a node that has to read them.
pub(crate) async fn waiting_jobs() -> eyre::Result<()> {
    let size = Size {
        workers: 1,
        ..Size::default()
    };
    let mut cluster = Cluster::start(size).await?;
    cluster.publish("orders", 0).await?;
    compio::time::sleep(SETTLE).await;
    // The only worker is taken, so that all other jobs wait.
    submit(&cluster, 1, 600_000, LARGE_MILLI).await?;
    cluster.started(1).await?;
    let (mut waiting, mut reads) = (Vec::new(), Vec::new());
    let mut all = 0;
    for count in [0, 500, 500, 1_000] {
        all += submit(&cluster, count, 600_000, LARGE_MILLI).await?;
        waiting.push((all as f64, cluster.over(SETTLE).await?));
    }
    report(
        "waiting job",
        &waiting,
        &[
            ("memory kB", MEMORY),
            ("CPU us/s", |usage| usage.cpu_seconds / usage.seconds * 1e6),
        ],
    );
    for _ in 0..2 {
        reads.push((all as f64, cluster.restart_first().await?));
        all += submit(&cluster, 1_000, 600_000, LARGE_MILLI).await?;
    }
    reads.push((all as f64, cluster.restart_first().await?));
    report(
        "accepted job in the streams, cold start",
        &reads,
        &[
            ("ms until a job is accepted", |usage| usage.seconds * 1e3),
            ("CPU us", |usage| usage.cpu_seconds * 1e6),
            ("log bytes", |usage| usage.log_bytes),
            ("memory kB", MEMORY),
        ],
    );
    Ok(())
}
