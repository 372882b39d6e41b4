//! Numbered result codes and run states.
//!
//! The first digit of a code states whether the request ran: 1 not run, 2 may have
//! run, 3 done. A code of the first group is used only if it is certain that no
//! part of the request has reached a target or a worker.

use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Certain not to have run, now or later.
    NotRun,
    /// Unknown: it may have run, may be running or may still run.
    MayHaveRun,
    /// Ran and ended, successfully or not.
    Done,
}

impl RunState {
    /// Value of the `Run-State` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not_run",
            RunState::MayHaveRun => "may_have_run",
            RunState::Done => "done",
        }
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $http:literal, $text:literal;)*) => {
        /// Result of a request, a job or an operator's command.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes in order of their number.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// Numeric value of the code.
            #[must_use]
            pub fn number(self) -> u16 {
                match self {
                    $(ResultCode::$name => $number,)*
                }
            }

            /// HTTP status of a response with this code.
            #[must_use]
            pub fn http_status(self) -> u16 {
                match self {
                    $(ResultCode::$name => $http,)*
                }
            }

            /// Short human-readable text.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self {
                    $(ResultCode::$name => $text,)*
                }
            }
        }
    };
}

result_codes! {
    /// Request cannot be parsed.
    Malformed = 1001, 400, "malformed request";
    /// Body exceeds the size limit.
    BodyTooLarge = 1002, 413, "body too large";
    /// Headers exceed the limit on their number or size.
    HeaderLimits = 1003, 431, "header limits exceeded";
    /// No document exists for the service.
    UnknownService = 1004, 404, "unknown service";
    /// Deadline passed while the request waited.
    DeadlineBeforeStart = 1005, 504, "deadline passed before start";
    /// Expected wait exceeds the deadline, or a queue is full.
    Overloaded = 1006, 503, "overloaded";
    /// Team has exceeded its quota and there is no free capacity.
    QuotaExceeded = 1007, 429, "quota exceeded";
    /// Node has not caught up with the log yet.
    NotReady = 1008, 503, "node not ready";
    /// Platform's log does not accept records.
    LogUnavailable = 1009, 503, "log unavailable";
    /// Task exceeds the capacity of every host.
    CanNeverRun = 1010, 422, "can never run";
    /// Node is stopping.
    Stopping = 1011, 503, "node is stopping";
    /// Owner of the required unit cannot be reached.
    OwnerUnreachable = 1012, 503, "owner unreachable";
    /// Document's revision differs from the expected one.
    RevisionConflict = 1013, 409, "revision conflict";
    /// Document text is not valid.
    InvalidDocument = 1014, 422, "invalid document";
    /// Job does not exist.
    UnknownJob = 1015, 404, "unknown job";
    /// Idempotency key was used before with another request.
    KeyReused = 1016, 422, "idempotency key reused with another request";
    /// Job was cancelled before any task started.
    CancelledBeforeStart = 1017, 409, "cancelled before start";
    /// Target's response was lost.
    AnswerLost = 2001, 502, "answer lost";
    /// Deadline passed after the request was sent.
    DeadlineWhileRunning = 2002, 504, "deadline passed while running";
    /// An earlier attempt with the same key has no recorded outcome.
    EarlierAttemptUnknown = 2003, 502, "outcome of an earlier attempt unknown";
    /// Worker of a non-idempotent task was lost.
    WorkerLost = 2004, 502, "worker lost";
    /// Request or job ran to completion.
    Completed = 3001, 200, "completed";
    /// Target responded with an error status.
    TargetError = 3002, 502, "target answered with an error";
    /// Job ran and failed.
    JobFailed = 3003, 200, "job failed";
    /// Job was cancelled after a task had started.
    CancelledWhileRunning = 3004, 200, "cancelled while running";
}

impl ResultCode {
    /// Run state that the code implies.
    #[must_use]
    pub fn run_state(self) -> RunState {
        match self.number() / 1000 {
            1 => RunState::NotRun,
            2 => RunState::MayHaveRun,
            _ => RunState::Done,
        }
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> u16 {
        code.number()
    }
}

impl TryFrom<u16> for ResultCode {
    type Error = crate::error::Error;
    fn try_from(number: u16) -> crate::error::Result<ResultCode> {
        let found = ResultCode::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number);
        found.ok_or_else(|| {
            crate::error::Error::new(
                crate::error::ErrorKind::Range,
                format!("result code {number} does not exist"),
            )
        })
    }
}
