//! Command line for operators and scripts.
//!
//! Every command except `check` and `check-config` sends HTTP requests to one node or to all nodes.
//! The commands keep no state on the operator's machine. Exit codes: 0 success,
//! 1 refused or failed, 2 invalid usage, 3 no node answered.

#![forbid(unsafe_code)]

pub mod args;
pub mod burn;
pub mod client;
pub mod command;
pub mod configuration;
pub mod drain;
pub mod error;
pub mod page;
