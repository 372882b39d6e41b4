//! Load generator: synchronous requests at a fixed rate (open loop) and a constant number of jobs
//! in progress (closed loop).

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
    client::{Client, Response},
    deployment::SERVICE,
};

/// Interval of synchronous requests, 125 per second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// One in this many requests is non-idempotent.
const NON_IDEMPOTENT_EVERY: u64 = 10;
/// Deadline of a synchronous request in milliseconds.
const DEADLINE_MS: &str = "4000";
/// Mean service time of a synchronous request at an executor, in milliseconds.
const SERVICE_MS: &str = "10";
/// Maximum attempts of a caller to have a request served or a job accepted.
const MAX_ATTEMPTS: u32 = 24;
/// Delay before the next attempt of a caller.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Jobs in progress at any time; their tasks fill all workers.
const CONCURRENT_JOBS: u64 = 10;
/// Tasks of each job.
const TASKS_PER_JOB: u64 = 8;
/// Cores of each task.
const CORES_PER_TASK: u64 = 4;
/// Run time of a task without contention, in milliseconds.
const TASK_RUN_MS: u64 = 2_000;
/// Run time of the first caller's tasks in milliseconds, long enough that they have to be moved
/// out of an evacuated data centre.
const LONG_TASK_RUN_MS: u64 = 8_000;

/// Latencies of served requests, measured from their scheduled send time.
pub(crate) struct Latencies(RefCell<Histogram<u64>>);

impl Latencies {
    fn new() -> eyre::Result<Latencies> {
        Ok(Latencies(RefCell::new(Histogram::new(3)?)))
    }

    fn record(&self, due: Instant) {
        let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        // Fails only for values outside the histogram, which resizes up to the range of u64.
        let _ = self.0.borrow_mut().record(latency_us);
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

/// Results as seen by the callers.
pub(crate) struct CallerStats {
    /// Latencies of idempotent synchronous requests.
    pub(crate) idempotent: Latencies,
    /// Latencies of non-idempotent synchronous requests, which wait for an append to the log.
    pub(crate) non_idempotent: Latencies,
    /// Number of responses by result code; 0 stands for no response.
    pub(crate) codes: RefCell<BTreeMap<u16, u64>>,
    /// Synchronous requests that were not served within the maximum attempts.
    pub(crate) unserved: Cell<u64>,
    /// Responses that the checker of the fake platform compares with its own records.
    pub(crate) responses: RefCell<Vec<CallerResponse>>,
    /// Accepted jobs.
    pub(crate) accepted: Cell<u64>,
    /// Completed jobs.
    pub(crate) completed: Cell<u64>,
    /// Final status of each accepted job that ended without completing.
    pub(crate) lost: RefCell<Vec<String>>,
}

/// Guard that counts a request or job as in progress until it is dropped.
struct InProgress(Rc<Cell<u64>>);

impl InProgress {
    fn new(count: &Rc<Cell<u64>>) -> InProgress {
        count.set(count.get() + 1);
        InProgress(count.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Load generator that runs until it is stopped.
pub(crate) struct Load {
    client: Client,
    nodes: Vec<SocketAddr>,
    next: Cell<usize>,
    sending_requests: Cell<bool>,
    sending_jobs: Cell<bool>,
    requests_in_progress: Rc<Cell<u64>>,
    jobs_in_progress: Rc<Cell<u64>>,
    /// Results so far.
    pub(crate) stats: CallerStats,
}

impl Load {
    /// Creates a load generator for some nodes, without starting it.
    pub(crate) fn new(client: Client, nodes: Vec<SocketAddr>) -> eyre::Result<Rc<Load>> {
        let stats = CallerStats {
            idempotent: Latencies::new()?,
            non_idempotent: Latencies::new()?,
            codes: RefCell::default(),
            unserved: Cell::new(0),
            responses: RefCell::default(),
            accepted: Cell::new(0),
            completed: Cell::new(0),
            lost: RefCell::default(),
        };
        Ok(Rc::new(Load {
            client,
            nodes,
            next: Cell::new(0),
            sending_requests: Cell::new(true),
            sending_jobs: Cell::new(true),
            requests_in_progress: Rc::default(),
            jobs_in_progress: Rc::default(),
            stats,
        }))
    }

    /// Starts all callers.
    pub(crate) fn start(self: &Rc<Self>) {
        compio::runtime::spawn(self.clone().send_requests()).detach();
        for number in 0..CONCURRENT_JOBS {
            compio::runtime::spawn(self.clone().send_jobs(number)).detach();
        }
    }

    /// Returns and resets the latencies of idempotent and non-idempotent requests.
    pub(crate) fn take_latencies(&self) -> eyre::Result<[Latencies; 2]> {
        let take = |from: &Latencies| -> eyre::Result<Latencies> {
            let empty = Histogram::new(3)?;
            Ok(Latencies(RefCell::new(mem::replace(
                &mut *from.0.borrow_mut(),
                empty,
            ))))
        };
        Ok([
            take(&self.stats.idempotent)?,
            take(&self.stats.non_idempotent)?,
        ])
    }

    /// Stops submitting jobs.
    pub(crate) fn stop_jobs(&self) {
        self.sending_jobs.set(false);
    }

    /// Stops sending synchronous requests.
    pub(crate) fn stop_requests(&self) {
        self.sending_requests.set(false);
    }

    /// Synchronous requests in progress.
    pub(crate) fn requests_in_progress(&self) -> u64 {
        self.requests_in_progress.get()
    }

    /// Jobs in progress.
    pub(crate) fn jobs_in_progress(&self) -> u64 {
        self.jobs_in_progress.get()
    }

    /// Next node in round-robin order, as a load balancer without health checks selects it.
    fn next_node(&self) -> SocketAddr {
        let index = self.next.get();
        self.next.set(index + 1);
        self.nodes[index % self.nodes.len()]
    }

    fn count_response(&self, response: &eyre::Result<Response>) {
        let code = response.as_ref().map_or(0, |response| response.code);
        *self.stats.codes.borrow_mut().entry(code).or_default() += 1;
    }

    async fn send_requests(self: Rc<Self>) {
        let started = Instant::now();
        let mut number = 0;
        while self.sending_requests.get() {
            let due = started + REQUEST_INTERVAL * number;
            compio::time::sleep_until(due).await;
            let in_progress = InProgress::new(&self.requests_in_progress);
            compio::runtime::spawn(
                self.clone()
                    .send_request(u64::from(number), due, in_progress),
            )
            .detach();
            number += 1;
        }
    }

    async fn send_request(self: Rc<Self>, number: u64, due: Instant, _in_progress: InProgress) {
        let non_idempotent = number.is_multiple_of(NON_IDEMPOTENT_EVERY);
        let mut refusals = 0;
        for _ in 0..MAX_ATTEMPTS {
            // If the response says "not run", the caller sends a new request under a new tag; without a
            // response it repeats the same request.
            let tag = format!("quick-{number}-{refusals}");
            let response = self.attempt(&tag, non_idempotent).await;
            match response.map_or(0, |response| response.code) {
                3_001 => {
                    let latencies = if non_idempotent {
                        &self.stats.non_idempotent
                    } else {
                        &self.stats.idempotent
                    };
                    return latencies.record(due);
                }
                1_000..=1_999 => refusals += 1,
                2_000..=2_999 if non_idempotent => break,
                _ => {}
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
        self.stats.unserved.set(self.stats.unserved.get() + 1);
    }

    async fn attempt(&self, tag: &str, non_idempotent: bool) -> eyre::Result<Response> {
        let key = [("idempotency-key", tag)];
        let repeat = [("idempotent", "true"), ("may-repeat", "true")];
        let mut headers = vec![
            ("tag", tag),
            ("deadline-ms", DEADLINE_MS),
            ("service-ms", SERVICE_MS),
        ];
        headers.extend_from_slice(if non_idempotent { &key } else { &repeat });
        let path = format!("/v1/services/{SERVICE}/requests");
        let call = self.client.call(
            Method::POST,
            self.next_node(),
            &path,
            &headers,
            tag.to_owned(),
        );
        let response = call.await;
        self.count_response(&response);
        if let Ok(response) = &response
            && let Ok(code) = ResultCode::try_from(response.code)
        {
            let whole = response.body == format!("answer to {tag}");
            let tag = tag.into();
            self.stats
                .responses
                .borrow_mut()
                .push(CallerResponse { tag, code, whole });
        }
        response
    }

    async fn send_jobs(self: Rc<Self>, caller: u64) {
        let mut number = 0;
        while self.sending_jobs.get() {
            let _in_progress = InProgress::new(&self.jobs_in_progress);
            let run_ms = if caller == 0 {
                LONG_TASK_RUN_MS
            } else {
                TASK_RUN_MS
            };
            match self.submit(&format!("job-{caller}-{number}"), run_ms).await {
                Some(location) => self.wait_for_job(&location).await,
                None => compio::time::sleep(RETRY_DELAY).await,
            }
            number += 1;
        }
    }

    /// Submits a job under an idempotency key, with retries; returns its path once it is accepted.
    async fn submit(&self, key: &str, run_ms: u64) -> Option<String> {
        let memory_mb = CORES_PER_TASK * 3_000;
        let cpu_milli = CORES_PER_TASK * 1_000;
        let body = format!(
            "{{\"tasks\":{TASKS_PER_JOB},\"cpu_milli\":{cpu_milli},\"memory_mb\":{memory_mb},\
             \"expected_run_ms\":{run_ms},\"resumable\":true}}"
        );
        let headers = [
            ("idempotency-key", key),
            ("idempotent", "true"),
            ("urgency", "batch"),
        ];
        let path = format!("/v1/services/{SERVICE}/jobs");
        for _ in 0..MAX_ATTEMPTS {
            let call = self.client.call(
                Method::POST,
                self.next_node(),
                &path,
                &headers,
                body.clone(),
            );
            let response = call.await;
            self.count_response(&response);
            if let Ok(response) = response
                && response.status == 202
            {
                self.stats.accepted.set(self.stats.accepted.get() + 1);
                let accepted: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
                return Some(format!("/v1/jobs/{}", accepted["job"].as_str()?));
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Waits until an accepted job has ended and records the result.
    async fn wait_for_job(&self, location: &str) {
        let path = format!("{location}?wait_ms=2000");
        loop {
            let status: eyre::Result<serde_json::Value> =
                self.client.get_json(self.next_node(), &path).await;
            let Ok(status) = status else {
                compio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            match status["result"].as_u64() {
                None => {}
                Some(3_001) => return self.stats.completed.set(self.stats.completed.get() + 1),
                Some(_) => return self.stats.lost.borrow_mut().push(status.to_string()),
            }
        }
    }
}
