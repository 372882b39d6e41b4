//! Node process with a small memory, and crowds of clients.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command},
    rc::Rc,
    sync::mpsc::channel,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::json;
use tempfile::TempDir;

use crate::{server, store};

/// Largest legal size of a body, in bytes.
pub(crate) const SUBMISSION_BYTES: usize = 262_144;

/// Memory of the process in the settings, in megabytes, and bound of what it may take.
const MEMORY_MB: u64 = 32;

/// Descriptors of the process, and how many of them the crowd must leave.
const MAX_FDS: u64 = 192;
const SPARE_FDS: u64 = 32;

/// Maximum wait for an ordinary answer, so that a test cannot hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without progress after which a client of a crowd stops sending.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for the process to read what a crowd has sent.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Listener of the node.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Listener {
    /// Callers.
    Callers,
    /// Readiness probes.
    Ready,
    /// Metrics.
    Metrics,
    /// Peers.
    Peers,
}

/// Node process, killed on drop, with a store of its own.
pub(crate) struct Node {
    child: Child,
    addresses: [SocketAddr; 4],
    directory: TempDir,
}

/// Lists a worker that takes no calls.
fn put_worker(store: &store::Store) {
    let entry = json!({
        "service": "pool", "addr": "127.0.0.1:9", "state": "ready", "zone": "a",
        "labels": ["kind", "rack"], "capacity": { "cpu": 1_000, "memMb": 1_000, "gpu": 0 }, "born": 1,
    });
    store.put("keyed.servers", "w1", &entry.to_string());
}

/// Starts a store in a thread that lives as long as the test program.
fn start_store() -> SocketAddr {
    let (send, address) = channel();
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let store = Rc::new(store::Store::default());
            put_worker(&store);
            store.put_config("pool");
            send.send(server::start(store).await.expect("binds"))
                .expect("awaited");
            std::future::pending::<()>().await;
        });
    });
    address.recv().expect("a store")
}

impl Node {
    /// Starts a node and waits until it serves.
    pub(crate) fn start() -> Node {
        let store = start_store();
        let directory = TempDir::new().expect("directory");
        // An IP address of its own, so that nothing else is assigned the ports in the meantime.
        let [.., high, low] = std::process::id().to_be_bytes();
        let host = Ipv4Addr::new(127, 1 + high % 254, low, 201);
        // All are bound before any is closed: a port that is free again may be assigned once more.
        let listeners: [TcpListener; 4] =
            std::array::from_fn(|_| TcpListener::bind((host, 0)).expect("bind"));
        let addresses @ [callers, ready, peers, metrics] = listeners
            .each_ref()
            .map(|listener| listener.local_addr().expect("address"));
        drop(listeners);
        let text = format!(
            "[node]\nname = n1\ndata_centre = a\ncallers = {callers}\nready = {ready}\n\
             peers = {peers}\nmetrics = {metrics}\ncpu_share = 0.5\nlink_mbps = 1000\n\
             caller_connections = {MAX_FDS}\n[platform]\nstore = {store}\n\
             [limits]\nlease_ms = 6000\nkeep_ended_s = 120\ngrace_s = 4\n\
             memory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"
        );
        let settings = directory.path().join("n1.ini");
        fs::write(&settings, text).expect("written");
        let log = fs::File::create(directory.path().join("log")).expect("created");
        let mut command = Command::new(env!("CARGO_BIN_EXE_hemlocksaddled"));
        command.arg("--shards").arg("--settings").arg(&settings);
        let child = command.stdout(log).spawn().expect("starts");
        let pid = Pid::from_child(&child);
        let limit = Rlimit {
            current: Some(MAX_FDS),
            maximum: Some(MAX_FDS),
        };
        prlimit(Some(pid), Resource::Nofile, limit).expect("limited");
        let node = Node {
            child,
            addresses,
            directory,
        };
        assert_that!(node.submit(), some(eq("200")), "before the crowd");
        node
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        let [callers, ready, peers, metrics] = self.addresses;
        match listener {
            Listener::Callers => callers,
            Listener::Ready => ready,
            Listener::Metrics => metrics,
            Listener::Peers => peers,
        }
    }

    /// Sends a small submission until it is accepted; returns the status, `None` if the wait was too long.
    fn submit(&self) -> Option<String> {
        let body = r#"{"spec":"s","steps":[{"count":1,"cpu":1}]}"#;
        let request = format!(
            "POST /soak/{:016x} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            0xffff,
            store::HOST,
            body.len()
        );
        self.call(Listener::Callers, &request, "200")
    }

    /// Repeats a request on new connections until its answer has the status.
    pub(crate) fn call(&self, listener: Listener, request: &str, status: &str) -> Option<String> {
        let started = Instant::now();
        while started.elapsed() < TEST_TIMEOUT {
            if let Some(answer) = attempt(self.address(listener), request)
                && answer.split(' ').nth(1) == Some(status)
            {
                return Some(status.to_owned());
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    fn proc(&self, entry: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{entry}", self.child.id()))
    }

    /// A value of the process's status in megabytes; 0 if the process has ended.
    fn memory_mb(&self, name: &str) -> u64 {
        let status = fs::read_to_string(self.proc("status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0).div_ceil(1_024)
    }

    fn open_fds(&self) -> u64 {
        fs::read_dir(self.proc("fd")).map_or(0, |entries| entries.count() as u64)
    }

    /// Checks the process while a crowd keeps its connections.
    pub(crate) fn check(&self, crowd: &Crowd) {
        let fds = self.open_fds();
        expect_that!(self.submit(), some(eq("200")), "during the crowd");
        let get = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        for listener in [Listener::Ready, Listener::Metrics] {
            expect_that!(
                self.call(listener, get, "200"),
                some(eq("200")),
                "{listener:?}"
            );
        }
        let (rss, peak) = (self.memory_mb("VmRSS"), self.memory_mb("VmHWM"));
        println!(
            "{} clients: {rss} MB, at most {peak} MB, {fds} descriptors",
            crowd.streams.len()
        );
        expect_that!(rss, gt(0), "the process lives");
        expect_that!(peak, le(MEMORY_MB), "memory in MB");
        expect_that!(
            fds.max(self.open_fds()),
            le(MAX_FDS - SPARE_FDS),
            "descriptors"
        );
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("UNTRUSTED_CLIENTS_LOG").is_some() {
            let log = fs::read_to_string(self.directory.path().join("log"));
            println!("{}", log.unwrap_or_default());
        }
    }
}

/// Sends a request on a new connection and returns the answer; `None` if there is none.
fn attempt(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, TEST_TIMEOUT).ok()?;
    // Longer than any answer takes; the request is repeated afterwards.
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    (read.is_ok() || !answer.is_empty()).then(|| String::from_utf8_lossy(&answer).into_owned())
}

/// Clients that have sent what they send and keep their connections.
pub(crate) struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections and sends on each what `pieces` gives for it, as far as the process takes it.
    pub(crate) fn start(
        node: &Node,
        listener: Listener,
        clients: usize,
        pieces: impl Fn(usize) -> Vec<Vec<u8>>,
    ) -> Crowd {
        let address = node.address(listener);
        let before = (node.memory_mb("VmRSS"), node.memory_mb("VmHWM"));
        println!("before: {before:?} MB, {} descriptors", node.open_fds());
        let senders: Vec<_> = (0..clients)
            .map(|number| {
                let pieces = pieces(number);
                thread::spawn(move || send(address, &pieces))
            })
            .collect();
        let streams = senders
            .into_iter()
            .filter_map(|sender| sender.join().expect("no panic"));
        let streams = streams.collect();
        thread::sleep(SETTLE_TIME);
        Crowd { streams }
    }
}

fn send(address: SocketAddr, pieces: &[Vec<u8>]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, TEST_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    for piece in pieces {
        // Refusing the rest or closing the connection is allowed.
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    Some(stream)
}
