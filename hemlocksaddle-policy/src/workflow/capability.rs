//! What the listed workers could take if they were idle.
//!
//! A step that needs a label which no listed worker of its pool has, or more than any of them has in all, fits nowhere
//! until the list changes. A caller may submit any number of such steps, so that they are told apart by one look-up each
//! and not by a comparison of the workers.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::{resources::Resources, workflow::Step};

use super::{Scheduler, Worker, placement::most_idle_cpu_milli};

/// Upper bounds of what some workers could take.
#[derive(Clone, Copy, Debug, Default)]
struct Capability {
    /// Largest capacity in each dimension.
    largest: Resources,
    /// Sum of the capacities.
    total: Resources,
}

impl Capability {
    fn add(&mut self, capacity: &Resources) {
        self.largest = self.largest.max(capacity);
        self.total = self.total.saturating_add(capacity);
    }

    fn takes(&self, step: &Step) -> bool {
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

/// What the workers of a pool could take.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolCapability {
    all: Capability,
    by_label: HashMap<Arc<str>, Capability>,
}

impl PoolCapability {
    /// Whether idle workers might take a task of a step, or all members of its gang.
    pub(super) fn takes(&self, step: &Step) -> bool {
        let of_step = match &step.required_label {
            None => Some(&self.all),
            Some(label) => self.by_label.get(label),
        };
        of_step.is_some_and(|capability| capability.takes(step))
    }
}

/// What the workers of each pool could take.
#[derive(Clone, Debug, Default)]
pub(super) struct Capabilities {
    by_pool: HashMap<Arc<str>, PoolCapability>,
}

impl Capabilities {
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

    pub(super) fn pool(&self, name: &str) -> Option<&PoolCapability> {
        self.by_pool.get(name)
    }
}

impl Scheduler {
    /// Takes what the listed workers could take; [`Scheduler::put_back_capabilities`] keeps it for the next plan.
    pub(super) fn take_capabilities(&mut self) -> Capabilities {
        self.capabilities.take().unwrap_or_else(|| {
            let mut capabilities = Capabilities::default();
            let listed = self.workers.values().filter(|worker| worker.listed);
            listed.for_each(|worker| capabilities.add(worker));
            capabilities
        })
    }

    /// Keeps capabilities until the list of workers changes.
    pub(super) fn put_back_capabilities(&mut self, capabilities: Capabilities) {
        self.capabilities = Some(capabilities);
    }
}
