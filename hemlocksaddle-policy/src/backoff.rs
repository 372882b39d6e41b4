//! Exponential backoff with jitter, tracked separately per key.
//!
//! Each key, such as a rack or an executor, has its own delay, so a refusal by one
//! does not slow down the others. The delay doubles with each recorded refusal of
//! the same kind, up to a maximum, and is jittered over its upper half ("equal
//! jitter"). When it expires, a single probe is permitted; other attempts wait for
//! the outcome of the probe. A refusal of another kind resets the delay to the
//! initial one, because it shows that the situation has changed.

use std::{
    collections::HashMap,
    hash::{BuildHasher, Hash},
};

use foldhash::fast::FixedState;
use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Parameters of the backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Delay after the first refusal.
    pub initial_ms: Millis,
    /// Maximum delay.
    pub max_ms: Millis,
    /// Time after which a probe without an outcome is abandoned and another is permitted.
    pub probe_timeout_ms: Millis,
}

/// Whether an attempt is permitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// No refusal is recorded.
    Granted,
    /// The delay has expired; one attempt is permitted, which [`Backoff::acquire`] uses up.
    Probe,
    /// No attempt is permitted before this time.
    NotBefore(MonoMs),
}

#[derive(Clone, Copy, Debug)]
struct Entry<R> {
    kind: R,
    exponent: u32,
    until_ms: MonoMs,
}

/// Backoff state per key; `K` is the key and `R` the kind of refusal.
#[derive(Clone, Debug)]
pub struct Backoff<K, R> {
    config: BackoffConfig,
    entries: HashMap<K, Entry<R>, FixedState>,
}

impl<K: Eq + Hash + Clone, R: Copy + PartialEq> Backoff<K, R> {
    /// Creates a backoff without recorded refusals.
    #[must_use]
    pub fn new(config: BackoffConfig) -> Backoff<K, R> {
        Backoff {
            config,
            entries: HashMap::with_hasher(FixedState::default()),
        }
    }

    /// Whether an attempt is permitted now; returns `Probe` until [`acquire`](Backoff::acquire)
    /// uses up the probe.
    #[must_use]
    pub fn peek(&self, key: &K, now: MonoMs) -> Permission {
        match self.entries.get(key) {
            None => Permission::Granted,
            Some(entry) if now >= entry.until_ms => Permission::Probe,
            Some(entry) => Permission::NotBefore(entry.until_ms),
        }
    }

    /// Like [`peek`](Backoff::peek), but uses up the probe: further attempts have to wait until
    /// its outcome is recorded or it times out.
    pub fn acquire(&mut self, key: &K, now: MonoMs) -> Permission {
        let permission = self.peek(key, now);
        if let (Permission::Probe, Some(entry)) = (permission, self.entries.get_mut(key)) {
            entry.until_ms = now + self.config.probe_timeout_ms;
        }
        permission
    }

    /// Records a refusal and returns the time before which no attempt is permitted.
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

    /// Records a success, which resets the backoff of the key.
    pub fn record_success(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// Drops the state of all keys for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.entries.retain(|key, _| keep(key));
    }

    fn delay(&self, exponent: u32) -> Millis {
        let factor = 1u64.checked_shl(exponent.min(32)).unwrap_or(u64::MAX);
        let delay = self.config.initial_ms.0.saturating_mul(factor);
        Millis(delay.min(self.config.max_ms.0))
    }
}

/// Random delay, uniformly distributed over the upper half of `delay`, to avoid synchronised
/// retries.
#[must_use]
pub fn jittered(delay: Millis, random: u64) -> Millis {
    let half = delay.0 / 2;
    Millis(delay.0 - half + random % (half + 1))
}

/// Hash with a fixed seed; equal on all nodes that run the same build.
#[must_use]
pub fn fixed_hash(value: impl Hash) -> u64 {
    foldhash::quality::FixedState::with_seed(0).hash_one(value)
}
