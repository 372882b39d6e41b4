//! Identifiers of non-idempotent requests that were sent, for the invariant check
//! that none is sent twice.

use std::collections::{HashSet, VecDeque};

use hemlocksaddle_types::request::RequestId;

/// Number of identifiers kept; a node sends far fewer within the longest deadline.
const MAX_IDS: usize = 65_536;

/// Set of the most recent identifiers.
#[derive(Default)]
pub(super) struct SentIds {
    ids: HashSet<RequestId>,
    order: VecDeque<RequestId>,
}

impl SentIds {
    /// Records a send; `false` if the request was sent before.
    pub(super) fn insert(&mut self, id: &RequestId) -> bool {
        if !self.ids.insert(id.clone()) {
            return false;
        }
        self.order.push_back(id.clone());
        if self.order.len() > MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }

    /// Removes a request that is certain not to have been sent.
    pub(super) fn remove(&mut self, id: &RequestId) {
        self.ids.remove(id);
    }
}
