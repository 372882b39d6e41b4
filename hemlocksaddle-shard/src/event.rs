//! Structured log lines.
//!
//! Each line is a JSON object with the time, the node, the event's number and name,
//! and the inputs of the decision. `docs/shard-events.md` lists the numbers. Token
//! buckets limit the rate; dropped lines are counted, and the count is logged before
//! the next line. Events of single runs have a bucket of their own, so that they do not
//! displace the rare ones that explain an incident.

use std::cell::Cell;

use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    name::NodeName,
};
use serde_json::{Value, json};

/// Refill rate of the token bucket in lines per second.
///
/// Twice the lines of the design load: 250 tasks per second with a line for the start and one for
/// the end of each.
const LINES_PER_S: u64 = 1_000;

/// Capacity of the token bucket in lines.
const BURST_LINES: u64 = 2_000;

/// Refill rate of the token bucket of rare events in lines per second.
const RARE_LINES_PER_S: u64 = 200;

/// Capacity of the token bucket of rare events in lines: a crash of each worker of a data centre of
/// the design size.
const RARE_BURST_LINES: u64 = 400;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// Log event with a stable number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &[Event] = &[$(Event::$name,)*];

            /// Returns the number of the event.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// Returns the name of the event.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    /// Node has started.
    Started = 1, "started";
    /// Graceful shutdown began.
    Stopping = 2, "stopping";
    /// Settings file was reloaded.
    Reloaded = 3, "reloaded";
    /// Store answers again.
    StoreRegained = 10, "store regained";
    /// Store does not answer.
    StoreLost = 11, "store lost";
    /// Owner of a shard does not answer.
    OwnerLost = 12, "owner lost";
    /// Worker answers again.
    WorkerRegained = 13, "worker regained";
    /// Worker does not answer.
    WorkerLost = 14, "worker lost";
    /// Worker has crashed: a later process answers in its place.
    WorkerCrashed = 15, "worker crashed";
    /// Worker has started again under its name, and may hold runs that were ordered before.
    RunsCarriedOver = 16, "runs carried over";
    /// Ends of a worker are not acknowledged until its lease has expired.
    EndsWithheld = 17, "ends withheld";
    /// Ends of a worker are acknowledged again.
    EndsReleased = 18, "ends released";
    /// Configuration was applied.
    Configured = 20, "configured";
    /// Data centre was closed or reopened.
    DataCentreChanged = 21, "data centre changed";
    /// Record cannot be decoded.
    RecordUnreadable = 22, "record unreadable";
    /// Claim of a shard was attempted.
    Claimed = 30, "claimed";
    /// Owner has read the shard's state and starts to schedule.
    Recovered = 31, "recovered";
    /// Owner stepped down.
    Deposed = 32, "deposed";
    /// Shard's state could not be read; the read is retried.
    RecoveryFailed = 33, "recovery failed";
    /// Owner that stops or does not recover offers its shard to other nodes.
    Offered = 34, "offered";
    /// State of an offered shard was read before the claim.
    ReadAhead = 35, "read ahead";
    /// Records of ended workflows could not be deleted, or the outcome is unknown; they are deleted again.
    DeletionFailed = 36, "deletion failed";
    /// Owner has not recovered for long.
    RecoveryWaits = 37, "recovery waits";
    /// Store has deleted records that were to be read next; the newest ones are read again after a pause.
    PositionLost = 38, "position lost";
    /// Peer answers in a way that would be asked for again without a pause; a pause follows.
    OddAnswer = 39, "odd answer";
    /// Submission was accepted.
    Accepted = 40, "accepted";
    /// Submission was refused.
    Refused = 41, "refused";
    /// Outcome of a submission is unknown.
    OutcomeUnknown = 42, "outcome unknown";
    /// Cancellation was requested.
    Cancelled = 43, "cancelled";
    /// State of a workflow was requested and is not known.
    StateUnknown = 44, "state unknown";
    /// Submission is not run, because another tenant has submitted a workflow under its id.
    IdInUse = 45, "id in use";
    /// Calls were refused because they carry no known key.
    CallsRefused = 46, "calls refused";
    /// Submission was not refused, because an earlier attempt is stored or may be.
    RetryRecognised = 47, "retry recognised";
    /// Submissions of a shard without an owner that starts work are followed, or are not any more.
    SubmissionsFollowed = 48, "submissions followed";
    /// Start of a task was ordered; the worker's answer is logged.
    StartAnswered = 50, "start answered";
    /// Stop of a run was ordered.
    StopOrdered = 51, "stop ordered";
    /// Run ended.
    RunEnded = 52, "run ended";
    /// Pace of a run was changed.
    Paced = 53, "paced";
    /// Workflow reached a final state.
    Ended = 54, "ended";
    /// Task has waited long to be started.
    TaskWaits = 55, "task waits";
    /// Speculative copy of a task was ordered.
    CopyOrdered = 58, "copy ordered";
    /// Task with two runs is done.
    CopyDecided = 59, "copy decided";
    /// Nodes that carry out the owner's calls to workers were chosen.
    DelegatesChosen = 60, "delegates chosen";
    /// Delegate does not answer or cannot be reached.
    DelegateLost = 61, "delegate lost";
    /// Inherited tasks wait for the first reports of some workers.
    ReportsAwaited = 62, "reports awaited";
    /// Every worker has reported, or all earlier leases on it have expired.
    FailoverComplete = 63, "failover complete";
    /// Shard is not claimed, because its owner writes records of a later version.
    FormatRefused = 64, "format refused";
    /// Tenant's cap is divided anew among the shards.
    CapDivided = 65, "cap divided";
    /// Share of a tenant's cap that the shard may use has changed.
    CapShareChanged = 66, "cap share changed";
    /// Connections of clients outside the limits were closed, or closed in favour of others.
    ConnectionsClosed = 70, "connections closed";
    /// Requests were refused because of their bodies: too large, incomplete, or no memory for them.
    BodiesRefused = 71, "bodies refused";
    /// Lines were dropped because of the rate limit.
    LinesDropped = 90, "lines dropped";
    /// Invariant was violated; the action was not carried out.
    InvariantViolated = 100, "invariant violated";
}

impl Event {
    /// Whether the event concerns a single run or submission.
    fn is_frequent(self) -> bool {
        matches!(
            self,
            Event::Accepted
                | Event::StartAnswered
                | Event::StopOrdered
                | Event::RunEnded
                | Event::Paced
                | Event::CopyOrdered
                | Event::CopyDecided
        )
    }
}

/// Token bucket.
struct Bucket {
    lines_per_s: u64,
    burst_lines: u64,
    tokens: Cell<u64>,
    refilled_at: Cell<MonoMs>,
}

impl Bucket {
    fn new(lines_per_s: u64, burst_lines: u64) -> Bucket {
        Bucket {
            lines_per_s,
            burst_lines,
            tokens: Cell::new(burst_lines),
            refilled_at: Cell::new(MonoMs(0)),
        }
    }

    fn take_token(&self, now: MonoMs) -> bool {
        let passed = now.since(self.refilled_at.get());
        let lines = passed.0 * self.lines_per_s / 1_000;
        if lines > 0 {
            self.tokens
                .set((self.tokens.get() + lines).min(self.burst_lines));
            self.refilled_at.set(now);
        }
        let tokens = self.tokens.get();
        self.tokens.set(tokens.saturating_sub(1));
        tokens > 0
    }
}

/// Structured log with rate limits.
pub struct Log {
    node: NodeName,
    frequent: Bucket,
    rare: Bucket,
    dropped: Cell<u64>,
}

impl Log {
    /// Creates the log of a node.
    #[must_use]
    pub fn new(node: NodeName) -> Log {
        Log {
            node,
            frequent: Bucket::new(LINES_PER_S, BURST_LINES),
            rare: Bucket::new(RARE_LINES_PER_S, RARE_BURST_LINES),
            dropped: Cell::new(0),
        }
    }

    /// Logs an event with its inputs, or counts it as dropped if the rate limit is reached.
    pub fn emit(&self, event: Event, now: MonoMs, wall: WallMs, inputs: &Value) {
        let bucket = if event.is_frequent() {
            &self.frequent
        } else {
            &self.rare
        };
        if !bucket.take_token(now) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let dropped = self.dropped.take();
        if dropped > 0 {
            self.write(Event::LinesDropped, wall, &json!({ "lines": dropped }));
        }
        self.write(event, wall, inputs);
    }

    fn write(&self, event: Event, wall: WallMs, inputs: &Value) {
        let line = json!({
            "ms": wall.0,
            "node": self.node.as_str(),
            "event": event.number(),
            "what": event.text(),
            "inputs": inputs,
        });
        log::info!(target: "hemlocksaddle", "{line}");
    }
}
