//! Connection to a peer after the exchange of hellos.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    pin::pin,
    rc::Rc,
};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_types::peer::{Hello, Message, Request, Response, VERSION};

use crate::{
    core::CallError,
    ports::{PeerReceiver, PeerSender, PortError},
    wait::Signal,
};

/// Receiving half of a connection.
pub(super) type Receiver = Box<dyn PeerReceiver>;

/// Sending half of a connection, with the pending calls sent on it.
pub(super) struct Link {
    sender: Rc<dyn PeerSender>,
    started_ms: u64,
    version: u16,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Response>>>,
    is_closed: Cell<bool>,
    closed: Signal,
}

impl Link {
    pub(super) fn new(sender: Rc<dyn PeerSender>, hello: &Hello) -> Link {
        Link {
            sender,
            started_ms: hello.started_ms,
            version: hello.version.min(VERSION),
            waiting: RefCell::default(),
            is_closed: Cell::new(false),
            closed: Signal::default(),
        }
    }

    pub(super) fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Protocol version that both ends support.
    pub(super) fn version(&self) -> u16 {
        self.version
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Closes the connection; its pending calls end without a reply.
    pub(super) fn close(&self) {
        if !self.is_closed.replace(true) {
            self.sender.close();
            self.waiting.take();
            self.closed.notify();
        }
    }

    /// Runs a future; returns `None` if [`close`](Link::close) is called first.
    pub(super) async fn until_closed<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        match select(pin!(future), pin!(self.closed.wait_past(0))).await {
            Either::Left((value, _)) => Some(value),
            Either::Right(_) => None,
        }
    }

    pub(super) fn send_or_close(&self, message: Message) {
        if !self.is_closed() && self.sender.send(message).is_err() {
            self.close();
        }
    }

    pub(super) fn call(
        self: &Rc<Self>,
        number: u64,
        request: Request,
    ) -> Result<PendingCall, CallError> {
        if self.is_closed() {
            return Err(CallError::NotSent);
        }
        let (waiter, reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, waiter);
        let sent = self.sender.send(Message::Call(number, request));
        if let Err(error) = sent {
            self.close();
            return Err(match error {
                PortError::NotSent => CallError::NotSent,
                PortError::Unknown => CallError::NoReply,
            });
        }
        Ok(PendingCall {
            link: self.clone(),
            number,
            reply,
        })
    }

    /// Delivers a reply to its call; returns `false` if no call waits for it.
    pub(super) fn deliver_reply(&self, number: u64, response: Response) -> bool {
        let waiter = self.waiting.borrow_mut().remove(&number);
        // Sending fails if the caller no longer waits, so the reply counts as unmatched.
        waiter.is_some_and(|waiter| waiter.send(response).is_ok())
    }
}

/// Call that waits for its reply; unregistered when dropped.
pub(super) struct PendingCall {
    link: Rc<Link>,
    number: u64,
    reply: oneshot::Receiver<Response>,
}

impl PendingCall {
    /// Waits for the reply; returns `None` if the connection is closed first.
    pub(super) async fn reply(mut self) -> Option<Response> {
        (&mut self.reply).await.ok()
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.link.waiting.borrow_mut().remove(&self.number);
    }
}
