//! Consumers that submit work, repeat what got no answer and ask for states.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    executors::Processors,
    http,
    json::{Json, Quoted},
    record::Record,
};

/// Host of the only route.
pub const HOST: &str = "novo13.example";

/// Path prefix of the only route.
pub const PREFIX: &str = "/gono990/";

/// Time budget of a request.
pub const TIME_BUDGET: Duration = Duration::from_millis(3_000);

/// Retries after the first attempt.
const RETRIES: u32 = 4;

/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a state is asked for.
const STATE_LIMIT: Duration = Duration::from_secs(8);

/// Time for which a submission may have nothing running while there is room.
const IDLE_LIMIT: Duration = Duration::from_millis(3_100);

/// How a submission was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With success.
    Accepted,
    /// By 429, 503 or another refusal, at each attempt.
    Refused,
    /// Not at all, or without an outcome.
    Unknown,
}

/// Consumers behind the platform's address, which spreads them over the nodes.
pub struct Consumers {
    nodes: Vec<SocketAddr>,
    record: Arc<Record>,
    next: AtomicU64,
    answers: Mutex<Vec<(String, Answer)>>,
}

/// Body of a submission of one step.
pub fn body(spec: &str, tasks: u32, cpu_milli: u64, more: &str) -> String {
    format!(
        "{{\"spec\":{},\"steps\":[{{\"count\":{tasks},\"cpu\":{cpu_milli},\"memMb\":1000,\"estRuntimeMs\":400{more}}}]}}",
        Quoted(spec)
    )
}

impl Consumers {
    /// Consumers whose ids are made from the numbers from `first` on.
    pub fn new(nodes: Vec<SocketAddr>, first: u64, record: Arc<Record>) -> Arc<Consumers> {
        Arc::new(Consumers {
            nodes,
            record,
            next: AtomicU64::new(first),
            answers: Mutex::default(),
        })
    }

    fn answers(&self) -> MutexGuard<'_, Vec<(String, Answer)>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers to all submissions so far.
    pub fn answered(&self) -> Vec<(String, Answer)> {
        self.answers().clone()
    }

    /// Submits `per_s` submissions a second for some time, each in a thread of its own.
    pub fn submit_for(self: &Arc<Self>, length: Duration, per_s: u32, body: &str) {
        let body: Arc<str> = body.into();
        let (begun, pause) = (Instant::now(), Duration::from_secs(1) / per_s);
        let mut open = Vec::new();
        for number in 0.. {
            let due = begun + pause * number;
            if due >= begun + length {
                break;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let (consumers, body) = (self.clone(), body.clone());
            open.push(thread::spawn(move || consumers.submit(&body)));
        }
        for submitted in open {
            // A consumer that panicked has no answer in the list.
            let _ = submitted.join();
        }
    }

    /// Submits once, with retries after no answer within the time budget.
    pub fn submit(&self, body: &str) -> Answer {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        // Spread over the ids.
        let id = format!(
            "{:016x}",
            number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let deadline = Instant::now() + TIME_BUDGET;
        let mut answer = Answer::Refused;
        for attempt in 0..=RETRIES {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let node = self.nodes[(number as usize + attempt as usize) % self.nodes.len()];
            let path = format!("{PREFIX}{id}");
            let sent = http::request(node, "POST", &path, HOST, body.as_bytes(), left);
            let told = match &sent {
                Ok((status, _)) => status.to_string(),
                Err(cause) => format!("no answer ({:?})", cause.kind()),
            };
            self.record.line(&format!("POST {id} at {node}: {told}"));
            match sent {
                Ok((status, _)) if (200..300).contains(&status) => {
                    answer = Answer::Accepted;
                    break;
                }
                Ok((502 | 504, _)) => answer = Answer::Unknown,
                // Nothing was sent.
                Err(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {}
                Err(_) => answer = Answer::Unknown,
                Ok((429 | 503, _)) => {}
                Ok(_) => break,
            }
            thread::sleep(RETRY_PAUSE);
        }
        self.answers().push((id, answer));
        answer
    }

    /// Asks for a state, at one node after the other, for as long as none tells it; `None` if none does in time.
    pub fn state(&self, id: &str) -> Option<String> {
        let begun = Instant::now();
        while begun.elapsed() < STATE_LIMIT {
            for node in &self.nodes {
                let path = format!("{PREFIX}{id}");
                let answered = http::request(*node, "GET", &path, HOST, b"", TIME_BUDGET);
                let told = match &answered {
                    Ok((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
                    Err(cause) => format!("no answer ({:?})", cause.kind()),
                };
                self.record.line(&format!("GET {id} at {node}: {told}"));
                match answered {
                    Ok((200, body)) => {
                        let body = Json::parse(&body)?;
                        return body.text("state").map(str::to_owned);
                    }
                    Ok((410, _)) => return Some("unknown".to_owned()),
                    _ => {}
                }
            }
            thread::sleep(RETRY_PAUSE);
        }
        None
    }

    /// Asks for some accepted submissions, spread over all, the last one included, by the rule LOST; returns the
    /// number of lost ones.
    ///
    /// Lost is one that is not known or gets no answer, and one that is queued for 3 s while less than half of the
    /// processors are in use.
    pub fn ask_accepted(&self, asked: usize, processors: &Processors) -> usize {
        let answered = self.answered();
        let accepted = answered
            .iter()
            .filter(|(_, answer)| *answer == Answer::Accepted);
        let accepted: Vec<_> = accepted.rev().collect();
        let step = (accepted.len() / asked).max(1);
        let mut lost = 0;
        for (id, _) in accepted.iter().step_by(step).take(asked) {
            let begun = Instant::now();
            let mut state = self.state(id);
            let mut is_lost = state.is_none() || state.as_deref() == Some("unknown");
            if state.as_deref() == Some("queued") {
                let mut is_room = true;
                while begun.elapsed() < IDLE_LIMIT {
                    is_room &= processors.are_half_free();
                    thread::sleep(RETRY_PAUSE);
                }
                state = self.state(id);
                is_lost = is_room && state.as_deref().is_none_or(|state| state == "queued");
            }
            lost += usize::from(is_lost);
            let state = state.as_deref().unwrap_or("no answer");
            let verdict = if is_lost { "lost" } else { "not lost" };
            self.record.note(&format!(
                "accepted submission {id} at the end: {state}, {verdict}"
            ));
        }
        lost
    }
}
