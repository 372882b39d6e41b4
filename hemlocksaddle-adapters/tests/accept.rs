//! Log lines about connections that are not served.

use googletest::prelude::*;
use hemlocksaddle_adapters::accept::RejectedConnections;

/// Failure: a peer that opens connections for ever beyond the limit. Guards against a listener that refuses
/// without a log line, and against a log that it fills.
#[gtest]
fn rejected_connections_are_logged_at_each_doubling() {
    let rejected = RejectedConnections::new("peers");
    let logged = (1..=10_000).filter(|_| rejected.record("too many"));
    let logged: Vec<u64> = logged.collect();
    expect_that!(logged.first(), some(eq(&1)));
    expect_that!(logged.len(), eq(14));
}
