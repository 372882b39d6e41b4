//! Fake executors that serve requests.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc};

use bytes::Bytes;
use hemlocksaddle_node::{
    invariant::Invariant,
    ports::{PortError, PortFuture, Result, Targets},
};
use hemlocksaddle_types::{
    clock::Millis,
    name::ServiceName,
    outcome::ResultCode,
    request::{QuickRequest, QuickResponse},
};

use crate::{
    checker::Rule,
    network::Endpoint,
    platform::{NodePorts, Platform},
};

/// Time during which a target that is shown as leaving may still get requests.
const LEAVING_GRACE_MS: u64 = 5_000;
/// Remaining service time up to which a request does not count against the slots.
const ENDING_TOLERANCE_US: u64 = 50_000;

pub(crate) struct Executor {
    endpoint: Endpoint,
    slots: usize,
    service_time_percent: u64,
    leaving_since_ms: Option<u64>,
    /// End times of the running requests in microseconds, by number.
    running: BTreeMap<u64, u64>,
    /// Requests that the nodes have sent and that have not ended, each on its own connection.
    open_connections: u32,
}

impl Executor {
    pub(crate) fn new(endpoint: Endpoint, slots: usize) -> Executor {
        Executor {
            endpoint,
            slots,
            service_time_percent: 100,
            leaving_since_ms: None,
            running: BTreeMap::new(),
            open_connections: 0,
        }
    }
}

impl Platform {
    fn edit_executor<T>(
        &self,
        address: &SocketAddr,
        edit: impl FnOnce(&mut Executor) -> T,
    ) -> Option<T> {
        self.targets.borrow_mut().get_mut(address).map(edit)
    }

    /// Sets the slots of all executors.
    pub fn set_slots(&self, slots: usize) {
        let mut executors = self.targets.borrow_mut();
        executors
            .values_mut()
            .for_each(|executor| executor.slots = slots);
    }

    /// Sets the service time of an executor in percent of the normal one.
    pub fn set_service_time_percent(&self, address: &SocketAddr, percent: u64) {
        self.edit_executor(address, |executor| executor.service_time_percent = percent);
    }

    /// Records whether the host list shows an executor as leaving.
    pub fn set_leaving(&self, address: &SocketAddr, leaving: bool) {
        let now = self.sim.now().0;
        self.edit_executor(address, |executor| {
            executor.leaving_since_ms = leaving.then(|| executor.leaving_since_ms.unwrap_or(now));
        });
    }

    async fn serve_request(
        self: Rc<Self>,
        address: SocketAddr,
        request: QuickRequest,
    ) -> QuickResponse {
        let tag = tag_of(&request);
        self.checker.request_started(&tag, request.idempotent);
        let service_ms = request
            .headers
            .get("service-ms")
            .and_then(|text| text.parse().ok());
        let mean_ms = service_ms.unwrap_or(self.faults.borrow().service_ms);
        let (number, end_us) = self.begin_request(address, mean_ms, request.deadline_ms);
        let running = RunningRequest(self.clone(), address, number);
        self.sim.sleep_until(end_us).await;
        drop(running);
        let late_percent = self.faults.borrow().late_responses_percent;
        if self.sim.below(100) < late_percent {
            self.sim.sleep(request.deadline_ms).await;
        }
        response_to(&request)
    }

    /// Checks and starts a request; returns its number and its end time in microseconds.
    fn begin_request(&self, address: SocketAddr, mean_ms: u64, deadline: Millis) -> (u64, u64) {
        let (now_us, random) = (self.sim.now_us(), self.sim.below(1_000));
        let begun = self.edit_executor(&address, |executor| {
            let in_progress = executor
                .running
                .values()
                .filter(|end_us| **end_us > now_us + ENDING_TOLERANCE_US);
            let busy = in_progress.count();
            if busy >= executor.slots {
                let detail = format!("{address} gets a request while {busy} are in progress");
                self.checker.report(Rule::Slots, detail);
            }
            if executor
                .leaving_since_ms
                .is_some_and(|since| now_us / 1_000 > since + LEAVING_GRACE_MS)
            {
                let detail = format!(
                    "{address} gets a request, leaving since {:?} ms",
                    executor.leaving_since_ms
                );
                self.checker
                    .report(Rule::Invariant(Invariant::NoWorkForLeavingTarget), detail);
            }
            let service_us = mean_ms * (500 + random) * executor.service_time_percent / 100;
            let end_us = now_us + service_us.min(deadline.0 * 1_000);
            let number = executor
                .running
                .last_key_value()
                .map_or(0, |(last, _)| last + 1);
            executor.running.insert(number, end_us);
            (number, end_us)
        });
        begun.unwrap_or((0, now_us))
    }
}

/// Removes a request from its executor when it ends or is aborted.
struct RunningRequest(Rc<Platform>, SocketAddr, u64);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let number = &self.2;
        let ended = self
            .0
            .edit_executor(&self.1, |executor| executor.running.remove(number));
        let now_us = self.0.sim.now_us();
        if ended.flatten().is_some_and(|end_us| end_us > now_us) {
            self.0.checker.request_aborted();
        }
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection(Rc<Platform>, SocketAddr);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0
            .edit_executor(&self.1, |executor| executor.open_connections -= 1);
    }
}

fn response_to(request: &QuickRequest) -> QuickResponse {
    QuickResponse {
        code: ResultCode::Completed,
        status: 200,
        headers: BTreeMap::new(),
        body: Bytes::from([b"answer to ", &*request.body].concat()),
        retry_after_ms: None,
    }
}

/// Tag that the caller gave the request, or its id.
fn tag_of(request: &QuickRequest) -> Arc<str> {
    let given = request.headers.get("tag").cloned();
    given.unwrap_or_else(|| format!("{}-{}", request.id.node, request.id.number).into())
}

impl Targets for NodePorts {
    fn send(
        &self,
        address: SocketAddr,
        _: &ServiceName,
        connections: u32,
        request: QuickRequest,
        timeout: Millis,
    ) -> PortFuture<'_, Result<QuickResponse>> {
        let (platform, from) = (self.platform.clone(), self.from.clone());
        Box::pin(async move {
            let opened = platform.edit_executor(&address, |executor| {
                executor.open_connections += 1;
                (executor.endpoint.clone(), executor.open_connections)
            });
            let (to, open) = opened.ok_or(PortError::NotSent)?;
            let _connection = OpenConnection(platform.clone(), address);
            if open > connections {
                let detail = format!("{address} has {open} connections, at most {connections}");
                platform.checker.report(Rule::Connections, detail);
            }
            let executor = platform.clone();
            let work = move || executor.serve_request(address, request);
            platform.call(&from, to, timeout, true, work).await
        })
    }
}
