//! Proof that a start in a data centre is allowed.
//!
//! While the log is up, a fresh read of the documents proves it. While it is
//! down, no node can accept a publication that nobody has applied: every running
//! node states that the log fails for it too, that it has no publication of
//! unknown outcome, and that it has applied nothing beyond ours.

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
        let is_open = self.hosts.is_known() && !self.out.borrow().contains(data_centre);
        let fresh_ms = self.env.settings.timing.documents_fresh_ms;
        is_open && (self.follower.is_fresh(now, fresh_ms) || self.is_proved_without_log(now))
    }

    fn is_proved_without_log(&self, now: MonoMs) -> bool {
        let timing = &self.env.settings.timing;
        let own_failure = self.env.log_health.failed_ago(now);
        let log_fails_here = own_failure.is_some_and(|ago| ago <= timing.documents_fresh_ms);
        let hosts_are_fresh = self.hosts.is_fresh(now, timing.hosts_fresh_ms);
        if !log_fails_here || !hosts_are_fresh || self.has_unsettled_publish() {
            return false;
        }
        let running = self.hosts.running_nodes();
        let peers = self.calls.peers();
        let mut covered = BTreeSet::from([self.env.settings.data_centre.clone()]);
        for peer in peers.iter().filter(|peer| running.contains(&peer.node)) {
            if !self.confirms_outage(peer, now) {
                return false;
            }
            covered.insert(peer.data_centre.clone());
        }
        let knows_all = running.iter().all(|node| self.is_in_settings(node));
        knows_all && self.hosts.live_data_centres().is_subset(&covered)
    }

    /// Whether a node of the host list can confirm anything: others run nodes unknown to this one.
    fn is_in_settings(&self, node: &NodeName) -> bool {
        self.env.data_centre_of(node).is_some()
    }

    fn confirms_outage(&self, peer: &PeerState, now: MonoMs) -> bool {
        let fresh_ms = self.env.settings.timing.peer_silent_ms;
        let heard_ms = peer.last_heartbeat_ms;
        let is_heard = heard_ms.is_some_and(|heard_ms| now.since(heard_ms) <= fresh_ms);
        let beat = peer.heartbeat.as_deref();
        is_heard && beat.is_some_and(|beat| self.states_outage(beat))
    }

    fn states_outage(&self, beat: &Heartbeat) -> bool {
        let fresh_ms = self.env.settings.timing.documents_fresh_ms;
        let failed_ago: Option<Millis> = beat.log_failed_ago_ms;
        failed_ago.is_some_and(|ago| ago <= fresh_ms)
            && !beat.publish_unsettled
            && beat.documents_next <= self.applied_next()
    }
}
