//! Non-idempotent requests.
//!
//! The entry node sends such a request to the owner of its key's queue. The owner
//! makes an intent durable, then routes the request like any other, and records
//! the outcome. The call to the owner is repeatable, because the key ties the
//! repeats together; the request itself is sent at most once. The run goes on in
//! the background if its caller gives up, so that the outcome is known to repeats.

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
    InProgress, Requests,
    guard::{Begin, GENERATED_PREFIX, GuardKey},
    has_run,
    route::Origin,
};
use crate::{
    core::{AppendError, CallError},
    invariant::Invariant,
};

/// Pause before the owner of a queue is looked up again.
const OWNER_RETRY: Millis = Millis(100);

/// Longest response body that is recorded in the log; repeats of a longer one learn only that it ran.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Time after which a caller may retry when the log takes no records.
const LOG_RETRY: Millis = Millis(1_000);

/// Reserved key of a queue.
#[derive(Clone)]
struct Reserved {
    queue: QueueIndex,
    term: Term,
    key: GuardKey,
}

impl Requests {
    /// Runs a request through the owner of its key's queue.
    pub(super) async fn through_owner(
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
                return gave_up(may_have_run);
            }
            if let Some(owner) = self.core.ownership.owner(&unit) {
                request.deadline_ms = left;
                let call = Request::Guarded(request.clone());
                match self.core.calls.call(&owner, call, left).await {
                    Ok(Response::Quick(response)) if has_run(&response) || !may_have_run => {
                        return response;
                    }
                    Ok(Response::Quick(_)) => return gave_up(may_have_run),
                    Ok(_) | Err(CallError::NotSent) => {}
                    Err(CallError::NoReply) => may_have_run = true,
                }
            } else if !self.core.journal.log_is_up() && !may_have_run {
                return log_unavailable();
            }
            let pause = OWNER_RETRY.min(deadline.since(self.now()));
            self.core.ports.runtime.sleep(pause).await;
        }
    }

    /// Answers a call to this node as the owner of the key's queue.
    pub(super) async fn guarded(self: Rc<Self>, request: QuickRequest) -> Response {
        let Some(key) = request.key.clone() else {
            return Response::Unsupported;
        };
        let queue = queue_of_key(&request.service, &key, self.core.settings.limits.queues);
        let Some(right) = self.core.ownership.lease(&Unit::Queue(queue)) else {
            return Response::NotOwner;
        };
        if self.is_stopping() {
            return Response::NotOwner;
        }
        let deadline = self.now() + request.deadline_ms;
        let reserved = Reserved {
            queue,
            term: right.term,
            key: (request.service.clone(), key),
        };
        let body_hash = stable_hash(&[&request.body]);
        let wall_now = self.core.ports.runtime.wall_now();
        let begin = self
            .guards
            .begin(queue, right.term, &reserved.key, body_hash, wall_now);
        match begin {
            Begin::NotOwner => Response::NotOwner,
            Begin::Run => {
                let run = self.run_in_background(request, reserved, body_hash, deadline);
                Response::Quick(self.wait_for(run, deadline).await)
            }
            Begin::Wait(run) => Response::Quick(self.wait_for(run, deadline).await),
            begin => Response::Quick(answer_repeat(begin)),
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
            Either::Right(((), _)) => gave_up(true),
        }
    }

    fn run_in_background(
        self: &Rc<Self>,
        request: QuickRequest,
        reserved: Reserved,
        body_hash: u64,
        deadline: MonoMs,
    ) -> oneshot::Receiver<QuickResponse> {
        let (sender, receiver) = oneshot::channel();
        let requests = self.clone();
        self.core.ports.runtime.spawn(Box::pin(async move {
            let in_progress = InProgress::new(&requests);
            let (response, announced) = requests
                .run_reserved(&request, &reserved, body_hash, deadline)
                .await;
            let _ = sender.send(response.clone());
            drop(in_progress);
            requests.conclude(&reserved, &response, announced).await;
        }));
        receiver
    }

    /// Response, and whether an intent is or may be in the log.
    async fn run_reserved(
        self: &Rc<Self>,
        request: &QuickRequest,
        reserved: &Reserved,
        body_hash: u64,
        deadline: MonoMs,
    ) -> (QuickResponse, bool) {
        if !self.core.journal.log_is_up() {
            return (log_unavailable(), false);
        }
        let (service, key) = reserved.key.clone();
        let intent = Record::RequestIntent {
            service,
            key,
            body_hash,
            at_ms: self.core.ports.runtime.wall_now(),
        };
        // The other half of the time is left for the run.
        let within = Millis(deadline.since(self.now()).0 / 2);
        let stream = Stream::Queue(reserved.queue);
        let journal = &self.core.journal;
        let appended = journal
            .append(stream, reserved.term, vec![intent], Some(within))
            .await;
        match appended {
            Err(AppendError::NotAppended) => (log_unavailable(), false),
            Err(AppendError::OutcomeUnknown) => (log_unavailable(), true),
            Ok(_) => (self.run_once(request, reserved, deadline).await, true),
        }
    }

    async fn run_once(
        self: &Rc<Self>,
        request: &QuickRequest,
        reserved: &Reserved,
        deadline: MonoMs,
    ) -> QuickResponse {
        let Reserved { queue, term, key } = reserved;
        let Some(first) = self.guards.mark_sent(*queue, *term, key) else {
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
    /// A key that did not run is freed only after that is durable. Otherwise the
    /// intent of its next use could come before this outcome in the stream, and a
    /// successor would take the key for free although it ran.
    async fn conclude(&self, reserved: &Reserved, response: &QuickResponse, announced: bool) {
        let Reserved { queue, term, key } = reserved;
        let finish = || self.guards.finish(*queue, *term, key, response);
        if !announced {
            return finish();
        }
        if has_run(response) {
            finish();
            self.record_outcome(reserved, response).await;
        } else if self.record_outcome(reserved, response).await {
            finish();
        }
    }

    async fn record_outcome(&self, reserved: &Reserved, response: &QuickResponse) -> bool {
        let (service, key) = reserved.key.clone();
        let record = Record::RequestOutcome {
            service,
            key,
            response: recordable(response),
        };
        let (stream, term) = (Stream::Queue(reserved.queue), reserved.term);
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

fn answer_repeat(begin: Begin) -> QuickResponse {
    match begin {
        Begin::Recorded(response) => response,
        Begin::Reused => QuickResponse::refusal(
            ResultCode::KeyReused,
            "the idempotency key belongs to a request with another body",
        ),
        Begin::Full => QuickResponse::refusal(
            ResultCode::Overloaded,
            "the queue holds as many idempotency keys as it can",
        )
        .with_retry_after(LOG_RETRY),
        Begin::Unknown | Begin::Run | Begin::Wait(_) | Begin::NotOwner => unknown_outcome(),
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
    // The node's name may be as long as a key, so its hash stands for it.
    let node = stable_hash(&[id.node.as_str().as_bytes()]);
    let text = format!(
        "{GENERATED_PREFIX}{node:x}.{:x}.{:x}",
        id.started_ms, id.number
    );
    IdempotencyKey::try_from(text.as_str()).expect("hexadecimal numbers and dots are valid")
}

fn gave_up(may_have_run: bool) -> QuickResponse {
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
    .with_retry_after(LOG_RETRY)
}
