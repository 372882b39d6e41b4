//! The node as a process.
//!
//! Waiting has no bound of its own; [`GUARD`] only ends a test that hangs.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use tempfile::TempDir;

/// Safeguard against a test that hangs.
const GUARD: Duration = Duration::from_secs(120);

const PROGRAM: &str = env!("CARGO_BIN_EXE_hemlocksaddled");

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

/// Settings of a deployment with one node whose platform is at an address.
fn settings(directory: &Path, platform: SocketAddr) -> String {
    let (callers, peers) = (free_address(), free_address());
    let text = format!(
        "[node]\nname = n1\ndata_centre = a\ncallers = {callers}\npeers_listen = {peers}\n\
         [peers]\nn1 = a {peers}\n[platform]\nlog = {platform}\nhosts = {platform}\n\
         [secret]\npeer_key = 0123456789abcdef0123456789abcdef\n"
    );
    let path = directory.join("n1.ini");
    fs::write(&path, text).expect("written");
    path.display().to_string()
}

/// Process that ends with the test, and the lines that it logs.
struct Node {
    child: Child,
    lines: Receiver<String>,
}

impl Node {
    fn start(settings: &str) -> Node {
        let mut command = Command::new(PROGRAM);
        command
            .args(["--settings", settings])
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("starts");
        let stderr = child.stderr.take().expect("piped");
        let (send, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr)
                .lines()
                .map_while(std::result::Result::ok)
            {
                let _ = send.send(line);
            }
        });
        Node { child, lines }
    }

    /// Waits for a line that holds a text.
    fn logs(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(GUARD);
            let line = line.unwrap_or_else(|_| panic!("no line with {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a program that starts with settings that it did not understand.
#[googletest::test]
fn bad_settings_exit_with_2_and_the_error_on_stderr() {
    let directory = TempDir::new().expect("directory");
    let path = settings(directory.path(), free_address());
    let good = fs::read_to_string(&path).expect("readable");
    fs::write(&path, good.replace("data_centre = a", "data_center = a")).expect("written");
    for extra in [&[][..], &["--check"][..]] {
        let mut command = Command::new(PROGRAM);
        let output = command
            .args(["--settings", &path])
            .args(extra)
            .output()
            .expect("runs");
        expect_that!(output.status.code(), some(eq(2)));
        let stderr = String::from_utf8_lossy(&output.stderr);
        expect_that!(stderr, contains_substring(path.as_str()));
        expect_that!(stderr, contains_substring("[node] data_centre is missing"));
    }
}

/// Guards against a check that needs the platform or starts a node.
#[googletest::test]
fn check_of_good_settings_exits_with_0() {
    let directory = TempDir::new().expect("directory");
    let path = settings(directory.path(), free_address());
    let mut command = Command::new(PROGRAM);
    let output = command
        .args(["--settings", &path, "--check"])
        .output()
        .expect("runs");
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(
        String::from_utf8_lossy(&output.stdout),
        contains_substring("is valid")
    );
}

/// Guards against a node that serves from nothing, or that waits without saying what for.
#[googletest::test]
fn an_unreachable_log_at_the_start_is_waited_for_and_named() {
    let directory = TempDir::new().expect("directory");
    let platform = free_address();
    let node = Node::start(&settings(directory.path(), platform));
    let line = node.logs("not ready");
    expect_that!(line, contains_substring(platform.to_string()));
    expect_that!(line, contains_substring("does not answer"));
}
