//! Fleet in virtual time: runs end after a time that the test gives; with or without reservations.

use std::collections::BTreeMap;

use hemlocksaddle_policy::workflow::{
    End, EndKind, Limits, Listing, Report, Scheduler, Start, StartAnswer, TaskStatus,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::DataCentre,
    workflow::{Catalogue, Queue, Run, Step, TaskName, WorkflowId},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Harness, LEASE_MS, START_MS, listing, name, queue, step};

/// Time between two plans.
pub(crate) const TICK_MS: u64 = 10;

/// Queue whose tasks are the most urgent.
pub(crate) const URGENT: &str = "queue";

/// Queue whose tasks may wait.
pub(crate) const LATER: &str = "later";

/// Step of tasks that declare their run time.
pub(crate) fn timed(tasks: u32, cpu_milli: u64, expected_run_ms: u64) -> Step {
    Step {
        expected_run_ms,
        ..step(tasks, cpu_milli)
    }
}

/// Started task, with the time that it waited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) workflow: u64,
    pub(crate) cpu_milli: u64,
    pub(crate) waited_ms: u64,
    /// Number of its worker.
    pub(crate) worker: usize,
}

pub(crate) struct Fleet {
    pub(crate) harness: Harness,
    pub(crate) started: Vec<Started>,
    /// Processor time that ended runs used, in core seconds.
    pub(crate) used_core_s: f64,
    running: BTreeMap<(u64, u64), Start>,
    next_workflow: u64,
    sequence: u64,
    arrivals: Pcg64Mcg,
    /// Largest factor between actual and declared run times, either way.
    spread: f64,
    /// Factor of all run times.
    pub(crate) slowness: u64,
    /// Worker whose runs do not end.
    pub(crate) hung: Option<usize>,
}

impl Fleet {
    pub(crate) fn new(harness: Harness) -> Fleet {
        Fleet {
            harness,
            started: Vec::new(),
            used_core_s: 0.0,
            running: BTreeMap::new(),
            next_workflow: 1,
            sequence: 0,
            arrivals: Pcg64Mcg::seed_from_u64(7),
            spread: 1.0,
            slowness: 1,
            hung: None,
        }
    }

    /// Fleet of workers of 32 cores whose run times differ from the declared ones by up to a factor.
    pub(crate) fn of_32_cores(workers: usize, reservations: bool, spread: f64) -> Fleet {
        let harness = Harness::with_reservations(workers, 32_000, reservations);
        Fleet {
            spread,
            ..Fleet::new(harness)
        }
    }

    /// Accepts a workflow of one step; returns its id.
    pub(crate) fn accept(&mut self, queue: &str, step: Step) -> u64 {
        let id = self.next_workflow;
        self.next_workflow += 1;
        self.harness.accept_in(id, queue, vec![step]);
        id
    }

    /// Accepts steps at random, on average `per_s` in a second.
    pub(crate) fn arrive(&mut self, per_s: f64, queue: &str, step: &Step) {
        if self.arrivals.random_bool(per_s * TICK_MS as f64 / 1_000.0) {
            self.accept(queue, step.clone());
        }
    }

    /// Ends the runs that are due, plans and starts; then passes one tick.
    pub(crate) fn tick(&mut self) {
        let now = self.harness.now();
        for &worker in &self.harness.workers {
            let until = now + Millis(LEASE_MS);
            self.harness.scheduler.extend_lease(worker, until);
        }
        let later = self.running.split_off(&(now.0 + 1, 0));
        for start in std::mem::replace(&mut self.running, later).into_values() {
            if self.hung == Some(self.harness.number_of(&start)) {
                self.run(start, u64::MAX);
                continue;
            }
            self.harness.end(&start, EndKind::Done);
        }
        self.harness.save();
        let starts = self.harness.starts();
        self.harness.answer_all(&starts, StartAnswer::Accepted);
        for start in starts {
            self.start(start);
        }
        self.harness.advance(TICK_MS);
    }

    /// Ticks for a time, in each of which steps may arrive.
    pub(crate) fn pass(&mut self, ms: u64, mut arrive: impl FnMut(&mut Fleet)) {
        for _ in 0..ms / TICK_MS {
            arrive(self);
            self.tick();
        }
    }

    fn start(&mut self, start: Start) {
        let job = self.harness.scheduler.job(start.name.workflow);
        let step = &job.expect("workflow").spec.steps[0];
        let (cpu_milli, declared_ms) = (step.demand.cpu_milli, step.expected_run_ms);
        // Depends on the task alone, so that fleets with the same load differ by their starts only.
        let seed = start.name.workflow.0 << 32 | u64::from(start.name.index);
        let exponent = Pcg64Mcg::seed_from_u64(seed).random_range(-1.0..=1.0);
        let run_ms = declared_ms as f64 * self.spread.powf(exponent);
        let run_ms = run_ms as u64 * self.slowness;
        self.started.push(Started {
            workflow: start.name.workflow.0,
            cpu_milli,
            waited_ms: start.waited.0,
            worker: self.harness.number_of(&start),
        });
        self.used_core_s += cpu_milli as f64 * run_ms as f64 / 1e6;
        let end_at = self.harness.now().0 + run_ms;
        self.run(start, end_at);
    }

    fn run(&mut self, start: Start, end_at: u64) {
        self.sequence += 1;
        self.running.insert((end_at, self.sequence), start);
    }

    /// Waits of the started tasks of a size, ascending.
    pub(crate) fn waits(&self, cpu_milli: u64) -> Vec<u64> {
        let started = self.started.iter();
        let of_size = started.filter(|task| task.cpu_milli == cpu_milli);
        let mut waits: Vec<u64> = of_size.map(|task| task.waited_ms).collect();
        waits.sort_unstable();
        waits
    }

    /// Wait of the first task of a workflow; `None` if it has not started.
    pub(crate) fn wait_of(&self, workflow: u64) -> Option<u64> {
        let mut started = self.started.iter();
        let first = started.find(|task| task.workflow == workflow);
        first.map(|task| task.waited_ms)
    }
}

pub(super) fn limits(reservations: bool) -> Limits {
    Limits {
        keep_ended_ms: Millis(120_000),
        reservations,
    }
}

impl Harness {
    /// Scheduler with or without reservations whose workers have all reported.
    pub(crate) fn with_reservations(count: usize, cpu_milli: u64, reservations: bool) -> Harness {
        let mut harness = Harness::unreported_with(count, cpu_milli, 0, reservations);
        (0..count).for_each(|number| harness.report_idle(number));
        harness
    }

    /// Scheduler with or without reservations whose workers have not reported.
    pub(crate) fn unreported_with(
        count: usize,
        cpu_milli: u64,
        failover_complete_ms: u64,
        reservations: bool,
    ) -> Harness {
        let limits = limits(reservations);
        Harness::with_limits(limits, 2, count, cpu_milli, failover_complete_ms)
    }

    /// Scheduler of a term whose workers have not reported.
    pub(super) fn with_limits(
        limits: Limits,
        term: u64,
        count: usize,
        cpu_milli: u64,
        failover_complete_ms: u64,
    ) -> Harness {
        let now = MonoMs(START_MS);
        let mut scheduler = Scheduler::new(limits, term, now + Millis(failover_complete_ms));
        let later = Queue {
            name: "later".into(),
            priority: 1,
            ..queue()
        };
        scheduler.configure(&Catalogue {
            version: 1,
            queues: vec![queue(), later],
            ..Catalogue::default()
        });
        let listings: Vec<Listing> = (0..count).map(|n| listing(n, cpu_milli)).collect();
        let workers = scheduler.list_workers(listings.clone(), now);
        // A predecessor used all of them.
        scheduler.restore_roster(listings);
        Harness {
            scheduler,
            workers,
            now,
            ends: Vec::new(),
            stops: Vec::new(),
            starts: Vec::new(),
            paces: Vec::new(),
        }
    }

    /// Announces that a worker leaves.
    pub(crate) fn drain_worker(&mut self, number: usize) {
        let mut listed = self.roster();
        listed[number].draining = true;
        self.scheduler.list_workers(listed, self.now);
    }

    /// Lists a worker in a data centre of its own, which is closed.
    pub(crate) fn close_alone(&mut self, number: usize) {
        let closed = DataCentre::try_from("closed").expect("name");
        let mut listed = self.roster();
        listed[number].data_centre = closed.clone();
        self.scheduler.list_workers(listed, self.now);
        self.scheduler
            .close_data_centres(std::iter::once(closed).collect());
    }

    /// Runs of a workflow on a worker, by index of the task.
    pub(crate) fn runs_on(&self, number: usize, id: u64) -> Vec<(TaskName, Run)> {
        let job = self.scheduler.job(WorkflowId(id)).expect("workflow");
        let tasks = (0..job.spec.steps[0].tasks).map(|index| TaskName { index, ..name(id) });
        let runs = tasks.filter_map(|task| {
            let state = job.task_named(task)?;
            let is_here = state.phase.worker() == Some(self.workers[number]);
            is_here.then_some((task, state.run))
        });
        runs.collect()
    }

    /// Reports runs on a worker, all with the same progress.
    pub(crate) fn report_runs(&mut self, number: usize, runs: &[(TaskName, Run)], percent: u8) {
        let row = |&(task, run): &(TaskName, Run)| TaskStatus {
            task,
            run,
            checkpoint: None,
            percent,
            measurement: 1_000,
        };
        let report = Report {
            sent_at: self.now,
            running: runs.iter().map(row).collect(),
            ends: Vec::new(),
        };
        self.report(self.workers[number], &report);
    }

    /// Completes the first run of a workflow on a worker.
    pub(crate) fn end_first_of(&mut self, id: u64, number: usize) {
        let (task, run) = self.runs_on(number, id)[0];
        let end = End {
            number: 1,
            task: Some(task),
            run,
            kind: EndKind::Done,
            checkpoint: None,
        };
        let report = Report {
            sent_at: MonoMs(0),
            running: Vec::new(),
            ends: vec![end],
        };
        self.report(self.workers[number], &report);
    }

    /// Accepts a workflow of the given queue that a predecessor accepted.
    pub(crate) fn accept_inherited_in(&mut self, id: u64, queue: &str, steps: Vec<Step>) {
        self.add(id, queue, steps, true);
    }
}

/// Mean of some waits.
pub(crate) fn mean(waits: &[u64]) -> f64 {
    waits.iter().sum::<u64>() as f64 / waits.len().max(1) as f64
}
