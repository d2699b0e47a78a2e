//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start. Cheap to clone.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a writable folder");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line, and returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let mut file = self.file.lock().expect("no panic while it is held");
        let now = self.now();
        // A line that can't be written doesn't change the result.
        let _ = writeln!(file, "{now:8.3} {text}");
        now
    }
}
