//! The node program.

#![forbid(unsafe_code)]

mod program;
mod service;
pub mod settings;

pub use program::{run, run_node};
