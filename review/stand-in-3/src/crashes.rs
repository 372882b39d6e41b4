//! Case: executors crash under one task.

use std::{
    io,
    sync::PoisonError,
    thread,
    time::{Duration, Instant},
};

use crate::{
    FINISH, System, Verdict,
    consumers::{Answer, Consumers, body},
};

/// Time of traffic before the watched submission.
const CALM: Duration = Duration::from_secs(5);

/// Time of traffic after it.
const TRAFFIC: Duration = Duration::from_secs(25);

/// Submissions a second beside it.
const PER_S: u32 = 2;

/// Time from the start of the watched task to the crash of its executor.
const AFTER_START: Duration = Duration::from_millis(100);

/// Time for which an executor is down.
const DOWN: Duration = Duration::from_millis(2_000);

/// Number of crashes.
const CRASHES: usize = 2;

pub fn play(system: System) -> io::Result<Verdict> {
    let record = system.record.clone();
    let consumers = Consumers::new(system.callers(), 0, record.clone());
    let watched = Consumers::new(system.callers(), 1 << 32, record.clone());
    let ordinary = body("ms=400", 2, 1_000, "");
    consumers.submit_for(CALM, PER_S, &ordinary);
    let traffic = thread::spawn(move || consumers.submit_for(TRAFFIC, PER_S, &ordinary));
    let answer = watched.submit(&body("ms=3000 watched", 1, 1_000, ""));
    if answer != Answer::Accepted {
        return Err(io::Error::other("the watched submission was not accepted"));
    }
    let processors = system.processors.clone();
    let starts = processors.watched.lock();
    let starts = starts.unwrap_or_else(PoisonError::into_inner);
    let until = Instant::now() + TRAFFIC;
    let (mut started, mut crashed) = (0, 0);
    while let left = until.saturating_duration_since(Instant::now())
        && !left.is_zero()
    {
        let Ok(number) = starts.recv_timeout(left) else {
            break;
        };
        started += 1;
        if system.has_trouble && crashed < CRASHES {
            crashed += 1;
            thread::sleep(AFTER_START);
            processors.executors[number].crash(DOWN);
        }
    }
    traffic
        .join()
        .map_err(|_| io::Error::other("the traffic's thread panicked"))?;
    thread::sleep(FINISH);
    let answered = watched.answered();
    let mut state = None;
    for (id, _) in &answered {
        state = watched.state(id);
    }
    let told = state.as_deref().unwrap_or("no answer");
    record.note(&format!(
        "the watched task was started {started} times; executors crashed {crashed} times under it; no run of it failed; its submission is shown as {told}"
    ));
    Ok(match state.as_deref() {
        Some("failed" | "cancelled" | "unknown") | None => Verdict::Broken,
        Some(_) => Verdict::Held,
    })
}
