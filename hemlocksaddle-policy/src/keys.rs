//! Lookup of the tenant that a key belongs to.
//!
//! The table holds digests of keys. It is indexed by a keyed hash (HMAC) of the digest under a secret of the
//! process, so the time that a lookup takes tells nothing of stored keys to a caller who measures it; the digest
//! that is found is compared in constant time. The cost of a lookup does not depend on the number of tenants.

use std::{fmt, sync::Arc};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_types::{
    tenant::MAX_KEY_BYTES,
    workflow::{KeyDigest, Tenant},
};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length in bytes of the secret that a table is indexed under: the block size of SHA-256.
pub const SECRET_BYTES: usize = 64;

/// Keyed hash of a digest.
type Tag = [u8; 32];

/// Tenants by key.
#[derive(Clone)]
pub struct KeyTable {
    mac: Hmac<Sha256>,
    entries: HashMap<Tag, (KeyDigest, Arc<str>)>,
}

impl fmt::Debug for KeyTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyTable({} keys)", self.entries.len())
    }
}

impl KeyTable {
    /// Table of the keys of all tenants, indexed under a random secret.
    #[must_use]
    pub fn new(secret: &[u8; SECRET_BYTES], tenants: &[Tenant]) -> KeyTable {
        let count = tenants.iter().map(|tenant| tenant.keys.len()).sum();
        let mut table = KeyTable {
            mac: <Hmac<Sha256> as KeyInit>::new(secret.into()),
            entries: HashMap::with_capacity(count),
        };
        for tenant in tenants {
            for key in &tenant.keys {
                let tag = table.tag(key);
                table.entries.insert(tag, (*key, tenant.name.clone()));
            }
        }
        table
    }

    fn tag(&self, digest: &KeyDigest) -> Tag {
        let mut mac = self.mac.clone();
        mac.update(&digest.0);
        mac.finalize().into_bytes().into()
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tenant of a key as a caller presents it, with the digest of the key; `None` if it is not known.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<(KeyDigest, &Arc<str>)> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        let digest = KeyDigest::of(key);
        let tenant = self.tenant(&digest)?;
        Some((digest, tenant))
    }

    /// Tenant of the key with a digest; `None` if it is not known.
    #[must_use]
    pub fn tenant(&self, digest: &KeyDigest) -> Option<&Arc<str>> {
        let (known, tenant) = self.entries.get(&self.tag(digest))?;
        bool::from(known.0.ct_eq(&digest.0)).then_some(tenant)
    }
}
