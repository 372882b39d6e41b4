//! Schedule by which live state is written again before the log drops it.
//!
//! Every node keeps the schedule for everything it knows, and the node that is
//! ranked first for an entry writes it first. Seeing the entry in the stream
//! postpones it for all, so normally one node writes it once per period.

use std::{cell::RefCell, collections::BTreeMap};

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Periods per retention; entries are written again when one has passed.
const SNAPSHOTS_PER_RETENTION: u64 = 3;

/// Part of the retention after which a node writes what it read at its start.
///
/// Records carry no age, and a node that always waited a full period would never
/// write anything if all nodes are replaced more often than that.
const UNKNOWN_AGE_DIVISOR: u64 = 24;

/// Part of the retention by which each next rank waits longer.
const RANK_DIVISOR: u64 = 240;

/// Entries with the time at which this node writes them again.
pub struct SnapshotSchedule<K> {
    retention_ms: Millis,
    due_ms: RefCell<BTreeMap<K, MonoMs>>,
}

impl<K: Ord + Clone> SnapshotSchedule<K> {
    /// Empty schedule.
    #[must_use]
    pub fn new(retention_ms: Millis) -> SnapshotSchedule<K> {
        SnapshotSchedule {
            retention_ms,
            due_ms: RefCell::default(),
        }
    }

    /// Notes that an entry was read; `is_live` if the reader had been at the tail before.
    pub fn postpone(&self, key: K, rank: usize, is_live: bool, now: MonoMs) {
        let divisor = match is_live {
            true => SNAPSHOTS_PER_RETENTION,
            false => UNKNOWN_AGE_DIVISOR,
        };
        let rank_ms = self.retention_ms.0 / RANK_DIVISOR * rank as u64;
        let due_ms = now + Millis(self.retention_ms.0 / divisor + rank_ms);
        self.due_ms.borrow_mut().insert(key, due_ms);
    }

    /// Entries that are due, at most `limit`.
    #[must_use]
    pub fn due(&self, now: MonoMs, limit: usize) -> Vec<K> {
        let due_ms = self.due_ms.borrow();
        let due = due_ms.iter().filter(|(_, due_ms)| **due_ms <= now);
        due.map(|(key, _)| key.clone()).take(limit).collect()
    }
}
