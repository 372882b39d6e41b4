//! Publishing of documents by operators.
//!
//! Each publish runs in its own task and continues if the operator disconnects,
//! because other nodes may not start work during a log outage until its outcome is
//! known.

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
    registry::{self, PublishOutcome},
};

/// Timeout of the append of a publish.
const APPEND_TIMEOUT_MS: Millis = Millis(4_000);

/// Timeout for reading the outcome after the append.
const OUTCOME_TIMEOUT_MS: Millis = Millis(6_000);

/// Interval between checks for publishes in progress while the node stops.
const DRAIN_POLL_INTERVAL_MS: Millis = Millis(20);

/// Publish whose outcome is not known yet.
pub(super) struct PendingPublish {
    sender: oneshot::Sender<PublishOutcome>,
    /// Whether the journal gave up the append with an unknown outcome.
    is_abandoned: bool,
}

type Refusal = (ResultCode, Arc<str>);

impl ConfigurationStore {
    /// Publishes a document and waits for the outcome.
    pub(super) async fn publish(
        self: Rc<Self>,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PublishResult {
        self.check(&service, expected, &text)?;
        let (sender, result) = oneshot::channel();
        let this = self.clone();
        self.active_publishes.set(self.active_publishes.get() + 1);
        self.env.spawn(async move {
            let store = this.clone();
            let result = this.append_publish(service, expected, text).await;
            store.active_publishes.set(store.active_publishes.get() - 1);
            // The receiver is gone if the operator disconnected.
            let _ = sender.send(result);
        });
        let lost = || refusal(ResultCode::AnswerLost, "the node ended before the verdict");
        result.await.unwrap_or_else(|_| Err(lost()))
    }

    /// Waits until all publishes of this node have an outcome or have timed out.
    pub async fn drain(&self) {
        while self.active_publishes.get() > 0 {
            self.env.sleep(DRAIN_POLL_INTERVAL_MS).await;
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
        let current = self
            .current_document(service)
            .map(|current| current.revision);
        match current {
            Some(current) if current > expected => Err(conflict(current)),
            _ => Ok(()),
        }
    }

    async fn append_publish(
        self: Rc<Self>,
        service: ServiceName,
        expected: Revision,
        text: Arc<str>,
    ) -> PublishResult {
        let publish_id = self.env.ports.runtime.random();
        let (sender, outcome) = oneshot::channel();
        let pending = PendingPublish {
            sender,
            is_abandoned: false,
        };
        self.pending.borrow_mut().insert(publish_id, pending);
        let record = Record::Publish(Publish {
            service,
            expected,
            text,
            publish_id,
        });
        let limit = Some(APPEND_TIMEOUT_MS);
        let append = self
            .journal
            .append(Stream::Documents, Term(0), vec![record], limit);
        match append.await {
            Ok(_) => {}
            Err(AppendError::NotAppended) => self.resolve(publish_id, PublishOutcome::NotAppended),
            Err(AppendError::OutcomeUnknown) => self.abandon(publish_id),
        }
        let outcome = within(&*self.env.ports.runtime, OUTCOME_TIMEOUT_MS, outcome).await;
        publish_result(
            outcome
                .and_then(Result::ok)
                .unwrap_or(PublishOutcome::Unknown),
        )
    }

    /// Logs the outcome of a publish read from the log and reports it to the publisher.
    pub(super) fn record_outcome(&self, publish: &Publish, outcome: PublishOutcome) {
        match &outcome {
            PublishOutcome::Accepted(revision) => {
                log_applied(&publish.service, *revision, "published");
                self.postpone_snapshot(&publish.service);
            }
            other => Event::DocumentRejected.log(format_args!(
                "{} on revision {}: {other:?}",
                publish.service, publish.expected.0
            )),
        }
        self.resolve(publish.publish_id, outcome);
    }

    fn resolve(&self, publish_id: u64, outcome: PublishOutcome) {
        if let Some(pending) = self.pending.borrow_mut().remove(&publish_id) {
            // The publisher may have timed out.
            let _ = pending.sender.send(outcome);
        }
    }

    fn abandon(&self, publish_id: u64) {
        if let Some(pending) = self.pending.borrow_mut().get_mut(&publish_id) {
            pending.is_abandoned = true;
        }
    }

    fn abandoned(&self) -> Vec<u64> {
        let pending = self.pending.borrow();
        let abandoned = pending.iter().filter(|(_, pending)| pending.is_abandoned);
        abandoned.map(|(publish_id, _)| *publish_id).collect()
    }

    /// Resolves abandoned publishes that can no longer appear in the log.
    ///
    /// The journal does not retry abandoned records. Once it has no append of
    /// unknown outcome and this node has read as far as the journal, abandoned
    /// publishes are not in the log and never will be.
    pub(super) fn resolve_void_publishes(&self) {
        let all_resolved = !self.log.has_unresolved_batch(Stream::Documents);
        let has_read_all = self.reader.borrow().next() >= self.log.read_position(Stream::Documents);
        if !all_resolved || !has_read_all {
            return;
        }
        for publish_id in self.abandoned() {
            self.resolve(publish_id, PublishOutcome::NotAppended);
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

fn publish_result(outcome: PublishOutcome) -> PublishResult {
    match outcome {
        PublishOutcome::Accepted(revision) => Ok(revision),
        PublishOutcome::Conflict(current) => Err(conflict(current)),
        PublishOutcome::Invalid(text) => Err((ResultCode::InvalidDocument, text)),
        PublishOutcome::NotAppended => Err(refusal(
            ResultCode::LogUnavailable,
            "the log did not take the publication",
        )),
        PublishOutcome::Unknown => Err(refusal(
            ResultCode::AnswerLost,
            "the publication may be in force; read the document before publishing again",
        )),
    }
}
