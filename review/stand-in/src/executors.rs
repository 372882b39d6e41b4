//! Executors, which run tasks on orders under leases.
//!
//! The text of a submission says how its tasks behave: words of the form `key=number`,
//! of which `ms` is the time that a task works (0: until it is stopped) and `fail` the
//! number of runs of each task that fail before one is done.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Connection, Handler, Request},
    json::{Json, object},
    record::{Record, unix_ms},
    store::Store,
};

pub const POOL: &str = "desk";
pub const ZONES: [&str; 3] = ["north", "south", "west"];
const CAPACITY_CPU: u64 = 16_000;
const CAPACITY_MEMORY_MB: u64 = 62_500;

/// Longest lease, as the settings of the nodes say.
pub const MAX_HOLD: Duration = Duration::from_millis(6_000);

/// Time that a stop takes; the pages allow 900 ms.
const STOP: Duration = Duration::from_millis(300);

const HEARTBEAT: Duration = Duration::from_millis(1_100);
const TICK: Duration = Duration::from_millis(5);
const MAX_LISTED_ENDS: usize = 500;

/// Run of a task, as an executor carried it out.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub executor: usize,
    pub born_ms: u64,
    pub started_at: Instant,
    pub ended_at: Option<Instant>,
    pub end: &'static str,
    /// Whether the end was taken note of (`seenUpto` reached it, with the lease in force since).
    pub noted: bool,
}

struct Running {
    run: u64,
    cpu: u64,
    works: Option<Duration>,
    fails: bool,
    started_at: Instant,
    stopping_at: Option<Instant>,
    /// Index in the list of all runs.
    index: usize,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    index: usize,
    /// Number of lapses of the lease before the end.
    lapses: u64,
}

/// One life of an executor.
struct Life {
    id: String,
    born_ms: u64,
    born_at: Instant,
    fence: u64,
    lease_until: Instant,
    lapses: u64,
    running: BTreeMap<String, Running>,
    last_runs: HashMap<String, u64>,
    ended: Vec<Ended>,
    last_end: u64,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.born_at.elapsed().as_millis() as u64
    }

    fn free_cpu(&self) -> u64 {
        let used: u64 = self.running.values().map(|running| running.cpu).sum();
        CAPACITY_CPU.saturating_sub(used)
    }
}

struct State {
    life: Life,
    /// Time from which the executor is back; `None` if it is not down.
    down_until: Option<Instant>,
    lives: u64,
    registered_at: Option<Instant>,
}

/// Executor at a fixed address.
pub struct Executor {
    pub number: usize,
    pub address: SocketAddr,
    world: Arc<World>,
    state: Mutex<State>,
}

/// All executors, and what they ran.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runs: Mutex<Vec<Run>>,
    /// Demand of each step, by submission and step, as the clients sent it.
    pub demands: Mutex<HashMap<String, u64>>,
    failed: Mutex<HashMap<String, u64>>,
}

impl World {
    pub fn new(record: Arc<Record>, store: Arc<Store>) -> Arc<World> {
        Arc::new(World {
            record,
            store,
            runs: Mutex::default(),
            demands: Mutex::default(),
            failed: Mutex::default(),
        })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs lock").clone()
    }
}

fn setting(spec: &str, key: &str) -> Option<u64> {
    let mut words = spec.split_whitespace();
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

/// Submission and step of a task's name.
pub fn step_of(task: &str) -> String {
    let mut parts = task.split('.');
    let id = parts.next().unwrap_or_default();
    let step = parts.nth(1).unwrap_or_default();
    format!("{id}.{step}")
}

impl Executor {
    /// Starts executors.
    pub fn start_all(world: &Arc<World>, count: usize) -> std::io::Result<Vec<Arc<Executor>>> {
        let mut executors = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let executor = Arc::new(Executor {
                number,
                address: listener.local_addr()?,
                world: world.clone(),
                state: Mutex::new(State {
                    life: new_life(format!("e-{number}-1")),
                    down_until: None,
                    lives: 1,
                    registered_at: None,
                }),
            });
            http::serve(listener, executor.clone());
            let ticking = executor.clone();
            thread::spawn(move || {
                loop {
                    ticking.tick();
                    thread::sleep(TICK);
                }
            });
            executors.push(executor);
        }
        Ok(executors)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("executor lock")
    }

    pub fn id(&self) -> String {
        self.lock().life.id.clone()
    }

    /// Crashes silently, as by a loss of power, and starts again after `down`.
    ///
    /// It has the same id again, or a new one. It registers with its first status report, one
    /// interval after the start.
    pub fn crash(&self, down: Duration, same_id: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        let text = format!(
            "executor {} crashes, back in {} ms",
            state.life.id,
            down.as_millis()
        );
        self.world.record.line(&text);
        let mut runs = self.world.runs.lock().expect("runs lock");
        for running in state.life.running.values() {
            runs[running.index].ended_at = Some(now);
            runs[running.index].end = "lost";
        }
        drop(runs);
        state.down_until = Some(now + down);
        state.lives += 1;
        let id = if same_id {
            state.life.id.clone()
        } else {
            self.world.store.put("keyed.servers", &state.life.id, "");
            format!("e-{}-{}", self.number, state.lives)
        };
        state.life = new_life(id);
        state.life.born_ms += down.as_millis() as u64;
        state.life.born_at = now + down;
        state.registered_at = Some(now + down);
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.down_until.is_some_and(|until| now < until) {
            return;
        }
        if state.down_until.take().is_some() {
            let text = format!(
                "executor {} is up, born {}",
                state.life.id, state.life.born_ms
            );
            self.world.record.line(&text);
        }
        if state
            .registered_at
            .is_none_or(|at| now.duration_since(at) >= HEARTBEAT)
        {
            state.registered_at = Some(now);
            self.register(&state.life);
        }
        let lapsed = now >= state.life.lease_until;
        let life = &mut state.life;
        let due = life.running.iter().filter_map(|(task, running)| {
            let how = if lapsed {
                "lapsed"
            } else if running.stopping_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if running.stopping_at.is_none()
                && running
                    .works
                    .is_some_and(|works| running.started_at + works <= now)
            {
                if running.fails { "failed" } else { "done" }
            } else {
                return None;
            };
            Some((task.clone(), how))
        });
        let due: Vec<_> = due.collect();
        if lapsed && !due.is_empty() {
            life.lapses += 1;
        }
        for (task, how) in due {
            self.end(life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(running) = life.running.remove(task) else {
            return;
        };
        if how == "failed" {
            let mut failed = self.world.failed.lock().expect("failed lock");
            *failed.entry(task.to_owned()).or_default() += 1;
        }
        life.last_runs.insert(task.to_owned(), running.run);
        life.last_end += 1;
        life.ended.push(Ended {
            number: life.last_end,
            task: task.to_owned(),
            run: running.run,
            how,
            index: running.index,
            lapses: life.lapses,
        });
        let mut runs = self.world.runs.lock().expect("runs lock");
        runs[running.index].ended_at = Some(Instant::now());
        runs[running.index].end = how;
        drop(runs);
        let text = format!("run {task} {} on {}: {how}", running.run, life.id);
        self.world.record.line(&text);
    }

    fn register(&self, life: &Life) {
        let entry = object([
            ("service", POOL.into()),
            ("addr", self.address.to_string().into()),
            ("zone", ZONES[self.number % ZONES.len()].into()),
            ("version", "1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            ("seq", unix_ms().into()),
            ("born", life.born_ms.into()),
            (
                "capacity",
                object([
                    ("cpu", CAPACITY_CPU.into()),
                    ("memMb", CAPACITY_MEMORY_MB.into()),
                    ("gpu", 0.into()),
                ]),
            ),
            (
                "labels",
                Json::List(vec!["a".into(), format!("rack-{}", self.number % 4).into()]),
            ),
        ]);
        let store = &self.world.store;
        store.put("keyed.servers", &life.id, &entry.to_string());
    }

    fn start(&self, life: &mut Life, body: &Json) -> (u16, Option<&'static str>) {
        let (Some(task), Some(run), Some(spec)) =
            (body.text("task"), body.number("run"), body.text("spec"))
        else {
            return (400, None);
        };
        let deadline_ms = body.number("deadlineMs").unwrap_or(0);
        extend(life, deadline_ms);
        if let Some(running) = life.running.get(task) {
            return if running.run == run {
                (200, None)
            } else {
                (409, Some("old"))
            };
        }
        if life.last_runs.get(task).is_some_and(|&last| last >= run) {
            return (409, Some("old"));
        }
        if deadline_ms <= life.clock_ms() {
            return (409, Some("late"));
        }
        let cpu = *self
            .world
            .demands
            .lock()
            .expect("demands lock")
            .get(&step_of(task))
            .unwrap_or(&0);
        if cpu > life.free_cpu() {
            return (409, Some("room"));
        }
        let ms = setting(spec, "ms").unwrap_or(500);
        let failed = *self
            .world
            .failed
            .lock()
            .expect("failed lock")
            .get(task)
            .unwrap_or(&0);
        let mut runs = self.world.runs.lock().expect("runs lock");
        runs.push(Run {
            task: task.to_owned(),
            run,
            executor: self.number,
            born_ms: life.born_ms,
            started_at: Instant::now(),
            ended_at: None,
            end: "",
            noted: false,
        });
        let running = Running {
            run,
            cpu,
            works: (ms > 0).then(|| Duration::from_millis(ms)),
            fails: failed < setting(spec, "fail").unwrap_or(0),
            started_at: Instant::now(),
            stopping_at: None,
            index: runs.len() - 1,
        };
        drop(runs);
        life.running.insert(task.to_owned(), running);
        let text = format!(
            "run {task} {run} on {} (born {}): started",
            life.id, life.born_ms
        );
        self.world.record.line(&text);
        (200, None)
    }

    fn stop(&self, life: &mut Life, body: &Json) -> (u16, Option<&'static str>) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, None);
        };
        if let Some(running) = life.running.get_mut(task)
            && running.run <= run
        {
            running.stopping_at.get_or_insert(Instant::now() + STOP);
            return (200, None);
        }
        let last = life.last_runs.entry(task.to_owned()).or_default();
        *last = run.max(*last);
        (200, None)
    }

    fn note_ends(&self, life: &mut Life, seen_upto: u64) {
        let lapses = life.lapses;
        let mut runs = self.world.runs.lock().expect("runs lock");
        for end in &life.ended {
            if end.number <= seen_upto && end.lapses == lapses {
                runs[end.index].noted = true;
            }
        }
        life.ended.retain(|end| end.number > seen_upto);
    }
}

fn new_life(id: String) -> Life {
    Life {
        id,
        born_ms: unix_ms(),
        born_at: Instant::now(),
        fence: 0,
        lease_until: Instant::now(),
        lapses: 0,
        running: BTreeMap::new(),
        last_runs: HashMap::new(),
        ended: Vec::new(),
        last_end: 0,
    }
}

fn extend(life: &mut Life, deadline_ms: u64) {
    let deadline = life.born_at + Duration::from_millis(deadline_ms);
    let deadline = deadline.min(Instant::now() + MAX_HOLD);
    life.lease_until = life.lease_until.max(deadline);
}

/// Answer to `hold`, which says of itself when the executor was born.
fn report(life: &Life) -> Json {
    let running = life.running.iter().map(|(task, running)| {
        let percent = running.works.map_or(100, |works| {
            let passed = running.started_at.elapsed().as_millis() * 100;
            (passed / works.as_millis().max(1)).min(99) as u64
        });
        let measured = if running.works.is_some() {
            running.cpu
        } else {
            5
        };
        Json::List(vec![
            task.clone().into(),
            running.run.into(),
            "".into(),
            percent.into(),
            measured.into(),
        ])
    });
    let ended = life.ended.iter().take(MAX_LISTED_ENDS).map(|end| {
        Json::List(vec![
            end.number.into(),
            end.task.clone().into(),
            end.run.into(),
            end.how.into(),
            "".into(),
        ])
    });
    object([
        ("clockMs", life.clock_ms().into()),
        ("born", life.born_ms.into()),
        ("runningTasks", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}

impl Handler for Executor {
    fn handle(&self, connection: &Connection, request: Request) -> Answer {
        let mut state = self.lock();
        if let Some(until) = state.down_until {
            // The machine does not respond; after it is back, it resets the connection.
            drop(state);
            thread::sleep(until.saturating_duration_since(Instant::now()));
            return Answer::Close;
        }
        if connection.opened_at < state.life.born_at {
            return Answer::Close;
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else {
            return Answer::Send(400, b"{}".to_vec());
        };
        let intended = request.headers.get("x-target-instance");
        if intended.is_some_and(|id| *id != state.life.id) {
            return Answer::Send(421, b"{}".to_vec());
        }
        let life = &mut state.life;
        let fence = body.number("fence").unwrap_or(0);
        if fence < life.fence {
            let refused = object([
                ("clockMs", life.clock_ms().into()),
                ("reason", "fence".into()),
            ]);
            return Answer::Send(409, refused.to_string().into_bytes());
        }
        life.fence = fence;
        if request.path == "/hold" {
            self.note_ends(life, body.number("seenUpto").unwrap_or(0));
            if let Some(deadline_ms) = body.number("deadlineMs") {
                extend(life, deadline_ms);
            }
            let born_at = life.born_at;
            let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0));
            let deadline = Instant::now() + wait;
            while state.life.ended.is_empty() && Instant::now() < deadline {
                drop(state);
                thread::sleep(TICK);
                state = self.lock();
                if state.life.born_at != born_at {
                    return Answer::Silence;
                }
            }
            return Answer::Send(200, report(&state.life).to_string().into_bytes());
        }
        let (status, reason) = match &*request.path {
            "/run-start" => self.start(life, &body),
            "/run-stop" => self.stop(life, &body),
            "/pace" => (200, None),
            _ => (400, None),
        };
        let mut answer = vec![("clockMs".to_owned(), life.clock_ms().into())];
        if let Some(reason) = reason {
            answer.push(("reason".to_owned(), reason.into()));
        }
        Answer::Send(status, Json::Object(answer).to_string().into_bytes())
    }
}
