//! The fake workers as one node reaches them.

use std::{rc::Rc, result};

use hemlocksaddle_node::ports::PortFuture;
use hemlocksaddle_policy::workflow::{Report, StartAnswer};
use hemlocksaddle_shard::ports::{Fleet, ReportRequest, StartCall, Timed, WorkerError};
use hemlocksaddle_types::{
    delegation::Endpoint,
    workflow::{Run, TaskName},
};

use super::fleet::{FakeFleet, LATENCY_MS};

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
}

impl Fleet for NodeFleet {
    fn start(&self, worker: &Endpoint, call: StartCall) -> PortFuture<'_, Timed<StartAnswer>> {
        let worker = worker.clone();
        Box::pin(async move {
            if self.reaches(&worker).await {
                return self.fleet.start(&worker, call).await;
            }
            Timed {
                clock_ms: None,
                born_ms: None,
                value: StartAnswer::NotSent,
            }
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
            if self.reaches(&worker).await {
                return self.fleet.stop(&worker, task, run, term).await;
            }
            Err(WorkerError::NotSent)
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
