//! Case 2: model workers run streams, and the answers of some are lost. The streams may not be
//! resumed. Clients ask once more where the answer promises that the request has not run.

#[path = "../lib/lib.rs"]
mod lib;

use lib::{
    client::{self, Seen},
    config::{configuration, stream_route},
    daemon::{self, Common},
    engine::{Engine, Habit, Run},
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

/// Length of the traffic, and when answers are lost within it, in milliseconds.
const LENGTH: Duration = Duration::from_secs(14);
const TROUBLE: std::ops::Range<u64> = 4_000..10_000;

/// Of the answers of the workers in trouble, so many of ten are lost: 0.4.
const LOST_OF_TEN: u32 = 4;

const STREAMS_PER_S: u32 = 26;

/// The operator's `timeoutMs` of the route; the clients wait longer.
const TIMEOUT_MS: u32 = 1_200;
const DEADLINE_MS: u64 = 14_000;

/// Length of the bodies, within `maxBodyBytes`.
const BODY_BYTES: usize = 1_000_000;

struct Sent {
    id: String,
    /// Id of the first try, if this is the second one.
    again_for: Option<String>,
    seen: Seen,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Arc::new(Record::new(&folder));
    let store = Store::start();
    let routes = [stream_route("terms", TIMEOUT_MS, 1, false)];
    store.put("config", "main", &configuration(7, &routes, &[]));
    let in_trouble = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicU32::new(0));
    let mut workers = Vec::new();
    for number in 0..3 {
        let id = format!("i-read{number}");
        workers.push(Engine::start(&id, "reader", "prefill", &store, |_| Habit::Sound));
    }
    for number in 0..5 {
        let (in_trouble, answers, record) = (in_trouble.clone(), answers.clone(), record.clone());
        let id = format!("i-made{number}");
        workers.push(Engine::start(&id, "reader", "decode", &store, move |request| {
            // Three of the five lose answers.
            if number >= 3 || !in_trouble.load(Ordering::SeqCst) {
                return Habit::Sound;
            }
            if answers.fetch_add(1, Ordering::SeqCst) % 10 >= LOST_OF_TEN {
                return Habit::Sound;
            }
            record.line(&format!("{} is run, its answer is lost", request.head.get("Request-Id")));
            Habit::AnswerLost
        }));
    }
    let common = Common {
        folder: daemon::temporary_folder("2"),
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
    let mut count = 0;
    record.line("traffic begins");
    while begun.elapsed() < LENGTH {
        let ms = begun.elapsed().as_millis() as u64;
        let is_trouble_time = TROUBLE.contains(&ms);
        in_trouble.store(is_trouble_time && record::has_trouble(), Ordering::SeqCst);
        if f64::from(count) < begun.elapsed().as_secs_f64() * f64::from(STREAMS_PER_S) {
            let number = count;
            count += 1;
            // A second try reaches the other daemon.
            let order = [number % 2, (number + 1) % 2];
            let addresses = order.map(|index| daemons[index as usize].callers);
            let (sent, record) = (sent.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let begun = Instant::now();
                let mut first: Option<String> = None;
                for (try_number, address) in addresses.into_iter().enumerate() {
                    let id = format!("{number:06x}{try_number}");
                    let left = DEADLINE_MS - begun.elapsed().as_millis() as u64;
                    let body = vec![b'x'; BODY_BYTES];
                    let bytes = client::model_request("/terms/1", &id, left, &body);
                    let again_for = first.clone();
                    record.line(&format!("{id} sent, again for {again_for:?}"));
                    let seen = client::send(address, &bytes, Duration::from_millis(left));
                    let (status, whole, ms) = (seen.status, seen.is_whole, seen.took.as_millis());
                    let text = String::from_utf8_lossy(&seen.body).into_owned();
                    let text = if status == 200 { String::new() } else { text };
                    record.line(&format!("{id} answered {status}, whole {whole}, {ms} ms {text}"));
                    let promises = matches!(status, 408 | 421 | 429 | 503);
                    let wait: f64 = seen.head.get("Retry-After").parse().unwrap_or(0.0);
                    first = Some(id.clone());
                    sent.lock().unwrap().push(Sent { id, again_for, seen });
                    if !promises {
                        return;
                    }
                    thread::sleep(Duration::from_secs_f64(wait));
                }
            }));
        }
        thread::sleep(Duration::from_millis(2));
    }
    threads.into_iter().for_each(|thread| thread.join().expect("a client"));
    drop(daemons);
    let runs: Vec<Run> =
        workers.iter().flat_map(|worker| worker.runs.lock().unwrap().clone()).collect();
    runs.iter().for_each(|run| record.line(&format!("{} ran at {}", run.id, run.worker)));
    judge(&record, &sent.lock().unwrap(), &runs);
}

/// REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run.
fn judge(record: &Record, sent: &[Sent], runs: &[Run]) -> ! {
    let has_run = |id: &str| runs.iter().any(|run| run.id == id);
    let is_refused = |sent: &&Sent| matches!(sent.seen.status, 408 | 421 | 429 | 503);
    let refused: Vec<&Sent> = sent.iter().filter(is_refused).collect();
    let broken: Vec<&&Sent> = refused.iter().filter(|sent| has_run(&sent.id)).collect();
    for sent in &broken {
        let text = String::from_utf8_lossy(&sent.seen.body).trim().to_owned();
        record.line(&format!("refused and has run: {}: {} {text}", sent.id, sent.seen.status));
    }
    let is_twice = |sent: &&Sent| {
        has_run(&sent.id) && sent.again_for.as_ref().is_some_and(|first| has_run(first))
    };
    record.say(&format!(
        "{} requests sent, {} runs, {} answered 429, 503, 408 or 421; {} of these have run, and {} \
         of their second tries ran too",
        sent.len(),
        runs.len(),
        refused.len(),
        broken.len(),
        sent.iter().filter(is_twice).count()
    ));
    record::end(record, "REFUSED", !broken.is_empty())
}
