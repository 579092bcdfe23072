//! The record of a run: what was sent, answered and run, with times in seconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str, trouble: bool) -> Record {
        let file = File::create(path).expect("the record can be written");
        let record =
            Record { start: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) };
        record.line(if trouble { "run with the disruption" } else { "run without the disruption" });
        record
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now());
        self.line(text);
    }

    pub fn close(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
