//! Schedule for rewriting live state before the log's retention removes it.
//!
//! Every node schedules all entries that it knows, with a delay that grows with
//! its rank for the entry, so the first-ranked node writes it first. Reading the
//! new record postpones the entry on all nodes; normally one node writes each
//! entry once per period.

use std::{cell::RefCell, collections::BTreeMap};

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Number of snapshots of an entry per retention period of the log.
const SNAPSHOTS_PER_RETENTION: u64 = 3;

/// Divisor of the retention that gives the delay for entries read during start-up.
///
/// Records carry no timestamp, so their age is unknown. If a node waited a full
/// period for them, nothing would be rewritten when all nodes are replaced more
/// often than that.
const UNKNOWN_AGE_DIVISOR: u64 = 24;

/// Divisor of the retention that gives the additional delay per rank.
const RANK_DIVISOR: u64 = 240;

/// Entries with the time at which this node rewrites them.
pub struct SnapshotSchedule<K> {
    retention_ms: Millis,
    due_ms: RefCell<BTreeMap<K, MonoMs>>,
}

impl<K: Ord + Clone> SnapshotSchedule<K> {
    /// Creates an empty schedule.
    #[must_use]
    pub fn new(retention_ms: Millis) -> SnapshotSchedule<K> {
        SnapshotSchedule {
            retention_ms,
            due_ms: RefCell::default(),
        }
    }

    /// Schedules an entry anew after it was read.
    ///
    /// `is_live` states that the reader had reached the tail before, so the record is recent.
    pub fn postpone(&self, key: K, rank: usize, is_live: bool, now: MonoMs) {
        let divisor = match is_live {
            true => SNAPSHOTS_PER_RETENTION,
            false => UNKNOWN_AGE_DIVISOR,
        };
        let rank_ms = self.retention_ms.0 / RANK_DIVISOR * rank as u64;
        let due_ms = now + Millis(self.retention_ms.0 / divisor + rank_ms);
        self.due_ms.borrow_mut().insert(key, due_ms);
    }

    /// Returns at most `limit` entries that are due.
    #[must_use]
    pub fn due(&self, now: MonoMs, limit: usize) -> Vec<K> {
        let due_ms = self.due_ms.borrow();
        let due = due_ms.iter().filter(|(_, due_ms)| **due_ms <= now);
        due.map(|(key, _)| key.clone()).take(limit).collect()
    }
}
