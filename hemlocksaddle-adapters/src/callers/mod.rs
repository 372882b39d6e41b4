//! HTTP server for callers and operators.
//!
//! Each connection is served by one task that processes one request at a time;
//! pipelined requests wait in a bounded buffer. The limits on headers are checked
//! here so that the refusal carries a result code. hyper's own limits are twice as
//! high; beyond them it closes the connection with a status and no result code.
//! At a planned stop the server accepts no more connections, answers long polls
//! immediately and closes each connection after the request in progress.

mod parse;
mod reply;
mod routes;
mod service;

use std::{cell::Cell, rc::Rc, time::Duration};

use compio::{
    BufResult,
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use hemlocksaddle_node::{settings::Limits, wait::Signal};
use hyper::{server::conn::http1, service::service_fn};

use crate::accept::RejectedConnections;

pub use self::service::{Refusal, Service};

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for open connections at a planned stop; exceeds the longest request deadline.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Response to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nresult-code: 1006\r\n\
    run-state: not_run\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// HTTP server for callers and operators.
pub struct CallerServer {
    service: Rc<dyn Service>,
    limits: Limits,
    connections: Cell<usize>,
    connection_closed: Signal,
    stop_announced: Cell<bool>,
    stop: Signal,
}

/// Counts a connection while it is open.
struct ConnectionGuard(Rc<CallerServer>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.connection_closed.notify();
    }
}

impl CallerServer {
    /// Creates a server for a service.
    #[must_use]
    pub fn new(service: Rc<dyn Service>, limits: Limits) -> Rc<CallerServer> {
        Rc::new(CallerServer {
            service,
            limits,
            connections: Cell::new(0),
            connection_closed: Signal::default(),
            stop_announced: Cell::new(false),
            stop: Signal::default(),
        })
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Accepts connections until [`CallerServer::stop`] is called.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let rejected = RejectedConnections::new("callers");
        while !self.is_stopping() {
            let accept = Box::pin(listener.accept());
            let stopped = Box::pin(self.stop.wait_past(0));
            match select(accept, stopped).await {
                Either::Left((Ok((stream, _)), _)) => self.spawn_connection(stream).await,
                Either::Left((Err(cause), _)) => {
                    rejected.record(cause);
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                Either::Right(((), _)) => return,
            }
        }
    }

    /// Answers `/readyz` with 503 from now on and continues to serve requests.
    ///
    /// Each response closes its connection. A load balancer that polls `/readyz`
    /// takes the node out of rotation before [`CallerServer::stop`] is called, so
    /// that no request is in flight to a connection that is being closed.
    pub fn announce_stop(&self) {
        self.stop_announced.set(true);
    }

    /// Stops accepting and waits until every request in progress is answered.
    ///
    /// Returns the number of connections that are still open after the timeout;
    /// it is 0 unless a caller does not read its response.
    pub async fn stop(&self) -> usize {
        self.stop.notify();
        let closed = async {
            loop {
                let seen = self.connection_closed.count();
                if self.connections.get() == 0 {
                    return;
                }
                self.connection_closed.wait_past(seen).await;
            }
        };
        // Connections that are still open after the timeout are counted in the result.
        let _ = compio::time::timeout(STOP_TIMEOUT, closed).await;
        self.connections.get()
    }

    fn is_stopping(&self) -> bool {
        self.stop.count() > 0
    }

    async fn spawn_connection(self: &Rc<Self>, mut stream: TcpStream) {
        if self.connections.get() >= self.limits.caller_connections {
            let BufResult(_, _) = stream.write_all(TOO_MANY_CONNECTIONS).await;
            return;
        }
        self.connections.set(self.connections.get() + 1);
        let guard = ConnectionGuard(self.clone());
        let server = self.clone();
        compio::runtime::spawn(async move {
            server.serve_connection(stream).await;
            drop(guard);
        })
        .detach();
    }

    async fn serve_connection(self: &Rc<Self>, stream: TcpStream) {
        let server = self.clone();
        let service = service_fn(move |request| routes::handle(server.clone(), request));
        let mut builder = http1::Builder::new();
        builder
            .timer(CompioTimer)
            .header_read_timeout(Duration::from_millis(self.limits.header_read_ms.0))
            .max_headers(2 * self.limits.headers)
            .max_header_size(2 * self.limits.header_bytes)
            .max_buf_size(4 * self.limits.header_bytes)
            .pipeline_flush(false);
        let connection = builder.serve_connection(HyperStream::new_plain(stream), service);
        let stopped = Box::pin(self.stop.wait_past(0));
        match select(Box::pin(connection), stopped).await {
            Either::Left(_) => {}
            Either::Right(((), mut connection)) => {
                connection.as_mut().graceful_shutdown();
                // Fails only if the caller closed the connection or stopped reading.
                let _ = connection.await;
            }
        }
    }
}
