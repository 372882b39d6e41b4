//! Workers on the board.

use std::{net::SocketAddr, sync::Arc};

use foldhash::HashMap;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::DataCentre,
    resources::Resources,
    workflow::Run,
};
use serde::{Deserialize, Serialize};

use super::{Scheduler, TaskKey, WorkerKey, capacity::RecentPeak};

/// Failures in a row after which a worker gets no task for a while.
const FAILURES_TO_SUSPEND: u32 = 2;

/// First pause of a worker that fails its tasks.
///
/// Longer than a usual task takes, so that the probe after it meets a worker
/// whose fault had time to pass.
const SUSPEND_MS: Millis = Millis(2_000);

/// Longest pause of a worker that fails its tasks.
const MAX_SUSPEND_MS: Millis = Millis(8_000);

/// Pause after a worker refused a task as unhealthy or for want of room.
const REFUSED_PAUSE_MS: Millis = Millis(300);

/// Worker as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name.
    pub name: Arc<str>,
    /// Start of the worker's process, which tells its lives apart.
    pub born_ms: u64,
    /// Address.
    pub address: SocketAddr,
    /// Pool.
    pub pool: Arc<str>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Kind and rack.
    pub labels: Vec<Arc<str>>,
    /// Room.
    pub capacity: Resources,
    /// Takes no more tasks.
    pub draining: bool,
    /// Shortest time until a draining worker leaves.
    pub remaining_ms: Option<Millis>,
}

impl Listing {
    /// Rack: the label after the kind.
    #[must_use]
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// Task on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Assigned {
    pub(super) run: Run,
    pub(super) demand: Resources,
    pub(super) best_effort: bool,
    pub(super) long_running: bool,
    /// Tail in milliseconds of a lasting task, processors in use of any other.
    pub(super) measurement: u64,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Latest listing.
    pub listing: Listing,
    /// Whether the platform still lists it.
    pub listed: bool,
    /// Whether the worker is in the durable roster, so that a successor knows to ask it.
    pub rostered: bool,
    /// Time at which the latest report was asked for.
    pub reported_at: Option<MonoMs>,
    /// Time after which everything on it has certainly ended if it is not renewed.
    pub lease_until: MonoMs,
    /// Number of the last end that was applied.
    pub applied_ends: u64,
    /// Number up to which ends are durable.
    pub saved_ends: u64,
    pub(super) tasks: HashMap<TaskKey, Assigned>,
    /// Committed by tasks that reserve their processors.
    pub(super) committed: Resources,
    /// Requested by best-effort tasks.
    pub(super) best_effort_cpu_milli: u64,
    pub(super) failures_in_row: u32,
    pub(super) suspended_until: MonoMs,
    pub(super) suspend_ms: Millis,
    /// Last contact failed.
    pub(super) silent: bool,
    pub(super) paced_at: MonoMs,
    pub(super) learned_at: MonoMs,
    /// Time since which a lasting task exceeds its target.
    pub(super) over_target_since: Option<MonoMs>,
    /// Reserved by lasting tasks, part of what is committed.
    pub(super) long_running_cpu_milli: u64,
    /// Used by tasks that neither last nor are best-effort.
    pub(super) short_task_peak: RecentPeak,
}

impl Worker {
    fn new(listing: Listing) -> Worker {
        Worker {
            listing,
            listed: true,
            rostered: false,
            reported_at: None,
            lease_until: MonoMs(0),
            applied_ends: 0,
            saved_ends: 0,
            tasks: HashMap::default(),
            committed: Resources::default(),
            best_effort_cpu_milli: 0,
            failures_in_row: 0,
            suspended_until: MonoMs(0),
            suspend_ms: SUSPEND_MS,
            silent: false,
            paced_at: MonoMs(0),
            learned_at: MonoMs(0),
            over_target_since: None,
            long_running_cpu_milli: 0,
            short_task_peak: RecentPeak::default(),
        }
    }

    /// Number of placed tasks.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Whether best-effort tasks run beside lasting ones, whose tails have to be watched.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.best_effort_cpu_milli > 0 && self.long_running_cpu_milli > 0
    }

    /// Whether ends wait to be made durable.
    #[must_use]
    pub fn has_unsaved_ends(&self) -> bool {
        self.applied_ends > self.saved_ends
    }

    pub(super) fn free(&self) -> Resources {
        self.listing.capacity.saturating_sub(&self.committed)
    }

    pub(super) fn add(&mut self, key: TaskKey, task: Assigned) {
        if self.tasks.insert(key, task).is_none() {
            self.commit(task);
        }
    }

    pub(super) fn remove(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.remove(&key) else {
            return;
        };
        if task.best_effort {
            self.best_effort_cpu_milli -= task.demand.cpu_milli.min(self.best_effort_cpu_milli);
            let memory = Resources {
                cpu_milli: 0,
                ..task.demand
            };
            self.committed -= memory;
        } else {
            self.committed -= task.demand;
            if task.long_running {
                self.long_running_cpu_milli -=
                    task.demand.cpu_milli.min(self.long_running_cpu_milli);
            }
        }
    }

    fn commit(&mut self, task: Assigned) {
        if task.best_effort {
            self.best_effort_cpu_milli += task.demand.cpu_milli;
            self.committed += Resources {
                cpu_milli: 0,
                ..task.demand
            };
        } else {
            self.committed += task.demand;
            if task.long_running {
                self.long_running_cpu_milli += task.demand.cpu_milli;
            }
        }
    }

    pub(super) fn record_failure(&mut self, now: MonoMs) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_TO_SUSPEND {
            self.suspended_until = now + self.suspend_ms;
            self.suspend_ms = Millis((self.suspend_ms.0 * 2).min(MAX_SUSPEND_MS.0));
        }
    }

    pub(super) fn record_success(&mut self) {
        self.failures_in_row = 0;
        self.suspend_ms = SUSPEND_MS;
    }

    pub(super) fn record_refusal(&mut self, now: MonoMs) {
        self.suspended_until = self.suspended_until.max(now + REFUSED_PAUSE_MS);
    }
}

impl Scheduler {
    /// Adds the workers that the predecessor used; those that are not listed get no new task.
    pub fn restore_roster(&mut self, roster: Vec<Listing>) -> Vec<WorkerKey> {
        let mut new = Vec::new();
        for listing in roster {
            let known = self.by_name.get(&listing.name).copied();
            if let Some(worker) = known.and_then(|key| self.workers.get_mut(key)) {
                worker.rostered = worker.listing.born_ms == listing.born_ms;
                continue;
            }
            let name = listing.name.clone();
            let mut worker = Worker::new(listing);
            worker.listed = false;
            worker.rostered = true;
            let key = self.workers.insert(worker);
            self.by_name.insert(name, key);
            new.push(key);
        }
        new
    }

    /// Workers that are not in the durable roster yet.
    #[must_use]
    pub fn unrostered(&self) -> Vec<(WorkerKey, Listing)> {
        let workers = self.workers.iter();
        let missing = workers.filter(|(_, worker)| worker.listed && !worker.rostered);
        missing
            .map(|(key, worker)| (key, worker.listing.clone()))
            .collect()
    }

    /// Notes that a worker is in the durable roster.
    pub fn mark_rostered(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.rostered = true;
        }
    }

    /// Applies the platform's list of workers.
    ///
    /// A worker with a new life replaces the old one, whose tasks have ended with it.
    /// Returns the lives that were not known before.
    pub fn list_workers(&mut self, listings: Vec<Listing>) -> Vec<WorkerKey> {
        let mut new = Vec::new();
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        for listing in listings {
            let known = self.by_name.get(&listing.name).copied();
            if let Some(key) = known
                && let Some(worker) = self.workers.get_mut(key)
            {
                if listing.born_ms == worker.listing.born_ms {
                    worker.listing = listing;
                    worker.listed = true;
                    continue;
                }
                if listing.born_ms < worker.listing.born_ms {
                    // Listed by a late record of an earlier life.
                    worker.listed = true;
                    continue;
                }
                self.remove_worker(key);
            }
            let name = listing.name.clone();
            let key = self.workers.insert(Worker::new(listing));
            self.by_name.insert(name, key);
            new.push(key);
        }
        new
    }

    /// Takes everything off a worker whose life is certainly over, and forgets it.
    pub fn remove_worker(&mut self, key: WorkerKey) {
        self.unassign_all(key);
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        if self.by_name.get(&worker.listing.name) == Some(&key) {
            self.by_name.remove(&worker.listing.name);
        }
    }

    /// Notes that a call to a worker got no answer.
    pub fn set_worker_silent(&mut self, key: WorkerKey, silent: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.silent = silent;
        }
    }

    /// Extends the time up to which tasks may be alive on a worker.
    pub fn extend_lease(&mut self, key: WorkerKey, until: MonoMs) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.lease_until = worker.lease_until.max(until);
        }
    }

    /// Takes tasks off workers whose lease has certainly lapsed; forgets those that are not listed.
    pub fn expire(&mut self, now: MonoMs) {
        let keep_ms = self.limits.keep_ended_ms;
        self.pending_cancels
            .retain(|_, at| now.since(*at) < keep_ms);
        let takeover_complete = now >= self.takeover_complete_at;
        let lapsed = |worker: &Worker| {
            now > worker.lease_until && (takeover_complete || worker.reported_at.is_some())
        };
        let keys: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| lapsed(worker) && (worker.tasks() > 0 || !worker.listed))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            if self.workers[key].listed {
                self.unassign_all(key);
            } else {
                self.remove_worker(key);
            }
        }
    }

    fn unassign_all(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        for task in tasks {
            self.unassign(task);
        }
    }
}
