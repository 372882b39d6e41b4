//! Cases: a client submits work that can never be done.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    FINISH, System, Verdict,
    consumers::{Answer, Consumers, body},
    nodes::Limits,
};

/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(45);

/// Ordinary submissions a second, of two tasks each.
const PER_S: u32 = 4;

/// Number of ordinary submissions that are asked for at the end, spread over all.
const ASKED: usize = 2;

/// Time of traffic before the large submissions.
const CALM: Duration = Duration::from_secs(5);

/// What the client submits.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Steps that need a long label.
    Labels,
    /// Gangs that do not fit on all executors together.
    Gangs,
    /// Many steps, each with a label of its own.
    Steps,
}

/// Bytes of a long label, with which a body is below `maxBodyBytes`.
const LABEL_BYTES: usize = 250_000;

/// Tasks of a gang.
const GANG: u32 = 100_000;

/// Steps of a submission with many.
const STEPS: usize = 256;

impl Work {
    /// Number of submissions.
    fn count(self) -> usize {
        match self {
            // 350 MB, below what the store takes.
            Work::Labels => 1_400,
            Work::Gangs => 20,
            Work::Steps => 300,
        }
    }

    /// Number of clients, each with one submission at a time.
    fn clients(self) -> usize {
        match self {
            Work::Labels | Work::Gangs => 2,
            Work::Steps => 12,
        }
    }

    fn body(self, number: usize) -> String {
        match self {
            Work::Labels => {
                let label = "x".repeat(LABEL_BYTES);
                body(
                    "ms=400",
                    1,
                    1_000,
                    &format!(",\"requiredLabel\":\"{label}\""),
                )
            }
            Work::Gangs => body("ms=400", GANG, 1_000, ",\"gang\":true"),
            Work::Steps => {
                let steps = (0..STEPS).map(|step| {
                    format!("{{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"estRuntimeMs\":400,\"requiredLabel\":\"k{number}-{step}\"}}")
                });
                let steps: Vec<_> = steps.collect();
                format!("{{\"spec\":\"ms=400\",\"steps\":[{}]}}", steps.join(","))
            }
        }
    }
}

/// Interval at which the platform looks at the memory of processes.
const LOOK: Duration = Duration::from_millis(50);

/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);

/// Ends processes beyond the memory of their machine and starts them again, as the platform does.
fn enforce(
    mut system: System,
    limits: Limits,
    is_over: &AtomicBool,
) -> io::Result<(System, usize, u64)> {
    let (mut killed, mut peak_kb) = (0, 0);
    let mut ended: Vec<Option<Instant>> = system.nodes.iter().map(|_| None).collect();
    while !is_over.load(Ordering::Relaxed) {
        for (node, ended) in system.nodes.iter_mut().zip(&mut ended) {
            if let Some(at) = *ended {
                if at.elapsed() >= RESTART {
                    node.restart()?;
                    *ended = None;
                }
                continue;
            }
            let Some(memory_kb) = node.memory_kb() else {
                system
                    .record
                    .note(&format!("{} has ended by itself", node.name));
                node.process.wait()?;
                *ended = Some(Instant::now());
                continue;
            };
            peak_kb = memory_kb.max(peak_kb);
            if memory_kb > limits.memory_mb * 1_024 {
                killed += 1;
                let mb = memory_kb / 1_024;
                system
                    .record
                    .note(&format!("{} takes {mb} MB and is killed", node.name));
                node.process.kill()?;
                node.process.wait()?;
                *ended = Some(Instant::now());
            }
        }
        thread::sleep(LOOK);
    }
    Ok((system, killed, peak_kb))
}

pub fn play(system: System, limits: Limits, work: Work) -> io::Result<Verdict> {
    let record = system.record.clone();
    let store = system.store.clone();
    let processors = system.processors.clone();
    let has_trouble = system.has_trouble;
    let ordinary = Consumers::new(system.callers(), 0, record.clone());
    let large = Consumers::new(system.callers(), 1 << 32, record.clone());
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = {
        let is_over = is_over.clone();
        thread::spawn(move || enforce(system, limits, &is_over))
    };
    let begun = Instant::now();
    let sent = Arc::new(AtomicUsize::new(0));
    if has_trouble {
        for _ in 0..work.clients() {
            let (large, sent) = (large.clone(), sent.clone());
            thread::spawn(move || {
                thread::sleep(CALM);
                while begun.elapsed() < TRAFFIC {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    if number >= work.count() {
                        return;
                    }
                    large.submit(&work.body(number));
                }
            });
        }
    }
    ordinary.submit_for(TRAFFIC, PER_S, &body("ms=400", 2, 1_000, ""));
    thread::sleep(FINISH);
    let count = |of: &Consumers, wanted| {
        let answered = of.answered();
        answered
            .iter()
            .filter(|(_, answer)| *answer == wanted)
            .count()
    };
    let large_accepted = count(&large, Answer::Accepted);
    record.note(&format!(
        "large submissions: {large_accepted} accepted, {} refused, {} without an answer; the store holds {} MB",
        count(&large, Answer::Refused),
        count(&large, Answer::Unknown),
        store.stored_bytes() / 1_000_000,
    ));
    record.note(&format!(
        "ordinary submissions: {} accepted, {} refused, {} without an answer",
        count(&ordinary, Answer::Accepted),
        count(&ordinary, Answer::Refused),
        count(&ordinary, Answer::Unknown),
    ));
    let lost = ordinary.ask_accepted(ASKED, &processors);
    is_over.store(true, Ordering::Relaxed);
    let ended = platform
        .join()
        .map_err(|_| io::Error::other("the platform's thread panicked"))?;
    let (_system, killed, peak_kb) = ended?;
    record.note(&format!(
        "{killed} processes were killed for their memory; largest {} MB",
        peak_kb / 1_024
    ));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
