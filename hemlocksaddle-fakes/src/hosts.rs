//! The platform's list of hosts, which lags behind what is true.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use hemlocksaddle_node::ports::{Hosts, PortFuture, Result};
use hemlocksaddle_types::{
    clock::Millis,
    host::{Host, HostList, HostState},
};

use crate::{
    network::{CALL_TIMEOUT, Endpoint, Network},
    runtime::ENVIRONMENT,
};

/// Host list of one run.
pub struct FakeHosts {
    network: Rc<Network>,
    /// States of the list with the true times in milliseconds at which they began.
    versions: RefCell<Vec<(u64, Vec<Host>)>>,
    /// Age of the list that is served.
    pub lag: Cell<Millis>,
}

impl FakeHosts {
    /// List of hosts.
    #[must_use]
    pub fn new(network: &Rc<Network>, hosts: Vec<Host>) -> Rc<FakeHosts> {
        Rc::new(FakeHosts {
            network: network.clone(),
            versions: RefCell::new(vec![(0, hosts)]),
            lag: Cell::new(Millis(500)),
        })
    }

    /// Port of one process.
    #[must_use]
    pub fn port(self: &Rc<Self>, from: &Endpoint) -> Rc<dyn Hosts> {
        Rc::new(HostsPort(self.clone(), from.clone()))
    }

    /// Changes the state of the hosts that match; the list shows it after its lag.
    pub fn set_state(&self, state: HostState, matches: impl Fn(&Host) -> bool) {
        let mut hosts = self.true_hosts();
        let changed = hosts.iter_mut().filter(|host| matches(host));
        changed.for_each(|host| host.state = state);
        let now = self.network.sim.now().0;
        self.versions.borrow_mut().push((now, hosts));
    }

    /// Hosts as they are now, without lag.
    #[must_use]
    pub fn true_hosts(&self) -> Vec<Host> {
        let versions = self.versions.borrow();
        versions
            .last()
            .map_or(Vec::new(), |(_, hosts)| hosts.clone())
    }

    /// List as it is served now.
    #[must_use]
    pub fn served(&self) -> HostList {
        let lag = self.lag.get().0;
        let shown = self.network.sim.now().0.saturating_sub(lag);
        let mut as_of_ms = self.network.sim.runtime(ENVIRONMENT).wall_now();
        as_of_ms.0 -= lag;
        let mut versions = self.versions.borrow_mut();
        while versions.get(1).is_some_and(|(since, _)| *since <= shown) {
            versions.remove(0);
        }
        let hosts = versions[0].1.clone();
        HostList { as_of_ms, hosts }
    }
}

struct HostsPort(Rc<FakeHosts>, Endpoint);

impl Hosts for HostsPort {
    fn fetch(&self) -> PortFuture<'_, Result<HostList>> {
        let hosts = self.0.clone();
        let to = Endpoint::platform("hosts");
        let network = &self.0.network;
        network.call(
            &self.1,
            &to,
            CALL_TIMEOUT,
            move || async move { hosts.served() },
        )
    }
}
