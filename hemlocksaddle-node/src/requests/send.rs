//! Sending a request to an executor on a reserved slot.
//!
//! A send runs in the background until the executor has answered or the longest
//! deadline of the service has passed, even if its caller gives up earlier. It
//! holds the slot meanwhile, because the executor may still be working. For the
//! same reason the slot of a lost answer is held until the deadline that was sent
//! to the executor.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{ExecutorName, ServiceName},
    request::{QuickRequest, QuickResponse, REQUEST_ID_HEADER, RequestId},
    unit::Unit,
};

use super::{
    Requests,
    pool::{End, Failure, SlotKey},
};
use crate::{event::Event, invariant::Invariant, ports::PortError};

/// Lowest HTTP status that counts as an error of the executor.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Outcome of one attempt to run a request.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The executor answered.
    Answer(QuickResponse),
    /// Refused by this node or a peer without being run.
    Refused(QuickResponse),
    /// Certain not to have been sent to an executor.
    NotSent,
    /// May have run; its answer was lost.
    Lost,
    /// May have run; the caller's deadline has passed.
    Late,
}

/// Reserved slot; dropping it frees the slot.
pub(super) struct SlotGuard {
    requests: Rc<Requests>,
    service: ServiceName,
    key: SlotKey,
    end: Cell<End>,
}

struct Target {
    name: ExecutorName,
    address: SocketAddr,
    unit: Unit,
    request: RequestId,
    open: bool,
    connections: u32,
    timeout: Millis,
}

impl SlotGuard {
    pub(super) fn new(requests: Rc<Requests>, service: ServiceName, key: SlotKey) -> SlotGuard {
        SlotGuard {
            requests,
            service,
            key,
            end: Cell::new(End::Unused),
        }
    }

    /// Name of the slot's executor.
    pub(super) fn executor(&self) -> Option<ExecutorName> {
        self.target().map(|target| target.name)
    }

    /// Records the end of the request and keeps the slot.
    fn record_end(self) -> SlotGuard {
        self.requests
            .record_slot_end(&self.service, self.key, self.end.get());
        self
    }

    fn target(&self) -> Option<Target> {
        let pools = self.requests.pools.borrow();
        let pool = pools.get(&self.service)?;
        let (slot, executor) = pool.slot(self.key)?;
        Some(Target {
            name: executor.name.clone(),
            address: executor.address,
            unit: executor.unit.clone(),
            request: slot.request.clone(),
            open: executor.open,
            connections: pool.connections,
            timeout: pool.max_deadline_ms,
        })
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.requests
            .release(&self.service, self.key, self.end.get());
    }
}

impl Requests {
    /// Runs a request on its slot and waits for the answer until the deadline.
    pub(super) async fn run_on_slot(
        self: &Rc<Self>,
        guard: SlotGuard,
        request: &QuickRequest,
        deadline: MonoMs,
    ) -> AttemptOutcome {
        let (sender, receiver) = oneshot::channel();
        let requests = self.clone();
        let request = request.clone();
        self.core.ports.runtime.spawn(Box::pin(async move {
            let outcome = requests.send(&guard, request, deadline).await;
            let held = if matches!(outcome, AttemptOutcome::Lost) {
                Some(guard.record_end())
            } else {
                drop(guard);
                None
            };
            // The receiver is gone if the caller's deadline has passed.
            let _ = sender.send(outcome);
            if let Some(guard) = held {
                requests.sleep_until(deadline).await;
                drop(guard);
            }
        }));
        match select(receiver, self.sleep_until(deadline)).await {
            Either::Left((Ok(outcome), _)) => outcome,
            Either::Left((Err(oneshot::Canceled), _)) => AttemptOutcome::Lost,
            Either::Right(((), _)) => AttemptOutcome::Late,
        }
    }

    async fn send(
        &self,
        guard: &SlotGuard,
        mut request: QuickRequest,
        deadline: MonoMs,
    ) -> AttemptOutcome {
        let Some(target) = self.checked_target(guard, &request) else {
            return AttemptOutcome::NotSent;
        };
        let id = request.id.clone();
        let idempotent = request.idempotent;
        request.deadline_ms = deadline.since(self.now());
        let targets = &self.core.ports.targets;
        let result = targets
            .send(
                target.address,
                &guard.service,
                target.connections,
                request,
                target.timeout,
            )
            .await;
        let (outcome, end) = self.classify(&id, &target, result);
        if matches!(outcome, AttemptOutcome::NotSent) && !idempotent {
            self.sent_ids.borrow_mut().remove(&id);
        }
        guard.end.set(end);
        outcome
    }

    /// Checks the preconditions of a send immediately before it; `None` if one does not hold.
    fn checked_target(&self, guard: &SlotGuard, request: &QuickRequest) -> Option<Target> {
        self.refresh_if_hosts_changed();
        let target = guard.target()?;
        if !target.open || self.core.ownership.lease(&target.unit).is_none() {
            return None;
        }
        let invariants = &self.core.invariants;
        let own_slot = target.request == request.id;
        let leaving = self.is_leaving(target.address);
        let holds = invariants.check(Invariant::OwnAnswer, own_slot, || {
            format!("slot of {} is used by {}", target.request, request.id)
        }) && invariants.check(Invariant::NoWorkForLeavingTarget, !leaving, || {
            format!("request {} for leaving {}", request.id, target.unit)
        }) && (request.idempotent || self.check_first_send(&request.id));
        holds.then_some(target)
    }

    fn check_first_send(&self, id: &RequestId) -> bool {
        let first = self.sent_ids.borrow_mut().insert(id);
        self.core
            .invariants
            .check(Invariant::AtMostOnce, first, || {
                format!("non-idempotent request {id} is sent again")
            })
    }

    fn classify(
        &self,
        id: &RequestId,
        target: &Target,
        result: crate::ports::Result<QuickResponse>,
    ) -> (AttemptOutcome, End) {
        match result {
            Ok(response) => self.classify_answer(id, target, response),
            Err(PortError::NotSent) => (AttemptOutcome::NotSent, End::Failed(Failure::Unreachable)),
            Err(PortError::Unknown) => (AttemptOutcome::Lost, End::Failed(Failure::NoAnswer)),
        }
    }

    fn classify_answer(
        &self,
        id: &RequestId,
        target: &Target,
        mut response: QuickResponse,
    ) -> (AttemptOutcome, End) {
        let answered = response.headers.remove(REQUEST_ID_HEADER);
        if answered.is_some_and(|answered| *answered != *id.to_string()) {
            Event::AnswerDropped.log(format_args!("{} answered another than {id}", target.unit));
            return (AttemptOutcome::Lost, End::Failed(Failure::NoAnswer));
        }
        let end = if response.status >= MIN_SERVER_ERROR_STATUS {
            End::Failed(Failure::Errors)
        } else {
            End::Answered
        };
        (AttemptOutcome::Answer(response), end)
    }
}
