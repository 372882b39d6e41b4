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

use super::REUSE_WITHIN;

/// Idle connections that are kept.
///
/// Non-idempotent requests never reuse one. Without this bound their connections
/// piled up to the executor's limit, where each further request opens a new one
/// while the executor may not have seen the close of the old one yet (61 of 60
/// connections in a run of the quickstart). An executor has 8 slots, so more
/// idle connections would not be used at once.
const MAX_IDLE: usize = 8;

/// Connections to one address, idle and in use.
pub(super) struct Pool {
    address: SocketAddr,
    open: Cell<u32>,
    idle: RefCell<Vec<Idle>>,
    closing_idle: Cell<bool>,
}

struct Idle {
    since: Instant,
    link: Link,
}

/// Connection with the task that reads and writes it; dropping it closes the socket.
struct Link {
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

/// Connection in use; closed when it is dropped without being given back.
pub(super) struct Connection {
    pool: Rc<Pool>,
    link: Link,
}

impl Connection {
    pub(super) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.link.sender
    }

    /// Keeps the connection for another request.
    pub(super) fn give_back(self) {
        if self.link.sender.is_closed() || self.pool.idle.borrow().len() >= MAX_IDLE {
            return;
        }
        self.pool.idle.borrow_mut().push(Idle {
            since: Instant::now(),
            link: self.link,
        });
        self.pool.close_idle_later();
    }
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Rc<Pool> {
        Rc::new(Pool {
            address,
            open: Cell::new(0),
            idle: RefCell::default(),
            closing_idle: Cell::new(false),
        })
    }

    /// Open connections.
    pub(super) fn open(&self) -> u32 {
        self.open.get()
    }

    /// Whether there is no connection.
    pub(super) fn is_unused(&self) -> bool {
        self.open.get() == 0
    }

    /// Takes an idle connection or opens one, if fewer than the bound are open.
    pub(super) async fn connect(self: &Rc<Self>, bound: u32, reuse: bool) -> Result<Connection> {
        if reuse && let Some(link) = self.take_idle() {
            let pool = self.clone();
            return Ok(Connection { pool, link });
        }
        if self.open.get() >= bound {
            // An idle connection that must not be reused gives way to a new one.
            let gives_way = self.idle.borrow_mut().pop();
            drop(gives_way);
        }
        if self.open.get() >= bound {
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
        let link = Link {
            sender,
            _driver: driver,
            _count: count,
        };
        let pool = self.clone();
        Ok(Connection { pool, link })
    }

    fn take_idle(&self) -> Option<Link> {
        self.close_old();
        loop {
            let link = self.idle.borrow_mut().pop()?.link;
            if link.sender.is_ready() {
                return Some(link);
            }
        }
    }

    fn close_old(&self) {
        let young = |idle: &mut Idle| idle.since.elapsed() < REUSE_WITHIN;
        let mut old = Vec::new();
        let mut idle = self.idle.borrow_mut();
        old.extend(idle.extract_if(.., |idle| !young(idle)));
        drop(idle);
    }

    /// Closes idle connections when their time has passed, also if no request comes.
    fn close_idle_later(self: &Rc<Self>) {
        if self.closing_idle.replace(true) {
            return;
        }
        let pool = Rc::downgrade(self);
        compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(REUSE_WITHIN).await;
                let Some(pool) = pool.upgrade() else { return };
                pool.close_old();
                if pool.idle.borrow().is_empty() {
                    pool.closing_idle.set(false);
                    return;
                }
            }
        })
        .detach();
    }
}
