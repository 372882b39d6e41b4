//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Record file; each line begins with the seconds since the start.
pub struct Record {
    file: Mutex<BufWriter<File>>,
    since: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            since: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.since.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // What cannot be written is missing in the record; the verdict doesn't depend on it.
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line that also goes to the standard output.
    pub fn note(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
