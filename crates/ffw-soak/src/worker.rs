//! Stand-ins for backend servers: plain servers, and engines that prefill prompts or decode tokens.
//! They record in one log which plain requests and streams they ran, against which the guarantees
//! are checked.

mod oddity;
mod stream;

pub use {
    oddity::Oddity,
    stream::{MoveAnswer, StreamFraming},
};

use {
    self::stream::Streams,
    crate::{
        caller::CRASHING_PART,
        wire::{self, Exchange, Listener},
    },
    ffw_http::message::Response,
    ffw_runtime::timer,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Number of events of a complete stream.
pub const EVENT_COUNT: u32 = 20;

/// Time from the start of a run that crashes its server, or from its first event, to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Time to prefill a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(20);
/// Time to run a plain request, unless [`Worker::set_plain_time`] sets another one.
const PLAIN_TIME: Duration = Duration::from_millis(15);

/// Which requests a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Plain requests.
    Plain,
    /// Prefills prompts.
    Prefill,
    /// Decodes tokens.
    Decode,
}

/// A request that a server has started to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Name of the server.
    pub server: String,
    /// When the server received it.
    pub received_at: Instant,
    /// Workspace that the request names.
    pub workspace: Option<String>,
    /// Whether the request carries a caller's credentials.
    pub has_credentials: bool,
}

/// The requests that all servers have started, and the number that is running. Clones share the
/// log. Prefills, and decode runs that continue a moved run, are not listed.
#[derive(Clone, Debug, Default)]
pub struct Log {
    runs: Arc<Mutex<Vec<Run>>>,
    crashing: Arc<Mutex<Crashing>>,
    running_count: Arc<AtomicUsize>,
}

/// What requests with the crashing part have done.
#[derive(Clone, Debug, Default)]
pub struct Crashing {
    /// When such requests reached a server, whatever the server had to do.
    pub received_at: Vec<Instant>,
    /// When servers crashed.
    pub crashed_at: Vec<Instant>,
}

impl Log {
    /// Copy of what requests with the crashing part have done so far.
    pub fn crashing(&self) -> Crashing {
        self.lock_crashing().clone()
    }

    fn lock_crashing(&self) -> MutexGuard<'_, Crashing> {
        self.crashing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copy of the runs so far, in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// Number of requests that are running now, without prefills.
    pub fn running_count(&self) -> usize {
        self.running_count.load(Ordering::SeqCst)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a run as running until dropped.
struct RunGuard(Arc<AtomicUsize>);

impl RunGuard {
    fn begin(log: &Log) -> RunGuard {
        log.running_count.fetch_add(1, Ordering::SeqCst);
        RunGuard(log.running_count.clone())
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A stand-in for a backend server. Clones share its state.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the server, which requests carry in `Expect-Instance`.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Which requests it runs.
    pub role: Role,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Whether it rejects each request with 503 and `Not-Executed`, without running it.
    pub is_full: Arc<AtomicBool>,
    /// Whether it closes the connection before the end of a response: without any response to a
    /// plain request, and as soon as more than half of the events of a stream are sent.
    pub aborts_responses: Arc<AtomicBool>,
    /// Time to run a plain request.
    plain_time: Arc<Mutex<Duration>>,
    /// Requests a second that it states to take from all daemons together, as text; `None` if it
    /// states no limit.
    rate_limit: Arc<Mutex<Option<String>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    oddity: Arc<Mutex<Option<Oddity>>>,
    /// Number of requests that were answered oddly.
    odd_turns: Arc<AtomicUsize>,
    /// Its listener, which a crash closes together with all connections.
    listener: Listener,
    streams: Streams,
    log: Log,
}

impl Worker {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(name: &str, service: &str, role: Role, log: &Log) -> io::Result<Worker> {
        let (socket, address) = wire::bind().await?;
        let listener = Listener::default();
        let worker = Worker {
            name: name.into(),
            service: service.into(),
            role,
            address,
            is_full: Arc::default(),
            aborts_responses: Arc::default(),
            plain_time: Arc::new(Mutex::new(PLAIN_TIME)),
            rate_limit: Arc::default(),
            arrivals: Arc::default(),
            oddity: Arc::default(),
            odd_turns: Arc::default(),
            listener: listener.clone(),
            streams: Streams::default(),
            log: log.clone(),
        };
        let worker_clone = worker.clone();
        wire::serve_until_closed(socket, listener, move |exchange| {
            worker_clone.clone().answer(exchange)
        });
        Ok(worker)
    }

    /// Sets the time to run a plain request.
    pub fn set_plain_time(&self, time: Duration) {
        *self.plain_time.lock().unwrap_or_else(PoisonError::into_inner) = time;
    }

    /// States a rate limit in each response from now on, or none.
    pub fn set_rate_limit(&self, per_s: Option<f64>) {
        let text = per_s.map(|per_s| per_s.to_string());
        *self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }

    /// When requests of any kind arrived, whether or not they ran.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn new_head(&self, status: u16) -> Response {
        let mut head = Response::new(status);
        let rate_limit = self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(per_s) = &*rate_limit {
            head.fields.set("Server-Limit", per_s);
        }
        head
    }

    /// Whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.listener.is_closed()
    }

    /// Ends as a server that has left: closes its listener and all connections.
    pub fn exit(&self) {
        self.listener.close();
    }

    fn crash(&self) {
        if !self.listener.is_closed() {
            self.log.lock_crashing().crashed_at.push(Instant::now());
            self.listener.close();
        }
    }

    async fn answer(self, mut exchange: Exchange) -> Option<Exchange> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
        let header = |name: &str| exchange.head.fields.text(name).unwrap_or_default().to_owned();
        let (id, expected_instance, stage) =
            (header("Request-Id"), header("Expect-Instance"), header("Serving-Stage"));
        if &*exchange.head.target == "/api/report" {
            let body = br#"{"busy":false,"sequence":0}"#;
            exchange.answer(self.new_head(200), body).await.ok()?;
            return Some(exchange);
        }
        if &*exchange.head.target == "/api/order" {
            exchange.answer(self.new_head(202), b"").await.ok()?;
            return Some(exchange);
        }
        if &*exchange.head.target == "/api/kv-move" {
            return self.stop_run(exchange).await;
        }
        let mut head = self.new_head(200);
        head.fields.set("Request-Id", &id);
        if expected_instance != self.name || self.is_full.load(Ordering::SeqCst) {
            head = self.new_head(if expected_instance == self.name { 503 } else { 421 });
            head.fields.set("Request-Id", &id);
            head.fields.set("Not-Executed", "1");
            exchange.answer(head, b"").await.ok()?;
            return Some(exchange);
        }
        let is_poisonous = header("Prefix-Hash").contains(CRASHING_PART);
        if is_poisonous {
            self.log.lock_crashing().received_at.push(Instant::now());
        }
        if stage == "prefill" {
            timer::sleep(PREFILL_TIME).await;
            let body = format!(r#"{{"kvHandle":"{id}","tokens":1,"version":1}}"#);
            exchange.answer(head, body.as_bytes()).await.ok()?;
            return Some(exchange);
        }
        head.fields.set("Server-Signature", format!("sig-{}", self.name));
        let is_moved = stream::is_moved(&header("Kv-Source"));
        if !is_moved {
            self.log.lock().push(Run {
                id: id.clone(),
                service: self.service.clone(),
                server: self.name.clone(),
                received_at: Instant::now(),
                workspace: exchange.head.fields.text("Tenant").map(str::to_owned),
                has_credentials: exchange.head.fields.has("Authorization"),
            });
        }
        let _run_guard = RunGuard::begin(&self.log);
        self.repeat_refusal(&mut exchange).await?;
        if is_poisonous && !self.streams.crashes_after_event() {
            timer::sleep(CRASH_DELAY).await;
            self.crash();
            return None;
        }
        match self.role {
            Role::Plain => self.run_plain(exchange, head, &id).await,
            Role::Prefill | Role::Decode => {
                self.run_stream(exchange, head, &id, is_poisonous).await
            }
        }
    }

    async fn run_plain(self, mut exchange: Exchange, head: Response, id: &str) -> Option<Exchange> {
        let time = *self.plain_time.lock().unwrap_or_else(PoisonError::into_inner);
        timer::sleep(time).await;
        if self.aborts_responses.load(Ordering::SeqCst) {
            return None;
        }
        let body = format!("{id} by {}", self.service);
        exchange.answer(head, body.as_bytes()).await.ok()?;
        Some(exchange)
    }
}
