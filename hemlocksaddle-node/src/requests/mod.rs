//! Synchronous requests: routing to executors, retries and at-most-once execution.
//!
//! The entry node holds a request from its arrival on the caller's connection
//! until the response. An idempotent request is routed directly (`route`); any
//! other one goes through the owner of its key's queue (`at_most_once`), which
//! makes the intent durable and then routes it in the same way. The state of a
//! service (own executors, their slots, waiting requests, load of peers) is in
//! `pool`.

mod at_most_once;
mod balance;
mod hedge;
pub mod idempotency;
mod peers;
mod pool;
mod route;
mod send;
mod sent_ids;
mod waiting;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::{Rc, Weak},
};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    document::Document,
    host::{HostList, HostState},
    name::{ExecutorName, NodeName, ServiceName},
    outcome::{ResultCode, RunState},
    peer::{Heartbeat, Request, Response, SlotSummary},
    request::{QuickRequest, QuickResponse, REQUEST_ID_HEADER, RequestId},
    unit::Unit,
};

use self::{
    idempotency::IdempotencyTable, pool::Pool, route::Origin, sent_ids::SentIds, waiting::Grant,
};
use crate::{
    burn::BurnCounters,
    core::{Core, Handler, Part},
    invariant::Invariant,
    ports::PortFuture,
};

/// Interval at which services with requests are processed.
const TICK_INTERVAL: Millis = Millis(20);

/// Number of ticks after which ownership, documents and idle services are processed as well.
///
/// With a document for each of 93 teams, most services are idle at any time.
const TICKS_PER_REFRESH: u64 = 5;

/// Minimum interval between heartbeats that are sent because a backlog began or ended.
const MIN_ANNOUNCE_INTERVAL: Millis = Millis(100);

/// Time after the longest deadline at which a planned stop gives up.
///
/// Every request ends by its deadline; only a faulty port can hold one for longer.
const STOP_TIMEOUT_MARGIN: Millis = Millis(5_000);

/// Interval at which a planned stop checks for requests in progress.
const STOP_POLL_INTERVAL: Millis = Millis(10);

/// Synchronous requests of this node.
pub struct Requests {
    me: Weak<Requests>,
    core: Rc<Core>,
    idempotency: Rc<IdempotencyTable>,
    burn: BurnCounters,
    pools: RefCell<BTreeMap<ServiceName, Pool>>,
    leaving: RefCell<LeavingHosts>,
    sent_ids: RefCell<SentIds>,
    next_number: Cell<u64>,
    in_progress: Cell<u32>,
    outcomes_pending: Cell<u32>,
    stopping: Cell<bool>,
    announced_backlog: Cell<(MonoMs, bool)>,
}

/// Addresses of all hosts that are not live in the host list.
#[derive(Default)]
struct LeavingHosts {
    list: Option<Rc<HostList>>,
    addresses: HashSet<SocketAddr>,
}

/// Counts a request as in progress until dropped.
struct InProgressGuard(Rc<Requests>);

impl InProgressGuard {
    fn new(requests: &Rc<Requests>) -> InProgressGuard {
        requests.in_progress.set(requests.in_progress.get() + 1);
        InProgressGuard(requests.clone())
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

impl Requests {
    /// Creates the request part without any services.
    #[must_use]
    pub fn new(core: Rc<Core>) -> Rc<Requests> {
        let retention_ms = core.settings.timing.retention_ms;
        let since_ms = core.ports.runtime.wall_now();
        Rc::new_cyclic(|me| Requests {
            me: me.clone(),
            core,
            idempotency: Rc::new(IdempotencyTable::new(retention_ms)),
            burn: BurnCounters::new(since_ms),
            pools: RefCell::default(),
            leaving: RefCell::default(),
            sent_ids: RefCell::default(),
            next_number: Cell::new(1),
            in_progress: Cell::new(0),
            outcomes_pending: Cell::new(0),
            stopping: Cell::new(false),
            announced_backlog: Cell::new((MonoMs(0), false)),
        })
    }

    /// Table of idempotency keys, for the part that replays the queues' streams.
    #[must_use]
    pub fn idempotency(&self) -> Rc<IdempotencyTable> {
        self.idempotency.clone()
    }

    /// Counts of good and total requests per service.
    #[must_use]
    pub fn burn(&self) -> &BurnCounters {
        &self.burn
    }

    /// Starts the background task.
    pub fn start(self: &Rc<Self>) {
        self.refresh();
        let requests = self.clone();
        self.core.ports.runtime.spawn(Box::pin(async move {
            let mut ticks = 0_u64;
            while !requests.is_idle_after_stop() {
                requests.core.ports.runtime.sleep(TICK_INTERVAL).await;
                ticks += 1;
                requests.tick(ticks.is_multiple_of(TICKS_PER_REFRESH));
            }
        }));
    }

    /// Refuses new requests, returns waiting ones to the peers that forwarded them, and completes the
    /// rest.
    pub fn stop(self: &Rc<Self>) -> PortFuture<'static, ()> {
        let requests = self.clone();
        Box::pin(async move {
            requests.stopping.set(true);
            requests.return_forwarded();
            let give_up_at = requests.now() + requests.longest_deadline() + STOP_TIMEOUT_MARGIN;
            while !requests.is_idle_after_stop() && requests.now() < give_up_at {
                requests.core.ports.runtime.sleep(STOP_POLL_INTERVAL).await;
            }
            let (left, slots) = (requests.in_progress.get(), requests.slots_in_use());
            let _ = requests.core.invariants.check(
                Invariant::GracefulStop,
                left == 0 && slots == 0,
                || format!("stopped with {left} requests in progress and {slots} slots in use"),
            );
        })
    }

    /// Creates the identifier of a request that a caller sent to this node.
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        RequestId {
            node: self.core.settings.node.clone(),
            started_ms: self.core.started_ms,
            number,
        }
    }

    /// Executes a caller's request and returns the executor's response or a refusal.
    pub async fn execute(&self, request: QuickRequest) -> QuickResponse {
        let started = self.now();
        let service = request.service.clone();
        let response = self.admit_and_run(request).await;
        let code = response.code.number().to_string();
        self.core.metrics.results.with_label_values(&[&code]).inc();
        if let Some(document) = self.core.configuration.document(&service) {
            let succeeded = response.code == ResultCode::Completed;
            let good = BurnCounters::is_good(&document, self.now().since(started), succeeded);
            self.burn
                .record(&service, self.core.ports.runtime.wall_now(), good);
        }
        response
    }

    async fn admit_and_run(&self, request: QuickRequest) -> QuickResponse {
        let Some(requests) = self.me.upgrade() else {
            return stopping();
        };
        if self.is_stopping() {
            return stopping();
        }
        let Some(document) = self.core.configuration.document(&request.service) else {
            let detail = format!("no document describes the service {}", request.service);
            return QuickResponse::refusal(ResultCode::UnknownService, &detail);
        };
        let _in_progress = InProgressGuard::new(&requests);
        let timeout = request.deadline_ms.min(document.max_deadline_ms);
        let deadline = self.now() + timeout;
        self.ensure_pool(&document);
        self.with_pool(&request.service, |pool| pool.budget.deposit());
        if request.idempotent {
            requests.route(&request, deadline, Origin::Entry).await
        } else {
            requests.run_via_queue_owner(request, deadline).await
        }
    }

    async fn handle_forward(self: Rc<Self>, request: QuickRequest) -> Response {
        let _in_progress = InProgressGuard::new(&self);
        let now = self.now();
        let service = request.service.clone();
        let slots = self.with_pool(&service, |pool| pool.load(now).slots);
        if slots.unwrap_or(0) == 0 {
            return Response::NotOwner;
        }
        let deadline = now + request.deadline_ms;
        let mut response = if self.is_stopping() {
            stopping()
        } else {
            self.route(&request, deadline, Origin::Peer).await
        };
        let id = request.id.to_string();
        response.headers.insert(REQUEST_ID_HEADER.into(), id.into());
        let summary = self.with_pool(&service, |pool| self.summary(pool));
        match summary {
            Some(summary) => Response::Ran(response, summary),
            None => Response::Quick(response),
        }
    }

    /// Load as reported to peers; a stopping node reports no slots.
    fn summary(&self, pool: &Pool) -> SlotSummary {
        let mut summary = pool.summary(self.now());
        if self.is_stopping() {
            summary.free = 0;
            summary.total = 0;
        }
        summary
    }

    fn tick(self: &Rc<Self>, all: bool) {
        if all {
            self.refresh();
        }
        let now = self.now();
        let pools = self.pools.borrow();
        let due = pools.values().filter(|pool| all || !pool.is_idle());
        let services: Vec<ServiceName> = due.map(|pool| pool.service.clone()).collect();
        drop(pools);
        let mut backlog = false;
        for service in services {
            self.with_pool(&service, |pool| pool.update_slow_executors(now));
            self.dispatch(&service);
            self.rebalance(&service);
            self.pull(&service);
            let own = self.with_pool(&service, |pool| pool.load(now));
            backlog |= own.is_some_and(|own| hemlocksaddle_policy::routing::should_pull(&own));
        }
        self.announce_backlog(backlog, now);
    }

    /// Sends a heartbeat when a backlog has begun or ended.
    fn announce_backlog(&self, backlog: bool, now: MonoMs) {
        let (at, before) = self.announced_backlog.get();
        if backlog != before && now.since(at) >= MIN_ANNOUNCE_INTERVAL {
            self.announced_backlog.set((now, backlog));
            self.core.calls.send_heartbeats();
        }
    }

    /// Returns waiting requests to the peers that forwarded them, to be run elsewhere.
    fn return_forwarded(&self) {
        for pool in self.pools.borrow_mut().values_mut() {
            for waiter in pool.waiting.take_forwarded() {
                let _ = waiter.sender.send(Grant::Return);
            }
        }
    }

    fn is_stopping(&self) -> bool {
        self.stopping.get() || self.core.stopping.get()
    }

    fn slots_in_use(&self) -> usize {
        self.pools.borrow().values().map(Pool::in_use).sum()
    }

    fn longest_deadline(&self) -> Millis {
        let pools = self.pools.borrow();
        let deadlines = pools.values().map(|pool| pool.max_deadline_ms);
        deadlines.max().unwrap_or_default()
    }

    fn is_idle_after_stop(&self) -> bool {
        let outcomes_unrecorded = self.outcomes_pending.get() > 0 && self.core.journal.log_is_up();
        self.stopping.get()
            && self.in_progress.get() == 0
            && self.slots_in_use() == 0
            && !outcomes_unrecorded
    }

    fn ensure_pool(&self, document: &Document) {
        if self.pools.borrow().contains_key(&document.service) {
            return;
        }
        let retry_percent = self.core.settings.limits.retry_percent;
        let pool = Pool::new(document, retry_percent);
        self.pools
            .borrow_mut()
            .insert(document.service.clone(), pool);
        self.refresh();
    }

    /// Applies the current ownership, documents and host list to the pools.
    fn refresh(&self) {
        self.refresh_leaving();
        let mut owned: HashMap<ServiceName, HashSet<ExecutorName>> = HashMap::new();
        for (unit, _) in self.core.ownership.owned() {
            if let Unit::Target(service, executor) = unit {
                owned.entry(service).or_default().insert(executor);
            }
        }
        let documents = self.core.configuration.documents();
        let retry_percent = self.core.settings.limits.retry_percent;
        let mut pools = self.pools.borrow_mut();
        for (document, _) in &documents {
            let mut open = owned.remove(&document.service).unwrap_or_default();
            self.remove_out_of_service(document, &mut open);
            let pool = pools
                .entry(document.service.clone())
                .or_insert_with(|| Pool::new(document, retry_percent));
            pool.refresh(document, &open);
        }
        pools.retain(|service, pool| {
            let listed = documents.iter().any(|(d, _)| d.service == *service);
            listed || !pool.is_idle()
        });
    }

    /// Removes executors that are leaving or in a data centre that the document excludes.
    fn remove_out_of_service(&self, document: &Document, open: &mut HashSet<ExecutorName>) {
        for executor in &document.executors {
            let out = document.data_centres_out.contains(&executor.data_centre);
            if out || self.is_leaving(executor.address) {
                open.remove(&executor.name);
            }
        }
    }

    /// Refreshes the pools if the host list has changed.
    fn refresh_if_hosts_changed(&self) {
        let hosts = self.core.configuration.hosts();
        let same = |known: &Rc<HostList>| Rc::ptr_eq(known, &hosts);
        if !self.leaving.borrow().list.as_ref().is_some_and(same) {
            self.refresh();
        }
    }

    fn refresh_leaving(&self) {
        let hosts = self.core.configuration.hosts();
        let mut leaving = self.leaving.borrow_mut();
        if leaving
            .list
            .as_ref()
            .is_some_and(|known| Rc::ptr_eq(known, &hosts))
        {
            return;
        }
        let not_live = hosts
            .hosts
            .iter()
            .filter(|host| host.state != HostState::Live);
        leaving.addresses = not_live.map(|host| host.address).collect();
        leaving.list = Some(hosts);
    }

    fn is_leaving(&self, address: SocketAddr) -> bool {
        self.leaving.borrow().addresses.contains(&address)
    }

    fn with_pool<T>(&self, service: &ServiceName, act: impl FnOnce(&mut Pool) -> T) -> Option<T> {
        self.pools.borrow_mut().get_mut(service).map(act)
    }

    fn now(&self) -> MonoMs {
        self.core.ports.runtime.now()
    }

    fn sleep_until(&self, at: MonoMs) -> PortFuture<'static, ()> {
        let runtime = &self.core.ports.runtime;
        runtime.sleep(at.since(runtime.now()))
    }
}

impl Handler for Requests {
    fn handle(&self, from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>> {
        let requests = self.me.upgrade()?;
        match request {
            Request::Forward(request) => Some(Box::pin(requests.handle_forward(request.clone()))),
            Request::Guarded(request) => Some(Box::pin(requests.handle_guarded(request.clone()))),
            Request::Pull(service, count) => {
                self.handle_pull(service, from, *count);
                Some(Box::pin(std::future::ready(Response::Ok)))
            }
            _ => None,
        }
    }

    fn fill_heartbeat(&self, heartbeat: &mut Heartbeat) {
        let pools = self.pools.borrow();
        heartbeat
            .slots
            .extend(pools.values().map(|pool| self.summary(pool)));
    }
}

impl Part for Requests {
    fn start(self: Rc<Self>) {
        Requests::start(&self);
    }

    fn stop(self: Rc<Self>) -> PortFuture<'static, ()> {
        Requests::stop(&self)
    }
}

fn stopping() -> QuickResponse {
    QuickResponse::refusal(ResultCode::Stopping, "the node is stopping")
}

/// Whether the request ran or may have run, so that its key must not run again.
fn possibly_ran(response: &QuickResponse) -> bool {
    response.code.run_state() != RunState::NotRun
}
