//! Workers that run tasks under leases in their own clocks.
//!
//! Progress is worked out from one event to the next: a start, a stop, an end of
//! the work, the lapse of a lease. Tasks slow each other by an amount that
//! depends on the pair of services; reports show it one window late.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use hemlocksaddle_node::ports::{PortFuture, Result, Workers};
use hemlocksaddle_types::{
    clock::Millis,
    host::{Host, HostRole},
    job::{Attempt, Checkpoint, TaskEnd, TaskId, Urgency},
    name::{DataCentre, ServiceName, WorkerName},
    resources::Resources,
    worker::{EndedTask, Renew, RunningTask, StartReply, StartTask, WorkerReport},
};

use crate::{
    judge::Judges,
    network::{CALL_TIMEOUT, Endpoint, Network},
    runtime::ENVIRONMENT,
};

/// Run time between two checkpoints that a worker takes on its own.
const CHECKPOINT_EVERY_US: u64 = 10_000_000;
/// Time that a checkpoint on request takes.
const CHECKPOINT_US: u64 = 300_000;
/// Window over which a slowdown is measured.
const WINDOW_US: u64 = 5_000_000;
/// Run time after which a task fails that is bound to.
const FAILS_AFTER_US: u64 = 200_000;
/// Interval at which workers that nobody calls are brought up to date.
const TICK: Millis = Millis(250);

/// What a job's tasks really do, as opposed to what was declared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Truth {
    /// Run time of each task, uncontended.
    pub run_ms: Millis,
    /// Usage in percent of the declared demand.
    pub usage_percent: u64,
    /// Whether each task fails.
    pub fails: bool,
}

type Key = (TaskId, Attempt);

struct Running {
    order: StartTask,
    truth: Truth,
    done_us: u64,
    lease_us: u64,
    stop_us: Option<u64>,
    throttled: bool,
    window: (u64, u64),
    measured: [u64; 2],
}

struct Worker {
    endpoint: Endpoint,
    data_centre: DataCentre,
    capacity: Resources,
    incarnation: u64,
    fails_all: bool,
    updated_us: u64,
    running: BTreeMap<Key, Running>,
    ended: BTreeMap<Key, TaskEnd>,
}

/// All workers of one run.
pub struct FakeWorkers {
    network: Rc<Network>,
    judges: Rc<Judges>,
    workers: RefCell<BTreeMap<WorkerName, Worker>>,
    /// What the tasks of a job really do, by the job's idempotency key.
    pub truths: RefCell<BTreeMap<Arc<str>, Truth>>,
    /// Added to each pair's slowdown in thousandths: a wave of noise.
    pub noise_milli: Cell<u64>,
    /// Run time that completed, in core milliseconds.
    pub work_done: Cell<u64>,
}

impl FakeWorkers {
    /// Workers of a host list.
    #[must_use]
    pub fn new(network: &Rc<Network>, judges: &Rc<Judges>, hosts: &[Host]) -> Rc<FakeWorkers> {
        let mut workers = BTreeMap::new();
        for host in hosts {
            if let HostRole::Worker { name, capacity, .. } = &host.role {
                let endpoint = Endpoint {
                    process: network.sim.process(),
                    name: name.clone().into(),
                    data_centre: Some(host.data_centre.clone()),
                };
                let worker = Worker {
                    endpoint,
                    data_centre: host.data_centre.clone(),
                    capacity: *capacity,
                    incarnation: 1,
                    fails_all: false,
                    updated_us: 0,
                    running: BTreeMap::new(),
                    ended: BTreeMap::new(),
                };
                workers.insert(name.clone(), worker);
            }
        }
        let fakes = Rc::new(FakeWorkers {
            network: network.clone(),
            judges: judges.clone(),
            workers: RefCell::new(workers),
            truths: RefCell::default(),
            noise_milli: Cell::new(0),
            work_done: Cell::new(0),
        });
        let ticking = fakes.clone();
        network.sim.spawn(ENVIRONMENT, async move {
            loop {
                ticking.network.sim.sleep(TICK).await;
                ticking.advance_all();
            }
        });
        fakes
    }

    /// Port of one process.
    #[must_use]
    pub fn port(self: &Rc<Self>, from: &Endpoint) -> Rc<dyn Workers> {
        Rc::new(WorkersPort(self.clone(), from.clone()))
    }

    /// Kills a worker with all its tasks.
    pub fn kill(&self, name: &WorkerName) {
        self.advance_all();
        self.network.set_dead(name.as_str(), true);
        if let Some(worker) = self.workers.borrow_mut().get_mut(name) {
            for (task, attempt) in std::mem::take(&mut worker.running).into_keys() {
                self.judges.task_ends(task, attempt, None);
            }
            worker.ended.clear();
        }
    }

    /// Starts a dead worker again, with a new clock and a new incarnation.
    pub fn restart(&self, name: &WorkerName) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(name) {
            worker.endpoint.process = self.network.sim.process();
            worker.incarnation += 1;
            worker.updated_us = self.network.sim.now_us();
        }
        self.network.set_dead(name.as_str(), false);
    }

    /// Lets a worker fail everything that it starts from now on, or no longer.
    pub fn set_fails_all(&self, name: &WorkerName, fails: bool) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(name) {
            worker.fails_all = fails;
        }
    }

    /// Tasks that run now, with their workers.
    #[must_use]
    pub fn running(&self) -> Vec<(WorkerName, TaskId, Attempt)> {
        self.advance_all();
        let workers = self.workers.borrow();
        let each = workers.iter().flat_map(|(name, worker)| {
            let keys = worker.running.keys();
            keys.map(|(task, attempt)| (name.clone(), *task, *attempt))
        });
        each.collect()
    }

    fn advance_all(&self) {
        for worker in self.workers.borrow_mut().values_mut() {
            self.advance(worker);
        }
    }

    fn advance(&self, worker: &mut Worker) {
        let now_us = self.network.sim.now_us();
        while worker.updated_us < now_us {
            let from_us = worker.updated_us;
            let noise = self.noise_milli.get();
            let speeds: Vec<u64> = worker
                .running
                .values()
                .map(|task| speed_milli(task, worker, noise))
                .collect();
            let events = worker.running.values().zip(&speeds);
            let next_us = events
                .map(|(task, speed)| task.next_event_us(from_us, *speed))
                .min();
            let to_us = next_us.unwrap_or(now_us).clamp(from_us, now_us);
            for (task, speed) in worker.running.values_mut().zip(&speeds) {
                task.done_us += (to_us - from_us) * speed / 1_000;
            }
            worker.updated_us = to_us;
            self.end_due(worker);
        }
    }

    fn end_due(&self, worker: &mut Worker) {
        let now_us = worker.updated_us;
        let due = worker.running.iter().filter_map(|(key, task)| {
            let end = task.end_at(now_us)?;
            Some((*key, end))
        });
        for ((task, attempt), end) in due.collect::<Vec<_>>() {
            self.end(worker, (task, attempt), end);
        }
    }

    fn end(&self, worker: &mut Worker, key: Key, end: TaskEnd) {
        let Some(task) = worker.running.remove(&key) else {
            return;
        };
        self.judges.task_ends(key.0, key.1, Some(&end));
        if end == TaskEnd::Completed {
            let core_ms = task.truth.run_ms.0 * task.order.demand.cpu_milli / 1_000;
            self.work_done.set(self.work_done.get() + core_ms);
        }
        worker.ended.insert(key, end);
    }

    fn start(&self, name: &WorkerName, order: StartTask) -> StartReply {
        self.advance_all();
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(name) else {
            return StartReply::Refused("no such worker".into());
        };
        let key = (order.task, order.attempt);
        if worker.running.contains_key(&key) || worker.ended.contains_key(&key) {
            return StartReply::AlreadyKnown;
        }
        let sim = &self.network.sim;
        let late = sim.runtime(worker.endpoint.process).now() > order.start_by_worker_ms;
        if late || order.incarnation != worker.incarnation {
            return StartReply::TooLate;
        }
        self.judges.task_starts(&order, name, &worker.data_centre);
        let truth = self.truth(&order, worker.fails_all);
        let progress_ms = order.checkpoint.as_ref().map_or(0, |from| from.progress_ms);
        let task = Running {
            truth,
            done_us: progress_ms * 1_000,
            lease_us: sim.true_us(worker.endpoint.process, order.lease_until_worker_ms),
            stop_us: None,
            throttled: false,
            window: (sim.now_us(), progress_ms * 1_000),
            measured: [1_000; 2],
            order,
        };
        worker.running.insert(key, task);
        let committed = worker.running.values().map(|task| task.order.demand);
        let committed = committed.fold(Resources::default(), |sum, demand| sum + demand);
        self.judges.committed(name, committed, &worker.capacity);
        self.kill_for_memory(worker);
        StartReply::Started
    }

    /// Fails the task that exceeds its declared memory most if the worker has run out of memory.
    fn kill_for_memory(&self, worker: &mut Worker) {
        let used: u64 = worker
            .running
            .values()
            .map(|task| task.usage().memory_mb)
            .sum();
        if used <= worker.capacity.memory_mb {
            return;
        }
        let excess = |task: &Running| {
            task.usage()
                .memory_mb
                .saturating_sub(task.order.demand.memory_mb)
        };
        let worst = worker.running.iter().max_by_key(|(_, task)| excess(task));
        if let Some(key) = worst.map(|(key, _)| *key) {
            self.end(worker, key, TaskEnd::Failed("out of memory".into()));
        }
    }

    fn truth(&self, order: &StartTask, fails_all: bool) -> Truth {
        let declared = Truth {
            run_ms: Millis(order.expected_run_ms),
            usage_percent: 100,
            fails: false,
        };
        let key = self.judges.spec(order.task.job).and_then(|spec| spec.key);
        let truths = self.truths.borrow();
        let found = key.and_then(|key| truths.get(key.as_str()).copied());
        let mut truth = found.unwrap_or(declared);
        truth.fails |= fails_all;
        truth
    }

    fn renew(&self, name: &WorkerName, renew: &Renew) -> WorkerReport {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(name) else {
            return WorkerReport::default();
        };
        self.advance(worker);
        let sim = &self.network.sim;
        for (task, attempt) in &renew.acknowledged {
            if let Some(end) = worker.ended.remove(&(*task, *attempt)) {
                self.judges.end_acknowledged(*task, *attempt, &end);
            }
        }
        let lease = renew.lease_until_worker_ms;
        if let Some(until) = lease.filter(|_| renew.incarnation == worker.incarnation) {
            let lease_us = sim.true_us(worker.endpoint.process, until);
            for key in &renew.tasks {
                if let Some(task) = worker.running.get_mut(key) {
                    task.lease_us = task.lease_us.max(lease_us);
                }
            }
        }
        WorkerReport {
            worker_ms: sim.runtime(worker.endpoint.process).now(),
            incarnation: worker.incarnation,
            capacity: worker.capacity,
            running: worker
                .running
                .values_mut()
                .map(|task| task.report(sim.now_us()))
                .collect(),
            ended: worker
                .ended
                .iter()
                .map(|(key, end)| ended(*key, end))
                .collect(),
        }
    }

    fn stop(&self, name: &WorkerName, key: Key, checkpoint: bool) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(name) else {
            return;
        };
        self.advance(worker);
        if !checkpoint {
            return self.end(worker, key, TaskEnd::Stopped(None));
        }
        if let Some(task) = worker.running.get_mut(&key) {
            let at_us = worker.updated_us + CHECKPOINT_US;
            task.stop_us = Some(task.stop_us.unwrap_or(at_us));
        }
    }

    fn throttle(&self, name: &WorkerName, key: Key, on: bool) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(name) {
            self.advance(worker);
            if let Some(task) = worker.running.get_mut(&key) {
                task.throttled = on;
            }
        }
    }

    fn call<T: 'static>(
        self: &Rc<Self>,
        from: &Endpoint,
        worker: &WorkerName,
        work: impl FnOnce(&FakeWorkers) -> T + 'static,
    ) -> PortFuture<'static, Result<T>> {
        let to = self
            .workers
            .borrow()
            .get(worker)
            .map(|worker| worker.endpoint.clone());
        let to = to.unwrap_or_else(|| Endpoint::platform(worker.as_str()));
        let workers = self.clone();
        let network = &self.network;
        network.call(
            from,
            &to,
            CALL_TIMEOUT,
            move || async move { work(&workers) },
        )
    }
}

impl Running {
    fn work_us(&self) -> u64 {
        if self.truth.fails {
            return FAILS_AFTER_US;
        }
        self.truth.run_ms.0 * 1_000
    }

    fn next_event_us(&self, now_us: u64, speed_milli: u64) -> u64 {
        let left_us = self.work_us().saturating_sub(self.done_us);
        let end_us = now_us + (left_us * 1_000).div_ceil(speed_milli);
        end_us
            .min(self.lease_us)
            .min(self.stop_us.unwrap_or(u64::MAX))
    }

    fn end_at(&self, now_us: u64) -> Option<TaskEnd> {
        if self.done_us >= self.work_us() {
            let failed = TaskEnd::Failed("exit status 1".into());
            return Some(if self.truth.fails {
                failed
            } else {
                TaskEnd::Completed
            });
        }
        if self.stop_us.is_some_and(|at_us| at_us <= now_us) {
            return Some(TaskEnd::Stopped(self.checkpoint_at(self.done_us)));
        }
        if self.lease_us <= now_us {
            return Some(TaskEnd::LeaseLapsed(self.checkpoint_at(self.kept_us())));
        }
        None
    }

    fn kept_us(&self) -> u64 {
        let base_ms = self
            .order
            .checkpoint
            .as_ref()
            .map_or(0, |from| from.progress_ms);
        let own_us = self.done_us / CHECKPOINT_EVERY_US * CHECKPOINT_EVERY_US;
        own_us.max(base_ms * 1_000)
    }

    fn checkpoint_at(&self, done_us: u64) -> Option<Checkpoint> {
        let (task, attempt) = (self.order.task, self.order.attempt);
        let progress_ms = done_us / 1_000;
        let name = format!("{}/{}/{}/{progress_ms}", task.job, task.index, attempt.0);
        (self.order.resumable && done_us > 0).then(|| Checkpoint {
            name: name.into(),
            progress_ms,
        })
    }

    fn usage(&self) -> Resources {
        let of = |amount: u64| amount * self.truth.usage_percent / 100;
        Resources {
            cpu_milli: of(self.order.demand.cpu_milli),
            memory_mb: of(self.order.demand.memory_mb),
            accelerators: self.order.demand.accelerators,
        }
    }

    fn report(&mut self, now_us: u64) -> RunningTask {
        let (since_us, done_us) = self.window;
        if now_us - since_us >= WINDOW_US {
            let progress_us = (self.done_us - done_us).max(1);
            let slowdown_milli = (now_us - since_us) * 1_000 / progress_us;
            self.measured = [self.measured[1], slowdown_milli];
            self.window = (now_us, self.done_us);
        }
        RunningTask {
            task: self.order.task,
            attempt: self.order.attempt,
            service: self.order.service.clone(),
            demand: self.order.demand,
            usage: self.usage(),
            progress_ms: self.done_us / 1_000,
            checkpoint_ms: self.kept_us() / 1_000,
            slowdown_milli: self.measured[0],
            urgency: self.order.urgency,
            resumable: self.order.resumable,
            throttled: self.throttled,
        }
    }
}

fn ended(key: Key, end: &TaskEnd) -> EndedTask {
    EndedTask {
        task: key.0,
        attempt: key.1,
        end: end.clone(),
    }
}

/// Speed of a task in thousandths of its uncontended speed.
fn speed_milli(task: &Running, worker: &Worker, noise_milli: u64) -> u64 {
    let slowing = |other: &Running| {
        let noisy = if other.order.urgency == Urgency::Batch {
            noise_milli
        } else {
            0
        };
        let milli = pair_milli(&task.order.service, &other.order.service) + noisy;
        milli * other.usage().cpu_milli / worker.capacity.cpu_milli.max(1)
    };
    let others = worker
        .running
        .iter()
        .filter(|(key, _)| **key != (task.order.task, task.order.attempt));
    let total: u64 = others.map(|(_, other)| slowing(other)).sum();
    let speed = 1_000_000 / (1_000 + total);
    if task.throttled { speed / 4 } else { speed }.max(1)
}

/// Slowdown in thousandths that a service that fills a worker causes for another.
fn pair_milli(slowed: &ServiceName, slowing: &ServiceName) -> u64 {
    let hash = |name: &ServiceName| {
        name.as_str()
            .bytes()
            .fold(7, |sum: u64, byte| sum * 31 % 65_521 + u64::from(byte))
    };
    (hash(slowed) + 3 * hash(slowing)) % 500
}

struct WorkersPort(Rc<FakeWorkers>, Endpoint);

impl Workers for WorkersPort {
    fn start(
        &self,
        _: SocketAddr,
        worker: &WorkerName,
        order: StartTask,
    ) -> PortFuture<'_, Result<StartReply>> {
        let name = worker.clone();
        self.0
            .call(&self.1, worker, move |workers| workers.start(&name, order))
    }

    fn renew(
        &self,
        _: SocketAddr,
        worker: &WorkerName,
        renew: Renew,
    ) -> PortFuture<'_, Result<WorkerReport>> {
        let name = worker.clone();
        self.0
            .call(&self.1, worker, move |workers| workers.renew(&name, &renew))
    }

    fn stop(
        &self,
        _: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        checkpoint: bool,
    ) -> PortFuture<'_, Result<()>> {
        let name = worker.clone();
        self.0.call(&self.1, worker, move |workers| {
            workers.stop(&name, (task, attempt), checkpoint)
        })
    }

    fn throttle(
        &self,
        _: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        on: bool,
    ) -> PortFuture<'_, Result<()>> {
        let name = worker.clone();
        self.0.call(&self.1, worker, move |workers| {
            workers.throttle(&name, (task, attempt), on)
        })
    }
}
