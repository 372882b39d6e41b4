//! Steps that the listed workers could take if they were idle.
//!
//! A step is infeasible if no listed worker of its pool has the required label, or if it needs more than the capacity of
//! any of them. It fits nowhere until the list changes. A caller may submit any number of such steps, so that they are
//! recognised by one look-up each, without a comparison of the workers. The bounds hold in each dimension by itself: some
//! infeasible steps are not recognised, but no feasible step is left out.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::{resources::Resources, workflow::Step};

use super::{Scheduler, Worker, placement::most_idle_cpu_milli};

/// Upper bounds of the capacity of some workers.
#[derive(Clone, Copy, Debug, Default)]
struct CapacityBounds {
    /// Largest capacity in each dimension.
    largest: Resources,
    /// Sum of the capacities.
    total: Resources,
}

impl CapacityBounds {
    fn add(&mut self, capacity: &Resources) {
        self.largest = self.largest.max(capacity);
        self.total = self.total.saturating_add(capacity);
    }

    fn is_feasible(&self, step: &Step) -> bool {
        let available = |capacity: Resources| Resources {
            cpu_milli: if step.best_effort {
                most_idle_cpu_milli(capacity.cpu_milli)
            } else {
                capacity.cpu_milli
            },
            ..capacity
        };
        let gang = step.demand.saturating_mul(u64::from(step.tasks));
        step.demand.fits_in(&available(self.largest))
            && (!step.gang || gang.fits_in(&available(self.total)))
    }
}

/// Bounds of the workers of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolBounds {
    all: CapacityBounds,
    by_label: HashMap<Arc<str>, CapacityBounds>,
}

impl PoolBounds {
    /// Whether idle workers may have room for a task of a step, or for all members of its gang.
    pub(super) fn is_feasible(&self, step: &Step) -> bool {
        let bounds = match &step.required_label {
            None => Some(&self.all),
            Some(label) => self.by_label.get(label),
        };
        bounds.is_some_and(|bounds| bounds.is_feasible(step))
    }
}

/// Bounds of the listed workers, by pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Feasibility {
    by_pool: HashMap<Arc<str>, PoolBounds>,
}

impl Feasibility {
    fn add(&mut self, worker: &Worker) {
        let listing = &worker.listing;
        let pool = self.by_pool.entry(listing.pool.clone()).or_default();
        pool.all.add(&listing.capacity);
        for (index, label) in listing.labels.iter().enumerate() {
            if !listing.labels[..index].contains(label) {
                let of_label = pool.by_label.entry(label.clone()).or_default();
                of_label.add(&listing.capacity);
            }
        }
    }

    pub(super) fn pool(&self, name: &str) -> Option<&PoolBounds> {
        self.by_pool.get(name)
    }
}

impl Scheduler {
    /// Takes the bounds of the listed workers; [`Scheduler::put_back_feasibility`] keeps them for the next plan.
    pub(super) fn take_feasibility(&mut self) -> Feasibility {
        self.feasibility.take().unwrap_or_else(|| {
            let mut feasibility = Feasibility::default();
            let listed = self.workers.values().filter(|worker| worker.listed);
            listed.for_each(|worker| feasibility.add(worker));
            feasibility
        })
    }

    /// Keeps the bounds until the list of workers changes.
    pub(super) fn put_back_feasibility(&mut self, feasibility: Feasibility) {
        self.feasibility = Some(feasibility);
    }
}
