//! Tests of the platform adapter against a scripted server on a loopback socket.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use bytes::Bytes;
use googletest::prelude::*;
use hemlocksaddle_adapters::platform::{Addresses, HttpPlatform};
use hemlocksaddle_node::ports::{Hosts, Log, PortError};
use hemlocksaddle_types::{
    clock::Millis,
    record::{Offset, Stream},
};

/// Reaction of the server to one request.
#[derive(Clone, Copy)]
enum Step {
    /// Sends a response with a status and a body.
    Respond(u16, &'static str),
    /// Sends a response without `Connection: close`, then closes the connection.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open and sends nothing.
    NoResponse,
}

/// Starts a server that takes one step per request and returns each request's connection number.
fn serve(steps: &'static [Step]) -> (SocketAddr, thread::JoinHandle<Vec<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let served = thread::spawn(move || {
        let mut steps = steps.iter();
        let mut connections = Vec::new();
        let mut open = Vec::new();
        for number in 0.. {
            if steps.len() == 0 {
                break;
            }
            let (mut tcp, _) = listener.accept().expect("accept");
            while read_request(&mut tcp) {
                connections.push(number);
                match steps.next().expect("one step per request") {
                    Step::Respond(status, body) => respond(&mut tcp, *status, body),
                    Step::RespondAndClose(body) => {
                        respond(&mut tcp, 200, body);
                        break;
                    }
                    Step::Close => break,
                    Step::NoResponse => {
                        open.push(tcp);
                        break;
                    }
                }
                if steps.len() == 0 {
                    break;
                }
            }
        }
        connections
    });
    (address, served)
}

fn respond(tcp: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    write!(
        tcp,
        "HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .expect("write");
}

/// Reads one request; returns false if the connection was closed before its end.
fn read_request(tcp: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        if tcp.read(&mut byte).unwrap_or(0) == 0 {
            return false;
        }
        text.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&text).to_lowercase();
    let length = text.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    tcp.read_exact(&mut body).is_ok()
}

fn platform(address: SocketAddr) -> std::rc::Rc<HttpPlatform> {
    HttpPlatform::new(Addresses {
        log: address,
        hosts: address,
        workers: None,
        call_ms: Millis(300),
    })
}

async fn append(platform: &HttpPlatform) -> std::result::Result<Offset, PortError> {
    platform
        .append(Stream::Claims, Bytes::from_static(b"record"))
        .await
}

/// Guards against reporting an append as not sent that may have taken effect, and the reverse.
#[compio::test]
async fn errors_separate_not_sent_from_unknown() {
    const STEPS: &[Step] = &[
        Step::Respond(200, r#"{"offset":7}"#),
        Step::Respond(503, ""),
        Step::Respond(404, ""),
        Step::Respond(500, ""),
        Step::Respond(200, "not JSON"),
        Step::Close,
    ];
    let (address, served) = serve(STEPS);
    let platform = platform(address);
    assert_that!(append(&platform).await, ok(eq(Offset(7))));
    assert_that!(append(&platform).await, err(eq(PortError::NotSent)));
    assert_that!(append(&platform).await, err(eq(PortError::NotSent)));
    assert_that!(append(&platform).await, err(eq(PortError::Unknown)));
    assert_that!(append(&platform).await, err(eq(PortError::Unknown)));
    assert_that!(append(&platform).await, err(eq(PortError::Unknown)));
    assert_that!(served.join().expect("served"), each(eq(&0)));
    // The server no longer listens.
    assert_that!(append(&platform).await, err(eq(PortError::NotSent)));
}

/// Guards against reuse of a connection on which a call has timed out; the next call would too.
#[compio::test]
async fn timed_out_connection_is_not_reused() {
    const STEPS: &[Step] = &[Step::NoResponse, Step::Respond(200, r#"{"offset":1}"#)];
    let (address, served) = serve(STEPS);
    let platform = platform(address);
    assert_that!(append(&platform).await, err(eq(PortError::Unknown)));
    assert_that!(append(&platform).await, ok(eq(Offset(1))));
    assert_that!(served.join().expect("served"), eq(&vec![0, 1]));
}

/// Guards against a call that fails because the platform has closed an idle connection.
#[compio::test]
async fn closed_idle_connection_is_replaced() {
    const STEPS: &[Step] = &[
        Step::RespondAndClose(r#"{"as_of_ms":5,"hosts":[]}"#),
        Step::Respond(200, r#"{"as_of_ms":6,"hosts":[]}"#),
    ];
    let (address, served) = serve(STEPS);
    let platform = platform(address);
    assert_that!(platform.fetch().await.expect("first").as_of_ms.0, eq(5));
    // Waits until the close of the connection has arrived.
    compio::time::sleep(std::time::Duration::from_millis(100)).await;
    assert_that!(platform.fetch().await.expect("second").as_of_ms.0, eq(6));
    assert_that!(served.join().expect("served"), eq(&vec![0, 1]));
}

/// Guards against corruption of records by Base64, and against accepting invalid Base64.
#[compio::test]
async fn records_are_decoded() {
    const STEPS: &[Step] = &[
        Step::Respond(200, r#"{"first":3,"next":6,"records":[[4,"AP8="],[5,""]]}"#),
        Step::Respond(200, r#"{"first":3,"next":6,"records":[[4,"?"]]}"#),
    ];
    let (address, served) = serve(STEPS);
    let platform = platform(address);
    let batch = platform
        .read(Stream::Documents, Offset(4), Millis(10))
        .await
        .expect("read");
    assert_that!(
        batch.records[0],
        eq(&(Offset(4), Bytes::from_static(&[0, 255])))
    );
    assert_that!(batch.records[1].1.len(), eq(0));
    assert_that!((batch.first, batch.next), eq((Offset(3), Offset(6))));
    let broken = platform
        .read(Stream::Documents, Offset(4), Millis(10))
        .await;
    assert_that!(broken, err(eq(&PortError::Unknown)));
    served.join().expect("served");
}
