//! Hedged requests: an extra send of an idempotent request that takes unusually long.
//!
//! The entry node sends the request to a second executor and uses the response
//! that arrives first. Hedges share the retry budget and are sent only while no
//! request waits and a tenth of the slots is free, so that they do not delay other
//! requests. The slower send runs to its end and holds its slot until then.

use std::{future::Future, rc::Rc};

use futures_util::future::{Either, LocalBoxFuture, select};
use hemlocksaddle_policy::routing;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{ExecutorName, NodeName},
    request::QuickRequest,
};

use super::{
    Requests,
    send::{AttemptOutcome, SlotGuard},
};

/// Mean service times after which a hedge is sent; about 5% of exponential times are longer.
const HEDGE_DELAY_SERVICE_TIMES: f64 = 3.0;

/// Target of the first send, which the hedge avoids.
pub(super) enum FirstTarget {
    /// Executor of this node.
    Executor(Option<ExecutorName>),
    /// Peer to which the request was forwarded.
    Peer(NodeName),
}

enum HedgeTarget {
    Slot(SlotGuard),
    Peer(NodeName),
}

impl Requests {
    /// Awaits the first send and adds a hedge if it takes too long.
    ///
    /// Also returns whether a hedge was sent.
    pub(super) async fn run_hedged(
        self: &Rc<Self>,
        first: impl Future<Output = AttemptOutcome>,
        first_target: &FirstTarget,
        request: &QuickRequest,
        deadline: MonoMs,
    ) -> (AttemptOutcome, bool) {
        let delay_ms = HEDGE_DELAY_SERVICE_TIMES * self.reference_ms(request);
        // Mean service times are far below the maximum of `u64`.
        let at = self.now() + Millis(delay_ms as u64);
        if !request.idempotent || at >= deadline {
            return (first.await, false);
        }
        let first = match select(Box::pin(first), self.sleep_until(at)).await {
            Either::Left((outcome, _)) => return (outcome, false),
            Either::Right(((), first)) => first,
        };
        let second: LocalBoxFuture<'_, AttemptOutcome> = match self
            .choose_hedge(request, first_target)
        {
            None => return (first.await, false),
            Some(HedgeTarget::Slot(guard)) => Box::pin(self.run_on_slot(guard, request, deadline)),
            Some(HedgeTarget::Peer(node)) => Box::pin(self.call_peer(node, request, deadline)),
        };
        (race(first, second).await, true)
    }

    fn choose_hedge(
        self: &Rc<Self>,
        request: &QuickRequest,
        first_target: &FirstTarget,
    ) -> Option<HedgeTarget> {
        let now = self.now();
        self.refresh_peers(&request.service, now);
        let random = self.core.ports.runtime.random();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&request.service)?;
        if routing::has_spare_capacity(&pool.load(now)) {
            let avoid = match first_target {
                FirstTarget::Executor(executor) => executor.as_ref(),
                FirstTarget::Peer(_) => None,
            };
            if !pool.budget.withdraw_hedge() {
                return None;
            }
            let key = pool.reserve(&request.id, avoid, now, random)?;
            let service = request.service.clone();
            return Some(HedgeTarget::Slot(SlotGuard::new(
                self.clone(),
                service,
                key,
            )));
        }
        let elsewhere =
            |node: &NodeName| !matches!(first_target, FirstTarget::Peer(first) if first == node);
        let spare = pool
            .peers
            .iter_mut()
            .filter(|view| elsewhere(&view.node) && routing::has_spare_capacity(&view.estimate()));
        let view = spare.max_by_key(|view| view.estimate().free)?;
        if !pool.budget.withdraw_hedge() {
            return None;
        }
        view.record_sent(now);
        Some(HedgeTarget::Peer(view.node.clone()))
    }
}

/// First answer of two sends; if neither is answered, the outcome with the higher rank.
async fn race(
    first: impl Future<Output = AttemptOutcome> + Unpin,
    second: impl Future<Output = AttemptOutcome> + Unpin,
) -> AttemptOutcome {
    let (ended, other) = match select(first, second).await {
        Either::Left((ended, second)) => (ended, Either::Left(second)),
        Either::Right((ended, first)) => (ended, Either::Right(first)),
    };
    if matches!(ended, AttemptOutcome::Answer(_)) {
        return ended;
    }
    let other = match other {
        Either::Left(second) => second.await,
        Either::Right(first) => first.await,
    };
    if rank(&other) >= rank(&ended) {
        other
    } else {
        ended
    }
}

/// Orders outcomes so that one that may have run takes precedence over one that did not.
fn rank(outcome: &AttemptOutcome) -> u8 {
    match outcome {
        AttemptOutcome::NotSent => 0,
        AttemptOutcome::Refused(_) => 1,
        AttemptOutcome::Lost => 2,
        AttemptOutcome::Late => 3,
        AttemptOutcome::Answer(_) => 4,
    }
}
