//! Streams that their callers take up after all daemons were killed, in the first minute of a system
//! whose servers registered shortly after its daemons had started.

use {
    harness::{
        client::{self, Answer, Request},
        daemon::{Daemon, SIGKILL, Settings, free_addresses},
        record::Record,
        site::{self, Route},
        store::Store,
        worker::{self, Entry, Worker},
    },
    std::{
        net::SocketAddr,
        path::Path,
        process::ExitCode,
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const DAEMONS: usize = 2;
const DECODE_SERVERS: usize = 4;

/// Time from the daemons' start until the servers have registered, and then until traffic starts.
const SERVERS_AFTER: Duration = Duration::from_millis(1_500);
const TRAFFIC_AFTER: Duration = Duration::from_millis(8_500);

/// Events of a stream, one each 100 ms, and time from its start until it breaks off.
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(100);
const BROKEN_AFTER: Duration = Duration::from_millis(2_000);

/// Time until the processes are started again, and until the machines are in touch again, which takes
/// `stableWindowMs`, 3 s.
const RESTART_AFTER: Duration = Duration::from_millis(500);
const IN_TOUCH_AFTER: Duration = Duration::from_millis(4_000);

/// Streams that break off and are taken up, and new ones at the same time; the rule counts from 12.
const STREAMS: u32 = 16;

/// Time for which a caller waits, from its first attempt.
const DEADLINE_MS: u64 = 14_000;

const PREFIX: &str = "/contamination/";

fn entry(id: &str, stage: &'static str) -> Entry {
    Entry {
        id: id.into(),
        service: "llm".into(),
        stage: Some(stage),
        software: "v1".into(),
        slots: 12,
    }
}

fn id(attempt: u32, number: u32) -> String {
    format!("9c41d07{attempt}{number:08x}")
}

fn send(address: SocketAddr, request: Request) -> JoinHandle<Answer> {
    thread::spawn(move || client::send(address, site::HOST, &request))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (folder, scratch) = (Path::new(&arguments[1]), Path::new(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("all daemons are killed: {has_trouble}"));
    let store = Store::start();
    let routes = [Route {
        prefix: PREFIX,
        kind: "streaming",
        service: "llm",
        timeout_ms: DEADLINE_MS,
        target_ms: 900,
        max_attempts: 2,
        resumable: true,
    }];
    store.put("config", "main", &site::config(7, &routes));
    let first = free_addresses();
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let addresses = if number == 0 { first } else { free_addresses() };
        let settings = Settings { seeds: vec![first.control], ..Settings::default() };
        let name = format!("frontend-{}", number + 1);
        daemons.push(Daemon::start(&name, scratch, &store, &settings, addresses, &record));
    }
    thread::sleep(SERVERS_AFTER);
    let sound = || worker::sound_stream(EVENTS, GAP);
    let mut servers = vec![Worker::start(&store, &record, entry("i-prefill", "prefill"), sound())];
    for number in 1..=DECODE_SERVERS {
        let entry = entry(&format!("i-decode-{number}"), "decode");
        servers.push(Worker::start(&store, &record, entry, sound()));
    }
    record.line("the servers have registered");
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        record.line("a daemon did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(TRAFFIC_AFTER);
    let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.addresses.callers).collect();
    let address = |number: u32| callers[number as usize % DAEMONS];
    let request = |attempt, number, deadline| {
        client::stream_request(PREFIX, &id(attempt, number), (500, 70), deadline)
    };
    let begun: Vec<JoinHandle<Answer>> = (1..=STREAMS)
        .map(|number| {
            let request = request(1, number, DEADLINE_MS);
            let limit = if has_trouble { Duration::MAX } else { BROKEN_AFTER };
            let address = address(number);
            thread::spawn(move || client::send_until(address, site::HOST, &request, limit))
        })
        .collect();
    thread::sleep(BROKEN_AFTER);
    if has_trouble {
        daemons.iter().for_each(|daemon| daemon.signal(SIGKILL));
    }
    let begun: Vec<Answer> = begun.into_iter().filter_map(|it| it.join().ok()).collect();
    thread::sleep(RESTART_AFTER);
    if has_trouble {
        daemons.iter_mut().for_each(|daemon| daemon.restart_as(false));
        if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
            record.line("a daemon did not become ready again");
            return ExitCode::from(2);
        }
    }
    thread::sleep(IN_TOUCH_AFTER);
    let left =
        DEADLINE_MS - (BROKEN_AFTER + RESTART_AFTER + IN_TOUCH_AFTER).as_millis() as u64 - 200;
    let mut taken_up = Vec::new();
    for (number, answer) in (1..).zip(&begun) {
        let Some(last) = answer.events().last().copied() else { continue };
        let mut request = request(2, number, left);
        request.fields.push(("Last-Event-Id".into(), last.to_string()));
        request.fields.push(("Resumes".into(), id(1, number)));
        // Retries reach other daemons.
        taken_up.push(send(address(number + 1), request));
    }
    let new: Vec<JoinHandle<Answer>> = (1..=STREAMS)
        .map(|number| send(address(number), request(3, number, DEADLINE_MS)))
        .collect();
    let count = taken_up.len();
    let goes_on = |answers: Vec<JoinHandle<Answer>>, what: &str| {
        let answers = answers.into_iter().filter_map(|it| it.join().ok());
        let of_status = |answer: &Answer| {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let cause = if answer.status == 200 { "" } else { body.trim() };
            record.line(&format!("{what}: {} {cause}", answer.summary()));
            answer.status == 200 && !answer.events().is_empty()
        };
        answers.filter(of_status).count()
    };
    let going_on = goes_on(taken_up, "taken up");
    let beginning = goes_on(new, "new");
    record.line(&format!(
        "{going_on} of {count} streams that were taken up go on; {beginning} of {STREAMS} new ones \
         begin; {} decode servers, all of v1",
        DECODE_SERVERS
    ));
    if count < 12 || beginning == 0 {
        record.line("too few streams for the rule");
        return ExitCode::from(2);
    }
    let share = going_on as f64 / count as f64;
    if share < beginning as f64 / f64::from(STREAMS) / 2.0 {
        record.line("LOST is broken");
        return ExitCode::from(1);
    }
    record.line("LOST held");
    ExitCode::SUCCESS
}
