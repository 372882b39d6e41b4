//! Stand-in of an executor that guards its capacity.
//!
//! A submission's `spec` tells the executor what the tasks do: `ms=A,B,..` is the run time of the
//! tasks of step 0, 1, .. (the last one holds for all further steps), `cpu=N` what each takes.
//! A task of a submission with `lasts` in its `spec` runs until it is stopped.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Answer, Request, Server},
    record::Log,
    store::{Store, answer},
};

pub const POOL: &str = "pool-1";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const CPU_MILLI: u64 = 16_000;
const MAX_HOLD: Duration = Duration::from_millis(6_000);
const STOP: Duration = Duration::from_millis(50);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_ENDS: usize = 500;

/// Time for which a channel to a process that had no power hangs at least.
const HANGS: Duration = Duration::from_millis(3_000);

/// Start or end of a run, in the order in which executors saw them.
#[derive(Clone, Debug)]
pub struct Seen {
    pub task: String,
    /// `None` for a start.
    pub end: Option<&'static str>,
}

/// All that executors saw.
#[derive(Clone, Default)]
pub struct Board(Arc<Mutex<Vec<Seen>>>);

impl Board {
    fn add(&self, seen: Seen) {
        self.0.lock().unwrap().push(seen);
    }

    pub fn all(&self) -> Vec<Seen> {
        self.0.lock().unwrap().clone()
    }

    /// What was seen of the tasks of a submission.
    pub fn of(&self, id: &str) -> Vec<Seen> {
        let all = self.0.lock().unwrap();
        all.iter()
            .filter(|seen| seen.task.starts_with(id))
            .cloned()
            .collect()
    }
}

struct Run {
    run: u64,
    cpu_milli: u64,
    began: Instant,
    /// `None` for a task that lasts.
    ends: Option<Instant>,
    stops: Option<Instant>,
}

struct State {
    /// Start of the process, in Unix milliseconds.
    born: u64,
    began: Instant,
    fence: u64,
    lease: Instant,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    over: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    is_lost: bool,
    /// Whether the machine has no power; a new process starts once it has.
    is_dark: bool,
    /// Number of the process on the machine.
    life: u64,
    /// Time until which the executor is cut off and runs on.
    cut_until: Option<Instant>,
    /// Time at which the request for the lists came that is waiting for an end.
    held_since: Option<Instant>,
}

impl State {
    /// State of a process that has just started.
    fn new() -> State {
        let since_1970 = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let now = Instant::now();
        State {
            born: since_1970.as_millis() as u64,
            began: now,
            fence: 0,
            lease: now,
            running: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            is_lost: false,
            is_dark: false,
            life: 0,
            cut_until: None,
            held_since: None,
        }
    }

    /// Whether nothing gets through to or from the executor.
    fn is_off(&self) -> bool {
        self.is_lost || self.is_dark || self.cut_until.is_some_and(|until| Instant::now() < until)
    }
}

struct Shared {
    id: String,
    state: Mutex<State>,
    changed: Condvar,
    board: Board,
    log: Log,
    /// Whether each start and end is written to the record.
    is_verbose: bool,
    /// Whether answers to orders leave `born` out, as on the pages.
    is_plain: bool,
}

/// Running executor.
pub struct Executor {
    shared: Arc<Shared>,
    server: Server,
    entry: Value,
    store: Arc<Store>,
}

impl Executor {
    pub fn start(
        number: usize,
        store: &Arc<Store>,
        board: &Board,
        log: &Log,
        is_verbose: bool,
        is_plain: bool,
    ) -> Arc<Executor> {
        let since_1970 = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let shared = Arc::new(Shared {
            id: format!(
                "i-{number:04x}{:06x}",
                since_1970.subsec_nanos() & 0xff_ffff
            ),
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
            board: board.clone(),
            log: log.clone(),
            is_verbose,
            is_plain,
        });
        let handled = shared.clone();
        let server = Server::start(move |request| handled.handle(&request));
        let rack = format!("r1-{number}");
        let born = shared.state.lock().unwrap().born;
        let entry = json!({
            "service": POOL, "addr": server.address.to_string(), "zone": ZONES[number % ZONES.len()],
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "labels": ["a", rack],
            "capacity": { "cpu": CPU_MILLI, "memMb": 64_000, "gpu": 0 }, "born": born, "seq": 1,
        });
        let executor = Arc::new(Executor {
            shared: shared.clone(),
            server,
            entry,
            store: store.clone(),
        });
        executor.register();
        let ticking = shared.clone();
        thread::spawn(move || {
            while !ticking.tick() {
                thread::sleep(Duration::from_millis(2));
            }
        });
        let beating = executor.clone();
        thread::spawn(move || {
            let mut seq = 1;
            loop {
                thread::sleep(HEARTBEAT);
                let (is_lost, is_dark, born) = {
                    let state = beating.shared.state.lock().unwrap();
                    (state.is_lost, state.is_dark, state.born)
                };
                if is_lost {
                    return;
                }
                if is_dark {
                    continue;
                }
                seq += 1;
                let mut entry = beating.entry.clone();
                entry["born"] = born.into();
                entry["seq"] = seq.into();
                beating
                    .store
                    .put("keyed.servers", &beating.shared.id, Some(&entry));
            }
        });
        executor
    }

    fn register(&self) {
        self.store
            .put("keyed.servers", &self.shared.id, Some(&self.entry));
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Takes the executor away for good: it says nothing more, and its entry goes after three
    /// intervals of silence.
    pub fn lose(&self) {
        let lost: Vec<String> = {
            let mut state = self.shared.state.lock().unwrap();
            state.is_lost = true;
            let running = std::mem::take(&mut state.running);
            for (task, run) in &running {
                self.shared.see(task, run.run, Some("lost"));
            }
            running.into_keys().collect()
        };
        self.shared.log.line(&format!(
            "executor {} is lost for good, with {} runs: {}",
            self.shared.id,
            lost.len(),
            lost.join(" ")
        ));
        self.server.stop();
        let (store, id) = (self.store.clone(), self.shared.id.clone());
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            store.put("keyed.servers", &id, None);
        });
    }

    /// Takes the power away for a time; then a new process starts under the same id and address, and
    /// registers with its first status report.
    pub fn lose_power(self: &Arc<Self>, time: Duration) {
        let lost = {
            let mut state = self.shared.state.lock().unwrap();
            state.is_dark = true;
            let running = std::mem::take(&mut state.running);
            for (task, run) in &running {
                self.shared.see(task, run.run, Some("lost"));
            }
            running.len()
        };
        let id = &self.shared.id;
        self.shared.log.line(&format!(
            "executor {id} has no power for {} ms, and loses {lost} runs",
            time.as_millis()
        ));
        let executor = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            let mut state = executor.shared.state.lock().unwrap();
            let life = state.life + 1;
            *state = State {
                life,
                ..State::new()
            };
        });
    }

    /// Cuts the executor off from all machines of the system for a time; it runs on.
    pub fn cut(&self, time: Duration) {
        let mut state = self.shared.state.lock().unwrap();
        state.cut_until = Some(Instant::now() + time);
        let held_ms = state
            .held_since
            .map_or(0, |since| since.elapsed().as_millis());
        drop(state);
        self.shared.log.line(&format!(
            "executor {} is cut off for {} ms, {held_ms} ms after the last request for its lists",
            self.shared.id,
            time.as_millis()
        ));
    }

    /// Age of the request for the lists that waits for an end.
    pub fn held_for(&self) -> Option<Duration> {
        let state = self.shared.state.lock().unwrap();
        state.held_since.map(|since| since.elapsed())
    }

    /// Tasks that run, with the time since their start.
    pub fn running(&self) -> Vec<(String, Duration)> {
        let state = self.shared.state.lock().unwrap();
        let running = state.running.iter();
        running
            .map(|(task, run)| (task.clone(), run.began.elapsed()))
            .collect()
    }

    /// CPU in use, in thousandths of a core.
    pub fn used_milli(&self) -> u64 {
        let state = self.shared.state.lock().unwrap();
        state.running.values().map(|run| run.cpu_milli).sum()
    }

    /// Number of ends that are not taken note of.
    pub fn listed_ends(&self) -> usize {
        self.shared.state.lock().unwrap().ended.len()
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        if let Some(ms) = deadline_ms {
            let deadline = self.began + Duration::from_millis(ms);
            self.lease = self.lease.max(deadline.min(Instant::now() + MAX_HOLD));
        }
    }
}

impl Shared {
    /// Ends what is due; returns whether the executor is lost.
    fn tick(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = now > state.lease;
        let due = state.running.iter().filter_map(|(task, run)| {
            let how = if run.stops.is_some_and(|at| at <= now) {
                "stopped"
            } else if run.ends.is_some_and(|at| at <= now) {
                "done"
            } else if lapsed {
                "lapsed"
            } else {
                return None;
            };
            Some((task.clone(), how))
        });
        for (task, how) in due.collect::<Vec<_>>() {
            self.end(&mut state, &task, how);
        }
        state.is_lost
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.over.insert(task.to_owned(), run.run);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), run.run, how));
        self.see(task, run.run, Some(how));
        self.changed.notify_all();
    }

    fn see(&self, task: &str, run: u64, end: Option<&'static str>) {
        if self.is_verbose {
            let what = end.unwrap_or("begins");
            self.log
                .line(&format!("executor {}: {task} run {run} {what}", self.id));
        }
        self.board.add(Seen {
            task: task.to_owned(),
            end,
        });
    }

    fn answer(&self, state: &State, status: u16, mut body: Value) -> Answer {
        body["clockMs"] = state.clock_ms().into();
        if !self.is_plain || body.get("runningTasks").is_some() {
            body["born"] = state.born.into();
        }
        answer(status, &body)
    }

    fn handle(&self, request: &Request) -> Answer {
        let mut state = self.state.lock().unwrap();
        if state.is_off() {
            return self.drop_request(state);
        }
        if request
            .header("x-target-instance")
            .is_some_and(|id| id != self.id)
        {
            return self.answer(&state, 421, json!({}));
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return self.answer(&state, 400, json!({}));
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.answer(&state, 409, json!({ "reason": "fence" }));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut state, &body),
            "/run-stop" => self.run_stop(&mut state, &body),
            "/pace" => self.answer(&state, 200, json!({})),
            "/hold" => {
                state.extend(body["deadlineMs"].as_u64());
                let seen = body["seenUpto"].as_u64().unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > seen);
                let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                state.held_since = Some(Instant::now());
                let life = state.life;
                while state.ended.is_empty() && !state.is_off() && state.life == life {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if state.is_off() || state.life != life {
                    return self.drop_request(state);
                }
                state.held_since = None;
                self.lists(&state)
            }
            _ => self.answer(&state, 404, json!({})),
        }
    }

    /// Loses a request or its answer: a cut or a loss of power swallows it without a word.
    fn drop_request(&self, state: MutexGuard<'_, State>) -> Answer {
        let until = state.cut_until.filter(|_| !state.is_lost);
        let was_dark = state.is_dark || state.life > 0;
        drop(state);
        if let Some(until) = until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        } else if was_dark {
            thread::sleep(HANGS);
        }
        None
    }

    fn lists(&self, state: &State) -> Answer {
        let row = |(task, run): (&String, &Run)| {
            let (percent, figure) = match run.ends {
                None => (100, 1),
                Some(ends) => {
                    let whole = (ends - run.began).as_secs_f64().max(0.001);
                    let done = run.began.elapsed().as_secs_f64() / whole;
                    ((done * 100.0).min(99.0) as u64, run.cpu_milli)
                }
            };
            json!([task, run.run, "", percent, figure])
        };
        let ended = state.ended.iter().take(MAX_ENDS);
        let ended = ended.map(|(number, task, run, how)| json!([number, task, run, how, ""]));
        let running: Vec<_> = state.running.iter().map(row).collect();
        let lists = json!({ "runningTasks": running, "ended": ended.collect::<Vec<_>>() });
        self.answer(state, 200, lists)
    }

    fn run_start(&self, state: &mut State, body: &Value) -> Answer {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return self.answer(state, 400, json!({}));
        };
        let spec = body["spec"].as_str().unwrap_or_default();
        let cpu_milli = numbers(spec, "cpu=").first().copied().unwrap_or(100);
        let known = state.running.get(task).map(|known| known.run);
        if known == Some(run) {
            return self.answer(state, 200, json!({}));
        }
        let clock_ms = state.clock_ms();
        let is_late = body["deadlineMs"].as_u64().is_some_and(|ms| ms <= clock_ms);
        let used: u64 = state.running.values().map(|run| run.cpu_milli).sum();
        let is_old = known.is_some() || state.over.get(task).is_some_and(|last| *last >= run);
        let reason = if is_old {
            Some("old")
        } else if is_late {
            Some("late")
        } else if used + cpu_milli > CPU_MILLI {
            Some("room")
        } else {
            None
        };
        if reason != Some("late") {
            state.extend(body["deadlineMs"].as_u64());
        }
        if let Some(reason) = reason {
            return self.answer(state, 409, json!({ "reason": reason }));
        }
        let began = Instant::now();
        let step = task
            .split('.')
            .nth(2)
            .and_then(|step| step.parse::<usize>().ok());
        let times = numbers(spec, "ms=");
        let ms = times
            .get(step.unwrap_or(0))
            .or(times.last())
            .copied()
            .unwrap_or(100);
        let ends = (!spec.contains("lasts")).then(|| began + Duration::from_millis(ms));
        let new = Run {
            run,
            cpu_milli,
            began,
            ends,
            stops: None,
        };
        state.running.insert(task.to_owned(), new);
        self.see(task, run, None);
        self.answer(state, 200, json!({}))
    }

    fn run_stop(&self, state: &mut State, body: &Value) -> Answer {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return self.answer(state, 400, json!({}));
        };
        if let Some(running) = state.running.get_mut(task)
            && running.run <= run
        {
            running.stops.get_or_insert(Instant::now() + STOP);
        }
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.max(*over);
        self.answer(state, 200, json!({}))
    }
}

/// Numbers behind a word of a `spec`.
fn numbers(spec: &str, word: &str) -> Vec<u64> {
    let found = spec.split(' ').find_map(|part| part.strip_prefix(word));
    let list = found.unwrap_or_default().split(',');
    list.filter_map(|number| number.parse().ok()).collect()
}
