//! Stand-ins of the users' platform, and the cases of the third review that are scripts.
//!
//! `standins CASE PROGRAM FOLDER` plays a case: it starts daemons (`PROGRAM route`) as processes of their own
//! with settings like those of a small deployment, and the store, the workers and the clients as threads of
//! this process, all on loopback. It writes what was sent, answered and run to `FOLDER/record.txt`. The exit
//! code is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the case's disruption is left out.
//!
//! Standard library only.

#[path = "cases.rs"]
mod cases;
#[path = "client.rs"]
mod client;
#[path = "daemon.rs"]
mod daemon;
#[path = "json.rs"]
mod json;
#[path = "net.rs"]
mod net;
#[path = "store.rs"]
mod store;
#[path = "worker.rs"]
mod worker;

use std::{
    env,
    fs::File,
    io::Write as _,
    path::PathBuf,
    process::exit,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a case. Clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Milliseconds since the start of the case.
    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} ms  {text}", self.ms()).unwrap();
    }
}

/// What a case needs.
pub struct World {
    /// The record.
    pub record: Record,
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Folder for settings and logs, which is removed at the end.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let words: Vec<String> = env::args().collect();
    let [_, case, program, folder] = &words[..] else {
        eprintln!("usage: standins CASE PROGRAM FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = File::create(PathBuf::from(folder).join("record.txt")).unwrap_or_else(|err| {
        eprintln!("record.txt: {err}");
        exit(2)
    });
    let record = Record { file: Arc::new(Mutex::new(file)), began: Instant::now() };
    let temporary = env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let world = World {
        record: record.clone(),
        program: program.into(),
        folder: temporary.clone(),
        trouble,
    };
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let result = cases::play(case, &world);
    let code = match &result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(cause) => {
            record.line(&format!("the case couldn't run: {cause}"));
            eprintln!("the case couldn't run: {cause}");
            2
        }
    };
    if env::var("KEEP_LOGS").is_ok() {
        eprintln!("logs: {}", temporary.display());
    } else {
        std::fs::remove_dir_all(&temporary).ok();
    }
    record.line(&format!("exit code {code}"));
    println!("case {case}, disruption {}: exit code {code}", if trouble { "on" } else { "off" });
    exit(code);
}
