//! Client side: routes callers' job calls to the owner of the queue.
//!
//! A submission whose reply was lost may have been accepted. With a key it is
//! retried until a reply determines its outcome; without a key the caller is told
//! that it may have run. A refusal after a lost reply does not determine the
//! outcome, because the first message may still arrive. A submission with a key may
//! also have run if it reached no owner: it may repeat an earlier submission whose
//! acceptance is still being appended to the log, and only the owner knows the keys.

use std::{cell::Cell, pin::pin, rc::Rc, sync::Arc};

use futures_util::future::{Either, select};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    job::{JobId, JobSpec, JobStatus},
    outcome::ResultCode,
    peer::{Explanation, Request, Response},
    unit::{QueueIndex, Unit},
};

use super::{Queues, accept::implies_not_run, queue_for_team};
use crate::{core::CallError, invariant::Invariant};

/// Result code and human-readable text of a refused call.
pub type Refusal = (ResultCode, Arc<str>);

/// Maximum time that a call looks for the owner of a queue.
const ROUTING_TIMEOUT_MS: Millis = Millis(8_000);
/// Timeout of one call to the owner, beyond a wait that the call itself asks for.
const REPLY_TIMEOUT_MS: Millis = Millis(4_000);
/// Delay before a call is retried.
const RETRY_DELAY_MS: Millis = Millis(200);

/// Guard that counts a call as in progress until it is dropped.
struct CallGuard(Rc<Cell<usize>>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Output of a future, or `None` if `stop` completes before it.
async fn run_until<T>(
    future: impl Future<Output = T>,
    stop: impl Future<Output = ()>,
) -> Option<T> {
    match select(pin!(future), pin!(stop)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

/// Outcome of one call to the owner.
enum CallOutcome {
    /// The owner replied.
    Answered(Response),
    /// The call certainly did not reach an owner.
    NotReached,
    /// The call was sent, but no reply arrived.
    NoReply,
}

impl Queues {
    /// Submits a job to the owner of its team's queue.
    ///
    /// # Errors
    ///
    /// Returns code and text of the refusal; the code states that nothing ran only
    /// if it is certain that the job was not accepted.
    pub async fn submit(&self, spec: JobSpec) -> Result<JobId, Refusal> {
        let _call = self.begin_call();
        let index = queue_for_team(&spec.team, self.core.settings.limits.queues);
        let repeatable = spec.key.is_some();
        let deadline = self.now() + ROUTING_TIMEOUT_MS;
        let mut reply_lost = false;
        while self.now() < deadline {
            let request = Request::Submit(index, spec.clone());
            match self.call_owner(index, request, REPLY_TIMEOUT_MS).await {
                CallOutcome::Answered(Response::Submitted(job)) => return Ok(job),
                // Another node will own the queue soon.
                CallOutcome::Answered(Response::Refused(ResultCode::Stopping, _))
                    if !self.stopping.get() => {}
                CallOutcome::Answered(Response::Refused(code, text)) => {
                    return Err(self.refusal(code, text, reply_lost));
                }
                CallOutcome::NoReply => reply_lost = true,
                CallOutcome::Answered(_) | CallOutcome::NotReached => {}
            }
            if reply_lost && !repeatable {
                break;
            }
            if self.core.stopping.get() {
                let text = Arc::from("the node is stopping");
                return Err(self.refusal(ResultCode::Stopping, text, reply_lost));
            }
            self.core.ports.runtime.sleep(RETRY_DELAY_MS).await;
        }
        let text = Arc::from("the owner of the queue cannot be reached");
        let code = match repeatable {
            true => ResultCode::EarlierAttemptUnknown,
            false => ResultCode::OwnerUnreachable,
        };
        Err(self.refusal(code, text, reply_lost))
    }

    /// Refusal of a call; if an earlier reply was lost, its code does not state that nothing ran.
    fn refusal(&self, code: ResultCode, text: Arc<str>, reply_lost: bool) -> Refusal {
        let refusal = match reply_lost && implies_not_run(code) {
            true => {
                let text = format!("no reply came to an earlier try; then: {text}");
                (ResultCode::AnswerLost, Arc::from(text))
            }
            false => (code, text),
        };
        let truthful = !(reply_lost && implies_not_run(refusal.0));
        let detail = || String::from("submission without a reply refused as not run");
        let invariants = &self.core.invariants;
        match invariants.check(Invariant::TruthfulRefusal, truthful, detail) {
            true => refusal,
            false => (ResultCode::AnswerLost, refusal.1),
        }
    }

    /// Status of a job; returns when the job has a result or the wait is over.
    ///
    /// # Errors
    ///
    /// Returns code and text of the refusal.
    pub async fn job_status(&self, job: JobId, wait: Millis) -> Result<JobStatus, Refusal> {
        let _call = self.begin_call();
        let deadline = self.now() + wait;
        let routing_deadline = deadline + ROUTING_TIMEOUT_MS;
        loop {
            // A stopping node returns the current status without waiting.
            let left = match self.stopping.get() {
                true => Millis(0),
                false => deadline.since(self.now()),
            };
            let request = Request::JobStatus(job, left);
            let call = self.call_owner(job.queue, request, left + REPLY_TIMEOUT_MS);
            let stop = self.stop_signal.wait_past(0);
            let outcome = match left.0 {
                0 => Some(call.await),
                _ => run_until(call, stop).await,
            };
            match outcome {
                Some(CallOutcome::Answered(Response::JobStatus(status))) => {
                    // The owner limits the wait of one call, so the result may need another call.
                    let over = self.stopping.get() || self.now() >= deadline;
                    if status.result.is_some() || over {
                        return Ok(status);
                    }
                }
                Some(CallOutcome::Answered(Response::Refused(code, text))) => {
                    return Err((code, text));
                }
                Some(_) => self.wait_before_retry(routing_deadline).await?,
                None => {}
            }
        }
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns code and text of the refusal. A call whose reply was lost is retried.
    pub async fn cancel(&self, job: JobId) -> Result<(), Refusal> {
        let _call = self.begin_call();
        let deadline = self.now() + ROUTING_TIMEOUT_MS;
        let mut reply_lost = false;
        loop {
            match self
                .call_owner(job.queue, Request::Cancel(job), REPLY_TIMEOUT_MS)
                .await
            {
                CallOutcome::Answered(Response::Ok) => return Ok(()),
                CallOutcome::Answered(Response::Refused(code, text)) => {
                    return Err(self.refusal(code, text, reply_lost));
                }
                CallOutcome::NoReply => reply_lost = true,
                CallOutcome::Answered(_) | CallOutcome::NotReached => {}
            }
            if let Err((code, text)) = self.wait_before_retry(deadline).await {
                return Err(self.refusal(code, text, reply_lost));
            }
        }
    }

    /// Recorded decisions about a job, oldest first.
    ///
    /// # Errors
    ///
    /// Returns code and text of the refusal.
    pub async fn explain_job(&self, job: JobId) -> Result<Vec<Explanation>, Refusal> {
        let _call = self.begin_call();
        let deadline = self.now() + ROUTING_TIMEOUT_MS;
        loop {
            match self
                .call_owner(job.queue, Request::Explain(job), REPLY_TIMEOUT_MS)
                .await
            {
                CallOutcome::Answered(Response::Explained(lines)) => return Ok(lines),
                CallOutcome::Answered(Response::Refused(code, text)) => return Err((code, text)),
                _ => self.wait_before_retry(deadline).await?,
            }
        }
    }

    fn begin_call(&self) -> CallGuard {
        self.active_calls.set(self.active_calls.get() + 1);
        CallGuard(self.active_calls.clone())
    }

    /// Waits before the next attempt.
    ///
    /// A stopping node refuses instead, so that its callers turn to other nodes.
    async fn wait_before_retry(&self, deadline: MonoMs) -> Result<(), Refusal> {
        if self.core.stopping.get() {
            return Err((ResultCode::Stopping, Arc::from("the node is stopping")));
        }
        if self.stopping.get() && self.stop_grace_is_over() {
            let text = "the node is stopping; another node answers";
            return Err((ResultCode::Stopping, Arc::from(text)));
        }
        if self.now() >= deadline {
            let text = "the owner of the queue cannot be reached";
            return Err((ResultCode::OwnerUnreachable, Arc::from(text)));
        }
        self.core.ports.runtime.sleep(RETRY_DELAY_MS).await;
        Ok(())
    }

    async fn call_owner(&self, index: QueueIndex, request: Request, limit: Millis) -> CallOutcome {
        let Some(owner) = self.core.ownership.owner(&Unit::Queue(index)) else {
            return CallOutcome::NotReached;
        };
        match self.core.calls.call(&owner, request, limit).await {
            Ok(Response::NotOwner | Response::Unsupported) => CallOutcome::NotReached,
            Ok(reply) => CallOutcome::Answered(reply),
            Err(CallError::NotSent) => CallOutcome::NotReached,
            Err(CallError::NoReply) => CallOutcome::NoReply,
        }
    }
}
