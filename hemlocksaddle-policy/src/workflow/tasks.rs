//! Tasks of one step in one occurrence.
//!
//! A step may have a hundred thousand tasks. Only those take space whose state differs from that of a task that
//! was never started and from that of a done one: the running ones, and those that were interrupted.

use std::{
    collections::BTreeMap,
    iter::from_fn,
    ops::{Index, IndexMut},
};

use hemlocksaddle_types::workflow::Run;

use super::{Phase, job::Task, ranges::Ranges};

/// Task that was never started.
static NEW: Task = Task::with(Phase::Waiting, false);

/// Task of which a run may have ended in a way that is not known.
static NEW_END_UNKNOWN: Task = Task::with(Phase::Waiting, true);

/// Task that is done.
static DONE: Task = Task::with(Phase::Done, false);

/// Tasks of one step.
#[derive(Clone, Debug)]
pub(super) struct Tasks {
    count: u32,
    /// Tasks with state of their own.
    own: BTreeMap<u32, Task>,
    /// Done tasks; those with state of their own may be missing.
    done: Ranges,
    /// Latest runs of done tasks that were started after one whose end is unknown.
    restarted: BTreeMap<u32, Run>,
    /// Whether the waiting tasks without state of their own may have had a run that ended in a way that is not known.
    end_unknown: bool,
}

impl Index<u32> for Tasks {
    type Output = Task;

    fn index(&self, index: u32) -> &Task {
        if let Some(task) = self.own.get(&index) {
            task
        } else if self.done.contains(index) {
            &DONE
        } else if self.end_unknown {
            &NEW_END_UNKNOWN
        } else {
            &NEW
        }
    }
}

impl IndexMut<u32> for Tasks {
    /// Task for changes; it has state of its own from now on, until it is settled.
    fn index_mut(&mut self, index: u32) -> &mut Task {
        if !self.own.contains_key(&index) {
            let mut task = self[index].clone();
            task.restarted = self.restarted.remove(&index);
            self.own.insert(index, task);
        }
        match self.own.get_mut(&index) {
            Some(task) => task,
            None => panic!("task {index} has no state"),
        }
    }
}

impl Tasks {
    /// Tasks of which none was started.
    pub(super) fn new(count: u32) -> Tasks {
        Tasks {
            count,
            own: BTreeMap::new(),
            done: Ranges::default(),
            restarted: BTreeMap::new(),
            end_unknown: false,
        }
    }

    /// Number of tasks.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    pub(super) fn get(&self, index: u32) -> Option<&Task> {
        (index < self.count).then(|| &self[index])
    }

    pub(super) fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        (index < self.count).then(|| &mut self[index])
    }

    /// Drops what a done task does not need any more.
    pub(super) fn settle(&mut self, index: u32) {
        if self[index].phase != Phase::Done {
            return;
        }
        if let Some(task) = self.own.remove(&index) {
            self.restarted
                .extend(task.restarted.map(|run| (index, run)));
        }
        self.done.insert(index);
    }

    /// State of a task that has one of its own.
    pub(super) fn own_state(&self, index: u32) -> Option<&Task> {
        self.own.get(&index)
    }

    /// Sets or removes the own state of a waiting task.
    pub(super) fn set_own_state(&mut self, index: u32, state: Option<Task>) {
        match state {
            Some(task) => self.own.insert(index, task),
            None => self.own.remove(&index),
        };
    }

    /// Tasks with state of their own.
    pub(super) fn own(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.own.iter().map(|(&index, task)| (index, task))
    }

    /// First waiting task from an index.
    pub(super) fn first_waiting(&self, from: u32) -> Option<u32> {
        let mut index = from;
        while index < self.count {
            if self[index].phase == Phase::Waiting {
                return Some(index);
            }
            index = self.done.first_missing(index).max(index + 1);
        }
        None
    }

    /// All tasks, as half-open ranges of indices with equal state.
    pub(super) fn segments(&self) -> impl Iterator<Item = (u32, u32, &Task)> {
        let mut from = 0;
        from_fn(move || {
            let start = from;
            if start >= self.count {
                return None;
            }
            from = if self.own.contains_key(&start) {
                start + 1
            } else {
                let next_own = self.own.range(start..).next();
                let next_own = next_own.map_or(self.count, |(&index, _)| index);
                let done_end = self.done.first_missing(start);
                let end = if done_end > start {
                    done_end
                } else {
                    self.done.first_present(start).unwrap_or(self.count)
                };
                end.min(next_own).min(self.count)
            };
            Some((start, from, &self[start]))
        })
    }

    /// Tasks with a property, as half-open index ranges.
    pub(super) fn ranges(&self, has_property: impl Fn(&Task) -> bool) -> Vec<(u32, u32)> {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for (from, to, task) in self.segments() {
            if !has_property(task) {
                continue;
            }
            match ranges.last_mut() {
                Some((_, end)) if *end == from => *end = to,
                _ => ranges.push((from, to)),
            }
        }
        ranges
    }

    /// Latest runs that were started after one whose end is unknown, by task index.
    pub(super) fn restarted(&self) -> Vec<(u32, Run)> {
        let own = self.own();
        let own = own.filter_map(|(index, task)| Some((index, task.restarted?)));
        let settled = self.restarted.iter().map(|(&index, &run)| (index, run));
        let mut all: Vec<_> = own.chain(settled).collect();
        all.sort_unstable();
        all
    }

    /// Records that waiting tasks may have had a run that ended in a way that is not known; returns whether this
    /// was new for any.
    pub(super) fn mark_waiting_unknown(&mut self) -> bool {
        let has_new =
            |(_, _, task): (u32, u32, &Task)| task.phase == Phase::Waiting && !task.end_unknown;
        let has_changed = self.segments().any(has_new);
        self.end_unknown = true;
        let waiting = self
            .own
            .values_mut()
            .filter(|task| task.phase == Phase::Waiting);
        waiting.for_each(|task| task.end_unknown = true);
        has_changed
    }
}
