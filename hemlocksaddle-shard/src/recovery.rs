//! Recovery of a shard's state after a claim.

use std::rc::Rc;

use futures_util::future::{join, join4};
use hemlocksaddle_policy::workflow::{InterferenceSnapshot, Listing};
use hemlocksaddle_types::{
    clock::MonoMs,
    workflow::{Progress, Submission},
};
use serde_json::json;

use crate::{
    event::Event,
    owner::{Owner, RETRY_MS},
    ports::{Conditions, Record, Result, StoreError, Stream},
    record::{self, Key},
    snapshot::Snapshot,
};

/// Offsets from which streams are followed after recovery.
pub(crate) struct FollowOffsets {
    pub(crate) submissions: u64,
    /// Time at which the submissions were requested last.
    pub(crate) submissions_read_at: MonoMs,
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
        let (submissions, progress, workers) = match self.claims.take_snapshots(self.shard) {
            Some(read) => (
                Some(read.submissions),
                Some(read.progress),
                Some(read.workers),
            ),
            None => (None, None, None),
        };
        let is_read_ahead = progress.is_some();
        let submissions = self.read_stream(Stream::Submissions, self.shard, submissions);
        let progress = self.read_stream(Stream::Progress, self.shard, progress);
        let workers = self.read_stream(Stream::Workers, 0, workers);
        let (fenced_at, submissions, progress, workers) =
            join4(fence, submissions, progress, workers).await;
        let (fenced_at, submissions, mut progress, workers) =
            (fenced_at?, submissions?, progress?, workers?);
        if progress.end < fenced_at {
            // The predecessor appended between the read and the fence; it cannot append any more.
            progress = self
                .read_stream(Stream::Progress, self.shard, Some(progress))
                .await?;
        }
        // On a slow link all this takes seconds, in which submissions arrive and workers announce that they
        // leave. From here on nothing waits until the state is complete.
        let submissions_read_at = self.env.now();
        let (submissions, workers) = join(
            self.read_stream(Stream::Submissions, self.shard, Some(submissions)),
            self.read_stream(Stream::Workers, 0, Some(workers)),
        )
        .await;
        let (submissions, workers) = (submissions?, workers?);
        self.apply_interference(&progress);
        for record in submissions.records() {
            self.apply_submission(record, true);
        }
        self.apply_progress(&progress);
        self.apply_listings(workers.records().cloned().map(Some).collect());
        let inputs = json!({
            "shard": self.shard, "term": self.term,
            "submissions": submissions.len(), "progress": progress.len(),
            "read_ahead": is_read_ahead,
        });
        self.env.event(Event::Recovered, &inputs);
        Ok(FollowOffsets {
            submissions: submissions.end,
            submissions_read_at,
            workers: workers.end,
        })
    }

    /// Reads what has followed a snapshot, or a stream completely; retries until ownership ends.
    async fn read_stream(
        &self,
        stream: Stream,
        partition: u32,
        mut known: Option<Snapshot>,
    ) -> Result<Snapshot> {
        loop {
            let read = match known.take() {
                None => Snapshot::read(&self.env, stream, partition).await,
                Some(mut snapshot) => {
                    let updated = snapshot.update(&self.env, stream, partition).await;
                    match updated {
                        Ok(()) => Ok(snapshot),
                        Err(StoreError::Truncated(_)) => continue,
                        Err(error) => {
                            known = Some(snapshot);
                            Err(error)
                        }
                    }
                }
            };
            match read {
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
    fn apply_interference(&self, progress: &Snapshot) {
        let interference = progress
            .records()
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

    fn apply_progress(self: &Rc<Self>, progress: &Snapshot) {
        let mut roster = Vec::new();
        for record in progress.records() {
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
