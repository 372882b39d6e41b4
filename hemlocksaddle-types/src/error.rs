//! Error type of this crate.

use std::fmt;

/// Result of this crate's conversions.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// Text is not a valid name.
    Name,
    /// Text of a document or of the settings is not valid.
    Document,
    /// Number or size is out of range.
    Range,
    /// Message or record cannot be encoded or decoded.
    Codec,
}

/// Error of a conversion; the message states the invalid value and the allowed ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// Creates an error of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Error {
        Error {
            kind,
            message: message.into(),
        }
    }

    /// Category of the error.
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
