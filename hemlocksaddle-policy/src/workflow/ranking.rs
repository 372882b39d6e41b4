//! Order in which workers are tried for the tasks of one step.
//!
//! A worker is ranked by a lower bound of its cost. The bound leaves out the
//! interference of a best-effort task, which is expensive to compute; that is added for
//! the first in order only, until the first one's cost is complete. The result is the same
//! as with complete costs of all workers. A start changes the cost of its own worker alone,
//! so the equal tasks of a step share one ranking.

use std::{cmp::Ordering, collections::BinaryHeap};

use super::{
    Scheduler, TaskKey, WorkerKey,
    capacity::CapacityRule,
    placement::{Candidates, Wanted},
};

/// Worker on which a task fits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    /// Index in the list of candidates.
    pub(super) index: usize,
    /// Cost, or a lower bound of it.
    pub(super) cost: f64,
    pub(super) is_complete: bool,
}

impl Ord for Place {
    /// The cheapest is the greatest, as [`BinaryHeap`] yields that first; then the first in the list.
    fn cmp(&self, other: &Place) -> Ordering {
        let by_cost = other.cost.total_cmp(&self.cost);
        by_cost.then(other.index.cmp(&self.index))
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Place) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Place {
    fn eq(&self, other: &Place) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Place {}

/// Workers on which a task fits, cheapest first.
#[derive(Debug)]
pub(super) struct Ranking {
    places: BinaryHeap<Place>,
}

impl Ranking {
    /// Takes the cheapest place, with its complete cost.
    fn pop(
        &mut self,
        scheduler: &Scheduler,
        candidates: &mut Candidates,
        wanted: &Wanted<'_>,
    ) -> Option<Place> {
        loop {
            let mut place = self.places.pop()?;
            if place.is_complete {
                return Some(place);
            }
            if let Some(cost) = scheduler.add_interference(candidates, place, wanted) {
                place.cost = cost;
                place.is_complete = true;
                self.places.push(place);
            }
        }
    }

    /// Takes the cheapest worker, or `None` if the task may not start now.
    pub(super) fn take(
        &mut self,
        scheduler: &Scheduler,
        candidates: &mut Candidates,
        wanted: &Wanted<'_>,
    ) -> Option<(usize, WorkerKey)> {
        let Place { index, .. } = self.pop(scheduler, candidates, wanted)?;
        let worker = candidates.worker(index);
        let cpu_milli = wanted.step.demand.cpu_milli;
        let state = &scheduler.workers[worker];
        let enough = candidates.capacity_rule != CapacityRule::FitsTwo
            || !self.places.is_empty()
            || scheduler.has_room_for_two(state, wanted.key, wanted.step)
            || state.fits_outside_recent_peak(cpu_milli);
        enough.then_some((index, worker))
    }

    /// Ranks a worker again on which a task was started.
    pub(super) fn put_back(
        &mut self,
        scheduler: &Scheduler,
        candidates: &mut Candidates,
        wanted: &Wanted<'_>,
        index: usize,
    ) {
        candidates.compared_workers += 1;
        self.places
            .extend(scheduler.place(candidates, index, wanted));
    }
}

/// Ranking that the equal tasks of a step share.
#[derive(Debug, Default)]
pub(super) struct SharedRanking {
    /// Ranking of the previous task, with the place that it took.
    previous: Option<(Ranking, usize)>,
}

impl Scheduler {
    /// Ranks all candidates for a task.
    pub(super) fn rank(&self, candidates: &mut Candidates, wanted: &Wanted<'_>) -> Ranking {
        candidates.compared_workers += candidates.len() as u64;
        let indices = 0..candidates.len();
        let places = indices.filter_map(|index| self.place(candidates, index, wanted));
        Ranking {
            places: places.collect(),
        }
    }

    /// Cheapest place for the next task of a step, whose previous task was started at the place that it took;
    /// `None` if it fits nowhere now.
    pub(super) fn next_place(
        &self,
        candidates: &mut Candidates,
        wanted: &Wanted<'_>,
        shared: &mut SharedRanking,
    ) -> Option<(usize, WorkerKey)> {
        let mut ranking = match shared.previous.take() {
            Some((mut ranking, place)) if wanted.is_plain() => {
                ranking.put_back(self, candidates, wanted, place);
                ranking
            }
            _ => self.rank(candidates, wanted),
        };
        let (place, worker) = ranking.take(self, candidates, wanted)?;
        shared.previous = wanted.is_plain().then_some((ranking, place));
        Some((place, worker))
    }

    /// Cheapest worker for a task, or `None` if it fits nowhere now.
    pub(super) fn choose(
        &self,
        candidates: &mut Candidates,
        key: TaskKey,
        pool: &str,
        rack: Option<&str>,
    ) -> Option<WorkerKey> {
        let (_, worker) = self.choose_place(candidates, key, pool, rack)?;
        Some(worker)
    }

    /// Like [`Scheduler::choose`], with the index in the list of candidates.
    pub(super) fn choose_place(
        &self,
        candidates: &mut Candidates,
        key: TaskKey,
        pool: &str,
        rack: Option<&str>,
    ) -> Option<(usize, WorkerKey)> {
        let wanted = self.wanted(key, pool, rack)?;
        self.rank(candidates, &wanted)
            .take(self, candidates, &wanted)
    }
}
