//! Interface of the node that the server calls.

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

/// Result code and detail text of a refusal.
pub type Refusal = (ResultCode, Arc<str>);

/// Operations of the node for callers and operators.
pub trait Service {
    /// Whether the node is ready to serve requests (readiness, not liveness).
    fn is_ready(&self) -> bool;
    /// Wall-clock time.
    fn wall_now(&self) -> WallMs;
    /// Returns a new request identifier.
    fn next_request_id(&self) -> RequestId;
    /// Executes a synchronous request.
    fn execute(&self, request: QuickRequest) -> PortFuture<'_, QuickResponse>;
    /// Submits a job.
    fn submit(&self, spec: JobSpec) -> PortFuture<'_, Result<JobId, Refusal>>;
    /// Returns the status of a job once it has ended or `wait` has elapsed.
    fn job_status(&self, job: JobId, wait: Millis) -> PortFuture<'_, Result<JobStatus, Refusal>>;
    /// Cancels a job.
    fn cancel(&self, job: JobId) -> PortFuture<'_, Result<(), Refusal>>;
    /// Scheduling decisions about a job, oldest first.
    fn explain(&self, job: JobId) -> PortFuture<'_, Result<Vec<Explanation>, Refusal>>;
    /// Publishes a document if its current revision is `expected`; returns the new revision.
    fn publish(
        &self,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PortFuture<'_, Result<Revision, Refusal>>;
    /// Current documents with their revisions.
    fn documents(&self) -> Vec<(Rc<Document>, Revision)>;
    /// Status of the node.
    fn status(&self) -> serde_json::Value;
    /// Request counts from which error budget burn rates are computed.
    fn burn(&self) -> NodeBurn;
    /// Metrics in the Prometheus text format.
    fn metrics_text(&self) -> String;
}
