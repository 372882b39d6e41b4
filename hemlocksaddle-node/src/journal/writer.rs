//! Writer of the batches of one stream.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use bytes::Bytes;
use futures_channel::oneshot;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::NodeName,
    record::{Batch, BatchId, Offset, Record, Stream},
    unit::Term,
};

use crate::{
    core::{AppendError, AppendResult},
    env::Env,
    event::Event,
    ports::{PortError, ReadBatch},
    stream,
    stream::StreamReader,
    wait::{Signal, within},
};

use super::LogWriter;

/// Maximum number of records in a batch; an append with more gets a batch of its own.
const MAX_BATCH_RECORDS: usize = 256;

/// Maximum encoded size of a batch's records in bytes; a larger append gets a batch of its own.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Records of one append, with its waiting caller.
pub(super) struct Entry {
    id: u64,
    term: Term,
    records: Vec<Record>,
    encoded_bytes: usize,
    is_fence: bool,
    waiter: Option<oneshot::Sender<AppendResult>>,
}

impl Entry {
    pub(super) fn new(
        id: u64,
        term: Term,
        records: Vec<Record>,
        is_fence: bool,
        waiter: oneshot::Sender<AppendResult>,
    ) -> Entry {
        let encoded_bytes = encode(&records).len();
        Entry {
            id,
            term,
            records,
            encoded_bytes,
            is_fence,
            waiter: Some(waiter),
        }
    }

    fn answer(mut self, result: AppendResult) {
        if let Some(waiter) = self.waiter.take() {
            // Sending fails only if the caller no longer waits.
            let _ = waiter.send(result);
        }
    }
}

/// Batch whose outcome is not known yet, with the entries to answer.
pub(super) struct InFlight {
    number: u64,
    term: Term,
    entries: Vec<Entry>,
    appended_at: Option<Offset>,
}

/// Outcome of a batch in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchOutcome {
    Valid(Offset),
    Void,
}

/// Writer state of one stream.
pub(super) struct StreamWriter {
    pub(super) stream: Stream,
    node: NodeName,
    started_ms: u64,
    pub(super) term: Cell<Term>,
    pub(super) reader: RefCell<StreamReader>,
    /// Records read while the stream is being opened; `None` at other times.
    pub(super) collected: RefCell<Option<Vec<Record>>>,
    pub(super) in_flight: RefCell<Option<InFlight>>,
    pub(super) is_running: Cell<bool>,
    /// Offset at which the batch in flight was read back as valid.
    found_at: Cell<Option<Offset>>,
    waiting: RefCell<VecDeque<Entry>>,
    changed: Signal,
    last_number: Cell<u64>,
    last_sent_ms: Cell<Option<MonoMs>>,
}

impl StreamWriter {
    pub(super) fn new(env: &Env, stream: Stream) -> StreamWriter {
        StreamWriter {
            stream,
            node: env.node().clone(),
            started_ms: env.started_ms,
            term: Cell::default(),
            reader: RefCell::default(),
            collected: RefCell::default(),
            in_flight: RefCell::default(),
            is_running: Cell::default(),
            found_at: Cell::default(),
            waiting: RefCell::default(),
            changed: Signal::default(),
            last_number: Cell::default(),
            last_sent_ms: Cell::default(),
        }
    }

    pub(super) fn skip_to(&self, next: Offset) {
        let is_unused = self.last_number.get() == 0;
        if is_unused && self.reader.borrow().next() < next {
            self.reader.replace(StreamReader::starting_at(next));
        }
    }

    /// Whether records of the term can still become valid.
    pub(super) fn accepts(&self, term: Term) -> bool {
        self.term.get() == term && self.reader.borrow().highest_term() <= term
    }

    pub(super) fn wake(&self) {
        self.changed.notify();
    }

    pub(super) fn push(&self, entry: Entry) {
        self.waiting.borrow_mut().push_back(entry);
        self.changed.notify();
    }

    pub(super) fn waiting_records(&self) -> usize {
        let waiting = self.waiting.borrow();
        // A fence has no records, but takes a batch.
        waiting.iter().map(|entry| entry.records.len().max(1)).sum()
    }

    pub(super) async fn wait_until_idle(&self) {
        loop {
            let seen = self.changed.count();
            if self.in_flight.borrow().is_none() && self.waiting.borrow().is_empty() {
                return;
            }
            self.changed.wait_past(seen).await;
        }
    }

    /// Withdraws an entry that was not sent; an entry in flight is neither answered nor sent again.
    pub(super) fn abandon(&self, id: u64) -> AppendError {
        let mut waiting = self.waiting.borrow_mut();
        if let Some(at) = waiting.iter().position(|entry| entry.id == id) {
            waiting.remove(at);
            self.changed.notify();
            return AppendError::NotAppended;
        }
        if let Some(in_flight) = self.in_flight.borrow_mut().as_mut() {
            let mut entries = in_flight.entries.iter_mut();
            if let Some(entry) = entries.find(|entry| entry.id == id) {
                entry.waiter = None;
            }
        }
        AppendError::OutcomeUnknown
    }

    /// Applies the result of a read; returns whether the reader is at the tail.
    pub(super) fn observe(&self, read: ReadBatch) -> bool {
        let (batches, is_at_tail) = self.reader.borrow_mut().apply(read);
        for batch in batches {
            let is_ours = self.is_in_flight(&batch.id);
            if is_ours {
                self.found_at.set(Some(batch.offset));
            }
            let is_our_fence = is_ours && self.has_fence_in_flight();
            if let Some(collected) = self.collected.borrow_mut().as_mut()
                && !is_our_fence
            {
                collected.extend(batch.records);
            }
        }
        is_at_tail
    }

    fn is_in_flight(&self, id: &BatchId) -> bool {
        let in_flight = self.in_flight.borrow();
        in_flight.as_ref().is_some_and(|batch| {
            batch.number == id.number && self.node == id.node && self.started_ms == id.started_ms
        })
    }

    fn has_fence_in_flight(&self) -> bool {
        let in_flight = self.in_flight.borrow();
        in_flight
            .as_ref()
            .is_some_and(|batch| batch.entries.iter().any(|entry| entry.is_fence))
    }

    /// Moves waiting entries of one term into a new batch in flight; returns `false` if there are none.
    fn fill_batch(&self) -> bool {
        self.refuse_fenced();
        let mut waiting = self.waiting.borrow_mut();
        let Some(term) = waiting.front().map(|entry| entry.term) else {
            return false;
        };
        let mut entries: Vec<Entry> = Vec::new();
        let (mut records, mut bytes) = (0, 0);
        while let Some(entry) = waiting.front() {
            records += entry.records.len();
            bytes += entry.encoded_bytes;
            let is_over = records > MAX_BATCH_RECORDS || bytes > MAX_BATCH_BYTES;
            if entry.term != term || (is_over && !entries.is_empty()) {
                break;
            }
            entries.extend(waiting.pop_front());
        }
        self.in_flight.replace(Some(InFlight {
            number: self.take_number(),
            term,
            entries,
            appended_at: None,
        }));
        self.found_at.set(None);
        true
    }

    /// Refuses waiting entries whose term is below the highest in the stream.
    fn refuse_fenced(&self) {
        let highest_term = self.reader.borrow().highest_term();
        let waiting = self.waiting.take();
        let (fenced, rest) = waiting
            .into_iter()
            .partition(|entry| entry.term < highest_term);
        self.waiting.replace(rest);
        let fenced: VecDeque<Entry> = fenced;
        for entry in fenced {
            entry.answer(Err(AppendError::NotAppended));
        }
        self.changed.notify();
    }

    fn take_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    fn encode_batch(&self, number: u64, term: Term, records: Vec<Record>) -> Bytes {
        let id = BatchId {
            node: self.node.clone(),
            started_ms: self.started_ms,
            number,
        };
        encode(&Batch { id, term, records })
    }

    fn encode_in_flight(&self) -> Bytes {
        let in_flight = self.in_flight.borrow();
        let Some(batch) = in_flight.as_ref() else {
            return Bytes::new();
        };
        let records = batch.entries.iter().flat_map(|entry| entry.records.clone());
        self.encode_batch(batch.number, batch.term, records.collect())
    }

    /// Outcome of the batch in flight; `None` if the stream was not read far enough to decide it.
    fn outcome(&self) -> Option<BatchOutcome> {
        if let Some(offset) = self.found_at.get() {
            return Some(BatchOutcome::Valid(offset));
        }
        let in_flight = self.in_flight.borrow();
        let batch = in_flight.as_ref()?;
        let reader = self.reader.borrow();
        let is_fenced = reader.highest_term() > batch.term;
        let is_overtaken = reader.highest_number(&self.node, self.started_ms) >= batch.number;
        let is_passed = batch.appended_at.is_some_and(|at| at < reader.next());
        (is_fenced || is_overtaken || is_passed).then_some(BatchOutcome::Void)
    }

    /// Answers the entries of a valid batch; those of a void batch go back to the front of the queue.
    fn complete_batch(&self, outcome: BatchOutcome) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        match outcome {
            BatchOutcome::Valid(offset) => {
                let entries = batch.entries.into_iter();
                entries.for_each(|entry| entry.answer(Ok(offset)));
            }
            BatchOutcome::Void => {
                let mut waiting = self.waiting.borrow_mut();
                let wanted = batch.entries.into_iter().rev();
                wanted
                    .filter(|entry| entry.waiter.is_some())
                    .for_each(|entry| waiting.push_front(entry));
            }
        }
        self.refuse_fenced();
    }

    /// Records the offset of the batch in flight, or of an empty batch appended after it.
    fn record_appended(&self, offset: Offset) {
        if let Some(batch) = self.in_flight.borrow_mut().as_mut() {
            batch.appended_at = Some(offset);
        }
    }

    fn has_unknown_offset(&self) -> bool {
        let in_flight = self.in_flight.borrow();
        in_flight
            .as_ref()
            .is_some_and(|batch| batch.appended_at.is_none())
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoding into memory does not fail");
    Bytes::from(bytes)
}

/// Sends the waiting entries of a stream until the node stops.
pub(super) async fn run(log: Rc<LogWriter>, writer: Rc<StreamWriter>) {
    let mut failures = 0;
    while !log.env.ended.get() {
        let seen = writer.changed.count();
        if writer.waiting.borrow().is_empty() {
            writer.changed.wait_past(seen).await;
            continue;
        }
        wait_for_interval(&log, &writer).await;
        if !writer.fill_batch() {
            continue;
        }
        let bytes = writer.encode_in_flight();
        if append(&log, &writer, bytes).await == Err(PortError::NotSent) {
            writer.complete_batch(BatchOutcome::Void);
            log.env.sleep(log.retry_delay(failures)).await;
            failures += 1;
            continue;
        }
        failures = 0;
        let outcome = resolve(&log, &writer).await;
        writer.complete_batch(outcome);
    }
}

/// Waits until the interval since the last append has passed.
async fn wait_for_interval(log: &LogWriter, writer: &StreamWriter) {
    let Some(last_sent_ms) = writer.last_sent_ms.get() else {
        return;
    };
    let due_ms = last_sent_ms + log.batch_interval();
    log.env.sleep(due_ms.since(log.env.now())).await;
}

async fn append(log: &LogWriter, writer: &StreamWriter, bytes: Bytes) -> Result<(), PortError> {
    let env = &log.env;
    let sent_ms = env.now();
    writer.last_sent_ms.set(Some(sent_ms));
    let call = env.ports.log.append(writer.stream, bytes);
    let timeout = env.settings.timing.platform_call_ms;
    let answer = within(&*env.ports.runtime, timeout, call).await;
    let (label, result) = match answer {
        Some(Ok(offset)) => {
            env.log_health.record_success(sent_ms, env.now());
            writer.record_appended(offset);
            ("ok", Ok(()))
        }
        Some(Err(PortError::NotSent)) => ("not_sent", Err(PortError::NotSent)),
        Some(Err(PortError::Unknown)) | None => ("unknown", Err(PortError::Unknown)),
    };
    if result.is_err() {
        env.log_health.record_failure(sent_ms);
    }
    env.metrics.appends.with_label_values(&[label]).inc();
    result
}

/// Reads the stream back until the outcome of the batch in flight is known.
async fn resolve(log: &LogWriter, writer: &StreamWriter) -> BatchOutcome {
    let mut failures = 0;
    let answer_was_lost = writer.has_unknown_offset();
    loop {
        let next = writer.reader.borrow().next();
        let read = stream::read(&log.env, writer.stream, next, Millis(0)).await;
        let is_at_tail = read.map(|read| writer.observe(read.batch));
        if let Some(outcome) = writer.outcome() {
            if answer_was_lost {
                Event::AppendSettled.log(format_args!("{}: {outcome:?}", writer.stream.name()));
            }
            return outcome;
        }
        match is_at_tail {
            Ok(false) => failures = 0,
            Ok(true) if writer.has_unknown_offset() => append_empty(log, writer).await,
            // Either the append was acknowledged but is not readable yet, or the read failed.
            Ok(true) | Err(_) => {
                log.env.sleep(log.retry_delay(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Appends an empty batch with a higher number; the batch in flight is void if it arrives later.
async fn append_empty(log: &LogWriter, writer: &StreamWriter) {
    wait_for_interval(log, writer).await;
    let term = writer.in_flight.borrow().as_ref().map(|batch| batch.term);
    let bytes = writer.encode_batch(writer.take_number(), term.unwrap_or_default(), Vec::new());
    if append(log, writer, bytes).await.is_err() {
        log.env.sleep(log.retry_delay(1)).await;
    }
}
