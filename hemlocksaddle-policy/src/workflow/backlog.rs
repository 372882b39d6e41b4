//! Accepted and unfinished work of tenants, as input of their admission.
//!
//! All open workflows are counted at once, and new ones are added until the next count, so that the cost of a
//! submission does not grow with the number of workflows.

use std::sync::Arc;

use foldhash::{HashMap, HashSet};
use hemlocksaddle_types::{
    clock::Millis,
    resources::Resources,
    workflow::{Queue, Workflow},
};

use super::Scheduler;
use crate::tenant_admission::{
    Backlog, Decision, Line, Rate, Request, decide, decide_long_running, demand_of,
};

/// Share of a pool's processors from which all of them count as in use, in percent: gaps that are smaller than a
/// task are left in any pool.
const FULL_PERCENT: u64 = 90;

/// Work of a tenant in a pool, of queues with one priority.
#[derive(Clone, Debug)]
struct TenantWork {
    pool: Arc<str>,
    priority: u32,
    backlog: Backlog,
}

/// All work of a tenant.
#[derive(Clone, Debug, Default)]
struct OfTenant {
    work: Vec<TenantWork>,
    /// Resources of long-running tasks that run, by pool.
    running: HashMap<Arc<str>, Resources>,
    /// Resources of all accepted long-running tasks.
    long_running: Resources,
}

impl OfTenant {
    fn backlog(&mut self, pool: &Arc<str>, priority: u32) -> &mut Backlog {
        let known = self
            .work
            .iter()
            .position(|work| work.pool == *pool && work.priority == priority);
        let index = known.unwrap_or_else(|| {
            self.work.push(TenantWork {
                pool: pool.clone(),
                priority,
                backlog: Backlog::default(),
            });
            self.work.len() - 1
        });
        &mut self.work[index].backlog
    }

    /// Work in some pools that comes before that of a queue.
    fn before(&self, queue: &Queue, counts: impl Fn(&str) -> bool) -> Backlog {
        let mut before = Backlog::default();
        let work = self.work.iter();
        work.filter(|work| work.priority <= queue.priority && counts(&work.pool))
            .for_each(|work| before.add(&work.backlog));
        before
    }

    fn running_in_all(&self) -> Resources {
        let mut all = Resources::default();
        self.running.values().for_each(|running| all += *running);
        all
    }
}

/// Capacity of a pool and its use.
#[derive(Clone, Debug, Default)]
struct PoolUse {
    capacity: Resources,
    free: Resources,
    /// Tenants with unfinished work in the pool.
    tenants: HashSet<Arc<str>>,
    /// Sum of their weights.
    total_weight: u64,
}

impl PoolUse {
    fn add_tenant(&mut self, tenant: &Arc<str>, weight: impl Fn(&str) -> u64) {
        if !self.tenants.contains(tenant) {
            self.tenants.insert(tenant.clone());
            self.total_weight += weight(tenant);
        }
    }

    fn is_full(&self) -> bool {
        let in_use = self.capacity.saturating_sub(&self.free);
        in_use.cpu_milli.saturating_mul(100) >= self.capacity.cpu_milli.saturating_mul(FULL_PERCENT)
    }
}

/// Accepted and unfinished work of all tenants.
#[derive(Clone, Debug, Default)]
pub struct TenantLoads {
    tenants: HashMap<Arc<str>, OfTenant>,
    pools: HashMap<Arc<str>, PoolUse>,
}

impl TenantLoads {
    /// Adds a workflow that was accepted since the count; its tenant has a weight.
    pub fn add(&mut self, workflow: &Workflow, queue: &Queue, request: &Request, weight: u64) {
        let Some(tenant) = &workflow.tenant else {
            return;
        };
        let of_tenant = self.tenants.entry(tenant.clone()).or_default();
        of_tenant
            .backlog(&queue.pool, queue.priority)
            .add(&request.work);
        of_tenant.long_running += request.long_running;
        let pool = self.pools.entry(queue.pool.clone()).or_default();
        pool.add_tenant(tenant, |_| weight);
    }

    /// Decides whether a tenant's work can be done in time, under its cap and, if its pool is full, its share.
    ///
    /// `spread` is a random number from 0 to 1.
    #[must_use]
    pub fn decide(
        &self,
        tenant: &str,
        cap: &Resources,
        weight: u64,
        queue: &Queue,
        request: &Request,
        spread: f64,
    ) -> Decision {
        let Some(of_tenant) = self.tenants.get(tenant) else {
            return Decision::Accept;
        };
        let queued = decide_long_running(cap, &of_tenant.long_running, request);
        if queued != Decision::Accept {
            return queued;
        }
        let under_cap = Line {
            backlog: of_tenant.before(queue, |_| true),
            rate: Rate::under_cap(cap, &of_tenant.running_in_all()),
        };
        let Some(pool) = self.pools.get(&queue.pool).filter(|pool| pool.is_full()) else {
            return decide(&[under_cap], request, spread);
        };
        let running = of_tenant.running.get(&queue.pool).copied();
        let running = running.unwrap_or_default();
        let share = Line {
            backlog: of_tenant.before(queue, |pool| *pool == *queue.pool),
            rate: Rate::of_share(&pool.capacity, weight, pool.total_weight, &running),
        };
        decide(&[under_cap, share], request, spread)
    }
}

impl Scheduler {
    /// Counts the accepted and unfinished work of all tenants, which have weights.
    ///
    /// Best-effort work holds up no other and is not counted.
    #[must_use]
    pub fn tenant_loads(&self, weight: impl Fn(&str) -> u64) -> TenantLoads {
        let mut loads = TenantLoads::default();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            let pool = loads.pools.entry(worker.listing.pool.clone()).or_default();
            pool.capacity += worker.listing.capacity;
            pool.free += worker.free();
        }
        for job in self.open_jobs.iter().filter_map(|&key| self.jobs.get(key)) {
            let Some(tenant) = &job.spec.tenant else {
                continue;
            };
            let Some(queue) = self.queue(&job.spec.queue) else {
                continue;
            };
            let pool = loads.pools.entry(queue.pool.clone()).or_default();
            pool.add_tenant(tenant, &weight);
            let of_tenant = loads.tenants.entry(tenant.clone()).or_default();
            let states = job.occurrences.iter();
            for (step, state) in
                states.flat_map(|(_, state)| job.spec.steps.iter().zip(&state.steps))
            {
                let left = step.tasks.saturating_sub(state.done);
                let running = left.saturating_sub(state.waiting);
                if step.long_running {
                    of_tenant.long_running += demand_of(left, step);
                    let in_pool = of_tenant.running.entry(queue.pool.clone()).or_default();
                    *in_pool += demand_of(running, step);
                }
                if step.long_running || step.best_effort {
                    continue;
                }
                let backlog = of_tenant.backlog(&queue.pool, queue.priority);
                backlog.add_tasks(state.waiting, &step.demand, Millis(step.expected_run_ms));
                // On average, half of a run is left.
                backlog.add_tasks(running, &step.demand, Millis(step.expected_run_ms / 2));
            }
        }
        loads
    }
}
