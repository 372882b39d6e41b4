//! Choice of a worker for a task.
//!
//! Long-running tasks are packed with others whose images tolerate the same
//! best-effort images. Interference depends on the pair of images, so such a worker
//! suits more best-effort images than a mixed one, and some workers keep no
//! long-running task at all. Other tasks that reserve processors go to the worker
//! with the smallest committed share. Best-effort tasks go where the expected tails
//! of the long-running tasks stay below their targets, and among those workers to
//! the one with the most idle processors. A task that may have crashed a worker is kept
//! apart from other starts where possible, so that a further crash shows its cause.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
    workflow::Step,
};

use super::{
    Scheduler, TaskKey, Worker, WorkerKey,
    capacity::CapacityRule,
    pacing::{Headroom, cpu_share},
};

/// Share of its reservation that a long-running task is expected to use, in percent.
///
/// The load of long-running tasks varies around half of what they reserve;
/// best-effort tasks may request the rest.
const LONG_RUNNING_USE_PERCENT: u64 = 55;

/// Fraction of its demand that a best-effort task must be able to use on a worker.
const MIN_USABLE_FRACTION: f64 = 0.9;

/// Cost of a worker without long-running tasks, which only strongly interfering work should use.
const NO_LONG_RUNNING_COST: f64 = 0.6;

/// Cost of a worker with a long-running image that tolerates entirely different best-effort images.
///
/// Workers whose long-running tasks tolerate the same images suit more best-effort work.
const MIXED_IMAGES_COST: f64 = 1.0;

/// Weight of the fraction that a best-effort task could not use, relative to idle processors.
const INTERFERENCE_COST: f64 = 1.0;

/// Penalty of a worker outside the rack that holds the data, as a share of its processors.
const REMOTE_RACK_PENALTY: f64 = 0.5;

/// Penalty of the worker where the latest run failed or was stopped to be moved.
const FAILED_PENALTY: f64 = 4.0;

/// Penalty of a worker on which a crash would not show which task caused it.
const ISOLATION_PENALTY: f64 = 2.0;

/// Penalty of a worker that crashed lately for a task that was lost in a crash, as a share of its
/// processors.
const UNSTEADY_PENALTY: f64 = 0.5;

/// Age of the list of workers from which those that do not check their capacity get no new tasks.
///
/// The platform allows at least 3 s until a capacity that has shrunk counts.
const MAX_LISTING_AGE_MS: Millis = Millis(2_000);

/// Number of listed ends from which a worker gets no new tasks.
///
/// A report contains 500 ends at most; beyond them, new ends would not be seen.
const MAX_LISTED_ENDS_FOR_START: u64 = 300;

/// Why a worker gets no new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unusable {
    /// It is not listed, not in the durable roster, or has not reported in this term.
    Unreported,
    /// It is about to leave.
    Draining,
    /// It did not answer the last call.
    Silent,
    /// It is suspended after failures or a refusal.
    Suspended,
    /// Its data centre is closed.
    Closed,
    /// It lists too many ends, or its capacity or its runs are not known well enough.
    HeldBack,
}

/// Rule that excludes a usable worker for a task, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Obstacle {
    /// The worker lacks the required label.
    Label,
    /// The free capacity is too small.
    Room,
    /// The task would use capacity within the recent peak of short tasks.
    RecentPeak,
    /// The worker is outside the rack that is being tried.
    Rack,
    /// The worker has as many tasks of the step as it may have.
    TasksPerWorker,
    /// The task would interfere with long-running tasks.
    Interference,
}

impl Worker {
    /// Why no new tasks may be started on the worker; `None` if they may.
    fn unusable(&self, now: MonoMs) -> Option<Unusable> {
        if !self.listed || !self.rostered || self.reported_at.is_none() {
            Some(Unusable::Unreported)
        } else if self.listing.draining {
            Some(Unusable::Draining)
        } else if self.silent_since.is_some() {
            Some(Unusable::Silent)
        } else if now < self.suspended_until {
            Some(Unusable::Suspended)
        } else if self.listed_ends() >= MAX_LISTED_ENDS_FOR_START {
            Some(Unusable::HeldBack)
        } else {
            None
        }
    }

    /// Processors that best-effort tasks may still request, in thousandths of a core.
    pub(super) fn idle_cpu_milli(&self) -> u64 {
        let unused = self.long_running_cpu_milli * (100 - LONG_RUNNING_USE_PERCENT) / 100;
        let used = self.committed.cpu_milli + self.best_effort_cpu_milli;
        (self.listing.capacity.cpu_milli + unused).saturating_sub(used)
    }

    fn fits(&self, step: &Step) -> bool {
        if !step.best_effort {
            return step.demand.fits_in(&self.free());
        }
        let free = self.free();
        let reserved = Resources {
            cpu_milli: 0,
            ..step.demand
        };
        reserved.fits_in(&free) && step.demand.cpu_milli <= self.idle_cpu_milli()
    }

    /// Whether the worker has the label and the free capacity for a task of a step.
    pub(super) fn takes(&self, step: &Step) -> bool {
        self.has_label(step) && self.fits(step)
    }

    fn has_label(&self, step: &Step) -> bool {
        let labels = &self.listing.labels;
        step.required_label
            .as_ref()
            .is_none_or(|label| labels.contains(label))
    }
}

/// Worker eligible for new tasks, with its headroom once computed.
pub(super) struct Candidate {
    pub(super) worker: WorkerKey,
    headroom: Option<Vec<Headroom>>,
    /// Whether the worker is kept free for a task that fits nowhere yet.
    held: bool,
}

/// Workers eligible for new tasks in one plan.
pub(super) struct Candidates {
    list: Vec<Candidate>,
    /// Capacity that the tasks being placed may use.
    pub(super) capacity_rule: CapacityRule,
    now: MonoMs,
    /// Workers compared as places for a task.
    pub(super) compared_workers: u64,
    /// Workers whose headroom was computed.
    pub(super) headrooms: u64,
}

impl Candidates {
    /// Discards the cached headroom of a worker whose tasks changed.
    pub(super) fn invalidate(&mut self, worker: WorkerKey) {
        let candidate = self
            .list
            .iter_mut()
            .find(|candidate| candidate.worker == worker);
        if let Some(candidate) = candidate {
            candidate.headroom = None;
        }
    }

    /// Keys of the workers that are not held.
    pub(super) fn keys(&self) -> impl Iterator<Item = WorkerKey> {
        let open = self.list.iter().filter(|candidate| !candidate.held);
        open.map(|candidate| candidate.worker)
    }

    /// Keeps a worker free for a task that fits nowhere yet.
    pub(super) fn hold(&mut self, worker: WorkerKey) {
        let mut list = self.list.iter_mut();
        if let Some(candidate) = list.find(|candidate| candidate.worker == worker) {
            candidate.held = true;
        }
    }
}

impl Scheduler {
    /// Workers eligible for new tasks now.
    pub(super) fn candidates(&self, now: MonoMs) -> Candidates {
        let workers = self.workers.iter();
        let usable = workers.filter(|(_, worker)| self.unusable(worker, now).is_none());
        let candidates = usable.map(|(worker, _)| Candidate {
            worker,
            headroom: None,
            held: false,
        });
        Candidates {
            list: candidates.collect(),
            capacity_rule: CapacityRule::Any,
            now,
            compared_workers: 0,
            headrooms: 0,
        }
    }

    /// Why a worker gets no new tasks now; `None` if it is eligible.
    pub(super) fn unusable(&self, worker: &Worker, now: MonoMs) -> Option<Unusable> {
        let unusable = worker.unusable(now);
        if unusable.is_some() {
            return unusable;
        }
        if self.closed.contains(&worker.listing.data_centre) {
            return Some(Unusable::Closed);
        }
        let checks_capacity = !self.unguarded_pools.contains(&worker.listing.pool);
        let listing_is_current = now.since(self.listed_at) <= MAX_LISTING_AGE_MS;
        let is_known = checks_capacity || (listing_is_current && !worker.has_unknown_runs());
        (!is_known).then_some(Unusable::HeldBack)
    }

    /// Rule that excludes a worker of the task's pool; `None` if the task may run there.
    fn obstacle(
        &self,
        worker: &Worker,
        key: TaskKey,
        rule: CapacityRule,
        rack: Option<&str>,
    ) -> Option<Obstacle> {
        let step = self.jobs[key.job].step(key);
        if !worker.has_label(step) {
            Some(Obstacle::Label)
        } else if !worker.fits(step) {
            Some(Obstacle::Room)
        } else if rule == CapacityRule::OutsideRecentPeak
            && !worker.fits_outside_recent_peak(step.demand.cpu_milli)
        {
            Some(Obstacle::RecentPeak)
        } else if rack.is_some_and(|rack| worker.listing.rack().is_none_or(|of| **of != *rack)) {
            Some(Obstacle::Rack)
        } else if self.left_below_limit(worker, key, step) == 0 {
            Some(Obstacle::TasksPerWorker)
        } else {
            None
        }
    }

    /// Rules that exclude the usable workers of a pool for a task; `None` where it may run.
    pub(super) fn obstacles(
        &self,
        candidates: &mut Candidates,
        key: TaskKey,
        pool: &str,
    ) -> Vec<(WorkerKey, Option<Obstacle>)> {
        let step = self.jobs[key.job].step(key);
        let rule = candidates.capacity_rule;
        let mut obstacles = Vec::new();
        for candidate in &mut candidates.list {
            let worker = &self.workers[candidate.worker];
            if *worker.listing.pool != *pool {
                continue;
            }
            let mut obstacle = self.obstacle(worker, key, rule, None);
            if obstacle.is_none()
                && self
                    .cost(candidate, key, step, &mut candidates.headrooms)
                    .is_none()
            {
                obstacle = Some(Obstacle::Interference);
            }
            obstacles.push((candidate.worker, obstacle));
        }
        obstacles
    }

    /// Cheapest worker for a task, or `None` if it fits nowhere now.
    pub(super) fn choose(
        &self,
        candidates: &mut Candidates,
        key: TaskKey,
        pool: &str,
        rack: Option<&str>,
    ) -> Option<WorkerKey> {
        let step = self.jobs[key.job].step(key);
        let task = self.jobs[key.job].task(key)?;
        let failed_on = task.failed_on;
        let is_suspect = task.is_suspect();
        let has_crashed = task.suspicion() > 0;
        let now = candidates.now;
        let capacity_rule = candidates.capacity_rule;
        let mut tasks_that_fit = 0;
        candidates.compared_workers += candidates.list.len() as u64;
        let headrooms = &mut candidates.headrooms;
        let open = candidates
            .list
            .iter_mut()
            .filter(|candidate| !candidate.held);
        let costs = open.filter_map(|candidate| {
            let worker = &self.workers[candidate.worker];
            let of_pool = *worker.listing.pool == *pool;
            if !of_pool || self.obstacle(worker, key, capacity_rule, rack).is_some() {
                return None;
            }
            let failed = failed_on == Some(candidate.worker);
            let mut penalty = if failed { FAILED_PENALTY } else { 0.0 };
            if worker.blurs_evidence(is_suspect, now) {
                penalty += ISOLATION_PENALTY;
            } else if has_crashed && !worker.is_steady(now) {
                penalty += UNSTEADY_PENALTY;
            }
            let cost = self.cost(candidate, key, step, headrooms)?;
            tasks_that_fit += if self.has_room_for_two(worker, key, step) {
                2
            } else {
                1
            };
            Some((candidate.worker, penalty + cost))
        });
        let best = costs.min_by(|a, b| a.1.total_cmp(&b.1));
        let (worker, _) = best?;
        let enough = capacity_rule != CapacityRule::FitsTwo
            || tasks_that_fit > 1
            || self.workers[worker].fits_outside_recent_peak(step.demand.cpu_milli);
        enough.then_some(worker)
    }

    /// Number of further tasks of a step that a worker may run by the limit of the step.
    fn left_below_limit(&self, worker: &Worker, key: TaskKey, step: &Step) -> usize {
        if step.max_per_worker == 0 {
            return usize::MAX;
        }
        let same = worker.tasks.keys().filter(|other| {
            other.job == key.job && other.occurrence == key.occurrence && other.step == key.step
        });
        (step.max_per_worker as usize).saturating_sub(same.count())
    }

    /// Whether a worker that takes a task of a step has room for another one.
    fn has_room_for_two(&self, worker: &Worker, key: TaskKey, step: &Step) -> bool {
        (step.demand + step.demand).fits_in(&worker.free())
            && self.left_below_limit(worker, key, step) > 1
    }

    /// Whether a worker could run a task if it had enough processors free.
    pub(super) fn lacks_only_processors(&self, worker: &Worker, key: TaskKey) -> bool {
        let step = self.jobs[key.job].step(key);
        let free = worker.free();
        worker.has_label(step)
            && step.demand.memory_mb <= free.memory_mb
            && step.demand.accelerators <= free.accelerators
            && self.left_below_limit(worker, key, step) > 0
    }

    /// Cost of a task on a worker; `None` if it must not run there.
    fn cost(
        &self,
        candidate: &mut Candidate,
        key: TaskKey,
        step: &Step,
        headrooms: &mut u64,
    ) -> Option<f64> {
        let worker = &self.workers[candidate.worker];
        let remote = step
            .data_rack
            .as_ref()
            .is_some_and(|rack| worker.listing.rack() != Some(rack));
        let remote = if remote { REMOTE_RACK_PENALTY } else { 0.0 };
        if step.best_effort {
            let idle = cpu_share(worker.idle_cpu_milli(), worker);
            return Some(remote - idle + self.interference_cost(candidate, key, step, headrooms)?);
        }
        let used = cpu_share(worker.committed.cpu_milli + step.demand.cpu_milli, worker);
        if !step.long_running {
            return Some(remote + used);
        }
        let image = self.jobs[key.job].image(key);
        let others = worker
            .tasks
            .iter()
            .filter(|(_, assigned)| assigned.long_running);
        let differences = others.map(|(other, _)| {
            let other_image = self.jobs[other.job].image(*other);
            self.interference.difference(image, other_image)
        });
        Some(remote - used + differences.fold(0.0, f64::max) * MIXED_IMAGES_COST)
    }

    /// Cost of the interference that a best-effort task would cause on a worker.
    fn interference_cost(
        &self,
        candidate: &mut Candidate,
        key: TaskKey,
        step: &Step,
        headrooms: &mut u64,
    ) -> Option<f64> {
        let worker = &self.workers[candidate.worker];
        if worker.long_running_cpu_milli == 0 {
            return Some(NO_LONG_RUNNING_COST);
        }
        let headroom = candidate.headroom.get_or_insert_with(|| {
            *headrooms += 1;
            self.headroom(worker)
        });
        let image = self.jobs[key.job].image(key);
        let fraction =
            self.usable_fraction(headroom, image, cpu_share(step.demand.cpu_milli, worker));
        (fraction >= MIN_USABLE_FRACTION).then_some((1.0 - fraction) * INTERFERENCE_COST)
    }
}
