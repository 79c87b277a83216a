//! What was sent, answered and run, with times since the start.

use std::fs;
use std::path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A record that all threads write to.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Sleeps until a time, in seconds since the start.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(std::time::Duration::from_secs_f64(left));
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.now(), line.as_ref());
        self.lines.lock().expect("the record").push(line);
    }

    /// Writes the record to a file.
    pub fn save(&self, file: &path::Path) {
        let mut text = self.lines.lock().expect("the record").join("\n");
        text.push('\n');
        fs::write(file, text).expect("the record is written");
    }
}
