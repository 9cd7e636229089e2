//! Callers that keep their connections for many requests, and note what they got.

use {
    crate::wire::SILENCE,
    ffw_http::{
        connection::Connection,
        framing::{Decoder, Framing},
    },
    ffw_runtime::{meter::Wire, timer},
    rand::Rng as _,
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time for which a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(4_000);

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run once at most.
    Once,
    /// May run again.
    Again,
    /// A stream that may not be resumed.
    Stream,
    /// A stream that may be resumed.
    Resumable,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Once, Kind::Again, Kind::Stream, Kind::Resumable];

    /// Path of its route.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Once => "/once/",
            Kind::Again => "/again/",
            Kind::Stream => "/stream/",
            Kind::Resumable => "/resumable/",
        }
    }
}

/// What a caller got for one request.
#[derive(Clone, Debug)]
pub struct Got {
    /// Id of the request.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// When it was sent.
    pub at: Instant,
    /// Status; none if no answer came.
    pub status: Option<u16>,
    /// Whether the answer was whole.
    pub is_whole: bool,
    /// Its body.
    pub body: String,
}

/// What all callers got.
#[derive(Clone, Debug, Default)]
pub struct Book(Arc<Mutex<Vec<Got>>>);

impl Book {
    /// All answers so far.
    pub fn all(&self) -> Vec<Got> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn note(&self, got: Got) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(got);
    }
}

/// Sends requests to the daemons until it is told to stop.
pub async fn run(
    number: usize,
    daemons: Vec<SocketAddr>,
    book: Book,
    stop: Arc<AtomicBool>,
    mut random: ChaCha8Rng,
) {
    let mut kept: Option<Connection> = None;
    let mut sequence = 0;
    while !stop.load(Ordering::SeqCst) {
        sequence += 1;
        let kind = Kind::ALL[random.gen_range(0..Kind::ALL.len())];
        let id = format!("{number:x}-{sequence:x}");
        let daemon = daemons[random.gen_range(0..daemons.len())];
        let mut got = Got {
            id,
            kind,
            at: Instant::now(),
            status: None,
            is_whole: false,
            body: String::new(),
        };
        if kept.is_none() {
            kept = Connection::open(daemon, Wire::Request, DEADLINE, SILENCE).await.ok();
        }
        if let Some(connection) = kept.take() {
            got.at = Instant::now();
            let asking = ask(connection, &mut got);
            kept = timer::timeout(DEADLINE, asking).await.flatten();
        }
        book.note(got);
        timer::sleep(Duration::from_millis(random.gen_range(5..60))).await;
    }
}

/// Makes one request; gives the connection back if it takes another one.
async fn ask(mut connection: Connection, got: &mut Got) -> Option<Connection> {
    let (path, id) = (got.kind.path(), &got.id);
    let head = format!(
        "POST {path}x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 100,1000\r\nDeadline-Ms: {}\r\nContent-Length: 2\r\n\r\nhi",
        DEADLINE.as_millis()
    );
    connection.write(head.as_bytes(), SILENCE).await.ok()?;
    let answer = connection.read_response(64 << 10).await.ok()?;
    got.status = Some(answer.status);
    let framing = Framing::of_response(&answer, "POST").ok()?;
    let mut decoder = Decoder::new(framing);
    while let Some(part) = connection.read_part(&mut decoder).await.ok()? {
        got.body.push_str(&String::from_utf8_lossy(&part));
    }
    got.is_whole = true;
    answer.keeps_connection().then_some(connection)
}
