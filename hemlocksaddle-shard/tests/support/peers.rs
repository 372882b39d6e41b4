//! In-memory connections between nodes.

use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::StreamExt;
use hemlocksaddle_node::ports::{
    PeerAddress, PeerLink, PeerReceiver, PeerSender, Peers, PortError, PortFuture, Result,
};
use hemlocksaddle_types::peer::Message;

use super::Registry;

struct Sender(mpsc::UnboundedSender<Message>);

impl PeerSender for Sender {
    fn send(&self, message: Message) -> Result<()> {
        self.0
            .unbounded_send(message)
            .map_err(|_| PortError::NotSent)
    }

    fn close(&self) {
        self.0.close_channel();
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
}

impl FakePeers {
    pub(super) fn new(nodes: Registry) -> FakePeers {
        FakePeers { nodes }
    }
}

fn link_pair() -> (PeerLink, PeerLink) {
    let (to_remote, from_local) = mpsc::unbounded();
    let (to_local, from_remote) = mpsc::unbounded();
    let link = |sender, receiver| PeerLink {
        sender: Rc::new(Sender(sender)),
        receiver: Box::new(Receiver(receiver)),
    };
    (link(to_remote, from_remote), link(to_local, from_local))
}

impl Peers for FakePeers {
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>> {
        let address = peer.address;
        Box::pin(async move {
            let node = self.nodes.borrow().get(&address).cloned();
            let node = node.ok_or(PortError::NotSent)?;
            let (local, remote) = link_pair();
            node.accept_peer(remote);
            Ok(local)
        })
    }
}
