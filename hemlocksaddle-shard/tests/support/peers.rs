//! In-memory connections between nodes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use futures_channel::mpsc;
use futures_util::StreamExt;
use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::ports::{
    PeerAddress, PeerLink, PeerReceiver, PeerSender, Peers, PortError, PortFuture, Result,
};
use hemlocksaddle_types::{clock::Millis, peer::Message};

use super::Registry;

struct Sender {
    messages: mpsc::UnboundedSender<Message>,
    /// Whether messages are lost.
    is_lossy: Rc<Cell<bool>>,
}

impl PeerSender for Sender {
    fn send(&self, message: Message) -> Result<()> {
        if self.is_lossy.get() {
            return Ok(());
        }
        self.messages
            .unbounded_send(message)
            .map_err(|_| PortError::NotSent)
    }

    fn close(&self) {
        self.messages.close_channel();
    }
}

struct Receiver(mpsc::UnboundedReceiver<Message>);

impl PeerReceiver for Receiver {
    fn receive(&mut self) -> PortFuture<'_, Result<Message>> {
        Box::pin(async { self.0.next().await.ok_or(PortError::Unknown) })
    }
}

/// Connects to registered nodes.
pub(super) struct FakePeers {
    nodes: Registry,
    loses_requests: Rc<Cell<bool>>,
    sim: SimRuntime,
    connections: Rc<Connections>,
    opening: RefCell<Vec<SocketAddr>>,
}

/// Attempt of a node to open a connection, until it ends or is abandoned.
struct Opening<'a> {
    peers: &'a FakePeers,
    address: SocketAddr,
}

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        let mut opening = self.peers.opening.borrow_mut();
        if let Some(index) = opening.iter().position(|address| *address == self.address) {
            opening.swap_remove(index);
        }
    }
}

/// Openings of connections in a deployment.
#[derive(Default)]
pub(crate) struct Connections {
    /// Time that it takes to open one.
    pub(crate) opening_ms: Cell<u64>,
    /// Number of those that a node began to open while it was opening one to the same address.
    pub(crate) repeated: Cell<u64>,
}

impl FakePeers {
    pub(super) fn new(
        nodes: Registry,
        loses_requests: Rc<Cell<bool>>,
        sim: SimRuntime,
        connections: Rc<Connections>,
    ) -> FakePeers {
        FakePeers {
            nodes,
            loses_requests,
            sim,
            connections,
            opening: RefCell::default(),
        }
    }

    fn begin_opening(&self, address: SocketAddr) -> Opening<'_> {
        let mut opening = self.opening.borrow_mut();
        if opening.contains(&address) {
            self.connections.repeated.update(|repeated| repeated + 1);
        }
        opening.push(address);
        Opening {
            peers: self,
            address,
        }
    }

    fn link_pair(&self) -> (PeerLink, PeerLink) {
        let (to_remote, from_local) = mpsc::unbounded();
        let (to_local, from_remote) = mpsc::unbounded();
        let link = |messages, receiver, is_lossy| PeerLink {
            sender: Rc::new(Sender { messages, is_lossy }),
            receiver: Box::new(Receiver(receiver)),
        };
        (
            link(to_remote, from_remote, self.loses_requests.clone()),
            link(to_local, from_local, Rc::default()),
        )
    }
}

impl Peers for FakePeers {
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>> {
        let address = peer.address;
        Box::pin(async move {
            let opening = self.begin_opening(address);
            let opening_ms = self.connections.opening_ms.get();
            if opening_ms > 0 {
                self.sim.sleep(Millis(opening_ms)).await;
            }
            drop(opening);
            let node = self.nodes.borrow().get(&address).cloned();
            let node = node.ok_or(PortError::NotSent)?;
            let (local, remote) = self.link_pair();
            node.accept_peer(remote);
            Ok(local)
        })
    }
}
