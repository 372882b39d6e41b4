//! Leases that the owner of a shard holds and grants.
//!
//! The claim names the workers that the owner does not reach, so that a successor waits no longer than their leases
//! last. `hemlocksaddle_policy::unreached` decides to whom leases may be granted meanwhile.

use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::{
    take_over::granted_lease,
    unreached::Process,
    workflow::{Worker, WorkerKey},
};
use hemlocksaddle_types::clock::{Millis, MonoMs};

use serde_json::json;

use crate::{claims::own::LeaseTerms, event::Event, owner::Owner};

/// Longest time for which a report request or an order to start waits until the worker may get a lease.
///
/// A renewal takes up to 0.3 s while the store is slow. The request would otherwise wait at the worker for
/// a second without renewing its lease, and the task would be placed elsewhere.
const MAX_RELEASE_WAIT_MS: Millis = Millis(500);

/// Maximum number of workers in the log line of awaited reports; the longest waits come first.
const MAX_LOGGED_WORKERS: usize = 16;

/// Log of the wait for first reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AwaitedLog {
    since: MonoMs,
    /// Time after which the wait is logged next.
    next_after: Millis,
    /// Whether the end of the wait is not logged yet.
    is_open: bool,
}

impl AwaitedLog {
    pub(crate) fn new(since: MonoMs) -> AwaitedLog {
        AwaitedLog {
            since,
            next_after: Millis(0),
            is_open: false,
        }
    }
}

impl Owner {
    /// Returns whether the ownership lease is valid, so that orders may be sent.
    pub(crate) fn holds_lease(&self) -> bool {
        let from = self.ownership_lease_from.get();
        !self.ended.get() && from.is_some_and(|from| from.lease_is_valid(self.env.clocks()))
    }

    /// Returns the lease that may be granted to a worker now; `None` without the ownership lease, or while the claim
    /// says that the worker gets none.
    pub(crate) fn worker_lease(&self, worker: &Worker) -> Option<Millis> {
        let from = self.ownership_lease_from.get()?;
        let now = self.env.clocks();
        let limit = self.env.settings.lease_ms;
        let may_grant = self.holds_lease() && self.may_grant_lease(worker);
        may_grant.then(|| granted_lease(limit, from, now))
    }

    /// Whether the claim does not keep a worker from getting a lease, by a report request or an order to start.
    pub(crate) fn may_grant_lease(&self, worker: &Worker) -> bool {
        let gate = self.lease_gate.borrow();
        gate.may_grant(&Process::of(&worker.listing), worker.rostered)
    }

    fn is_withheld(&self, key: WorkerKey) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler
            .worker(key)
            .is_some_and(|worker| !self.may_grant_lease(worker))
    }

    /// Returns what the next record of the claim says about leases, and withholds them from now on.
    pub(crate) fn withhold_leases(&self) -> LeaseTerms {
        let terms = if self.ready.get() {
            LeaseTerms {
                none_granted: false,
                unreached: self.scheduler.borrow().unreached(),
            }
        } else {
            self.claims.terms_before_recovery(self.shard, self.term)
        };
        self.lease_gate.borrow_mut().send(terms.withheld());
        terms
    }

    /// Records that the latest renewal is stored.
    pub(crate) fn renewal_stored(&self) {
        self.lease_gate.borrow_mut().stored();
        self.leases_released.notify();
    }

    /// Renews the claim at once if it names a worker that is reached again.
    pub(crate) fn release_soon(&self, worker: WorkerKey) {
        // A named successor claims the shard on the condition that no renewal comes in between.
        if self.is_withheld(worker) && !self.is_offered() {
            self.claim_changed.notify();
        }
    }

    /// Counts the lease of a worker as valid while an order to start waits for its release.
    ///
    /// The lease of a worker that did not answer for long has expired, and the task would be unassigned at once.
    pub(crate) fn hold_for_release(&self, worker: WorkerKey) {
        if self.is_withheld(worker) {
            let until = self.env.now() + MAX_RELEASE_WAIT_MS;
            self.scheduler.borrow_mut().extend_lease(worker, until);
        }
    }

    /// Waits until a worker that answers may get a lease, for a bounded time.
    pub(crate) async fn wait_for_release(&self, worker: WorkerKey) {
        if !self.is_withheld(worker) {
            return;
        }
        self.release_soon(worker);
        let released = async {
            loop {
                let seen = self.leases_released.count();
                if !self.is_withheld(worker) || self.ended.get() {
                    return;
                }
                self.leases_released.wait_past(seen).await;
            }
        };
        let _ = within(&*self.env.ports.runtime, MAX_RELEASE_WAIT_MS, released).await;
    }

    /// Logs and counts the workers for whose first report this owner waits, and until when.
    ///
    /// The line is repeated whenever the time since the claim has doubled.
    pub(crate) fn report_awaited(&self) {
        let now = self.env.now();
        let awaited = self.scheduler.borrow().awaited_reports(now);
        let longest = awaited
            .first()
            .map_or(Millis(0), |(_, until)| until.since(now));
        self.set_awaited(awaited.len(), longest);
        let mut log = self.awaited_log.get();
        let waited = now.since(log.since);
        if !awaited.is_empty() && waited >= log.next_after {
            log.next_after = waited + waited;
            log.is_open = true;
            let workers = awaited.iter().take(MAX_LOGGED_WORKERS);
            let workers = workers.map(
                |(worker, until)| json!({ "worker": &**worker, "within_ms": until.since(now).0 }),
            );
            let inputs = json!({
                "shard": self.shard, "term": self.term, "waited_ms": waited.0,
                "unreported": awaited.len(), "within_ms": longest.0,
                "workers": workers.collect::<Vec<_>>(),
            });
            self.env.event(Event::ReportsAwaited, &inputs);
        }
        if awaited.is_empty() && log.is_open {
            log.is_open = false;
            let inputs = json!({
                "shard": self.shard, "term": self.term, "waited_ms": waited.0,
            });
            self.env.event(Event::FailoverComplete, &inputs);
        }
        self.awaited_log.set(log);
    }

    /// Resets the metrics when ownership ends.
    pub(crate) fn clear_awaited(&self) {
        self.set_awaited(0, Millis(0));
    }

    fn set_awaited(&self, workers: usize, longest: Millis) {
        let metrics = &self.env.metrics;
        let workers = i64::try_from(workers).unwrap_or(i64::MAX);
        metrics.awaited_reports.set(workers);
        metrics.awaited_reports_s.set(longest.0 as f64 / 1_000.0);
    }
}
