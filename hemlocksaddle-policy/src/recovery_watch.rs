//! When an owner that has not recovered reports what it waits for, and when it gives its shard up.
//!
//! No task of a shard starts until its owner has recovered. An owner whose recovery takes too long offers the
//! shard to another node if that node may read the state sooner. A shard that is slow to read from every node must
//! not move back and forth, because each new owner begins to read anew: the time that an owner is given
//! doubles with each consecutive term that did not recover.

use hemlocksaddle_types::clock::Millis;

/// Time since the claim after which an owner first reports what its recovery waits for: the time budget of callers.
const FIRST_REPORT_MS: Millis = Millis(3_000);

/// Time that the first of several owners that do not recover is given, without that of the transfer.
///
/// A sound recovery of 2,400 workers takes up to 12 answers of the store in a row, 3.6 s at 300 ms each.
const FIRST_LIMIT_MS: Millis = Millis(6_000);

/// Bits of a state of 2,400 workers that is read twice, with one read in between: 5,550 records of 350 bytes in
/// base64, with a margin of a tenth.
const TRANSFER_KBIT: u64 = 24_000;

/// Longest time that an owner is given.
const MAX_LIMIT_MS: Millis = Millis(120_000);

/// Latency of the store at or above which another node is only preferred if the store answers it sooner; several
/// times that of a sound store in another data centre.
const SLOW_STORE_MS: Millis = Millis(100);

/// Ratio of the owner's latency of a slow store to that of a node that may do better.
const MIN_LATENCY_RATIO: u64 = 2;

/// Time for which all calls to the store have failed from which it counts as unavailable.
const STORE_FAILS_MS: Millis = Millis(300);

/// Reports of a recovery that takes long: first after a bound, then at each doubling.
#[derive(Clone, Copy, Debug)]
pub struct Reports {
    due: Millis,
}

impl Default for Reports {
    fn default() -> Reports {
        Reports {
            due: FIRST_REPORT_MS,
        }
    }
}

impl Reports {
    /// Whether a report is due after `waited`; the next one is due when that has doubled.
    pub fn is_due(&mut self, waited: Millis) -> bool {
        let is_due = waited >= self.due;
        while waited >= self.due {
            self.due = Millis(self.due.0 * 2);
        }
        is_due
    }
}

/// Time after its claim at which an owner that has not recovered gives its shard up.
///
/// `terms` is the number of consecutive terms that have not recovered, this one included.
#[must_use]
pub fn recovery_limit(link_kbps: u32, terms: u32) -> Millis {
    let transfer_ms = TRANSFER_KBIT * 1_000 / u64::from(link_kbps.max(1));
    let first_ms = FIRST_LIMIT_MS.0.saturating_add(transfer_ms);
    let doublings = terms.saturating_sub(1).min(16);
    Millis(first_ms.saturating_mul(1 << doublings)).min(MAX_LIMIT_MS)
}

/// How the store answers a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreView {
    /// Latency of the latest answer.
    pub latency: Millis,
    /// Time for which all calls have failed.
    pub failing_for: Millis,
}

impl StoreView {
    fn fails(&self) -> bool {
        self.failing_for >= STORE_FAILS_MS
    }

    /// Whether another node may read the state sooner; `other` is `None` if that is not known.
    ///
    /// Where the store answers the owner fast, something else delays its recovery, such as a connection or a
    /// part of the state, and any node to which the store answers may do better.
    #[must_use]
    pub fn may_be_better(&self, other: Option<StoreView>) -> bool {
        let Some(other) = other else {
            return true;
        };
        if other.fails() {
            return false;
        }
        let is_slow = self.latency >= SLOW_STORE_MS;
        self.fails() || !is_slow || other.latency.0 * MIN_LATENCY_RATIO <= self.latency.0
    }
}
