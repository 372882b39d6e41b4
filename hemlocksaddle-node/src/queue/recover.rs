//! Recovery of a queue by its new owner, and reconciliation of attempts with racks.
//!
//! Jobs of earlier owners start only when every rack has reported with its failover
//! complete, or when the leases of everything that an earlier owner started have
//! expired. After its failover a rack knows everything that its workers run, so an
//! attempt that it does not list is lost, provided that the report was requested
//! long enough after the placement request.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostRole,
    job::{Attempt, TaskId},
    name::{NodeName, RackName, WorkerName},
    peer::{AttemptStatus, Request, Response, TaskEvent},
    record::Stream,
};

use super::{
    Queue, Queues, Stage,
    state::{AttemptPhase, Jobs},
};

/// Interval of reconciliation while it is needed, and of the check whether it is.
const RECONCILE_RETRY_MS: Millis = Millis(500);
/// Interval of reconciliation when nothing requires it.
const RECONCILE_INTERVAL_MS: Millis = Millis(60_000);
/// Timeout of a request for a node's attempts.
const REPLY_TIMEOUT_MS: Millis = Millis(1_500);
/// Time after which a placement request can no longer arrive: its timeout plus
/// the silence after which a connection is replaced.
const MAX_PLACEMENT_DELAY_MS: Millis = Millis(7_000);

/// Reports of one reconciliation: per rack whether its failover is complete, and its attempts.
type RackReports = BTreeMap<RackName, (bool, Vec<AttemptStatus>)>;

/// Owner of each rack in the host list.
type RackOwners = BTreeMap<RackName, Option<NodeName>>;

impl Queues {
    /// Recovers a queue and runs it until it is closed.
    pub(super) async fn run(self: Rc<Self>, queue: Rc<Queue>) {
        let stream = Stream::Queue(queue.index);
        let Ok(records) = self.core.journal.open(stream, queue.term).await else {
            return;
        };
        if queue.stage.get() == Stage::Closed {
            return;
        }
        if let Some(idempotency) = &*self.idempotency.borrow() {
            idempotency.reset(queue.index, queue.term);
            for record in &records {
                idempotency.apply(queue.index, record);
            }
            idempotency.finish_replay(queue.index);
        }
        *queue.jobs.borrow_mut() = Jobs::replay(&records);
        self.mark_finished(&queue);
        queue.stage.set(Stage::Reconciling);
        let (queues, reconciled_queue) = (self.clone(), queue.clone());
        self.spawn(async move { queues.run_reconciliation(&reconciled_queue).await });
        let (queues, maintained_queue) = (self.clone(), queue.clone());
        self.spawn(async move { queues.maintain(&maintained_queue).await });
        self.dispatch(&queue).await;
    }

    /// Sets the finish time of jobs that ended under earlier owners, so that they expire.
    fn mark_finished(&self, queue: &Queue) {
        let now = self.now();
        for job in queue.jobs.borrow_mut().jobs.values_mut() {
            if job.result.is_some() {
                job.finished_ms = Some(now);
            }
        }
    }

    async fn run_reconciliation(self: Rc<Self>, queue: &Rc<Queue>) {
        let mut reconciled_ms = self.now();
        let mut owners = RackOwners::new();
        while queue.stage.get() != Stage::Closed && self.running.get() {
            self.core.ports.runtime.sleep(RECONCILE_RETRY_MS).await;
            let current_owners = self.rack_owners();
            let moved = current_owners != owners;
            let due = self.now().since(reconciled_ms) >= RECONCILE_INTERVAL_MS;
            let reconciling = queue.stage.get() == Stage::Reconciling;
            if !(reconciling || queue.needs_reconciliation.get() || moved || due)
                || !self.holds_lease(queue)
            {
                continue;
            }
            if moved {
                self.mark_moved_unknown(queue, &owners, &current_owners);
                owners = current_owners;
            }
            reconciled_ms = self.now();
            let reports = self.fetch_reports(queue).await;
            self.reconcile(queue, &reports, reconciled_ms).await;
            if reconciling && self.is_reconciled(queue, &reports) {
                self.finish_reconciling(queue);
            }
        }
    }

    fn known_racks(&self) -> BTreeSet<RackName> {
        let hosts = self.core.configuration.hosts();
        let racks = hosts.hosts.iter().filter_map(|host| match &host.role {
            HostRole::Worker { rack, .. } => Some(rack.clone()),
            _ => None,
        });
        racks.collect()
    }

    fn rack_owners(&self) -> RackOwners {
        let owner = |rack: RackName| {
            let unit = hemlocksaddle_types::unit::Unit::Rack(rack.clone());
            (rack, self.core.ownership.owner(&unit))
        };
        self.known_racks().into_iter().map(owner).collect()
    }

    /// Marks running attempts on racks with a new owner as unknown until that owner reports them.
    fn mark_moved_unknown(&self, queue: &Queue, before: &RackOwners, after: &RackOwners) {
        let moved = |rack: &RackName| before.get(rack) != after.get(rack);
        let mut jobs = queue.jobs.borrow_mut();
        let live = jobs.jobs.values_mut().flat_map(|job| job.live.values_mut());
        for live in live {
            if live.phase == AttemptPhase::Running && live.rack.as_ref().is_some_and(moved) {
                live.phase = AttemptPhase::Unknown;
            }
        }
        queue.needs_reconciliation.set(true);
    }

    /// Requests the attempts of the queue from all nodes.
    async fn fetch_reports(&self, queue: &Queue) -> RackReports {
        let own = self.core.settings.node.clone();
        let mut nodes: Vec<NodeName> = self
            .core
            .calls
            .peers()
            .into_iter()
            .map(|p| p.node)
            .collect();
        nodes.push(own);
        let calls = nodes.iter().map(|node| {
            let request = Request::TasksOf(queue.index);
            self.core.calls.call(node, request, REPLY_TIMEOUT_MS)
        });
        let mut reports = RackReports::new();
        for reply in futures_util::future::join_all(calls).await {
            if let Ok(Response::Tasks(racks)) = reply {
                for (rack, failover_complete, tasks) in racks {
                    reports.insert(rack, (failover_complete, tasks));
                }
            }
        }
        reports
    }

    /// Whether every attempt that an earlier owner may have started is known or over.
    fn is_reconciled(&self, queue: &Queue, reports: &RackReports) -> bool {
        let timing = &self.core.settings.timing;
        let wait = (timing.lease_ms + timing.right_valid_ms).with_clock_margin();
        if self.now().since(queue.acquired_ms) > wait {
            return true;
        }
        let racks = self.known_racks();
        let answered = |rack: &RackName| {
            reports
                .get(rack)
                .is_some_and(|(failover_complete, _)| *failover_complete)
        };
        !racks.is_empty() && racks.iter().all(answered)
    }

    /// Allows jobs of earlier owners to start, and stops or finishes those that are ending.
    fn finish_reconciling(&self, queue: &Rc<Queue>) {
        queue.stage.set(Stage::Reconciled);
        let ids: Vec<_> = queue.jobs.borrow().jobs.keys().copied().collect();
        for id in ids {
            queue.jobs.borrow_mut().update_waiting(id);
            self.stop_attempts(queue, id);
            self.finish_if_done(queue, id);
        }
        queue.dispatch_signal.notify();
    }

    /// Applies the reports of the racks and ends the attempts that are lost.
    async fn reconcile(&self, queue: &Rc<Queue>, reports: &RackReports, requested_ms: MonoMs) {
        let mut listed = BTreeSet::new();
        for (rack, (_, tasks)) in reports {
            for status in tasks {
                listed.insert((status.task, status.attempt));
                self.apply_status(queue, rack, status).await;
            }
        }
        let lost = self.lost_attempts(queue, reports, &listed, requested_ms);
        for status in lost {
            self.commit_event(queue, &status).await;
        }
        let jobs = queue.jobs.borrow();
        let mut live = jobs.jobs.values().flat_map(|job| job.live.values());
        let needs_reconciliation = live.any(|live| live.phase == AttemptPhase::Unknown);
        queue.needs_reconciliation.set(needs_reconciliation);
    }

    async fn apply_status(&self, queue: &Rc<Queue>, rack: &RackName, status: &AttemptStatus) {
        self.handle_event(status.clone()).await;
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get_mut(&status.task.job);
        let live = job.and_then(|job| job.live.get_mut(&status.task.index));
        if let Some(live) = live.filter(|live| live.attempt == status.attempt) {
            live.rack = Some(rack.clone());
        }
    }

    /// Attempts that should be on a rack but are missing from its complete report.
    fn lost_attempts(
        &self,
        queue: &Queue,
        reports: &RackReports,
        listed: &BTreeSet<(TaskId, Attempt)>,
        requested_ms: MonoMs,
    ) -> Vec<AttemptStatus> {
        let racks = self.known_racks();
        let all_complete = racks
            .iter()
            .all(|rack| reports.get(rack).is_some_and(|r| r.0));
        let jobs = queue.jobs.borrow();
        let mut lost = Vec::new();
        for job in jobs.jobs.values() {
            for (index, live) in &job.live {
                let task = TaskId {
                    job: job.id,
                    index: *index,
                };
                let report_complete = match &live.rack {
                    Some(rack) if racks.contains(rack) => reports.get(rack).is_some_and(|r| r.0),
                    _ => all_complete,
                };
                let placement_expired =
                    requested_ms.since(live.updated_ms) > MAX_PLACEMENT_DELAY_MS;
                let stable = live.phase != AttemptPhase::Placing && !live.committing;
                if report_complete
                    && placement_expired
                    && stable
                    && !listed.contains(&(task, live.attempt))
                {
                    lost.push(lost_status(task, live.attempt, live.worker.clone()));
                }
            }
        }
        lost
    }
}

fn lost_status(task: TaskId, attempt: Attempt, worker: Option<WorkerName>) -> AttemptStatus {
    let unknown = || WorkerName::try_from("unknown").expect("constant is a valid name");
    AttemptStatus {
        task,
        attempt,
        event: TaskEvent::Lost(worker.unwrap_or_else(unknown)),
    }
}
