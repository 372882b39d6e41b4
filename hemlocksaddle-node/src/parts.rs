//! List of the parts that plug into a node.

use std::rc::Rc;

use crate::{
    core::{Core, Part},
    queue::Queues,
    rack::Racks,
};

/// All parts, built on the core.
///
/// The racks stop last: tasks that the queues hand back are reported by them.
#[must_use]
pub fn all(core: &Rc<Core>) -> Vec<Rc<dyn Part>> {
    vec![Queues::new(core.clone()), Racks::new(core.clone())]
}
