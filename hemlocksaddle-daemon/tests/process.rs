//! Tests of the node program as a child process.
//!
//! No test asserts how long a step takes; `TEST_TIMEOUT` only ends one that hangs.

use std::{
    cell::RefCell,
    fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    rc::Rc,
    sync::{
        Mutex, PoisonError,
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

/// Maximum wait for a condition, so that a test cannot hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Slots of each executor.
const SLOTS: usize = 8;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hemlocksaddled");

/// Held while a process is forked, and while a listener is open whose port is to be free afterwards.
///
/// A forked process has copies of all sockets until it executes its program, and keeps their ports
/// in use for that time.
static FORK: Mutex<()> = Mutex::new(());

/// Runs a function while no other one that is run so forks a process.
fn without_fork<T>(function: impl FnOnce() -> T) -> T {
    let _guard = FORK.lock().unwrap_or_else(PoisonError::into_inner);
    function()
}

/// Returns an address with a free port on a loopback IP address of its own.
///
/// The port is unbound between this call and the start of the node. On 127.0.0.1 another test or an
/// outgoing connection could be assigned it in the meantime, and the node would fail with "address
/// in use". The IP address is derived from the process id and a counter.
fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 1 + high % 254, low, number);
    without_fork(|| {
        let listener = TcpListener::bind((host, 0)).expect("bind");
        listener.local_addr().expect("address")
    })
}

/// Writes the settings file of a deployment with a single node and returns its path.
fn write_settings(
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

/// Node process, killed on drop, and the lines that it logs.
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
        let mut child = without_fork(|| command.spawn()).expect("starts");
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

    /// Returns the first log line that contains a text; panics with the other lines if the process
    /// exits first or the wait times out.
    async fn wait_for_log(&self, text: &str) -> String {
        let others = RefCell::new(Vec::new());
        let search = async {
            loop {
                match self.lines.try_recv() {
                    Ok(line) if line.contains(text) => return Some(line),
                    Ok(line) => others.borrow_mut().push(line),
                    Err(TryRecvError::Empty) => compio::time::sleep(POLL_INTERVAL).await,
                    Err(TryRecvError::Disconnected) => return None,
                }
            }
        };
        let result = compio::time::timeout(TEST_TIMEOUT, search).await;
        match result {
            Ok(Some(line)) => line,
            Ok(None) => panic!(
                "the node exited without logging {text:?}: {:#?}",
                others.borrow()
            ),
            Err(_) => panic!("{text:?} was not logged in time: {:#?}", others.borrow()),
        }
    }

    fn terminate(&self) {
        let id = i32::try_from(self.child.id()).expect("id");
        let id = Pid::from_raw(id).expect("id");
        kill_process(id, Signal::TERM).expect("the process runs");
    }

    /// Waits for the exit of the process and returns its exit code.
    async fn wait_for_exit(&mut self) -> Option<i32> {
        let exit = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a child") {
                    return status.code();
                }
                compio::time::sleep(POLL_INTERVAL).await;
            }
        };
        compio::time::timeout(TEST_TIMEOUT, exit)
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

/// Guards against a program that starts despite an invalid setting.
#[googletest::test]
fn invalid_settings_exit_with_2_and_the_error_on_stderr() {
    let directory = TempDir::new().expect("directory");
    let path = write_settings(
        directory.path(),
        free_address(),
        free_address(),
        free_address(),
    );
    let valid = fs::read_to_string(&path).expect("readable");
    fs::write(&path, valid.replace("data_centre = a", "data_center = a")).expect("written");
    for extra in [&[][..], &["--check"][..]] {
        let mut command = Command::new(PROGRAM);
        command.args(["--settings", &path]).args(extra);
        let output = without_fork(|| command.output()).expect("runs");
        expect_that!(output.status.code(), some(eq(2)));
        let stderr = String::from_utf8_lossy(&output.stderr);
        expect_that!(stderr, contains_substring(path.as_str()));
        expect_that!(stderr, contains_substring("[node] data_centre is missing"));
    }
}

/// Guards against a `--check` that needs the platform or starts a node.
#[googletest::test]
fn check_of_valid_settings_exits_with_0() {
    let directory = TempDir::new().expect("directory");
    let path = write_settings(
        directory.path(),
        free_address(),
        free_address(),
        free_address(),
    );
    let mut command = Command::new(PROGRAM);
    command.args(["--settings", &path, "--check"]);
    let output = without_fork(|| command.output()).expect("runs");
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(
        String::from_utf8_lossy(&output.stdout),
        contains_substring("is valid")
    );
}

/// Starts the fake platform, with two executors and one listed node, in this process.
async fn start_platform(node: SocketAddr) -> (Rc<FakePlatform>, JoinHandle<()>) {
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
    let fake_platform = Rc::new(FakePlatform::start(layout).await.expect("binds"));
    let running = fake_platform.clone();
    let running = compio::runtime::spawn(async move { running.run().await });
    (fake_platform, running)
}

/// Status and body of a response.
type Response = (u16, String);

async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> eyre::Result<Response> {
    // Uses a new client for each call, so that none reuses a connection that a stopping node closed.
    let url = format!("http://{address}{path}");
    let mut request = cyper::Client::new()?.request(method, url)?;
    for (name, value) in headers {
        request = request.header(*name, *value)?;
    }
    let response = request.body(body.to_owned()).send().await?;
    Ok((response.status().as_u16(), response.text().await?))
}

/// Repeats a call until its response has the given status; returns the body.
async fn call_until(
    status: u16,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> String {
    let attempts = async {
        loop {
            let response = call(
                method.clone(),
                address,
                path,
                &[("idempotent", "true")],
                body,
            )
            .await;
            if let Ok((actual, body)) = response
                && actual == status
            {
                return body;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let response_body = compio::time::timeout(TEST_TIMEOUT, attempts).await;
    response_body.unwrap_or_else(|_| panic!("{path} was not answered with {status} in time"))
}

async fn platform_report(fake_platform: &FakePlatform) -> PlatformReport {
    let text = call_until(
        200,
        Method::GET,
        fake_platform.addresses.control,
        "/judged",
        "",
    )
    .await;
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

/// Guards against a node that reports ready before it has read the log, or that does not log what
/// it is waiting for.
#[compio::test]
async fn unreachable_log_at_startup_is_logged_and_waited_for() {
    let directory = TempDir::new().expect("directory");
    let (callers, peers) = (free_address(), free_address());
    let (fake_platform, _running) = start_platform(peers).await;
    let control = fake_platform.addresses.control;
    call_until(200, Method::POST, control, "/log", r#"{"down":true}"#).await;
    let log = fake_platform.addresses.log;
    let node = Node::start(&write_settings(directory.path(), callers, peers, log));
    let line = node.wait_for_log("not ready").await;
    assert_that!(line, contains_substring(log.to_string()));
    assert_that!(line, contains_substring("does not answer"));
    let (status, _) = call(Method::GET, callers, "/readyz", &[], "")
        .await
        .expect("answer");
    assert_that!(status, eq(503));
    call_until(200, Method::POST, control, "/log", "{}").await;
    call_until(200, Method::GET, callers, "/readyz", "").await;
}

/// Guards against test addresses that another process or connection may be assigned before the
/// node binds them.
#[googletest::test]
fn free_addresses_do_not_collide_with_other_listeners() {
    let (first, second) = (free_address(), free_address());
    expect_that!(first.ip(), not(eq(second.ip())));
    for address in [first, second] {
        expect_that!(address.ip(), not(eq(Ipv4Addr::LOCALHOST)));
        let other = TcpListener::bind((Ipv4Addr::LOCALHOST, address.port()));
        let node = TcpListener::bind(address);
        expect_that!(node.is_ok(), eq(true), "beside {other:?}");
    }
}

/// Guards against a planned stop that aborts requests in progress or does not terminate.
#[compio::test]
async fn sigterm_under_load_aborts_no_requests() {
    let directory = TempDir::new().expect("directory");
    let (callers, peers) = (free_address(), free_address());
    let (fake_platform, _running) = start_platform(peers).await;
    let mut node = Node::start(&write_settings(
        directory.path(),
        callers,
        peers,
        fake_platform.addresses.log,
    ));
    call_until(200, Method::GET, callers, "/readyz", "").await;
    let path = "/v1/documents/orders?expected_revision=0";
    let text = document(&fake_platform.addresses.executors);
    call_until(200, Method::PUT, callers, path, &text).await;
    call_until(
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
        let response = call(Method::POST, callers, path, &headers, &tag).await;
        (tag.clone(), response)
    };
    let requests: Vec<_> = (0..2 * SLOTS)
        .map(|number| compio::runtime::spawn(request(number)))
        .collect();
    while platform_report(&fake_platform).await.requests_running < 2 * SLOTS as u64 {
        compio::time::sleep(POLL_INTERVAL).await;
    }
    node.terminate();
    for request in requests {
        let (tag, response) = request.await.expect("no panic");
        let (status, body) = response.expect("the request is answered");
        assert_that!((status, body), eq(&(200, format!("answer to {tag}"))));
    }
    assert_that!(node.wait_for_exit().await, some(eq(0)));
    let platform_report = platform_report(&fake_platform).await;
    assert_that!(
        (
            platform_report.aborted_requests,
            platform_report.violations.len()
        ),
        eq((0, 0))
    );
}
