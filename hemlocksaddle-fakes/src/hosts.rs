//! The platform's host list, which lags behind the actual state of the hosts.

use hemlocksaddle_node::ports::{Hosts, PortFuture, Result};
use hemlocksaddle_types::host::{Host, HostList, HostRole, HostState};

use crate::{
    network::CALL_TIMEOUT,
    platform::{NodePorts, Platform},
    runtime::ENVIRONMENT,
};

impl Platform {
    /// Changes the state of the matching hosts; the served list shows it after its lag.
    pub fn set_state(&self, state: HostState, matches: impl Fn(&Host) -> bool) {
        let mut hosts = self.true_hosts();
        let changed = hosts.iter_mut().filter(|host| matches(host));
        changed.for_each(|host| host.state = state);
        self.hosts.borrow_mut().push((self.sim.now().0, hosts));
    }

    /// Hosts in their actual state, without lag.
    #[must_use]
    pub fn true_hosts(&self) -> Vec<Host> {
        let versions = self.hosts.borrow();
        versions
            .last()
            .map_or(Vec::new(), |(_, hosts)| hosts.clone())
    }

    /// Host list as it is served now, with its lag.
    #[must_use]
    pub fn served_hosts(&self) -> HostList {
        let lag_ms = self.faults.borrow().hosts_lag.0;
        let shown = self.sim.now().0.saturating_sub(lag_ms);
        let mut as_of_ms = self.sim.runtime(ENVIRONMENT).wall_now();
        as_of_ms.0 -= lag_ms;
        let mut versions = self.hosts.borrow_mut();
        while versions.get(1).is_some_and(|(since, _)| *since <= shown) {
            versions.remove(0);
        }
        let hosts = versions[0].1.clone();
        drop(versions);
        self.record_served(&hosts);
        HostList { as_of_ms, hosts }
    }

    /// Passes the served state to the checker and the executors.
    fn record_served(&self, hosts: &[Host]) {
        for index in 0..self.deployment.data_centres.len() {
            let data_centre = self.deployment.data_centre(index);
            let mut workers = hosts.iter().filter(|host| {
                host.data_centre == data_centre && matches!(host.role, HostRole::Worker { .. })
            });
            if workers.all(|host| host.state == HostState::Leaving) {
                self.checker.mark_out("hosts", &data_centre);
            } else {
                self.checker.mark_in("hosts", &data_centre);
            }
        }
        for host in hosts {
            if matches!(host.role, HostRole::Executor { .. }) {
                self.set_leaving(&host.address, host.state == HostState::Leaving);
            }
        }
    }
}

impl Hosts for NodePorts {
    fn fetch(&self) -> PortFuture<'_, Result<HostList>> {
        let hosts = self.platform.clone();
        self.call_platform(
            "hosts",
            CALL_TIMEOUT,
            || async move { hosts.served_hosts() },
        )
    }
}
