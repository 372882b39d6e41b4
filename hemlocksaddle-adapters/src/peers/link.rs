//! Sending and receiving halves of an authenticated peer connection.
//!
//! `send` only queues a message; a separate task writes it, so that a slow peer
//! never blocks the node. The queue is bounded in bytes. A peer whose queue is
//! full does not read, so its connection is closed; the node opens a new one.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{
    FutureExt, SinkExt, StreamExt,
    future::{Either, Shared, select},
    stream::{SplitSink, SplitStream},
};
use hemlocksaddle_node::{
    event::Event,
    ports::{PeerLink, PeerReceiver, PeerSender, PortError, PortFuture, Result},
};
use hemlocksaddle_types::peer::Message;
use tokio_tungstenite::{WebSocketStream, tungstenite::Message as Frame};

use super::{Stream, auth::MAX_MESSAGE_BYTES};

/// Maximum number of queued bytes, enough for two messages of the maximum size.
const MAX_QUEUED_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// Time for writing queued messages after this side has closed the connection.
const LINGER: Duration = Duration::from_millis(1_000);

/// State shared by both halves and the writing task.
struct Connection {
    queue: RefCell<Option<mpsc::UnboundedSender<Bytes>>>,
    queued_bytes: Cell<usize>,
    closing: RefCell<Option<oneshot::Sender<()>>>,
}

type CloseSignal = Shared<oneshot::Receiver<()>>;

impl Connection {
    fn close(&self) {
        self.queue.take();
        self.closing.take();
    }
}

/// Creates a link from an authenticated connection and starts its writing task.
pub(super) fn link(socket: WebSocketStream<Stream>) -> PeerLink {
    let (sink, stream) = socket.split();
    let (queue, queued) = mpsc::unbounded();
    let (closing, closed) = oneshot::channel();
    let closed = closed.shared();
    let connection = Rc::new(Connection {
        queue: RefCell::new(Some(queue)),
        queued_bytes: Cell::new(0),
        closing: RefCell::new(Some(closing)),
    });
    let writer = write(sink, queued, Rc::clone(&connection), closed.clone());
    compio::runtime::spawn(writer).detach();
    PeerLink {
        sender: Rc::new(Sender {
            connection: Rc::clone(&connection),
        }),
        receiver: Box::new(Receiver {
            connection,
            stream,
            closed,
        }),
    }
}

async fn write(
    sink: SplitSink<WebSocketStream<Stream>, Frame>,
    queued: mpsc::UnboundedReceiver<Bytes>,
    connection: Rc<Connection>,
    closed: CloseSignal,
) {
    let writing = write_queued(sink, queued, Rc::clone(&connection)).boxed_local();
    if let Either::Right((_, writing)) = select(writing, closed).await {
        // Closed by this side: messages that were queued before are still written.
        let _ = compio::time::timeout(LINGER, writing).await;
    }
    connection.close();
}

async fn write_queued(
    mut sink: SplitSink<WebSocketStream<Stream>, Frame>,
    mut queued: mpsc::UnboundedReceiver<Bytes>,
    connection: Rc<Connection>,
) {
    while let Some(first) = queued.next().await {
        // Messages that are queued together are written together.
        let mut next = Some(first);
        let mut length = 0;
        while let Some(bytes) = next {
            length += bytes.len();
            if sink.feed(Frame::Binary(bytes)).await.is_err() {
                return;
            }
            next = queued.try_recv().ok();
        }
        if sink.flush().await.is_err() {
            return;
        }
        let remaining = connection.queued_bytes.get().saturating_sub(length);
        connection.queued_bytes.set(remaining);
    }
    let _ = sink.close().await;
}

/// Sending half.
struct Sender {
    connection: Rc<Connection>,
}

impl PeerSender for Sender {
    fn send(&self, message: Message) -> Result<()> {
        let mut bytes = Vec::new();
        if ciborium::into_writer(&message, &mut bytes).is_err() || bytes.len() > MAX_MESSAGE_BYTES {
            // The peer would close the connection on receipt; a call that is dropped here
            // times out.
            log::error!(
                target: "hemlocksaddle",
                "message of {} bytes to a peer dropped; at most {MAX_MESSAGE_BYTES} are allowed",
                bytes.len()
            );
            return Ok(());
        }
        let connection = &self.connection;
        let queued_bytes = connection.queued_bytes.get() + bytes.len();
        if queued_bytes > MAX_QUEUED_BYTES {
            connection.close();
            return Err(PortError::NotSent);
        }
        let queue = connection.queue.borrow();
        let queue = queue.as_ref().ok_or(PortError::NotSent)?;
        let sent = queue.unbounded_send(Bytes::from(bytes));
        sent.map_err(|_| PortError::NotSent)?;
        connection.queued_bytes.set(queued_bytes);
        Ok(())
    }

    fn close(&self) {
        self.connection.close();
    }
}

/// Receiving half; dropping it closes the connection.
struct Receiver {
    connection: Rc<Connection>,
    stream: SplitStream<WebSocketStream<Stream>>,
    closed: CloseSignal,
}

impl Receiver {
    async fn next_message(&mut self) -> Result<Message> {
        loop {
            let frame = match select(self.stream.next(), self.closed.clone()).await {
                Either::Left((Some(Ok(frame)), _)) => frame,
                _ => return Err(PortError::Unknown),
            };
            let Frame::Binary(bytes) = frame else {
                continue;
            };
            match ciborium::from_reader(bytes.as_ref()) {
                Ok(message) => return Ok(message),
                Err(cause) => Event::PeerMessageInvalid
                    .log(format_args!("{} bytes dropped: {cause}", bytes.len())),
            }
        }
    }
}

impl PeerReceiver for Receiver {
    fn receive(&mut self) -> PortFuture<'_, Result<Message>> {
        async {
            let received = self.next_message().await;
            if received.is_err() {
                self.connection.close();
            }
            received
        }
        .boxed_local()
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.connection.close();
    }
}
