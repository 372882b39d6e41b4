//! Executors that serve requests over connections that may go silent.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::pending,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_node::{
    invariant::Invariant,
    ports::{PortError, PortFuture, Result, Targets},
};
use hemlocksaddle_types::{
    clock::Millis,
    name::{DataCentre, ServiceName},
    outcome::ResultCode,
    request::{QuickRequest, QuickResponse},
};

use crate::{
    judge::{Judges, Rule},
    network::{Endpoint, Network},
    runtime::{ENVIRONMENT, ProcessId},
};

/// Time for which an idle connection is reused.
const REUSE_US: u64 = 5_000_000;
/// Time after a target is shown as leaving in which it may still get a request.
const LEAVING_MS: u64 = 5_000;
/// Requests that end within this time do not count against the slots.
const ENDING_US: u64 = 50_000;

struct Executor {
    endpoint: Endpoint,
    slots: usize,
    slow_percent: u64,
    leaving_ms: Option<u64>,
    /// Ends of the running requests by number; the deadline bounds them.
    running: BTreeMap<u64, u64>,
    /// Open connections: owner, end of the last answer unless in use, silent.
    connections: BTreeMap<u64, (ProcessId, Option<u64>, bool)>,
    silences: u64,
}

/// All executors of one run.
pub struct FakeTargets {
    network: Rc<Network>,
    judges: Rc<Judges>,
    executors: RefCell<BTreeMap<SocketAddr, Executor>>,
    next: Cell<u64>,
    /// Share of answers that come after their deadline, in percent.
    pub late_percent: Cell<u64>,
    /// Mean service time.
    pub service_ms: Cell<u64>,
    /// Whether requests may be aborted by a closed connection without a fault that explains it.
    pub aborted: Cell<u64>,
}

impl FakeTargets {
    /// No executors.
    #[must_use]
    pub fn new(network: &Rc<Network>, judges: &Rc<Judges>) -> Rc<FakeTargets> {
        Rc::new(FakeTargets {
            network: network.clone(),
            judges: judges.clone(),
            executors: RefCell::default(),
            next: Cell::new(0),
            late_percent: Cell::new(0),
            service_ms: Cell::new(20),
            aborted: Cell::new(0),
        })
    }

    /// Adds an executor.
    pub fn add(&self, address: SocketAddr, data_centre: &DataCentre, slots: usize) {
        let endpoint = Endpoint {
            process: ENVIRONMENT,
            name: address.to_string().into(),
            data_centre: Some(data_centre.clone()),
        };
        let executor = Executor {
            endpoint,
            slots,
            slow_percent: 100,
            leaving_ms: None,
            running: BTreeMap::new(),
            connections: BTreeMap::new(),
            silences: 0,
        };
        self.executors.borrow_mut().insert(address, executor);
    }

    /// Port of one process.
    #[must_use]
    pub fn port(self: &Rc<Self>, from: &Endpoint) -> Rc<dyn Targets> {
        Rc::new(TargetsPort(self.clone(), from.clone()))
    }

    /// Kills an executor with its requests, or starts it again.
    pub fn set_dead(&self, address: &SocketAddr, dead: bool) {
        self.network.set_dead(&address.to_string(), dead);
        if let Some(executor) = self.executors.borrow_mut().get_mut(address) {
            executor.running.clear();
            executor.connections.clear();
        }
    }

    /// Service time of an executor in percent of the usual one.
    pub fn set_slow(&self, address: &SocketAddr, percent: u64) {
        if let Some(executor) = self.executors.borrow_mut().get_mut(address) {
            executor.slow_percent = percent;
        }
    }

    /// Takes note that the host list shows an executor as leaving, or no longer.
    pub fn set_leaving(&self, address: &SocketAddr, leaving: bool) {
        let now = self.network.sim.now().0;
        if let Some(executor) = self.executors.borrow_mut().get_mut(address) {
            executor.leaving_ms = leaving.then(|| executor.leaving_ms.unwrap_or(now));
        }
    }

    fn connect(&self, address: &SocketAddr, owner: ProcessId, most: usize) -> Option<(u64, bool)> {
        let sim = &self.network.sim;
        let now_us = sim.now_us();
        let mut executors = self.executors.borrow_mut();
        let executor = executors.get_mut(address)?;
        executor.silence_some(&self.network);
        executor
            .connections
            .retain(|_, (_, idle, _)| idle.is_none_or(|at| at + REUSE_US > now_us));
        let idle = executor.connections.iter_mut();
        let mut idle = idle.filter(|(_, (process, idle, _))| *process == owner && idle.is_some());
        if let Some((number, connection)) = idle.next() {
            connection.1 = None;
            return Some((*number, true));
        }
        let number = self.next.replace(self.next.get() + 1);
        executor.connections.insert(number, (owner, None, false));
        let open = executor.connections.len();
        if open > most {
            let detail = format!("{address} has {open} connections, at most {most}");
            self.judges.report(Rule::Connections, detail);
        }
        Some((number, false))
    }

    /// Serves a request; `None` if it, its executor or its answer is lost.
    async fn serve(
        self: Rc<Self>,
        address: SocketAddr,
        connection: u64,
        from: Endpoint,
        request: QuickRequest,
        closed: oneshot::Receiver<()>,
    ) -> Option<QuickResponse> {
        let sim = self.network.sim.clone();
        if !self.passes(&address, connection, &from) {
            return None;
        }
        self.network.trip().await;
        let end_us = self.begin(&address, connection, &request)?;
        let closed = async {
            let _ = closed.await;
            if self.is_silent(&address, connection) {
                pending::<()>().await;
            }
        };
        let served = Box::pin(sim.sleep_until(end_us));
        let aborted = matches!(select(served, Box::pin(closed)).await, Either::Right(_));
        self.executors
            .borrow_mut()
            .get_mut(&address)?
            .running
            .remove(&connection)?;
        if aborted {
            self.aborted.set(self.aborted.get() + 1);
            return None;
        }
        if sim.below(100) < self.late_percent.get() {
            sim.sleep(request.deadline_ms).await;
        }
        if !self.passes(&address, connection, &from) {
            return None;
        }
        self.network.trip().await;
        Some(answer(&request))
    }

    /// Judges and begins a request; returns when it will be done.
    fn begin(&self, address: &SocketAddr, connection: u64, request: &QuickRequest) -> Option<u64> {
        let sim = &self.network.sim;
        let now_us = sim.now_us();
        let mut executors = self.executors.borrow_mut();
        let executor = executors.get_mut(address)?;
        if self.network.is_dead(&executor.endpoint.name)
            || !executor.connections.contains_key(&connection)
        {
            return None;
        }
        self.judges
            .request_runs(&tag_of(request), request.idempotent);
        let lasting = executor
            .running
            .values()
            .filter(|end_us| **end_us > now_us + ENDING_US);
        let busy = lasting.count();
        if busy >= executor.slots {
            let detail = format!("{address} gets a request while {busy} are in progress");
            self.judges.report(Rule::Slots, detail);
        }
        if executor
            .leaving_ms
            .is_some_and(|since| sim.now().0 > since + LEAVING_MS)
        {
            let detail = format!(
                "{address} gets a request, leaving since {:?} ms",
                executor.leaving_ms
            );
            self.judges
                .report(Rule::Invariant(Invariant::NoWorkForLeavingTarget), detail);
        }
        let mean_us = request
            .headers
            .get("service-ms")
            .and_then(|text| text.parse().ok());
        let mean_us = mean_us.unwrap_or(self.service_ms.get()) * 10 * executor.slow_percent;
        let service_us = mean_us / 2 + sim.below(mean_us);
        let end_us = now_us + service_us.min(request.deadline_ms.0 * 1_000);
        executor.running.insert(connection, end_us);
        Some(end_us)
    }

    fn passes(&self, address: &SocketAddr, connection: u64, from: &Endpoint) -> bool {
        let executors = self.executors.borrow();
        let Some(executor) = executors.get(address) else {
            return false;
        };
        let silent = executor
            .connections
            .get(&connection)
            .is_none_or(|(_, _, silent)| *silent);
        !silent && self.network.connected(from, &executor.endpoint)
    }

    fn is_silent(&self, address: &SocketAddr, connection: u64) -> bool {
        let executors = self.executors.borrow();
        let executor = executors.get(address);
        executor.is_some_and(|executor| {
            executor
                .connections
                .get(&connection)
                .is_some_and(|(_, _, silent)| *silent)
        })
    }

    /// Ends the use of a connection: idle after an answer, closed otherwise.
    fn release(&self, address: &SocketAddr, connection: u64, answered: bool) {
        let now_us = self.network.sim.now_us();
        let mut executors = self.executors.borrow_mut();
        let Some(executor) = executors.get_mut(address) else {
            return;
        };
        if let Some((_, idle, _)) = executor.connections.get_mut(&connection) {
            *idle = Some(now_us);
        }
        if !answered {
            executor.connections.remove(&connection);
        }
    }
}

impl Executor {
    fn silence_some(&mut self, network: &Network) {
        if self.silences != network.silences() {
            self.silences = network.silences();
            self.connections
                .values_mut()
                .for_each(|connection| connection.2 = true);
        }
    }
}

fn answer(request: &QuickRequest) -> QuickResponse {
    QuickResponse {
        code: ResultCode::Completed,
        status: 200,
        headers: BTreeMap::new(),
        body: Bytes::from([b"answer to ", &*request.body].concat()),
        retry_after_ms: None,
    }
}

/// Tag that the caller gave a request.
fn tag_of(request: &QuickRequest) -> Arc<str> {
    let given = request.headers.get("tag").cloned();
    given.unwrap_or_else(|| format!("{}-{}", request.id.node, request.id.number).into())
}

/// Closes the connection of a request whose future is dropped.
struct Use {
    targets: Rc<FakeTargets>,
    address: SocketAddr,
    connection: u64,
    answered: bool,
    _closed: oneshot::Sender<()>,
}

impl Drop for Use {
    fn drop(&mut self) {
        self.targets
            .release(&self.address, self.connection, self.answered);
    }
}

struct TargetsPort(Rc<FakeTargets>, Endpoint);

impl Targets for TargetsPort {
    fn send(
        &self,
        address: SocketAddr,
        _: &ServiceName,
        connections: u32,
        request: QuickRequest,
        within: Millis,
    ) -> PortFuture<'_, Result<QuickResponse>> {
        let (targets, from) = (self.0.clone(), self.1.clone());
        Box::pin(async move {
            let sim = targets.network.sim.clone();
            let most = usize::try_from(connections).unwrap_or(usize::MAX);
            let opened = targets.connect(&address, from.process, most);
            let (connection, reused) = opened.ok_or(PortError::NotSent)?;
            let (close, closed) = oneshot::channel();
            let mut used = Use {
                targets: targets.clone(),
                address,
                connection,
                answered: false,
                _closed: close,
            };
            if targets.network.is_dead(&address.to_string()) {
                targets.network.trip().await;
                return Err(if reused {
                    PortError::Unknown
                } else {
                    PortError::NotSent
                });
            }
            let (send, answered) = oneshot::channel();
            let serving = targets
                .clone()
                .serve(address, connection, from, request, closed);
            sim.spawn(ENVIRONMENT, async move {
                if let Some(response) = serving.await {
                    let _ = send.send(response);
                }
            });
            let answered = async {
                match answered.await {
                    Ok(response) => response,
                    Err(oneshot::Canceled) => pending().await,
                }
            };
            match select(Box::pin(answered), Box::pin(sim.sleep(within))).await {
                Either::Left((response, _)) => {
                    used.answered = true;
                    Ok(response)
                }
                Either::Right(_) => Err(PortError::Unknown),
            }
        })
    }
}
