//! Case 5: one of three machines is removed for good, and a new one comes. As the old one has left, the
//! platform's store falls silent for 5 s. Workers in need name the requests that they take from all
//! machines together.

#[path = "../lib/lib.rs"]
mod lib;

use lib::{
    client,
    config::{configuration, plain_route},
    daemon::{self, Common, Daemon, SIGTERM},
    http::answer,
    plain::Plain,
    record::{self, Record},
    store::Store,
};
use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// Services, each with one worker that takes `LIMIT` requests a second.
const SERVICES: [&str; 4] = ["prices", "trucks", "scales", "orders"];
const LIMIT: f64 = 10.0;

/// Requests a second to each service, spread over the daemons.
const PER_S: f64 = 45.0;

/// Time from the silence to the start of the new machine.
const NEW_AFTER: Duration = Duration::from_secs(1);

/// Length of the silence, and of the traffic after its beginning.
const SILENCE: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(32);

/// The rule: in some 4 s more than one and a half times what the limit allows, + 5.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: usize = (LIMIT * 4.0 * 1.5) as usize + 5;

/// Time after the end of the silence from which windows are judged (`stableWindowMs`).
const STABLE: Duration = Duration::from_secs(3);

const DEADLINE_MS: u64 = 2_500;

/// Kind of the objects in which the daemons list themselves.
const DAEMONS: &str = "fireflyworks-daemons";

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Arc::new(Record::new(&folder));
    let store = Store::start();
    let routes = SERVICES.map(|service| plain_route(service, "idempotent", service, 1_200));
    store.put("config", "main", &configuration(7, &routes, &SERVICES));
    let workers: Vec<Plain> = SERVICES
        .iter()
        .map(|service| {
            let id = format!("i-{service}");
            Plain::start(&id, service, &store, |worker, request, connection| {
                worker.begin(request);
                thread::sleep(Duration::from_millis(10));
                let id = request.head.get("Request-Id");
                let (signature, limit) = (format!("sig.{}", worker.id), LIMIT.to_string());
                let fields =
                    [("Request-Id", id), ("Server-Signature", &*signature), ("Server-Limit", &limit)];
                connection.write(&answer(200, &fields, id.as_bytes())).is_ok()
            })
        })
        .collect();
    let common = Common {
        folder: daemon::temporary_folder("5"),
        store: store.address,
        bounds: daemon::BOUNDS.into(),
        memory_mb: 110,
    };
    let mut daemons = daemon::prepare(4, &common);
    daemons[..3].iter_mut().for_each(Daemon::start);
    daemons[..3].iter().for_each(|daemon| daemon.wait_ready(Duration::from_secs(15)));
    thread::sleep(Duration::from_secs(3));
    // The fourth machine takes the place of the first one.
    let addresses: Vec<_> = daemons[1..].iter().map(|daemon| daemon.callers).collect();
    record.line(&format!("{} gets SIGTERM", daemons[0].name));
    daemons[0].signal(SIGTERM);
    let name = daemons[0].name.clone();
    while store.names(DAEMONS).contains(&name) {
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("{name} has taken itself off the list"));
    thread::sleep(Duration::from_millis(100));
    if record::has_trouble() {
        record.line("the store falls silent");
        store.is_silent.store(true, Ordering::SeqCst);
    }
    let begun = Instant::now();
    let mut is_started = false;
    let mut threads = Vec::new();
    let mut count = 0_u32;
    while begun.elapsed() < LENGTH {
        if !is_started && begun.elapsed() >= NEW_AFTER {
            is_started = true;
            record.line(&format!("{} starts", daemons[3].name));
            daemons[3].start();
        }
        if begun.elapsed() >= SILENCE && store.is_silent.swap(false, Ordering::SeqCst) {
            record.line("the store answers again");
        }
        let all_per_s = PER_S * SERVICES.len() as f64;
        if f64::from(count) < begun.elapsed().as_secs_f64() * all_per_s {
            let service = SERVICES[count as usize % SERVICES.len()];
            let address = addresses[count as usize / SERVICES.len() % addresses.len()];
            let id = format!("a{count:06x}");
            count += 1;
            let record = record.clone();
            threads.push(thread::spawn(move || {
                let path = format!("/{service}/1");
                let bytes = client::plain_request("GET", &path, &id, DEADLINE_MS, b"");
                let seen = client::send(address, &bytes, Duration::from_millis(DEADLINE_MS));
                record.line(&format!("{id} {path} to {address}: {}", seen.status));
            }));
        }
        thread::sleep(Duration::from_millis(1));
    }
    threads.into_iter().for_each(|thread| thread.join().expect("a client"));
    drop(daemons);
    judge(&record, &workers, begun);
}

/// LIMIT: a worker gets in some 4 s more than one and a half times what its limit allows, + 5
/// requests.
fn judge(record: &Record, workers: &[Plain], begun: Instant) -> ! {
    let from = begun + SILENCE + STABLE;
    let mut is_broken = false;
    for worker in workers {
        let runs = worker.runs.lock().unwrap().clone();
        let times: Vec<Instant> = runs.iter().map(|run| run.at).filter(|at| *at >= from).collect();
        let in_window = |begin: &Instant| {
            times.iter().filter(|at| **at >= *begin && **at - *begin < WINDOW).count()
        };
        let most = times.iter().map(in_window).max().unwrap_or(0);
        record.say(&format!("{}: at most {most} requests in 4 s, {ALLOWED} allowed", worker.id));
        is_broken |= most > ALLOWED;
    }
    record::end(record, "LIMIT", is_broken)
}
