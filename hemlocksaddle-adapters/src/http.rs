//! HTTP calls with an exact account of whether they were sent.
//!
//! A call is `NotSent` while no byte of it has been written: the connection could
//! not be made, or an idle one had been closed by the other side. From then on
//! everything but an answer is `Unknown`. A connection whose call was not
//! answered in time is closed together with all idle connections to the same
//! address: the loss of state in a middlebox silences them all at once, and each
//! of them would cost a further call its timeout.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use cyper_core::HyperStream;
use hemlocksaddle_node::ports::{PortError, Result};
use hemlocksaddle_types::clock::Millis;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};

use crate::runtime::duration;

/// Time for which an idle connection may be used again.
const REUSE: Duration = Duration::from_millis(5_000);

/// Idle connections that are kept to one address.
const MAX_IDLE: usize = 8;

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Answer with what its headers say.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Entity tag.
    pub etag: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
}

/// Call that was not sent yet.
#[derive(Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Server.
    pub address: SocketAddr,
    /// Path with its query.
    pub path: String,
    /// Headers besides the host.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

/// Open connection. Dropping it closes the socket.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
    _driver: JoinHandle<()>,
}

impl Connection {
    fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < REUSE
    }
}

/// Closes the idle connections to an address when an exchange is given up without an answer.
struct Abandoned<'a> {
    client: &'a Client,
    address: SocketAddr,
    ended: Cell<bool>,
}

impl Drop for Abandoned<'_> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.client.idle.borrow_mut().remove(&self.address);
        }
    }
}

/// How an exchange ended.
enum Exchange {
    Answered(Answer),
    /// Nothing of the call was written.
    Unsent,
    Lost,
}

/// Client with idle connections per address.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Client {
    /// Makes a call and waits for the whole answer, at most for the span.
    ///
    /// # Errors
    ///
    /// `NotSent` while nothing was written, `Unknown` without a whole answer.
    pub async fn call(&self, call: Call, within: Millis) -> Result<Answer> {
        let deadline = Instant::now() + duration(within);
        while let Some(connection) = self.take_idle(call.address) {
            match self.exchange(connection, call.clone(), deadline).await {
                Exchange::Answered(answer) => return Ok(answer),
                Exchange::Unsent => {}
                Exchange::Lost => return Err(PortError::Unknown),
            }
        }
        let connecting = compio::time::timeout_at(deadline, connect(call.address));
        let connection = connecting.await.map_err(|_| PortError::NotSent)??;
        match self.exchange(connection, call, deadline).await {
            Exchange::Answered(answer) => Ok(answer),
            Exchange::Unsent => Err(PortError::NotSent),
            Exchange::Lost => Err(PortError::Unknown),
        }
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        call: Call,
        deadline: Instant,
    ) -> Exchange {
        let address = call.address;
        let Ok(request) = request(call) else {
            return Exchange::Unsent;
        };
        let abandoned = Abandoned {
            client: self,
            address,
            ended: Cell::new(false),
        };
        let exchange = async {
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(refused) if refused.message().is_some() => return Exchange::Unsent,
                Err(_) => return Exchange::Lost,
            };
            let status = response.status();
            let etag = response.headers().get(header::ETAG).cloned();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            match body.collect().await {
                Ok(body) => Exchange::Answered(Answer {
                    status,
                    etag,
                    body: body.to_bytes(),
                }),
                Err(_) => Exchange::Lost,
            }
        };
        let Ok(ended) = compio::time::timeout_at(deadline, exchange).await else {
            return Exchange::Lost;
        };
        abandoned.ended.set(true);
        if let Exchange::Answered(_) = ended {
            self.keep(address, connection);
        }
        ended
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(Connection::is_reusable);
        let connection = connections.pop();
        if connections.is_empty() {
            idle.remove(&address);
        }
        connection
    }

    fn keep(&self, address: SocketAddr, mut connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.retain(Connection::is_reusable);
        if connections.len() < MAX_IDLE {
            connection.idle_since = Instant::now();
            connections.push(connection);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let tcp = TcpStream::connect(address).await;
    let tcp = tcp.map_err(|_| PortError::NotSent)?;
    // Without it, the second half of a call may wait for a delayed acknowledgement.
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

fn request(call: Call) -> http::Result<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, call.address.to_string());
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(call.body))
}
