//! Sharded workflow execution: shard owners and the interface for callers.
//!
//! A shard is a set of workflows together with the workers that run them. Each
//! shard has one owner at a time, elected by conditional appends to the platform's
//! store. Every node accepts submissions: the shard's owner, or the node itself if
//! the owner does not respond, appends them to the shard's stream, which the owner
//! follows. The state of a workflow is requested from the owner.
//!
//! | stream | records | written by |
//! | --- | --- | --- |
//! | claims | owner, term and renewals of each shard; shares of tenant caps; layout with the peers' key | every node |
//! | submissions | accepted and cancelled workflows | every node |
//! | progress | ended tasks, crashes and final states; roster of workers; interference estimates | owner |
//!
//! Streams are compacted: the store keeps the newest record of each key, so a new
//! owner reads the live state and not the history. Running tasks are not recorded:
//! workers report them.

#![forbid(unsafe_code)]

pub mod caller;
pub mod event;
pub mod frontend;
pub mod metrics;
pub mod node;
pub mod parts;
pub mod ports;

mod admission;
mod cap_shares;
mod claims;
mod configuration;
mod connections;
mod copies;
mod delegate;
mod dispatcher;
mod failure_detector;
mod group_commit;
mod leases;
mod links;
mod orders;
mod owner;
mod record;
mod recovery;
mod recovery_watch;
mod retention;
mod retries;
mod saving;
mod snapshot;
mod tenant_metrics;
mod tenants;
mod waiting;
mod worker_calls;
mod worker_poll;

pub use node::{Node, Settings};
