//! Callers: each sends requests of random kinds to the daemons, one at a time, reuses its
//! connection for as long as it stays open, and records the outcome of each request.

mod take_up;

pub use take_up::TakeUp;

use {
    crate::{wire::IO_TIMEOUT, worker::EVENT_COUNT},
    ffw_http::{
        connection::Connection,
        framing::{Decoder, Framing},
    },
    ffw_runtime::{executor, meter::Wire, timer},
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        ops::Range,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Timeout of the routes, which the requests state as their deadline as well.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time for which a caller waits for a connection, and then for the whole response: the timeout of
/// the routes, and the time within which a request that has reached it must have ended.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Kind of a request, by which each has a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A plain request that may run at most once.
    Once,
    /// A plain request that may run several times.
    Again,
    /// A stream that may not be resumed.
    Stream,
    /// A stream that may be resumed.
    Resumable,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Once, Kind::Again, Kind::Stream, Kind::Resumable];

    /// Path prefix of its route.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Once => "/once/",
            Kind::Again => "/again/",
            Kind::Stream => "/stream/",
            Kind::Resumable => "/resumable/",
        }
    }
}

/// Outcome of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Whether its prompt has the part under which servers crash.
    pub is_poisonous: bool,
    /// The stream that it takes up, if any.
    pub take_up: Option<TakeUp>,
    /// Number of events after which its caller closes the connection.
    pub leaves_after: Option<u32>,
    /// Whether its caller has done so.
    pub has_left: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time until the response was whole, the connection ended, or [`RESPONSE_TIMEOUT`] had passed.
    pub took: Duration,
    /// Status of the response; `None` if no response head arrived.
    pub status: Option<u16>,
    /// Whether the body arrived completely.
    pub is_whole: bool,
    /// Body of the response, as far as it arrived.
    pub body: String,
}

impl Outcome {
    /// An outcome of a request that is not sent yet.
    fn new(id: String, kind: Kind, is_poisonous: bool) -> Outcome {
        Outcome {
            id,
            kind,
            is_poisonous,
            take_up: None,
            leaves_after: None,
            has_left: false,
            sent_at: Instant::now(),
            took: Duration::ZERO,
            status: None,
            is_whole: false,
            body: String::new(),
        }
    }

    /// Id of the request that brought the first event of its stream, or its own.
    pub fn origin(&self) -> &str {
        self.take_up.as_ref().map_or(&self.id, |take_up| &take_up.origin)
    }

    /// Number and data of each event that arrived completely; none if its status is not 200.
    pub fn events(&self) -> impl Iterator<Item = (u32, &str)> {
        let length = self.body.rfind("\n\n").filter(|_| self.status == Some(200)).unwrap_or(0);
        self.body[..length].split("\n\n").filter_map(|event| {
            let (id, data) = event.split_once('\n')?;
            Some((id.strip_prefix("id: ")?.parse().ok()?, data.strip_prefix("data: ")?))
        })
    }
}

/// Part of a prompt under which a decode server crashes as soon as it begins to answer.
pub const CRASHING_PART: &str = "bad0";

/// Of the streams, one in this number has the crashing part, if any has.
const POISONOUS_SHARE: u32 = 6;

/// Pause of a caller after a request, in milliseconds.
const PAUSE_MS: Range<u64> = 5..60;

/// The same with [`Habits::only_bookings`], so that a daemon is at times without a request.
const BOOKING_PAUSE_MS: Range<u64> = 100..400;

/// Options of all callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// Whether some streams have the crashing part in their prompts.
    pub sends_crashing_part: bool,
    /// Whether they send only plain requests that may run once, each on a connection of its own.
    pub only_bookings: bool,
    /// Whether they leave some streams, and take those that ended early up at other daemons.
    pub takes_up: bool,
    /// Whether they come back to daemons that have just started.
    pub persists: bool,
}

/// Outcomes of the requests of all callers. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct Outcomes(Arc<Mutex<Vec<Outcome>>>);

impl Outcomes {
    /// Copy of the outcomes so far, in the order in which the requests ended.
    pub fn all(&self) -> Vec<Outcome> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record(&self, outcome: Outcome) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
    }
}

/// Sends requests until `stop` is set; each new connection goes to a randomly chosen daemon.
/// `caller_index` makes the request ids unique among the callers.
pub async fn run(
    caller_index: usize,
    daemons: Vec<SocketAddr>,
    outcomes: Outcomes,
    stop: Arc<AtomicBool>,
    mut random: ChaCha8Rng,
    habits: Habits,
) {
    // Drawn apart, so that the other draws of a seed stay as they are.
    let mut poison = ChaCha8Rng::seed_from_u64(caller_index as u64);
    let mut departures = ChaCha8Rng::seed_from_u64(!(caller_index as u64));
    let mut open_connection: Option<Connection> = None;
    let mut sequence = 0;
    while !stop.load(Ordering::SeqCst) {
        sequence += 1;
        let mut kind = Kind::ALL[random.gen_range(0..Kind::ALL.len())];
        if habits.only_bookings {
            kind = Kind::Once;
        }
        let id = format!("{caller_index:x}-{sequence:x}");
        let daemon = daemons[random.gen_range(0..daemons.len())];
        let is_stream = matches!(kind, Kind::Stream | Kind::Resumable);
        let is_poisonous =
            habits.sends_crashing_part && is_stream && poison.gen_range(0..POISONOUS_SHARE) == 0;
        let mut outcome = Outcome::new(id, kind, is_poisonous);
        if habits.takes_up && kind == Kind::Resumable {
            outcome.leaves_after = take_up::draw_departure(&mut departures);
        }
        attempt(&mut open_connection, daemon, &mut outcome, habits).await;
        while let Some(take_up) = TakeUp::after(&outcome, habits).filter(|_| habits.takes_up) {
            sequence += 1;
            let mut next =
                Outcome::new(format!("{caller_index:x}-{sequence:x}"), kind, is_poisonous);
            next.take_up = Some(take_up);
            outcomes.record(std::mem::replace(&mut outcome, next));
            open_connection = None;
            timer::sleep(take_up::draw_pause(&mut departures)).await;
            let daemon = daemons[departures.gen_range(0..daemons.len())];
            attempt(&mut open_connection, daemon, &mut outcome, habits).await;
        }
        outcomes.record(outcome);
        let pause_ms = if habits.only_bookings { BOOKING_PAUSE_MS } else { PAUSE_MS };
        timer::sleep(Duration::from_millis(random.gen_range(pause_ms))).await;
    }
}

/// Sends streams with the crashing part to the daemons in turn, one each `period`, until `stop` is
/// set. They share their first part with the first caller.
pub async fn run_crashing(
    daemons: Vec<SocketAddr>,
    outcomes: Outcomes,
    stop: Arc<AtomicBool>,
    period: Duration,
    habits: Habits,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let daemon = daemons[number % daemons.len()];
        let mut outcome = Outcome::new(format!("0-bad{number:x}"), Kind::Stream, true);
        let outcomes = outcomes.clone();
        executor::detach(async move {
            attempt(&mut None, daemon, &mut outcome, habits).await;
            outcomes.record(outcome);
        });
        timer::sleep(period).await;
    }
}

/// Sends one request, on the open connection or a new one to `daemon`, and reads the response.
async fn attempt(
    open_connection: &mut Option<Connection>,
    daemon: SocketAddr,
    outcome: &mut Outcome,
    habits: Habits,
) {
    outcome.sent_at = Instant::now();
    if open_connection.is_none() {
        *open_connection =
            Connection::open(daemon, Wire::Request, RESPONSE_TIMEOUT, IO_TIMEOUT).await.ok();
    }
    if let Some(connection) = open_connection.take() {
        outcome.sent_at = Instant::now();
        let sending = send_request(connection, outcome);
        let kept = timer::timeout(RESPONSE_TIMEOUT, sending).await.flatten();
        outcome.took = outcome.sent_at.elapsed();
        *open_connection = kept.filter(|_| !habits.only_bookings);
    }
}

/// Sends one request and reads the response into `outcome`. Returns the connection if it can be
/// used for another request.
async fn send_request(mut connection: Connection, outcome: &mut Outcome) -> Option<Connection> {
    let (path, id) = (outcome.kind.path(), &outcome.id);
    // The first part is the caller's; the last one is the request's own.
    let origin = outcome.origin();
    let (caller, own) = origin.split_once('-').unwrap_or((origin, "0"));
    let take_up = outcome.take_up.as_ref().map(TakeUp::fields).unwrap_or_default();
    let crashing = if outcome.is_poisonous { CRASHING_PART } else { "feed" };
    let head = format!(
        "POST {path}x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 100,1000\r\nPrefix-Hash: ca{caller}:40,{crashing}:40,{own}:20\r\n\
         {take_up}Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\nhi",
        ROUTE_TIMEOUT.as_millis()
    );
    connection.write(head.as_bytes(), IO_TIMEOUT).await.ok()?;
    let response = connection.read_response(64 << 10).await.ok()?;
    outcome.status = Some(response.status);
    let framing = Framing::of_response(&response, "POST").ok()?;
    let mut decoder = Decoder::new(framing);
    while let Some(chunk) = connection.read_part(&mut decoder).await.ok()? {
        outcome.body.push_str(&String::from_utf8_lossy(&chunk));
        let count = outcome.events().count() as u32;
        if outcome.leaves_after.is_some_and(|events| count >= events) && count < EVENT_COUNT {
            outcome.has_left = true;
            return None;
        }
    }
    outcome.is_whole = true;
    response.keeps_connection().then_some(connection)
}
