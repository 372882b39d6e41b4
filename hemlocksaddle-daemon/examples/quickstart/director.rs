//! Course of the run.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use eyre::{bail, ensure};
use hemlocksaddle_fakes::http::{
    Addresses,
    control::{PlatformReport, SetLog},
};
use http::Method;
use tempfile::TempDir;

use crate::{
    client::Client,
    deployment::{self, DATA_CENTRES, NodeAddresses, SERVICE},
    load::Load,
    processes::{Process, log_of},
    report::{Invariants, Report, Work},
};

/// Bound on the whole run; what is not reached by then has failed.
const WHOLE: Duration = Duration::from_secs(58);
/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(50);

const STEADY: Duration = Duration::from_secs(5);
const BEFORE_REPLACEMENT: Duration = Duration::from_secs(4);
const AFTER_REPLACEMENT: Duration = Duration::from_secs(2);
/// Time until no task runs in a data centre that is taken out.
const LEAVING: Duration = Duration::from_secs(3);
const OUT: Duration = Duration::from_secs(6);
const BACK: Duration = Duration::from_secs(4);
const OUTAGE: Duration = Duration::from_secs(4);
const AFTER_OUTAGE: Duration = Duration::from_secs(2);

/// Node with its process.
struct Node {
    addresses: NodeAddresses,
    settings: PathBuf,
    process: Process,
}

/// Deployment that runs.
struct Run {
    started: Instant,
    client: Client,
    directory: TempDir,
    addresses: Addresses,
    _platform: Process,
    nodes: Vec<Node>,
    invariants: Invariants,
}

/// Runs everything; returns whether nothing was violated or lost.
pub(crate) async fn direct() -> eyre::Result<bool> {
    let mut run = Run::start()?;
    let ended = compio::time::timeout(WHOLE, run.course()).await;
    match ended {
        Ok(Ok(good)) => Ok(good),
        Ok(Err(error)) => {
            run.print_logs();
            Err(error)
        }
        Err(_) => {
            run.print_logs();
            bail!("the run did not end within {} s", WHOLE.as_secs())
        }
    }
}

impl Run {
    fn start() -> eyre::Result<Run> {
        let directory = TempDir::new()?;
        let nodes = deployment::nodes()?;
        let (platform, addresses) = Process::platform(&nodes, directory.path())?;
        let key = format!(
            "{:032x}{:032x}",
            rand::random::<u128>(),
            rand::random::<u128>()
        );
        let mut started = Vec::new();
        for node in &nodes {
            let path = directory.path();
            let settings = deployment::write_settings(path, node, &nodes, addresses.log, &key)?;
            started.push(Node {
                addresses: node.clone(),
                process: Process::node(&settings)?,
                settings,
            });
        }
        Ok(Run {
            started: Instant::now(),
            client: Client::new()?,
            directory,
            addresses,
            _platform: platform,
            nodes: started,
            invariants: Invariants::default(),
        })
    }

    async fn course(&mut self) -> eyre::Result<bool> {
        self.ready().await?;
        self.publish(0, &[]).await?;
        let callers = self
            .nodes
            .iter()
            .map(|node| node.addresses.callers)
            .collect();
        let load = Load::new(self.client.clone(), callers)?;
        load.start();
        while load.seen.completed.get() == 0 {
            compio::time::sleep(POLL).await;
        }
        self.say("first batch job completed");
        // Until here nodes claimed their units and refused what they did not own yet.
        load.take_latencies()?;
        let first = self.judged().await?;
        let steady = Instant::now();
        let before = self.work_during(STEADY).await?;
        let steady_latencies = load.take_latencies()?;

        self.replace_a_node().await?;
        let during = self.take_out_and_back().await?;
        self.log_outage().await?;

        let last = self.judged().await?;
        let all = work(&first, &last, steady.elapsed());
        load.stop_jobs();
        self.say("no further jobs are submitted; waiting for the accepted ones");
        while load.jobs_open() > 0 {
            compio::time::sleep(POLL).await;
        }
        let before_stops = self.judged().await?;
        let bad_stops = self.stop_nodes(&load).await?;
        let answers = load.seen.answers.take();
        self.client
            .control(self.addresses.control, "/answers", &answers)
            .await?;
        let judged = self.judged().await?;
        let report = Report {
            seen: &load.seen,
            judged: &judged,
            invariants: &self.invariants,
            steady: steady_latencies,
            cut_off: judged.aborted_requests - before_stops.aborted_requests,
            before,
            during,
            all,
            outstanding: load.quick_open() + load.jobs_open(),
            bad_stops,
        };
        Ok(report.print())
    }

    fn say(&self, what: &str) {
        println!("{:5.1} s  {what}", self.started.elapsed().as_secs_f64());
    }

    async fn ready(&mut self) -> eyre::Result<()> {
        for index in 0..self.nodes.len() {
            self.node_ready(index).await?;
        }
        self.say("all nodes are ready");
        Ok(())
    }

    async fn node_ready(&mut self, index: usize) -> eyre::Result<()> {
        loop {
            let node = &mut self.nodes[index];
            ensure!(
                node.process.is_running(),
                "{} has ended",
                node.addresses.name
            );
            let answer = self.client.get(node.addresses.callers, "/readyz").await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            compio::time::sleep(POLL).await;
        }
    }

    /// Publishes the document and waits until it is in force on every node.
    async fn publish(&self, expected: u64, out: &[&str]) -> eyre::Result<()> {
        let text = deployment::document(&self.addresses.executors, out);
        let path = format!("/v1/documents/{SERVICE}?expected_revision={expected}");
        let began = Instant::now();
        let node = self.nodes[0].addresses.callers;
        let call = self.client.call(Method::PUT, node, &path, &[], text);
        let answer = call.await?;
        let body = String::from_utf8_lossy(&answer.body);
        ensure!(
            answer.status == 200,
            "publication failed with {}: {body}",
            answer.status
        );
        for node in &self.nodes {
            self.in_force(node.addresses.callers, expected + 1).await;
        }
        self.say(&format!(
            "revision {} is in force on every node after {} ms",
            expected + 1,
            began.elapsed().as_millis()
        ));
        Ok(())
    }

    async fn in_force(&self, node: SocketAddr, revision: u64) {
        let path = format!("/v1/documents/{SERVICE}");
        loop {
            let document: eyre::Result<serde_json::Value> = self.client.json(node, &path).await;
            if document.is_ok_and(|document| document["revision"].as_u64() >= Some(revision)) {
                return;
            }
            compio::time::sleep(POLL).await;
        }
    }

    async fn judged(&self) -> eyre::Result<PlatformReport> {
        self.client.json(self.addresses.control, "/judged").await
    }

    async fn work_during(&self, span: Duration) -> eyre::Result<Work> {
        let (first, began) = (self.judged().await?, Instant::now());
        compio::time::sleep(span).await;
        let last = self.judged().await?;
        Ok(work(&first, &last, began.elapsed()))
    }

    /// Kills a node and starts its replacement under the same name.
    async fn replace_a_node(&mut self) -> eyre::Result<()> {
        let index = self.nodes.len() - 1;
        let callers = self.nodes[index].addresses.callers;
        self.invariants.add(&self.client, callers).await?;
        self.nodes[index].process.kill()?;
        self.say("node killed with SIGKILL");
        compio::time::sleep(BEFORE_REPLACEMENT).await;
        let settings = self.nodes[index].settings.clone();
        self.nodes[index].process = Process::node(&settings)?;
        self.node_ready(index).await?;
        self.say("its replacement is ready");
        compio::time::sleep(AFTER_REPLACEMENT).await;
        Ok(())
    }

    /// Takes a data centre out and back by revised documents; returns the work done without it.
    async fn take_out_and_back(&mut self) -> eyre::Result<Work> {
        self.publish(1, &[DATA_CENTRES[1]]).await?;
        compio::time::sleep(LEAVING).await;
        let during = self.work_during(OUT).await?;
        self.publish(2, &[]).await?;
        compio::time::sleep(BACK).await;
        Ok(during)
    }

    async fn log_outage(&self) -> eyre::Result<()> {
        let control = self.addresses.control;
        let down = SetLog {
            down: true,
            ..SetLog::default()
        };
        self.client.control(control, "/log", &down).await?;
        self.say("the log is down");
        compio::time::sleep(OUTAGE).await;
        self.client
            .control(control, "/log", &SetLog::default())
            .await?;
        self.say("the log is up");
        compio::time::sleep(AFTER_OUTAGE).await;
        Ok(())
    }

    /// Stops all nodes in order while quick requests arrive; returns how many did not end well.
    async fn stop_nodes(&mut self, load: &Load) -> eyre::Result<usize> {
        for node in &self.nodes {
            self.invariants
                .add(&self.client, node.addresses.callers)
                .await?;
        }
        let mut bad_stops = 0;
        let count = self.nodes.len();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if index + 1 == count {
                load.stop_quick();
                while load.quick_open() > 0 {
                    compio::time::sleep(POLL).await;
                }
            }
            node.process.terminate()?;
            let status = node.process.ended().await?;
            bad_stops += usize::from(!status.success());
        }
        self.say("all nodes have stopped");
        Ok(bad_stops)
    }

    /// Shows the end of each log, to find out why a run failed.
    fn print_logs(&self) {
        let mut logs: Vec<PathBuf> = self
            .nodes
            .iter()
            .map(|node| log_of(&node.settings))
            .collect();
        logs.push(self.directory.path().join("platform.log"));
        for log in logs {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            println!("--- end of {}", log.display());
            for line in &lines[lines.len().saturating_sub(LOG_LINES)..] {
                println!("{line}");
            }
        }
    }
}

/// Lines of a log that are shown.
const LOG_LINES: usize = 30;

fn work(first: &PlatformReport, last: &PlatformReport, length: Duration) -> Work {
    Work {
        core_ms: last.work_core_ms.saturating_sub(first.work_core_ms),
        length_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
    }
}
