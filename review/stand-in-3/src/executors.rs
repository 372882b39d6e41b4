//! Stand-ins of executors, as PROTOCOL.md describes them.
//!
//! A run takes as long as the text of its submission says (`ms=400`).

use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Call, Reply},
    json::{Json, Quoted},
    record::Record,
    store::Store,
};

/// Name of the only service.
pub const SERVICE: &str = "slagac";

/// Zones, which executors and nodes are in by turns.
pub const ZONES: [&str; 3] = ["split-a", "zadar-b", "rijeka-c"];

/// Longest lease.
pub const MAX_HOLD_MS: u64 = 6_000;

/// Interval at which an executor writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Interval at which runs are checked for their end.
const CHECK: Duration = Duration::from_millis(5);

/// Cores of an executor, in thousandths.
const CPU_MILLI: u64 = 32_000;

struct Running {
    run: u64,
    since: Instant,
    length: Duration,
    cpu_milli: u64,
}

struct State {
    /// Unix time of the start, in milliseconds.
    born_ms: u64,
    started: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Running>,
    /// Highest run of each task that ended or was stopped.
    highest: BTreeMap<String, u64>,
    /// Number, task, run and kind of the ends that are not seen yet.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

impl State {
    fn born(born_ms: u64, started: Instant) -> State {
        State {
            born_ms,
            started,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn answer(&self, status: u16, members: &str) -> Reply {
        let (clock_ms, born_ms) = (self.clock_ms(), self.born_ms);
        let body = format!("{{\"clockMs\":{clock_ms},\"born\":{born_ms}{members}}}");
        Some((status, body.into_bytes()))
    }

    fn refuse(&self, reason: &str) -> Reply {
        self.answer(409, &format!(",\"reason\":\"{reason}\""))
    }
}

struct Executor {
    id: String,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    busy_milli: Arc<AtomicU64>,
}

/// Processors of all executors, in thousandths of a core.
pub struct Processors {
    busy_milli: Arc<AtomicU64>,
    all_milli: u64,
}

impl Processors {
    /// Whether less than half of them are in use.
    pub fn are_half_free(&self) -> bool {
        self.busy_milli.load(Ordering::Relaxed) * 2 < self.all_milli
    }
}

/// Starts executors and lists them in the store.
pub fn start(count: usize, store: &Arc<Store>, record: &Arc<Record>) -> io::Result<Processors> {
    let busy_milli = Arc::new(AtomicU64::new(0));
    for number in 0..count {
        let executor = Arc::new(Executor {
            id: format!("i-{number:08x}"),
            state: Mutex::new(State::born(unix_ms(), Instant::now())),
            changed: Condvar::new(),
            record: record.clone(),
            busy_milli: busy_milli.clone(),
        });
        let served = executor.clone();
        let address = http::serve(move |call| served.handle(&call))?;
        let ending = executor.clone();
        thread::spawn(move || {
            loop {
                ending.end_due();
                thread::sleep(CHECK);
            }
        });
        let store = store.clone();
        thread::spawn(move || {
            for seq in 0.. {
                let entry = executor.entry(number, address, seq);
                store.put("keyed.servers", &executor.id, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
    }
    Ok(Processors {
        busy_milli,
        all_milli: count as u64 * CPU_MILLI,
    })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

impl Executor {
    fn entry(&self, number: usize, address: SocketAddr, seq: u64) -> String {
        format!(
            "{{\"service\":\"{SERVICE}\",\"addr\":\"{address}\",\"zone\":\"{}\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{},\"capacity\":{{\"cpu\":{CPU_MILLI},\"memMb\":128000,\"gpu\":0}},\"labels\":[\"a\",\"r1-{}\"]}}",
            ZONES[number % ZONES.len()],
            self.state().born_ms,
            number / 2
        )
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_due(&self) {
        let mut state = self.state();
        let has_lapsed = state.clock_ms() > state.lease_until_ms;
        let due = state.running.iter().filter_map(|(task, running)| {
            let is_done = running.since.elapsed() >= running.length;
            let kind = if is_done { "done" } else { "lapsed" };
            (is_done || has_lapsed).then(|| (task.clone(), kind))
        });
        let due: Vec<_> = due.collect();
        for (task, kind) in &due {
            self.end(&mut state, task, kind);
        }
        if !due.is_empty() {
            self.changed.notify_all();
        }
    }

    fn end(&self, state: &mut State, task: &str, kind: &'static str) {
        if let Some(running) = state.running.remove(task) {
            self.busy_milli
                .fetch_sub(running.cpu_milli, Ordering::Relaxed);
            state.highest.insert(task.to_owned(), running.run);
            state.last_end += 1;
            let number = state.last_end;
            state
                .ended
                .push((number, task.to_owned(), running.run, kind));
            self.record
                .line(&format!("run {task} {} {kind} on {}", running.run, self.id));
        }
    }

    fn answer(&self, status: u16, members: &str) -> Reply {
        self.state().answer(status, members)
    }

    fn handle(&self, call: &Call) -> Reply {
        if call.path == "/health" {
            return self.answer(200, "");
        }
        if call
            .headers
            .get("x-target-instance")
            .is_some_and(|id| *id != self.id)
        {
            return self.answer(421, "");
        }
        let Some(body) = Json::parse(&call.body) else {
            return self.answer(400, "");
        };
        let fence = body.number("fence").unwrap_or(0);
        {
            let mut state = self.state();
            if fence < state.fence {
                return state.refuse("fence");
            }
            state.fence = fence;
            if let Some(deadline_ms) = body.number("deadlineMs") {
                let longest_ms = state.clock_ms() + MAX_HOLD_MS;
                let until_ms = deadline_ms.min(longest_ms);
                state.lease_until_ms = state.lease_until_ms.max(until_ms);
            }
        }
        match call.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/pace" => self.answer(200, ""),
            "/hold" => self.hold(&body),
            _ => self.answer(404, ""),
        }
    }

    fn start(&self, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return self.answer(400, "");
        };
        let spec = body.text("spec").unwrap_or_default();
        let value_of = |name: &str| {
            let mut words = spec.split_whitespace();
            let value = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse().ok())
        };
        let cpu_milli = value_of("cpu").unwrap_or(1_000);
        let mut state = self.state();
        let running = state.running.get(task).map(|running| running.run);
        if running == Some(run) {
            return state.answer(200, "");
        }
        let highest = state.highest.get(task).copied().unwrap_or(0);
        if running.is_some() || highest >= run {
            return state.refuse("old");
        }
        if body
            .number("deadlineMs")
            .is_none_or(|at| at < state.clock_ms())
        {
            return state.refuse("late");
        }
        let used: u64 = state
            .running
            .values()
            .map(|running| running.cpu_milli)
            .sum();
        if used + cpu_milli > CPU_MILLI {
            return state.refuse("room");
        }
        let running = Running {
            run,
            since: Instant::now(),
            length: Duration::from_millis(value_of("ms").unwrap_or(400)),
            cpu_milli,
        };
        state.running.insert(task.to_owned(), running);
        self.busy_milli.fetch_add(cpu_milli, Ordering::Relaxed);
        self.record
            .line(&format!("run {task} {run} started on {}", self.id));
        state.answer(200, "")
    }

    fn stop(&self, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return self.answer(400, "");
        };
        let mut state = self.state();
        let running = state.running.get(task).map(|running| running.run);
        if running.is_some_and(|running| running <= run) {
            self.end(&mut state, task, "stopped");
            self.changed.notify_all();
        }
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        state.answer(200, "")
    }

    fn hold(&self, body: &Json) -> Reply {
        let seen = body.number("seenUpto").unwrap_or(0);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        state.ended.retain(|(number, ..)| *number > seen);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let mut rows = String::new();
        for (task, running) in &state.running {
            let comma = if rows.is_empty() { "" } else { "," };
            let part = running.since.elapsed().as_secs_f64() / running.length.as_secs_f64();
            let percent = (part * 100.0).min(99.0) as u64;
            let (run, cpu_milli) = (running.run, running.cpu_milli);
            let task = Quoted(task);
            let _ = write!(rows, "{comma}[{task},{run},\"\",{percent},{cpu_milli}]");
        }
        let mut ended = String::new();
        for (number, task, run, kind) in state.ended.iter().take(500) {
            let comma = if ended.is_empty() { "" } else { "," };
            let task = Quoted(task);
            let _ = write!(ended, "{comma}[{number},{task},{run},\"{kind}\",\"\"]");
        }
        drop(state);
        self.answer(
            200,
            &format!(",\"runningTasks\":[{rows}],\"ended\":[{ended}]"),
        )
    }
}
