//! Workers that run tasks under leases measured by their own clocks.
//!
//! Discrete-event simulation: progress advances from one event to the next, such
//! as the start, stop or completion of a task or the expiry of its lease. Tasks on
//! one worker slow each other by an amount that depends on the pair of services;
//! reports show a slowdown one measurement window late.

use std::{collections::BTreeMap, net::SocketAddr};

use hemlocksaddle_node::ports::{PortError, PortFuture, Result, Workers};
use hemlocksaddle_types::{
    host::{Host, HostRole},
    job::{Attempt, Checkpoint, TaskEnd, TaskId, Urgency},
    name::{ServiceName, WorkerName},
    resources::Resources,
    worker::{EndedTask, Renew, RunningTask, StartReply, StartTask, WorkerReport},
};

use crate::{
    network::{CALL_TIMEOUT, Endpoint},
    platform::{NodePorts, Platform},
};

/// Progress between two periodic checkpoints of a task.
const CHECKPOINT_INTERVAL_US: u64 = 10_000_000;
/// Time that a requested checkpoint takes.
const CHECKPOINT_DURATION_US: u64 = 300_000;
/// Window over which a slowdown is measured.
const SLOWDOWN_WINDOW_US: u64 = 5_000_000;
/// Progress at which a task fails if [`TaskBehaviour::fails`] is set.
const FAILURE_AFTER_US: u64 = 200_000;

/// Actual behaviour of a job's tasks, which may differ from the declared one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskBehaviour {
    /// Uncontended run time of each task.
    pub run_ms: u64,
    /// CPU and memory usage in percent of the declared demand.
    pub usage_percent: u64,
    /// Whether each task fails.
    pub fails: bool,
}

type AttemptKey = (TaskId, Attempt);

struct RunningAttempt {
    order: StartTask,
    behaviour: TaskBehaviour,
    progress_us: u64,
    lease_until_us: u64,
    stop_at_us: u64,
    throttled: bool,
    /// Time and progress at the start of the current measurement window, in microseconds.
    window_start: (u64, u64),
    /// Slowdowns of the last two windows; the older one is reported.
    slowdowns_milli: [u64; 2],
}

pub(crate) struct Worker {
    endpoint: Endpoint,
    capacity: Resources,
    incarnation: u64,
    fails_all: bool,
    updated_us: u64,
    running: BTreeMap<AttemptKey, RunningAttempt>,
    ended: BTreeMap<AttemptKey, TaskEnd>,
}

impl Platform {
    pub(crate) fn add_worker(&self, host: &Host) {
        let HostRole::Worker { name, capacity, .. } = &host.role else {
            return;
        };
        let worker = Worker {
            endpoint: Endpoint::new(
                self.sim.new_process(),
                name.as_str(),
                Some(&host.data_centre),
            ),
            capacity: *capacity,
            incarnation: 1,
            fails_all: false,
            updated_us: 0,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
        };
        self.workers.borrow_mut().insert(name.clone(), worker);
    }

    /// Kills a worker; its running tasks and unacknowledged task ends are lost.
    pub fn kill_worker(&self, name: &WorkerName) {
        self.edit_worker(name, |worker| {
            for (task, attempt) in std::mem::take(&mut worker.running).into_keys() {
                self.checker.task_ended(task, attempt, None);
            }
            worker.ended.clear();
        });
        self.set_dead(name.as_str(), true);
    }

    /// Restarts a dead worker with new clocks and a new incarnation.
    pub fn restart_worker(&self, name: &WorkerName) {
        self.edit_worker(name, |worker| {
            worker.endpoint.process = self.sim.new_process();
            worker.incarnation += 1;
        });
        self.set_dead(name.as_str(), false);
    }

    /// Sets whether all tasks that the worker starts from now on fail.
    pub fn set_fails_all(&self, name: &WorkerName, fails: bool) {
        self.edit_worker(name, |worker| worker.fails_all = fails);
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running_tasks(&self) -> usize {
        let workers = self.workers.borrow();
        workers.values().map(|worker| worker.running.len()).sum()
    }

    /// Advances all workers to the current time.
    pub(crate) fn advance_all(&self) {
        for worker in self.workers.borrow_mut().values_mut() {
            self.advance(worker);
        }
    }

    fn edit_worker<T>(&self, name: &WorkerName, edit: impl FnOnce(&mut Worker) -> T) -> Option<T> {
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(name)?;
        self.advance(worker);
        Some(edit(worker))
    }

    fn advance(&self, worker: &mut Worker) {
        let now_us = self.sim.now_us();
        while worker.updated_us < now_us {
            let from_us = worker.updated_us;
            let batch_interference_milli = self.faults.borrow().batch_interference_milli;
            let tasks = worker.running.values();
            let speeds: Vec<u64> = tasks
                .map(|task| worker.speed_milli(task, batch_interference_milli))
                .collect();
            let events = worker.running.values().zip(&speeds);
            let next_us = events
                .map(|(task, speed)| task.next_event_us(from_us, *speed))
                .min();
            let to_us = next_us.unwrap_or(now_us).clamp(from_us, now_us);
            for (task, speed) in worker.running.values_mut().zip(&speeds) {
                task.progress_us += (to_us - from_us) * speed / 1_000;
            }
            worker.updated_us = to_us;
            let running = worker.running.iter();
            let due = running.filter_map(|(key, task)| Some((*key, task.end_at(to_us)?)));
            for (key, end) in due.collect::<Vec<_>>() {
                self.end_attempt(worker, key, end);
            }
        }
    }

    fn end_attempt(&self, worker: &mut Worker, key: AttemptKey, end: TaskEnd) {
        let Some(task) = worker.running.remove(&key) else {
            return;
        };
        self.checker.task_ended(key.0, key.1, Some(&end));
        if end == TaskEnd::Completed {
            let core_ms = task.behaviour.run_ms * task.order.demand.cpu_milli / 1_000;
            self.checker.work_done(core_ms);
        }
        worker.ended.insert(key, end);
    }

    fn start_task(&self, worker: &mut Worker, name: &WorkerName, order: StartTask) -> StartReply {
        let key = (order.task, order.attempt);
        if worker.running.contains_key(&key) || worker.ended.contains_key(&key) {
            return StartReply::AlreadyKnown;
        }
        let process = worker.endpoint.process;
        let late = self.sim.runtime(process).now() > order.start_by_worker_ms;
        if late || order.incarnation != worker.incarnation {
            return StartReply::TooLate;
        }
        self.checker
            .task_started(&order, name, worker.endpoint.data_centre.as_ref());
        let progress_us = order
            .checkpoint
            .as_ref()
            .map_or(0, |from| from.progress_ms * 1_000);
        let task = RunningAttempt {
            behaviour: self.behaviour(&order, worker.fails_all),
            progress_us,
            lease_until_us: self.sim.true_us(process, order.lease_until_worker_ms),
            stop_at_us: u64::MAX,
            throttled: false,
            window_start: (self.sim.now_us(), progress_us),
            slowdowns_milli: [1_000; 2],
            order,
        };
        worker.running.insert(key, task);
        let demands = worker.running.values().map(|task| task.order.demand);
        let committed = demands.fold(Resources::default(), |sum, demand| sum + demand);
        self.checker
            .resources_committed(name, committed, &worker.capacity);
        self.kill_on_out_of_memory(worker);
        StartReply::Started
    }

    /// Fails the task with the highest usage relative to its demand if the worker is out of memory.
    fn kill_on_out_of_memory(&self, worker: &mut Worker) {
        let used: u64 = worker
            .running
            .values()
            .map(|task| task.usage().memory_mb)
            .sum();
        let worst = worker
            .running
            .iter()
            .max_by_key(|(_, task)| task.behaviour.usage_percent);
        let worst = worst.map(|(key, _)| *key);
        if let Some(key) = worst.filter(|_| used > worker.capacity.memory_mb) {
            self.end_attempt(worker, key, TaskEnd::Failed("out of memory".into()));
        }
    }

    fn behaviour(&self, order: &StartTask, fails_all: bool) -> TaskBehaviour {
        let key = self.checker.spec(order.task.job).and_then(|spec| spec.key);
        let task_behaviours = self.task_behaviours.borrow();
        let known = key.and_then(|key| task_behaviours.get(key.as_str()).copied());
        let mut behaviour = known.unwrap_or(TaskBehaviour {
            run_ms: order.expected_run_ms,
            usage_percent: 100,
            fails: false,
        });
        behaviour.fails |= fails_all;
        behaviour
    }

    fn renew(&self, worker: &mut Worker, renew: &Renew) -> WorkerReport {
        for key in &renew.acknowledged {
            if worker.ended.remove(key).is_some() {
                self.checker.end_acknowledged(key.0, key.1);
            }
        }
        let process = worker.endpoint.process;
        let lease = renew.lease_until_worker_ms;
        if let Some(until) = lease.filter(|_| renew.incarnation == worker.incarnation) {
            let lease_until_us = self.sim.true_us(process, until);
            for key in &renew.tasks {
                if let Some(task) = worker.running.get_mut(key) {
                    task.lease_until_us = task.lease_until_us.max(lease_until_us);
                }
            }
        }
        let now_us = self.sim.now_us();
        let ended = worker.ended.iter().map(|((task, attempt), end)| EndedTask {
            task: *task,
            attempt: *attempt,
            end: end.clone(),
        });
        WorkerReport {
            worker_ms: self.sim.runtime(process).now(),
            incarnation: worker.incarnation,
            capacity: worker.capacity,
            ended: ended.collect(),
            running: worker
                .running
                .values_mut()
                .map(|task| task.report(now_us))
                .collect(),
        }
    }

    fn stop_task(&self, worker: &mut Worker, key: AttemptKey, checkpoint: bool) {
        if !checkpoint {
            self.end_attempt(worker, key, TaskEnd::Stopped(None));
        } else if let Some(task) = worker.running.get_mut(&key) {
            task.stop_at_us = task
                .stop_at_us
                .min(worker.updated_us + CHECKPOINT_DURATION_US);
        }
    }
}

impl Worker {
    /// Speed of a task in thousandths of its uncontended speed.
    fn speed_milli(&self, task: &RunningAttempt, batch_interference_milli: u64) -> u64 {
        let slowdown_from = |other: &RunningAttempt| {
            let is_batch = other.order.urgency == Urgency::Batch;
            let batch_interference_milli = if is_batch {
                batch_interference_milli
            } else {
                0
            };
            let milli = pair_slowdown_milli(&task.order.service, &other.order.service)
                + batch_interference_milli;
            milli * other.usage().cpu_milli / self.capacity.cpu_milli.max(1)
        };
        let key = (task.order.task, task.order.attempt);
        let others = self.running.iter().filter(|(other, _)| **other != key);
        let total: u64 = others.map(|(_, other)| slowdown_from(other)).sum();
        let speed = 1_000_000 / (1_000 + total);
        if task.throttled {
            speed / 4 + 1
        } else {
            speed + 1
        }
    }
}

impl RunningAttempt {
    fn work_us(&self) -> u64 {
        let work_us = self.behaviour.run_ms * 1_000;
        if self.behaviour.fails {
            FAILURE_AFTER_US
        } else {
            work_us
        }
    }

    fn next_event_us(&self, now_us: u64, speed_milli: u64) -> u64 {
        let remaining_us = self.work_us().saturating_sub(self.progress_us);
        let end_us = now_us + (remaining_us * 1_000).div_ceil(speed_milli);
        end_us.min(self.lease_until_us).min(self.stop_at_us)
    }

    fn end_at(&self, now_us: u64) -> Option<TaskEnd> {
        if self.progress_us >= self.work_us() {
            let failed = TaskEnd::Failed("exit status 1".into());
            return Some(if self.behaviour.fails {
                failed
            } else {
                TaskEnd::Completed
            });
        }
        if self.stop_at_us <= now_us {
            return Some(TaskEnd::Stopped(self.checkpoint_at(self.progress_us)));
        }
        (self.lease_until_us <= now_us)
            .then(|| TaskEnd::LeaseLapsed(self.checkpoint_at(self.checkpointed_us())))
    }

    /// Progress saved by the last checkpoint.
    fn checkpointed_us(&self) -> u64 {
        let base_ms = self
            .order
            .checkpoint
            .as_ref()
            .map_or(0, |from| from.progress_ms);
        let own_us = self.progress_us / CHECKPOINT_INTERVAL_US * CHECKPOINT_INTERVAL_US;
        own_us.max(base_ms * 1_000)
    }

    fn checkpoint_at(&self, progress_us: u64) -> Option<Checkpoint> {
        let (task, attempt) = (self.order.task, self.order.attempt);
        let progress_ms = progress_us / 1_000;
        let name = format!("{}/{}/{}/{progress_ms}", task.job, task.index, attempt.0).into();
        (self.order.resumable && progress_us > 0).then_some(Checkpoint { name, progress_ms })
    }

    fn usage(&self) -> Resources {
        let mut usage = self.order.demand;
        usage.cpu_milli = usage.cpu_milli * self.behaviour.usage_percent / 100;
        usage.memory_mb = usage.memory_mb * self.behaviour.usage_percent / 100;
        usage
    }

    fn report(&mut self, now_us: u64) -> RunningTask {
        let (since_us, progress_us) = self.window_start;
        if now_us - since_us >= SLOWDOWN_WINDOW_US {
            let slowdown_milli =
                (now_us - since_us) * 1_000 / (self.progress_us - progress_us).max(1);
            self.slowdowns_milli = [self.slowdowns_milli[1], slowdown_milli];
            self.window_start = (now_us, self.progress_us);
        }
        RunningTask {
            task: self.order.task,
            attempt: self.order.attempt,
            service: self.order.service.clone(),
            demand: self.order.demand,
            usage: self.usage(),
            progress_ms: self.progress_us / 1_000,
            checkpoint_ms: self.checkpointed_us() / 1_000,
            slowdown_milli: self.slowdowns_milli[0],
            urgency: self.order.urgency,
            resumable: self.order.resumable,
            throttled: self.throttled,
        }
    }
}

/// Additional slowdown of one service, in thousandths, by another that uses a whole worker.
fn pair_slowdown_milli(slowed: &ServiceName, cause: &ServiceName) -> u64 {
    let sum = |name: &ServiceName| name.as_str().bytes().map(u64::from).sum::<u64>();
    (sum(slowed) * 7 + sum(cause) * 31) % 500
}

impl NodePorts {
    fn call_worker<T: 'static>(
        &self,
        name: &WorkerName,
        work: impl FnOnce(&Platform, &mut Worker) -> T + 'static,
    ) -> PortFuture<'static, Result<T>> {
        let (platform, name) = (self.platform.clone(), name.clone());
        let to = platform.edit_worker(&name, |worker| worker.endpoint.clone());
        let to = to.unwrap_or_else(|| Endpoint::new(0, name.as_str(), None));
        let call = self
            .platform
            .call(&self.from, to, CALL_TIMEOUT, false, move || async move {
                platform.advance_all();
                platform.edit_worker(&name, |worker| work(&platform, worker))
            });
        Box::pin(async move { call.await?.ok_or(PortError::NotSent) })
    }
}

impl Workers for NodePorts {
    fn start(
        &self,
        _: SocketAddr,
        worker: &WorkerName,
        order: StartTask,
    ) -> PortFuture<'_, Result<StartReply>> {
        let name = worker.clone();
        self.call_worker(worker, move |platform, worker| {
            platform.start_task(worker, &name, order)
        })
    }

    fn renew(
        &self,
        _: SocketAddr,
        worker: &WorkerName,
        renew: Renew,
    ) -> PortFuture<'_, Result<WorkerReport>> {
        self.call_worker(worker, move |platform, worker| {
            platform.renew(worker, &renew)
        })
    }

    fn stop(
        &self,
        _: SocketAddr,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        checkpoint: bool,
    ) -> PortFuture<'_, Result<()>> {
        self.call_worker(worker, move |platform, worker| {
            platform.stop_task(worker, (task, attempt), checkpoint);
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
        self.call_worker(worker, move |_, worker| {
            if let Some(task) = worker.running.get_mut(&(task, attempt)) {
                task.throttled = on;
            }
        })
    }
}
