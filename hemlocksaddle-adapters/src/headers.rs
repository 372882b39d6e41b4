//! Headers that are passed between callers and targets.

use std::{collections::BTreeMap, sync::Arc};

use http::{HeaderMap, HeaderName, HeaderValue};

/// Headers of a single connection, and those that the node sets itself.
const NOT_PASSED: &[&str] = &[
    "connection",
    "content-length",
    "deadline-ms",
    "expect",
    "host",
    "idempotency-key",
    "idempotent",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "request-id",
    "result-code",
    "run-state",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "urgency",
];

/// Headers to pass on; `None` if a value is not text.
///
/// Values of a repeated header are joined with commas, which means the same.
pub(crate) fn passed(headers: &HeaderMap) -> Option<BTreeMap<Arc<str>, Arc<str>>> {
    let mut passed: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::new();
    for (name, value) in headers {
        if NOT_PASSED.contains(&name.as_str()) {
            continue;
        }
        let value = std::str::from_utf8(value.as_bytes()).ok()?;
        let joined = match passed.get(name.as_str()) {
            Some(before) => Arc::from(format!("{before}, {value}")),
            None => Arc::from(value),
        };
        passed.insert(Arc::from(name.as_str()), joined);
    }
    Some(passed)
}

/// Adds passed headers to a message; those that HTTP does not allow are left out.
pub(crate) fn add_passed(headers: &mut HeaderMap, passed: &BTreeMap<Arc<str>, Arc<str>>) {
    for (name, value) in passed {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value)
            && !NOT_PASSED.contains(&name.as_str())
        {
            headers.insert(name, value);
        }
    }
}
