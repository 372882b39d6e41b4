//! Gangs: steps whose tasks work only together.
//!
//! A gang starts as a whole or not at all, and restarts as a whole. Its caller chooses its
//! size, which may exceed what all workers hold. Before an attempt to place it, the free room
//! is counted without a change of state, so that the memory and the time of an attempt are
//! bounded by what the workers have room for and not by the size of the gang. An attempt that
//! fails all the same is rolled back.

use std::sync::Arc;

use hemlocksaddle_types::{
    clock::MonoMs,
    workflow::{Run, Step},
};

use super::{
    Order, Scheduler, TaskKey, WorkerKey, job::Task, placement::Candidates, plan::ReadyStep,
    ranking::SharedRanking, unplaced::Unplaced,
};

/// Member that an attempt has started, with what is needed to roll the start back.
struct Started {
    index: u32,
    /// Index of its worker in the list of candidates.
    place: usize,
    /// Own state before the start; `None` if it had none.
    earlier: Option<Task>,
}

/// Free room for the members of a gang in a rack.
struct RackRoom {
    rack: Option<Arc<str>>,
    members: u64,
}

impl Scheduler {
    /// Places all members of a gang, or none of them; returns whether they were placed.
    pub(super) fn place_gang(
        &mut self,
        ready: &ReadyStep,
        step: &Step,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> bool {
        let first = ready.key(0);
        let job = &self.jobs[ready.job];
        let all_wait = job
            .segments(first)
            .all(|(_, _, task)| ready.may_start(task, now));
        if !all_wait || !self.cap_allows(first) {
            return false;
        }
        let pool = &ready.queue.pool;
        let (racks, room) = self.racks_with_room(first, step, pool, candidates);
        if racks.is_empty() {
            let image = job.images[usize::from(ready.step)];
            let unplaced = Unplaced::gang(step, image, pool, room);
            candidates.unplaced.extend(unplaced);
            return false;
        }
        let last = job.segments(first).map(|(_, _, task)| task.run).max();
        let run = self.run_after(last.unwrap_or(Run(0)));
        let mut racks = racks.iter();
        racks.any(|rack| self.start_gang(ready, step, rack.as_deref(), run, candidates, now))
    }

    /// Racks that may have room for a gang: each single rack if its tasks should share one, then all (`None`); also
    /// returns the number of tasks for which all racks have room.
    fn racks_with_room(
        &self,
        first: TaskKey,
        step: &Step,
        pool: &str,
        candidates: &mut Candidates,
    ) -> (Vec<Option<Arc<str>>>, u64) {
        candidates.compared_workers += candidates.len() as u64;
        let (mut by_rack, mut in_all): (Vec<RackRoom>, u64) = (Vec::new(), 0);
        for key in candidates.keys() {
            let worker = &self.workers[key];
            if *worker.listing.pool != *pool {
                continue;
            }
            let below_limit = self.left_below_limit(worker, first, step) as u64;
            let members = worker.room_for(step).min(below_limit);
            in_all = in_all.saturating_add(members);
            let rack = worker.listing.rack();
            if !step.same_rack || rack.is_none() {
                continue;
            }
            match by_rack.iter_mut().find(|room| room.rack.as_ref() == rack) {
                Some(room) => room.members = room.members.saturating_add(members),
                None => by_rack.push(RackRoom {
                    rack: rack.cloned(),
                    members,
                }),
            }
        }
        let wanted = u64::from(step.tasks);
        if in_all < wanted {
            return (Vec::new(), in_all);
        }
        by_rack.retain(|room| room.members >= wanted);
        by_rack.sort_by_key(|room| room.rack != step.data_rack);
        let mut racks: Vec<_> = by_rack.into_iter().map(|room| room.rack).collect();
        racks.push(None);
        (racks, in_all)
    }

    /// Starts all members of a gang in a rack, or in all racks, or none of them; returns whether they were started.
    fn start_gang(
        &mut self,
        ready: &ReadyStep,
        step: &Step,
        rack: Option<&str>,
        run: Run,
        candidates: &mut Candidates,
        now: MonoMs,
    ) -> bool {
        let first_order = self.orders.len();
        let start_budget = self.start_budget;
        let mut started = Vec::new();
        let mut ranking = SharedRanking::default();
        for index in 0..step.tasks {
            let key = ready.key(index);
            let Some((place, worker)) =
                self.place_member(ready, key, rack, candidates, &mut ranking)
            else {
                self.orders.truncate(first_order);
                self.start_budget = start_budget;
                self.roll_back(ready, started, candidates);
                return false;
            };
            let tasks = self.jobs[ready.job].tasks(key);
            let earlier = tasks.and_then(|tasks| tasks.own_state(index)).cloned();
            started.push(Started {
                index,
                place,
                earlier,
            });
            self.start(key, worker, run, now);
            candidates.invalidate(place);
        }
        self.share_checkpoint(ready.key(0), first_order);
        true
    }

    /// Cheapest place for the next member of a gang.
    fn place_member(
        &self,
        ready: &ReadyStep,
        key: TaskKey,
        rack: Option<&str>,
        candidates: &mut Candidates,
        ranking: &mut SharedRanking,
    ) -> Option<(usize, WorkerKey)> {
        let wanted = self.wanted(key, &ready.queue.pool, rack)?;
        self.next_place(candidates, &wanted, ranking)
    }

    /// Returns members to the state that they had before their start.
    fn roll_back(&mut self, ready: &ReadyStep, started: Vec<Started>, candidates: &mut Candidates) {
        for member in started {
            let key = ready.key(member.index);
            self.unassign(key);
            let tasks = &mut self.jobs[ready.job].step_state(key).tasks;
            tasks.set_own_state(member.index, member.earlier);
            candidates.invalidate(member.place);
        }
    }

    /// Gives all members of a gang the same checkpoint, in the orders from an index.
    fn share_checkpoint(&mut self, first: TaskKey, from: usize) {
        let mut members = self.jobs[first.job].segments(first);
        let shared = members.find_map(|(_, _, task)| task.checkpoint.clone());
        for order in &mut self.orders[from..] {
            if let Order::Start(start) = order {
                start.checkpoint.clone_from(&shared);
            }
        }
    }

    /// Completes all members of the gang of a task.
    pub(super) fn complete_gang(&mut self, key: TaskKey) {
        let tasks = self.jobs[key.job].step(key).tasks;
        for index in 0..tasks {
            self.complete_task(TaskKey { index, ..key });
        }
    }

    /// Orders all members of the gang of a task to stop, so that the gang can restart as a whole.
    pub(super) fn stop_gang(&mut self, key: TaskKey) {
        let members = self.jobs[key.job].segments(key);
        let assigned = members.filter(|(_, _, task)| task.phase.worker().is_some());
        let assigned: Vec<u32> = assigned.map(|(index, _, _)| index).collect();
        for index in assigned {
            self.stop(TaskKey { index, ..key });
        }
    }
}
