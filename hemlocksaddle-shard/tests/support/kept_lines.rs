//! Log lines of a test process.

use std::sync::Mutex;

use log::{LevelFilter, Metadata, Record};
use serde_json::Value;

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

/// Keeps the lines from now on; a process may call it once.
pub(crate) fn keep() {
    log::set_logger(&KEPT).expect("first logger");
    log::set_max_level(LevelFilter::Info);
}

/// Inputs of the kept lines of an event.
pub(crate) fn lines_of(number: u64) -> Vec<Value> {
    let lines = KEPT.0.lock().expect("lines");
    let parsed = lines.iter().filter_map(|line| {
        let line: Value = serde_json::from_str(line).ok()?;
        (line["event"] == number).then(|| line["inputs"].clone())
    });
    parsed.collect()
}
