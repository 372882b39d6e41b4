//! Tests of the node's control core on the virtual clock.

mod cluster;
mod configuration;
mod journal;
mod ownership;
mod peers;
mod played;
mod promises;
