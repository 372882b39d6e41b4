//! Backoff keyed by the key that refuses.
//!
//! Each key has its own ladder of waits, so that one that refuses does not
//! slow down the others. The wait doubles with each refusal of the same kind and
//! is jittered over its upper half. At its end one probe is let through; the
//! others wait until the probe has an outcome. Another kind of refusal restarts
//! the ladder, because it says that the situation has changed.

use std::{
    collections::HashMap,
    hash::{BuildHasher, Hash},
};

use foldhash::fast::FixedState;
use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Waits of a ladder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Wait after the first refusal.
    pub initial_ms: Millis,
    /// Longest wait.
    pub max_ms: Millis,
    /// Time after which a probe without an outcome is given up.
    pub probe_timeout_ms: Millis,
}

/// Whether a key may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// No refusal is on record.
    Granted,
    /// A wait has ended; exactly one try is allowed.
    Probe,
    /// Not before this time.
    NotBefore(MonoMs),
}

#[derive(Clone, Copy, Debug)]
struct Entry<R> {
    kind: R,
    exponent: u32,
    until_ms: MonoMs,
}

/// Ladders of all parties; `K` names the key and `R` the kind of refusal.
#[derive(Clone, Debug)]
pub struct Backoff<K, R> {
    config: BackoffConfig,
    entries: HashMap<K, Entry<R>, FixedState>,
}

impl<K: Eq + Hash + Clone, R: Copy + PartialEq> Backoff<K, R> {
    /// No refusals yet.
    #[must_use]
    pub fn new(config: BackoffConfig) -> Backoff<K, R> {
        Backoff {
            config,
            entries: HashMap::with_hasher(FixedState::default()),
        }
    }

    /// Whether the key may be asked now, without using up the probe.
    #[must_use]
    pub fn peek(&self, key: &K, now: MonoMs) -> Permission {
        match self.entries.get(key) {
            None => Permission::Granted,
            Some(entry) if now >= entry.until_ms => Permission::Probe,
            Some(entry) => Permission::NotBefore(entry.until_ms),
        }
    }

    /// Takes the permission to ask the key; a probe is given out once.
    pub fn acquire(&mut self, key: &K, now: MonoMs) -> Permission {
        let permission = self.peek(key, now);
        if let (Permission::Probe, Some(entry)) = (permission, self.entries.get_mut(key)) {
            entry.until_ms = now + self.config.probe_timeout_ms;
        }
        permission
    }

    /// Notes a refusal and returns the time before which the key is not asked.
    pub fn record_refusal(&mut self, key: &K, kind: R, now: MonoMs, random: u64) -> MonoMs {
        let exponent = match self.entries.get(key) {
            Some(entry) if entry.kind == kind => entry.exponent.saturating_add(1),
            _ => 0,
        };
        let delay = jittered(self.delay(exponent), random);
        let until_ms = now + delay;
        let entry = Entry {
            kind,
            exponent,
            until_ms,
        };
        self.entries.insert(key.clone(), entry);
        until_ms
    }

    /// Notes a success; the key's ladder is forgotten.
    pub fn record_success(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// Forgets parties that are no longer of interest.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.entries.retain(|key, _| keep(key));
    }

    fn delay(&self, exponent: u32) -> Millis {
        let factor = 1u64.checked_shl(exponent.min(32)).unwrap_or(u64::MAX);
        let delay = self.config.initial_ms.0.saturating_mul(factor);
        Millis(delay.min(self.config.max_ms.0))
    }
}

/// Uniform in the upper half of the span, so that waits of many parties spread out.
#[must_use]
pub fn jittered(delay: Millis, random: u64) -> Millis {
    let half = delay.0 / 2;
    Millis(delay.0 - half + random % (half + 1))
}

/// Hash with a fixed seed that is the same on all nodes.
#[must_use]
pub fn fixed_hash(value: impl Hash) -> u64 {
    foldhash::quality::FixedState::with_seed(0).hash_one(value)
}
