//! Keeping slots and waiting requests together.
//!
//! Whenever a slot becomes free, it is given to the first waiting request. If
//! none waits, requests are pulled from the peer with the longest queue. A peer
//! hands them over by forwarding them, so that they are in one place at any time
//! and their answers come back as for any forwarded request.

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

/// Age up to which the counts of peers are used without a look at the heartbeats.
const PEER_REFRESH_INTERVAL: Millis = Millis(5);

/// Time within which a peer acknowledges a pull.
const PULL_TIMEOUT: Millis = Millis(500);

impl Requests {
    /// Frees a slot and gives it to the next request.
    pub(super) fn release(self: &Rc<Self>, service: &ServiceName, key: SlotKey, end: End) {
        self.record_slot_end(service, key, end);
        self.with_pool(service, |pool| pool.release(key));
        self.dispatch(service);
        self.pull(service);
    }

    /// Takes over how the request on a slot ended, without freeing the slot.
    pub(super) fn record_slot_end(&self, service: &ServiceName, key: SlotKey, end: End) {
        let random = self.core.ports.runtime.random();
        let now = self.now();
        let in_backoff = self.with_pool(service, |pool| pool.record_end(key, end, now, random));
        if let Some(executor) = in_backoff.flatten() {
            Event::TargetUnreachable.log(format_args!("{service}/{executor}: {end:?}"));
        }
    }

    /// Gives free slots to waiting requests.
    pub(super) fn dispatch(self: &Rc<Self>, service: &ServiceName) {
        let now = self.now();
        while let Some((waiter, key)) = self.next_grant(service, now) {
            let guard = SlotGuard::new(self.clone(), service.clone(), key);
            // A waiter that is gone drops the guard, which frees the slot again.
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

    /// Asks the peer with the longest queue for requests if slots are free.
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
            // The outcome does not matter: requests that were handed over arrive as forwarded ones.
            let _ = requests.core.calls.call(&node, request, PULL_TIMEOUT).await;
            requests.with_view(&service, &node, |view| {
                view.pulling = false;
                view.clear_waiting();
            });
        }));
    }

    /// Hands waiting requests over to a peer that has free slots.
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

    /// Sends waiting requests to peers where they are expected to run sooner.
    pub(super) fn rebalance(&self, service: &ServiceName) {
        let now = self.now();
        self.refresh_peers(service, now);
        let random = self.core.ports.runtime.random();
        // Bounded, because a peer's estimate may not change with a request that has gone meanwhile.
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

    /// Looks at the heartbeats of peers unless that was done just now.
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

    /// Changes the view of a peer.
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

    /// Mean service time of the executors that are not slow.
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
