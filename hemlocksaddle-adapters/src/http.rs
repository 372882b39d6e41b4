//! HTTP/1.1 client that reports whether a failed call may have been sent.
//!
//! A call fails with `NotSent` if no byte of it was written: the connection could
//! not be established, or the server had closed an idle one. Once a byte may have
//! been written, every failure is `Unknown`. When a call times out, its connection
//! is closed together with all idle connections to the same address: a middlebox
//! that loses its state silences all of them at once, and each one that is kept
//! would cost another call its timeout.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Instant,
};

use bytes::{Bytes, BytesMut};
use compio::{net::TcpStream, runtime::JoinHandle};
use cyper_core::HyperStream;
use hemlocksaddle_node::ports::{PortError, Result};
use hemlocksaddle_policy::{connections::AnswerLimits, worker_connections::IdleRules};
use hemlocksaddle_types::clock::Millis;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{SendRequest, handshake},
};

use crate::runtime::duration;

/// Maximum size of a response body in bytes, unless the client is created with another.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Response whose body has been read completely.
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// `ETag` header.
    pub etag: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
}

/// Request and the server that it is sent to.
#[derive(Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Address of the server, which the `Host` header names as well.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Headers; one for `Host` replaces the address there.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

/// Open connection; dropping it closes the socket.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
    _driver: JoinHandle<()>,
}

impl Connection {
    fn is_reusable(&self, rules: IdleRules) -> bool {
        !self.sender.is_closed() && rules.is_reusable(elapsed(self.idle_since))
    }
}

fn elapsed(since: Instant) -> Millis {
    Millis(u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX))
}

/// Closes idle connections to an address when an exchange times out or its future is dropped.
struct EvictIdleOnDrop<'a> {
    client: &'a Client,
    address: SocketAddr,
    sent_at: Instant,
    disarmed: Cell<bool>,
}

impl Drop for EvictIdleOnDrop<'_> {
    fn drop(&mut self) {
        if self.disarmed.get() {
            return;
        }
        let (rules, waited) = (self.client.idle.rules, elapsed(self.sent_at));
        self.client.idle.retain(self.address, |connection| {
            rules.survives_lost_call(elapsed(connection.idle_since), waited)
        });
    }
}

/// Outcome of sending a call on a connection.
enum ExchangeOutcome {
    Complete(Response),
    /// No byte of the call was written.
    NotSent,
    /// The call may have been written, but no complete response arrived.
    NoResponse,
}

/// Idle connections by address.
struct Idle {
    rules: IdleRules,
    connections: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    cleanup_scheduled: Cell<bool>,
}

impl Idle {
    fn new(rules: IdleRules) -> Rc<Idle> {
        Rc::new(Idle {
            rules,
            connections: RefCell::default(),
            cleanup_scheduled: Cell::new(false),
        })
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.retain(address, |connection| connection.is_reusable(self.rules));
        let mut connections = self.connections.borrow_mut();
        connections.get_mut(&address)?.pop()
    }

    fn put(self: &Rc<Self>, address: SocketAddr, mut connection: Connection) {
        self.retain(address, |connection| connection.is_reusable(self.rules));
        let mut all = self.connections.borrow_mut();
        let connections = all.entry(address).or_default();
        if self.rules.keeps_another(connections.len()) {
            connection.idle_since = Instant::now();
            connections.push(connection);
        }
        drop(all);
        self.schedule_cleanup();
    }

    fn retain(&self, address: SocketAddr, keep: impl Fn(&Connection) -> bool) {
        let mut all = self.connections.borrow_mut();
        if let Some(connections) = all.get_mut(&address) {
            connections.retain(keep);
            if connections.is_empty() {
                all.remove(&address);
            }
        }
    }

    /// Closes connections after their time, even if there are no further calls.
    fn schedule_cleanup(self: &Rc<Self>) {
        if self.cleanup_scheduled.replace(true) {
            return;
        }
        let pause = duration(self.rules.keep_ms);
        let idle = Rc::downgrade(self);
        compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(pause).await;
                let Some(idle) = Weak::upgrade(&idle) else {
                    return;
                };
                let mut all = idle.connections.borrow_mut();
                all.retain(|_, connections| {
                    connections.retain(|connection| connection.is_reusable(idle.rules));
                    !connections.is_empty()
                });
                if all.is_empty() {
                    idle.cleanup_scheduled.set(false);
                    return;
                }
            }
        })
        .detach();
    }
}

/// Client that keeps idle connections per address.
pub struct Client {
    idle: Rc<Idle>,
    limits: AnswerLimits,
    /// Bytes of the response bodies that arrive now.
    arriving_bytes: Cell<usize>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(AnswerLimits {
            answer_bytes: MAX_RESPONSE_BYTES,
            total_bytes: usize::MAX,
        })
    }
}

/// Bytes of a response body that arrives, given back on drop.
struct Arriving<'a> {
    client: &'a Client,
    bytes: usize,
}

impl Arriving<'_> {
    /// Adds bytes; `false` if that exceeds a limit.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let arriving = &self.client.arriving_bytes;
        arriving.set(arriving.get() + bytes);
        let limits = self.client.limits;
        self.bytes <= limits.answer_bytes && arriving.get() <= limits.total_bytes
    }
}

impl Drop for Arriving<'_> {
    fn drop(&mut self) {
        let arriving = &self.client.arriving_bytes;
        arriving.set(arriving.get() - self.bytes);
    }
}

impl Client {
    /// Creates a client with limits of response bodies; a call whose response exceeds one has no response.
    #[must_use]
    pub fn new(limits: AnswerLimits) -> Client {
        Client::with_idle_rules(limits, IdleRules::default())
    }

    /// Creates a client with limits of response bodies and rules for idle connections.
    #[must_use]
    pub fn with_idle_rules(limits: AnswerLimits, rules: IdleRules) -> Client {
        Client {
            idle: Idle::new(rules),
            limits,
            arriving_bytes: Cell::new(0),
        }
    }

    /// Sends a call and waits for the complete response, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was written, `Unknown` if there is no complete response.
    pub async fn call(&self, call: Call, timeout: Millis) -> Result<Response> {
        let deadline = Instant::now() + duration(timeout);
        while let Some(connection) = self.idle.take(call.address) {
            match self.exchange(connection, call.clone(), deadline).await {
                ExchangeOutcome::Complete(response) => return Ok(response),
                ExchangeOutcome::NotSent => {}
                ExchangeOutcome::NoResponse => return Err(PortError::Unknown),
            }
        }
        let connecting = compio::time::timeout_at(deadline, connect(call.address));
        let connection = connecting.await.map_err(|_| PortError::NotSent)??;
        match self.exchange(connection, call, deadline).await {
            ExchangeOutcome::Complete(response) => Ok(response),
            ExchangeOutcome::NotSent => Err(PortError::NotSent),
            ExchangeOutcome::NoResponse => Err(PortError::Unknown),
        }
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        call: Call,
        deadline: Instant,
    ) -> ExchangeOutcome {
        let address = call.address;
        let request = match build_request(call) {
            Ok(request) => request,
            Err(cause) => {
                log::error!(target: "hemlocksaddle", "call to {address} is not valid: {cause}");
                return ExchangeOutcome::NotSent;
            }
        };
        let guard = EvictIdleOnDrop {
            client: self,
            address,
            sent_at: Instant::now(),
            disarmed: Cell::new(false),
        };
        let exchange = async {
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(error) if error.message().is_some() => return ExchangeOutcome::NotSent,
                Err(_) => return ExchangeOutcome::NoResponse,
            };
            let status = response.status();
            let etag = response.headers().get(header::ETAG).cloned();
            match self.read_body(response.into_body()).await {
                Ok(body) => ExchangeOutcome::Complete(Response { status, etag, body }),
                Err(cause) => {
                    log::warn!(target: "hemlocksaddle", "answer of {address} is dropped: {cause}");
                    ExchangeOutcome::NoResponse
                }
            }
        };
        let Ok(outcome) = compio::time::timeout_at(deadline, exchange).await else {
            return ExchangeOutcome::NoResponse;
        };
        guard.disarmed.set(true);
        if let ExchangeOutcome::Complete(_) = outcome {
            self.idle.put(address, connection);
        }
        outcome
    }

    /// Reads a response body within the limits.
    ///
    /// Bytes are copied into one buffer as they arrive, unless they arrive as one part: a part keeps the
    /// read buffer that it arrived in, which may be many times as large.
    async fn read_body(&self, mut body: Incoming) -> std::result::Result<Bytes, String> {
        let mut bytes = BytesMut::new();
        let mut arriving = Arriving {
            client: self,
            bytes: 0,
        };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|cause| cause.to_string())?.into_data() else {
                continue;
            };
            if !arriving.add(data.len()) {
                return Err(format!("{} bytes exceed a limit", arriving.bytes));
            }
            if bytes.is_empty() && body.is_end_stream() {
                return Ok(data);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let tcp = TcpStream::connect(address).await;
    let tcp = tcp.map_err(|_| PortError::NotSent)?;
    // With Nagle's algorithm, the second segment of a call may wait for a delayed acknowledgement.
    let _ = tcp.set_nodelay(true);
    let opened = handshake(HyperStream::new_plain(tcp)).await;
    let (sender, driver) = opened.map_err(|_| PortError::NotSent)?;
    let driver = compio::runtime::spawn(async move {
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        idle_since: Instant::now(),
        _driver: driver,
    })
}

fn build_request(call: Call) -> http::Result<Request<Full<Bytes>>> {
    let mut request = Request::builder().method(call.method).uri(call.path);
    if call.headers.iter().all(|(name, _)| name != header::HOST) {
        request = request.header(header::HOST, call.address.to_string());
    }
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(call.body))
}
