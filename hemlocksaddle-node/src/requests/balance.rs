//! Load balancing of waiting requests between nodes.
//!
//! A slot that becomes free is granted to the first waiting request. If none
//! waits, requests are pulled from the peer with the longest queue (work
//! stealing). The peer forwards them, so a request waits at only one node at any
//! time, and its response returns like that of any forwarded request.

use std::rc::Rc;

use hemlocksaddle_policy::routing;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{NodeName, ServiceName},
    peer::Request,
    request::QuickRequest,
};

use super::{
    Requests,
    peers::{self, PeerView},
    pool::{End, SlotKey},
    send::SlotGuard,
    waiting::{Grant, Waiter},
};
use crate::event::Event;

/// Minimum interval between updates of the peers' load from their heartbeats.
const PEER_REFRESH_INTERVAL: Millis = Millis(5);

/// Timeout of a pull.
const PULL_TIMEOUT: Millis = Millis(500);

impl Requests {
    /// Frees a slot and grants it to the next waiting request.
    pub(super) fn release(self: &Rc<Self>, service: &ServiceName, key: SlotKey, end: End) {
        self.record_slot_end(service, key, end);
        self.with_pool(service, |pool| pool.release(key));
        self.dispatch(service);
        self.pull(service);
    }

    /// Records how the request on a slot ended, without freeing the slot.
    pub(super) fn record_slot_end(&self, service: &ServiceName, key: SlotKey, end: End) {
        let random = self.core.ports.runtime.random();
        let now = self.now();
        let in_backoff = self.with_pool(service, |pool| pool.record_end(key, end, now, random));
        if let Some(executor) = in_backoff.flatten() {
            Event::TargetUnreachable.log(format_args!("{service}/{executor}: {end:?}"));
        }
    }

    /// Grants free slots to waiting requests.
    pub(super) fn dispatch(self: &Rc<Self>, service: &ServiceName) {
        let now = self.now();
        while let Some((waiter, key)) = self.next_grant(service, now) {
            let guard = SlotGuard::new(self.clone(), service.clone(), key);
            // If the receiver is gone, the guard is dropped and frees the slot.
            let _ = waiter.sender.send(Grant::Slot(guard));
        }
    }

    fn next_grant(&self, service: &ServiceName, now: MonoMs) -> Option<(Waiter, SlotKey)> {
        let random = self.core.ports.runtime.random();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(service)?;
        if pool.waiting.len() == 0 {
            return None;
        }
        let id = pool.waiting.first()?.clone();
        let key = pool.reserve(&id, None, now, random)?;
        Some((pool.waiting.pop_first()?, key))
    }

    /// Pulls requests from the peer with the longest queue if slots are free.
    pub(super) fn pull(self: &Rc<Self>, service: &ServiceName) {
        if self.is_stopping() {
            return;
        }
        let now = self.now();
        self.refresh_peers(service, now);
        let chosen = self.with_pool(service, |pool| {
            let own = pool.load(now);
            if own.free <= own.waiting {
                return None;
            }
            let view = longest_queue(&mut pool.peers)?;
            let count = own.free.min(view.estimate().waiting);
            view.pulling = true;
            Some((view.node.clone(), count))
        });
        let Some((node, count)) = chosen.flatten() else {
            return;
        };
        let (requests, service) = (self.clone(), service.clone());
        self.core.ports.runtime.spawn(Box::pin(async move {
            let request = Request::Pull(service.clone(), count);
            // The result is not needed: pulled requests arrive as forwarded ones.
            let _ = requests.core.calls.call(&node, request, PULL_TIMEOUT).await;
            requests.with_view(&service, &node, |view| {
                view.pulling = false;
                view.clear_waiting();
            });
        }));
    }

    /// Forwards up to `count` waiting requests to a peer that pulls them.
    pub(super) fn handle_pull(&self, service: &ServiceName, node: &NodeName, count: u32) {
        for _ in 0..count {
            let waiter = self.with_pool(service, |pool| pool.waiting.pop_last_movable());
            let Some(waiter) = waiter.flatten() else {
                return;
            };
            let now = self.now();
            self.with_view(service, node, |view| view.record_sent(now));
            let _ = waiter.sender.send(Grant::Move(node.clone()));
        }
    }

    /// Forwards waiting requests to peers where they are expected to start sooner.
    pub(super) fn rebalance(&self, service: &ServiceName) {
        let now = self.now();
        self.refresh_peers(service, now);
        let random = self.core.ports.runtime.random();
        // At most one move per waiting request, even if a peer's estimate does not change because
        // the moved request has ended meanwhile.
        let mut left = self
            .with_pool(service, |pool| pool.waiting.len())
            .unwrap_or(0);
        while left > 0 {
            left -= 1;
            let moved = self.with_pool(service, |pool| {
                let own = pool.load(now);
                let loads: Vec<routing::Load> =
                    pool.peers.iter().map(|view| view.estimate()).collect();
                let routing::Route::Peer(index) =
                    routing::choose_route_for_last(&own, &loads, random)
                else {
                    return None;
                };
                let waiter = pool.waiting.pop_last_movable()?;
                pool.peers[index].record_sent(now);
                Some((waiter, pool.peers[index].node.clone()))
            });
            let Some((waiter, node)) = moved.flatten() else {
                return;
            };
            let _ = waiter.sender.send(Grant::Move(node));
        }
    }

    /// Updates the load of peers from their heartbeats, at most once per interval.
    pub(super) fn refresh_peers(&self, service: &ServiceName, now: MonoMs) {
        let due = self.with_pool(service, |pool| {
            let due = now.since(pool.peers_refreshed_ms) >= PEER_REFRESH_INTERVAL;
            if due {
                pool.peers_refreshed_ms = now;
            }
            due
        });
        if due != Some(true) {
            return;
        }
        let states = self.core.calls.peers();
        let silent_ms = self.core.settings.timing.peer_silent_ms;
        self.with_pool(service, |pool| {
            peers::refresh(&mut pool.peers, &states, service, now, silent_ms);
        });
    }

    /// Applies a change to the view of a peer, if there is one.
    pub(super) fn with_view(
        &self,
        service: &ServiceName,
        node: &NodeName,
        change: impl FnOnce(&mut PeerView),
    ) {
        self.with_pool(service, |pool| {
            if let Some(view) = pool.peers.iter_mut().find(|view| view.node == *node) {
                change(view);
            }
        });
    }

    /// Reference service time in milliseconds: the median of the executors' means.
    pub(super) fn reference_ms(&self, request: &QuickRequest) -> f64 {
        self.with_pool(&request.service, |pool| pool.reference_ms())
            .unwrap_or(routing::DEFAULT_SERVICE_MS)
    }
}

fn longest_queue(peers: &mut [PeerView]) -> Option<&mut PeerView> {
    let candidates = peers
        .iter_mut()
        .filter(|view| !view.pulling && routing::should_pull(&view.estimate()));
    candidates.max_by_key(|view| view.estimate().waiting)
}
