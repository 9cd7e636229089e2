//! Streams that their callers take up after all daemons were killed, in the first minute of a system
//! whose servers registered shortly after its daemons had started.

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

const DECODE_SERVERS: usize = 4;

/// Time from the daemons' start until the servers have registered, and then until traffic starts.
const SERVERS_AFTER: Duration = Duration::from_millis(1_500);
const TRAFFIC_AFTER: Duration = Duration::from_millis(8_500);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (folder, scratch) = (Path::new(&arguments[1]), Path::new(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("all daemons are killed: {has_trouble}"));
    let store = Store::start();
    store.put("config", "main", &site::config(7, &[takeup::route()]));
    let daemons = takeup::start(scratch, &store, &record);
    thread::sleep(SERVERS_AFTER);
    let start = |id: &str, stage| {
        let entry = Entry {
            id: id.into(),
            service: "llm".into(),
            stage: Some(stage),
            software: "v1".into(),
            slots: 12,
        };
        Worker::start(&store, &record, entry, worker::sound_stream(EVENTS, GAP))
    };
    let mut servers = vec![start("i-prefill", "prefill")];
    servers.extend((1..=DECODE_SERVERS).map(|number| start(&format!("i-{number}"), "decode")));
    record.line("the servers have registered");
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        record.line("a daemon did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(TRAFFIC_AFTER);
    takeup::play(daemons, has_trouble, &record)
}
