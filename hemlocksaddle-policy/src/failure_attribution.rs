//! Attribution of task failures to workers or to jobs.
//!
//! A failure is evidence against both the worker and the job. It counts against the
//! worker only if the job is not known to fail on other workers, and against the
//! job only if the worker is not suspect. A worker becomes suspect when, with no
//! success in between, two tasks fail on it whose jobs have succeeded, or
//! tasks of three distinct jobs that are not known to fail elsewhere.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use foldhash::fast::FixedState;

/// Number of failed tasks whose jobs have succeeded at which a worker becomes suspect.
const MIN_GOOD_JOB_FAILURES: usize = 2;
/// Number of distinct failing jobs at which a worker becomes suspect.
const MIN_DISTINCT_JOBS: usize = 3;
/// Number of workers that are not suspect and on which a job must have failed to count as bad.
pub const MIN_BAD_JOB_WORKERS: usize = 3;
/// Maximum number of failures kept per worker; the oldest are evicted first.
const MAX_FAILURES: usize = 16;
/// Maximum number of jobs kept; the oldest are evicted first.
const MAX_JOBS: usize = 4_096;

#[derive(Clone, Debug)]
struct JobEvidence<W> {
    has_succeeded: bool,
    failed_on: Vec<W>,
}

/// Evidence about workers and jobs.
#[derive(Clone, Debug)]
pub struct FailureAttribution<W, J> {
    failures: HashMap<W, VecDeque<J>, FixedState>,
    jobs: HashMap<J, JobEvidence<W>, FixedState>,
    insertion_order: VecDeque<J>,
}

impl<W, J> Default for FailureAttribution<W, J> {
    fn default() -> FailureAttribution<W, J> {
        FailureAttribution {
            failures: HashMap::with_hasher(FixedState::default()),
            jobs: HashMap::with_hasher(FixedState::default()),
            insertion_order: VecDeque::new(),
        }
    }
}

impl<W: Eq + Hash + Clone, J: Eq + Hash + Clone> FailureAttribution<W, J> {
    /// Records a task that succeeded.
    pub fn record_success(&mut self, worker: &W, job: &J) {
        self.failures.remove(worker);
        self.evidence_mut(job).has_succeeded = true;
    }

    /// Records a task that failed.
    pub fn record_failure(&mut self, worker: &W, job: &J) {
        let evidence = self.evidence_mut(job);
        if !evidence.failed_on.contains(worker) {
            evidence.failed_on.push(worker.clone());
        }
        let failures = self.failures.entry(worker.clone()).or_default();
        if failures.len() == MAX_FAILURES {
            failures.pop_front();
        }
        failures.push_back(job.clone());
    }

    /// Whether the worker itself is the likely cause of its failures.
    #[must_use]
    pub fn is_suspect(&self, worker: &W) -> bool {
        let Some(failures) = self.failures.get(worker) else {
            return false;
        };
        let known_good = failures
            .iter()
            .filter(|job| self.has_succeeded(job))
            .count();
        let mut distinct: Vec<&J> = Vec::new();
        for job in failures
            .iter()
            .filter(|job| !self.fails_elsewhere(job, worker))
        {
            if !distinct.contains(&job) {
                distinct.push(job);
            }
        }
        known_good >= MIN_GOOD_JOB_FAILURES || distinct.len() >= MIN_DISTINCT_JOBS
    }

    /// Whether a job has failed on [`MIN_BAD_JOB_WORKERS`] workers that are not suspect.
    #[must_use]
    pub fn is_bad_job(&self, job: &J) -> bool {
        let Some(evidence) = self.jobs.get(job) else {
            return false;
        };
        let good = evidence.failed_on.iter().filter(|w| !self.is_suspect(w));
        good.count() >= MIN_BAD_JOB_WORKERS
    }

    fn has_succeeded(&self, job: &J) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|evidence| evidence.has_succeeded)
    }

    fn fails_elsewhere(&self, job: &J, worker: &W) -> bool {
        let evidence = self.jobs.get(job);
        evidence
            .is_some_and(|e| !e.has_succeeded && e.failed_on.iter().any(|other| other != worker))
    }

    fn evidence_mut(&mut self, job: &J) -> &mut JobEvidence<W> {
        if !self.jobs.contains_key(job) {
            if self.insertion_order.len() == MAX_JOBS
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.jobs.remove(&oldest);
            }
            self.insertion_order.push_back(job.clone());
        }
        self.jobs.entry(job.clone()).or_insert(JobEvidence {
            has_succeeded: false,
            failed_on: Vec::new(),
        })
    }
}
