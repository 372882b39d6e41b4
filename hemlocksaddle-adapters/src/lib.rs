//! Adapters that connect the ports of the node to sockets.

#![forbid(unsafe_code)]

pub mod callers;
mod headers;
pub mod http;
pub mod peers;
pub mod platform;
pub mod runtime;
pub mod targets;
