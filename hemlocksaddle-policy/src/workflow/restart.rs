//! Workers that start again under their name.
//!
//! An order names the worker and not its process, so that one which was meant for a
//! process may be carried out by the next. The runs that a process had reported ended
//! with it. All others are carried over to the next process: a report of it shows
//! whether it has the run, and after it has answered an order to stop, it refuses the
//! run for good. Only then may the task be started elsewhere.
//!
//! A process starts its clock and the numbers of its ends anew. A clock that is behind
//! is the first sign of a new process where an answer does not tell its start time; no
//! end is acknowledged until a report has told.

use hemlocksaddle_types::clock::MonoMs;

use super::{Listing, Phase, Scheduler, TaskKey, Worker, WorkerKey, worker::Assigned};

/// What is known of a run's presence on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    /// The start was ordered.
    Ordered,
    /// A report of this incarnation listed the run.
    Reported,
    /// The start was ordered from an earlier process of the same name.
    CarriedOver,
}

impl Assigned {
    /// Whether a later process of the worker may hold the run.
    fn may_be_elsewhere(&self) -> bool {
        self.unanswered || self.presence != Presence::Reported
    }
}

impl Worker {
    /// Number up to which ends may be acknowledged in the next report request.
    ///
    /// Zero unless the process is known to be the same: a later one numbers its ends anew, and would drop
    /// ends that nobody has seen.
    #[must_use]
    pub fn ends_to_acknowledge(&self) -> u64 {
        if self.is_silent() || self.doubted {
            0
        } else {
            self.saved_ends
        }
    }

    /// Whether an answer may have come from a later process.
    #[must_use]
    pub fn is_doubted(&self) -> bool {
        self.doubted
    }
}

impl Scheduler {
    /// Replaces a worker by a later process of the same name that answered; returns its key.
    ///
    /// It gets no new tasks until the platform lists it.
    pub fn worker_reborn(&mut self, key: WorkerKey, born_ms: u64, now: MonoMs) -> WorkerKey {
        let Some(worker) = self.workers.get(key) else {
            return key;
        };
        let listing = Listing {
            born_ms,
            draining: false,
            remaining_ms: None,
            ..worker.listing.clone()
        };
        let key = self.replace_process(key, listing, now);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.listed = false;
            self.feasibility = None;
            worker.outdated = true;
        }
        key
    }

    /// Records that an answer may have come from a later process of the same name.
    pub fn doubt_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.doubted = true;
        }
    }

    /// Replaces a worker by a later process of the same name; returns its key.
    ///
    /// Runs that the earlier process has reported ended with it. All others move with their tasks,
    /// since an order to start carries only the name, so that the later process may have them.
    pub(super) fn replace_process(
        &mut self,
        key: WorkerKey,
        listing: Listing,
        now: MonoMs,
    ) -> WorkerKey {
        self.weigh_replacement(key, now);
        let name = listing.name.clone();
        let mut new = Worker::new(listing);
        new.steady_from = self.steady_from(new.listing.address);
        let mut moved = Vec::new();
        if let Some(old) = self.workers.get_mut(key) {
            new.lease_until = old.lease_until;
            new.inherited = old.inherited && old.reported_at.is_none();
            moved.extend(old.tasks.iter().map(|(&task, &assigned)| (task, assigned)));
            moved.retain(|(_, assigned)| assigned.may_be_elsewhere());
            moved.iter().for_each(|&(task, _)| old.remove(task));
        }
        let unstarted = self.take_unstarted(key, now);
        self.remove_worker(key);
        self.departed.remove(&name);
        let new = self.workers.insert(new);
        self.stop_unstarted(new, unstarted);
        self.by_name.insert(name, new);
        for (task, assigned) in moved {
            self.move_run(task, assigned, new);
        }
        new
    }

    /// Assigns a run to a later process of its worker.
    fn move_run(&mut self, key: TaskKey, assigned: Assigned, to: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(to) {
            let assigned = Assigned {
                presence: Presence::CarriedOver,
                ..assigned
            };
            worker.add(key, assigned);
        }
        let task = self.jobs[key.job].task_mut(key);
        if let Phase::Running { worker, .. } = &mut task.phase
            && !assigned.unanswered
        {
            // The next report shows whether it runs there.
            *worker = to;
            return;
        }
        // An order may still arrive. The worker refuses it once it has answered the order to stop.
        task.phase = Phase::Starting {
            worker: to,
            maybe_started: true,
        };
        self.stop(key);
    }
}
