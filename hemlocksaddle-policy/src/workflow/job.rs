//! Workflows and the state of their tasks.

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    workflow::{CrashedRun, Failure, Run, State, Step, TaskName, Workflow, WorkflowId},
};

use super::{
    JobKey, TenantKey, WorkerKey, interference::ImageId, occurrences::Occurrences, tasks::Tasks,
};

/// Key of a task in the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Workflow that the task belongs to.
    pub job: JobKey,
    /// Occurrence of the workflow's schedule, from 0.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index within the step.
    pub index: u32,
}

/// Phase in the life cycle of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not assigned to a worker.
    Waiting,
    /// A start was ordered and is not confirmed yet.
    Starting {
        /// Worker that was told to start the task.
        worker: WorkerKey,
        /// Whether an order without an answer may have been carried out.
        maybe_started: bool,
    },
    /// The worker confirmed the run.
    Running {
        /// Worker that runs the task.
        worker: WorkerKey,
        /// Time of the confirmation.
        since: MonoMs,
    },
    /// A stop was ordered.
    Stopping {
        /// Worker that was told to stop the task.
        worker: WorkerKey,
        /// Time at which the worker answered the stop.
        answered_at: Option<MonoMs>,
    },
    /// Completed successfully.
    Done,
}

impl Phase {
    /// Worker that may run the task.
    #[must_use]
    pub fn worker(self) -> Option<WorkerKey> {
        match self {
            Phase::Starting { worker, .. }
            | Phase::Running { worker, .. }
            | Phase::Stopping { worker, .. } => Some(worker),
            Phase::Waiting | Phase::Done => None,
        }
    }
}

/// State of a task of a workflow.
#[derive(Clone, Debug)]
pub struct Task {
    /// Phase in the life cycle.
    pub phase: Phase,
    /// Latest run; 0 before the first.
    pub run: Run,
    /// Runs that failed.
    pub failed: Vec<Run>,
    /// Whether the end of the latest run is unknown, because its worker was silent until its lease
    /// had expired.
    pub(super) end_unknown: bool,
    /// Latest run that was started after one whose end is unknown.
    pub(super) restarted: Option<Run>,
    /// Value of `restarted` before its last change, for a start that is refused.
    restarted_before: Option<Run>,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Whether a run of the task is known to have started.
    pub(super) has_run: bool,
    /// Whether a report has listed the latest run as running after the last call of a predecessor to the
    /// worker was answered.
    ///
    /// No predecessor can have a run elsewhere, since it starts another only after it knows of the end of this one.
    pub(super) located: bool,
    /// Time since which the task has waited; `None` before its first start.
    ///
    /// A start that is refused does not change it.
    pub(super) waiting_since: Option<MonoMs>,
    /// Earliest time of the next start.
    pub not_before: MonoMs,
    /// Worker to avoid: the latest run failed there or was moved off it.
    pub failed_on: Option<WorkerKey>,
    /// Crashes that the task may have caused.
    pub crashes: Vec<CrashedRun>,
    /// Whether the task is a suspect with a crash that is not durable yet.
    pub(super) crash_unsaved: bool,
    /// Whether a predecessor may have started the task once more, as a suspect.
    pub(super) unseen_run: bool,
    /// Longest time for which a worker is known to have lived after the start of a run.
    pub(super) longest_survived: Millis,
    /// Time of the order to start the latest run.
    pub(super) ordered_at: MonoMs,
    /// Reading of the worker's clock by which the run had started; `None` if it may not have.
    pub(super) started_clock_ms: Option<u64>,
    /// Progress of the run in percent, as last reported.
    pub percent: u8,
    /// Progress at which a report showed a run that this owner did not order; `None` if it ordered the run.
    pub(super) adopted_percent: Option<u8>,
    /// Time at which the progress last changed.
    pub progressed_at: MonoMs,
    /// Share of its processors that the run may use, in percent.
    pub pace: u8,
    /// Whether the latest order to change the pace may not have been carried out.
    pub(super) pace_unknown: bool,
    /// Time at which the run was halted; `None` if it is not halted.
    pub halted_at: Option<MonoMs>,
}

impl Task {
    /// Task without a run that is known.
    pub(super) const fn with(phase: Phase, end_unknown: bool) -> Task {
        Task {
            phase,
            run: Run(0),
            failed: Vec::new(),
            end_unknown,
            restarted: None,
            restarted_before: None,
            checkpoint: None,
            has_run: false,
            located: false,
            waiting_since: None,
            not_before: MonoMs(0),
            failed_on: None,
            crashes: Vec::new(),
            crash_unsaved: false,
            unseen_run: false,
            longest_survived: Millis(0),
            ordered_at: MonoMs(0),
            started_clock_ms: None,
            percent: 0,
            adopted_percent: None,
            progressed_at: MonoMs(0),
            pace: FULL_PACE,
            pace_unknown: false,
            halted_at: None,
        }
    }
}

impl Task {
    /// Whether the task may be started now.
    ///
    /// The crashes of a suspect have to be durable first, so that a successor knows of them.
    pub(super) fn may_start(&self, now: MonoMs) -> bool {
        self.phase == Phase::Waiting && now >= self.not_before && !self.crash_unsaved
    }

    /// Records that a run is started although the end of an earlier one is unknown.
    pub(super) fn mark_restarted(&mut self, run: Run) {
        self.restarted_before = self.restarted.replace(run);
        self.end_unknown = false;
    }

    /// Takes [`Task::mark_restarted`] back after the start of the run was refused; returns whether
    /// there was anything to take back.
    pub(super) fn undo_restarted(&mut self, run: Run) -> bool {
        let was_marked = self.restarted == Some(run);
        if was_marked {
            self.restarted = self.restarted_before;
            self.end_unknown = true;
        }
        was_marked
    }
}

/// Pace of a run that is not limited, in percent.
pub(super) const FULL_PACE: u8 = 100;

/// Tasks of one step in one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepState {
    pub(super) tasks: Tasks,
    pub(super) done: u32,
    pub(super) waiting: u32,
    /// Number of located tasks.
    pub(super) located: u32,
    /// Time since which a task of the step has been ready to start.
    pub(super) waiting_since: Option<MonoMs>,
    /// Latest round in which an attempt to place a task of the step failed; 0 for none.
    pub(super) last_failed_round: u32,
    /// Estimated load of the long-running tasks.
    pub(super) load: Option<f64>,
}

/// One execution of all steps.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) steps: Vec<StepState>,
    /// Time at which it became due for this owner.
    pub(super) due_at: MonoMs,
}

impl Occurrence {
    pub(super) fn new(spec: &Workflow, due_at: MonoMs) -> Occurrence {
        let state = |step: &Step| StepState {
            tasks: Tasks::new(step.tasks),
            done: 0,
            waiting: step.tasks,
            located: 0,
            waiting_since: None,
            last_failed_round: 0,
            load: None,
        };
        Occurrence {
            steps: spec.steps.iter().map(state).collect(),
            due_at,
        }
    }

    /// Number of tasks that are not assigned and not done.
    pub(super) fn waiting(&self) -> u64 {
        let steps = self.steps.iter();
        steps.map(|step| u64::from(step.waiting)).sum()
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Whether all steps that one depends on are done.
    pub(super) fn step_is_due(&self, step: &Step) -> bool {
        let mut dependencies = step.depends_on.iter();
        dependencies.all(|&dependency| self.steps[usize::from(dependency)].is_done())
    }
}

impl StepState {
    pub(super) fn is_done(&self) -> bool {
        self.done == self.tasks.count()
    }
}

/// Workflow with the state of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the workflow.
    pub id: WorkflowId,
    /// Workflow as it was accepted.
    pub spec: Rc<Workflow>,
    /// Time at which this owner read the submission.
    pub accepted_at: MonoMs,
    /// Whether a predecessor may have started tasks of the workflow.
    pub inherited: bool,
    /// Whether the owner has stored the submission but not read it back yet.
    ///
    /// Tasks are not started meanwhile: a successor may take it as not started.
    pub(super) unconfirmed: bool,
    /// Whether any task has started.
    pub started: bool,
    /// Whether the caller cancelled the workflow.
    pub cancelled: bool,
    /// Final state and the time it was reached, whether durable or not.
    pub ended: Option<(State, WallMs)>,
    /// Whether the final state is durable.
    pub ended_saved: bool,
    /// Why the workflow failed.
    pub failure: Option<Failure>,
    /// Suspects with a crash that is not durable yet.
    pub(super) unsaved_crashes: Vec<TaskKey>,
    pub(super) occurrences: Occurrences,
    /// Occurrences with a step that is done since the last look for done occurrences.
    pub(super) maybe_done: Vec<u32>,
    /// Tenant that submitted the workflow.
    pub(super) tenant: Option<TenantKey>,
    /// Image of each step.
    pub(super) images: Vec<ImageId>,
    /// Number of tasks assigned to workers.
    pub(super) placed: u32,
}

impl Job {
    pub(super) fn new(
        id: WorkflowId,
        spec: Workflow,
        images: Vec<ImageId>,
        now: MonoMs,
        inherited: bool,
    ) -> Job {
        Job {
            id,
            occurrences: Occurrences::new(&spec, now),
            maybe_done: Vec::new(),
            spec: Rc::new(spec),
            accepted_at: now,
            inherited,
            unconfirmed: false,
            started: false,
            cancelled: false,
            ended: None,
            ended_saved: false,
            failure: None,
            unsaved_crashes: Vec::new(),
            tenant: None,
            images,
            placed: 0,
        }
    }

    /// State shown to the caller; a final state only once it is durable.
    #[must_use]
    pub fn state(&self) -> State {
        match self.ended {
            Some((state, _)) if self.ended_saved => state,
            _ if self.cancelled => State::Cancelled,
            _ if self.started => State::Running,
            _ => State::Queued,
        }
    }

    /// Whether tasks may still be started.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.cancelled && self.ended.is_none()
    }

    /// Task with the given key.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.tasks(key)?.get(key.index)
    }

    /// Task with the given name; the workflow id in it is ignored.
    #[must_use]
    pub fn task_named(&self, name: TaskName) -> Option<&Task> {
        let occurrence = self.occurrences.get(name.occurrence)?;
        let step = occurrence.steps.get(usize::from(name.step))?;
        step.tasks.get(name.index)
    }

    pub(super) fn name_of(&self, key: TaskKey) -> TaskName {
        TaskName {
            workflow: self.id,
            occurrence: key.occurrence,
            step: key.step,
            index: key.index,
        }
    }

    pub(super) fn step(&self, key: TaskKey) -> &Step {
        &self.spec.steps[usize::from(key.step)]
    }

    pub(super) fn image(&self, key: TaskKey) -> ImageId {
        self.images[usize::from(key.step)]
    }

    pub(super) fn load(&self, key: TaskKey) -> Option<f64> {
        let occurrence = self.occurrences.get(key.occurrence)?;
        occurrence.steps.get(usize::from(key.step))?.load
    }

    pub(super) fn step_state(&mut self, key: TaskKey) -> &mut StepState {
        &mut self.occurrences[key.occurrence].steps[usize::from(key.step)]
    }

    pub(super) fn task_mut(&mut self, key: TaskKey) -> &mut Task {
        &mut self.step_state(key).tasks[key.index]
    }

    /// Tasks of the step of a task; `None` if its occurrence has no state.
    pub(super) fn tasks(&self, key: TaskKey) -> Option<&Tasks> {
        let occurrence = self.occurrences.get(key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        Some(&step.tasks)
    }

    /// All tasks of the step of a task, as half-open ranges of indices with equal state.
    pub(super) fn segments(&self, key: TaskKey) -> impl Iterator<Item = (u32, u32, &Task)> {
        self.tasks(key).into_iter().flat_map(Tasks::segments)
    }

    /// Drops the state of a task that is done.
    pub(super) fn settle(&mut self, key: TaskKey) {
        self.step_state(key).tasks.settle(key.index);
    }

    /// Index of the first waiting task of a step from the given one.
    pub(super) fn first_waiting(&self, from: TaskKey) -> Option<u32> {
        self.tasks(from)?.first_waiting(from.index)
    }

    /// Task with the given key, for changes; `None` if it has no state.
    pub(super) fn find_task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(key.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(key.step))?;
        step.tasks.get_mut(key.index)
    }

    /// Creates the state of occurrences that are due.
    pub(super) fn add_due_occurrences(&mut self, now: MonoMs, wall: WallMs) {
        self.occurrences.add_due(&self.spec, now, wall);
    }

    /// Creates the state of the occurrence of a task, unless the occurrence is done or there is no such task.
    pub(super) fn ensure_occurrence_of(&mut self, name: TaskName, now: MonoMs) {
        let step = self.spec.steps.get(usize::from(name.step));
        if step.is_some_and(|step| name.index < step.tasks) {
            self.occurrences.ensure(name.occurrence, &self.spec, now);
        }
    }

    /// Drops the state of done occurrences of a schedule.
    pub(super) fn retire_occurrences(&mut self) {
        for number in std::mem::take(&mut self.maybe_done) {
            if self.spec.schedule.is_some() {
                self.occurrences.retire(number);
            }
        }
    }

    /// Whether every task of every occurrence is done.
    pub(super) fn is_done(&self) -> bool {
        self.occurrences.are_done()
    }

    /// Whether tasks of a step that are not located have to wait until all workers have reported in this
    /// term.
    ///
    /// A predecessor may have started them.
    pub(super) fn awaits_reports(&self, step: &Step, failover_complete: bool) -> bool {
        self.may_await_reports(failover_complete) && !step.speculative
    }

    /// Whether some tasks that are not located have to wait until all workers have reported in this term.
    pub(super) fn may_await_reports(&self, failover_complete: bool) -> bool {
        self.inherited && !failover_complete
    }

    /// Records that waiting tasks may have run in a way that is not known; returns whether any was
    /// not marked before.
    pub(super) fn mark_waiting_unknown(&mut self) -> bool {
        let occurrences = self.occurrences.iter_mut();
        let steps = occurrences.flat_map(|(_, occurrence)| &mut occurrence.steps);
        let mut has_changed = false;
        for step in steps {
            has_changed |= step.tasks.mark_waiting_unknown();
        }
        has_changed
    }

    /// Time since which a task has waited or, if it does not wait, had waited before its start.
    pub(super) fn waiting_since(&self, key: TaskKey) -> MonoMs {
        let state = &self.occurrences[key.occurrence].steps[usize::from(key.step)];
        let task = &state.tasks[key.index];
        let since = task.waiting_since.or(state.waiting_since);
        since.unwrap_or(self.occurrences[key.occurrence].due_at)
    }

    /// Whether all steps that one depends on are done.
    pub(super) fn step_is_due(&self, occurrence: u32, step: usize) -> bool {
        self.occurrences[occurrence].step_is_due(&self.spec.steps[step])
    }
}
