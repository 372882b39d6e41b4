//! Placement, admission, limit and backoff policy without I/O.

#![forbid(unsafe_code)]
