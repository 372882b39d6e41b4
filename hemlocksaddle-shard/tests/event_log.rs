//! Rate limits of the structured log.

use std::sync::Mutex;

use googletest::prelude::*;
use hemlocksaddle_shard::event::{Event, Log};
use hemlocksaddle_types::{
    clock::{MonoMs, WallMs},
    name::NodeName,
};
use log::{LevelFilter, Metadata, Record};
use serde_json::json;

/// Logger that keeps all lines.
struct Kept(Mutex<Vec<String>>);

impl log::Log for Kept {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.0.lock().expect("lines");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

static KEPT: Kept = Kept(Mutex::new(Vec::new()));

/// Load pattern: thousands of runs end within a second. Guards against a crash that cannot be traced
/// because its line was dropped among those of single runs.
#[gtest]
fn lines_of_single_runs_do_not_displace_those_of_crashes() {
    log::set_logger(&KEPT).expect("first logger");
    log::set_max_level(LevelFilter::Info);
    let log = Log::new(NodeName::try_from("node").expect("name"));
    let now = MonoMs(1_000);
    for _ in 0..5_000 {
        log.emit(Event::RunEnded, now, WallMs(0), &json!({}));
    }
    for _ in 0..100 {
        log.emit(Event::WorkerCrashed, now, WallMs(0), &json!({}));
    }
    let lines = KEPT.0.lock().expect("lines");
    let count = |what: &str| lines.iter().filter(|line| line.contains(what)).count();
    expect_that!(count("worker crashed"), eq(100));
    expect_that!(count("run ended"), eq(2_000));
}
