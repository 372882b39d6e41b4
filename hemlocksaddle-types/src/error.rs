//! Error of this crate.

use std::fmt;

/// Result of this crate's conversions.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// Text is not a valid name.
    Name,
    /// Document or settings text is not valid.
    Document,
    /// Number is outside its range.
    Range,
    /// Encoded message or record cannot be read.
    Codec,
}

/// Failed conversion, with what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// New error of `kind`.
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
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
