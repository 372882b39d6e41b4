//! Decisions kept for explanation.
//!
//! Each node keeps its latest decisions in a ring of fixed length. They are lost
//! with the node; the log keeps only what is needed to act.

use std::{cell::RefCell, collections::VecDeque, sync::Arc};

use hemlocksaddle_types::{
    clock::WallMs, job::JobId, name::NodeName, peer::Explanation, request::RequestId,
};

/// Decisions kept per node.
pub const MAX_DECISIONS: usize = 16_384;

/// What a decision was about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Job.
    Job(JobId),
    /// Quick request.
    Request(RequestId),
}

/// Ring of decisions.
pub struct Explanations {
    node: NodeName,
    ring: RefCell<VecDeque<(Subject, WallMs, Arc<str>)>>,
}

impl Explanations {
    /// Empty ring of a node.
    #[must_use]
    pub fn new(node: NodeName) -> Explanations {
        Explanations {
            node,
            ring: RefCell::default(),
        }
    }

    /// Keeps a decision; the oldest one goes when the ring is full.
    pub fn add(&self, subject: Subject, at_ms: WallMs, text: impl Into<Arc<str>>) {
        let mut ring = self.ring.borrow_mut();
        if ring.len() == MAX_DECISIONS {
            ring.pop_front();
        }
        ring.push_back((subject, at_ms, text.into()));
    }

    /// Decisions about a subject, oldest first.
    #[must_use]
    pub fn about(&self, subject: &Subject) -> Vec<Explanation> {
        let ring = self.ring.borrow();
        let matching = ring.iter().filter(|(about, _, _)| about == subject);
        matching
            .map(|(_, at_ms, text)| Explanation {
                at_ms: *at_ms,
                node: self.node.clone(),
                text: text.clone(),
            })
            .collect()
    }
}
