//! Splitting of progress and of appends into parts that the store takes.
//!
//! The progress of most workflows is one record. A larger one is stored in several: the first part names a
//! generation and the number of the further parts, which are appended before it, and those of the
//! generation before are deleted after it. A successor that meets an incomplete generation thus knows the one
//! before.

use std::mem::take;

use hemlocksaddle_types::workflow::{Progress, StepProgress};

use crate::ports::Record;

/// Largest size of a record of progress.
///
/// Takes a quarter of a second on a link of 2 Mbit/s.
pub const MAX_PROGRESS_BYTES: usize = 64 << 10;

/// Largest encoded size of a part without its items and without the reason of a failure.
const PART_BYTES: usize = 250;

/// Largest encoded size of the fields of a step without their items.
const STEP_BYTES: usize = 140;

/// Largest encoded size of a range of numbers.
const RANGE_BYTES: usize = 11;

/// Largest encoded size of the field of a tenant's name, without the name.
const NAME_BYTES: usize = 12;

/// Largest encoded size of a task's number and a run.
const RUN_BYTES: usize = 15;

/// Largest encoded size of a task's number and a run that was lost, without the name of the worker.
const CRASH_BYTES: usize = 80;

/// Size in a call of a record without its key and value.
const RECORD_HEADER_BYTES: usize = 5;

/// Parts of a progress that are being filled.
struct Parts {
    parts: Vec<Progress>,
    max_bytes: usize,
    /// Largest encoded size of the last part.
    bytes: usize,
}

impl Parts {
    /// Part that an item of the given size is added to.
    fn part(&mut self, item_bytes: usize) -> &mut Progress {
        if self.bytes + item_bytes > self.max_bytes {
            self.parts.push(Progress::default());
            self.bytes = PART_BYTES;
        }
        self.bytes += item_bytes;
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    /// Step that an item of the given size is added to.
    fn step(&mut self, of: (u32, u16), item_bytes: usize) -> &mut StepProgress {
        let of_step = |step: &StepProgress| (step.occurrence, step.step) == of;
        let is_open = |part: &Progress| part.steps.last().is_some_and(of_step);
        let has_room = self.bytes + item_bytes <= self.max_bytes;
        if !(has_room && self.parts.last().is_some_and(is_open)) {
            let (occurrence, step) = of;
            self.part(STEP_BYTES + item_bytes).steps.push(StepProgress {
                occurrence,
                step,
                ..StepProgress::default()
            });
        } else {
            self.bytes += item_bytes;
        }
        let part = self.parts.len() - 1;
        let step = self.parts[part].steps.len() - 1;
        &mut self.parts[part].steps[step]
    }

    fn add_step(&mut self, step: StepProgress) {
        let of = (step.occurrence, step.step);
        for range in step.done {
            self.step(of, RANGE_BYTES).done.push(range);
        }
        for run in step.failed {
            self.step(of, RUN_BYTES).failed.push(run);
        }
        for run in step.restarted {
            self.step(of, RUN_BYTES).restarted.push(run);
        }
        for crashed in step.crashed {
            let bytes = CRASH_BYTES + crashed.1.worker.len();
            self.step(of, bytes).crashed.push(crashed);
        }
        for range in step.begun {
            self.step(of, RANGE_BYTES).begun.push(range);
        }
        for range in step.end_unknown {
            self.step(of, RANGE_BYTES).end_unknown.push(range);
        }
    }
}

/// Splits a progress into parts whose encoded size is at most `max_bytes`.
///
/// The first part has the outcome. Restoring all parts, in any order after the first one, restores the progress.
#[must_use]
pub fn split(mut progress: Progress, max_bytes: usize) -> Vec<Progress> {
    let done = take(&mut progress.done);
    let steps = take(&mut progress.steps);
    let failure = progress.failure.as_ref();
    let workers = failure.map_or(&[][..], |failure| failure.workers());
    let reason_bytes = workers.iter().map(|name| name.len() + RUN_BYTES);
    let tenant_bytes = progress
        .tenant
        .as_ref()
        .map_or(0, |name| NAME_BYTES + name.len());
    let mut parts = Parts {
        bytes: PART_BYTES + reason_bytes.sum::<usize>() + tenant_bytes,
        parts: vec![progress],
        max_bytes,
    };
    for range in done {
        parts.part(RANGE_BYTES).done.push(range);
    }
    steps.into_iter().for_each(|step| parts.add_step(step));
    parts.parts
}

/// Divides records into consecutive appends of at most `max_bytes` each, if no single record is larger.
#[must_use]
pub fn split_appends(records: Vec<Record>, max_bytes: usize) -> Vec<Vec<Record>> {
    let mut appends: Vec<Vec<Record>> = Vec::new();
    let mut bytes = max_bytes;
    for record in records {
        let size = record_bytes(&record);
        match appends.last_mut() {
            Some(append) if bytes + size <= max_bytes => append.push(record),
            _ => {
                bytes = 0;
                appends.push(vec![record]);
            }
        }
        bytes += size;
    }
    appends
}

/// Size of a record in a call.
#[must_use]
pub fn record_bytes(record: &Record) -> usize {
    let value_bytes = record.value.as_ref().map_or(0, |value| value.len());
    RECORD_HEADER_BYTES + record.key.len() + value_bytes
}
