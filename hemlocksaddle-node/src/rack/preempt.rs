//! Preemption of batch tasks by urgent tasks.
//!
//! The demand of the urgent task is reserved on the worker while the victims make
//! their checkpoints, so that no other task takes the resources they free.

use std::rc::Rc;

use hemlocksaddle_policy::{
    fairness::over_quota,
    placement::{Victim, choose_victims, lost_work},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostRole,
    job::Urgency,
    name::TeamName,
    peer::{Place, PlaceRefusal, Placed},
    resources::Resources,
};

use super::{
    Racks,
    state::{Commitment, CommitmentKey, Phase, State, WorkerKey},
};

/// Interval between checks whether the victims have finished.
const EVICTION_POLL_MS: Millis = Millis(25);
/// Time before the placement deadline that is reserved for the start order itself.
const START_RESERVE_MS: Millis = Millis(200);

/// Worker with the commitments to evict from it.
pub(super) struct Eviction {
    pub(super) worker: WorkerKey,
    pub(super) victims: Vec<CommitmentKey>,
}

impl Racks {
    /// Eviction that loses the least work for an urgent task; `None` for other tasks, or if no
    /// worker has enough to evict.
    pub(super) fn plan_eviction(&self, state: &State, order: &Place) -> Option<Eviction> {
        if order.urgency != Urgency::Urgent {
            return None;
        }
        let workers = state.workers_of(&order.rack);
        let plans = workers
            .filter(|(_, worker)| self.is_schedulable(worker))
            .filter(|(_, worker)| !order.avoid.contains(&worker.name))
            .filter_map(|(key, _)| self.plan_eviction_on(state, key, &order.demand));
        let best = plans.min_by_key(|(lost, eviction)| (*lost, eviction.worker));
        best.map(|(_, eviction)| eviction)
    }

    fn plan_eviction_on(
        &self,
        state: &State,
        worker: WorkerKey,
        demand: &Resources,
    ) -> Option<(u64, Eviction)> {
        let missing = demand.saturating_sub(&state.free(worker));
        let victims = state.active_on(worker).filter(|(_, c)| may_evict(c));
        let victims = victims.map(|(key, commitment)| Victim {
            key,
            demand: commitment.demand,
            unsaved_ms: commitment
                .progress_ms
                .saturating_sub(commitment.checkpoint_ms),
            over_quota: self.is_over_quota(state, commitment),
        });
        let chosen = choose_victims(&missing, victims.collect())?;
        let lost = chosen.iter().map(lost_work).sum();
        let victims = chosen.into_iter().map(|victim| victim.key).collect();
        Some((lost, Eviction { worker, victims }))
    }

    /// Whether the team of a task uses more than its share of this node's racks.
    ///
    /// A rack owner knows only its own racks, so it compares the team's usage there
    /// with the quota scaled by their fraction of the total capacity.
    fn is_over_quota(&self, state: &State, commitment: &Commitment) -> bool {
        let configuration = &self.core.configuration;
        let Some(document) = configuration.document(&commitment.service) else {
            return false;
        };
        let of_team = |c: &&Commitment| c.is_active() && self.belongs_to_team(c, &document.team);
        let used = state.commitments.values().filter(of_team);
        let used = used.fold(Resources::default(), |sum, c| sum + c.demand);
        let own = state.workers.values();
        let own = own.fold(Resources::default(), |sum, w| sum + w.capacity);
        over_quota(
            &used,
            &scaled(&document.quota, &own, &self.total_capacity()),
        )
    }

    fn belongs_to_team(&self, commitment: &Commitment, team: &TeamName) -> bool {
        let document = self.core.configuration.document(&commitment.service);
        document.is_some_and(|document| document.team == *team)
    }

    fn total_capacity(&self) -> Resources {
        let hosts = self.core.configuration.hosts();
        let workers = hosts.hosts.iter().filter_map(|host| match &host.role {
            HostRole::Worker { capacity, .. } => Some(*capacity),
            _ => None,
        });
        workers.fold(Resources::default(), |sum, capacity| sum + capacity)
    }

    /// Evicts the victims, waits until they have finished, and starts the task.
    pub(super) async fn evict_and_start(
        self: &Rc<Self>,
        eviction: Eviction,
        order: &Place,
        deadline: MonoMs,
    ) -> Placed {
        let id = (order.task, order.attempt);
        if !self.reserve(eviction.worker, order) {
            return Placed::Refused(PlaceRefusal::NoRoom);
        }
        for victim in &eviction.victims {
            self.begin_stop(*victim, true);
        }
        let until = deadline - START_RESERVE_MS;
        while self.now() < until && !self.have_finished(&eviction.victims) {
            self.core.ports.runtime.sleep(EVICTION_POLL_MS).await;
        }
        self.unreserve(eviction.worker, order);
        self.state.borrow_mut().awaiting_eviction.remove(&id);
        let fits = order
            .demand
            .fits_in(&self.state.borrow().free(eviction.worker));
        match fits {
            true => self.start_on(eviction.worker, order, deadline).await,
            false => Placed::Refused(PlaceRefusal::NoRoom),
        }
    }

    fn reserve(&self, worker: WorkerKey, order: &Place) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.workers.get_mut(worker) else {
            return false;
        };
        entry.reserved += order.demand;
        let place = (entry.rack.clone(), entry.name.clone());
        state
            .awaiting_eviction
            .insert((order.task, order.attempt), place);
        true
    }

    fn unreserve(&self, worker: WorkerKey, order: &Place) {
        if let Some(entry) = self.state.borrow_mut().workers.get_mut(worker) {
            entry.reserved -= order.demand;
        }
    }

    fn have_finished(&self, victims: &[CommitmentKey]) -> bool {
        let state = self.state.borrow();
        let mut victims = victims.iter();
        !victims.any(|key| {
            state
                .commitments
                .get(*key)
                .is_some_and(Commitment::is_active)
        })
    }
}

/// Whether a task can be evicted and lose only its progress since the last checkpoint.
pub(super) fn may_evict(commitment: &Commitment) -> bool {
    commitment.urgency == Urgency::Batch
        && commitment.resumable
        && commitment.phase == Phase::Running
        && commitment.stop_sent_ms.is_none()
}

/// Scales an amount by `own / all` in each dimension; unscaled where `all` is zero.
fn scaled(amount: &Resources, own: &Resources, all: &Resources) -> Resources {
    let part = |amount: u64, own: u64, all: u64| match all {
        0 => amount,
        _ => u64::try_from(u128::from(amount) * u128::from(own) / u128::from(all))
            .unwrap_or(u64::MAX),
    };
    Resources {
        cpu_milli: part(amount.cpu_milli, own.cpu_milli, all.cpu_milli),
        memory_mb: part(amount.memory_mb, own.memory_mb, all.memory_mb),
        accelerators: part(amount.accelerators, own.accelerators, all.accelerators),
    }
}
