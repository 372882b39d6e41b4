//! Numbered result codes and run states.
//!
//! The first digit tells whether the request ran: 1 not run, 2 may have run,
//! 3 done. A code of the first group is used only where it is certain that no
//! part of the request reached a target or a worker.

use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Certain not to have run, now or later.
    NotRun,
    /// Ran, runs or may run; not known.
    MayHaveRun,
    /// Ran to an end.
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
        /// Numbered result of a request, a job or an operator's command.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes in order of their number.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// Number of the code.
            #[must_use]
            pub fn number(self) -> u16 {
                match self {
                    $(ResultCode::$name => $number,)*
                }
            }

            /// HTTP status that carries the code.
            #[must_use]
            pub fn http_status(self) -> u16 {
                match self {
                    $(ResultCode::$name => $http,)*
                }
            }

            /// Short text for people.
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
    /// Body is over the limit.
    BodyTooLarge = 1002, 413, "body too large";
    /// Too many or too large headers.
    HeaderLimits = 1003, 431, "header limits exceeded";
    /// No document describes the service.
    UnknownService = 1004, 404, "unknown service";
    /// Deadline passed while the request waited.
    DeadlineBeforeStart = 1005, 504, "deadline passed before start";
    /// Expected wait exceeds the deadline, or a queue is full.
    Overloaded = 1006, 503, "overloaded";
    /// Team is over its quota and there is no free capacity.
    QuotaExceeded = 1007, 429, "quota exceeded";
    /// Node has not caught up yet.
    NotReady = 1008, 503, "node not ready";
    /// Platform's log takes no records.
    LogUnavailable = 1009, 503, "log unavailable";
    /// No host could ever hold the task.
    CanNeverRun = 1010, 422, "can never run";
    /// Node is stopping.
    Stopping = 1011, 503, "node is stopping";
    /// Node that owns the needed unit cannot be reached.
    OwnerUnreachable = 1012, 503, "owner unreachable";
    /// Document has another revision than expected.
    RevisionConflict = 1013, 409, "revision conflict";
    /// Document text is not valid.
    InvalidDocument = 1014, 422, "invalid document";
    /// No such job.
    UnknownJob = 1015, 404, "unknown job";
    /// Idempotency key was used with another request.
    KeyReused = 1016, 422, "idempotency key reused with another request";
    /// Cancelled before any task started.
    CancelledBeforeStart = 1017, 409, "cancelled before start";
    /// Target's answer was lost.
    AnswerLost = 2001, 502, "answer lost";
    /// Deadline passed after the request was sent.
    DeadlineWhileRunning = 2002, 504, "deadline passed while running";
    /// An earlier attempt with the same key has no recorded outcome.
    EarlierAttemptUnknown = 2003, 502, "outcome of an earlier attempt unknown";
    /// Worker of a task that must not run twice was lost.
    WorkerLost = 2004, 502, "worker lost";
    /// Ran to its end.
    Completed = 3001, 200, "completed";
    /// Target answered with an error status.
    TargetError = 3002, 502, "target answered with an error";
    /// Job ran and failed.
    JobFailed = 3003, 200, "job failed";
    /// Cancelled after a task had started.
    CancelledWhileRunning = 3004, 200, "cancelled while running";
}

impl ResultCode {
    /// Run state that the code states.
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
