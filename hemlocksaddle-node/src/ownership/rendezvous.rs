//! Rendezvous (highest random weight) hashing of nodes.
//!
//! Every node computes the same ranking from the settings alone. The hash and its
//! seed are fixed, so the ranking is stable across restarts.

use std::hash::{BuildHasher, Hasher};

use foldhash::quality::FixedState;
use hemlocksaddle_types::{
    name::{DataCentre, NodeName},
    unit::Unit,
};

use crate::ports::PeerAddress;

/// Seed of the hash; changing it moves almost all units to other nodes.
const SEED: u64 = 0x6865_6d6c_6f63_6b73;

/// Maximum number of successors named in a claim.
pub const SUCCESSOR_COUNT: usize = 2;

fn score(key: &str, node: &NodeName) -> u64 {
    let mut hasher = FixedState::with_seed(SEED).build_hasher();
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(node.as_str().as_bytes());
    hasher.finish()
}

/// Nodes in descending order of their score for a key.
#[must_use]
pub fn ranked<'a>(key: &str, nodes: &'a [PeerAddress]) -> Vec<&'a PeerAddress> {
    let mut ranked: Vec<&PeerAddress> = nodes.iter().collect();
    // Ties are broken by name, so that the result does not depend on the order of the settings.
    ranked
        .sort_by_cached_key(|peer| std::cmp::Reverse((score(key, &peer.node), peer.node.clone())));
    ranked
}

/// Zero-based rank of a node for a key; `nodes.len()` if it is not among them.
#[must_use]
pub fn rank(key: &str, node: &NodeName, nodes: &[PeerAddress]) -> usize {
    let ranked = ranked(key, nodes);
    let found = ranked.iter().position(|peer| peer.node == *node);
    found.unwrap_or(nodes.len())
}

/// Highest-ranked successors of an owner, in different data centres where possible.
#[must_use]
pub fn successors(unit: &Unit, owner: &NodeName, nodes: &[PeerAddress]) -> Vec<NodeName> {
    let ranked = ranked(&unit.to_string(), nodes);
    let owner_centre = nodes.iter().find(|peer| peer.node == *owner);
    let mut used_data_centres: Vec<&DataCentre> =
        owner_centre.iter().map(|peer| &peer.data_centre).collect();
    let mut remaining: Vec<&PeerAddress> = ranked
        .into_iter()
        .filter(|peer| peer.node != *owner)
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < SUCCESSOR_COUNT && !remaining.is_empty() {
        let elsewhere = remaining
            .iter()
            .position(|peer| !used_data_centres.contains(&&peer.data_centre));
        let next = remaining.remove(elsewhere.unwrap_or(0));
        used_data_centres.push(&next.data_centre);
        chosen.push(next.node.clone());
    }
    chosen
}
