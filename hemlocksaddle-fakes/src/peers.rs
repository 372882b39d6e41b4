//! Connections between nodes.
//!
//! Messages arrive in order. A partition delays them; a silent connection drops them.

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

/// Interval at which delivery is retried during a partition.
const RETRY_INTERVAL: Millis = Millis(200);

/// State shared by the two ends of a connection.
struct Link {
    ends: [Endpoint; 2],
    silent: Cell<bool>,
    closed: Cell<bool>,
    channels: RefCell<Vec<mpsc::UnboundedSender<Message>>>,
}

impl Link {
    fn close(&self) {
        self.closed.set(true);
        if !self.silent.get() {
            let channels = self.channels.borrow();
            channels
                .iter()
                .for_each(mpsc::UnboundedSender::close_channel);
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
    /// Accepts connections to a node's current process.
    pub fn listen(&self, node: &PeerAddress, accept: impl Fn(PeerLink) + 'static) {
        let listener = (self.endpoint(node), Rc::new(accept) as Accept);
        let listeners = &mut self.links.borrow_mut().listeners;
        listeners.insert(node.node.clone(), listener);
    }

    /// Removes a node's listener and closes its connections, as the end of its process does.
    pub fn disconnect(&self, node: &NodeName) {
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

    /// Sender and receiver of one direction of a connection.
    fn open_channel(
        self: &Rc<Self>,
        link: &Rc<Link>,
    ) -> (Rc<dyn PeerSender>, Box<dyn PeerReceiver>) {
        let (outgoing, queued) = mpsc::unbounded();
        let (incoming, messages) = mpsc::unbounded();
        link.channels.borrow_mut().push(incoming.clone());
        let delivery = self
            .clone()
            .deliver_messages(link.clone(), queued, incoming);
        self.sim.spawn(ENVIRONMENT, delivery);
        let sender = Sender {
            link: link.clone(),
            platform: self.clone(),
            outgoing,
            last_arrival_us: Cell::new(0),
        };
        (Rc::new(sender), Box::new(Receiver(messages)))
    }

    async fn deliver_messages(
        self: Rc<Self>,
        link: Rc<Link>,
        mut queued: mpsc::UnboundedReceiver<(u64, Message)>,
        incoming: mpsc::UnboundedSender<Message>,
    ) {
        while let Some((arrival_us, message)) = queued.next().await {
            self.sim.sleep_until(arrival_us).await;
            while !link.closed.get() && !self.connected(&link.ends[0], &link.ends[1]) {
                self.sim.sleep(RETRY_INTERVAL).await;
            }
            if !link.silent.get() && incoming.unbounded_send(message).is_err() {
                return;
            }
        }
        if !link.silent.get() {
            incoming.close_channel();
        }
    }
}

struct Sender {
    link: Rc<Link>,
    platform: Rc<Platform>,
    outgoing: mpsc::UnboundedSender<(u64, Message)>,
    last_arrival_us: Cell<u64>,
}

impl PeerSender for Sender {
    fn send(&self, message: Message) -> Result<()> {
        if self.link.closed.get() {
            return Err(PortError::NotSent);
        }
        let arrival_us = self.platform.arrival_us().max(self.last_arrival_us.get());
        self.last_arrival_us.set(arrival_us);
        let sent = self.outgoing.unbounded_send((arrival_us, message));
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
            platform.network_delay().await;
            let listener = platform.links.borrow().listeners.get(&node).cloned();
            let (to, accept) = listener.ok_or(PortError::NotSent)?;
            if !platform.connected(&from, &to) {
                platform.sim.sleep(CALL_TIMEOUT).await;
                return Err(PortError::NotSent);
            }
            let process = to.process;
            let link = Rc::new(Link {
                ends: [from, to],
                silent: Cell::new(false),
                closed: Cell::new(false),
                channels: RefCell::default(),
            });
            platform.links.borrow_mut().links.push(Rc::downgrade(&link));
            let (sender, remote_receiver) = platform.open_channel(&link);
            let (remote_sender, receiver) = platform.open_channel(&link);
            let remote = PeerLink {
                sender: remote_sender,
                receiver: remote_receiver,
            };
            platform.sim.spawn(process, async move { accept(remote) });
            Ok(PeerLink { sender, receiver })
        })
    }
}
