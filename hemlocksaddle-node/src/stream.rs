//! Reader of a log stream.
//!
//! A batch is valid if its number is above the highest seen from its writer
//! (deduplication) and its term is not below the highest seen in the stream
//! (fencing). Void batches count towards both maxima, so validity depends only on
//! what precedes a batch in the log and all readers agree on it.
//!
//! A reader that starts in a truncated stream does not know the maxima of the
//! removed part. It accepts a batch that is void for others only if that batch
//! was appended late and the batch that voids it has already expired. Late
//! appends are delayed by seconds and retention lasts hours, and snapshots
//! rewrite the state that results.

use std::{cell::Cell, collections::HashMap};

use bytes::Bytes;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::NodeName,
    record::{Batch, BatchId, Offset, Record, Stream},
    unit::Term,
};

use crate::{
    env::Env,
    event::Event,
    ports::{PortError, ReadBatch},
    wait::within,
};

/// Result of a read from the log.
pub type Result<T> = std::result::Result<T, PortError>;

/// Batch that passed deduplication and fencing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidBatch {
    /// Position in the stream.
    pub offset: Offset,
    /// Identifier of the batch.
    pub id: BatchId,
    /// Term of the writer.
    pub term: Term,
    /// Records in the order in which they apply.
    pub records: Vec<Record>,
}

/// Position in a stream, with the maxima for deduplication and fencing.
#[derive(Debug, Default)]
pub struct StreamReader {
    next: Offset,
    is_truncated: bool,
    highest_term: Term,
    highest_numbers: HashMap<(NodeName, u64), u64>,
}

impl StreamReader {
    /// Creates a reader at the start of a stream.
    #[must_use]
    pub fn new() -> StreamReader {
        StreamReader::default()
    }

    /// Creates a reader that starts at an offset.
    #[must_use]
    pub fn starting_at(next: Offset) -> StreamReader {
        StreamReader {
            next,
            ..StreamReader::default()
        }
    }

    /// Offset of the next record to read.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Whether the log removed records before this reader read them.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Highest term seen in the stream.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Highest batch number seen from a writer; 0 if none was.
    #[must_use]
    pub fn highest_number(&self, node: &NodeName, started_ms: u64) -> u64 {
        let writer = (node.clone(), started_ms);
        self.highest_numbers.get(&writer).copied().unwrap_or(0)
    }

    /// Applies the result of a read; returns the valid batches and whether the reader is at the tail.
    pub fn apply(&mut self, read: ReadBatch) -> (Vec<ValidBatch>, bool) {
        let mut valid = Vec::new();
        if read.first > self.next {
            self.is_truncated = true;
            self.next = read.first;
        }
        for (offset, bytes) in read.records {
            if offset < self.next {
                continue;
            }
            self.next = Offset(offset.0 + 1);
            valid.extend(self.validate(offset, &bytes));
        }
        (valid, self.next >= read.next)
    }

    fn validate(&mut self, offset: Offset, bytes: &Bytes) -> Option<ValidBatch> {
        let batch: Batch = match ciborium::from_reader(bytes.as_ref()) {
            Ok(batch) => batch,
            Err(error) => {
                Event::RecordInvalid.log(format_args!("offset {}: {error}", offset.0));
                return None;
            }
        };
        let writer = (batch.id.node.clone(), batch.id.started_ms);
        let highest_number = self.highest_numbers.entry(writer).or_insert(0);
        let is_new = batch.id.number > *highest_number;
        let is_fenced = batch.term < self.highest_term;
        *highest_number = batch.id.number.max(*highest_number);
        self.highest_term = batch.term.max(self.highest_term);
        (is_new && !is_fenced).then_some(ValidBatch {
            offset,
            id: batch.id,
            term: batch.term,
            records: batch.records,
        })
    }
}

/// Result of a read, with the time at which the read was sent.
pub struct TimedRead {
    /// Records that were read.
    pub batch: ReadBatch,
    /// Time at which the read was sent; the result is at least as recent.
    pub sent_ms: MonoMs,
}

/// Reads from the log with the platform timeout and records the outcome in the log health.
pub async fn read(env: &Env, stream: Stream, from: Offset, wait: Millis) -> Result<TimedRead> {
    let timeout = env.settings.timing.platform_call_ms + wait;
    read_within(env, stream, from, wait, timeout).await
}

/// Reads from the log with the given timeout and records the outcome in the log health.
pub async fn read_within(
    env: &Env,
    stream: Stream,
    from: Offset,
    wait: Millis,
    timeout: Millis,
) -> Result<TimedRead> {
    let sent_ms = env.now();
    let call = env.ports.log.read(stream, from, wait);
    match within(&*env.ports.runtime, timeout, call).await {
        Some(Ok(batch)) => {
            env.log_health.record_success(sent_ms, env.now());
            Ok(TimedRead { batch, sent_ms })
        }
        Some(Err(error)) => {
            env.log_health.record_failure(sent_ms);
            Err(error)
        }
        None => {
            env.log_health.record_failure(sent_ms);
            Err(PortError::Unknown)
        }
    }
}

/// Delay of a follower after a failed read.
const READ_RETRY_DELAY_MS: Millis = Millis(200);

/// Timeout of a read by a probing follower while the log is failing.
///
/// Peers rely on a reported log failure only if the failed request was sent
/// within the last 2,000 ms, so a read has to time out well within that time.
const PROBE_TIMEOUT_MS: Millis = Millis(700);

/// Follower that reads a stream by long polling.
#[derive(Default)]
pub struct Follower {
    tail_read_sent_ms: Cell<Option<MonoMs>>,
}

impl Follower {
    /// Time at which the last read that reached the tail was sent.
    #[must_use]
    pub fn tail_read_sent_ms(&self) -> Option<MonoMs> {
        self.tail_read_sent_ms.get()
    }

    /// Whether the last read that reached the tail was sent at most `max_age` before `now`.
    #[must_use]
    pub fn is_fresh(&self, now: MonoMs, max_age: Millis) -> bool {
        let sent_ms = self.tail_read_sent_ms.get();
        sent_ms.is_some_and(|sent_ms| now.since(sent_ms) <= max_age)
    }

    /// Records that the result of a read sent at `sent_ms` has been applied.
    pub fn record_applied(&self, sent_ms: MonoMs, is_at_tail: bool) {
        if is_at_tail {
            self.tail_read_sent_ms.set(Some(sent_ms));
        }
    }

    /// Reads the next records; returns `None` after a failed read and a delay.
    ///
    /// With `probes`, reads have a short timeout while the log is failing. One
    /// follower of a node keeps the full timeout, so that a log that is merely
    /// slow counts as up.
    pub async fn poll(
        &self,
        env: &Env,
        stream: Stream,
        next: Offset,
        probes: bool,
    ) -> Option<TimedRead> {
        let timing = &env.settings.timing;
        let is_failing = env.log_health.is_failing();
        let wait = match is_failing {
            true => Millis(0),
            false => timing.read_wait_ms,
        };
        let timeout = match is_failing && probes {
            true => PROBE_TIMEOUT_MS,
            false => timing.platform_call_ms + wait,
        };
        let answer = read_within(env, stream, next, wait, timeout).await;
        if answer.is_err() {
            env.sleep(READ_RETRY_DELAY_MS).await;
        }
        answer.ok()
    }
}
