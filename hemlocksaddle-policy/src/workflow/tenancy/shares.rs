//! Demand of tenants and their limits in this shard, for caps that several shards divide.

use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    resources::Resources,
};

use crate::{
    cap_shares::{Need, Want, limits},
    workflow::Scheduler,
};

use super::{Account, Tenancy};

/// What a tenant uses in this shard and what it waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantDemand {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Cap that all shards divide, with the largest number for no limit; `None` if this process never read one.
    pub cap: Option<Resources>,
    /// Resources in use and waited for.
    pub need: Need,
    /// Present if the limit of this shard holds back a task or gang that fits the cap.
    pub want: Option<Want>,
}

impl Tenancy {
    pub(super) fn cap_of(&self, account: &Account) -> Resources {
        limits(&account.cap.unwrap_or(self.smallest_cap))
    }
}

impl Scheduler {
    /// Sets the limit of a tenant's usage in this shard, in place of the equal part of its cap; returns whether that
    /// is a change.
    pub fn set_tenant_limit(&mut self, name: &Arc<str>, limit: Resources) -> bool {
        let tenancy = &mut self.tenancy;
        tenancy.limits.insert(name.clone(), limit);
        let key = tenancy.by_name.get(name).copied();
        if let Some(account) = key.and_then(|key| tenancy.tenants.get_mut(key)) {
            return account.limit.replace(limit) != Some(limit);
        }
        false
    }

    /// Limit of a tenant's usage in this shard, with the largest number for none; `None` if the tenant is not known.
    #[must_use]
    pub fn tenant_limit(&self, name: &str) -> Option<Resources> {
        let key = *self.tenancy.by_name.get(name)?;
        Some(self.tenancy.limit(self.tenancy.account(Some(key))))
    }

    /// Demand of the tenants that have any, and of those that `is_included` names.
    ///
    /// What a predecessor may have left running counts, also before the first plan.
    pub fn tenant_demands(
        &mut self,
        now: MonoMs,
        wall: WallMs,
        is_included: impl Fn(&Arc<str>) -> bool,
    ) -> Vec<TenantDemand> {
        self.count_unseen_runs(now, wall);
        let mut waiting = HashMap::new();
        for job in self.open_jobs.iter().map(|&key| &self.jobs[key]) {
            let Some(tenant) = job.tenant else { continue };
            let cap = self.tenancy.cap_of(self.tenancy.account(Some(tenant)));
            let occurrences = job.occurrences.iter();
            let steps = occurrences.flat_map(|(_, occurrence)| occurrence.steps.iter().enumerate());
            for (number, state) in steps {
                if state.waiting_since.is_none() || state.waiting == 0 {
                    continue;
                }
                let step = &job.spec.steps[number];
                let tasks = if step.gang { u64::from(step.tasks) } else { 1 };
                let unit = step.demand.saturating_mul(tasks);
                let total = step.demand.saturating_mul(u64::from(state.waiting));
                let (waits, blocked): &mut (Resources, Option<Resources>) =
                    waiting.entry(tenant).or_default();
                *waits = waits.saturating_add(&total);
                if unit.fits_in(&cap) && !self.tenancy.allows(Some(tenant), &unit) {
                    *blocked = Some(blocked.unwrap_or_default().max(&unit));
                }
            }
        }
        let accounts = self.tenancy.tenants.iter().filter(|(_, account)| {
            account.jobs > 0 || account.charges > 0 || is_included(&account.name)
        });
        let demands = accounts.map(|(key, account)| {
            let (waits, blocked) = waiting.get(&key).copied().unwrap_or_default();
            let used = account.used.saturating_add(&account.unseen);
            TenantDemand {
                name: account.name.clone(),
                cap: account.cap.as_ref().map(limits),
                need: Need {
                    used,
                    waiting: waits,
                },
                want: blocked.map(|unit| Want {
                    total: used.saturating_add(&waits),
                    unit,
                }),
            }
        });
        demands.collect()
    }
}
