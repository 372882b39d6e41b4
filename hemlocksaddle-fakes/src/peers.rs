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
    network::{CALL_TIMEOUT, Endpoint},
    platform::{NodePorts, Platform},
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

impl Link {
    fn close(&self) {
        self.closed.set(true);
        if !self.silent.get() {
            let wires = self.wires.borrow();
            wires.iter().for_each(mpsc::UnboundedSender::close_channel);
        }
    }
}

type Accept = Rc<dyn Fn(PeerLink)>;

#[derive(Default)]
pub(crate) struct Links {
    listeners: BTreeMap<NodeName, (Endpoint, Accept)>,
    links: Vec<Weak<Link>>,
}

impl Platform {
    /// Lets a node's present process take connections.
    pub fn listen(&self, node: &PeerAddress, accept: impl Fn(PeerLink) + 'static) {
        let listener = (self.endpoint(node), Rc::new(accept) as Accept);
        let listeners = &mut self.links.borrow_mut().listeners;
        listeners.insert(node.node.clone(), listener);
    }

    /// Ends a node's listener and closes its connections, as the end of its process does.
    pub fn hang_up(&self, node: &NodeName) {
        self.links.borrow_mut().listeners.remove(node);
        for link in self.open_links() {
            if link.ends.iter().any(|end| *end.name == *node.as_str()) {
                link.close();
            }
        }
    }

    pub(crate) fn silence_links(&self, percent: u64) {
        for link in self.open_links() {
            link.silent
                .set(link.silent.get() || self.sim.below(100) < percent);
        }
    }

    fn open_links(&self) -> Vec<Rc<Link>> {
        let links = &mut self.links.borrow_mut().links;
        links.retain(|link| link.strong_count() > 0);
        links.iter().filter_map(Weak::upgrade).collect()
    }

    /// Two halves of one direction of a connection.
    fn wire(self: &Rc<Self>, link: &Rc<Link>) -> (Rc<dyn PeerSender>, Box<dyn PeerReceiver>) {
        let (put, sent) = mpsc::unbounded();
        let (deliver, messages) = mpsc::unbounded();
        link.wires.borrow_mut().push(deliver.clone());
        let carry = self.clone().carry(link.clone(), sent, deliver);
        self.sim.spawn(ENVIRONMENT, carry);
        let sending = Sender {
            link: link.clone(),
            platform: self.clone(),
            put,
            last_us: Cell::new(0),
        };
        (Rc::new(sending), Box::new(Receiver(messages)))
    }

    async fn carry(
        self: Rc<Self>,
        link: Rc<Link>,
        mut sent: mpsc::UnboundedReceiver<(u64, Message)>,
        deliver: mpsc::UnboundedSender<Message>,
    ) {
        while let Some((arrival_us, message)) = sent.next().await {
            self.sim.sleep_until(arrival_us).await;
            while !link.closed.get() && !self.connected(&link.ends[0], &link.ends[1]) {
                self.sim.sleep(RETRY).await;
            }
            if !link.silent.get() && deliver.unbounded_send(message).is_err() {
                return;
            }
        }
        if !link.silent.get() {
            deliver.close_channel();
        }
    }
}

struct Sender {
    link: Rc<Link>,
    platform: Rc<Platform>,
    put: mpsc::UnboundedSender<(u64, Message)>,
    last_us: Cell<u64>,
}

impl PeerSender for Sender {
    fn send(&self, message: Message) -> Result<()> {
        if self.link.closed.get() {
            return Err(PortError::NotSent);
        }
        let arrival_us = self.platform.arrival_us().max(self.last_us.get());
        self.last_us.set(arrival_us);
        let sent = self.put.unbounded_send((arrival_us, message));
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

impl Peers for NodePorts {
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>> {
        let (platform, from, node) = (self.platform.clone(), self.from.clone(), peer.node.clone());
        Box::pin(async move {
            platform.trip().await;
            let listener = platform.links.borrow().listeners.get(&node).cloned();
            let (at, accept) = listener.ok_or(PortError::NotSent)?;
            if !platform.connected(&from, &at) {
                platform.sim.sleep(CALL_TIMEOUT).await;
                return Err(PortError::NotSent);
            }
            let process = at.process;
            let link = Rc::new(Link {
                ends: [from, at],
                silent: Cell::new(false),
                closed: Cell::new(false),
                wires: RefCell::default(),
            });
            platform.links.borrow_mut().links.push(Rc::downgrade(&link));
            let (sender, far_receiver) = platform.wire(&link);
            let (far_sender, receiver) = platform.wire(&link);
            let far = PeerLink {
                sender: far_sender,
                receiver: far_receiver,
            };
            platform.sim.spawn(process, async move { accept(far) });
            Ok(PeerLink { sender, receiver })
        })
    }
}
