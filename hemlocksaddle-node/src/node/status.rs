//! Status of a node for operators.

use std::sync::Arc;

use serde::Serialize;

use hemlocksaddle_types::{
    clock::Millis,
    document::Revision,
    name::{DataCentre, NodeName, ServiceName},
    record::Offset,
    unit::Term,
};

use crate::core::PeerState;

use super::Node;

/// Status of a node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Whether the node has caught up and is not stopping.
    pub ready: bool,
    /// Whether the node has begun a planned stop.
    pub stopping: bool,
    /// Units that the node owns according to the log.
    pub units: Vec<UnitStatus>,
    /// Other nodes in its settings.
    pub peers: Vec<PeerStatus>,
    /// Health of the log as seen from this node.
    pub log: LogStatus,
    /// Current documents, as service and revision.
    pub documents: Vec<(ServiceName, Revision)>,
}

/// Unit that a node owns.
#[derive(Clone, Debug, Serialize)]
pub struct UnitStatus {
    /// Unit in text form, such as `queue/3`.
    pub unit: Arc<str>,
    /// Term at which the node owns the unit.
    pub term: Term,
    /// Whether the node holds a valid ownership lease on the unit.
    pub has_right: bool,
}

/// Peer as seen from the node.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Name of the peer.
    pub node: NodeName,
    /// Data centre of the peer.
    pub data_centre: DataCentre,
    /// Time since the last heartbeat arrived; `None` before the first.
    pub heard_ago_ms: Option<Millis>,
    /// Whether the peer serves, according to its last heartbeat.
    pub ready: bool,
    /// Whether the peer has begun a planned stop, according to its last heartbeat.
    pub leaving: bool,
}

/// Health of the log as seen from the node, with read positions.
#[derive(Clone, Debug, Serialize)]
pub struct LogStatus {
    /// Whether a log request sent within the last two seconds succeeded.
    pub is_up: bool,
    /// Time since the last failed request was sent; `None` if the log is not failing.
    pub failed_ago_ms: Option<Millis>,
    /// Offset of the first record of the documents that is not applied yet.
    pub documents_next: Offset,
    /// Offset of the first record of the claims that is not read yet.
    pub claims_next: Offset,
}

impl Node {
    /// Returns the current status of the node.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        let now = self.env.now();
        let units = self.ownership.held_units().into_iter();
        let units = units.map(|(unit, term)| UnitStatus {
            has_right: self.core.ownership.lease(&unit).is_some(),
            unit: unit.to_string().into(),
            term,
        });
        let documents = self.documents().into_iter();
        NodeStatus {
            node: self.env.settings.node.clone(),
            data_centre: self.env.settings.data_centre.clone(),
            ready: self.is_ready(),
            stopping: self.env.stopping.get(),
            units: units.collect(),
            peers: self
                .core
                .calls
                .peers()
                .into_iter()
                .map(|peer| self.peer_status(peer))
                .collect(),
            log: LogStatus {
                is_up: self.env.log_health.is_up(now),
                failed_ago_ms: self.env.log_health.failed_ago(now),
                documents_next: self.configuration.applied_next(),
                claims_next: self.ownership.claims_next(),
            },
            documents: documents
                .map(|(document, revision)| (document.service.clone(), revision))
                .collect(),
        }
    }

    fn peer_status(&self, peer: PeerState) -> PeerStatus {
        let now = self.env.now();
        let heartbeat = peer.heartbeat.as_deref();
        PeerStatus {
            heard_ago_ms: peer
                .last_heartbeat_ms
                .map(|received_ms| now.since(received_ms)),
            ready: heartbeat.is_some_and(|heartbeat| heartbeat.ready),
            leaving: heartbeat.is_some_and(|heartbeat| heartbeat.leaving),
            node: peer.node,
            data_centre: peer.data_centre,
        }
    }
}
