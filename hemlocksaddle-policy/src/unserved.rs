//! Submissions to a shard whose owner has not recovered: queueing or refusing.
//!
//! Nobody starts work of such a shard. How long that lasts is not known; the time for which it has lasted is the
//! best estimate of the time that is left. A submission whose result would come later than callers can use it is
//! refused at once, so that the caller can turn elsewhere; any other is stored and waits.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::{Queue, Step, Workflow},
};

use crate::take_over::OWNERSHIP_LEASE_MS;

/// Multiple of its completion target after which the result of a workflow is worth nothing to its caller.
const USEFUL_TARGETS: f64 = 3.0;

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

/// Declared run time of the longest chain of dependent steps.
#[must_use]
pub fn longest_chain(steps: &[Step]) -> Millis {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step.depends_on.iter();
        let before = before.filter_map(|&index| ends.get(usize::from(index)));
        let start = before.max().copied().unwrap_or(0);
        ends.push(start.saturating_add(step.expected_run_ms));
    }
    Millis(ends.into_iter().max().unwrap_or(0))
}

/// Whether the result of a workflow is useful at any time.
fn is_useful_late(workflow: &Workflow) -> bool {
    workflow.schedule.is_some() || workflow.steps.iter().any(|step| step.long_running)
}

/// Time after which the caller of a refused workflow should retry; `None` if the workflow is to be stored.
///
/// `unserved_for` is the time for which no owner is known that starts work of the shard.
#[must_use]
pub fn refuse_until(workflow: &Workflow, queue: &Queue, unserved_for: Millis) -> Option<Millis> {
    if unserved_for == Millis(0) || is_useful_late(workflow) {
        return None;
    }
    let chain = longest_chain(&workflow.steps);
    let target_ms = queue.stretch * chain.0 as f64 + queue.target_completion_ms.0 as f64;
    let expected_ms = unserved_for.0.saturating_add(chain.0) as f64;
    let (shortest, longest) = RETRY_AFTER_MS;
    (expected_ms > USEFUL_TARGETS * target_ms).then(|| unserved_for.clamp(shortest, longest))
}
