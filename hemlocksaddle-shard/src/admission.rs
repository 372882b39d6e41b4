//! Admission of the work of tenants, by the owner that stores it.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_policy::{
    cap_shares::admitted_cap,
    tenant_admission::{Decision, Request},
    workflow::{Owned, TenantLoads},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
    workflow::{Catalogue, Workflow, WorkflowId},
};

use crate::owner::Owner;

/// Interval at which the accepted and unfinished work is counted while tenants submit; a fraction of the shortest
/// completion target.
const COUNT_INTERVAL_MS: Millis = Millis(250);

/// Weight and cap of a tenant.
type TenantLimits = (u64, Resources);

/// Accepted work and limits of tenants, as of the latest count.
#[derive(Default)]
pub(crate) struct Admission {
    counted_at: Cell<Option<MonoMs>>,
    loads: RefCell<TenantLoads>,
    /// Version of the configuration that the limits are from.
    version: Cell<u64>,
    limits: RefCell<HashMap<Arc<str>, TenantLimits>>,
}

impl Admission {
    /// Takes over the limits of a configuration.
    fn configure(&self, catalogue: &Catalogue) {
        if self.version.replace(catalogue.version) == catalogue.version {
            return;
        }
        let mut limits = HashMap::with_capacity(catalogue.tenants.len());
        for tenant in &catalogue.tenants {
            limits.insert(tenant.name.clone(), (u64::from(tenant.weight), tenant.cap));
        }
        self.limits.replace(limits);
        self.counted_at.set(None);
    }
}

impl Owner {
    /// Admits the work of a tenant; otherwise returns the time after which there is probably room, in seconds.
    ///
    /// A repeated submission is always admitted.
    pub(crate) fn admit(&self, id: WorkflowId, workflow: &Workflow) -> Result<(), u32> {
        let Some(tenant) = &workflow.tenant else {
            return Ok(());
        };
        let Some(catalogue) = self.configuration.catalogue() else {
            return Ok(());
        };
        let Some(queue) = catalogue.queue(&workflow.queue) else {
            return Ok(());
        };
        let scheduler = self.scheduler.borrow();
        if scheduler.tenant_of(id) != Owned::Unknown {
            return Ok(());
        }
        let admission = &self.admission;
        admission.configure(&catalogue);
        let limits = admission.limits.borrow();
        let Some((weight, cap)) = limits.get(tenant) else {
            return Ok(());
        };
        let limit = scheduler.tenant_limit(tenant).unwrap_or_default();
        let cap = admitted_cap(cap, &limit, self.shards);
        let now = self.env.now();
        let counted_at = admission.counted_at.get();
        if counted_at.is_none_or(|at| now.since(at) >= COUNT_INTERVAL_MS) {
            admission.counted_at.set(Some(now));
            // The work of a tenant that was removed goes on.
            let weight_of = |tenant: &str| limits.get(tenant).map_or(1, |(weight, _)| *weight);
            admission.loads.replace(scheduler.tenant_loads(weight_of));
        }
        let request = Request::new(workflow, queue);
        let spread = self.env.ports.runtime.random() as f64 / u64::MAX as f64;
        let mut loads = admission.loads.borrow_mut();
        match loads.decide(tenant, &cap, *weight, queue, &request, spread) {
            Decision::Accept => {
                loads.add(workflow, queue, &request, *weight);
                Ok(())
            }
            Decision::Refuse { retry_after_s } => Err(retry_after_s),
        }
    }
}
