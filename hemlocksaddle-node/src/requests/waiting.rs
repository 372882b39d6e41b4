//! Queue of requests that wait for a slot of this node.
//!
//! A request waits at one node at a time. Slots are granted by urgency, then in
//! order of arrival. Requests are moved to a peer from the end of the queue, because
//! the last one would wait longest here.

use std::collections::VecDeque;

use futures_channel::oneshot;
use hemlocksaddle_types::{job::Urgency, name::NodeName, request::RequestId};
use slotmap::{SlotMap, new_key_type};

use super::send::SlotGuard;

new_key_type! {
    /// Key of a waiting request.
    pub(super) struct WaitKey;
}

/// What ends the wait of a request.
pub(super) enum Grant {
    /// Slot of an executor of this node.
    Slot(SlotGuard),
    /// Peer to which the request is forwarded.
    Move(NodeName),
    /// Node is stopping; the request returns to its entry node.
    Return,
}

/// Waiting request.
pub(super) struct Waiter {
    /// Identifier of the request.
    pub(super) id: RequestId,
    /// Urgency of the request.
    pub(super) urgency: Urgency,
    /// Whether this node is its entry node and may forward it to a peer.
    pub(super) movable: bool,
    /// Receives the grant.
    pub(super) sender: oneshot::Sender<Grant>,
}

/// Queue ordered by urgency and arrival.
#[derive(Default)]
pub(super) struct WaitQueue {
    waiters: SlotMap<WaitKey, Waiter>,
    /// One queue per urgency; keys of removed waiters are skipped.
    order: [VecDeque<WaitKey>; 3],
}

impl WaitQueue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.waiters.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn push(&mut self, waiter: Waiter) -> WaitKey {
        let level = urgency_level(waiter.urgency);
        let key = self.waiters.insert(waiter);
        self.order[level].push_back(key);
        key
    }

    /// Removes a waiter that has not received a grant.
    pub(super) fn remove(&mut self, key: WaitKey) {
        self.waiters.remove(key);
        if self.waiters.is_empty() {
            self.order.iter_mut().for_each(VecDeque::clear);
        }
    }

    /// Identifier of the request that is served next.
    pub(super) fn first(&mut self) -> Option<&RequestId> {
        for queue in &mut self.order {
            while let Some(key) = queue.front() {
                if self.waiters.contains_key(*key) {
                    return self.waiters.get(*key).map(|waiter| &waiter.id);
                }
                queue.pop_front();
            }
        }
        None
    }

    /// Removes the request that is served next.
    pub(super) fn pop_first(&mut self) -> Option<Waiter> {
        for queue in &mut self.order {
            while let Some(key) = queue.pop_front() {
                if let Some(waiter) = self.waiters.remove(key) {
                    return Some(waiter);
                }
            }
        }
        None
    }

    /// Removes the movable request that would be served last.
    pub(super) fn pop_last_movable(&mut self) -> Option<Waiter> {
        for queue in self.order.iter_mut().rev() {
            let movable = |key: &WaitKey| self.waiters.get(*key).is_some_and(|w| w.movable);
            if let Some(index) = queue.iter().rposition(movable) {
                let key = queue.remove(index)?;
                return self.waiters.remove(key);
            }
        }
        None
    }

    /// Removes all requests that peers forwarded to this node.
    pub(super) fn take_forwarded(&mut self) -> Vec<Waiter> {
        let forwarded: Vec<WaitKey> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| !waiter.movable)
            .map(|(key, _)| key)
            .collect();
        forwarded
            .into_iter()
            .filter_map(|key| self.waiters.remove(key))
            .collect()
    }
}

fn urgency_level(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}
