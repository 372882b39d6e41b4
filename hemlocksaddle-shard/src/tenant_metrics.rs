//! Metrics of what tenants use, with a bounded number of labels.

use hemlocksaddle_policy::workflow::{TenantUse, TenantUses};
use prometheus::{IntGaugeVec, Opts, Registry};

use crate::owner::Owner;

/// Largest number of tenants with a label of their own.
const MAX_LABELLED_TENANTS: usize = 20;

/// Label of all other tenants together.
const OTHERS: &str = "(others)";

/// Label of work without a tenant.
const WITHOUT_TENANT: &str = "(none)";

/// Value of a limit that does not exist; 0 is one under which nothing starts.
const NO_LIMIT: i64 = -1;

/// Metrics by tenant of the shard that the node owns.
pub struct TenantMetrics {
    used_cpu_milli: IntGaugeVec,
    used_memory_mb: IntGaugeVec,
    used_accelerators: IntGaugeVec,
    unseen_cpu_milli: IntGaugeVec,
    cap_cpu_milli: IntGaugeVec,
    limit_cpu_milli: IntGaugeVec,
    waiting_tasks: IntGaugeVec,
}

impl TenantMetrics {
    /// Registers the metrics.
    pub(crate) fn new(registry: &Registry) -> prometheus::Result<TenantMetrics> {
        let gauge = |name: &str, help: &str| {
            let vector = IntGaugeVec::new(Opts::new(name, help), &["tenant"])?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        Ok(TenantMetrics {
            used_cpu_milli: gauge(
                "shard_tenant_used_cpu_milli",
                "Processors that a tenant uses, in thousandths of a core.",
            )?,
            used_memory_mb: gauge(
                "shard_tenant_used_memory_mb",
                "Memory that a tenant uses, in MB.",
            )?,
            used_accelerators: gauge(
                "shard_tenant_used_accelerators",
                "Accelerators that a tenant uses.",
            )?,
            unseen_cpu_milli: gauge(
                "shard_tenant_unseen_cpu_milli",
                "Processors of runs that no report has shown since the change of owner.",
            )?,
            cap_cpu_milli: gauge(
                "shard_tenant_cap_cpu_milli",
                "Processors that a tenant may use in all shards, 0 for no limit.",
            )?,
            limit_cpu_milli: gauge(
                "shard_tenant_limit_cpu_milli",
                "Processors that a tenant may use in this shard, -1 for no limit.",
            )?,
            waiting_tasks: gauge(
                "shard_tenant_waiting_tasks",
                "Tasks of a tenant that are ready and not assigned.",
            )?,
        })
    }

    fn set(&self, tenant: &str, of: &TenantUse) {
        let set = |gauge: &IntGaugeVec, value: u64| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauge.with_label_values(&[tenant]).set(value);
        };
        set(&self.used_cpu_milli, of.used.cpu_milli);
        set(&self.used_memory_mb, of.used.memory_mb);
        set(&self.used_accelerators, of.used.accelerators);
        set(&self.unseen_cpu_milli, of.unseen.cpu_milli);
        set(&self.waiting_tasks, of.waiting_tasks);
    }

    /// Replaces all values; none are shown without tenants.
    pub fn replace(&self, uses: Option<&TenantUses>) {
        let gauges = [
            &self.used_cpu_milli,
            &self.used_memory_mb,
            &self.used_accelerators,
            &self.unseen_cpu_milli,
            &self.cap_cpu_milli,
            &self.limit_cpu_milli,
            &self.waiting_tasks,
        ];
        // Tenants change places among the highest; labels that are not set again would stay.
        gauges.into_iter().for_each(IntGaugeVec::reset);
        let Some(uses) = uses else { return };
        for (name, of) in &uses.highest {
            self.set(name, of);
            let cap = i64::try_from(of.cap.cpu_milli).unwrap_or(i64::MAX);
            self.cap_cpu_milli.with_label_values(&[&**name]).set(cap);
            let limit = of.limit.cpu_milli;
            let limit = i64::try_from(limit).unwrap_or(NO_LIMIT);
            self.limit_cpu_milli
                .with_label_values(&[&**name])
                .set(limit);
        }
        self.set(OTHERS, &uses.others);
        self.set(WITHOUT_TENANT, &uses.without_tenant);
    }
}

impl Owner {
    /// Updates the metrics of tenants.
    pub(crate) fn report_tenants(&self) {
        let uses = self.scheduler.borrow().tenant_uses(MAX_LABELLED_TENANTS);
        self.env.metrics.tenants.replace(uses.as_ref());
    }

    /// Removes the metrics of tenants when ownership ends.
    pub(crate) fn clear_tenants(&self) {
        self.env.metrics.tenants.replace(None);
    }
}
