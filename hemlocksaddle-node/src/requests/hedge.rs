//! Second sends of idempotent requests that take unusually long.
//!
//! The entry node sends a second one to another executor and takes the answer
//! that comes first. Hedges share the budget of the retries and are sent only
//! while a tenth of the slots is free, so that they add no wait for others. The
//! loser runs to its end and holds its slot as long.

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
    send::{Attempt, SlotGuard},
};

/// Mean service times after which a second request is sent; about 5% take longer.
const HEDGE_SERVICE_TIMES: f64 = 3.0;

/// Where the first send went; the second goes elsewhere.
pub(super) enum First {
    /// Own executor.
    Executor(Option<ExecutorName>),
    /// Peer.
    Peer(NodeName),
}

enum Second {
    Slot(SlotGuard),
    Peer(NodeName),
}

impl Requests {
    /// Waits for the first send, and for a second one if the first takes long.
    ///
    /// Returns also whether there was a second one.
    pub(super) async fn hedged(
        self: &Rc<Self>,
        first: impl Future<Output = Attempt>,
        went_to: &First,
        request: &QuickRequest,
        deadline: MonoMs,
    ) -> (Attempt, bool) {
        let delay_ms = HEDGE_SERVICE_TIMES * self.reference_ms(request);
        // A mean service time is far below the range of u64.
        let at = self.now() + Millis(delay_ms as u64);
        if !request.idempotent || at >= deadline {
            return (first.await, false);
        }
        let first = match select(Box::pin(first), self.sleep_until(at)).await {
            Either::Left((attempt, _)) => return (attempt, false),
            Either::Right(((), first)) => first,
        };
        let second: LocalBoxFuture<'_, Attempt> = match self.second(request, went_to) {
            None => return (first.await, false),
            Some(Second::Slot(guard)) => Box::pin(self.run_on_slot(guard, request, deadline)),
            Some(Second::Peer(node)) => Box::pin(self.call_peer(node, request, deadline)),
        };
        (race(first, second).await, true)
    }

    fn second(self: &Rc<Self>, request: &QuickRequest, went_to: &First) -> Option<Second> {
        let now = self.now();
        self.refresh_peers(&request.service, now);
        let random = self.core.ports.runtime.random();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&request.service)?;
        if routing::has_spare_capacity(&pool.load(now)) {
            let avoid = match went_to {
                First::Executor(executor) => executor.as_ref(),
                First::Peer(_) => None,
            };
            if !pool.budget.withdraw_hedge() {
                return None;
            }
            let key = pool.reserve(&request.id, avoid, now, random)?;
            let service = request.service.clone();
            return Some(Second::Slot(SlotGuard::new(self.clone(), service, key)));
        }
        let elsewhere = |node: &NodeName| !matches!(went_to, First::Peer(first) if first == node);
        let spare = pool
            .peers
            .iter_mut()
            .filter(|view| elsewhere(&view.node) && routing::has_spare_capacity(&view.estimate()));
        let view = spare.max_by_key(|view| view.estimate().free)?;
        if !pool.budget.withdraw_hedge() {
            return None;
        }
        view.note_sent(now);
        Some(Second::Peer(view.node.clone()))
    }
}

/// First answer; without any, the result that says most about what may have run.
async fn race(
    first: impl Future<Output = Attempt> + Unpin,
    second: impl Future<Output = Attempt> + Unpin,
) -> Attempt {
    let (ended, other) = match select(first, second).await {
        Either::Left((ended, second)) => (ended, Either::Left(second)),
        Either::Right((ended, first)) => (ended, Either::Right(first)),
    };
    if matches!(ended, Attempt::Answer(_)) {
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

fn rank(attempt: &Attempt) -> u8 {
    match attempt {
        Attempt::NotSent => 0,
        Attempt::Refused(_) => 1,
        Attempt::Lost => 2,
        Attempt::Late => 3,
        Attempt::Answer(_) => 4,
    }
}
