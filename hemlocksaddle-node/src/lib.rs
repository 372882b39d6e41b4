//! The node: ownership, configuration, jobs, racks and request routing.
//!
//! A node runs on a single thread and reaches the outside only through the traits
//! in [`ports`]. Shared state is held in `Rc` with `Cell` or `RefCell`, and no
//! `RefCell` borrow is held across an await point.

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
