//! Keys and values of the shard's own streams.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use hemlocksaddle_types::{
    error::{Error, ErrorKind, Result},
    name::NodeName,
    workflow::WorkflowId,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::ports::Record;

/// Key of the layout in the claims stream.
pub(crate) const LAYOUT_KEY: &str = "layout";

const CLAIM_PREFIX: &str = "shard/";
const ACCEPTED_PREFIX: &str = "accepted/";
const CANCELLED_PREFIX: &str = "cancelled/";
const PROGRESS_PREFIX: &str = "progress/";
const ROSTER_PREFIX: &str = "worker/";
const INTERFERENCE_KEY: &str = "learned";

/// Facts that all nodes of a deployment share from its first start on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Layout {
    /// Number of shards.
    pub(crate) shards: u32,
    /// Text of the key that peers authenticate with.
    pub(crate) peer_key: Arc<str>,
}

/// Owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Term.
    pub(crate) term: u64,
    /// Owner.
    pub(crate) node: NodeName,
    /// Start of the owner's process, which tells its lives apart.
    pub(crate) started_ms: u64,
    /// Address for peers.
    pub(crate) address: SocketAddr,
    /// Owner's share of a core in thousandths; a much faster node takes the shard over.
    pub(crate) cpu_milli: u32,
    /// Whether the owner has given the shard up.
    pub(crate) released: bool,
}

/// What a key of the shard's streams stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    Accepted(WorkflowId),
    Cancelled(WorkflowId),
    Progress(WorkflowId),
    Roster(Arc<str>),
    Interference,
}

impl Key {
    pub(crate) fn text(&self) -> Arc<str> {
        match self {
            Key::Accepted(id) => format!("{ACCEPTED_PREFIX}{id}"),
            Key::Cancelled(id) => format!("{CANCELLED_PREFIX}{id}"),
            Key::Progress(id) => format!("{PROGRESS_PREFIX}{id}"),
            Key::Roster(name) => format!("{ROSTER_PREFIX}{name}"),
            Key::Interference => INTERFERENCE_KEY.to_owned(),
        }
        .into()
    }

    pub(crate) fn parse(text: &str) -> Option<Key> {
        if text == INTERFERENCE_KEY {
            return Some(Key::Interference);
        }
        if let Some(id) = text.strip_prefix(ACCEPTED_PREFIX) {
            return id.parse().ok().map(Key::Accepted);
        }
        if let Some(id) = text.strip_prefix(CANCELLED_PREFIX) {
            return id.parse().ok().map(Key::Cancelled);
        }
        if let Some(id) = text.strip_prefix(PROGRESS_PREFIX) {
            return id.parse().ok().map(Key::Progress);
        }
        text.strip_prefix(ROSTER_PREFIX)
            .map(|name| Key::Roster(name.into()))
    }
}

/// Key of a shard's claim.
pub(crate) fn claim_key(shard: u32) -> Arc<str> {
    format!("{CLAIM_PREFIX}{shard}").into()
}

/// Shard of a claim's key.
pub(crate) fn claimed_shard(key: &str) -> Option<u32> {
    key.strip_prefix(CLAIM_PREFIX)?.parse().ok()
}

/// Record with an encoded value.
///
/// # Errors
///
/// Fails if the value cannot be encoded.
pub(crate) fn encode<T: Serialize>(key: Arc<str>, value: &T) -> Result<Record> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|cause| Error::new(ErrorKind::Codec, format!("record {key}: {cause}")))?;
    Ok(Record {
        key,
        value: Some(Bytes::from(bytes)),
    })
}

/// Value of a record.
///
/// # Errors
///
/// Fails if the value cannot be decoded.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, value: &Bytes) -> Result<T> {
    ciborium::from_reader(value.as_ref())
        .map_err(|cause| Error::new(ErrorKind::Codec, format!("record {key}: {cause}")))
}
