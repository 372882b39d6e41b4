//! Caps of tenants under random faults, checked against what the workers run.
//!
//! Load: three tenants with more work than their caps allow on six workers, which refuse starts, lose answers,
//! carry out orders late, fail, restart and are silent for longer than a lease, while workflows are cancelled, and a
//! successor takes over every few seconds.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{End, EndKind, Order, Start, StartAnswer, TaskStatus};
use hemlocksaddle_types::workflow::{Progress, Run, Step, TaskName, Workflow, WorkflowId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use workflow_support::{Harness, LEASE_MS, best_effort, long_running, step};

const WORKERS: usize = 6;

/// Names and caps, in thousandths of a core.
const TENANTS: [(&str, u32, u64); 3] = [("a", 1, 5_000), ("b", 4, 9_500), ("c", 2, 2_400)];

/// Worker as it is, whatever the scheduler knows.
#[derive(Default)]
struct FakeWorker {
    running: BTreeMap<TaskName, Run>,
    ends: Vec<End>,
    ended: u64,
    lease_until_ms: u64,
    silent_until_ms: u64,
}

impl FakeWorker {
    fn end(&mut self, task: TaskName, run: Run, kind: EndKind) {
        self.ended += 1;
        self.ends.push(End {
            number: self.ended,
            task: Some(task),
            run,
            kind,
            checkpoint: None,
        });
    }
}

/// Fleet with its scheduler.
struct Play {
    random: Pcg64,
    harness: Harness,
    workers: Vec<FakeWorker>,
    /// Workflows that have not ended, with their tenants.
    workflows: BTreeMap<u64, Workflow>,
    /// Start orders without an answer, which may be carried out.
    unanswered: Vec<Start>,
    /// Progress that is durable.
    stored: BTreeMap<WorkflowId, Progress>,
    next_id: u64,
    starts: usize,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut harness = Harness::with_workers(WORKERS, 8_000);
        harness.configure_tenants(&TENANTS);
        Play {
            random: Pcg64::seed_from_u64(seed),
            harness,
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            workflows: BTreeMap::new(),
            unanswered: Vec::new(),
            stored: BTreeMap::new(),
            next_id: 1,
            starts: 0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn submit(&mut self) {
        let tenant = TENANTS[self.random.random_range(0..3)].0;
        let tasks = self.random.random_range(1..=4);
        let cpu_milli = self.random.random_range(3..=16) * 100;
        let first = match self.random.random_range(0..6) {
            0 => best_effort(tasks, cpu_milli, "batch"),
            1 => long_running(tasks, cpu_milli, "service"),
            _ => step(tasks, cpu_milli),
        };
        let second = Step {
            depends_on: vec![0],
            ..step(tasks, cpu_milli)
        };
        let id = self.next_id;
        self.next_id += 1;
        self.harness.accept_of(tenant, id, vec![first, second]);
        let job = self.harness.scheduler.job(WorkflowId(id));
        let spec = Workflow::clone(&job.expect("workflow").spec);
        self.workflows.insert(id, spec);
    }

    /// Plans, checks the caps and carries the orders out, or not.
    fn plan(&mut self) {
        let (now, wall) = (self.harness.now(), self.harness.wall());
        for order in self.harness.scheduler.plan(now, wall) {
            match order {
                Order::Start(start) => {
                    self.starts += 1;
                    self.unanswered.push(start);
                }
                Order::Stop { worker, task, run } => {
                    let number = self.number_of(worker);
                    let on = &mut self.workers[number];
                    if on.silent_until_ms > now.0 {
                        continue;
                    }
                    // The answer tells only that no such run will start.
                    if on.running.get(&task).is_some_and(|&held| held <= run) {
                        on.running.remove(&task);
                        on.end(task, run, EndKind::Stopped);
                    }
                    self.unanswered
                        .retain(|start| (start.name, start.run) != (task, run));
                    self.harness.scheduler.stop_answered(worker, task, run, now);
                }
                Order::Pace { .. } => {}
            }
        }
        self.drop_void_orders();
        self.check();
    }

    fn number_of(&self, key: hemlocksaddle_policy::workflow::WorkerKey) -> usize {
        let mut workers = self.harness.workers.iter();
        workers.position(|&worker| worker == key).expect("worker")
    }

    /// Checks that what runs or may still start does not exceed a cap.
    fn check(&self) {
        for (tenant, _, cap) in TENANTS {
            let demand = |task: &TaskName| {
                let spec = &self.workflows[&task.workflow.0];
                let is_tenants = spec.tenant.as_deref() == Some(tenant);
                let demand = spec.steps[usize::from(task.step)].demand.cpu_milli;
                if is_tenants { demand } else { 0 }
            };
            let running = self.workers.iter().flat_map(|worker| worker.running.keys());
            let ordered = self.unanswered.iter().filter(|start| {
                let on = &self.workers[self.number_of(start.worker)];
                on.running.get(&start.name) != Some(&start.run)
            });
            let total: u64 = running
                .chain(ordered.map(|start| &start.name))
                .map(demand)
                .sum();
            assert_that!(total, le(cap), "{tenant}");
            assert_that!(self.harness.used(tenant), le(cap), "{tenant}");
        }
    }

    /// Answers or carries out orders that have no answer yet.
    fn answer(&mut self) {
        for start in std::mem::take(&mut self.unanswered) {
            let number = self.number_of(start.worker);
            let now_ms = self.harness.now().0;
            let (is_refused, is_lost) = (self.chance(10), self.chance(20));
            let on = &mut self.workers[number];
            let is_held = on.running.get(&start.name) == Some(&start.run);
            let is_silent = on.silent_until_ms > now_ms;
            if is_silent || (is_lost && is_refused) {
                self.harness.answer(&start, StartAnswer::Unknown);
                if self.harness.scheduler.is_start_pending(&start) {
                    self.unanswered.push(start);
                }
            } else if is_refused && !is_held {
                self.harness.answer(&start, StartAnswer::NoRoom);
            } else {
                on.running.insert(start.name, start.run);
                let answer = if is_lost {
                    StartAnswer::Unknown
                } else {
                    StartAnswer::Accepted
                };
                if self.harness.answer(&start, answer) {
                    self.unanswered.push(start);
                }
            }
        }
    }

    /// Ends some runs, and has the workers report that are not silent.
    fn report(&mut self) {
        let now_ms = self.harness.now().0;
        for number in 0..WORKERS {
            let (ends, fails, falls_silent) = (self.chance(30), self.chance(10), self.chance(2));
            let silence_ms = self.random.random_range(200..2 * LEASE_MS);
            let on = &mut self.workers[number];
            if on.lease_until_ms < now_ms {
                while let Some((task, run)) = on.running.pop_first() {
                    on.end(task, run, EndKind::Lapsed);
                }
            }
            if let Some((&task, &run)) = on.running.first_key_value().filter(|_| ends) {
                on.running.remove(&task);
                on.end(
                    task,
                    run,
                    if fails {
                        EndKind::Broken
                    } else {
                        EndKind::Done
                    },
                );
            }
            if on.silent_until_ms > now_ms {
                self.harness.silence(self.harness.workers[number]);
                continue;
            }
            if falls_silent {
                on.silent_until_ms = now_ms + silence_ms;
            }
            on.lease_until_ms = now_ms + LEASE_MS;
            let status = |(&task, &run): (&TaskName, &Run)| TaskStatus {
                task,
                run,
                checkpoint: None,
                percent: (now_ms / 100 % 100) as u8,
                measurement: 1,
            };
            let running = on.running.iter().map(status).collect();
            let ends = on.ends.clone();
            self.harness.report_state(number, running, ends);
        }
        self.drop_void_orders();
    }

    /// Drops orders that were given up or whose lease has expired, which cannot be carried out any more.
    fn drop_void_orders(&mut self) {
        let scheduler = &self.harness.scheduler;
        self.unanswered
            .retain(|start| scheduler.is_start_pending(start));
    }

    /// Replaces the process of a worker by a later one, which has no runs and is silent for a moment.
    fn restart(&mut self, number: usize) {
        let now = self.harness.now();
        let key = self.harness.workers[number];
        self.workers[number] = FakeWorker {
            silent_until_ms: now.0 + 300,
            ..FakeWorker::default()
        };
        self.unanswered.retain(|start| start.worker != key);
        let mut listed = self.harness.roster();
        listed[number].born_ms += 1;
        for new in self.harness.scheduler.list_workers(listed, now) {
            self.harness.workers[number] = new;
            self.harness.scheduler.mark_rostered(new);
        }
    }

    /// Makes progress durable, after which workers drop the ends that it covers.
    fn save(&mut self) {
        self.stored.extend(self.harness.save());
        for (on, &key) in self.workers.iter_mut().zip(&self.harness.workers) {
            let worker = self.harness.scheduler.worker(key).expect("worker");
            let upto = worker.ends_to_acknowledge();
            on.ends.retain(|end| end.number > upto);
        }
    }

    /// Has a successor take over, which knows the stored progress only.
    fn take_over(&mut self) {
        let term = self.harness.scheduler.term() + 1;
        let elapsed_ms = self.harness.now().0 - Harness::with_workers(0, 0).now().0;
        let mut successor = Harness::of_term(term, WORKERS, 8_000, elapsed_ms + LEASE_MS);
        successor.advance(elapsed_ms);
        successor.configure_tenants(&TENANTS);
        for (&id, spec) in &self.workflows {
            let id = WorkflowId(id);
            let now = successor.now();
            successor.scheduler.accept(id, spec.clone(), now, true);
        }
        successor.restore(self.stored.clone().into_iter().collect());
        // Orders of the predecessor are fenced from each worker's first report on.
        for start in std::mem::take(&mut self.unanswered) {
            let number = self.number_of(start.worker);
            if self.workers[number].silent_until_ms <= self.harness.now().0 && self.chance(50) {
                self.workers[number].running.insert(start.name, start.run);
            }
        }
        self.harness = successor;
    }
}

/// Guards against usage that is lost or counted twice on any path, and against starts above a cap.
#[gtest]
fn caps_hold_under_random_faults() {
    let mut starts = 0;
    for seed in 1..=20 {
        let mut play = Play::new(seed);
        for tick in 1..=600 {
            play.harness.advance(100);
            if play.workflows.len() < 60 && play.chance(25) {
                play.submit();
            }
            if play.chance(3) {
                let id = play.random.random_range(1..=play.next_id);
                play.harness.cancel(id);
            }
            play.report();
            play.plan();
            play.answer();
            if play.chance(1) {
                let number = play.random.random_range(0..WORKERS);
                play.restart(number);
            }
            if play.chance(15) {
                play.save();
            }
            if tick % 200 == 0 {
                play.take_over();
            }
        }
        starts += play.starts;
        // All work ends; nothing may count for ever.
        (1..play.next_id).for_each(|id| play.harness.cancel(id));
        for _ in 0..40 {
            play.harness.advance(1_000);
            play.report();
            play.plan();
            play.answer();
            play.save();
        }
        let used = TENANTS.map(|(tenant, ..)| play.harness.used(tenant));
        expect_that!(used, eq([0, 0, 0]), "seed {seed}");
    }
    expect_that!(starts, ge(3_000));
}
