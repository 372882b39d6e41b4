//! Crashes of workers and the tasks that may have caused them.
//!
//! A worker that answers as a later process has crashed, and its runs ended with it.
//! A task may cause this, again on each worker that starts it; but most of the lost
//! runs only ran beside, and workers also crash for other reasons. Each crash is
//! therefore weighed as evidence against the tasks on the worker:
//!
//! - It weighs most against a task that had just started, if it is the only such task,
//!   the worker had been steady, and no other worker was lost at about the same time
//!   without such a task. Among several, those with earlier evidence against them are
//!   suspected first.
//! - It weighs little against a task that had run for some time, and nothing if there
//!   are signs of another cause.
//! - It weighs least if a notable part of all workers was lost at the same moment, and
//!   not each of them had just started a task with earlier evidence against it.
//! - It is withdrawn once the task has run for longer than when the worker crashed.
//!
//! A workflow is given up when the evidence against one of its tasks suffices: after
//! two crashes at least, and after four that it has not outlived in any case. A smaller
//! weight of single crashes would cost more workers for each such task; a larger one
//! would give up workflows for crashes that happened by chance soon after a start.
//!
//! A worker may also be away for longer than a lease, or its crash may fall into a change
//! of owner. The run of a suspect that is lost this way is kept as an unconfirmed crash,
//! without weight: it only counts once two others are confirmed, and is withdrawn when
//! the worker reports how the run ended.
//!
//! How long the worker lived after the start of a run is measured between readings
//! of the worker's own clock, so that slow answers do not distort it.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    workflow::{CrashedRun, Failure, Run, TaskName},
};

use super::{Phase, Scheduler, TaskKey, Worker, WorkerKey, job::Task};

/// Time after the start of a run within which a crash is called prompt.
///
/// Covers the loading of a program and a report interval of a busy worker.
const PROMPT_MS: Millis = Millis(300);

/// Time after a crash at an address from which the worker there is taken as steady.
///
/// Some periods of a worker that crashes by turns, which are seconds.
const STEADY_AFTER_MS: Millis = Millis(30_000);

/// Largest difference between the times at which the loss of two workers is noticed that were lost
/// together: the longest time until a report is missed.
const LOSS_SPREAD_MS: Millis = Millis(1_500);

/// Largest difference between the times at which the loss of two workers is noticed that were lost
/// at the same moment and closed their connections.
const SAME_MOMENT_MS: Millis = Millis(100);

/// Part of all workers that is lost at the same moment in a mass outage only, in percent.
const MASS_OUTAGE_PERCENT: usize = 10;

/// Smallest number of workers in a mass outage.
const MIN_MASS_OUTAGE: usize = 3;

/// Time after an expired lease for which a worker may still turn out to have crashed.
const RETURN_TIMEOUT_MS: Millis = Millis(30_000);

/// Sum of the evidence against a task at which its workflow is given up.
const GIVE_UP_SUSPICION: u32 = 7;

/// Number of crashes, whatever their weight, at which a workflow is given up.
const GIVE_UP_CRASHES: usize = 4;

/// Number of confirmed crashes without which no workflow is given up.
const MIN_CONFIRMED: usize = 2;

/// Evidence of a prompt crash of a steady worker against the only suspect.
const SOLE_SUSPECT: u32 = 4;

/// Evidence of a crash against one of several suspects, or on a worker that was not steady.
const SHARED: u32 = 2;

/// Evidence of a crash against a task that is not among the first suspects.
const REMOTE: u32 = 1;

/// Crash of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Name of the worker's incarnation.
    pub worker: Arc<str>,
    /// Time from the first unanswered call to the discovery of the new incarnation.
    pub silent: Millis,
    /// Whether no other crash at the worker's address was recent.
    pub steady: bool,
    /// Signs of a cause outside the tasks.
    pub outage: Outage,
    /// Runs that were lost, most suspected first.
    pub runs: Vec<LostRun>,
}

/// Signs of a cause outside the tasks for the loss of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// No signs.
    None,
    /// Another worker was lost at about the same time, without a run that had just started.
    Other,
    /// A notable part of all workers was lost at the same moment.
    Mass,
}

/// Run that was lost when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// Name of the task.
    pub task: TaskName,
    /// Run that was lost.
    pub run: Run,
    /// Time for which the worker is known to have lived after the start of the run.
    pub survived: Millis,
    /// Evidence of this crash against the task.
    pub suspicion: u32,
    /// Evidence of all crashes against the task.
    pub total_suspicion: u32,
}

/// What on a worker may explain its loss, ordered from the least to the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Explanation {
    /// No run had just started.
    None,
    /// A run had just started.
    Start,
    /// A run of a task had just started against which there was earlier evidence.
    Suspect,
}

/// Loss of a worker by a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    at: MonoMs,
    explanation: Explanation,
}

impl Loss {
    fn is_within(self, spread: Millis, at: MonoMs) -> bool {
        self.at.since(at).max(at.since(self.at)) < spread
    }
}

/// Run on a worker that has crashed, or that was silent until its lease had expired.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    task: TaskKey,
    run: Run,
    survived: Millis,
    /// Upper bound of the time from the start of the run to the crash.
    age: Millis,
    /// Evidence of earlier crashes against the task.
    prior: u32,
}

impl Suspect {
    fn is_prompt(&self) -> bool {
        self.survived < PROMPT_MS
    }

    fn explanation(&self) -> Explanation {
        match (self.is_prompt(), self.prior) {
            (false, _) => Explanation::None,
            (true, 0) => Explanation::Start,
            (true, _) => Explanation::Suspect,
        }
    }

    /// Order in which tasks are suspected; a start just before counts like an earlier crash.
    fn rank(&self) -> u32 {
        self.prior + if self.is_prompt() { SHARED } else { 0 }
    }

    fn standing(&self, all: &[Suspect]) -> Standing {
        let above = all.iter().any(|other| other.rank() > self.rank());
        let equal = all.iter().filter(|other| other.rank() == self.rank());
        match (above, equal.count()) {
            (true, _) => Standing::Other,
            (false, 1) => Standing::Sole,
            (false, _) => Standing::First,
        }
    }

    /// Evidence of a crash against the task.
    fn evidence(&self, standing: Standing, steady: bool, outage: Outage) -> u32 {
        let prompt = self.is_prompt();
        if outage == Outage::Mass {
            return if prompt { REMOTE } else { 0 };
        }
        let only_tasks = steady && outage == Outage::None;
        match (prompt, only_tasks, standing) {
            (true, true, Standing::Sole) => SOLE_SUSPECT,
            (true, _, Standing::Sole | Standing::First) => SHARED,
            (true, _, Standing::Other) => REMOTE,
            (false, true, Standing::Sole) if self.prior > 0 => SHARED,
            (false, true, _) => REMOTE,
            (false, false, _) => 0,
        }
    }
}

/// Standing of a task among those that may have caused a crash.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Alone suspected first.
    Sole,
    /// One of several that are suspected first.
    First,
    /// Suspected less than another task.
    Other,
}

impl Task {
    /// Evidence against the task.
    pub(super) fn suspicion(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.suspicion).sum()
    }

    /// Whether the task is started apart from others, and only once its crashes are durable.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspicion() >= SHARED
    }

    /// Crashes that are known to have happened.
    fn confirmed_crashes(&self) -> impl Iterator<Item = &CrashedRun> {
        self.crashes.iter().filter(|crash| crash.suspicion > 0)
    }

    /// Whether the evidence against the task suffices to give up its workflow.
    fn is_to_be_given_up(&self) -> bool {
        let enough = self.suspicion() >= GIVE_UP_SUSPICION || self.crashes.len() >= GIVE_UP_CRASHES;
        enough && self.confirmed_crashes().count() >= MIN_CONFIRMED
    }

    /// Replaces an unconfirmed crash of the same run, if there is one.
    fn add_crash(&mut self, crash: CrashedRun) {
        self.crashes.retain(|known| known.run != crash.run);
        self.crashes.push(crash);
    }

    /// Records that a run of the predecessor's time may have crashed its worker unseen.
    pub(super) fn add_unseen_crash(&mut self) {
        self.add_crash(CrashedRun {
            run: self.run,
            worker: "unknown".into(),
            suspicion: 0,
            age: Millis(0),
        });
    }

    /// Whether a run lived on for longer than the one that was lost at a given age.
    fn has_outlived(&self, age: Millis) -> bool {
        self.longest_survived > age + PROMPT_MS
    }
}

impl Worker {
    /// Time for which the worker is known to have lived after a reading of its clock.
    fn survived(&self, started_clock_ms: Option<u64>) -> Millis {
        let survived_ms = started_clock_ms.map_or(0, |ms| self.clock_ms.saturating_sub(ms));
        Millis(survived_ms)
    }

    /// Records the order to start a task.
    pub(super) fn record_start(&mut self, is_suspect: bool, now: MonoMs) {
        self.started_at = now;
        if is_suspect {
            self.probation_until = now + PROMPT_MS;
        }
    }

    /// Whether a crash of the worker after a start now would have several possible causes.
    pub(super) fn blurs_evidence(&self, is_suspect: bool, now: MonoMs) -> bool {
        if is_suspect {
            now < self.started_at + PROMPT_MS || !self.is_steady(now)
        } else {
            now < self.probation_until
        }
    }

    /// Whether no process at the worker's address has crashed lately.
    pub(super) fn is_steady(&self, now: MonoMs) -> bool {
        now >= self.steady_from
    }

    /// Whether a lease expired on the worker that may turn out to have ended by a crash.
    pub(super) fn may_have_crashed(&self, now: MonoMs) -> bool {
        !self.expired.is_empty() && now < self.lease_until + RETURN_TIMEOUT_MS
    }
}

impl Scheduler {
    /// Records a reading of a worker's clock.
    pub fn record_clock(&mut self, key: WorkerKey, clock_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.clock_ms = worker.clock_ms.max(clock_ms);
        }
    }

    /// Removes a worker whose address belongs to one of another name, with all its runs.
    ///
    /// The other one refuses orders that were meant for this one.
    pub fn worker_replaced(&mut self, key: WorkerKey, now: MonoMs) {
        self.weigh_replacement(key, now);
        self.remove_worker(key);
    }

    /// Weighs the crash of a worker whose process was replaced by a later one.
    pub(super) fn weigh_replacement(&mut self, key: WorkerKey, now: MonoMs) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let is_new = worker.reported_at.is_none() && worker.tasks.is_empty();
        // It left as announced, or its crash is known and only its listing is out of date.
        if !worker.listing.draining && !is_new {
            self.weigh_crash(key, now);
        }
    }

    /// Takes the crashes since the last call, for the log.
    #[must_use]
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    /// Weighs a crash as evidence against the tasks on the worker.
    fn weigh_crash(&mut self, key: WorkerKey, now: MonoMs) {
        let suspects = self.suspects_on(key, now);
        let worker = &self.workers[key];
        let (name, address) = (worker.listing.name.clone(), worker.listing.address);
        let steady = worker.is_steady(now);
        let lost_at = worker.silent_since.unwrap_or(now);
        let explanation = suspects.iter().map(Suspect::explanation).max();
        let loss = Loss {
            at: lost_at,
            explanation: explanation.unwrap_or(Explanation::None),
        };
        let outage = self.outage_at(key, loss);
        self.losses.push(loss);
        self.crashed_at.insert(address, now);
        let mut runs = Vec::new();
        for suspect in &suspects {
            let standing = suspect.standing(&suspects);
            let suspicion = suspect.evidence(standing, steady, outage);
            runs.push(LostRun {
                task: self.name(suspect.task),
                run: suspect.run,
                survived: suspect.survived,
                suspicion,
                total_suspicion: suspect.prior + suspicion,
            });
            self.record_crash(suspect, suspicion, &name);
        }
        runs.sort_by_key(|run| (Reverse(run.total_suspicion), run.survived));
        self.crashes.push(Crash {
            worker: name,
            silent: now.since(lost_at),
            steady,
            outage,
            runs,
        });
    }

    /// Signs of a cause outside the tasks for the loss of a worker.
    fn outage_at(&self, key: WorkerKey, loss: Loss) -> Outage {
        let silent = self.workers.iter().filter(|(other, _)| *other != key);
        let silent = silent.filter_map(|(_, worker)| self.loss_of(worker));
        let others: Vec<Loss> = self.losses.iter().copied().chain(silent).collect();
        let together = others
            .iter()
            .filter(|other| other.is_within(SAME_MOMENT_MS, loss.at))
            .chain([&loss]);
        let without_suspect = |other: &Loss| other.explanation < Explanation::Suspect;
        let mass = (self.workers.len() * MASS_OUTAGE_PERCENT / 100).max(MIN_MASS_OUTAGE);
        let unexplained = |other: &Loss| {
            other.is_within(LOSS_SPREAD_MS, loss.at) && other.explanation == Explanation::None
        };
        if together.clone().any(without_suspect) && together.count() >= mass {
            Outage::Mass
        } else if others.iter().any(unexplained) {
            Outage::Other
        } else {
            Outage::None
        }
    }

    /// Loss of a worker that is silent, as if it had crashed.
    fn loss_of(&self, worker: &Worker) -> Option<Loss> {
        let at = worker.silent_since?;
        let runs = self.runs_on(worker, at);
        let explanation = runs.chain(worker.expired.iter().copied());
        let explanation = explanation.map(|run| run.explanation()).max();
        Some(Loss {
            at,
            explanation: explanation.unwrap_or(Explanation::None),
        })
    }

    /// Runs that are assigned to a worker that was lost at the given time, and those that go on beside a copy.
    fn runs_on<'a>(
        &'a self,
        worker: &'a Worker,
        lost_at: MonoMs,
    ) -> impl Iterator<Item = Suspect> + 'a {
        let assigned = worker.tasks.iter().filter_map(move |(&key, assigned)| {
            let task = self.jobs.get(key.job)?.task(key)?;
            Some(Suspect {
                task: key,
                run: assigned.run,
                survived: worker.survived(task.started_clock_ms),
                age: lost_at.since(task.ordered_at),
                prior: task.suspicion(),
            })
        });
        let earlier = worker.leftovers.iter().filter_map(move |left| {
            let key = self.task_key(left.task)?;
            let earlier = self.copies.earlier(key, left.run)?;
            Some(Suspect {
                task: key,
                run: left.run,
                survived: worker.survived(earlier.started_clock_ms),
                age: lost_at.since(earlier.ordered_at),
                prior: self.jobs[key.job].task(key)?.suspicion(),
            })
        });
        assigned.chain(earlier)
    }

    /// Runs on a worker whose tasks may have crashed it.
    fn suspects_on(&mut self, key: WorkerKey, now: MonoMs) -> Vec<Suspect> {
        self.keep_runs(key, now);
        let suspects = std::mem::take(&mut self.workers[key].expired);
        let still_suspected = |suspect: Suspect| {
            let job = self.jobs.get(suspect.task.job)?;
            let task = job.task(suspect.task).filter(|_| job.is_open())?;
            let mut confirmed = task.confirmed_crashes();
            let is_known = confirmed.any(|crash| crash.run == suspect.run);
            let is_cleared = task.phase == Phase::Done || task.has_outlived(suspect.age);
            let prior = task.suspicion();
            (!is_known && !is_cleared).then_some(Suspect { prior, ..suspect })
        };
        suspects.into_iter().filter_map(still_suspected).collect()
    }

    /// Keeps the runs on a worker whose lease has expired, for when it answers again.
    ///
    /// Those of suspects that had just started are taken as unconfirmed crashes.
    pub(super) fn expire_runs(&mut self, key: WorkerKey, now: MonoMs) {
        self.keep_runs(key, now);
        let worker = &self.workers[key];
        for suspect in worker.expired.iter().filter(|suspect| suspect.is_prompt()) {
            // Workflows may have ended since their runs were kept.
            let job = self.jobs.get_mut(suspect.task.job);
            let Some(task) = job.and_then(|job| job.find_task_mut(suspect.task)) else {
                continue;
            };
            if task.is_suspect() {
                task.add_crash(CrashedRun {
                    run: suspect.run,
                    worker: worker.listing.name.clone(),
                    suspicion: 0,
                    age: suspect.age,
                });
                self.unsaved.insert(suspect.task.job);
                self.suspects.push(suspect.task);
            }
        }
    }

    /// Keeps the runs on a worker that may have crashed.
    fn keep_runs(&mut self, key: WorkerKey, now: MonoMs) {
        let worker = &self.workers[key];
        if worker.listing.draining {
            return;
        }
        let lost_at = worker.silent_since.unwrap_or(now);
        let suspects: Vec<Suspect> = self.runs_on(worker, lost_at).collect();
        for suspect in &suspects {
            let task = self.jobs[suspect.task.job].task_mut(suspect.task);
            task.longest_survived = task.longest_survived.max(suspect.survived);
        }
        self.workers[key].expired.extend(suspects);
    }

    fn record_crash(&mut self, suspect: &Suspect, suspicion: u32, worker: &Arc<str>) {
        if suspicion == 0 {
            return;
        }
        let job = &mut self.jobs[suspect.task.job];
        let task = job.task_mut(suspect.task);
        task.add_crash(CrashedRun {
            run: suspect.run,
            worker: worker.clone(),
            suspicion,
            age: suspect.age,
        });
        if task.is_suspect() {
            task.crash_unsaved = true;
            job.unsaved_crashes.push(suspect.task);
        }
        self.unsaved.insert(suspect.task.job);
        self.suspects.push(suspect.task);
    }

    /// Records how long a worker has lived with a run, and withdraws crashes that it has outlived.
    pub(super) fn record_survival(&mut self, key: TaskKey, worker: WorkerKey) {
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        let job = &mut self.jobs[key.job];
        let task = job.task_mut(key);
        let survived = worker.survived(task.started_clock_ms);
        task.longest_survived = task.longest_survived.max(survived);
        let oldest = task.crashes.iter().map(|crash| crash.age).max();
        if oldest.is_some_and(|age| task.has_outlived(age)) {
            task.crashes.clear();
            self.unsaved.insert(key.job);
        }
    }

    /// Gives up the workflows of tasks with enough evidence against them.
    pub(super) fn give_up_suspects(&mut self, wall: WallMs) {
        for key in std::mem::take(&mut self.suspects) {
            let Some(task) = self.jobs.get(key.job).and_then(|job| job.task(key)) else {
                continue;
            };
            if !task.is_to_be_given_up() {
                continue;
            }
            let crashes = task.confirmed_crashes();
            let failure = Failure::Crashes {
                task: self.name(key),
                workers: crashes.map(|crash| crash.worker.clone()).collect(),
            };
            self.fail_job(key.job, failure, wall);
        }
    }

    /// Time from which a worker at an address is taken as steady.
    pub(super) fn steady_from(&self, address: SocketAddr) -> MonoMs {
        let crashed_at = self.crashed_at.get(&address);
        crashed_at.map_or(MonoMs(0), |&at| at + STEADY_AFTER_MS)
    }

    /// Forgets crashes that no longer matter.
    pub(super) fn forget_crashes(&mut self, now: MonoMs) {
        self.crashed_at
            .retain(|_, at| now.since(*at) < STEADY_AFTER_MS);
        self.losses
            .retain(|loss| now.since(loss.at) < STEADY_AFTER_MS);
    }
}
