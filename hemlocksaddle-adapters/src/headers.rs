//! Forwarding of headers between callers and targets.

use std::{collections::BTreeMap, sync::Arc};

use http::{HeaderMap, HeaderName, HeaderValue};

/// Hop-by-hop headers, and headers that the node itself sets or interprets.
const NOT_FORWARDED: &[&str] = &[
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

/// Headers to forward; `None` if a value is not UTF-8.
///
/// Values of a repeated header are joined with commas, which HTTP treats as equivalent.
pub(crate) fn forwarded(headers: &HeaderMap) -> Option<BTreeMap<Arc<str>, Arc<str>>> {
    let mut forwarded: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::new();
    for (name, value) in headers {
        if NOT_FORWARDED.contains(&name.as_str()) {
            continue;
        }
        let value = std::str::from_utf8(value.as_bytes()).ok()?;
        let joined = match forwarded.get(name.as_str()) {
            Some(previous) => Arc::from(format!("{previous}, {value}")),
            None => Arc::from(value),
        };
        forwarded.insert(Arc::from(name.as_str()), joined);
    }
    Some(forwarded)
}

/// Adds forwarded headers to a message and skips those that are not valid in HTTP.
pub(crate) fn add_forwarded(headers: &mut HeaderMap, forwarded: &BTreeMap<Arc<str>, Arc<str>>) {
    for (name, value) in forwarded {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value)
            && !NOT_FORWARDED.contains(&name.as_str())
        {
            headers.insert(name, value);
        }
    }
}
