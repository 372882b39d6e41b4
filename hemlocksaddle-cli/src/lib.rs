//! Command line for operators and scripts.
//!
//! Every command talks HTTP to one node or to all of them; nothing is kept on the
//! operator's machine. Exit codes: 0 done, 1 refused or failed, 2 wrong usage,
//! 3 no node answered.

#![forbid(unsafe_code)]

pub mod args;
pub mod burn;
pub mod client;
pub mod command;
pub mod drain;
pub mod error;
pub mod page;
