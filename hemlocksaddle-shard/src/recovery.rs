//! Recovery of a shard's state after a claim.
//!
//! The predecessor may go on starting tasks until it notices the claim. Two fences bound what it
//! can have started without the successor knowing: its progress is no longer stored, and it starts
//! no task of a submission that the stream holds after the fence of the new term, because it meets
//! that fence first. All submissions before the fence are read during recovery; their tasks wait
//! until the workers have reported in the new term and thereby refuse orders of earlier ones.

use std::rc::Rc;

use futures_util::future::{join, join5};
use hemlocksaddle_policy::workflow::{InterferenceSnapshot, Listing};
use hemlocksaddle_types::{
    clock::MonoMs,
    workflow::{FurtherParts, Progress, Submission, WorkflowId},
};
use serde_json::json;

use crate::{
    event::Event,
    owner::{Owner, RETRY_MS},
    ports::{Conditions, Record, Result, StoreError, Stream, Writer},
    record::{self, Fence, Key},
    snapshot::Snapshot,
    tenants::superseded,
};

/// How an owner came to know a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// Read during recovery; a predecessor may have started its tasks.
    Recovery,
    /// Read from the stream after recovery, or known to follow what has been read.
    Stream,
    /// Stored by this owner, maybe behind the fence of a successor.
    Unconfirmed,
}

/// Offsets from which streams are followed after recovery.
pub(crate) struct FollowOffsets {
    pub(crate) submissions: u64,
    /// Time at which the submissions were requested last.
    pub(crate) submissions_read_at: MonoMs,
    pub(crate) workers: u64,
}

impl Owner {
    /// Fences off the predecessor and reads the live state.
    pub(crate) async fn recover(self: &Rc<Self>) -> Result<FollowOffsets> {
        // Concurrent, because each call takes a third of a second while the store is slow.
        let fence = self.append_fence(Stream::Progress, Vec::new(), self.progress_writer());
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
        let fence_submissions = self.fence_submissions();
        let (fenced_at, submissions_fenced, submissions, progress, workers) =
            join5(fence, fence_submissions, submissions, progress, workers).await;
        let (fenced_at, _, submissions, mut progress, workers) = (
            fenced_at?,
            submissions_fenced?,
            submissions?,
            progress?,
            workers?,
        );
        if progress.end < fenced_at {
            // The predecessor appended between the read and the fence; it cannot append any more.
            progress = self
                .read_stream(Stream::Progress, self.shard, Some(progress))
                .await?;
        }
        // On a slow link all this takes seconds, in which submissions arrive and workers announce that they
        // leave. Both fences are in place, so that the state is complete after this read.
        let submissions_read_at = self.env.now();
        let (submissions, workers) = join(
            self.read_stream(Stream::Submissions, self.shard, Some(submissions)),
            self.read_stream(Stream::Workers, 0, Some(workers)),
        )
        .await;
        let (submissions, workers) = (submissions?, workers?);
        if submissions
            .records()
            .any(|record| self.is_fenced_by(record))
        {
            return Err(StoreError::Fenced);
        }
        self.apply_interference(&progress);
        let superseded = superseded(&submissions, &progress);
        for record in submissions.records() {
            match Key::parse(&record.key).and_then(|key| key.submitted()) {
                // Its record is deleted with those of the workflow that has the id.
                Some(id) if superseded.contains(&record.key) => self.note_key(id, record),
                _ => self.apply_submission(record, Origin::Recovery),
            }
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

    /// Appends the fence of this term to the submissions.
    async fn fence_submissions(&self) -> Result<u64> {
        let fence = Fence { term: self.term };
        let fence = record::encode(Key::Fence.text(), &fence).map_err(|cause| {
            let inputs = json!({ "cause": cause.to_string() });
            self.env.event(Event::InvariantViolated, &inputs);
            StoreError::NotDone
        })?;
        // The epoch keeps a delayed append of an earlier term from replacing a later fence.
        let writer = Writer {
            name: "owner".into(),
            epoch: self.term,
            sequence: 0,
        };
        self.append_fence(Stream::Submissions, vec![fence], writer)
            .await
    }

    /// Appends a fence; repeats it until its outcome is known or ownership ends.
    ///
    /// On a full link the state takes longer to read than the answer may take, and would be read again after a
    /// failure.
    async fn append_fence(
        &self,
        stream: Stream,
        records: Vec<Record>,
        writer: Writer,
    ) -> Result<u64> {
        let _waiting = self.recovery.wait_for_fence(stream);
        loop {
            let conditions = Conditions {
                end: None,
                writer: Some(writer.clone()),
            };
            let append = self
                .env
                .append(stream, self.shard, records.clone(), conditions);
            match append.await {
                Err(error) if error != StoreError::Fenced && !self.ended.get() => {
                    self.recovery_failed(error).await;
                }
                appended => return appended,
            }
        }
    }

    /// Whether a record of the submissions stream is the fence of a later term.
    pub(crate) fn is_fenced_by(&self, record: &Record) -> bool {
        if Key::parse(&record.key) != Some(Key::Fence) {
            return false;
        }
        let Some(value) = &record.value else {
            return false;
        };
        match record::decode::<Fence>(&record.key, value) {
            Ok(fence) => fence.term > self.term,
            Err(cause) => {
                self.log_unreadable(record, &cause.to_string());
                false
            }
        }
    }

    /// Reads what has followed a snapshot, or a stream completely; retries until ownership ends.
    ///
    /// What is read is complete up to the end of the stream at some time after the call.
    async fn read_stream(
        &self,
        stream: Stream,
        partition: u32,
        mut known: Option<Snapshot>,
    ) -> Result<Snapshot> {
        let waiting = self.recovery.wait_for_read(stream);
        let progress = waiting.progress();
        loop {
            let read = match known.take() {
                None => Snapshot::read(&self.env, stream, partition, progress).await,
                Some(mut snapshot) => {
                    let updated = snapshot
                        .update(&self.env, stream, partition, progress)
                        .await;
                    match updated {
                        Ok(()) => Ok(snapshot),
                        Err(error) => {
                            // Deleted records can no longer be followed; the stream is read completely.
                            let is_followable = !matches!(error, StoreError::Truncated(_));
                            known = is_followable.then_some(snapshot);
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

    /// Applies a record of the submissions stream.
    pub(crate) fn apply_submission(&self, record: &Record, origin: Origin) {
        let Some(value) = &record.value else { return };
        let now = self.env.now();
        let key = Key::parse(&record.key);
        if key == Some(Key::Fence) {
            return;
        }
        let submission = match record::decode::<Submission>(&record.key, value) {
            Ok(submission) => submission,
            Err(cause) => return self.log_unreadable(record, &cause.to_string()),
        };
        let id = key.as_ref().and_then(Key::submitted);
        let Some(id) = id.filter(|&id| key == Some(Key::of(id, &submission))) else {
            return self.log_unreadable(record, "key and value do not match");
        };
        self.note_key(id, record);
        match submission {
            Submission::Accepted(spec) if self.is_id_in_use(id, &spec) => {}
            Submission::Accepted(spec) => {
                let mut scheduler = self.scheduler.borrow_mut();
                match origin {
                    Origin::Recovery => scheduler.accept(id, *spec, now, true),
                    Origin::Stream => scheduler.accept(id, *spec, now, false),
                    Origin::Unconfirmed => scheduler.accept_unconfirmed(id, *spec, now),
                };
            }
            Submission::Cancelled => self.scheduler.borrow_mut().cancel(id, now),
            Submission::CancelledBy(tenant) => {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.cancel_by(id, Some(&*tenant), now);
            }
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
        // First part of a progress, whose further parts follow in the order of the keys.
        let mut first: Option<(WorkflowId, FurtherParts)> = None;
        for record in progress.records() {
            let Some(value) = &record.value else { continue };
            match Key::parse(&record.key) {
                Some(Key::Progress(id)) => match record::decode::<Progress>(&record.key, value) {
                    Ok(progress) => {
                        self.scheduler.borrow_mut().restore(id, &progress);
                        first = progress.further.map(|further| (id, further));
                    }
                    Err(cause) => self.log_unreadable(record, &cause.to_string()),
                },
                Some(Key::ProgressPart(id, generation, _)) => {
                    let mut stored = self.stored_parts.borrow_mut();
                    stored.entry(id).or_default().push(record.key.clone());
                    drop(stored);
                    // Others were left by an owner that did not get to the first part, or to the deletion.
                    let is_current = first
                        .is_some_and(|(of, further)| of == id && further.generation == generation);
                    match record::decode::<Progress>(&record.key, value) {
                        Ok(progress) if is_current => {
                            self.scheduler.borrow_mut().restore(id, &progress);
                        }
                        Ok(_) => {}
                        Err(cause) => self.log_unreadable(record, &cause.to_string()),
                    }
                }
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
