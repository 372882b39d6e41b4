//! Numbered log events.
//!
//! `docs/events.md` says for each number what it means and what to do.

use std::fmt;

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
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
                match self {
                    $(Event::$name => $number,)*
                }
            }

            /// Level at which the event is logged.
            #[must_use]
            pub fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }

            /// Short text.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// Assertion failed; the action was refused.
    InvariantViolated = 100, Error, "invariant violated";
    /// Node has started.
    NodeStarted = 101, Info, "node started";
    /// Node has caught up and serves.
    NodeReady = 102, Info, "node ready";
    /// Planned stop began.
    NodeStopping = 103, Info, "node stopping";
    /// Planned stop ended.
    NodeStopped = 104, Info, "node stopped";
    /// Connection to a peer is established.
    PeerConnected = 200, Info, "peer connected";
    /// Connection to a peer is closed or silent.
    PeerLost = 201, Warn, "peer lost";
    /// Message of a peer could not be decoded.
    PeerMessageInvalid = 202, Warn, "peer message invalid";
    /// Log does not answer or refuses.
    LogUnreachable = 300, Warn, "log unreachable";
    /// Log answers again.
    LogReachable = 301, Info, "log reachable";
    /// Append without an answer was settled by reading back.
    AppendSettled = 302, Info, "append settled by reading back";
    /// Record in the log could not be decoded and was skipped.
    RecordInvalid = 303, Error, "record invalid";
    /// Unit was claimed by this node.
    UnitClaimed = 400, Info, "unit claimed";
    /// Unit may be acted on after the hand-over wait.
    UnitSettled = 401, Info, "unit settled";
    /// Unit went to another node or was released.
    UnitLost = 402, Info, "unit lost";
    /// Document revision is in force.
    DocumentApplied = 500, Info, "document applied";
    /// Publication was rejected.
    DocumentRejected = 501, Warn, "document rejected";
    /// Data centre is out.
    DataCentreOut = 502, Info, "data centre out";
    /// Data centre takes starts again.
    DataCentreIn = 503, Info, "data centre in";
    /// Host list cannot be read.
    HostListUnreachable = 504, Warn, "host list unreachable";
    /// Job was accepted.
    JobAccepted = 600, Debug, "job accepted";
    /// Job has its result.
    JobEnded = 601, Debug, "job ended";
    /// Task was evicted.
    TaskEvicted = 602, Info, "task evicted";
    /// Task was lost with its worker.
    TaskLost = 603, Warn, "task lost";
    /// Task was throttled, or its throttle lifted, because of interference.
    TaskThrottled = 604, Info, "task throttled";
    /// Worker does not answer.
    WorkerUnreachable = 700, Warn, "worker unreachable";
    /// Worker answers again.
    WorkerReachable = 701, Info, "worker reachable";
    /// Worker fails what others run well and is set aside.
    WorkerSetAside = 702, Warn, "worker set aside";
    /// Target does not answer.
    TargetUnreachable = 800, Warn, "target unreachable";
    /// Target's answer did not match its request and was dropped.
    AnswerDropped = 801, Warn, "answer dropped";
}

impl Event {
    /// Logs the event with its number and a detail.
    pub fn log(self, detail: fmt::Arguments<'_>) {
        log::log!(
            target: "hemlocksaddle",
            self.level(),
            "event={} {}: {detail}",
            self.number(),
            self.text()
        );
    }
}
