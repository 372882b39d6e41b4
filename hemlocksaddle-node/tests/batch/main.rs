//! Tests of queues and racks on the virtual clock.

mod jobs;
mod leaving;
mod recovery;
mod sharing;
mod workers;
mod world;
