//! The record of a run: what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl Display) {
        let time = self.seconds();
        let _ = writeln!(lock(&self.file), "{time:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn report(&self, text: impl Display) {
        self.line(&text);
        println!("{text}");
    }
}

/// Locks `mutex`, also after a thread has panicked with it.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Small generator of pseudo-random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit.max(1)
    }
}
