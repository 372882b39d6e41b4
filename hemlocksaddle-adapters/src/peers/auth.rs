//! Mutual challenge-response authentication of a new peer connection.
//!
//! | direction | message |
//! | --- | --- |
//! | connecting to accepting | challenge |
//! | accepting to connecting | challenge and proof |
//! | connecting to accepting | proof |
//! | accepting to connecting | accepted |
//!
//! Until the other side has proved that it has the key, messages of more than
//! [`MAX_AUTH_BYTES`] are rejected and none is decoded. Neither side sends ahead of
//! its turn, so the socket has no buffered bytes when its size limit is raised.

use futures_util::{SinkExt, StreamExt};
use hemlocksaddle_node::ports::{PortError, Result};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{
        Message as Frame,
        protocol::{Role as WsRole, WebSocketConfig},
    },
};

use super::{
    Stream,
    key::{CHALLENGE_BYTES, Challenge, PeerKey, Role},
};

/// Maximum size of a message before the other side is authenticated, in bytes.
pub(super) const MAX_AUTH_BYTES: usize = 1_024;

/// Maximum size of a message of an authenticated peer, in bytes.
///
/// Has room for 16 requests with bodies of 1 MiB, the default limit, or for 64 documents of the
/// maximum size.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Initial size of a connection's read and write buffers.
///
/// tungstenite's default of 128 KiB per buffer would take 2 MB for 9 peers.
const BUFFER_BYTES: usize = 16 << 10;

/// Last message of the handshake.
const ACCEPTED: &[u8] = b"accepted";

type Socket = WebSocketStream<Stream>;

/// WebSocket configuration for messages of at most `max_bytes`.
pub(super) fn config(max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
}

/// Authenticates an outgoing connection.
pub(super) async fn connect(mut socket: Socket, key: &PeerKey) -> Result<Socket> {
    let own: Challenge = rand::random();
    send(&mut socket, &own).await?;
    let response = receive(&mut socket).await?;
    let (theirs, proof) = response
        .split_first_chunk::<CHALLENGE_BYTES>()
        .ok_or(PortError::NotSent)?;
    if !key.verify(Role::Accepting, &own, theirs, proof) {
        return Err(auth_error("the accepting side has another key"));
    }
    let mut socket = raise_limit(socket, WsRole::Client).await;
    send(&mut socket, &key.proof(Role::Connecting, &own, theirs)).await?;
    if receive(&mut socket).await? != ACCEPTED {
        return Err(auth_error("the accepting side did not accept"));
    }
    Ok(socket)
}

/// Authenticates an incoming connection.
pub(super) async fn accept(mut socket: Socket, key: &PeerKey) -> Result<Socket> {
    let theirs = receive(&mut socket).await?;
    let theirs: Challenge = theirs.try_into().map_err(|_| PortError::NotSent)?;
    let own: Challenge = rand::random();
    let mut response = Vec::from(own);
    response.extend(key.proof(Role::Accepting, &theirs, &own));
    send(&mut socket, &response).await?;
    let proof = receive(&mut socket).await?;
    if !key.verify(Role::Connecting, &theirs, &own, &proof) {
        return Err(auth_error("the connecting side has another key"));
    }
    let mut socket = raise_limit(socket, WsRole::Server).await;
    send(&mut socket, ACCEPTED).await?;
    Ok(socket)
}

fn auth_error(reason: &str) -> PortError {
    log::warn!(target: "hemlocksaddle", "peer connection refused: {reason}");
    PortError::NotSent
}

async fn raise_limit(socket: Socket, role: WsRole) -> Socket {
    let stream = socket.into_inner();
    WebSocketStream::from_raw_socket(stream, role, Some(config(MAX_MESSAGE_BYTES))).await
}

async fn send(socket: &mut Socket, bytes: &[u8]) -> Result<()> {
    let sent = socket.send(Frame::binary(bytes.to_vec())).await;
    sent.map_err(|_| PortError::NotSent)
}

async fn receive(socket: &mut Socket) -> Result<Vec<u8>> {
    match socket.next().await {
        Some(Ok(Frame::Binary(bytes))) => Ok(bytes.to_vec()),
        _ => Err(PortError::NotSent),
    }
}
