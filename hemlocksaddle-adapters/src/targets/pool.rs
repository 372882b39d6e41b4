//! Connection pool of one address.

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

/// Maximum number of idle connections.
///
/// Non-idempotent requests never reuse a connection. Without this bound, idle
/// connections accumulate up to the executor's limit. Each further request then
/// closes one and opens another, and the executor may see the new connection
/// before the close of the old one (61 connections at a limit of 60 in the
/// quickstart). An executor has 8 slots, so more idle connections could not be used at
/// the same time.
const MAX_IDLE: usize = 8;

/// Pool of the connections to one address, idle and in use.
pub(super) struct Pool {
    address: SocketAddr,
    open: Cell<u32>,
    idle: RefCell<Vec<IdleConnection>>,
    cleanup_scheduled: Cell<bool>,
}

struct IdleConnection {
    since: Instant,
    connection: OpenConnection,
}

/// Connection and the task that drives its I/O; dropping it closes the socket.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: JoinHandle<()>,
    _count: OpenCount,
}

/// Guard that counts a connection as open.
struct OpenCount(Weak<Pool>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        if let Some(pool) = self.0.upgrade() {
            pool.open.set(pool.open.get() - 1);
        }
    }
}

/// Connection in use; dropping it closes the connection unless it was returned to the pool.
pub(super) struct PooledConnection {
    pool: Rc<Pool>,
    connection: OpenConnection,
}

impl PooledConnection {
    pub(super) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.connection.sender
    }

    /// Returns the connection to the pool, or closes it if the pool has enough idle ones.
    pub(super) fn return_to_pool(self) {
        if self.connection.sender.is_closed() || self.pool.idle.borrow().len() >= MAX_IDLE {
            return;
        }
        self.pool.idle.borrow_mut().push(IdleConnection {
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

    /// Number of open connections, idle ones included.
    pub(super) fn open_connections(&self) -> u32 {
        self.open.get()
    }

    /// Whether no connection is open.
    pub(super) fn is_empty(&self) -> bool {
        self.open.get() == 0
    }

    /// Takes an idle connection if `reuse` is set, or opens one if fewer than `max_open` are open.
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
            // A new connection replaces an idle one that must not be reused.
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
            // A connection error also fails the exchange, which reports it.
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
        let is_fresh = |idle: &mut IdleConnection| idle.since.elapsed() < IDLE_TIMEOUT;
        let mut expired = Vec::new();
        let mut idle = self.idle.borrow_mut();
        expired.extend(idle.extract_if(.., |idle| !is_fresh(idle)));
        drop(idle);
    }

    /// Closes idle connections after their timeout, even if there are no further requests.
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
