//! Calls to workers, and their delegation from the owner of a shard to other nodes.
//!
//! The owner decides; a delegate carries single calls out and passes the answers
//! back. It holds no state that a decision depends on. Calls are idempotent: an
//! order names its run, and a lease is a time on the worker's clock, so a call that
//! a delegate carries out late has the same effect as one that the network delayed.
//!
//! The rows of a report are the most frequent data between nodes. They are encoded
//! as arrays without field names.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{Millis, MonoMs},
    name::{DataCentre, NodeName},
    workflow::{Run, TaskName, WorkflowId},
};

/// One incarnation of a worker, as needed to call it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the worker's incarnation.
    pub name: Arc<str>,
    /// Address for orders and report requests.
    pub address: SocketAddr,
}

/// State of a running task in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StatusRow", into = "StatusRow")]
pub struct TaskStatus {
    /// Name of the task.
    pub task: TaskName,
    /// Run that is in progress.
    pub run: Run,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent; 100 for a long-running task at work.
    pub percent: u8,
    /// Tail latency in ms of a long-running task, thousandths of a core in use by any other.
    pub measurement: u64,
}

/// Encoded task name: workflow, occurrence, step and index.
type NameRow = (u64, u32, u16, u32);

fn name_row(name: TaskName) -> NameRow {
    (name.workflow.0, name.occurrence, name.step, name.index)
}

fn task_name((workflow, occurrence, step, index): NameRow) -> TaskName {
    TaskName {
        workflow: WorkflowId(workflow),
        occurrence,
        step,
        index,
    }
}

/// Encoded [`TaskStatus`].
type StatusRow = (NameRow, u64, Option<Arc<str>>, u8, u64);

impl From<TaskStatus> for StatusRow {
    fn from(status: TaskStatus) -> StatusRow {
        let name = name_row(status.task);
        let TaskStatus { run, percent, .. } = status;
        (name, run.0, status.checkpoint, percent, status.measurement)
    }
}

impl From<StatusRow> for TaskStatus {
    fn from((name, run, checkpoint, percent, measurement): StatusRow) -> TaskStatus {
        TaskStatus {
            task: task_name(name),
            run: Run(run),
            checkpoint,
            percent,
            measurement,
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndKind {
    /// Completed successfully.
    Done,
    /// Failed, by a fault of the task or of the worker.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Stopped by the worker when its lease expired.
    Lapsed,
    /// Stopped because another member of the gang ended.
    Broken,
    /// Stopped because other members of the gang did not start.
    Alone,
}

/// End of a run in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EndRow", into = "EndRow")]
pub struct End {
    /// Sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// Name of the task; `None` if it could not be parsed.
    pub task: Option<TaskName>,
    /// Run that ended.
    pub run: Run,
    /// How the run ended.
    pub kind: EndKind,
    /// Checkpoint at the end.
    pub checkpoint: Option<Arc<str>>,
}

/// Encoded [`End`].
type EndRow = (u64, Option<NameRow>, u64, EndKind, Option<Arc<str>>);

impl From<End> for EndRow {
    fn from(end: End) -> EndRow {
        let task = end.task.map(name_row);
        (end.number, task, end.run.0, end.kind, end.checkpoint)
    }
}

impl From<EndRow> for End {
    fn from((number, task, run, kind, checkpoint): EndRow) -> End {
        End {
            number,
            task: task.map(task_name),
            run: Run(run),
            kind,
            checkpoint,
        }
    }
}

/// Report of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Time at which the report was requested, on the clock of the node that evaluates it.
    #[serde(skip)]
    pub sent_at: MonoMs,
    /// Running tasks.
    pub running: Vec<TaskStatus>,
    /// Ends that the worker still keeps, in ascending order of their numbers.
    pub ends: Vec<End>,
}

/// Answer to an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StartAnswer {
    /// The worker holds the run.
    Accepted,
    /// The worker lacks free capacity.
    NoRoom,
    /// The run number is not above that of a run that ended on the worker.
    OldRun,
    /// The order arrived after its deadline.
    Late,
    /// The worker is unhealthy and did not start the run.
    Unhealthy,
    /// The worker could not parse the order.
    Invalid,
    /// The worker has a new incarnation.
    OtherLife,
    /// The worker has seen a higher term.
    Fenced,
    /// The order was certainly not carried out: there was no connection.
    NotSent,
    /// No answer; the order may have been carried out.
    Unknown,
}

/// Why a call to a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkerError {
    /// Call was not sent and certainly had no effect.
    NotSent,
    /// No answer, or one that cannot be decoded; the call may have taken effect.
    Unknown,
    /// Worker has restarted: it is a newer incarnation.
    OtherLife,
    /// Worker has seen a higher term.
    Fenced,
    /// Worker refused the call.
    Refused,
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run: Run,
    /// Text of the workflow, passed to the task.
    pub text: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// End of the lease in milliseconds, on the worker's clock.
    pub lease_until_ms: u64,
    /// Owner's term.
    pub term: u64,
}

/// Request for a report, which may renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRequest {
    /// New end of the lease in milliseconds, on the worker's clock; `None` keeps the current one.
    pub lease_until_ms: Option<u64>,
    /// Number up to which ends are durable; the worker may drop these.
    pub saved_ends: u64,
    /// Time to wait for a run to end.
    pub wait: Millis,
    /// Owner's term.
    pub term: u64,
}

/// Answer of a worker, with its clock and incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timed<T> {
    /// Reading of the worker's clock in milliseconds, if the answer has one.
    pub clock_ms: Option<u64>,
    /// Start time of the worker's process in milliseconds, if the answer has one.
    pub born_ms: Option<u64>,
    /// Content of the answer.
    pub value: T,
}

/// Offer of a node to carry out calls for the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Name of the node.
    pub node: NodeName,
    /// Data centre that the node is in.
    pub data_centre: DataCentre,
    /// Address for peers.
    pub address: SocketAddr,
    /// Share of a core that the node may use, in thousandths.
    pub cpu_milli: u32,
    /// Bandwidth of the node's link in kbit/s.
    pub link_kbps: u32,
    /// Whether the node takes calls; `false` when it is about to stop.
    pub available: bool,
    /// Start time of the node's process in milliseconds; 0 if its version does not tell.
    #[serde(default)]
    pub started_ms: u64,
    /// Latency of the store's latest answer to the node; `None` if its version does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_latency_ms: Option<Millis>,
    /// Time for which all calls of the node to the store have failed.
    #[serde(default)]
    pub store_failing_ms: Millis,
}

/// Call to a worker that a delegate carries out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedCall {
    /// Worker to call.
    pub worker: Endpoint,
    /// Owner's term.
    pub term: u64,
    /// Time after which the delegate answers that the worker did not.
    pub timeout: Millis,
    /// Call.
    pub action: Action,
}

/// What a delegated call is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Start a task: name, run, text, checkpoint, end of the lease on the worker's clock in ms.
    ///
    /// Without a text, the one that came with an earlier start of the workflow is used.
    Start(NameRow, u64, Option<Arc<str>>, Option<Arc<str>>, u64),
    /// Stop a run of a task.
    Stop(NameRow, u64),
    /// Set the share of its processors that a run may use, in percent.
    Pace(NameRow, u64, u8),
    /// Request a report: end of the lease, number up to which ends are durable, time to wait.
    Report(Option<u64>, u64, Millis),
}

impl Action {
    /// Start of a task, with its text unless the delegate knows it.
    #[must_use]
    pub fn start(call: &StartCall, with_text: bool) -> Action {
        let text = with_text.then(|| call.text.clone());
        let checkpoint = call.checkpoint.clone();
        Action::Start(
            name_row(call.task),
            call.run.0,
            text,
            checkpoint,
            call.lease_until_ms,
        )
    }

    /// Stop of a run.
    #[must_use]
    pub fn stop(task: TaskName, run: Run) -> Action {
        Action::Stop(name_row(task), run.0)
    }

    /// Change of the pace of a run.
    #[must_use]
    pub fn pace(task: TaskName, run: Run, percent: u8) -> Action {
        Action::Pace(name_row(task), run.0, percent)
    }

    /// Name of the task that the action concerns.
    #[must_use]
    pub fn task(&self) -> Option<TaskName> {
        match self {
            Action::Start(name, ..) | Action::Stop(name, _) | Action::Pace(name, ..) => {
                Some(task_name(*name))
            }
            Action::Report(..) => None,
        }
    }
}

/// Answer to a delegated call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DelegatedAnswer {
    /// Answer to an order to start.
    Start(Timed<StartAnswer>),
    /// Answer to an order to stop or to change the pace.
    Order(Result<(), WorkerError>),
    /// Report.
    Report(Result<Timed<Report>, WorkerError>),
    /// Delegate does not know the workflow's text; nothing was sent.
    TextMissing,
    /// Delegate has seen a higher term or is stopping; no order was sent.
    Declined,
}
