//! The platform around the node processes: settings, starts, restarts, stops, and the consumers' calls.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    executor::{Board, Executor, POOL, ZONES},
    http,
    record::Log,
    store::Store,
};

pub const HOST: &str = "review.example";
/// Time budget of a consumer's request.
pub const BUDGET: Duration = Duration::from_millis(3_000);
/// A consumer's retries, as on the sheets of the users.
const RETRIES: usize = 4;
/// Usual delay until the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const DEPLOY_FILE: &str = "deploy/system.toml";
const TEMPLATE: &str = "deploy/node.ini";

/// Where the deploy file expects the settings.
const SETTINGS: &str = "/etc/hemlocksaddle/node.json";

struct Process {
    child: Child,
    ended_at: Option<Instant>,
}

/// Machine of the system.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    process: Mutex<Process>,
}

/// Whether executors that are started from now on leave `born` out of their answers to orders.
static IS_PLAIN: AtomicBool = AtomicBool::new(false);

/// Lets executors tell `born` in their lists of runs only.
pub fn answer_orders_plainly() {
    IS_PLAIN.store(true, Ordering::SeqCst);
}

/// Deployment of this process, for the end of its time.
static CURRENT: OnceLock<Arc<World>> = OnceLock::new();

/// Ends all processes once the time of a test is over.
pub fn stop_after(time: Duration, log: Log) {
    thread::spawn(move || {
        thread::sleep(time);
        log.line("the time is over");
        if let Some(world) = CURRENT.get() {
            world.stop();
        }
        std::process::exit(2);
    });
}

/// End of a process that nobody told to end.
#[derive(Clone, Debug)]
pub struct OwnEnd {
    pub node: String,
}

/// Deployment with its stand-ins.
pub struct World {
    pub log: Log,
    /// Kept for as long as the deployment.
    _store: Arc<Store>,
    pub board: Board,
    pub executors: Mutex<Vec<Arc<Executor>>>,
    pub nodes: Vec<Arc<Node>>,
    pub own_ends: Arc<Mutex<Vec<OwnEnd>>>,
    directory: PathBuf,
    /// Memory in MB above which the platform kills a process.
    memory_mb: u64,
    restart_delay: Mutex<Duration>,
    is_over: Mutex<bool>,
}

/// Loopback address of a machine; each process of this program has addresses of its own.
fn machine_ip(number: usize) -> [u8; 4] {
    let pid = std::process::id();
    let octet = |value: u32| (value & 255) as u8;
    [
        127,
        10 + octet(pid >> 14) % 200,
        octet(pid >> 6),
        octet((pid & 63) << 2) + number as u8,
    ]
}

fn free_address(ip: [u8; 4], port: u16) -> SocketAddr {
    let address = SocketAddr::from((ip, port));
    TcpListener::bind(address).expect("a free loopback address");
    address
}

pub fn route(name: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "unsafe",
        "timeoutMs": 3000, "targetCompletionMs": 250, "priority": 0, "service": POOL,
        "maxAttempts": attempts, "stretch": 1.5,
    })
}

impl World {
    /// Starts store, executors and three nodes; the first manifest precedes the nodes.
    pub fn start(
        log: &Log,
        directory: &Path,
        executors: usize,
        is_verbose: bool,
        routes: &[&str],
        memory_mb: u64,
    ) -> Arc<World> {
        let store = Store::start(log.clone());
        let board = Board::default();
        let start = |n| {
            Executor::start(
                n,
                &store,
                &board,
                log,
                is_verbose,
                IS_PLAIN.load(Ordering::SeqCst),
            )
        };
        let executors: Vec<_> = (0..executors).map(start).collect();
        let nodes = (0..3).map(|number| {
            let zone = ZONES[number];
            let name = format!("front-{zone}-1");
            let ip = machine_ip(number);
            let front = free_address(ip, 8161);
            let ready = free_address(ip, 8167);
            let peers = free_address(ip, 7720);
            let metrics = free_address(ip, 7721);
            let text = fs::read_to_string(TEMPLATE).expect("template of the deploy file");
            let text = text
                .replace("{{node}}", &name)
                .replace("{{zone}}", zone)
                .replace("{{listen.front}}", &front.to_string())
                .replace("{{listen.readyAddr}}", &ready.to_string())
                .replace("{{ip}}:{{portRange.0}}", &peers.to_string())
                .replace("{{ip}}:{{portRange.1}}", &metrics.to_string())
                .replace("{{limits.cpuShare}}", "0.25")
                .replace("{{limits.linkMbps}}", "1000")
                .replace("{{limits.maxFds}}", "4100")
                .replace("{{platform.addr}}", &store.server.address.to_string())
                .replace("{{bounds.maxHoldMs}}", "6000")
                .replace("{{bounds.status_s}}", "120")
                .replace("{{bounds.graceS}}", "6");
            assert!(!text.contains("{{"), "unknown placeholder in {TEMPLATE}");
            let settings = directory.join(format!("{name}.ini"));
            fs::write(&settings, text).expect("settings file");
            let output = directory.join(format!("{name}.log"));
            let child = spawn(&settings, &output);
            let process = Mutex::new(Process {
                child,
                ended_at: None,
            });
            Arc::new(Node {
                name,
                front,
                settings,
                output,
                process,
            })
        });
        let world = Arc::new(World {
            log: log.clone(),
            nodes: {
                let world_store = store.clone();
                put_config(&world_store, 1, routes);
                nodes.collect()
            },
            _store: store,
            board,
            executors: Mutex::new(executors),
            own_ends: Arc::default(),
            directory: directory.to_owned(),
            memory_mb,
            restart_delay: Mutex::new(RESTART_DELAY),
            is_over: Mutex::new(false),
        });
        let _ = CURRENT.set(world.clone());
        let watched = world.clone();
        thread::spawn(move || {
            while !*watched.is_over.lock().unwrap() {
                watched.nodes.iter().for_each(|node| watched.watch(node));
                thread::sleep(Duration::from_millis(20));
            }
        });
        world
    }

    /// Restarts a process that has ended, and kills one that exceeds its memory.
    fn watch(&self, node: &Node) {
        let mut process = node.process.lock().unwrap();
        if let Some(at) = process.ended_at {
            if at.elapsed() >= *self.restart_delay.lock().unwrap() && !*self.is_over.lock().unwrap()
            {
                process.child = spawn(&node.settings, &node.output);
                process.ended_at = None;
                self.log
                    .line(&format!("platform: {} is started again", node.name));
            }
            return;
        }
        if let Ok(Some(status)) = process.child.try_wait() {
            process.ended_at = Some(Instant::now());
            self.note_end(node, status);
            return;
        }
        let rss_mb = rss_mb(process.child.id());
        if rss_mb > self.memory_mb {
            let _ = process.child.kill();
            let _ = process.child.wait();
            process.ended_at = Some(Instant::now());
            let how = format!(
                "memory of {rss_mb} MB over the limit of {} MB",
                self.memory_mb
            );
            self.log
                .line(&format!("platform: {} is killed: {how}", node.name));
            let node = node.name.clone();
            self.own_ends.lock().unwrap().push(OwnEnd { node });
        }
    }

    fn note_end(&self, node: &Node, status: ExitStatus) {
        let output = fs::read_to_string(&node.output).unwrap_or_default();
        let panic = output
            .lines()
            .rev()
            .find(|line| line.contains("aborting after a panic"));
        let how = format!("{status}; {}", panic.unwrap_or("no panic in its output"));
        self.log.line(&format!(
            "platform: {} has ended by itself: {how}",
            node.name
        ));
        let node = node.name.clone();
        self.own_ends.lock().unwrap().push(OwnEnd { node });
    }

    /// Sets the delay until the platform starts a process again.
    pub fn restart_after(&self, delay: Duration) {
        *self.restart_delay.lock().unwrap() = delay;
    }

    /// One request of a consumer to a node.
    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let address = self.nodes[node % self.nodes.len()].front;
        http::call(address, method, HOST, path, body, BUDGET)
    }

    /// Hands a submission in, with four retries at other nodes; returns the answers.
    pub fn submit(&self, first_node: usize, path: &str, body: &str) -> Vec<Option<u16>> {
        let mut answers = Vec::new();
        for attempt in 0..=RETRIES {
            let answer = self.ask(first_node + attempt, "POST", path, body);
            let status = answer.map(|(status, _)| status);
            answers.push(status);
            if status.is_some_and(|status| (200..300).contains(&status)) {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        answers
    }

    /// Waits until a submission runs to its end, which shows that the system serves.
    pub fn is_serving(&self, queue: &str, id: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let body = submission(
            "ms=50 cpu=100",
            &json!([{ "count": 1, "cpu": 100, "memMb": 10 }]),
        );
        let path = format!("/{queue}/{id}");
        let mut node = 0;
        while Instant::now() < until {
            node += 1;
            if let Some((200, _)) = self.ask(node, "POST", &path, &body) {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        while Instant::now() < until {
            node += 1;
            if self.state(node, &path).as_deref() == Some("completed") {
                self.log
                    .line("the system serves: the first submission is completed");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// State of a submission as shown to its consumer; other answers as their status.
    pub fn state(&self, node: usize, path: &str) -> Option<String> {
        let (status, body) = self.ask(node, "GET", path, "")?;
        let body: Option<Value> = serde_json::from_str(&body).ok();
        let state = body.and_then(|body| Some(body["state"].as_str()?.to_owned()));
        Some(state.unwrap_or_else(|| format!("status {status}")))
    }

    /// Like [`World::state`], repeated at other nodes until one answers.
    pub fn state_anywhere(&self, path: &str) -> String {
        for node in 0..6 {
            match self.state(node, path) {
                Some(state) if state != "status 503" => return state,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        "no answer".to_owned()
    }

    /// Share of the pool's capacity that is in use.
    pub fn used_share(&self) -> f64 {
        let executors = self.executors.lock().unwrap();
        let used: u64 = executors.iter().map(|executor| executor.used_milli()).sum();
        let all = executors.len() as u64 * crate::executor::CPU_MILLI;
        used as f64 / all.max(1) as f64
    }

    /// Ends all processes that the test started; keeps the nodes' output if `KEEP` names a folder.
    pub fn stop(&self) {
        *self.is_over.lock().unwrap() = true;
        for node in &self.nodes {
            let mut process = node.process.lock().unwrap();
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if let Ok(folder) = std::env::var("KEEP") {
            for node in &self.nodes {
                let _ = fs::copy(
                    &node.output,
                    Path::new(&folder).join(format!("{}.log", node.name)),
                );
            }
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

pub fn submission(spec: &str, steps: &Value) -> String {
    json!({ "spec": spec, "steps": steps }).to_string()
}

fn put_config(store: &Store, version: u64, routes: &[&str]) {
    let routes: Vec<_> = routes.iter().map(|name| route(name, 4)).collect();
    let config = json!({
        "version": version, "routes": routes,
        "services": [{ "name": POOL, "healthPath": "/health", "maxConns": 64, "admissionCheck": true }],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144 },
    });
    store.put("keyed.op", "config", Some(&config));
}

fn spawn(settings: &Path, output: &Path) -> Child {
    let open = || {
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(output);
        Stdio::from(file.expect("output file"))
    };
    // The command of the deploy file, with the settings of this test.
    let deploy = fs::read_to_string(DEPLOY_FILE).expect("deploy file");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.expect("command in the deploy file").trim_matches('"');
    let settings = settings.display().to_string();
    let words = run.split(' ').map(|word| {
        if word == SETTINGS {
            settings.as_str()
        } else {
            word
        }
    });
    let words: Vec<&str> = words.collect();
    let mut command = Command::new(words[0]);
    command.args(&words[1..]).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    command.stdin(Stdio::null()).stdout(open()).stderr(open());
    command
        .spawn()
        .unwrap_or_else(|cause| panic!("{run} cannot be started: {cause}"))
}

/// Resident memory of a process in MB.
fn rss_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}
