//! In-memory state of the owned racks: workers and their commitments.
//!
//! Workers and commitments are stored in slot maps. A commitment is active, and
//! holds its resources, from before the start order is sent until the worker
//! reports the end of the attempt, until it is certain that the order was not
//! carried out, or until its lease plus the clock margin has expired without a
//! renewal. A finished commitment holds no resources; it is kept only until the
//! queue owner has acknowledged its event.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use foldhash::fast::FixedState;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostState,
    job::{Attempt, TaskId, Urgency},
    name::{DataCentre, RackName, ServiceName, WorkerName},
    peer::{AttemptStatus, TaskEvent},
    resources::Resources,
    unit::{QueueIndex, Term},
    worker::{RunningTask, WorkerReport},
};
use slotmap::{SlotMap, new_key_type};

use super::clock::WorkerClock;

new_key_type! {
    /// Key of a worker.
    pub(crate) struct WorkerKey;
    /// Key of a commitment, active or finished.
    pub(crate) struct CommitmentKey;
}

/// Retention of closed attempts, so that a delayed start order is refused; exceeds the timeout
/// of any call between nodes.
const CLOSED_RETENTION_MS: Millis = Millis(60_000);

/// Task with the number of the attempt.
pub(crate) type AttemptId = (TaskId, Attempt);

/// State of an attempt as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start order is sent or about to be sent; its outcome is unknown.
    Starting,
    /// The worker confirmed the start.
    Running,
    /// The worker confirmed a stop order.
    Stopping,
    /// Over; the event is kept until the queue owner acknowledges it.
    Finished(TaskEvent),
}

/// Worker resources committed to one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Commitment {
    pub(crate) id: AttemptId,
    pub(crate) worker: WorkerKey,
    pub(crate) service: ServiceName,
    pub(crate) demand: Resources,
    pub(crate) urgency: Urgency,
    pub(crate) resumable: bool,
    /// Whether a stopped attempt may run again; unknown, and `false`, for adopted attempts.
    pub(crate) idempotent: bool,
    pub(crate) phase: Phase,
    /// Latest local time at which the worker may still consider the lease valid.
    pub(crate) lease_until_ms: MonoMs,
    /// Local time; only a report requested later proves whether the attempt runs.
    pub(crate) conclusive_after_ms: MonoMs,
    /// Incarnation of the worker when the start order was sent; 0 for adopted attempts.
    pub(crate) incarnation: u64,
    pub(crate) progress_ms: u64,
    pub(crate) checkpoint_ms: u64,
    pub(crate) slowdown_milli: u64,
    pub(crate) throttled: bool,
    /// Local time at which a stop was requested, if one was.
    pub(crate) stop_sent_ms: Option<MonoMs>,
    /// Whether the stop requests a checkpoint.
    pub(crate) stop_with_checkpoint: bool,
}

impl Commitment {
    /// Whether the attempt is not over, so that its resources are in use.
    pub(crate) fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Finished(_))
    }
}

/// Worker of an owned rack.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: WorkerName,
    pub(crate) rack: RackName,
    pub(crate) data_centre: DataCentre,
    pub(crate) address: SocketAddr,
    pub(crate) host_state: HostState,
    pub(crate) capacity: Resources,
    pub(crate) clock: Option<WorkerClock>,
    pub(crate) incarnation: u64,
    /// Local time at which the last report was received; `None` before the first one.
    pub(crate) last_report_ms: Option<MonoMs>,
    /// Whether the last call failed.
    pub(crate) unreachable: bool,
    /// Resources reserved for urgent tasks that wait for an eviction.
    pub(crate) reserved: Resources,
    /// Ended attempts that the worker may forget; sent with renewals until one succeeds.
    pub(crate) acknowledged: Vec<AttemptId>,
    pub(crate) commitments: Vec<CommitmentKey>,
}

/// Rack that this node owns.
#[derive(Clone, Debug)]
pub(crate) struct Rack {
    pub(crate) term: Term,
    pub(crate) data_centre: DataCentre,
    /// Local time at which this node acquired the rack.
    pub(crate) acquired_ms: MonoMs,
    /// Whether the data centre was out at the last check.
    pub(crate) was_out: bool,
    /// Local time of the data centre's return; set while starts ramp up.
    pub(crate) returned_ms: Option<MonoMs>,
    /// Second of the last start request during the ramp, and number of start requests in it.
    pub(crate) ramp: (MonoMs, u64),
}

/// Owned racks with their workers and commitments.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) racks: BTreeMap<RackName, Rack>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) commitments: SlotMap<CommitmentKey, Commitment>,
    pub(crate) by_attempt: HashMap<AttemptId, CommitmentKey, FixedState>,
    /// Attempts that wait for an eviction, with the worker reserved for each.
    pub(crate) awaiting_eviction: HashMap<AttemptId, (RackName, WorkerName), FixedState>,
    /// Tombstones: highest attempt of each task that was refused or is over, and the local time.
    closed: HashMap<TaskId, (Attempt, MonoMs), FixedState>,
    pub(crate) queue_terms: HashMap<QueueIndex, Term, FixedState>,
}

impl State {
    /// Resources of a worker that are committed or reserved.
    pub(crate) fn committed(&self, key: WorkerKey) -> Resources {
        let Some(worker) = self.workers.get(key) else {
            return Resources::default();
        };
        let commitments = worker.commitments.iter();
        let active = commitments
            .filter_map(|key| self.commitments.get(*key))
            .filter(|commitment| commitment.is_active());
        active.fold(worker.reserved, |sum, commitment| sum + commitment.demand)
    }

    /// Resources of a worker that are neither committed nor reserved.
    pub(crate) fn free(&self, key: WorkerKey) -> Resources {
        let capacity = self.workers.get(key).map(|worker| worker.capacity);
        let committed = self.committed(key);
        capacity.unwrap_or_default().saturating_sub(&committed)
    }

    /// Workers of a rack.
    pub(crate) fn workers_of<'a>(
        &'a self,
        rack: &'a RackName,
    ) -> impl Iterator<Item = (WorkerKey, &'a Worker)> {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.rack == *rack)
    }

    /// Active commitments of a worker.
    pub(crate) fn active_on(
        &self,
        key: WorkerKey,
    ) -> impl Iterator<Item = (CommitmentKey, &Commitment)> {
        let keys = self.workers.get(key).map(|worker| &worker.commitments);
        keys.into_iter()
            .flatten()
            .filter_map(|key| Some((*key, self.commitments.get(*key)?)))
            .filter(|(_, commitment)| commitment.is_active())
    }

    /// Active commitment of any attempt of a task.
    pub(crate) fn active_for_task(&self, task: TaskId) -> Option<&Commitment> {
        self.commitments
            .values()
            .find(|commitment| commitment.id.0 == task && commitment.is_active())
    }

    /// Adds a commitment.
    pub(crate) fn add_commitment(&mut self, commitment: Commitment) -> CommitmentKey {
        let id = commitment.id;
        let worker = commitment.worker;
        let key = self.commitments.insert(commitment);
        self.by_attempt.insert(id, key);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.commitments.push(key);
        }
        key
    }

    /// Removes a commitment and closes its attempt.
    pub(crate) fn remove(&mut self, key: CommitmentKey, now: MonoMs) -> Option<Commitment> {
        let commitment = self.commitments.remove(key)?;
        self.by_attempt.remove(&commitment.id);
        if let Some(worker) = self.workers.get_mut(commitment.worker) {
            worker.commitments.retain(|other| *other != key);
        }
        self.close(commitment.id, now);
        Some(commitment)
    }

    /// Records that this attempt and earlier ones of the task must not start here any more.
    pub(crate) fn close(&mut self, id: AttemptId, now: MonoMs) {
        let closed = self.closed.entry(id.0).or_insert((id.1, now));
        *closed = (closed.0.max(id.1), now);
    }

    /// Whether an attempt was refused or is over.
    pub(crate) fn is_closed(&self, id: AttemptId) -> bool {
        self.closed
            .get(&id.0)
            .is_some_and(|(attempt, _)| id.1 <= *attempt)
    }

    /// Drops closed attempts after their retention.
    pub(crate) fn prune_closed(&mut self, now: MonoMs) {
        self.closed
            .retain(|_, (_, at_ms)| now.since(*at_ms) < CLOSED_RETENTION_MS);
    }

    /// Marks a commitment as finished with an event; returns `false` if it was finished before.
    ///
    /// The reported end of an attempt replaces an unacknowledged loss, because the
    /// report of a worker that becomes reachable again may name a checkpoint.
    pub(crate) fn finish(&mut self, key: CommitmentKey, event: TaskEvent) -> bool {
        let Some(commitment) = self.commitments.get_mut(key) else {
            return false;
        };
        let was_active = commitment.is_active();
        let lost = matches!(commitment.phase, Phase::Finished(TaskEvent::Lost(_)));
        if was_active || (lost && matches!(event, TaskEvent::Ended(..))) {
            commitment.phase = Phase::Finished(event);
        }
        was_active
    }

    /// Drops a rack with all its workers and commitments.
    pub(crate) fn drop_rack(&mut self, rack: &RackName) {
        self.racks.remove(rack);
        let keys: Vec<WorkerKey> = self.workers_of(rack).map(|(key, _)| key).collect();
        for key in keys {
            self.drop_worker(key);
        }
        self.awaiting_eviction.retain(|_, (other, _)| other != rack);
    }

    /// Drops a worker with its commitments.
    pub(crate) fn drop_worker(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        for key in worker.commitments {
            if let Some(commitment) = self.commitments.remove(key) {
                self.by_attempt.remove(&commitment.id);
            }
        }
    }

    /// Whether every worker of a rack has reported since the failover, or all leases granted by
    /// the previous owner have expired.
    pub(crate) fn is_failover_complete(&self, rack: &RackName, now: MonoMs, lease: Millis) -> bool {
        let Some(owned) = self.racks.get(rack) else {
            return false;
        };
        let leases_expired = now.since(owned.acquired_ms) > lease.with_clock_margin();
        leases_expired
            || self
                .workers_of(rack)
                .all(|(_, w)| w.last_report_ms.is_some())
    }

    /// Known attempts of a queue in a rack.
    pub(crate) fn attempt_statuses(
        &self,
        rack: &RackName,
        queue: QueueIndex,
    ) -> Vec<AttemptStatus> {
        let mut tasks = Vec::new();
        for (_, worker) in self.workers_of(rack) {
            let keys = worker.commitments.iter();
            for commitment in keys.filter_map(|key| self.commitments.get(*key)) {
                tasks.push(attempt_status(commitment, &worker.name));
            }
        }
        for (id, (in_rack, worker)) in &self.awaiting_eviction {
            if in_rack == rack {
                let event = TaskEvent::Running(worker.clone());
                let (task, attempt) = *id;
                tasks.push(AttemptStatus {
                    task,
                    attempt,
                    event,
                });
            }
        }
        tasks.retain(|status| status.task.job.queue == queue);
        tasks
    }

    /// Applies a worker's report and returns the commitments that it finishes.
    ///
    /// An attempt missing from the report counts as not started or lost only if
    /// the report was requested after the response to the start order, or after
    /// the last time at which the worker could have accepted the order. This also
    /// holds for a restarted worker: the order may have reached the new process
    /// after its report.
    pub(crate) fn apply_report(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        (requested_ms, received_ms): (MonoMs, MonoMs),
        lease: Millis,
    ) -> Vec<CommitmentKey> {
        let Some(worker) = self.workers.get_mut(key) else {
            return Vec::new();
        };
        let stale = worker
            .clock
            .is_some_and(|clock| clock.stamp_ms > report.worker_ms);
        if stale && worker.incarnation == report.incarnation {
            return Vec::new();
        }
        worker.incarnation = report.incarnation;
        worker.capacity = report.capacity;
        worker.last_report_ms = Some(received_ms);
        worker.unreachable = false;
        worker.clock = Some(WorkerClock {
            stamp_ms: report.worker_ms,
            received_ms,
        });
        let name = worker.name.clone();
        for running in &report.running {
            self.adopt_running(key, running, received_ms + lease.with_clock_margin());
        }
        let mut finished = Vec::new();
        for ended in &report.ended {
            let event = TaskEvent::Ended(name.clone(), ended.end.clone());
            finished.extend(self.adopt_ended(key, (ended.task, ended.attempt), event));
        }
        finished.extend(self.finish_missing(key, report, requested_ms, &name));
        finished
    }

    fn adopt_running(&mut self, worker: WorkerKey, running: &RunningTask, lease_until_ms: MonoMs) {
        let id = (running.task, running.attempt);
        let key = match self.by_attempt.get(&id) {
            Some(key) => *key,
            None => self.add_commitment(adopted_commitment(worker, running, lease_until_ms)),
        };
        let Some(commitment) = self.commitments.get_mut(key) else {
            return;
        };
        if commitment.phase == Phase::Starting {
            commitment.phase = Phase::Running;
        }
        commitment.progress_ms = running.progress_ms;
        commitment.checkpoint_ms = running.checkpoint_ms;
        commitment.slowdown_milli = running.slowdown_milli;
        commitment.throttled = running.throttled;
    }

    /// Applies the reported end of an attempt; returns the commitment if its event is new.
    ///
    /// The end of an attempt that was declared lost is delivered to the queue owner
    /// like any other, because it may name a checkpoint.
    fn adopt_ended(
        &mut self,
        worker: WorkerKey,
        id: AttemptId,
        event: TaskEvent,
    ) -> Option<CommitmentKey> {
        if let Some(key) = self.by_attempt.get(&id).copied() {
            return self.finish(key, event).then_some(key);
        }
        let known = self.workers.get(worker)?;
        if known.acknowledged.contains(&id) {
            return None;
        }
        Some(self.add_commitment(ended_commitment(worker, id, event)))
    }

    fn finish_missing(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        requested_ms: MonoMs,
        name: &WorkerName,
    ) -> Vec<CommitmentKey> {
        let reported = |id: &AttemptId| {
            let mut running = report.running.iter();
            running.any(|task| (task.task, task.attempt) == *id)
        };
        let missing: Vec<(CommitmentKey, bool)> = self
            .active_on(key)
            .filter(|(_, commitment)| !reported(&commitment.id))
            .filter(|(_, c)| requested_ms > c.conclusive_after_ms)
            .map(|(key, c)| {
                let same_incarnation = c.incarnation == report.incarnation;
                (key, c.phase == Phase::Starting && same_incarnation)
            })
            .collect();
        for (key, never_started) in &missing {
            let event = match never_started {
                true => TaskEvent::NotStarted,
                false => TaskEvent::Lost(name.clone()),
            };
            self.finish(*key, event);
        }
        missing.into_iter().map(|(key, _)| key).collect()
    }
}

/// Status of an attempt as sent to other nodes.
pub(crate) fn attempt_status(commitment: &Commitment, worker: &WorkerName) -> AttemptStatus {
    let event = match &commitment.phase {
        Phase::Finished(event) => event.clone(),
        _ => TaskEvent::Running(worker.clone()),
    };
    AttemptStatus {
        task: commitment.id.0,
        attempt: commitment.id.1,
        event,
    }
}

fn adopted_commitment(
    worker: WorkerKey,
    running: &RunningTask,
    lease_until_ms: MonoMs,
) -> Commitment {
    Commitment {
        id: (running.task, running.attempt),
        worker,
        service: running.service.clone(),
        demand: running.demand,
        urgency: running.urgency,
        resumable: running.resumable,
        idempotent: false,
        phase: Phase::Running,
        lease_until_ms,
        conclusive_after_ms: MonoMs(0),
        incarnation: 0,
        progress_ms: running.progress_ms,
        checkpoint_ms: running.checkpoint_ms,
        slowdown_milli: running.slowdown_milli,
        throttled: running.throttled,
        stop_sent_ms: None,
        stop_with_checkpoint: false,
    }
}

fn ended_commitment(worker: WorkerKey, id: AttemptId, event: TaskEvent) -> Commitment {
    Commitment {
        id,
        worker,
        service: unknown_service(),
        demand: Resources::default(),
        urgency: Urgency::Normal,
        resumable: false,
        idempotent: false,
        phase: Phase::Finished(event),
        lease_until_ms: MonoMs(0),
        conclusive_after_ms: MonoMs(0),
        incarnation: 0,
        progress_ms: 0,
        checkpoint_ms: 0,
        slowdown_milli: 0,
        throttled: false,
        stop_sent_ms: None,
        stop_with_checkpoint: false,
    }
}

/// Placeholder for the service of an attempt that an earlier owner started; the report of its end
/// does not name the service.
fn unknown_service() -> ServiceName {
    ServiceName::try_from("unknown").expect("constant is a valid name")
}
