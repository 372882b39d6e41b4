//! Backoff keyed by the party that refuses.
//!
//! Each party has its own ladder of waits, so that one that refuses does not
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
pub struct Steps {
    /// Wait after the first refusal.
    pub first_ms: Millis,
    /// Longest wait.
    pub max_ms: Millis,
    /// Time after which a probe without an outcome is given up.
    pub probe_ms: Millis,
}

/// Whether a party may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allow {
    /// No refusal is on record.
    Yes,
    /// A wait has ended; exactly one try is allowed.
    Probe,
    /// Not before this time.
    NotBefore(MonoMs),
}

#[derive(Clone, Copy, Debug)]
struct Rung<R> {
    kind: R,
    step: u32,
    until_ms: MonoMs,
}

/// Ladders of all parties; `K` names the party and `R` the kind of refusal.
#[derive(Clone, Debug)]
pub struct Backoff<K, R> {
    steps: Steps,
    rungs: HashMap<K, Rung<R>, FixedState>,
}

impl<K: Eq + Hash + Clone, R: Copy + PartialEq> Backoff<K, R> {
    /// No refusals yet.
    #[must_use]
    pub fn new(steps: Steps) -> Backoff<K, R> {
        Backoff {
            steps,
            rungs: HashMap::with_hasher(FixedState::default()),
        }
    }

    /// Whether the party may be asked now, without using up the probe.
    #[must_use]
    pub fn peek(&self, party: &K, now: MonoMs) -> Allow {
        match self.rungs.get(party) {
            None => Allow::Yes,
            Some(rung) if now >= rung.until_ms => Allow::Probe,
            Some(rung) => Allow::NotBefore(rung.until_ms),
        }
    }

    /// Takes the permission to ask the party; a probe is given out once.
    pub fn take(&mut self, party: &K, now: MonoMs) -> Allow {
        let allow = self.peek(party, now);
        if let (Allow::Probe, Some(rung)) = (allow, self.rungs.get_mut(party)) {
            rung.until_ms = now + self.steps.probe_ms;
        }
        allow
    }

    /// Notes a refusal and returns the time before which the party is not asked.
    pub fn refused(&mut self, party: &K, kind: R, now: MonoMs, random: u64) -> MonoMs {
        let step = match self.rungs.get(party) {
            Some(rung) if rung.kind == kind => rung.step.saturating_add(1),
            _ => 0,
        };
        let wait = jittered(self.wait(step), random);
        let until_ms = now + wait;
        let rung = Rung {
            kind,
            step,
            until_ms,
        };
        self.rungs.insert(party.clone(), rung);
        until_ms
    }

    /// Notes a success; the party's ladder is forgotten.
    pub fn succeeded(&mut self, party: &K) {
        self.rungs.remove(party);
    }

    /// Forgets parties that are no longer of interest.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.rungs.retain(|party, _| keep(party));
    }

    fn wait(&self, step: u32) -> Millis {
        let factor = 1u64.checked_shl(step.min(32)).unwrap_or(u64::MAX);
        let wait = self.steps.first_ms.0.saturating_mul(factor);
        Millis(wait.min(self.steps.max_ms.0))
    }
}

/// Uniform in the upper half of the span, so that waits of many parties spread out.
#[must_use]
pub fn jittered(span: Millis, random: u64) -> Millis {
    let half = span.0 / 2;
    Millis(span.0 - half + random % (half + 1))
}

/// Hash with a fixed seed that is the same on all nodes.
#[must_use]
pub fn fixed_hash(value: impl Hash) -> u64 {
    foldhash::quality::FixedState::with_seed(0).hash_one(value)
}
