//! Workers, their capacity and the tasks assigned to them.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
    workflow::{Run, TaskName},
};

use super::{
    Listing, OPEN_REQUEST_MS, Scheduler, TaskKey, WorkerKey, capacity::RecentPeak, crash::Suspect,
    restart::Presence, tenancy::Charge,
};

/// Consecutive failures after which a worker is suspended.
const FAILURES_TO_SUSPEND: u32 = 2;

/// First suspension of a worker whose tasks fail; it doubles up to [`MAX_SUSPEND_MS`].
///
/// Longer than a typical task takes, so that the fault has had time to pass when
/// the worker is tried again.
const SUSPEND_MS: Millis = Millis(2_000);

/// Longest suspension of a worker whose tasks fail.
const MAX_SUSPEND_MS: Millis = Millis(8_000);

/// Suspension after a worker refused a task, was unhealthy or could not be reached.
const REFUSED_PAUSE_MS: Millis = Millis(300);

/// Task assigned to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Assigned {
    pub(super) run: Run,
    pub(super) demand: Resources,
    pub(super) best_effort: bool,
    pub(super) long_running: bool,
    /// Tail latency in ms of a long-running task, thousandths of a core in use by any other.
    pub(super) measurement: u64,
    pub(super) presence: Presence,
    /// Whether an order to start the run got no answer; it may still be carried out, also by a later process
    /// of the same name.
    pub(super) unanswered: bool,
}

/// Run on a worker that is not assigned to it and was ordered to stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leftover {
    pub(super) task: TaskName,
    pub(super) run: Run,
    /// Resources that it occupies; `None` if its workflow is not known.
    pub(super) demand: Option<Resources>,
    /// What it counts for its tenant; `None` if that is not known, or no more.
    pub(super) charge: Option<Charge>,
    /// Time at which it was known to run.
    pub(super) seen_at: MonoMs,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Latest listing.
    pub listing: Listing,
    /// Whether the platform still lists the worker.
    pub listed: bool,
    /// Whether the worker is in the durable roster, from which a successor learns which workers
    /// to poll.
    pub rostered: bool,
    /// Whether a predecessor may have used this incarnation.
    pub(super) inherited: bool,
    /// Time at which the latest report was requested.
    pub reported_at: Option<MonoMs>,
    /// Time at which the first report of this term arrived; the worker refuses later calls of predecessors.
    pub(super) first_report_at: Option<MonoMs>,
    /// Local time by which the lease has certainly expired, and all runs on the worker with it.
    pub lease_until: MonoMs,
    /// Number of the last end that was applied.
    pub applied_ends: u64,
    /// Number up to which ends are durable and acknowledged.
    pub saved_ends: u64,
    /// First end that must not be acknowledged before the lease expires: a run completed whose task was
    /// started again.
    pub(super) withheld_end: Option<u64>,
    pub(super) tasks: HashMap<TaskKey, Assigned>,
    /// Resources reserved by tasks; best-effort tasks reserve no processors.
    pub(super) committed: Resources,
    /// Runs that still occupy the worker, although they are not assigned to it.
    pub(super) leftovers: Vec<Leftover>,
    /// CPU requested by best-effort tasks, in thousandths of a core.
    pub(super) best_effort_cpu_milli: u64,
    pub(super) failures_in_row: u32,
    pub(super) suspended_until: MonoMs,
    pub(super) suspend_ms: Millis,
    /// Time of the first call without an answer; `None` if the last call was answered.
    pub(super) silent_since: Option<MonoMs>,
    /// Time of the latest order to start a task.
    pub(super) started_at: MonoMs,
    /// Time until which a task that may crash the worker is watched.
    pub(super) probation_until: MonoMs,
    /// Time from which the worker is taken as steady; later than now after a crash at its address.
    pub(super) steady_from: MonoMs,
    /// Runs whose lease expired while the worker was silent; it may have crashed.
    pub(super) expired: Vec<Suspect>,
    /// Latest reading of the worker's clock.
    pub(super) clock_ms: u64,
    /// Whether an answer may have come from a later process, which the next report shows.
    pub(super) doubted: bool,
    /// Whether the listing describes an earlier process, which may have had other labels and another
    /// capacity.
    pub(super) outdated: bool,
    pub(super) paced_at: MonoMs,
    /// Report after which the runs were last checked for stalls.
    pub(super) stalls_checked_at: Option<MonoMs>,
    /// Whether the runs or their measurements may have changed since the paces were last allocated.
    pub(super) pace_due: bool,
    /// Whether some best-effort run may be halted.
    pub(super) has_halted: bool,
    pub(super) learned_at: MonoMs,
    /// Time since which the tail of a long-running task has exceeded its target.
    pub(super) over_target_since: Option<MonoMs>,
    /// CPU reserved by long-running tasks, in thousandths of a core; included in `committed`.
    pub(super) long_running_cpu_milli: u64,
    /// Recent peak of the CPU reserved by tasks that are neither long-running nor best-effort.
    pub(super) short_task_peak: RecentPeak,
}

impl Worker {
    pub(super) fn new(listing: Listing) -> Worker {
        Worker {
            listing,
            listed: true,
            rostered: false,
            inherited: false,
            reported_at: None,
            first_report_at: None,
            lease_until: MonoMs(0),
            applied_ends: 0,
            saved_ends: 0,
            withheld_end: None,
            tasks: HashMap::default(),
            committed: Resources::default(),
            leftovers: Vec::new(),
            best_effort_cpu_milli: 0,
            failures_in_row: 0,
            suspended_until: MonoMs(0),
            suspend_ms: SUSPEND_MS,
            silent_since: None,
            started_at: MonoMs(0),
            probation_until: MonoMs(0),
            steady_from: MonoMs(0),
            expired: Vec::new(),
            clock_ms: 0,
            doubted: false,
            outdated: false,
            paced_at: MonoMs(0),
            stalls_checked_at: None,
            pace_due: false,
            has_halted: false,
            learned_at: MonoMs(0),
            over_target_since: None,
            long_running_cpu_milli: 0,
            short_task_peak: RecentPeak::default(),
        }
    }

    /// Whether the last report request got no answer.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Whether no request of a predecessor can have been open at the worker when a report was requested at
    /// `sent_at`.
    pub(super) fn answers_this_owner_alone(&self, sent_at: MonoMs) -> bool {
        let first_report_at = self.first_report_at;
        first_report_at.is_some_and(|at| sent_at >= at + OPEN_REQUEST_MS)
    }

    /// Whether a new owner waits for the worker's first report, and may get it soon.
    pub(super) fn is_first_report_due(&self) -> bool {
        self.inherited && self.reported_at.is_none() && self.listed && !self.is_silent()
    }

    /// Number of assigned tasks.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Whether best-effort tasks run beside long-running ones, whose tails must be monitored.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.best_effort_cpu_milli > 0 && self.long_running_cpu_milli > 0
    }

    /// Whether the tail of a long-running task exceeded its target in the last report.
    #[must_use]
    pub fn is_over_target(&self) -> bool {
        self.over_target_since.is_some()
    }

    /// Whether some applied ends are not durable yet.
    #[must_use]
    pub fn has_unsaved_ends(&self) -> bool {
        self.acknowledgeable_ends() > self.saved_ends
    }

    /// Whether the worker certainly runs nothing that it was told to start, and gets no new task
    /// either: it is about to leave, or has left.
    fn is_vacant(&self) -> bool {
        let may_run = !self.tasks.is_empty() || !self.leftovers.is_empty();
        let leaves = self.listing.draining || (self.is_silent() && !self.listed);
        leaves && self.reported_at.is_some() && !may_run
    }

    /// Whether the worker is listed and may get new tasks once it is in the roster.
    fn is_open(&self) -> bool {
        self.listed && !self.listing.draining
    }

    /// Number of applied ends that the worker still lists.
    pub(super) fn listed_ends(&self) -> u64 {
        self.applied_ends.saturating_sub(self.saved_ends)
    }

    pub(super) fn free(&self) -> Resources {
        let mut occupied = self.committed;
        for leftover in &self.leftovers {
            occupied += leftover.demand.unwrap_or_default();
        }
        self.listing.capacity.saturating_sub(&occupied)
    }

    /// Adds a run; returns the record of the same run that it replaces.
    pub(super) fn add_leftover(&mut self, leftover: Leftover) -> Option<Leftover> {
        let mut known = self.leftovers.iter();
        let same = |known: &Leftover| (known.task, known.run) == (leftover.task, leftover.run);
        let replaced = known.position(same).map(|at| self.leftovers.remove(at));
        self.leftovers.push(leftover);
        replaced
    }

    /// Whether a run of unknown size occupies the worker.
    pub(super) fn has_unknown_runs(&self) -> bool {
        self.leftovers.iter().any(|run| run.demand.is_none())
    }

    pub(super) fn add(&mut self, key: TaskKey, task: Assigned) {
        self.pace_due = true;
        if self.tasks.insert(key, task).is_none() {
            self.commit(task);
        }
    }

    pub(super) fn remove(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.remove(&key) else {
            return;
        };
        self.pace_due = true;
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

    /// Whether the latest runs on the worker failed.
    fn is_failing(&self) -> bool {
        self.failures_in_row >= FAILURES_TO_SUSPEND
    }

    /// Records a failed run; one that is common in the pool does not count against the worker.
    fn record_failure(&mut self, now: MonoMs, is_common: bool) {
        self.failures_in_row += 1;
        if self.is_failing() && !is_common {
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
    /// Records a run that failed on a worker.
    ///
    /// Where half of the other workers of the pool fail as well, the cause is not the worker, and
    /// suspensions would leave no one to run the next attempts.
    pub(super) fn record_worker_failure(&mut self, key: WorkerKey, now: MonoMs) {
        let Some(pool) = self
            .workers
            .get(key)
            .map(|worker| worker.listing.pool.clone())
        else {
            return;
        };
        let others = self
            .workers
            .iter()
            .filter(|(other, worker)| *other != key && worker.listing.pool == pool);
        let (mut failing, mut all) = (0, 0);
        for (_, worker) in others {
            all += 1;
            failing += usize::from(worker.is_failing());
        }
        let is_common = all > 0 && failing * 2 >= all;
        self.workers[key].record_failure(now, is_common);
    }

    /// Adds the workers that the predecessor used.
    ///
    /// They get no new tasks until the platform lists them. Returns those that were not known before.
    pub fn restore_roster(&mut self, roster: Vec<Listing>) -> Vec<WorkerKey> {
        let mut new = Vec::new();
        for listing in roster {
            let known = self.by_name.get(&listing.name).copied();
            if let Some(key) = known
                && let Some(worker) = self.workers.get_mut(key)
            {
                if worker.listing.born_ms >= listing.born_ms {
                    let is_same = worker.listing.born_ms == listing.born_ms;
                    worker.rostered = is_same;
                    worker.inherited = is_same;
                    continue;
                }
                // The platform's list is out of date.
                self.remove_worker(key);
                self.departed.remove(&listing.name);
            }
            let name = listing.name.clone();
            let mut worker = Worker::new(listing);
            worker.listed = false;
            worker.rostered = true;
            worker.inherited = true;
            let key = self.workers.insert(worker);
            self.by_name.insert(name, key);
            new.push(key);
        }
        new
    }

    /// Listed workers that are not in the durable roster yet and are to stay.
    #[must_use]
    pub fn unrostered(&self) -> Vec<(WorkerKey, Listing)> {
        let workers = self.workers.iter();
        let missing = workers.filter(|(_, worker)| worker.is_open() && !worker.rostered);
        missing
            .map(|(key, worker)| (key, worker.listing.clone()))
            .collect()
    }

    /// Records that a worker is in the durable roster.
    pub fn mark_rostered(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.rostered = true;
        }
    }

    /// Applies the platform's list of workers.
    ///
    /// A new incarnation of a worker replaces the old one, whose tasks have ended with it.
    /// Returns the incarnations that were not known before.
    pub fn list_workers(&mut self, listings: Vec<Listing>, now: MonoMs) -> Vec<WorkerKey> {
        let mut new = Vec::new();
        self.listed_at = now;
        self.feasibility = None;
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
                    worker.outdated = false;
                    continue;
                }
                if listing.born_ms < worker.listing.born_ms {
                    // A late record of an earlier incarnation.
                    worker.listed = !worker.outdated;
                    continue;
                }
                new.push(self.replace_process(key, listing, now));
                continue;
            }
            let name = listing.name.clone();
            let mut worker = Worker::new(listing);
            worker.steady_from = self.steady_from(worker.listing.address);
            let key = self.workers.insert(worker);
            self.by_name.insert(name, key);
            new.push(key);
        }
        let (by_name, workers) = (&self.by_name, &self.workers);
        self.departed.retain(|name| {
            let known = by_name.get(name).and_then(|&key| workers.get(key));
            known.is_none_or(|worker| !worker.is_open())
        });
        new
    }

    /// Unassigns all tasks of a worker incarnation that has certainly ended, and removes it.
    pub(super) fn remove_worker(&mut self, key: WorkerKey) {
        self.unassign_all(key);
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.feasibility = None;
        self.release_charges(worker.leftovers.iter().filter_map(|run| run.charge));
        let name = worker.listing.name;
        if self.by_name.get(&name) == Some(&key) {
            self.by_name.remove(&name);
        }
        self.departed.insert(name);
    }

    /// Records that the platform's list of workers was read and has not changed.
    pub fn workers_unchanged(&mut self, now: MonoMs) {
        self.listed_at = now;
    }

    /// Records whether the last call to a worker got no answer.
    pub fn set_worker_silent(&mut self, key: WorkerKey, silent: bool, now: MonoMs) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.silent_since = silent.then(|| worker.silent_since.unwrap_or(now));
        }
    }

    /// Extends the time until which tasks may run on a worker.
    pub fn extend_lease(&mut self, key: WorkerKey, until: MonoMs) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.lease_until = worker.lease_until.max(until);
        }
    }

    /// Unassigns tasks of workers whose lease has certainly expired; removes unlisted workers, and those
    /// that certainly run nothing from the roster.
    pub fn expire(&mut self, now: MonoMs) {
        let keep_ms = self.limits.keep_ended_ms;
        self.pending_cancels
            .retain(|_, read_at| now.since(*read_at) < keep_ms);
        self.forget_crashes(now);
        for worker in self.workers.values_mut() {
            worker.release_ends(now);
        }
        let workers = self.workers.iter();
        let expired: Vec<WorkerKey> = workers
            .filter(|(_, worker)| self.leases_have_expired(worker, now))
            .map(|(key, _)| key)
            .collect();
        let mut keys = Vec::new();
        let mut ended = Vec::new();
        for &key in &expired {
            let worker = &mut self.workers[key];
            let is_gone = !worker.listed && !worker.may_have_crashed(now);
            if worker.tasks() > 0 || is_gone {
                keys.push(key);
            }
            let leftovers = worker.leftovers.iter_mut();
            ended.extend(leftovers.filter_map(|run| run.charge.take()));
        }
        self.release_charges(ended);
        for key in keys {
            self.mark_ends_unknown(key);
            self.expire_runs(key, now);
            if self.workers[key].listed || self.workers[key].may_have_crashed(now) {
                self.unassign_all(key);
            } else {
                self.remove_worker(key);
            }
        }
        let workers = self.workers.values();
        let left = workers.filter(|worker| {
            let has_left = !worker.listed && self.leases_have_expired(worker, now);
            worker.rostered && (worker.is_vacant() || has_left)
        });
        let left: Vec<_> = left.map(|worker| worker.listing.name.clone()).collect();
        self.departed.extend(left);
    }

    /// Whether all leases on a worker, of any term, have certainly expired.
    fn leases_have_expired(&self, worker: &Worker, now: MonoMs) -> bool {
        let has_reported = worker.reported_at.is_some();
        now > worker.lease_until && (has_reported || now >= self.earlier_leases_expired_at(worker))
    }

    /// Records that the runs on a worker have ended in a way that is not known.
    ///
    /// A successor has to know too, since it does not wait for the worker once it has left.
    fn mark_ends_unknown(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        for &task in worker.tasks.keys() {
            if let Some(job) = self.jobs.get_mut(task.job) {
                job.task_mut(task).end_unknown = true;
                self.unsaved.insert(task.job);
            }
        }
        if worker.inherited && worker.reported_at.is_none() {
            self.missing_reports = true;
            self.mark_inherited_unknown();
        }
    }

    /// Records that inherited tasks that wait may have run on a worker that never reported.
    fn mark_inherited_unknown(&mut self) {
        for &key in &self.open_jobs {
            let job = &mut self.jobs[key];
            if job.inherited && job.mark_waiting_unknown() {
                self.unsaved.insert(key);
            }
        }
    }

    /// Takes the names of workers to remove from the roster.
    pub(super) fn take_departed(&mut self) -> Vec<Arc<str>> {
        let names: Vec<Arc<str>> = self.departed.drain().collect();
        for name in &names {
            let known = self.by_name.get(name);
            if let Some(worker) = known.and_then(|&key| self.workers.get_mut(key)) {
                worker.rostered = false;
            }
        }
        names
    }

    /// Puts back names whose removal from the roster could not be saved.
    pub(super) fn put_back_departed(&mut self, names: Vec<Arc<str>>) {
        self.departed.extend(names);
    }

    fn unassign_all(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        for task in tasks {
            // The worker did not list the end, so that a predecessor may have taken it as ended earlier.
            self.forget_location(task);
            self.unassign(task);
        }
    }
}
