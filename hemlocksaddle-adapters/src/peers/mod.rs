//! Connections between nodes: CBOR messages over WebSocket.
//!
//! Each connection is authenticated in both directions with the shared key
//! before any message is decoded (module `auth`). Connections are not encrypted:
//! the nodes communicate over the deployment's own network, and the key keeps
//! out other processes that can reach the port.

mod auth;
pub mod key;
mod link;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use compio::{
    io::compat::AsyncStream,
    net::{TcpListener, TcpStream},
};
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use hemlocksaddle_node::ports::{PeerAddress, PeerLink, Peers, PortError, PortFuture, Result};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

pub use auth::MAX_MESSAGE_BYTES;

use crate::accept::RejectedConnections;
use key::PeerKey;

/// Timeout for establishing and authenticating a connection.
///
/// Equal to the time without messages after which the node replaces a connection.
const SETUP_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum number of unauthenticated connections, if the process has enough descriptors and memory.
pub const MAX_PENDING: usize = 64;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

type Stream = Compat<Pin<Box<AsyncStream<TcpStream>>>>;

fn stream(tcp: TcpStream) -> Stream {
    // With Nagle's algorithm, a small message may wait for a delayed acknowledgement.
    let _ = tcp.set_nodelay(true);
    Box::pin(AsyncStream::new(tcp)).compat()
}

/// Opens connections to peers.
pub struct WebSocketPeers {
    key: PeerKey,
}

impl WebSocketPeers {
    /// Creates an adapter that authenticates with the key.
    #[must_use]
    pub fn new(key: PeerKey) -> WebSocketPeers {
        WebSocketPeers { key }
    }
}

impl Peers for WebSocketPeers {
    fn connect(&self, peer: &PeerAddress) -> PortFuture<'_, Result<PeerLink>> {
        let address = peer.address;
        async move {
            let link = compio::time::timeout(SETUP_TIMEOUT, open(address, &self.key)).await;
            link.unwrap_or(Err(PortError::NotSent))
        }
        .boxed_local()
    }
}

async fn open(address: SocketAddr, key: &PeerKey) -> Result<PeerLink> {
    let tcp = TcpStream::connect(address).await;
    let tcp = tcp.map_err(|_| PortError::NotSent)?;
    let url = format!("ws://{address}/peers");
    let config = Some(auth::config(auth::MAX_AUTH_BYTES));
    let upgraded = client_async_with_config(url, stream(tcp), config).await;
    let (socket, _) = upgraded.map_err(|_| PortError::NotSent)?;
    let socket = auth::connect(socket, key).await?;
    Ok(link::link(socket))
}

/// Accepts connections of peers and passes the authenticated ones to `on_link`, until dropped.
///
/// Above `max_pending` unauthenticated connections, the oldest is closed: a peer proves its key within two
/// round trips, and others that keep their connections must not lock it out.
pub async fn listen(
    listener: TcpListener,
    key: PeerKey,
    max_pending: usize,
    on_link: impl Fn(PeerLink) + 'static,
) {
    let on_link = Rc::new(on_link);
    let pending = Rc::new(Pending::default());
    let rejected = RejectedConnections::new("peers");
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, _)) => tcp,
            Err(cause) => {
                rejected.record(cause);
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (number, closed) = pending.add(max_pending);
        let key = key.clone();
        let on_link = Rc::clone(&on_link);
        let pending = Rc::clone(&pending);
        let setup = async move {
            let accepting = compio::time::timeout(SETUP_TIMEOUT, accept(tcp, &key)).boxed_local();
            let link = select(accepting, closed).await;
            pending.remove(number);
            if let Either::Left((Ok(Ok(link)), _)) = link {
                on_link(link);
            }
        };
        compio::runtime::spawn(setup).detach();
    }
}

async fn accept(tcp: TcpStream, key: &PeerKey) -> Result<PeerLink> {
    let config = Some(auth::config(auth::MAX_AUTH_BYTES));
    let upgraded = accept_async_with_config(stream(tcp), config).await;
    let socket = upgraded.map_err(|_| PortError::NotSent)?;
    let socket = auth::accept(socket, key).await?;
    Ok(link::link(socket))
}

/// Unauthenticated connections by number, the oldest first; dropping a sender closes its connection.
#[derive(Default)]
struct Pending {
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
}

impl Pending {
    fn add(&self, max_pending: usize) -> (u64, oneshot::Receiver<()>) {
        let mut open = self.open.borrow_mut();
        while open.len() >= max_pending {
            open.pop_first();
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let (closer, closed) = oneshot::channel();
        open.insert(number, closer);
        (number, closed)
    }

    fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }
}
