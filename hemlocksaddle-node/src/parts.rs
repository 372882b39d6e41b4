//! List of the parts that plug into a node.

use std::rc::Rc;

use crate::core::{Core, Part};

/// All parts, built on the core.
#[must_use]
pub fn all(_core: &Rc<Core>) -> Vec<Rc<dyn Part>> {
    Vec::new()
}
