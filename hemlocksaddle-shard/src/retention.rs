//! Deletion of what the streams hold of ended workflows.
//!
//! The submissions of ended workflows are most of the stream on a busy shard. They are deleted as soon as the
//! outcome is durable in the progress, so that a successor has less to read. A successor that takes over
//! meanwhile reads the progress up to its fence, which includes each outcome that a predecessor made
//! durable, so a deletion may be carried out late or by a predecessor without notice of its successor. The
//! progress is deleted after the retention time.

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_types::{clock::Millis, workflow::WorkflowId};
use serde_json::json;

use crate::{
    event::Event,
    owner::Owner,
    ports::{Conditions, Record, Result, Stream},
    record::Key,
};

/// Interval at which submissions of ended workflows are deleted; a successor reads those of the last one.
const DELETE_SUBMISSIONS_INTERVAL_MS: Millis = Millis(2_000);

/// Maximum number of workflows whose submissions are deleted at once.
const MAX_DELETED: usize = 200;

/// Latency of the store above which no submissions are deleted, since an append delays later ones.
const SLOW_STORE_MS: Millis = Millis(100);

/// Interval at which expired workflows are deleted.
const DELETE_ENDED_INTERVAL_MS: Millis = Millis(10_000);

impl Owner {
    /// Deletes the submissions of ended workflows until ownership ends.
    pub(crate) async fn delete_submissions(self: Rc<Self>) {
        while !self.ended.get() {
            self.env.sleep(DELETE_SUBMISSIONS_INTERVAL_MS).await;
            let is_failing = self.env.store_failing_for() > Millis(0);
            if self.ended.get() || is_failing || self.env.store_latency() > SLOW_STORE_MS {
                continue;
            }
            let now = self.env.now();
            let ids = self
                .scheduler
                .borrow_mut()
                .take_ended_submissions(MAX_DELETED, now);
            if !ids.is_empty() && self.delete_submissions_of(&ids).await.is_err() {
                self.scheduler.borrow_mut().put_back_ended_submissions(&ids);
            }
        }
    }

    /// Deletes the records of workflows in the submissions.
    async fn delete_submissions_of(&self, ids: &[WorkflowId]) -> Result<()> {
        let keys: Vec<_> = ids.iter().map(|&id| (id, self.take_keys(id))).collect();
        let records = keys.iter().flat_map(|(_, keys)| keys);
        let records: Vec<Record> = records.map(|key| deletion(key.clone())).collect();
        let count = records.len();
        match self.delete(Stream::Submissions, records).await {
            Ok(end) => {
                self.extend_read(end, count);
                Ok(())
            }
            Err(error) => {
                self.put_back_keys(keys);
                Err(error)
            }
        }
    }

    /// Appends deletions to a stream; returns the offset of their end.
    async fn delete(&self, stream: Stream, records: Vec<Record>) -> Result<u64> {
        let count = records.len();
        let append = self
            .env
            .append(stream, self.shard, records, Conditions::default());
        let appended = append.await;
        if let Err(error) = &appended {
            let inputs = json!({
                "shard": self.shard, "term": self.term, "stream": format!("{stream:?}"),
                "records": count, "error": format!("{error:?}"),
            });
            self.env.event(Event::DeletionFailed, &inputs);
        }
        appended
    }

    /// Deletes the records of workflows whose retention time has passed.
    pub(crate) async fn delete_ended(self: Rc<Self>) {
        while !self.ended.get() {
            self.env.sleep(DELETE_ENDED_INTERVAL_MS).await;
            let old = self.scheduler.borrow_mut().forget_ended(self.env.wall());
            if old.is_empty() {
                continue;
            }
            // If an append fails, the next owner reads these records and deletes them again.
            if self.delete_submissions_of(&old).await.is_ok() {
                let mut progress: Vec<Record> = Vec::new();
                for &id in &old {
                    progress.push(deletion(Key::Progress(id).text()));
                    progress.extend(self.take_deletions_of_parts(id));
                }
                // Logged; see above.
                let _ = self.delete(Stream::Progress, progress).await;
            }
        }
    }
}

/// Record that deletes a key.
fn deletion(key: Arc<str>) -> Record {
    Record { key, value: None }
}
