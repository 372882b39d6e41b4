//! In-memory fake workers with fault injection, and a checker of their runs.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::ports::{PortError, PortFuture, Result, Workers};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    job::{Attempt, Checkpoint, JobId, TaskEnd, TaskId},
    name::WorkerName,
    resources::Resources,
    worker::{EndedTask, Renew, RunningTask, StartReply, StartTask, WorkerReport},
};

/// Attempt on a worker, as recorded by the fakes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    pub(crate) attempt: Attempt,
    pub(crate) worker: WorkerName,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: Option<u64>,
    pub(crate) checkpoint: Option<Checkpoint>,
    pub(crate) completed: bool,
    /// Time at which the rack owner acknowledged the reported completion.
    pub(crate) acknowledged_ms: Option<u64>,
}

struct Task {
    order: StartTask,
    started_ms: u64,
    lease_until_ms: u64,
    throttled: bool,
    run: usize,
}

pub(crate) struct Worker {
    pub(crate) capacity: Resources,
    /// Offset of the worker's clock from simulated time.
    clock_ahead_ms: u64,
    incarnation: u64,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    ended: Vec<EndedTask>,
    /// Whether calls time out without taking effect.
    pub(crate) unresponsive: bool,
    /// Whether every task fails immediately.
    pub(crate) fail_tasks: bool,
    /// Whether replies to start orders are lost.
    pub(crate) lose_start_replies: bool,
    /// Reported slowdown in thousandths.
    pub(crate) slowdown_milli: u64,
}

/// All workers of a simulated cluster, with the record of their runs.
pub(crate) struct Platform {
    sim: SimRuntime,
    pub(crate) workers: RefCell<BTreeMap<WorkerName, Worker>>,
    pub(crate) runs: RefCell<Vec<Run>>,
    /// Actual run time of a task.
    pub(crate) run_ms: Cell<u64>,
    /// Actual run times of tasks that differ from `run_ms`.
    pub(crate) run_ms_by_task: RefCell<BTreeMap<TaskId, u64>>,
    pub(crate) throttles: RefCell<Vec<(TaskId, bool)>>,
    /// Jobs whose tasks must run at most once.
    pub(crate) at_most_once: RefCell<BTreeSet<JobId>>,
}

impl Platform {
    pub(crate) fn new(sim: SimRuntime) -> Rc<Platform> {
        Rc::new(Platform {
            sim,
            workers: RefCell::default(),
            runs: RefCell::default(),
            run_ms: Cell::new(3_000),
            run_ms_by_task: RefCell::default(),
            throttles: RefCell::default(),
            at_most_once: RefCell::default(),
        })
    }

    pub(crate) fn add(&self, name: &WorkerName, capacity: Resources) {
        let number = self.workers.borrow().len() as u64;
        let worker = Worker {
            capacity,
            clock_ahead_ms: 1_000_000 + number * 77_777,
            incarnation: 1,
            tasks: BTreeMap::new(),
            ended: Vec::new(),
            unresponsive: false,
            fail_tasks: false,
            lose_start_replies: false,
            slowdown_milli: 0,
        };
        self.workers.borrow_mut().insert(name.clone(), worker);
    }

    pub(crate) fn with<T>(&self, name: &WorkerName, operation: impl FnOnce(&mut Worker) -> T) -> T {
        let mut workers = self.workers.borrow_mut();
        operation(workers.get_mut(name).expect("worker exists"))
    }

    /// Restarts a worker's process; its running and ended tasks are lost without a report.
    pub(crate) fn restart(&self, name: &WorkerName) {
        self.advance(name);
        let now = self.sim.now().0;
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(name).expect("worker exists");
        worker.incarnation += 1;
        worker.clock_ahead_ms /= 2;
        worker.ended.clear();
        for task in std::mem::take(&mut worker.tasks).into_values() {
            self.runs.borrow_mut()[task.run].until_ms = Some(now);
        }
    }

    /// Ends all tasks whose run time or lease is over.
    pub(crate) fn advance_all(&self) {
        let names: Vec<WorkerName> = self.workers.borrow().keys().cloned().collect();
        names.iter().for_each(|name| self.advance(name));
    }

    fn advance(&self, name: &WorkerName) {
        let now = self.sim.now().0;
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(name).expect("worker exists");
        let mut ended = Vec::new();
        for (id, task) in &worker.tasks {
            let due = task.started_ms + self.remaining_ms(&task.order);
            let due = if worker.fail_tasks {
                task.started_ms
            } else {
                due
            };
            let end = match due <= task.lease_until_ms {
                _ if due.min(task.lease_until_ms) > now => continue,
                true if worker.fail_tasks => TaskEnd::Failed(Arc::from("host is broken")),
                true => TaskEnd::Completed,
                false => TaskEnd::LeaseLapsed(checkpoint(&task.order, task, now)),
            };
            ended.push((*id, due.min(task.lease_until_ms), end));
        }
        for (id, at_ms, end) in ended {
            self.end(worker, id, at_ms, end);
        }
    }

    fn end(&self, worker: &mut Worker, id: (TaskId, Attempt), at_ms: u64, end: TaskEnd) {
        let Some(task) = worker.tasks.remove(&id) else {
            return;
        };
        let mut runs = self.runs.borrow_mut();
        runs[task.run].until_ms = Some(at_ms);
        runs[task.run].completed = end == TaskEnd::Completed;
        let (task, attempt) = id;
        worker.ended.push(EndedTask { task, attempt, end });
    }

    fn remaining_ms(&self, order: &StartTask) -> u64 {
        let of_task = self.run_ms_by_task.borrow().get(&order.task).copied();
        let done = order.checkpoint.as_ref().map_or(0, |c| c.progress_ms);
        of_task.unwrap_or(self.run_ms.get()).saturating_sub(done)
    }

    fn handle_start(&self, name: &WorkerName, order: StartTask) -> StartReply {
        self.advance(name);
        let now = self.sim.now().0;
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(name).expect("worker exists");
        let id = (order.task, order.attempt);
        let ended = worker.ended.iter().any(|e| (e.task, e.attempt) == id);
        if ended || worker.tasks.contains_key(&id) {
            return StartReply::AlreadyKnown;
        }
        let worker_now = now + worker.clock_ahead_ms;
        let other_incarnation = order.incarnation != worker.incarnation;
        if other_incarnation || order.start_by_worker_ms.0 < worker_now {
            return StartReply::TooLate;
        }
        let mut runs = self.runs.borrow_mut();
        runs.push(Run {
            task: order.task,
            attempt: order.attempt,
            worker: name.clone(),
            from_ms: now,
            until_ms: None,
            checkpoint: order.checkpoint.clone(),
            completed: false,
            acknowledged_ms: None,
        });
        let task = Task {
            started_ms: now,
            lease_until_ms: order.lease_until_worker_ms.0 - worker.clock_ahead_ms,
            throttled: false,
            run: runs.len() - 1,
            order,
        };
        worker.tasks.insert(id, task);
        let used = worker
            .tasks
            .values()
            .fold(Resources::default(), |sum, task| sum + task.order.demand);
        assert!(
            used.fits_in(&worker.capacity),
            "worker {name} holds {used:?}"
        );
        StartReply::Started
    }

    fn handle_renewal(&self, name: &WorkerName, renew: &Renew) -> WorkerReport {
        self.advance(name);
        let now = self.sim.now().0;
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(name).expect("worker exists");
        let lease = renew.lease_until_worker_ms;
        if let Some(until) = lease.filter(|_| renew.incarnation == worker.incarnation) {
            for id in &renew.tasks {
                if let Some(task) = worker.tasks.get_mut(id) {
                    let until_ms = until.0 - worker.clock_ahead_ms;
                    task.lease_until_ms = task.lease_until_ms.max(until_ms);
                }
            }
        }
        let acknowledged: BTreeSet<_> = renew.acknowledged.iter().copied().collect();
        for run in self.runs.borrow_mut().iter_mut() {
            let named = acknowledged.contains(&(run.task, run.attempt));
            if named && run.completed && run.acknowledged_ms.is_none() {
                run.acknowledged_ms = Some(now);
            }
        }
        worker
            .ended
            .retain(|e| !acknowledged.contains(&(e.task, e.attempt)));
        let running = worker.tasks.values();
        WorkerReport {
            worker_ms: MonoMs(now + worker.clock_ahead_ms),
            incarnation: worker.incarnation,
            capacity: worker.capacity,
            running: running
                .map(|task| running_task(task, worker, now))
                .collect(),
            ended: worker.ended.clone(),
        }
    }

    async fn respond<T>(&self, name: &WorkerName, operation: impl FnOnce() -> T) -> Result<T> {
        self.sim.sleep(Millis(1)).await;
        let unresponsive = self
            .workers
            .borrow()
            .get(name)
            .is_none_or(|w| w.unresponsive);
        if unresponsive {
            self.sim.sleep(Millis(60_000)).await;
            return Err(PortError::Unknown);
        }
        let reply = operation();
        self.sim.sleep(Millis(1)).await;
        Ok(reply)
    }

    /// Panics if attempts of a task overlapped, if a task ran again after its acknowledged
    /// completion or although it must run at most once, or if attempt numbers did not increase.
    pub(crate) fn check_runs(&self) {
        self.advance_all();
        let runs = self.runs.borrow();
        for (index, run) in runs.iter().enumerate() {
            for other in runs[..index].iter().filter(|other| other.task == run.task) {
                let ended_before = other.until_ms.is_some_and(|until| until <= run.from_ms);
                assert!(ended_before, "attempts overlap: {other:?} and {run:?}");
                let acknowledged = other.acknowledged_ms.is_some_and(|at| at <= run.from_ms);
                assert!(
                    !acknowledged,
                    "task ran again after its acknowledged completion: {run:?}"
                );
                let at_most_once = self.at_most_once.borrow().contains(&run.task.job);
                assert!(!at_most_once, "at-most-once task ran twice: {run:?}");
                let attempts = (other.attempt, run.attempt);
                assert!(
                    attempts.0 < attempts.1,
                    "attempt number does not increase: {run:?}"
                );
            }
        }
    }
}

fn checkpoint(order: &StartTask, task: &Task, now: u64) -> Option<Checkpoint> {
    let done = order.checkpoint.as_ref().map_or(0, |c| c.progress_ms);
    order.resumable.then(|| Checkpoint {
        name: Arc::from(format!("{:?}/{}", order.task, order.attempt.0)),
        progress_ms: done + now - task.started_ms,
    })
}

fn running_task(task: &Task, worker: &Worker, now: u64) -> RunningTask {
    let order = &task.order;
    let done = order.checkpoint.as_ref().map_or(0, |c| c.progress_ms);
    RunningTask {
        task: order.task,
        attempt: order.attempt,
        service: order.service.clone(),
        demand: order.demand,
        usage: order.demand,
        progress_ms: done + now - task.started_ms,
        checkpoint_ms: done,
        slowdown_milli: worker.slowdown_milli,
        urgency: order.urgency,
        resumable: order.resumable,
        throttled: task.throttled,
    }
}

/// Workers port of a node.
pub(crate) struct WorkersPort(pub(crate) Rc<Platform>);

impl Workers for WorkersPort {
    fn start(
        &self,
        _address: SocketAddr,
        worker: &WorkerName,
        order: StartTask,
    ) -> PortFuture<'_, Result<StartReply>> {
        let (platform, name) = (self.0.clone(), worker.clone());
        Box::pin(async move {
            let reply = platform
                .respond(&name, || platform.handle_start(&name, order))
                .await?;
            let lost = platform.with(&name, |worker| worker.lose_start_replies);
            if lost {
                return Err(PortError::Unknown);
            }
            Ok(reply)
        })
    }

    fn renew(
        &self,
        _address: SocketAddr,
        worker: &WorkerName,
        renew: Renew,
    ) -> PortFuture<'_, Result<WorkerReport>> {
        let (platform, name) = (self.0.clone(), worker.clone());
        Box::pin(async move {
            platform
                .respond(&name, || platform.handle_renewal(&name, &renew))
                .await
        })
    }

    fn stop(
        &self,
        _address: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        with_checkpoint: bool,
    ) -> PortFuture<'_, Result<()>> {
        let (platform, name) = (self.0.clone(), worker.clone());
        Box::pin(async move {
            let operation = || {
                platform.advance(&name);
                let now = platform.sim.now().0;
                let mut workers = platform.workers.borrow_mut();
                let worker = workers.get_mut(&name).expect("worker exists");
                let known = worker.tasks.get(&(task, attempt));
                let saved = known.and_then(|t| checkpoint(&t.order, t, now));
                let end = TaskEnd::Stopped(saved.filter(|_| with_checkpoint));
                platform.end(worker, (task, attempt), now, end);
            };
            platform.respond(&name, operation).await
        })
    }

    fn throttle(
        &self,
        _address: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        on: bool,
    ) -> PortFuture<'_, Result<()>> {
        let (platform, name) = (self.0.clone(), worker.clone());
        Box::pin(async move {
            let operation = || {
                platform.throttles.borrow_mut().push((task, on));
                platform.with(&name, |worker| {
                    if let Some(known) = worker.tasks.get_mut(&(task, attempt)) {
                        known.throttled = on;
                    }
                });
            };
            platform.respond(&name, operation).await
        })
    }
}
