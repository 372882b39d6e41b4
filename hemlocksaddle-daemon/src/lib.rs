//! The node program.

#![forbid(unsafe_code)]

pub mod settings;
