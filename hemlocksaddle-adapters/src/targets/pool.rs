//! Connections to one address.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Instant,
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use cyper_core::HyperStream;
use hemlocksaddle_node::ports::{PortError, Result};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};

use super::IDLE_TIMEOUT;

/// Idle connections that are kept.
///
/// Non-idempotent requests never reuse one. Without this max_open their connections
/// piled up to the executor's limit, where each further request opens a new one
/// while the executor may not have seen the close of the expired one yet (61 of 60
/// connections in a run of the quickstart). An executor has 8 slots, so more
/// idle connections would not be used at once.
const MAX_IDLE: usize = 8;

/// Connections to one address, idle and in use.
pub(super) struct Pool {
    address: SocketAddr,
    open: Cell<u32>,
    idle: RefCell<Vec<Idle>>,
    cleanup_scheduled: Cell<bool>,
}

struct Idle {
    since: Instant,
    connection: OpenConnection,
}

/// PooledConnection with the task that reads and writes it; dropping it closes the socket.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: JoinHandle<()>,
    _count: OpenCount,
}

/// Counts a connection as open.
struct OpenCount(Weak<Pool>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        if let Some(pool) = self.0.upgrade() {
            pool.open.set(pool.open.get() - 1);
        }
    }
}

/// PooledConnection in use; closed when it is dropped without being given back.
pub(super) struct PooledConnection {
    pool: Rc<Pool>,
    connection: OpenConnection,
}

impl PooledConnection {
    pub(super) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.connection.sender
    }

    /// Keeps the connection for another request.
    pub(super) fn return_to_pool(self) {
        if self.connection.sender.is_closed() || self.pool.idle.borrow().len() >= MAX_IDLE {
            return;
        }
        self.pool.idle.borrow_mut().push(Idle {
            since: Instant::now(),
            connection: self.connection,
        });
        self.pool.schedule_idle_cleanup();
    }
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Rc<Pool> {
        Rc::new(Pool {
            address,
            open: Cell::new(0),
            idle: RefCell::default(),
            cleanup_scheduled: Cell::new(false),
        })
    }

    /// Open connections.
    pub(super) fn open_connections(&self) -> u32 {
        self.open.get()
    }

    /// Whether there is no connection.
    pub(super) fn is_empty(&self) -> bool {
        self.open.get() == 0
    }

    /// Takes an idle connection or opens one, if fewer than the max_open are open.
    pub(super) async fn connect(
        self: &Rc<Self>,
        max_open: u32,
        reuse: bool,
    ) -> Result<PooledConnection> {
        if reuse && let Some(connection) = self.take_idle() {
            let pool = self.clone();
            return Ok(PooledConnection { pool, connection });
        }
        if self.open.get() >= max_open {
            // An idle connection that must not be reused gives way to a new one.
            let evicted = self.idle.borrow_mut().pop();
            drop(evicted);
        }
        if self.open.get() >= max_open {
            return Err(PortError::NotSent);
        }
        self.open.set(self.open.get() + 1);
        let count = OpenCount(Rc::downgrade(self));
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| PortError::NotSent)?;
        let (sender, driver) = handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|_| PortError::NotSent)?;
        let driver = compio::runtime::spawn(async move {
            // An error of the connection also ends the exchange, which reports it.
            let _ = driver.await;
        });
        let connection = OpenConnection {
            sender,
            _driver: driver,
            _count: count,
        };
        let pool = self.clone();
        Ok(PooledConnection { pool, connection })
    }

    fn take_idle(&self) -> Option<OpenConnection> {
        self.close_expired();
        loop {
            let connection = self.idle.borrow_mut().pop()?.connection;
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
    }

    fn close_expired(&self) {
        let is_fresh = |idle: &mut Idle| idle.since.elapsed() < IDLE_TIMEOUT;
        let mut expired = Vec::new();
        let mut idle = self.idle.borrow_mut();
        expired.extend(idle.extract_if(.., |idle| !is_fresh(idle)));
        drop(idle);
    }

    /// Closes idle connections when their time has passed, also if no request comes.
    fn schedule_idle_cleanup(self: &Rc<Self>) {
        if self.cleanup_scheduled.replace(true) {
            return;
        }
        let pool = Rc::downgrade(self);
        compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(IDLE_TIMEOUT).await;
                let Some(pool) = pool.upgrade() else { return };
                pool.close_expired();
                if pool.idle.borrow().is_empty() {
                    pool.cleanup_scheduled.set(false);
                    return;
                }
            }
        })
        .detach();
    }
}
