//! Bad worker or bad job: judged by cross-evidence.
//!
//! A failure speaks against both the worker and the job. It counts against the
//! worker only if the job is not known to fail elsewhere, and against the job
//! only if the worker is not suspect. A worker becomes suspect when it fails two
//! tasks of jobs that run well elsewhere, or tasks of three different jobs, with
//! no success in between.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use foldhash::fast::FixedState;

/// Failures of jobs that run well elsewhere after which a worker is suspect.
const KNOWN_GOOD_FAILURES: usize = 2;
/// Different failing jobs after which a worker is suspect.
const DIFFERENT_JOBS: usize = 3;
/// Good workers on which a job has to fail to count as bad.
pub const BAD_JOB_WORKERS: usize = 3;
/// Failures kept per worker.
const MAX_FAILURES: usize = 16;
/// Jobs remembered; the oldest go first.
const MAX_JOBS: usize = 4_096;

#[derive(Clone, Debug)]
struct JobEvidence<W> {
    ran_well: bool,
    failed_on: Vec<W>,
}

/// Evidence about workers and jobs.
#[derive(Clone, Debug)]
pub struct Suspicion<W, J> {
    failures: HashMap<W, VecDeque<J>, FixedState>,
    jobs: HashMap<J, JobEvidence<W>, FixedState>,
    order: VecDeque<J>,
}

impl<W, J> Default for Suspicion<W, J> {
    fn default() -> Suspicion<W, J> {
        Suspicion {
            failures: HashMap::with_hasher(FixedState::default()),
            jobs: HashMap::with_hasher(FixedState::default()),
            order: VecDeque::new(),
        }
    }
}

impl<W: Eq + Hash + Clone, J: Eq + Hash + Clone> Suspicion<W, J> {
    /// Notes a task that ran well.
    pub fn succeeded(&mut self, worker: &W, job: &J) {
        self.failures.remove(worker);
        self.job(job).ran_well = true;
    }

    /// Notes a task that failed.
    pub fn failed(&mut self, worker: &W, job: &J) {
        let evidence = self.job(job);
        if !evidence.failed_on.contains(worker) {
            evidence.failed_on.push(worker.clone());
        }
        let failures = self.failures.entry(worker.clone()).or_default();
        if failures.len() == MAX_FAILURES {
            failures.pop_front();
        }
        failures.push_back(job.clone());
    }

    /// Whether a worker fails what others run well.
    #[must_use]
    pub fn is_suspect(&self, worker: &W) -> bool {
        let Some(failures) = self.failures.get(worker) else {
            return false;
        };
        let known_good = failures.iter().filter(|job| self.ran_well(job)).count();
        let mut different: Vec<&J> = Vec::new();
        for job in failures
            .iter()
            .filter(|job| !self.fails_elsewhere(job, worker))
        {
            if !different.contains(&job) {
                different.push(job);
            }
        }
        known_good >= KNOWN_GOOD_FAILURES || different.len() >= DIFFERENT_JOBS
    }

    /// Whether a job fails on several good workers.
    #[must_use]
    pub fn is_bad_job(&self, job: &J) -> bool {
        let Some(evidence) = self.jobs.get(job) else {
            return false;
        };
        let good = evidence.failed_on.iter().filter(|w| !self.is_suspect(w));
        good.count() >= BAD_JOB_WORKERS
    }

    fn ran_well(&self, job: &J) -> bool {
        self.jobs.get(job).is_some_and(|evidence| evidence.ran_well)
    }

    fn fails_elsewhere(&self, job: &J, worker: &W) -> bool {
        let evidence = self.jobs.get(job);
        evidence.is_some_and(|e| !e.ran_well && e.failed_on.iter().any(|other| other != worker))
    }

    fn job(&mut self, job: &J) -> &mut JobEvidence<W> {
        if !self.jobs.contains_key(job) {
            if self.order.len() == MAX_JOBS
                && let Some(oldest) = self.order.pop_front()
            {
                self.jobs.remove(&oldest);
            }
            self.order.push_back(job.clone());
        }
        self.jobs.entry(job.clone()).or_insert(JobEvidence {
            ran_well: false,
            failed_on: Vec::new(),
        })
    }
}
