//! Synchronous requests and their responses.
//!
//! The caller of a synchronous request waits for the response, up to the request's
//! deadline. Longer work is submitted as a job.

use std::{collections::BTreeMap, fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    job::Urgency,
    name::{IdempotencyKey, NodeName, ServiceName},
    outcome::ResultCode,
};

/// Request identifier: entry node, its start time and a counter.
///
/// The start time keeps a restarted node from matching a late response to a
/// request from before its restart with one of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Entry node, which received the request from the caller.
    pub node: NodeName,
    /// Wall-clock time at which that node started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of the request on that node.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}/{:x}", self.node, self.started_ms, self.number)
    }
}

/// Header that carries the request identifier to a target; the target may return it in its response.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// Validated synchronous request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuickRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Idempotency key, which identifies repeats of the request.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: Millis,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Headers that are forwarded to the target.
    pub headers: BTreeMap<Arc<str>, Arc<str>>,
    /// Body, forwarded unchanged.
    pub body: Bytes,
}

/// Response to a synchronous request, from a target or from a node that refused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuickResponse {
    /// Result code.
    pub code: ResultCode,
    /// Target's HTTP status; 0 if there is no response from a target.
    pub status: u16,
    /// Target's headers that are returned to the caller.
    pub headers: BTreeMap<Arc<str>, Arc<str>>,
    /// Target's body, or a human-readable reason for the refusal or failure.
    pub body: Bytes,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<Millis>,
}

impl QuickResponse {
    /// Creates a refusal or failure with a human-readable reason.
    #[must_use]
    pub fn refusal(code: ResultCode, detail: &str) -> QuickResponse {
        QuickResponse {
            code,
            status: 0,
            headers: BTreeMap::new(),
            body: Bytes::copy_from_slice(detail.as_bytes()),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Millis) -> QuickResponse {
        self.retry_after_ms = Some(delay);
        self
    }
}
