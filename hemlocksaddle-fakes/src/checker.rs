//! Checks the behaviour of the nodes from the platform's side.
//!
//! The checker observes the log, the workers, the targets and the responses to
//! callers. It does not rely on what a node reports about itself, except for the
//! documents that a node has applied. A violation is recorded with its rule, time
//! and detail; the run continues, so that one fault does not hide another.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use hemlocksaddle_node::invariant::Invariant;
use hemlocksaddle_types::{
    clock::Millis,
    document::{Document, Revision},
    job::{Attempt, JobId, JobSpec, TaskEnd, TaskId},
    name::{DataCentre, NodeName, ServiceName, WorkerName},
    outcome::{ResultCode, RunState},
    record::{Batch, Publish, Record, Stream},
    resources::Resources,
    unit::Term,
    worker::StartTask,
};

use crate::runtime::SimRuntime;

/// Time after a data centre is marked out during which tasks may still start there.
const OUT_GRACE_MS: u64 = 4_000;
/// Time within which every node must apply an accepted document.
const DOCUMENT_PROPAGATION_MS: u64 = 15_000;
/// Maximum appends per second of all nodes together.
const APPENDS_PER_SECOND: usize = 300;
/// Window over which appends are counted.
const APPEND_WINDOW_US: u64 = 5_000_000;

/// Rule that the checker enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Invariant that must always hold.
    Invariant(Invariant),
    /// More requests at an executor than it has slots.
    Slots,
    /// More connections to an executor than it accepts.
    Connections,
    /// Accepted document not applied by a node in time.
    ConfigurationLate,
    /// More appends per second than the log accepts.
    LogBudget,
    /// Accepted work, or another operation, that did not finish.
    Unsettled,
}

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// True time since the start of the run.
    pub at: Millis,
    /// Rule.
    pub rule: Rule,
    /// What was observed.
    pub detail: String,
}

/// State of a task, derived from its starts and ends.
#[derive(Default)]
struct TaskHistory {
    attempt: Attempt,
    worker: Option<WorkerName>,
    /// Highest attempt whose end is in the log.
    last_logged_end: Attempt,
    completed: bool,
    ran_to_end: bool,
    /// Checkpoints from which the next attempt may resume; `None` is a start without a checkpoint.
    resume_points: Vec<Option<Arc<str>>>,
    /// Resume point of the next attempt as recorded in the log, if it is recorded there.
    logged_resume_point: Option<Option<Arc<str>>>,
}

#[derive(Default)]
struct State {
    violations: Vec<Violation>,
    last_batches: BTreeMap<(Stream, NodeName, u64), u64>,
    terms: BTreeMap<Stream, Term>,
    documents: BTreeMap<ServiceName, (Revision, u64)>,
    applied_revisions: BTreeMap<(NodeName, u64, ServiceName), Revision>,
    out_since_ms: BTreeMap<(Arc<str>, DataCentre), u64>,
    jobs: BTreeMap<JobId, JobSpec>,
    results: BTreeMap<JobId, ResultCode>,
    tasks: BTreeMap<TaskId, TaskHistory>,
    started_keys: BTreeSet<Arc<str>>,
    run_counts: BTreeMap<Arc<str>, u32>,
    refused_tags: BTreeSet<Arc<str>>,
    recent_appends_us: VecDeque<u64>,
}

/// Checker of one run, with its observations and violations.
pub struct Checker {
    sim: SimRuntime,
    state: RefCell<State>,
    counts: Cell<Counts>,
}

/// Counters of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Appends that reached the log.
    pub appends: u64,
    /// Task starts.
    pub starts: u64,
    /// Tasks that were stopped, or lost their lease, with a checkpoint.
    pub evictions: u64,
    /// Completed work of tasks, in core milliseconds.
    pub work_core_ms: u64,
    /// Requests to executors whose connection was closed before they completed.
    pub aborted_requests: u64,
}

impl Checker {
    /// Creates a checker without observations.
    #[must_use]
    pub fn new(sim: &SimRuntime) -> Checker {
        Checker {
            sim: sim.clone(),
            state: RefCell::default(),
            counts: Cell::default(),
        }
    }

    /// Counters so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    fn count(&self, count: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        count(&mut counts);
        self.counts.set(counts);
    }

    /// Records a request whose connection was closed before it completed.
    pub fn request_aborted(&self) {
        self.count(|counts| counts.aborted_requests += 1);
    }

    /// Records completed work.
    pub fn work_done(&self, core_ms: u64) {
        self.count(|counts| counts.work_core_ms += core_ms);
    }

    /// Violations so far.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.state.borrow().violations.clone()
    }

    /// Records a violation.
    pub fn report(&self, rule: Rule, detail: String) {
        let at = self.sim.now();
        let violation = Violation { at, rule, detail };
        self.state.borrow_mut().violations.push(violation);
    }

    fn check(&self, holds: bool, invariant: Invariant, detail: impl FnOnce() -> String) {
        if !holds {
            self.report(Rule::Invariant(invariant), detail());
        }
    }

    /// Counts an append that reached the log.
    pub fn appended(&self) {
        self.count(|counts| counts.appends += 1);
        let now_us = self.sim.now_us();
        let count = {
            let times = &mut self.state.borrow_mut().recent_appends_us;
            times.push_back(now_us);
            while times
                .front()
                .is_some_and(|at| at + APPEND_WINDOW_US < now_us)
            {
                times.pop_front();
            }
            times.len()
        };
        let limit = APPENDS_PER_SECOND * 5;
        if count > limit {
            self.report(
                Rule::LogBudget,
                format!("{count} appends in 5 s, at most {limit}"),
            );
            self.state.borrow_mut().recent_appends_us.clear();
        }
    }

    /// Records a batch in the log, unless readers ignore it as a duplicate or for its old term.
    pub fn batch_logged(&self, stream: Stream, batch: &Batch) {
        let writer = (stream, batch.id.node.clone(), batch.id.started_ms);
        {
            let state = &mut *self.state.borrow_mut();
            let last = state.last_batches.entry(writer).or_default();
            let term = state.terms.entry(stream).or_default();
            if batch.id.number <= *last || batch.term < *term {
                return;
            }
            (*last, *term) = (batch.id.number, batch.term);
        }
        for record in &batch.records {
            match record {
                Record::Publish(publish) => self.published(publish),
                Record::JobAccepted { job, spec, .. } => {
                    self.state.borrow_mut().jobs.insert(*job, spec.clone());
                }
                Record::JobEnded { job, result, .. } => self.job_ended(*job, *result),
                Record::TaskEnded { task, attempt, .. } => self.end_logged(*task, *attempt, None),
                Record::TaskRequeued {
                    task,
                    attempt,
                    checkpoint,
                } => {
                    let resume_point = checkpoint
                        .as_ref()
                        .map(|checkpoint| checkpoint.name.clone());
                    self.end_logged(*task, *attempt, Some(resume_point));
                }
                _ => {}
            }
        }
    }

    fn job_ended(&self, job: JobId, result: ResultCode) {
        let Some(spec) = self.spec(job) else {
            return;
        };
        let before = self.state.borrow_mut().results.insert(job, result);
        self.check(
            before.is_none_or(|before| before == result),
            Invariant::OwnAnswer,
            || format!("job {job} ended with {before:?} and then with {result:?}"),
        );
        if let (RunState::NotRun, Some(key)) = (result.run_state(), &spec.key) {
            self.refused(&key.clone().into());
        }
        let completed = {
            let state = self.state.borrow();
            let tasks = (0..spec.tasks).filter_map(|index| state.tasks.get(&TaskId { job, index }));
            tasks.filter(|task| task.ran_to_end).count()
        };
        let complete = result != ResultCode::Completed || completed == spec.tasks as usize;
        self.check(complete, Invariant::OwnAnswer, || {
            format!(
                "job {job} is reported as completed, with {completed} of {} tasks",
                spec.tasks
            )
        });
    }

    /// Jobs that are accepted but not ended in the log.
    #[must_use]
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let state = self.state.borrow();
        let jobs = state
            .jobs
            .keys()
            .filter(|job| !state.results.contains_key(job));
        jobs.copied().collect()
    }

    /// Number of accepted jobs in the log.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.state.borrow().jobs.len()
    }

    /// Result of a job in the log.
    #[must_use]
    pub fn result(&self, job: JobId) -> Option<ResultCode> {
        self.state.borrow().results.get(&job).copied()
    }

    fn published(&self, publish: &Publish) {
        let Ok(document) = Document::try_from(publish.text.clone()) else {
            return;
        };
        let source = publish.service.as_str();
        {
            let documents = &mut self.state.borrow_mut().documents;
            let entry = documents.entry(publish.service.clone()).or_default();
            if entry.0 != publish.expected || document.service != publish.service {
                return;
            }
            *entry = (Revision(publish.expected.0 + 1), self.sim.now().0);
        }
        let out = &document.data_centres_out;
        self.retain_out(source, |data_centre| out.contains(data_centre));
        out.iter().for_each(|name| self.mark_out(source, name));
    }

    fn retain_out(&self, source: &str, is_out: impl Fn(&DataCentre) -> bool) {
        let out = &mut self.state.borrow_mut().out_since_ms;
        out.retain(|(from, data_centre), _| **from != *source || is_out(data_centre));
    }

    /// Records that a source shows a data centre as out from now on.
    pub fn mark_out(&self, source: &str, data_centre: &DataCentre) {
        let key = (Arc::from(source), data_centre.clone());
        let now = self.sim.now().0;
        self.state
            .borrow_mut()
            .out_since_ms
            .entry(key)
            .or_insert(now);
    }

    /// Records that a source no longer shows a data centre as out.
    pub fn mark_in(&self, source: &str, data_centre: &DataCentre) {
        self.retain_out(source, |out| out != data_centre);
    }

    /// Checks the documents that a node has applied.
    ///
    /// `started_ms` is the start time of the node. `fault_free_ms` is the time since that start or
    /// since the last fault that may delay documents, whichever is shorter.
    pub fn documents_applied(
        &self,
        node: &NodeName,
        started_ms: u64,
        documents: &[(ServiceName, Revision)],
        fault_free_ms: u64,
    ) {
        let now = self.sim.now().0;
        let mut late = Vec::new();
        for (service, (accepted, at_ms)) in &self.state.borrow().documents {
            let found = documents.iter().find(|(name, _)| name == service);
            let revision = found.map_or(Revision(0), |(_, revision)| *revision);
            if revision < *accepted
                && now.saturating_sub(*at_ms).min(fault_free_ms) > DOCUMENT_PROPAGATION_MS
            {
                late.push(format!(
                    "{node} has {service} at {revision:?}, accepted is {accepted:?}"
                ));
            }
        }
        late.into_iter()
            .for_each(|detail| self.report(Rule::ConfigurationLate, detail));
        for (service, revision) in documents {
            let key = (node.clone(), started_ms, service.clone());
            let before = self
                .state
                .borrow_mut()
                .applied_revisions
                .insert(key, *revision);
            self.check(
                before <= Some(*revision),
                Invariant::ConfigurationNeverReverts,
                || format!("{node} reverted {service} from {before:?} to {revision:?}"),
            );
        }
    }

    /// Specification of a job in the log.
    #[must_use]
    pub fn spec(&self, job: JobId) -> Option<JobSpec> {
        self.state.borrow().jobs.get(&job).cloned()
    }

    /// Checks the start of an attempt on a worker.
    pub fn task_started(
        &self,
        order: &StartTask,
        worker: &WorkerName,
        data_centre: Option<&DataCentre>,
    ) {
        self.count(|counts| counts.starts += 1);
        if let Some(data_centre) = data_centre {
            self.check_data_centre(order, data_centre);
        }
        self.check_runs(order);
        self.check_placement(order, worker);
    }

    fn check_data_centre(&self, order: &StartTask, data_centre: &DataCentre) {
        let now = self.sim.now().0;
        let since = {
            let state = self.state.borrow();
            let matching = state
                .out_since_ms
                .iter()
                .filter(|((_, out), _)| out == data_centre);
            matching.map(|(_, since)| *since).min()
        };
        let in_time = since.is_none_or(|since| now <= since + OUT_GRACE_MS);
        self.check(in_time, Invariant::NoStartInOutDataCentre, || {
            format!(
                "{:?} started in {data_centre}, out since {since:?} ms",
                order.task
            )
        });
    }

    fn check_placement(&self, order: &StartTask, worker: &WorkerName) {
        let resume_point = order
            .checkpoint
            .as_ref()
            .map(|checkpoint| checkpoint.name.clone());
        let (single, resumes, before) = {
            let state = &mut self.state.borrow_mut();
            let history = state.tasks.entry(order.task).or_default();
            let single =
                history.worker.is_none() && order.attempt > history.attempt && !history.completed;
            let first = history.attempt == Attempt(0);
            let logged_resume_point = history.logged_resume_point.take();
            let resumes = (first && resume_point.is_none())
                || logged_resume_point.map_or_else(
                    || history.resume_points.contains(&resume_point),
                    |known| known == resume_point,
                );
            let before = (history.attempt, history.worker.replace(worker.clone()));
            history.attempt = order.attempt;
            history.resume_points = vec![resume_point.clone()];
            (single, resumes, before)
        };
        self.check(single, Invariant::SinglePlace, || {
            format!(
                "{:?} {:?} started on {worker} after {before:?}",
                order.task, order.attempt
            )
        });
        self.check(resumes, Invariant::ResumeOnce, || {
            format!(
                "{:?} {:?} resumes from {resume_point:?} after {before:?}",
                order.task, order.attempt
            )
        });
    }

    fn check_runs(&self, order: &StartTask) {
        let Some(spec) = self.spec(order.task.job) else {
            return;
        };
        let ran = self.state.borrow().tasks.contains_key(&order.task);
        let once = spec.idempotent || spec.resumable || !ran;
        self.check(once, Invariant::AtMostOnce, || {
            let (task, attempt) = (order.task, order.attempt);
            format!("{task:?} {attempt:?} of a non-idempotent job that ran before")
        });
        let Some(key) = spec.key else {
            return;
        };
        let key: Arc<str> = key.into();
        let refused = self.state.borrow().refused_tags.contains(&key);
        self.check(!refused, Invariant::TruthfulRefusal, || {
            format!(
                "{:?} of {key} started after it was reported as not run",
                order.task
            )
        });
        self.state.borrow_mut().started_keys.insert(key);
    }

    /// Records the end of an attempt; `None` if it was lost with its worker.
    pub fn task_ended(&self, task: TaskId, attempt: Attempt, end: Option<&TaskEnd>) {
        let state = &mut self.state.borrow_mut();
        let history = state.tasks.entry(task).or_default();
        if history.attempt != attempt {
            return;
        }
        history.worker = None;
        history.ran_to_end |= end == Some(&TaskEnd::Completed);
        if let Some(checkpoint) = end.and_then(checkpoint_of) {
            self.count(|counts| counts.evictions += 1);
            history.resume_points.push(Some(checkpoint));
        }
    }

    /// Records that the end of an attempt is in the log, and checks the resume point of a requeued
    /// task.
    fn end_logged(&self, task: TaskId, attempt: Attempt, resume_point: Option<Option<Arc<str>>>) {
        let resumes = {
            let state = &mut self.state.borrow_mut();
            let history = state.tasks.entry(task).or_default();
            history.last_logged_end = history.last_logged_end.max(attempt);
            if history.attempt != attempt {
                return;
            }
            history.completed = resume_point.is_none();
            history.logged_resume_point.clone_from(&resume_point);
            let mut known = resume_point.iter();
            known.all(|resume_point| history.resume_points.contains(resume_point))
        };
        self.check(resumes, Invariant::ResumeOnce, || {
            format!("{task:?} {attempt:?} is logged to resume from {resume_point:?}")
        });
    }

    /// Checks that the end of an attempt is in the log when it is acknowledged to the worker.
    pub fn end_acknowledged(&self, task: TaskId, attempt: Attempt) {
        let is_durable = {
            let state = self.state.borrow();
            let last_logged_end = state
                .tasks
                .get(&task)
                .map(|history| history.last_logged_end);
            last_logged_end >= Some(attempt) || state.results.contains_key(&task.job)
        };
        self.check(is_durable, Invariant::ResumeOnce, || {
            format!("the end of {task:?} {attempt:?} is acknowledged but not in the log")
        });
    }

    /// Checks the resources committed on a worker against its capacity.
    pub fn resources_committed(
        &self,
        worker: &WorkerName,
        committed: Resources,
        capacity: &Resources,
    ) {
        self.check(committed.fits_in(capacity), Invariant::HostCapacity, || {
            format!("{worker} has {committed:?} committed of {capacity:?}")
        });
    }

    /// Checks the start of a request at an executor; the caller's tag identifies it.
    pub fn request_started(&self, tag: &Arc<str>, idempotent: bool) {
        let (runs, refused) = {
            let state = &mut self.state.borrow_mut();
            let runs = state.run_counts.entry(tag.clone()).or_default();
            *runs += 1;
            (*runs, state.refused_tags.contains(tag))
        };
        self.check(idempotent || runs == 1, Invariant::AtMostOnce, || {
            format!("non-idempotent request {tag} runs {runs} times")
        });
        self.check(!refused, Invariant::TruthfulRefusal, || {
            format!("request {tag} started after it was reported as not run")
        });
    }

    /// Checks the response to a synchronous request.
    pub fn response_received(&self, tag: &Arc<str>, code: ResultCode, body_matches: bool) {
        let runs = self
            .state
            .borrow()
            .run_counts
            .get(tag)
            .copied()
            .unwrap_or(0);
        if code.run_state() == RunState::NotRun {
            self.refused(tag);
        }
        let done = code.run_state() == RunState::Done;
        self.check(
            !done || (runs > 0 && body_matches),
            Invariant::OwnAnswer,
            || format!("request {tag} has a wrong body or did not run; it has {runs} runs"),
        );
    }

    /// Checks the refusal of a request or job that is reported as not run.
    pub fn refused(&self, tag: &Arc<str>) {
        let ran = {
            let state = &mut self.state.borrow_mut();
            state.refused_tags.insert(tag.clone());
            state.run_counts.contains_key(tag) || state.started_keys.contains(tag)
        };
        self.check(!ran, Invariant::TruthfulRefusal, || {
            format!("{tag} is reported as not run, but it ran")
        });
    }

    /// Records that a refused request or job is submitted again under its key.
    pub fn submitted_again(&self, tag: &Arc<str>) {
        self.state.borrow_mut().refused_tags.remove(tag);
    }
}

fn checkpoint_of(end: &TaskEnd) -> Option<Arc<str>> {
    match end {
        TaskEnd::Stopped(Some(checkpoint)) | TaskEnd::LeaseLapsed(Some(checkpoint)) => {
            Some(checkpoint.name.clone())
        }
        _ => None,
    }
}
