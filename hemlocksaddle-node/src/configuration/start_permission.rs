//! Check whether work may start in a data centre.
//!
//! A start is allowed if the data centre cannot have been taken out without this
//! node knowing it:
//!
//! - While the log is up, a fresh read of the documents shows this.
//! - While the log is down, no publish can have been accepted that this node has
//!   not applied, provided that every running node reports that the log fails for
//!   it too, that it has no publish of unknown outcome, and that it has applied no
//!   newer documents than this node. The host list, which must be fresh, says which
//!   nodes run; each data centre with live hosts must contain this node or one of them.

use std::collections::BTreeSet;

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{DataCentre, NodeName},
    peer::Heartbeat,
};

use crate::core::PeerState;

use super::ConfigurationStore;

impl ConfigurationStore {
    pub(super) fn may_start_in(&self, data_centre: &DataCentre) -> bool {
        let now = self.env.now();
        let is_open =
            self.hosts.is_loaded() && !self.data_centres_out.borrow().contains(data_centre);
        let fresh_ms = self.env.settings.timing.documents_fresh_ms;
        is_open && (self.follower.is_fresh(now, fresh_ms) || self.is_confirmed_by_peers(now))
    }

    fn is_confirmed_by_peers(&self, now: MonoMs) -> bool {
        let timing = &self.env.settings.timing;
        let own_failure = self.env.log_health.failed_ago(now);
        let log_fails_here = own_failure.is_some_and(|ago| ago <= timing.documents_fresh_ms);
        let hosts_are_fresh = self.hosts.is_fresh(now, timing.hosts_fresh_ms);
        if !log_fails_here || !hosts_are_fresh || self.has_unresolved_publish() {
            return false;
        }
        let running = self.hosts.running_nodes();
        let peers = self.calls.peers();
        let mut confirmed_data_centres = BTreeSet::from([self.env.settings.data_centre.clone()]);
        for peer in peers.iter().filter(|peer| running.contains(&peer.node)) {
            if !self.confirms_outage(peer, now) {
                return false;
            }
            confirmed_data_centres.insert(peer.data_centre.clone());
        }
        let knows_all_nodes = running.iter().all(|node| self.is_in_settings(node));
        knows_all_nodes
            && self
                .hosts
                .live_data_centres()
                .is_subset(&confirmed_data_centres)
    }

    /// Whether a node of the host list is in the settings; others cannot confirm an outage.
    fn is_in_settings(&self, node: &NodeName) -> bool {
        self.env.data_centre_of(node).is_some()
    }

    fn confirms_outage(&self, peer: &PeerState, now: MonoMs) -> bool {
        let fresh_ms = self.env.settings.timing.peer_silent_ms;
        let last_heartbeat_ms = peer.last_heartbeat_ms;
        let is_reachable = last_heartbeat_ms
            .is_some_and(|last_heartbeat_ms| now.since(last_heartbeat_ms) <= fresh_ms);
        let heartbeat = peer.heartbeat.as_deref();
        is_reachable && heartbeat.is_some_and(|heartbeat| self.reports_outage(heartbeat))
    }

    fn reports_outage(&self, heartbeat: &Heartbeat) -> bool {
        let fresh_ms = self.env.settings.timing.documents_fresh_ms;
        let failed_ago: Option<Millis> = heartbeat.log_failed_ago_ms;
        failed_ago.is_some_and(|ago| ago <= fresh_ms)
            && !heartbeat.publish_unsettled
            && heartbeat.documents_next <= self.applied_next()
    }
}
