//! Sequence of load, failures and recoveries, with the measurements of each phase.

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
    processes::{Process, log_path},
    report::{Invariants, Report, Work},
};

/// Timeout of the whole run; a run that exceeds it has failed.
const RUN_TIMEOUT: Duration = Duration::from_secs(58);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const STEADY_PHASE: Duration = Duration::from_secs(5);
const NODE_DOWN_PHASE: Duration = Duration::from_secs(4);
const NODE_RECOVERY_PHASE: Duration = Duration::from_secs(2);
/// Time after which no task may be left running in an evacuated data centre.
const EVACUATION_PHASE: Duration = Duration::from_secs(3);
const EVACUATED_PHASE: Duration = Duration::from_secs(6);
const RETURN_PHASE: Duration = Duration::from_secs(4);
const LOG_DOWN_PHASE: Duration = Duration::from_secs(4);
const LOG_RECOVERY_PHASE: Duration = Duration::from_secs(2);

/// Node and its process.
struct Node {
    addresses: NodeAddresses,
    settings: PathBuf,
    process: Process,
}

/// Running deployment.
struct Scenario {
    started: Instant,
    client: Client,
    directory: TempDir,
    addresses: Addresses,
    _platform: Process,
    nodes: Vec<Node>,
    invariants: Invariants,
}

/// Runs the scenario; returns whether nothing was violated, lost or left unfinished.
pub(crate) async fn run() -> eyre::Result<bool> {
    let mut scenario = Scenario::start()?;
    let outcome = compio::time::timeout(RUN_TIMEOUT, scenario.execute()).await;
    match outcome {
        Ok(Ok(passed)) => Ok(passed),
        Ok(Err(error)) => {
            scenario.print_logs();
            Err(error)
        }
        Err(_) => {
            scenario.print_logs();
            bail!("the run did not end within {} s", RUN_TIMEOUT.as_secs())
        }
    }
}

impl Scenario {
    fn start() -> eyre::Result<Scenario> {
        let directory = TempDir::new()?;
        let nodes = deployment::allocate_nodes()?;
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
        Ok(Scenario {
            started: Instant::now(),
            client: Client::new()?,
            directory,
            addresses,
            _platform: platform,
            nodes: started,
            invariants: Invariants::default(),
        })
    }

    async fn execute(&mut self) -> eyre::Result<bool> {
        self.wait_until_all_ready().await?;
        self.publish(0, &[]).await?;
        let callers = self
            .nodes
            .iter()
            .map(|node| node.addresses.callers)
            .collect();
        let load = Load::new(self.client.clone(), callers)?;
        load.start();
        while load.stats.completed.get() == 0 {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        self.print_step("first batch job completed");
        // Discards the latencies of startup, while the nodes claimed their units and refused requests
        // for units that they did not own yet.
        load.take_latencies()?;
        let first = self.platform_report().await?;
        let steady_began = Instant::now();
        let work_before = self.work_during(STEADY_PHASE).await?;
        let steady_latencies = load.take_latencies()?;

        self.replace_node().await?;
        let work_evacuated = self.evacuate_and_restore().await?;
        self.interrupt_log().await?;

        let last = self.platform_report().await?;
        let work_total = work_between(&first, &last, steady_began.elapsed());
        load.stop_jobs();
        self.print_step("no further jobs are submitted; waiting for the accepted ones");
        while load.jobs_in_progress() > 0 {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let before_stops = self.platform_report().await?;
        let failed_stops = self.stop_nodes(&load).await?;
        let responses = load.stats.responses.take();
        self.client
            .control(self.addresses.control, "/answers", &responses)
            .await?;
        let platform_report = self.platform_report().await?;
        let report = Report {
            stats: &load.stats,
            platform_report: &platform_report,
            invariants: &self.invariants,
            steady: steady_latencies,
            aborted_by_stops: platform_report.aborted_requests - before_stops.aborted_requests,
            work_before,
            work_evacuated,
            work_total,
            unfinished: load.requests_in_progress() + load.jobs_in_progress(),
            failed_stops,
        };
        Ok(report.print())
    }

    fn print_step(&self, what: &str) {
        println!("{:5.1} s  {what}", self.started.elapsed().as_secs_f64());
    }

    async fn wait_until_all_ready(&mut self) -> eyre::Result<()> {
        for index in 0..self.nodes.len() {
            self.wait_until_ready(index).await?;
        }
        self.print_step("all nodes are ready");
        Ok(())
    }

    async fn wait_until_ready(&mut self, index: usize) -> eyre::Result<()> {
        loop {
            let node = &mut self.nodes[index];
            ensure!(
                node.process.is_running(),
                "{} has ended",
                node.addresses.name
            );
            let response = self.client.get(node.addresses.callers, "/readyz").await;
            if response.is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Publishes the document and waits until every node has it; `expected` is the current revision.
    async fn publish(&self, expected: u64, evacuated: &[&str]) -> eyre::Result<()> {
        let text = deployment::document(&self.addresses.executors, evacuated);
        let path = format!("/v1/documents/{SERVICE}?expected_revision={expected}");
        let began = Instant::now();
        let node = self.nodes[0].addresses.callers;
        let call = self.client.call(Method::PUT, node, &path, &[], text);
        let response = call.await?;
        let body = String::from_utf8_lossy(&response.body);
        ensure!(
            response.status == 200,
            "publication failed with {}: {body}",
            response.status
        );
        for node in &self.nodes {
            self.wait_for_revision(node.addresses.callers, expected + 1)
                .await;
        }
        self.print_step(&format!(
            "revision {} is in force on every node after {} ms",
            expected + 1,
            began.elapsed().as_millis()
        ));
        Ok(())
    }

    async fn wait_for_revision(&self, node: SocketAddr, revision: u64) {
        let path = format!("/v1/documents/{SERVICE}");
        loop {
            let document: eyre::Result<serde_json::Value> = self.client.get_json(node, &path).await;
            if document.is_ok_and(|document| document["revision"].as_u64() >= Some(revision)) {
                return;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn platform_report(&self) -> eyre::Result<PlatformReport> {
        self.client
            .get_json(self.addresses.control, "/judged")
            .await
    }

    async fn work_during(&self, duration: Duration) -> eyre::Result<Work> {
        let (first, began) = (self.platform_report().await?, Instant::now());
        compio::time::sleep(duration).await;
        let last = self.platform_report().await?;
        Ok(work_between(&first, &last, began.elapsed()))
    }

    /// Kills a node and starts its replacement under the same name.
    async fn replace_node(&mut self) -> eyre::Result<()> {
        let index = self.nodes.len() - 1;
        let callers = self.nodes[index].addresses.callers;
        self.invariants.add(&self.client, callers).await?;
        self.nodes[index].process.kill()?;
        self.print_step("node killed with SIGKILL");
        compio::time::sleep(NODE_DOWN_PHASE).await;
        let settings = self.nodes[index].settings.clone();
        self.nodes[index].process = Process::node(&settings)?;
        self.wait_until_ready(index).await?;
        self.print_step("its replacement is ready");
        compio::time::sleep(NODE_RECOVERY_PHASE).await;
        Ok(())
    }

    /// Evacuates and restores a data centre by publishing documents; returns the work done while it
    /// was evacuated.
    async fn evacuate_and_restore(&mut self) -> eyre::Result<Work> {
        self.publish(1, &[DATA_CENTRES[1]]).await?;
        compio::time::sleep(EVACUATION_PHASE).await;
        let work_evacuated = self.work_during(EVACUATED_PHASE).await?;
        self.publish(2, &[]).await?;
        compio::time::sleep(RETURN_PHASE).await;
        Ok(work_evacuated)
    }

    async fn interrupt_log(&self) -> eyre::Result<()> {
        let control = self.addresses.control;
        let down = SetLog {
            down: true,
            ..SetLog::default()
        };
        self.client.control(control, "/log", &down).await?;
        self.print_step("the log is down");
        compio::time::sleep(LOG_DOWN_PHASE).await;
        self.client
            .control(control, "/log", &SetLog::default())
            .await?;
        self.print_step("the log is up");
        compio::time::sleep(LOG_RECOVERY_PHASE).await;
        Ok(())
    }

    /// Stops the nodes one after another, under synchronous requests until only the last one is left;
    /// returns how many exited with an error.
    async fn stop_nodes(&mut self, load: &Load) -> eyre::Result<usize> {
        for node in &self.nodes {
            self.invariants
                .add(&self.client, node.addresses.callers)
                .await?;
        }
        let mut failed_stops = 0;
        let count = self.nodes.len();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if index + 1 == count {
                load.stop_requests();
                while load.requests_in_progress() > 0 {
                    compio::time::sleep(POLL_INTERVAL).await;
                }
            }
            node.process.terminate()?;
            let status = node.process.wait_for_exit().await?;
            failed_stops += usize::from(!status.success());
        }
        self.print_step("all nodes have stopped");
        Ok(failed_stops)
    }

    /// Prints the end of each log, to diagnose a failed run.
    fn print_logs(&self) {
        let mut logs: Vec<PathBuf> = self
            .nodes
            .iter()
            .map(|node| log_path(&node.settings))
            .collect();
        logs.push(self.directory.path().join("platform.log"));
        for log in logs {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            println!("--- end of {}", log.display());
            for line in &lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..] {
                println!("{line}");
            }
        }
    }
}

/// Number of lines printed from the end of each log.
const PRINTED_LOG_LINES: usize = 30;

fn work_between(first: &PlatformReport, last: &PlatformReport, elapsed: Duration) -> Work {
    Work {
        core_ms: last.work_core_ms.saturating_sub(first.work_core_ms),
        elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    }
}
