//! Tests of peer connections over loopback sockets.

use std::net::SocketAddr;

use compio::net::{TcpListener, TcpStream};
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use hemlocksaddle_adapters::peers::{MAX_PENDING, WebSocketPeers, key::PeerKey, listen};
use hemlocksaddle_node::ports::{PeerAddress, PeerLink, Peers, PortError};
use hemlocksaddle_types::{
    clock::Millis,
    job::JobId,
    name::{DataCentre, NodeName},
    peer::{Message, Request, Response},
    unit::QueueIndex,
};
use tokio_tungstenite::{client_async, tungstenite::Message as Frame};
use tokio_util::compat::FuturesAsyncReadCompatExt;

const KEY: &str = "0123456789abcdef0123456789abcdef";

fn key(text: &str) -> PeerKey {
    PeerKey::try_from(text).expect("the key is long enough")
}

/// Starts a listener on a free port; returns its address and the links that it accepts.
async fn accepting(with: &str) -> (PeerAddress, mpsc::UnboundedReceiver<PeerLink>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (accepted, links) = mpsc::unbounded();
    let on_link = move |link| {
        let _ = accepted.unbounded_send(link);
    };
    compio::runtime::spawn(listen(listener, key(with), MAX_PENDING, on_link)).detach();
    (peer(address), links)
}

fn peer(address: SocketAddr) -> PeerAddress {
    PeerAddress {
        node: NodeName::try_from("n2").expect("valid"),
        data_centre: DataCentre::try_from("a").expect("valid"),
        address,
    }
}

fn call(id: u64) -> Message {
    let job = JobId {
        queue: QueueIndex(3),
        number: id,
    };
    Message::Call(id, Request::JobStatus(job, Millis(7)))
}

/// Guards against messages that are corrupted or lost in either direction.
#[compio::test]
async fn messages_pass_in_both_directions() {
    let (address, mut links) = accepting(KEY).await;
    let connecting = WebSocketPeers::new(key(KEY));
    let mut ours = connecting.connect(&address).await.expect("connected");
    let mut theirs = links.next().await.expect("accepted");
    for id in 0..100 {
        ours.sender.send(call(id)).expect("open");
        assert_that!(theirs.receiver.receive().await, ok(eq(&call(id))));
        theirs
            .sender
            .send(Message::Reply(id, Response::Ok))
            .expect("open");
        let reply = Message::Reply(id, Response::Ok);
        assert_that!(ours.receiver.receive().await, ok(eq(&reply)));
    }
}

/// Guards against loss of a reply that is queued just before a planned stop closes the connection.
#[compio::test]
async fn queued_messages_are_sent_before_closing() {
    let (address, mut links) = accepting(KEY).await;
    let ours = WebSocketPeers::new(key(KEY))
        .connect(&address)
        .await
        .expect("connected");
    let mut theirs = links.next().await.expect("accepted");
    for id in 0..50 {
        ours.sender.send(call(id)).expect("open");
    }
    ours.sender.close();
    assert_that!(ours.sender.send(call(99)), err(eq(PortError::NotSent)));
    for id in 0..50 {
        assert_that!(theirs.receiver.receive().await, ok(eq(&call(id))));
    }
    assert_that!(theirs.receiver.receive().await, err(anything()));
}

/// Guards against a link between nodes with different keys, on either side.
#[compio::test]
async fn another_key_is_refused_by_both_sides() {
    let (address, mut links) = accepting("another key of sufficient length, 32").await;
    let connected = WebSocketPeers::new(key(KEY)).connect(&address).await;
    assert_that!(connected.err(), some(eq(PortError::NotSent)));
    assert_that!(links.try_recv().is_ok(), eq(false));
}

/// Guards against accepting a reflected proof, a short challenge or a large message.
#[compio::test]
async fn unauthenticated_connection_gets_no_link() {
    let (address, mut links) = accepting(KEY).await;
    for first in [vec![0; 32], vec![0; 31], vec![0; 1 << 20]] {
        let tcp = TcpStream::connect(address.address).await.expect("listens");
        let stream = Box::pin(compio::io::compat::AsyncStream::new(tcp)).compat();
        let (mut socket, _) = client_async("ws://peer/", stream).await.expect("upgrades");
        let _ = socket.send(Frame::binary(first)).await;
        if let Some(Ok(Frame::Binary(response))) = socket.next().await {
            // Reflects the accepting side's own proof.
            let _ = socket.send(Frame::binary(response.slice(32..))).await;
        }
        let after = socket.next().await;
        assert_that!(matches!(after, Some(Ok(Frame::Binary(_)))), eq(false));
    }
    assert_that!(links.try_recv().is_ok(), eq(false));
}

/// Guards against reporting a failed connection attempt as an unknown outcome.
#[compio::test]
async fn refused_connection_is_not_sent() {
    let unused = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = unused.local_addr().expect("address");
    unused.close().await.expect("closed");
    let connected = WebSocketPeers::new(key(KEY)).connect(&peer(address)).await;
    assert_that!(connected.err(), some(eq(PortError::NotSent)));
}

/// Load: more silent connections than may be unauthenticated at the same time. Guards against peers that are locked out for as
/// long as others keep such connections.
#[compio::test]
async fn silent_connections_do_not_lock_peers_out() {
    let (address, mut links) = accepting(KEY).await;
    let mut silent = Vec::new();
    for _ in 0..2 * MAX_PENDING {
        silent.push(TcpStream::connect(address.address).await.expect("connects"));
    }
    let peers = WebSocketPeers::new(key(KEY));
    assert_that!(peers.connect(&address).await.is_ok(), eq(true));
    assert_that!(links.next().await.is_some(), eq(true));
}
