//! Fake targets, ownership, log and peers of one node.

use super::*;

/// Fake implementation of every port and trait that the request part of one node uses.
pub(super) struct Fakes {
    pub(super) cluster: Rc<SimCluster>,
    pub(super) index: usize,
}

impl Fakes {
    async fn run(self: Rc<Self>, index: usize, id: RequestId) -> ports::Result<QuickResponse> {
        let cluster = &self.cluster;
        let executor = &cluster.executors[index];
        let behaviour = executor.behaviour.get();
        if behaviour == Behaviour::Refuse {
            return Err(PortError::NotSent);
        }
        if executor.runs.borrow().len() < cluster.max_runs_kept {
            executor.runs.borrow_mut().push(id.clone());
        }
        let _in_use = InUseGuard::new(executor);
        let mut response = QuickResponse::refusal(ResultCode::Completed, "done");
        response.status = 200;
        let mut answered = id.to_string();
        match behaviour {
            Behaviour::Fixed(us) => cluster.sim.sleep_until(cluster.sim.now_us() + us).await,
            Behaviour::Exponential(mean_us) => {
                let us = exponential(&cluster.sim, mean_us);
                cluster.sim.sleep_until(cluster.sim.now_us() + us).await;
            }
            Behaviour::NeverAnswer | Behaviour::Hang => pending::<()>().await,
            Behaviour::FalseRefusal => response.code = ResultCode::Overloaded,
            Behaviour::LoseAnswer => return Err(PortError::Unknown),
            Behaviour::Error => {
                response.code = ResultCode::TargetError;
                response.status = 500;
            }
            Behaviour::WrongId => answered = String::from("another"),
            Behaviour::Refuse => {}
        }
        response
            .headers
            .insert(Arc::from("request-id"), Arc::from(answered.as_str()));
        Ok(response)
    }
}

/// Exponentially distributed duration in microseconds.
fn exponential(sim: &SimRuntime, mean_us: u64) -> u64 {
    let uniform = (sim.below(1 << 32) + 1) as f64 / (1u64 << 32) as f64;
    (-uniform.ln() * mean_us as f64) as u64
}

struct InUseGuard<'a>(&'a FakeExecutor);

impl InUseGuard<'_> {
    fn new(executor: &FakeExecutor) -> InUseGuard<'_> {
        let in_use = executor.in_use.get() + 1;
        executor.in_use.set(in_use);
        executor
            .peak_in_use
            .set(executor.peak_in_use.get().max(in_use));
        InUseGuard(executor)
    }
}

impl Drop for InUseGuard<'_> {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}

impl Targets for Fakes {
    fn send(
        &self,
        address: SocketAddr,
        _service: &ServiceName,
        _connections: u32,
        request: QuickRequest,
        timeout: Millis,
    ) -> PortFuture<'_, ports::Result<QuickResponse>> {
        let index = usize::from(address.port() - 7_000);
        let fakes = Rc::new(Fakes {
            cluster: self.cluster.clone(),
            index: self.index,
        });
        let run = fakes.run(index, request.id).boxed_local();
        let sim = self.cluster.sim.clone();
        let hangs = self.cluster.executors[index].behaviour.get() == Behaviour::Hang;
        let timeout = if hangs { Millis(1 << 40) } else { timeout };
        Box::pin(async move {
            match select(run, Box::pin(sim.sleep(timeout))).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(PortError::Unknown),
            }
        })
    }
}

impl Ownership for Fakes {
    fn lease(&self, unit: &Unit) -> Option<OwnershipLease> {
        let owns = self.cluster.owners.borrow().get(unit) == Some(&self.index);
        (owns && self.cluster.leases_valid.get()).then_some(OwnershipLease {
            term: Term(1),
            until_ms: MonoMs(u64::MAX),
        })
    }
    fn owner(&self, unit: &Unit) -> Option<NodeName> {
        self.cluster
            .owners
            .borrow()
            .get(unit)
            .map(|index| node_name(*index))
    }
    fn owned(&self) -> Vec<(Unit, Term)> {
        let owners = self.cluster.owners.borrow();
        let own = owners.iter().filter(|(_, owner)| **owner == self.index);
        own.map(|(unit, _)| (unit.clone(), Term(1))).collect()
    }
    fn was_released(&self, _unit: &Unit) -> bool {
        true
    }
}

impl Configuration for Fakes {
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>> {
        let document = self.cluster.document.borrow().clone();
        (document.service == *service).then_some(document)
    }
    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        vec![(self.cluster.document.borrow().clone(), Revision(1))]
    }
    fn hosts(&self) -> Rc<HostList> {
        self.cluster.hosts.borrow().clone()
    }
    fn may_start_in(&self, _data_centre: &DataCentre) -> bool {
        true
    }
    fn is_out(&self, _data_centre: &DataCentre) -> bool {
        false
    }
    fn publish(
        &self,
        _service: ServiceName,
        _expected: Revision,
        _text: Arc<str>,
    ) -> PortFuture<'_, PublishResult> {
        pending().boxed_local()
    }
}

impl Calls for Fakes {
    fn call(
        &self,
        node: &NodeName,
        request: Request,
        timeout: Millis,
    ) -> PortFuture<'_, std::result::Result<Response, CallError>> {
        let from = node_name(self.index);
        let to: usize = node.as_str()[1..].parse().expect("node index");
        self.cluster.count(match request {
            Request::Forward(_) => "forward",
            Request::Pull(..) => "pull",
            _ => "other",
        });
        let cluster = self.cluster.clone();
        let own = self.index;
        let exchange = async move {
            if own != to {
                if cluster.is_partitioned(own, to) {
                    return Err(CallError::NotSent);
                }
                cluster.one_way_delay().await;
            }
            let target = cluster.nodes.borrow()[to].clone();
            let reply = target.handle(&from, &request).expect("a request call");
            // The peer continues when the calling node gives up.
            let mut response = {
                let (sender, receiver) = futures_channel::oneshot::channel();
                cluster.cores.borrow()[to]
                    .ports
                    .runtime
                    .spawn(Box::pin(async move {
                        let _ = sender.send(reply.await);
                    }));
                receiver.await.map_err(|_| CallError::NoReply)?
            };
            if own != to {
                cluster.one_way_delay().await;
                if cluster.is_partitioned(own, to) || cluster.lose_replies.get() {
                    return Err(CallError::NoReply);
                }
            }
            if let (true, Response::Ran(answer, _)) =
                (cluster.wrong_answer_ids.get(), &mut response)
            {
                answer
                    .headers
                    .insert(Arc::from("request-id"), Arc::from("another"));
            }
            Ok(response)
        };
        let sim = self.cluster.sim.clone();
        Box::pin(async move {
            match select(Box::pin(exchange), Box::pin(sim.sleep(timeout))).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(CallError::NoReply),
            }
        })
    }
    fn peers(&self) -> Vec<PeerState> {
        let count = self.cluster.nodes.borrow().len();
        let others = (0..count).filter(|index| *index != self.index);
        let heartbeats = self.cluster.heartbeats.borrow();
        let states = others.map(|index| {
            let received = heartbeats.get(&(self.index, index));
            PeerState {
                node: node_name(index),
                data_centre: data_centre(),
                last_heartbeat_ms: received.map(|received| received.0),
                heartbeat: received.map(|received| received.1.clone()),
            }
        });
        states.collect()
    }
    fn send_heartbeats(&self) {
        self.cluster.send_heartbeat(self.index);
    }
}

impl Journal for Fakes {
    fn open(
        &self,
        _stream: Stream,
        _term: Term,
    ) -> PortFuture<'_, std::result::Result<Vec<Record>, Fenced>> {
        ready(Ok(Vec::new())).boxed_local()
    }
    fn append(
        &self,
        _stream: Stream,
        _term: Term,
        records: Vec<Record>,
        timeout: Option<Millis>,
    ) -> PortFuture<'_, AppendResult> {
        let cluster = self.cluster.clone();
        Box::pin(async move {
            cluster.sim.sleep(Millis(20)).await;
            if cluster.append_outcome_unknown.get() && timeout.is_some() {
                return Err(AppendError::OutcomeUnknown);
            }
            while !cluster.log_up.get() {
                if timeout.is_some() {
                    return Err(AppendError::NotAppended);
                }
                cluster.sim.sleep(Millis(100)).await;
            }
            cluster.records.borrow_mut().extend(records);
            Ok(Offset(0))
        })
    }
    fn log_is_up(&self) -> bool {
        self.cluster.log_up.get()
    }
}

impl Log for Fakes {
    fn append(&self, _stream: Stream, _record: Bytes) -> PortFuture<'_, ports::Result<Offset>> {
        pending().boxed_local()
    }
    fn read(
        &self,
        _stream: Stream,
        _from: Offset,
        _wait: Millis,
    ) -> PortFuture<'_, ports::Result<ReadBatch>> {
        pending().boxed_local()
    }
}

impl Hosts for Fakes {
    fn fetch(&self) -> PortFuture<'_, ports::Result<HostList>> {
        pending().boxed_local()
    }
}

impl ports::Peers for Fakes {
    fn connect(&self, _peer: &PeerAddress) -> PortFuture<'_, ports::Result<PeerLink>> {
        pending().boxed_local()
    }
}

impl Workers for Fakes {
    fn start(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _order: StartTask,
    ) -> PortFuture<'_, ports::Result<StartReply>> {
        pending().boxed_local()
    }
    fn renew(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _renew: Renew,
    ) -> PortFuture<'_, ports::Result<WorkerReport>> {
        pending().boxed_local()
    }
    fn stop(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _task: TaskId,
        _attempt: Attempt,
        _checkpoint: bool,
    ) -> PortFuture<'_, ports::Result<()>> {
        pending().boxed_local()
    }
    fn throttle(
        &self,
        _address: SocketAddr,
        _worker: &WorkerName,
        _task: TaskId,
        _attempt: Attempt,
        _on: bool,
    ) -> PortFuture<'_, ports::Result<()>> {
        pending().boxed_local()
    }
}
