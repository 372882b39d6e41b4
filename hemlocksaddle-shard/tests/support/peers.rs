//! Connections between nodes in memory.

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

/// Opens connections to nodes that are registered.
pub(super) struct FakePeers {
    nodes: Registry,
}

impl FakePeers {
    pub(super) fn new(nodes: Registry) -> FakePeers {
        FakePeers { nodes }
    }
}

fn pair() -> (PeerLink, PeerLink) {
    let (there, from_here) = mpsc::unbounded();
    let (here, from_there) = mpsc::unbounded();
    let link = |sender, receiver| PeerLink {
        sender: Rc::new(Sender(sender)),
        receiver: Box::new(Receiver(receiver)),
    };
    (link(there, from_there), link(here, from_here))
}

impl Peers for FakePeers {
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>> {
        let address = peer.address;
        Box::pin(async move {
            let node = self.nodes.borrow().get(&address).cloned();
            let node = node.ok_or(PortError::NotSent)?;
            let (near, far) = pair();
            node.accept_peer(far);
            Ok(near)
        })
    }
}
