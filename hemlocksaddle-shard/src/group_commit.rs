//! Group commit of submissions by the owner of their shard.
//!
//! A partition of the store processes appends one at a time, and each takes a
//! quarter of a second while the store is slow. The owner therefore collects the
//! submissions that all nodes accept and stores all pending ones in one append. A
//! node that cannot reach the owner appends directly; a submission that is stored
//! twice is deduplicated by its id.
//!
//! An owner that has not noticed its successor may store submissions as well. Whoever
//! reads a submission behind the successor's fence takes it as not started, so the owner
//! starts it only if no fence can precede it: at once if its records follow those that were
//! read without a gap, otherwise when the stream has been read up to them.

use futures_channel::oneshot;
use hemlocksaddle_policy::intake::STORE_UNAVAILABLE_MS;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::{ShardResponse, Submission, WorkflowId},
};
use serde_json::json;

use crate::{
    event::Event,
    frontend::Submitted,
    owner::Owner,
    parts::record_bytes,
    ports::{Conditions, Record, Stream},
    record::{self, Key},
    recovery::Origin,
    retries::Attempt,
};

/// Largest number of submissions in one append.
const MAX_BATCH: usize = 200;

/// Time after which a pending submission is refused if it is certainly not stored.
const REFUSE_AFTER_MS: Millis = Millis(100);

/// Pause after a failed append.
const RETRY_MS: Millis = Millis(40);

/// Submission that has not been stored yet.
pub(crate) struct PendingSubmission {
    record: Record,
    queued_at: MonoMs,
    /// Whether an append that contained it ended with an unknown outcome.
    maybe_stored: bool,
    /// `None` for a cancellation.
    attempt: Option<Attempt>,
    reply: oneshot::Sender<ShardResponse>,
}

impl PendingSubmission {
    fn set_maybe_stored(&mut self) {
        self.maybe_stored = true;
        if let Some(attempt) = &self.attempt {
            attempt.progress.borrow_mut().maybe_stored = true;
        }
    }
}

/// Answer to a submission of which this attempt is certainly not stored.
fn not_stored(attempt: Option<&Attempt>) -> ShardResponse {
    match attempt.map(|attempt| attempt.finish(Submitted::Unavailable)) {
        Some(Submitted::Accepted) => ShardResponse::Stored,
        Some(Submitted::Unknown) => ShardResponse::StoreUnknown,
        _ => ShardResponse::NotStored,
    }
}

/// Number of the first pending submissions that fit into one append.
fn batch_size(pending: &[PendingSubmission], max_bytes: usize) -> usize {
    let mut bytes = 0;
    let fitting = pending.iter().take(MAX_BATCH).take_while(|item| {
        bytes += record_bytes(&item.record);
        bytes <= max_bytes
    });
    fitting.count().max(1).min(pending.len())
}

impl Owner {
    /// Stores a submission, in one append with others that are pending.
    pub(crate) async fn store(
        &self,
        id: WorkflowId,
        submission: &Submission,
        attempt: Option<Attempt>,
    ) -> ShardResponse {
        let key = Key::of(id, submission);
        let record = match record::encode(key.text(), submission) {
            Ok(record) => record,
            Err(cause) => {
                let inputs = json!({ "workflow": id.to_string(), "cause": cause.to_string() });
                self.env.event(Event::InvariantViolated, &inputs);
                return ShardResponse::NotStored;
            }
        };
        let is_too_large = record_bytes(&record) > self.env.settings.max_record_bytes;
        if is_too_large || self.env.store_failing_for() >= STORE_UNAVAILABLE_MS {
            return not_stored(attempt.as_ref());
        }
        let (reply, answer) = oneshot::channel();
        self.pending_submissions
            .borrow_mut()
            .push(PendingSubmission {
                record,
                queued_at: self.env.now(),
                maybe_stored: false,
                attempt,
                reply,
            });
        self.pending_changed.notify();
        // The sender is dropped without an answer only after ownership has ended.
        answer.await.unwrap_or(ShardResponse::StoreUnknown)
    }

    /// Stores pending submissions until ownership ends.
    pub(crate) async fn store_submissions(self: std::rc::Rc<Self>) {
        while !self.ended.get() {
            let seen = self.pending_changed.count();
            let mut batch: Vec<PendingSubmission> = {
                let mut waiting = self.pending_submissions.borrow_mut();
                let count = batch_size(&waiting, self.env.settings.append_bytes());
                waiting.drain(..count).collect()
            };
            if batch.is_empty() {
                self.pending_changed.wait_past(seen).await;
                continue;
            }
            let records = batch.iter().map(|item| item.record.clone()).collect();
            let conditions = Conditions::default();
            let append = self
                .env
                .append(Stream::Submissions, self.shard, records, conditions);
            match append.await {
                Ok(end) => self.acknowledge(batch, end),
                Err(error) => {
                    if !error.is_certain() {
                        batch
                            .iter_mut()
                            .for_each(PendingSubmission::set_maybe_stored);
                    }
                    self.refuse_or_requeue(batch);
                    self.env.sleep(RETRY_MS).await;
                }
            }
        }
        let left = self.pending_submissions.take();
        for item in left {
            let answer = if item.maybe_stored {
                ShardResponse::StoreUnknown
            } else {
                ShardResponse::NotOwner
            };
            // The receiver may have been dropped.
            let _ = item.reply.send(answer);
        }
    }

    /// Applies and acknowledges submissions whose records end at an offset of the stream.
    fn acknowledge(&self, batch: Vec<PendingSubmission>, end: u64) {
        let origin = if self.extend_read(end, batch.len()) {
            Origin::Stream
        } else {
            Origin::Unconfirmed
        };
        for item in batch {
            self.apply_submission(&item.record, origin);
            if let Some(attempt) = &item.attempt {
                attempt.finish(Submitted::Accepted);
            }
            let _ = item.reply.send(ShardResponse::Stored);
        }
        self.changed.notify();
    }

    /// Extends what is known of the stream by records of this owner that end at an offset; returns
    /// whether they follow it without a gap.
    pub(crate) fn extend_read(&self, end: u64, count: usize) -> bool {
        let read_to = &self.submissions_read_to;
        let is_next = end.checked_sub(count as u64) == Some(read_to.get());
        if is_next {
            read_to.set(end);
        }
        is_next
    }

    /// Refuses submissions that have waited too long and requeues the others.
    fn refuse_or_requeue(&self, batch: Vec<PendingSubmission>) {
        let now = self.env.now();
        let mut kept = Vec::new();
        for item in batch {
            let abandoned = item.reply.is_canceled();
            if !item.maybe_stored && !abandoned && now.since(item.queued_at) >= REFUSE_AFTER_MS {
                let answer = not_stored(item.attempt.as_ref());
                let _ = item.reply.send(answer);
            } else if !abandoned {
                kept.push(item);
            }
        }
        self.pending_submissions.borrow_mut().splice(0..0, kept);
    }
}
