//! Keys and values of the claims, submissions and progress streams.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use hemlocksaddle_types::{
    clock::Millis,
    error::{Error, ErrorKind, Result},
    hash::stable_hash,
    name::NodeName,
    workflow::{Submission, WorkflowId},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::ports::Record;

/// Key of the layout in the claims stream.
pub(crate) const LAYOUT_KEY: &str = "layout";

const CLAIM_PREFIX: &str = "shard/";
const CAP_ROUND_PREFIX: &str = "cap-round/";
const CAP_SHARE_PREFIX: &str = "cap-share/";
const ACCEPTED_PREFIX: &str = "accepted/";
const CANCELLED_PREFIX: &str = "cancelled/";
const PROGRESS_PREFIX: &str = "progress/";
const ROSTER_PREFIX: &str = "worker/";
const INTERFERENCE_KEY: &str = "learned";

/// Key of the fence in the submissions stream.
///
/// Sorts after the keys of submissions, so that a reader of all pages that meets a submission
/// stored after a fence meets the fence as well.
const FENCE_KEY: &str = "fence";

/// Version of the records that this version of the program reads and writes.
///
/// A node does not claim a shard whose owner writes a later one.
pub(crate) const FORMAT: u32 = 1;

/// Parameters of a deployment, fixed at its first start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Layout {
    /// Number of shards.
    pub(crate) shards: u32,
    /// Key that peers authenticate with, as text.
    pub(crate) peer_key: Arc<str>,
}

/// Claim or renewal by the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Term of the ownership.
    pub(crate) term: u64,
    /// Node that owns the shard.
    pub(crate) node: NodeName,
    /// Start time of the owner's process, which distinguishes its incarnations.
    pub(crate) started_ms: u64,
    /// Owner's address for peers.
    pub(crate) address: SocketAddr,
    /// Owner's share of a core in thousandths, so that a much faster node can take over.
    pub(crate) cpu_milli: u32,
    /// Whether the owner offers the shard to other nodes.
    pub(crate) released: bool,
    /// Node that should claim the offered shard first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) successor: Option<NodeName>,
    /// Time after the latest renewal within which all workers' leases end, those of earlier terms included.
    ///
    /// `None` if it is not known: the owner has an earlier version, or follows one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) leases_end_within_ms: Option<Millis>,
    /// Number of consecutive terms, this one included, whose owners have not recovered; 0 once the owner has.
    ///
    /// An owner of an earlier version counts as recovered.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub(crate) unrecovered_terms: u32,
    /// Workers that get no lease while this record is the latest: name, start time of the process in milliseconds,
    /// and time after the record within which all leases on it end, of any term. A tuple, to be short.
    ///
    /// None of an owner of an earlier version, nor of one that does not reach many workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) unreached: Vec<(Arc<str>, u64, Millis)>,
    /// Version of the records in the streams, [`FORMAT`] at this version; 0 of an earlier one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub(crate) format: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Start of an owner's term in the submissions stream.
///
/// Owners of earlier terms start no task of a submission that is stored after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fence {
    /// Term of the owner.
    pub(crate) term: u64,
}

/// Tenant in a key, as a hash of its name: a name may have characters that keys do not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TenantTag(u64);

impl TenantTag {
    pub(crate) fn of(tenant: &str) -> TenantTag {
        TenantTag(stable_hash(&[tenant.as_bytes()]))
    }

    pub(crate) fn value(self) -> u64 {
        self.0
    }

    fn parse(text: &str) -> Option<TenantTag> {
        let tag = u64::from_str_radix(text, 16);
        tag.ok().filter(|_| text.len() == 16).map(TenantTag)
    }
}

/// Key in the submissions or progress stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    Accepted(WorkflowId),
    Cancelled(WorkflowId),
    /// Submission of a tenant. Its key is its own, since the newest record of a key replaces all others: nobody
    /// else's record under the same id may replace it.
    AcceptedOf(WorkflowId, TenantTag),
    /// Cancellation by a tenant.
    CancelledBy(WorkflowId, TenantTag),
    Fence,
    Progress(WorkflowId),
    /// Further part of a progress, with its generation and number.
    ProgressPart(WorkflowId, u64, u32),
    Roster(Arc<str>),
    Interference,
}

impl Key {
    /// Key of a record in the submissions stream.
    pub(crate) fn of(id: WorkflowId, submission: &Submission) -> Key {
        match submission {
            Submission::Accepted(workflow) => match &workflow.tenant {
                Some(tenant) => Key::AcceptedOf(id, TenantTag::of(tenant)),
                None => Key::Accepted(id),
            },
            Submission::Cancelled => Key::Cancelled(id),
            Submission::CancelledBy(tenant) => Key::CancelledBy(id, TenantTag::of(tenant)),
        }
    }

    /// Workflow that a record of the submissions stream is about.
    pub(crate) fn submitted(&self) -> Option<WorkflowId> {
        match self {
            Key::Accepted(id)
            | Key::Cancelled(id)
            | Key::AcceptedOf(id, _)
            | Key::CancelledBy(id, _) => Some(*id),
            _ => None,
        }
    }

    pub(crate) fn text(&self) -> Arc<str> {
        match self {
            Key::Accepted(id) => format!("{ACCEPTED_PREFIX}{id}"),
            Key::Cancelled(id) => format!("{CANCELLED_PREFIX}{id}"),
            Key::AcceptedOf(id, tag) => format!("{ACCEPTED_PREFIX}{id}/{:016x}", tag.0),
            Key::CancelledBy(id, tag) => format!("{CANCELLED_PREFIX}{id}/{:016x}", tag.0),
            Key::Fence => FENCE_KEY.to_owned(),
            Key::Progress(id) => format!("{PROGRESS_PREFIX}{id}"),
            Key::ProgressPart(id, generation, number) => {
                format!("{PROGRESS_PREFIX}{id}/{generation}/{number}")
            }
            Key::Roster(name) => format!("{ROSTER_PREFIX}{name}"),
            Key::Interference => INTERFERENCE_KEY.to_owned(),
        }
        .into()
    }

    pub(crate) fn parse(text: &str) -> Option<Key> {
        if text == INTERFERENCE_KEY {
            return Some(Key::Interference);
        }
        if text == FENCE_KEY {
            return Some(Key::Fence);
        }
        if let Some(id) = text.strip_prefix(ACCEPTED_PREFIX) {
            return match id.split_once('/') {
                Some((id, tag)) => Some(Key::AcceptedOf(id.parse().ok()?, TenantTag::parse(tag)?)),
                None => id.parse().ok().map(Key::Accepted),
            };
        }
        if let Some(id) = text.strip_prefix(CANCELLED_PREFIX) {
            return match id.split_once('/') {
                Some((id, tag)) => Some(Key::CancelledBy(id.parse().ok()?, TenantTag::parse(tag)?)),
                None => id.parse().ok().map(Key::Cancelled),
            };
        }
        if let Some(id) = text.strip_prefix(PROGRESS_PREFIX) {
            let Some((id, part)) = id.split_once('/') else {
                return id.parse().ok().map(Key::Progress);
            };
            let (generation, number) = part.split_once('/')?;
            let (generation, number) = (generation.parse().ok()?, number.parse().ok()?);
            return Some(Key::ProgressPart(id.parse().ok()?, generation, number));
        }
        text.strip_prefix(ROSTER_PREFIX)
            .map(|name| Key::Roster(name.into()))
    }
}

/// Returns the key of a shard's claim.
pub(crate) fn claim_key(shard: u32) -> Arc<str> {
    format!("{CLAIM_PREFIX}{shard}").into()
}

/// Returns the shard of a claim's key.
pub(crate) fn claimed_shard(key: &str) -> Option<u32> {
    key.strip_prefix(CLAIM_PREFIX)?.parse().ok()
}

/// Returns the key of the latest round that divides a tenant's cap.
pub(crate) fn cap_round_key(tenant: TenantTag) -> Arc<str> {
    format!("{CAP_ROUND_PREFIX}{:016x}", tenant.0).into()
}

/// Returns the key of what the shard of the partition holds of a tenant's cap.
pub(crate) fn cap_share_key(tenant: TenantTag) -> Arc<str> {
    format!("{CAP_SHARE_PREFIX}{:016x}", tenant.0).into()
}

/// Record about a tenant's cap, by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapKey {
    Round(TenantTag),
    Share(TenantTag),
}

impl CapKey {
    pub(crate) fn parse(key: &str) -> Option<CapKey> {
        if let Some(tag) = key.strip_prefix(CAP_ROUND_PREFIX) {
            return TenantTag::parse(tag).map(CapKey::Round);
        }
        let tag = key.strip_prefix(CAP_SHARE_PREFIX)?;
        TenantTag::parse(tag).map(CapKey::Share)
    }
}

/// Encodes a value into a record.
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

/// Decodes the value of a record.
///
/// # Errors
///
/// Fails if the value cannot be decoded.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, value: &Bytes) -> Result<T> {
    ciborium::from_reader(value.as_ref())
        .map_err(|cause| Error::new(ErrorKind::Codec, format!("record {key}: {cause}")))
}
