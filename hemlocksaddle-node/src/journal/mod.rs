//! Log writer with group commit.
//!
//! Each stream has one task, which keeps at most one batch in flight. If the
//! answer to an append is lost, the task reads the stream back to find out whether
//! the batch is in it. If not, it appends empty batches until one of them is read
//! back. Deduplication by batch number then makes the lost batch void even if it
//! still arrives, so its records can be written in a new batch. The batches are
//! empty so that the records of a stream keep the order in which they were
//! submitted.
//!
//! Records of a void batch are not written again if their caller has timed out:
//! it may already have reported that they are not in the log.

mod writer;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use futures_channel::oneshot;
use hemlocksaddle_types::{
    clock::Millis,
    record::{Offset, Record, Stream},
    unit::Term,
};

use crate::{
    core::{AppendError, AppendResult, Fenced, Journal},
    env::Env,
    ports::PortFuture,
    stream,
    stream::StreamReader,
    wait::{jitter, within},
};

use writer::{Entry, StreamWriter};

/// Maximum number of waiting records in a stream; beyond it, appends with a timeout are refused.
pub const MAX_WAITING_RECORDS: usize = 4_096;

/// Minimum interval between two batches of a stream.
const MIN_BATCH_INTERVAL_MS: Millis = Millis(20);

/// Base delay after the first failed log request; doubles up to [`MAX_RETRY_DELAY_MS`].
const INITIAL_RETRY_DELAY_MS: Millis = Millis(100);

/// Maximum base delay after a failed log request, before jitter.
const MAX_RETRY_DELAY_MS: Millis = Millis(1_600);

/// Writer for all streams of a node.
pub struct LogWriter {
    env: Rc<Env>,
    streams: RefCell<BTreeMap<Stream, Rc<StreamWriter>>>,
    next_entry: Cell<u64>,
}

impl LogWriter {
    /// Creates a writer without streams.
    #[must_use]
    pub fn new(env: Rc<Env>) -> Rc<LogWriter> {
        Rc::new(LogWriter {
            env,
            streams: RefCell::default(),
            next_entry: Cell::new(1),
        })
    }

    /// Starts reading back at an offset instead of 0, if nothing was written to the stream yet.
    ///
    /// For streams without a fence; opening a stream reads it from the start.
    pub fn skip_to(&self, stream: Stream, next: Offset) {
        self.writer(stream).skip_to(next);
    }

    /// Whether the stream has a batch in flight, whose outcome is unknown.
    #[must_use]
    pub fn has_unresolved_batch(&self, stream: Stream) -> bool {
        let streams = self.streams.borrow();
        streams
            .get(&stream)
            .is_some_and(|writer| writer.in_flight.borrow().is_some())
    }

    /// Next offset to be read back from the stream.
    #[must_use]
    pub fn read_position(&self, stream: Stream) -> Offset {
        let streams = self.streams.borrow();
        let writer = streams.get(&stream);
        writer.map_or(Offset(0), |writer| writer.reader.borrow().next())
    }

    /// Number of records that wait to be sent to the stream.
    #[must_use]
    pub fn waiting(&self, stream: Stream) -> usize {
        let streams = self.streams.borrow();
        streams
            .get(&stream)
            .map_or(0, |writer| writer.waiting_records())
    }

    /// Wakes the tasks of all streams, so that they return once the node has stopped.
    pub fn close(&self) {
        let streams = self.streams.borrow();
        streams.values().for_each(|writer| writer.wake());
    }

    fn writer(&self, stream: Stream) -> Rc<StreamWriter> {
        let mut streams = self.streams.borrow_mut();
        let writer = streams
            .entry(stream)
            .or_insert_with(|| Rc::new(StreamWriter::new(&self.env, stream)));
        writer.clone()
    }

    /// Interval between batches of a stream.
    ///
    /// The append budget of all nodes is divided equally among nodes and active streams.
    fn batch_interval(&self) -> Millis {
        let streams = self.streams.borrow();
        let has_records = |writer: &&Rc<StreamWriter>| writer.waiting_records() > 0;
        let active = streams.values().filter(has_records).count().max(1) as u64;
        let nodes = self.env.settings.peers.len().max(1) as u64;
        let per_second = u64::from(self.env.settings.limits.appends_per_second.max(1));
        Millis((nodes * 1_000 * active).div_ceil(per_second)).max(MIN_BATCH_INTERVAL_MS)
    }

    /// Exponential backoff with jitter after `failures` earlier failures in a row.
    fn retry_delay(&self, failures: u32) -> Millis {
        let doubled = INITIAL_RETRY_DELAY_MS.0 << failures.min(10);
        let delay = Millis(doubled).min(MAX_RETRY_DELAY_MS);
        Millis(delay.0 / 2) + jitter(&*self.env.ports.runtime, delay)
    }

    fn enqueue(
        self: &Rc<Self>,
        writer: &Rc<StreamWriter>,
        term: Term,
        records: Vec<Record>,
        is_fence: bool,
    ) -> (u64, oneshot::Receiver<AppendResult>) {
        let id = self.next_entry.get();
        self.next_entry.set(id + 1);
        let (waiter, result) = oneshot::channel();
        writer.push(Entry::new(id, term, records, is_fence, waiter));
        if !writer.is_running.replace(true) {
            let task = writer::run(self.clone(), writer.clone());
            self.env.spawn(task);
        }
        (id, result)
    }

    async fn read_all(&self, writer: &StreamWriter) {
        let mut failures = 0;
        loop {
            let next = writer.reader.borrow().next();
            match stream::read(&self.env, writer.stream, next, Millis(0)).await {
                Ok(read) => {
                    failures = 0;
                    if writer.observe(read.batch) {
                        return;
                    }
                }
                Err(_) => {
                    self.env.sleep(self.retry_delay(failures)).await;
                    failures += 1;
                }
            }
        }
    }

    async fn fence(
        self: Rc<Self>,
        stream: Stream,
        term: Term,
    ) -> std::result::Result<Vec<Record>, Fenced> {
        let writer = self.writer(stream);
        writer.wait_until_idle().await;
        if writer.reader.borrow().highest_term() > term {
            return Err(Fenced);
        }
        writer.reader.replace(StreamReader::new());
        writer.collected.replace(Some(Vec::new()));
        writer.term.set(term);
        self.read_all(&writer).await;
        if writer.reader.borrow().highest_term() > term {
            writer.collected.take();
            return Err(Fenced);
        }
        let (_, result) = self.enqueue(&writer, term, Vec::new(), true);
        let is_durable = matches!(result.await, Ok(Ok(_)));
        let records = writer.collected.take().unwrap_or_default();
        match is_durable {
            true => Ok(records),
            false => Err(Fenced),
        }
    }
}

/// Shared handle to a [`LogWriter`].
pub struct SharedJournal(pub Rc<LogWriter>);

impl Journal for SharedJournal {
    fn open(
        &self,
        stream: Stream,
        term: Term,
    ) -> PortFuture<'_, std::result::Result<Vec<Record>, Fenced>> {
        Box::pin(self.0.clone().fence(stream, term))
    }

    fn append(
        &self,
        stream: Stream,
        term: Term,
        records: Vec<Record>,
        timeout_ms: Option<Millis>,
    ) -> PortFuture<'_, AppendResult> {
        let log = &self.0;
        let writer = log.writer(stream);
        let is_full = timeout_ms.is_some() && writer.waiting_records() >= MAX_WAITING_RECORDS;
        if is_full || !writer.accepts(term) {
            return Box::pin(async { Err(AppendError::NotAppended) });
        }
        let (id, result) = log.enqueue(&writer, term, records, false);
        Box::pin(async move {
            // The stream's task answers every entry; without an answer the node has stopped.
            let answered = async { result.await.unwrap_or(Err(AppendError::OutcomeUnknown)) };
            let Some(timeout) = timeout_ms else {
                return answered.await;
            };
            let answer = within(&*log.env.ports.runtime, timeout, answered).await;
            answer.unwrap_or_else(|| Err(writer.abandon(id)))
        })
    }

    fn log_is_up(&self) -> bool {
        self.0.env.log_health.is_up(self.0.env.now())
    }
}
