//! Streams that their callers take up after all daemons were killed, while servers of two software
//! versions serve side by side.

use {
    harness::{
        record::Record,
        site,
        store::Store,
        takeup::{self, EVENTS, GAP},
        worker::{self, Entry, Worker},
    },
    std::{path::Path, process::ExitCode, thread, time::Duration},
};

/// Decode servers of each version; the rule asks for two.
const SERVERS_OF_VERSION: usize = 3;
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Time from the daemons' start until traffic starts.
const TRAFFIC_AFTER: Duration = Duration::from_millis(10_000);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (folder, scratch) = (Path::new(&arguments[1]), Path::new(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("all daemons are killed: {has_trouble}"));
    let store = Store::start();
    store.put("config", "main", &site::config(7, &[takeup::route()]));
    let start = |id: String, stage, software: &str| {
        let entry = Entry {
            id,
            service: "llm".into(),
            stage: Some(stage),
            software: software.into(),
            slots: 12,
        };
        Worker::start(&store, &record, entry, worker::sound_stream(EVENTS, GAP))
    };
    let mut servers = vec![start("i-prefill".into(), "prefill", VERSIONS[0])];
    for version in VERSIONS {
        for number in 1..=SERVERS_OF_VERSION {
            servers.push(start(format!("i-{version}-{number}"), "decode", version));
        }
    }
    let daemons = takeup::start(scratch, &store, &record);
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        record.line("a daemon did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(TRAFFIC_AFTER);
    takeup::play(daemons, has_trouble, &record)
}
