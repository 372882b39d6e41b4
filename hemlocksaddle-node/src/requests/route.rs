//! The way of one request from this node to an executor and back.
//!
//! The entry node decides about second sends; a node that a request was
//! forwarded to sends it once. A request that certainly was not sent is tried
//! elsewhere without using the budget, a bounded number of times.

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
    hedge::First,
    pool::Pool,
    send::{Attempt, SlotGuard},
    waiting::{Grant, WaitKey, Waiter},
};
use crate::{core::CallError, invariant::Invariant};

/// Tries of a request that certainly was not sent.
const MAX_TRIES: u32 = 8;

/// Tries that a refusal by a peer counts for.
///
/// Under overload every peer refuses; more than two forwards of each request
/// would multiply the messages when they are most expensive.
const TRIES_PER_REFUSAL: u32 = 3;

/// Time after which a caller may retry when no node has a slot.
const NO_SLOT_RETRY: Millis = Millis(500);

/// Share of the mean service time that a request needs to be worth starting.
const WORTH_STARTING: f64 = 0.5;

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// From a caller of this node, or from its queue of non-idempotent requests.
    Entry,
    /// From a peer that chose this node.
    Peer,
}

/// What was tried so far.
#[derive(Default)]
pub(super) struct History {
    /// Whether this node decides about second sends.
    is_entry: bool,
    /// Whether a part of the request may have reached an executor.
    sent: bool,
    retried: bool,
    tries: u32,
    avoid_executor: Option<ExecutorName>,
    avoid_peers: Vec<NodeName>,
    /// Latest refusal by a peer, which says more than that no node is left.
    refusal: Option<QuickResponse>,
}

pub(super) enum Step {
    Slot(SlotGuard),
    Peer(NodeName),
    Wait(WaitTicket, oneshot::Receiver<Grant>),
    Refuse(QuickResponse),
}

/// Place in the queue, given up when this is dropped.
pub(super) struct WaitTicket {
    requests: Rc<Requests>,
    service: ServiceName,
    key: WaitKey,
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        if let Some(pool) = self.requests.pools.borrow_mut().get_mut(&self.service) {
            pool.waiting.remove(self.key);
        }
    }
}

impl Requests {
    /// Runs a request on an own executor or on one of a peer.
    pub(super) async fn route(
        self: &Rc<Self>,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
    ) -> QuickResponse {
        let mut history = History {
            is_entry: origin == Origin::Entry,
            ..History::default()
        };
        let response = loop {
            let attempt = self.attempt(request, deadline, origin, &mut history).await;
            if let Some(response) = self.settle(request, origin, &mut history, attempt) {
                break response;
            }
        };
        let response = match history.refusal.take() {
            Some(refusal) if response.code == ResultCode::OwnerUnreachable => refusal,
            _ => response,
        };
        self.truthful(request, &history, response)
    }

    async fn attempt(
        self: &Rc<Self>,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
        history: &mut History,
    ) -> Attempt {
        if self.now() >= deadline {
            return Attempt::Refused(too_late());
        }
        match self.step(request, deadline, origin, history) {
            Step::Slot(guard) => self.on_slot(guard, request, deadline, history).await,
            Step::Peer(node) => self.forward(node, request, deadline, history).await,
            Step::Refuse(response) => Attempt::Refused(response),
            Step::Wait(ticket, receiver) => {
                let grant = select(receiver, self.sleep_until(deadline)).await;
                drop(ticket);
                match grant {
                    Either::Left((Ok(grant), _)) => {
                        self.granted(grant, request, deadline, history).await
                    }
                    Either::Left((Err(oneshot::Canceled), _)) | Either::Right(_) => {
                        Attempt::Refused(too_late())
                    }
                }
            }
        }
    }

    async fn granted(
        self: &Rc<Self>,
        grant: Grant,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut History,
    ) -> Attempt {
        match grant {
            Grant::Slot(guard) => {
                let left = deadline.since(self.now());
                if !admission::can_meet_deadline(left, self.reference_ms(request) * WORTH_STARTING)
                {
                    return Attempt::Refused(too_late());
                }
                self.on_slot(guard, request, deadline, history).await
            }
            Grant::Move(node) => self.forward(node, request, deadline, history).await,
            Grant::HandBack => Attempt::Refused(QuickResponse::refusal(
                ResultCode::Stopping,
                "the node that held the request is stopping",
            )),
        }
    }

    async fn on_slot(
        self: &Rc<Self>,
        guard: SlotGuard,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut History,
    ) -> Attempt {
        let executor = guard.executor();
        history.avoid_executor = executor.clone();
        let first = self.run_on_slot(guard, request, deadline);
        let went_to = First::Executor(executor);
        self.maybe_hedged(first, &went_to, request, deadline, history)
            .await
    }

    async fn maybe_hedged(
        self: &Rc<Self>,
        first: impl Future<Output = Attempt>,
        went_to: &First,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut History,
    ) -> Attempt {
        if !history.is_entry || history.retried {
            return first.await;
        }
        let (attempt, hedged) = self.hedged(first, went_to, request, deadline).await;
        history.retried = hedged;
        attempt
    }

    /// Decides what to do with a request now.
    fn step(
        self: &Rc<Self>,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
        history: &History,
    ) -> Step {
        let now = self.now();
        self.refresh_if_hosts_changed();
        self.refresh_peers(&request.service, now);
        let random = self.core.ports.runtime.random();
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&request.service) else {
            return Step::Refuse(no_slot());
        };
        let mut own = pool.load(now);
        if own.free > own.waiting {
            let avoid = history.avoid_executor.as_ref();
            if let Some(key) = pool.reserve(&request.id, avoid, now, random) {
                let service = request.service.clone();
                return Step::Slot(SlotGuard::new(self.clone(), service, key));
            }
            // The only free slots are those of the executor that has just failed.
            own.free = 0;
        }
        if origin == Origin::Entry
            && let Some(index) = choose_peer(pool, &own, history, random)
        {
            pool.peers[index].note_sent(now);
            return Step::Peer(pool.peers[index].node.clone());
        }
        self.wait(pool, request, deadline, origin, now)
    }

    fn wait(
        self: &Rc<Self>,
        pool: &mut Pool,
        request: &QuickRequest,
        deadline: MonoMs,
        origin: Origin,
        now: MonoMs,
    ) -> Step {
        let queue = pool.queue(self.core.settings.limits.waiting_per_slot, now, deadline);
        if queue.slots == 0 {
            return Step::Refuse(no_slot());
        }
        if let Decision::Refuse(retry_after) = queue.admit(deadline.since(now)) {
            let refusal = QuickResponse::refusal(
                ResultCode::Overloaded,
                "the expected wait exceeds the deadline",
            );
            return Step::Refuse(refusal.with_retry_after(retry_after));
        }
        let (sender, receiver) = oneshot::channel();
        let key = pool.waiting.push(Waiter {
            id: request.id.clone(),
            urgency: request.urgency,
            movable: origin == Origin::Entry,
            sender,
        });
        let ticket = WaitTicket {
            requests: self.clone(),
            service: request.service.clone(),
            key,
        };
        Step::Wait(ticket, receiver)
    }

    /// Response after an attempt; `None` if there is another one.
    fn settle(
        &self,
        request: &QuickRequest,
        origin: Origin,
        history: &mut History,
        attempt: Attempt,
    ) -> Option<QuickResponse> {
        match attempt {
            Attempt::Answer(response) => {
                history.sent = true;
                Some(response)
            }
            Attempt::Late => {
                history.sent = true;
                let detail = "the deadline passed while the request ran";
                Some(QuickResponse::refusal(
                    ResultCode::DeadlineWhileRunning,
                    detail,
                ))
            }
            Attempt::Lost => {
                history.sent = true;
                if origin == Origin::Entry && self.may_retry(request, history) {
                    return None;
                }
                let detail = "the executor's answer was lost";
                Some(QuickResponse::refusal(ResultCode::AnswerLost, detail))
            }
            Attempt::NotSent => {
                history.tries += 1;
                (history.tries >= MAX_TRIES).then(|| {
                    let detail = "no executor could be reached";
                    QuickResponse::refusal(ResultCode::OwnerUnreachable, detail)
                        .with_retry_after(NO_SLOT_RETRY)
                })
            }
            Attempt::Refused(response) => Some(response),
        }
    }

    fn may_retry(&self, request: &QuickRequest, history: &mut History) -> bool {
        if !request.idempotent || history.retried {
            return false;
        }
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&request.service);
        history.retried = pool.is_some_and(|pool| pool.budget.withdraw());
        history.retried
    }

    /// A response that says "not run" after something was sent is replaced.
    fn truthful(
        &self,
        request: &QuickRequest,
        history: &History,
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

    /// Runs a request on a peer.
    async fn forward(
        self: &Rc<Self>,
        node: NodeName,
        request: &QuickRequest,
        deadline: MonoMs,
        history: &mut History,
    ) -> Attempt {
        let first = self.call_peer(node.clone(), request, deadline);
        let went_to = First::Peer(node.clone());
        let attempt = self
            .maybe_hedged(first, &went_to, request, deadline, history)
            .await;
        after_forward(node, attempt, history)
    }

    /// Sends a request to a peer and takes over the counts that come with the answer.
    pub(super) async fn call_peer(
        self: &Rc<Self>,
        node: NodeName,
        request: &QuickRequest,
        deadline: MonoMs,
    ) -> Attempt {
        let mut forwarded = request.clone();
        forwarded.deadline_ms = deadline.since(self.now());
        let within = forwarded.deadline_ms;
        let calls = &self.core.calls;
        let result = calls.call(&node, Request::Forward(forwarded), within).await;
        let now = self.now();
        let attempt = match result {
            Ok(Response::Ran(response, summary)) => {
                self.with_view(&request.service, &node, |view| view.update(&summary, now));
                self.own_answer(request, &node, response)
            }
            Ok(Response::Quick(response)) => self.own_answer(request, &node, response),
            Ok(_) | Err(CallError::NotSent) => Attempt::NotSent,
            Err(CallError::NoReply) if now >= deadline => Attempt::Late,
            Err(CallError::NoReply) => Attempt::Lost,
        };
        if matches!(attempt, Attempt::NotSent | Attempt::Lost) {
            self.with_view(&request.service, &node, |view| view.clear(now));
        }
        attempt
    }
}

impl Requests {
    /// Answer of a peer, if it names this request.
    fn own_answer(
        &self,
        request: &QuickRequest,
        node: &NodeName,
        mut response: QuickResponse,
    ) -> Attempt {
        let answered = response.headers.remove(REQUEST_ID_HEADER);
        let own = answered.is_none_or(|answered| *answered == *request.id.to_string());
        let holds = self.core.invariants.check(Invariant::OwnAnswer, own, || {
            format!(
                "{node} gave the answer to another request for {}",
                request.id
            )
        });
        if holds {
            forwarded_attempt(response)
        } else {
            Attempt::Lost
        }
    }
}

/// A refusal by a peer is not the last word: the peer is avoided and the request tried elsewhere.
fn after_forward(node: NodeName, attempt: Attempt, history: &mut History) -> Attempt {
    match attempt {
        Attempt::Refused(response) if response.code != ResultCode::DeadlineBeforeStart => {
            history.avoid_peers.push(node);
            history.tries += TRIES_PER_REFUSAL;
            history.refusal = Some(response);
            Attempt::NotSent
        }
        Attempt::NotSent | Attempt::Lost => {
            history.avoid_peers.push(node);
            attempt
        }
        other => other,
    }
}

fn choose_peer(pool: &Pool, own: &routing::Load, history: &History, random: u64) -> Option<usize> {
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

fn forwarded_attempt(response: QuickResponse) -> Attempt {
    match response.code {
        ResultCode::AnswerLost => Attempt::Lost,
        ResultCode::DeadlineWhileRunning => Attempt::Late,
        code if code.run_state() == RunState::NotRun => Attempt::Refused(response),
        _ => Attempt::Answer(response),
    }
}

fn too_late() -> QuickResponse {
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
    .with_retry_after(NO_SLOT_RETRY)
}
