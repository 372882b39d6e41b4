//! Publications of operators and the verdicts on them.
//!
//! A publication runs in a task of its own: an operator who hangs up must not
//! leave it half settled, because other nodes may not start work during a log
//! outage while its outcome is unknown.

use std::{rc::Rc, sync::Arc};

use futures_channel::oneshot;
use hemlocksaddle_types::{
    clock::Millis,
    document::Revision,
    name::ServiceName,
    outcome::ResultCode,
    record::{Publish, Record, Stream},
    unit::Term,
};

use crate::{
    core::{AppendError, PublishResult},
    event::Event,
    wait::within,
};

use super::{
    ConfigurationStore, log_applied,
    registry::{self, Verdict},
};

/// Time within which the log must have taken a publication.
const APPEND_MS: Millis = Millis(4_000);

/// Time to wait for the verdict after that.
const VERDICT_MS: Millis = Millis(6_000);

/// Interval at which a stopping node looks for publications in progress.
const DRAIN_EVERY_MS: Millis = Millis(20);

/// Publication that waits for its verdict.
pub(super) struct Pending {
    waiter: oneshot::Sender<Verdict>,
    is_given_up: bool,
}

type Refusal = (ResultCode, Arc<str>);

impl ConfigurationStore {
    /// Publishes a document and waits for the verdict on it.
    pub(super) async fn publish(
        self: Rc<Self>,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PublishResult {
        self.check(&service, expected, &text)?;
        let (waiter, result) = oneshot::channel();
        let this = self.clone();
        self.publishing.set(self.publishing.get() + 1);
        self.env.spawn(async move {
            let publishing = this.clone();
            let result = this.append_publication(service, expected, text).await;
            publishing.publishing.set(publishing.publishing.get() - 1);
            // An operator who hung up needs no verdict.
            let _ = waiter.send(result);
        });
        let lost = || refusal(ResultCode::AnswerLost, "the node ended before the verdict");
        result.await.unwrap_or_else(|_| Err(lost()))
    }

    /// Waits until all publications of this node have their verdict or have timed out.
    pub async fn drain(&self) {
        while self.publishing.get() > 0 {
            self.env.sleep(DRAIN_EVERY_MS).await;
        }
    }

    fn check(
        &self,
        service: &ServiceName,
        expected: Revision,
        text: &Arc<str>,
    ) -> Result<(), Refusal> {
        if self.env.stopping.get() {
            return Err(refusal(ResultCode::Stopping, "the node is stopping"));
        }
        if !self.env.ready.get() {
            return Err(refusal(ResultCode::NotReady, "the node has not caught up"));
        }
        registry::parse(service, text).map_err(|problem| (ResultCode::InvalidDocument, problem))?;
        let current = self.in_force(service).map(|in_force| in_force.revision);
        match current {
            Some(current) if current > expected => Err(conflict(current)),
            _ => Ok(()),
        }
    }

    async fn append_publication(
        self: Rc<Self>,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PublishResult {
        let publish_id = self.env.ports.runtime.random();
        let (waiter, verdict) = oneshot::channel();
        let pending = Pending {
            waiter,
            is_given_up: false,
        };
        self.pending.borrow_mut().insert(publish_id, pending);
        let record = Record::Publish(Publish {
            service,
            expected,
            text,
            publish_id,
        });
        let limit = Some(APPEND_MS);
        let append = self
            .journal
            .append(Stream::Documents, Term(0), vec![record], limit);
        match append.await {
            Ok(_) => {}
            Err(AppendError::NotAppended) => self.give_verdict(publish_id, Verdict::NotAppended),
            Err(AppendError::OutcomeUnknown) => self.give_up(publish_id),
        }
        let verdict = within(&*self.env.ports.runtime, VERDICT_MS, verdict).await;
        result_of(verdict.and_then(Result::ok).unwrap_or(Verdict::Unknown))
    }

    /// Notes the verdict on a publication that was read from the log.
    pub(super) fn note_verdict(&self, publish: &Publish, verdict: Verdict) {
        match &verdict {
            Verdict::Accepted(revision) => {
                log_applied(&publish.service, *revision, "published");
                self.note_seen(&publish.service);
            }
            other => Event::DocumentRejected.log(format_args!(
                "{} on revision {}: {other:?}",
                publish.service, publish.expected.0
            )),
        }
        self.give_verdict(publish.publish_id, verdict);
    }

    fn give_verdict(&self, publish_id: u64, verdict: Verdict) {
        if let Some(pending) = self.pending.borrow_mut().remove(&publish_id) {
            // The publisher may have stopped waiting.
            let _ = pending.waiter.send(verdict);
        }
    }

    fn give_up(&self, publish_id: u64) {
        if let Some(pending) = self.pending.borrow_mut().get_mut(&publish_id) {
            pending.is_given_up = true;
        }
    }

    fn given_up(&self) -> Vec<u64> {
        let pending = self.pending.borrow();
        let given_up = pending.iter().filter(|(_, pending)| pending.is_given_up);
        given_up.map(|(publish_id, _)| *publish_id).collect()
    }

    /// Settles publications that were given up and turned out to be void.
    ///
    /// The journal does not write such records again, so once it has nothing
    /// unsettled, and this node has read as far as the journal, they are not in
    /// the log and never will be.
    pub(super) fn drop_void_publications(&self) {
        let is_settled = !self.log.has_unresolved_batch(Stream::Documents);
        let has_read_all = self.reader.borrow().next() >= self.log.read_position(Stream::Documents);
        if !is_settled || !has_read_all {
            return;
        }
        for publish_id in self.given_up() {
            self.give_verdict(publish_id, Verdict::NotAppended);
        }
    }
}

fn refusal(code: ResultCode, text: &str) -> Refusal {
    (code, Arc::from(text))
}

fn conflict(current: Revision) -> Refusal {
    let text = format!("revision {} is in force", current.0);
    (ResultCode::RevisionConflict, Arc::from(text))
}

fn result_of(verdict: Verdict) -> PublishResult {
    match verdict {
        Verdict::Accepted(revision) => Ok(revision),
        Verdict::Conflict(current) => Err(conflict(current)),
        Verdict::Invalid(text) => Err((ResultCode::InvalidDocument, text)),
        Verdict::NotAppended => Err(refusal(
            ResultCode::LogUnavailable,
            "the log did not take the publication",
        )),
        Verdict::Unknown => Err(refusal(
            ResultCode::AnswerLost,
            "the publication may be in force; read the document before publishing again",
        )),
    }
}
