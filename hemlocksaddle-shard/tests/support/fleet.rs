//! Workers that run tasks, and the judge of what may never happen there.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    result,
};

use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_policy::workflow::{End, EndKind, Listing, Report, StartAnswer, TaskStatus};
use hemlocksaddle_shard::ports::{Fleet, ReportRequest, StartCall, Timed, WorkerError};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::{Run, TaskName},
};

use super::LEASE_MS;

/// Time that a task runs.
const RUN_MS: u64 = 1_000;

/// Time of an answer.
const ANSWER_MS: Millis = Millis(1);

/// Interval at which a look that waits looks again.
const POLL_MS: Millis = Millis(10);

#[derive(Default)]
struct Worker {
    running: BTreeMap<TaskName, (Run, u64)>,
    ends: Vec<End>,
    ended: u64,
    fence: u64,
    lease_until_ms: u64,
    unreachable: bool,
    /// Reached by owners of this term only.
    only_term: Option<u64>,
}

pub(crate) struct FakeFleet {
    sim: SimRuntime,
    workers: RefCell<Vec<Worker>>,
    /// What may never happen, as it was seen.
    pub(crate) violations: RefCell<Vec<String>>,
    done: RefCell<BTreeMap<TaskName, u64>>,
    starts: Cell<u64>,
    /// Every n-th start is carried out without an answer; 0 is none.
    pub(crate) lose_every: Cell<u64>,
    /// Time that a task runs.
    pub(crate) run_ms: Cell<u64>,
}

impl FakeFleet {
    pub(crate) fn new(sim: SimRuntime, count: usize) -> Rc<FakeFleet> {
        Rc::new(FakeFleet {
            sim,
            workers: RefCell::new((0..count).map(|_| Worker::default()).collect()),
            violations: RefCell::default(),
            done: RefCell::default(),
            starts: Cell::new(0),
            lose_every: Cell::new(0),
            run_ms: Cell::new(RUN_MS),
        })
    }

    pub(crate) fn count(&self) -> usize {
        self.workers.borrow().len()
    }

    /// Starts that were carried out.
    pub(crate) fn starts(&self) -> u64 {
        self.starts.get()
    }

    /// Tasks that run now.
    pub(crate) fn running(&self) -> usize {
        self.advance();
        self.workers
            .borrow()
            .iter()
            .map(|worker| worker.running.len())
            .sum()
    }

    /// Cuts a worker off from all nodes or heals the cut.
    pub(crate) fn set_unreachable(&self, number: usize, unreachable: bool) {
        self.workers.borrow_mut()[number].unreachable = unreachable;
    }

    fn violation(&self, text: String) {
        self.violations
            .borrow_mut()
            .push(format!("{} ms: {text}", self.sim.now().0));
    }

    /// Ends tasks whose time or lease is over.
    fn advance(&self) {
        let now_ms = self.sim.now().0;
        for worker in self.workers.borrow_mut().iter_mut() {
            let lapsed = worker.lease_until_ms < now_ms;
            let lease_until_ms = worker.lease_until_ms;
            let over: Vec<_> = worker
                .running
                .iter()
                .filter(|(_, (_, ends_ms))| lapsed || *ends_ms <= now_ms)
                .map(|(task, (run, ends_ms))| (*task, *run, *ends_ms))
                .collect();
            for (task, run, ends_ms) in over {
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

    fn number(worker: &Listing) -> usize {
        worker.name.parse().expect("number of a worker")
    }

    fn start_now(&self, number: usize, call: &StartCall) -> StartAnswer {
        self.advance();
        let now_ms = self.sim.now().0;
        {
            let worker = &mut self.workers.borrow_mut()[number];
            if call.term < worker.fence {
                return StartAnswer::Fenced;
            }
            worker.fence = call.term;
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
        let elsewhere = self
            .workers
            .borrow()
            .iter()
            .any(|w| w.running.contains_key(&call.task));
        if elsewhere {
            self.violation(format!("{} runs in two places", call.task));
        }
        if self.done.borrow().contains_key(&call.task) {
            self.violation(format!(
                "{} starts after its end was taken note of",
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

    fn take_note(&self, number: usize, upto: u64) {
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

    /// Lets only owners of a term reach a worker.
    pub(crate) fn set_only_term(&self, number: usize, term: u64) {
        self.workers.borrow_mut()[number].only_term = Some(term);
    }

    fn is_unreachable(&self, number: usize, term: u64) -> bool {
        let worker = &self.workers.borrow()[number];
        worker.unreachable || worker.only_term.is_some_and(|only| only != term)
    }
}

impl Fleet for FakeFleet {
    fn start(&self, worker: &Listing, call: StartCall) -> PortFuture<'_, Timed<StartAnswer>> {
        let number = FakeFleet::number(worker);
        Box::pin(async move {
            self.sim.sleep(ANSWER_MS).await;
            let unknown = Timed {
                clock_ms: None,
                born_ms: None,
                value: StartAnswer::Unknown,
            };
            if self.is_unreachable(number, call.term) {
                return unknown;
            }
            let answer = self.start_now(number, &call);
            let every = self.lose_every.get();
            if every > 0 && self.starts.get().is_multiple_of(every) {
                return unknown;
            }
            self.timed(answer)
        })
    }

    fn stop(
        &self,
        worker: &Listing,
        task: TaskName,
        run: Run,
        term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        let number = FakeFleet::number(worker);
        Box::pin(async move {
            self.sim.sleep(ANSWER_MS).await;
            if self.is_unreachable(number, term) {
                return Err(WorkerError::Unknown);
            }
            self.advance();
            let worker = &mut self.workers.borrow_mut()[number];
            if term < worker.fence {
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
        _worker: &Listing,
        _task: TaskName,
        _run: Run,
        _percent: u8,
        _term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        Box::pin(async { Ok(()) })
    }

    fn fetch_report(
        &self,
        worker: &Listing,
        look: ReportRequest,
    ) -> PortFuture<'_, result::Result<Timed<Report>, WorkerError>> {
        let number = FakeFleet::number(worker);
        Box::pin(async move {
            self.sim.sleep(ANSWER_MS).await;
            let until = self.sim.now() + look.wait;
            if self.is_unreachable(number, look.term) {
                self.sim.sleep(Millis(10_000)).await;
                return Err(WorkerError::Unknown);
            }
            self.advance();
            {
                let worker = &mut self.workers.borrow_mut()[number];
                if look.term < worker.fence {
                    return Err(WorkerError::Fenced);
                }
                worker.fence = look.term;
                if let Some(lease_ms) = look.lease_until_ms {
                    let most = self.sim.now().0 + LEASE_MS;
                    worker.lease_until_ms = worker.lease_until_ms.max(lease_ms.min(most));
                }
            }
            self.take_note(number, look.saved_ends);
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
            let row = |(task, (run, ends_ms)): (&TaskName, &(Run, u64))| TaskStatus {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: (100 - ends_ms.saturating_sub(now_ms) * 100 / self.run_ms.get()) as u8,
                measurement: 1_000,
            };
            let report = Report {
                sent_at: MonoMs(0),
                running: worker.running.iter().map(row).collect(),
                ends: worker.ends.clone(),
            };
            Ok(self.timed(report))
        })
    }
}
