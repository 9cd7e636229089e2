//! What a script writes to `record.txt`, and its exit.

use super::daemon;
use std::{fs::File, io::Write as _, path::Path, sync::Mutex, time::Instant};

/// The record of a run; times count from its start.
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &str) -> Record {
        let path = Path::new(folder).join("record.txt");
        let file = File::create(path).unwrap_or_else(|error| fail(&format!("record.txt: {error}")));
        Record { begun: Instant::now(), file: Mutex::new(file) }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:8.3} {text}", self.begun.elapsed().as_secs_f64()).ok();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}

/// Ends the script: the case could not run.
pub fn fail(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    daemon::end_all();
    std::process::exit(2)
}

/// Ends the script with its verdict.
pub fn end(record: &Record, rule: &str, is_broken: bool) -> ! {
    record.say(&format!("{rule} {}", if is_broken { "is broken" } else { "holds" }));
    daemon::end_all();
    std::process::exit(i32::from(is_broken))
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
