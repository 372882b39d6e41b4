//! Dispatcher of a queue: chooses the next task to start and its rack.
//!
//! Urgent jobs go before normal ones, and normal ones before batch jobs. Within an
//! urgency the team with the lowest dominant share goes first, and within a team the
//! oldest job. A job for which no rack has free capacity is deferred for a short
//! time, so that it does not block others (head-of-line blocking).

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_policy::{
    backoff::Permission,
    fairness::dominant_share_milli,
    placement::{RackView, choose_rack},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    job::{JobId, Urgency},
    name::{RackName, TeamName},
    peer::RackSummary,
    resources::Resources,
};

use super::{PendingDemand, Queue, Queues, Stage, accept::Feasibility, state::Job};
use crate::wait::within;

/// Maximum number of placements that a queue has in progress.
const MAX_ACTIVE_PLACEMENTS: usize = 128;
/// Maximum number of jobs of a team that are considered before those of the next team.
const MAX_CANDIDATES_PER_TEAM: usize = 16;
/// Maximum time between two dispatcher runs; bounds how late a change of racks is noticed.
const DISPATCH_INTERVAL_MS: Millis = Millis(100);
/// Time for which a job is deferred if no rack has free capacity.
const NO_CAPACITY_DELAY_MS: Millis = Millis(250);
/// Maximum age of a peer's heartbeat whose rack summaries are used.
const SUMMARY_MAX_AGE_MS: Millis = Millis(2_000);
/// Time after which the summary of a rack is taken to include an earlier placement.
const SUMMARY_LAG_MS: Millis = Millis(700);

/// Job whose next task is to be placed, and the rack for it.
pub(super) struct PlacementChoice {
    pub(super) job: JobId,
    pub(super) rack: RackName,
    pub(super) racks_considered: usize,
}

impl Queues {
    /// Starts waiting tasks until the queue is closed.
    pub(super) async fn dispatch(self: &Rc<Self>, queue: &Rc<Queue>) {
        while queue.stage.get() != Stage::Closed && self.running.get() {
            let seen = queue.dispatch_signal.count();
            if self.holds_lease(queue) && !self.stopping.get() {
                self.start_waiting_tasks(queue);
            }
            within(
                &*self.core.ports.runtime,
                DISPATCH_INTERVAL_MS,
                queue.dispatch_signal.wait_past(seen),
            )
            .await;
        }
    }

    fn start_waiting_tasks(self: &Rc<Self>, queue: &Rc<Queue>) {
        let summaries = self.rack_summaries();
        while queue.active_placements.get() < MAX_ACTIVE_PLACEMENTS {
            let Some(choice) = self.choose_placement(queue, &summaries) else {
                return;
            };
            self.launch(queue, choice);
        }
    }

    /// Summaries of this node's racks and of those in recent heartbeats of peers.
    pub(super) fn rack_summaries(&self) -> Vec<RackSummary> {
        let now = self.now();
        let racks = self.racks.borrow();
        let mut all = racks
            .as_ref()
            .map(|racks| racks.summaries())
            .unwrap_or_default();
        for peer in self.core.calls.peers() {
            let fresh = peer
                .last_heartbeat_ms
                .is_some_and(|ms| now.since(ms) <= SUMMARY_MAX_AGE_MS);
            if let (true, Some(heartbeat)) = (fresh, peer.heartbeat) {
                all.extend(heartbeat.racks.iter().cloned());
            }
        }
        all
    }

    /// Whether an open rack appears to have the capacity free for a demand.
    pub(super) fn has_free_capacity(&self, demand: &Resources) -> bool {
        let summaries = self.rack_summaries();
        let mut open = summaries.iter().filter(|summary| summary.open);
        open.any(|summary| demand.fits_in(&summary.largest_free))
    }

    /// Quota of a team: the maximum over its documents, per resource.
    pub(super) fn team_quota(&self, team: &TeamName) -> Resources {
        let documents = self.core.configuration.documents();
        let of_team = documents.iter().filter(|(doc, _)| doc.team == *team);
        of_team.fold(Resources::default(), |quota, (doc, _)| {
            quota.max(&doc.quota)
        })
    }

    /// Next placement; defers the jobs before it that fit on no rack.
    fn choose_placement(
        &self,
        queue: &Queue,
        summaries: &[RackSummary],
    ) -> Option<PlacementChoice> {
        for job in self.candidates(queue) {
            match self.choose_rack_for(queue, job, summaries) {
                Some(choice) => return Some(choice),
                None => self.defer(queue, job, summaries),
            }
        }
        None
    }

    /// Jobs that may start now, in dispatch order, with a limited number per team.
    fn candidates(&self, queue: &Queue) -> Vec<JobId> {
        let now = self.now();
        let jobs = queue.jobs.borrow();
        let mut teams: Vec<(u8, u64, &TeamName)> = jobs
            .waiting
            .keys()
            .map(|(rank, team)| {
                let used = jobs.used.get(team).copied().unwrap_or_default();
                (
                    *rank,
                    dominant_share_milli(&used, &self.team_quota(team)),
                    team,
                )
            })
            .collect();
        teams.sort();
        let mut chosen = Vec::new();
        for (rank, _, team) in teams {
            let ids = jobs.waiting.get(&(rank, team.clone()));
            let ready = ids.into_iter().flatten().filter(|id| {
                let job = jobs.jobs.get(id);
                queue.may_start(**id) && job.is_some_and(|job| job.not_before_ms <= now)
            });
            chosen.extend(ready.take(MAX_CANDIDATES_PER_TEAM).copied());
        }
        chosen
    }

    fn choose_rack_for(
        &self,
        queue: &Queue,
        id: JobId,
        summaries: &[RackSummary],
    ) -> Option<PlacementChoice> {
        let now = self.now();
        let jobs = queue.jobs.borrow();
        let job = jobs.jobs.get(&id)?;
        let open: Vec<&RackSummary> = summaries
            .iter()
            .filter(|summary| summary.open && self.backoff_allows(&summary.rack, now))
            .collect();
        let views = open
            .iter()
            .map(|summary| self.rack_view(job, summary, &open, now));
        let views: Vec<RackView> = views.collect();
        let may_evict = job.spec.urgency == Urgency::Urgent;
        let random = || self.core.ports.runtime.random();
        let index = choose_rack(&job.spec.demand, may_evict, views, random)?;
        let rack = open[index].rack.clone();
        self.backoff.borrow_mut().acquire(&rack, now);
        Some(PlacementChoice {
            job: id,
            rack,
            racks_considered: open.len(),
        })
    }

    fn backoff_allows(&self, rack: &RackName, now: MonoMs) -> bool {
        !matches!(
            self.backoff.borrow().peek(rack, now),
            Permission::NotBefore(_)
        )
    }

    fn rack_view(
        &self,
        job: &Job,
        summary: &RackSummary,
        all: &[&RackSummary],
        now: MonoMs,
    ) -> RackView {
        let attempts_in_rack = |rack: &RackName| {
            let racks = job.live.values().filter_map(|live| live.rack.as_ref());
            u32::try_from(racks.filter(|other| *other == rack).count()).unwrap_or(u32::MAX)
        };
        let neighbours = all.iter().filter(|o| o.data_centre == summary.data_centre);
        let free = summary
            .free
            .saturating_sub(&self.pending_demand_on(&summary.rack, now));
        let largest_free = Resources {
            cpu_milli: summary.largest_free.cpu_milli.min(free.cpu_milli),
            memory_mb: summary.largest_free.memory_mb.min(free.memory_mb),
            accelerators: summary.largest_free.accelerators.min(free.accelerators),
        };
        RackView {
            free,
            largest_free,
            evictable: summary.evictable,
            capacity: summary.capacity,
            same_job: attempts_in_rack(&summary.rack),
            same_job_in_data_centre: neighbours.map(|other| attempts_in_rack(&other.rack)).sum(),
        }
    }

    fn pending_demand_on(&self, rack: &RackName, now: MonoMs) -> Resources {
        let mut pending_demand = self.pending_demand.borrow_mut();
        pending_demand.retain(|entry| now.since(entry.at_ms) < SUMMARY_LAG_MS);
        let of_rack = pending_demand.iter().filter(|entry| entry.rack == *rack);
        of_rack.fold(Resources::default(), |sum, entry| sum + entry.demand)
    }

    /// Records the demand of a placement until the rack's summary includes it.
    pub(super) fn add_pending_demand(&self, rack: &RackName, demand: Resources) {
        self.pending_demand.borrow_mut().push(PendingDemand {
            rack: rack.clone(),
            demand,
            at_ms: self.now(),
        });
    }

    /// Delays the next placement of a job and puts the reason into its status.
    fn defer(&self, queue: &Queue, id: JobId, summaries: &[RackSummary]) {
        let until = self.now() + NO_CAPACITY_DELAY_MS;
        let open = summaries.iter().filter(|summary| summary.open).count();
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get_mut(&id) else {
            return;
        };
        job.not_before_ms = until;
        let text = match self.feasibility(&job.spec.demand) {
            Feasibility::NoLiveWorker | Feasibility::Infeasible => {
                String::from("waits for a worker of a shape that is absent at present")
            }
            _ => format!(
                "waits: none of {open} open racks of {} has room",
                summaries.len()
            ),
        };
        if *job.detail != *text {
            job.detail = Arc::from(text.as_str());
            self.record_decision(id, text);
        }
    }
}
