//! Choice of a worker for a task.
//!
//! Long-running tasks are packed with others whose images tolerate the same
//! best-effort images. Interference depends on the pair of images, so such a worker
//! suits more best-effort images than a mixed one, and some workers keep no
//! long-running task at all. Other tasks that reserve processors go to the worker
//! with the smallest committed share, or to the fullest one while larger tasks find no room. Best-effort tasks go where the expected tails
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
    ranking::Place,
    unplaced::UnplacedSteps,
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

/// Processors that best-effort tasks may request at most on a worker of some capacity.
pub(super) fn most_idle_cpu_milli(capacity_milli: u64) -> u64 {
    capacity_milli.saturating_add(unused_cpu_milli(capacity_milli))
}

/// Processors that long-running tasks are expected to leave unused.
fn unused_cpu_milli(long_running_milli: u64) -> u64 {
    long_running_milli.saturating_mul(100 - LONG_RUNNING_USE_PERCENT) / 100
}

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
    /// The room is reserved for a more urgent task.
    Reserved,
    /// The task would interfere with long-running tasks.
    Interference,
}

impl Worker {
    /// Why no new tasks may be started on the worker; `None` if they may.
    fn unusable(&self, now: MonoMs) -> Option<Unusable> {
        if self.listed && self.listing.draining {
            Some(Unusable::Draining)
        } else if !self.listed || !self.rostered || self.doubted || self.reported_at.is_none() {
            Some(Unusable::Unreported)
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
        let unused = unused_cpu_milli(self.long_running_cpu_milli);
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

    /// Upper bound of the number of tasks of a step that fit on the worker now.
    pub(super) fn room_for(&self, step: &Step) -> u64 {
        if !self.has_label(step) {
            return 0;
        }
        let free = self.free();
        let available = Resources {
            cpu_milli: if step.best_effort {
                self.idle_cpu_milli()
            } else {
                free.cpu_milli
            },
            ..free
        };
        step.demand.times_in(&available)
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

/// Task to be placed.
#[derive(Clone, Copy)]
pub(super) struct Wanted<'a> {
    pub(super) key: TaskKey,
    pub(super) step: &'a Step,
    pool: &'a str,
    rack: Option<&'a str>,
    failed_on: Option<WorkerKey>,
    /// Worker of an earlier run that goes on.
    earlier_worker: Option<WorkerKey>,
    is_suspect: bool,
    has_crashed: bool,
}

impl Wanted<'_> {
    /// Whether the task has the same costs as the other tasks of its step.
    pub(super) fn is_plain(&self) -> bool {
        self.failed_on.is_none()
            && self.earlier_worker.is_none()
            && !self.is_suspect
            && !self.has_crashed
    }
}

/// Workers eligible for new tasks in one plan.
pub(super) struct Candidates {
    list: Vec<Candidate>,
    /// Capacity that the tasks being placed may use.
    pub(super) capacity_rule: CapacityRule,
    pub(super) now: MonoMs,
    /// Steps that fit nowhere.
    pub(super) unplaced: UnplacedSteps,
    /// Workers compared as places for a task.
    pub(super) compared_workers: u64,
    /// Workers compared in attempts that failed.
    pub(super) failed_comparisons: u64,
    /// Workers whose headroom was computed.
    pub(super) headrooms: u64,
}

impl Candidates {
    /// Number of candidates.
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Worker at an index of the list.
    pub(super) fn worker(&self, index: usize) -> WorkerKey {
        self.list[index].worker
    }

    /// Discards the cached headroom of a worker whose tasks changed.
    pub(super) fn invalidate(&mut self, index: usize) {
        self.list[index].headroom = None;
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
            unplaced: UnplacedSteps::default(),
            compared_workers: 0,
            failed_comparisons: 0,
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
        wanted: &Wanted<'_>,
        rule: CapacityRule,
    ) -> Option<Obstacle> {
        let step = wanted.step;
        let is_outside = |rack: &str| worker.listing.rack().is_none_or(|of| **of != *rack);
        if !worker.has_label(step) {
            Some(Obstacle::Label)
        } else if !worker.fits(step) {
            Some(Obstacle::Room)
        } else if rule == CapacityRule::OutsideRecentPeak
            && !worker.fits_outside_recent_peak(step.demand.cpu_milli)
        {
            Some(Obstacle::RecentPeak)
        } else if wanted.rack.is_some_and(is_outside) {
            Some(Obstacle::Rack)
        } else if self.left_below_limit(worker, wanted.key, step) == 0 {
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
        let mut obstacles = Vec::new();
        let Some(wanted) = self.wanted(key, pool, None) else {
            return obstacles;
        };
        for index in 0..candidates.len() {
            let worker_key = candidates.worker(index);
            let worker = &self.workers[worker_key];
            if *worker.listing.pool != *pool {
                continue;
            }
            let mut obstacle = self.obstacle(worker, &wanted, candidates.capacity_rule);
            if obstacle.is_none() && self.is_reserved(worker_key, &wanted, candidates.now) {
                obstacle = Some(Obstacle::Reserved);
            }
            if obstacle.is_none() && wanted.step.best_effort {
                let place = self.place(candidates, index, &wanted);
                let cost = place.and_then(|p| self.add_interference(candidates, p, &wanted));
                obstacle = cost.is_none().then_some(Obstacle::Interference);
            }
            obstacles.push((worker_key, obstacle));
        }
        obstacles
    }

    /// What is to be placed; `None` if the task is not known.
    pub(super) fn wanted<'a>(
        &'a self,
        key: TaskKey,
        pool: &'a str,
        rack: Option<&'a str>,
    ) -> Option<Wanted<'a>> {
        let job = &self.jobs[key.job];
        let task = job.task(key)?;
        Some(Wanted {
            key,
            step: job.step(key),
            pool,
            rack,
            failed_on: task.failed_on,
            earlier_worker: self.copies.earlier_worker(key),
            is_suspect: task.is_suspect(),
            has_crashed: task.suspicion() > 0,
        })
    }

    /// A candidate as a place for a task; `None` if the task must not run there.
    pub(super) fn place(
        &self,
        candidates: &Candidates,
        index: usize,
        wanted: &Wanted<'_>,
    ) -> Option<Place> {
        let worker_key = candidates.worker(index);
        let worker = &self.workers[worker_key];
        let now = candidates.now;
        let allowed = *worker.listing.pool == *wanted.pool
            && !candidates.list[index].held
            && wanted.earlier_worker != Some(worker_key)
            && self
                .obstacle(worker, wanted, candidates.capacity_rule)
                .is_none()
            && !self.is_reserved(worker_key, wanted, now);
        if !allowed {
            return None;
        }
        let failed = wanted.failed_on == Some(worker_key);
        let mut penalty = if failed { FAILED_PENALTY } else { 0.0 };
        if worker.blurs_evidence(wanted.is_suspect, now) {
            penalty += ISOLATION_PENALTY;
        } else if wanted.has_crashed && !worker.is_steady(now) {
            penalty += UNSTEADY_PENALTY;
        }
        Some(Place {
            index,
            cost: penalty + self.cost(worker, wanted.key, wanted.step),
            is_complete: !wanted.step.best_effort,
        })
    }

    /// Number of further tasks of a step that a worker may run by the limit of the step.
    ///
    /// Runs that are being stopped count as long as the worker lists them.
    pub(super) fn left_below_limit(&self, worker: &Worker, key: TaskKey, step: &Step) -> usize {
        if step.max_per_worker == 0 {
            return usize::MAX;
        }
        let same = worker.tasks.keys().filter(|other| {
            other.job == key.job && other.occurrence == key.occurrence && other.step == key.step
        });
        let name = self.name(key);
        let leftovers = worker.leftovers.iter().filter(|run| {
            let task = run.task;
            task.workflow == name.workflow
                && task.occurrence == name.occurrence
                && task.step == name.step
        });
        (step.max_per_worker as usize).saturating_sub(same.count() + leftovers.count())
    }

    /// Whether a worker that takes a task of a step has room for another one.
    pub(super) fn has_room_for_two(&self, worker: &Worker, key: TaskKey, step: &Step) -> bool {
        (step.demand + step.demand).fits_in(&worker.free())
            && self.left_below_limit(worker, key, step) > 1
    }

    /// Whether a worker could run a task if it were free.
    pub(super) fn may_have_room(&self, worker: &Worker, key: TaskKey, step: &Step) -> bool {
        worker.has_label(step)
            && step.demand.fits_in(&worker.listing.capacity)
            && self.left_below_limit(worker, key, step) > 0
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

    /// Cost of a task on a worker, without the interference of a best-effort task.
    fn cost(&self, worker: &Worker, key: TaskKey, step: &Step) -> f64 {
        let remote = step
            .data_rack
            .as_ref()
            .is_some_and(|rack| worker.listing.rack() != Some(rack));
        let remote = if remote { REMOTE_RACK_PENALTY } else { 0.0 };
        if step.best_effort {
            return remote - cpu_share(worker.idle_cpu_milli(), worker);
        }
        let used = cpu_share(worker.committed.cpu_milli + step.demand.cpu_milli, worker);
        if !step.long_running {
            return if self.fits_best(step) {
                remote - used
            } else {
                remote + used
            };
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
        remote - used + differences.fold(0.0, f64::max) * MIXED_IMAGES_COST
    }

    /// Adds the cost of the interference that a best-effort task would cause on a worker; `None` if
    /// it must not run there.
    pub(super) fn add_interference(
        &self,
        candidates: &mut Candidates,
        place: Place,
        wanted: &Wanted<'_>,
    ) -> Option<f64> {
        let worker = &self.workers[candidates.worker(place.index)];
        if worker.long_running_cpu_milli == 0 {
            return Some(place.cost + NO_LONG_RUNNING_COST);
        }
        let candidate = &mut candidates.list[place.index];
        let headroom = candidate.headroom.get_or_insert_with(|| {
            candidates.headrooms += 1;
            self.headroom(worker)
        });
        let image = self.jobs[wanted.key.job].image(wanted.key);
        let share = cpu_share(wanted.step.demand.cpu_milli, worker);
        let fraction = self.usable_fraction(headroom, image, share);
        let cost = place.cost + (1.0 - fraction) * INTERFERENCE_COST;
        (fraction >= MIN_USABLE_FRACTION).then_some(cost)
    }
}
