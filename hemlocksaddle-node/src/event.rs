//! Numbered log events.
//!
//! `docs/events.md` explains each number and what an operator should do.

use std::fmt;

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Log event with a stable number and text.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &[Event] = &[$(Event::$name,)*];

            /// Number that identifies the event in logs and documentation.
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

            /// Fixed text of the event.
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
    /// Invariant check failed; the action was refused.
    InvariantViolated = 100, Error, "invariant violated";
    /// Node started; it does not serve yet.
    NodeStarted = 101, Info, "node started";
    /// Node caught up with the log and serves.
    NodeReady = 102, Info, "node ready";
    /// Planned stop began.
    NodeStopping = 103, Info, "node stopping";
    /// Planned stop completed.
    NodeStopped = 104, Info, "node stopped";
    /// Connection to a peer is established.
    PeerConnected = 200, Info, "peer connected";
    /// Connection to a peer was closed or timed out.
    PeerLost = 201, Warn, "peer lost";
    /// Peer sent a message that violates the protocol.
    PeerMessageInvalid = 202, Warn, "peer message invalid";
    /// Log requests fail or time out.
    LogUnreachable = 300, Warn, "log unreachable";
    /// Log answers again.
    LogReachable = 301, Info, "log reachable";
    /// Outcome of an append without an answer was determined by reading back.
    AppendSettled = 302, Info, "append settled by reading back";
    /// Record in the log could not be decoded and was skipped.
    RecordInvalid = 303, Error, "record invalid";
    /// Unit was claimed by this node.
    UnitClaimed = 400, Info, "unit claimed";
    /// Failover wait of a claimed unit is over.
    UnitSettled = 401, Info, "unit settled";
    /// Unit was claimed by another node or released.
    UnitLost = 402, Info, "unit lost";
    /// Document revision became current.
    DocumentApplied = 500, Info, "document applied";
    /// Publish was rejected.
    DocumentRejected = 501, Warn, "document rejected";
    /// Data centre was taken out of service.
    DataCentreOut = 502, Info, "data centre out";
    /// Data centre is back in service.
    DataCentreIn = 503, Info, "data centre in";
    /// Host list cannot be read.
    HostListUnreachable = 504, Warn, "host list unreachable";
    /// Job was accepted.
    JobAccepted = 600, Debug, "job accepted";
    /// Job ended with a result.
    JobEnded = 601, Debug, "job ended";
    /// Task was evicted.
    TaskEvicted = 602, Info, "task evicted";
    /// Task was lost together with its worker.
    TaskLost = 603, Warn, "task lost";
    /// Task was throttled because of interference, or its throttle was lifted.
    TaskThrottled = 604, Info, "task throttled";
    /// Worker does not answer.
    WorkerUnreachable = 700, Warn, "worker unreachable";
    /// Worker answers again.
    WorkerReachable = 701, Info, "worker reachable";
    /// Worker is in backoff because tasks fail on it that succeed on others.
    WorkerSetAside = 702, Warn, "worker set aside";
    /// Target does not answer.
    TargetUnreachable = 800, Warn, "target unreachable";
    /// Answer without a matching request was dropped.
    AnswerDropped = 801, Warn, "answer dropped";
}

impl Event {
    /// Logs the event with its number, text and a detail.
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
