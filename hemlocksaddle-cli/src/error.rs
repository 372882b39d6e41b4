//! Errors of the command line and their exit codes.

use std::fmt;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an error; determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A node refused the request, or the command failed.
    Failed,
    /// Arguments or files are invalid.
    Usage,
    /// No node answered.
    Unreachable,
}

/// Error of a command, with a message for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// Creates an error.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Error {
        Error {
            kind,
            message: message.into(),
        }
    }

    /// Kind of the error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self.kind {
            ErrorKind::Failed => 1,
            ErrorKind::Usage => 2,
            ErrorKind::Unreachable => 3,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
