//! Startup, settings and shutdown of `hemlocksaddled`, the program that runs one node.

#![forbid(unsafe_code)]

mod program;
mod service;
pub mod settings;
pub mod shards;

pub use program::{run, run_node};
