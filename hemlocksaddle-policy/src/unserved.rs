//! Submissions to a shard whose owner has not recovered: queueing or refusing.
//!
//! Nobody starts work of such a shard. How long that lasts is not known; the time for which it has lasted is the
//! best estimate of the time that is left. A submission whose result would come later than callers can use it is
//! refused at once, so that the caller can turn elsewhere; any other is stored and waits.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::{Queue, Workflow},
};

use crate::{
    take_over::OWNERSHIP_LEASE_MS,
    usefulness::{is_useful_any_time, longest_chain, useful_for},
};

/// Shortest and longest time after which a refused caller is asked to retry.
///
/// A caller with a long pause would miss the time after the recovery.
const RETRY_AFTER_MS: (Millis, Millis) = (Millis(1_000), Millis(10_000));

/// Time until which an owner may have started work of a shard, as known to a node that reads its claims.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    until: Option<MonoMs>,
}

impl Served {
    /// Counts a claim or renewal that was read at `read_at`.
    ///
    /// An owner that has recovered may start work until its lease ends or another node claims the shard. A planned
    /// change of owner therefore begins with the claim, however long ago the last renewal was.
    #[must_use]
    pub fn after_record(self, has_recovered: bool, read_at: MonoMs) -> Served {
        let until = if has_recovered {
            Some(read_at + OWNERSHIP_LEASE_MS)
        } else {
            self.until.map(|until| until.min(read_at))
        };
        Served { until }
    }

    /// Time for which no owner is known that starts work.
    ///
    /// `read_since` is the time since which the node has read the claims without a gap, `read_at` that of its latest
    /// read.
    #[must_use]
    pub fn unserved_for(self, read_since: MonoMs, read_at: MonoMs) -> Millis {
        let since = self.until.unwrap_or(read_since).max(read_since);
        read_at.since(since)
    }
}

/// Time after which the caller of a refused workflow should retry; `None` if the workflow is to be stored.
///
/// `unserved_for` is the time for which no owner is known that starts work of the shard.
#[must_use]
pub fn refuse_until(workflow: &Workflow, queue: &Queue, unserved_for: Millis) -> Option<Millis> {
    if unserved_for == Millis(0) || is_useful_any_time(workflow) {
        return None;
    }
    let chain = longest_chain(&workflow.steps);
    let expected = Millis(unserved_for.0.saturating_add(chain.0));
    let (shortest, longest) = RETRY_AFTER_MS;
    (expected > useful_for(workflow, queue)).then(|| unserved_for.clamp(shortest, longest))
}
