//! Streams of a resumable route with `maxAttempts` 2, while all decode servers preempt the
//! newest runs, as after a burst.

use {
    harness::{
        client,
        daemon::{Daemon, Settings, free_addresses},
        http::Connection,
        record::Record,
        site::{self, Route},
        store::Store,
        worker::{self, Behaviour, Entry, Worker},
    },
    std::{
        collections::BTreeMap,
        path::Path,
        process::ExitCode,
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Decode servers.
const SERVERS: usize = 8;

/// Daemons, which share the retry budget.
const DAEMONS: usize = 3;

/// Streams that are sent at once, to the daemons in turn; bursts, and the time between two.
const STREAMS: u32 = 12;
const BURSTS: u32 = 3;
const BURST_EVERY: Duration = Duration::from_millis(12_000);

/// Events of a stream, one each 60 ms.
const EVENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(60);

/// Events that a run makes before it is preempted, and for how long. Callers of this route wait
/// 3.6 s: the longest of 2 s, four times the objective of 900 ms, and eight times the pause of 300 ms.
const PREEMPTED_AFTER: u64 = 5;
const PAUSE: Duration = Duration::from_millis(2_600);

/// `maxAttempts` of the route.
const ATTEMPTS_MAX: usize = 2;

/// Requests that may run on more servers.
const ALLOWED: usize = 3;

const PREFIX: &str = "/contamination/";

/// The servers on which each request ran.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn behaviour(runs: Runs, has_trouble: bool) -> Behaviour {
    Arc::new(move |worker, request, connection: &mut Connection| {
        let id = request.field("request-id").unwrap_or_default().to_owned();
        let server = worker.entry.id.clone();
        runs.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(id.clone())
            .or_default()
            .push(server);
        worker::write_stream_head(worker, request, connection)?;
        let first = worker::last_event(request) + 1;
        for number in first..=EVENTS {
            thread::sleep(GAP);
            if has_trouble && number == first + PREEMPTED_AFTER {
                worker.record.line(&format!("server {} preempts {id}", worker.entry.id));
                let until = Instant::now() + PAUSE;
                while Instant::now() < until {
                    thread::sleep(Duration::from_millis(20));
                    if connection.is_closed() {
                        worker.record.line(&format!(
                            "server {}: the daemon closed the connection of {id}",
                            worker.entry.id
                        ));
                        return Err(std::io::ErrorKind::ConnectionAborted.into());
                    }
                }
            }
            worker::write_event(worker, connection, number)?;
        }
        worker::write_end(connection)
    })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (folder, scratch) = (Path::new(&arguments[1]), Path::new(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("runs are preempted: {has_trouble}"));
    let store = Store::start();
    let routes = [Route {
        prefix: PREFIX,
        kind: "streaming",
        service: "llm",
        timeout_ms: 14_000,
        target_ms: 900,
        max_attempts: ATTEMPTS_MAX as u32,
        resumable: true,
    }];
    store.put("config", "main", &site::config(7, &routes));
    let entry = |id: String, stage| Entry {
        id,
        service: "llm".into(),
        stage: Some(stage),
        software: "v1".into(),
        slots: 12,
    };
    let runs = Runs::default();
    let sound = worker::sound_stream(EVENTS, GAP);
    let _prefill = Worker::start(&store, &record, entry("i-prefill".into(), "prefill"), sound);
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let entry = entry(format!("i-decode-{number}"), "decode");
        servers.push(Worker::start(&store, &record, entry, behaviour(runs.clone(), has_trouble)));
    }
    let first = free_addresses();
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let addresses = if number == 0 { first } else { free_addresses() };
        let settings = Settings { seeds: vec![first.control], ..Settings::default() };
        let name = format!("frontend-{}", number + 1);
        daemons.push(Daemon::start(&name, scratch, &store, &settings, addresses, &record));
    }
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        record.line("a daemon did not become ready");
        return ExitCode::from(2);
    }
    // Longer than stableWindowMs.
    thread::sleep(Duration::from_millis(4_000));
    let mut callers = Vec::new();
    for number in 1..=STREAMS * BURSTS {
        if number > 1 && number % STREAMS == 1 {
            thread::sleep(BURST_EVERY);
        }
        let id = format!("9c41d07be2a3{number:04x}");
        let request = client::stream_request(PREFIX, &id, (500, 70), 14_000);
        let daemon = &daemons[number as usize % DAEMONS];
        let (address, record) = (daemon.addresses.callers, record.clone());
        callers.push(thread::spawn(move || {
            let answer = client::send(address, site::HOST, &request);
            record.line(&format!("caller got for {}: {}", request.id, answer.summary()));
            answer.is_complete && answer.status == 200
        }));
    }
    let served = callers.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let mut beyond = 0;
    for (id, servers) in runs.iter() {
        let mut distinct = servers.clone();
        distinct.sort();
        distinct.dedup();
        record.line(&format!("{id} ran on {}", servers.join(", ")));
        beyond += usize::from(distinct.len() > ATTEMPTS_MAX);
    }
    record.line(&format!(
        "{} streams sent, {served} served, {beyond} ran on more than {ATTEMPTS_MAX} servers",
        STREAMS * BURSTS
    ));
    if beyond > ALLOWED {
        record.line("BUDGET is broken");
        return ExitCode::from(1);
    }
    record.line("BUDGET held");
    ExitCode::SUCCESS
}
