//! Fake workers that run tasks, with a checker that records violations of the run guarantees.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    result,
};

use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_policy::workflow::{End, EndKind, Report, StartAnswer, TaskStatus};
use hemlocksaddle_shard::ports::{Fleet, ReportRequest, StartCall, Timed, WorkerError};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    delegation::Endpoint,
    workflow::{Run, TaskName},
};

use super::LEASE_MS;

/// Default run time of a task.
const RUN_MS: u64 = 1_000;

/// Latency of a call.
const LATENCY_MS: Millis = Millis(1);

/// Interval at which a waiting report request checks for ended runs.
const POLL_MS: Millis = Millis(10);

#[derive(Default)]
struct Worker {
    /// Run and its end time in milliseconds, by task.
    running: BTreeMap<TaskName, (Run, u64)>,
    ends: Vec<End>,
    /// Number of the latest end.
    ended: u64,
    /// Highest term seen; calls with a lower term are fenced.
    highest_term: u64,
    lease_until_ms: u64,
    unreachable: bool,
    /// If set, only the owner of this term can reach the worker.
    reachable_by_term: Option<u64>,
}

pub(crate) struct FakeFleet {
    sim: SimRuntime,
    workers: RefCell<Vec<Worker>>,
    /// Violations of the run guarantees: concurrent runs of a task, and starts after its end.
    pub(crate) violations: RefCell<Vec<String>>,
    /// Completed tasks whose end the owner has acknowledged.
    done: RefCell<BTreeMap<TaskName, u64>>,
    starts: Cell<u64>,
    /// Interval, in starts, at which the answer to a start is lost; 0 loses none.
    pub(crate) lose_answer_every: Cell<u64>,
    /// Run time of a task.
    pub(crate) run_ms: Cell<u64>,
    /// Number of calls that each node made.
    calls: RefCell<BTreeMap<usize, u64>>,
}

/// The workers as one node reaches them; counts its calls.
struct NodeFleet {
    fleet: Rc<FakeFleet>,
    node: usize,
}

impl NodeFleet {
    fn count_call(&self) {
        *self.fleet.calls.borrow_mut().entry(self.node).or_default() += 1;
    }
}

impl Fleet for NodeFleet {
    fn start(&self, worker: &Endpoint, call: StartCall) -> PortFuture<'_, Timed<StartAnswer>> {
        self.count_call();
        self.fleet.start(worker, call)
    }

    fn stop(
        &self,
        worker: &Endpoint,
        task: TaskName,
        run: Run,
        term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        self.count_call();
        self.fleet.stop(worker, task, run, term)
    }

    fn pace(
        &self,
        worker: &Endpoint,
        task: TaskName,
        run: Run,
        percent: u8,
        term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        self.count_call();
        self.fleet.pace(worker, task, run, percent, term)
    }

    fn fetch_report(
        &self,
        worker: &Endpoint,
        request: ReportRequest,
    ) -> PortFuture<'_, result::Result<Timed<Report>, WorkerError>> {
        self.count_call();
        self.fleet.fetch_report(worker, request)
    }
}

impl FakeFleet {
    /// Returns the workers as a node reaches them.
    pub(crate) fn of_node(self: &Rc<Self>, node: usize) -> Rc<dyn Fleet> {
        let fleet = self.clone();
        Rc::new(NodeFleet { fleet, node })
    }

    /// Returns the number of calls that a node made, and sets it to 0.
    pub(crate) fn take_calls(&self, node: usize) -> u64 {
        self.calls.borrow_mut().remove(&node).unwrap_or(0)
    }

    pub(crate) fn new(sim: SimRuntime, count: usize) -> Rc<FakeFleet> {
        Rc::new(FakeFleet {
            sim,
            workers: RefCell::new((0..count).map(|_| Worker::default()).collect()),
            violations: RefCell::default(),
            done: RefCell::default(),
            starts: Cell::new(0),
            lose_answer_every: Cell::new(0),
            run_ms: Cell::new(RUN_MS),
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

    /// Returns the number of running tasks.
    pub(crate) fn running(&self) -> usize {
        self.advance();
        self.workers
            .borrow()
            .iter()
            .map(|worker| worker.running.len())
            .sum()
    }

    /// Partitions a worker from all nodes, or ends the partition.
    pub(crate) fn set_unreachable(&self, number: usize, unreachable: bool) {
        self.workers.borrow_mut()[number].unreachable = unreachable;
    }

    fn violation(&self, text: String) {
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
            worker.lease_until_ms = worker
                .lease_until_ms
                .max(call.lease_until_ms.min(now_ms + LEASE_MS));
            if call.lease_until_ms < now_ms {
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
        }
        let is_running = self
            .workers
            .borrow()
            .iter()
            .any(|w| w.running.contains_key(&call.task));
        if is_running {
            self.violation(format!("{} has two concurrent runs", call.task));
        }
        if self.done.borrow().contains_key(&call.task) {
            self.violation(format!(
                "{} starts after its end was acknowledged",
                call.task
            ));
        }
        self.starts.set(self.starts.get() + 1);
        let worker = &mut self.workers.borrow_mut()[number];
        worker
            .running
            .insert(call.task, (call.run, now_ms + self.run_ms.get()));
        StartAnswer::Accepted
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

    fn timed<T>(&self, value: T) -> Timed<T> {
        Timed {
            clock_ms: Some(self.sim.now().0),
            born_ms: Some(1),
            value,
        }
    }

    /// Makes a worker reachable only by the owner of a term.
    pub(crate) fn set_reachable_by_term(&self, number: usize, term: u64) {
        self.workers.borrow_mut()[number].reachable_by_term = Some(term);
    }

    fn is_unreachable(&self, number: usize, term: u64) -> bool {
        let worker = &self.workers.borrow()[number];
        worker.unreachable || worker.reachable_by_term.is_some_and(|only| only != term)
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
                return unknown;
            }
            let answer = self.start_now(number, &call);
            let every = self.lose_answer_every.get();
            if every > 0 && self.starts.get().is_multiple_of(every) {
                return unknown;
            }
            self.timed(answer)
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
                return Err(WorkerError::Unknown);
            }
            self.advance();
            let worker = &mut self.workers.borrow_mut()[number];
            if term < worker.highest_term {
                return Err(WorkerError::Fenced);
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
            let until = self.sim.now() + request.wait;
            if self.is_unreachable(number, request.term) {
                self.sim.sleep(Millis(10_000)).await;
                return Err(WorkerError::Unknown);
            }
            self.advance();
            {
                let worker = &mut self.workers.borrow_mut()[number];
                if request.term < worker.highest_term {
                    return Err(WorkerError::Fenced);
                }
                worker.highest_term = request.term;
                if let Some(lease_ms) = request.lease_until_ms {
                    let max_lease_until_ms = self.sim.now().0 + LEASE_MS;
                    worker.lease_until_ms =
                        worker.lease_until_ms.max(lease_ms.min(max_lease_until_ms));
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
            Ok(self.timed(report))
        })
    }
}
