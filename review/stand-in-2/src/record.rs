//! Record of what was sent, answered and run.

use std::{
    collections::HashSet,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time since the start of the test in seconds.
#[derive(Clone)]
pub struct Log {
    started: Instant,
    file: Arc<Mutex<File>>,
    seen: Arc<Mutex<HashSet<String>>>,
}

impl Log {
    pub fn create(path: &Path) -> Log {
        Log {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record file"))),
            seen: Arc::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at_s:8.3} {text}");
    }

    /// Writes a line unless one with the same key was written before.
    pub fn once(&self, key: &str, text: &str) {
        if self.seen.lock().unwrap().insert(key.to_owned()) {
            self.line(text);
        }
    }

    pub fn elapsed_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}
