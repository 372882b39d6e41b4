//! Reader of a log stream.
//!
//! Applies the two rules that make every reader reach the same verdict on a
//! batch: its number is above the highest seen from its writer, and its term is
//! not below the highest seen in the stream. Void batches count for both
//! maxima, so the verdict depends only on what precedes a batch in the log.
//!
//! A reader that starts in a truncated stream has not seen the maxima of the
//! lost part. It can take a batch for valid that is void for others only if the
//! batch arrived late and the one that voids it expired first; retention is
//! hours and late arrival is seconds, and restated records repeat the result.

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

/// Result of this module.
pub type Result<T> = std::result::Result<T, PortError>;

/// Batch that is valid for every reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidBatch {
    /// Position in the stream.
    pub offset: Offset,
    /// Identifier.
    pub id: BatchId,
    /// Term of the writer.
    pub term: Term,
    /// Records in order.
    pub records: Vec<Record>,
}

/// Position in a stream and the maxima that decide validity.
#[derive(Debug, Default)]
pub struct StreamReader {
    next: Offset,
    is_truncated: bool,
    highest_term: Term,
    highest_numbers: HashMap<(NodeName, u64), u64>,
}

impl StreamReader {
    /// Reader at the start of a stream.
    #[must_use]
    pub fn new() -> StreamReader {
        StreamReader::default()
    }

    /// Reader that skips what precedes an offset.
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

    /// Whether records expired before this reader saw them.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Highest term seen in the stream.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Highest number seen from a writer.
    #[must_use]
    pub fn highest_number(&self, node: &NodeName, started_ms: u64) -> u64 {
        let writer = (node.clone(), started_ms);
        self.highest_numbers.get(&writer).copied().unwrap_or(0)
    }

    /// Applies what a read returned; returns the valid batches and whether the reader is at the tail.
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

/// Answer to a read, with the time at which it was sent.
pub struct TimedRead {
    /// Answer.
    pub batch: ReadBatch,
    /// Time at which the read was sent; what the answer shows is at least as new.
    pub sent_ms: MonoMs,
}

/// Reads from the log with a timeout and notes the outcome in the log health.
pub async fn read(env: &Env, stream: Stream, from: Offset, wait: Millis) -> Result<TimedRead> {
    let timeout = env.settings.timing.platform_call_ms + wait;
    read_within(env, stream, from, wait, timeout).await
}

/// Reads from the log with the given timeout.
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

/// Pause between reads of a follower whose read failed.
const READ_RETRY_DELAY_MS: Millis = Millis(200);

/// Timeout of a probe while the log is failing.
///
/// Others may act on "the log failed, attempt sent within 2,000 ms" only if
/// attempts end well within that time.
const PROBE_TIMEOUT_MS: Millis = Millis(700);

/// Follower of a stream with long polls.
#[derive(Default)]
pub struct Follower {
    tail_read_sent_ms: Cell<Option<MonoMs>>,
}

impl Follower {
    /// Sending time of the last read that reached the tail.
    #[must_use]
    pub fn tail_read_sent_ms(&self) -> Option<MonoMs> {
        self.tail_read_sent_ms.get()
    }

    /// Whether a read that reached the tail was sent within the span before `now`.
    #[must_use]
    pub fn is_fresh(&self, now: MonoMs, max_age: Millis) -> bool {
        let sent_ms = self.tail_read_sent_ms.get();
        sent_ms.is_some_and(|sent_ms| now.since(sent_ms) <= max_age)
    }

    /// Notes that what a read returned is applied.
    pub fn record_applied(&self, sent_ms: MonoMs, is_at_tail: bool) {
        if is_at_tail {
            self.tail_read_sent_ms.set(Some(sent_ms));
        }
    }

    /// Reads the next records; returns `None` after a failed attempt and a pause.
    ///
    /// With `probes`, attempts are short while the log is failing. One follower
    /// of a node keeps full timeouts, so that a log that is only slow counts as up.
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
