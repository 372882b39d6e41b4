//! Placement of attempts on workers, and start orders.
//!
//! Resources are committed before the start order is sent, and released only if
//! it is certain that the order was not carried out.

use std::rc::Rc;

use hemlocksaddle_policy::placement::{WorkerView, choose_worker};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostState,
    job::Urgency,
    peer::{Place, PlaceRefusal, Placed},
    resources::Resources,
    unit::Term,
    worker::{StartReply, StartTask},
};

use super::{
    Racks,
    preempt::{Eviction, may_evict},
    state::{Commitment, CommitmentKey, Phase, State, WorkerKey},
};
use crate::{invariant::Invariant, ports::PortError, wait::within};

/// Decision on a placement order.
enum Decision {
    /// Repeated order; the attempt was accepted before.
    Duplicate(Placed),
    /// Start on this worker.
    Start(WorkerKey),
    /// Evict batch tasks, then start.
    Evict(Eviction),
    /// Refuse the order.
    Refuse(PlaceRefusal),
}

impl Racks {
    /// Places an attempt on a worker, or returns the reason for a refusal.
    pub(super) async fn place(self: Rc<Self>, order: Place) -> Placed {
        let deadline = self.now() + order.within_ms;
        if let Err(refusal) = self.admit(&order) {
            return Placed::Refused(refusal);
        }
        let placed = match self.decide(&order) {
            Decision::Duplicate(placed) => return placed,
            Decision::Start(worker) => self.start_on(worker, &order, deadline).await,
            Decision::Evict(eviction) => self.evict_and_start(eviction, &order, deadline).await,
            Decision::Refuse(refusal) => Placed::Refused(refusal),
        };
        if let Placed::Refused(_) = placed {
            let id = (order.task, order.attempt);
            self.state.borrow_mut().close(id, self.now());
        }
        placed
    }

    /// Checks the rack lease, the term of the queue owner, that the data centre is open, and the
    /// ramp after its return.
    fn admit(&self, order: &Place) -> Result<(), PlaceRefusal> {
        let owned = {
            let state = self.state.borrow();
            let rack = state.racks.get(&order.rack);
            rack.map(|rack| (rack.term, rack.data_centre.clone()))
        };
        let (term, data_centre) = owned.ok_or(PlaceRefusal::NotOwner)?;
        if self.stopping.get() || !self.holds_rack_lease(&order.rack, term) {
            return Err(PlaceRefusal::NotOwner);
        }
        self.check_queue_term(order)?;
        if !self.core.configuration.may_start_in(&data_centre) {
            return Err(PlaceRefusal::DataCentreClosed);
        }
        match self.acquire_ramp_permit(&order.rack) {
            true => Ok(()),
            false => Err(PlaceRefusal::NoRoom),
        }
    }

    fn check_queue_term(&self, order: &Place) -> Result<(), PlaceRefusal> {
        let mut state = self.state.borrow_mut();
        let queue = order.task.job.queue;
        let highest = state.queue_terms.entry(queue).or_insert(Term(0));
        if order.queue_term < *highest {
            return Err(PlaceRefusal::StaleTerm);
        }
        *highest = order.queue_term;
        Ok(())
    }

    fn decide(&self, order: &Place) -> Decision {
        let state = self.state.borrow();
        let id = (order.task, order.attempt);
        if let Some(known) = state.by_attempt.get(&id) {
            let worker = state.commitments.get(*known).map(|c| c.worker);
            let worker = worker.and_then(|worker| state.workers.get(worker));
            if let Some(worker) = worker {
                return Decision::Duplicate(Placed::Accepted(worker.name.clone()));
            }
        }
        if state.is_closed(id) || state.awaiting_eviction.contains_key(&id) {
            return Decision::Refuse(PlaceRefusal::NoRoom);
        }
        let candidates = self.candidates(&state, order);
        let views = candidates.iter().map(|(_, view)| *view);
        match choose_worker(&order.demand, views) {
            Some(index) => Decision::Start(candidates[index].0),
            None => match self.plan_eviction(&state, order) {
                Some(eviction) => Decision::Evict(eviction),
                None => Decision::Refuse(self.refusal_reason(&state, order)),
            },
        }
    }

    fn candidates(&self, state: &State, order: &Place) -> Vec<(WorkerKey, WorkerView)> {
        let avoid_listed = can_avoid(state, order);
        let workers = state.workers_of(&order.rack);
        workers
            .filter(|(_, worker)| self.is_schedulable(worker))
            .filter(|(_, worker)| !avoid_listed || !order.avoid.contains(&worker.name))
            .map(|(key, worker)| {
                let of_job = state.active_on(key);
                let of_job = of_job.filter(|(_, c)| c.id.0.job == order.task.job);
                let view = WorkerView {
                    free: state.free(key),
                    capacity: worker.capacity,
                    same_job: u32::try_from(of_job.count()).unwrap_or(u32::MAX),
                    interference_milli: self.expected_interference(state, key, order),
                };
                (key, view)
            })
            .collect()
    }

    /// Expected slowdown of the task by its neighbours, plus that of the neighbours by the task;
    /// in thousandths, neighbours that are not batch tasks counted twice.
    fn expected_interference(&self, state: &State, worker: WorkerKey, order: &Place) -> u64 {
        let now = self.now();
        let interference_model = self.interference_model.borrow();
        let neighbours = state.active_on(worker).map(|(_, c)| &c.service);
        let on_task = interference_model.expected_slowdown_milli(&order.service, neighbours, now);
        let on_neighbours = state.active_on(worker).map(|(_, c)| {
            let weight = if c.urgency == Urgency::Batch { 1 } else { 2 };
            weight * interference_model.expected_slowdown_milli(&c.service, [&order.service], now)
        });
        on_task + on_neighbours.sum::<u64>()
    }

    fn refusal_reason(&self, state: &State, order: &Place) -> PlaceRefusal {
        let mut workers = state.workers_of(&order.rack);
        if !workers.any(|(_, worker)| order.demand.fits_in(&worker.capacity)) {
            return PlaceRefusal::NeverFits;
        }
        let mut workers = state.workers_of(&order.rack);
        let unschedulable = workers.any(|(key, worker)| {
            order.demand.fits_in(&state.free(key)) && !self.is_schedulable(worker)
        });
        match unschedulable {
            true => PlaceRefusal::WorkersFailing,
            false => PlaceRefusal::NoRoom,
        }
    }

    /// Commits resources and sends the start order.
    pub(super) async fn start_on(
        &self,
        worker: WorkerKey,
        order: &Place,
        deadline: MonoMs,
    ) -> Placed {
        let now = self.now();
        let Some(key) = self.commit_resources(worker, order, now) else {
            return Placed::Refused(PlaceRefusal::NoRoom);
        };
        if let Err(refusal) = self.check_start_allowed(worker) {
            self.state.borrow_mut().remove(key, now);
            return Placed::Refused(refusal);
        }
        self.acquire_probe(worker);
        let remaining = deadline.since(now);
        self.starts_in_progress
            .set(self.starts_in_progress.get() + 1);
        let placed = self.send_start(key, worker, order, remaining).await;
        self.starts_in_progress
            .set(self.starts_in_progress.get() - 1);
        placed
    }

    fn commit_resources(
        &self,
        worker: WorkerKey,
        order: &Place,
        now: MonoMs,
    ) -> Option<CommitmentKey> {
        let timing = &self.core.settings.timing;
        let mut state = self.state.borrow_mut();
        let known = state.workers.get(worker)?;
        known.clock?;
        let incarnation = known.incarnation;
        let fits = (state.committed(worker) + order.demand).fits_in(&known.capacity);
        let invariants = &self.core.invariants;
        if !invariants.check(Invariant::HostCapacity, fits, || {
            format!("worker {} has no room for {:?}", known.name, order.task)
        }) {
            return None;
        }
        let other = state.active_for_task(order.task).map(|c| c.id.1);
        if !invariants.check(Invariant::SinglePlace, other.is_none(), || {
            format!("{:?} is held by attempt {other:?}", order.task)
        }) {
            return None;
        }
        Some(state.add_commitment(Commitment {
            id: (order.task, order.attempt),
            worker,
            service: order.service.clone(),
            demand: order.demand,
            urgency: order.urgency,
            resumable: order.resumable,
            idempotent: order.idempotent,
            phase: Phase::Starting,
            lease_until_ms: now + timing.lease_ms.with_clock_margin(),
            conclusive_after_ms: now + timing.start_by_ms.with_clock_margin(),
            incarnation,
            progress_ms: order.checkpoint.as_ref().map_or(0, |c| c.progress_ms),
            checkpoint_ms: order.checkpoint.as_ref().map_or(0, |c| c.progress_ms),
            slowdown_milli: 0,
            throttled: false,
            stop_sent_ms: None,
            stop_with_checkpoint: false,
        }))
    }

    /// Checks directly before the send that this node holds the rack lease and that starts in the
    /// data centre and on the host are allowed.
    fn check_start_allowed(&self, key: WorkerKey) -> Result<(), PlaceRefusal> {
        if self.stopping.get() || !self.holds_rack_lease_of(key) {
            return Err(PlaceRefusal::NotOwner);
        }
        let state = self.state.borrow();
        let worker = state.workers.get(key).ok_or(PlaceRefusal::NotOwner)?;
        let open = self.core.configuration.may_start_in(&worker.data_centre);
        if !open || worker.host_state != HostState::Live {
            return Err(PlaceRefusal::DataCentreClosed);
        }
        let out = self.core.configuration.is_out(&worker.data_centre);
        let holds = self
            .core
            .invariants
            .check(Invariant::NoStartInOutDataCentre, !out, || {
                format!("start on {} in {}", worker.name, worker.data_centre)
            });
        match holds {
            true => Ok(()),
            false => Err(PlaceRefusal::DataCentreClosed),
        }
    }

    async fn send_start(
        &self,
        key: CommitmentKey,
        worker: WorkerKey,
        order: &Place,
        remaining: Millis,
    ) -> Placed {
        let Some((address, name, start)) = self.start_order(key, worker, order, remaining) else {
            return Placed::Refused(PlaceRefusal::NotOwner);
        };
        let call = self.core.ports.workers.start(address, &name, start);
        let limit = self.core.settings.timing.platform_call_ms;
        let reply = within(&*self.core.ports.runtime, limit, call).await;
        let reply = reply.unwrap_or(Err(PortError::Unknown));
        let mut state = self.state.borrow_mut();
        match reply {
            Ok(StartReply::Started | StartReply::AlreadyKnown) => {
                if let Some(commitment) = state.commitments.get_mut(key)
                    && commitment.phase == Phase::Starting
                {
                    commitment.phase = Phase::Running;
                    commitment.conclusive_after_ms = self.now();
                }
                Placed::Accepted(name)
            }
            Ok(StartReply::Refused(_)) => {
                state.remove(key, self.now());
                drop(state);
                self.record_task_failure(&name, order.task.job);
                Placed::Refused(PlaceRefusal::WorkersFailing)
            }
            Ok(StartReply::TooLate) | Err(PortError::NotSent) => {
                state.remove(key, self.now());
                Placed::Refused(PlaceRefusal::WorkersFailing)
            }
            Err(PortError::Unknown) => Placed::Accepted(name),
        }
    }

    fn start_order(
        &self,
        key: CommitmentKey,
        worker: WorkerKey,
        order: &Place,
        remaining: Millis,
    ) -> Option<(
        std::net::SocketAddr,
        hemlocksaddle_types::name::WorkerName,
        StartTask,
    )> {
        let timing = &self.core.settings.timing;
        let state = self.state.borrow();
        state.commitments.get(key)?;
        let known = state.workers.get(worker)?;
        let worker_now = known.clock?.lower_bound(self.now());
        let start_by = worker_now + remaining.min(timing.start_by_ms);
        let start = StartTask {
            task: order.task,
            attempt: order.attempt,
            service: order.service.clone(),
            demand: order.demand,
            expected_run_ms: order.expected_run_ms,
            urgency: order.urgency,
            resumable: order.resumable,
            checkpoint: order.checkpoint.clone(),
            incarnation: known.incarnation,
            start_by_worker_ms: start_by,
            lease_until_worker_ms: worker_now + timing.lease_ms,
        };
        Some((known.address, known.name.clone(), start))
    }
}

/// Whether a worker outside the avoid list has the total capacity for the task.
fn can_avoid(state: &State, order: &Place) -> bool {
    let mut workers = state.workers_of(&order.rack);
    workers.any(|(_, worker)| {
        order.demand.fits_in(&worker.capacity) && !order.avoid.contains(&worker.name)
    })
}

/// Resources of a worker that urgent tasks could gain by eviction.
pub(super) fn evictable(state: &State, key: WorkerKey) -> Resources {
    let active = state.active_on(key);
    active
        .filter(|(_, c)| may_evict(c))
        .fold(Resources::default(), |sum, (_, c)| sum + c.demand)
}
