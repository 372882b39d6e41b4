//! Cache of the host list, and the state of data centres derived from it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::{HostList, HostRole, HostState},
    name::{DataCentre, NodeName},
};

use crate::{env::Env, event::Event, wait::within};

/// Latest host list and the time at which it was requested.
#[derive(Default)]
pub(super) struct HostListCache {
    list: RefCell<Rc<HostList>>,
    sent_ms: Cell<Option<MonoMs>>,
    is_failing: Cell<bool>,
}

impl HostListCache {
    pub(super) fn list(&self) -> Rc<HostList> {
        self.list.borrow().clone()
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.sent_ms.get().is_some()
    }

    pub(super) fn is_fresh(&self, now: MonoMs, max_age: Millis) -> bool {
        let sent_ms = self.sent_ms.get();
        sent_ms.is_some_and(|sent_ms| now.since(sent_ms) <= max_age)
    }

    /// Fetches the list and keeps it unless it is older than the cached one.
    pub(super) async fn fetch(&self, env: &Env) {
        let sent_ms = env.now();
        let limit = env.settings.timing.platform_call_ms;
        let fetched = within(&*env.ports.runtime, limit, env.ports.hosts.fetch()).await;
        let Some(Ok(list)) = fetched else {
            if !self.is_failing.replace(true) {
                Event::HostListUnreachable.log(format_args!("fetch failed"));
            }
            return;
        };
        self.is_failing.set(false);
        // An older list, for example from a lagging replica, must not count as fresh.
        if list.as_of_ms >= self.list.borrow().as_of_ms {
            self.sent_ms.set(Some(sent_ms));
            self.list.replace(Rc::new(list));
        }
    }

    /// Data centres with more leaving than live hosts.
    pub(super) fn leaving_data_centres(&self) -> BTreeSet<DataCentre> {
        let list = self.list();
        let mut counts: BTreeMap<&DataCentre, (usize, usize)> = BTreeMap::new();
        for host in &list.hosts {
            let (live, leaving) = counts.entry(&host.data_centre).or_default();
            match host.state {
                HostState::Live => *live += 1,
                HostState::Leaving => *leaving += 1,
                HostState::Gone => {}
            }
        }
        let mostly_leaving = counts
            .into_iter()
            .filter(|(_, (live, leaving))| leaving > live);
        mostly_leaving
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }

    /// Data centres with at least one live host.
    pub(super) fn live_data_centres(&self) -> BTreeSet<DataCentre> {
        let list = self.list();
        let live = list.hosts.iter();
        live.filter(|host| host.state == HostState::Live)
            .map(|host| host.data_centre.clone())
            .collect()
    }

    /// Nodes whose host is not gone.
    ///
    /// Leaving hosts count: their nodes still run and could accept a publish.
    pub(super) fn running_nodes(&self) -> BTreeSet<NodeName> {
        let list = self.list();
        let running = list
            .hosts
            .iter()
            .filter(|host| host.state != HostState::Gone);
        let nodes = running.filter_map(|host| match &host.role {
            HostRole::Node { name } => Some(name.clone()),
            HostRole::Worker { .. } | HostRole::Executor { .. } => None,
        });
        nodes.collect()
    }
}
