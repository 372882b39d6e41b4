//! Storing of submissions by the owner of their shard.
//!
//! A partition of the store takes one append after the other, and each takes a
//! quarter of a second while the store is slow. The owner therefore gathers the
//! submissions that all nodes take and stores those that wait in one append. A
//! node that cannot reach the owner appends by itself; a submission that is
//! stored twice is recognised by its id.

use futures_channel::oneshot;
use hemlocksaddle_policy::intake::STORE_UNAVAILABLE_MS;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::{ShardResponse, Submission, WorkflowId},
};
use serde_json::json;

use crate::{
    event::Event,
    owner::Owner,
    ports::{Conditions, Record, StoreError, Stream},
    record::{self, Key},
};

/// Most submissions in one append.
const MAX_BATCH: usize = 200;

/// Time for which the store may turn a submission away before it is refused.
const REFUSE_AFTER_MS: Millis = Millis(100);

/// Pause between two tries.
const RETRY_MS: Millis = Millis(40);

/// Submission that waits to be stored.
pub(crate) struct ToStore {
    record: Record,
    since: MonoMs,
    /// An append that contained it may have been carried out.
    unsure: bool,
    stored: oneshot::Sender<ShardResponse>,
}

impl Owner {
    /// Stores a submission with others that wait.
    pub(crate) async fn store(&self, id: WorkflowId, submission: &Submission) -> ShardResponse {
        let key = match submission {
            Submission::Accepted(_) => Key::Accepted(id),
            Submission::Cancelled => Key::Cancelled(id),
        };
        let record = match record::encode(key.text(), submission) {
            Ok(record) => record,
            Err(cause) => {
                let inputs = json!({ "workflow": id.to_string(), "cause": cause.to_string() });
                self.env.event(Event::InvariantViolated, &inputs);
                return ShardResponse::NotStored;
            }
        };
        if self.env.store_failed_for() >= STORE_UNAVAILABLE_MS {
            return ShardResponse::NotStored;
        }
        let (stored, answer) = oneshot::channel();
        self.to_store.borrow_mut().push(ToStore {
            record,
            since: self.env.now(),
            unsure: false,
            stored,
        });
        self.to_store_changed.notify();
        // The task that stores drops the sender only with the shard.
        answer.await.unwrap_or(ShardResponse::StoreUnknown)
    }

    /// Stores what waits, for as long as the shard is owned.
    pub(crate) async fn store_submissions(self: std::rc::Rc<Self>) {
        while !self.ended.get() {
            let seen = self.to_store_changed.count();
            let mut batch: Vec<ToStore> = {
                let mut waiting = self.to_store.borrow_mut();
                let count = waiting.len().min(MAX_BATCH);
                waiting.drain(..count).collect()
            };
            if batch.is_empty() {
                self.to_store_changed.wait_past(seen).await;
                continue;
            }
            let records = batch.iter().map(|item| item.record.clone()).collect();
            let conditions = Conditions::default();
            let append = self
                .env
                .append(Stream::Submissions, self.shard, records, conditions);
            match append.await {
                Ok(_) => self.stored(batch),
                Err(error) => {
                    if error == StoreError::Unknown {
                        batch.iter_mut().for_each(|item| item.unsure = true);
                    }
                    self.not_stored(batch);
                    self.env.sleep(RETRY_MS).await;
                }
            }
        }
        let left = self.to_store.take();
        for item in left {
            let answer = if item.unsure {
                ShardResponse::StoreUnknown
            } else {
                ShardResponse::NotOwner
            };
            // The node that asked may be gone.
            let _ = item.stored.send(answer);
        }
    }

    fn stored(&self, batch: Vec<ToStore>) {
        for item in batch {
            self.apply_submission(&item.record, false);
            let _ = item.stored.send(ShardResponse::Stored);
        }
        self.changed.notify();
    }

    /// Refuses what has waited long enough and keeps the rest for the next append.
    fn not_stored(&self, batch: Vec<ToStore>) {
        let now = self.env.now();
        let mut kept = Vec::new();
        for item in batch {
            let given_up = item.stored.is_canceled();
            if !item.unsure && !given_up && now.since(item.since) >= REFUSE_AFTER_MS {
                let _ = item.stored.send(ShardResponse::NotStored);
            } else if !given_up {
                kept.push(item);
            }
        }
        self.to_store.borrow_mut().splice(0..0, kept);
    }
}
