//! Test harness: a scheduler with workers whose reports the test makes up.

mod configuration;
pub(crate) mod copies;
mod crashes;
pub(crate) mod fleet;
pub(crate) mod memory;
mod schedules;
mod tenants;

use std::{net::SocketAddr, ops::RangeInclusive};

use hemlocksaddle_policy::workflow::{
    End, EndKind, Listing, Order, Owned, Phase, Report, Scheduler, Start, StartAnswer, TaskStatus,
    Waiting, WorkerKey,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    name::DataCentre,
    resources::Resources,
    workflow::{Progress, Queue, Run, State, Step, TaskName, Workflow, WorkflowId},
};

/// Target tail latency of long-running tasks in the tests.
const TARGET_MS: u64 = 100;

/// Lease that each report renews.
pub(crate) const LEASE_MS: u64 = 6_000;

/// Time at which a harness starts; not zero, so that "never" and "now" differ.
const START_MS: u64 = 100_000;

pub(crate) struct Harness {
    pub(crate) scheduler: Scheduler,
    pub(crate) workers: Vec<WorkerKey>,
    now: MonoMs,
    ends: Vec<(WorkerKey, End)>,
    stops: Vec<(TaskName, Run)>,
    starts: Vec<Start>,
    paces: Vec<(TaskName, u8)>,
}

/// Step of tasks that reserve processors.
pub(crate) fn step(tasks: u32, cpu_milli: u64) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_milli,
            memory_mb: 10,
            accelerators: 0,
        },
        expected_run_ms: 1_000,
        ..Step::default()
    }
}

/// Step of long-running tasks.
pub(crate) fn long_running(tasks: u32, cpu_milli: u64, image: &str) -> Step {
    Step {
        long_running: true,
        target_ms: TARGET_MS,
        image: Some(image.into()),
        ..step(tasks, cpu_milli)
    }
}

/// Step of best-effort tasks.
pub(crate) fn best_effort(tasks: u32, cpu_milli: u64, image: &str) -> Step {
    Step {
        best_effort: true,
        image: Some(image.into()),
        ..step(tasks, cpu_milli)
    }
}

fn listing(number: usize, cpu_milli: u64) -> Listing {
    Listing {
        name: format!("w{number}").into(),
        born_ms: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        pool: "pool".into(),
        data_centre: DataCentre::try_from("a").expect("name"),
        labels: vec!["kind".into(), "rack".into()],
        capacity: Resources {
            cpu_milli,
            memory_mb: 100_000,
            accelerators: 0,
        },
        draining: false,
        remaining_ms: None,
    }
}

fn queue() -> Queue {
    Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/q/".into(),
        pool: "pool".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_completion_ms: Millis(250),
        timeout_ms: Millis(3_000),
        public: false,
    }
}

impl Harness {
    /// Scheduler whose workers have all reported.
    pub(crate) fn with_workers(count: usize, cpu_milli: u64) -> Harness {
        let mut harness = Harness::unreported(count, cpu_milli, 0);
        (0..count).for_each(|number| harness.report_idle(number));
        harness
    }

    /// Scheduler whose workers have not reported.
    ///
    /// Leases of earlier terms expire `failover_complete_ms` from now.
    pub(crate) fn unreported(count: usize, cpu_milli: u64, failover_complete_ms: u64) -> Harness {
        Harness::of_term(2, count, cpu_milli, failover_complete_ms)
    }

    /// Like [`Harness::unreported`], in another term.
    pub(crate) fn of_term(
        term: u64,
        count: usize,
        cpu_milli: u64,
        failover_complete_ms: u64,
    ) -> Harness {
        Harness::with_limits(
            fleet::limits(false),
            term,
            count,
            cpu_milli,
            failover_complete_ms,
        )
    }

    /// Listings of all workers, as a roster stores them.
    pub(crate) fn roster(&self) -> Vec<Listing> {
        let worker = |&key| self.scheduler.worker(key).expect("worker").listing.clone();
        self.workers.iter().map(worker).collect()
    }

    /// Listing of one worker.
    pub(crate) fn roster_of(&self, number: usize) -> Vec<Listing> {
        let worker = self.scheduler.worker(self.workers[number]);
        vec![worker.expect("worker").listing.clone()]
    }

    /// Removes a worker from the platform's list.
    pub(crate) fn leave(&mut self, number: usize) {
        let mut listed = self.roster();
        listed.remove(number);
        self.scheduler.list_workers(listed, self.now);
    }

    /// Lists one more worker, which no predecessor used; returns its number.
    pub(crate) fn list_another(&mut self, cpu_milli: u64) -> usize {
        let mut listed = self.roster();
        listed.push(listing(listed.len(), cpu_milli));
        let new = self.scheduler.list_workers(listed, self.now);
        new.iter()
            .for_each(|&key| self.scheduler.mark_rostered(key));
        self.workers.extend(new);
        self.workers.len() - 1
    }

    /// Lists workers again that were removed; they become the harness's workers.
    pub(crate) fn list_again(&mut self, listings: Vec<Listing>) {
        self.workers = self.scheduler.list_workers(listings, self.now);
    }

    /// Restores a roster; its workers become the harness's workers.
    pub(crate) fn restore_roster(&mut self, roster: Vec<Listing>) {
        self.workers = self.scheduler.restore_roster(roster);
    }

    /// Lists only the worker with the given number.
    pub(crate) fn list(&mut self, number: usize) {
        let listed = vec![self.roster().remove(number)];
        self.scheduler.list_workers(listed, self.now);
    }

    pub(crate) fn now(&self) -> MonoMs {
        self.now
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now + Millis(ms);
    }

    /// Records that a worker did not answer the last call.
    pub(crate) fn silence(&mut self, worker: WorkerKey) {
        self.scheduler.set_worker_silent(worker, true, self.now);
    }

    /// Returns the index of the worker of a start.
    pub(crate) fn number_of(&self, start: &Start) -> usize {
        let index = self.workers.iter().position(|&key| key == start.worker);
        index.expect("worker")
    }

    fn record_order(&mut self, order: Order) {
        match order {
            Order::Start(start) => self.starts.push(start),
            Order::Stop { task, run, .. } => self.stops.push((task, run)),
            Order::Pace { task, percent, .. } => self.paces.push((task, percent)),
        }
    }

    /// Lists a worker with another capacity, and all others unchanged.
    pub(crate) fn set_capacity(&mut self, number: usize, cpu_milli: u64) {
        let mut listed = self.roster();
        listed[number].capacity.cpu_milli = cpu_milli;
        self.scheduler.list_workers(listed, self.now);
    }

    /// Announces that the worker of a start leaves.
    pub(crate) fn drain(&mut self, start: &Start) {
        let number = self.number_of(start);
        let mut listed = self.roster();
        listed[number].draining = true;
        self.scheduler.list_workers(listed, self.now);
    }

    /// Plans and puts back the starts, for a later call of [`Harness::starts`].
    pub(crate) fn starts_again_later(&mut self) {
        let starts = self.starts();
        self.starts = starts;
    }

    /// Records a reading of every worker's clock.
    fn clock_readings(&mut self) {
        for &key in &self.workers {
            self.scheduler.record_clock(key, self.now.0);
        }
    }

    fn report(&mut self, worker: WorkerKey, report: &Report) {
        self.scheduler
            .extend_lease(worker, self.now + Millis(LEASE_MS));
        self.scheduler.record_clock(worker, self.now.0);
        self.scheduler
            .apply_report(worker, report, self.now, self.wall());
    }

    pub(crate) fn wall(&self) -> WallMs {
        WallMs(self.now.0)
    }

    pub(crate) fn accept(&mut self, id: u64, steps: Vec<Step>) {
        self.add(id, "queue", steps, false);
    }

    pub(crate) fn accept_inherited(&mut self, id: u64, steps: Vec<Step>) {
        self.add(id, "queue", steps, true);
    }

    /// Accepts a workflow of the given queue.
    pub(crate) fn accept_in(&mut self, id: u64, queue: &str, steps: Vec<Step>) {
        self.add(id, queue, steps, false);
    }

    /// Accepts a workflow that the owner has stored and not read back.
    pub(crate) fn accept_unconfirmed(&mut self, id: u64, steps: Vec<Step>) {
        let workflow = self.workflow("queue", steps);
        self.scheduler
            .accept_unconfirmed(WorkflowId(id), workflow, self.now);
    }

    fn workflow(&self, queue: &str, steps: Vec<Step>) -> Workflow {
        let workflow = Workflow {
            queue: queue.into(),
            text: "text".into(),
            steps,
            schedule: None,
            received_ms: self.wall(),
            tenant: None,
        };
        workflow.check().expect("valid workflow");
        workflow
    }

    fn add(&mut self, id: u64, queue: &str, steps: Vec<Step>, inherited: bool) {
        let workflow = self.workflow(queue, steps);
        self.scheduler
            .accept(WorkflowId(id), workflow, self.now, inherited);
    }

    pub(crate) fn cancel(&mut self, id: u64) {
        let id = WorkflowId(id);
        let tenant = match self.scheduler.tenant_of(id) {
            Owned::By(tenant) => Some(tenant.clone()),
            Owned::ByNone | Owned::Unknown => None,
        };
        self.scheduler.cancel_by(id, tenant.as_deref(), self.now);
    }

    /// Start orders that the scheduler gives now; stop orders are kept for [`Harness::stops`].
    pub(crate) fn starts(&mut self) -> Vec<Start> {
        let orders = self.scheduler.plan(self.now, self.wall());
        orders
            .into_iter()
            .for_each(|order| self.record_order(order));
        std::mem::take(&mut self.starts)
    }

    /// Tasks that have waited long; the last look was a second ago.
    pub(crate) fn waiting(&self) -> Waiting {
        self.scheduler.waiting(self.now, Millis(1_000))
    }

    /// Stop orders since the last call.
    pub(crate) fn stops(&mut self) -> Vec<(TaskName, Run)> {
        let starts = self.starts();
        self.starts = starts;
        std::mem::take(&mut self.stops)
    }

    pub(crate) fn answer(&mut self, start: &Start, answer: StartAnswer) -> bool {
        self.scheduler.record_clock(start.worker, self.now.0);
        self.scheduler.start_answered(start, answer, self.now)
    }

    pub(crate) fn answer_all(&mut self, starts: &[Start], answer: StartAnswer) {
        for start in starts {
            self.answer(start, answer);
        }
    }

    /// Reports the end of a run without ending the other tasks that are assigned to its worker.
    pub(crate) fn end(&mut self, start: &Start, kind: EndKind) {
        let number = 1 + self
            .ends
            .iter()
            .filter(|(worker, _)| *worker == start.worker)
            .count();
        let end = End {
            number: number as u64,
            task: Some(start.name),
            run: start.run,
            kind,
            checkpoint: None,
        };
        self.ends.push((start.worker, end.clone()));
        let report = Report {
            sent_at: MonoMs(0),
            running: Vec::new(),
            ends: vec![end],
        };
        self.report(start.worker, &report);
    }

    /// Lists all ends of a worker again, as a worker does until they are durable.
    pub(crate) fn list_ends_again(&mut self, start: &Start, _kind: EndKind) {
        let of_worker = self
            .ends
            .iter()
            .filter(|(worker, _)| *worker == start.worker);
        let report = Report {
            sent_at: MonoMs(0),
            running: Vec::new(),
            ends: of_worker.map(|(_, end)| end.clone()).collect(),
        };
        self.report(start.worker, &report);
    }

    /// Reports ends of runs, and that nothing runs.
    pub(crate) fn report_ends(&mut self, number: usize, ends: Vec<End>) {
        let report = Report {
            sent_at: self.now,
            running: Vec::new(),
            ends,
        };
        self.report(self.workers[number], &report);
    }

    pub(crate) fn report_idle(&mut self, number: usize) {
        let report = Report {
            sent_at: self.now,
            ..Report::default()
        };
        self.report(self.workers[number], &report);
    }

    /// Reports rows of running tasks.
    fn report_rows(&mut self, number: usize, running: Vec<TaskStatus>) {
        let report = Report {
            sent_at: self.now,
            running,
            ends: Vec::new(),
        };
        self.report(self.workers[number], &report);
    }

    /// Reports a run of task 0 in step 0 of a workflow.
    pub(crate) fn report_running(&mut self, number: usize, id: u64, run: Run) {
        self.report_progress(number, id, run, 10);
    }

    /// Reports a run of task 0 in step 0 of a workflow, with its progress.
    pub(crate) fn report_progress(&mut self, number: usize, id: u64, run: Run, percent: u8) {
        let row = TaskStatus {
            task: name(id),
            run,
            checkpoint: None,
            percent,
            measurement: 1_000,
        };
        let report = Report {
            sent_at: self.now,
            running: vec![row],
            ends: Vec::new(),
        };
        self.report(self.workers[number], &report);
    }

    /// Reports task 0 of long-running workflows at work on a worker, with short tails.
    pub(crate) fn report_long_running(&mut self, number: usize, running: &[(u64, Run)]) {
        let row = |&(id, run): &(u64, Run)| TaskStatus {
            task: name(id),
            run,
            checkpoint: None,
            percent: 100,
            measurement: TARGET_MS / 4,
        };
        let report = Report {
            sent_at: self.now,
            running: running.iter().map(row).collect(),
            ends: Vec::new(),
        };
        self.report(self.workers[number], &report);
    }

    /// Reports that task 0 of a workflow was stopped.
    pub(crate) fn end_stopped(&mut self, number: usize, id: u64, run: Run) {
        let report = Report {
            sent_at: MonoMs(0),
            running: Vec::new(),
            ends: vec![End {
                number: 1,
                task: Some(name(id)),
                run,
                kind: EndKind::Stopped,
                checkpoint: None,
            }],
        };
        self.report(self.workers[number], &report);
    }

    /// Reports all tasks of workflows 1 to 3 as running on a worker, long-running ones with a tail.
    pub(crate) fn report_tails(&mut self, number: usize, tail_ms: u64) {
        self.report_tails_of(number, tail_ms, 1..=3);
    }

    /// Reports all tasks of all workflows as running on a worker, long-running ones with a tail.
    pub(crate) fn report_all(&mut self, number: usize, tail_ms: u64) {
        self.report_tails_of(number, tail_ms, 1..=1_000);
    }

    fn report_tails_of(&mut self, number: usize, tail_ms: u64, ids: RangeInclusive<u64>) {
        let mut running = Vec::new();
        for id in ids {
            let Some(job) = self.scheduler.job(WorkflowId(id)) else {
                continue;
            };
            let step = job.spec.steps[0].clone();
            for index in 0..step.tasks {
                let task = TaskName { index, ..name(id) };
                let state = job.task_named(task).expect("task");
                let percent = if step.long_running {
                    100
                } else {
                    state.percent.wrapping_add(1) % 100
                };
                let used = step.demand.cpu_milli * u64::from(state.pace) / 100;
                running.push(TaskStatus {
                    task,
                    run: state.run,
                    checkpoint: None,
                    percent,
                    measurement: if step.long_running { tail_ms } else { used },
                });
            }
        }
        let report = Report {
            sent_at: self.now,
            running,
            ends: Vec::new(),
        };
        self.report(self.workers[number], &report);
    }

    /// Reports all tasks that are assigned to a worker as running, long-running ones with short
    /// tails.
    pub(crate) fn report_assigned(&mut self, number: usize) {
        let key = self.workers[number];
        let mut running = Vec::new();
        for id in 1..=1_000 {
            let Some(job) = self.scheduler.job(WorkflowId(id)) else {
                continue;
            };
            let step = &job.spec.steps[0];
            for index in 0..step.tasks {
                let task = TaskName { index, ..name(id) };
                let state = job.task_named(task).expect("task");
                if state.phase.worker() != Some(key) {
                    continue;
                }
                running.push(TaskStatus {
                    task,
                    run: state.run,
                    checkpoint: None,
                    percent: if step.long_running { 100 } else { 50 },
                    measurement: if step.long_running {
                        TARGET_MS / 4
                    } else {
                        step.demand.cpu_milli
                    },
                });
            }
        }
        let report = Report {
            sent_at: self.now,
            running,
            ends: Vec::new(),
        };
        self.report(key, &report);
    }

    /// Orders to change the pace of a run since the last call.
    pub(crate) fn take_paces(&mut self) -> Vec<(TaskName, u8)> {
        std::mem::take(&mut self.paces)
    }

    pub(crate) fn pace_of(&self, id: u64) -> u8 {
        let job = self.scheduler.job(WorkflowId(id)).expect("workflow");
        job.task_named(name(id)).expect("task").pace
    }

    pub(crate) fn phase(&self, id: u64, index: u32) -> Phase {
        let job = self.scheduler.job(WorkflowId(id)).expect("workflow");
        let task = TaskName { index, ..name(id) };
        job.task_named(task).expect("task").phase
    }

    pub(crate) fn state(&self, id: u64) -> Option<State> {
        self.scheduler.state(WorkflowId(id))
    }

    /// Marks all progress as saved and returns it.
    pub(crate) fn save(&mut self) -> Vec<(WorkflowId, Progress)> {
        let unsaved = self.scheduler.take_unsaved();
        let progress = unsaved.progress.clone();
        self.scheduler.mark_saved(unsaved);
        progress
    }

    pub(crate) fn restore(&mut self, progress: Vec<(WorkflowId, Progress)>) {
        for (id, progress) in progress {
            self.scheduler.restore(id, &progress);
        }
    }
}

fn name(id: u64) -> TaskName {
    TaskName {
        workflow: WorkflowId(id),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}
