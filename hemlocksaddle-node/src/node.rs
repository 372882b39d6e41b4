//! Assembly of a node.

use std::{cell::Cell, rc::Rc};

use futures_util::future::join_all;

use crate::{
    core::{Core, Part},
    event::Event,
};

/// Node with all its parts.
pub struct Node {
    core: Rc<Core>,
    parts: Vec<Rc<dyn Part>>,
    ready: Cell<bool>,
}

impl Node {
    /// Node of parts that were built on the core, in the order in which they start.
    #[must_use]
    pub fn assemble(core: Rc<Core>, parts: Vec<Rc<dyn Part>>) -> Rc<Node> {
        Rc::new(Node {
            core,
            parts,
            ready: Cell::new(false),
        })
    }

    /// What the parts share.
    #[must_use]
    pub fn core(&self) -> &Rc<Core> {
        &self.core
    }

    /// Whether the node serves.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Starts all parts.
    pub fn start(&self) {
        Event::NodeStarted.log(format_args!("{}", self.core.settings.node));
        self.parts.iter().cloned().for_each(Part::start);
    }

    /// Finishes accepted work and releases all units.
    pub async fn stop(&self) {
        self.core.stopping.set(true);
        Event::NodeStopping.log(format_args!("{}", self.core.settings.node));
        join_all(self.parts.iter().cloned().map(Part::stop)).await;
        Event::NodeStopped.log(format_args!("{}", self.core.settings.node));
    }
}
