//! Callers' side: routes job calls to the owner of the queue.
//!
//! A submission whose reply was lost may have been accepted. With a key it is
//! repeated until a reply settles it; without one the caller is told that it may
//! have run. A refusal after a lost reply does not settle it, because the first
//! message may still arrive. If no owner answers, a submission with a key may have
//! run as well: it may be the repeat of one whose acceptance is still on its way to
//! the log, and only the owner knows the keys.

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

/// Refusal with its code and a text for people.
pub type Refusal = (ResultCode, Arc<str>);

/// Longest time that a call looks for the owner of a queue.
const ROUTING_TIMEOUT_MS: Millis = Millis(8_000);
/// Longest wait for one reply.
const REPLY_TIMEOUT_MS: Millis = Millis(4_000);
/// Pause before the owner is looked for again.
const RETRY_DELAY_MS: Millis = Millis(200);

/// Counts a caller's call while it is in progress.
struct CallGuard(Rc<Cell<usize>>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Output of the first future, or `None` if the second one ends before it.
async fn run_until<T>(
    future: impl Future<Output = T>,
    stop: impl Future<Output = ()>,
) -> Option<T> {
    match select(pin!(future), pin!(stop)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

/// Outcome of one try to reach the owner.
enum CallOutcome {
    /// Owner answered.
    Answered(Response),
    /// Certain not to have reached an owner.
    NotReached,
    /// Sent, but no reply came.
    NoReply,
}

impl Queues {
    /// Submits a job to the owner of its team's queue.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal; one of the first group only if it is
    /// certain that the job was not accepted.
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
                // Another node owns the queue soon.
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

    /// Refusal that is true even if an earlier reply was lost.
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

    /// Status of a job, at the latest after the wait.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal.
    pub async fn job_status(&self, job: JobId, wait: Millis) -> Result<JobStatus, Refusal> {
        let _call = self.begin_call();
        let deadline = self.now() + wait;
        let routing_deadline = deadline + ROUTING_TIMEOUT_MS;
        loop {
            // A node that stops answers with what is known, and does not wait for more.
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
                    // The owner bounds the wait of one call.
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
    /// Returns the code of the refusal; a lost reply is settled by repeating.
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

    /// Decisions about a job, oldest first.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal.
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

    /// Waits before the next try; a stopping node refuses instead, so that its callers turn to others.
    fn begin_call(&self) -> CallGuard {
        self.active_calls.set(self.active_calls.get() + 1);
        CallGuard(self.active_calls.clone())
    }

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
