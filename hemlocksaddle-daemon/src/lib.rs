//! The node program.

#![forbid(unsafe_code)]
