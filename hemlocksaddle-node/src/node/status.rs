//! State of a node for operators.

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

/// State of a node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// Node.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Units that it owns by the log.
    pub units: Vec<UnitStatus>,
    /// Peers of its settings.
    pub peers: Vec<PeerStatus>,
    /// Health of the log as seen from this node.
    pub log: LogStatus,
    /// Documents in force.
    pub documents: Vec<(ServiceName, Revision)>,
}

/// Unit that a node owns.
#[derive(Clone, Debug, Serialize)]
pub struct UnitStatus {
    /// Unit.
    pub unit: Arc<str>,
    /// Term.
    pub term: Term,
    /// Whether the node may act on it now.
    pub has_right: bool,
}

/// Peer as a node sees it.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Peer.
    pub node: NodeName,
    /// Data centre of the peer.
    pub data_centre: DataCentre,
    /// Time since its last heartbeat.
    pub heard_ago_ms: Option<Millis>,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// Health of the log.
#[derive(Clone, Debug, Serialize)]
pub struct LogStatus {
    /// Whether a call sent within the last two seconds succeeded.
    pub is_up: bool,
    /// Time since the last attempt was sent, if it failed.
    pub failed_ago_ms: Option<Millis>,
    /// First offset of the documents that is not applied.
    pub documents_next: Offset,
    /// First offset of the claims that is not read.
    pub claims_next: Offset,
}

impl Node {
    /// State of the node for operators.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        let now = self.env.now();
        let units = self.ownership.held_units().into_iter();
        let units = units.map(|(unit, term)| UnitStatus {
            has_right: self.core.ownership.right(&unit).is_some(),
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
        let beat = peer.heartbeat.as_deref();
        PeerStatus {
            heard_ago_ms: peer.heard_ms.map(|heard_ms| now.since(heard_ms)),
            ready: beat.is_some_and(|beat| beat.ready),
            leaving: beat.is_some_and(|beat| beat.leaving),
            node: peer.node,
            data_centre: peer.data_centre,
        }
    }
}
