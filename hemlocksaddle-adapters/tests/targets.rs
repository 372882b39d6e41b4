//! Tests of requests to executors over loopback connections.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};
use googletest::prelude::*;
use hemlocksaddle_adapters::targets::HttpTargets;
use hemlocksaddle_node::ports::{PortError, Targets};
use hemlocksaddle_types::{
    clock::Millis,
    job::Urgency,
    name::{NodeName, ServiceName},
    outcome::ResultCode,
    request::{QuickRequest, QuickResponse, RequestId},
};

const LONG_TIMEOUT: Millis = Millis(60_000);
const COMPLETE_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nrequest-id: echo\r\n\r\ndone";

/// Fake executor that sends the same responses on each connection, one per request.
struct ScriptedExecutor {
    responses: Vec<&'static str>,
    connections: Cell<u32>,
    closed: Cell<u32>,
    requests: RefCell<Vec<String>>,
}

impl ScriptedExecutor {
    /// Starts the executor.
    ///
    /// It closes a connection after the last response. For an empty response it sends nothing
    /// and waits until the client closes the connection.
    async fn start(responses: &[&'static str]) -> (Rc<ScriptedExecutor>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let executor = Rc::new(ScriptedExecutor {
            responses: responses.to_vec(),
            connections: Cell::new(0),
            closed: Cell::new(0),
            requests: RefCell::default(),
        });
        let shared = executor.clone();
        compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.set(shared.connections.get() + 1);
                let executor = shared.clone();
                compio::runtime::spawn(async move { executor.serve(stream).await }).detach();
            }
        })
        .detach();
        (executor, address)
    }

    async fn serve(&self, mut stream: TcpStream) {
        for response in &self.responses {
            let BufResult(read, buffer) = stream.read(Vec::with_capacity(4_096)).await;
            if read.unwrap_or(0) == 0 {
                self.closed.set(self.closed.get() + 1);
                return;
            }
            let request = String::from_utf8_lossy(&buffer).into_owned();
            self.requests.borrow_mut().push(request);
            if response.is_empty() {
                let BufResult(_, _) = stream.read(Vec::with_capacity(1)).await;
                self.closed.set(self.closed.get() + 1);
                return;
            }
            let BufResult(_, _) = stream.write_all(*response).await;
        }
    }
}

fn request(idempotent: bool) -> QuickRequest {
    QuickRequest {
        id: RequestId {
            node: NodeName::try_from("n1").expect("valid"),
            started_ms: 1,
            number: 2,
        },
        service: ServiceName::try_from("orders").expect("valid"),
        key: None,
        idempotent,
        deadline_ms: Millis(1_000),
        urgency: Urgency::Normal,
        headers: BTreeMap::new(),
        body: Bytes::from_static(b"order"),
    }
}

async fn send(
    targets: &HttpTargets,
    address: SocketAddr,
    idempotent: bool,
    timeout: Millis,
) -> std::result::Result<QuickResponse, PortError> {
    let request = request(idempotent);
    let service = request.service.clone();
    targets.send(address, &service, 2, request, timeout).await
}

fn run<T>(test: impl Future<Output = T>) -> T {
    Runtime::new().expect("runtime").block_on(test)
}

/// Guards against a new connection per request, and against loss of the response's `Request-Id`.
#[googletest::test]
fn connection_is_reused_after_a_complete_response() {
    run(async {
        let (executor, address) =
            ScriptedExecutor::start(&[COMPLETE_RESPONSE, COMPLETE_RESPONSE, ""]).await;
        let targets = HttpTargets::new();
        for _ in 0..2 {
            let response = send(&targets, address, true, LONG_TIMEOUT)
                .await
                .expect("answered");
            expect_that!(response.code, eq(ResultCode::Completed));
            expect_that!(response.body.as_ref(), eq(b"done"));
            expect_that!(response.headers["request-id"].as_ref(), eq("echo"));
        }
        expect_that!(executor.connections.get(), eq(1));
        let first = executor.requests.borrow()[0].clone();
        expect_that!(
            first,
            starts_with("POST /v1/services/orders/requests HTTP/1.1\r\n")
        );
        expect_that!(first, contains_substring("request-id: n1/1/2\r\n"));
        expect_that!(first, ends_with("\r\n\r\norder"));
    });
}

/// Guards against a non-idempotent request on a connection that the target may be closing.
#[googletest::test]
fn non_idempotent_request_gets_a_new_connection() {
    run(async {
        let (executor, address) = ScriptedExecutor::start(&[COMPLETE_RESPONSE, ""]).await;
        let targets = HttpTargets::new();
        for idempotent in [true, false, false] {
            let answered = send(&targets, address, idempotent, LONG_TIMEOUT).await;
            expect_that!(answered, ok(anything()));
        }
        expect_that!(executor.connections.get(), eq(3));
        expect_that!(targets.open_connections(address), le(2));
    });
}

/// Guards against `NotSent` after a byte may have arrived, and against accepting partial responses.
#[googletest::test]
fn broken_responses_are_unknown() {
    let broken = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.1 200",
        "no HTTP at all\r\n\r\n",
    ];
    for response in broken {
        run(async {
            let (_executor, address) = ScriptedExecutor::start(&[response]).await;
            let targets = HttpTargets::new();
            let result = send(&targets, address, true, LONG_TIMEOUT).await;
            expect_that!(
                result,
                err(eq(&PortError::Unknown)),
                "response {response:?}"
            );
            expect_that!(targets.open_connections(address), eq(0));
        });
    }
}

/// Guards against reporting a refused connection as an unknown outcome.
#[googletest::test]
fn refused_connection_is_not_sent() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        listener.close().await.expect("closed");
        let result = send(&HttpTargets::new(), address, false, LONG_TIMEOUT).await;
        expect_that!(result, err(eq(&PortError::NotSent)));
    });
}

/// Guards against a late response that is taken for that of the next request.
#[googletest::test]
fn timed_out_request_closes_its_connection() {
    run(async {
        let (executor, address) = ScriptedExecutor::start(&[""]).await;
        let targets = HttpTargets::new();
        let result = send(&targets, address, true, Millis(50)).await;
        expect_that!(result, err(eq(&PortError::Unknown)));
        while executor.closed.get() == 0 {
            compio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        expect_that!(targets.open_connections(address), eq(0));
    });
}

/// Guards against exceeding the executor's connection limit.
#[googletest::test]
fn connections_are_bounded() {
    run(async {
        let (_executor, address) = ScriptedExecutor::start(&[""]).await;
        let targets = Rc::new(HttpTargets::new());
        for _ in 0..2 {
            let targets = targets.clone();
            compio::runtime::spawn(async move {
                let _ = send(&targets, address, true, LONG_TIMEOUT).await;
            })
            .detach();
        }
        while targets.open_connections(address) < 2 {
            compio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let result = send(&targets, address, true, LONG_TIMEOUT).await;
        expect_that!(result, err(eq(&PortError::NotSent)));
    });
}
