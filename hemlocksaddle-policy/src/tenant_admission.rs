//! Refusal of work that a tenant cannot run in time.
//!
//! A tenant that sends more than it may run fills its own queue only, but each further submission waits behind
//! it and ends too late to be worth anything. Such a submission is refused at once, with the time after which the
//! queue is short enough. Work is late beyond its completion target, and worth nothing beyond three times that.
//! Long-running and scheduled work is useful at any time, so it is refused only if the tenant has accepted many
//! times what its cap lets it run.
//!
//! Amounts of work are resources multiplied by declared run times. Work that is more urgent than the submission
//! or as urgent comes before it; the caller leaves out the rest.

use hemlocksaddle_types::{
    clock::Millis,
    resources::Resources,
    workflow::{Queue, Step, Workflow},
};

use crate::usefulness::{is_useful_any_time, longest_chain, useful_for};

/// Multiple of its cap up to which a tenant's long-running work is accepted: two generations of it while it is
/// replaced, several times over.
const MAX_QUEUED_CAPS: u64 = 10;

/// Longest time after which a refused caller is asked to retry; the configuration may change meanwhile.
const MAX_RETRY_AFTER_S: u32 = 60;

/// Amount of work: resources multiplied by the time for which they are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Processor time in thousandths of a core, multiplied by milliseconds.
    pub cpu_milli_ms: u64,
    /// Memory in MB, multiplied by milliseconds.
    pub memory_mb_ms: u64,
    /// Accelerators, multiplied by milliseconds.
    pub accelerators_ms: u64,
}

impl Backlog {
    /// Adds tasks that use resources for some time each.
    pub fn add_tasks(&mut self, tasks: u32, demand: &Resources, time: Millis) {
        let amount = |each: u64| each.saturating_mul(time.0).saturating_mul(tasks.into());
        self.add(&Backlog {
            cpu_milli_ms: amount(demand.cpu_milli),
            memory_mb_ms: amount(demand.memory_mb),
            accelerators_ms: amount(demand.accelerators),
        });
    }

    /// Adds other work.
    pub fn add(&mut self, other: &Backlog) {
        self.cpu_milli_ms = self.cpu_milli_ms.saturating_add(other.cpu_milli_ms);
        self.memory_mb_ms = self.memory_mb_ms.saturating_add(other.memory_mb_ms);
        self.accelerators_ms = self.accelerators_ms.saturating_add(other.accelerators_ms);
    }

    /// Time in which the work is done at a rate.
    #[must_use]
    pub fn time_at(&self, rate: &Rate) -> Millis {
        let time = |amount: u64, rate: Option<u64>| match rate {
            Some(rate) if amount > 0 => amount.checked_div(rate).unwrap_or(u64::MAX),
            _ => 0,
        };
        let times = [
            time(self.cpu_milli_ms, rate.cpu_milli),
            time(self.memory_mb_ms, rate.memory_mb),
            time(self.accelerators_ms, rate.accelerators),
        ];
        Millis(times.into_iter().max().unwrap_or_default())
    }
}

/// Resources that a tenant may have in use for work that ends; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rate {
    /// Processor time in thousandths of a core.
    pub cpu_milli: Option<u64>,
    /// Memory in MB.
    pub memory_mb: Option<u64>,
    /// Number of accelerators.
    pub accelerators: Option<u64>,
}

impl Rate {
    fn of(limit: &Resources, in_use: &Resources) -> Rate {
        let left = |limit: u64, in_use: u64| (limit > 0).then(|| limit.saturating_sub(in_use));
        Rate {
            cpu_milli: left(limit.cpu_milli, in_use.cpu_milli),
            memory_mb: left(limit.memory_mb, in_use.memory_mb),
            accelerators: left(limit.accelerators, in_use.accelerators),
        }
    }

    /// What a cap leaves beside long-running tasks.
    #[must_use]
    pub fn under_cap(cap: &Resources, long_running: &Resources) -> Rate {
        Rate::of(cap, long_running)
    }

    /// What a share of a capacity leaves beside long-running tasks, while all of it is in use.
    #[must_use]
    pub fn of_share(
        capacity: &Resources,
        weight: u64,
        total_weight: u64,
        long_running: &Resources,
    ) -> Rate {
        let share = |whole: u64| {
            let share = u128::from(whole) * u128::from(weight) / u128::from(total_weight.max(1));
            u64::try_from(share).unwrap_or(u64::MAX).min(whole)
        };
        let share = Resources {
            cpu_milli: share(capacity.cpu_milli),
            memory_mb: share(capacity.memory_mb),
            accelerators: share(capacity.accelerators),
        };
        Rate::of(&share, long_running)
    }
}

/// Work of a tenant that comes before a submission, and the rate at which it is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// Work before the submission.
    pub backlog: Backlog,
    /// Rate at which it is done, and then the submission.
    pub rate: Rate,
}

/// Work of a submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Work of the tasks that end.
    pub work: Backlog,
    /// Longest chain of steps that depend on each other.
    pub chain: Millis,
    /// Time from the submission until its work is worth nothing.
    pub worthless_after: Millis,
    /// Resources of the long-running tasks.
    pub long_running: Resources,
    /// Whether the work is useful at any time.
    pub is_useful_any_time: bool,
}

impl Request {
    /// Work of a workflow, by the run times that it declares.
    #[must_use]
    pub fn new(workflow: &Workflow, queue: &Queue) -> Request {
        let mut request = Request::default();
        for step in &workflow.steps {
            if step.long_running {
                request.long_running += demand_of(step.tasks, step);
            } else {
                let time = Millis(step.expected_run_ms);
                request.work.add_tasks(step.tasks, &step.demand, time);
            }
        }
        request.is_useful_any_time = is_useful_any_time(workflow);
        request.chain = longest_chain(&workflow.steps);
        request.worthless_after = useful_for(workflow, queue);
        request
    }
}

/// Resources of a number of a step's tasks.
pub(crate) fn demand_of(tasks: u32, step: &Step) -> Resources {
    let all = |each: u64| each.saturating_mul(tasks.into());
    Resources {
        cpu_milli: all(step.demand.cpu_milli),
        memory_mb: all(step.demand.memory_mb),
        accelerators: all(step.demand.accelerators),
    }
}

/// Whether a submission is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Submission is stored.
    Accept,
    /// Submission is refused; the caller is asked to retry after this time.
    Refuse {
        /// Time after which there is probably room, in seconds.
        retry_after_s: u32,
    },
}

/// Decides whether work that ends can be done before it is worth nothing.
///
/// `spread` is a random number from 0 to 1, which spreads the retries of refused callers over twice the time.
#[must_use]
pub fn decide(lines: &[Line], request: &Request, spread: f64) -> Decision {
    // Without a run time and a target, nothing tells when the work is worth nothing.
    if request.is_useful_any_time || request.worthless_after == Millis(0) {
        return Decision::Accept;
    }
    let excess = lines.iter().map(|line| {
        let wait = line.backlog.time_at(&line.rate).0;
        let run = request.work.time_at(&line.rate).0.max(request.chain.0);
        // Work that takes longer by itself is taken if nothing is before it: estimates may be wrong.
        wait.saturating_sub(request.worthless_after.0.saturating_sub(run))
    });
    match excess.max().unwrap_or_default() {
        0 => Decision::Accept,
        excess_ms => {
            let spread_ms = excess_ms as f64 * (1.0 + spread.clamp(0.0, 1.0));
            let seconds = (spread_ms / 1_000.0)
                .ceil()
                .min(f64::from(MAX_RETRY_AFTER_S));
            Decision::Refuse {
                retry_after_s: (seconds as u32).max(1),
            }
        }
    }
}

/// Decides whether long-running work can be queued, beside what the tenant has accepted already.
#[must_use]
pub fn decide_long_running(cap: &Resources, accepted: &Resources, request: &Request) -> Decision {
    let exceeds = |cap: u64, accepted: u64, more: u64| {
        cap > 0 && more > 0 && accepted.saturating_add(more) > cap.saturating_mul(MAX_QUEUED_CAPS)
    };
    let more = &request.long_running;
    let is_too_much = exceeds(cap.cpu_milli, accepted.cpu_milli, more.cpu_milli)
        || exceeds(cap.memory_mb, accepted.memory_mb, more.memory_mb)
        || exceeds(cap.accelerators, accepted.accelerators, more.accelerators);
    if is_too_much {
        Decision::Refuse {
            retry_after_s: MAX_RETRY_AFTER_S,
        }
    } else {
        Decision::Accept
    }
}
