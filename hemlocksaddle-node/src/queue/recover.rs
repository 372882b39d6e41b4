//! Take-over of a queue, and the search for attempts of unknown state.
//!
//! Earlier work starts only when every rack has answered from a settled state, or
//! when the leases of everything that an earlier owner started have passed. An
//! attempt that a settled rack does not list, asked long enough after the order
//! was sent, is lost: the rack knows all that its workers run.

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
    state::{Jobs, LivePhase},
};

/// Pause between two rounds of questions while attempts are in doubt.
const ROUND_MS: Millis = Millis(500);
/// Interval of the comparison with the racks when nothing is in doubt.
const COMPARE_MS: Millis = Millis(60_000);
/// Longest wait for a node's answer.
const ANSWER_MS: Millis = Millis(1_500);
/// Time after an order, past which it cannot arrive any more: the wait for its
/// answer plus the silence after which a connection is replaced.
const ORDER_GONE_MS: Millis = Millis(7_000);

/// Answers of one round: per rack whether it is settled, and what it knows.
type Round = BTreeMap<RackName, (bool, Vec<AttemptStatus>)>;

/// Owners of all racks.
type Owners = BTreeMap<RackName, Option<NodeName>>;

impl Queues {
    /// Runs a queue from take-over until it is closed.
    pub(super) async fn run(self: Rc<Self>, queue: Rc<Queue>) {
        let stream = Stream::Queue(queue.index);
        let Ok(records) = self.core.journal.open(stream, queue.term).await else {
            return;
        };
        if queue.stage.get() == Stage::Closed {
            return;
        }
        if let Some(guard) = &*self.guard.borrow() {
            guard.reset(queue.index, queue.term);
            for record in &records {
                guard.apply(queue.index, record);
            }
            guard.finish_replay(queue.index);
        }
        *queue.jobs.borrow_mut() = Jobs::replay(&records);
        self.mark_finished(&queue);
        queue.stage.set(Stage::Settling);
        let (queues, settled) = (self.clone(), queue.clone());
        self.spawn(async move { queues.look_for_attempts(&settled).await });
        let (queues, kept) = (self.clone(), queue.clone());
        self.spawn(async move { queues.keep_up(&kept).await });
        self.dispatch(&queue).await;
    }

    /// Dates the results of earlier owners, so that they are forgotten in time.
    fn mark_finished(&self, queue: &Queue) {
        let now = self.now();
        for job in queue.jobs.borrow_mut().jobs.values_mut() {
            if job.result.is_some() {
                job.finished_ms = Some(now);
            }
        }
    }

    async fn look_for_attempts(self: Rc<Self>, queue: &Rc<Queue>) {
        let mut compared_ms = self.now();
        let mut owners = Owners::new();
        while queue.stage.get() != Stage::Closed && self.running.get() {
            self.core.ports.runtime.sleep(ROUND_MS).await;
            let now_owners = self.rack_owners();
            let moved = now_owners != owners;
            let due = self.now().since(compared_ms) >= COMPARE_MS;
            let settling = queue.stage.get() == Stage::Settling;
            if !(settling || queue.doubtful.get() || moved || due) || !self.may_act(queue) {
                continue;
            }
            if moved {
                self.doubt_moved(queue, &owners, &now_owners);
                owners = now_owners;
            }
            compared_ms = self.now();
            let round = self.ask_all(queue).await;
            self.compare(queue, &round, compared_ms).await;
            if settling && self.is_settled(queue, &round) {
                self.settled(queue);
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

    fn rack_owners(&self) -> Owners {
        let owner = |rack: RackName| {
            let unit = hemlocksaddle_types::unit::Unit::Rack(rack.clone());
            (rack, self.core.ownership.owner(&unit))
        };
        self.known_racks().into_iter().map(owner).collect()
    }

    /// Puts attempts in doubt whose rack has another owner, until that owner has listed them.
    fn doubt_moved(&self, queue: &Queue, before: &Owners, after: &Owners) {
        let moved = |rack: &RackName| before.get(rack) != after.get(rack);
        let mut jobs = queue.jobs.borrow_mut();
        let live = jobs.jobs.values_mut().flat_map(|job| job.live.values_mut());
        for live in live {
            if live.phase == LivePhase::Running && live.rack.as_ref().is_some_and(moved) {
                live.phase = LivePhase::Unknown;
            }
        }
        queue.doubtful.set(true);
    }

    /// Asks all nodes for the queue's attempts.
    async fn ask_all(&self, queue: &Queue) -> Round {
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
            self.core.calls.call(node, request, ANSWER_MS)
        });
        let mut round = Round::new();
        for reply in futures_util::future::join_all(calls).await {
            if let Ok(Response::Tasks(racks)) = reply {
                for (rack, settled, tasks) in racks {
                    round.insert(rack, (settled, tasks));
                }
            }
        }
        round
    }

    /// Whether all that an earlier owner may have started is known or over.
    fn is_settled(&self, queue: &Queue, round: &Round) -> bool {
        let timing = &self.core.settings.timing;
        let wait = (timing.lease_ms + timing.right_valid_ms).with_clock_margin();
        if self.now().since(queue.taken_ms) > wait {
            return true;
        }
        let racks = self.known_racks();
        let answered = |rack: &RackName| round.get(rack).is_some_and(|(settled, _)| *settled);
        !racks.is_empty() && racks.iter().all(answered)
    }

    /// Releases earlier work for starts.
    fn settled(&self, queue: &Rc<Queue>) {
        queue.stage.set(Stage::Settled);
        let ids: Vec<_> = queue.jobs.borrow().jobs.keys().copied().collect();
        for id in ids {
            queue.jobs.borrow_mut().update_waiting(id);
            self.stop_live(queue, id);
            self.conclude_if_over(queue, id);
        }
        queue.work.notify();
    }

    /// Applies what the racks know, and finds attempts that are lost.
    async fn compare(&self, queue: &Rc<Queue>, round: &Round, asked_ms: MonoMs) {
        let mut listed = BTreeSet::new();
        for (rack, (_, tasks)) in round {
            for known in tasks {
                listed.insert((known.task, known.attempt));
                self.take_known(queue, rack, known).await;
            }
        }
        let missing = self.missing(queue, round, &listed, asked_ms);
        for known in missing {
            self.settle(queue, &known).await;
        }
        let jobs = queue.jobs.borrow();
        let mut live = jobs.jobs.values().flat_map(|job| job.live.values());
        let doubtful = live.any(|live| live.phase == LivePhase::Unknown);
        queue.doubtful.set(doubtful);
    }

    async fn take_known(&self, queue: &Rc<Queue>, rack: &RackName, known: &AttemptStatus) {
        self.take_event(known.clone()).await;
        let mut jobs = queue.jobs.borrow_mut();
        let job = jobs.jobs.get_mut(&known.task.job);
        let live = job.and_then(|job| job.live.get_mut(&known.task.index));
        if let Some(live) = live.filter(|live| live.attempt == known.attempt) {
            live.rack = Some(rack.clone());
        }
    }

    /// Attempts that should be on a settled rack and are not.
    fn missing(
        &self,
        queue: &Queue,
        round: &Round,
        listed: &BTreeSet<(TaskId, Attempt)>,
        asked_ms: MonoMs,
    ) -> Vec<AttemptStatus> {
        let racks = self.known_racks();
        let all_settled = racks
            .iter()
            .all(|rack| round.get(rack).is_some_and(|r| r.0));
        let jobs = queue.jobs.borrow();
        let mut missing = Vec::new();
        for job in jobs.jobs.values() {
            for (index, live) in &job.live {
                let task = TaskId {
                    job: job.id,
                    index: *index,
                };
                let gone = match &live.rack {
                    Some(rack) if racks.contains(rack) => round.get(rack).is_some_and(|r| r.0),
                    _ => all_settled,
                };
                let old = asked_ms.since(live.since_ms) > ORDER_GONE_MS;
                let settled = live.phase != LivePhase::Placing && !live.settling;
                if gone && old && settled && !listed.contains(&(task, live.attempt)) {
                    missing.push(lost(task, live.attempt, live.worker.clone()));
                }
            }
        }
        missing
    }
}

fn lost(task: TaskId, attempt: Attempt, worker: Option<WorkerName>) -> AttemptStatus {
    let unknown = || WorkerName::try_from("unknown").expect("constant is a valid name");
    AttemptStatus {
        task,
        attempt,
        event: TaskEvent::Lost(worker.unwrap_or_else(unknown)),
    }
}
