//! Tests of the HTTP server for callers over loopback connections.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};
use futures_channel::oneshot;
use futures_util::future::{FutureExt, pending, ready};
use googletest::prelude::*;
use hemlocksaddle_adapters::callers::{CallerServer, Refusal, Service};
use hemlocksaddle_node::{ports::PortFuture, settings::Limits};
use hemlocksaddle_types::{
    burn::NodeBurn,
    clock::{Millis, WallMs},
    document::{Document, Revision},
    job::{JobId, JobSpec, JobStatus},
    name::{NodeName, ServiceName},
    outcome::ResultCode,
    peer::Explanation,
    request::{QuickRequest, QuickResponse, RequestId},
    unit::QueueIndex,
};

const DOCUMENT: &str = "[service]\nname = orders\nteam = makers\ndata_centres_out =\n\
    [objective]\nlatency_ms = 250\nsuccess_percent = 99.9\nwindow_hours = 720\n\
    [targets]\nslots = 8\nconnections = 60\nmax_deadline_ms = 10000\n\
    executor.1 = khomas-a 127.0.0.1:7101\n\
    [quota]\ncpu_milli = 400000\nmemory_mb = 1500000\naccelerators = 0\n";

const JOB: JobId = JobId {
    queue: QueueIndex(3),
    number: 0x1_0000_0001,
};

/// Fake node that records requests and returns fixed results.
struct FakeNode {
    ready: Cell<bool>,
    received: RefCell<Vec<QuickRequest>>,
    jobs: RefCell<Vec<JobSpec>>,
    polls: Cell<u32>,
    /// If set, the next request waits for this signal.
    hold: RefCell<Option<oneshot::Receiver<()>>>,
}

impl Service for FakeNode {
    fn is_ready(&self) -> bool {
        self.ready.get()
    }
    fn wall_now(&self) -> WallMs {
        WallMs(1_000)
    }
    fn next_request_id(&self) -> RequestId {
        RequestId {
            node: NodeName::try_from("n1").expect("valid"),
            started_ms: 1,
            number: 1,
        }
    }
    fn execute(&self, request: QuickRequest) -> PortFuture<'_, QuickResponse> {
        let busy = request.body == "busy";
        self.received.borrow_mut().push(request);
        let hold = self.hold.borrow_mut().take();
        Box::pin(async move {
            if let Some(hold) = hold {
                let _ = hold.await;
            }
            if busy {
                let refusal = QuickResponse::refusal(ResultCode::Overloaded, "too much");
                return refusal.with_retry_after(Millis(1_500));
            }
            let mut response = QuickResponse::refusal(ResultCode::Completed, "confirmed");
            response.status = 201;
            response.headers.insert("x-order".into(), "7".into());
            response
        })
    }
    fn submit(&self, spec: JobSpec) -> PortFuture<'_, std::result::Result<JobId, Refusal>> {
        self.jobs.borrow_mut().push(spec);
        ready(Ok(JOB)).boxed_local()
    }
    fn job_status(
        &self,
        job: JobId,
        wait: Millis,
    ) -> PortFuture<'_, std::result::Result<JobStatus, Refusal>> {
        if wait > Millis(0) {
            self.polls.set(self.polls.get() + 1);
            return pending().boxed_local();
        }
        let status = JobStatus {
            job,
            queued: 1,
            running: 0,
            completed: 0,
            result: None,
            detail: "waits for room".into(),
        };
        ready(Ok(status)).boxed_local()
    }
    fn cancel(&self, _job: JobId) -> PortFuture<'_, std::result::Result<(), Refusal>> {
        ready(Err((ResultCode::UnknownJob, "no such job".into()))).boxed_local()
    }
    fn explain(
        &self,
        _job: JobId,
    ) -> PortFuture<'_, std::result::Result<Vec<Explanation>, Refusal>> {
        ready(Ok(Vec::new())).boxed_local()
    }
    fn publish(
        &self,
        _service: ServiceName,
        expected: Revision,
        _text: Arc<str>,
    ) -> PortFuture<'_, std::result::Result<Revision, Refusal>> {
        let conflict = (ResultCode::RevisionConflict, "the revision is 4".into());
        let result = if expected == Revision(4) {
            Ok(Revision(5))
        } else {
            Err(conflict)
        };
        ready(result).boxed_local()
    }
    fn documents(&self) -> Vec<(Rc<Document>, Revision)> {
        let document = Document::try_from(Arc::<str>::from(DOCUMENT)).expect("valid");
        vec![(Rc::new(document), Revision(4))]
    }
    fn status(&self) -> serde_json::Value {
        serde_json::json!({"node": "n1"})
    }
    fn burn(&self) -> NodeBurn {
        NodeBurn {
            since_ms: WallMs(0),
            services: Vec::new(),
        }
    }
    fn metrics_text(&self) -> String {
        String::from("hemlocksaddle_results_total 0\n")
    }
}

struct Fixture {
    node: Rc<FakeNode>,
    server: Rc<CallerServer>,
    address: SocketAddr,
}

impl Fixture {
    async fn start(limits: Limits) -> Fixture {
        let node = Rc::new(FakeNode {
            ready: Cell::new(true),
            received: RefCell::default(),
            jobs: RefCell::default(),
            polls: Cell::new(0),
            hold: RefCell::default(),
        });
        let server = CallerServer::new(node.clone(), limits);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        compio::runtime::spawn(server.clone().serve(listener)).detach();
        Fixture {
            node,
            server,
            address,
        }
    }

    /// Sends `text` on a new connection and reads until the server closes it.
    async fn exchange(&self, text: impl Into<Vec<u8>>) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("connects");
        let BufResult(written, _) = stream.write_all(text.into()).await;
        written.expect("written");
        read_all(&mut stream).await
    }
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    loop {
        let BufResult(read, buffer) = stream.read(Vec::with_capacity(4_096)).await;
        match read {
            Ok(count) if count > 0 => all.extend(buffer),
            _ => return String::from_utf8(all).expect("text"),
        }
    }
}

fn http(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: n1\r\nconnection: close\r\n\
         content-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

fn run<T>(test: impl Future<Output = T>) -> T {
    Runtime::new().expect("runtime").block_on(test)
}

const REQUESTS: &str = "/v1/services/orders/requests";
const JOBS: &str = "/v1/services/orders/jobs";
const JOB_BODY: &str = r#"{"cpu_milli":1000,"memory_mb":500,"expected_run_ms":60000}"#;

/// Guards against lost headers and bodies, and against responses without result code or run state.
#[googletest::test]
fn request_and_response_are_forwarded_unchanged() {
    run(async {
        let fixture = Fixture::start(Limits::default()).await;
        let headers = "idempotency-key: k1\r\nidempotent: true\r\ndeadline-ms: 700\r\n\
                       urgency: urgent\r\nx-member: 12\r\n";
        let response = fixture
            .exchange(http("POST", REQUESTS, headers, "order"))
            .await;
        expect_that!(response, starts_with("HTTP/1.1 201 Created\r\n"));
        for part in [
            "result-code: 3001\r\n",
            "run-state: done\r\n",
            "x-order: 7\r\n",
        ] {
            expect_that!(response, contains_substring(part));
        }
        expect_that!(response, ends_with("\r\n\r\nconfirmed"));
        let received = fixture.node.received.borrow()[0].clone();
        expect_that!(received.body, eq(&Bytes::from_static(b"order")));
        expect_that!(received.deadline_ms, eq(Millis(700)));
        expect_true!(received.idempotent);
        let forwarded: Vec<&str> = received.headers.keys().map(AsRef::as_ref).collect();
        expect_that!(forwarded, elements_are![eq(&"x-member")]);
    });
}

/// Guards against ambiguous errors: each refusal has a defined status, result code and run state.
#[googletest::test]
fn refusals_have_status_code_and_run_state() {
    let many_headers: String = (0..70).map(|n| format!("x-{n}: 1\r\n")).collect();
    let long_header = format!("x-long: {}\r\n", "a".repeat(17 << 10));
    let cases = [
        (http("GET", "/v1/nothing", "", ""), "400", "1001"),
        (http("PATCH", REQUESTS, "", ""), "400", "1001"),
        (
            http("POST", "/v1/services/-/requests", "", ""),
            "400",
            "1001",
        ),
        (
            http("POST", REQUESTS, "idempotent: maybe\r\n", ""),
            "400",
            "1001",
        ),
        (
            http("POST", REQUESTS, "deadline-ms: 0\r\n", ""),
            "400",
            "1001",
        ),
        (
            http("POST", REQUESTS, "deadline-ms: 1\r\ndeadline-ms: 2\r\n", ""),
            "400",
            "1001",
        ),
        (
            http("POST", REQUESTS, "urgency: now\r\n", ""),
            "400",
            "1001",
        ),
        (
            http("POST", REQUESTS, "idempotency-key: a b\r\n", ""),
            "400",
            "1001",
        ),
        (
            http("POST", REQUESTS, "idempotency-key: auto.1\r\n", ""),
            "400",
            "1001",
        ),
        (http("POST", REQUESTS, &many_headers, ""), "431", "1003"),
        (http("POST", REQUESTS, &long_header, ""), "431", "1003"),
        (http("POST", REQUESTS, "", "busy"), "503", "1006"),
        (
            http("POST", "/v1/services/none/jobs", "", JOB_BODY),
            "404",
            "1004",
        ),
        (http("POST", JOBS, "", "{}"), "400", "1001"),
        (
            http("POST", JOBS, "", &JOB_BODY.replace("cpu", "gpu")),
            "400",
            "1001",
        ),
        (http("GET", "/v1/jobs/x", "", ""), "400", "1001"),
        (http("GET", "/v1/jobs/3-1?wait=1", "", ""), "400", "1001"),
        (http("DELETE", "/v1/jobs/3-1", "", ""), "404", "1015"),
        (
            http("PUT", "/v1/documents/orders", "", DOCUMENT),
            "400",
            "1001",
        ),
        (
            http(
                "PUT",
                "/v1/documents/orders?expected_revision=2",
                "",
                DOCUMENT,
            ),
            "409",
            "1013",
        ),
        (http("GET", "/v1/documents/none", "", ""), "404", "1004"),
    ];
    run(async {
        let fixture = Fixture::start(Limits::default()).await;
        for (request, status, code) in cases {
            let line = request.lines().next().unwrap_or_default().to_string();
            let response = fixture.exchange(request).await;
            expect_that!(
                response,
                starts_with(format!("HTTP/1.1 {status} ")),
                "{line}"
            );
            expect_that!(
                response,
                contains_substring(format!("result-code: {code}\r\n")),
                "{line}"
            );
            expect_that!(
                response,
                contains_substring("run-state: not_run\r\n"),
                "{line}"
            );
        }
        let busy = fixture.exchange(http("POST", REQUESTS, "", "busy")).await;
        expect_that!(busy, contains_substring("retry-after: 2\r\n"));
    });
}

/// Guards against reading a request body of unbounded size.
#[googletest::test]
fn body_over_the_limit_is_refused() {
    run(async {
        let limits = Limits {
            body_bytes: 10,
            ..Limits::default()
        };
        let fixture = Fixture::start(limits).await;
        let response = fixture
            .exchange(http("POST", REQUESTS, "", "eleven byte"))
            .await;
        expect_that!(response, starts_with("HTTP/1.1 413 "));
        expect_that!(response, contains_substring("result-code: 1002\r\n"));
        expect_that!(fixture.node.received.borrow().len(), eq(0));
    });
}

/// Guards against changes to the job, document and probe endpoints that the command line uses.
#[googletest::test]
fn jobs_documents_and_probes_are_served() {
    run(async {
        let fixture = Fixture::start(Limits::default()).await;
        let accepted = fixture.exchange(http("POST", JOBS, "", JOB_BODY)).await;
        expect_that!(accepted, starts_with("HTTP/1.1 202 "));
        expect_that!(
            accepted,
            contains_substring("location: /v1/jobs/3-100000001\r\n")
        );
        expect_that!(fixture.node.jobs.borrow()[0].team.as_str(), eq("makers"));
        let cases = [
            ("GET", "/v1/jobs/3-100000001", "\"queued\":1"),
            ("GET", "/v1/jobs/3-100000001/explain", "[]"),
            ("GET", "/v1/documents", "\"revision\":4"),
            ("GET", "/v1/documents/orders", "\"service\":\"orders\""),
            (
                "PUT",
                "/v1/documents/orders?expected_revision=4",
                "\"revision\":5",
            ),
            ("GET", "/v1/status", "\"node\":\"n1\""),
            ("GET", "/v1/burn", "\"services\":[]"),
            ("GET", "/metrics", "hemlocksaddle_results_total"),
            ("GET", "/healthz", "alive"),
            ("GET", "/readyz", "ready"),
        ];
        for (method, path, part) in cases {
            let response = fixture.exchange(http(method, path, "", DOCUMENT)).await;
            expect_that!(response, starts_with("HTTP/1.1 200 "), "{path}");
            expect_that!(response, contains_substring(part), "{path}");
        }
        fixture.node.ready.set(false);
        let not_ready = fixture.exchange(http("GET", "/readyz", "", "")).await;
        expect_that!(not_ready, contains_substring("result-code: 1008\r\n"));
        let alive = fixture.exchange(http("GET", "/healthz", "", "")).await;
        expect_that!(alive, starts_with("HTTP/1.1 200 "));
    });
}

/// Guards against pipelined requests that are answered out of order.
#[googletest::test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let fixture = Fixture::start(Limits::default()).await;
        let first =
            format!("POST {REQUESTS} HTTP/1.1\r\nhost: n1\r\ncontent-length: 4\r\n\r\nbusy");
        let response = fixture
            .exchange(first + &http("POST", REQUESTS, "", "order"))
            .await;
        let busy = response.find("result-code: 1006").expect("first response");
        let confirmed = response.find("result-code: 3001").expect("second response");
        expect_that!(busy, lt(confirmed));
    });
}

/// Guards against an unbounded number of connections.
#[googletest::test]
fn connections_above_the_limit_are_refused() {
    run(async {
        let limits = Limits {
            caller_connections: 1,
            ..Limits::default()
        };
        let fixture = Fixture::start(limits).await;
        let _held = TcpStream::connect(fixture.address).await.expect("connects");
        while fixture.server.connections() == 0 {
            compio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let mut refused = TcpStream::connect(fixture.address).await.expect("connects");
        let response = read_all(&mut refused).await;
        expect_that!(response, contains_substring("result-code: 1006\r\n"));
    });
}

/// Guards against a planned stop that aborts a request in progress or waits for a long poll.
#[googletest::test]
fn planned_stop_finishes_requests_and_answers_long_polls() {
    run(async {
        let fixture = Fixture::start(Limits::default()).await;
        let (release, hold) = oneshot::channel();
        fixture.node.hold.replace(Some(hold));
        let mut running = TcpStream::connect(fixture.address).await.expect("connects");
        let request = format!("POST {REQUESTS} HTTP/1.1\r\nhost: n1\r\ncontent-length: 0\r\n\r\n");
        let BufResult(written, _) = running.write_all(request).await;
        written.expect("written");
        while fixture.node.received.borrow().is_empty() {
            compio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let mut polling = TcpStream::connect(fixture.address).await.expect("connects");
        let poll = format!("GET /v1/jobs/{JOB}?wait_ms=30000 HTTP/1.1\r\nhost: n1\r\n\r\n");
        let BufResult(written, _) = polling.write_all(poll).await;
        written.expect("written");
        while fixture.node.polls.get() == 0 {
            compio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let server = fixture.server.clone();
        let stop = compio::runtime::spawn(async move { server.stop().await });
        let polled = read_all(&mut polling).await;
        expect_that!(polled, contains_substring("\"queued\":1"));
        release.send(()).expect("the request is in progress");
        let response = read_all(&mut running).await;
        expect_that!(response, ends_with("\r\n\r\nconfirmed"));
        expect_that!(stop.await.expect("stops"), eq(0));
        expect_that!(TcpStream::connect(fixture.address).await, err(anything()));
    });
}

/// Guards against a node that refuses requests before the load balancer sees that it is stopping.
#[googletest::test]
fn announced_stop_fails_readiness_and_serves_requests() {
    run(async {
        let fixture = Fixture::start(Limits::default()).await;
        fixture.server.announce_stop();
        let ready = String::from("GET /readyz HTTP/1.1\r\nhost: n1\r\n\r\n");
        let post = format!("POST {REQUESTS} HTTP/1.1\r\nhost: n1\r\ncontent-length: 0\r\n\r\n");
        // Requests with a part of the expected response; each response closes its connection.
        for (request, expected) in [(ready, "result-code: 1011\r\n"), (post, "confirmed")] {
            let mut caller = TcpStream::connect(fixture.address).await.expect("connects");
            let BufResult(written, _) = caller.write_all(request).await;
            written.expect("written");
            let response = read_all(&mut caller).await;
            expect_that!(response, contains_substring(expected));
            expect_that!(response, contains_substring("connection: close\r\n"));
        }
    });
}
