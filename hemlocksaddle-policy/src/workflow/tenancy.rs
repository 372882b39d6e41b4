//! Tenants: what each has running, its cap and its share.
//!
//! A tenant's usage is the demand of its tasks that are assigned to workers and of its runs that are left on
//! them. It changes with each assignment, at the same cost for any number of tenants. No task is started that
//! would bring the usage above the tenant's cap; a cap that is lowered stops nothing. Within one
//! priority, the tenant with the lowest share is served first. `docs/design/tenants.md` gives the reasons.

mod order;
mod shares;
mod unseen;
mod usage;

use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_types::{
    resources::Resources,
    workflow::{TaskName, Tenant},
};
use slotmap::SlotMap;

use crate::cap_shares::equal_share;

use super::{Scheduler, TaskKey, TenantKey, WorkerKey, worker::Leftover};

pub use self::{
    shares::TenantDemand,
    usage::{TenantUse, TenantUses},
};

/// Resources that a run left on a worker counts for its tenant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Charge {
    /// `None` for work without a tenant.
    pub(super) tenant: Option<TenantKey>,
    pub(super) demand: Resources,
}

/// State of a tenant.
#[derive(Clone, Debug)]
struct Account {
    name: Arc<str>,
    weight: u32,
    /// Latest configured cap; `None` if this process never read one.
    cap: Option<Resources>,
    /// Limit in this shard; `None` for an equal part of the cap.
    limit: Option<Resources>,
    /// Whether the latest configuration has the tenant.
    is_configured: bool,
    /// Number of workflows that are kept.
    jobs: u32,
    /// Number of tasks and leftovers that count.
    charges: u32,
    used: Resources,
    /// Upper bound of what a predecessor may have left running and no report has shown.
    unseen: Resources,
}

impl Account {
    fn new(name: Arc<str>) -> Account {
        Account {
            name,
            weight: 1,
            cap: None,
            limit: None,
            is_configured: false,
            jobs: 0,
            charges: 0,
            used: Resources::default(),
            unseen: Resources::default(),
        }
    }

    fn charge(&mut self, demand: Resources) {
        self.charges += 1;
        self.used += demand;
    }

    fn release(&mut self, demand: Resources) {
        debug_assert!(self.charges > 0 && demand.fits_in(&self.used));
        self.charges -= 1;
        self.used -= demand;
    }

    fn is_needed(&self) -> bool {
        self.is_configured || self.jobs > 0 || self.charges > 0
    }

    /// Largest part of the capacity that is in use, divided by the weight.
    fn share(&self, capacity: &Resources) -> f64 {
        let part = |used: u64, capacity: u64| used as f64 / capacity.max(1) as f64;
        let dominant = part(self.used.cpu_milli, capacity.cpu_milli)
            .max(part(self.used.memory_mb, capacity.memory_mb))
            .max(part(self.used.accelerators, capacity.accelerators));
        dominant / f64::from(self.weight.max(1))
    }
}

/// Shard of this owner among those that divide each cap.
#[derive(Clone, Copy, Debug)]
struct CapShare {
    shard: u32,
    shards: u32,
}

/// All tenants that are configured or have work.
#[derive(Debug)]
pub(super) struct Tenancy {
    tenants: SlotMap<TenantKey, Account>,
    by_name: HashMap<Arc<str>, TenantKey>,
    /// Work without a tenant.
    without_tenant: Account,
    cap_share: CapShare,
    /// Limits in this shard that differ from an equal part, also of tenants that come back.
    limits: HashMap<Arc<str>, Resources>,
    /// Smallest configured cap of each resource, for tenants whose own is not known.
    smallest_cap: Resources,
    /// Whether the unseen runs of any tenant may be other than none.
    has_unseen: bool,
    /// Capacity of all listed workers.
    capacity: Resources,
    turn: order::Turn,
}

impl Default for Tenancy {
    fn default() -> Tenancy {
        Tenancy {
            tenants: SlotMap::with_key(),
            by_name: HashMap::new(),
            without_tenant: Account::new("".into()),
            cap_share: CapShare {
                shard: 0,
                shards: 1,
            },
            limits: HashMap::new(),
            smallest_cap: Resources::default(),
            has_unseen: false,
            capacity: Resources::default(),
            turn: order::Turn::default(),
        }
    }
}

impl Tenancy {
    /// Applies the configured tenants; removed ones keep their last weight and cap while they have work.
    pub(super) fn configure(&mut self, tenants: &[Tenant]) {
        for account in self.tenants.values_mut() {
            account.is_configured = false;
        }
        for tenant in tenants {
            let key = self.key(&tenant.name);
            let account = &mut self.tenants[key];
            account.is_configured = true;
            account.weight = tenant.weight;
            account.cap = Some(tenant.cap);
        }
        let smallest = |of: fn(&Resources) -> u64| {
            let caps = tenants.iter().map(|tenant| of(&tenant.cap));
            caps.filter(|&cap| cap > 0).min().unwrap_or(0)
        };
        self.smallest_cap = Resources {
            cpu_milli: smallest(|cap| cap.cpu_milli),
            memory_mb: smallest(|cap| cap.memory_mb),
            accelerators: smallest(|cap| cap.accelerators),
        };
        let by_name = &mut self.by_name;
        self.tenants.retain(|_, account| {
            let is_needed = account.is_needed();
            if !is_needed {
                by_name.remove(&account.name);
            }
            is_needed
        });
    }

    /// Number of tenants that are kept.
    pub(super) fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Records a workflow of a tenant.
    pub(super) fn enter(&mut self, name: &Arc<str>) -> TenantKey {
        let key = self.key(name);
        self.tenants[key].jobs += 1;
        key
    }

    /// Records that a workflow is not kept any more.
    pub(super) fn leave(&mut self, tenant: Option<TenantKey>) {
        let Some(key) = tenant else { return };
        if let Some(account) = self.tenants.get_mut(key) {
            account.jobs -= 1;
            self.drop_unneeded(key);
        }
    }

    /// Counts a run for a tenant.
    pub(super) fn charge(&mut self, tenant: Option<TenantKey>, demand: Resources) {
        self.account_mut(tenant).charge(demand);
        self.turn.starts += 1;
    }

    /// Takes back what [`Tenancy::charge`] counted.
    pub(super) fn release(&mut self, tenant: Option<TenantKey>, demand: Resources) {
        self.account_mut(tenant).release(demand);
        if let Some(key) = tenant {
            self.drop_unneeded(key);
        }
    }

    fn key(&mut self, name: &Arc<str>) -> TenantKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let key = self.tenants.insert(Account {
            limit: self.limits.get(name).copied(),
            ..Account::new(name.clone())
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    fn drop_unneeded(&mut self, key: TenantKey) {
        if !self.tenants[key].is_needed()
            && let Some(account) = self.tenants.remove(key)
        {
            self.by_name.remove(&account.name);
        }
    }

    fn account(&self, tenant: Option<TenantKey>) -> &Account {
        tenant.map_or(&self.without_tenant, |key| &self.tenants[key])
    }

    fn account_mut(&mut self, tenant: Option<TenantKey>) -> &mut Account {
        match tenant {
            Some(key) => &mut self.tenants[key],
            None => &mut self.without_tenant,
        }
    }

    /// Limit of a tenant's usage in this shard.
    fn limit(&self, account: &Account) -> Resources {
        let CapShare { shard, shards } = self.cap_share;
        let equal = || equal_share(&self.cap_of(account), shard, shards);
        account.limit.unwrap_or_else(equal)
    }

    /// Whether a tenant may start tasks of a demand.
    fn allows(&self, tenant: Option<TenantKey>, demand: &Resources) -> bool {
        let Some(key) = tenant else { return true };
        let account = &self.tenants[key];
        let counted = account.used.saturating_add(&account.unseen);
        if account.cap.is_none() && counted == Resources::default() {
            // Accepted work of a removed tenant has to end, and its cap is not known.
            return true;
        }
        let total = counted.saturating_add(demand);
        let limit = self.limit(account);
        let within = |demand: u64, total: u64, limit: u64| demand == 0 || total <= limit;
        within(demand.cpu_milli, total.cpu_milli, limit.cpu_milli)
            && within(demand.memory_mb, total.memory_mb, limit.memory_mb)
            && within(demand.accelerators, total.accelerators, limit.accelerators)
    }
}

impl Scheduler {
    /// Limits this owner to an equal part of each cap, unless a tenant's limit is set; every other shard's owner
    /// uses its own.
    pub fn set_cap_share(&mut self, shard: u32, shards: u32) {
        self.tenancy.cap_share = CapShare {
            shard,
            shards: shards.max(1),
        };
    }

    /// Whether the tenant's cap allows the start of a task, or of all members of its gang.
    pub(super) fn cap_allows(&self, key: TaskKey) -> bool {
        let job = &self.jobs[key.job];
        let step = job.step(key);
        let tasks = if step.gang { u64::from(step.tasks) } else { 1 };
        let demand = step.demand.saturating_mul(tasks);
        self.tenancy.allows(job.tenant, &demand)
    }

    /// Whether the tenant of a task has more running than its cap, so that a run which ends is not replaced.
    pub(super) fn is_above_cap(&self, key: TaskKey) -> bool {
        let tenant = self.jobs[key.job].tenant;
        tenant.is_some_and(|_| {
            let account = self.tenancy.account(tenant);
            let counted = account.used.saturating_add(&account.unseen);
            !counted.fits_in(&self.tenancy.limit(account))
        })
    }

    /// What a run counts for its tenant while it is left on a worker; `None` if its workflow is not known.
    pub(super) fn charge_of(&self, task: TaskName) -> Option<Charge> {
        let job = &self.jobs[*self.by_id.get(&task.workflow)?];
        let step = job.spec.steps.get(usize::from(task.step))?;
        Some(Charge {
            tenant: job.tenant,
            demand: step.demand,
        })
    }

    /// Takes charges back.
    pub(super) fn release_charges(&mut self, charges: impl IntoIterator<Item = Charge>) {
        for charge in charges {
            self.tenancy.release(charge.tenant, charge.demand);
        }
    }

    /// Takes the charges of earlier leftovers back, except for runs that are still there and whose workflow
    /// is not known any more.
    pub(super) fn renew_charges(
        &mut self,
        worker: WorkerKey,
        earlier: impl IntoIterator<Item = Leftover>,
    ) {
        for run in earlier {
            let Some(charge) = run.charge else { continue };
            let worker = self.workers.get_mut(worker);
            let mut left = worker.into_iter().flat_map(|worker| &mut worker.leftovers);
            let uncounted = left
                .find(|left| left.charge.is_none() && (left.task, left.run) == (run.task, run.run));
            match uncounted {
                Some(left) => left.charge = Some(charge),
                None => self.tenancy.release(charge.tenant, charge.demand),
            }
        }
    }

    /// Resources that a tenant's runs use, and an upper bound of those that no report has shown yet.
    #[must_use]
    pub fn tenant_usage(&self, name: &str) -> Option<(Resources, Resources)> {
        let key = *self.tenancy.by_name.get(name)?;
        let account = self.tenancy.account(Some(key));
        Some((account.used, account.unseen))
    }

    /// Number of tenants that are kept: those that are configured or have work.
    #[must_use]
    pub fn tenants(&self) -> usize {
        self.tenancy.len()
    }
}
