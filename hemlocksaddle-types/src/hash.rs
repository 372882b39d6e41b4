//! Hash that is stable across nodes and versions.
//!
//! The hash maps idempotency keys to queues and is stored in log records, so the
//! algorithm (64-bit FNV-1a) must not change. Each part is followed by a zero
//! byte, which no name contains, so that parts cannot run together.

use std::hash::Hasher;

use crate::{
    name::{IdempotencyKey, ServiceName},
    unit::QueueIndex,
};

/// Hashes the parts in order.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    for part in parts {
        hasher.write(part);
        hasher.write(&[0]);
    }
    hasher.finish()
}

/// Queue in which the intent of a non-idempotent request with this key is recorded.
#[must_use]
pub fn queue_of_key(service: &ServiceName, key: &IdempotencyKey, queues: u16) -> QueueIndex {
    let hash = stable_hash(&[service.as_str().as_bytes(), key.as_str().as_bytes()]);
    let index = hash % u64::from(queues.max(1));
    QueueIndex(u16::try_from(index).unwrap_or_default())
}
