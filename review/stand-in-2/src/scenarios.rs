//! Scenarios of the review, one for each case.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use crate::{
    Scenario, Verdict,
    platform::{World, answer_orders_plainly, submission},
    record::Log,
};

pub const ALL: &[(&str, Scenario)] = &[
    ("periodic", periodic),
    ("restarts", restarts),
    ("cut-executors", cut_executors),
    ("schedule", schedule),
    ("lost-executor", lost_executor),
];

/// Time for which a submission may have nothing running while its turn has come.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Memory of a machine of the small deployments.
const MEMORY_MB: u64 = 260;

const NOT_SERVING: Verdict = Verdict::NotRun("the system does not serve");

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn unix_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |since| since.as_millis() as u64)
}

fn texts(answers: &[Option<u16>]) -> String {
    let text = |answer: &Option<u16>| answer.map_or("none".to_owned(), |status| status.to_string());
    answers.iter().map(text).collect::<Vec<_>>().join(" ")
}

fn is_accepted(answers: &[Option<u16>]) -> bool {
    answers
        .last()
        .copied()
        .flatten()
        .is_some_and(|status| (200..300).contains(&status))
}

/// A submission of a consumer whose tasks are watched at the executors.
#[derive(Clone)]
struct Watched {
    id: String,
    path: String,
    /// Number of tasks of each step; each step comes after the one before.
    steps: Vec<usize>,
    /// Since when a task has been due and nothing has run.
    idle_since: Option<Instant>,
    longest_idle: Duration,
}

impl Watched {
    fn new(id: String, path: String, steps: Vec<usize>) -> Watched {
        Watched {
            id,
            path,
            steps,
            idle_since: None,
            longest_idle: Duration::ZERO,
        }
    }

    /// Whether all tasks have ended done.
    fn is_done(&self, world: &World) -> bool {
        self.done(world) == self.steps
    }

    /// Number of tasks of each step that have ended done.
    fn done(&self, world: &World) -> Vec<usize> {
        let mut done = vec![0; self.steps.len()];
        for seen in world.board.of(&self.id) {
            let step = seen
                .task
                .split('.')
                .nth(2)
                .and_then(|step| step.parse::<usize>().ok());
            if seen.end == Some("done")
                && let Some(count) = step.and_then(|step| done.get_mut(step))
            {
                *count += 1;
            }
        }
        done
    }

    /// Looks whether nothing runs while a task's turn has come and under half of the capacity is in use.
    fn look(&mut self, world: &World) {
        let seen = world.board.of(&self.id);
        let begun = seen.iter().filter(|seen| seen.end.is_none()).count();
        let ended = seen.iter().filter(|seen| seen.end.is_some()).count();
        let is_due = !self.is_done(world);
        if is_due && begun == ended && world.used_share() < 0.5 {
            let since = *self.idle_since.get_or_insert_with(Instant::now);
            self.longest_idle = self.longest_idle.max(since.elapsed());
        } else {
            self.idle_since = None;
        }
    }
}

/// Watches submissions for a time; returns how many had nothing running for longer than the limit.
fn watch(world: &World, watched: &mut [Watched], time: Duration) -> usize {
    let until = Instant::now() + time;
    while Instant::now() < until {
        watched
            .iter_mut()
            .for_each(|submission| submission.look(world));
        if watched.iter().all(|submission| submission.is_done(world)) {
            break;
        }
        sleep(s(0.05));
    }
    let mut broken = 0;
    for submission in watched.iter() {
        let is_idle = submission.longest_idle > IDLE_LIMIT;
        broken += usize::from(is_idle);
        world.log.line(&format!(
            "submission {}: done tasks by step {:?} of {:?}; longest time with nothing running while a \
             task was due: {:.1} s{}",
            submission.id,
            submission.done(world),
            submission.steps,
            submission.longest_idle.as_secs_f64(),
            if is_idle { " (over 3 s)" } else { "" },
        ));
    }
    broken
}

/// Hands ordinary submissions in and watches them for the time in which they have to be known.
fn probe(world: &World, log: &Log, prefix: &str, count: usize) -> Option<usize> {
    let steps = json!([
        { "count": 2, "cpu": 500, "memMb": 100, "estRuntimeMs": 300 },
        { "count": 2, "cpu": 500, "memMb": 100, "estRuntimeMs": 300, "after": [0] },
    ]);
    let body = submission("ms=300 cpu=500", &steps);
    let mut watched = Vec::new();
    for number in 0..count {
        let id = format!("{prefix}{number:04x}");
        let path = format!("/alpha/{id}");
        let answers = world.submit(number, &path, &body);
        log.line(&format!("consumer: POST {path}: {}", texts(&answers)));
        if is_accepted(&answers) {
            watched.push(Watched::new(id, path, vec![2, 2]));
        }
    }
    if watched.is_empty() {
        return None;
    }
    let idle = watch(world, &mut watched, s(14.0));
    sleep(s(0.5));
    for submission in &watched {
        let state = world.state_anywhere(&submission.path);
        log.line(&format!("consumer: GET {}: {state}", submission.path));
    }
    for executor in world.executors.lock().unwrap().iter() {
        log.line(&format!(
            "executor {} at {}: {} ends listed that nobody has taken note of",
            executor.id(),
            executor.address(),
            executor.listed_ends()
        ));
    }
    Some(idle)
}

fn verdict_of(idle: Option<usize>) -> Verdict {
    match idle {
        None => Verdict::NotRun("no ordinary submission is accepted"),
        Some(0) => Verdict::Held,
        Some(_) => Verdict::Broken,
    }
}

/// A submission with many occurrences runs, and ordinary ones come after it.
fn periodic(log: &Log, directory: PathBuf, has_trouble: bool) -> (Arc<World>, Verdict) {
    let world = World::start(log, &directory, 4, false, &["alpha"], MEMORY_MB);
    if !world.is_serving("alpha", "00000000000000c0", s(25.0)) {
        return (world, NOT_SERVING);
    }
    let repetitions = if has_trouble { 2_400 } else { 600 };
    let step = json!({ "count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 20 });
    let body = json!({
        "spec": "ms=20 cpu=100", "steps": [step, step, step, step], "repetitions": repetitions,
        "startAtMs": unix_ms(), "intervalMs": 25,
    });
    let id = "d00d00d00d00d00d";
    let path = format!("/alpha/{id}");
    let answers = world.submit(0, &path, &body.to_string());
    log.line(&format!(
        "consumer: POST {path}, {repetitions} repetitions of 4 steps: {}",
        texts(&answers)
    ));
    if !is_accepted(&answers) {
        return (world, Verdict::NotRun("the submission is not accepted"));
    }
    // Until its occurrences have run, or nothing of them runs any more.
    let (mut last, mut last_at) = (0, Instant::now());
    let until = Instant::now() + s(75.0);
    while Instant::now() < until && last_at.elapsed() < s(4.0) {
        sleep(s(0.5));
        let ends = world
            .board
            .all()
            .iter()
            .filter(|seen| seen.end.is_some())
            .count();
        if ends != last {
            (last, last_at) = (ends, Instant::now());
        }
    }
    log.line(&format!(
        "executors: {last} runs have ended; the submission's state: {}",
        world.state_anywhere(&path)
    ));
    let idle = probe(&world, log, "d1d1d1d1d1d1", 4);
    (world, verdict_of(idle))
}

/// Executors are lost for good, one at a time.
fn lost_executor(log: &Log, directory: PathBuf, has_trouble: bool) -> (Arc<World>, Verdict) {
    let world = World::start(log, &directory, 8, false, &["alpha"], MEMORY_MB);
    // Long enough for another machine to take the shard over.
    world.restart_after(s(2.0));
    if !world.is_serving("alpha", "00000000000000f0", s(25.0)) {
        return (world, NOT_SERVING);
    }
    let over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (load, is_over) = (world.clone(), over.clone());
    // A steady load of short tasks on all executors.
    let sender = thread::spawn(move || {
        let steps = json!([{ "count": 12, "cpu": 1000, "memMb": 10, "estRuntimeMs": 800 }]);
        let body = submission("ms=800 cpu=1000", &steps);
        let mut number = 0_usize;
        while !is_over.load(std::sync::atomic::Ordering::SeqCst) {
            let path = format!("/alpha/{:016x}", 0xf100_0000_0000_0000_u64 + number as u64);
            let load = load.clone();
            let body = body.clone();
            thread::spawn(move || load.submit(number, &path, &body));
            number += 1;
            sleep(s(0.15));
        }
        number
    });
    sleep(s(0.4));
    let mut ends = 0;
    while log.elapsed_s() < 117.0 && ends < 3 {
        if has_trouble && log.elapsed_s() < 84.0 {
            lose_busy(&world);
        }
        // Until a process has ended by itself, or long after it could have.
        let since = Instant::now();
        while world.own_ends.lock().unwrap().len() == ends
            && since.elapsed() < s(40.0)
            && log.elapsed_s() < 117.0
        {
            sleep(s(0.05));
        }
        let known = world.own_ends.lock().unwrap().len();
        if known == ends {
            break;
        }
        ends = known;
        // Until the next owner has started tasks.
        let before = world.board.all().len();
        let since = Instant::now();
        while world.board.all().len() < before + 12 && since.elapsed() < s(5.0) {
            sleep(s(0.02));
        }
    }
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    let sent = sender.join().unwrap_or(0);
    log.line(&format!("consumers: {sent} submissions sent"));
    let mut by_node = BTreeMap::<String, usize>::new();
    for end in world.own_ends.lock().unwrap().iter() {
        *by_node.entry(end.node.clone()).or_default() += 1;
    }
    log.line(&format!(
        "processes that ended by themselves, by machine: {by_node:?}"
    ));
    let all: usize = by_node.values().sum();
    // A tenth of three machines, two at least; three times in the day.
    let verdict = if by_node.len() >= 2 && all >= 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    };
    (world, verdict)
}

/// Takes away the executor on which a task has begun last.
fn lose_busy(world: &World) {
    let until = Instant::now() + s(10.0);
    while Instant::now() < until {
        let mut executors = world.executors.lock().unwrap();
        let fresh = executors.iter().position(|executor| {
            let running = executor.running();
            running.iter().any(|(_, age)| *age < s(0.02))
        });
        if let Some(index) = fresh {
            let executor = executors.remove(index);
            executor.lose();
            return;
        }
        drop(executors);
        sleep(s(0.001));
    }
}

/// A submission with many occurrences that are due comes in.
fn schedule(log: &Log, directory: PathBuf, has_trouble: bool) -> (Arc<World>, Verdict) {
    let world = World::start(log, &directory, 4, false, &["alpha"], MEMORY_MB);
    if !world.is_serving("alpha", "0000000000000a10", s(25.0)) {
        return (world, NOT_SERVING);
    }
    let repetitions = if has_trouble { 86_400 } else { 24 };
    let body = json!({
        "spec": "ms=100 cpu=100",
        "steps": [{ "count": 20, "cpu": 100, "memMb": 10, "estRuntimeMs": 100 }],
        "repetitions": repetitions, "startAtMs": unix_ms() - 86_400_000, "intervalMs": 1000,
    });
    let path = "/alpha/a11a11a11a11a11a";
    let answers = world.submit(0, path, &body.to_string());
    log.line(&format!(
        "consumer: POST {path}, {repetitions} repetitions: {}",
        texts(&answers)
    ));
    if !is_accepted(&answers) {
        return (world, Verdict::NotRun("the submission is not accepted"));
    }
    sleep(s(40.0));
    let id = "a2a2a2a2a2a2a2a2".to_owned();
    let probe_path = format!("/alpha/{id}");
    let small = submission(
        "ms=100 cpu=100",
        &json!([{ "count": 1, "cpu": 100, "memMb": 10 }]),
    );
    let answers = world.submit(0, &probe_path, &small);
    log.line(&format!("consumer: POST {probe_path}: {}", texts(&answers)));
    let mut watched = [Watched::new(id, probe_path.clone(), vec![1])];
    let idle = watch(&world, &mut watched, s(14.0));
    for path in [path, &probe_path] {
        log.line(&format!(
            "consumer: GET {path}: {}",
            world.state_anywhere(path)
        ));
    }
    let mut by_node = BTreeMap::<String, usize>::new();
    for end in world.own_ends.lock().unwrap().iter() {
        *by_node.entry(end.node.clone()).or_default() += 1;
    }
    log.line(&format!(
        "processes that ended by themselves, by machine: {by_node:?}"
    ));
    // A 503 says that it never runs; it is accepted or its consumer has no answer otherwise.
    let verdict = match answers.last() {
        Some(Some(503)) => Verdict::NotRun("no ordinary submission is accepted"),
        _ if idle > 0 => Verdict::Broken,
        _ => Verdict::Held,
    };
    (world, verdict)
}

/// Each executor is cut off once, for less than a lease, while a task on it comes to its end.
fn cut_executors(log: &Log, directory: PathBuf, has_trouble: bool) -> (Arc<World>, Verdict) {
    const CUT_S: f64 = 5.5;
    let world = World::start(log, &directory, 6, false, &["alpha"], MEMORY_MB);
    if !world.is_serving("alpha", "0000000000000900", s(25.0)) {
        return (world, NOT_SERVING);
    }
    let executors = world.executors.lock().unwrap().clone();
    for (number, executor) in executors.iter().enumerate() {
        let id = format!("91919191919100{number:02x}");
        let path = format!("/alpha/{id}");
        let steps = json!([{
            "count": 1, "cpu": 500, "memMb": 10, "estRuntimeMs": 3500, "affinity": format!("r1-{number}"),
        }]);
        let answers = world.submit(number, &path, &submission("ms=3500 cpu=500", &steps));
        log.line(&format!("consumer: POST {path}: {}", texts(&answers)));
        if !is_accepted(&answers) {
            return (world, Verdict::NotRun("a submission is not accepted"));
        }
        // The last renewal of the lease is almost a second old when the cut begins.
        let until = Instant::now() + s(2.5);
        while has_trouble && Instant::now() < until {
            let holds = executor
                .running()
                .iter()
                .any(|(task, _)| task.starts_with(&id));
            if holds && executor.held_for().is_some_and(|age| age > s(0.9)) {
                executor.cut(s(CUT_S));
                break;
            }
            sleep(s(0.002));
        }
        sleep(s(CUT_S + 0.7));
        log.line(&format!(
            "consumer: GET {path}: {}",
            world.state_anywhere(&path)
        ));
    }
    // Ordinary work: 40 tasks a submission, until each executor has run far more than 300.
    let steps = json!([{ "count": 40, "cpu": 500, "memMb": 10, "estRuntimeMs": 40 }]);
    let body = submission("ms=40 cpu=500", &steps);
    let before = world.board.all().len();
    for number in 0..75_usize {
        let path = format!("/alpha/{:016x}", 0x9200_0000_0000_0000_u64 + number as u64);
        let answers = world.submit(number, &path, &body);
        log.line(&format!(
            "consumer: POST {path}, 40 tasks: {}",
            texts(&answers)
        ));
        sleep(s(0.2));
    }
    sleep(s(3.0));
    log.line(&format!(
        "executors: {} starts and ends since",
        world.board.all().len() - before
    ));
    let idle = probe(&world, log, "939393939393", 4);
    (world, verdict_of(idle))
}

/// Two of sixteen executors lose power for a moment each second, in turn.
fn restarts(log: &Log, directory: PathBuf, has_trouble: bool) -> (Arc<World>, Verdict) {
    const DARK_S: f64 = 0.7;
    const EVERY_S: f64 = 1.0;
    const TRAFFIC_S: f64 = 80.0;
    answer_orders_plainly();
    let world = World::start(log, &directory, 16, false, &["alpha"], MEMORY_MB);
    if !world.is_serving("alpha", "0000000000000700", s(25.0)) {
        return (world, NOT_SERVING);
    }
    let steps = json!([{ "count": 12, "cpu": 500, "memMb": 10, "estRuntimeMs": 1100 }]);
    let body = submission("ms=1100 cpu=500", &steps);
    let executors = world.executors.lock().unwrap().clone();
    let started_at = Instant::now();
    let (mut number, mut lost) = (0_usize, 0_usize);
    let mut calls = Vec::new();
    while started_at.elapsed() < s(TRAFFIC_S) {
        let path = format!("/alpha/{:016x}", 0x7100_0000_0000_0000_u64 + number as u64);
        let (sending, body) = (world.clone(), body.clone());
        calls.push(thread::spawn(move || {
            let answers = sending.submit(number, &path, &body);
            let line = format!("consumer: POST {path}: {}", texts(&answers));
            sending.log.line(&line);
            is_accepted(&answers).then_some(path)
        }));
        number += 1;
        let due = started_at.elapsed().as_secs_f64() / EVERY_S;
        if has_trouble && due >= (lost / 2 + 1) as f64 {
            for _ in 0..2 {
                executors[lost % executors.len()].lose_power(s(DARK_S));
                lost += 1;
            }
        }
        sleep(s(0.2));
    }
    let accepted: Vec<String> = calls
        .into_iter()
        .filter_map(|call| call.join().ok()?)
        .collect();
    sleep(s(14.0));
    let mut by_state = BTreeMap::<String, usize>::new();
    let mut without_cause = 0;
    let failed_ends = |id: &str| {
        let seen = world.board.of(id);
        seen.iter()
            .filter(|seen| seen.end == Some("failed"))
            .count()
    };
    for path in &accepted {
        let state = world.state_anywhere(path);
        let id = path.rsplit('/').next().unwrap_or_default();
        if state == "failed" && failed_ends(id) == 0 {
            without_cause += 1;
            let seen = world.board.of(id);
            let (begun, ended) = seen
                .iter()
                .partition::<Vec<_>, _>(|seen| seen.end.is_none());
            let done = ended.iter().filter(|seen| seen.end == Some("done")).count();
            log.line(&format!(
                "consumer: GET {path}: failed, though none of its runs has ended failed ({} runs, {done} \
                 done, {} lost with their executor)",
                begun.len(),
                ended.iter().filter(|seen| seen.end == Some("lost")).count()
            ));
        }
        *by_state.entry(state).or_default() += 1;
    }
    log.line(&format!(
        "losses of power: {lost}; states of the accepted submissions: {by_state:?}"
    ));
    let verdict = if without_cause > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    };
    (world, verdict)
}
