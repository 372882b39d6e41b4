//! What the server needs from the node.

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_types::{
    burn::NodeBurn,
    clock::{Millis, WallMs},
    document::{Document, Revision},
    job::{JobId, JobSpec, JobStatus},
    name::ServiceName,
    outcome::ResultCode,
    peer::Explanation,
    request::{QuickRequest, QuickResponse, RequestId},
};

/// Code and text of a refusal.
pub type Refusal = (ResultCode, Arc<str>);

/// Node as callers and operators use it.
pub trait Service {
    /// Whether the node serves; it may be alive without.
    fn is_ready(&self) -> bool;
    /// Wall-clock time.
    fn wall_now(&self) -> WallMs;
    /// Identifier for a request.
    fn next_request_id(&self) -> RequestId;
    /// Runs a quick request.
    fn execute(&self, request: QuickRequest) -> PortFuture<'_, QuickResponse>;
    /// Accepts a job.
    fn submit(&self, spec: JobSpec) -> PortFuture<'_, Result<JobId, Refusal>>;
    /// Status of a job, after its end or the wait.
    fn job_status(&self, job: JobId, wait: Millis) -> PortFuture<'_, Result<JobStatus, Refusal>>;
    /// Cancels a job.
    fn cancel(&self, job: JobId) -> PortFuture<'_, Result<(), Refusal>>;
    /// Decisions about a job, oldest first.
    fn explain(&self, job: JobId) -> PortFuture<'_, Result<Vec<Explanation>, Refusal>>;
    /// Publishes a document.
    fn publish(
        &self,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PortFuture<'_, Result<Revision, Refusal>>;
    /// Documents in force.
    fn documents(&self) -> Vec<(Rc<Document>, Revision)>;
    /// State of the node.
    fn status(&self) -> serde_json::Value;
    /// Counts against the objectives.
    fn burn(&self) -> NodeBurn;
    /// Metrics in Prometheus text format.
    fn metrics_text(&self) -> String;
}
