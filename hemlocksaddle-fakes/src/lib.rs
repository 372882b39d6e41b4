//! In-memory fakes of the platform, for tests and examples.
//!
//! [`runtime::SimRuntime`] runs real nodes on a virtual clock with a seeded
//! scheduler. The other modules implement the node's ports in memory, inject
//! faults, and check the nodes' behaviour from outside.

#![forbid(unsafe_code)]

pub mod checker;
pub mod cluster;
pub mod hosts;
pub mod http;
pub mod log;
pub mod network;
pub mod peers;
pub mod platform;
pub mod run;
pub mod runtime;
pub mod schedule;
pub mod targets;
pub mod workers;
pub mod workload;
