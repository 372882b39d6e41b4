//! Racks that this node owns: their workers, commitments and leases.
//!
//! The state of a rack lives in its workers and is rebuilt by asking them. One
//! task per worker renews all leases of that worker in one call; its answer is a
//! full report. Whatever is unknown counts as occupied: a start whose answer was
//! lost keeps its resources until a report, a confirmed stop or the end of its
//! lease settles it. A worker that has not answered since the take-over gets no
//! start. The right to act and the proof that the data centre is open are checked
//! directly before every send.

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
mod place;
mod preempt;
mod react;
mod state;
mod stop;
mod worker;

use state::{Rack, State, Worker, WorkerKey};

pub use clock::WorkerClock;

/// Interval at which owned racks, host list and lapsed leases are looked at.
const SUPERVISE_EVERY_MS: Millis = Millis(200);
/// Longest time that a planned stop waits for starts and events in progress.
const STOP_WAIT_MS: Millis = Millis(5_000);

/// Rack side of a node.
pub struct Racks {
    this: Weak<Racks>,
    core: Rc<Core>,
    state: RefCell<State>,
    stopping: Cell<bool>,
    running: Cell<bool>,
    /// Start orders without an answer.
    starts_in_progress: Cell<usize>,
    /// Events without an acknowledgement.
    events_in_progress: Cell<usize>,
    suspicion: RefCell<FailureAttribution<WorkerName, JobId>>,
    set_aside: RefCell<Backoff<WorkerName, ()>>,
    /// Workers that are set aside and have got a probe.
    probing: RefCell<BTreeSet<WorkerName>>,
    learner: RefCell<InterferenceModel<ServiceName>>,
    reactions: RefCell<SecondaryMap<WorkerKey, Mitigation>>,
}

impl Racks {
    /// Rack side over the node's parts; does nothing until started.
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
            suspicion: RefCell::default(),
            set_aside: RefCell::new(Backoff::new(health::ASIDE_STEPS)),
            probing: RefCell::default(),
            learner: RefCell::default(),
            reactions: RefCell::default(),
        })
    }

    /// Starts to look after owned racks in the background.
    pub fn start(self: &Rc<Self>) {
        if self.running.replace(true) {
            return;
        }
        let racks = self.clone();
        self.spawn(async move { racks.supervise().await });
        let racks = self.clone();
        self.spawn(async move { racks.empty_leaving().await });
    }

    /// Takes no more placements, waits for orders in progress and renews all leases once more.
    ///
    /// The last renewal gives the next owner a full lease to take over in.
    pub fn stop(self: &Rc<Self>) -> PortFuture<'static, ()> {
        let racks = self.clone();
        Box::pin(async move {
            racks.stopping.set(true);
            let deadline = racks.now() + STOP_WAIT_MS;
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
            if !self.takes_starts(worker) {
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
            && self.has_right(rack, owned.term)
            && self.core.configuration.may_start_in(&owned.data_centre)
    }

    /// Whether a worker answers, is in service and is not set aside.
    fn takes_starts(&self, worker: &Worker) -> bool {
        let timing = &self.core.settings.timing;
        let fresh = Millis(timing.renew_every_ms.0 * 2) + timing.platform_call_ms;
        let answers = worker
            .heard_ms
            .is_some_and(|heard_ms| self.now().since(heard_ms) <= fresh);
        answers
            && !worker.failing
            && worker.listed == HostState::Live
            && self.is_trusted(&worker.name)
    }

    /// Whether this node may act on the rack now, in the given term.
    fn has_right(&self, rack: &RackName, term: Term) -> bool {
        let right = self.core.ownership.lease(&Unit::Rack(rack.clone()));
        right.is_some_and(|right| right.term == term)
    }

    /// Whether this node may act now on the rack of a worker.
    fn may_act_on(&self, key: WorkerKey) -> bool {
        let owned = {
            let state = self.state.borrow();
            let worker = state.workers.get(key);
            worker.and_then(|w| Some((w.rack.clone(), state.racks.get(&w.rack)?.term)))
        };
        owned.is_some_and(|(rack, term)| self.has_right(&rack, term))
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
            self.lapse_leases();
            self.follow_returns();
            self.state.borrow_mut().forget_closed(self.now());
            self.core.ports.runtime.sleep(SUPERVISE_EVERY_MS).await;
        }
    }

    /// Adds racks that this node now owns, drops those that it lost.
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
            taken_ms: self.now(),
            was_out: false,
            returned_ms: None,
            ramp: (MonoMs(0), 0),
        };
        state.racks.insert(rack, owned);
    }

    /// Follows the host list: new workers get a task, known ones their state and address.
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
            self.spawn(async move { racks.look_after(key).await });
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
            worker.listed = host.state;
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
            listed: host.state,
            capacity: *capacity,
            clock: None,
            incarnation: 0,
            heard_ms: None,
            failing: false,
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
        let acting = racks.filter(|(rack, owned)| self.has_right(rack, owned.term));
        let tasks = acting.map(|(rack, _)| {
            let settled = state.is_settled(rack, now, lease);
            (rack.clone(), settled, state.known_tasks(rack, queue))
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
