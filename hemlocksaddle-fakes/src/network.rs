//! Network between processes, with delay, partitions, death and silent connections.
//!
//! Each pair of a process and a destination shares one connection. A silent
//! connection swallows everything that is sent over it until a call times out;
//! the next call then opens a new one. What was sent stays on its way when the
//! sender gives up or is killed, so that effects without an answer occur.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future::{Future, pending},
    rc::Rc,
    sync::Arc,
};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hemlocksaddle_node::ports::{PortError, PortFuture, Result};
use hemlocksaddle_types::{clock::Millis, name::DataCentre};

use crate::runtime::{ENVIRONMENT, ProcessId, SimRuntime};

/// Timeout of a call, as the adapters use it.
pub const CALL_TIMEOUT: Millis = Millis(1_500);

/// Sender or receiver on the network.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Process that is paused or killed with it.
    pub process: ProcessId,
    /// Name, unique in the run.
    pub name: Arc<str>,
    /// Data centre; `None` for the platform's services, which every data centre reaches.
    pub data_centre: Option<DataCentre>,
}

impl Endpoint {
    /// Service of the platform.
    #[must_use]
    pub fn platform(name: &str) -> Endpoint {
        Endpoint {
            process: ENVIRONMENT,
            name: name.into(),
            data_centre: None,
        }
    }

    fn is_in(&self, place: &str) -> bool {
        let data_centre = self.data_centre.as_ref().map(DataCentre::as_str);
        *self.name == *place || data_centre == Some(place)
    }
}

type Connection = (ProcessId, Arc<str>);

/// Network of one run.
pub struct Network {
    /// Executor of the run.
    pub sim: SimRuntime,
    /// Share of answers that are lost after the effect, in percent.
    pub lost_answers_percent: Cell<u64>,
    cut: RefCell<BTreeSet<(Arc<str>, Arc<str>)>>,
    dead: RefCell<BTreeSet<Arc<str>>>,
    connections: RefCell<BTreeMap<Connection, bool>>,
    silences: Cell<u64>,
}

impl Network {
    /// Network without faults.
    #[must_use]
    pub fn new(sim: &SimRuntime) -> Rc<Network> {
        Rc::new(Network {
            sim: sim.clone(),
            lost_answers_percent: Cell::new(0),
            cut: RefCell::default(),
            dead: RefCell::default(),
            connections: RefCell::default(),
            silences: Cell::new(0),
        })
    }

    /// Cuts or joins two places: names of endpoints or of data centres.
    pub fn set_cut(&self, one: &str, other: &str, cut: bool) {
        let pair = (Arc::from(one), Arc::from(other));
        if cut {
            self.cut.borrow_mut().insert(pair);
        } else {
            self.cut.borrow_mut().remove(&pair);
        }
    }

    /// Marks an endpoint as dead, which refuses connections, or as alive.
    pub fn set_dead(&self, name: &str, dead: bool) {
        self.connections
            .borrow_mut()
            .retain(|(_, destination), _| **destination != *name);
        if dead {
            self.dead.borrow_mut().insert(name.into());
        } else {
            self.dead.borrow_mut().remove(name);
        }
    }

    /// Whether an endpoint is dead.
    #[must_use]
    pub fn is_dead(&self, name: &str) -> bool {
        self.dead.borrow().contains(name)
    }

    /// Lets a share of the open connections go silent for good.
    pub fn silence(&self, percent: u64) {
        self.silences.set(self.silences.get() + 1);
        for silent in self.connections.borrow_mut().values_mut() {
            *silent |= self.sim.below(100) < percent;
        }
    }

    /// Number of [`Network::silence`] calls, for fakes that keep connections of their own.
    #[must_use]
    pub fn silences(&self) -> u64 {
        self.silences.get()
    }

    /// Whether messages pass between two endpoints.
    #[must_use]
    pub fn connected(&self, one: &Endpoint, other: &Endpoint) -> bool {
        let cut = self.cut.borrow();
        !cut.iter()
            .any(|(a, b)| (one.is_in(a) && other.is_in(b)) || (one.is_in(b) && other.is_in(a)))
    }

    /// Takes as long as a message takes one way.
    pub async fn trip(&self) {
        let jitter_us = self.sim.below(1_000);
        let queued_us = if self.sim.below(100) == 0 { 10_000 } else { 0 };
        let at_us = self.sim.now_us() + 500 + jitter_us + queued_us;
        self.sim.sleep_until(at_us).await;
    }

    /// Calls a destination; `work` runs there, whatever becomes of the caller.
    pub fn call<T, F>(
        self: &Rc<Self>,
        from: &Endpoint,
        to: &Endpoint,
        within: Millis,
        work: impl FnOnce() -> F + 'static,
    ) -> PortFuture<'static, Result<T>>
    where
        T: 'static,
        F: Future<Output = T> + 'static,
    {
        let (network, from, to) = (self.clone(), from.clone(), to.clone());
        Box::pin(async move {
            let connection = (from.process, to.name.clone());
            network.open(&connection, &from, &to, within).await?;
            let (answer, answered) = oneshot::channel();
            let server = network.clone();
            let carried = connection.clone();
            network.sim.spawn(ENVIRONMENT, async move {
                if let Some(output) = server.serve(&carried, &from, &to, work).await {
                    let _ = answer.send(output);
                }
            });
            let answered = async {
                match answered.await {
                    Ok(output) => output,
                    Err(oneshot::Canceled) => pending().await,
                }
            };
            let timeout = network.sim.sleep(within);
            match select(Box::pin(answered), Box::pin(timeout)).await {
                Either::Left((output, _)) => Ok(output),
                Either::Right(_) => {
                    network.connections.borrow_mut().remove(&connection);
                    Err(PortError::Unknown)
                }
            }
        })
    }

    async fn open(
        &self,
        connection: &Connection,
        from: &Endpoint,
        to: &Endpoint,
        within: Millis,
    ) -> Result<()> {
        if self.connections.borrow().contains_key(connection) {
            return Ok(());
        }
        self.trip().await;
        if !self.connected(from, to) {
            self.sim.sleep(within).await;
            return Err(PortError::NotSent);
        }
        if self.is_dead(&to.name) {
            return Err(PortError::NotSent);
        }
        self.connections
            .borrow_mut()
            .insert(connection.clone(), false);
        Ok(())
    }

    async fn serve<T, F: Future<Output = T>>(
        &self,
        connection: &Connection,
        from: &Endpoint,
        to: &Endpoint,
        work: impl FnOnce() -> F,
    ) -> Option<T> {
        let passes = || {
            let silent = self.connections.borrow().get(connection) == Some(&true);
            !silent && self.connected(from, to) && !self.is_dead(&to.name)
        };
        if !passes() {
            return None;
        }
        self.trip().await;
        if self.is_dead(&to.name) {
            return None;
        }
        let output = work().await;
        if self.sim.below(100) < self.lost_answers_percent.get() || !passes() {
            return None;
        }
        self.trip().await;
        Some(output)
    }
}
