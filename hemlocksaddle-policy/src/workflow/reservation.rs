//! Room reserved for short tasks that fit nowhere.
//!
//! Small tasks take each piece of room as it becomes free, so that pieces never add up
//! to what a large task needs. A step that still waits for room after it was served gets
//! reservations: on the workers where its tasks will fit soonest by the estimated ends of
//! the runs there. Steps that are served later may use such a worker only beside the
//! reserved room, or with tasks that certainly end before the reservation starts. Steps
//! that are served earlier are not bound by it.
//!
//! Reservations are bounded to a small share of the processors. Each is kept for twice the
//! time by which its room was expected, and no longer than its workflow is worth something
//! to its caller. When a worker becomes unusable, or its room comes later than that, the
//! reservation is dropped, its worker avoided for a time, and another one chosen.
//! Nothing is stored: a new owner reserves anew from what waits and runs.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
    workflow::{Queue, Step, TaskName, Workflow},
};

use crate::usefulness::useful_for;

use super::{
    Phase, Scheduler, TaskKey, Worker, WorkerKey,
    placement::{Candidates, Wanted},
    plan::ReadyStep,
    report::occupied,
    reserved::{PoolShare, Reservation},
    unplaced::Unplaced,
};

/// Shortest time for which a reservation is kept after its room was expected.
///
/// Reports and orders take as long while the owner is slow.
const MIN_HOLD_MS: Millis = Millis(250);

/// Longest time for which a reservation is kept: the time for which callers wait for a response.
const MAX_HOLD_MS: Millis = Millis(3_000);

/// Maximum number of reservations for workflows that are worth nothing any more.
const MAX_WORTHLESS: usize = 1;

/// Minimum time between two estimates of when reserved room will be free.
const CHECK_INTERVAL_MS: Millis = Millis(50);

/// Minimum time between two plans that search for room.
const SEARCH_INTERVAL_MS: Millis = Millis(20);

/// Time after which room is searched again for a step for which there was none.
///
/// A step that no worker can take, as for its label, would otherwise use up the searches of all plans.
const RETRY_INTERVAL_MS: Millis = Millis(200);

/// Maximum number of steps for which one plan searches for room; each compares all workers once.
const MAX_SEARCHES: u32 = 2;

/// Workers with the largest pieces of free room, of which the ends of runs are estimated in a search.
const MAX_EXAMINED_WORKERS: usize = 64;

/// Delay of a run outside the rack of its data, as a share of its declared run time.
const REMOTE_DELAY: f64 = 0.5;

/// Reservation of a waiting step, for its diagnosis.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservedRoom {
    /// Worker with the reserved room.
    pub worker: WorkerKey,
    /// Time until the room is expected to be free.
    pub expected_in: Millis,
    /// Time for which the reservation is still kept.
    pub kept_for: Millis,
    /// Number of runs that have to end before.
    pub awaited_runs: u32,
    /// Run that is expected to end last of them.
    pub last_run: Option<TaskName>,
    /// Number of reservations of the step.
    pub reservations: u32,
}

/// When a worker has room for a task.
#[derive(Clone, Copy, Debug)]
struct Room {
    at: MonoMs,
    /// Resources that are in use then.
    kept: Resources,
    /// Number of runs that have to end before.
    awaited: u32,
    last: Option<TaskKey>,
}

fn first_of(key: TaskKey) -> TaskKey {
    TaskKey { index: 0, ..key }
}

fn may_reserve(step: &Step) -> bool {
    !step.long_running && !step.best_effort && !step.gang && step.expected_run_ms > 0
}

/// Time for which a workflow that became due at `due_at` is still worth something to its caller.
fn useful_from_now(workflow: &Workflow, queue: &Queue, due_at: MonoMs, now: MonoMs) -> Millis {
    // Scheduled work is of use at any time.
    if workflow.schedule.is_some() {
        return MAX_HOLD_MS;
    }
    (due_at + useful_for(workflow, queue)).since(now)
}

impl Scheduler {
    /// Processors that reservations keep idle now, in thousandths of a core.
    #[must_use]
    pub fn reserved_cpu_milli(&self) -> u64 {
        let held = self.reservations.by_worker.iter();
        held.filter_map(|(worker, reservation)| {
            let free_milli = self.workers.get(worker)?.free().cpu_milli;
            Some(free_milli.min(reservation.demand.cpu_milli))
        })
        .sum()
    }

    /// Drops reservations that are of no use, and updates the others; none binds until its step is served.
    pub(super) fn refresh_reservations(&mut self, candidates: &Candidates, now: MonoMs) {
        if !self.limits.reservations {
            return;
        }
        self.packing.record_waiting(0, now);
        self.reservations.retry_at.retain(|_, at| *at > now);
        self.share_pools(candidates);
        let is_search_due = now >= self.reservations.next_search_at;
        self.reservations.searches_left = if is_search_due { MAX_SEARCHES } else { 0 };
        let avoided = &mut self.reservations.avoided;
        avoided.retain(|worker, until| self.workers.contains_key(worker) && *until > now);
        let workers: Vec<WorkerKey> = self.reservations.by_worker.keys().collect();
        for worker in workers {
            self.refresh_reservation(worker, now);
        }
        let waiting = |step: &TaskKey| self.waiting_of(*step) as usize;
        let of_steps = self.reservations.by_step.iter();
        let surplus: Vec<WorkerKey> = of_steps
            .flat_map(|(step, workers)| workers.iter().skip(waiting(step)).copied())
            .collect();
        for worker in surplus {
            self.reservations.remove(worker);
        }
    }

    fn share_pools(&mut self, candidates: &Candidates) {
        let mut shares: Vec<PoolShare> = Vec::new();
        for worker in candidates.keys() {
            let listing = &self.workers[worker].listing;
            let known = shares.iter_mut().find(|share| share.pool == listing.pool);
            if let Some(share) = known {
                let all_milli = share.cpu_milli;
                share.cpu_milli = all_milli.saturating_add(listing.capacity.cpu_milli);
                share.workers += 1;
                continue;
            }
            shares.push(PoolShare {
                pool: listing.pool.clone(),
                cpu_milli: listing.capacity.cpu_milli,
                workers: 1,
                reserved_milli: 0,
                reserved_workers: 0,
            });
        }
        self.reservations.shares = shares;
    }

    fn refresh_reservation(&mut self, worker_key: WorkerKey, now: MonoMs) {
        let Some(mut reservation) = self.reservations.by_worker.get(worker_key).copied() else {
            return;
        };
        let worker = self.workers.get(worker_key);
        let usable = worker.filter(|worker| self.unusable(worker, now).is_none());
        let Some(worker) = usable else {
            return self.reservations.remove(worker_key);
        };
        let mut is_late = now >= reservation.until;
        if !is_late && now.since(reservation.checked_at) >= CHECK_INTERVAL_MS {
            self.work.estimated_runs += worker.tasks.len() as u64;
            reservation.checked_at = now;
            match self.room_at(worker, &reservation.demand, now) {
                Some(room) if room.at <= reservation.until => {
                    reservation.start_at = room.at;
                    reservation.kept = room.kept;
                }
                _ => is_late = true,
            }
        }
        if is_late {
            let held = reservation.until.since(now).max(MIN_HOLD_MS);
            self.reservations.avoided.insert(worker_key, now + held);
            return self.reservations.remove(worker_key);
        }
        reservation.in_force = false;
        self.reservations.by_worker.insert(worker_key, reservation);
    }

    /// Number of tasks of a step that wait; 0 if its workflow is not open.
    fn waiting_of(&self, step: TaskKey) -> u32 {
        let job = self.jobs.get(step.job).filter(|job| job.is_open());
        let occurrence = job.and_then(|job| job.occurrences.get(step.occurrence));
        occurrence.map_or(0, |state| state.steps[usize::from(step.step)].waiting)
    }

    /// Reserves room for a step that was served and still waits, and binds the steps after it.
    pub(super) fn reserve(&mut self, ready: &ReadyStep, candidates: &mut Candidates, now: MonoMs) {
        if !self.limits.reservations || self.start_budget == 0 {
            return;
        }
        let spec = self.jobs[ready.job].spec.clone();
        let step = &spec.steps[usize::from(ready.step)];
        if !may_reserve(step) {
            return;
        }
        let first = ready.key(0);
        let Some(next) = self.jobs[ready.job].first_waiting(first) else {
            return;
        };
        let key = ready.key(next);
        let task = self.jobs[ready.job].task(key);
        // Room would not help a task that its tenant's cap holds back.
        if !task.is_some_and(|task| ready.may_start(task, now)) || !self.cap_allows(key) {
            return;
        }
        self.packing.record_waiting(step.demand.cpu_milli, now);
        self.reservations.bind(first, &ready.queue.pool);
        if self.search_room(ready, key, step, candidates, now) {
            self.reservations.bind(first, &ready.queue.pool);
        }
    }

    /// What a step that fits nowhere rules out while some room is reserved.
    pub(super) fn unless_reserved(
        &self,
        unplaced: Option<Unplaced>,
        step: &Step,
    ) -> Option<Unplaced> {
        let unplaced = unplaced?;
        let mut shares = self.reservations.shares.iter();
        Some(match shares.any(|share| share.reserved_workers > 0) {
            true => unplaced.except_shorter(step),
            false => unplaced,
        })
    }

    /// Adds reservations for a step; returns whether there are any.
    fn search_room(
        &mut self,
        ready: &ReadyStep,
        key: TaskKey,
        step: &Step,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> bool {
        let first = ready.key(0);
        let pool = &ready.queue.pool;
        let waiting = self.waiting_of(first) as usize;
        let missing = waiting.saturating_sub(self.reservations.count(first));
        let missing = missing.min(self.reservations.left_in_pool(pool, step.demand.cpu_milli));
        let is_possible = self.reservations.searches_left > 0
            && missing > 0
            && !self.reservations.retry_at.contains_key(&first);
        if !is_possible {
            return false;
        }
        let due_at = self.jobs[ready.job].occurrences[first.occurrence].due_at;
        let useful = useful_from_now(&self.jobs[ready.job].spec, &ready.queue, due_at, now);
        let is_worthless = useful == Millis(0);
        // It still gets room in the end, but not the reservations of work that is worth something.
        let missing = if is_worthless {
            missing.min(MAX_WORTHLESS.saturating_sub(self.reservations.worthless))
        } else {
            missing
        };
        let is_plain = self
            .wanted(key, pool, None)
            .is_some_and(|wanted| wanted.is_plain());
        if missing == 0 || !is_plain {
            return false;
        }
        self.reservations.searches_left -= 1;
        self.reservations.next_search_at = now + SEARCH_INTERVAL_MS;
        let until = now
            + match is_worthless {
                true => MAX_HOLD_MS,
                false => useful.clamp(MIN_HOLD_MS, MAX_HOLD_MS),
            };
        let rooms = self.soonest_rooms(key, step, pool, until, candidates);
        if rooms.is_empty() {
            let retry_at = now + RETRY_INTERVAL_MS;
            self.reservations.retry_at.insert(first, retry_at);
        }
        for &(worker, room) in rooms.iter().take(missing) {
            let reservation = Reservation {
                step: first,
                demand: step.demand,
                start_at: room.at,
                until: until.min(room.at + room.at.since(now).max(MIN_HOLD_MS)),
                kept: room.kept,
                checked_at: now,
                in_force: false,
                is_worthless,
            };
            self.reservations.insert(worker, reservation);
        }
        !rooms.is_empty()
    }

    /// Workers where a task will fit by `until`, soonest first.
    ///
    /// The reservations of steps that are served later may be replaced.
    fn soonest_rooms(
        &mut self,
        key: TaskKey,
        step: &Step,
        pool: &str,
        until: MonoMs,
        candidates: &mut Candidates,
    ) -> Vec<(WorkerKey, Room)> {
        candidates.compared_workers += candidates.len() as u64;
        let now = candidates.now;
        let first = first_of(key);
        let mut pieces = Vec::new();
        for worker_key in candidates.keys() {
            let worker = &self.workers[worker_key];
            let reservation = self.reservations.by_worker.get(worker_key);
            let is_taken = reservation.is_some_and(|of| of.in_force || of.step == first)
                || self.reservations.avoided.contains_key(worker_key);
            if !is_taken && *worker.listing.pool == *pool && self.may_have_room(worker, key, step) {
                pieces.push((worker.free().cpu_milli, worker_key));
            }
        }
        if pieces.len() > MAX_EXAMINED_WORKERS {
            pieces.select_nth_unstable_by(MAX_EXAMINED_WORKERS, |a, b| b.cmp(a));
            pieces.truncate(MAX_EXAMINED_WORKERS);
        }
        let remote_ms = Millis((step.expected_run_ms as f64 * REMOTE_DELAY) as u64);
        let mut rooms = Vec::new();
        for (_, worker_key) in pieces {
            let worker = &self.workers[worker_key];
            self.work.estimated_runs += worker.tasks.len() as u64;
            let room = self.room_at(worker, &step.demand, now);
            let Some(room) = room.filter(|room| room.at <= until) else {
                continue;
            };
            let data_rack = step.data_rack.as_ref();
            let is_remote = data_rack.is_some_and(|rack| worker.listing.rack() != Some(rack));
            let runs_from = if is_remote {
                room.at + remote_ms
            } else {
                room.at
            };
            rooms.push((runs_from, worker_key, room));
        }
        rooms.sort_by_key(|(runs_from, worker, _)| (*runs_from, *worker));
        let rooms = rooms.into_iter();
        rooms.map(|(_, worker, room)| (worker, room)).collect()
    }

    /// When a worker has room for a demand, by the estimated ends of its runs.
    fn room_at(&self, worker: &Worker, demand: &Resources, now: MonoMs) -> Option<Room> {
        let capacity = worker.listing.capacity;
        let mut room = Room {
            at: now,
            kept: capacity.saturating_sub(&worker.free()),
            awaited: 0,
            last: None,
        };
        let assigned = worker.tasks.iter();
        let ends = assigned.filter_map(|(&key, assigned)| {
            Some((self.expected_end(key, now)?, key, assigned.demand))
        });
        let mut ends: Vec<_> = ends.collect();
        ends.sort_unstable_by_key(|(at, key, _)| (*at, *key));
        let mut ends = ends.into_iter();
        while !(room.kept + *demand).fits_in(&capacity) {
            let (at, key, ended) = ends.next()?;
            room.at = room.at.max(at);
            room.kept -= ended;
            room.awaited += 1;
            room.last = Some(key);
        }
        Some(room)
    }

    /// Whether the reservation on a worker, if any binds, excludes a task there.
    pub(super) fn is_reserved(
        &self,
        worker_key: WorkerKey,
        wanted: &Wanted<'_>,
        now: MonoMs,
    ) -> bool {
        let reservation = self.reservations.by_worker.get(worker_key);
        let Some(reservation) = reservation.filter(|reservation| reservation.in_force) else {
            return false;
        };
        if reservation.step == first_of(wanted.key) {
            return false;
        }
        let worker = &self.workers[worker_key];
        let used = reservation.kept + reservation.demand + occupied(wanted.step);
        let fits_beside = used.fits_in(&worker.listing.capacity);
        // A gang that is taken back would leave the room of its members counted as free.
        let ends_before = || {
            let certain_end = self.certain_end(wanted.key, now);
            !wanted.step.gang && certain_end.is_some_and(|at| at <= reservation.start_at)
        };
        !fits_beside && !ends_before()
    }

    /// Counts a start on a worker with a reservation; the start of its task ends the reservation.
    pub(super) fn count_reserved_start(&mut self, key: TaskKey, worker: WorkerKey, now: MonoMs) {
        let Some(reservation) = self.reservations.by_worker.get(worker) else {
            return;
        };
        let (step, start_at) = (reservation.step, reservation.start_at);
        if step == first_of(key) {
            return self.reservations.remove(worker);
        }
        if self.certain_end(key, now).is_some_and(|at| at <= start_at) {
            return;
        }
        let occupied = occupied(self.jobs[key.job].step(key));
        if let Some(reservation) = self.reservations.by_worker.get_mut(worker) {
            reservation.kept += occupied;
        }
    }

    /// Reservation of a task's step whose room is expected first.
    pub(super) fn reserved_room(&self, key: TaskKey, now: MonoMs) -> Option<ReservedRoom> {
        let waits = self.jobs[key.job].task(key)?.phase == Phase::Waiting;
        let workers = self.reservations.by_step.get(&first_of(key));
        let workers = workers.filter(|_| waits)?;
        let reserved = workers.iter().filter_map(|&worker| {
            let reservation = self.reservations.by_worker.get(worker)?;
            Some((reservation.start_at, worker, reservation))
        });
        let (_, worker, reservation) = reserved.min_by_key(|(at, worker, _)| (*at, *worker))?;
        let room = self.room_at(self.workers.get(worker)?, &reservation.demand, now);
        Some(ReservedRoom {
            worker,
            expected_in: reservation.start_at.since(now),
            kept_for: reservation.until.since(now),
            awaited_runs: room.map_or(0, |room| room.awaited),
            last_run: room.and_then(|room| room.last).map(|run| self.name(run)),
            reservations: u32::try_from(workers.len()).unwrap_or(u32::MAX),
        })
    }
}
