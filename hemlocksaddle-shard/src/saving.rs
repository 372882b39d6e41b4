//! Saving of progress, the roster and the interference estimates.

use std::rc::Rc;

use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::{
    congestion::save_pause,
    plan_interval::MAX_PLAN_INTERVAL_MS,
    workflow::{Listing, Unsaved, WorkerKey},
};
use hemlocksaddle_types::{
    clock::Millis,
    error::Result,
    workflow::{Failure, FurtherParts, Progress, WorkflowId},
};
use serde_json::json;

use crate::{
    event::Event,
    owner::{Owner, RETRY_MS},
    parts::{MAX_PROGRESS_BYTES, record_bytes, split, split_appends},
    ports::{Conditions, Record, StoreError, Stream, Writer},
    record::{self, Key},
};

/// Largest size of the key and the header of a record of progress.
const MAX_KEY_BYTES: usize = 80;

/// Interval at which the interference estimates are saved.
const SAVE_INTERFERENCE_INTERVAL_MS: Millis = Millis(2_000);

impl Owner {
    /// Requests a save of the interference estimates at a fixed interval, for the next owner.
    pub(crate) async fn save_interference(self: Rc<Self>) {
        while !self.ended.get() {
            self.env.sleep(SAVE_INTERFERENCE_INTERVAL_MS).await;
            self.interference_due.set(true);
            self.changed.notify();
        }
    }

    /// Returns the writer of the progress with its next sequence number.
    pub(crate) fn progress_writer(&self) -> Writer {
        Writer {
            name: "owner".into(),
            epoch: self.term,
            sequence: self.progress_sequence.get(),
        }
    }

    /// Saves progress until ownership ends.
    pub(crate) async fn save(self: Rc<Self>) {
        while !self.ended.get() {
            let seen = self.changed.count();
            let (unsaved, roster) = {
                let mut scheduler = self.scheduler.borrow_mut();
                (scheduler.take_unsaved(), scheduler.unrostered())
            };
            if unsaved.is_empty() && roster.is_empty() && !self.interference_due.get() {
                let waiting = self.changed.wait_past(seen);
                let _ = within(&*self.env.ports.runtime, MAX_PLAN_INTERVAL_MS, waiting).await;
                continue;
            }
            let bytes = self.save_batch(unsaved, &roster).await;
            let pause = save_pause(bytes, self.env.settings.link_kbps);
            self.env.sleep(pause).await;
        }
    }

    /// Appends progress until it is durable; returns the size of the values in bytes.
    async fn save_batch(&self, unsaved: Unsaved, roster: &[(WorkerKey, Listing)]) -> usize {
        let started_at = self.env.now();
        let records = self.progress_records(&unsaved, roster);
        let bytes = records.iter().map(record_bytes).sum();
        for records in split_appends(records, self.env.settings.append_bytes()) {
            self.append_progress(records).await;
        }
        if self.ended.get() {
            return bytes;
        }
        let took_ms = self.env.now().since(started_at);
        self.env.metrics.save_s.observe(took_ms.0 as f64 / 1_000.0);
        self.log_ended(&unsaved);
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.mark_saved(unsaved);
        for (key, _) in roster {
            scheduler.mark_rostered(*key);
        }
        drop(scheduler);
        self.saved.notify();
        self.changed.notify();
        bytes
    }

    /// Appends records to the progress until they are durable or ownership ends.
    async fn append_progress(&self, records: Vec<Record>) {
        while !self.ended.get() {
            let conditions = Conditions {
                end: None,
                writer: Some(self.progress_writer()),
            };
            let appended = self
                .env
                .append(Stream::Progress, self.shard, records.clone(), conditions)
                .await;
            match appended {
                Ok(_) => {
                    self.progress_sequence.set(self.progress_sequence.get() + 1);
                    return;
                }
                Err(StoreError::OutOfSequence(expected)) => {
                    self.progress_sequence.set(expected);
                    self.log_out_of_sequence(Stream::Progress, expected);
                    self.env.sleep(RETRY_MS).await;
                }
                Err(StoreError::Fenced) => self.step_down("progress is fenced"),
                Err(_) => self.env.sleep(RETRY_MS).await,
            }
        }
    }

    /// Records of a workflow's progress, in the order in which they have to become durable.
    fn records_of(&self, id: WorkflowId, progress: &Progress) -> Vec<Result<Record>> {
        let max_bytes = self
            .env
            .settings
            .max_record_bytes
            .saturating_sub(MAX_KEY_BYTES);
        let max_bytes = max_bytes
            .min(MAX_PROGRESS_BYTES)
            .min(self.env.settings.append_bytes());
        let deletions = self.take_deletions_of_parts(id);
        let mut parts = split(progress.clone(), max_bytes).into_iter();
        let mut first = parts.next().unwrap_or_default();
        let mut records = Vec::new();
        let mut keys = Vec::new();
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        if count > 0 {
            let generation = self.next_generation();
            first.further = Some(FurtherParts { generation, count });
            for (number, part) in (1..).zip(parts) {
                let key = Key::ProgressPart(id, generation, number).text();
                keys.push(key.clone());
                records.push(record::encode(key, &part));
            }
            self.stored_parts.borrow_mut().insert(id, keys);
        }
        records.push(record::encode(Key::Progress(id).text(), &first));
        records.extend(deletions.map(Ok));
        records
    }

    /// Returns a generation of further parts that no owner has written yet.
    fn next_generation(&self) -> u64 {
        let number = self.generations.get() + 1;
        self.generations.set(number);
        self.term << u32::BITS | u64::from(number)
    }

    /// Takes records that delete the further parts of a workflow's progress.
    pub(crate) fn take_deletions_of_parts(
        &self,
        id: WorkflowId,
    ) -> impl Iterator<Item = Record> + use<> {
        let keys = self.stored_parts.borrow_mut().remove(&id);
        let keys = keys.into_iter().flatten();
        keys.map(|key| Record { key, value: None })
    }

    fn progress_records(&self, unsaved: &Unsaved, roster: &[(WorkerKey, Listing)]) -> Vec<Record> {
        let progress = unsaved
            .progress
            .iter()
            .flat_map(|(id, progress)| self.records_of(*id, progress));
        let roster = roster
            .iter()
            .map(|(_, listing)| record::encode(Key::Roster(listing.name.clone()).text(), listing));
        let departed = unsaved.departed.iter().map(|name| {
            Ok(Record {
                key: Key::Roster(name.clone()).text(),
                value: None,
            })
        });
        let interference = self.interference_due.take().then(|| {
            let interference = self.scheduler.borrow().interference_snapshot();
            record::encode(Key::Interference.text(), &interference)
        });
        let encoded = progress
            .chain(departed)
            .chain(roster)
            .chain(interference)
            .filter_map(|record| match record {
                Ok(record) => Some(record),
                Err(cause) => {
                    let inputs = json!({ "cause": cause.to_string() });
                    self.env.event(Event::InvariantViolated, &inputs);
                    None
                }
            });
        encoded.collect()
    }

    fn log_ended(&self, unsaved: &Unsaved) {
        for (id, progress) in &unsaved.progress {
            if let Some(state) = progress.ended {
                let failure = progress.failure.as_ref();
                let inputs = json!({
                    "workflow": id.to_string(), "state": format!("{state:?}"), "term": self.term,
                    "reason": failure.map(ToString::to_string),
                    "crashed_workers": failure.map(|failure| failure.workers()),
                });
                if matches!(failure, Some(Failure::Crashes { .. })) {
                    self.env.metrics.given_up.inc();
                }
                self.env.event(Event::Ended, &inputs);
            }
        }
    }
}
