//! Estimated load of the peers.
//!
//! Heartbeats and the responses to forwarded requests carry the load of a peer.
//! Requests that were sent after that report are added to it, so that a burst does
//! not go only to the peer that last reported the most free slots.

use std::collections::VecDeque;

use hemlocksaddle_policy::routing::{DEFAULT_SERVICE_MS, Load};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{NodeName, ServiceName},
    peer::SlotSummary,
};

use crate::core::PeerState;

/// Assumed network delay of a load report from a peer.
const ONE_WAY_DELAY: Millis = Millis(1);

/// Load of a peer for one service, as known to this node.
pub(super) struct PeerView {
    /// Name of the peer.
    pub(super) node: NodeName,
    /// Whether the peer is alive and accepts requests.
    pub(super) usable: bool,
    /// Whether a pull is in progress.
    pub(super) pulling: bool,
    load: Load,
    as_of_ms: MonoMs,
    sent: VecDeque<MonoMs>,
}

impl PeerView {
    fn new(node: NodeName) -> PeerView {
        PeerView {
            node,
            usable: false,
            pulling: false,
            load: Load::default(),
            as_of_ms: MonoMs(0),
            sent: VecDeque::new(),
        }
    }

    /// Replaces the load by a newer report.
    pub(super) fn update(&mut self, summary: &SlotSummary, as_of_ms: MonoMs) {
        if as_of_ms < self.as_of_ms {
            return;
        }
        self.as_of_ms = as_of_ms;
        self.load = to_load(summary);
        let included_ms = as_of_ms - ONE_WAY_DELAY;
        while self.sent.front().is_some_and(|sent| *sent < included_ms) {
            self.sent.pop_front();
        }
    }

    /// Records a request that is sent to the peer now.
    pub(super) fn record_sent(&mut self, now: MonoMs) {
        self.sent.push_back(now);
    }

    /// Assumes no slots at the peer until a newer report arrives.
    pub(super) fn clear(&mut self, now: MonoMs) {
        self.load = Load::default();
        self.as_of_ms = now;
    }

    /// Assumes an empty queue at the peer, after a pull.
    pub(super) fn clear_waiting(&mut self) {
        self.load.waiting = 0;
    }

    /// Estimated load: the last report plus the requests sent since.
    pub(super) fn estimate(&self) -> Load {
        if !self.usable {
            return Load::default();
        }
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let taken = sent.min(self.load.free);
        Load {
            free: self.load.free - taken,
            waiting: self.load.waiting.saturating_add(sent - taken),
            ..self.load
        }
    }
}

/// Updates the views from the latest heartbeats.
pub(super) fn refresh(
    views: &mut Vec<PeerView>,
    peers: &[PeerState],
    service: &ServiceName,
    now: MonoMs,
    silent_ms: Millis,
) {
    for peer in peers {
        let known = views.iter().position(|view| view.node == peer.node);
        let index = known.unwrap_or_else(|| {
            views.push(PeerView::new(peer.node.clone()));
            views.len() - 1
        });
        refresh_view(&mut views[index], peer, service, now, silent_ms);
    }
}

fn refresh_view(
    view: &mut PeerView,
    peer: &PeerState,
    service: &ServiceName,
    now: MonoMs,
    silent_ms: Millis,
) {
    view.usable = false;
    let (Some(last_heartbeat_ms), Some(heartbeat)) = (peer.last_heartbeat_ms, &peer.heartbeat)
    else {
        return;
    };
    view.usable = heartbeat.ready && !heartbeat.leaving && now.since(last_heartbeat_ms) < silent_ms;
    if last_heartbeat_ms <= view.as_of_ms {
        return;
    }
    match heartbeat
        .slots
        .iter()
        .find(|slots| slots.service == *service)
    {
        Some(summary) => view.update(summary, last_heartbeat_ms),
        None => view.clear(last_heartbeat_ms),
    }
}

fn to_load(summary: &SlotSummary) -> Load {
    let mean_ms = if summary.mean_us == 0 {
        DEFAULT_SERVICE_MS
    } else {
        f64::from(summary.mean_us) / 1_000.0
    };
    Load {
        free: summary.free,
        waiting: summary.waiting,
        slots: summary.total,
        mean_ms,
    }
}
