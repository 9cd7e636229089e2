//! Requests with a prompt part under which each server crashes that begins to write an answer, beside
//! sound ones at the same servers, at two daemons.

use {
    harness::{
        client::{self, Answer, Request},
        daemon::{Daemon, Settings, free_addresses},
        http::Connection,
        record::Record,
        site::{self, Route},
        store::Store,
        worker::{self, Behaviour, Entry, Worker},
    },
    std::{
        path::Path,
        process::ExitCode,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Decode servers, and the time after which one that has crashed is back.
const SERVERS: usize = 8;
const BACK_AFTER: Duration = Duration::from_millis(2_000);

/// Time between two requests with the part, and between two sound ones.
const BAD_EVERY: Duration = Duration::from_millis(1_500);
const SOUND_EVERY: Duration = Duration::from_millis(400);

/// Time for which requests come.
const LENGTH: Duration = Duration::from_millis(72_000);

/// `stableWindowMs`.
const WINDOW: Duration = Duration::from_millis(3_000);

/// Crash from which the window counts, and requests that may reach servers after it.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;

/// Events of a sound stream, one each 20 ms.
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(20);

/// Routes of the requests with the part and of the sound ones, at the same servers.
const PREFIX: &str = "/contamination/";
const SOUND_PREFIX: &str = "/intake/";

/// Part that crashes servers, part of the sound prompts, and part that both have.
const BAD_PART: &str = "dead0001";
const SOUND_PART: &str = "50d0001";
const FIRST_PART: &str = "5c1e07a2";

/// What the servers saw.
#[derive(Default)]
struct Seen {
    /// When servers crashed.
    crashes: Vec<Instant>,
    /// Requests with the part that reached a decode server: id and server.
    reached: Vec<(String, String)>,
    /// Servers that have to end now.
    dying: Vec<String>,
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Streams; under the part, crashes after the first event and comes back later.
fn behaviour(seen: Arc<Mutex<Seen>>) -> Behaviour {
    Arc::new(move |worker, request, connection: &mut Connection| {
        let is_bad = request.field("prefix-hash").is_some_and(|parts| parts.contains(BAD_PART));
        if is_bad {
            let id = request.field("request-id").unwrap_or_default().to_owned();
            lock(&seen).reached.push((id, worker.entry.id.clone()));
        }
        worker::write_stream_head(worker, request, connection)?;
        for number in worker::last_event(request) + 1..=EVENTS {
            thread::sleep(GAP);
            worker::write_event(worker, connection, number)?;
            if is_bad {
                // The server has begun to write the answer, and crashes.
                thread::sleep(GAP);
                crash(worker, &seen);
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        worker::write_end(connection)
    })
}

fn crash(worker: &Worker, seen: &Arc<Mutex<Seen>>) {
    let id = worker.entry.id.clone();
    {
        let mut seen = lock(seen);
        if seen.dying.contains(&id) {
            return;
        }
        seen.dying.push(id.clone());
        seen.crashes.push(Instant::now());
    }
    worker.kill();
    let (worker, seen) = (worker.clone(), seen.clone());
    thread::spawn(move || {
        thread::sleep(BACK_AFTER);
        lock(&seen).dying.retain(|listed| *listed != id);
        let Worker { store, record, entry, address, .. } = &worker;
        Worker::start_at(store, record, entry.clone(), behaviour(seen), *address);
        record.line(&format!("server {id} is back"));
    });
}

/// A request of one caller; the last part is its own.
fn request(number: u32, part: &str) -> Request {
    let id = format!("9c41d07b{number:08x}");
    let prefix = if part == BAD_PART { PREFIX } else { SOUND_PREFIX };
    let mut request = client::stream_request(prefix, &id, (600, 70), 14_000);
    for (name, value) in &mut request.fields {
        if name == "Prefix-Hash" {
            *value = format!("{FIRST_PART}:200,{part}:200,{number:08x}:200");
        }
    }
    request
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (folder, scratch) = (Path::new(&arguments[1]), Path::new(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("requests with the part come: {has_trouble}"));
    let store = Store::start();
    let route = |prefix, max_attempts, resumable| Route {
        prefix,
        kind: "streaming",
        service: "llm",
        timeout_ms: 14_000,
        target_ms: 900,
        max_attempts,
        resumable,
    };
    let routes = [route(PREFIX, 2, true), route(SOUND_PREFIX, 1, false)];
    store.put("config", "main", &site::config(7, &routes));
    let entry = |id: String, stage| Entry {
        id,
        service: "llm".into(),
        stage: Some(stage),
        software: "v1".into(),
        slots: 12,
    };
    let seen = Arc::new(Mutex::new(Seen::default()));
    let sound = worker::sound_stream(EVENTS, GAP);
    let _prefill = Worker::start(&store, &record, entry("i-prefill".into(), "prefill"), sound);
    for number in 1..=SERVERS {
        let entry = entry(format!("i-decode-{number}"), "decode");
        Worker::start(&store, &record, entry, behaviour(seen.clone()));
    }
    let mut daemons = Vec::new();
    let first = free_addresses();
    for number in 1..=2 {
        let addresses = if number == 1 { first } else { free_addresses() };
        let settings = Settings { seeds: vec![first.control], ..Settings::default() };
        let name = format!("frontend-{number}");
        daemons.push(Daemon::start(&name, scratch, &store, &settings, addresses, &record));
    }
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        record.line("a daemon did not become ready");
        return ExitCode::from(2);
    }
    // Longer than stableWindowMs.
    thread::sleep(Duration::from_millis(4_000));
    let callers: Vec<_> = daemons.iter().map(|daemon| daemon.addresses.callers).collect();
    let sent_bad: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let send = |number: u32, part: &'static str| {
        let (request, record) = (request(number, part), record.clone());
        let address = callers[number as usize % callers.len()];
        if part == BAD_PART {
            record.line(&format!("caller sends {} with the part", request.id));
            let mut sent = sent_bad.lock().unwrap_or_else(PoisonError::into_inner);
            sent.push((request.id.clone(), Instant::now()));
        }
        thread::spawn(move || -> Answer {
            let answer = client::send(address, site::HOST, &request);
            if part == BAD_PART {
                record.line(&format!("caller got for {}: {}", request.id, answer.summary()));
            }
            answer
        })
    };
    let began = Instant::now();
    let (mut next_bad, mut next_sound, mut number) = (began, began, 0);
    let (mut sound_answers, mut bad_count) = (Vec::new(), 0_u32);
    while began.elapsed() < LENGTH {
        if Instant::now() >= next_sound {
            next_sound += SOUND_EVERY;
            number += 1;
            sound_answers.push(send(0x10000 + number, SOUND_PART));
        }
        if has_trouble && Instant::now() >= next_bad {
            next_bad += BAD_EVERY;
            bad_count += 1;
            send(bad_count, BAD_PART);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let answers = sound_answers.into_iter().filter_map(|sending| sending.join().ok());
    let served = answers.filter(|answer| answer.is_complete && answer.status == 200).count();
    let seen = lock(&seen);
    let sent = sent_bad.lock().unwrap_or_else(PoisonError::into_inner);
    record.line(&format!(
        "{bad_count} requests with the part, {} runs of them, {} crashes; {served} of {number} sound \
         ones served",
        seen.reached.len(),
        seen.crashes.len()
    ));
    let Some(fifth) = seen.crashes.get(CRASHES - 1) else {
        record.line("fewer than five crashes; BUDGET held");
        return ExitCode::from(if has_trouble { 2 } else { 0 });
    };
    let is_late = |id: &str| {
        sent.iter().any(|(listed, at)| listed == id && at.duration_since(*fifth) > WINDOW)
    };
    let late: Vec<&(String, String)> = seen.reached.iter().filter(|(id, _)| is_late(id)).collect();
    for (id, server) in &late {
        record.line(&format!("{id} was sent over 3 s after the fifth crash and reached {server}"));
    }
    record.line(&format!(
        "{} reached servers later than {} ms after it",
        late.len(),
        WINDOW.as_millis()
    ));
    if late.len() > ALLOWED {
        record.line("BUDGET is broken");
        return ExitCode::from(1);
    }
    record.line("BUDGET held");
    ExitCode::SUCCESS
}
