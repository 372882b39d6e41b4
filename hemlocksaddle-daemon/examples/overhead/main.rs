//! Measures the overhead of a node on a synchronous request.
//!
//! `cargo run --release --example overhead` starts itself again as one node, as
//! the fake platform and as echo executors, which respond without delay. It sends
//! the same requests directly to the executors and through the node, with a
//! concurrency from one up to the total number of slots, and prints latencies,
//! the processor time of the node per request, and its memory.

#![forbid(unsafe_code)]

mod load;

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, ExitCode, Stdio},
    time::Duration,
};

use eyre::{OptionExt, WrapErr};
use hemlocksaddle_fakes::http::{Addresses, FakePlatform, Layout, serve_echo};
use hemlocksaddle_types::name::ServiceName;
use load::{Endpoint, Sample};
use tempfile::TempDir;

/// Number of executors; with 8 slots each they serve the highest concurrency without queueing.
const EXECUTORS: usize = 8;
/// Number of requests in progress at any time, for each step of the measurement.
const CONCURRENCY_LEVELS: [usize; 7] = [1, 2, 4, 8, 16, 32, 64];
/// Total requests sent directly, and again through the node.
const REQUESTS: usize = 100_000;
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let outcome = match arguments.as_slice() {
        [] => run(measure()),
        ["node", settings] => hemlocksaddle_daemon::run(Path::new(settings)),
        ["platform"] => run(platform()),
        ["executors"] => run(executors()),
        _ => Err(eyre::eyre!("this example takes no arguments")),
    };
    if let Err(error) = outcome {
        eprintln!("{error:?}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn run(future: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    compio::runtime::Runtime::new()?.block_on(future)
}

async fn platform() -> eyre::Result<()> {
    let layout = Layout {
        hosts: Vec::new(),
        service: ServiceName::try_from("orders")?,
        slots: 8,
        connections: 60,
        seed: 1,
    };
    let fake_platform = FakePlatform::start(layout).await?;
    println!("{}", serde_json::to_string(&fake_platform.addresses)?);
    fake_platform.run().await;
    Ok(())
}

async fn executors() -> eyre::Result<()> {
    let mut addresses = Vec::new();
    for _ in 0..EXECUTORS {
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        serve_echo(listener);
    }
    println!("{}", serde_json::to_string(&addresses)?);
    std::future::pending().await
}

/// Child process, killed on drop.
struct Process(Child);

impl Process {
    /// Starts this program in another role; returns the first line that it prints, or an empty
    /// string if its output is not captured.
    fn start(arguments: &[&str], captures_stdout: bool) -> eyre::Result<(Process, String)> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(arguments);
        command.stdout(if captures_stdout {
            Stdio::piped()
        } else {
            Stdio::null()
        });
        let mut child = command.spawn().wrap_err("a process cannot be started")?;
        let stdout = child.stdout.take();
        let process = Process(child);
        let mut line = String::new();
        if let Some(stdout) = stdout {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        Ok((process, line))
    }

    /// User and system time so far in seconds.
    fn cpu_seconds(&self) -> eyre::Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        // The second field is the program's name in parentheses and may contain spaces.
        let (_, fields) = text
            .rsplit_once(") ")
            .ok_or_eyre("/proc/PID/stat has an unknown format")?;
        let mut fields = fields.split(' ').skip(USER_TIME_FIELD);
        let mut ticks = || fields.next()?.parse::<u64>().ok();
        let user = ticks().ok_or_eyre("/proc/PID/stat has no user time")?;
        let system = ticks().ok_or_eyre("/proc/PID/stat has no system time")?;
        Ok((user + system) as f64 / rustix::param::clock_ticks_per_second() as f64)
    }

    /// Resident memory, for example `5120 kB`.
    fn memory(&self) -> eyre::Result<String> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix("VmRSS:"));
        Ok(lines
            .next()
            .ok_or_eyre("/proc/PID/status has no VmRSS")?
            .trim()
            .to_owned())
    }
}

/// Index of the user time among the fields of `/proc/PID/stat` that follow the name.
const USER_TIME_FIELD: usize = 11;

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn measure() -> eyre::Result<()> {
    let directory = TempDir::new()?;
    let (_platform, line) = Process::start(&["platform"], true)?;
    let platform: Addresses = serde_json::from_str(&line)?;
    let (_executors, line) = Process::start(&["executors"], true)?;
    let executors: Vec<SocketAddr> = serde_json::from_str(&line)?;
    let (callers, settings) = write_settings(directory.path(), platform.log)?;
    let (node, _) = Process::start(&["node", &settings], false)?;
    publish(callers, &executors).await?;

    let direct = Endpoint {
        addresses: executors,
        path: "/",
    };
    let through_node = Endpoint {
        addresses: vec![callers],
        path: "/v1/services/orders/requests",
    };
    println!("memory of the node before: {}", node.memory()?);
    println!(
        "{:>11} {:>22} {:>22} {:>12}",
        "in progress", "direct p50, p99 (us)", "node p50, p99 (us)", "node CPU (us)"
    );
    let (mut all_direct, mut all_through_node) = (Sample::new()?, Sample::new()?);
    let total_cpu_before = node.cpu_seconds()?;
    for (index, concurrency) in CONCURRENCY_LEVELS.into_iter().enumerate() {
        let remainder = usize::from(index < REQUESTS % CONCURRENCY_LEVELS.len());
        let count = REQUESTS / CONCURRENCY_LEVELS.len() + remainder;
        let direct_sample = direct.send(concurrency, count).await?;
        let level_cpu_before = node.cpu_seconds()?;
        let node_sample = through_node.send(concurrency, count).await?;
        let per_request = (node.cpu_seconds()? - level_cpu_before) / count as f64;
        println!(
            "{concurrency:>11} {direct_sample:>22} {node_sample:>22} {:>12.1}",
            per_request * 1e6
        );
        all_direct.add(&direct_sample)?;
        all_through_node.add(&node_sample)?;
    }
    let per_request = (node.cpu_seconds()? - total_cpu_before) / all_through_node.served() as f64;
    println!(
        "{:>11} {all_direct:>22} {all_through_node:>22} {:>12.1}",
        "all",
        per_request * 1e6
    );
    println!(
        "requests: {} direct, {} through the node, {} not served",
        all_direct.served(),
        all_through_node.served(),
        all_direct.failed + all_through_node.failed
    );
    println!("memory of the node after: {}", node.memory()?);
    Ok(())
}

/// Writes the settings file of the only node; returns its address for callers and the file's path.
fn write_settings(directory: &Path, platform: SocketAddr) -> eyre::Result<(SocketAddr, String)> {
    let (callers, peers) = (
        TcpListener::bind("127.0.0.1:0")?,
        TcpListener::bind("127.0.0.1:0")?,
    );
    let (callers, peers) = (callers.local_addr()?, peers.local_addr()?);
    let text = format!(
        "[node]\nname = n1\ndata_centre = a\ncallers = {callers}\npeers_listen = {peers}\n\
         [peers]\nn1 = a {peers}\n[platform]\nlog = {platform}\nhosts = {platform}\n\
         [secret]\npeer_key = {:064x}\n",
        rand::random::<u128>()
    );
    let path = directory.join("n1.ini");
    fs::write(&path, text)?;
    Ok((callers, path.display().to_string()))
}

/// Publishes the document and waits until the node serves a request.
async fn publish(callers: SocketAddr, executors: &[SocketAddr]) -> eyre::Result<()> {
    let lines = executors.iter().enumerate();
    let lines: String = lines
        .map(|(index, address)| format!("executor.{index} = a {address}\n"))
        .collect();
    let text = format!(
        "[service]\nname = orders\nteam = makers\n\
         [objective]\nlatency_ms = 250\nsuccess_percent = 99.9\nwindow_hours = 720\n\
         [targets]\nslots = 8\nconnections = 60\nmax_deadline_ms = 10000\n{lines}\
         [quota]\ncpu_milli = 0\nmemory_mb = 0\naccelerators = 0\n"
    );
    let client = cyper::Client::new()?;
    let url = format!("http://{callers}/v1/documents/orders?expected_revision=0");
    while !is_ok(client.put(url.as_str())?.body(text.clone())).await {
        compio::time::sleep(POLL_INTERVAL).await;
    }
    let url = format!("http://{callers}/v1/services/orders/requests");
    while !is_ok(client.post(url.as_str())?.header("idempotent", "true")?).await {
        compio::time::sleep(POLL_INTERVAL).await;
    }
    // The response shows that one executor is owned; the node needs time to claim the others too.
    compio::time::sleep(Duration::from_secs(1)).await;
    Ok(())
}

async fn is_ok(request: cyper::RequestBuilder) -> bool {
    request
        .send()
        .await
        .is_ok_and(|response| response.status().is_success())
}
