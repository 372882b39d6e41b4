//! Choice of what to start next, and where.
//!
//! Urgent work goes before normal before batch; within a class the team with the
//! lowest load goes first, and within a team the oldest job. A job for which no
//! rack has room is passed over for a moment, so that it does not hold up others.

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

use super::{Promised, Queue, Queues, Stage, accept::Shape, state::Job};
use crate::wait::within;

/// Placements that a queue has in progress at once.
const MAX_PLACING: usize = 128;
/// Jobs of a team that are looked at before the next team has its turn.
const MAX_LOOKED_AT: usize = 16;
/// Longest pause of the dispatcher; also how soon changes of racks are noticed.
const IDLE_MS: Millis = Millis(100);
/// Pause of a job for which no rack has room.
const NO_ROOM_PAUSE_MS: Millis = Millis(250);
/// Age up to which a summary counts.
const SUMMARY_FRESH_MS: Millis = Millis(2_000);
/// Time after which a summary includes what was sent to the rack before.
const PROMISED_MS: Millis = Millis(700);

/// Attempt to be placed on a rack.
pub(super) struct Choice {
    pub(super) job: JobId,
    pub(super) rack: RackName,
    pub(super) considered: usize,
}

impl Queues {
    /// Starts waiting tasks until the queue is closed.
    pub(super) async fn dispatch(self: &Rc<Self>, queue: &Rc<Queue>) {
        while queue.stage.get() != Stage::Closed && self.running.get() {
            let seen = queue.work.count();
            if self.may_act(queue) && !self.stopping.get() {
                self.start_waiting(queue);
            }
            within(
                &*self.core.ports.runtime,
                IDLE_MS,
                queue.work.wait_past(seen),
            )
            .await;
        }
    }

    fn start_waiting(self: &Rc<Self>, queue: &Rc<Queue>) {
        let summaries = self.rack_summaries();
        while queue.placing.get() < MAX_PLACING {
            let Some(choice) = self.choose(queue, &summaries) else {
                return;
            };
            self.launch(queue, choice);
        }
    }

    /// Summaries of all racks: this node's own and those of fresh heartbeats.
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
                .is_some_and(|ms| now.since(ms) <= SUMMARY_FRESH_MS);
            if let (true, Some(heartbeat)) = (fresh, peer.heartbeat) {
                all.extend(heartbeat.racks.iter().cloned());
            }
        }
        all
    }

    /// Whether any open rack seems to have room.
    pub(super) fn has_room(&self, demand: &Resources) -> bool {
        let summaries = self.rack_summaries();
        let mut open = summaries.iter().filter(|summary| summary.open);
        open.any(|summary| demand.fits_in(&summary.largest_free))
    }

    /// Quota of a team: the largest of its documents in each dimension.
    pub(super) fn quota_of(&self, team: &TeamName) -> Resources {
        let documents = self.core.configuration.documents();
        let of_team = documents.iter().filter(|(doc, _)| doc.team == *team);
        of_team.fold(Resources::default(), |quota, (doc, _)| {
            quota.max(&doc.quota)
        })
    }

    /// Next job to serve with the rack for its next task.
    fn choose(&self, queue: &Queue, summaries: &[RackSummary]) -> Option<Choice> {
        for job in self.candidates(queue) {
            match self.choose_rack_for(queue, job, summaries) {
                Some(choice) => return Some(choice),
                None => self.pass_over(queue, job, summaries),
            }
        }
        None
    }

    /// Jobs in the order in which they are served, a few of each team.
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
                    dominant_share_milli(&used, &self.quota_of(team)),
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
            chosen.extend(ready.take(MAX_LOOKED_AT).copied());
        }
        chosen
    }

    fn choose_rack_for(
        &self,
        queue: &Queue,
        id: JobId,
        summaries: &[RackSummary],
    ) -> Option<Choice> {
        let now = self.now();
        let jobs = queue.jobs.borrow();
        let job = jobs.jobs.get(&id)?;
        let open: Vec<&RackSummary> = summaries
            .iter()
            .filter(|summary| summary.open && self.may_ask(&summary.rack, now))
            .collect();
        let views = open
            .iter()
            .map(|summary| self.view(job, summary, &open, now));
        let views: Vec<RackView> = views.collect();
        let may_evict = job.spec.urgency == Urgency::Urgent;
        let random = || self.core.ports.runtime.random();
        let index = choose_rack(&job.spec.demand, may_evict, views, random)?;
        let rack = open[index].rack.clone();
        self.backoff.borrow_mut().acquire(&rack, now);
        Some(Choice {
            job: id,
            rack,
            considered: open.len(),
        })
    }

    fn may_ask(&self, rack: &RackName, now: MonoMs) -> bool {
        !matches!(
            self.backoff.borrow().peek(rack, now),
            Permission::NotBefore(_)
        )
    }

    fn view(
        &self,
        job: &Job,
        summary: &RackSummary,
        all: &[&RackSummary],
        now: MonoMs,
    ) -> RackView {
        let in_rack = |rack: &RackName| {
            let racks = job.live.values().filter_map(|live| live.rack.as_ref());
            u32::try_from(racks.filter(|other| *other == rack).count()).unwrap_or(u32::MAX)
        };
        let neighbours = all.iter().filter(|o| o.data_centre == summary.data_centre);
        let free = summary
            .free
            .saturating_sub(&self.promised_to(&summary.rack, now));
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
            same_job: in_rack(&summary.rack),
            same_job_in_data_centre: neighbours.map(|other| in_rack(&other.rack)).sum(),
        }
    }

    fn promised_to(&self, rack: &RackName, now: MonoMs) -> Resources {
        let mut promised = self.promised.borrow_mut();
        promised.retain(|entry| now.since(entry.at_ms) < PROMISED_MS);
        let of_rack = promised.iter().filter(|entry| entry.rack == *rack);
        of_rack.fold(Resources::default(), |sum, entry| sum + entry.demand)
    }

    /// Notes a demand that a rack's summary does not show yet.
    pub(super) fn promise(&self, rack: &RackName, demand: Resources) {
        self.promised.borrow_mut().push(Promised {
            rack: rack.clone(),
            demand,
            at_ms: self.now(),
        });
    }

    /// Lets a job wait for a moment, with the reason in its status.
    fn pass_over(&self, queue: &Queue, id: JobId, summaries: &[RackSummary]) {
        let until = self.now() + NO_ROOM_PAUSE_MS;
        let open = summaries.iter().filter(|summary| summary.open).count();
        let mut jobs = queue.jobs.borrow_mut();
        let Some(job) = jobs.jobs.get_mut(&id) else {
            return;
        };
        job.not_before_ms = until;
        let text = match self.shape(&job.spec.demand) {
            Shape::Absent | Shape::Never => {
                String::from("waits for a worker of a shape that is absent at present")
            }
            _ => format!(
                "waits: none of {open} open racks of {} has room",
                summaries.len()
            ),
        };
        if *job.detail != *text {
            job.detail = Arc::from(text.as_str());
            self.explain(id, text);
        }
    }
}
