//! Connections to the owners of shards.
//!
//! A node opens a connection to an owner when it first has a request and keeps
//! it. A request without an answer in time closes the connection, because a
//! connection may go silent for good while a new one works.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use foldhash::{HashMap, HashMapExt};
use futures_channel::oneshot;
use hemlocksaddle_node::{
    ports::{PeerAddress, PeerLink, PeerReceiver, PeerSender, Peers, PortFuture},
    wait::within,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::NodeName,
    peer::{Message, Request, Response},
    workflow::{Answer, Question},
};
use serde_json::json;

use crate::{event::Event, node::Env};

/// Time for an answer; a hundred times the way between two data centres.
const ANSWER_TIMEOUT_MS: Millis = Millis(250);

/// Time for the answer that a submission is stored; leaves the caller time for another way.
const STORE_REPLY_TIMEOUT_MS: Millis = Millis(2_000);

/// Time after which an owner that did not answer is asked again.
const RETRY_LOST_MS: Millis = Millis(400);

type Pending = RefCell<HashMap<u64, oneshot::Sender<Answer>>>;

struct Link {
    sender: Rc<dyn PeerSender>,
    pending: Pending,
}

/// Outcome of a request to an owner.
pub(crate) enum CallOutcome {
    /// Owner answered.
    Answered(Answer),
    /// Question was not sent.
    NotSent,
    /// Question was sent, and no answer came in time.
    NoAnswer,
}

/// Connections to owners.
pub(crate) struct Links {
    env: Rc<Env>,
    peers: OnceCell<Rc<dyn Peers>>,
    open: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    next: Cell<u64>,
    /// Owners that did not answer last time, with that time.
    lost: RefCell<HashMap<SocketAddr, MonoMs>>,
}

/// Answers questions of other nodes.
pub(crate) trait RequestHandler {
    /// Answers a request from this node's own state.
    fn answer(&self, request: Question) -> PortFuture<'static, Answer>;
}

impl Links {
    pub(crate) fn new(env: Rc<Env>) -> Rc<Links> {
        Rc::new(Links {
            env,
            peers: OnceCell::new(),
            open: RefCell::new(HashMap::new()),
            next: Cell::new(1),
            lost: RefCell::new(HashMap::new()),
        })
    }

    /// Sets the way to open connections; later calls change nothing.
    pub(crate) fn set_peers(&self, peers: Rc<dyn Peers>) {
        // The key of the peers never changes, so a second adapter would be the same.
        let _ = self.peers.set(peers);
    }

    /// Asks an owner.
    pub(crate) async fn call(
        self: &Rc<Self>,
        node: &NodeName,
        address: SocketAddr,
        request: Question,
    ) -> CallOutcome {
        let limit = match request {
            Question::Store(..) => STORE_REPLY_TIMEOUT_MS,
            Question::State(..) | Question::Waiting(..) | Question::Ownership(_) => {
                ANSWER_TIMEOUT_MS
            }
        };
        let sent = Cell::new(false);
        let call = self.call_on_link(node, address, request, &sent);
        let answer = within(&*self.env.ports.runtime, limit, call).await;
        let Some(answer) = answer.flatten() else {
            self.close(node, address);
            return if sent.get() {
                CallOutcome::NoAnswer
            } else {
                CallOutcome::NotSent
            };
        };
        self.lost.borrow_mut().remove(&address);
        CallOutcome::Answered(answer)
    }

    /// Whether an owner did not answer a moment ago.
    ///
    /// After that it is asked again, by one caller at a time.
    pub(crate) fn recently_lost(&self, address: SocketAddr) -> bool {
        let lost_at = self.lost.borrow().get(&address).copied();
        lost_at.is_some_and(|at| self.env.now().since(at) < RETRY_LOST_MS)
    }

    /// Whether an owner has been asked something that it has not answered yet.
    pub(crate) fn has_pending(&self, address: SocketAddr) -> bool {
        let open = self.open.borrow();
        open.get(&address)
            .is_some_and(|link| !link.pending.borrow().is_empty())
    }

    fn close(&self, node: &NodeName, address: SocketAddr) {
        let link = self.open.borrow_mut().remove(&address);
        if let Some(link) = link {
            link.sender.close();
            // Whoever waits for an answer goes on without it.
            link.pending.borrow_mut().clear();
        }
        if self
            .lost
            .borrow_mut()
            .insert(address, self.env.now())
            .is_none()
        {
            let inputs = json!({ "owner": node.as_str(), "address": address.to_string() });
            self.env.event(Event::OwnerLost, &inputs);
        }
    }

    async fn call_on_link(
        self: &Rc<Self>,
        node: &NodeName,
        address: SocketAddr,
        request: Question,
        sent: &Cell<bool>,
    ) -> Option<Answer> {
        let opening = self.link(node, address);
        let opened = within(&*self.env.ports.runtime, ANSWER_TIMEOUT_MS, opening).await;
        let link = opened.flatten()?;
        let number = self.next.get();
        self.next.set(number + 1);
        let (answered, answer) = oneshot::channel();
        link.pending.borrow_mut().insert(number, answered);
        let call = Message::Call(number, Request::Workflow(request));
        link.sender.send(call).ok()?;
        sent.set(true);
        answer.await.ok()
    }

    async fn link(self: &Rc<Self>, node: &NodeName, address: SocketAddr) -> Option<Rc<Link>> {
        if let Some(link) = self.open.borrow().get(&address) {
            return Some(link.clone());
        }
        let peers = self.peers.get()?;
        let peer = PeerAddress {
            node: node.clone(),
            data_centre: self.env.settings.data_centre.clone(),
            address,
        };
        let opened = peers.connect(&peer).await.ok()?;
        let link = Rc::new(Link {
            sender: opened.sender,
            pending: Pending::default(),
        });
        self.open.borrow_mut().insert(address, link.clone());
        let links = self.clone();
        let received = link.clone();
        self.env.spawn(async move {
            receive_answers(&received, opened.receiver).await;
            let mut open = links.open.borrow_mut();
            if open
                .get(&address)
                .is_some_and(|open| Rc::ptr_eq(open, &received))
            {
                open.remove(&address);
            }
        });
        Some(link)
    }

    /// Answers the questions of a peer until it closes the connection.
    pub(crate) async fn serve(env: Rc<Env>, link: PeerLink, handler: Rc<dyn RequestHandler>) {
        let PeerLink {
            sender,
            mut receiver,
        } = link;
        while let Ok(message) = receiver.receive().await {
            let Message::Call(number, request) = message else {
                continue;
            };
            let Request::Workflow(shard_request) = request else {
                // A closed connection shows at the next receive.
                let _ = sender.send(Message::Reply(number, Response::Unsupported));
                continue;
            };
            let answer = handler.answer(shard_request);
            let sender = sender.clone();
            env.spawn(async move {
                let response = Response::Workflow(answer.await);
                let _ = sender.send(Message::Reply(number, response));
            });
        }
    }
}

async fn receive_answers(link: &Link, mut receiver: Box<dyn PeerReceiver>) {
    while let Ok(message) = receiver.receive().await {
        if let Message::Reply(number, Response::Workflow(answer)) = message {
            let waiting = link.pending.borrow_mut().remove(&number);
            if let Some(waiting) = waiting {
                // The call task may have given up meanwhile.
                let _ = waiting.send(answer);
            }
        }
    }
    link.pending.borrow_mut().clear();
}
