//! Connections to the owners of shards.
//!
//! A connection to an owner is opened by the first call and kept open. All calls that
//! wait for a connection share one attempt to open it, which goes on after they have
//! timed out. A call that times out closes the connection, because a connection may stay
//! silent although a new one would work. Calls to delegates share a connection with many
//! others and leave it open; the failure of a delegate is noticed by its silence.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use foldhash::{HashMap, HashMapExt};
use futures_channel::oneshot;
use hemlocksaddle_node::{
    ports::{PeerAddress, PeerLink, PeerReceiver, PeerSender, Peers, PortFuture},
    wait::{Signal, within},
};
use hemlocksaddle_policy::congestion::LatencyEstimate;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::NodeName,
    peer::{Message, Request, Response},
    workflow::{ShardRequest, ShardResponse},
};
use serde_json::json;

use crate::{event::Event, node::Env};

/// Shortest timeout of a call; a hundred times the latency between two data centres.
const MIN_ANSWER_TIMEOUT_MS: Millis = Millis(250);

/// Longest timeout of a call, while answers take long.
const MAX_ANSWER_TIMEOUT_MS: Millis = Millis(1_000);

/// Time limit for opening a connection, on a congested link.
///
/// Calls wait for the attempt in progress, so that a longer limit would delay them if its first packet is lost.
const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);

/// Time without a message from the peer after which an unanswered call closes the connection.
///
/// A congested link delivers late answers; to close its connections and open new ones would add to
/// the load.
const SILENT_MS: Millis = Millis(300);

/// Timeout of a call that stores a submission; leaves time for an attempt without the owner.
const STORE_REPLY_TIMEOUT_MS: Millis = Millis(2_000);

/// Time after which an owner that did not answer is called again.
const RETRY_LOST_MS: Millis = Millis(400);

type Pending = RefCell<HashMap<u64, oneshot::Sender<ShardResponse>>>;

struct Link {
    sender: Rc<dyn PeerSender>,
    pending: Pending,
    opened_at: MonoMs,
    /// Time of the latest message from the peer.
    heard_at: Cell<Option<MonoMs>>,
    /// Latency of the peer's answers.
    latency: Cell<LatencyEstimate>,
}

/// Outcome of a call to an owner.
pub(crate) enum CallOutcome {
    /// Owner answered.
    Answered(ShardResponse),
    /// Request was not sent.
    NotSent,
    /// Request was sent; no answer arrived in time.
    NoAnswer,
}

/// Connections to shard owners, by address.
pub(crate) struct Links {
    env: Rc<Env>,
    peers: OnceCell<Rc<dyn Peers>>,
    open: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Attempts in progress to open a connection; notified when they end.
    opening: RefCell<HashMap<SocketAddr, Rc<Signal>>>,
    next: Cell<u64>,
    /// Owners whose latest call failed, with the time of the failure.
    lost: RefCell<HashMap<SocketAddr, MonoMs>>,
}

/// Handles requests from other nodes.
pub(crate) trait RequestHandler {
    /// Answers a request from this node's own state.
    fn answer(&self, request: ShardRequest) -> PortFuture<'static, ShardResponse>;
}

impl Links {
    pub(crate) fn new(env: Rc<Env>) -> Rc<Links> {
        Rc::new(Links {
            env,
            peers: OnceCell::new(),
            open: RefCell::new(HashMap::new()),
            opening: RefCell::new(HashMap::new()),
            next: Cell::new(1),
            lost: RefCell::new(HashMap::new()),
        })
    }

    /// Sets the adapter that opens connections; later calls have no effect.
    pub(crate) fn set_peers(&self, peers: Rc<dyn Peers>) {
        // The peers' authentication key never changes, so a second adapter would be equal.
        let _ = self.peers.set(peers);
    }

    /// Calls an owner and waits for its answer.
    pub(crate) async fn call(
        self: &Rc<Self>,
        node: &NodeName,
        address: SocketAddr,
        request: ShardRequest,
    ) -> CallOutcome {
        // The answer to a submission waits for the store.
        let is_quick = !matches!(request, ShardRequest::Store(..));
        let limit = if is_quick {
            self.answer_timeout(address)
        } else {
            STORE_REPLY_TIMEOUT_MS
        };
        let sent_at = self.env.now();
        let outcome = self.call_within(node, address, request, limit).await;
        match outcome {
            CallOutcome::Answered(_) => {
                self.lost.borrow_mut().remove(&address);
                if is_quick {
                    self.record_latency(address, sent_at);
                }
            }
            CallOutcome::NoAnswer if self.heard_since(address, sent_at) => {}
            CallOutcome::NoAnswer | CallOutcome::NotSent => self.close(node, address),
        }
        outcome
    }

    /// Returns the time at which a peer last sent anything on the open connection to it.
    pub(crate) fn heard_at(&self, address: SocketAddr) -> Option<MonoMs> {
        let open = self.open.borrow();
        open.get(&address).and_then(|link| link.heard_at.get())
    }

    fn answer_timeout(&self, address: SocketAddr) -> Millis {
        let open = self.open.borrow();
        open.get(&address).map_or(MIN_ANSWER_TIMEOUT_MS, |link| {
            let latency = link.latency.get();
            latency.timeout(MIN_ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS)
        })
    }

    fn record_latency(&self, address: SocketAddr, sent_at: MonoMs) {
        if let Some(link) = self.open.borrow().get(&address) {
            let mut latency = link.latency.get();
            latency.record(self.env.now().since(sent_at));
            link.latency.set(latency);
        }
    }

    /// Returns whether the peer has sent anything since a call, or shortly before.
    fn heard_since(&self, address: SocketAddr, sent_at: MonoMs) -> bool {
        let open = self.open.borrow();
        open.get(&address).is_some_and(|link| {
            let heard_at = link.heard_at.get();
            let alive_at = heard_at.unwrap_or(link.opened_at);
            heard_at.is_some_and(|at| at >= sent_at) || self.env.now().since(alive_at) < SILENT_MS
        })
    }

    /// Calls a node and waits for its answer; a timeout leaves the connection open.
    pub(crate) async fn call_within(
        self: &Rc<Self>,
        node: &NodeName,
        address: SocketAddr,
        request: ShardRequest,
        limit: Millis,
    ) -> CallOutcome {
        let sent = Cell::new(None);
        let call = self.call_on_link(node, address, request, &sent);
        let answer = within(&*self.env.ports.runtime, limit, call).await;
        if let Some(answer) = answer.flatten() {
            return CallOutcome::Answered(answer);
        }
        let Some(number) = sent.get() else {
            return CallOutcome::NotSent;
        };
        if let Some(link) = self.open.borrow().get(&address) {
            link.pending.borrow_mut().remove(&number);
        }
        CallOutcome::NoAnswer
    }

    /// Returns whether a call to an owner failed less than `RETRY_LOST_MS` ago.
    ///
    /// After that time the owner may be called again.
    pub(crate) fn recently_lost(&self, address: SocketAddr) -> bool {
        let lost_at = self.lost.borrow().get(&address).copied();
        lost_at.is_some_and(|at| self.env.now().since(at) < RETRY_LOST_MS)
    }

    /// Returns whether calls to an owner are waiting for an answer.
    pub(crate) fn has_pending(&self, address: SocketAddr) -> bool {
        let open = self.open.borrow();
        open.get(&address)
            .is_some_and(|link| !link.pending.borrow().is_empty())
    }

    fn close(&self, node: &NodeName, address: SocketAddr) {
        let link = self.open.borrow_mut().remove(&address);
        if let Some(link) = link {
            link.sender.close();
            // Dropping the senders ends the pending calls.
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
        request: ShardRequest,
        sent: &Cell<Option<u64>>,
    ) -> Option<ShardResponse> {
        let link = self.link(node, address).await?;
        let number = self.next.get();
        self.next.set(number + 1);
        let (answered, answer) = oneshot::channel();
        link.pending.borrow_mut().insert(number, answered);
        let call = Message::Call(number, Request::Workflow(request));
        link.sender.send(call).ok()?;
        sent.set(Some(number));
        answer.await.ok()
    }

    /// Returns whether a connection is open.
    pub(crate) fn is_open(&self, address: SocketAddr) -> bool {
        self.open.borrow().contains_key(&address)
    }

    /// Opens a connection in the background, unless it is open or being opened.
    pub(crate) fn prepare(self: &Rc<Self>, node: &NodeName, address: SocketAddr) {
        if !self.is_open(address) {
            self.start_opening(node, address);
        }
    }

    async fn link(self: &Rc<Self>, node: &NodeName, address: SocketAddr) -> Option<Rc<Link>> {
        if let Some(link) = self.open.borrow().get(&address) {
            return Some(link.clone());
        }
        self.start_opening(node, address).wait_past(0).await;
        self.open.borrow().get(&address).cloned()
    }

    /// Returns the signal of the attempt to open a connection, after starting one if there is none.
    fn start_opening(self: &Rc<Self>, node: &NodeName, address: SocketAddr) -> Rc<Signal> {
        if let Some(ended) = self.opening.borrow().get(&address) {
            return ended.clone();
        }
        let ended = Rc::new(Signal::default());
        self.opening.borrow_mut().insert(address, ended.clone());
        let peer = PeerAddress {
            node: node.clone(),
            data_centre: self.env.settings.data_centre.clone(),
            address,
        };
        let links = self.clone();
        let notified = ended.clone();
        self.env.spawn(async move {
            links.open(&peer).await;
            links.opening.borrow_mut().remove(&address);
            notified.notify();
        });
        ended
    }

    /// Opens a connection; calls that wait for it notice a failure by its absence.
    async fn open(self: &Rc<Self>, peer: &PeerAddress) {
        let address = peer.address;
        let Some(peers) = self.peers.get() else {
            return;
        };
        let connecting = peers.connect(peer);
        let opened = within(&*self.env.ports.runtime, CONNECT_TIMEOUT_MS, connecting).await;
        let Some(Ok(opened)) = opened else {
            return;
        };
        let link = Rc::new(Link {
            sender: opened.sender,
            pending: Pending::default(),
            opened_at: self.env.now(),
            heard_at: Cell::new(None),
            latency: Cell::default(),
        });
        self.open.borrow_mut().insert(address, link.clone());
        let links = self.clone();
        self.env.spawn(async move {
            receive_answers(&links.env, &link, opened.receiver).await;
            let mut open = links.open.borrow_mut();
            if open
                .get(&address)
                .is_some_and(|open| Rc::ptr_eq(open, &link))
            {
                open.remove(&address);
            }
        });
    }

    /// Handles the requests of a peer until it closes the connection.
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
                // A closed connection is noticed by the next receive.
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

async fn receive_answers(env: &Env, link: &Link, mut receiver: Box<dyn PeerReceiver>) {
    while let Ok(message) = receiver.receive().await {
        link.heard_at.set(Some(env.now()));
        if let Message::Reply(number, Response::Workflow(answer)) = message {
            let waiting = link.pending.borrow_mut().remove(&number);
            if let Some(waiting) = waiting {
                // The call may have timed out meanwhile.
                let _ = waiting.send(answer);
            }
        }
    }
    link.pending.borrow_mut().clear();
}
