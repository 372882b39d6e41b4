//! Recent decisions about jobs and requests, for operators.
//!
//! Each node keeps its latest decisions in memory, in a ring buffer of fixed
//! capacity. They are lost when the node stops: the log stores only the state
//! that is needed to act.

use std::{cell::RefCell, collections::VecDeque, sync::Arc};

use hemlocksaddle_types::{
    clock::WallMs, job::JobId, name::NodeName, peer::Explanation, request::RequestId,
};

/// Maximum number of decisions kept per node.
pub const MAX_DECISIONS: usize = 16_384;

/// Job or request that a decision concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Job.
    Job(JobId),
    /// Synchronous request.
    Request(RequestId),
}

/// Ring buffer of decisions.
pub struct Explanations {
    node: NodeName,
    ring: RefCell<VecDeque<(Subject, WallMs, Arc<str>)>>,
}

impl Explanations {
    /// Creates an empty buffer; `node` is named as the source of each decision.
    #[must_use]
    pub fn new(node: NodeName) -> Explanations {
        Explanations {
            node,
            ring: RefCell::default(),
        }
    }

    /// Adds a decision and evicts the oldest one if the buffer is full.
    pub fn add(&self, subject: Subject, at_ms: WallMs, text: impl Into<Arc<str>>) {
        let mut ring = self.ring.borrow_mut();
        if ring.len() == MAX_DECISIONS {
            ring.pop_front();
        }
        ring.push_back((subject, at_ms, text.into()));
    }

    /// Returns the decisions about a subject, oldest first.
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
