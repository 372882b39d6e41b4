//! Tenants of the deployment, and a check of their caps on the workers' side.

use std::{cell::RefCell, collections::BTreeMap};

use hemlocksaddle_shard::{Node, caller::Caller, frontend::Submitted};
use hemlocksaddle_types::{
    resources::Resources,
    workflow::{KeyDigest, Step, TaskName, Tenant, Workflow, WorkflowId},
};

use super::{Deployment, FakeFleet, Outcome, TASK_CPU_MILLI, workflow};

/// What the workers know of tenants.
#[derive(Default)]
pub(super) struct FleetTenants {
    /// Caps in tasks, by name.
    caps: RefCell<BTreeMap<String, u64>>,
    of_workflow: RefCell<BTreeMap<WorkflowId, String>>,
    /// Highest number of tasks that ran at once, by name.
    peaks: RefCell<BTreeMap<String, u64>>,
}

impl FleetTenants {
    /// Tenant of a task.
    fn tenant_of(&self, task: TaskName) -> Option<String> {
        self.of_workflow.borrow().get(&task.workflow).cloned()
    }
}

impl FakeFleet {
    /// Number of running tasks of a tenant.
    pub(crate) fn running_of(&self, tenant: &str) -> u64 {
        let workers = self.workers.borrow();
        let running = workers.iter().flat_map(|worker| worker.running.keys());
        let of_tenant =
            |task: &&TaskName| self.tenants.tenant_of(**task).as_deref() == Some(tenant);
        running.filter(of_tenant).count() as u64
    }

    /// Most tasks of a tenant that ran at once.
    pub(crate) fn peak_of(&self, tenant: &str) -> u64 {
        let peaks = self.tenants.peaks.borrow();
        peaks.get(tenant).copied().unwrap_or(0)
    }

    /// Records a violation if a task that was started brings its tenant above the cap.
    pub(super) fn check_cap(&self, started: TaskName) {
        let Some(tenant) = self.tenants.tenant_of(started) else {
            return;
        };
        let running = self.running_of(&tenant);
        let cap = self.tenants.caps.borrow().get(&tenant).copied();
        if let Some(cap) = cap.filter(|&cap| running > cap) {
            self.violation(format!(
                "{started} brings tenant {tenant} to {running} of {cap} tasks"
            ));
        }
        let mut peaks = self.tenants.peaks.borrow_mut();
        let peak = peaks.entry(tenant).or_default();
        *peak = running.max(*peak);
    }
}

impl Deployment {
    /// Configures tenants by name, which is also their key, and cap in tasks.
    pub(crate) fn configure_tenants(&self, tenants: &[(&str, u64)]) {
        self.write_tenants(tenants);
        self.check_caps(tenants);
    }

    /// Sets the caps that the workers check.
    pub(crate) fn check_caps(&self, tenants: &[(&str, u64)]) {
        let caps = tenants
            .iter()
            .map(|&(name, tasks)| (name.to_owned(), tasks));
        self.fleet.tenants.caps.replace(caps.collect());
    }

    /// Configures tenants while the workers go on checking the caps from before.
    pub(crate) fn write_tenants(&self, tenants: &[(&str, u64)]) {
        let tenant = |&(name, tasks): &(&str, u64)| Tenant {
            name: name.into(),
            keys: vec![KeyDigest::of(name.as_bytes())],
            weight: 1,
            cap: Resources {
                cpu_milli: tasks * TASK_CPU_MILLI,
                ..Resources::default()
            },
        };
        self.configure(|catalogue| catalogue.tenants = tenants.iter().map(tenant).collect());
    }

    /// Caller that submitted a workflow, as a node identifies it now.
    pub(super) fn caller_of(&self, node: &Node, id: u64) -> Caller {
        let of_workflow = self.fleet.tenants.of_workflow.borrow();
        let tenant = of_workflow.get(&WorkflowId(id));
        let caller = tenant.and_then(|tenant| {
            let catalogue = node.frontend.catalogue()?;
            let queue = catalogue.queue("queue")?;
            node.frontend.identify(queue, Some(tenant.as_bytes()))
        });
        caller.unwrap_or_default()
    }

    fn workflow_of(&self, tenant: &str, id: u64, steps: Vec<Step>) -> Workflow {
        let mut of_workflow = self.fleet.tenants.of_workflow.borrow_mut();
        of_workflow.insert(WorkflowId(id), tenant.to_owned());
        Workflow {
            tenant: Some(tenant.into()),
            ..workflow(steps)
        }
    }

    /// Submits a workflow of a tenant at a node and returns the outcome.
    pub(crate) fn submit_of(
        &self,
        tenant: &str,
        at: usize,
        id: u64,
        steps: Vec<Step>,
    ) -> Submitted {
        let workflow = self.workflow_of(tenant, id, steps);
        let node = self.node(at).expect("node");
        self.sim
            .block_on(node.frontend.submit(WorkflowId(id), workflow))
    }

    /// Submits a workflow of a tenant at a node, without waiting for the outcome.
    pub(crate) fn submit_of_in_background(
        &self,
        tenant: &str,
        at: usize,
        id: u64,
        steps: Vec<Step>,
    ) -> Outcome {
        let workflow = self.workflow_of(tenant, id, steps);
        self.submit_workflow_in_background(at, id, workflow)
    }
}
