//! The record of a case: what was sent, answered and run, with times since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        // A record that cannot be written must not end the case.
        let _ = writeln!(file, "{seconds:9.3} {}", text.as_ref());
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
