//! Occurrences of a workflow and the state of their tasks.
//!
//! An occurrence has state from the time at which it is due until all its tasks are done. Of done ones only
//! their numbers are kept, and what decides whether a late end is acknowledged. Of occurrences that are due at
//! the same time, those get state whose tasks may be started next; the others follow as tasks are started.

use std::{
    collections::BTreeMap,
    ops::{Index, IndexMut},
};

use foldhash::HashMap;
use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    workflow::{Run, Workflow},
};

use super::{job::Occurrence, ranges::Ranges};

/// Number of waiting tasks of a workflow from which no further occurrence gets state.
///
/// More than one plan usually starts.
const MAX_WAITING_TASKS: u64 = 500;

/// Task of an occurrence: numbers of the occurrence, the step and the task.
type TaskNumbers = (u32, u16, u32);

/// Occurrences of a workflow.
#[derive(Clone, Debug)]
pub(super) struct Occurrences {
    /// Number of occurrences of the workflow.
    total: u32,
    /// Number from which none has been created as due.
    next: u32,
    /// State of those that are due and not done, by number.
    active: BTreeMap<u32, Occurrence>,
    done: Ranges,
    /// Latest runs of tasks of done occurrences that were started after one whose end is unknown.
    restarted: HashMap<TaskNumbers, Run>,
}

impl Index<u32> for Occurrences {
    type Output = Occurrence;

    fn index(&self, number: u32) -> &Occurrence {
        &self.active[&number]
    }
}

impl IndexMut<u32> for Occurrences {
    fn index_mut(&mut self, number: u32) -> &mut Occurrence {
        match self.active.get_mut(&number) {
            Some(occurrence) => occurrence,
            None => panic!("occurrence {number} has no state"),
        }
    }
}

impl Occurrences {
    /// Occurrences of a workflow; the only one of a workflow without a schedule is due at once.
    pub(super) fn new(spec: &Workflow, now: MonoMs) -> Occurrences {
        let mut occurrences = Occurrences {
            total: spec.occurrences(),
            next: 0,
            active: BTreeMap::new(),
            done: Ranges::default(),
            restarted: HashMap::default(),
        };
        if spec.schedule.is_none() {
            occurrences.ensure(0, spec, now);
        }
        occurrences
    }

    /// State of an occurrence; `None` if it is not due yet, or done.
    pub(super) fn get(&self, number: u32) -> Option<&Occurrence> {
        self.active.get(&number)
    }

    /// State of an occurrence for changes; `None` if it is not due yet, or done.
    pub(super) fn get_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        self.active.get_mut(&number)
    }

    /// Occurrences with state, by number.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.active.iter().map(|(&number, state)| (number, state))
    }

    /// Occurrences with state, for changes.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Occurrence)> {
        self.active
            .iter_mut()
            .map(|(&number, state)| (number, state))
    }

    /// Whether an occurrence exists and is not done.
    pub(super) fn is_open(&self, number: u32) -> bool {
        number < self.total && !self.done.contains(number)
    }

    /// Creates the state of an occurrence that exists and is not done, unless it has one.
    pub(super) fn ensure(&mut self, number: u32, spec: &Workflow, now: MonoMs) {
        if self.is_open(number) {
            self.active
                .entry(number)
                .or_insert_with(|| Occurrence::new(spec, now));
        }
    }

    /// Creates the state of the occurrences that are due, as long as few tasks wait.
    pub(super) fn add_due(&mut self, spec: &Workflow, now: MonoMs, wall: WallMs) {
        let Some(schedule) = spec.schedule else {
            return;
        };
        let mut waiting = None;
        loop {
            self.next = self.done.first_missing(self.next);
            let interval_ms = schedule.interval_ms.0;
            let due_ms = interval_ms
                .saturating_mul(u64::from(self.next))
                .saturating_add(schedule.first_ms.0);
            if self.next >= self.total || wall.0 < due_ms {
                return;
            }
            let waiting = waiting.get_or_insert_with(|| {
                let active = self.active.values();
                active.map(Occurrence::waiting).sum::<u64>()
            });
            if *waiting >= MAX_WAITING_TASKS {
                return;
            }
            self.ensure(self.next, spec, now);
            *waiting += self.get(self.next).map_or(0, Occurrence::waiting);
            self.next += 1;
        }
    }

    /// Number of occurrences of a schedule that are due, not done and without state.
    pub(super) fn due_without_state(&self, spec: &Workflow, wall: WallMs) -> u32 {
        let Some(schedule) = spec.schedule else {
            return 0;
        };
        if wall.0 < schedule.first_ms.0 {
            return 0;
        }
        let later = wall.since(schedule.first_ms).0 / schedule.interval_ms.0.max(1);
        let due = u32::try_from(later.saturating_add(1)).unwrap_or(u32::MAX);
        let active = u32::try_from(self.active.len()).unwrap_or(u32::MAX);
        let known = self.done.count().saturating_add(active);
        due.min(self.total).saturating_sub(known)
    }

    /// Whether every task of every occurrence is done.
    pub(super) fn are_done(&self) -> bool {
        let active = u32::try_from(self.active.len()).unwrap_or(u32::MAX);
        self.done.count().checked_add(active) == Some(self.total)
            && self.active.values().all(Occurrence::is_done)
    }

    /// Drops the state of an occurrence if it is done.
    pub(super) fn retire(&mut self, number: u32) {
        if !self.get(number).is_some_and(Occurrence::is_done) {
            return;
        }
        self.mark_done(number);
    }

    fn mark_done(&mut self, number: u32) {
        self.done.insert(number);
        let Some(occurrence) = self.active.remove(&number) else {
            return;
        };
        for (step, state) in (0u16..).zip(&occurrence.steps) {
            let restarted = state.tasks.restarted().into_iter();
            let restarted = restarted.map(|(index, run)| ((number, step, index), run));
            self.restarted.extend(restarted);
        }
    }

    /// Restores that occurrences are done, given as half-open ranges.
    pub(super) fn restore_done(&mut self, ranges: &[(u32, u32)]) {
        for &(from, to) in ranges {
            (from..to.min(self.total)).for_each(|number| self.mark_done(number));
        }
    }

    /// Restores the run of a task of a done occurrence that was started after one whose end is unknown.
    pub(super) fn restore_restarted(&mut self, of: TaskNumbers, run: Run) {
        self.restarted.insert(of, run);
    }

    /// Numbers of the done occurrences, as half-open ranges.
    pub(super) fn done(&self) -> &[(u32, u32)] {
        self.done.as_slice()
    }

    /// Runs of tasks of done occurrences that were started after one whose end is unknown.
    pub(super) fn restarted(&self) -> &HashMap<TaskNumbers, Run> {
        &self.restarted
    }

    /// Run of a task of a done occurrence that was started after one whose end is unknown.
    pub(super) fn restarted_run(&self, of: TaskNumbers) -> Option<Run> {
        self.restarted.get(&of).copied()
    }
}
