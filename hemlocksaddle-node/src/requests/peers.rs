//! What this node knows about the slots of its peers.
//!
//! Heartbeats and the answers to forwarded requests carry counts. Requests that
//! were sent after the counts were taken are subtracted, so that a burst does not
//! go to the peer that was the emptiest one before it.

use std::collections::VecDeque;

use hemlocksaddle_policy::routing::{DEFAULT_SERVICE_MS, Load};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{NodeName, ServiceName},
    peer::SlotSummary,
};

use crate::core::PeerState;

/// Time for which counts that come with an answer are on their way.
const ONE_WAY: Millis = Millis(1);

/// Slots of a peer for one service.
pub(super) struct PeerView {
    /// Peer.
    pub(super) node: NodeName,
    /// Whether the peer answers and takes requests.
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

    /// Takes over newer counts.
    pub(super) fn update(&mut self, summary: &SlotSummary, as_of_ms: MonoMs) {
        if as_of_ms < self.as_of_ms {
            return;
        }
        self.as_of_ms = as_of_ms;
        self.load = to_load(summary);
        let included_ms = as_of_ms - ONE_WAY;
        while self.sent.front().is_some_and(|sent| *sent < included_ms) {
            self.sent.pop_front();
        }
    }

    /// Counts a request that is sent to the peer now.
    pub(super) fn note_sent(&mut self, now: MonoMs) {
        self.sent.push_back(now);
    }

    /// Expects nothing of the peer until newer counts arrive.
    pub(super) fn clear(&mut self, now: MonoMs) {
        self.load = Load::default();
        self.as_of_ms = now;
    }

    /// Waiting requests are expected to have been handed over.
    pub(super) fn clear_waiting(&mut self) {
        self.load.waiting = 0;
    }

    /// Estimated load now.
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

/// Takes over the heartbeats of all peers.
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
        refresh_one(&mut views[index], peer, service, now, silent_ms);
    }
}

fn refresh_one(
    view: &mut PeerView,
    peer: &PeerState,
    service: &ServiceName,
    now: MonoMs,
    silent_ms: Millis,
) {
    view.usable = false;
    let (Some(heard_ms), Some(heartbeat)) = (peer.last_heartbeat_ms, &peer.heartbeat) else {
        return;
    };
    view.usable = heartbeat.ready && !heartbeat.leaving && now.since(heard_ms) < silent_ms;
    if heard_ms <= view.as_of_ms {
        return;
    }
    match heartbeat
        .slots
        .iter()
        .find(|slots| slots.service == *service)
    {
        Some(summary) => view.update(summary, heard_ms),
        None => view.clear(heard_ms),
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
