//! Policies for placement, admission, routing, limits, backoff and interference, without I/O.
//!
//! Time and random numbers are parameters, so every decision is deterministic.

#![forbid(unsafe_code)]

pub mod admission;
pub mod backoff;
pub mod cap_shares;
pub mod catalogue_check;
pub mod catch_up;
pub mod checkpoint;
pub mod congestion;
pub mod connections;
pub mod delegation;
pub mod failure_attribution;
pub mod fairness;
pub mod intake;
pub mod interference;
pub mod keys;
pub mod placement;
pub mod plan_interval;
pub mod recovery_watch;
pub mod retries;
pub mod retry;
pub mod routing;
pub mod shutdown;
pub mod take_over;
pub mod tenant_admission;
pub mod unreached;
pub mod unserved;
pub mod usefulness;
pub mod worker_connections;
pub mod workflow;
