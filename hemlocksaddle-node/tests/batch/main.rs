//! Tests of queues and racks in virtual time.

#[path = "../node/cluster.rs"]
#[expect(dead_code, reason = "shared with the tests of the control core")]
mod cluster;
mod evacuation;
mod full_cluster;
mod invariants;
mod jobs;
mod recovery;
mod scheduling;
mod sim_cluster;
mod workers;
