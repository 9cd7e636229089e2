//! The cases.

use {
    crate::{
        client::{self, Answer, Ask},
        daemon::{self, Daemon},
        json::Json,
        net::Connection,
        store::Store,
        worker::{Arrivals, Behaviour, Pace, Plan, Worker},
        World,
    },
    std::{
        collections::BTreeSet,
        io,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Plays a case; returns whether the rule was broken.
pub fn play(case: &str, world: &World) -> io::Result<bool> {
    match case {
        "11" => joined_versions(world),
        "12" => unstated_versions(world),
        "13" => ended_run(world),
        "14" => limited_target(world),
        "15" => crashing_part(world),
        _ => Err(io::Error::other("there is no such case")),
    }
}

const STREAMS: &str = "starscribe";
const PLAIN: &str = "domebook";

/// The configuration of mds-showgrid, with names of its own.
fn configuration() -> Json {
    let text = r#"{"version": 7, "routes": [
{"name": "r-digest", "host": "h.example", "pathPrefix": "/digest/", "type": "streaming", "timeoutMs": 14000,
 "targetLatencyMs": 900, "priority": 1, "service": "starscribe", "maxAttempts": 1, "sticky": true,
 "resumable": false, "targetGapMs": 300},
{"name": "r-caption", "host": "h.example", "pathPrefix": "/caption/", "type": "streaming", "timeoutMs": 14000,
 "targetLatencyMs": 900, "priority": 1, "service": "starscribe", "maxAttempts": 2, "sticky": true,
 "resumable": true, "targetGapMs": 300},
{"name": "r-confirm", "host": "h.example", "pathPrefix": "/confirm/", "type": "non_idempotent",
 "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "domebook", "maxAttempts": 1},
{"name": "r-check", "host": "h.example", "pathPrefix": "/check/", "type": "idempotent",
 "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "domebook", "maxAttempts": 2}],
"services": [
{"name": "starscribe", "healthPath": "/health", "maxConnections": 180, "protocol": "h1", "tls": false,
 "engine": {"slots": 16, "kvCapacity": 72680, "kvTokenBytes": 35136, "linkMbps": 5900000.0, "moves": true,
  "backups": true, "stride": 61, "most": 12, "kvHoldS": 0.5, "stageSwitchS": 6.0, "pinMs": 4000.0,
  "holdMs": 2000.0, "models": [{"name": "m"}]}},
{"name": "domebook", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}],
"limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}"#;
    Json::parse(text).expect("the configuration is JSON")
}

/// Workers and daemons.
struct Fleet {
    arrivals: Arrivals,
    daemons: Vec<Daemon>,
    decodes: Vec<Arc<Worker>>,
    store: Store,
}

/// Sizes of a fleet, and how each of its decode workers behaves.
struct Sizes {
    daemons: usize,
    prefills: usize,
    pace: Pace,
    behaviours: Vec<Behaviour>,
}

impl Fleet {
    fn start(world: &World, sizes: Sizes) -> io::Result<Fleet> {
        let store = Store::start(&world.record);
        store.put("config", "main", configuration());
        let arrivals = Arrivals::default();
        let start = |id: String, service, stage, slots, behaviour| {
            let (work, pace) = (Duration::from_millis(15), sizes.pace);
            let plan = Plan { id, service, version: "v1", stage, slots, work, pace, behaviour };
            Worker::start(plan, &store, &arrivals, &world.record)
        };
        for n in 1..=sizes.prefills {
            start(format!("i-prefill{n}"), STREAMS, Some("prefill"), 16, Behaviour::default());
        }
        let decodes = (1..)
            .zip(sizes.behaviours)
            .map(|(n, behaviour)| {
                start(format!("i-decode{n}"), STREAMS, Some("decode"), 16, behaviour)
            })
            .collect();
        for n in 1..=3 {
            start(format!("i-plain{n}"), PLAIN, None, 6, Behaviour::default());
        }
        let daemons = daemon::start(world, sizes.daemons, store.address)?;
        let until = Instant::now() + Duration::from_secs(8);
        while store.count("fireflyworks-daemons") < sizes.daemons {
            if Instant::now() > until {
                return Err(io::Error::other("the daemons don't register"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Daemons learn of each other and take ownership.
        thread::sleep(Duration::from_millis(3_500));
        world.record.line("all daemons have registered and are in touch");
        Ok(Fleet { arrivals, daemons, decodes, store })
    }
}

/// A stream. `parts` are the shared parts of its prompt, which end with a comma.
fn stream(path: &'static str, id: &str, parts: &str) -> Ask {
    Ask {
        method: "POST",
        path,
        id: id.into(),
        fields: format!(
            "Model: m\r\nToken-Count: 5200,7930\r\nLength-Hint: 2440\r\nPrefix-Hash: {parts}{}:5000\r\n",
            number_of(id)
        ),
        deadline: Duration::from_millis(14_000),
        // Four times the objective, the longest of the three spans of the pages.
        patience: Duration::from_millis(3_600),
    }
}

/// A hexadecimal number that belongs to an id alone.
fn number_of(id: &str) -> String {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    format!("{hash:016x}")
}

fn check(id: &str) -> Ask {
    Ask {
        method: "GET",
        path: "/check/2f",
        id: id.into(),
        fields: String::new(),
        deadline: Duration::from_millis(1_000),
        patience: Duration::from_millis(1_200),
    }
}

const SHARED: &str = "5c1e07a2:200,";

/// Sends streams to the first daemon, each on a connection that has carried a request before, and a SIGTERM
/// to the daemon 0.6 s later. Calls `act` just before the SIGTERM. Returns the number of streams that are
/// lost by the rule.
fn streams_at_sigterm(
    world: &World,
    fleet: &mut Fleet,
    count: usize,
    act: impl FnOnce(&Fleet),
) -> io::Result<usize> {
    let address = fleet.daemons[0].callers;
    let mut connections = Vec::new();
    for n in 1..=count {
        let mut connection = Connection::open(address)?;
        if !client::send(&world.record, &mut connection, &check(&format!("look-{n}"))).is_success()
        {
            return Err(io::Error::other("a first request was not served"));
        }
        connections.push(connection);
    }
    let mut threads = Vec::new();
    for (n, mut connection) in (1..).zip(connections) {
        let record = world.record.clone();
        threads.push(thread::spawn(move || {
            let ask = stream("/digest/2f", &format!("digest-{n}"), SHARED);
            client::send(&record, &mut connection, &ask)
        }));
    }
    thread::sleep(Duration::from_millis(600));
    act(fleet);
    let stopped_ms = world.record.ms();
    fleet.daemons[0].terminate(world);
    let (mut lost, mut whole, mut other) = (0, 0, 0);
    for thread in threads {
        let answer = thread.join().unwrap();
        // LOST: the daemon read the whole request and passed it on, and the connection ended without a
        // complete answer. Excuses: the deadline of 14 s; a worker at work in the last sixth of 8 s.
        let is_begun = !answer.events.is_empty();
        let is_excused = answer.ended_ms - answer.sent_ms >= 14_000
            || answer.ended_ms.saturating_sub(stopped_ms) >= 6_666;
        match answer.is_whole {
            true if answer.status == 200 => whole += 1,
            false if is_begun && !is_excused => lost += 1,
            _ => other += 1,
        }
    }
    fleet.daemons[0].wait_end(world, Duration::from_secs(8));
    world.record.line(&format!(
        "streams around the SIGTERM: {whole} whole, {lost} lost, {other} with another end; one lost breaks \
         the rule"
    ));
    Ok(lost)
}

/// Streams of case 11.
const JOINABLE: usize = 12;

/// Case 11: a worker of another software version joins, the store comes back from a copy of before, and all
/// daemons are killed meanwhile. The daemons are killed in both plays.
fn joined_versions(world: &World) -> io::Result<bool> {
    let pace = Pace { events: 100, gap: Duration::from_millis(50), pause: None, bytes: 330 };
    let behaviours = vec![Behaviour::default(); 2];
    let mut fleet = Fleet::start(world, Sizes { daemons: 3, prefills: 1, pace, behaviours })?;
    let copy = fleet.store.copy();
    thread::sleep(Duration::from_millis(500));
    // Two workers of the next version, as a release goes on; those of the first one take no more work now.
    let joined_at = Instant::now();
    for n in 3..=4 {
        let (id, work) = (format!("i-decode{n}"), Duration::from_millis(15));
        let behaviour = Behaviour::default();
        let stage = Some("decode");
        let plan =
            Plan { id, service: STREAMS, version: "v2", stage, slots: 16, work, pace, behaviour };
        Worker::start(plan, &fleet.store, &fleet.arrivals, &world.record);
    }
    thread::sleep(Duration::from_millis(700));
    let mut threads = Vec::new();
    for n in 1..=2 * JOINABLE {
        let (record, address) = (world.record.clone(), fleet.daemons[n % 3].callers);
        threads.push(thread::spawn(move || {
            let ask = stream("/caption/2f", &format!("caption-{n}"), SHARED);
            client::send_new(&record, address, &ask)
        }));
    }
    // The beats of the new workers come each 1.2 s from their start; the store is away for the third one.
    let until = joined_at + Duration::from_millis(3_400);
    thread::sleep(until.saturating_duration_since(Instant::now()));
    if world.trouble {
        fleet.store.go_away();
    }
    for daemon in &mut fleet.daemons {
        daemon.kill(world);
    }
    let first: Vec<Answer> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let until = joined_at + Duration::from_millis(3_700);
    thread::sleep(until.saturating_duration_since(Instant::now()));
    if world.trouble {
        fleet.store.come_back(Some(&copy));
    }
    for daemon in &mut fleet.daemons {
        daemon.spawn(world)?;
    }
    fleet.daemons.iter().try_for_each(Daemon::wait_ready)?;
    thread::sleep(Duration::from_millis(500));
    // Each client takes its stream up once.
    let threads: Vec<_> = first
        .into_iter()
        .enumerate()
        .filter(|(_, answer)| !answer.events.is_empty() && !answer.is_whole)
        .map(|(n, answer)| {
            let (record, address) = (world.record.clone(), fleet.daemons[(n + 1) % 3].callers);
            thread::spawn(move || {
                let mut ask = stream("/caption/2f", &format!("{}-again", answer.id), SHARED);
                let last = answer.events.last().copied().unwrap_or_default();
                ask.fields += &format!("Resumes: {}\r\nLast-Event-Id: {last}\r\n", answer.id);
                let rest = client::send_new(&record, address, &ask);
                (answer, rest)
            })
        })
        .collect();
    let pairs: Vec<(Answer, Answer)> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    let of_new = pairs.iter().filter(|(first, _)| first.versions.contains("v2")).count();
    let going_on = pairs.iter().filter(|(_, rest)| !rest.events.is_empty()).count();
    let joined =
        pairs.iter().filter(|(first, rest)| first.versions.union(&rest.versions).count() > 1);
    let joined = joined.count();
    world.record.line(&format!(
        "{} streams were taken up, {of_new} of them begun by v2; {going_on} went on; {joined} hold events of \
         two versions; more than two break the rule",
        pairs.len()
    ));
    if of_new < 3 {
        return Err(io::Error::other("too few streams began at the new version"));
    }
    Ok(joined > 2)
}

/// Case 12: entries of all decode workers come from another writer for a moment, without `version`.
fn unstated_versions(world: &World) -> io::Result<bool> {
    let pace = Pace { events: 100, gap: Duration::from_millis(50), pause: None, bytes: 330 };
    let behaviours = vec![Behaviour::default(); 2];
    let mut fleet = Fleet::start(world, Sizes { daemons: 2, prefills: 1, pace, behaviours })?;
    let wait_until = |ms: u64| {
        thread::sleep(Duration::from_millis(ms.saturating_sub(world.record.ms())));
    };
    // All workers beat each 1.2 s from their start: the first two from 0 s, the others from 0.1 s later.
    wait_until(4_900);
    for n in 3..=4 {
        let (id, work) = (format!("i-decode{n}"), Duration::from_millis(15));
        let (behaviour, stage) = (Behaviour::default(), Some("decode"));
        let plan =
            Plan { id, service: STREAMS, version: "v2", stage, slots: 16, work, pace, behaviour };
        fleet.decodes.push(Worker::start(plan, &fleet.store, &fleet.arrivals, &world.record));
    }
    wait_until(6_500);
    let threads: Vec<_> = (1..=24)
        .map(|n| {
            let (record, addresses) =
                (world.record.clone(), [fleet.daemons[0].callers, fleet.daemons[1].callers]);
            thread::spawn(move || {
                let ask = stream("/caption/2f", &format!("caption-{n}"), SHARED);
                // The connections break, in both plays, at 8.9 s.
                let first = client::send_until(&record, addresses[0], &ask, 8_900);
                let last = first.events.last().copied().unwrap_or_default();
                let mut again = stream("/caption/2f", &format!("caption-{n}-again"), SHARED);
                again.fields += &format!("Resumes: caption-{n}\r\nLast-Event-Id: {last}\r\n");
                thread::sleep(Duration::from_millis(9_100_u64.saturating_sub(record.ms())));
                let rest = client::send_new(&record, addresses[1], &again);
                (first, rest)
            })
        })
        .collect();
    wait_until(8_700);
    if world.trouble {
        world
            .record
            .line("another writer writes the entries of the decode workers without version");
        fleet.decodes.iter().for_each(|worker| worker.write_without_version());
    }
    let pairs: Vec<(Answer, Answer)> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    let of_new = pairs.iter().filter(|(first, _)| first.versions.contains("v2")).count();
    let going_on = pairs.iter().filter(|(_, rest)| !rest.events.is_empty()).count();
    let is_joined = |pair: &&(Answer, Answer)| pair.0.versions.union(&pair.1.versions).count() > 1;
    let joined = pairs.iter().filter(is_joined).count();
    world.record.line(&format!(
        "{} streams were taken up, {of_new} of them begun by v2; {going_on} went on; {joined} hold events of \
         two versions; more than two break the rule",
        pairs.len()
    ));
    Ok(joined > 2)
}

/// Case 13: a decode worker leaves while its runs are about to end; its streams end with their connections.
fn ended_run(world: &World) -> io::Result<bool> {
    let pace = Pace { events: 20, gap: Duration::from_millis(150), pause: None, bytes: 330 };
    let behaviours = vec![Behaviour { is_unframed: true, ..Behaviour::default() }; 2];
    let mut fleet = Fleet::start(world, Sizes { daemons: 2, prefills: 4, pace, behaviours })?;
    // The first stream ends some 3.1 s after it was sent, the last one some 0.3 s later.
    let leave = |fleet: &Fleet| {
        if world.trouble {
            let worker = fleet.decodes[0].clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(2_400));
                worker.drain();
            });
        }
    };
    Ok(streams_at_sigterm(world, &mut fleet, 16, leave)? > 0)
}

/// Case 14: a decode worker leaves, and the other one, to which its runs are copied, names a limit.
fn limited_target(world: &World) -> io::Result<bool> {
    let pace = Pace { events: 60, gap: Duration::from_millis(50), pause: None, bytes: 330 };
    let limit = world.trouble.then_some("2.0");
    let behaviours = vec![Behaviour::default(), Behaviour { limit, ..Behaviour::default() }];
    let mut fleet = Fleet::start(world, Sizes { daemons: 2, prefills: 1, pace, behaviours })?;
    // The limit becomes known by the answers to these, and binds from stableWindowMs on.
    let first: Vec<_> = (1..=4)
        .map(|n| {
            let (record, address) = (world.record.clone(), fleet.daemons[n % 2].callers);
            let ask = stream("/digest/2f", &format!("before-{n}"), SHARED);
            thread::spawn(move || client::send_new(&record, address, &ask))
        })
        .collect();
    first.into_iter().for_each(|sending| drop(sending.join()));
    thread::sleep(Duration::from_millis(3_000));
    Ok(streams_at_sigterm(world, &mut fleet, 12, |fleet| fleet.decodes[0].drain())? > 0)
}

/// Part under which workers crash.
const CRASHING: &str = "bad0c0de";

/// Time between two requests with that part.
const CRASHING_PERIOD: Duration = Duration::from_millis(2_500);

/// Case 15: workers crash as they begin to write an answer on a part.
fn crashing_part(world: &World) -> io::Result<bool> {
    let pace = Pace { events: 20, gap: Duration::from_millis(100), pause: None, bytes: 330 };
    let crashing_part = world.trouble.then_some(CRASHING);
    let behaviours = vec![Behaviour { crashing_part, ..Behaviour::default() }; 5];
    let fleet = Fleet::start(world, Sizes { daemons: 3, prefills: 2, pace, behaviours })?;
    let began = Instant::now();
    let (mut number, mut sending, mut last_crashing) = (0, Vec::new(), None::<Instant>);
    while began.elapsed() < Duration::from_secs(100) {
        number += 1;
        let (record, address) = (world.record.clone(), fleet.daemons[number % 3].callers);
        let is_due = last_crashing.is_none_or(|last| last.elapsed() >= CRASHING_PERIOD);
        let ask = if is_due {
            last_crashing = Some(Instant::now());
            let parts = format!("{SHARED}{CRASHING}:400,");
            stream("/digest/2f", &format!("crashing-{number}"), &parts)
        } else {
            stream("/digest/2f", &format!("sound-{number}"), SHARED)
        };
        sending.push(thread::spawn(move || client::send_new(&record, address, &ask)));
        thread::sleep(Duration::from_millis(250));
    }
    let answers: Vec<Answer> = sending.into_iter().map(|sending| sending.join().unwrap()).collect();
    let sound: Vec<&Answer> =
        answers.iter().filter(|answer| answer.id.starts_with("sound")).collect();
    let broken = sound.iter().filter(|answer| !answer.is_success()).count();
    world.record.line(&format!("sound streams: {broken} of {} not whole", sound.len()));
    let arrivals = fleet.arrivals.0.lock().unwrap().clone();
    let with_part = || arrivals.iter().filter(|arrival| arrival.parts.contains(CRASHING));
    let runs: Vec<u64> =
        with_part().filter(|arrival| arrival.what == "run").map(|arrival| arrival.at_ms).collect();
    if !world.trouble {
        world.record.line(&format!("no worker crashed; {} runs with the part", runs.len()));
        return Ok(false);
    }
    world
        .record
        .line(&format!("runs with the part, each of which crashed a worker, at ms {runs:?}"));
    let Some(fifth) = runs.get(4) else {
        return Err(io::Error::other("fewer than five crashes"));
    };
    // BUDGET: requests with the part that reach workers later than stableWindowMs after the fifth crash. All
    // machines are in touch.
    let late: BTreeSet<&str> = with_part()
        .filter(|arrival| arrival.at_ms > fifth + 3_000)
        .map(|arrival| arrival.id.as_str())
        .collect();
    world.record.line(&format!(
        "requests with the part that reached workers more than 3 s after the fifth crash: {} ({late:?}); more \
         than three break the rule",
        late.len()
    ));
    Ok(late.len() > 3)
}
