//! Fake workers that run tasks, with a checker that records violations of the run guarantees.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::{Rc, Weak},
    result,
};

use hemlocksaddle_fakes::runtime::{ENVIRONMENT, SimRuntime};
use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_policy::workflow::{End, EndKind, Report, StartAnswer, TaskStatus};
use hemlocksaddle_shard::ports::{Fleet, ReportRequest, StartCall, Timed, WorkerError};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    delegation::Endpoint,
    workflow::{Run, TaskName, WorkflowId},
};

use super::{
    FakeStore, LEASE_MS, TASK_CPU_MILLI, node_fleet::NodeFleet, tenants::FleetTenants,
    unanswered::Unanswered,
};

/// Default run time of a task.
const RUN_MS: u64 = 1_000;

/// Latency of a call.
pub(super) const LATENCY_MS: Millis = Millis(1);

/// Interval at which a waiting report request checks for ended runs.
const POLL_MS: Millis = Millis(10);

/// Capacity of a worker at first, in thousandths of a core.
const CAPACITY_MILLI: u64 = 8_000;

/// Time after which a capacity that has shrunk counts: the platform's contact time and a heartbeat.
const SHRINK_GRACE_MS: u64 = 4_100;

/// Time after a worker's announcement that it leaves, from which no task may start on it.
const DRAIN_LIMIT_MS: u64 = 3_000;

/// Time from the start of a task that crashes its worker to the crash.
const CRASH_DELAY_MS: Millis = Millis(8);

/// Time for which a connection without answers stays open.
pub(super) const HANG_MS: Millis = Millis(10_000);

/// Time for which a crashed worker is away.
const AWAY_MS: Millis = Millis(3_100);

#[derive(Default)]
pub(super) struct Worker {
    /// Run and its end time in milliseconds, by task.
    pub(super) running: BTreeMap<TaskName, (Run, u64)>,
    ends: Vec<End>,
    /// Number of the latest end.
    ended: u64,
    /// Highest term seen; calls with a lower term are fenced.
    highest_term: u64,
    lease_until_ms: u64,
    unreachable: bool,
    /// If set, only the owner of this term can reach the worker.
    reachable_by_term: Option<u64>,
    /// Start time, which identifies the incarnation.
    born_ms: u64,
    /// Time in milliseconds at which the store had the worker's announcement that it leaves.
    drains_from_ms: Option<u64>,
    /// Whether the worker has crashed and is not back yet.
    is_down: bool,
    /// Time at which the worker's clock was 0; it starts anew with each process.
    clock_from_ms: u64,
    /// Capacity in thousandths of a core since a time in milliseconds, latest last.
    capacities: Vec<(u64, u64)>,
}

impl Worker {
    fn new() -> Worker {
        Worker {
            born_ms: 1,
            capacities: vec![(0, CAPACITY_MILLI)],
            ..Worker::default()
        }
    }

    fn capacity_milli(&self) -> u64 {
        self.capacities.last().map_or(0, |&(_, milli)| milli)
    }

    /// Largest capacity that a start may use: one that has shrunk counts later.
    fn allowed_milli(&self, now_ms: u64) -> u64 {
        let mut largest = self.capacity_milli();
        let mut replaced_at_ms = now_ms;
        for &(since_ms, milli) in self.capacities.iter().rev() {
            if replaced_at_ms + SHRINK_GRACE_MS >= now_ms {
                largest = largest.max(milli);
            }
            replaced_at_ms = since_ms;
        }
        largest
    }

    fn used_milli(&self) -> u64 {
        self.running.len() as u64 * TASK_CPU_MILLI
    }
}

pub(crate) struct FakeFleet {
    this: Weak<FakeFleet>,
    pub(super) sim: SimRuntime,
    store: Rc<FakeStore>,
    /// Workflows whose tasks crash each worker that starts them.
    pub(crate) deadly: RefCell<BTreeSet<WorkflowId>>,
    /// Number of workers that each task has crashed.
    pub(crate) crashes: RefCell<BTreeMap<TaskName, u64>>,
    /// Whether connections to a process that is gone stay open without an answer.
    pub(crate) connections_hang: Cell<bool>,
    /// Time from the start of a process until it is listed.
    pub(crate) listed_after: Cell<Millis>,
    /// Whether answers to start orders lack the start time of the process.
    pub(crate) plain_start_answers: Cell<bool>,
    /// Whether workers answer report requests without waiting.
    pub(crate) answers_at_once: Cell<bool>,
    /// Whether workers start tasks that do not fit.
    pub(crate) unguarded: Cell<bool>,
    pub(super) workers: RefCell<Vec<Worker>>,
    pub(super) tenants: FleetTenants,
    pub(crate) unanswered: Unanswered,
    /// Violations of the run guarantees: concurrent runs of a task, and starts after its end.
    pub(crate) violations: RefCell<Vec<String>>,
    /// Completed tasks whose end the owner has acknowledged.
    pub(super) done: RefCell<BTreeMap<TaskName, u64>>,
    starts: Cell<u64>,
    started: RefCell<BTreeSet<WorkflowId>>,
    /// Interval, in starts, at which the answer to a start is lost; 0 loses none.
    pub(crate) lose_answer_every: Cell<u64>,
    /// Longest lease that workers accept.
    pub(crate) max_lease_ms: Cell<u64>,
    /// Run time of a task.
    pub(crate) run_ms: Cell<u64>,
    /// Time for which a run goes on after the order to stop it.
    pub(crate) stop_ms: Cell<u64>,
    /// Number of calls that each node made.
    pub(super) calls: RefCell<BTreeMap<usize, u64>>,
}

impl FakeFleet {
    /// Returns the workers as a node reaches them.
    pub(crate) fn of_node(self: &Rc<Self>, node: usize) -> Rc<dyn Fleet> {
        Rc::new(NodeFleet::new(self.clone(), node))
    }

    /// Returns the number of calls that a node made, and sets it to 0.
    pub(crate) fn take_calls(&self, node: usize) -> u64 {
        self.calls.borrow_mut().remove(&node).unwrap_or(0)
    }

    pub(crate) fn new(sim: SimRuntime, store: Rc<FakeStore>, count: usize) -> Rc<FakeFleet> {
        Rc::new_cyclic(|this| FakeFleet {
            this: this.clone(),
            sim,
            store,
            deadly: RefCell::default(),
            crashes: RefCell::default(),
            connections_hang: Cell::new(false),
            listed_after: Cell::new(Millis(0)),
            plain_start_answers: Cell::new(false),
            answers_at_once: Cell::new(false),
            unguarded: Cell::new(false),
            workers: RefCell::new((0..count).map(|_| Worker::new()).collect()),
            tenants: FleetTenants::default(),
            unanswered: Unanswered::default(),
            violations: RefCell::default(),
            done: RefCell::default(),
            starts: Cell::new(0),
            started: RefCell::default(),
            lose_answer_every: Cell::new(0),
            max_lease_ms: Cell::new(LEASE_MS),
            run_ms: Cell::new(RUN_MS),
            stop_ms: Cell::new(0),
            calls: RefCell::default(),
        })
    }

    pub(crate) fn count(&self) -> usize {
        self.workers.borrow().len()
    }

    /// Returns the number of starts that were carried out.
    pub(crate) fn starts(&self) -> u64 {
        self.starts.get()
    }

    /// Returns whether any task of a workflow was started.
    pub(crate) fn has_started(&self, id: u64) -> bool {
        self.started.borrow().contains(&WorkflowId(id))
    }

    /// Returns the number of running tasks.
    pub(crate) fn running(&self) -> usize {
        self.advance();
        self.workers
            .borrow()
            .iter()
            .map(|worker| worker.running.len())
            .sum()
    }

    /// Returns the time until which a worker's lease lasts, on its own clock.
    pub(crate) fn lease_until(&self, number: usize) -> Millis {
        Millis(self.workers.borrow()[number].lease_until_ms)
    }

    /// Returns the number of tasks that run on a worker.
    pub(crate) fn running_on(&self, number: usize) -> usize {
        self.advance();
        self.workers.borrow()[number].running.len()
    }

    /// Partitions a worker from all nodes, or ends the partition.
    pub(crate) fn set_unreachable(&self, number: usize, unreachable: bool) {
        self.workers.borrow_mut()[number].unreachable = unreachable;
    }

    /// Start time and capacity in thousandths of a core that a worker lists.
    pub(crate) fn listed(&self, number: usize) -> (u64, u64) {
        let worker = &self.workers.borrow()[number];
        (worker.born_ms, worker.capacity_milli())
    }

    /// Announces that a worker leaves.
    pub(crate) fn drain(&self, number: usize) {
        let now_ms = self.sim.now().0;
        self.workers.borrow_mut()[number].drains_from_ms = Some(now_ms);
        self.store.put_draining_worker(number);
    }

    /// Changes the capacity of a worker, which lists it at once.
    pub(crate) fn set_capacity(&self, number: usize, milli: u64) {
        let now_ms = self.sim.now().0;
        self.workers.borrow_mut()[number]
            .capacities
            .push((now_ms, milli));
        self.store.put_worker(number);
    }

    /// Crashes a worker; it is back as a new process after a while.
    pub(crate) fn crash(&self, number: usize) {
        self.restart(number, AWAY_MS);
    }

    /// Ends the process of a worker; another one of the same name is there after `away`.
    pub(crate) fn restart(&self, number: usize, away: Millis) {
        {
            let worker = &mut self.workers.borrow_mut()[number];
            *worker = Worker {
                born_ms: worker.born_ms + 1,
                capacities: std::mem::take(&mut worker.capacities),
                unreachable: worker.unreachable,
                is_down: true,
                clock_from_ms: (self.sim.now() + away).0,
                ..Worker::default()
            };
        }
        let fleet = self.this.clone();
        let back = self.sim.sleep(away);
        let listed_after = self.listed_after.get();
        self.sim.spawn(ENVIRONMENT, async move {
            back.await;
            if let Some(fleet) = fleet.upgrade() {
                fleet.workers.borrow_mut()[number].is_down = false;
                fleet.sim.sleep(listed_after).await;
                fleet.store.put_worker(number);
            }
        });
    }

    /// Crashes a worker soon if the workflow of a task is deadly.
    fn crash_if_deadly(&self, number: usize, task: TaskName) {
        if !self.deadly.borrow().contains(&task.workflow) {
            return;
        }
        *self.crashes.borrow_mut().entry(task).or_default() += 1;
        let fleet = self.this.clone();
        let delay = self.sim.sleep(CRASH_DELAY_MS);
        self.sim.spawn(ENVIRONMENT, async move {
            delay.await;
            if let Some(fleet) = fleet.upgrade() {
                fleet.crash(number);
            }
        });
    }

    pub(super) fn violation(&self, text: String) {
        self.violations
            .borrow_mut()
            .push(format!("{} ms: {text}", self.sim.now().0));
    }

    /// Ends the runs that have finished or whose worker's lease has expired.
    fn advance(&self) {
        let now_ms = self.sim.now().0;
        for worker in self.workers.borrow_mut().iter_mut() {
            let lease_expired = worker.lease_until_ms < now_ms;
            let lease_until_ms = worker.lease_until_ms;
            let finished: Vec<_> = worker
                .running
                .iter()
                .filter(|(_, (_, ends_ms))| lease_expired || *ends_ms <= now_ms)
                .map(|(task, (run, ends_ms))| (*task, *run, *ends_ms))
                .collect();
            for (task, run, ends_ms) in finished {
                let done = ends_ms <= lease_until_ms && ends_ms <= now_ms;
                let kind = if done { EndKind::Done } else { EndKind::Lapsed };
                worker.running.remove(&task);
                worker.ended += 1;
                worker.ends.push(End {
                    number: worker.ended,
                    task: Some(task),
                    run,
                    kind,
                    checkpoint: None,
                });
            }
        }
    }

    fn number(worker: &Endpoint) -> usize {
        worker.name.parse().expect("worker name is a number")
    }

    fn start_now(&self, number: usize, call: &StartCall) -> StartAnswer {
        self.advance();
        let now_ms = self.sim.now().0;
        {
            let worker = &mut self.workers.borrow_mut()[number];
            if call.term < worker.highest_term {
                return StartAnswer::Fenced;
            }
            worker.highest_term = call.term;
            let lease_until_ms = call.lease_until_ms + worker.clock_from_ms;
            worker.lease_until_ms = worker
                .lease_until_ms
                .max(lease_until_ms.min(now_ms + self.max_lease_ms.get()));
            if lease_until_ms < now_ms {
                return StartAnswer::Late;
            }
            if worker
                .running
                .get(&call.task)
                .is_some_and(|(run, _)| *run == call.run)
            {
                return StartAnswer::Accepted;
            }
            let old = |end: &End| end.task == Some(call.task) && end.run >= call.run;
            if worker.ends.iter().any(old) {
                return StartAnswer::OldRun;
            }
            let used_milli = worker.used_milli() + TASK_CPU_MILLI;
            if !self.unguarded.get() && used_milli > worker.capacity_milli() {
                return StartAnswer::NoRoom;
            }
            let drains_from_ms = worker.drains_from_ms.unwrap_or(now_ms);
            if drains_from_ms + DRAIN_LIMIT_MS < now_ms {
                self.violation(format!("{} starts on draining worker {number}", call.task));
            }
            let allowed_milli = worker.allowed_milli(now_ms);
            if used_milli > allowed_milli {
                self.violation(format!(
                    "{} brings worker {number} to {used_milli} of {allowed_milli}",
                    call.task
                ));
            }
        }
        let workers = self.workers.borrow();
        let runs_it = |w: &&Worker| w.running.contains_key(&call.task);
        let runs = workers.iter().filter(runs_it).count();
        drop(workers);
        if runs > self.unanswered.other_runs.get() {
            self.violation(format!("{} has {} concurrent runs", call.task, runs + 1));
        }
        let may_be_late = self.unanswered.may_start_late(call.task, call.run);
        if self.done.borrow().contains_key(&call.task) && !may_be_late {
            self.violation(format!(
                "{} starts after its end was acknowledged",
                call.task
            ));
        }
        self.starts.set(self.starts.get() + 1);
        self.started.borrow_mut().insert(call.task.workflow);
        self.workers.borrow_mut()[number]
            .running
            .insert(call.task, (call.run, now_ms + self.run_ms.get()));
        self.check_cap(call.task);
        self.crash_if_deadly(number, call.task);
        StartAnswer::Accepted
    }

    /// Ends a run that was ordered to stop.
    fn end_stopped(&self, number: usize, task: TaskName, run: Run) {
        let worker = &mut self.workers.borrow_mut()[number];
        if worker.running.get(&task).is_some_and(|(at, _)| *at > run) {
            return;
        }
        worker.running.remove(&task);
        worker.ended += 1;
        worker.ends.push(End {
            number: worker.ended,
            task: Some(task),
            run,
            kind: EndKind::Stopped,
            checkpoint: None,
        });
    }

    /// Drops the ends up to a number, which the owner has stored.
    fn acknowledge_ends(&self, number: usize, upto: u64) {
        let worker = &mut self.workers.borrow_mut()[number];
        for end in worker.ends.iter().filter(|end| end.number <= upto) {
            if let (Some(task), EndKind::Done) = (end.task, end.kind) {
                self.done.borrow_mut().insert(task, end.number);
            }
        }
        worker.ends.retain(|end| end.number > upto);
    }

    fn timed<T>(&self, number: usize, value: T) -> Timed<T> {
        let worker = &self.workers.borrow()[number];
        Timed {
            clock_ms: Some(self.sim.now().0 - worker.clock_from_ms),
            born_ms: Some(worker.born_ms),
            value,
        }
    }

    /// Waits for longer than any caller, if connections to a worker that is down stay open.
    async fn hang_if_down(&self, number: usize) {
        if self.connections_hang.get() && self.workers.borrow()[number].is_down {
            self.sim.sleep(HANG_MS).await;
        }
    }

    /// Makes a worker reachable only by the owner of a term.
    pub(crate) fn set_reachable_by_term(&self, number: usize, term: u64) {
        self.workers.borrow_mut()[number].reachable_by_term = Some(term);
    }

    fn is_unreachable(&self, number: usize, term: u64) -> bool {
        let worker = &self.workers.borrow()[number];
        worker.is_down
            || worker.unreachable
            || worker.reachable_by_term.is_some_and(|only| only != term)
    }
}

impl Fleet for FakeFleet {
    fn start(&self, worker: &Endpoint, call: StartCall) -> PortFuture<'_, Timed<StartAnswer>> {
        let number = FakeFleet::number(worker);
        Box::pin(async move {
            self.sim.sleep(LATENCY_MS).await;
            let unknown = Timed {
                clock_ms: None,
                born_ms: None,
                value: StartAnswer::Unknown,
            };
            if self.is_unreachable(number, call.term) {
                self.hang_if_down(number).await;
                return unknown;
            }
            let answer = self.start_now(number, &call);
            let every = self.lose_answer_every.get();
            if every > 0 && self.starts.get().is_multiple_of(every) {
                return unknown;
            }
            let mut timed = self.timed(number, answer);
            if self.plain_start_answers.get() {
                timed.born_ms = None;
            }
            timed
        })
    }

    fn stop(
        &self,
        worker: &Endpoint,
        task: TaskName,
        run: Run,
        term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        let number = FakeFleet::number(worker);
        Box::pin(async move {
            self.sim.sleep(LATENCY_MS).await;
            if self.is_unreachable(number, term) {
                self.hang_if_down(number).await;
                return Err(WorkerError::Unknown);
            }
            self.advance();
            if term < self.workers.borrow()[number].highest_term {
                return Err(WorkerError::Fenced);
            }
            let stop_ms = self.stop_ms.get();
            if stop_ms == 0 {
                self.end_stopped(number, task, run);
                return Ok(());
            }
            let (fleet, stopped) = (self.this.clone(), self.sim.sleep(Millis(stop_ms)));
            self.sim.spawn(ENVIRONMENT, async move {
                stopped.await;
                if let Some(fleet) = fleet.upgrade() {
                    fleet.end_stopped(number, task, run);
                }
            });
            Ok(())
        })
    }

    fn pace(
        &self,
        _worker: &Endpoint,
        _task: TaskName,
        _run: Run,
        _percent: u8,
        _term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        Box::pin(async { Ok(()) })
    }

    fn fetch_report(
        &self,
        worker: &Endpoint,
        request: ReportRequest,
    ) -> PortFuture<'_, result::Result<Timed<Report>, WorkerError>> {
        let number = FakeFleet::number(worker);
        Box::pin(async move {
            self.sim.sleep(LATENCY_MS).await;
            let waits = !self.answers_at_once.get();
            let until = self.sim.now() + if waits { request.wait } else { Millis(0) };
            if self.workers.borrow()[number].is_down {
                self.hang_if_down(number).await;
                return Err(WorkerError::NotSent);
            }
            if self.is_unreachable(number, request.term) {
                self.sim.sleep(Millis(10_000)).await;
                return Err(WorkerError::Unknown);
            }
            let born_ms = self.workers.borrow()[number].born_ms;
            self.advance();
            {
                let worker = &mut self.workers.borrow_mut()[number];
                if request.term < worker.highest_term {
                    return Err(WorkerError::Fenced);
                }
                worker.highest_term = request.term;
                if let Some(lease_ms) = request.lease_until_ms {
                    let max_lease_until_ms = self.sim.now().0 + self.max_lease_ms.get();
                    let lease_until_ms = lease_ms + worker.clock_from_ms;
                    worker.lease_until_ms = worker
                        .lease_until_ms
                        .max(lease_until_ms.min(max_lease_until_ms));
                }
            }
            self.acknowledge_ends(number, request.saved_ends);
            loop {
                self.advance();
                let has_ends = !self.workers.borrow()[number].ends.is_empty();
                if has_ends || self.sim.now() >= until {
                    break;
                }
                self.sim.sleep(POLL_MS).await;
                if self.workers.borrow()[number].born_ms != born_ms {
                    // Without hanging connections, this one ends with the process.
                    if self.connections_hang.get() {
                        self.sim.sleep(HANG_MS).await;
                    }
                    return Err(WorkerError::Unknown);
                }
            }
            let workers = self.workers.borrow();
            let worker = &workers[number];
            let now_ms = self.sim.now().0;
            let status = |(task, (run, ends_ms)): (&TaskName, &(Run, u64))| TaskStatus {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: (100 - ends_ms.saturating_sub(now_ms) * 100 / self.run_ms.get()) as u8,
                measurement: 1_000,
            };
            let report = Report {
                sent_at: MonoMs(0),
                running: worker.running.iter().map(status).collect(),
                ends: worker.ends.clone(),
            };
            drop(workers);
            Ok(self.timed(number, report))
        })
    }
}
