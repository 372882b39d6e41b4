//! View of the tenants' usage for metrics, with a bounded number of entries.

use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_types::resources::Resources;

use crate::{
    cap_shares::UNLIMITED,
    workflow::{Scheduler, TenantKey},
};

use super::Account;

/// What one tenant uses, or several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantUse {
    /// Resources of its runs.
    pub used: Resources,
    /// Upper bound of the resources of its runs that no report has shown yet after a change of owner.
    pub unseen: Resources,
    /// Configured cap; 0 means no limit.
    pub cap: Resources,
    /// Limit of its usage in this shard, with the largest number for none.
    pub limit: Resources,
    /// Tasks that are ready and not assigned.
    pub waiting_tasks: u64,
}

impl TenantUse {
    fn of(account: &Account, limit: Resources, waiting_tasks: u64) -> TenantUse {
        TenantUse {
            used: account.used,
            unseen: account.unseen,
            cap: account.cap.unwrap_or_default(),
            limit,
            waiting_tasks,
        }
    }

    /// Adds another one's use; the caps and limits of several have no sum.
    fn add(&mut self, other: &TenantUse) {
        self.used = self.used.saturating_add(&other.used);
        self.unseen = self.unseen.saturating_add(&other.unseen);
        self.waiting_tasks += other.waiting_tasks;
    }
}

/// Use of the tenants with the highest shares, and of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantUses {
    /// Tenants with the highest shares, by name.
    pub highest: Vec<(Arc<str>, TenantUse)>,
    /// Sum of the other tenants.
    pub others: TenantUse,
    /// Work without a tenant.
    pub without_tenant: TenantUse,
}

impl Scheduler {
    /// Use of at most `limit` tenants with the highest shares, then most waiting tasks, and of the others together;
    /// `None` if there are no tenants.
    #[must_use]
    pub fn tenant_uses(&self, limit: usize) -> Option<TenantUses> {
        let tenancy = &self.tenancy;
        if tenancy.len() == 0 {
            return None;
        }
        let waiting = self.waiting_by_tenant();
        let waiting_tasks = |key: Option<TenantKey>| waiting.get(&key).copied().unwrap_or(0);
        let mut all: Vec<(f64, &Account, u64)> = tenancy
            .tenants
            .iter()
            .map(|(key, account)| {
                let share = account.share(&tenancy.capacity);
                (share, account, waiting_tasks(Some(key)))
            })
            .collect();
        let highest = |a: &(f64, &Account, u64), b: &(f64, &Account, u64)| {
            let by_share = b.0.total_cmp(&a.0).then(b.2.cmp(&a.2));
            by_share.then_with(|| a.1.name.cmp(&b.1.name))
        };
        if limit < all.len() {
            all.select_nth_unstable_by(limit, highest);
        }
        let mut uses = TenantUses {
            without_tenant: TenantUse::of(&tenancy.without_tenant, UNLIMITED, waiting_tasks(None)),
            ..TenantUses::default()
        };
        for (number, (_, account, waiting_tasks)) in all.into_iter().enumerate() {
            let of = TenantUse::of(account, tenancy.limit(account), waiting_tasks);
            if number < limit {
                uses.highest.push((account.name.clone(), of));
            } else {
                uses.others.add(&of);
            }
        }
        uses.highest.sort_by(|a, b| a.0.cmp(&b.0));
        Some(uses)
    }

    /// Number of ready tasks that wait, by tenant.
    fn waiting_by_tenant(&self) -> HashMap<Option<TenantKey>, u64> {
        let mut waiting = HashMap::new();
        for job in self.open_jobs.iter().map(|&key| &self.jobs[key]) {
            let occurrences = job.occurrences.iter();
            let steps = occurrences.flat_map(|(_, occurrence)| &occurrence.steps);
            let ready = steps.filter(|step| step.waiting_since.is_some());
            *waiting.entry(job.tenant).or_default() +=
                ready.map(|step| u64::from(step.waiting)).sum::<u64>();
        }
        waiting
    }
}
