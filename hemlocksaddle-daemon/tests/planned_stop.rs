//! Callers' connections during the planned stop of a node that owns shards.
//!
//! No test asserts how long a step takes. The store is out of reach, so that each request is refused.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

use googletest::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// Maximum wait for an answer, so that a test cannot hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Pause between two attempts to connect to a process that starts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the signal that is longer than the load balancer takes to remove a node.
const AFTER_DRAIN_DELAY: Duration = Duration::from_secs(3);

const REQUEST: &str = "GET /queue/00000000000000aa HTTP/1.1\r\nhost: test.example\r\n\r\n";

/// Node process, killed on drop.
struct Node {
    child: Child,
    callers: SocketAddr,
    _directory: TempDir,
}

impl Node {
    fn start(grace_s: u32) -> Node {
        let directory = TempDir::new().expect("directory");
        // A process that is forked meanwhile would keep the listeners open until it runs its program.
        static START: Mutex<()> = Mutex::new(());
        let _guard = START.lock().unwrap_or_else(PoisonError::into_inner);
        // An IP address of its own, also among the tests of this process, so that nothing else is assigned the
        // ports in the meantime.
        static NODES: AtomicU8 = AtomicU8::new(0);
        let [.., high, low] = std::process::id().to_be_bytes();
        let last = 200 + NODES.fetch_add(1, Ordering::Relaxed);
        let host = Ipv4Addr::new(127, 1 + high % 254, low, last);
        // All are bound before any is closed: a port that is free again may be assigned once more.
        let listeners: [TcpListener; 5] =
            std::array::from_fn(|_| TcpListener::bind((host, 0)).expect("bind"));
        let [callers, ready, peers, metrics, store] = listeners
            .each_ref()
            .map(|listener| listener.local_addr().expect("address"));
        drop(listeners);
        let text = format!(
            "[node]\nname = n1\ndata_centre = a\ncallers = {callers}\nready = {ready}\n\
             peers = {peers}\nmetrics = {metrics}\ncpu_share = 0.5\nlink_mbps = 1000\n\
             caller_connections = 200\n[platform]\nstore = {store}\n\
             [limits]\nlease_ms = 6000\nkeep_ended_s = 120\ngrace_s = {grace_s}\n"
        );
        let settings = directory.path().join("n1.ini");
        fs::write(&settings, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_hemlocksaddled"));
        command.arg("--shards").arg("--settings").arg(&settings);
        let child = command.stdout(Stdio::null()).spawn().expect("starts");
        Node {
            child,
            callers,
            _directory: directory,
        }
    }

    /// Opens a connection, as soon as the process listens.
    fn connect(&mut self) -> TcpStream {
        loop {
            let ended = self.child.try_wait().expect("a child");
            assert_that!(ended, none(), "the process runs");
            if let Ok(stream) = TcpStream::connect(self.callers) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
                return stream;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn terminate(&self) {
        let id = i32::try_from(self.child.id()).expect("id");
        let id = Pid::from_raw(id).expect("id");
        kill_process(id, Signal::TERM).expect("the process runs");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the head of an answer without a body; what was read until the end if there is none.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1..) => head.extend(byte),
            Ok(0) | Err(_) => break,
        }
    }
    String::from_utf8_lossy(&head).to_lowercase()
}

/// Load pattern: callers that keep connections and use them after SIGTERM. Guards against connections that
/// are closed as idle while a request is on its way, which then gets no answer.
#[gtest]
fn open_connections_are_served_after_sigterm() {
    let mut node = Node::start(60);
    let (mut used, mut half, unused) = (node.connect(), node.connect(), node.connect());
    for stream in [&mut used, &mut half] {
        stream.write_all(REQUEST.as_bytes()).expect("sent");
        assert_that!(read_head(stream), contains_substring("503"));
    }
    let (begin, end) = REQUEST.split_at(20);
    half.write_all(begin.as_bytes()).expect("sent");
    node.terminate();
    thread::sleep(AFTER_DRAIN_DELAY);
    let cases = [
        ("used", used, REQUEST),
        ("half a request", half, end),
        ("unused", unused, REQUEST),
    ];
    for (name, mut stream, request) in cases {
        // The answer shows whether the request arrived.
        let _ = stream.write_all(request.as_bytes());
        let head = read_head(&mut stream);
        expect_that!(head, contains_substring("503"), "{name}");
        expect_that!(head, contains_substring("connection: close"), "{name}");
        expect_that!(stream.read(&mut [0]), ok(eq(&0)), "{name}");
    }
    let status = node.child.wait().expect("a child");
    expect_that!(status.code(), some(eq(0)));
}

/// Load pattern: a caller that keeps a connection and sends nothing. Guards against a process that waits for
/// such a connection until it is killed.
#[gtest]
fn an_idle_connection_does_not_keep_the_process() {
    let mut node = Node::start(4);
    let mut idle = node.connect();
    idle.write_all(REQUEST.as_bytes()).expect("sent");
    assert_that!(read_head(&mut idle), contains_substring("503"));
    node.terminate();
    let status = node.child.wait().expect("a child");
    expect_that!(status.code(), some(eq(0)));
    expect_that!(idle.read(&mut [0]), ok(eq(&0)));
}
