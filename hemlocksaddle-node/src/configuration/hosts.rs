//! Latest host list and what it says about data centres.

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

/// Host list with the time at which its fetch was sent.
#[derive(Default)]
pub(super) struct HostView {
    list: RefCell<Rc<HostList>>,
    sent_ms: Cell<Option<MonoMs>>,
    is_failing: Cell<bool>,
}

impl HostView {
    pub(super) fn list(&self) -> Rc<HostList> {
        self.list.borrow().clone()
    }

    pub(super) fn is_known(&self) -> bool {
        self.sent_ms.get().is_some()
    }

    pub(super) fn is_fresh(&self, now: MonoMs, span: Millis) -> bool {
        let sent_ms = self.sent_ms.get();
        sent_ms.is_some_and(|sent_ms| now.since(sent_ms) <= span)
    }

    /// Fetches the list once.
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
        // A list that is older than the one at hand, for example from a lagging replica, proves nothing new.
        if list.as_of_ms >= self.list.borrow().as_of_ms {
            self.sent_ms.set(Some(sent_ms));
            self.list.replace(Rc::new(list));
        }
    }

    /// Data centres most of whose hosts are leaving.
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
    /// Leaving hosts count: their nodes still run and could accept a publication.
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
