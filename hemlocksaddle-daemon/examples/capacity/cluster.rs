//! Nodes and the fake platform, with relays on the connections of the first node.

use std::{
    fs,
    io::BufRead,
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use eyre::ensure;
use hemlocksaddle_fakes::http::{Addresses, FakePlatform, Layout, control::PlatformReport};
use hemlocksaddle_types::{
    host::{Host, HostRole, HostState},
    resources::Resources,
};
use serde::{Deserialize, Serialize};
use tempfile::TempDir;

use crate::{
    process::Process,
    relay::{Counter, spawn_relay},
};

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Declared run time of a waiting job in milliseconds.
const WAITING_JOB_RUN_MS: u64 = 600_000;
/// Number of executors, each with 8 slots.
const EXECUTORS: usize = 4;
/// Resources of each worker.
const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 60_000,
    accelerators: 0,
};

/// Size of a cluster.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Size {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Total number of workers.
    pub(crate) workers: usize,
    /// Workers per rack.
    pub(crate) rack: usize,
    /// Number of hosts that are listed but not called.
    pub(crate) listed: usize,
    /// Number of queues.
    pub(crate) queues: usize,
    /// Interval of lease renewals in milliseconds.
    pub(crate) renew_every_ms: u64,
    /// Interval at which the host list is read, in milliseconds.
    pub(crate) hosts_every_ms: u64,
    /// Interval of heartbeats in milliseconds.
    pub(crate) heartbeat_ms: u64,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            nodes: 1,
            workers: 0,
            rack: 10,
            listed: 0,
            queues: 16,
            renew_every_ms: 2_000,
            hosts_every_ms: 1_000,
            heartbeat_ms: 500,
        }
    }
}

/// Resource usage of the first node since the start, or between two points in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) seconds: f64,
    pub(crate) cpu_seconds: f64,
    pub(crate) memory_kb: f64,
    pub(crate) log_bytes: f64,
    pub(crate) host_bytes: f64,
    pub(crate) worker_bytes: f64,
    pub(crate) peer_bytes: f64,
    pub(crate) appends: f64,
}

impl Usage {
    /// Usage since an earlier point in time; memory is the later value, not a difference.
    pub(crate) fn since(&self, earlier: &Usage) -> Usage {
        Usage {
            seconds: self.seconds - earlier.seconds,
            cpu_seconds: self.cpu_seconds - earlier.cpu_seconds,
            memory_kb: self.memory_kb,
            log_bytes: self.log_bytes - earlier.log_bytes,
            host_bytes: self.host_bytes - earlier.host_bytes,
            worker_bytes: self.worker_bytes - earlier.worker_bytes,
            peer_bytes: self.peer_bytes - earlier.peer_bytes,
            appends: self.appends - earlier.appends,
        }
    }
}

/// Bytes between the first node and each kind of remote.
#[derive(Default)]
struct Counters {
    log: Counter,
    hosts: Counter,
    workers: Counter,
    peers: Counter,
}

/// Running cluster.
pub(crate) struct Cluster {
    directory: TempDir,
    platform: Addresses,
    _platform: Process,
    nodes: Vec<Process>,
    /// Addresses of the nodes for callers.
    pub(crate) callers: Vec<SocketAddr>,
    counters: Counters,
    client: cyper::Client,
    began: Instant,
}

impl Cluster {
    /// Starts all processes and waits until the nodes are ready.
    pub(crate) async fn start(size: Size) -> eyre::Result<Cluster> {
        let mut process = Process::start(&["platform"])?;
        let platform = process.exchange_line(&serde_json::to_string(&size)?)?;
        let mut cluster = Cluster {
            directory: TempDir::new()?,
            platform: serde_json::from_str(&platform)?,
            _platform: process,
            nodes: Vec::new(),
            callers: Vec::new(),
            counters: Counters::default(),
            client: cyper::Client::new()?,
            began: Instant::now(),
        };
        cluster.start_nodes(size)?;
        for node in 0..size.nodes {
            let url = format!("http://{}/readyz", cluster.callers[node]);
            cluster
                .retry_until_ok(|client| client.get(url.as_str()))
                .await?;
        }
        Ok(cluster)
    }

    fn start_nodes(&mut self, size: Size) -> eyre::Result<()> {
        // All listeners stay open until the last port is known, so that no port is assigned twice.
        let mut listeners = Vec::new();
        let mut free_address = || -> eyre::Result<SocketAddr> {
            listeners.push(TcpListener::bind("127.0.0.1:0")?);
            Ok(listeners[listeners.len() - 1].local_addr()?)
        };
        let mut peers = Vec::new();
        for _ in 0..size.nodes {
            self.callers.push(free_address()?);
            peers.push(free_address()?);
        }
        drop(listeners);
        let mut relay_addresses = Vec::new();
        for peer in &peers {
            relay_addresses.push(spawn_relay(*peer, &self.counters.peers)?);
        }
        for node in 0..size.nodes {
            let path = self.write_settings(node, &peers, &relay_addresses, size)?;
            self.nodes.push(Process::start(&["node", &path])?);
        }
        Ok(())
    }

    fn write_settings(
        &self,
        node: usize,
        peers: &[SocketAddr],
        relay_addresses: &[SocketAddr],
        size: Size,
    ) -> eyre::Result<String> {
        let mut lines = String::new();
        for (peer, address) in peers.iter().enumerate() {
            // Only links between the first node and a peer are counted.
            let is_counted = peer != node && (node == 0 || peer == 0);
            let address = if is_counted {
                relay_addresses[peer]
            } else {
                *address
            };
            lines += &format!("n{peer} = {} {address}\n", data_centre(peer));
        }
        let Addresses {
            mut log,
            mut hosts,
            mut workers,
            ..
        } = self.platform;
        if node == 0 {
            log = spawn_relay(log, &self.counters.log)?;
            hosts = spawn_relay(hosts, &self.counters.hosts)?;
            workers = spawn_relay(workers, &self.counters.workers)?;
        }
        let text = format!(
            "[node]\nname = n{node}\ndata_centre = {}\ncallers = {}\npeers_listen = {}\n\
             [peers]\n{lines}[platform]\nlog = {log}\nhosts = {hosts}\nworkers = {workers}\n\
             [limits]\nqueues = {}\n[timing]\nrenew_every_ms = {}\nheartbeat_ms = {}\nhosts_every_ms = {}\n[secret]\npeer_key = {:064x}\n",
            data_centre(node),
            self.callers[node],
            peers[node],
            size.queues,
            size.renew_every_ms,
            size.heartbeat_ms,
            size.hosts_every_ms,
            1
        );
        let path = self.directory.path().join(format!("n{node}.ini"));
        fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    /// Repeats a call until it succeeds.
    async fn retry_until_ok(
        &self,
        request: impl Fn(&cyper::Client) -> cyper::Result<cyper::RequestBuilder>,
    ) -> eyre::Result<()> {
        let began = Instant::now();
        while !is_ok(request(&self.client)?).await {
            ensure!(
                began.elapsed() < WAIT_TIMEOUT,
                "a call did not succeed in time"
            );
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Publishes a service's document through the first node.
    pub(crate) async fn publish(&self, service: &str, revision: u64) -> eyre::Result<()> {
        let text = document(service, &self.platform.executors);
        let url = format!(
            "http://{}/v1/documents/{service}?expected_revision={revision}",
            self.callers[0]
        );
        let publish = |client: &cyper::Client| Ok(client.put(url.as_str())?.body(text.clone()));
        self.retry_until_ok(publish).await
    }

    /// Submits a job of one task; returns whether it was accepted.
    pub(crate) async fn submit(&self, run_ms: u64, cpu_milli: u64) -> eyre::Result<bool> {
        let body = format!(
            "{{\"tasks\":1,\"cpu_milli\":{cpu_milli},\"memory_mb\":100,\
             \"expected_run_ms\":{run_ms},\"resumable\":true}}"
        );
        let url = format!("http://{}/v1/services/orders/jobs", self.callers[0]);
        let request = self.client.post(url.as_str())?.body(body);
        let request = request.header("idempotent", "true")?;
        Ok(is_ok(request.header("urgency", "batch")?).await)
    }

    /// Sends a synchronous request; returns whether it succeeded.
    pub(crate) async fn request(&self) -> eyre::Result<bool> {
        let url = format!("http://{}/v1/services/orders/requests", self.callers[0]);
        let request = self.client.post(url.as_str())?.body("order 1");
        Ok(is_ok(request.header("idempotent", "true")?).await)
    }

    /// Waits until all nodes serve a service's document.
    pub(crate) async fn wait_for_document(&self, service: &str) -> eyre::Result<()> {
        for node in &self.callers {
            let url = format!("http://{node}/v1/documents/{service}");
            self.retry_until_ok(|client| client.get(url.as_str()))
                .await?;
        }
        Ok(())
    }

    /// Kills and restarts the first node; returns its usage until it accepted a job.
    pub(crate) async fn restart_first_node(&mut self) -> eyre::Result<Usage> {
        let path = self.directory.path().join("n0.ini");
        let before = self.usage().await?;
        drop(self.nodes.remove(0));
        let node = Process::start(&["node", &path.display().to_string()])?;
        self.nodes.insert(0, node);
        let began = Instant::now();
        while !self.submit(WAITING_JOB_RUN_MS, CAPACITY.cpu_milli).await? {
            ensure!(
                began.elapsed() < WAIT_TIMEOUT,
                "no job was accepted in time"
            );
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let after = self.usage().await?;
        Ok(Usage {
            seconds: began.elapsed().as_secs_f64(),
            cpu_seconds: after.cpu_seconds,
            ..after.since(&before)
        })
    }

    /// Fetches the counters and violations that the fake platform recorded.
    pub(crate) async fn platform_report(&self) -> eyre::Result<PlatformReport> {
        let url = format!("http://{}/judged", self.platform.control);
        let response = self.client.get(url.as_str())?.send().await?;
        Ok(serde_json::from_slice(&response.bytes().await?)?)
    }

    /// Waits until at least `starts` tasks have been started.
    pub(crate) async fn wait_for_starts(&self, starts: u64) -> eyre::Result<()> {
        let began = Instant::now();
        loop {
            let observed = self.platform_report().await?.starts;
            if observed >= starts {
                return Ok(());
            }
            ensure!(
                began.elapsed() < WAIT_TIMEOUT,
                "only {observed} of {starts} tasks were started in time"
            );
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Usage of the first node so far.
    pub(crate) async fn usage(&self) -> eyre::Result<Usage> {
        Ok(Usage {
            appends: self.platform_report().await?.appends as f64,
            seconds: self.began.elapsed().as_secs_f64(),
            cpu_seconds: self.nodes[0].cpu_seconds()?,
            memory_kb: self.nodes[0].memory_kb()?,
            log_bytes: self.counters.log.bytes() as f64,
            host_bytes: self.counters.hosts.bytes() as f64,
            worker_bytes: self.counters.workers.bytes() as f64,
            peer_bytes: self.counters.peers.bytes() as f64,
        })
    }

    /// Usage of the first node over a duration that begins now.
    pub(crate) async fn usage_during(&self, duration: Duration) -> eyre::Result<Usage> {
        let before = self.usage().await?;
        compio::time::sleep(duration).await;
        Ok(self.usage().await?.since(&before))
    }
}

fn data_centre(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

async fn is_ok(request: cyper::RequestBuilder) -> bool {
    let Ok(response) = request.send().await else {
        return false;
    };
    let is_success = response.status().is_success();
    response.bytes().await.is_ok() && is_success
}

fn document(service: &str, executors: &[SocketAddr]) -> String {
    let executors = if service == "orders" { executors } else { &[] };
    let lines = executors.iter().enumerate().map(|(index, address)| {
        let data_centre = data_centre(index);
        format!("executor.{index} = {data_centre} {address}\n")
    });
    format!(
        "[service]\nname = {service}\nteam = makers\n\
         [objective]\nlatency_ms = 250\nsuccess_percent = 99.9\nwindow_hours = 720\n\
         [targets]\nslots = 8\nconnections = 60\nmax_deadline_ms = 10000\n{}\
         [quota]\ncpu_milli = 40000000\nmemory_mb = 100000000\naccelerators = 0\n",
        lines.collect::<String>()
    )
}

/// Runs the fake platform for the size read from standard input.
pub(crate) async fn platform() -> eyre::Result<()> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line)?;
    let size: Size = serde_json::from_str(&line)?;
    let fake_platform = FakePlatform::start(Layout {
        hosts: hosts(size)?,
        service: "orders".try_into()?,
        slots: 8,
        connections: 60,
        seed: 1,
    })
    .await?;
    println!("{}", serde_json::to_string(&fake_platform.addresses)?);
    fake_platform.run().await;
    Ok(())
}

fn hosts(size: Size) -> eyre::Result<Vec<Host>> {
    let mut hosts = Vec::new();
    let mut add = |role, data_centre: &str| -> eyre::Result<()> {
        hosts.push(Host {
            role,
            data_centre: data_centre.try_into()?,
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: HostState::Live,
        });
        Ok(())
    };
    for index in 0..size.workers {
        let rack = index / size.rack;
        let role = HostRole::Worker {
            name: format!("worker-{index}").as_str().try_into()?,
            rack: format!("rack-{rack}").as_str().try_into()?,
            capacity: CAPACITY,
        };
        add(role, data_centre(rack))?;
    }
    for index in 0..size.listed {
        // A node that is not in the settings is not called.
        let name = format!("listed-{index}").as_str().try_into()?;
        add(HostRole::Node { name }, data_centre(index))?;
    }
    for index in 0..EXECUTORS {
        let name = index.to_string().as_str().try_into()?;
        add(HostRole::Executor { name }, data_centre(index))?;
    }
    Ok(hosts)
}
