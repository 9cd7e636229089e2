//! Streams that break off and are taken up by their callers, with or without a kill of all daemons.

use {
    crate::{
        client::{self, Answer, Request},
        daemon::{Addresses, Daemon, SIGKILL, Settings, free_addresses},
        record::Record,
        site,
        store::Store,
    },
    std::{
        net::SocketAddr,
        path::Path,
        process::ExitCode,
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const DAEMONS: usize = 2;

/// Path of the resumable route.
pub const PREFIX: &str = "/contamination/";

/// Events of a stream, one each 100 ms, and time from its start until it breaks off.
pub const EVENTS: u64 = 60;
pub const GAP: Duration = Duration::from_millis(100);
const BROKEN_AFTER: Duration = Duration::from_millis(2_000);

/// Time until the processes are started again, and until the machines are in touch again, which takes
/// `stableWindowMs`, 3 s.
const RESTART_AFTER: Duration = Duration::from_millis(500);
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_500);

/// Time between two tries of a caller, as `Retry-After` tells it.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Streams that break off, and new ones once the machines are in touch; the rule counts from 12.
const STREAMS: u32 = 16;
const COUNTED_MIN: usize = 12;

/// Time for which a caller waits, from its first attempt.
pub const DEADLINE_MS: u64 = 14_000;

/// The resumable route of a pool of engines.
pub fn route() -> site::Route {
    site::Route {
        prefix: PREFIX,
        kind: "streaming",
        service: "llm",
        timeout_ms: DEADLINE_MS,
        target_ms: 900,
        max_attempts: 2,
        resumable: true,
    }
}

/// Starts the daemons of a system that starts for the first time.
pub fn start(scratch: &Path, store: &Store, record: &Record) -> Vec<Daemon> {
    let addresses: Vec<Addresses> = (0..DAEMONS).map(|_| free_addresses()).collect();
    let settings = Settings { seeds: vec![addresses[0].control], ..Settings::default() };
    let start = |(index, addresses): (usize, &Addresses)| {
        let name = format!("frontend-{}", index + 1);
        Daemon::start(&name, scratch, store, &settings, *addresses, record)
    };
    addresses.iter().enumerate().map(start).collect()
}

/// A stream that its caller has tried to take up.
#[derive(Default)]
struct TakenUp {
    goes_on: bool,
    /// Tries at machines in touch.
    tries_in_touch: u32,
    last: Answer,
}

fn id(attempt: u32, number: u32) -> String {
    format!("9c41{attempt:04x}{number:08x}")
}

fn request(attempt: u32, number: u32, deadline_ms: u64) -> Request {
    client::stream_request(PREFIX, &id(attempt, number), (500, 70), deadline_ms)
}

/// Takes a stream up until it goes on or its deadline has passed.
fn take_up(
    callers: &[SocketAddr],
    number: u32,
    last_event: u64,
    deadline: Instant,
    in_touch_from: Instant,
) -> TakenUp {
    let mut taken_up = TakenUp::default();
    for attempt in 2_u32.. {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < RETRY_AFTER {
            break;
        }
        let mut request = request(attempt, number, left.as_millis() as u64);
        request.fields.push(("Last-Event-Id".into(), last_event.to_string()));
        request.fields.push(("Resumes".into(), id(1, number)));
        // Retries reach other daemons.
        let address = callers[(number + attempt) as usize % callers.len()];
        taken_up.tries_in_touch += u32::from(Instant::now() >= in_touch_from);
        taken_up.last = client::send(address, site::HOST, &request);
        taken_up.goes_on = taken_up.last.status == 200 && !taken_up.last.events().is_empty();
        if taken_up.goes_on {
            break;
        }
        thread::sleep(RETRY_AFTER);
    }
    taken_up
}

/// Sends streams, breaks them off by a kill of all daemons or else by their callers, and lets the
/// callers take them up. Returns the exit code of the case.
pub fn play(mut daemons: Vec<Daemon>, is_killed: bool, record: &Record) -> ExitCode {
    let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.addresses.callers).collect();
    let began = Instant::now();
    let deadline = began + Duration::from_millis(DEADLINE_MS);
    let limit = if is_killed { Duration::MAX } else { BROKEN_AFTER };
    let send = |number: u32| {
        let address = callers[number as usize % DAEMONS];
        let request = request(1, number, DEADLINE_MS);
        thread::spawn(move || client::send_until(address, site::HOST, &request, limit))
    };
    let begun: Vec<JoinHandle<Answer>> = (1..=STREAMS).map(send).collect();
    thread::sleep(BROKEN_AFTER);
    if is_killed {
        daemons.iter().for_each(|daemon| daemon.signal(SIGKILL));
    }
    let begun: Vec<Answer> = begun.into_iter().filter_map(|it| it.join().ok()).collect();
    let in_touch_from = Instant::now() + RESTART_AFTER + IN_TOUCH_AFTER;
    let mut taking_up = Vec::new();
    for (number, answer) in (1..).zip(&begun) {
        let Some(last) = answer.events().last().copied() else { continue };
        let callers = callers.clone();
        let taking = move || take_up(&callers, number, last, deadline, in_touch_from);
        taking_up.push(thread::spawn(taking));
    }
    thread::sleep(RESTART_AFTER);
    if is_killed {
        daemons.iter_mut().for_each(|daemon| daemon.restart_as(false));
        if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(3))) {
            record.line("a daemon did not become ready again");
            return ExitCode::from(2);
        }
    }
    thread::sleep(in_touch_from.saturating_duration_since(Instant::now()));
    record.line("the machines are in touch");
    let send_new = |number: u32| {
        let address = callers[number as usize % DAEMONS];
        let request = request(0xff, number, DEADLINE_MS);
        thread::spawn(move || client::send(address, site::HOST, &request))
    };
    let new: Vec<JoinHandle<Answer>> = (1..=STREAMS).map(send_new).collect();
    let taken_up: Vec<TakenUp> = taking_up.into_iter().filter_map(|it| it.join().ok()).collect();
    for TakenUp { goes_on, tries_in_touch, last } in &taken_up {
        let body = String::from_utf8_lossy(&last.body).into_owned();
        let cause = if last.status == 200 { "" } else { body.trim() };
        record.line(&format!(
            "taken up: goes_on={goes_on} tries_in_touch={tries_in_touch}, last {} {cause}",
            last.summary()
        ));
    }
    let beginning = new.into_iter().filter_map(|it| it.join().ok());
    let beginning = beginning.filter(|it| it.status == 200 && !it.events().is_empty()).count();
    // Without a kill, the machines are in touch all the time.
    let is_counted = |it: &&TakenUp| !is_killed || it.tries_in_touch > 0;
    let counted: Vec<&TakenUp> = taken_up.iter().filter(is_counted).collect();
    let going_on = counted.iter().filter(|it| it.goes_on).count();
    record.line(&format!(
        "{going_on} of {} streams that were taken up at machines in touch go on; {beginning} of \
         {STREAMS} new ones begin",
        counted.len()
    ));
    let went_on_before = taken_up.len() - counted.len();
    if counted.len() < COUNTED_MIN || beginning == 0 {
        record.line(&format!("too few streams for the rule; {went_on_before} went on before"));
        return ExitCode::from(if went_on_before >= COUNTED_MIN { 0 } else { 2 });
    }
    let share = going_on as f64 / counted.len() as f64;
    if share < beginning as f64 / f64::from(STREAMS) / 2.0 {
        record.line("LOST is broken");
        return ExitCode::from(1);
    }
    record.line("LOST held");
    ExitCode::SUCCESS
}
