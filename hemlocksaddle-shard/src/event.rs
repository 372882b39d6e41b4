//! Structured log lines.
//!
//! One JSON object a line: time, node, event number, event name and the inputs
//! of the decision. `docs/events.md` lists the numbers. The volume is bounded by
//! a budget of lines a second; what exceeds it is counted and the count is logged
//! as soon as there is room.

use std::cell::Cell;

use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    name::NodeName,
};
use serde_json::{Value, json};

/// Lines a second that a node may log on average.
///
/// Twice the lines of 250 starts a second (an order and an end each), the size to design for.
const LINES_PER_S: u64 = 1_000;

/// Lines that may be logged at once.
const BURST_LINES: u64 = 2_000;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// Log event with a stable number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events in order of their number.
            pub const ALL: &[Event] = &[$(Event::$name,)*];

            /// Number of the event.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// Name of the event.
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
    /// Planned stop began.
    Stopping = 2, "stopping";
    /// Settings were read again.
    Reloaded = 3, "reloaded";
    /// Store answers again.
    StoreRegained = 10, "store regained";
    /// Store does not answer.
    StoreLost = 11, "store lost";
    /// Owner of a shard cannot be asked.
    OwnerLost = 12, "owner lost";
    /// Worker answers again.
    WorkerRegained = 13, "worker regained";
    /// Worker does not answer.
    WorkerLost = 14, "worker lost";
    /// Configuration came into force.
    Configured = 20, "configured";
    /// Data centre was taken out or back.
    DataCentreChanged = 21, "data centre changed";
    /// Record of another writer cannot be read.
    RecordUnreadable = 22, "record unreadable";
    /// Shard was claimed.
    Claimed = 30, "claimed";
    /// Owner has read the shard's state and acts.
    Recovered = 31, "recovered";
    /// Owner gave up the shard or lost it.
    Deposed = 32, "deposed";
    /// Shard's state could not be read; it is read again.
    RecoveryFailed = 33, "recovery failed";
    /// Submission was accepted.
    Accepted = 40, "accepted";
    /// Submission was refused.
    Refused = 41, "refused";
    /// Outcome of a submission is unknown.
    OutcomeUnknown = 42, "outcome unknown";
    /// Cancellation was accepted.
    Cancelled = 43, "cancelled";
    /// State of a workflow was asked for and could not be told.
    StateUnknown = 44, "state unknown";
    /// Start was ordered and answered.
    StartAnswered = 50, "start answered";
    /// Stop was ordered.
    StopOrdered = 51, "stop ordered";
    /// Run ended.
    RunEnded = 52, "run ended";
    /// Pace of a run was changed.
    Paced = 53, "paced";
    /// Workflow reached a final state.
    Ended = 54, "ended";
    /// Lines were dropped to keep the volume bounded.
    LinesDropped = 90, "lines dropped";
    /// Invariant was violated; the action was refused.
    InvariantViolated = 100, "invariant violated";
}

/// Writer of structured lines.
pub struct Log {
    node: NodeName,
    tokens: Cell<u64>,
    refilled_at: Cell<MonoMs>,
    dropped: Cell<u64>,
}

impl Log {
    /// Log of a node.
    #[must_use]
    pub fn new(node: NodeName) -> Log {
        Log {
            node,
            tokens: Cell::new(BURST_LINES),
            refilled_at: Cell::new(MonoMs(0)),
            dropped: Cell::new(0),
        }
    }

    /// Logs an event with its inputs.
    pub fn emit(&self, event: Event, now: MonoMs, wall: WallMs, inputs: &Value) {
        if !self.take_token(now) {
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

    fn take_token(&self, now: MonoMs) -> bool {
        let passed = now.since(self.refilled_at.get());
        let lines = passed.0 * LINES_PER_S / 1_000;
        if lines > 0 {
            self.tokens
                .set((self.tokens.get() + lines).min(BURST_LINES));
            self.refilled_at.set(now);
        }
        let tokens = self.tokens.get();
        self.tokens.set(tokens.saturating_sub(1));
        tokens > 0
    }
}
