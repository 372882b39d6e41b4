//! Requests that wait for a slot of this node.
//!
//! A request waits in one place only. Slots are given to the most urgent request
//! that has waited longest. Requests leave for a peer from the other end, because
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

/// What a waiting request is given.
pub(super) enum Grant {
    /// Slot of an own executor.
    Slot(SlotGuard),
    /// Peer that takes it over.
    Move(NodeName),
    /// Node is stopping; the request goes back to its entry node.
    Return,
}

/// Request that waits.
pub(super) struct Waiter {
    /// Request.
    pub(super) id: RequestId,
    /// Urgency.
    pub(super) urgency: Urgency,
    /// Whether this node took it from a caller and may give it to a peer.
    pub(super) movable: bool,
    /// Receives the grant.
    pub(super) sender: oneshot::Sender<Grant>,
}

/// Queue in order of urgency and arrival.
#[derive(Default)]
pub(super) struct WaitQueue {
    waiters: SlotMap<WaitKey, Waiter>,
    /// One queue per urgency; keys of waiters that have left are skipped.
    order: [VecDeque<WaitKey>; 3],
}

impl WaitQueue {
    /// Requests that wait.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.waiters.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn push(&mut self, waiter: Waiter) -> WaitKey {
        let level = urgency_level(waiter.urgency);
        let key = self.waiters.insert(waiter);
        self.order[level].push_back(key);
        key
    }

    /// Takes a waiter out before it got a grant.
    pub(super) fn remove(&mut self, key: WaitKey) {
        self.waiters.remove(key);
        if self.waiters.is_empty() {
            self.order.iter_mut().for_each(VecDeque::clear);
        }
    }

    /// Request that is served next.
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

    /// Takes the request that is served next.
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

    /// Takes the movable request that would be served last.
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

    /// Takes all requests that other nodes forwarded to this one.
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
