//! Parts that plug into a node, wired to each other.

use std::rc::Rc;

use crate::{
    core::{Core, Part},
    queue::Queues,
    rack::Racks,
    requests::Requests,
};

/// Requests, queues and racks of one node.
pub struct Parts {
    /// Request routing.
    pub requests: Rc<Requests>,
    /// Queues of jobs.
    pub queues: Rc<Queues>,
    /// Racks of workers.
    pub racks: Rc<Racks>,
}

impl Parts {
    /// All parts, built on the core.
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

    /// Parts in the order in which they start and are asked to handle calls.
    #[must_use]
    pub fn list(&self) -> Vec<Rc<dyn Part>> {
        vec![
            self.requests.clone(),
            self.queues.clone(),
            self.racks.clone(),
        ]
    }
}

/// List of all parts, built on the core.
#[must_use]
pub fn all(core: &Rc<Core>) -> Vec<Rc<dyn Part>> {
    Parts::new(core).list()
}
