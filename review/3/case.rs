//! Case 3: the machines of three zones are stopped and started in turn, one a second; nothing else
//! happens. Clients book all the while, each on a new connection. Three deployments that know nothing of
//! each other are played at the same time, as each SIGTERM meets the fault by luck only.

#[path = "../lib/lib.rs"]
mod lib;

use lib::{
    client,
    config::{configuration, plain_route},
    daemon::{self, Common, Daemon, SIGTERM},
    plain::Plain,
    record::{self, Record},
    store::Store,
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Deployments that are played at the same time.
const DEPLOYMENTS: usize = 3;

/// Zones, and machines of each.
const ZONES: usize = 3;
const PER_ZONE: usize = 3;
const MACHINES: usize = ZONES * PER_ZONE;

/// Length of the traffic, and how often all machines are stopped in turn in it.
const LENGTH: Duration = Duration::from_secs(106);
const TURN_EVERY: Duration = Duration::from_secs(10);

/// Time between two SIGTERMs of a turn, and from the end of a process to its next start.
const GAP: Duration = Duration::from_secs(1);
const START_AGAIN: Duration = Duration::from_millis(500);

/// Bookings a second, over all zones.
const PER_S: f64 = 71.0;

const WORK: Duration = Duration::from_millis(15);
const DEADLINE_MS: u64 = 2_500;

/// A machine as the platform sees it.
#[derive(Clone, Copy)]
struct Seen {
    misses: u32,
    is_in_rotation: bool,
}

/// The platform's part: it asks each machine once a second, takes it out after two misses, and uses
/// all of them if fewer than half are left.
struct Platform {
    callers: Vec<SocketAddr>,
    seen: Mutex<Vec<Seen>>,
}

impl Platform {
    fn record(&self, index: usize, is_ready: bool) {
        let mut seen = self.seen.lock().unwrap();
        let misses = if is_ready { 0 } else { seen[index].misses + 1 };
        let is_in_rotation = is_ready || misses < 2 && seen[index].is_in_rotation;
        seen[index] = Seen { misses, is_in_rotation };
    }

    /// The machine to which a client's new connection is forwarded, by a hash of the client. If none
    /// of its zone is in rotation, the next zone is used.
    fn choose(&self, client: u64) -> usize {
        let seen = self.seen.lock().unwrap();
        let hash = (client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize;
        for distance in 0..ZONES {
            let zone = (client as usize + distance) % ZONES;
            let all: Vec<usize> = (zone * PER_ZONE..(zone + 1) * PER_ZONE).collect();
            let ready: Vec<usize> =
                all.iter().copied().filter(|i| seen[*i].is_in_rotation).collect();
            match ready.len() {
                0 => {}
                count if count * 2 < all.len() => return all[hash % all.len()],
                count => return ready[hash % count],
            }
        }
        hash % MACHINES
    }
}

/// What a deployment has seen.
struct Outcome {
    bookings: u64,
    /// Connections that ended without an answer.
    unanswered: usize,
    /// Those of them whose booking ran, a line each.
    broken: Vec<String>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Arc::new(Record::new(&folder));
    let play = |number: usize| {
        let record = record.clone();
        thread::spawn(move || deployment(number, &record))
    };
    let playing: Vec<_> = (1..=DEPLOYMENTS).map(play).collect();
    let outcomes: Vec<Outcome> =
        playing.into_iter().map(|thread| thread.join().expect("a deployment")).collect();
    outcomes.iter().flat_map(|outcome| &outcome.broken).for_each(|line| record.say(line));
    let broken: usize = outcomes.iter().map(|outcome| outcome.broken.len()).sum();
    record.say(&format!(
        "{} bookings sent; {} connections ended without an answer, {broken} of these bookings ran",
        outcomes.iter().map(|outcome| outcome.bookings).sum::<u64>(),
        outcomes.iter().map(|outcome| outcome.unanswered).sum::<usize>(),
    ));
    record::end(&record, "LOST", broken > 0)
}

fn deployment(deployment: usize, record: &Arc<Record>) -> Outcome {
    let store = Store::start();
    let routes = [plain_route("book", "non_idempotent", "desk", 1_200)];
    store.put("config", "main", &configuration(7, &routes, &["desk"]));
    let workers: Vec<Plain> = (0..3)
        .map(|number| {
            let id = format!("i-desk{number}");
            Plain::start(&id, "desk", &store, |worker, request, connection| {
                worker.run(request, connection, WORK)
            })
        })
        .collect();
    let common = Common {
        folder: daemon::temporary_folder(&format!("3-{deployment}")),
        store: store.address,
        bounds: daemon::BOUNDS.into(),
        memory_mb: 110,
    };
    let mut daemons = daemon::prepare(MACHINES, &common);
    daemons.iter_mut().for_each(Daemon::start);
    daemons.iter().for_each(|daemon| daemon.wait_ready(Duration::from_secs(15)));
    thread::sleep(Duration::from_secs(2));
    let platform = Arc::new(Platform {
        callers: daemons.iter().map(|daemon| daemon.callers).collect(),
        seen: Mutex::new(vec![Seen { misses: 0, is_in_rotation: true }; MACHINES]),
    });
    let has_ended = Arc::new(AtomicBool::new(false));
    for index in 0..MACHINES {
        let (platform, has_ended) = (platform.clone(), has_ended.clone());
        let readiness = daemons[index].readiness;
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(310 * index as u64 % 1_000));
            while !has_ended.load(Ordering::SeqCst) {
                platform.record(index, daemon::is_ready(readiness));
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
    // Answers of clients: id, machine, status, and whether the connection ended without an answer.
    let lost: Arc<Mutex<Vec<(String, usize, f64)>>> = Arc::default();
    let mut threads = Vec::new();
    let begun = Instant::now();
    let mut count = 0_u64;
    // Bookings come at drawn moments.
    let mut random = u64::from(std::process::id()) + deployment as u64;
    let mut next_at = 0.0;
    let mut turn = 1;
    let mut stopped = MACHINES;
    let mut ended: Vec<Option<Instant>> = vec![None; MACHINES];
    while begun.elapsed() < LENGTH {
        let turn_at = TURN_EVERY * turn - TURN_EVERY / 2;
        if stopped == MACHINES && begun.elapsed() >= turn_at && record::has_trouble() {
            stopped = 0;
        }
        if stopped < MACHINES && begun.elapsed() >= turn_at + GAP * stopped as u32 {
            record
                .line(&format!("deployment {deployment}: {} gets SIGTERM", daemons[stopped].name));
            daemons[stopped].signal(SIGTERM);
            stopped += 1;
            turn += u32::from(stopped == MACHINES);
        }
        for index in 0..MACHINES {
            match ended[index] {
                None if daemons[index].ended().is_some() => {
                    record.line(&format!(
                        "deployment {deployment}: {} has ended",
                        daemons[index].name
                    ));
                    ended[index] = Some(Instant::now());
                }
                Some(at) if at.elapsed() >= START_AGAIN => {
                    record.line(&format!(
                        "deployment {deployment}: {} starts again",
                        daemons[index].name
                    ));
                    ended[index] = None;
                    daemons[index].start();
                }
                _ => {}
            }
        }
        if next_at < begun.elapsed().as_secs_f64() {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let drawn = ((random >> 33) as f64 + 1.0) / f64::from(1_u32 << 31);
            next_at -= drawn.ln() / PER_S;
            let machine = platform.choose(count);
            let (id, address) = (format!("b{deployment}-{count:06x}"), platform.callers[machine]);
            count += 1;
            let (lost, record) = (lost.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let at = record.now();
                let bytes = client::plain_request("POST", "/book/1", &id, DEADLINE_MS, b"{}");
                let seen = client::send(address, &bytes, Duration::from_millis(DEADLINE_MS));
                let (status, ms) = (seen.status, seen.took.as_millis());
                record.line(&format!("{id} to frontend-{}: {status}, {ms} ms", machine + 1));
                if !seen.is_whole && !seen.is_overdue {
                    lost.lock().unwrap().push((id, machine, at));
                }
            }));
        }
        thread::sleep(Duration::from_millis(1));
    }
    threads.into_iter().for_each(|thread| thread.join().expect("a client"));
    has_ended.store(true, Ordering::SeqCst);
    drop(daemons);
    let lost = lost.lock().unwrap();
    Outcome { bookings: count, unanswered: lost.len(), broken: find_broken(&lost, &workers) }
}

/// LOST: a process has read a whole request, it has been passed on to a worker, and the connection
/// ends without a complete answer.
fn find_broken(lost: &[(String, usize, f64)], workers: &[Plain]) -> Vec<String> {
    let runs = workers.iter().flat_map(|worker| worker.runs.lock().unwrap().clone());
    let ran: BTreeSet<String> = runs.map(|run| run.id).collect();
    let broken = lost.iter().filter(|(id, ..)| ran.contains(id));
    let line = |(id, machine, at): &(String, usize, f64)| {
        format!("{id}, sent to frontend-{} at {at:.3} s, ran and has no answer", machine + 1)
    };
    broken.map(line).collect()
}
