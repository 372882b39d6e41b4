//! Quick requests and their responses.

use std::{collections::BTreeMap, fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    job::Urgency,
    name::{IdempotencyKey, NodeName, ServiceName},
    outcome::ResultCode,
};

/// Request identifier: entry node, its start and a counter.
///
/// The start (wall clock of the node's start) keeps a restarted node from
/// taking a late answer to its predecessor for its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Entry node that took the request.
    pub node: NodeName,
    /// Wall-clock start of that node in milliseconds.
    pub started_ms: u64,
    /// Counter of that node.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}/{:x}", self.node, self.started_ms, self.number)
    }
}

/// Header that carries the identifier to a target; a target may return it with its answer.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// Request with an answer, checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuickRequest {
    /// Identifier.
    pub id: RequestId,
    /// Service that is asked.
    pub service: ServiceName,
    /// Key that ties repeats together.
    pub key: Option<IdempotencyKey>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time left until the caller gives up, in milliseconds.
    pub deadline_ms: Millis,
    /// Urgency.
    pub urgency: Urgency,
    /// Headers that are passed through to the target.
    pub headers: BTreeMap<Arc<str>, Arc<str>>,
    /// Body, passed through.
    pub body: Bytes,
}

/// Answer or refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuickResponse {
    /// Result.
    pub code: ResultCode,
    /// Target's HTTP status; 0 for a refusal.
    pub status: u16,
    /// Target's headers that are passed back.
    pub headers: BTreeMap<Arc<str>, Arc<str>>,
    /// Target's body, or a text that explains the refusal.
    pub body: Bytes,
    /// When a retry may help, in milliseconds.
    pub retry_after_ms: Option<Millis>,
}

impl QuickResponse {
    /// Refusal or failure with a text for people.
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

    /// Same response with a time after which a retry may help.
    #[must_use]
    pub fn with_retry_after(mut self, span: Millis) -> QuickResponse {
        self.retry_after_ms = Some(span);
        self
    }
}
