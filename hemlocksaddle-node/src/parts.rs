//! Construction of the node's parts and the references between them.

use std::rc::Rc;

use crate::{
    core::{Core, Part},
    queue::Queues,
    rack::Racks,
    requests::Requests,
};

/// Requests, queues and racks of one node.
pub struct Parts {
    /// Routing of synchronous requests.
    pub requests: Rc<Requests>,
    /// Queues of jobs.
    pub queues: Rc<Queues>,
    /// Racks with their workers.
    pub racks: Rc<Racks>,
}

impl Parts {
    /// Creates all parts and connects them.
    #[must_use]
    pub fn new(core: &Rc<Core>) -> Parts {
        let parts = Parts {
            requests: Requests::new(core.clone()),
            queues: Queues::new(core.clone()),
            racks: Racks::new(core.clone()),
        };
        parts.queues.attach_racks(parts.racks.clone());
        parts
            .queues
            .attach_idempotency(parts.requests.idempotency());
        parts
    }

    /// Parts in the order in which they start and handle calls.
    #[must_use]
    pub fn list(&self) -> Vec<Rc<dyn Part>> {
        vec![
            self.requests.clone(),
            self.queues.clone(),
            self.racks.clone(),
        ]
    }
}

/// Creates all parts, in the order in which they start and handle calls.
#[must_use]
pub fn all(core: &Rc<Core>) -> Vec<Rc<dyn Part>> {
    Parts::new(core).list()
}
