//! Tending of one worker: renewing its lease and collecting its reports.

use std::rc::Rc;

use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::workflow::{Listing, Report, WorkerKey};
use hemlocksaddle_types::clock::{Millis, MonoMs};
use serde_json::json;

use crate::{
    event::Event,
    owner::Owner,
    ports::{Look, Timed, WorkerError},
};

/// Wait of one look for an end.
const LOOK_WAIT_MS: Millis = Millis(1_000);

/// Wait of one look at a worker whose tails are watched: the window of a reported tail.
const SHARED_WAIT_MS: Millis = Millis(350);

/// Time for the answer of a look beyond its wait.
const ANSWER_MS: Millis = Millis(600);

/// Pause before a worker that did not answer is asked again.
const RETRY_MS: Millis = Millis(150);

/// Longest pause before ends are listed again that are not durable yet.
const UNSAVED_PAUSE_MS: Millis = Millis(500);

/// Slowest rate of a worker's clock, as a divisor: 2% slow.
const SLOWEST_RATE: f64 = 0.98;

/// Allowance for rounding and for the time between a check and its effect.
const LEASE_MARGIN_MS: u64 = 60;

/// Worker's clock as of its latest answer.
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

    /// Time on the worker's clock `span` from now, at most.
    pub(crate) fn after(&self, now: MonoMs, span: Millis) -> u64 {
        self.clock_ms + now.since(self.received_at).0 + span.0
    }

    /// Time by which the worker's clock has certainly passed a time of it.
    pub(crate) fn passed_by(&self, clock_ms: u64) -> MonoMs {
        let span = clock_ms.saturating_sub(self.clock_ms) as f64 / SLOWEST_RATE;
        self.received_at + Millis(span as u64 + LEASE_MARGIN_MS)
    }
}

impl Owner {
    /// Tends workers that are new.
    pub(crate) fn tend_all(self: &Rc<Self>, workers: Vec<WorkerKey>) {
        for key in workers {
            let owner = self.clone();
            self.env.spawn(async move { owner.tend(key).await });
        }
    }

    async fn tend(self: Rc<Self>, key: WorkerKey) {
        let mut silent = false;
        // Nothing is placed on a worker before its first report, so the first look does not wait.
        let mut is_new = true;
        while !self.ended.get() {
            let Some(listing) = self.listing(key) else {
                return;
            };
            if self.has_unsaved_ends(key) {
                self.wait_for_save(key).await;
            }
            let shared = self
                .board
                .borrow()
                .worker(key)
                .is_some_and(|worker| worker.is_shared());
            let wait = if silent || is_new {
                Millis(0)
            } else if shared {
                SHARED_WAIT_MS
            } else {
                LOOK_WAIT_MS
            };
            match self.look(key, &listing, wait, !silent).await {
                Ok(()) => {
                    if silent {
                        self.worker_event(Event::WorkerRegained, &listing, "answered");
                    }
                    silent = false;
                    is_new = false;
                }
                Err(WorkerError::Fenced) => return self.depose("worker has seen a higher term"),
                Err(WorkerError::OtherLife) => {
                    self.worker_event(Event::WorkerLost, &listing, "has a new life");
                    self.board.borrow_mut().remove_worker(key);
                    self.changed.notify();
                    return;
                }
                Err(error) => {
                    if !silent {
                        self.worker_event(Event::WorkerLost, &listing, &format!("{error:?}"));
                    }
                    silent = true;
                    self.board.borrow_mut().set_worker_silent(key, true);
                    self.env.sleep(RETRY_MS).await;
                }
            }
        }
    }

    /// Latest listing of a worker that is still known.
    pub(crate) fn listing(&self, key: WorkerKey) -> Option<Listing> {
        let board = self.board.borrow();
        board.worker(key).map(|worker| worker.listing.clone())
    }

    fn worker_event(&self, event: Event, listing: &Listing, reason: &str) {
        let inputs = json!({
            "worker": &*listing.name, "born_ms": listing.born_ms, "reason": reason,
        });
        self.env.event(event, &inputs);
    }

    fn has_unsaved_ends(&self, key: WorkerKey) -> bool {
        let board = self.board.borrow();
        board
            .worker(key)
            .is_some_and(|worker| worker.has_unsaved_ends())
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
        // While the store is away, the lease is renewed and new ends are listed all the same.
        let _ = within(&*self.env.ports.runtime, UNSAVED_PAUSE_MS, saved).await;
    }

    /// Asks for a report at once, beside the look that may be waiting.
    pub(crate) fn look_now(self: &Rc<Self>, key: WorkerKey) {
        let owner = self.clone();
        self.env.spawn(async move {
            let Some(listing) = owner.listing(key) else {
                return;
            };
            if let Err(WorkerError::Fenced) = owner.look(key, &listing, Millis(0), true).await {
                owner.depose("worker has seen a higher term");
            }
        });
    }

    async fn look(
        self: &Rc<Self>,
        key: WorkerKey,
        listing: &Listing,
        wait: Millis,
        renew: bool,
    ) -> Result<(), WorkerError> {
        let sent_at = self.env.now();
        let (saved_ends, unsaved) = {
            let board = self.board.borrow();
            let worker = board.worker(key).ok_or(WorkerError::OtherLife)?;
            (worker.saved_ends, worker.has_unsaved_ends())
        };
        // A wait would end at once while ends are listed again.
        let wait = if unsaved { Millis(0) } else { wait };
        let look = Look {
            lease_until_ms: if renew { self.renewed_lease(key) } else { None },
            saved_ends,
            wait,
            term: self.term,
        };
        let asked = self.env.ports.fleet.look(listing, look);
        let answer = within(&*self.env.ports.runtime, wait + ANSWER_MS, asked).await;
        let timed = answer.unwrap_or(Err(WorkerError::Unknown))?;
        self.answered(key, listing, &timed)?;
        let report = Report {
            sent_at,
            ..timed.value
        };
        self.apply_report(key, listing, &report);
        Ok(())
    }

    /// Lease for the next call, noted on the board before it is sent.
    pub(crate) fn renewed_lease(&self, key: WorkerKey) -> Option<u64> {
        // Without the right, a successor counts on the leases to lapse.
        if !self.may_act() {
            return None;
        }
        let clock = *self.clocks.borrow().get(&key)?;
        let until_ms = clock.after(self.env.now(), self.env.settings.lease_ms);
        let passed_by = clock.passed_by(until_ms);
        self.board.borrow_mut().extend_lease(key, passed_by);
        Some(until_ms)
    }

    /// Notes the clock of an answer and checks the life it comes from.
    pub(crate) fn answered<T>(
        &self,
        key: WorkerKey,
        listing: &Listing,
        timed: &Timed<T>,
    ) -> Result<(), WorkerError> {
        if timed
            .born_ms
            .is_some_and(|born_ms| born_ms > listing.born_ms)
        {
            return Err(WorkerError::OtherLife);
        }
        let now = self.env.now();
        if let Some(clock_ms) = timed.clock_ms {
            let first = self
                .clocks
                .borrow_mut()
                .insert(key, WorkerClock::new(clock_ms, now))
                .is_none();
            if first {
                // A predecessor may have renewed the lease just before this term.
                let until_ms = clock_ms + self.env.settings.lease_ms.0;
                let passed_by = WorkerClock::new(clock_ms, now).passed_by(until_ms);
                self.board.borrow_mut().extend_lease(key, passed_by);
            }
        }
        Ok(())
    }

    fn apply_report(&self, key: WorkerKey, listing: &Listing, report: &Report) {
        let now = self.env.now();
        let mut board = self.board.borrow_mut();
        let applied = board.worker(key).map_or(0, |worker| worker.applied_ends);
        board.apply_report(key, report, now, self.env.wall());
        drop(board);
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
