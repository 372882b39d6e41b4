//! The node: ownership, configuration, jobs, racks and request routing.
//!
//! The node runs on one thread over the traits in [`ports`]. Shared state is in
//! `Rc` with `Cell` or `RefCell`, and no borrow is held across an await.

#![forbid(unsafe_code)]

pub mod burn;
pub mod configuration;
pub mod core;
pub mod detach;
pub mod env;
pub mod event;
pub mod explain;
pub mod invariant;
pub mod journal;
pub mod metrics;
pub mod node;
pub mod ownership;
pub mod parts;
pub mod peers;
pub mod ports;
pub mod queue;
pub mod rack;
pub mod requests;
pub mod settings;
pub mod snapshot_schedule;
pub mod stream;
pub mod wait;
