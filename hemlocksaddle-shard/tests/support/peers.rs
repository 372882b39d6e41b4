//! In-memory connections between nodes.

use std::{cell::Cell, rc::Rc};

use futures_channel::mpsc;
use futures_util::StreamExt;
use hemlocksaddle_node::ports::{
    PeerAddress, PeerLink, PeerReceiver, PeerSender, Peers, PortError, PortFuture, Result,
};
use hemlocksaddle_types::peer::Message;

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
}

impl FakePeers {
    pub(super) fn new(nodes: Registry, loses_requests: Rc<Cell<bool>>) -> FakePeers {
        FakePeers {
            nodes,
            loses_requests,
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
            let node = self.nodes.borrow().get(&address).cloned();
            let node = node.ok_or(PortError::NotSent)?;
            let (local, remote) = self.link_pair();
            node.accept_peer(remote);
            Ok(local)
        })
    }
}
