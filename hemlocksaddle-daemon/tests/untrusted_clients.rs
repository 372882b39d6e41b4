//! Clients outside the limits against the node program, on all its listeners.
//!
//! Each test starts the program with a small memory, lets a crowd of clients send what exceeds or exhausts a
//! limit, and keeps their connections open. Then the process has to live, its memory and open descriptors
//! have to be under a bound, and an ordinary request has to be answered. No test asserts how long a step
//! takes or how many of the crowd's requests are served. The tests run one at a time: each holds `ONE_AT_A_TIME`.

#[path = "../../platform/examples/soak/server.rs"]
#[expect(dead_code, reason = "the store does not look at the method of a call")]
mod server;
#[path = "../../platform/examples/soak/store.rs"]
mod store;

mod untrusted_clients_support;

use std::sync::{Mutex, MutexGuard, PoisonError};

use googletest::prelude::*;
use untrusted_clients_support::{Crowd, Listener, Node, SUBMISSION_BYTES};

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Path of a submission, by client.
fn post(number: usize, headers: &str) -> String {
    format!(
        "POST /soak/{number:016x} HTTP/1.1\r\nhost: {}\r\n{headers}\r\n",
        store::HOST
    )
}

/// Load: single requests at each limit and one byte above. Guards against a legal request that is refused, and
/// against one over a limit that gets no true answer.
#[gtest]
fn requests_at_the_limits_are_served() {
    let _alone = alone();
    let node = Node::start();
    let head = format!(
        "GET /soak/{:016x} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\nx-filler: ",
        0xffff,
        store::HOST
    );
    let filler = |bytes: usize| "a".repeat(bytes - head.len());
    let body = |length: usize| {
        post(
            1,
            &format!("content-length: {length}\r\nconnection: close\r\n"),
        )
    };
    let cases = [
        (format!("{head}{}\r\n\r\n", filler(16_380)), "200"),
        (format!("{head}{}", filler(16_384)), "431"),
        (
            body(SUBMISSION_BYTES) + &" ".repeat(SUBMISSION_BYTES),
            "400",
        ),
        (body(SUBMISSION_BYTES + 1), "413"),
    ];
    for (request, status) in cases {
        let answer = node.call(Listener::Callers, &request, status);
        expect_that!(answer, some(eq(status)));
    }
}

/// Bytes of heads that stay below the size at which the HTTP library closes a connection by itself.
const HEAD_BYTES: usize = 380_000;

/// Load: 120 clients with heads far over the limit that stop before their end: many lines, a value without
/// end, a path without end. Guards against buffers of heads that take the memory of the process.
#[gtest]
fn heads_without_end() {
    let _alone = alone();
    let node = Node::start();
    let line = "x-filler: 0123456789012345678901234567890123456789\r\n";
    let long = "a".repeat(HEAD_BYTES);
    let heads = [
        format!("GET / HTTP/1.1\r\n{}", line.repeat(HEAD_BYTES / line.len())),
        format!("GET / HTTP/1.1\r\nx-filler: {long}"),
        format!("GET /{long}"),
    ];
    let crowd = Crowd::start(&node, Listener::Callers, 120, |number| {
        vec![heads[number % 3].clone().into_bytes()]
    });
    node.check(&crowd);
}

/// Load: 100 clients with empty lines before a request, and 100 with a complete head of 20,000 bytes.
/// Guards against empty lines that count neither as a head nor as a request.
#[gtest]
fn empty_lines_and_heads_over_the_limit() {
    let _alone = alone();
    let node = Node::start();
    let lines = "\r\n".repeat(HEAD_BYTES / 2);
    let large = format!(
        "GET /soak/{:016x} HTTP/1.1\r\nx-filler: {}\r\n\r\n",
        1,
        "a".repeat(20_000)
    );
    let crowd = Crowd::start(&node, Listener::Callers, 200, |number| {
        vec![[&lines, &large][number % 2].clone().into_bytes()]
    });
    node.check(&crowd);
}

/// Load: 120 clients with bodies of the largest legal size, every tenth of them complete, the others one byte short.
/// Guards against bodies that take the memory of the process while their ends are awaited.
#[gtest]
fn large_bodies() {
    let _alone = alone();
    let node = Node::start();
    let crowd = Crowd::start(&node, Listener::Callers, 120, |number| {
        let mut request =
            post(number, &format!("content-length: {SUBMISSION_BYTES}\r\n")).into_bytes();
        let short = usize::from(number % 10 != 0);
        request.resize(request.len() + SUBMISSION_BYTES - short, b' ');
        vec![request]
    });
    node.check(&crowd);
}

/// Load: 60 clients with complete bodies of the largest legal size and as many steps as fit in them. Guards against
/// what a body becomes when it is parsed.
#[gtest]
fn complete_bodies_of_many_steps() {
    let _alone = alone();
    let node = Node::start();
    let step = r#"{"count":1},"#;
    let steps = step.repeat(SUBMISSION_BYTES / step.len() - 10);
    let body = format!(r#"{{"spec":"","steps":[{steps}{{"count":1}}]}}"#);
    let crowd = Crowd::start(&node, Listener::Callers, 60, |number| {
        let head = post(number, &format!("content-length: {}\r\n", body.len()));
        vec![(head + &body).into_bytes()]
    });
    node.check(&crowd);
}

/// Load: 20 clients with a gang of the largest size each, and 20 with 256 steps that need labels which no worker has.
/// Guards against accepted work that can never start and takes the memory or the only thread of the owner.
#[gtest]
fn accepted_work_that_can_never_start() {
    let _alone = alone();
    let node = Node::start();
    let gang = r#"{"spec":"","steps":[{"count":100000,"cpu":1000,"gang":true}]}"#.to_owned();
    let crowd = Crowd::start(&node, Listener::Callers, 40, |number| {
        let steps = (0..256).map(|step| {
            format!(r#"{{"count":1,"cpu":1000,"requiredLabel":"label-{number}-{step}"}}"#)
        });
        let steps: Vec<_> = steps.collect();
        let labels = format!(r#"{{"spec":"","steps":[{}]}}"#, steps.join(","));
        let body = [&gang, &labels][number % 2];
        let head = post(number, &format!("content-length: {}\r\n", body.len()));
        vec![(head + body).into_bytes()]
    });
    node.check(&crowd);
}

/// Load: 40 clients with bodies of the largest legal size in pieces of 40 bytes, all one byte short.
/// Guards against a buffer for each piece, which takes many times the piece's size.
#[gtest]
fn large_bodies_piece_by_piece() {
    let _alone = alone();
    let node = Node::start();
    let crowd = Crowd::start(&node, Listener::Callers, 40, |number| {
        let head = post(number, &format!("content-length: {SUBMISSION_BYTES}\r\n"));
        let pieces = vec![b' '; SUBMISSION_BYTES - 1];
        let pieces = pieces.chunks(40).map(<[u8]>::to_vec);
        [head.into_bytes()].into_iter().chain(pieces).collect()
    });
    node.check(&crowd);
}

/// Chunked body of the largest legal size, in chunks of `bytes`, without its last chunk.
fn chunked(number: usize, bytes: usize) -> Vec<u8> {
    let mut request = post(number, "transfer-encoding: chunked\r\n").into_bytes();
    let chunk = format!("{bytes:x}\r\n{}\r\n", " ".repeat(bytes));
    request.extend(chunk.repeat(SUBMISSION_BYTES / bytes).into_bytes());
    request
}

/// Load: 120 clients with bodies in chunks of 16,384 bytes that never end. Guards against bodies of
/// unknown length that take the memory of the process.
#[gtest]
fn large_chunks() {
    let _alone = alone();
    let node = Node::start();
    let crowd = Crowd::start(&node, Listener::Callers, 120, |number| {
        vec![chunked(number, 16_384)]
    });
    node.check(&crowd);
}

/// Load: 80 clients with bodies in chunks of one byte that never end. Guards against chunks that each take
/// many times their size.
#[gtest]
fn very_small_chunks() {
    let _alone = alone();
    let node = Node::start();
    let crowd = Crowd::start(&node, Listener::Callers, 80, |number| {
        vec![chunked(number, 1)]
    });
    node.check(&crowd);
}

/// Load: 200 clients, more than there are descriptors for, that send requests and never read an answer.
/// Guards against connections that are held until their client reads.
#[gtest]
fn answers_that_are_not_read() {
    let _alone = alone();
    let node = Node::start();
    let requests = "GET / HTTP/1.1\r\nhost: x\r\n\r\n".repeat(2_000);
    let crowd = Crowd::start(&node, Listener::Callers, 200, |_| {
        vec![requests.clone().into_bytes()]
    });
    node.check(&crowd);
}

/// Load: 250 clients, more than there are descriptors for, that send nothing. Guards against silent
/// connections that take the descriptors of ordinary callers, of the store and of the workers.
#[gtest]
fn silent_connections() {
    let _alone = alone();
    let node = Node::start();
    let crowd = Crowd::start(&node, Listener::Callers, 250, |_| Vec::new());
    node.check(&crowd);
}

/// Load: 250 silent clients, heads without end and unread answers on each listener beside the callers'. Guards against a
/// listener that is left out of the limits.
#[gtest]
fn other_listeners() {
    for listener in [Listener::Ready, Listener::Metrics, Listener::Peers] {
        let _alone = alone();
        let node = Node::start();
        let lines = "x-filler: 0123456789\r\n".repeat(HEAD_BYTES / 22);
        let head = format!("GET / HTTP/1.1\r\n{lines}");
        let requests = "GET / HTTP/1.1\r\nhost: x\r\n\r\n".repeat(500);
        let body =
            format!("GET / HTTP/1.1\r\nhost: x\r\ncontent-length: {HEAD_BYTES}\r\n\r\n{lines}");
        let crowd = Crowd::start(&node, listener, 250, |number| match number % 5 {
            0 => vec![head.clone().into_bytes()],
            1 => vec![requests.clone().into_bytes()],
            2 => vec![body.clone().into_bytes()],
            _ => Vec::new(),
        });
        node.check(&crowd);
    }
}
