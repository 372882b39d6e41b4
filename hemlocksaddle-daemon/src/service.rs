//! Adapter from the interface for callers and operators to the parts of a node.

use std::{rc::Rc, sync::Arc};

use futures_util::FutureExt;
use hemlocksaddle_adapters::callers::{Refusal, Service};
use hemlocksaddle_node::{
    core::{Core, Part},
    invariant::OnViolation,
    node::Node,
    ports::{PortFuture, Ports},
    queue::Queues,
    rack::Racks,
    requests::Requests,
    settings::Settings,
};
use hemlocksaddle_types::{
    burn::NodeBurn,
    clock::{Millis, WallMs},
    document::{Document, Revision},
    job::{JobId, JobSpec, JobStatus},
    name::ServiceName,
    peer::Explanation,
    request::{QuickRequest, QuickResponse, RequestId},
};

/// Node with the parts that serve callers.
pub(crate) struct NodeService {
    /// Node, which also runs the parts.
    pub(crate) node: Rc<Node>,
    requests: Rc<Requests>,
    queues: Rc<Queues>,
}

impl NodeService {
    /// Creates a node with requests, queues and racks, without starting it.
    pub(crate) fn new(ports: Ports, settings: Settings) -> Rc<NodeService> {
        let mut components = None;
        let node = Node::with_parts(ports, settings, OnViolation::Refuse, |core| {
            let (requests, queues, parts) = parts(core);
            components = Some((requests, queues));
            parts
        });
        let (requests, queues) =
            components.expect("Node::with_parts calls the closure that builds the parts");
        Rc::new(NodeService {
            node,
            requests,
            queues,
        })
    }
}

type Parts = (Rc<Requests>, Rc<Queues>, Vec<Rc<dyn Part>>);

fn parts(core: &Rc<Core>) -> Parts {
    let requests = Requests::new(core.clone());
    let queues = Queues::new(core.clone());
    let racks = Racks::new(core.clone());
    queues.attach_racks(racks.clone());
    queues.attach_idempotency(requests.idempotency());
    let parts: Vec<Rc<dyn Part>> = vec![requests.clone(), queues.clone(), racks];
    (requests, queues, parts)
}

impl Service for NodeService {
    fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    fn wall_now(&self) -> WallMs {
        self.node.core().ports.runtime.wall_now()
    }

    fn next_request_id(&self) -> RequestId {
        self.requests.next_request_id()
    }

    fn execute(&self, request: QuickRequest) -> PortFuture<'_, QuickResponse> {
        self.requests.execute(request).boxed_local()
    }

    fn submit(&self, spec: JobSpec) -> PortFuture<'_, Result<JobId, Refusal>> {
        self.queues.submit(spec).boxed_local()
    }

    fn job_status(&self, job: JobId, wait: Millis) -> PortFuture<'_, Result<JobStatus, Refusal>> {
        self.queues.job_status(job, wait).boxed_local()
    }

    fn cancel(&self, job: JobId) -> PortFuture<'_, Result<(), Refusal>> {
        self.queues.cancel(job).boxed_local()
    }

    fn explain(&self, job: JobId) -> PortFuture<'_, Result<Vec<Explanation>, Refusal>> {
        self.queues.explain_job(job).boxed_local()
    }

    fn publish(
        &self,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PortFuture<'_, Result<Revision, Refusal>> {
        self.node.publish(service, expected, text).boxed_local()
    }

    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        self.node.documents()
    }

    fn status(&self) -> serde_json::Value {
        serde_json::to_value(self.node.status()).unwrap_or_default()
    }

    fn burn(&self) -> NodeBurn {
        let documents = self.node.documents();
        let documents: Vec<&Document> = documents.iter().map(|(document, _)| &**document).collect();
        self.requests.burn().report(self.wall_now(), &documents)
    }

    fn metrics_text(&self) -> String {
        self.node.metrics_text()
    }
}
