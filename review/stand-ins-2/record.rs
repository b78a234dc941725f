//! What a case writes to its `record.txt`: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| crate::cannot_run(&format!("{path}: {error}")));
        Self { started_at: Instant::now(), file: Mutex::new(file) }
    }

    /// Seconds from the start of the case to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Writes a line about something that happened at `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds(at));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line about something that happens now.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
