//! Racks that this node owns: their workers, commitments and leases.
//!
//! The workers hold the authoritative state of a rack; a new owner rebuilds it
//! from their reports. One background task per worker renews all task leases of
//! that worker in one call, and the response is a full report. Unknown outcomes
//! count as occupied: a start whose response was lost keeps its resources until a
//! report, a confirmed stop or the expiry of its lease resolves it. A worker that
//! has not responded since the failover gets no starts. Directly before every send
//! the node checks that it holds the rack lease (its ownership lease on the rack),
//! and before a start also that the data centre is open.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::{Rc, Weak},
};

use hemlocksaddle_policy::{
    backoff::Backoff,
    failure_attribution::FailureAttribution,
    interference::{InterferenceModel, Mitigation},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::{Host, HostRole, HostState},
    job::JobId,
    name::{NodeName, RackName, ServiceName, WorkerName},
    peer::{Heartbeat, RackSummary, Request, Response},
    resources::Resources,
    unit::{QueueIndex, Term, Unit},
};
use slotmap::SecondaryMap;

use crate::{
    core::{Core, Handler, Part},
    detach::detached,
    ports::PortFuture,
};

mod clock;
mod events;
mod evict;
mod health;
mod interference;
mod place;
mod preempt;
mod state;
mod stop;
mod worker;

use state::{Rack, State, Worker, WorkerKey};

pub use clock::WorkerClock;

/// Interval between checks of the owned racks, the host list and expired leases.
const SUPERVISE_INTERVAL_MS: Millis = Millis(200);
/// Maximum time that a planned stop waits for starts and events in progress.
const STOP_TIMEOUT_MS: Millis = Millis(5_000);

/// Scheduler of the racks that a node owns.
pub struct Racks {
    this: Weak<Racks>,
    core: Rc<Core>,
    state: RefCell<State>,
    stopping: Cell<bool>,
    running: Cell<bool>,
    /// Number of start orders without a response.
    starts_in_progress: Cell<usize>,
    /// Number of events that are not acknowledged.
    events_in_progress: Cell<usize>,
    failure_attribution: RefCell<FailureAttribution<WorkerName, JobId>>,
    worker_backoff: RefCell<Backoff<WorkerName, ()>>,
    /// Workers in backoff that have been given a probe task.
    probing: RefCell<BTreeSet<WorkerName>>,
    interference_model: RefCell<InterferenceModel<ServiceName>>,
    mitigations: RefCell<SecondaryMap<WorkerKey, Mitigation>>,
}

impl Racks {
    /// Creates the scheduler; it is idle until started.
    #[must_use]
    pub fn new(core: Rc<Core>) -> Rc<Racks> {
        Rc::new_cyclic(|this| Racks {
            this: this.clone(),
            core,
            state: RefCell::default(),
            stopping: Cell::new(false),
            running: Cell::new(false),
            starts_in_progress: Cell::new(0),
            events_in_progress: Cell::new(0),
            failure_attribution: RefCell::default(),
            worker_backoff: RefCell::new(Backoff::new(health::WORKER_BACKOFF)),
            probing: RefCell::default(),
            interference_model: RefCell::default(),
            mitigations: RefCell::default(),
        })
    }

    /// Starts the background tasks; has no effect if they are running.
    pub fn start(self: &Rc<Self>) {
        if self.running.replace(true) {
            return;
        }
        let racks = self.clone();
        self.spawn(async move { racks.supervise().await });
        let racks = self.clone();
        self.spawn(async move { racks.run_evacuation().await });
    }

    /// Rejects new placements, waits for starts and events in progress, then renews all task
    /// leases once more.
    ///
    /// The final renewal leaves the next owner a full lease period for the failover.
    pub fn stop(self: &Rc<Self>) -> PortFuture<'static, ()> {
        let racks = self.clone();
        Box::pin(async move {
            racks.stopping.set(true);
            let deadline = racks.now() + STOP_TIMEOUT_MS;
            while racks.is_busy() && racks.now() < deadline {
                racks.core.ports.runtime.sleep(Millis(50)).await;
            }
            racks.renew_all().await;
            racks.running.set(false);
        })
    }

    /// Summaries of the racks that this node owns.
    #[must_use]
    pub fn summaries(&self) -> Vec<RackSummary> {
        let state = self.state.borrow();
        let names = state.racks.keys();
        names
            .filter_map(|rack| self.summary(&state, rack))
            .collect()
    }

    fn summary(&self, state: &State, rack: &RackName) -> Option<RackSummary> {
        let owned = state.racks.get(rack)?;
        let mut summary = RackSummary {
            rack: rack.clone(),
            data_centre: owned.data_centre.clone(),
            open: self.is_open(rack, owned),
            free: Resources::default(),
            largest_free: Resources::default(),
            evictable: Resources::default(),
            capacity: Resources::default(),
        };
        for (key, worker) in state.workers_of(rack) {
            summary.capacity += worker.capacity;
            if !self.is_schedulable(worker) {
                continue;
            }
            let free = state.free(key);
            summary.free += free;
            summary.largest_free = summary.largest_free.max(&free);
            summary.evictable = summary.evictable.max(&place::evictable(state, key));
        }
        Some(summary)
    }

    fn is_open(&self, rack: &RackName, owned: &Rack) -> bool {
        !self.stopping.get()
            && self.holds_rack_lease(rack, owned.term)
            && self.core.configuration.may_start_in(&owned.data_centre)
    }

    /// Whether a worker responds, is in service and is not in backoff.
    fn is_schedulable(&self, worker: &Worker) -> bool {
        let timing = &self.core.settings.timing;
        let fresh = Millis(timing.renew_every_ms.0 * 2) + timing.platform_call_ms;
        let responsive = worker
            .last_report_ms
            .is_some_and(|last_report_ms| self.now().since(last_report_ms) <= fresh);
        responsive
            && !worker.unreachable
            && worker.host_state == HostState::Live
            && self.backoff_allows(&worker.name)
    }

    /// Whether this node holds the ownership lease on the rack now, in the given term.
    fn holds_rack_lease(&self, rack: &RackName, term: Term) -> bool {
        let lease = self.core.ownership.lease(&Unit::Rack(rack.clone()));
        lease.is_some_and(|lease| lease.term == term)
    }

    /// Whether this node now holds the ownership lease on the rack of a worker.
    fn holds_rack_lease_of(&self, key: WorkerKey) -> bool {
        let owned = {
            let state = self.state.borrow();
            let worker = state.workers.get(key);
            worker.and_then(|w| Some((w.rack.clone(), state.racks.get(&w.rack)?.term)))
        };
        owned.is_some_and(|(rack, term)| self.holds_rack_lease(&rack, term))
    }

    fn now(&self) -> MonoMs {
        self.core.ports.runtime.now()
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.core.ports.runtime.spawn(Box::pin(future));
    }

    fn is_busy(&self) -> bool {
        self.starts_in_progress.get() > 0 || self.events_in_progress.get() > 0
    }

    async fn supervise(self: Rc<Self>) {
        while self.running.get() {
            self.sync_racks();
            self.sync_workers();
            self.expire_leases();
            self.detect_returns();
            self.state.borrow_mut().prune_closed(self.now());
            self.core.ports.runtime.sleep(SUPERVISE_INTERVAL_MS).await;
        }
    }

    /// Adds newly owned racks and drops those that this node no longer owns in the known term.
    fn sync_racks(&self) {
        let owned: Vec<(RackName, Term)> = self
            .core
            .ownership
            .owned()
            .into_iter()
            .filter_map(|(unit, term)| match unit {
                Unit::Rack(rack) => Some((rack, term)),
                _ => None,
            })
            .collect();
        let mut state = self.state.borrow_mut();
        let lost: Vec<RackName> = state
            .racks
            .iter()
            .filter(|(rack, known)| !owned.contains(&((*rack).clone(), known.term)))
            .map(|(rack, _)| rack.clone())
            .collect();
        for rack in &lost {
            state.drop_rack(rack);
        }
        for (rack, term) in owned {
            if !state.racks.contains_key(&rack) {
                self.add_rack(&mut state, rack, term);
            }
        }
    }

    fn add_rack(&self, state: &mut State, rack: RackName, term: Term) {
        let hosts = self.core.configuration.hosts();
        let mut of_rack = hosts
            .hosts
            .iter()
            .filter(|host| rack_of(host) == Some(&rack));
        let Some(host) = of_rack.next() else {
            return;
        };
        let owned = Rack {
            term,
            data_centre: host.data_centre.clone(),
            acquired_ms: self.now(),
            was_out: false,
            returned_ms: None,
            ramp: (MonoMs(0), 0),
        };
        state.racks.insert(rack, owned);
    }

    /// Applies the host list: starts a renewal task for each new worker, and updates state and
    /// address of known ones.
    fn sync_workers(self: &Rc<Self>) {
        let hosts = self.core.configuration.hosts();
        let mut added = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            for host in &hosts.hosts {
                added.extend(self.sync_worker(&mut state, host));
            }
        }
        for key in added {
            let racks = self.clone();
            self.spawn(async move { racks.run_renewals(key).await });
        }
    }

    fn sync_worker(&self, state: &mut State, host: &Host) -> Option<WorkerKey> {
        let HostRole::Worker {
            name,
            rack,
            capacity,
        } = &host.role
        else {
            return None;
        };
        state.racks.get(rack)?;
        let known = state.workers.values_mut().find(|w| w.name == *name);
        if let Some(worker) = known {
            worker.host_state = host.state;
            worker.address = host.address;
            return None;
        }
        if host.state == HostState::Gone {
            return None;
        }
        Some(state.workers.insert(Worker {
            name: name.clone(),
            rack: rack.clone(),
            data_centre: host.data_centre.clone(),
            address: host.address,
            host_state: host.state,
            capacity: *capacity,
            clock: None,
            incarnation: 0,
            last_report_ms: None,
            unreachable: false,
            reserved: Resources::default(),
            acknowledged: Vec::new(),
            commitments: Vec::new(),
        }))
    }

    fn tasks_of(&self, queue: QueueIndex) -> Response {
        let lease = self.core.settings.timing.lease_ms;
        let now = self.now();
        let state = self.state.borrow();
        let racks = state.racks.iter();
        let acting = racks.filter(|(rack, owned)| self.holds_rack_lease(rack, owned.term));
        let tasks = acting.map(|(rack, _)| {
            let complete = state.is_failover_complete(rack, now, lease);
            (rack.clone(), complete, state.attempt_statuses(rack, queue))
        });
        Response::Tasks(tasks.collect())
    }
}

impl Part for Racks {
    fn start(self: Rc<Self>) {
        Racks::start(&self);
    }

    fn stop(self: Rc<Self>) -> PortFuture<'static, ()> {
        Racks::stop(&self)
    }
}

impl Handler for Racks {
    fn handle(&self, _from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>> {
        let racks = self.this.upgrade()?;
        match request {
            Request::Place(order) => {
                let order = order.clone();
                let work = async move { Response::Placed(racks.place(order).await) };
                Some(detached(&*self.core.ports.runtime, work))
            }
            Request::TasksOf(queue) => {
                let tasks = self.tasks_of(*queue);
                Some(Box::pin(async move { tasks }))
            }
            Request::StopTask(rack, task, attempt, checkpoint) => {
                let reply = racks.stop_task(rack, (*task, *attempt), *checkpoint);
                Some(Box::pin(async move { reply }))
            }
            _ => None,
        }
    }

    fn fill_heartbeat(&self, heartbeat: &mut Heartbeat) {
        heartbeat.racks = self.summaries();
    }
}

fn rack_of(host: &Host) -> Option<&RackName> {
    match &host.role {
        HostRole::Worker { rack, .. } => Some(rack),
        _ => None,
    }
}
