//! Simulation tests of the node's core on a virtual clock: journal, peers, ownership, configuration.

mod cluster;
mod configuration;
mod fake_peer;
mod journal;
mod ownership;
mod peers;
mod promises;
