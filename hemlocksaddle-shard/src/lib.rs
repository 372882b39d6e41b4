//! Shards of workflows: their owners, and the interface for callers.
//!
//! A shard is a set of workflows together with the workers that run them. One
//! node owns a shard at a time, decided by conditional appends to the platform's
//! store. Every node takes submissions and answers callers; it appends accepted
//! workflows to the shard's stream, which the owner follows, and asks the owner
//! for the state of a workflow.
//!
//! | stream | records | written by |
//! | --- | --- | --- |
//! | claims | owner, term and renewal of each shard; layout; key of the peers | owners |
//! | submissions | accepted and cancelled workflows | every node |
//! | progress | ended tasks and final states; roster of workers | owner |
//!
//! All records have keys, and the store keeps the newest record of each key. A
//! new owner therefore reads what is alive, not the history. What runs is not
//! recorded: workers report it.

#![forbid(unsafe_code)]

pub mod event;
pub mod frontend;
pub mod metrics;
pub mod node;
pub mod ports;

mod claims;
mod configuration;
mod group_commit;
mod links;
mod orders;
mod owner;
mod record;
mod recovery;
mod watch;
mod worker_poll;

pub use node::{Node, Settings};
