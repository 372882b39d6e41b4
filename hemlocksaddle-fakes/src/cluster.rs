//! Real nodes on the fake platform: start, crash, planned stop, and calls by callers.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::Future,
    rc::Rc,
};

use futures_channel::oneshot;
use hemlocksaddle_node::{
    invariant::{Invariant, OnViolation},
    node::Node,
    parts::Parts,
    queue::Queues,
    requests::Requests,
};
use hemlocksaddle_types::clock::Millis;

use crate::{
    checker::Rule,
    platform::{Deployment, Platform},
    runtime::ENVIRONMENT,
};

/// Interval at which the nodes' documents and the host list are checked.
const WATCH_INTERVAL: Millis = Millis(500);

/// Time after the stop of a node in which its callers still get responses, as in the daemon.
const RESPONSE_GRACE_MS: u64 = 15_000;

/// Running node with the parts that callers use.
#[derive(Clone)]
pub struct Member {
    /// Node.
    pub node: Rc<Node>,
    /// Synchronous requests.
    pub requests: Rc<Requests>,
    /// Jobs.
    pub queues: Rc<Queues>,
    started_ms: u64,
    /// Number of calls without a response so far.
    pending_calls: Rc<Cell<u64>>,
    stopping: Rc<Cell<bool>>,
}

/// Nodes of one run.
pub struct Cluster {
    /// Platform that the nodes run on.
    pub platform: Rc<Platform>,
    members: RefCell<BTreeMap<usize, Member>>,
    active_document_faults: Cell<u64>,
    last_document_fault_ms: Cell<u64>,
}

impl Cluster {
    /// Starts all nodes of a deployment.
    #[must_use]
    pub fn start(deployment: Deployment, seed: u64) -> Rc<Cluster> {
        let cluster = Rc::new(Cluster {
            platform: Platform::new(deployment, seed),
            members: RefCell::default(),
            active_document_faults: Cell::default(),
            last_document_fault_ms: Cell::default(),
        });
        (0..cluster.platform.nodes.len()).for_each(|index| cluster.start_node(index));
        let watching = cluster.clone();
        cluster.platform.sim.spawn(ENVIRONMENT, async move {
            loop {
                watching.platform.sim.sleep(WATCH_INTERVAL).await;
                watching.watch();
            }
        });
        cluster
    }

    /// Starts a node unless it is running.
    pub fn start_node(&self, index: usize) {
        if self.members.borrow().contains_key(&index) {
            return;
        }
        let platform = &self.platform;
        let peer = &platform.nodes[index];
        let mut parts = None;
        let (ports, settings) = (platform.ports(peer), platform.settings(peer));
        let node = Node::with_parts(ports, settings, OnViolation::Record, |core| {
            parts.insert(Parts::new(core)).list()
        });
        let Some(parts) = parts else {
            return;
        };
        let accepting = node.clone();
        platform.listen(peer, move |link| accepting.accept_peer(link));
        node.start();
        let member = Member {
            node,
            requests: parts.requests,
            queues: parts.queues,
            started_ms: platform.sim.now().0,
            pending_calls: Rc::default(),
            stopping: Rc::default(),
        };
        self.members.borrow_mut().insert(index, member);
    }

    /// Kills a node's process and reports the violations that the node recorded.
    pub fn kill_node(&self, index: usize) {
        let name = &self.platform.nodes[index].node;
        let member = self.members.borrow_mut().remove(&index);
        self.platform.sim.kill(name);
        self.platform.disconnect(name);
        if let Some(member) = member {
            for (invariant, detail) in member.node.core().invariants.recorded() {
                let detail = format!("asserted by {name}: {detail}");
                self.platform
                    .checker
                    .report(Rule::Invariant(invariant), detail);
            }
        }
    }

    /// Stops a node as planned; returns whether it ended by itself before the timeout.
    pub async fn stop_node(&self, index: usize, timeout: Millis) -> bool {
        let Some(member) = self.member(index) else {
            return true;
        };
        member.stopping.set(true);
        let stopped = self.call(index, |member| async move { member.node.stop().await });
        let timer = self.platform.sim.sleep(timeout);
        let ended = futures_util::future::select(Box::pin(stopped), timer).await;
        let ended = matches!(ended, futures_util::future::Either::Left((Some(()), _)));
        for _ in 0..RESPONSE_GRACE_MS / WATCH_INTERVAL.0 {
            if member.pending_calls.get() > 0 {
                self.platform.sim.sleep(WATCH_INTERVAL).await;
            }
        }
        let current = self.member(index).map(|member| member.started_ms);
        if current != Some(member.started_ms) {
            return ended;
        }
        if ended && member.pending_calls.get() > 0 {
            let detail = format!(
                "node {index} ended with {} open calls",
                member.pending_calls.get()
            );
            self.platform
                .checker
                .report(Rule::Invariant(Invariant::GracefulStop), detail);
        }
        self.kill_node(index);
        ended
    }

    /// Running node by its index.
    #[must_use]
    pub fn member(&self, index: usize) -> Option<Member> {
        self.members.borrow().get(&index).cloned()
    }

    /// Indices of the nodes that accept new calls.
    #[must_use]
    pub fn serving(&self) -> Vec<usize> {
        let members = self.members.borrow();
        let serving = members.iter().filter(|(_, member)| !member.stopping.get());
        serving.map(|(index, _)| *index).collect()
    }

    /// Calls a node in its own process; `None` if the process ends before it responds.
    pub async fn call<T: 'static, F: Future<Output = T> + 'static>(
        &self,
        index: usize,
        call: impl FnOnce(Member) -> F,
    ) -> Option<T> {
        let member = self.member(index)?;
        let calls = member.pending_calls.clone();
        let future = call(member);
        let (response_tx, response_rx) = oneshot::channel();
        let node = &self.platform.nodes[index].node;
        let process = self.platform.sim.node_process(node);
        calls.set(calls.get() + 1);
        self.platform.sim.spawn(process, async move {
            let output = future.await;
            calls.set(calls.get() - 1);
            let _ = response_tx.send(output);
        });
        response_rx.await.ok()
    }

    /// Records the start or end of a fault that may delay documents on their way to nodes.
    pub fn record_document_fault(&self, begins: bool) {
        let count = self.active_document_faults.get();
        self.active_document_faults
            .set(if begins { count + 1 } else { count - 1 });
        self.last_document_fault_ms.set(self.platform.sim.now().0);
    }

    fn watch(&self) {
        let platform = &self.platform;
        let now = platform.sim.now().0;
        if self.active_document_faults.get() > 0 {
            self.last_document_fault_ms.set(now);
        }
        let members = self.members.borrow().clone();
        for (index, member) in members.iter().filter(|(_, member)| member.node.is_ready()) {
            let documents = member.node.documents().into_iter();
            let documents: Vec<_> = documents
                .map(|(document, revision)| (document.service.clone(), revision))
                .collect();
            let fault_free_ms = now - member.started_ms.max(self.last_document_fault_ms.get());
            let name = &platform.nodes[*index].node;
            platform
                .checker
                .documents_applied(name, member.started_ms, &documents, fault_free_ms);
        }
        let _ = platform.served_hosts();
    }
}
