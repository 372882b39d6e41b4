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
use hemlocksaddle_types::clock::Millis;

use crate::{claims::own::LeaseTerms, owner::Owner};

/// Longest time for which a report request or an order to start waits until the worker may get a lease.
///
/// A renewal takes up to 0.3 s while the store is slow. The request would otherwise wait at the worker for
/// a second without renewing its lease, and the task would be placed elsewhere.
const MAX_RELEASE_WAIT_MS: Millis = Millis(500);

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
}
