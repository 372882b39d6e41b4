//! The node as a process.
//!
//! Waiting has no bound of its own; `GUARD` only ends a test that hangs.

use std::{
    cell::RefCell,
    fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    rc::Rc,
    sync::{
        atomic::{AtomicU8, Ordering},
        mpsc::{Receiver, TryRecvError, channel},
    },
    thread,
    time::Duration,
};

use compio::runtime::JoinHandle;
use googletest::prelude::*;
use hemlocksaddle_fakes::http::{FakePlatform, Layout, control::PlatformReport};
use hemlocksaddle_types::{
    host::{Host, HostRole, HostState},
    name::{DataCentre, ExecutorName, NodeName, ServiceName},
};
use http::Method;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// Safeguard against a test that hangs.
const GUARD: Duration = Duration::from_secs(120);

/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(20);

/// Slots of each executor.
const SLOTS: usize = 8;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hemlocksaddled");

/// Free address on a loopback host of its own.
///
/// The port is free between this call and the start of the node. On 127.0.0.1, any other test or
/// outgoing connection may be given it in that time, and the node then ends with "in use".
fn free_address() -> SocketAddr {
    static TAKEN: AtomicU8 = AtomicU8::new(1);
    let number = TAKEN.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 1 + high % 254, low, number);
    let listener = TcpListener::bind((host, 0)).expect("bind");
    listener.local_addr().expect("address")
}

/// Settings of a deployment with one node whose platform is at an address.
fn settings(
    directory: &Path,
    callers: SocketAddr,
    peers: SocketAddr,
    platform: SocketAddr,
) -> String {
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

    /// Waits for a line that holds a text; fails with what was logged if the process ends first.
    async fn logs(&self, text: &str) -> String {
        let others = RefCell::new(Vec::new());
        let search = async {
            loop {
                match self.lines.try_recv() {
                    Ok(line) if line.contains(text) => return Some(line),
                    Ok(line) => others.borrow_mut().push(line),
                    Err(TryRecvError::Empty) => compio::time::sleep(POLL).await,
                    Err(TryRecvError::Disconnected) => return None,
                }
            }
        };
        let found = compio::time::timeout(GUARD, search).await;
        match found {
            Ok(Some(line)) => line,
            Ok(None) => panic!("the node ended without {text:?}: {:#?}", others.borrow()),
            Err(_) => panic!("no line with {text:?} in time: {:#?}", others.borrow()),
        }
    }

    fn terminate(&self) {
        let id = i32::try_from(self.child.id()).expect("id");
        let id = Pid::from_raw(id).expect("id");
        kill_process(id, Signal::TERM).expect("the process runs");
    }

    /// Exit code of the process, once it has ended.
    async fn ended(&mut self) -> Option<i32> {
        let ending = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a child") {
                    return status.code();
                }
                compio::time::sleep(POLL).await;
            }
        };
        compio::time::timeout(GUARD, ending)
            .await
            .expect("the process ends")
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
    let path = settings(
        directory.path(),
        free_address(),
        free_address(),
        free_address(),
    );
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
    let path = settings(
        directory.path(),
        free_address(),
        free_address(),
        free_address(),
    );
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

/// Stand-in of the platform with two executors and one node, in this process.
async fn platform(node: SocketAddr) -> (Rc<FakePlatform>, JoinHandle<()>) {
    let unset = SocketAddr::from(([127, 0, 0, 1], 1));
    let executor = |name: &str| HostRole::Executor {
        name: ExecutorName::try_from(name).expect("name"),
    };
    let own = HostRole::Node {
        name: NodeName::try_from("n1").expect("name"),
    };
    let hosts = [(executor("1"), unset), (executor("2"), unset), (own, node)];
    let host = |(role, address)| Host {
        role,
        data_centre: DataCentre::try_from("a").expect("name"),
        address,
        state: HostState::Live,
    };
    let layout = Layout {
        hosts: hosts.into_iter().map(host).collect(),
        service: ServiceName::try_from("orders").expect("name"),
        slots: SLOTS,
        connections: 60,
        seed: 1,
    };
    let stand_in = Rc::new(FakePlatform::start(layout).await.expect("binds"));
    let running = stand_in.clone();
    let running = compio::runtime::spawn(async move { running.run().await });
    (stand_in, running)
}

/// Status and body of an answer.
type Answer = (u16, String);

async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> eyre::Result<Answer> {
    // A client of its own for each call: none finds a connection that a stopping node has closed.
    let url = format!("http://{address}{path}");
    let mut request = cyper::Client::new()?.request(method, url)?;
    for (name, value) in headers {
        request = request.header(*name, *value)?;
    }
    let response = request.body(body.to_owned()).send().await?;
    Ok((response.status().as_u16(), response.text().await?))
}

/// Repeats a call until it is answered with a status.
async fn until(status: u16, method: Method, address: SocketAddr, path: &str, body: &str) -> String {
    let repeat = async {
        loop {
            let answer = call(
                method.clone(),
                address,
                path,
                &[("idempotent", "true")],
                body,
            )
            .await;
            if let Ok((found, body)) = answer
                && found == status
            {
                return body;
            }
            compio::time::sleep(POLL).await;
        }
    };
    let answered = compio::time::timeout(GUARD, repeat).await;
    answered.unwrap_or_else(|_| panic!("{path} is never answered with {status}"))
}

async fn judged(stand_in: &FakePlatform) -> PlatformReport {
    let text = until(200, Method::GET, stand_in.addresses.control, "/judged", "").await;
    serde_json::from_str(&text).expect("JSON")
}

fn document(executors: &[SocketAddr]) -> String {
    format!(
        "[service]\nname = orders\nteam = makers\n\
         [objective]\nlatency_ms = 250\nsuccess_percent = 99.9\nwindow_hours = 720\n\
         [targets]\nslots = {SLOTS}\nconnections = 60\nmax_deadline_ms = 30000\n\
         executor.1 = a {}\nexecutor.2 = a {}\n\
         [quota]\ncpu_milli = 0\nmemory_mb = 0\naccelerators = 0\n",
        executors[0], executors[1]
    )
}

/// Guards against a node that serves from nothing, or that waits without saying what for.
#[compio::test]
async fn an_unreachable_log_at_the_start_is_waited_for_and_named() {
    let directory = TempDir::new().expect("directory");
    let (callers, peers) = (free_address(), free_address());
    let (stand_in, _running) = platform(peers).await;
    let control = stand_in.addresses.control;
    until(200, Method::POST, control, "/log", r#"{"down":true}"#).await;
    let log = stand_in.addresses.log;
    let node = Node::start(&settings(directory.path(), callers, peers, log));
    let line = node.logs("not ready").await;
    assert_that!(line, contains_substring(log.to_string()));
    assert_that!(line, contains_substring("does not answer"));
    let (status, _) = call(Method::GET, callers, "/readyz", &[], "")
        .await
        .expect("answer");
    assert_that!(status, eq(503));
    until(200, Method::POST, control, "/log", "{}").await;
    until(200, Method::GET, callers, "/readyz", "").await;
}

/// Guards against addresses of tests that another process or connection may be given meanwhile.
#[googletest::test]
fn addresses_of_nodes_are_not_shared_with_other_listeners() {
    let (first, second) = (free_address(), free_address());
    expect_that!(first.ip(), not(eq(second.ip())));
    for address in [first, second] {
        expect_that!(address.ip(), not(eq(Ipv4Addr::LOCALHOST)));
        let other = TcpListener::bind((Ipv4Addr::LOCALHOST, address.port()));
        let node = TcpListener::bind(address);
        expect_that!(node.is_ok(), eq(true), "beside {other:?}");
    }
}

/// Guards against a planned stop that cuts off requests, or that does not end.
#[compio::test]
async fn sigterm_under_load_cuts_off_nothing() {
    let directory = TempDir::new().expect("directory");
    let (callers, peers) = (free_address(), free_address());
    let (stand_in, _running) = platform(peers).await;
    let mut node = Node::start(&settings(
        directory.path(),
        callers,
        peers,
        stand_in.addresses.log,
    ));
    until(200, Method::GET, callers, "/readyz", "").await;
    let path = "/v1/documents/orders?expected_revision=0";
    let text = document(&stand_in.addresses.executors);
    until(200, Method::PUT, callers, path, &text).await;
    until(
        200,
        Method::POST,
        callers,
        "/v1/services/orders/requests",
        "first",
    )
    .await;

    let request = |number: usize| async move {
        let tag = number.to_string();
        let headers = [
            ("tag", tag.as_str()),
            ("service-ms", "1000"),
            ("idempotency-key", &tag),
        ];
        let path = "/v1/services/orders/requests";
        let answer = call(Method::POST, callers, path, &headers, &tag).await;
        (tag.clone(), answer)
    };
    let requests: Vec<_> = (0..2 * SLOTS)
        .map(|number| compio::runtime::spawn(request(number)))
        .collect();
    while judged(&stand_in).await.requests_running < 2 * SLOTS as u64 {
        compio::time::sleep(POLL).await;
    }
    node.terminate();
    for request in requests {
        let (tag, answer) = request.await.expect("no panic");
        let (status, body) = answer.expect("the request is not cut off");
        assert_that!((status, body), eq(&(200, format!("answer to {tag}"))));
    }
    assert_that!(node.ended().await, some(eq(0)));
    let judged = judged(&stand_in).await;
    assert_that!(
        (judged.aborted_requests, judged.violations.len()),
        eq((0, 0))
    );
}
