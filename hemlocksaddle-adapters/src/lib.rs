//! Adapters that connect the node's ports to sockets.

#![forbid(unsafe_code)]
