//! Parts that plug into a node.

use std::rc::Rc;

use crate::{
    core::{Core, Part},
    queue::Queues,
    rack::Racks,
    requests::Requests,
};

/// Parts of a node, joined with each other.
pub struct Parts {
    /// Jobs.
    pub queues: Rc<Queues>,
    /// Workers.
    pub racks: Rc<Racks>,
    /// Quick requests.
    pub requests: Rc<Requests>,
}

impl Parts {
    /// Parts built on the core.
    #[must_use]
    pub fn new(core: &Rc<Core>) -> Parts {
        let parts = Parts {
            queues: Queues::new(core.clone()),
            racks: Racks::new(core.clone()),
            requests: Requests::new(core.clone()),
        };
        parts.queues.attach_racks(parts.racks.clone());
        parts.queues.attach_guard(parts.requests.guards());
        parts
    }

    /// All parts in the order in which they start and are asked to handle calls.
    #[must_use]
    pub fn list(&self) -> Vec<Rc<dyn Part>> {
        vec![
            self.queues.clone(),
            self.racks.clone(),
            self.requests.clone(),
        ]
    }
}

/// All parts, built on the core.
#[must_use]
pub fn all(core: &Rc<Core>) -> Vec<Rc<dyn Part>> {
    Parts::new(core).list()
}
