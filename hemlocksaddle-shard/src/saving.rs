//! Saving of progress, the roster and the interference estimates.

use std::rc::Rc;

use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::{
    congestion::save_pause,
    workflow::{Listing, Unsaved, WorkerKey},
};
use hemlocksaddle_types::{clock::Millis, workflow::Failure};
use serde_json::json;

use crate::{
    event::Event,
    owner::{MAX_PLAN_INTERVAL_MS, Owner, RETRY_MS},
    ports::{Conditions, Record, StoreError, Stream, Writer},
    record::{self, Key},
};

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
        let values = records.iter().filter_map(|record| record.value.as_ref());
        let bytes = values.map(|value| value.len()).sum();
        while !self.ended.get() && !records.is_empty() {
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
                    break;
                }
                Err(StoreError::OutOfSequence(expected)) => self.progress_sequence.set(expected),
                Err(StoreError::Fenced) => {
                    self.step_down("progress is fenced");
                    return bytes;
                }
                Err(_) => self.env.sleep(RETRY_MS).await,
            }
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

    fn progress_records(&self, unsaved: &Unsaved, roster: &[(WorkerKey, Listing)]) -> Vec<Record> {
        let progress = unsaved
            .progress
            .iter()
            .map(|(id, progress)| record::encode(Key::Progress(*id).text(), progress));
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
