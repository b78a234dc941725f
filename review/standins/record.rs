//! The record of a run, and the random numbers of the stand-ins.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started_at: Instant,
}

impl Record {
    /// Starts a new record, which replaces that of an earlier run.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(2);
        });
        Self { file: Arc::new(Mutex::new(BufWriter::new(file))), started_at: Instant::now() }
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.started_at.elapsed().as_secs_f64());
        let _ = file.flush();
    }
}

/// Random numbers from a seed (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        for _ in 0..8 {
            random.fraction();
        }
        random
    }

    /// A number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }
}
