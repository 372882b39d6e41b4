//! Simulated cluster of nodes without queues, racks and requests, on the fake platform.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc};

use hemlocksaddle_fakes::platform::{Deployment, Platform};
use hemlocksaddle_node::{
    core::{Core, Part, PublishResult},
    invariant::OnViolation,
    node::Node,
    ports::PeerAddress,
};
use hemlocksaddle_types::{clock::Millis, document::Revision, name::NodeName, unit::Unit};

/// Nodes of a deployment on one fake platform.
pub(crate) struct Cluster {
    /// Fake platform with clock, network, log and host list.
    pub(crate) platform: Rc<Platform>,
    nodes: RefCell<BTreeMap<NodeName, Rc<Node>>>,
}

impl Cluster {
    /// Creates a cluster of `nodes` nodes, none of them running.
    pub(crate) fn new(nodes: usize, seed: u64) -> Cluster {
        Cluster {
            platform: Platform::new(Deployment::small().with_nodes(nodes), seed),
            nodes: RefCell::default(),
        }
    }

    /// Creates a cluster whose nodes run and own all units.
    pub(crate) fn running(nodes: usize, seed: u64) -> Cluster {
        let cluster = Cluster::new(nodes, seed);
        (0..nodes).for_each(|index| cluster.start(index));
        cluster.run(8_000);
        cluster
    }

    pub(crate) fn run(&self, duration_ms: u64) {
        self.platform.run_for(Millis(duration_ms));
    }

    pub(crate) fn address(&self, index: usize) -> &PeerAddress {
        &self.platform.nodes[index]
    }

    pub(crate) fn name(&self, index: usize) -> &NodeName {
        &self.address(index).node
    }

    /// Starts a node without parts, or a new incarnation of it after a kill.
    pub(crate) fn start(&self, index: usize) {
        self.start_with(index, OnViolation::Panic, |_| Vec::new());
    }

    pub(crate) fn start_with(
        &self,
        index: usize,
        on_violation: OnViolation,
        parts: impl FnOnce(&Rc<Core>) -> Vec<Rc<dyn Part>>,
    ) {
        let address = self.address(index);
        let settings = self.platform.settings(address);
        let ports = self.platform.ports(address);
        let node = Node::with_parts(ports, settings, on_violation, parts);
        let accepting = Rc::downgrade(&node);
        self.platform.listen(address, move |link| {
            if let Some(node) = accepting.upgrade() {
                node.accept_peer(link);
            }
        });
        self.platform.set_dead(address.node.as_str(), false);
        node.start();
        self.nodes.borrow_mut().insert(address.node.clone(), node);
    }

    pub(crate) fn kill(&self, index: usize) {
        let name = self.name(index);
        self.nodes.borrow_mut().remove(name);
        self.platform.sim.kill(name);
        self.platform.set_dead(name.as_str(), true);
        self.platform.disconnect(name);
    }

    pub(crate) fn pause(&self, index: usize, duration_ms: u64) {
        self.platform
            .sim
            .pause(self.name(index), Millis(duration_ms));
    }

    pub(crate) fn node(&self, index: usize) -> Rc<Node> {
        self.nodes.borrow()[self.name(index)].clone()
    }

    /// Running nodes.
    pub(crate) fn nodes(&self) -> Vec<Rc<Node>> {
        self.nodes.borrow().values().cloned().collect()
    }

    /// Sets whether all appends to and reads from the log fail.
    pub(crate) fn set_log_down(&self, down: bool) {
        self.platform.faults.borrow_mut().log_down = down;
    }

    /// Sets the percentages of appends whose answer is lost and of appends that take effect late.
    pub(crate) fn set_append_faults(&self, lost_percent: u64, late_percent: u64) {
        let mut faults = self.platform.faults.borrow_mut();
        (faults.log_lost_percent, faults.log_late_percent) = (lost_percent, late_percent);
    }

    /// Partitions or reconnects two endpoints: nodes, data centres, the log or the host list.
    pub(crate) fn set_partitioned(&self, one: &str, other: &str, partitioned: bool) {
        self.platform.set_partitioned(one, other, partitioned);
    }

    /// Publishes the deployment's document at a node, with the given data centres out.
    pub(crate) fn publish(&self, index: usize, expected: u64, out: &[&str]) -> PublishResult {
        let text = self.platform.deployment.document(out);
        self.publish_text(index, expected, text)
    }

    /// Publishes a text at a node.
    pub(crate) fn publish_text(&self, index: usize, expected: u64, text: String) -> PublishResult {
        let node = self.node(index);
        let service = self.platform.service();
        let publication = node.publish(service, Revision(expected), Arc::from(text));
        self.platform.sim.block_on(publication)
    }

    /// Current revision at a node; 0 if there is none.
    pub(crate) fn revision(&self, index: usize) -> u64 {
        let documents = self.node(index).documents();
        documents.first().map_or(0, |(_, revision)| revision.0)
    }

    /// Owned units with the number of running nodes that hold a lease of each now.
    pub(crate) fn lease_holders(&self) -> BTreeMap<Unit, usize> {
        let nodes = self.nodes();
        let owned = nodes
            .iter()
            .flat_map(|node| node.core().ownership.owned())
            .map(|(unit, _)| unit);
        owned
            .map(|unit| {
                let holders = nodes
                    .iter()
                    .filter(|node| node.core().ownership.lease(&unit).is_some());
                let count = holders.count();
                (unit, count)
            })
            .collect()
    }

    /// Runs in steps of 20 ms and panics if two nodes hold a lease of the same unit.
    pub(crate) fn run_checked(&self, duration_ms: u64) {
        for _ in 0..duration_ms / 20 {
            self.run(20);
            for (unit, holders) in self.lease_holders() {
                let at = self.platform.sim.now();
                assert!(
                    holders <= 1,
                    "{holders} nodes hold a lease of {unit} at {at}"
                );
            }
        }
    }

    /// Number of units of which exactly one running node holds a lease.
    pub(crate) fn leased_units(&self) -> usize {
        self.lease_holders()
            .values()
            .filter(|holders| **holders == 1)
            .count()
    }
}
