//! Case 5: the platform's store is silent for 6 s. In its first seconds the two daemons are killed,
//! one after the other, and start again. Once the store is back, the operator moves a route.

#[path = "../lib/lib.rs"]
mod lib;

use lib::{
    client,
    config::{configuration, plain_route},
    daemon::{self, Common, Daemon, SIGKILL},
    plain::Plain,
    record::{self, Record},
    store::Store,
};
use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

/// Length of the store's silence.
const SILENCE_S: f64 = 6.0;

/// When the daemons are killed, from its beginning, and how much later they start again.
const KILLS_S: [f64; 2] = [0.2, 1.2];
const START_AGAIN_S: f64 = 0.5;

/// When the configuration changes, and the end of the traffic.
const CHANGE_S: f64 = 6.2;
const END_S: f64 = 15.0;

/// Bounds: `configApplyMs` and `stableWindowMs`, in seconds.
const APPLY_S: f64 = 2.0;
const STABLE_S: f64 = 3.0;

const BOOKINGS_PER_S: f64 = 20.0;
const DEADLINE_MS: u64 = 2_500;

struct Sent {
    id: String,
    daemon: usize,
    at: f64,
    status: u16,
}

fn kill_and_start(record: &Record, daemon: &mut Daemon) {
    record.line(&format!("{} is killed", daemon.name));
    daemon.signal(SIGKILL);
    while daemon.ended().is_none() {
        thread::sleep(Duration::from_millis(5));
    }
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Arc::new(Record::new(&folder));
    let store = Store::start();
    let services = ["desk", "plant"];
    let routes = |service: &str| [plain_route("book", "non_idempotent", service, 1_200)];
    store.put("config", "main", &configuration(7, &routes("desk"), &services));
    let mut workers = Vec::new();
    for service in services {
        for number in 0..2 {
            let id = format!("i-{service}{number}");
            let work = Duration::from_millis(30);
            workers.push(Plain::start(&id, service, &store, move |worker, request, connection| {
                worker.run(request, connection, work)
            }));
        }
    }
    let common = Common {
        folder: daemon::temporary_folder("5"),
        store: store.address,
        bounds: daemon::BOUNDS.into(),
        memory_mb: 110,
    };
    let mut daemons = daemon::prepare(2, &common);
    daemons.iter_mut().for_each(Daemon::start);
    daemons.iter().for_each(|daemon| daemon.wait_ready(Duration::from_secs(15)));
    // Both have announced themselves, and have been calm for long.
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<_> = daemons.iter().map(|daemon| daemon.callers).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut threads = Vec::new();
    let begun = record.now();
    let now = || record.now() - begun;
    let has_trouble = record::has_trouble();
    if has_trouble {
        record.line("the store falls silent");
        store.is_silent.store(true, Ordering::SeqCst);
    }
    let mut killed = [false; 2];
    let mut started = [false; 2];
    let mut acknowledged = None;
    let mut count = 0_u32;
    while now() < END_S {
        for index in 0..2 {
            if has_trouble && !killed[index] && now() >= KILLS_S[index] {
                killed[index] = true;
                kill_and_start(&record, &mut daemons[index]);
            }
            if killed[index] && !started[index] && now() >= KILLS_S[index] + START_AGAIN_S {
                started[index] = true;
                record.line(&format!("{} starts again", daemons[index].name));
                daemons[index].start();
            }
        }
        if now() >= SILENCE_S && store.is_silent.swap(false, Ordering::SeqCst) {
            record.line("the store answers again");
        }
        if acknowledged.is_none() && now() >= CHANGE_S {
            store.put("config", "main", &configuration(8, &routes("plant"), &services));
            acknowledged = Some(now());
            record.line("version 8 is acknowledged: /book/ leads to plant");
        }
        if f64::from(count) < now() * BOOKINGS_PER_S {
            let daemon = (count % 2) as usize;
            let (id, address) = (format!("b{count:06x}"), addresses[daemon]);
            count += 1;
            let at = now();
            let (sent, record) = (sent.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let bytes = client::plain_request("POST", "/book/1", &id, DEADLINE_MS, b"{}");
                record.line(&format!("{id} sent to frontend-{}", daemon + 1));
                let seen = client::send(address, &bytes, Duration::from_millis(DEADLINE_MS));
                let (status, text) =
                    (seen.status, String::from_utf8_lossy(&seen.body).into_owned());
                record.line(&format!("{id} answered {status} {}", text.trim()));
                sent.lock().unwrap().push(Sent { id, daemon, at, status });
            }));
        }
        thread::sleep(Duration::from_millis(2));
    }
    threads.into_iter().for_each(|thread| thread.join().expect("a client"));
    drop(daemons);
    let stable_from = if has_trouble { SILENCE_S + STABLE_S } else { 0.0 };
    let bound = (acknowledged.unwrap_or(END_S) + APPLY_S).max(stable_from);
    judge(&record, &sent.lock().unwrap(), &workers, bound);
}

/// CONFIG: a request sent later than `configApplyMs` after the acknowledgement of a version is run
/// by the old service, by machines in touch.
fn judge(record: &Record, sent: &[Sent], workers: &[Plain], bound: f64) -> ! {
    let ran_at = |sent: &Sent| -> Vec<String> {
        let runs = workers.iter().flat_map(|worker| worker.runs.lock().unwrap().clone());
        runs.filter(|run| run.id == sent.id).map(|run| run.worker).collect()
    };
    let judged: Vec<&Sent> = sent.iter().filter(|sent| sent.at > bound).collect();
    let is_old = |sent: &&&Sent| ran_at(sent).iter().any(|worker| worker.starts_with("i-desk"));
    let old: Vec<&&Sent> = judged.iter().filter(is_old).collect();
    for sent in &old {
        let Sent { id, daemon, at, .. } = sent;
        record.line(&format!("{id}, sent to frontend-{} at {at:.2} s, ran at desk", daemon + 1));
    }
    let last = old.iter().map(|sent| sent.at).fold(0.0, f64::max);
    let served = judged.iter().filter(|sent| sent.status == 200).count();
    record.say(&format!(
        "{} bookings sent, {} of them after the bound ({bound:.2} s), {served} of these served, {} \
         run by the old service (the last sent at {last:.2} s)",
        sent.len(),
        judged.len(),
        old.len()
    ));
    record::end(record, "CONFIG", !old.is_empty())
}
