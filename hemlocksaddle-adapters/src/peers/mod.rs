//! Connections between nodes: CBOR messages over WebSocket.
//!
//! Each connection is authenticated in both directions with the shared key
//! before any message is decoded (module `auth`). Connections are not encrypted:
//! the nodes communicate over the deployment's own network, and the key keeps
//! out other processes that can reach the port.

mod auth;
pub mod key;
mod link;

use std::{cell::Cell, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use compio::{
    io::compat::AsyncStream,
    net::{TcpListener, TcpStream},
};
use futures_util::FutureExt;
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

/// Maximum number of unauthenticated connections; further ones are closed immediately.
const MAX_PENDING: usize = 64;

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
pub async fn listen(listener: TcpListener, key: PeerKey, on_link: impl Fn(PeerLink) + 'static) {
    let on_link = Rc::new(on_link);
    let pending = Rc::new(Cell::new(0));
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
        let Some(slot) = PendingSlot::acquire(&pending) else {
            rejected.record("too many connections are being set up");
            continue;
        };
        let key = key.clone();
        let on_link = Rc::clone(&on_link);
        let setup = async move {
            let link = compio::time::timeout(SETUP_TIMEOUT, accept(tcp, &key)).await;
            drop(slot);
            if let Ok(Ok(link)) = link {
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

/// Slot for one unauthenticated connection, released on drop.
struct PendingSlot(Rc<Cell<usize>>);

impl PendingSlot {
    fn acquire(count: &Rc<Cell<usize>>) -> Option<PendingSlot> {
        if count.get() >= MAX_PENDING {
            return None;
        }
        count.set(count.get() + 1);
        Some(PendingSlot(Rc::clone(count)))
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
