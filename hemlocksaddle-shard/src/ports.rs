//! Ports: what a shard's node needs from the platform.

use std::sync::Arc;

use bytes::Bytes;
use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_policy::workflow::{Listing, Report, StartAnswer};
use hemlocksaddle_types::{
    clock::Millis,
    name::DataCentre,
    workflow::{Catalogue, Run, TaskName},
};

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Certain to have had no effect.
    NotDone,
    /// Outcome unknown.
    Unknown,
    /// Stream does not end where the call expected.
    Conflict,
    /// Writer of a higher epoch has appended.
    Fenced,
    /// Writer's next sequence number is this one.
    OutOfSequence(u64),
    /// Records were deleted; the first that is kept has this offset.
    Truncated(u64),
    /// Answer cannot be read.
    Unreadable,
}

/// Streams of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stream {
    /// Owners of the shards; one partition.
    Claims,
    /// Submissions; one partition for each shard.
    Submissions,
    /// Progress; one partition for each shard.
    Progress,
    /// Operators' records; one partition.
    Operator,
    /// Workers' records; one partition.
    Workers,
}

/// Record with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: Arc<str>,
    /// Value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Writer of which only the latest epoch may append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// Name.
    pub name: Arc<str>,
    /// Epoch.
    pub epoch: u64,
    /// Number of the append within the epoch; a repeated number appends nothing.
    pub sequence: u64,
}

/// Conditions of an append.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Offset at which the stream has to end.
    pub end: Option<u64>,
    /// Writer.
    pub writer: Option<Writer>,
}

/// Newest records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Newest {
    /// Records in order of their keys.
    pub records: Vec<Record>,
    /// Whether there are more after the last key.
    pub more: bool,
    /// Offset after the last record of the stream.
    pub end: u64,
}

/// Records from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tail {
    /// Records in order of their offsets; `None` where one cannot be read.
    pub records: Vec<Option<Record>>,
    /// Offset to go on from.
    pub next: u64,
}

/// Platform's store.
pub trait Store {
    /// Newest record of each key after the given one.
    fn newest(
        &self,
        stream: Stream,
        partition: u32,
        after: Option<Arc<str>>,
    ) -> PortFuture<'_, Result<Newest>>;
    /// Records from an offset on; waits up to `wait` if there are none yet.
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

/// Record of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// Configuration.
    Catalogue(Catalogue),
    /// Data centre is taken out.
    Closed(DataCentre),
    /// Data centre is taken back.
    Opened(DataCentre),
    /// Record that needs nothing.
    Other,
}

/// Formats of the records that others write to the store.
pub trait Formats {
    /// Reads a record of an operator; the error says what is wrong with it.
    fn operator_record(&self, record: &Record) -> std::result::Result<OperatorRecord, String>;
    /// Reads a worker's record; the error says what is wrong with it.
    fn listing(&self, record: &Record) -> std::result::Result<Listing, String>;
}

/// Why a call to a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerError {
    /// No connection; certain to have done nothing.
    NotSent,
    /// No answer, or one that cannot be read.
    Unknown,
    /// Worker has a new life.
    OtherLife,
    /// Worker has seen a higher term.
    Fenced,
    /// Worker refused the call.
    Refused,
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// Task.
    pub task: TaskName,
    /// Run.
    pub run: Run,
    /// Text of the workflow.
    pub text: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Lease, on the worker's clock.
    pub lease_until_ms: u64,
    /// Owner's term.
    pub term: u64,
}

/// Request for a report that may renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    /// Lease, on the worker's clock; `None` leaves it as it is.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number are durable.
    pub saved_ends: u64,
    /// Time to wait for an end.
    pub wait: Millis,
    /// Owner's term.
    pub term: u64,
}

/// Answer of a worker with its clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timed<T> {
    /// Worker's clock in milliseconds, if the answer had it.
    pub clock_ms: Option<u64>,
    /// Start of the worker's process, if the answer had it.
    pub born_ms: Option<u64>,
    /// Content.
    pub value: T,
}

/// Platform's workers.
pub trait Fleet {
    /// Orders a task to start.
    fn start(&self, worker: &Listing, call: StartCall) -> PortFuture<'_, Timed<StartAnswer>>;
    /// Orders a run to stop.
    fn stop(
        &self,
        worker: &Listing,
        task: TaskName,
        run: Run,
        term: u64,
    ) -> PortFuture<'_, std::result::Result<(), WorkerError>>;
    /// Sets the share of its processors that a run uses.
    fn pace(
        &self,
        worker: &Listing,
        task: TaskName,
        run: Run,
        percent: u8,
        term: u64,
    ) -> PortFuture<'_, std::result::Result<(), WorkerError>>;
    /// Asks for a report; `sent_at` of the report is set by the caller.
    fn fetch_report(
        &self,
        worker: &Listing,
        request: ReportRequest,
    ) -> PortFuture<'_, std::result::Result<Timed<Report>, WorkerError>>;
}
