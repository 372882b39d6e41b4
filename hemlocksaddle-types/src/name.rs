//! Validated names that operators and callers choose.
//!
//! All names share one syntax (1 to 64 characters from `a-z A-Z 0-9 . _ -`,
//! starting with a letter or digit), so that they need no escaping in URLs, stream
//! names, metric labels and INI text.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind, Result};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

fn check(kind: &'static str, text: &str) -> Result<Arc<str>> {
    let first = text.bytes().next();
    let valid_first = first.is_some_and(|b| b.is_ascii_alphanumeric());
    let valid_chars = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if valid_first && valid_chars && text.len() <= MAX_NAME_BYTES {
        return Ok(Arc::from(text));
    }
    Err(Error::new(
        ErrorKind::Name,
        format!(
            "{kind} {text:?} is not a name: 1 to {MAX_NAME_BYTES} of a-z A-Z 0-9 . _ -, a letter or digit first"
        ),
    ))
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;
            fn try_from(text: &str) -> Result<Self> {
                check($kind, text).map(Self)
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = Error;
            fn try_from(text: Arc<str>) -> Result<Self> {
                check($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Arc<str> {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_types! {
    /// Name of a node; it stays the same when the node restarts or its host is replaced.
    NodeName, "node";
    /// Name of a data centre.
    DataCentre, "data centre";
    /// Name of a rack.
    RackName, "rack";
    /// Name of a worker.
    WorkerName, "worker";
    /// Name of an executor, unique within its service.
    ExecutorName, "executor";
    /// Name of a service.
    ServiceName, "service";
    /// Name of a team.
    TeamName, "team";
    /// Idempotency key of a request, unique within its service.
    IdempotencyKey, "idempotency key";
}
