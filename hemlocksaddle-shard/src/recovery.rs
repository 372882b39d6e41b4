//! Recovery of a shard's state after a claim.

use std::rc::Rc;

use futures_util::future::join4;
use hemlocksaddle_policy::workflow::{InterferenceSnapshot, Listing};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Progress, Submission},
};
use serde_json::json;

use crate::{
    event::Event,
    owner::{Owner, RETRY_MS},
    ports::{Conditions, Record, Result, StoreError, Stream},
    record::{self, Key},
};

/// Offsets from which streams are followed after recovery.
pub(crate) struct FollowOffsets {
    pub(crate) submissions: u64,
    pub(crate) workers: u64,
}

impl Owner {
    /// Fences off the predecessor's progress writer and reads the live state.
    pub(crate) async fn recover(self: &Rc<Self>) -> Result<FollowOffsets> {
        let fence = Conditions {
            end: None,
            writer: Some(self.progress_writer()),
        };
        // Concurrent, because each call takes a third of a second while the store is slow.
        let fence = self
            .env
            .append(Stream::Progress, self.shard, Vec::new(), fence);
        let submissions = self.read_stream(Stream::Submissions, self.shard);
        let progress = self.read_stream(Stream::Progress, self.shard);
        let workers = self.read_stream(Stream::Workers, 0);
        let (fenced_at, submissions, progress, workers) =
            join4(fence, submissions, progress, workers).await;
        let fenced_at = fenced_at?;
        let (submissions, submissions_end) = submissions?;
        let (mut progress, progress_end) = progress?;
        let (workers, workers_end) = workers?;
        if progress_end < fenced_at {
            // The predecessor appended between the read and the fence; it cannot append any more.
            progress = self.read_stream(Stream::Progress, self.shard).await?.0;
        }
        self.apply_interference(&progress);
        for record in &submissions {
            self.apply_submission(record, true);
        }
        self.apply_progress(&progress);
        self.apply_listings(workers.into_iter().map(Some).collect());
        let workers_end = self.update_listings(workers_end).await?;
        let inputs = json!({
            "shard": self.shard, "term": self.term,
            "submissions": submissions.len(), "progress": progress.len(),
        });
        self.env.event(Event::Recovered, &inputs);
        Ok(FollowOffsets {
            submissions: submissions_end,
            workers: workers_end,
        })
    }

    /// Applies the listings that have changed since `next`; returns the offset after them.
    ///
    /// The other streams may have taken seconds on a slow link, in which workers announce that they leave.
    async fn update_listings(self: &Rc<Self>, mut next: u64) -> Result<u64> {
        loop {
            let read = self.env.read(Stream::Workers, 0, next, Millis(0)).await;
            match read {
                Ok(tail) if tail.next == next => return Ok(next),
                Ok(tail) => {
                    next = tail.next;
                    self.apply_listings(tail.records);
                }
                Err(StoreError::Truncated(_)) => {
                    let (workers, end) = self.read_stream(Stream::Workers, 0).await?;
                    next = end;
                    self.replace_listings(workers);
                }
                Err(error) if !self.ended.get() => self.recovery_failed(error).await,
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads a stream completely; retries until ownership ends.
    async fn read_stream(&self, stream: Stream, partition: u32) -> Result<(Vec<Record>, u64)> {
        loop {
            match self.env.read_all(stream, partition).await {
                Err(error) if !self.ended.get() => self.recovery_failed(error).await,
                read => return read,
            }
        }
    }

    /// Logs that part of the state could not be read, and pauses before the next attempt.
    pub(crate) async fn recovery_failed(&self, error: StoreError) {
        let inputs = json!({
            "shard": self.shard, "term": self.term, "error": format!("{error:?}"),
        });
        self.env.event(Event::RecoveryFailed, &inputs);
        self.env.sleep(RETRY_MS).await;
    }

    /// Applies a record of the submissions stream; `inherited` if it was read during recovery.
    pub(crate) fn apply_submission(&self, record: &Record, inherited: bool) {
        let Some(value) = &record.value else { return };
        let now = self.env.now();
        let key = Key::parse(&record.key);
        match (key, record::decode::<Submission>(&record.key, value)) {
            (Some(Key::Accepted(id)), Ok(Submission::Accepted(spec))) => {
                self.scheduler
                    .borrow_mut()
                    .accept(id, *spec, now, inherited);
            }
            (Some(Key::Cancelled(id)), Ok(Submission::Cancelled)) => {
                self.scheduler.borrow_mut().cancel(id, now);
            }
            (_, Ok(_)) => self.log_unreadable(record, "key and value do not match"),
            (_, Err(cause)) => self.log_unreadable(record, &cause.to_string()),
        }
    }

    /// Restores the predecessor's interference estimates, before any workflow is added.
    fn apply_interference(&self, records: &[Record]) {
        let interference = records
            .iter()
            .find(|record| Key::parse(&record.key) == Some(Key::Interference));
        let Some((record, value)) =
            interference.and_then(|record| Some((record, record.value.as_ref()?)))
        else {
            return;
        };
        match record::decode::<InterferenceSnapshot>(&record.key, value) {
            Ok(interference) => self
                .scheduler
                .borrow_mut()
                .restore_interference(interference),
            Err(cause) => self.log_unreadable(record, &cause.to_string()),
        }
    }

    fn apply_progress(self: &Rc<Self>, records: &[Record]) {
        let mut roster = Vec::new();
        for record in records {
            let Some(value) = &record.value else { continue };
            match Key::parse(&record.key) {
                Some(Key::Progress(id)) => match record::decode::<Progress>(&record.key, value) {
                    Ok(progress) => self.scheduler.borrow_mut().restore(id, &progress),
                    Err(cause) => self.log_unreadable(record, &cause.to_string()),
                },
                Some(Key::Roster(_)) => match record::decode::<Listing>(&record.key, value) {
                    Ok(listing) => match listing.check(self.env.wall()) {
                        Ok(()) => roster.push(listing),
                        Err(cause) => self.log_unreadable(record, &cause.to_string()),
                    },
                    Err(cause) => self.log_unreadable(record, &cause.to_string()),
                },
                Some(Key::Interference) => {}
                _ => self.log_unreadable(record, "key is not one of progress"),
            }
        }
        let new = self.scheduler.borrow_mut().restore_roster(roster);
        self.start_polling(new);
    }

    pub(crate) fn log_unreadable(&self, record: &Record, cause: &str) {
        let inputs = json!({ "key": &*record.key, "cause": cause });
        self.env.event(Event::RecordUnreadable, &inputs);
    }
}
