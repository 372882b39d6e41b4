//! Reading a shard's state after a claim.

use std::rc::Rc;

use futures_util::future::join4;
use hemlocksaddle_policy::workflow::{InterferenceSnapshot, Listing};
use hemlocksaddle_types::workflow::{Progress, Submission};
use serde_json::json;

use crate::{
    event::Event,
    owner::{Owner, RETRY_MS},
    ports::{Conditions, Record, Result, StoreError, Stream},
    record::{self, Key},
};

/// Offsets from which the streams are followed.
pub(crate) struct Followed {
    pub(crate) submissions: u64,
    pub(crate) workers: u64,
}

impl Owner {
    /// Fences the predecessor's progress and reads what is alive.
    pub(crate) async fn recover(self: &Rc<Self>) -> Result<Followed> {
        let fence = Conditions {
            end: None,
            writer: Some(self.progress_writer()),
        };
        // Together, because each call takes a third of a second while the store is slow.
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
            // The predecessor has appended since the read, and no more after the fence.
            progress = self.read_stream(Stream::Progress, self.shard).await?.0;
        }
        self.apply_learned(&progress);
        for record in &submissions {
            self.apply_submission(record, true);
        }
        self.apply_progress(&progress);
        self.apply_listings(workers.into_iter().map(Some).collect());
        let inputs = json!({
            "shard": self.shard, "term": self.term,
            "submissions": submissions.len(), "progress": progress.len(),
        });
        self.env.event(Event::Recovered, &inputs);
        Ok(Followed {
            submissions: submissions_end,
            workers: workers_end,
        })
    }

    /// Reads a stream until it is read whole or the shard is lost.
    async fn read_stream(&self, stream: Stream, part: u32) -> Result<(Vec<Record>, u64)> {
        loop {
            match self.env.read_all(stream, part).await {
                Err(error) if !self.ended.get() => self.recovery_failed(error).await,
                read => return read,
            }
        }
    }

    /// Logs that a part of the state could not be read, and pauses before the next try.
    pub(crate) async fn recovery_failed(&self, error: StoreError) {
        let inputs = json!({
            "shard": self.shard, "term": self.term, "error": format!("{error:?}"),
        });
        self.env.event(Event::RecoveryFailed, &inputs);
        self.env.sleep(RETRY_MS).await;
    }

    /// Applies a record of the submissions.
    pub(crate) fn apply_submission(&self, record: &Record, inherited: bool) {
        let Some(value) = &record.value else { return };
        let now = self.env.now();
        let key = Key::parse(&record.key);
        match (key, record::decode::<Submission>(&record.key, value)) {
            (Some(Key::Accepted(id)), Ok(Submission::Accepted(spec))) => {
                self.board.borrow_mut().accept(id, *spec, now, inherited);
            }
            (Some(Key::Cancelled(id)), Ok(Submission::Cancelled)) => {
                self.board.borrow_mut().cancel(id, now);
            }
            (_, Ok(_)) => self.unreadable(record, "key and value do not match"),
            (_, Err(cause)) => self.unreadable(record, &cause.to_string()),
        }
    }

    /// Goes on from what the predecessor learned, before any workflow is known.
    fn apply_learned(&self, records: &[Record]) {
        let learned = records
            .iter()
            .find(|record| Key::parse(&record.key) == Some(Key::Learned));
        let Some((record, value)) =
            learned.and_then(|record| Some((record, record.value.as_ref()?)))
        else {
            return;
        };
        match record::decode::<InterferenceSnapshot>(&record.key, value) {
            Ok(learned) => self.board.borrow_mut().restore_interference(learned),
            Err(cause) => self.unreadable(record, &cause.to_string()),
        }
    }

    fn apply_progress(self: &Rc<Self>, records: &[Record]) {
        let mut roster = Vec::new();
        for record in records {
            let Some(value) = &record.value else { continue };
            match Key::parse(&record.key) {
                Some(Key::Progress(id)) => match record::decode::<Progress>(&record.key, value) {
                    Ok(progress) => self.board.borrow_mut().restore(id, &progress),
                    Err(cause) => self.unreadable(record, &cause.to_string()),
                },
                Some(Key::Roster(_)) => match record::decode::<Listing>(&record.key, value) {
                    Ok(listing) => roster.push(listing),
                    Err(cause) => self.unreadable(record, &cause.to_string()),
                },
                Some(Key::Learned) => {}
                _ => self.unreadable(record, "key is not one of progress"),
            }
        }
        let new = self.board.borrow_mut().restore_roster(roster);
        self.tend_all(new);
    }

    pub(crate) fn unreadable(&self, record: &Record, cause: &str) {
        let inputs = json!({ "key": &*record.key, "cause": cause });
        self.env.event(Event::RecordUnreadable, &inputs);
    }
}
