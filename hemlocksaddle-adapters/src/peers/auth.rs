//! Mutual authentication of a new peer connection.
//!
//! | direction | message |
//! | --- | --- |
//! | connecting to accepting | challenge |
//! | accepting to connecting | challenge and proof |
//! | connecting to accepting | proof |
//! | accepting to connecting | accepted |
//!
//! Until the other side has proved that it has the key, messages of more than
//! [`MAX_AUTH_BYTES`] are refused and none is decoded. Neither side sends
//! anything else before its turn, so no bytes are buffered when the size limit is
//! raised.

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

/// Largest message before the other side is authenticated, in bytes.
pub(super) const MAX_AUTH_BYTES: usize = 1_024;

/// Largest message of an authenticated peer in bytes.
///
/// Sixteen requests with a body of the default limit of 1 MiB, or 64 documents of the largest size.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Initial capacity of a connection's buffers; the library's 128 KiB times 9 peers would be 2 MB.
const BUFFER_BYTES: usize = 16 << 10;

/// Content of the last message of the handshake.
const ACCEPTED: &[u8] = b"accepted";

type Socket = WebSocketStream<Stream>;

/// Limits of a connection that carries messages of at most `max_bytes`.
pub(super) fn config(max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
}

/// Authenticates a connection that this node opened.
pub(super) async fn connect(mut socket: Socket, key: &PeerKey) -> Result<Socket> {
    let own: Challenge = rand::random();
    send(&mut socket, &own).await?;
    let answer = receive(&mut socket).await?;
    let (theirs, proof) = answer
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

/// Authenticates a connection that another node opened.
pub(super) async fn accept(mut socket: Socket, key: &PeerKey) -> Result<Socket> {
    let theirs = receive(&mut socket).await?;
    let theirs: Challenge = theirs.try_into().map_err(|_| PortError::NotSent)?;
    let own: Challenge = rand::random();
    let mut answer = Vec::from(own);
    answer.extend(key.proof(Role::Accepting, &theirs, &own));
    send(&mut socket, &answer).await?;
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
