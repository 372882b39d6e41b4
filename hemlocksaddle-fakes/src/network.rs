//! Network between processes, with delays, partitions, dead hosts and silent connections.
//!
//! A process has one connection to each destination. A silent connection drops
//! all traffic without being closed, until a call times out; the next call then
//! opens a new one. A request that was sent is still delivered if the sender gives
//! up or is killed, so that a call can take effect without a response.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::{Future, pending},
    rc::Rc,
    sync::Arc,
};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_node::ports::{PortError, PortFuture, Result};
use hemlocksaddle_types::{clock::Millis, name::DataCentre};

use crate::{
    platform::Platform,
    runtime::{ENVIRONMENT, ProcessId},
};

/// Call timeout, the same as in the adapters.
pub(crate) const CALL_TIMEOUT: Millis = Millis(1_500);

/// Sender or receiver of calls and messages.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub(crate) process: ProcessId,
    pub(crate) name: Arc<str>,
    /// `None` for the platform's services, which every data centre can reach.
    pub(crate) data_centre: Option<DataCentre>,
}

impl Endpoint {
    pub(crate) fn new(process: ProcessId, name: &str, data_centre: Option<&DataCentre>) -> Self {
        Endpoint {
            process,
            name: name.into(),
            data_centre: data_centre.cloned(),
        }
    }

    fn matches(&self, name: &str) -> bool {
        let data_centre = self.data_centre.as_ref().map(DataCentre::as_str);
        *self.name == *name || data_centre == Some(name)
    }
}

/// Key of a connection: calling process and name of the destination.
type Connection = (ProcessId, Arc<str>);

#[derive(Default)]
pub(crate) struct Network {
    partitions: BTreeSet<(Arc<str>, Arc<str>)>,
    dead: BTreeSet<Arc<str>>,
    /// Open connections, and whether each is silent.
    connections: BTreeMap<Connection, bool>,
}

impl Platform {
    /// Starts or ends a partition between two sides: nodes, workers, data centres, `log` or `hosts`.
    pub fn set_partitioned(&self, one: &str, other: &str, partitioned: bool) {
        let pair = (Arc::from(one), Arc::from(other));
        let all = &mut self.network.borrow_mut().partitions;
        if partitioned {
            all.insert(pair)
        } else {
            all.remove(&pair)
        };
    }

    /// Marks a host as dead or alive and closes the connections to it; a dead host refuses new ones.
    pub fn set_dead(&self, name: &str, dead: bool) {
        let network = &mut self.network.borrow_mut();
        network.connections.retain(|(_, to), _| **to != *name);
        if dead {
            network.dead.insert(name.into())
        } else {
            network.dead.remove(name)
        };
    }

    /// Whether a host is dead.
    #[must_use]
    pub fn is_dead(&self, name: &str) -> bool {
        self.network.borrow().dead.contains(name)
    }

    /// Makes a random share of the open connections silent until they are closed.
    pub fn silence(&self, percent: u64) {
        for silent in self.network.borrow_mut().connections.values_mut() {
            *silent |= self.sim.below(100) < percent;
        }
        self.silence_links(percent);
    }

    pub(crate) fn connected(&self, one: &Endpoint, other: &Endpoint) -> bool {
        let partitions = &self.network.borrow().partitions;
        let separates = |(a, b): &(Arc<str>, Arc<str>)| {
            (one.matches(a) && other.matches(b)) || (one.matches(b) && other.matches(a))
        };
        !partitions.iter().any(separates)
    }

    /// Arrival time of a message sent now.
    pub(crate) fn arrival_us(&self) -> u64 {
        let queued_us = if self.sim.below(100) == 0 { 10_000 } else { 0 };
        self.sim.now_us() + 500 + self.sim.below(1_000) + queued_us
    }

    pub(crate) async fn network_delay(&self) {
        let arrival_us = self.arrival_us();
        self.sim.sleep_until(arrival_us).await;
    }

    /// Calls a destination and runs `work` there.
    ///
    /// Without `abort_on_close`, the work continues if the caller gives up or is
    /// killed. With it, the work is cancelled when the caller closes the
    /// connection, unless the connection is silent.
    pub(crate) fn call<T: 'static, F: Future<Output = T> + 'static>(
        self: &Rc<Self>,
        from: &Endpoint,
        to: Endpoint,
        timeout: Millis,
        abort_on_close: bool,
        work: impl FnOnce() -> F + 'static,
    ) -> PortFuture<'static, Result<T>> {
        let (platform, from) = (self.clone(), from.clone());
        Box::pin(async move {
            let connection = (from.process, to.name.clone());
            platform.open(&connection, &from, &to, timeout).await?;
            let mut guard = CallGuard {
                platform: platform.clone(),
                connection: connection.clone(),
                completed: false,
            };
            let (mut response_tx, response_rx) = oneshot::channel();
            let (server, used_connection) = (platform.clone(), connection.clone());
            platform.sim.spawn(ENVIRONMENT, async move {
                let closed = async {
                    response_tx.cancellation().await;
                    if !abort_on_close || server.is_silent(&used_connection) {
                        pending::<()>().await;
                    }
                };
                let serving = server.serve(&used_connection, &from, &to, work);
                let served = select(Box::pin(serving), Box::pin(closed)).await;
                if let Either::Left((Some(output), closed)) = served {
                    drop(closed);
                    let _ = response_tx.send(output);
                }
            });
            let timer = platform.sim.sleep(timeout);
            match select(Box::pin(or_pending(response_rx)), timer).await {
                Either::Left((output, _)) => {
                    guard.completed = true;
                    Ok(output)
                }
                Either::Right(_) => Err(PortError::Unknown),
            }
        })
    }

    async fn open(
        &self,
        connection: &Connection,
        from: &Endpoint,
        to: &Endpoint,
        timeout: Millis,
    ) -> Result<()> {
        if self.network.borrow().connections.contains_key(connection) {
            return Ok(());
        }
        self.network_delay().await;
        if !self.connected(from, to) {
            self.sim.sleep(timeout).await;
            return Err(PortError::NotSent);
        }
        if self.is_dead(&to.name) {
            return Err(PortError::NotSent);
        }
        let connections = &mut self.network.borrow_mut().connections;
        connections.insert(connection.clone(), false);
        Ok(())
    }

    fn is_silent(&self, connection: &Connection) -> bool {
        self.network.borrow().connections.get(connection) == Some(&true)
    }

    /// Delivers a request, runs its work and delivers the response; `None` if one is lost.
    async fn serve<T, F: Future<Output = T>>(
        &self,
        connection: &Connection,
        from: &Endpoint,
        to: &Endpoint,
        work: impl FnOnce() -> F,
    ) -> Option<T> {
        let is_reachable =
            || !self.is_silent(connection) && self.connected(from, to) && !self.is_dead(&to.name);
        if !is_reachable() {
            return None;
        }
        self.network_delay().await;
        if self.is_dead(&to.name) {
            return None;
        }
        let output = work().await;
        let lost_percent = self.faults.borrow().lost_responses_percent;
        if self.sim.below(100) < lost_percent || !is_reachable() {
            return None;
        }
        self.network_delay().await;
        Some(output)
    }
}

/// Closes the connection of a call that times out or is dropped.
struct CallGuard {
    platform: Rc<Platform>,
    connection: Connection,
    completed: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.completed {
            let connections = &mut self.platform.network.borrow_mut().connections;
            connections.remove(&self.connection);
        }
    }
}

async fn or_pending<T>(response_rx: oneshot::Receiver<T>) -> T {
    match response_rx.await {
        Ok(output) => output,
        Err(oneshot::Canceled) => pending().await,
    }
}
