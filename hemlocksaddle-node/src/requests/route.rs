//! Routing of one request from this node to an executor and back.
//!
//! Only the entry node sends a request more than once (retry or hedge); a node
//! that receives a forwarded request sends it once. A request that is certain not
//! to have been sent is attempted elsewhere without using the retry budget, a
//! bounded number of times.

use std::{future::Future, rc::Rc};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_policy::{
    admission::{self, Decision},
    routing::{self, Route},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{ExecutorName, NodeName, ServiceName},
    outcome::{ResultCode, RunState},
    peer::{Request, Response},
    request::{QuickRequest, QuickResponse, REQUEST_ID_HEADER},
};

use super::{
    Requests,
    hedge::FirstTarget,
    pool::Pool,
    send::{AttemptOutcome, SlotGuard},
    waiting::{Grant, WaitKey, Waiter},
};
use crate::{core::CallError, invariant::Invariant};

/// Maximum number of attempts for a request that is certain not to have been sent.
const MAX_UNSENT_ATTEMPTS: u32 = 8;

/// Additional attempts that a refusal by a peer counts as.
///
/// Under overload every peer refuses. The limit allows two forwards of a request;
/// more would multiply the messages when they are most expensive.
const EXTRA_ATTEMPTS_PER_REFUSAL: u32 = 3;

/// Retry delay for a caller when no node has a slot.
const NO_SLOT_RETRY_AFTER: Millis = Millis(500);

/// Mean service times that must remain until the deadline for a request to be started.
const MIN_REMAINING_SERVICE_TIMES: f64 = 0.5;

/// Origin of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this node, or this node as the owner of the key's queue.
    Entry,
    /// A peer that forwarded it to this node.
    Peer,
}

/// State of a request across its attempts.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// Whether this node may send the request more than once.
    is_entry: bool,
    /// Whether any part of the request may have reached an executor.
    sent: bool,
    extra_sent: bool,
    unsent_attempts: u32,
    avoid_executor: Option<ExecutorName>,
    avoid_peers: Vec<NodeName>,
    /// Latest refusal by a peer, more specific than "owner unreachable".
    refusal: Option<QuickResponse>,
}

pub(super) enum Action {
    Slot(SlotGuard),
    Peer(NodeName),
    Wait(WaitGuard, oneshot::Receiver<Grant>),
    Refuse(QuickResponse),
}

/// Removes the request from the wait queue when dropped.
pub(super) struct WaitGuard {
    requests: Rc<Requests>,
    service: ServiceName,
    key: WaitKey,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if let Some(pool) = self.requests.pools.borrow_mut().get_mut(&self.service) {
            pool.waiting.remove(self.key);
        }
    }
}

impl Requests {
    /// Runs a request on an executor of this node or of a peer.
    pub(super) async fn route(
        self: &Rc<Self>,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
    ) -> QuickResponse {
        let mut history = AttemptHistory {
            is_entry: origin == Origin::Entry,
            ..AttemptHistory::default()
        };
        let response = loop {
            let outcome = self.attempt(request, deadline, origin, &mut history).await;
            if let Some(response) = self.process_outcome(request, origin, &mut history, outcome) {
                break response;
            }
        };
        let response = match history.refusal.take() {
            Some(refusal) if response.code == ResultCode::OwnerUnreachable => refusal,
            _ => response,
        };
        self.correct_refusal(request, &history, response)
    }

    async fn attempt(
        self: &Rc<Self>,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
        history: &mut AttemptHistory,
    ) -> AttemptOutcome {
        if self.now() >= deadline {
            return AttemptOutcome::Refused(deadline_before_start());
        }
        match self.choose_action(request, deadline, origin, history) {
            Action::Slot(guard) => self.run_locally(guard, request, deadline, history).await,
            Action::Peer(node) => self.forward(node, request, deadline, history).await,
            Action::Refuse(response) => AttemptOutcome::Refused(response),
            Action::Wait(wait_guard, receiver) => {
                let grant = select(receiver, self.sleep_until(deadline)).await;
                drop(wait_guard);
                match grant {
                    Either::Left((Ok(grant), _)) => {
                        self.use_grant(grant, request, deadline, history).await
                    }
                    Either::Left((Err(oneshot::Canceled), _)) | Either::Right(_) => {
                        AttemptOutcome::Refused(deadline_before_start())
                    }
                }
            }
        }
    }

    async fn use_grant(
        self: &Rc<Self>,
        grant: Grant,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut AttemptHistory,
    ) -> AttemptOutcome {
        match grant {
            Grant::Slot(guard) => {
                let left = deadline.since(self.now());
                if !admission::can_meet_deadline(
                    left,
                    self.reference_ms(request) * MIN_REMAINING_SERVICE_TIMES,
                ) {
                    return AttemptOutcome::Refused(deadline_before_start());
                }
                self.run_locally(guard, request, deadline, history).await
            }
            Grant::Move(node) => self.forward(node, request, deadline, history).await,
            Grant::Return => AttemptOutcome::Refused(QuickResponse::refusal(
                ResultCode::Stopping,
                "the node that held the request is stopping",
            )),
        }
    }

    async fn run_locally(
        self: &Rc<Self>,
        guard: SlotGuard,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut AttemptHistory,
    ) -> AttemptOutcome {
        let executor = guard.executor();
        history.avoid_executor = executor.clone();
        let first = self.run_on_slot(guard, request, deadline);
        let first_target = FirstTarget::Executor(executor);
        self.hedge_if_allowed(first, &first_target, request, deadline, history)
            .await
    }

    async fn hedge_if_allowed(
        self: &Rc<Self>,
        first: impl Future<Output = AttemptOutcome>,
        first_target: &FirstTarget,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut AttemptHistory,
    ) -> AttemptOutcome {
        if !history.is_entry || history.extra_sent {
            return first.await;
        }
        let (outcome, hedged) = self
            .run_hedged(first, first_target, request, deadline)
            .await;
        history.extra_sent = hedged;
        outcome
    }

    /// Chooses the next action for a request.
    fn choose_action(
        self: &Rc<Self>,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
        history: &AttemptHistory,
    ) -> Action {
        let now = self.now();
        self.refresh_if_hosts_changed();
        self.refresh_peers(&request.service, now);
        let random = self.core.ports.runtime.random();
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&request.service) else {
            return Action::Refuse(no_slot());
        };
        let mut own = pool.load(now);
        if own.free > own.waiting {
            let avoid = history.avoid_executor.as_ref();
            if let Some(key) = pool.reserve(&request.id, avoid, now, random) {
                let service = request.service.clone();
                return Action::Slot(SlotGuard::new(self.clone(), service, key));
            }
            // The only free slots are those of the executor that failed last.
            own.free = 0;
        }
        if origin == Origin::Entry
            && let Some(index) = choose_peer(pool, &own, history, random)
        {
            pool.peers[index].record_sent(now);
            return Action::Peer(pool.peers[index].node.clone());
        }
        self.enqueue(pool, request, deadline, origin, now)
    }

    fn enqueue(
        self: &Rc<Self>,
        pool: &mut Pool,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
        now: MonoMs,
    ) -> Action {
        let queue = pool.queue(self.core.settings.limits.waiting_per_slot, now, deadline);
        if queue.slots == 0 {
            return Action::Refuse(no_slot());
        }
        if let Decision::Refuse(retry_after) = queue.admit(deadline.since(now)) {
            let refusal = QuickResponse::refusal(
                ResultCode::Overloaded,
                "the expected wait exceeds the deadline",
            );
            return Action::Refuse(refusal.with_retry_after(retry_after));
        }
        let (sender, receiver) = oneshot::channel();
        let key = pool.waiting.push(Waiter {
            id: request.id.clone(),
            urgency: request.urgency,
            movable: origin == Origin::Entry,
            sender,
        });
        let wait_guard = WaitGuard {
            requests: self.clone(),
            service: request.service.clone(),
            key,
        };
        Action::Wait(wait_guard, receiver)
    }

    /// Returns the final response after an attempt, or `None` to attempt again.
    fn process_outcome(
        &self,
        request: &QuickRequest,
        origin: Origin,
        history: &mut AttemptHistory,
        outcome: AttemptOutcome,
    ) -> Option<QuickResponse> {
        match outcome {
            AttemptOutcome::Answer(response) => {
                history.sent = true;
                Some(response)
            }
            AttemptOutcome::Late => {
                history.sent = true;
                let detail = "the deadline passed while the request ran";
                Some(QuickResponse::refusal(
                    ResultCode::DeadlineWhileRunning,
                    detail,
                ))
            }
            AttemptOutcome::Lost => {
                history.sent = true;
                if origin == Origin::Entry && self.may_retry(request, history) {
                    return None;
                }
                let detail = "the executor's answer was lost";
                Some(QuickResponse::refusal(ResultCode::AnswerLost, detail))
            }
            AttemptOutcome::NotSent => {
                history.unsent_attempts += 1;
                (history.unsent_attempts >= MAX_UNSENT_ATTEMPTS).then(|| {
                    let detail = "no executor could be reached";
                    QuickResponse::refusal(ResultCode::OwnerUnreachable, detail)
                        .with_retry_after(NO_SLOT_RETRY_AFTER)
                })
            }
            AttemptOutcome::Refused(response) => Some(response),
        }
    }

    fn may_retry(&self, request: &QuickRequest, history: &mut AttemptHistory) -> bool {
        if !request.idempotent || history.extra_sent {
            return false;
        }
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&request.service);
        history.extra_sent = pool.is_some_and(|pool| pool.budget.withdraw());
        history.extra_sent
    }

    /// Replaces a "not run" response if the request may have been sent.
    fn correct_refusal(
        &self,
        request: &QuickRequest,
        history: &AttemptHistory,
        response: QuickResponse,
    ) -> QuickResponse {
        if response.code.run_state() != RunState::NotRun {
            return response;
        }
        if history.sent && request.idempotent {
            let code = match response.code {
                ResultCode::DeadlineBeforeStart => ResultCode::DeadlineWhileRunning,
                _ => ResultCode::AnswerLost,
            };
            return QuickResponse::refusal(
                code,
                "the first send has no answer, and no second one was possible",
            );
        }
        let holds = self
            .core
            .invariants
            .check(Invariant::TruthfulRefusal, !history.sent, || {
                format!("request {} was sent and refused as not run", request.id)
            });
        if holds {
            return response;
        }
        QuickResponse::refusal(ResultCode::AnswerLost, "the request may have run")
    }

    /// Runs a request on a peer, with a hedge if allowed.
    async fn forward(
        self: &Rc<Self>,
        node: NodeName,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut AttemptHistory,
    ) -> AttemptOutcome {
        let first = self.call_peer(node.clone(), request, deadline);
        let first_target = FirstTarget::Peer(node.clone());
        let outcome = self
            .hedge_if_allowed(first, &first_target, request, deadline, history)
            .await;
        avoid_after_failure(node, outcome, history)
    }

    /// Sends a request to a peer and records the load that its response carries.
    pub(super) async fn call_peer(
        self: &Rc<Self>,
        node: NodeName,
        request: &QuickRequest,
        deadline: MonoMs,
    ) -> AttemptOutcome {
        let mut forwarded = request.clone();
        forwarded.deadline_ms = deadline.since(self.now());
        let timeout = forwarded.deadline_ms;
        let calls = &self.core.calls;
        let result = calls
            .call(&node, Request::Forward(forwarded), timeout)
            .await;
        let now = self.now();
        let outcome = match result {
            Ok(Response::Ran(response, summary)) => {
                self.with_view(&request.service, &node, |view| view.update(&summary, now));
                self.check_own_answer(request, &node, response)
            }
            Ok(Response::Quick(response)) => self.check_own_answer(request, &node, response),
            Ok(_) | Err(CallError::NotSent) => AttemptOutcome::NotSent,
            Err(CallError::NoReply) if now >= deadline => AttemptOutcome::Late,
            Err(CallError::NoReply) => AttemptOutcome::Lost,
        };
        if matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Lost) {
            self.with_view(&request.service, &node, |view| view.clear(now));
        }
        outcome
    }
}

impl Requests {
    /// Checks that a peer's response carries the identifier of this request.
    fn check_own_answer(
        &self,
        request: &QuickRequest,
        node: &NodeName,
        mut response: QuickResponse,
    ) -> AttemptOutcome {
        let answered = response.headers.remove(REQUEST_ID_HEADER);
        let own = answered.is_none_or(|answered| *answered == *request.id.to_string());
        let holds = self.core.invariants.check(Invariant::OwnAnswer, own, || {
            format!(
                "{node} gave the answer to another request for {}",
                request.id
            )
        });
        if holds {
            outcome_of_response(response)
        } else {
            AttemptOutcome::Lost
        }
    }
}

/// Excludes a peer that failed or refused from further attempts.
///
/// Its refusal becomes `NotSent`, so that another node is attempted, unless the deadline has
/// passed.
fn avoid_after_failure(
    node: NodeName,
    outcome: AttemptOutcome,
    history: &mut AttemptHistory,
) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Refused(response) if response.code != ResultCode::DeadlineBeforeStart => {
            history.avoid_peers.push(node);
            history.unsent_attempts += EXTRA_ATTEMPTS_PER_REFUSAL;
            history.refusal = Some(response);
            AttemptOutcome::NotSent
        }
        AttemptOutcome::NotSent | AttemptOutcome::Lost => {
            history.avoid_peers.push(node);
            outcome
        }
        other => other,
    }
}

fn choose_peer(
    pool: &Pool,
    own: &routing::Load,
    history: &AttemptHistory,
    random: u64,
) -> Option<usize> {
    let loads: Vec<routing::Load> = pool
        .peers
        .iter()
        .map(|view| match history.avoid_peers.contains(&view.node) {
            true => routing::Load::default(),
            false => view.estimate(),
        })
        .collect();
    match routing::choose_route(own, &loads, random) {
        Route::Peer(index) => Some(index),
        Route::Local | Route::Queue | Route::Unavailable => None,
    }
}

fn outcome_of_response(response: QuickResponse) -> AttemptOutcome {
    match response.code {
        ResultCode::AnswerLost => AttemptOutcome::Lost,
        ResultCode::DeadlineWhileRunning => AttemptOutcome::Late,
        code if code.run_state() == RunState::NotRun => AttemptOutcome::Refused(response),
        _ => AttemptOutcome::Answer(response),
    }
}

fn deadline_before_start() -> QuickResponse {
    QuickResponse::refusal(
        ResultCode::DeadlineBeforeStart,
        "the deadline passed while the request waited",
    )
}

fn no_slot() -> QuickResponse {
    QuickResponse::refusal(
        ResultCode::OwnerUnreachable,
        "no reachable node has an executor of the service",
    )
    .with_retry_after(NO_SLOT_RETRY_AFTER)
}
