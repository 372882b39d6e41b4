//! Owner of a shard: schedules its workflows for one term.
//!
//! One asynchronous task follows each stream and one polls each worker. Others renew the
//! claim, plan, store submissions and save progress. All of them end when the owner steps
//! down.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_node::wait::{Signal, within};
use hemlocksaddle_policy::{
    catch_up::{CatchUp, Next},
    congestion::{LatencyEstimate, StartWindow},
    plan_interval::{MAX_PLAN_INTERVAL_MS, PlanInterval},
    take_over::{AppendAttempts, ClockReading, MAX_WAIT_FOR_SUCCESSOR_MS, renew_interval},
    unreached::LeaseGate,
    workflow::{Limits, Listing, Scheduler, WorkerKey},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
    workflow::{ShardRequest, ShardResponse, WorkflowId},
};
use serde_json::json;
use std::sync::Arc;

use crate::{
    admission::Admission,
    cap_shares::CapShares,
    claims::{Claims, Handover},
    configuration::Configuration,
    dispatcher::Dispatcher,
    event::Event,
    group_commit::PendingSubmission,
    leases::AwaitedLog,
    links::Links,
    node::Env,
    ports::{Record, StoreError, Stream},
    recovery::Origin,
    recovery_watch::RecoveryWaits,
    retries::SharedAttempts,
    tenants::{FreshRead, Storing},
    worker_calls::WorkerCalls,
    worker_poll::WorkerClock,
};

/// Pause after a failed call to the store.
pub(crate) const RETRY_MS: Millis = Millis(100);

/// Longest time that one read of the submissions waits for new records.
const READ_WAIT_MS: Millis = Millis(1_000);

/// Maximum age of the latest read of the submissions; if it is older, a workflow that this owner
/// does not know may still exist.
const MAX_READ_AGE_MS: Millis = Millis(2_000);

/// Interval at which the workers' records are read.
const WORKERS_INTERVAL_MS: Millis = Millis(400);

/// Interval at which delegates are chosen.
const CHOOSE_DELEGATES_INTERVAL_MS: Millis = Millis(250);

/// Owner of a shard in one term.
pub(crate) struct Owner {
    pub(crate) env: Rc<Env>,
    pub(crate) claims: Rc<Claims>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) shard: u32,
    pub(crate) shards: u32,
    pub(crate) term: u64,
    pub(crate) scheduler: RefCell<Scheduler>,
    pub(crate) clocks: RefCell<HashMap<WorkerKey, WorkerClock>>,
    /// Latency of the workers' answers.
    pub(crate) latency: Cell<LatencyEstimate>,
    /// Limit of the start orders in flight.
    pub(crate) start_window: Cell<StartWindow>,
    listings: RefCell<HashMap<Arc<str>, Listing>>,
    /// Signals a change that may affect the plan.
    pub(crate) changed: Signal,
    /// Signals that progress became durable.
    pub(crate) saved: Signal,
    pub(crate) ended: Cell<bool>,
    /// Signals that ownership has ended, to tasks that wait for events of others.
    pub(crate) deposed: Signal,
    pub(crate) ready: Cell<bool>,
    /// Sending from which the ownership lease runs.
    pub(crate) ownership_lease_from: Cell<Option<ClockReading>>,
    /// Workers to which leases may be granted.
    pub(crate) lease_gate: RefCell<LeaseGate>,
    /// Log of the wait for first reports.
    pub(crate) awaited_log: Cell<AwaitedLog>,
    /// Signals that leases may be granted to more workers.
    pub(crate) leases_released: Signal,
    claim_sequence: Cell<u64>,
    pub(crate) progress_sequence: Cell<u64>,
    /// Keys of the further parts in which the progress of workflows is stored.
    pub(crate) stored_parts: RefCell<HashMap<WorkflowId, Vec<Arc<str>>>>,
    /// Number of generations of further parts that this owner has written.
    pub(crate) generations: Cell<u32>,
    /// Keys of records in the submissions that name a tenant, or are not of the workflow's tenant.
    pub(crate) tenant_keys: RefCell<HashMap<WorkflowId, Vec<Arc<str>>>>,
    /// Submissions that are being stored.
    pub(crate) storing: Storing,
    pub(crate) attempts: SharedAttempts,
    pub(crate) fresh_read: FreshRead,
    pub(crate) admission: Admission,
    pub(crate) submissions_read_at: Cell<MonoMs>,
    /// Offset of the submissions up to which no fence of a later term was met.
    pub(crate) submissions_read_to: Cell<u64>,
    pub(crate) interference_due: Cell<bool>,
    /// Time at which tasks that have waited long were last reported.
    pub(crate) waiting_reported_at: Cell<MonoMs>,
    handover: RefCell<Option<Handover>>,
    /// Signals a change of what the claim says.
    pub(crate) claim_changed: Signal,
    pub(crate) cap_shares: CapShares,
    pub(crate) recovery: RecoveryWaits,
    pub(crate) pending_submissions: RefCell<Vec<PendingSubmission>>,
    pub(crate) pending_changed: Signal,
    pub(crate) worker_calls: WorkerCalls,
}

impl Owner {
    pub(crate) fn new(
        env: Rc<Env>,
        claims: Rc<Claims>,
        configuration: Rc<Configuration>,
        links: Rc<Links>,
        shard: u32,
        term: u64,
    ) -> Rc<Owner> {
        let now = env.now();
        let claim_sequence = Cell::new(claims.first_sequence() + 1);
        let ownership_lease_from = Cell::new(claims.claim_sent_at(shard, term));
        let shards = claims.layout().map_or(1, |layout| layout.shards);
        let failover_complete_at = claims.earlier_leases_expired_at(shard, term);
        let limits = Limits {
            keep_ended_ms: env.settings.keep_ended_ms,
            reservations: env.settings.reservations,
        };
        let dispatcher = Dispatcher::new(env.clone(), links, shard, term);
        let mut scheduler = Scheduler::new(limits, term, failover_complete_at);
        scheduler.set_cap_share(shard, shards);
        scheduler.set_earlier_leases(claims.earlier_unreached(shard, term));
        scheduler.set_copies(env.settings.copies);
        env.metrics.held_owners.inc();
        Rc::new(Owner {
            dispatcher,
            scheduler: RefCell::new(scheduler),
            env,
            claims,
            configuration,
            shard,
            shards,
            term,
            clocks: RefCell::new(HashMap::new()),
            latency: Cell::default(),
            start_window: Cell::default(),
            listings: RefCell::new(HashMap::new()),
            changed: Signal::default(),
            saved: Signal::default(),
            ended: Cell::new(false),
            deposed: Signal::default(),
            ready: Cell::new(false),
            ownership_lease_from,
            lease_gate: RefCell::new(LeaseGate::after_claim()),
            awaited_log: Cell::new(AwaitedLog::new(now)),
            leases_released: Signal::default(),
            claim_sequence,
            progress_sequence: Cell::new(0),
            stored_parts: RefCell::new(HashMap::new()),
            generations: Cell::new(0),
            tenant_keys: RefCell::new(HashMap::new()),
            storing: Storing::default(),
            attempts: SharedAttempts::default(),
            fresh_read: FreshRead::default(),
            admission: Admission::default(),
            submissions_read_at: Cell::new(MonoMs(0)),
            submissions_read_to: Cell::new(0),
            interference_due: Cell::new(false),
            waiting_reported_at: Cell::new(now),
            handover: RefCell::default(),
            claim_changed: Signal::default(),
            cap_shares: CapShares::default(),
            recovery: RecoveryWaits::default(),
            pending_submissions: RefCell::default(),
            pending_changed: Signal::default(),
            worker_calls: WorkerCalls::default(),
        })
    }

    /// Records the latency of a worker's answer to a call that was sent at `sent_at`.
    pub(crate) fn record_latency(&self, sent_at: MonoMs) {
        let mut latency = self.latency.get();
        latency.record(self.env.now().since(sent_at));
        self.latency.set(latency);
    }

    /// Ends ownership because a newer owner was detected.
    pub(crate) fn step_down(&self, reason: &str) {
        if self.ended.replace(true) {
            return;
        }
        let inputs = json!({ "shard": self.shard, "term": self.term, "reason": reason });
        self.env.event(Event::Deposed, &inputs);
        self.deposed.notify();
        self.changed.notify();
        self.saved.notify();
        self.pending_changed.notify();
        self.leases_released.notify();
    }

    /// Recovers the shard's state and acts as the owner until it steps down.
    pub(crate) async fn run(self: Rc<Self>) {
        self.spawn(|owner| owner.renew());
        self.spawn(|owner| owner.watch_claim());
        self.spawn(|owner| owner.choose_delegates());
        self.spawn(|owner| owner.watch_recovery());
        let followed = loop {
            if self.ended.get() {
                return;
            }
            match self.recover().await {
                Ok(followed) => break followed,
                Err(StoreError::Fenced) => return self.step_down("progress is fenced"),
                Err(error) => self.recovery_failed(error).await,
            }
        };
        self.submissions_read_at.set(followed.submissions_read_at);
        self.submissions_read_to.set(followed.submissions);
        self.ready.set(true);
        self.claims.record_recovery(self.shard, self.term);
        self.claim_changed.notify();
        // The first plan needs the shares of the caps.
        self.apply_configuration();
        self.spawn(|owner| owner.follow_configuration());
        self.spawn(|owner| owner.divide_caps());
        self.spawn(move |owner| owner.follow_submissions(followed.submissions));
        self.spawn(move |owner| owner.follow_workers(followed.workers));
        self.spawn(|owner| owner.save());
        self.spawn(|owner| owner.save_interference());
        self.spawn(|owner| owner.store_submissions());
        self.spawn(|owner| owner.delete_submissions());
        self.spawn(|owner| owner.delete_ended());
        self.plan().await;
    }

    fn spawn<F: Future<Output = ()> + 'static>(self: &Rc<Self>, task: impl FnOnce(Rc<Owner>) -> F) {
        self.env.spawn(task(self.clone()));
    }

    /// Offers the shard to other nodes at a graceful shutdown.
    ///
    /// The owner continues until another node has claimed the shard, which may take
    /// seconds while the store is slow.
    pub(crate) fn release(&self) {
        self.offer(Handover {
            successor: self.dispatcher.successor(),
            offered_at: self.env.now(),
            is_given_up: false,
        });
    }

    /// Offers the shard as soon as a successor is known, for an owner that is about to stop from the
    /// beginning.
    pub(crate) async fn release_to_successor(self: Rc<Self>) {
        let claimed_at = self.env.now();
        while !self.ended.get()
            && self.dispatcher.successor().is_none()
            && self.env.now().since(claimed_at) < MAX_WAIT_FOR_SUCCESSOR_MS
        {
            self.env.sleep(RETRY_MS).await;
        }
        if !self.ended.get() {
            self.release();
        }
    }

    pub(crate) fn offer(&self, handover: Handover) {
        let inputs = json!({
            "shard": self.shard, "term": self.term,
            "successor": handover.successor.as_ref().map(|node| node.as_str()),
            "given_up": handover.is_given_up,
        });
        self.env.event(Event::Offered, &inputs);
        self.handover.replace(Some(handover));
        self.claim_changed.notify();
    }

    /// Whether the owner has neither recovered nor ended.
    pub(crate) fn is_recovering(&self) -> bool {
        !self.ready.get() && !self.ended.get()
    }

    /// Whether the owner offers the shard to other nodes.
    pub(crate) fn is_offered(&self) -> bool {
        self.handover.borrow().is_some()
    }

    /// Offers the shard to another node if none was known or the named one is about to stop.
    fn replace_successor(&self) {
        let handover = self.handover.borrow().clone();
        // Another node would not do better than the one that an unrecovered owner has named.
        let Some(handover) = handover.filter(|handover| !handover.is_given_up) else {
            return;
        };
        let waited = self.env.now().since(handover.offered_at);
        let successor = self
            .dispatcher
            .next_successor(handover.successor.as_ref(), waited);
        if successor != handover.successor {
            self.offer(Handover {
                successor,
                ..handover
            });
        }
    }

    async fn renew(self: Rc<Self>) {
        let mut attempts = AppendAttempts::default();
        while !self.ended.get() {
            let sent_at = self.env.clocks();
            let lease_from = attempts.send(sent_at);
            let seen = self.claim_changed.count();
            let handover = self.handover.borrow().clone();
            let leases = self.withhold_leases();
            let renewed = self.claims.renew(
                self.shard,
                self.term,
                handover.as_ref(),
                &leases,
                &self.claim_sequence,
                self.share_records(),
            );
            match renewed.await {
                Ok(()) => {
                    self.renewal_stored();
                    self.ownership_lease_from.set(Some(lease_from));
                    attempts = AppendAttempts::default();
                    if lease_from != sent_at {
                        // Part of the lease has passed already.
                        continue;
                    }
                }
                Err(StoreError::Fenced) => return self.step_down("claim is fenced"),
                Err(StoreError::OutOfSequence(expected)) => {
                    attempts = AppendAttempts::default();
                    self.lease_gate.borrow_mut().out_of_sequence();
                    self.log_out_of_sequence(Stream::Claims, expected);
                    self.env.sleep(RETRY_MS).await;
                    continue;
                }
                Err(error) => {
                    if error.is_certain() {
                        attempts.rejected(sent_at);
                    }
                    self.env.sleep(RETRY_MS).await;
                    continue;
                }
            }
            let successor = handover.and_then(|handover| handover.successor);
            let interval = renew_interval(successor.is_some());
            let released = self.claim_changed.wait_past(seen);
            let _ = within(&*self.env.ports.runtime, interval, released).await;
        }
    }

    /// Logs that the store expects another sequence number, which the next append has.
    pub(crate) fn log_out_of_sequence(&self, stream: Stream, expected: u64) {
        let inputs = json!({
            "shard": self.shard, "term": self.term, "stream": format!("{stream:?}"),
            "expected": expected,
        });
        self.env.event(Event::OddAnswer, &inputs);
    }

    async fn watch_claim(self: Rc<Self>) {
        while !self.ended.get() {
            let seen = self.claims.changed.count();
            let claim = self.claims.claim(self.shard);
            if claim.is_some_and(|claim| claim.term > self.term) {
                return self.step_down("another node has claimed the shard");
            }
            self.claims.changed.wait_past(seen).await;
        }
    }

    async fn choose_delegates(self: Rc<Self>) {
        while !self.ended.get() {
            let workers = self.scheduler.borrow().workers().count();
            self.dispatcher.choose_delegates(workers);
            self.replace_successor();
            self.env.sleep(CHOOSE_DELEGATES_INTERVAL_MS).await;
        }
        self.env.metrics.delegates.set(0);
    }

    async fn follow_submissions(self: Rc<Self>, mut next: u64) {
        while !self.ended.get() {
            let sent_at = self.env.now();
            let read = self
                .env
                .read(Stream::Submissions, self.shard, next, READ_WAIT_MS)
                .await;
            match read {
                Ok(tail) => {
                    next = tail.next;
                    self.submissions_read_at.set(sent_at);
                    self.follow_records(tail.records.iter().flatten(), next);
                }
                Err(StoreError::Truncated(first)) => {
                    self.env
                        .log_position_lost(Stream::Submissions, self.shard, next, first);
                    // A store that deletes records sooner than they are read would be read without a pause.
                    self.env.sleep(RETRY_MS).await;
                    match self.env.read_all(Stream::Submissions, self.shard).await {
                        Ok((records, end)) => {
                            // Pages are ordered by key, so a fence may come after what was stored behind it.
                            if records.iter().any(|record| self.is_fenced_by(record)) {
                                return self.step_down("submissions are fenced");
                            }
                            self.follow_records(records.iter(), end);
                            next = end;
                        }
                        Err(_) => self.env.sleep(RETRY_MS).await,
                    }
                }
                Err(_) => self.env.sleep(RETRY_MS).await,
            }
        }
    }

    /// Applies records of the submissions stream in its order, up to the fence of a later term.
    fn follow_records<'a>(&self, records: impl Iterator<Item = &'a Record>, end: u64) {
        for record in records {
            if self.is_fenced_by(record) {
                return self.step_down("submissions are fenced");
            }
            self.apply_submission(record, Origin::Stream);
        }
        let read_to = self.submissions_read_to.get();
        self.submissions_read_to.set(read_to.max(end));
        self.changed.notify();
    }

    async fn follow_workers(self: Rc<Self>, mut next: u64) {
        while !self.ended.get() {
            self.env.sleep(WORKERS_INTERVAL_MS).await;
            let must_read_newest = match self.env.read(Stream::Workers, 0, next, Millis(0)).await {
                Ok(tail) => {
                    let from = std::mem::replace(&mut next, tail.next);
                    self.apply_listings(tail.records);
                    let mut catch_up = CatchUp::new(self.listings.borrow().len());
                    catch_up.after_read(from, next, tail.end) == Next::ReadNewest
                }
                Err(StoreError::Truncated(first)) => {
                    self.env.log_position_lost(Stream::Workers, 0, next, first);
                    true
                }
                // The known workers are kept; the next interval retries.
                Err(_) => false,
            };
            if must_read_newest
                && let Ok((records, end)) = self.env.read_all(Stream::Workers, 0).await
            {
                self.listings.borrow_mut().clear();
                self.apply_listings(records.into_iter().map(Some).collect());
                next = end;
            }
        }
    }

    /// Applies the workers' records.
    pub(crate) fn apply_listings(self: &Rc<Self>, records: Vec<Option<Record>>) {
        if records.is_empty() {
            let now = self.env.now();
            return self.scheduler.borrow_mut().workers_unchanged(now);
        }
        let mut listings = self.listings.borrow_mut();
        for record in records.into_iter().flatten() {
            if record.value.is_none() {
                listings.remove(&record.key);
                continue;
            }
            let listing = self.env.ports.formats.listing(&record);
            let checked = listing.and_then(|listing| {
                let check = listing.check(self.env.wall());
                check.map(|()| listing).map_err(|cause| cause.to_string())
            });
            match checked {
                Ok(listing) if self.is_responsible_for(&listing) => {
                    listings.insert(record.key, listing);
                }
                Ok(_) => {}
                Err(cause) => {
                    listings.remove(&record.key);
                    self.log_unreadable(&record, &cause);
                }
            }
        }
        let all = listings.values().cloned().collect();
        drop(listings);
        let new = self
            .scheduler
            .borrow_mut()
            .list_workers(all, self.env.now());
        self.start_polling(new);
    }

    /// Returns whether a worker belongs to this shard; racks are assigned to shards whole.
    fn is_responsible_for(&self, listing: &Listing) -> bool {
        let rack = listing.rack().map_or(&*listing.name, |rack| &**rack);
        stable_hash(&[rack.as_bytes()]) % u64::from(self.shards.max(1)) == u64::from(self.shard)
    }

    async fn plan(self: Rc<Self>) {
        let mut interval = PlanInterval::default();
        while !self.ended.get() {
            let seen = self.changed.count();
            let planned_at = self.env.now();
            let (orders, work, has_postponed_steps) = {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.set_start_budget(self.start_window.get().available());
                let orders = scheduler.plan(planned_at, self.env.wall());
                let work = scheduler.take_work_counts();
                (orders, work, scheduler.has_postponed_steps())
            };
            let took = self.env.now().since(planned_at);
            self.env.metrics.record_plan(took, &work);
            for order in orders {
                self.dispatch(order);
            }
            self.report_copies();
            self.report_waiting();
            if !has_postponed_steps {
                let waiting = self.changed.wait_past(seen);
                let _ = within(&*self.env.ports.runtime, MAX_PLAN_INTERVAL_MS, waiting).await;
            }
            let paused_at = self.env.now();
            let pause = interval.pause_after(took);
            self.env.sleep(pause).await;
            let late_ms = self.env.now().since(paused_at).0.saturating_sub(pause.0);
            let late_s = &self.env.metrics.plan_late_s;
            late_s.observe(late_ms as f64 / 1_000.0);
        }
        self.clear_waiting();
        self.clear_copies();
    }

    /// Answers a request of another node or of this node's frontend.
    pub(crate) async fn answer(&self, request: ShardRequest) -> ShardResponse {
        if matches!(request, ShardRequest::Ownership(_)) && !self.ended.get() {
            return ShardResponse::Owner;
        }
        if let ShardRequest::Offer(_, offer) = request {
            self.dispatcher.record_offer(offer);
            return ShardResponse::Owner;
        }
        if !self.ready.get() || self.ended.get() {
            return ShardResponse::NotOwner;
        }
        match request {
            ShardRequest::Store(_, id, submission) => self.store_checked(id, submission).await,
            ShardRequest::State(_, id) => self.state_for(id, None),
            ShardRequest::TenantState(_, id, tenant) => self.state_for(id, Some(&tenant)),
            ShardRequest::Waiting(_, queue) => self.count_waiting_for(&queue, None),
            ShardRequest::TenantWaiting(_, queue, tenant) => {
                self.count_waiting_for(&queue, Some(&tenant))
            }
            ShardRequest::Ownership(_) | ShardRequest::Offer(..) | ShardRequest::Delegate(..) => {
                ShardResponse::NotOwner
            }
        }
    }

    pub(crate) fn submissions_are_fresh(&self) -> bool {
        self.env.now().since(self.submissions_read_at.get()) < MAX_READ_AGE_MS
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.env.metrics.held_owners.dec();
    }
}
