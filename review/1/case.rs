//! Case 1: model workers in trouble answer some streams with bytes that are no events, without end.
//! Clients book at a plain service meanwhile, whose workers are sound.

#[path = "../lib/lib.rs"]
mod lib;

use lib::{
    client::{self, Seen},
    config::{configuration, plain_route, stream_route},
    daemon::{self, Common},
    engine::{Engine, Habit},
    plain::Plain,
    record::{self, Record},
    store::Store,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Length of the traffic, and of the workers' trouble within it.
const LENGTH: Duration = Duration::from_secs(30);
const TROUBLE_FROM: Duration = Duration::from_secs(4);
const TROUBLE_FOR: Duration = Duration::from_millis(5_500);

/// Workers that make tokens, and how many of them are in trouble: 0.6.
const WORKERS: u32 = 5;
const IN_TROUBLE: u32 = 3;

/// One in so many answers of the workers in trouble has no end: 0.05 of them.
const ONE_IN: u32 = 20;

/// Requests a second: streams (13 a second on the sheet, in a burst of 2) and bookings.
const STREAMS_PER_S: u32 = 26;
const BOOKINGS_PER_S: u32 = 46;

/// `timeoutMs` of the routes, and deadlines of the clients.
const STREAM_MS: u64 = 14_000;
const BOOKING_MS: u64 = 1_200;
const BOOKING_DEADLINE_MS: u64 = 2_500;

/// The rule's half a second.
const SLACK_MS: u64 = 500;

struct Sent {
    id: String,
    daemon: usize,
    at: f64,
    timeout_ms: u64,
    seen: Seen,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Arc::new(Record::new(&folder));
    let store = Store::start();
    let routes = [
        stream_route("terms", STREAM_MS as u32, 1, false),
        plain_route("book", "non_idempotent", "desk", BOOKING_MS as u32),
    ];
    store.put("config", "main", &configuration(7, &routes, &["desk"]));
    let in_trouble = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicU32::new(0));
    let endless = Arc::new(AtomicU32::new(0));
    let mut workers = Vec::new();
    for number in 0..2 {
        let id = format!("i-read{number}");
        workers.push(Engine::start(&id, "reader", "prefill", &store, |_| Habit::Sound));
    }
    for number in 0..WORKERS {
        let (in_trouble, answers, endless) = (in_trouble.clone(), answers.clone(), endless.clone());
        let record = record.clone();
        let id = format!("i-made{number}");
        let name = id.clone();
        workers.push(Engine::start(&id, "reader", "decode", &store, move |request| {
            if number >= IN_TROUBLE || !in_trouble.load(Ordering::SeqCst) {
                return Habit::Sound;
            }
            if answers.fetch_add(1, Ordering::SeqCst) % ONE_IN != 0 {
                return Habit::Sound;
            }
            endless.fetch_add(1, Ordering::SeqCst);
            let id = request.head.get("Request-Id");
            record.line(&format!("{name} answers {id} with bytes without end"));
            Habit::Endless(1)
        }));
    }
    let work = Duration::from_millis(30);
    let desks: Vec<Plain> = (0..3)
        .map(|number| {
            let id = format!("i-desk{number}");
            Plain::start(&id, "desk", &store, move |desk, request, connection| {
                desk.run(request, connection, work)
            })
        })
        .collect();
    let common = Common {
        folder: daemon::temporary_folder("1"),
        store: store.address,
        bounds: daemon::BOUNDS.into(),
        memory_mb: 110,
    };
    let mut daemons = daemon::prepare(2, &common);
    daemons.iter_mut().for_each(daemon::Daemon::start);
    daemons.iter().for_each(|daemon| daemon.wait_ready(Duration::from_secs(15)));
    thread::sleep(Duration::from_secs(2));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut threads = Vec::new();
    let begun = Instant::now();
    let mut count = [0_u32; 2];
    record.line("traffic begins");
    while begun.elapsed() < LENGTH {
        let at = begun.elapsed();
        let is_trouble_time = at >= TROUBLE_FROM && at < TROUBLE_FROM + TROUBLE_FOR;
        in_trouble.store(is_trouble_time && record::has_trouble(), Ordering::SeqCst);
        for (kind, per_s) in [(0, STREAMS_PER_S), (1, BOOKINGS_PER_S)] {
            if f64::from(count[kind]) >= at.as_secs_f64() * f64::from(per_s) {
                continue;
            }
            let number = count[kind];
            count[kind] += 1;
            let daemon = (number % 2) as usize;
            let address = daemons[daemon].callers;
            let (sent, record) = (sent.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let id = format!("{}{number:06x}", ["5", "b"][kind]);
                let (bytes, timeout_ms, deadline_ms) = match kind {
                    0 => (
                        client::model_request("/terms/1", &id, STREAM_MS, b"{}"),
                        STREAM_MS,
                        STREAM_MS,
                    ),
                    _ => (
                        client::plain_request("POST", "/book/1", &id, BOOKING_DEADLINE_MS, b"{}"),
                        BOOKING_MS,
                        BOOKING_DEADLINE_MS,
                    ),
                };
                let at = record.now();
                record.line(&format!("{id} sent to frontend-{}", daemon + 1));
                let seen = client::send(address, &bytes, Duration::from_millis(deadline_ms));
                let (status, whole, ms) = (seen.status, seen.is_whole, seen.took.as_millis());
                record.line(&format!("{id} answered {status}, whole {whole}, after {ms} ms"));
                sent.lock().unwrap().push(Sent { id, daemon, at, timeout_ms, seen });
            }));
        }
        thread::sleep(Duration::from_millis(2));
    }
    threads.into_iter().for_each(|thread| thread.join().expect("a client"));
    for daemon in &daemons {
        let state = if daemon.is_ready() { "answers" } else { "does not answer" };
        record.say(&format!("{} {state} at its readiness address", daemon.name));
    }
    for run in desks.iter().flat_map(|desk| desk.runs.lock().unwrap().clone()) {
        record.line(&format!("{} ran at {}", run.id, run.worker));
    }
    for run in workers.iter().flat_map(|worker| worker.runs.lock().unwrap().clone()) {
        record.line(&format!("{} ran at {}", run.id, run.worker));
    }
    // Ends the processes.
    drop(daemons);
    judge(&record, &sent.lock().unwrap(), endless.load(Ordering::SeqCst));
}

/// CONFIG: of the requests that are still unanswered at their route's `timeoutMs`, more than half
/// have no answer half a second later. Only bookings are counted, whose workers are all sound; a
/// single one breaks nothing here.
fn judge(record: &Record, sent: &[Sent], endless: u32) -> ! {
    let is_unanswered = |sent: &&Sent, ms: u64| {
        sent.seen.status == 0 || sent.seen.took >= Duration::from_millis(ms)
    };
    let bookings = sent.iter().filter(|sent| sent.timeout_ms == BOOKING_MS);
    let late: Vec<&Sent> = bookings.filter(|sent| is_unanswered(sent, BOOKING_MS)).collect();
    let later: Vec<&&Sent> =
        late.iter().filter(|sent| is_unanswered(sent, BOOKING_MS + SLACK_MS)).collect();
    record.say(&format!("{} requests sent, {endless} answers without end", sent.len()));
    for daemon in 0..2 {
        let of_daemon = later.iter().filter(|sent| sent.daemon == daemon);
        let mut times: Vec<f64> = of_daemon.map(|sent| sent.at).collect();
        times.sort_by(f64::total_cmp);
        if let (Some(first), Some(last)) = (times.first(), times.last()) {
            record.say(&format!(
                "frontend-{}: {} bookings, sent from {first:.1} s to {last:.1} s, have no answer",
                daemon + 1,
                times.len()
            ));
        }
    }
    later.iter().take(5).for_each(|sent| record.line(&format!("no answer in time: {}", sent.id)));
    record.say(&format!(
        "{} bookings unanswered at their route's timeoutMs, {} of them half a second later",
        late.len(),
        later.len()
    ));
    let is_broken = later.len() > 1 && later.len() * 2 > late.len();
    record::end(record, "CONFIG", is_broken)
}
