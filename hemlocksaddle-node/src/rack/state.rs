//! Commitments of the workers whose racks this node owns.
//!
//! Workers and commitments live in arenas. A commitment holds its resources from
//! before the start order is sent until the worker reports its end, until it is
//! certain that the order was not carried out, or until its lease plus margin has
//! passed without a renewal. A finished commitment holds nothing; it stays only
//! until the queue owner has acknowledged its end.

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
    peer::{KnownTask, TaskEvent},
    resources::Resources,
    unit::{QueueIndex, Term},
    worker::{RunningTask, WorkerReport},
};
use slotmap::{SlotMap, new_key_type};

use super::clock::WorkerClock;

new_key_type! {
    /// Worker of an owned rack.
    pub(crate) struct WorkerKey;
    /// Attempt that holds or held resources.
    pub(crate) struct CommitmentKey;
}

/// Time for which refused and ended attempts are remembered, so that an order
/// that arrives late is refused; longer than any call between nodes.
const CLOSED_RETENTION_MS: Millis = Millis(60_000);

/// Attempt of a task.
pub(crate) type AttemptId = (TaskId, Attempt);

/// What is known of an attempt on its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Start order sent, or about to be; outcome unknown.
    Starting,
    /// Worker confirmed the start.
    Running,
    /// Stop was ordered.
    Stopping,
    /// Over; the event waits for the queue owner's acknowledgement.
    Finished(TaskEvent),
}

/// Resources of a worker that are held for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Commitment {
    pub(crate) id: AttemptId,
    pub(crate) worker: WorkerKey,
    pub(crate) service: ServiceName,
    pub(crate) demand: Resources,
    pub(crate) urgency: Urgency,
    pub(crate) resumable: bool,
    /// Whether a stopped attempt may run again; not known of adopted attempts.
    pub(crate) idempotent: bool,
    pub(crate) phase: Phase,
    /// Own time until which the attempt may hold a lease.
    pub(crate) lease_until_ms: MonoMs,
    /// Own time from which on a report that is asked for shows whether the attempt runs.
    pub(crate) conclusive_after_ms: MonoMs,
    /// Worker's incarnation when the order was sent.
    pub(crate) incarnation: u64,
    pub(crate) progress_ms: u64,
    pub(crate) checkpoint_ms: u64,
    pub(crate) slowdown_milli: u64,
    pub(crate) throttled: bool,
    /// Time at which a stop was last ordered.
    pub(crate) stop_sent_ms: Option<MonoMs>,
    /// Whether the stop shall make a checkpoint.
    pub(crate) stop_with_checkpoint: bool,
}

impl Commitment {
    /// Whether resources are held.
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
    /// Time at which the last report was received; `None` until the first one.
    pub(crate) last_report_ms: Option<MonoMs>,
    /// Whether the last call failed.
    pub(crate) unreachable: bool,
    /// Resources that are kept free for urgent work that waits for an eviction.
    pub(crate) reserved: Resources,
    pub(crate) acknowledged: Vec<AttemptId>,
    pub(crate) commitments: Vec<CommitmentKey>,
}

/// Rack that this node owns.
#[derive(Clone, Debug)]
pub(crate) struct Rack {
    pub(crate) term: Term,
    pub(crate) data_centre: DataCentre,
    /// Time at which this node took the rack over.
    pub(crate) acquired_ms: MonoMs,
    /// Whether the data centre was out when last looked at.
    pub(crate) was_out: bool,
    /// Time of the data centre's return while starts ramp up.
    pub(crate) returned_ms: Option<MonoMs>,
    /// Second of the last start during the ramp, and starts in it.
    pub(crate) ramp: (MonoMs, u64),
}

/// Workers, commitments and racks.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) racks: BTreeMap<RackName, Rack>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) commitments: SlotMap<CommitmentKey, Commitment>,
    pub(crate) by_attempt: HashMap<AttemptId, CommitmentKey, FixedState>,
    /// Orders that wait for an eviction on a worker.
    pub(crate) awaiting_eviction: HashMap<AttemptId, (RackName, WorkerName), FixedState>,
    /// Highest attempt of a task that was refused or is over.
    closed: HashMap<TaskId, (Attempt, MonoMs), FixedState>,
    pub(crate) queue_terms: HashMap<QueueIndex, Term, FixedState>,
}

impl State {
    /// What a worker's attempts hold, reservations included.
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

    /// What a worker has free.
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

    /// Commitments of a worker that hold resources.
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

    /// Commitment of any attempt of a task that holds resources.
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

    /// Removes a commitment, and remembers its attempt as closed.
    pub(crate) fn remove(&mut self, key: CommitmentKey, now: MonoMs) -> Option<Commitment> {
        let commitment = self.commitments.remove(key)?;
        self.by_attempt.remove(&commitment.id);
        if let Some(worker) = self.workers.get_mut(commitment.worker) {
            worker.commitments.retain(|other| *other != key);
        }
        self.close(commitment.id, now);
        Some(commitment)
    }

    /// Notes that an attempt must not start here any more.
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

    /// Forgets closed attempts after a while.
    pub(crate) fn prune_closed(&mut self, now: MonoMs) {
        self.closed
            .retain(|_, (_, at_ms)| now.since(*at_ms) < CLOSED_RETENTION_MS);
    }

    /// Marks a commitment as over with its event; `false` if it was over before.
    ///
    /// A worker that comes back replaces a loss that is not acknowledged yet by
    /// its report, because the report may name a checkpoint.
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

    /// Whether the state of every worker of a rack is known, or nothing unknown can run any more.
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

    /// Attempts of a queue in a rack, as far as known.
    pub(crate) fn attempt_statuses(&self, rack: &RackName, queue: QueueIndex) -> Vec<KnownTask> {
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
                tasks.push(KnownTask {
                    task,
                    attempt,
                    event,
                });
            }
        }
        tasks.retain(|status| status.task.job.queue == queue);
        tasks
    }

    /// Takes a worker's report over and returns the commitments that are over because of it.
    ///
    /// An attempt that is missing counts as not started or lost only if the
    /// report was asked for after the start order was answered, or after the
    /// last time at which the worker could have taken it. This holds for a
    /// worker that has restarted too: the order may have reached the new process
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

    /// Takes over a report of an end; returns the commitment if its event is new.
    ///
    /// The end of an attempt that was taken for lost is reported to the queue's
    /// owner like any other, because it may name a checkpoint.
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
                let same_process = c.incarnation == report.incarnation;
                (key, c.phase == Phase::Starting && same_process)
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

/// Attempt as other nodes see it.
pub(crate) fn attempt_status(commitment: &Commitment, worker: &WorkerName) -> KnownTask {
    let event = match &commitment.phase {
        Phase::Finished(event) => event.clone(),
        _ => TaskEvent::Running(worker.clone()),
    };
    KnownTask {
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

/// Service of an ended attempt that an earlier owner started; it is not in the report.
fn unknown_service() -> ServiceName {
    ServiceName::try_from("unknown").expect("constant is a valid name")
}
