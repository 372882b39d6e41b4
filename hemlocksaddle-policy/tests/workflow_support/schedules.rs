//! Workflows of the harness that have a schedule.

use hemlocksaddle_types::workflow::{Schedule, Step, Workflow, WorkflowId};

use super::Harness;

impl Harness {
    /// Accepts a workflow with a schedule.
    pub(crate) fn accept_scheduled(&mut self, id: u64, steps: Vec<Step>, schedule: Schedule) {
        let workflow = Workflow {
            schedule: Some(schedule),
            ..self.workflow("queue", steps)
        };
        self.scheduler
            .accept(WorkflowId(id), workflow, self.now, false);
    }
}
