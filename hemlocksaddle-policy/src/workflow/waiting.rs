//! Diagnosis of steps whose tasks have waited for long.
//!
//! [`Scheduler::waiting`] tells what the longest-waiting steps wait for and which
//! capacity their pool has at that moment. It applies the predicates of the plan, so
//! that both agree, and examines a few steps only: the owner calls it about once a
//! second, right after a plan.

use std::{cmp::Reverse, collections::BTreeMap};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
    workflow::{Step, TaskName},
};

use super::{
    JobKey, Phase, Scheduler, TaskKey, WorkerKey,
    capacity::CapacityRule,
    job::StepState,
    placement::{Candidates, Obstacle, Unusable},
    reservation::ReservedRoom,
};

/// Wait from which a long-running task is reported: the platform's limit while two such tasks
/// would fit.
const LONG_RUNNING_THRESHOLD_MS: Millis = Millis(3_000);

/// Wait from which any other task is reported: longer than a burst of short tasks takes to drain.
const THRESHOLD_MS: Millis = Millis(10_000);

/// Maximum number of the longest-waiting steps that are examined at once, and of the others whose
/// wait has doubled: each examination visits all tasks of the pool.
const MAX_EXAMINED_STEPS: usize = 8;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// What a task waits for.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum WaitReason {
            $($(#[$doc])* $name,)*
        }

        impl WaitReason {
            /// All reasons.
            pub const ALL: &[WaitReason] = &[$(WaitReason::$name,)*];

            /// Returns the name of the reason, for logs and metrics.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(WaitReason::$name => $text,)* }
            }
        }
    };
}

reasons! {
    /// The submission is stored but not read back, and a successor may take it as not started.
    UnconfirmedSubmission = "unconfirmed submission",
    /// Some workers have not reported in this term, and the predecessor may have started the task.
    UnreportedWorkers = "unreported workers",
    /// A crash that the task may have caused is not durable yet.
    UnsavedCrash = "unsaved crash",
    /// The pause after a failed run or an invalid order has not passed.
    BackOff = "back-off",
    /// Other members of the gang have not ended yet.
    GangEnding = "gang ending",
    /// The order to start the task is not answered yet.
    StartUnanswered = "start unanswered",
    /// The tenant would have more running than its cap allows.
    TenantCap = "tenant cap",
    /// No worker of the pool takes new tasks.
    NoWorker = "no worker",
    /// No usable worker has the required label.
    Label = "label",
    /// No usable worker has room for the task.
    Room = "room",
    /// There would be room without less urgent tasks that were started while the task waited.
    OvertakenByLessUrgent = "overtaken by less urgent",
    /// There would be room without tasks that were started while the task waited.
    Overtaken = "overtaken",
    /// Room is only left within the recent peak of short tasks.
    RecentPeak = "recent peak",
    /// Room is left on one worker only, within the recent peak of short tasks.
    RoomForOne = "room for one",
    /// The workers with room have as many tasks of the step as they may have.
    TasksPerWorker = "tasks per worker",
    /// The workers with room keep it for a more urgent task.
    Reserved = "reserved",
    /// The task would interfere with long-running tasks wherever there is room.
    Interference = "interference",
    /// A member of the gang fits, but not all of them.
    GangRoom = "gang room",
    /// The start orders in flight leave no budget for another.
    StartBudget = "start budget",
    /// The task fits, since a change after the latest plan.
    NextPlan = "next plan",
}

/// Workers of a pool at one moment, as seen by one waiting task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCapacity {
    /// Workers that take new tasks.
    pub usable: u32,
    /// Workers that are not listed, not in the durable roster or have not reported in this term.
    pub unreported: u32,
    /// Workers that are about to leave.
    pub draining: u32,
    /// Workers that did not answer the last call.
    pub silent: u32,
    /// Workers that are suspended after failures or a refusal.
    pub suspended: u32,
    /// Workers in closed data centres.
    pub closed: u32,
    /// Workers with too many listed ends, or whose capacity or runs are not known well enough.
    pub held_back: u32,
    /// Usable workers with the label and room for one task of the step.
    pub room_for_one: u32,
    /// Usable workers with the label and room for two tasks of the step.
    pub room_for_two: u32,
    /// Usable workers that no rule excludes.
    pub allowed: u32,
    /// Processors of all usable workers, in thousandths of a core.
    pub cpu_milli: u64,
    /// Free processors of all usable workers, in thousandths of a core.
    pub free_cpu_milli: u64,
    /// Most free processors of a usable worker, in thousandths of a core.
    pub largest_free_cpu_milli: u64,
    /// Tasks that reserve processors on usable workers and were started while the task waited.
    pub started_meanwhile: u32,
    /// Those of them whose queue has a lower priority.
    pub started_less_urgent: u32,
}

/// Task that was started while another one waited.
struct StartedMeanwhile {
    demand: Resources,
    /// Whether its queue has a lower priority.
    is_less_urgent: bool,
}

/// Step with a task that has waited beyond the threshold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// Task that has waited longest.
    pub task: TaskName,
    /// Time for which it has waited.
    pub waited: Millis,
    /// Whether the wait has reached its threshold, or a doubling of it, since the last look.
    pub has_doubled: bool,
    /// Number of waiting tasks of the step.
    pub tasks: u32,
    /// What the task waits for.
    pub reason: WaitReason,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Workers of its pool.
    pub capacity: PoolCapacity,
    /// Room that is reserved for the step.
    pub reservation: Option<ReservedRoom>,
}

/// Tasks that have waited beyond their threshold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Steps that have waited longest relative to their threshold, in this order, then steps whose
    /// wait has doubled since the last look.
    pub steps: Vec<WaitingStep>,
    /// Number of waiting tasks of the other steps.
    pub unexamined_tasks: u32,
    /// Longest wait.
    pub longest: Millis,
    /// Number of start orders that the latest plan could still have given.
    pub start_budget: u32,
}

/// Step that is overdue, before it is examined.
struct Overdue {
    /// Task that has waited longest.
    key: TaskKey,
    waited: Millis,
    threshold: Millis,
    tasks: u32,
}

impl Overdue {
    /// Wait in thousandths of the threshold.
    fn urgency(&self) -> u64 {
        self.waited.0 * 1_000 / self.threshold.0
    }

    /// Whether the wait has reached its threshold, or a doubling of it, within the last `interval`.
    fn has_doubled(&self, interval: Millis) -> bool {
        let level = |waited: u64| (waited / self.threshold.0).checked_ilog2();
        level(self.waited.0) != level(self.waited.0.saturating_sub(interval.0))
    }
}

fn threshold(step: &Step) -> Millis {
    if step.long_running {
        LONG_RUNNING_THRESHOLD_MS
    } else {
        THRESHOLD_MS
    }
}

impl Scheduler {
    /// Tasks that have waited beyond their threshold, and what they wait for.
    ///
    /// The last look was `interval` ago.
    #[must_use]
    pub fn waiting(&self, now: MonoMs, interval: Millis) -> Waiting {
        let mut overdue = self.overdue_steps(now);
        overdue.extend(self.unanswered_starts(now));
        if overdue.is_empty() {
            return Waiting {
                start_budget: self.start_budget,
                ..Waiting::default()
            };
        }
        overdue.sort_by_key(|step| Reverse(step.urgency()));
        let longest = overdue.iter().map(|step| step.waited).max();
        let others = overdue.split_off(overdue.len().min(MAX_EXAMINED_STEPS));
        let (doubled, mut rest): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|step| step.has_doubled(interval));
        overdue.extend(doubled);
        rest.extend(overdue.split_off(overdue.len().min(2 * MAX_EXAMINED_STEPS)));
        let mut candidates = self.candidates(now);
        let mut steps = Vec::new();
        for step in &overdue {
            let has_doubled = step.has_doubled(interval);
            steps.push(self.examine(step, has_doubled, &mut candidates, now));
        }
        Waiting {
            steps,
            unexamined_tasks: rest.iter().map(|step| step.tasks).sum(),
            longest: longest.unwrap_or_default(),
            start_budget: self.start_budget,
        }
    }

    /// Steps with tasks that have waited beyond the threshold to be started.
    fn overdue_steps(&self, now: MonoMs) -> Vec<Overdue> {
        let failover_complete = self.is_failover_complete(now);
        let mut overdue = Vec::new();
        for &key in &self.open_jobs {
            let job = &self.jobs[key];
            for (occurrence, states) in job.occurrences.iter() {
                for (number, state) in (0u16..).zip(&states.steps) {
                    let step = &job.spec.steps[usize::from(number)];
                    let is_held = (job.unconfirmed || job.awaits_reports(step, failover_complete))
                        && job.step_is_due(occurrence, usize::from(number));
                    let is_ready = state.waiting_since.is_some() || is_held;
                    if state.waiting == 0 || !is_ready {
                        continue;
                    }
                    let first = TaskKey {
                        job: key,
                        occurrence,
                        step: number,
                        index: 0,
                    };
                    overdue.extend(self.overdue_step(first, state, now));
                }
            }
        }
        overdue
    }

    /// Step of a task, if its longest-waiting task has waited beyond the threshold.
    fn overdue_step(&self, first: TaskKey, state: &StepState, now: MonoMs) -> Option<Overdue> {
        let job = &self.jobs[first.job];
        let step = job.step(first);
        let threshold = threshold(step);
        let due_at = job.occurrences[first.occurrence].due_at;
        let ready_since = state.waiting_since.unwrap_or(due_at);
        // Long-running tasks are few; the others are scanned only if some may be overdue.
        if !step.long_running && now.since(ready_since) < threshold {
            return None;
        }
        let segments = state.tasks.segments();
        let waiting = segments.filter(|(.., task)| task.phase == Phase::Waiting);
        let waits = waiting.map(|(index, ..)| {
            let key = TaskKey { index, ..first };
            (job.waiting_since(key), key)
        });
        let (since, key) = waits.min_by_key(|(since, _)| *since)?;
        let waited = now.since(since);
        (waited >= threshold).then_some(Overdue {
            key,
            waited,
            threshold,
            tasks: state.waiting,
        })
    }

    /// Steps with tasks whose order to start has not been answered within the threshold.
    fn unanswered_starts(&self, now: MonoMs) -> impl Iterator<Item = Overdue> {
        let mut steps: BTreeMap<(JobKey, u32, u16), Overdue> = BTreeMap::new();
        let assigned = self.workers.values().flat_map(|worker| worker.tasks.keys());
        for &key in assigned {
            let job = &self.jobs[key.job];
            let starting = job
                .task(key)
                .filter(|task| job.is_open() && matches!(task.phase, Phase::Starting { .. }));
            let Some(task) = starting else { continue };
            let threshold = threshold(job.step(key));
            if now.since(task.ordered_at) < threshold {
                continue;
            }
            let waited = now.since(job.waiting_since(key));
            let step = steps
                .entry((key.job, key.occurrence, key.step))
                .or_insert(Overdue {
                    key,
                    waited,
                    threshold,
                    tasks: 0,
                });
            step.tasks += 1;
            if waited > step.waited {
                step.key = key;
                step.waited = waited;
            }
        }
        steps.into_values()
    }

    fn examine(
        &self,
        overdue: &Overdue,
        has_doubled: bool,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> WaitingStep {
        let key = overdue.key;
        let job = &self.jobs[key.job];
        let step = job.step(key);
        let pool = self.queue(&job.spec.queue).map_or("", |queue| &queue.pool);
        let state = &job.occurrences[key.occurrence].steps[usize::from(key.step)];
        let ready_since = state.waiting_since.unwrap_or(now);
        candidates.capacity_rule = CapacityRule::for_step(step, ready_since, now);
        let obstacles = self.obstacles(candidates, key, pool);
        let capacity = self.pool_capacity(key, pool, &obstacles, now);
        let reason = self
            .own_reason(key, now)
            .unwrap_or_else(|| self.capacity_reason(key, pool, &obstacles, candidates));
        WaitingStep {
            task: self.name(key),
            waited: overdue.waited,
            has_doubled,
            tasks: overdue.tasks,
            reason,
            demand: step.demand,
            capacity,
            reservation: self.reserved_room(key, now),
        }
    }

    /// What a task waits for that does not depend on capacity.
    fn own_reason(&self, key: TaskKey, now: MonoMs) -> Option<WaitReason> {
        let job = &self.jobs[key.job];
        let step = job.step(key);
        let task = job.task(key)?;
        if matches!(task.phase, Phase::Starting { .. }) {
            Some(WaitReason::StartUnanswered)
        } else if job.unconfirmed {
            Some(WaitReason::UnconfirmedSubmission)
        } else if !task.located && job.awaits_reports(step, self.is_failover_complete(now)) {
            Some(WaitReason::UnreportedWorkers)
        } else if task.crash_unsaved {
            Some(WaitReason::UnsavedCrash)
        } else if now < task.not_before {
            Some(WaitReason::BackOff)
        } else if step.gang && !job.segments(key).all(|(_, _, task)| task.may_start(now)) {
            Some(WaitReason::GangEnding)
        } else if !self.cap_allows(key) {
            Some(WaitReason::TenantCap)
        } else {
            None
        }
    }

    fn capacity_reason(
        &self,
        key: TaskKey,
        pool: &str,
        obstacles: &[(WorkerKey, Option<Obstacle>)],
        candidates: &mut Candidates,
    ) -> WaitReason {
        if self.choose(candidates, key, pool, None).is_some() {
            return if self.jobs[key.job].step(key).gang {
                WaitReason::GangRoom
            } else if self.start_budget == 0 {
                WaitReason::StartBudget
            } else {
                WaitReason::NextPlan
            };
        }
        if obstacles.iter().any(|(_, obstacle)| obstacle.is_none()) {
            return WaitReason::RoomForOne;
        }
        // The last check that some worker reached.
        match obstacles.iter().filter_map(|(_, obstacle)| *obstacle).max() {
            None => WaitReason::NoWorker,
            Some(Obstacle::Label) => WaitReason::Label,
            Some(Obstacle::Room | Obstacle::Rack) => self.room_reason(key, obstacles),
            Some(Obstacle::RecentPeak) => WaitReason::RecentPeak,
            Some(Obstacle::TasksPerWorker) => WaitReason::TasksPerWorker,
            Some(Obstacle::Reserved) => WaitReason::Reserved,
            Some(Obstacle::Interference) => WaitReason::Interference,
        }
    }

    /// Whose tasks take the room on the workers of a pool.
    fn room_reason(&self, key: TaskKey, obstacles: &[(WorkerKey, Option<Obstacle>)]) -> WaitReason {
        let demand = self.jobs[key.job].step(key).demand;
        // Whether the task would fit without those tasks started meanwhile that are `released`.
        let would_fit = |released: fn(&StartedMeanwhile) -> bool| {
            let full = obstacles
                .iter()
                .filter(|(_, obstacle)| *obstacle == Some(Obstacle::Room));
            full.into_iter().any(|&(worker, _)| {
                let started = self.started_meanwhile(worker, key).filter(released);
                let free = self.workers[worker].free();
                let free = started.fold(free, |free, task| free + task.demand);
                demand.fits_in(&free)
            })
        };
        if would_fit(|task| task.is_less_urgent) {
            WaitReason::OvertakenByLessUrgent
        } else if would_fit(|_| true) {
            WaitReason::Overtaken
        } else {
            WaitReason::Room
        }
    }

    /// Tasks that reserve processors on a worker and were started while a task waited.
    fn started_meanwhile(
        &self,
        worker: WorkerKey,
        key: TaskKey,
    ) -> impl Iterator<Item = StartedMeanwhile> {
        let since = self.jobs[key.job].waiting_since(key);
        let priority = self.priority(key);
        let tasks = self.workers[worker].tasks.iter();
        tasks.filter_map(move |(&other, assigned)| {
            let task = self.jobs[other.job].task(other)?;
            let counts = !assigned.best_effort && task.ordered_at > since;
            counts.then(|| StartedMeanwhile {
                demand: assigned.demand,
                is_less_urgent: self.priority(other) > priority,
            })
        })
    }

    /// Priority of the queue of a task; 0 is the most urgent.
    fn priority(&self, key: TaskKey) -> u32 {
        self.queue(&self.jobs[key.job].spec.queue)
            .map_or(0, |queue| queue.priority)
    }

    fn pool_capacity(
        &self,
        key: TaskKey,
        pool: &str,
        obstacles: &[(WorkerKey, Option<Obstacle>)],
        now: MonoMs,
    ) -> PoolCapacity {
        let mut counts = PoolCapacity::default();
        for worker in self.workers.values() {
            if *worker.listing.pool != *pool {
                continue;
            }
            *match self.unusable(worker, now) {
                None => &mut counts.usable,
                Some(Unusable::Unreported) => &mut counts.unreported,
                Some(Unusable::Draining) => &mut counts.draining,
                Some(Unusable::Silent) => &mut counts.silent,
                Some(Unusable::Suspended) => &mut counts.suspended,
                Some(Unusable::Closed) => &mut counts.closed,
                Some(Unusable::HeldBack) => &mut counts.held_back,
            } += 1;
        }
        let step = self.jobs[key.job].step(key);
        let two = Step {
            demand: step.demand + step.demand,
            ..step.clone()
        };
        for &(worker_key, obstacle) in obstacles {
            let worker = &self.workers[worker_key];
            let free_cpu_milli = worker.free().cpu_milli;
            counts.cpu_milli += worker.listing.capacity.cpu_milli;
            counts.free_cpu_milli += free_cpu_milli;
            counts.largest_free_cpu_milli = counts.largest_free_cpu_milli.max(free_cpu_milli);
            counts.room_for_one += u32::from(worker.takes(step));
            counts.room_for_two += u32::from(worker.takes(&two));
            counts.allowed += u32::from(obstacle.is_none());
            for task in self.started_meanwhile(worker_key, key) {
                counts.started_meanwhile += 1;
                counts.started_less_urgent += u32::from(task.is_less_urgent);
            }
        }
        counts
    }
}
