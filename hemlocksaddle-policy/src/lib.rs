//! Placement, admission, routing choice, limits, backoff and interference policy without I/O.
//!
//! Everything here is a function or a small struct. Time and random numbers are
//! passed in, so that the same input always gives the same decision.

#![forbid(unsafe_code)]

pub mod admission;
pub mod backoff;
pub mod checkpoint;
pub mod failure_attribution;
pub mod fairness;
pub mod intake;
pub mod interference;
pub mod placement;
pub mod retry;
pub mod routing;
pub mod take_over;
pub mod workflow;
