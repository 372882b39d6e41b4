//! Calls and heartbeats between nodes.
//!
//! Of two nodes, the one with the lower name dials; calls go in both directions
//! of the connection. Each connection has one receiving task, which also detects
//! that the peer is silent. Call numbers are unique within a process, and a reply
//! is matched only with calls on its own connection, so a late reply cannot
//! answer a different call.
//!
//! Successive incarnations of a node under the same name are distinguished by
//! their start time: a connection of an earlier incarnation never replaces one of
//! a later incarnation.

mod link;

use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
};

use futures_channel::oneshot;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::NodeName,
    outcome::ResultCode,
    peer::{Heartbeat, Hello, Message, Request, Response, VERSION},
    record::Offset,
};

use crate::{
    core::{CallError, Calls, Handler, PeerState},
    env::Env,
    event::Event,
    ports::{PeerAddress, PeerLink, PortFuture},
    wait::{Signal, jitter, within},
};

use link::Link;

/// Maximum number of calls of a peer that are handled at once; more are refused.
pub const MAX_CALLS_PER_PEER: usize = 4_096;

/// Timeout for opening a connection, and again for receiving the peer's hello.
const HELLO_TIMEOUT_MS: Millis = Millis(2_000);

/// Base delay of the exponential backoff between connection attempts.
const INITIAL_REDIAL_DELAY_MS: Millis = Millis(50);

/// Maximum delay between connection attempts, before jitter.
const MAX_REDIAL_DELAY_MS: Millis = Millis(1_000);

/// Interval at which a stopping node checks for calls in progress.
const DRAIN_POLL_INTERVAL_MS: Millis = Millis(20);

/// Duration of a connection after which the backoff is reset.
const STABLE_CONNECTION_MS: Millis = Millis(5_000);

/// Other node in the settings, with its connection state.
struct Peer {
    address: PeerAddress,
    link: RefCell<Option<Rc<Link>>>,
    last_heartbeat_ms: Cell<Option<MonoMs>>,
    heartbeat: RefCell<Option<Rc<Heartbeat>>>,
    calls_in_progress: Cell<usize>,
}

/// Connections to all peers.
pub struct PeerCalls {
    env: Rc<Env>,
    peers: Vec<Rc<Peer>>,
    handlers: RefCell<Vec<Weak<dyn Handler>>>,
    next_call: Cell<u64>,
    local_calls_in_progress: Cell<usize>,
    heartbeat_requested: Signal,
}

impl PeerCalls {
    /// Creates the peers of the settings, not connected.
    #[must_use]
    pub fn new(env: Rc<Env>) -> Rc<PeerCalls> {
        let others = env.settings.peers.iter();
        let others = others.filter(|peer| peer.node != env.settings.node);
        let peers = others.map(|address| {
            Rc::new(Peer {
                address: address.clone(),
                link: RefCell::default(),
                last_heartbeat_ms: Cell::default(),
                heartbeat: RefCell::default(),
                calls_in_progress: Cell::default(),
            })
        });
        Rc::new(PeerCalls {
            peers: peers.collect(),
            env,
            handlers: RefCell::default(),
            next_call: Cell::new(1),
            local_calls_in_progress: Cell::default(),
            heartbeat_requested: Signal::default(),
        })
    }

    /// Adds a handler; a call goes to the first handler that accepts it.
    pub fn add_handler(&self, handler: &Rc<dyn Handler>) {
        self.handlers.borrow_mut().push(Rc::downgrade(handler));
    }

    /// Starts heartbeats and dials the peers with higher names.
    pub fn start(self: &Rc<Self>) {
        self.env.spawn(self.clone().run_heartbeats());
        for peer in &self.peers {
            if peer.address.node > *self.env.node() {
                self.env.spawn(self.clone().run_dialler(peer.clone()));
            }
        }
    }

    /// Serves a connection opened by a peer.
    pub fn accept(self: &Rc<Self>, link: PeerLink) {
        let this = self.clone();
        self.env.spawn(async move {
            if let Some((peer, link, receiver)) = this.handshake(link, None).await {
                this.serve(&peer, link, receiver).await;
            }
        });
    }

    /// Waits until no call is being handled, at most for the timeout.
    pub async fn drain(&self, timeout: Millis) {
        let drained = async {
            while self.total_calls_in_progress() > 0 {
                self.env.sleep(DRAIN_POLL_INTERVAL_MS).await;
            }
        };
        within(&*self.env.ports.runtime, timeout, drained).await;
    }

    fn total_calls_in_progress(&self) -> usize {
        let peers = self.peers.iter();
        let of_peers: usize = peers.map(|peer| peer.calls_in_progress.get()).sum();
        of_peers + self.local_calls_in_progress.get()
    }

    /// Closes all connections.
    pub fn close(&self) {
        for peer in &self.peers {
            if let Some(link) = peer.link.take() {
                link.close();
            }
        }
        self.heartbeat_requested.notify();
    }

    fn peer(&self, node: &NodeName) -> Option<&Rc<Peer>> {
        self.peers.iter().find(|peer| peer.address.node == *node)
    }

    fn handlers(&self) -> Vec<Rc<dyn Handler>> {
        let handlers = self.handlers.borrow();
        handlers.iter().filter_map(Weak::upgrade).collect()
    }

    fn hello(&self) -> Message {
        Message::Hello(Hello {
            version: VERSION,
            node: self.env.node().clone(),
            data_centre: self.env.settings.data_centre.clone(),
            started_ms: self.env.started_ms,
        })
    }

    fn heartbeat(&self) -> Heartbeat {
        let mut heartbeat = Heartbeat {
            documents_next: Offset(0),
            ready: self.env.ready.get(),
            leaving: self.env.stopping.get(),
            log_failed_ago_ms: None,
            publish_unsettled: false,
            slots: Vec::new(),
            racks: Vec::new(),
        };
        let handlers = self.handlers();
        handlers
            .iter()
            .for_each(|handler| handler.fill_heartbeat(&mut heartbeat));
        heartbeat
    }

    async fn run_heartbeats(self: Rc<Self>) {
        while !self.env.ended.get() {
            let seen = self.heartbeat_requested.count();
            let message = Message::Heartbeat(self.heartbeat());
            for peer in &self.peers {
                let link = peer.link.borrow().clone();
                if let Some(link) = link {
                    link.send_or_close(message.clone());
                }
            }
            let interval = self.env.settings.timing.heartbeat_ms;
            let requested = self.heartbeat_requested.wait_past(seen);
            within(&*self.env.ports.runtime, interval, requested).await;
        }
    }

    async fn run_dialler(self: Rc<Self>, peer: Rc<Peer>) {
        let mut failures = 0_u32;
        while !self.env.ended.get() {
            let began_ms = self.env.now();
            if let Some((_, link, receiver)) = self.dial(&peer).await {
                self.serve(&peer, link, receiver).await;
            }
            let uptime = self.env.now().since(began_ms);
            failures = match uptime >= STABLE_CONNECTION_MS {
                true => 0,
                false => failures + 1,
            };
            let doubled = Millis(INITIAL_REDIAL_DELAY_MS.0 << failures.min(10));
            let delay = doubled.min(MAX_REDIAL_DELAY_MS);
            let jittered = Millis(delay.0 / 2) + jitter(&*self.env.ports.runtime, delay);
            self.env.sleep(jittered).await;
        }
    }

    async fn dial(&self, peer: &Rc<Peer>) -> Option<(Rc<Peer>, Rc<Link>, link::Receiver)> {
        let connect = self.env.ports.peers.connect(&peer.address);
        let connected = within(&*self.env.ports.runtime, HELLO_TIMEOUT_MS, connect).await;
        self.handshake(connected?.ok()?, Some(&peer.address.node))
            .await
    }

    /// Exchanges hellos and installs the connection; returns `None` if it is rejected.
    async fn handshake(
        &self,
        raw: PeerLink,
        expected: Option<&NodeName>,
    ) -> Option<(Rc<Peer>, Rc<Link>, link::Receiver)> {
        let PeerLink {
            sender,
            mut receiver,
        } = raw;
        let sent = sender.send(self.hello());
        let answer = within(
            &*self.env.ports.runtime,
            HELLO_TIMEOUT_MS,
            receiver.receive(),
        )
        .await;
        let hello = match (sent, answer) {
            (Ok(()), Some(Ok(Message::Hello(hello)))) => hello,
            _ => {
                sender.close();
                return None;
            }
        };
        let is_expected = expected.is_none_or(|expected| *expected == hello.node);
        let peer = self.peer(&hello.node).filter(|_| is_expected).cloned();
        let Some(peer) = peer else {
            Event::PeerMessageInvalid.log(format_args!("hello from unknown node {}", hello.node));
            sender.close();
            return None;
        };
        let link = Rc::new(Link::new(sender, &hello));
        match self.install(&peer, &link) {
            true => Some((peer, link, receiver)),
            false => {
                link.close();
                None
            }
        }
    }

    fn install(&self, peer: &Peer, link: &Rc<Link>) -> bool {
        let current = peer.link.borrow().clone();
        if let Some(current) = current {
            if current.started_ms() > link.started_ms() {
                return false;
            }
            current.close();
        }
        peer.link.replace(Some(link.clone()));
        Event::PeerConnected.log(format_args!(
            "{}, messages of version {}",
            peer.address.node,
            link.version()
        ));
        link.send_or_close(Message::Heartbeat(self.heartbeat()));
        true
    }

    /// Receives messages until the connection is closed or the peer is silent.
    async fn serve(self: &Rc<Self>, peer: &Rc<Peer>, link: Rc<Link>, mut receiver: link::Receiver) {
        let silent_ms = self.env.settings.timing.peer_silent_ms;
        while !link.is_closed() && !self.env.ended.get() {
            let message = within(
                &*self.env.ports.runtime,
                silent_ms,
                link.until_closed(receiver.receive()),
            );
            match message.await {
                Some(Some(Ok(message))) => self.receive(peer, &link, message),
                Some(Some(Err(_)) | None) | None => break,
            }
        }
        link.close();
        let is_current =
            matches!(&*peer.link.borrow(), Some(current) if Rc::ptr_eq(current, &link));
        if is_current {
            peer.link.replace(None);
            Event::PeerLost.log(format_args!("{}", peer.address.node));
        }
    }

    fn receive(self: &Rc<Self>, peer: &Rc<Peer>, link: &Rc<Link>, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => {
                peer.last_heartbeat_ms.set(Some(self.env.now()));
                peer.heartbeat.replace(Some(Rc::new(heartbeat)));
            }
            Message::Call(number, request) => self.answer(peer, link, number, &request),
            Message::Reply(number, response) => {
                if !link.deliver_reply(number, response) {
                    Event::AnswerDropped
                        .log(format_args!("reply {number} matches no pending call"));
                }
            }
            Message::Hello(hello) => {
                Event::PeerMessageInvalid.log(format_args!("second hello from {}", hello.node));
            }
        }
    }

    fn answer(self: &Rc<Self>, peer: &Rc<Peer>, link: &Rc<Link>, number: u64, request: &Request) {
        if peer.calls_in_progress.get() >= MAX_CALLS_PER_PEER {
            let text = "too many calls in progress".into();
            let refusal = Response::Refused(ResultCode::Overloaded, text);
            link.send_or_close(Message::Reply(number, refusal));
            return;
        }
        let Some(handling) = self.dispatch(&peer.address.node, request) else {
            link.send_or_close(Message::Reply(number, Response::Unsupported));
            return;
        };
        let (peer, link) = (peer.clone(), link.clone());
        peer.calls_in_progress.set(peer.calls_in_progress.get() + 1);
        self.env.spawn(async move {
            let response = handling.await;
            peer.calls_in_progress.set(peer.calls_in_progress.get() - 1);
            link.send_or_close(Message::Reply(number, response));
        });
    }

    fn dispatch(
        &self,
        from: &NodeName,
        request: &Request,
    ) -> Option<PortFuture<'static, Response>> {
        let handlers = self.handlers();
        handlers
            .iter()
            .find_map(|handler| handler.handle(from, request))
    }

    /// Handles a call of this node to itself; as at a peer, handling continues after a timeout.
    async fn call_self(self: &Rc<Self>, request: Request, timeout: Millis) -> CallResult {
        let Some(handling) = self.dispatch(self.env.node(), &request) else {
            return Ok(Response::Unsupported);
        };
        let (waiter, reply) = oneshot::channel();
        let this = self.clone();
        self.local_calls_in_progress
            .set(self.local_calls_in_progress.get() + 1);
        self.env.spawn(async move {
            let response = handling.await;
            let left = this.local_calls_in_progress.get() - 1;
            this.local_calls_in_progress.set(left);
            // Sending fails only if the caller no longer waits.
            let _ = waiter.send(response);
        });
        let reply = within(&*self.env.ports.runtime, timeout, reply).await;
        reply.and_then(Result::ok).ok_or(CallError::NoReply)
    }

    async fn call_peer(&self, node: &NodeName, request: Request, timeout: Millis) -> CallResult {
        let link = self.peer(node).and_then(|peer| peer.link.borrow().clone());
        let link = link.ok_or(CallError::NotSent)?;
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        let call = link.call(number, request)?;
        let reply = within(&*self.env.ports.runtime, timeout, call.reply()).await;
        reply.flatten().ok_or(CallError::NoReply)
    }
}

/// Response to a call, or why there is none.
pub type CallResult = std::result::Result<Response, CallError>;

/// Shared handle to [`PeerCalls`].
pub struct SharedCalls(pub Rc<PeerCalls>);

impl Calls for SharedCalls {
    fn call(
        &self,
        node: &NodeName,
        request: Request,
        timeout: Millis,
    ) -> PortFuture<'_, CallResult> {
        let node = node.clone();
        Box::pin(async move {
            match node == *self.0.env.node() {
                true => self.0.call_self(request, timeout).await,
                false => self.0.call_peer(&node, request, timeout).await,
            }
        })
    }

    fn peers(&self) -> Vec<PeerState> {
        let peers = self.0.peers.iter();
        peers
            .map(|peer| PeerState {
                node: peer.address.node.clone(),
                data_centre: peer.address.data_centre.clone(),
                last_heartbeat_ms: peer.last_heartbeat_ms.get(),
                heartbeat: peer.heartbeat.borrow().clone(),
            })
            .collect()
    }

    fn send_heartbeats(&self) {
        self.0.heartbeat_requested.notify();
    }
}
