//! Checks of tenants and their keys as written in a configuration.
//!
//! A key exists as text only between the parser and [`Tenant`], which keeps its digest. Errors name the tenant
//! and the position of a key, never the key.

use std::{fmt, sync::Arc};

use foldhash::{HashMap, HashMapExt};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::{
    error::{Error, ErrorKind, Result},
    resources::Resources,
    workflow::{KeyDigest, Tenant},
};

/// Maximum number of tenants; bounds the memory that a configuration takes on a node.
pub const MAX_TENANTS: usize = 10_000;

/// Maximum length of a tenant's name in bytes; the name is part of records and log lines.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of keys of a tenant; a few are in use while keys are replaced.
pub const MAX_KEYS: usize = 64;

/// Maximum length of a key in bytes; longer ones are not hashed when a caller presents them.
pub const MAX_KEY_BYTES: usize = 256;

/// Largest value of a cap in any dimension; a thousand times what the largest deployments have, and small
/// enough that shares of it can be computed without overflow.
pub const MAX_CAP: u64 = 1_000_000_000_000;

/// Key of a tenant as text; its `Debug` form does not reveal it.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct KeyText(String);

impl fmt::Debug for KeyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyText(..)")
    }
}

impl From<&str> for KeyText {
    fn from(text: &str) -> KeyText {
        KeyText(text.to_owned())
    }
}

impl KeyDigest {
    /// Digest of a key as a caller presents it.
    #[must_use]
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

/// Tenant as written in a configuration.
#[derive(Clone, Debug)]
pub struct RawTenant {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Its keys; a tenant without any gets no new calls.
    pub keys: Vec<KeyText>,
    /// Share of the capacity, relative to the other tenants; 0 counts as 1.
    pub weight: u32,
    /// Largest resources that its tasks may use at the same time; 0 means no limit.
    pub cap: Resources,
}

/// Checks the name of a tenant, so that it can be part of an error.
///
/// # Errors
///
/// Fails if the name is empty or too long, or has a control character.
pub fn check_name(name: &str) -> Result<()> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control) {
        return Ok(());
    }
    let text = format!(
        "name of {} bytes; 1 to {MAX_NAME_BYTES} without control characters are allowed",
        name.len()
    );
    Err(Error::new(ErrorKind::Name, text))
}

impl TryFrom<RawTenant> for Tenant {
    type Error = Error;

    fn try_from(raw: RawTenant) -> Result<Tenant> {
        let name = raw.name;
        check_name(&name)?;
        let invalid =
            |text: String| Error::new(ErrorKind::Document, format!("tenant {name:?}: {text}"));
        if raw.keys.len() > MAX_KEYS {
            let count = raw.keys.len();
            return Err(invalid(format!(
                "{count} keys; at most {MAX_KEYS} are allowed"
            )));
        }
        let mut keys: Vec<KeyDigest> = Vec::with_capacity(raw.keys.len());
        for (number, KeyText(text)) in (1..).zip(&raw.keys) {
            if text.is_empty() || text.len() > MAX_KEY_BYTES {
                return Err(invalid(format!(
                    "key {number} has {} bytes; 1 to {MAX_KEY_BYTES} are allowed",
                    text.len()
                )));
            }
            // No header of a call can carry any other character, or a space at its ends.
            if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
                return Err(invalid(format!(
                    "key {number} has a character that is not a visible ASCII character"
                )));
            }
            let digest = KeyDigest::of(text.as_bytes());
            if let Some(earlier) = keys.iter().position(|key| *key == digest) {
                return Err(invalid(format!(
                    "keys {} and {number} are equal",
                    earlier + 1
                )));
            }
            keys.push(digest);
        }
        let cap = raw.cap;
        let dimensions = [
            ("processors", cap.cpu_milli),
            ("memory", cap.memory_mb),
            ("accelerators", cap.accelerators),
        ];
        if let Some((dimension, value)) = dimensions.into_iter().find(|(_, value)| *value > MAX_CAP)
        {
            return Err(invalid(format!(
                "cap of {dimension} is {value}; at most {MAX_CAP} is allowed, and 0 for no limit"
            )));
        }
        Ok(Tenant {
            name: name.clone(),
            keys,
            // A share of 0 would starve the tenant while all capacity is in use. A node that has just started has
            // no earlier configuration to fall back on, so it is not an error.
            weight: raw.weight.max(1),
            cap,
        })
    }
}

/// Checks that no two tenants have the same name or a key in common.
///
/// # Errors
///
/// Fails if they have, or if there are too many tenants.
pub fn check_distinct(tenants: &[Tenant]) -> Result<()> {
    let invalid = |text: String| Err(Error::new(ErrorKind::Document, text));
    if tenants.len() > MAX_TENANTS {
        let count = tenants.len();
        return invalid(format!(
            "{count} tenants; at most {MAX_TENANTS} are allowed"
        ));
    }
    let mut names = HashMap::with_capacity(tenants.len());
    let mut keys = HashMap::with_capacity(tenants.len());
    for (index, tenant) in tenants.iter().enumerate() {
        let name = &tenant.name;
        if names.insert(name, index).is_some() {
            return invalid(format!("two tenants have the name {name:?}"));
        }
        for (number, key) in (1..).zip(&tenant.keys) {
            let holder: Option<(&Arc<str>, u32)> = keys.insert(key, (name, number));
            if let Some((other, other_number)) = holder {
                return invalid(format!(
                    "tenant {name:?}: key {number} is also key {other_number} of tenant {other:?}"
                ));
            }
        }
    }
    Ok(())
}
