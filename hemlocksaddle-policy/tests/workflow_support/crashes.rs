//! Workers of the harness that crash and are back as new processes.

use hemlocksaddle_policy::workflow::{Order, Start, WorkerKey};

use super::Harness;

impl Harness {
    /// Crashes the worker of a start; it is back as a new process, idle, after `away_ms`.
    pub(crate) fn crash(&mut self, start: &Start, away_ms: u64) {
        self.crash_worker(self.number_of(start), away_ms);
    }

    /// Crashes a worker; it is back as a new process, idle, after `away_ms`.
    pub(crate) fn crash_worker(&mut self, number: usize, away_ms: u64) {
        self.crash_workers(&[number], away_ms);
    }

    /// Crashes workers at once; they are back as new processes, idle, after `away_ms`.
    pub(crate) fn crash_workers(&mut self, numbers: &[usize], away_ms: u64) {
        for &number in numbers {
            self.silence(self.workers[number]);
        }
        self.advance(away_ms);
        let mut listed = self.roster();
        for &number in numbers {
            listed[number].born_ms += 1;
            listed[number].draining = false;
        }
        let new = self.scheduler.list_workers(listed, self.now);
        for (&number, key) in numbers.iter().zip(new) {
            self.workers[number] = key;
            self.scheduler.mark_rostered(key);
            self.report_idle(number);
            if self.scheduler.worker(key).is_some_and(|w| w.tasks() > 0) {
                self.answer_stops(key);
                self.report_idle(number);
            }
        }
        self.clock_readings();
    }

    /// Answers the stop orders to a worker, which holds none of the runs.
    pub(crate) fn answer_stops(&mut self, worker: WorkerKey) {
        let orders = self.scheduler.plan(self.now, self.wall());
        for order in orders {
            match order {
                Order::Stop {
                    worker: to,
                    task,
                    run,
                } if to == worker => {
                    self.scheduler.stop_answered(worker, task, run, self.now);
                }
                other => self.record_order(other),
            }
        }
        self.advance(1);
    }
}
