//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Panics
    /// The file can't be created.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can't be created");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    /// Adds a line with the time since the start, in milliseconds.
    pub fn line(&self, text: &str) {
        let millis = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        writeln!(file, "{millis:>7} {text}").ok();
        println!("{millis:>7} {text}");
    }

    /// Milliseconds since the start.
    pub fn millis(&self) -> u128 {
        self.began.elapsed().as_millis()
    }
}
