//! Placeholder.

#![forbid(unsafe_code)]

fn main() {}
