//! Polling of workers: renews their leases and collects their reports.

use std::rc::Rc;

use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::{
    congestion::silent_poll_pause,
    workflow::{Listing, REPORT_WAIT_MS, Report, WorkerKey},
};
use hemlocksaddle_types::clock::{Millis, MonoMs};
use serde_json::json;

use crate::{
    event::Event,
    owner::Owner,
    ports::{ReportRequest, Timed, WorkerError},
};

/// Like `REPORT_WAIT_MS`, for a worker whose tail latencies are monitored; equals the window of one
/// reported value.
const SHARED_REPORT_WAIT_MS: Millis = Millis(350);

/// Shortest timeout of a report request, beyond its wait.
const MIN_ANSWER_TIMEOUT_MS: Millis = Millis(600);

/// Longest timeout of a report request, beyond its wait, while answers take long.
const MAX_ANSWER_TIMEOUT_MS: Millis = Millis(2_500);

/// Pause between two report requests to a worker that lists ends which are not acknowledged.
const WITHHELD_PAUSE_MS: Millis = Millis(300);

/// Number of reports in a row that were answered without waiting and without ends, from which the owner pauses.
///
/// A worker that begins or stops many runs answers early a few times in a row.
const MAX_EARLY_ANSWERS: u32 = 20;

/// Pause after each further report of such a worker.
const EARLY_ANSWER_PAUSE_MS: Millis = Millis(50);

/// Longest wait for reported ends to become durable before the next request.
///
/// A report lists ends again until they are acknowledged as durable.
const MAX_SAVE_WAIT_MS: Millis = Millis(500);

/// Maximum number of lost runs in the log line of a crash; the most suspected come first.
const MAX_LOGGED_RUNS: usize = 8;

/// Lowest rate of a worker's clock relative to this node's: 2% slow.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Margin for rounding and for the delay between a check and its effect.
const LEASE_MARGIN_MS: u64 = 60;

/// Reading of a worker's clock, from its latest answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    clock_ms: u64,
    received_at: MonoMs,
}

impl WorkerClock {
    pub(crate) fn new(clock_ms: u64, received_at: MonoMs) -> WorkerClock {
        WorkerClock {
            clock_ms,
            received_at,
        }
    }

    /// Returns a time on the worker's clock that is at most `duration` after `now`, apart from clock
    /// drift.
    ///
    /// It is earlier by the transit time of the answer that carried the reading.
    pub(crate) fn deadline_in(&self, now: MonoMs, duration: Millis) -> u64 {
        self.clock_ms + now.since(self.received_at).0 + duration.0
    }

    /// Returns the local time by which the worker's clock has certainly passed `clock_ms`.
    pub(crate) fn passed_by(&self, clock_ms: u64) -> MonoMs {
        let duration = clock_ms.saturating_sub(self.clock_ms) as f64 / MIN_CLOCK_RATE;
        self.received_at + Millis(duration as u64 + LEASE_MARGIN_MS)
    }

    /// Returns whether a reading in the answer to a call of `sent_at` may be of the same clock.
    ///
    /// A later process starts its clock anew.
    fn may_read(&self, clock_ms: u64, sent_at: MonoMs) -> bool {
        if sent_at < self.received_at {
            // The answers may have overtaken each other.
            return true;
        }
        let passed_ms = sent_at.since(self.received_at).0 as f64 * MIN_CLOCK_RATE;
        clock_ms + LEASE_MARGIN_MS >= self.clock_ms + passed_ms as u64
    }
}

/// Process that an answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Process {
    /// The listed one, as far as the answer tells.
    Listed,
    /// A later one of the same name, with its start time in milliseconds.
    Later(u64),
    /// A later one, of which the answer shows only a clock that started anew.
    Unknown,
}

impl Owner {
    /// Starts a polling task for each of the workers.
    fn poll_workers(self: &Rc<Self>, workers: Vec<WorkerKey>) {
        for key in workers {
            let owner = self.clone();
            self.env.spawn(async move { owner.poll_worker(key).await });
        }
    }

    async fn poll_worker(self: Rc<Self>, key: WorkerKey) {
        let mut silent = false;
        // No task is placed on a worker before its first report, so the first request does not wait.
        let mut is_new = true;
        let mut withholds = false;
        let mut early_answers = 0;
        while !self.ended.get() {
            let Some(listing) = self.listing(key) else {
                return self.worker_calls.forget(key);
            };
            if self.has_unsaved_ends(key) {
                self.wait_for_save(key).await;
            }
            if !silent && !is_new {
                self.wait_for_release(key).await;
            }
            let (is_shared, is_over_target) = {
                let scheduler = self.scheduler.borrow();
                let worker = scheduler.worker(key);
                worker.map_or((false, false), |worker| {
                    (worker.is_shared(), worker.is_over_target())
                })
            };
            let wait = if silent || is_new {
                Millis(0)
            } else if is_over_target {
                // Whether a change of pace sufficed has to show in time, even on a slow path.
                SHARED_REPORT_WAIT_MS
            } else if is_shared {
                let latency = self.latency.get();
                latency.report_wait(SHARED_REPORT_WAIT_MS, REPORT_WAIT_MS)
            } else {
                REPORT_WAIT_MS
            };
            let sent_at = self.env.now();
            match self.fetch_report(key, &listing, wait, !silent).await {
                Ok(()) => {
                    let took = self.env.now().since(sent_at);
                    if took.0 >= wait.0 / 4 || self.has_unsaved_ends(key) {
                        early_answers = 0;
                    } else {
                        early_answers += 1;
                    }
                    if early_answers >= MAX_EARLY_ANSWERS {
                        if early_answers == MAX_EARLY_ANSWERS {
                            self.worker_event(Event::OddAnswer, &listing, "does not wait");
                        }
                        self.env.sleep(EARLY_ANSWER_PAUSE_MS).await;
                    }
                    if silent {
                        self.worker_event(Event::WorkerRegained, &listing, "answered");
                    }
                    silent = false;
                    is_new = false;
                    if self.withholds_ends(key) != withholds {
                        withholds = !withholds;
                        let (event, reason) = if withholds {
                            (Event::EndsWithheld, "its task was started again")
                        } else {
                            (Event::EndsReleased, "the lease has expired")
                        };
                        self.worker_event(event, &listing, reason);
                    }
                    if withholds {
                        self.env.sleep(WITHHELD_PAUSE_MS).await;
                    }
                }
                Err(WorkerError::Fenced) => return self.step_down("worker has seen a higher term"),
                Err(WorkerError::OtherLife) => {
                    self.worker_event(Event::WorkerLost, &listing, "has a new life");
                    let now = self.env.now();
                    self.scheduler.borrow_mut().worker_replaced(key, now);
                    self.log_crashes();
                    self.changed.notify();
                    return;
                }
                // Replaced by a later process while the request was open.
                Err(_) if self.listing(key).is_none() => return,
                Err(error) => {
                    if !silent {
                        self.worker_event(Event::WorkerLost, &listing, &format!("{error:?}"));
                    }
                    silent = true;
                    let pause = {
                        let mut scheduler = self.scheduler.borrow_mut();
                        scheduler.set_worker_silent(key, true, self.env.now());
                        silent_poll_pause(scheduler.silent_workers())
                    };
                    self.env.sleep(pause).await;
                }
            }
        }
    }

    /// Returns the latest listing of a worker; `None` once it is removed.
    pub(crate) fn listing(&self, key: WorkerKey) -> Option<Listing> {
        let scheduler = self.scheduler.borrow();
        scheduler.worker(key).map(|worker| worker.listing.clone())
    }

    fn worker_event(&self, event: Event, listing: &Listing, reason: &str) {
        let inputs = json!({
            "worker": &*listing.name, "born_ms": listing.born_ms, "reason": reason,
        });
        self.env.event(event, &inputs);
    }

    /// Logs crashes of workers with the runs that were lost.
    pub(crate) fn log_crashes(&self) {
        let crashes = self.scheduler.borrow_mut().take_crashes();
        for crash in crashes {
            self.env.metrics.worker_crashes.inc();
            let runs = crash.runs.iter().take(MAX_LOGGED_RUNS).map(|run| {
                json!({
                    "task": run.task.to_string(), "run": run.run.0,
                    "survived_ms": run.survived.0, "suspicion": run.suspicion,
                    "total_suspicion": run.total_suspicion,
                })
            });
            let inputs = json!({
                "worker": &*crash.worker, "silent_ms": crash.silent.0, "steady": crash.steady, "outage": format!("{:?}", crash.outage),
                "lost": crash.runs.len(),
                "runs": runs.collect::<Vec<_>>(),
            });
            self.env.event(Event::WorkerCrashed, &inputs);
        }
    }

    fn has_unsaved_ends(&self, key: WorkerKey) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler
            .worker(key)
            .is_some_and(|worker| worker.has_unsaved_ends())
    }

    fn withholds_ends(&self, key: WorkerKey) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler
            .worker(key)
            .is_some_and(|worker| worker.withholds_ends())
    }

    async fn wait_for_save(&self, key: WorkerKey) {
        let saved = async {
            loop {
                let seen = self.saved.count();
                if !self.has_unsaved_ends(key) || self.ended.get() {
                    return;
                }
                self.saved.wait_past(seen).await;
            }
        };
        // The wait is bounded: the lease has to be renewed even if the store is unavailable.
        let _ = within(&*self.env.ports.runtime, MAX_SAVE_WAIT_MS, saved).await;
    }

    /// Requests a report immediately, in addition to a request that may be waiting.
    pub(crate) fn fetch_report_now(self: &Rc<Self>, key: WorkerKey) {
        if !self.worker_calls.ask_report(key) {
            return;
        }
        let owner = self.clone();
        self.env.spawn(async move {
            loop {
                if let Some(listing) = owner.listing(key)
                    && let Err(WorkerError::Fenced) =
                        owner.fetch_report(key, &listing, Millis(0), true).await
                {
                    owner.step_down("worker has seen a higher term");
                }
                if !owner.worker_calls.report_ended(key) {
                    return;
                }
            }
        });
    }

    async fn fetch_report(
        self: &Rc<Self>,
        key: WorkerKey,
        listing: &Listing,
        wait: Millis,
        renew: bool,
    ) -> Result<(), WorkerError> {
        let sent_at = self.env.now();
        let (saved_ends, unsaved) = {
            let scheduler = self.scheduler.borrow();
            let worker = scheduler.worker(key).ok_or(WorkerError::Unknown)?;
            (worker.ends_to_acknowledge(), worker.has_unsaved_ends())
        };
        // The worker answers at once in any case while it has ends to list.
        let wait = if unsaved { Millis(0) } else { wait };
        let request = ReportRequest {
            lease_until_ms: if renew { self.renewed_lease(key) } else { None },
            saved_ends,
            wait,
            term: self.term,
        };
        let latency = self.latency.get();
        let timeout = wait + latency.timeout(MIN_ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS);
        let timed = self
            .dispatcher
            .fetch_report(listing, request, timeout)
            .await?;
        if wait == Millis(0) {
            self.record_latency(sent_at);
        }
        let key = match self.check_answer(key, listing, &timed, sent_at) {
            Process::Listed => key,
            Process::Later(born_ms) => {
                let key = self.replace_worker(key, born_ms);
                let key = key.ok_or(WorkerError::Unknown)?;
                if let Some(clock_ms) = timed.clock_ms {
                    self.record_clock(key, clock_ms);
                }
                key
            }
            Process::Unknown => {
                self.scheduler.borrow_mut().doubt_worker(key);
                return Err(WorkerError::Unknown);
            }
        };
        let report = Report {
            sent_at,
            ..timed.value
        };
        self.apply_report(key, listing, &report);
        Ok(())
    }

    /// Returns the lease for the next call, after recording it in the scheduler.
    pub(crate) fn renewed_lease(&self, key: WorkerKey) -> Option<u64> {
        // Read before the check, because the process may be stopped after it.
        let now = self.env.now();
        // Without the ownership lease, a successor may already be waiting for this lease to expire.
        let lease = {
            let scheduler = self.scheduler.borrow();
            let worker = scheduler.worker(key)?;
            if worker.is_doubted() || !worker.may_renew_lease() {
                return None;
            }
            self.worker_lease(worker)?
        };
        let clock = *self.clocks.borrow().get(&key)?;
        let until_ms = clock.deadline_in(now, lease);
        let passed_by = clock.passed_by(until_ms);
        self.scheduler.borrow_mut().extend_lease(key, passed_by);
        Some(until_ms)
    }

    /// Tells which process an answer came from; records its clock if it is the listed one.
    pub(crate) fn check_answer<T>(
        &self,
        key: WorkerKey,
        listing: &Listing,
        timed: &Timed<T>,
        sent_at: MonoMs,
    ) -> Process {
        if let Some(born_ms) = timed.born_ms.filter(|born_ms| *born_ms > listing.born_ms) {
            return Process::Later(born_ms);
        }
        let Some(clock_ms) = timed.clock_ms else {
            return Process::Listed;
        };
        let known = self.clocks.borrow().get(&key).copied();
        if timed.born_ms.is_none() && known.is_some_and(|known| !known.may_read(clock_ms, sent_at))
        {
            return Process::Unknown;
        }
        self.record_clock(key, clock_ms);
        Process::Listed
    }

    fn record_clock(&self, key: WorkerKey, clock_ms: u64) {
        let clock = WorkerClock::new(clock_ms, self.env.now());
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.record_clock(key, clock_ms);
        if self.clocks.borrow_mut().insert(key, clock).is_none() {
            // A predecessor may have renewed the lease just before this term.
            let until_ms = clock_ms + self.env.settings.lease_ms.0;
            scheduler.assume_earlier_lease(key, clock.passed_by(until_ms));
        }
    }

    /// Replaces a worker by a later process of the same name; returns its key, if the worker is still known.
    pub(crate) fn replace_worker(
        self: &Rc<Self>,
        key: WorkerKey,
        born_ms: u64,
    ) -> Option<WorkerKey> {
        let listing = self.listing(key)?;
        let new = self
            .scheduler
            .borrow_mut()
            .worker_reborn(key, born_ms, self.env.now());
        self.clocks.borrow_mut().remove(&key);
        self.worker_event(Event::WorkerLost, &listing, "has a new life");
        self.start_polling(vec![new]);
        Some(new)
    }

    /// Starts to poll workers that are new, or that replace an earlier process of the same name.
    pub(crate) fn start_polling(self: &Rc<Self>, workers: Vec<WorkerKey>) {
        let lease = WorkerClock::new(0, self.env.now()).passed_by(self.env.settings.lease_ms.0);
        for &key in &workers {
            self.release_soon(key);
            let mut scheduler = self.scheduler.borrow_mut();
            let runs = scheduler.worker(key).map_or(0, |worker| worker.tasks());
            if runs > 0 {
                // Their leases began with orders that were meant for the earlier process.
                scheduler.extend_lease(key, lease);
                let inputs = json!({
                    "worker": scheduler.worker(key).map(|worker| worker.listing.name.to_string()),
                    "born_ms": scheduler.worker(key).map(|worker| worker.listing.born_ms),
                    "runs": runs,
                });
                drop(scheduler);
                self.env.event(Event::RunsCarriedOver, &inputs);
            }
        }
        self.log_crashes();
        self.poll_workers(workers);
        self.changed.notify();
    }

    fn apply_report(&self, key: WorkerKey, listing: &Listing, report: &Report) {
        let now = self.env.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let applied = scheduler
            .worker(key)
            .map_or(0, |worker| worker.applied_ends);
        scheduler.apply_report(key, report, now, self.env.wall());
        drop(scheduler);
        for end in report.ends.iter().filter(|end| end.number > applied) {
            let kind = format!("{:?}", end.kind);
            self.env.metrics.ends.with_label_values(&[&kind]).inc();
            let inputs = json!({
                "worker": &*listing.name, "number": end.number, "kind": kind,
                "task": end.task.map(|task| task.to_string()), "run": end.run.0,
            });
            self.env.event(Event::RunEnded, &inputs);
        }
        self.changed.notify();
    }
}
