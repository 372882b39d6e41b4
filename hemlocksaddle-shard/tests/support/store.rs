//! In-memory store with outages and lost answers.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    ops::Bound,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_shard::ports::{
    Conditions, Newest, Record, Result, Store, StoreError, Stream, Tail,
};
use hemlocksaddle_types::clock::Millis;

use super::LONGEST_KEY_BYTES;

/// Latency of a call.
const LATENCY_MS: Millis = Millis(4);

/// Interval at which a waiting read checks for new records.
const POLL_MS: Millis = Millis(5);

/// Value of the record of a worker that is about to leave.
pub(super) const DRAINING: &[u8] = b"draining";

/// Largest record that the platform's store takes, with its key.
const MAX_RECORD_BYTES: usize = 256 << 10;

/// Size of the largest append that the store takes, in largest records.
pub(super) const RECORDS_PER_APPEND: usize = 8;

/// Time after which a connection without an answer is given up; longer than any caller waits.
const SILENCE_MS: Millis = Millis(60_000);

/// Largest number of records in a page of the newest ones.
const PAGE_RECORDS: usize = 500;

/// Longest time that an append is queued; one that would wait longer is rejected.
const MAX_QUEUE_WAIT_MS: Millis = Millis(2_000);

#[derive(Default)]
struct Partition {
    records: Vec<Record>,
    /// Offset of the newest record of each key.
    newest: BTreeMap<Arc<str>, usize>,
    /// Offset of the first record that can still be read; earlier ones are deleted, except for the newest of
    /// each key.
    first: u64,
    /// Epoch, last sequence number and offset after its append, by writer.
    writers: HashMap<Arc<str>, (u64, Option<u64>, u64)>,
    /// Time at which the queued appends are finished.
    free_at: Millis,
}

impl Partition {
    fn append(&mut self, records: impl IntoIterator<Item = Record>) {
        for record in records {
            self.newest.insert(record.key.clone(), self.records.len());
            self.records.push(record);
        }
    }
}

/// Fault of the answers that a caller might meet by repeating the call for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Odd {
    /// Reads are answered at once and without records.
    Empty,
    /// All records that are followed are deleted already.
    Truncated,
    /// Each page of newest records is the first one and has a successor.
    RepeatedPage,
    /// Appends with a sequence number are not made, as if the next one had been expected.
    OutOfSequence,
    /// Appends are made, and their answers cannot be decoded.
    UnreadableAppend,
}

pub(crate) struct FakeStore {
    sim: SimRuntime,
    partitions: RefCell<HashMap<(Stream, u32), Partition>>,
    /// Rejects every call.
    pub(crate) down: Cell<bool>,
    /// Fails every call without an answer or an effect.
    pub(crate) reset: Cell<bool>,
    /// Carries out appends but loses their answers.
    pub(crate) lose_answers: Cell<bool>,
    /// Rejects new records; repeated appends are answered.
    pub(crate) full: Cell<bool>,
    /// Factor applied to the latency of calls; above 1, appends also occupy their partition.
    pub(crate) latency_factor: Cell<u64>,
    /// Largest record that the store takes, with its key.
    pub(crate) max_record_bytes: Cell<usize>,
    /// Size of the largest append that was carried out.
    pub(crate) largest_append_bytes: Cell<usize>,
    /// Largest number of records in an answer to a read.
    pub(crate) max_read_records: Cell<usize>,
    /// Fault of the answers.
    pub(crate) odd: Cell<Option<Odd>>,
    /// Number of calls to each stream.
    pub(crate) calls: RefCell<HashMap<Stream, usize>>,
    /// Delay of reads of the newest worker records; widens races between the nodes that read them.
    pub(crate) worker_read_delay_ms: Cell<u64>,
}

/// Size of a record in an append: four bytes of length, one of the key's length, key and value.
fn record_bytes(record: &Record) -> usize {
    5 + record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}

impl FakeStore {
    pub(crate) fn new(sim: SimRuntime) -> Rc<FakeStore> {
        Rc::new(FakeStore {
            sim,
            partitions: RefCell::default(),
            down: Cell::new(false),
            reset: Cell::new(false),
            lose_answers: Cell::new(false),
            full: Cell::new(false),
            latency_factor: Cell::new(1),
            max_record_bytes: Cell::new(MAX_RECORD_BYTES),
            largest_append_bytes: Cell::new(0),
            max_read_records: Cell::new(usize::MAX),
            odd: Cell::new(None),
            calls: RefCell::default(),
            worker_read_delay_ms: Cell::new(0),
        })
    }

    /// Appends records that cannot be decoded, with keys of every kind and of none.
    pub(crate) fn put_garbage(&self, stream: Stream) {
        let id = "00000000000000aa";
        let keys = ["", "garbage", "a", "config", "claim-0", "layout", id];
        let mut partitions = self.partitions.borrow_mut();
        let part = partitions.entry((stream, 0)).or_default();
        part.append(keys.map(|key| Record {
            key: key.into(),
            value: Some(Bytes::from_static(&[0xff, 0x00, 0x9f])),
        }));
    }

    /// Lists a worker under any key.
    pub(crate) fn put_listing(&self, key: &str) {
        self.put(Stream::Workers, key);
    }

    /// Fixes the number of shards before the first node starts.
    pub(crate) fn put_layout(&self, shards: u32) {
        let layout = BTreeMap::from([
            ("shards", ciborium::Value::from(shards)),
            ("peer_key", ciborium::Value::from("key")),
        ]);
        let mut value = Vec::new();
        ciborium::into_writer(&layout, &mut value).expect("layout");
        self.put_value(Stream::Claims, "layout", Some(value.into()));
    }

    pub(crate) fn put_config(&self) {
        self.put(Stream::Operator, "config");
    }

    pub(crate) fn put_worker(&self, number: usize) {
        self.put(Stream::Workers, &number.to_string());
    }

    /// Lists a worker as one that is about to leave.
    pub(crate) fn put_draining_worker(&self, number: usize) {
        let value = Some(Bytes::from_static(DRAINING));
        self.put_value(Stream::Workers, &number.to_string(), value);
    }

    /// Deletes the history of a stream; the newest record of each key stays.
    pub(crate) fn forget_history(&self, stream: Stream) {
        let mut partitions = self.partitions.borrow_mut();
        if let Some(part) = partitions.get_mut(&(stream, 0)) {
            part.first = part.records.len() as u64;
        }
    }

    /// Removes a worker's record, as the platform does when the worker has left.
    pub(crate) fn remove_worker(&self, number: usize) {
        self.put_value(Stream::Workers, &number.to_string(), None);
    }

    fn put(&self, stream: Stream, key: &str) {
        self.put_value(stream, key, Some(Bytes::from_static(b"-")));
    }

    pub(crate) fn put_value(&self, stream: Stream, key: &str, value: Option<Bytes>) {
        let record = Record {
            key: key.into(),
            value,
        };
        let mut partitions = self.partitions.borrow_mut();
        partitions.entry((stream, 0)).or_default().append([record]);
    }

    /// Returns the keys of a stream whose newest record has a value.
    pub(crate) fn live_keys(&self, stream: Stream) -> Vec<Arc<str>> {
        let partitions = self.partitions.borrow();
        let records = partitions
            .get(&(stream, 0))
            .map_or(&[][..], |part| &part.records);
        let newest: BTreeMap<_, _> = records
            .iter()
            .map(|record| (&record.key, record.value.is_some()))
            .collect();
        let live = newest.into_iter().filter(|&(_, has_value)| has_value);
        live.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the value of the newest record of a key.
    pub(crate) fn newest_value(&self, stream: Stream, key: &str) -> Option<Bytes> {
        self.newest_value_of(stream, 0, key)
    }

    /// Returns the value of the newest record of a key in a partition.
    pub(crate) fn newest_value_of(
        &self,
        stream: Stream,
        partition: u32,
        key: &str,
    ) -> Option<Bytes> {
        let partitions = self.partitions.borrow();
        let part = partitions.get(&(stream, partition))?;
        part.records[*part.newest.get(key)?].value.clone()
    }

    /// Returns the number of records of a partition whose key has a prefix.
    pub(crate) fn count_with_prefix(&self, stream: Stream, partition: u32, prefix: &str) -> usize {
        let partitions = self.partitions.borrow();
        let records = partitions.get(&(stream, partition));
        let records = records.into_iter().flat_map(|part| &part.records);
        records
            .filter(|record| record.key.starts_with(prefix))
            .count()
    }

    /// Returns the number of records appended under a key.
    pub(crate) fn record_count(&self, stream: Stream, key: &str) -> usize {
        let partitions = self.partitions.borrow();
        let records = partitions
            .get(&(stream, 0))
            .map_or(&[][..], |part| &part.records);
        records.iter().filter(|record| &*record.key == key).count()
    }

    /// Waits for the appends queued before this call; rejects an append that would wait too long.
    async fn wait_in_queue(&self, stream: Stream, partition: u32, is_append: bool) -> Result<()> {
        let now = self.sim.now();
        let key = (stream, partition);
        let free_at = self.partitions.borrow().get(&key).map(|part| part.free_at);
        let wait = Millis(free_at.unwrap_or_default().0.saturating_sub(now.0));
        if is_append && wait > MAX_QUEUE_WAIT_MS {
            return Err(StoreError::NotDone);
        }
        self.sim.sleep(wait).await;
        Ok(())
    }

    /// Occupies the partition for the time that an append takes.
    fn occupy(&self, stream: Stream, partition: u32) {
        let now = self.sim.now();
        let work = LATENCY_MS.0 * (self.latency_factor.get() - 1);
        let mut partitions = self.partitions.borrow_mut();
        let part = partitions.entry((stream, partition)).or_default();
        part.free_at = Millis(part.free_at.0.max(now.0) + work);
    }

    /// Waits for the latency of a call and applies the injected faults.
    async fn answer(&self, stream: Stream) -> Result<()> {
        *self.calls.borrow_mut().entry(stream).or_default() += 1;
        self.sim
            .sleep(Millis(LATENCY_MS.0 * self.latency_factor.get()))
            .await;
        if self.reset.get() {
            Err(StoreError::Unknown)
        } else if self.down.get() {
            Err(StoreError::NotDone)
        } else {
            Ok(())
        }
    }

    fn do_append(
        &self,
        stream: Stream,
        partition: u32,
        records: Vec<Record>,
        conditions: &Conditions,
    ) -> Result<u64> {
        let mut partitions = self.partitions.borrow_mut();
        let part = partitions.entry((stream, partition)).or_default();
        let end = part.records.len() as u64;
        if conditions.end.is_some_and(|expected| expected != end) {
            return Err(StoreError::Conflict);
        }
        let too_large = |record: &Record| {
            record.key.len() > LONGEST_KEY_BYTES
                || record_bytes(record) > self.max_record_bytes.get()
        };
        let bytes: usize = records.iter().map(record_bytes).sum();
        let max_bytes = self.max_record_bytes.get() * RECORDS_PER_APPEND;
        if records.iter().any(too_large) || bytes > max_bytes {
            return Err(StoreError::NotDone);
        }
        let is_rejected = self.full.get() && !records.is_empty();
        if let Some(writer) = &conditions.writer {
            let known = part.writers.get(&writer.name).copied();
            match known {
                Some((epoch, ..)) if writer.epoch < epoch => return Err(StoreError::Fenced),
                Some((epoch, Some(last), end)) if writer.epoch == epoch => {
                    if writer.sequence == last {
                        return Ok(end);
                    }
                    if writer.sequence != last + 1 {
                        return Err(StoreError::OutOfSequence(last + 1));
                    }
                }
                _ => {}
            }
            if is_rejected {
                return Err(StoreError::NotDone);
            }
            let last = (!records.is_empty()).then_some(writer.sequence);
            let new_end = end + records.len() as u64;
            part.writers
                .insert(writer.name.clone(), (writer.epoch, last, new_end));
        }
        if is_rejected {
            return Err(StoreError::NotDone);
        }
        let largest = &self.largest_append_bytes;
        largest.set(largest.get().max(bytes));
        part.append(records);
        Ok(part.records.len() as u64)
    }
}

/// Store as seen by one node.
pub(crate) struct NodeStore {
    pub(crate) store: Rc<FakeStore>,
    /// Rejects the calls of this node; other nodes are served.
    pub(crate) rejects_calls: Cell<bool>,
    /// Time that a page of newest records takes on this node's link.
    pub(crate) page_ms: Cell<u64>,
    /// Loses calls and answers of this node; later calls are not affected.
    pub(crate) is_silent: Cell<bool>,
    /// Loses the answers to reads of this stream.
    pub(crate) silent_stream: Cell<Option<Stream>>,
    /// Time that an answer takes to this node.
    pub(crate) answer_ms: Cell<u64>,
    /// Time that a record takes on this node's link, in microseconds.
    pub(crate) record_us: Cell<u64>,
    /// Time at which the link has transferred what was sent to this node.
    pub(crate) link_free_at_us: Cell<u64>,
    /// Number of workers' records that were sent to this node.
    pub(crate) worker_records_read: Cell<usize>,
    /// Number of reads and pages of workers' records that this node requested.
    pub(crate) worker_reads: Cell<usize>,
}

impl NodeStore {
    /// Waits until the link has transferred records to this node, after those that were sent before.
    async fn transfer(&self, stream: Stream, records: usize) {
        if stream == Stream::Workers {
            self.worker_reads.set(self.worker_reads.get() + 1);
            let read = self.worker_records_read.get() + records;
            self.worker_records_read.set(read);
        }
        let now_us = self.store.sim.now().0 * 1_000;
        let free_at_us = self.link_free_at_us.get().max(now_us);
        let free_at_us = free_at_us + records as u64 * self.record_us.get();
        self.link_free_at_us.set(free_at_us);
        let wait = Millis((free_at_us - now_us) / 1_000);
        if wait > Millis(0) {
            self.store.sim.sleep(wait).await;
        }
    }

    /// Carries out a call, unless it or its answer is lost.
    async fn call<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        if self.rejects_calls.get() {
            return Err(StoreError::NotDone);
        }
        if !self.is_silent.get() {
            let answer = call.await;
            let answer_ms = self.answer_ms.get();
            if answer_ms > 0 {
                self.store.sim.sleep(Millis(answer_ms)).await;
            }
            if !self.is_silent.get() {
                return answer;
            }
        }
        self.store.sim.sleep(SILENCE_MS).await;
        Err(StoreError::Unknown)
    }
}

impl Store for NodeStore {
    fn newest(
        &self,
        stream: Stream,
        partition: u32,
        after: Option<Arc<str>>,
    ) -> PortFuture<'_, Result<Newest>> {
        let page = self.store.newest(stream, partition, after);
        Box::pin(self.call(async move {
            let page = page.await;
            let records = page.as_ref().map_or(0, |page| page.records.len());
            self.transfer(stream, records).await;
            self.store.sim.sleep(Millis(self.page_ms.get())).await;
            page
        }))
    }

    fn read(
        &self,
        stream: Stream,
        partition: u32,
        from: u64,
        wait: Millis,
    ) -> PortFuture<'_, Result<Tail>> {
        let read = self.call(self.store.read(stream, partition, from, wait));
        Box::pin(async move {
            let answer = read.await;
            let records = answer.as_ref().map_or(0, |tail| tail.records.len());
            self.transfer(stream, records).await;
            if self.silent_stream.get() == Some(stream) {
                self.store.sim.sleep(SILENCE_MS).await;
            }
            answer
        })
    }

    fn append(
        &self,
        stream: Stream,
        partition: u32,
        records: Vec<Record>,
        conditions: Conditions,
    ) -> PortFuture<'_, Result<u64>> {
        let append = self.store.append(stream, partition, records, conditions);
        Box::pin(self.call(append))
    }
}

impl Store for FakeStore {
    fn newest(
        &self,
        stream: Stream,
        partition: u32,
        after: Option<Arc<str>>,
    ) -> PortFuture<'_, Result<Newest>> {
        Box::pin(async move {
            if stream == Stream::Workers {
                self.sim
                    .sleep(Millis(self.worker_read_delay_ms.get()))
                    .await;
            }
            self.wait_in_queue(stream, partition, false).await?;
            self.answer(stream).await?;
            let partitions = self.partitions.borrow();
            let Some(part) = partitions.get(&(stream, partition)) else {
                return Ok(Newest::default());
            };
            let is_repeated = self.odd.get() == Some(Odd::RepeatedPage);
            let after = after.filter(|_| !is_repeated);
            let from = after.map_or(Bound::Unbounded, Bound::Excluded);
            let newest = part.newest.range((from, Bound::Unbounded));
            let live = newest.map(|(_, &offset)| &part.records[offset]);
            let live = live.filter(|record| record.value.is_some());
            let mut records: Vec<Record> = live.take(PAGE_RECORDS + 1).cloned().collect();
            let more = records.len() > PAGE_RECORDS || is_repeated;
            records.truncate(PAGE_RECORDS);
            Ok(Newest {
                records,
                more,
                end: part.records.len() as u64,
            })
        })
    }

    fn read(
        &self,
        stream: Stream,
        partition: u32,
        from: u64,
        wait: Millis,
    ) -> PortFuture<'_, Result<Tail>> {
        Box::pin(async move {
            self.answer(stream).await?;
            let until = self.sim.now() + wait;
            loop {
                if self.reset.get() {
                    return Err(StoreError::Unknown);
                }
                if self.down.get() {
                    return Err(StoreError::NotDone);
                }
                let (records, end): (Vec<_>, u64) = {
                    let partitions = self.partitions.borrow();
                    let part = partitions.get(&(stream, partition));
                    let first = part.map_or(0, |part| part.first);
                    match self.odd.get() {
                        Some(Odd::Truncated) => return Err(StoreError::Truncated(from + 1)),
                        Some(Odd::Empty) => {
                            let (records, next) = (Vec::new(), from);
                            let end = part.map_or(0, |part| part.records.len() as u64);
                            return Ok(Tail { records, next, end });
                        }
                        _ => {}
                    }
                    if from < first {
                        return Err(StoreError::Truncated(first));
                    }
                    let records = part.map_or(&[][..], |part| &part.records);
                    let following = records.iter().skip(from as usize);
                    let following = following.take(self.max_read_records.get());
                    (following.cloned().map(Some).collect(), records.len() as u64)
                };
                if !records.is_empty() || self.sim.now() >= until {
                    let next = from + records.len() as u64;
                    return Ok(Tail { records, next, end });
                }
                self.sim.sleep(POLL_MS).await;
            }
        })
    }

    fn append(
        &self,
        stream: Stream,
        partition: u32,
        records: Vec<Record>,
        conditions: Conditions,
    ) -> PortFuture<'_, Result<u64>> {
        Box::pin(async move {
            self.wait_in_queue(stream, partition, true).await?;
            self.answer(stream).await?;
            if let (Some(Odd::OutOfSequence), Some(writer)) = (self.odd.get(), &conditions.writer) {
                return Err(StoreError::OutOfSequence(writer.sequence + 1));
            }
            let appended = self.do_append(stream, partition, records, &conditions);
            if appended.is_ok() {
                self.occupy(stream, partition);
            }
            if self.odd.get() == Some(Odd::UnreadableAppend) {
                return appended.and(Err(StoreError::Unreadable));
            }
            if self.lose_answers.get() {
                return Err(StoreError::Unknown);
            }
            appended
        })
    }
}
