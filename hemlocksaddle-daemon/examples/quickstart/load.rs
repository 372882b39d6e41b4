//! Load of the callers: quick requests at a fixed rate, and a constant number of jobs.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt, mem,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use hemlocksaddle_fakes::http::control::CallerResponse;
use hemlocksaddle_types::outcome::ResultCode;
use http::Method;

use crate::{
    client::{Answer, Client},
    deployment::SERVICE,
};

/// Interval of quick requests: 125 a second.
const EVERY: Duration = Duration::from_millis(8);
/// Every how manieth request is non-idempotent.
const ONCE_EVERY: u64 = 10;
/// Deadline of a quick request in milliseconds.
const DEADLINE_MS: &str = "4000";
/// Mean time that an executor takes for a quick request, in milliseconds.
const SERVICE_MS: &str = "10";
/// Attempts of a caller to get its request served or its job accepted.
const ATTEMPTS: u32 = 24;
/// Pause of a caller before its next attempt.
const RETRY: Duration = Duration::from_millis(250);
/// Jobs that are in progress at once; their tasks fill all workers.
const JOBS: u64 = 10;
/// Tasks of each job.
const TASKS: u64 = 8;
/// Cores of each task.
const TASK_CORES: u64 = 4;
/// Uncontended run time of each task in milliseconds.
const RUN_MS: u64 = 2_000;
/// Run time of the first caller's tasks, long enough to be moved out of a leaving data centre.
const LONG_RUN_MS: u64 = 8_000;

/// Latencies of requests that were served, from their due time.
pub(crate) struct Latencies(RefCell<Histogram<u64>>);

impl Latencies {
    fn new() -> eyre::Result<Latencies> {
        Ok(Latencies(RefCell::new(Histogram::new(3)?)))
    }

    fn record(&self, due: Instant) {
        let taken_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        // Fails only beyond the range of the histogram, which grows to that of u64.
        let _ = self.0.borrow_mut().record(taken_us);
    }
}

impl fmt::Display for Latencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let histogram = self.0.borrow();
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        write!(
            f,
            "{} served, p50 {:.1} ms, p99 {:.1} ms",
            histogram.len(),
            at(0.5),
            at(0.99)
        )
    }
}

/// What the callers saw.
pub(crate) struct Seen {
    /// Latencies of idempotent quick requests.
    pub(crate) repeatable: Latencies,
    /// Latencies of non-idempotent quick requests, which wait for the log.
    pub(crate) once: Latencies,
    /// Answers by result code; 0 stands for no answer.
    pub(crate) codes: RefCell<BTreeMap<u16, u64>>,
    /// Quick requests that were not served after all attempts.
    pub(crate) unserved: Cell<u64>,
    /// Answers for the judges.
    pub(crate) answers: RefCell<Vec<CallerResponse>>,
    /// Jobs that were accepted.
    pub(crate) accepted: Cell<u64>,
    /// Jobs that completed.
    pub(crate) completed: Cell<u64>,
    /// Accepted jobs that ended otherwise, with their end.
    pub(crate) lost: RefCell<Vec<String>>,
}

/// Counts something while it is in progress.
struct Open(Rc<Cell<u64>>);

impl Open {
    fn new(count: &Rc<Cell<u64>>) -> Open {
        count.set(count.get() + 1);
        Open(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Load that runs until it is stopped.
pub(crate) struct Load {
    client: Client,
    nodes: Vec<SocketAddr>,
    next: Cell<usize>,
    quick: Cell<bool>,
    jobs: Cell<bool>,
    quick_open: Rc<Cell<u64>>,
    jobs_open: Rc<Cell<u64>>,
    /// What the callers saw.
    pub(crate) seen: Seen,
}

impl Load {
    /// Load on nodes, not started.
    pub(crate) fn new(client: Client, nodes: Vec<SocketAddr>) -> eyre::Result<Rc<Load>> {
        let seen = Seen {
            repeatable: Latencies::new()?,
            once: Latencies::new()?,
            codes: RefCell::default(),
            unserved: Cell::new(0),
            answers: RefCell::default(),
            accepted: Cell::new(0),
            completed: Cell::new(0),
            lost: RefCell::default(),
        };
        Ok(Rc::new(Load {
            client,
            nodes,
            next: Cell::new(0),
            quick: Cell::new(true),
            jobs: Cell::new(true),
            quick_open: Rc::default(),
            jobs_open: Rc::default(),
            seen,
        }))
    }

    /// Starts all callers.
    pub(crate) fn start(self: &Rc<Self>) {
        compio::runtime::spawn(self.clone().send_quick()).detach();
        for number in 0..JOBS {
            compio::runtime::spawn(self.clone().send_jobs(number)).detach();
        }
    }

    /// Takes the latencies so far, so that later ones are apart.
    pub(crate) fn take_latencies(&self) -> eyre::Result<[Latencies; 2]> {
        let taken = |from: &Latencies| -> eyre::Result<Latencies> {
            let empty = Histogram::new(3)?;
            Ok(Latencies(RefCell::new(mem::replace(
                &mut *from.0.borrow_mut(),
                empty,
            ))))
        };
        Ok([taken(&self.seen.repeatable)?, taken(&self.seen.once)?])
    }

    /// Submits no further jobs.
    pub(crate) fn stop_jobs(&self) {
        self.jobs.set(false);
    }

    /// Sends no further quick requests.
    pub(crate) fn stop_quick(&self) {
        self.quick.set(false);
    }

    /// Quick requests that are in progress.
    pub(crate) fn quick_open(&self) -> u64 {
        self.quick_open.get()
    }

    /// Jobs that are in progress.
    pub(crate) fn jobs_open(&self) -> u64 {
        self.jobs_open.get()
    }

    /// Next node in turn, as a balancer without health checks picks it.
    fn node(&self) -> SocketAddr {
        let index = self.next.get();
        self.next.set(index + 1);
        self.nodes[index % self.nodes.len()]
    }

    fn count(&self, answer: &eyre::Result<Answer>) {
        let code = answer.as_ref().map_or(0, |answer| answer.code);
        *self.seen.codes.borrow_mut().entry(code).or_default() += 1;
    }

    async fn send_quick(self: Rc<Self>) {
        let started = Instant::now();
        let mut number = 0;
        while self.quick.get() {
            let due = started + EVERY * number;
            compio::time::sleep_until(due).await;
            let open = Open::new(&self.quick_open);
            compio::runtime::spawn(self.clone().quick(u64::from(number), due, open)).detach();
            number += 1;
        }
    }

    async fn quick(self: Rc<Self>, number: u64, due: Instant, _open: Open) {
        let once = number.is_multiple_of(ONCE_EVERY);
        let mut refusals = 0;
        for _ in 0..ATTEMPTS {
            // A caller that was told "not run" makes a new request; after no answer it repeats the same one.
            let tag = format!("quick-{number}-{refusals}");
            let answer = self.attempt(&tag, once).await;
            match answer.map_or(0, |answer| answer.code) {
                3_001 => {
                    let latencies = if once {
                        &self.seen.once
                    } else {
                        &self.seen.repeatable
                    };
                    return latencies.record(due);
                }
                1_000..=1_999 => refusals += 1,
                2_000..=2_999 if once => break,
                _ => {}
            }
            compio::time::sleep(RETRY).await;
        }
        self.seen.unserved.set(self.seen.unserved.get() + 1);
    }

    async fn attempt(&self, tag: &str, once: bool) -> eyre::Result<Answer> {
        let key = [("idempotency-key", tag)];
        let repeat = [("idempotent", "true"), ("may-repeat", "true")];
        let mut headers = vec![
            ("tag", tag),
            ("deadline-ms", DEADLINE_MS),
            ("service-ms", SERVICE_MS),
        ];
        headers.extend_from_slice(if once { &key } else { &repeat });
        let path = format!("/v1/services/{SERVICE}/requests");
        let call = self
            .client
            .call(Method::POST, self.node(), &path, &headers, tag.to_owned());
        let answer = call.await;
        self.count(&answer);
        if let Ok(answer) = &answer
            && let Ok(code) = ResultCode::try_from(answer.code)
        {
            let whole = answer.body == format!("answer to {tag}");
            let tag = tag.into();
            self.seen
                .answers
                .borrow_mut()
                .push(CallerResponse { tag, code, whole });
        }
        answer
    }

    async fn send_jobs(self: Rc<Self>, caller: u64) {
        let mut number = 0;
        while self.jobs.get() {
            let _open = Open::new(&self.jobs_open);
            let run_ms = if caller == 0 { LONG_RUN_MS } else { RUN_MS };
            match self.submit(&format!("job-{caller}-{number}"), run_ms).await {
                Some(location) => self.follow(&location).await,
                None => compio::time::sleep(RETRY).await,
            }
            number += 1;
        }
    }

    /// Submits a job under a key until it is accepted.
    async fn submit(&self, key: &str, run_ms: u64) -> Option<String> {
        let memory_mb = TASK_CORES * 3_000;
        let cpu_milli = TASK_CORES * 1_000;
        let body = format!(
            "{{\"tasks\":{TASKS},\"cpu_milli\":{cpu_milli},\"memory_mb\":{memory_mb},\
             \"expected_run_ms\":{run_ms},\"resumable\":true}}"
        );
        let headers = [
            ("idempotency-key", key),
            ("idempotent", "true"),
            ("urgency", "batch"),
        ];
        let path = format!("/v1/services/{SERVICE}/jobs");
        for _ in 0..ATTEMPTS {
            let call = self
                .client
                .call(Method::POST, self.node(), &path, &headers, body.clone());
            let answer = call.await;
            self.count(&answer);
            if let Ok(answer) = answer
                && answer.status == 202
            {
                self.seen.accepted.set(self.seen.accepted.get() + 1);
                let accepted: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
                return Some(format!("/v1/jobs/{}", accepted["job"].as_str()?));
            }
            compio::time::sleep(RETRY).await;
        }
        None
    }

    /// Waits for the end of an accepted job.
    async fn follow(&self, location: &str) {
        let path = format!("{location}?wait_ms=2000");
        loop {
            let status: eyre::Result<serde_json::Value> =
                self.client.json(self.node(), &path).await;
            let Ok(status) = status else {
                compio::time::sleep(RETRY).await;
                continue;
            };
            match status["result"].as_u64() {
                None => {}
                Some(3_001) => return self.seen.completed.set(self.seen.completed.get() + 1),
                Some(_) => return self.seen.lost.borrow_mut().push(status.to_string()),
            }
        }
    }
}
