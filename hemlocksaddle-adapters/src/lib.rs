//! Socket and runtime implementations of the node's ports.

#![forbid(unsafe_code)]

pub mod accept;
pub mod callers;
mod headers;
pub mod http;
pub mod peers;
pub mod platform;
pub mod runtime;
pub mod targets;
