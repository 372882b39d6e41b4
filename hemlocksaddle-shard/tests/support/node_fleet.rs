//! The fake workers as one node reaches them.

use std::{rc::Rc, result};

use hemlocksaddle_fakes::runtime::ENVIRONMENT;
use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_policy::workflow::{Report, StartAnswer};
use hemlocksaddle_shard::ports::{Fleet, ReportRequest, StartCall, Timed, WorkerError};
use hemlocksaddle_types::{
    delegation::Endpoint,
    workflow::{Run, TaskName},
};

use super::fleet::{FakeFleet, HANG_MS, LATENCY_MS};

/// Workers as one node reaches them; counts its calls.
///
/// A worker whose name is not a number does not exist, and calls to it are not sent.
pub(super) struct NodeFleet {
    fleet: Rc<FakeFleet>,
    node: usize,
}

impl NodeFleet {
    pub(super) fn new(fleet: Rc<FakeFleet>, node: usize) -> NodeFleet {
        NodeFleet { fleet, node }
    }

    /// Counts a call; returns whether the worker exists.
    async fn reaches(&self, worker: &Endpoint) -> bool {
        *self.fleet.calls.borrow_mut().entry(self.node).or_default() += 1;
        let exists = worker.name.parse::<usize>().is_ok();
        if !exists {
            self.fleet.sim.sleep(LATENCY_MS).await;
        }
        exists
    }

    /// Takes an order that the worker leaves unanswered, and carries it out later; returns whether it does.
    async fn is_unanswered(
        &self,
        worker: &Endpoint,
        order: impl FnOnce(Rc<FakeFleet>, Endpoint) -> PortFuture<'static, ()>,
    ) -> bool {
        let fleet = &self.fleet;
        let number = worker.name.parse().expect("worker name is a number");
        if !fleet.unanswered.takes(number, fleet.sim.now()) {
            return false;
        }
        let late = fleet.sim.sleep(fleet.unanswered.late.get());
        let order = order(fleet.clone(), worker.clone());
        fleet.sim.spawn(ENVIRONMENT, async move {
            late.await;
            order.await;
        });
        fleet.sim.sleep(HANG_MS).await;
        true
    }
}

impl Fleet for NodeFleet {
    fn start(&self, worker: &Endpoint, call: StartCall) -> PortFuture<'_, Timed<StartAnswer>> {
        let worker = worker.clone();
        Box::pin(async move {
            let unanswered = |value| Timed {
                clock_ms: None,
                born_ms: None,
                value,
            };
            if !self.reaches(&worker).await {
                return unanswered(StartAnswer::NotSent);
            }
            let late = call.clone();
            if !self.fleet.done.borrow().contains_key(&call.task) {
                self.fleet.unanswered.record_ordered(call.task, call.run);
            }
            let carried_out = self.is_unanswered(&worker, |fleet, worker| {
                Box::pin(async move {
                    let _ = fleet.start(&worker, late).await;
                })
            });
            if carried_out.await {
                return unanswered(StartAnswer::Unknown);
            }
            self.fleet.start(&worker, call).await
        })
    }

    fn stop(
        &self,
        worker: &Endpoint,
        task: TaskName,
        run: Run,
        term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        let worker = worker.clone();
        Box::pin(async move {
            if !self.reaches(&worker).await {
                return Err(WorkerError::NotSent);
            }
            let carried_out = self.is_unanswered(&worker, |fleet, worker| {
                Box::pin(async move {
                    let _ = fleet.stop(&worker, task, run, term).await;
                })
            });
            if carried_out.await {
                return Err(WorkerError::Unknown);
            }
            self.fleet.stop(&worker, task, run, term).await
        })
    }

    fn pace(
        &self,
        worker: &Endpoint,
        task: TaskName,
        run: Run,
        percent: u8,
        term: u64,
    ) -> PortFuture<'_, result::Result<(), WorkerError>> {
        let worker = worker.clone();
        Box::pin(async move {
            if self.reaches(&worker).await {
                return self.fleet.pace(&worker, task, run, percent, term).await;
            }
            Err(WorkerError::NotSent)
        })
    }

    fn fetch_report(
        &self,
        worker: &Endpoint,
        request: ReportRequest,
    ) -> PortFuture<'_, result::Result<Timed<Report>, WorkerError>> {
        let worker = worker.clone();
        Box::pin(async move {
            if self.reaches(&worker).await {
                return self.fleet.fetch_report(&worker, request).await;
            }
            Err(WorkerError::NotSent)
        })
    }
}
