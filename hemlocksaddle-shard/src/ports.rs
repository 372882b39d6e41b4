//! Interfaces (ports) that a node of the shard crate requires from the platform.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_policy::workflow::Listing;
use hemlocksaddle_types::{
    clock::Millis,
    delegation::{Endpoint, Report, StartAnswer},
    name::DataCentre,
    workflow::{Catalogue, Run, TaskName},
};

pub use hemlocksaddle_types::delegation::{ReportRequest, StartCall, Timed, WorkerError};

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Call certainly had no effect.
    NotDone,
    /// Call may have taken effect.
    Unknown,
    /// Stream does not end at the expected offset.
    Conflict,
    /// Writer with a higher epoch has appended.
    Fenced,
    /// Sequence number is not the next one, which is given.
    OutOfSequence(u64),
    /// Records at the offset were deleted; the first retained offset is given.
    Truncated(u64),
    /// Answer cannot be decoded.
    Unreadable,
}

impl StoreError {
    /// Whether the call certainly had no effect.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        !matches!(self, StoreError::Unknown | StoreError::Unreadable)
    }
}

/// Streams of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stream {
    /// Claims of shards and the layout; one partition for each shard.
    Claims,
    /// Submissions; one partition for each shard.
    Submissions,
    /// Progress; one partition for each shard.
    Progress,
    /// Operators' records: configuration and closed data centres; one partition.
    Operator,
    /// Workers' registrations; one partition.
    Workers,
}

/// Keyed record of a compacted stream.
///
/// Its `Debug` form has the size of the value only: a configuration holds keys of tenants.
#[derive(Clone, PartialEq, Eq)]
pub struct Record {
    /// Key; a later record with the same key replaces this one.
    pub key: Arc<str>,
    /// Value; `None` deletes the key.
    pub value: Option<Bytes>,
}

impl fmt::Debug for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Record")
            .field("key", &self.key)
            .field("value_bytes", &self.value.as_ref().map(Bytes::len))
            .finish()
    }
}

/// Writer identity for fencing and deduplication; only the highest epoch may append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// Name that identifies the writer.
    pub name: Arc<str>,
    /// Epoch, which fences off writers of the same name with a lower one.
    pub epoch: u64,
    /// Sequence number within the epoch; a repeated number appends nothing.
    pub sequence: u64,
}

/// Conditions under which an append succeeds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Offset at which the partition has to end.
    pub end: Option<u64>,
    /// Writer whose epoch and sequence number are checked.
    pub writer: Option<Writer>,
}

/// Page of the newest records by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Newest {
    /// Records, ordered by key.
    pub records: Vec<Record>,
    /// Whether more records follow the last key.
    pub more: bool,
    /// Offset after the last record of the partition.
    pub end: u64,
}

/// Records from an offset onwards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tail {
    /// Records, ordered by offset; `None` for one that cannot be decoded.
    pub records: Vec<Option<Record>>,
    /// Offset of the next read.
    pub next: u64,
    /// Offset after the last record of the partition at the time of the read.
    pub end: u64,
}

/// Platform's store: partitioned streams of keyed records.
pub trait Store {
    /// Returns a page of the newest record of each key, for the keys above `after`.
    fn newest(
        &self,
        stream: Stream,
        partition: u32,
        after: Option<Arc<str>>,
    ) -> PortFuture<'_, Result<Newest>>;
    /// Returns records from an offset onwards; waits up to `wait` if there are none yet.
    fn read(
        &self,
        stream: Stream,
        partition: u32,
        from: u64,
        wait: Millis,
    ) -> PortFuture<'_, Result<Tail>>;
    /// Appends records and returns the offset after them.
    fn append(
        &self,
        stream: Stream,
        partition: u32,
        records: Vec<Record>,
        conditions: Conditions,
    ) -> PortFuture<'_, Result<u64>>;
}

/// Decoded record of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// Configuration.
    Catalogue(Catalogue),
    /// Data centre is closed: it gets no new tasks.
    Closed(DataCentre),
    /// Data centre is open again.
    Opened(DataCentre),
    /// Record without effect on the node.
    Other,
}

/// Decoders of the records that operators and workers write to the store.
pub trait Formats {
    /// Decodes a record of an operator; the error describes what is invalid.
    fn operator_record(&self, record: &Record) -> std::result::Result<OperatorRecord, String>;
    /// Decodes a worker's record; the error describes what is invalid.
    fn listing(&self, record: &Record) -> std::result::Result<Listing, String>;
}

/// Platform's workers.
pub trait Fleet {
    /// Orders a task to start.
    fn start(&self, worker: &Endpoint, call: StartCall) -> PortFuture<'_, Timed<StartAnswer>>;
    /// Orders a run to stop.
    fn stop(
        &self,
        worker: &Endpoint,
        task: TaskName,
        run: Run,
        term: u64,
    ) -> PortFuture<'_, std::result::Result<(), WorkerError>>;
    /// Sets the share of its processors that a run may use, in percent.
    fn pace(
        &self,
        worker: &Endpoint,
        task: TaskName,
        run: Run,
        percent: u8,
        term: u64,
    ) -> PortFuture<'_, std::result::Result<(), WorkerError>>;
    /// Requests a report; the caller sets its `sent_at`.
    fn fetch_report(
        &self,
        worker: &Endpoint,
        request: ReportRequest,
    ) -> PortFuture<'_, std::result::Result<Timed<Report>, WorkerError>>;
}
