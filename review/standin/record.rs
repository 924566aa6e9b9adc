//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(BufWriter::new(file))), start: Instant::now() }
    }

    /// Milliseconds from the start of the record until `at`.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.ms(Instant::now()));
        let _ = file.flush();
    }

    /// Writes the line to standard output, too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
