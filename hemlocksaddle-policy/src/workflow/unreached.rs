//! Workers that do not answer, and the time until which leases may last on them.
//!
//! A new owner waits for each worker of the roster until it has reported or all leases of earlier terms on it have
//! certainly expired. The latest claim of the predecessor tells when that is for the workers that it names; for
//! all others it is the end of the failover.

use std::{cmp::Reverse, sync::Arc};

use foldhash::HashMap;
use hemlocksaddle_types::clock::MonoMs;

use super::{Scheduler, Worker};
use crate::unreached::{MAX_UNREACHED, Process};

impl Scheduler {
    /// Sets the times by which all leases of earlier terms on the given processes have expired.
    pub fn set_earlier_leases(&mut self, expired_at: HashMap<Process, MonoMs>) {
        self.earlier_leases = expired_at;
    }

    /// Time by which all leases of earlier terms on a worker have expired.
    pub(super) fn earlier_leases_expired_at(&self, worker: &Worker) -> MonoMs {
        let named = self
            .earlier_leases
            .get(&Process::of(&worker.listing))
            .copied();
        let at = named.unwrap_or(self.failover_complete_at);
        at.min(self.failover_complete_at)
    }

    /// Whether every worker that a predecessor may have used has reported in this term, or all
    /// earlier leases on it have expired.
    #[must_use]
    pub fn is_failover_complete(&self, now: MonoMs) -> bool {
        let mut awaited = self.workers.values().filter(|worker| worker.is_awaited());
        awaited.all(|worker| now >= self.earlier_leases_expired_at(worker))
    }

    pub(super) fn all_reported(&self) -> bool {
        !self.workers.values().any(Worker::is_awaited)
    }

    /// Names of the workers for whose first report this owner waits, with the time until which it does,
    /// latest first.
    #[must_use]
    pub fn awaited_reports(&self, now: MonoMs) -> Vec<(Arc<str>, MonoMs)> {
        let awaited = self.workers.values().filter(|worker| worker.is_awaited());
        let until = awaited.map(|worker| {
            let until = self.earlier_leases_expired_at(worker);
            (worker.listing.name.clone(), until)
        });
        let mut until: Vec<_> = until.filter(|(_, until)| now < *until).collect();
        until.sort_by_key(|(_, until)| Reverse(*until));
        until
    }

    /// Workers that did not answer the last call, or have not reported since a predecessor named them,
    /// with the time by which all leases on them, of any term, have expired; none if there are too many to be
    /// named.
    ///
    /// Holds as long as this owner grants them no lease. A successor knows only workers in the roster.
    #[must_use]
    pub fn unreached(&self) -> Vec<(Process, MonoMs)> {
        let is_unreached = |worker: &&Worker| {
            let was_named = self
                .earlier_leases
                .contains_key(&Process::of(&worker.listing));
            worker.rostered && (worker.is_silent() || worker.is_awaited() && was_named)
        };
        let unreached = self.workers.values().filter(is_unreached);
        let until = unreached.map(|worker| {
            let mut until = worker.lease_until;
            if worker.reported_at.is_none() {
                until = until.max(self.earlier_leases_expired_at(worker));
            }
            (Process::of(&worker.listing), until)
        });
        let until: Vec<_> = until.take(MAX_UNREACHED + 1).collect();
        if until.len() > MAX_UNREACHED {
            return Vec::new();
        }
        until
    }
}

impl Worker {
    /// Whether a predecessor may have used the worker and it has not reported in this term.
    fn is_awaited(&self) -> bool {
        self.inherited && self.reported_at.is_none()
    }
}
