//! Rendezvous hashing of nodes.
//!
//! Every node computes the same ranking from the settings alone. The hash and its
//! seed are fixed, so the ranking does not change when a node restarts.

use std::hash::{BuildHasher, Hasher};

use foldhash::quality::FixedState;
use hemlocksaddle_types::{
    name::{DataCentre, NodeName},
    unit::Unit,
};

use crate::ports::PeerAddress;

/// Seed of the scores; another value moves every unit.
const SEED: u64 = 0x6865_6d6c_6f63_6b73;

/// Nodes named as successors in a claim.
pub const SUCCESSORS: usize = 2;

fn score(key: &str, node: &NodeName) -> u64 {
    let mut hasher = FixedState::with_seed(SEED).build_hasher();
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(node.as_str().as_bytes());
    hasher.finish()
}

/// Nodes from the highest to the lowest score for a key.
#[must_use]
pub fn ranked<'a>(key: &str, nodes: &'a [PeerAddress]) -> Vec<&'a PeerAddress> {
    let mut ranked: Vec<&PeerAddress> = nodes.iter().collect();
    // The name breaks ties, so that the order never depends on the settings' order.
    ranked
        .sort_by_cached_key(|peer| std::cmp::Reverse((score(key, &peer.node), peer.node.clone())));
    ranked
}

/// Rank of a node for a key, from 0; the number of nodes if it is not among them.
#[must_use]
pub fn rank(key: &str, node: &NodeName, nodes: &[PeerAddress]) -> usize {
    let ranked = ranked(key, nodes);
    let found = ranked.iter().position(|peer| peer.node == *node);
    found.unwrap_or(nodes.len())
}

/// Successors of an owner: the highest scores, in different data centres where possible.
#[must_use]
pub fn successors(unit: &Unit, owner: &NodeName, nodes: &[PeerAddress]) -> Vec<NodeName> {
    let ranked = ranked(&unit.to_string(), nodes);
    let owner_centre = nodes.iter().find(|peer| peer.node == *owner);
    let mut used: Vec<&DataCentre> = owner_centre.iter().map(|peer| &peer.data_centre).collect();
    let mut left: Vec<&PeerAddress> = ranked
        .into_iter()
        .filter(|peer| peer.node != *owner)
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < SUCCESSORS && !left.is_empty() {
        let elsewhere = left
            .iter()
            .position(|peer| !used.contains(&&peer.data_centre));
        let next = left.remove(elsewhere.unwrap_or(0));
        used.push(&next.data_centre);
        chosen.push(next.node.clone());
    }
    chosen
}
