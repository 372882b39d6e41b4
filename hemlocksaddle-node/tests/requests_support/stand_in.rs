//! Targets, owners, log and peers of one node, as the request part sees them.

use super::*;

/// Everything around the request part of one node.
pub(super) struct StandIn {
    pub(super) world: Rc<World>,
    pub(super) index: usize,
}

impl StandIn {
    async fn run(self: Rc<Self>, index: usize, id: RequestId) -> ports::Result<QuickResponse> {
        let world = &self.world;
        let executor = &world.executors[index];
        let behaviour = executor.behaviour.get();
        if behaviour == Behaviour::Refuse {
            return Err(PortError::NotSent);
        }
        if executor.runs.borrow().len() < world.most_runs_kept {
            executor.runs.borrow_mut().push(id.clone());
        }
        let _busy = Busy::new(executor);
        let mut response = QuickResponse::refusal(ResultCode::Completed, "done");
        response.status = 200;
        let mut answered = id.to_string();
        match behaviour {
            Behaviour::After(us) => world.sim.sleep_until(world.sim.now_us() + us).await,
            Behaviour::Exponential(mean_us) => {
                let us = exponential(&world.sim, mean_us);
                world.sim.sleep_until(world.sim.now_us() + us).await;
            }
            Behaviour::Silent | Behaviour::Stuck => pending::<()>().await,
            Behaviour::FalseRefusal => response.code = ResultCode::Overloaded,
            Behaviour::Lose => return Err(PortError::Unknown),
            Behaviour::Error => {
                response.code = ResultCode::TargetError;
                response.status = 500;
            }
            Behaviour::Foreign => answered = String::from("another"),
            Behaviour::Refuse => {}
        }
        response
            .headers
            .insert(Arc::from("request-id"), Arc::from(answered.as_str()));
        Ok(response)
    }
}

/// Exponentially distributed time with a mean, in microseconds.
fn exponential(sim: &SimRuntime, mean_us: u64) -> u64 {
    let uniform = (sim.below(1 << 32) + 1) as f64 / (1u64 << 32) as f64;
    (-uniform.ln() * mean_us as f64) as u64
}

struct Busy<'a>(&'a FakeExecutor);

impl Busy<'_> {
    fn new(executor: &FakeExecutor) -> Busy<'_> {
        let in_use = executor.in_use.get() + 1;
        executor.in_use.set(in_use);
        executor
            .most_in_use
            .set(executor.most_in_use.get().max(in_use));
        Busy(executor)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}

impl Targets for StandIn {
    fn send(
        &self,
        address: SocketAddr,
        _service: &ServiceName,
        _connections: u32,
        request: QuickRequest,
        within: Millis,
    ) -> PortFuture<'_, ports::Result<QuickResponse>> {
        let index = usize::from(address.port() - 7_000);
        let stand_in = Rc::new(StandIn {
            world: self.world.clone(),
            index: self.index,
        });
        let run = stand_in.run(index, request.id).boxed_local();
        let sim = self.world.sim.clone();
        let stuck = self.world.executors[index].behaviour.get() == Behaviour::Stuck;
        let within = if stuck { Millis(1 << 40) } else { within };
        Box::pin(async move {
            match select(run, Box::pin(sim.sleep(within))).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(PortError::Unknown),
            }
        })
    }
}

impl Ownership for StandIn {
    fn lease(&self, unit: &Unit) -> Option<OwnershipLease> {
        let owns = self.world.owners.borrow().get(unit) == Some(&self.index);
        (owns && self.world.rights.get()).then_some(OwnershipLease {
            term: Term(1),
            until_ms: MonoMs(u64::MAX),
        })
    }
    fn owner(&self, unit: &Unit) -> Option<NodeName> {
        self.world
            .owners
            .borrow()
            .get(unit)
            .map(|index| node_name(*index))
    }
    fn owned(&self) -> Vec<(Unit, Term)> {
        let owners = self.world.owners.borrow();
        let own = owners.iter().filter(|(_, owner)| **owner == self.index);
        own.map(|(unit, _)| (unit.clone(), Term(1))).collect()
    }
    fn was_released(&self, _unit: &Unit) -> bool {
        true
    }
}

impl Configuration for StandIn {
    fn document(&self, service: &ServiceName) -> Option<Rc<Document>> {
        let document = self.world.document.borrow().clone();
        (document.service == *service).then_some(document)
    }
    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        vec![(self.world.document.borrow().clone(), Revision(1))]
    }
    fn hosts(&self) -> Rc<HostList> {
        self.world.hosts.borrow().clone()
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

impl Calls for StandIn {
    fn call(
        &self,
        node: &NodeName,
        request: Request,
        within: Millis,
    ) -> PortFuture<'_, std::result::Result<Response, CallError>> {
        let from = node_name(self.index);
        let to: usize = node.as_str()[1..].parse().expect("node index");
        self.world.count(match request {
            Request::Forward(_) => "forward",
            Request::Pull(..) => "pull",
            _ => "other",
        });
        let world = self.world.clone();
        let own = self.index;
        let exchange = async move {
            if own != to {
                if world.is_cut(own, to) {
                    return Err(CallError::NotSent);
                }
                world.travel().await;
            }
            let target = world.nodes.borrow()[to].clone();
            let reply = target.handle(&from, &request).expect("a request call");
            // The peer goes on when the caller gives up.
            let mut response = {
                let (sender, receiver) = futures_channel::oneshot::channel();
                world.cores.borrow()[to]
                    .ports
                    .runtime
                    .spawn(Box::pin(async move {
                        let _ = sender.send(reply.await);
                    }));
                receiver.await.map_err(|_| CallError::NoReply)?
            };
            if own != to {
                world.travel().await;
                if world.is_cut(own, to) || world.lose_replies.get() {
                    return Err(CallError::NoReply);
                }
            }
            if let (true, Response::Ran(answer, _)) = (world.confuse_answers.get(), &mut response) {
                answer
                    .headers
                    .insert(Arc::from("request-id"), Arc::from("another"));
            }
            Ok(response)
        };
        let sim = self.world.sim.clone();
        Box::pin(async move {
            match select(Box::pin(exchange), Box::pin(sim.sleep(within))).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(CallError::NoReply),
            }
        })
    }
    fn peers(&self) -> Vec<PeerState> {
        let count = self.world.nodes.borrow().len();
        let others = (0..count).filter(|index| *index != self.index);
        let beats = self.world.beats.borrow();
        let states = others.map(|index| {
            let beat = beats.get(&(self.index, index));
            PeerState {
                node: node_name(index),
                data_centre: data_centre(),
                last_heartbeat_ms: beat.map(|beat| beat.0),
                heartbeat: beat.map(|beat| beat.1.clone()),
            }
        });
        states.collect()
    }
    fn send_heartbeats(&self) {
        self.world.beat(self.index);
    }
}

impl Journal for StandIn {
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
        within: Option<Millis>,
    ) -> PortFuture<'_, AppendResult> {
        let world = self.world.clone();
        Box::pin(async move {
            world.sim.sleep(Millis(20)).await;
            if world.unsettled.get() && within.is_some() {
                return Err(AppendError::OutcomeUnknown);
            }
            while !world.log_up.get() {
                if within.is_some() {
                    return Err(AppendError::NotAppended);
                }
                world.sim.sleep(Millis(100)).await;
            }
            world.records.borrow_mut().extend(records);
            Ok(Offset(0))
        })
    }
    fn log_is_up(&self) -> bool {
        self.world.log_up.get()
    }
}

impl Log for StandIn {
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

impl Hosts for StandIn {
    fn fetch(&self) -> PortFuture<'_, ports::Result<HostList>> {
        pending().boxed_local()
    }
}

impl ports::Peers for StandIn {
    fn connect(&self, _peer: &PeerAddress) -> PortFuture<'_, ports::Result<PeerLink>> {
        pending().boxed_local()
    }
}

impl Workers for StandIn {
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
