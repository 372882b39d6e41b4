//! Order of the steps of several tenants.
//!
//! Among steps of one priority and capacity rule, the tenant with the lowest weighted dominant share is
//! served first, its steps in their order of urgency. Its turn ends when its share exceeds that of the next
//! tenant. A heap holds the tenants, so that a turn costs one entry and no step is sorted again.

use std::{cmp::Ordering, collections::BinaryHeap};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_types::{clock::MonoMs, resources::Resources};

use crate::workflow::{Scheduler, TenantKey, placement::Candidates, plan::ReadyStep};

use super::Tenancy;

/// Starts that a turn lasts at least.
///
/// Each turn compares all workers anew. A tenant may exceed its share by as many tasks, which are few beside the
/// hundreds that run on a fleet large enough for the comparison to matter.
const MIN_TURN_STARTS: u32 = 8;

/// Turn of a tenant in a plan.
#[derive(Debug)]
pub(super) struct Turn {
    tenant: Option<TenantKey>,
    /// Starts in the turn.
    pub(super) starts: u32,
    /// Share of the tenant that is served next.
    next_share: f64,
}

impl Default for Turn {
    /// Turn that does not end.
    fn default() -> Turn {
        Turn {
            tenant: None,
            starts: 0,
            next_share: f64::INFINITY,
        }
    }
}

/// Steps of one tenant that are still to be served.
struct Lane {
    tenant: Option<TenantKey>,
    /// Index of its next step.
    step: usize,
    /// Task of the step to go on from.
    from: u32,
}

/// Entry of the heap; the greatest is served first.
#[derive(Clone, Copy, Debug)]
struct Entry {
    share: f64,
    /// Index of the tenant's next step, which decides between equal shares.
    step: usize,
    lane: usize,
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        let by_share = other.share.total_cmp(&self.share);
        by_share.then(other.step.cmp(&self.step))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl Tenancy {
    fn share(&self, tenant: Option<TenantKey>) -> f64 {
        self.account(tenant).share(&self.capacity)
    }

    /// Whether the tenant that is being served has used up its turn.
    pub(in crate::workflow) fn is_turn_over(&self) -> bool {
        let turn = &self.turn;
        turn.starts >= MIN_TURN_STARTS && self.share(turn.tenant) > turn.next_share
    }
}

impl Scheduler {
    /// Places the tasks of ready steps, which are sorted by urgency.
    pub(in crate::workflow) fn place_ready(
        &mut self,
        ready: &[ReadyStep],
        candidates: &mut Candidates,
        now: MonoMs,
    ) {
        self.tenancy.turn = Turn::default();
        if self.tenancy.len() == 0 {
            return self.place_in_order(ready, candidates, now);
        }
        let listed = self.workers.values().filter(|worker| worker.listed);
        let capacities = listed.map(|worker| worker.listing.capacity);
        self.tenancy.capacity = capacities.fold(Resources::default(), |sum, capacity| {
            sum.saturating_add(&capacity)
        });
        for group in ready.chunk_by(ReadyStep::shares_with) {
            self.place_by_share(group, candidates, now);
        }
        self.tenancy.turn = Turn::default();
    }

    fn place_in_order(&mut self, ready: &[ReadyStep], candidates: &mut Candidates, now: MonoMs) {
        for step in ready {
            if self.start_budget == 0 {
                break;
            }
            self.work.steps += 1;
            self.place_step(step, 0, candidates, now);
            self.reserve(step, candidates, now);
        }
    }

    /// Places the tasks of steps of one priority and capacity rule.
    fn place_by_share(&mut self, steps: &[ReadyStep], candidates: &mut Candidates, now: MonoMs) {
        let (mut lanes, following) = self.lanes(steps);
        let entries = lanes.iter().enumerate().map(|(lane, state)| Entry {
            share: self.tenancy.share(state.tenant),
            step: state.step,
            lane,
        });
        let mut heap: BinaryHeap<Entry> = entries.collect();
        while let Some(entry) = heap.pop() {
            self.work.tenant_turns += 1;
            let lane = &mut lanes[entry.lane];
            self.tenancy.turn = Turn {
                tenant: lane.tenant,
                starts: 0,
                next_share: heap.peek().map_or(f64::INFINITY, |next| next.share),
            };
            let mut has_more = true;
            while has_more && !self.tenancy.is_turn_over() {
                if self.start_budget == 0 {
                    return;
                }
                self.work.steps += 1;
                if let Some(from) = self.place_step(&steps[lane.step], lane.from, candidates, now) {
                    lane.from = from;
                    break;
                }
                self.reserve(&steps[lane.step], candidates, now);
                (lane.from, has_more) = (0, false);
                if let Some(next) = following[lane.step] {
                    (lane.step, has_more) = (next, true);
                }
            }
            if has_more {
                heap.push(Entry {
                    share: self.tenancy.share(lane.tenant),
                    step: lane.step,
                    ..entry
                });
            }
        }
    }

    /// Divides steps by tenant; also returns the index of the next step of the same tenant for each step.
    fn lanes(&self, steps: &[ReadyStep]) -> (Vec<Lane>, Vec<Option<usize>>) {
        let mut lanes = Vec::new();
        let mut following = vec![None; steps.len()];
        let mut latest: HashMap<Option<TenantKey>, usize> = HashMap::new();
        for (step, ready) in steps.iter().enumerate() {
            let tenant = self.jobs[ready.job].tenant;
            match latest.insert(tenant, step) {
                Some(earlier) => following[earlier] = Some(step),
                None => lanes.push(Lane {
                    tenant,
                    step,
                    from: 0,
                }),
            }
        }
        (lanes, following)
    }
}
