//! Tests of queues and racks on the virtual clock.

#[path = "../node/cluster.rs"]
#[expect(dead_code, reason = "shared with the tests of the control core")]
mod cluster;
mod invariants;
mod jobs;
mod leaving;
mod recovery;
mod sharing;
mod whole;
mod workers;
mod world;
