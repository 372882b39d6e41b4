//! Connections between nodes: messages in order, held up by a partition, lost on a silent one.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
};

use futures_channel::mpsc;
use futures_util::StreamExt;
use hemlocksaddle_node::ports::{
    PeerAddress, PeerLink, PeerReceiver, PeerSender, Peers, PortError, PortFuture, Result,
};
use hemlocksaddle_types::{clock::Millis, name::NodeName, peer::Message};

use crate::{
    network::{CALL_TIMEOUT, Endpoint, Network},
    runtime::ENVIRONMENT,
};

/// Interval at which a message that a partition holds up is tried again.
const RETRY: Millis = Millis(200);

/// What a connection's two ends share.
struct Link {
    ends: [Endpoint; 2],
    silent: Cell<bool>,
    closed: Cell<bool>,
    wires: RefCell<Vec<mpsc::UnboundedSender<Message>>>,
}

type Accept = Rc<dyn Fn(PeerLink)>;

/// All connections between nodes of one run.
pub struct FakePeers {
    network: Rc<Network>,
    listeners: RefCell<BTreeMap<NodeName, (Endpoint, Accept)>>,
    links: RefCell<Vec<Weak<Link>>>,
}

impl FakePeers {
    /// No connections.
    #[must_use]
    pub fn new(network: &Rc<Network>) -> Rc<FakePeers> {
        Rc::new(FakePeers {
            network: network.clone(),
            listeners: RefCell::default(),
            links: RefCell::default(),
        })
    }

    /// Port of one process.
    #[must_use]
    pub fn port(self: &Rc<Self>, from: &Endpoint) -> Rc<dyn Peers> {
        Rc::new(PeersPort(self.clone(), from.clone()))
    }

    /// Lets a node take connections.
    pub fn listen(&self, node: &NodeName, at: &Endpoint, accept: impl Fn(PeerLink) + 'static) {
        let listener = (at.clone(), Rc::new(accept) as Accept);
        self.listeners.borrow_mut().insert(node.clone(), listener);
    }

    /// Ends a node's listener and closes its connections, as the death of its process does.
    pub fn hang_up(&self, node: &NodeName) {
        self.listeners.borrow_mut().remove(node);
        let links = self.links.borrow().clone();
        for link in links.iter().filter_map(Weak::upgrade) {
            if link.ends.iter().any(|end| *end.name == *node.as_str()) {
                link.close();
            }
        }
    }

    /// Lets a share of the open connections go silent for good.
    pub fn silence(&self, percent: u64) {
        self.links
            .borrow_mut()
            .retain(|link| link.strong_count() > 0);
        for link in self.links.borrow().iter().filter_map(Weak::upgrade) {
            link.silent
                .set(link.silent.get() || self.network.sim.below(100) < percent);
        }
    }

    /// Carries the messages of one direction; returns the two halves of that direction.
    fn wire(&self, link: &Rc<Link>) -> (Rc<dyn PeerSender>, Box<dyn PeerReceiver>) {
        let (put, mut carried) = mpsc::unbounded::<(u64, Message)>();
        let (deliver, messages) = mpsc::unbounded();
        link.wires.borrow_mut().push(deliver.clone());
        let (network, weak) = (self.network.clone(), Rc::downgrade(link));
        self.network.sim.spawn(ENVIRONMENT, async move {
            while let Some((at_us, message)) = carried.next().await {
                network.sim.sleep_until(at_us).await;
                while weak.upgrade().is_some_and(|link| {
                    !link.closed.get() && !network.connected(&link.ends[0], &link.ends[1])
                }) {
                    network.sim.sleep(RETRY).await;
                }
                let silent = weak.upgrade().is_some_and(|link| link.silent.get());
                if !silent && deliver.unbounded_send(message).is_err() {
                    return;
                }
            }
            deliver.close_channel();
        });
        let sending = Sender {
            link: link.clone(),
            network: self.network.clone(),
            put,
            last_us: Cell::new(0),
        };
        let receiving = Receiver(messages);
        (Rc::new(sending), Box::new(receiving))
    }
}

impl Link {
    fn close(&self) {
        self.closed.set(true);
        if !self.silent.get() {
            self.wires
                .borrow()
                .iter()
                .for_each(mpsc::UnboundedSender::close_channel);
        }
    }
}

struct Sender {
    link: Rc<Link>,
    network: Rc<Network>,
    put: mpsc::UnboundedSender<(u64, Message)>,
    last_us: Cell<u64>,
}

impl PeerSender for Sender {
    fn send(&self, message: Message) -> Result<()> {
        if self.link.closed.get() {
            return Err(PortError::NotSent);
        }
        let sim = &self.network.sim;
        let at_us = (sim.now_us() + 500 + sim.below(1_000)).max(self.last_us.get());
        self.last_us.set(at_us);
        let sent = self.put.unbounded_send((at_us, message));
        sent.map_err(|_| PortError::NotSent)
    }

    fn close(&self) {
        self.link.close();
    }
}

struct Receiver(mpsc::UnboundedReceiver<Message>);

impl PeerReceiver for Receiver {
    fn receive(&mut self) -> PortFuture<'_, Result<Message>> {
        Box::pin(async { self.0.next().await.ok_or(PortError::NotSent) })
    }
}

struct PeersPort(Rc<FakePeers>, Endpoint);

impl Peers for PeersPort {
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>> {
        let (peers, from, node) = (self.0.clone(), self.1.clone(), peer.node.clone());
        Box::pin(async move {
            let sim = peers.network.sim.clone();
            sim.sleep(Millis(1)).await;
            let listener = peers.listeners.borrow().get(&node).cloned();
            let Some((at, accept)) = listener else {
                return Err(PortError::NotSent);
            };
            if !peers.network.connected(&from, &at) {
                sim.sleep(CALL_TIMEOUT).await;
                return Err(PortError::NotSent);
            }
            let link = Rc::new(Link {
                ends: [from, at.clone()],
                silent: Cell::new(false),
                closed: Cell::new(false),
                wires: RefCell::default(),
            });
            peers.links.borrow_mut().push(Rc::downgrade(&link));
            let (sender, far_receiver) = peers.wire(&link);
            let (far_sender, receiver) = peers.wire(&link);
            sim.spawn(at.process, async move {
                accept(PeerLink {
                    sender: far_sender,
                    receiver: far_receiver,
                });
            });
            Ok(PeerLink { sender, receiver })
        })
    }
}
