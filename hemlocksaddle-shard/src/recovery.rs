//! Reading a shard's state after a claim.

use std::rc::Rc;

use futures_util::future::join3;
use hemlocksaddle_policy::workflow::{Learned, Listing};
use hemlocksaddle_types::workflow::{Progress, Submission};
use serde_json::json;

use crate::{
    event::Event,
    owner::Owner,
    ports::{Conditions, Record, Result, Stream},
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
        self.env
            .append(Stream::Progress, self.shard, Vec::new(), fence)
            .await?;
        // Together, because each call takes a third of a second while the store is slow.
        let submissions = self.env.read_all(Stream::Submissions, self.shard);
        let progress = self.env.read_all(Stream::Progress, self.shard);
        let workers = self.env.read_all(Stream::Workers, 0);
        let (submissions, progress, workers) = join3(submissions, progress, workers).await;
        let (submissions, submissions_end) = submissions?;
        let (progress, _) = progress?;
        let (workers, workers_end) = workers?;
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
        match record::decode::<Learned>(&record.key, value) {
            Ok(learned) => self.board.borrow_mut().restore_learned(learned),
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
