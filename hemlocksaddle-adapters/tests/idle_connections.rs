//! Idle connections of the HTTP client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use hemlocksaddle_adapters::http::{Call, Client};
use hemlocksaddle_policy::{connections::AnswerLimits, worker_connections::IdleRules};
use hemlocksaddle_types::clock::Millis;
use http::Method;

const LIMITS: AnswerLimits = AnswerLimits {
    answer_bytes: 10_000,
    total_bytes: 20_000,
};

/// Limit of a wait, so that a test cannot hang.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What a server saw of its connections, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Opened(usize),
    /// A call on it is not answered.
    Lost,
    Closed(usize),
}

/// Server that answers each call, except those for `/lost`.
fn serving() -> (SocketAddr, Receiver<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (seen, seen_here) = channel();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let _ = seen.send(Seen::Opened(number));
            let (stream, seen) = (stream.expect("a connection"), seen.clone());
            thread::spawn(move || serve(stream, number, &seen));
        }
    });
    (address, seen_here)
}

fn serve(mut stream: TcpStream, number: usize, seen: &Sender<Seen>) {
    let mut read = [0; 1_000];
    while let Ok(bytes @ 1..) = stream.read(&mut read) {
        if read[..bytes].starts_with(b"GET /lost") {
            let _ = seen.send(Seen::Lost);
        } else {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    }
    let _ = seen.send(Seen::Closed(number));
}

fn get(address: SocketAddr, path: &str) -> Call {
    Call {
        method: Method::GET,
        address,
        path: path.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

async fn expect_answer(client: &Client, address: SocketAddr) {
    let answer = client.call(get(address, "/"), Millis(60_000)).await;
    assert_that!(answer.is_ok(), eq(true));
}

/// Failure: a node is no longer the owner or a delegate, and does not call a worker any more. Guards against
/// connections that it keeps, which count against the limit of the worker.
#[gtest]
#[compio::test]
async fn idle_connections_are_closed_without_a_further_call() {
    let (address, seen) = serving();
    let rules = IdleRules {
        keep_ms: Millis(20),
        ..IdleRules::default()
    };
    let client = Client::with_idle_rules(LIMITS, rules);
    expect_answer(&client, address).await;
    let closed = compio::runtime::spawn_blocking(move || {
        let seen: Vec<_> = (0..2)
            .map_while(|_| seen.recv_timeout(TIMEOUT).ok())
            .collect();
        seen
    });
    let closed = closed.await.expect("no panic");
    expect_that!(closed, eq(&vec![Seen::Opened(0), Seen::Closed(0)]));
    drop(client);
}

/// Failure: one call gets no answer while another connection to the same worker answers. Guards against closing
/// that one as well, so that the next order has to open a connection.
#[gtest]
#[compio::test]
async fn a_lost_call_closes_no_connection_that_has_answered_since() {
    let (address, seen) = serving();
    let rules = IdleRules {
        keep_ms: Millis(60_000),
        ..IdleRules::default()
    };
    let client = Client::with_idle_rules(LIMITS, rules);
    let lost = client.call(get(address, "/lost"), Millis(500));
    let answered = async {
        while seen.try_iter().all(|seen| seen != Seen::Lost) {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        compio::time::sleep(Duration::from_millis(10)).await;
        // On a second connection, since the first one waits.
        expect_answer(&client, address).await;
    };
    let (lost, ()) = futures_util::future::join(lost, answered).await;
    assert_that!(lost.is_err(), eq(true));
    expect_answer(&client, address).await;
    let opened = seen.try_iter().filter_map(|seen| match seen {
        Seen::Opened(number) => Some(number),
        _ => None,
    });
    expect_that!(opened.collect::<Vec<_>>(), eq(&vec![1]));
}
