//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Lines with the time since the start of the script.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.ms(Instant::now());
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>9.3} s  {text}", at as f64 / 1_000.0);
        }
    }

    /// Milliseconds from the start of the script.
    pub fn ms(&self, at: Instant) -> u64 {
        at.duration_since(self.started).as_millis() as u64
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
