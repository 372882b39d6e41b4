//! Workflows of the harness that belong to tenants.

use hemlocksaddle_policy::workflow::{End, Report, StartAnswer, TaskStatus};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    workflow::{Schedule, Step, Workflow, WorkflowId},
};

use super::Harness;

impl Harness {
    /// Accepts a workflow of a tenant.
    pub(crate) fn accept_of(&mut self, tenant: &str, id: u64, steps: Vec<Step>) {
        self.add_of(tenant, id, steps, false);
    }

    /// Accepts a workflow of a tenant of which a predecessor may have started tasks.
    pub(crate) fn inherit_of(&mut self, tenant: &str, id: u64, steps: Vec<Step>) {
        self.add_of(tenant, id, steps, true);
    }

    /// Accepts a workflow with occurrences that are all due, of which a predecessor may have started tasks.
    pub(crate) fn inherit_scheduled_of(
        &mut self,
        tenant: &str,
        id: u64,
        steps: Vec<Step>,
        occurrences: u32,
    ) {
        let workflow = Workflow {
            tenant: Some(tenant.into()),
            schedule: Some(Schedule {
                occurrences,
                first_ms: WallMs(1),
                interval_ms: Millis(1),
            }),
            ..self.workflow("queue", steps)
        };
        self.scheduler
            .accept(WorkflowId(id), workflow, self.now, true);
    }

    fn add_of(&mut self, tenant: &str, id: u64, steps: Vec<Step>, inherited: bool) {
        let workflow = Workflow {
            tenant: Some(tenant.into()),
            ..self.workflow("queue", steps)
        };
        self.scheduler
            .accept(WorkflowId(id), workflow, self.now, inherited);
    }

    /// Processors that a tenant's known runs use.
    pub(crate) fn used(&self, tenant: &str) -> u64 {
        let usage = self.scheduler.tenant_usage(tenant);
        usage.map_or(0, |(used, _)| used.cpu_milli)
    }

    /// Plans and confirms all starts; returns their number.
    pub(crate) fn start_all(&mut self) -> usize {
        let starts = self.starts();
        self.answer_all(&starts, StartAnswer::Accepted);
        starts.len()
    }

    /// Reports runs and ends of a worker.
    pub(crate) fn report_state(&mut self, number: usize, running: Vec<TaskStatus>, ends: Vec<End>) {
        let report = Report {
            sent_at: self.now,
            running,
            ends,
        };
        self.report(self.workers[number], &report);
    }
}
