//! Workers of the harness in racks of their own, and tasks that may have copies.

use hemlocksaddle_policy::workflow::{CopyEvent, CopyReason, Order, Start, TaskStatus};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Run, Step, TaskName},
};

use super::{Harness, LEASE_MS, step};

/// Step of tasks that may have copies, with a declared run time of a second.
pub(crate) fn speculative(tasks: u32, cpu_milli: u64) -> Step {
    Step {
        speculative: true,
        ..step(tasks, cpu_milli)
    }
}

impl Harness {
    /// Scheduler that makes copies, with workers that have all reported, each number `n` in rack `n / per_rack`.
    pub(crate) fn with_copies(count: usize, cpu_milli: u64, per_rack: usize) -> Harness {
        let mut harness = Harness::with_workers(count, cpu_milli);
        harness.scheduler.set_copies(true);
        harness.configure_attempts(3);
        let mut listed = harness.roster();
        for (number, listing) in listed.iter_mut().enumerate() {
            let rack = format!("rack-{}", number / per_rack);
            listing.labels = vec!["kind".into(), rack.into()];
        }
        harness.scheduler.list_workers(listed, harness.now());
        harness
    }

    /// Orders that the scheduler gives now.
    pub(crate) fn orders(&mut self) -> Vec<Order> {
        let (now, wall) = (self.now(), self.wall());
        self.scheduler.plan(now, wall)
    }

    /// Passes a time in steps of 100 ms, in which the workers of all runs report progress of `percent` for each 100 ms;
    /// returns the starts that were ordered meanwhile.
    pub(crate) fn pass_running(&mut self, ms: u64, runs: &mut [(Start, f64, f64)]) -> Vec<Start> {
        let mut started = Vec::new();
        for _ in 0..ms / 100 {
            self.advance(100);
            self.report_all_running(runs);
            started.extend(self.starts());
        }
        started
    }

    /// Advances the progress of runs (start, percent, percent each time) and reports all workers.
    fn report_all_running(&mut self, runs: &mut [(Start, f64, f64)]) {
        for (_, percent, speed) in runs.iter_mut() {
            *percent = (*percent + *speed).min(99.0);
        }
        for number in 0..self.workers.len() {
            let key = self.workers[number];
            let here = runs.iter().filter(|(start, ..)| start.worker == key);
            let rows: Vec<TaskStatus> = here
                .map(|(start, percent, _)| status(start, *percent))
                .collect();
            self.report_rows(number, rows);
        }
    }

    /// Renews the leases of all workers.
    pub(crate) fn renew(&mut self) {
        let until = self.now() + Millis(LEASE_MS);
        for &worker in &self.workers {
            self.scheduler.extend_lease(worker, until);
        }
    }

    /// Copies that were started since the last call: task, run, earlier run and reason.
    pub(crate) fn copies(&mut self) -> Vec<(TaskName, Run, Run, CopyReason)> {
        let events = self.scheduler.take_copy_events().into_iter();
        let started = events.filter_map(|event| match event {
            CopyEvent::Started {
                task,
                run,
                earlier,
                reason,
                ..
            } => Some((task, run, earlier, reason)),
            CopyEvent::Decided { .. } => None,
        });
        started.collect()
    }
}

fn status(start: &Start, percent: f64) -> TaskStatus {
    TaskStatus {
        task: start.name,
        run: start.run,
        checkpoint: None,
        percent: percent as u8,
        measurement: 1_000,
    }
}
