//! Quick requests: routing to executors, retries and at-most-once execution.

pub mod guard;
