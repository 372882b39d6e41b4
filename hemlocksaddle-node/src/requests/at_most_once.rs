//! At-most-once execution of non-idempotent requests.
//!
//! The entry node sends such a request to the owner of its key's queue. The owner
//! makes an intent durable (write-ahead), then routes the request like any other,
//! and records the outcome. The call to the owner may be repeated, because the key
//! identifies repeats; the request itself is sent at most once. The run continues
//! in the background if its caller gives up, so that the outcome is known to
//! repeats.

use std::rc::Rc;

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::{queue_of_key, stable_hash},
    name::IdempotencyKey,
    outcome::{ResultCode, RunState},
    peer::{Request, Response},
    record::{Record, Stream},
    request::{QuickRequest, QuickResponse, RequestId},
    unit::{QueueIndex, Term, Unit},
};

use super::{
    InProgressGuard, Requests,
    idempotency::{BeginOutcome, GENERATED_PREFIX, ScopedKey},
    possibly_ran,
    route::Origin,
};
use crate::{
    core::{AppendError, CallError},
    invariant::Invariant,
};

/// Delay before the owner of a queue is looked up again.
const OWNER_RETRY_DELAY: Millis = Millis(100);

/// Maximum size of a response body that is recorded in the log.
///
/// If a body is longer, a successor answers repeats only with "may have run".
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Retry delay for a caller when the log is unavailable or the table of keys is full.
const LOG_RETRY_AFTER: Millis = Millis(1_000);

/// Reserved key and the queue and term under which it is reserved.
#[derive(Clone)]
struct Reservation {
    queue: QueueIndex,
    term: Term,
    key: ScopedKey,
}

impl Requests {
    /// Runs a request through the owner of its key's queue.
    pub(super) async fn run_via_queue_owner(
        self: &Rc<Self>,
        mut request: QuickRequest,
        deadline: MonoMs,
    ) -> QuickResponse {
        let key = request
            .key
            .clone()
            .unwrap_or_else(|| generated_key(&request.id));
        request.key = Some(key.clone());
        let queues = self.core.settings.limits.queues;
        let unit = Unit::Queue(queue_of_key(&request.service, &key, queues));
        let mut may_have_run = false;
        loop {
            let left = deadline.since(self.now());
            if left == Millis(0) {
                return deadline_passed(may_have_run);
            }
            if let Some(owner) = self.core.ownership.owner(&unit) {
                request.deadline_ms = left;
                let call = Request::Guarded(request.clone());
                match self.core.calls.call(&owner, call, left).await {
                    Ok(Response::Quick(response)) if possibly_ran(&response) || !may_have_run => {
                        return response;
                    }
                    Ok(Response::Quick(_)) => return deadline_passed(may_have_run),
                    Ok(_) | Err(CallError::NotSent) => {}
                    Err(CallError::NoReply) => may_have_run = true,
                }
            } else if !self.core.journal.log_is_up() && !may_have_run {
                return log_unavailable();
            }
            let pause = OWNER_RETRY_DELAY.min(deadline.since(self.now()));
            self.core.ports.runtime.sleep(pause).await;
        }
    }

    /// Handles a request whose key belongs to a queue that this node owns.
    pub(super) async fn handle_guarded(self: Rc<Self>, request: QuickRequest) -> Response {
        let Some(key) = request.key.clone() else {
            return Response::Unsupported;
        };
        let queue = queue_of_key(&request.service, &key, self.core.settings.limits.queues);
        let Some(lease) = self.core.ownership.lease(&Unit::Queue(queue)) else {
            return Response::NotOwner;
        };
        if self.is_stopping() {
            return Response::NotOwner;
        }
        let deadline = self.now() + request.deadline_ms;
        let reservation = Reservation {
            queue,
            term: lease.term,
            key: (request.service.clone(), key),
        };
        let body_hash = stable_hash(&[&request.body]);
        let wall_now = self.core.ports.runtime.wall_now();
        let begin =
            self.idempotency
                .begin(queue, lease.term, &reservation.key, body_hash, wall_now);
        match begin {
            BeginOutcome::NotOwner => Response::NotOwner,
            BeginOutcome::Run => {
                let run = self.run_in_background(request, reservation, body_hash, deadline);
                Response::Quick(self.wait_for(run, deadline).await)
            }
            BeginOutcome::Wait(run) => Response::Quick(self.wait_for(run, deadline).await),
            begin => Response::Quick(repeat_response(begin)),
        }
    }

    async fn wait_for(
        &self,
        run: oneshot::Receiver<QuickResponse>,
        deadline: MonoMs,
    ) -> QuickResponse {
        match select(run, self.sleep_until(deadline)).await {
            Either::Left((Ok(response), _)) => response,
            Either::Left((Err(oneshot::Canceled), _)) => unknown_outcome(),
            Either::Right(((), _)) => deadline_passed(true),
        }
    }

    fn run_in_background(
        self: &Rc<Self>,
        request: QuickRequest,
        reservation: Reservation,
        body_hash: u64,
        deadline: MonoMs,
    ) -> oneshot::Receiver<QuickResponse> {
        let (sender, receiver) = oneshot::channel();
        let requests = self.clone();
        self.core.ports.runtime.spawn(Box::pin(async move {
            let in_progress = InProgressGuard::new(&requests);
            let (response, intent_may_be_logged) = requests
                .run_reserved(&request, &reservation, body_hash, deadline)
                .await;
            let _ = sender.send(response.clone());
            drop(in_progress);
            requests
                .conclude(&reservation, &response, intent_may_be_logged)
                .await;
        }));
        receiver
    }

    /// Returns the response and whether an intent is or may be in the log.
    async fn run_reserved(
        self: &Rc<Self>,
        request: &QuickRequest,
        reservation: &Reservation,
        body_hash: u64,
        deadline: MonoMs,
    ) -> (QuickResponse, bool) {
        if !self.core.journal.log_is_up() {
            return (log_unavailable(), false);
        }
        let (service, key) = reservation.key.clone();
        let intent = Record::RequestIntent {
            service,
            key,
            body_hash,
            at_ms: self.core.ports.runtime.wall_now(),
        };
        // Half of the remaining time is reserved for the run.
        let timeout = Millis(deadline.since(self.now()).0 / 2);
        let stream = Stream::Queue(reservation.queue);
        let journal = &self.core.journal;
        let appended = journal
            .append(stream, reservation.term, vec![intent], Some(timeout))
            .await;
        match appended {
            Err(AppendError::NotAppended) => (log_unavailable(), false),
            Err(AppendError::OutcomeUnknown) => (log_unavailable(), true),
            Ok(_) => (self.run_once(request, reservation, deadline).await, true),
        }
    }

    async fn run_once(
        self: &Rc<Self>,
        request: &QuickRequest,
        reservation: &Reservation,
        deadline: MonoMs,
    ) -> QuickResponse {
        let Reservation { queue, term, key } = reservation;
        let Some(first) = self.idempotency.mark_sent(*queue, *term, key) else {
            let detail = "the queue went to another node before the request was sent";
            return QuickResponse::refusal(ResultCode::OwnerUnreachable, detail);
        };
        let holds = self
            .core
            .invariants
            .check(Invariant::AtMostOnce, first, || {
                format!("key {} of {} is sent again", key.1, key.0)
            });
        if !holds {
            return unknown_outcome();
        }
        self.route(request, deadline, Origin::Entry).await
    }

    /// Records the outcome after the caller has been answered.
    ///
    /// The key of a request that did not run is freed only after the outcome is
    /// durable. Otherwise the intent of its next use could precede this outcome in
    /// the stream, and a successor would treat the key as free although it ran.
    async fn conclude(
        &self,
        reservation: &Reservation,
        response: &QuickResponse,
        intent_may_be_logged: bool,
    ) {
        let Reservation { queue, term, key } = reservation;
        let finish = || self.idempotency.finish(*queue, *term, key, response);
        if !intent_may_be_logged {
            return finish();
        }
        if possibly_ran(response) {
            finish();
            self.record_outcome(reservation, response).await;
        } else if self.record_outcome(reservation, response).await {
            finish();
        }
    }

    async fn record_outcome(&self, reservation: &Reservation, response: &QuickResponse) -> bool {
        let (service, key) = reservation.key.clone();
        let record = Record::RequestOutcome {
            service,
            key,
            response: recordable(response),
        };
        let (stream, term) = (Stream::Queue(reservation.queue), reservation.term);
        let pending = &self.outcomes_pending;
        pending.set(pending.get() + 1);
        let appended = self
            .core
            .journal
            .append(stream, term, vec![record], None)
            .await;
        pending.set(pending.get() - 1);
        appended.is_ok()
    }
}

fn repeat_response(begin: BeginOutcome) -> QuickResponse {
    match begin {
        BeginOutcome::Recorded(response) => response,
        BeginOutcome::Reused => QuickResponse::refusal(
            ResultCode::KeyReused,
            "the idempotency key belongs to a request with another body",
        ),
        BeginOutcome::Full => QuickResponse::refusal(
            ResultCode::Overloaded,
            "the queue holds as many idempotency keys as it can",
        )
        .with_retry_after(LOG_RETRY_AFTER),
        BeginOutcome::Unknown
        | BeginOutcome::Run
        | BeginOutcome::Wait(_)
        | BeginOutcome::NotOwner => unknown_outcome(),
    }
}

fn recordable(response: &QuickResponse) -> QuickResponse {
    let too_long = response.body.len() > MAX_RECORDED_BYTES;
    if !too_long || response.code.run_state() != RunState::Done {
        return response.clone();
    }
    let mut short = unknown_outcome();
    short.body = Bytes::from_static(b"the answer was too long to be recorded");
    short
}

fn generated_key(id: &RequestId) -> IdempotencyKey {
    // The node's name may be as long as a key, so its hash is used instead.
    let node = stable_hash(&[id.node.as_str().as_bytes()]);
    let text = format!(
        "{GENERATED_PREFIX}{node:x}.{:x}.{:x}",
        id.started_ms, id.number
    );
    IdempotencyKey::try_from(text.as_str()).expect("hexadecimal numbers and dots are valid")
}

fn deadline_passed(may_have_run: bool) -> QuickResponse {
    if may_have_run {
        let detail = "the deadline passed while the request may have run";
        return QuickResponse::refusal(ResultCode::DeadlineWhileRunning, detail);
    }
    let detail = "the owner of the key's queue was not reached before the deadline";
    QuickResponse::refusal(ResultCode::OwnerUnreachable, detail)
}

fn unknown_outcome() -> QuickResponse {
    QuickResponse::refusal(
        ResultCode::EarlierAttemptUnknown,
        "an earlier request with this key may have run",
    )
}

fn log_unavailable() -> QuickResponse {
    QuickResponse::refusal(
        ResultCode::LogUnavailable,
        "the platform's log does not take the request's intent",
    )
    .with_retry_after(LOG_RETRY_AFTER)
}
