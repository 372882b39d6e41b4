//! Control calls of tests and examples.
//!
//! | call | body | effect |
//! | --- | --- | --- |
//! | `GET /judged` | | responds with [`PlatformReport`] |
//! | `POST /log` | [`SetLog`] | sets the faults of the log |
//! | `POST /lose` | [`LoseResponses`] | loses the next responses to appends and worker calls after their effect |
//! | `POST /hosts` | [`SetHosts`] | changes the state of hosts |
//! | `POST /answers` | list of [`CallerResponse`] | checks the responses that callers got |
//! | `POST /workers` | [`SetWorker`] | kills or restarts a worker |

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use futures_util::future::join_all;
use hemlocksaddle_types::{
    clock::Millis,
    host::{Host, HostRole, HostState},
    name::{DataCentre, WorkerName},
    outcome::ResultCode,
    worker::Renew,
};
use http::{StatusCode, request::Parts};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    Shared,
    server::{MaybeResponse, json, status},
};
use crate::checker::Rule;

/// Faults of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SetLog {
    /// The log accepts no appends and serves no reads.
    pub down: bool,
    /// Average delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Share of appends that take effect without a response, in percent.
    pub lost_percent: u64,
    /// Share of appends that take effect late, mostly after the caller gave up, in percent.
    pub late_percent: u64,
}

/// Responses to lose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoseResponses {
    /// Number of responses.
    pub count: u64,
}

/// New state of the hosts that match all given fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetHosts {
    /// State.
    pub state: HostState,
    /// Data centre.
    pub data_centre: Option<DataCentre>,
    /// Name of the worker, executor or node.
    pub name: Option<Arc<str>>,
}

/// Death or restart of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetWorker {
    /// Worker.
    pub name: WorkerName,
    /// Whether it is dead.
    pub dead: bool,
}

/// Response that a caller got to a synchronous request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerResponse {
    /// Value of the request's header `Tag`.
    pub tag: Arc<str>,
    /// Result.
    pub code: ResultCode,
    /// Whether the body is the expected response to this request.
    pub whole: bool,
}

/// Violations and counters of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformReport {
    /// Violations: name of the rule, and time and detail.
    pub violations: Vec<(String, String)>,
    /// Task starts.
    pub starts: u64,
    /// Tasks that were stopped, or lost their lease, with a checkpoint.
    pub evictions: u64,
    /// Run time of completed tasks in core milliseconds.
    pub work_done_core_ms: u64,
    /// Run time of completed tasks and progress of running ones, in core milliseconds.
    pub work_core_ms: u64,
    /// Running tasks.
    pub running: u64,
    /// Appends that reached the log.
    pub appends: u64,
    /// Requests that executors are serving.
    pub requests_running: u64,
    /// Requests whose connection was closed before they completed.
    pub aborted_requests: u64,
}

pub(super) async fn handle(shared: Rc<Shared>, parts: Parts, body: Bytes) -> MaybeResponse {
    let (shared, body) = (&shared, &body);
    match parts.uri.path() {
        "/judged" => {
            let progress = progress_core_ms(shared).await;
            json(&platform_report(shared, progress))
        }
        "/log" => apply(body, |set| set_log(shared, &set)),
        "/lose" => apply(body, |lose: LoseResponses| {
            shared.responses_to_lose.set(lose.count)
        }),
        "/hosts" => apply(body, |set| set_hosts(shared, &set)),
        "/answers" => apply(body, |answers: Vec<CallerResponse>| {
            for response in answers {
                shared.platform.checker.response_received(
                    &response.tag,
                    response.code,
                    response.whole,
                );
            }
        }),
        "/workers" => apply(body, |set| set_worker(shared, &set)),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn apply<T: DeserializeOwned>(body: &Bytes, action: impl FnOnce(T)) -> MaybeResponse {
    let Ok(value) = serde_json::from_slice(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    action(value);
    status(StatusCode::OK)
}

/// Progress of all running tasks in core milliseconds.
async fn progress_core_ms(shared: &Rc<Shared>) -> u64 {
    let ports = shared.ports.clone();
    let reports = async move {
        let hosts = ports.hosts.fetch().await.unwrap_or_default().hosts;
        let calls = hosts.iter().filter_map(|host| match &host.role {
            HostRole::Worker { name, .. } => Some((host.address, name)),
            _ => None,
        });
        let calls =
            calls.map(|(address, name)| ports.workers.renew(address, name, Renew::default()));
        join_all(calls).await
    };
    let reports = shared.run(reports).await.unwrap_or_default();
    let running = reports
        .into_iter()
        .flatten()
        .flat_map(|report| report.running);
    running
        .map(|task| task.progress_ms * task.demand.cpu_milli / 1_000)
        .sum()
}

fn platform_report(shared: &Shared, progress_core_ms: u64) -> PlatformReport {
    let checker = &shared.platform.checker;
    let counts = checker.counts();
    let violations = checker.violations().into_iter().map(|violation| {
        let rule = match violation.rule {
            Rule::Invariant(invariant) => invariant.name().to_owned(),
            rule => format!("{rule:?}"),
        };
        (rule, format!("at {}: {}", violation.at, violation.detail))
    });
    PlatformReport {
        violations: violations.collect(),
        starts: counts.starts,
        evictions: counts.evictions,
        work_done_core_ms: counts.work_core_ms,
        work_core_ms: counts.work_core_ms + progress_core_ms,
        running: shared.platform.running_tasks() as u64,
        appends: counts.appends,
        requests_running: shared.requests_running.get(),
        aborted_requests: counts.aborted_requests,
    }
}

fn set_log(shared: &Shared, set: &SetLog) {
    let mut faults = shared.platform.faults.borrow_mut();
    faults.log_down = set.down;
    faults.log_slow = Millis(set.slow_ms);
    faults.log_lost_percent = set.lost_percent;
    faults.log_late_percent = set.late_percent;
}

fn set_hosts(shared: &Shared, set: &SetHosts) {
    let matches = |host: &Host| {
        let in_data_centre = set
            .data_centre
            .as_ref()
            .is_none_or(|data_centre| *data_centre == host.data_centre);
        let named = set
            .name
            .as_ref()
            .is_none_or(|name| **name == *name_of(host));
        in_data_centre && named
    };
    let hosts = shared.platform.true_hosts().into_iter();
    let matching: Vec<Host> = hosts.filter(matches).collect();
    shared.platform.set_state(set.state, matches);
    for host in matching {
        if let HostRole::Executor { .. } = host.role {
            let leaving = set.state != HostState::Live;
            shared.platform.set_leaving(&host.address, leaving);
        }
    }
}

fn name_of(host: &Host) -> Rc<str> {
    match &host.role {
        HostRole::Worker { name, .. } => name.as_str().into(),
        HostRole::Executor { name } => name.as_str().into(),
        HostRole::Node { name } => name.as_str().into(),
    }
}

fn set_worker(shared: &Shared, set: &SetWorker) {
    if set.dead {
        shared.platform.kill_worker(&set.name);
    } else {
        shared.platform.restart_worker(&set.name);
    }
}
