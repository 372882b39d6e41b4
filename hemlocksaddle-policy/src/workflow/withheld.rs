//! Ends that must not be acknowledged yet.
//!
//! Where a worker was silent past its lease, its tasks are started again. A run of one of them may have completed
//! before the lease expired, and be reported later. The result of the later run counts, and the first end is
//! acknowledged only if the lease has certainly expired since, for otherwise the task would have run twice. As
//! ends are acknowledged in their order, all later ends of the worker wait as well.
//!
//! Usually the lease has not been renewed when the end is reported, and the end is released at once. Otherwise it
//! is withheld until the lease expires, which is not renewed while nothing runs on the worker.

use hemlocksaddle_types::clock::MonoMs;

use super::{End, Scheduler, Worker, WorkerKey};

impl Worker {
    /// Number up to which applied ends may be acknowledged once they are durable.
    pub(super) fn acknowledgeable_ends(&self) -> u64 {
        let withheld = self.withheld_end.unwrap_or(u64::MAX);
        self.applied_ends.min(withheld - 1)
    }

    /// Whether the worker lists ends that must not be acknowledged; it then answers each report
    /// request at once.
    #[must_use]
    pub fn withholds_ends(&self) -> bool {
        self.withheld_end.is_some()
    }

    /// Whether the lease may be renewed.
    ///
    /// An idle worker with a withheld end has to lose its lease before it can be used without limits again.
    #[must_use]
    pub fn may_renew_lease(&self) -> bool {
        self.withheld_end.is_none() || !self.tasks.is_empty()
    }

    /// Stops withholding ends if the lease has certainly expired.
    ///
    /// No run outlives the lease, so all ends known by now were reached before it expired.
    pub(super) fn release_ends(&mut self, now: MonoMs) {
        if now > self.lease_until {
            self.withheld_end = None;
        }
    }
}

impl Scheduler {
    /// Keeps an end of a worker from being acknowledged until its lease has expired.
    pub(super) fn withhold(&mut self, worker: WorkerKey, end: &End) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.withheld_end.get_or_insert(end.number);
        }
    }

    /// Extends the time until which tasks may run on a worker to the end of a lease that may have been granted
    /// before its clock was known.
    ///
    /// Leases of a predecessor have expired by the end of the failover.
    pub fn assume_earlier_lease(&mut self, key: WorkerKey, until: MonoMs) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let until = if worker.inherited {
            until.min(self.earlier_leases_expired_at(worker))
        } else {
            until
        };
        self.extend_lease(key, until);
    }
}
