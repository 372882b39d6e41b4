//! Answers of servers that send more than they may.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    thread,
};

use bytes::Bytes;
use googletest::prelude::*;
use hemlocksaddle_adapters::http::{Call, Client};
use hemlocksaddle_policy::connections::AnswerLimits;
use hemlocksaddle_types::clock::Millis;
use http::Method;

/// Largest answer in bytes.
const MAX_BYTES: usize = 10_000;

/// Limit of a call, so that a test cannot hang.
const TIMEOUT: Millis = Millis(60_000);

const LIMITS: AnswerLimits = AnswerLimits {
    answer_bytes: MAX_BYTES,
    total_bytes: 2 * MAX_BYTES,
};

/// Serves one connection with a fixed answer and returns the address.
fn answering(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1_000]);
        let _ = stream.write_all(answer.as_bytes());
        // Until the client closes the connection.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    address
}

fn get(address: SocketAddr) -> Call {
    Call {
        method: Method::GET,
        address,
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

/// Load: servers that stop short of the end of their answers, and one that answers. Guards against many answers that together take the
/// memory of the process, and against a share that is not given back.
#[compio::test]
async fn arriving_answers_have_a_limit_together() {
    let complete = |bytes: usize| {
        let body = "a".repeat(bytes);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n{body}")
    };
    let short = complete(MAX_BYTES - 1).replace("9999", "10000");
    let client = Rc::new(Client::new(LIMITS));
    let servers = [answering(short.clone()), answering(short)];
    let stalled = servers.map(|address| {
        let client = client.clone();
        compio::runtime::spawn(async move { client.call(get(address), TIMEOUT).await.is_err() })
    });
    let call = async || {
        let answer = client.call(get(answering(complete(1_000))), TIMEOUT).await;
        answer.map(|answer| answer.body.len()).ok()
    };
    // Ends once the others have arrived as far as they do.
    while call().await.is_some() {}
    drop(stalled);
    // A dropped task ends when the runtime next gets to it.
    while call().await != Some(1_000) {}
}

/// Load: answers at and above the limit, with a length, in chunks of one byte, and longer than announced. Guards
/// against an answer that takes the memory of the process, and against a part that is lost or taken twice.
#[compio::test]
async fn answers_have_a_limit() {
    let sized = |bytes: usize| {
        let body = "a".repeat(bytes);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n{body}")
    };
    let chunked = |bytes: usize| {
        let body = "1\r\na\r\n".repeat(bytes);
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{body}0\r\n\r\n")
    };
    let cases = [
        (sized(0), Some(0)),
        (sized(MAX_BYTES), Some(MAX_BYTES)),
        (sized(MAX_BYTES + 1), None),
        (chunked(MAX_BYTES), Some(MAX_BYTES)),
        (chunked(MAX_BYTES + 1), None),
    ];
    for (answer, expected) in cases {
        let name = answer.lines().nth(1).unwrap_or_default().to_owned();
        let call = get(answering(answer));
        let answer = Client::new(LIMITS).call(call, TIMEOUT).await;
        let body = answer.ok().map(|answer| answer.body);
        assert_that!(body.as_ref().map(Bytes::len), eq(expected), "{name}");
        assert_that!(
            body.unwrap_or_default().iter().all(|byte| *byte == b'a'),
            eq(true)
        );
    }
}
