//! Workers: plain servers and engines, which register themselves in the store.

use {
    crate::{
        json::Json,
        net::{Connection, Head, Server},
        store::Store,
        Record,
    },
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex, OnceLock,
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Period of a worker's beats, `heartbeatMs`.
const BEAT: Duration = Duration::from_millis(1_200);

/// Time to read a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(60);

/// How streams of a decode worker go.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Events of a complete stream.
    pub events: u64,
    /// Time between two events.
    pub gap: Duration,
    /// Event after which a run that began here is preempted, and for how long.
    pub pause: Option<(u64, Duration)>,
    /// Text of an event.
    pub bytes: usize,
}

/// What a worker does beside its work. Clones share it.
#[derive(Clone, Default)]
pub struct Behaviour {
    /// Part of a prompt under which it crashes, as soon as it has written the first event.
    pub crashing_part: Option<&'static str>,
    /// Whether it has no room for copies of runs.
    pub is_full_for_copies: bool,
    /// The limit that it names in its answers, in requests a second.
    pub limit: Option<&'static str>,
    /// Whether its streams have neither a length nor chunks, and end with their connection.
    pub is_unframed: bool,
}

/// All workers, by their addresses: those to which runs are copied.
static WORKERS: Mutex<BTreeMap<String, Arc<Worker>>> = Mutex::new(BTreeMap::new());

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    /// `run`, `prefill`, `go on` or `rejected`.
    pub what: &'static str,
    pub parts: String,
}

/// All arrivals, in order. Clones share them.
#[derive(Clone, Default)]
pub struct Arrivals(pub Arc<Mutex<Vec<Arrival>>>);

/// A run at an engine.
struct Run {
    /// Events that were made.
    made: AtomicU64,
    /// Whether it was told to stop, so that it can go on elsewhere.
    is_stopped: AtomicBool,
}

pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub version: &'static str,
    /// `None` for a plain worker.
    pub stage: Option<&'static str>,
    pub slots: u64,
    pub work: Duration,
    pub pace: Pace,
    pub behaviour: Behaviour,
    server: OnceLock<Server>,
    born: AtomicU64,
    is_leaving: AtomicBool,
    running: AtomicU64,
    sequence: AtomicU64,
    runs: Mutex<BTreeMap<String, Arc<Run>>>,
    /// Runs that were stopped, by their handles.
    handles: Mutex<BTreeMap<String, Arc<Run>>>,
    store: Store,
    arrivals: Arrivals,
    record: Record,
}

/// What a worker is made of.
pub struct Plan {
    pub id: String,
    pub service: &'static str,
    pub version: &'static str,
    pub stage: Option<&'static str>,
    pub slots: u64,
    pub work: Duration,
    pub pace: Pace,
    pub behaviour: Behaviour,
}

/// Number of handles that were given.
static HANDLES: AtomicU64 = AtomicU64::new(0);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Worker {
    /// Starts a worker, which registers itself at once and then beats.
    pub fn start(plan: Plan, store: &Store, arrivals: &Arrivals, record: &Record) -> Arc<Worker> {
        let Plan { id, service, version, stage, slots, work, pace, behaviour } = plan;
        let worker = Arc::new(Worker {
            id,
            service,
            version,
            stage,
            slots,
            work,
            pace,
            behaviour,
            server: OnceLock::new(),
            born: AtomicU64::new(unix_ms()),
            is_leaving: AtomicBool::new(false),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            handles: Mutex::default(),
            store: store.clone(),
            arrivals: arrivals.clone(),
            record: record.clone(),
        });
        let serving = worker.clone();
        let serve = move |connection| {
            let _ = serving.clone().serve(connection);
        };
        worker.server.set(Server::start(Arc::new(serve))).ok();
        WORKERS.lock().unwrap().insert(worker.address().to_string(), worker.clone());
        let beating = worker.clone();
        thread::spawn(move || loop {
            beating.beat();
            thread::sleep(BEAT);
        });
        worker
    }

    pub fn address(&self) -> SocketAddr {
        self.server.get().unwrap().address
    }

    /// Writes its entry, if the store is up. Only what differs from the entry is a change.
    pub fn beat(&self) {
        self.write(true);
    }

    /// Writes its entry as another writer may have it: without `version`.
    pub fn write_without_version(&self) {
        self.write(false);
    }

    fn write(&self, has_version: bool) {
        if !self.store.is_up() || !self.server.get().unwrap().is_up() {
            return;
        }
        let text = |text: &str| Json::Text(text.into());
        let number = |value: u64| Json::Number(value.to_string());
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let mut entry = vec![
            ("service".into(), text(self.service)),
            ("address".into(), text(&self.address().to_string())),
            ("zone".into(), text("akl-a")),
            ("version".into(), text(self.version)),
            ("slots".into(), number(self.slots)),
            ("state".into(), text(state)),
            ("coldRemainingMs".into(), number(0)),
            ("born".into(), number(self.born.load(Ordering::SeqCst))),
            ("sequence".into(), number(self.sequence.load(Ordering::SeqCst))),
        ];
        if !has_version {
            entry.retain(|(name, _)| name != "version");
        }
        if let Some(stage) = self.stage {
            let model = vec![
                ("name".into(), text("m")),
                ("version".into(), number(1)),
                ("adapters".into(), Json::List(Vec::new())),
            ];
            entry.push(("stage".into(), text(stage)));
            entry.push(("models".into(), Json::List(vec![Json::Table(model)])));
        }
        self.store.put("servers", &self.id, Json::Table(entry));
    }

    /// Reports `draining`; from then on all its answers say so too.
    pub fn drain(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.beat();
        self.record
            .line(&format!("worker {}: reports draining, the store has accepted it", self.id));
    }

    /// Crashes, and is back after `down` as a new incarnation under its id.
    fn crash(self: &Arc<Worker>, down: Duration) {
        self.record.line(&format!("worker {}: crashes", self.id));
        self.server.get().unwrap().stop();
        self.runs.lock().unwrap().clear();
        self.handles.lock().unwrap().clear();
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            worker.born.store(unix_ms(), Ordering::SeqCst);
            worker.server.get().unwrap().restart();
            worker.record.line(&format!("worker {}: is back", worker.id));
            worker.beat();
        });
    }

    /// Fields that all its answers have.
    fn fields(&self) -> String {
        let mut fields = String::new();
        if self.is_leaving.load(Ordering::SeqCst) {
            fields.push_str("Server-Leaving: 1\r\n");
        }
        if let Some(limit) = self.behaviour.limit {
            fields.push_str(&format!("Server-Limit: {limit}\r\n"));
        }
        fields
    }

    fn arrived(&self, head: &Head, what: &'static str) {
        let id = head.field("request-id").unwrap_or_default().to_owned();
        let parts = head.field("prefix-hash").unwrap_or_default().to_owned();
        let from = head
            .field("last-event-id")
            .map_or(String::new(), |last| format!(" after event {last}"));
        self.record.line(&format!("worker {}: request {id}: {what}{from}", self.id));
        let at_ms = self.record.ms();
        self.arrivals.0.lock().unwrap().push(Arrival { at_ms, id, what, parts });
    }

    fn serve(self: Arc<Worker>, mut connection: Connection) -> io::Result<()> {
        loop {
            let head = connection.head()?;
            let body = connection.body(&head)?;
            let expected = head.field("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let fields = format!("Instance-Id: {}\r\n", self.id);
                connection.respond("421 Misdirected Request", &fields, "")?;
                continue;
            }
            if head.target().starts_with("/api/") {
                self.control(&mut connection, &head, &body)?;
            } else if self.stage.is_none() {
                self.plain(&mut connection, &head)?;
            } else if head.field("serving-stage") == Some("prefill") {
                self.prefill(&mut connection, &head)?;
            } else if !self.decode(&mut connection, &head)? {
                return Ok(());
            }
        }
    }

    fn control(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> io::Result<()> {
        let json = format!("{}Content-Type: application/json\r\n", self.fields());
        let running = self.running.load(Ordering::SeqCst);
        if head.target() == "/api/report" {
            let stage = self.stage.unwrap_or_default();
            let report = format!(
                "{{\"stage\":\"{stage}\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\
                 \"running\":{running},\"kvUsed\":0,\"kvTotal\":72680,\"kvHandles\":0}}"
            );
            return connection.respond("200 OK", &json, &report);
        }
        if head.target() != "/api/kv-move" {
            return connection.respond("200 OK", &json, "{}");
        }
        let call = std::str::from_utf8(body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        let id = call.get("id").and_then(Json::text).unwrap_or_default();
        let Some(run) = self.runs.lock().unwrap().get(id).cloned() else {
            self.record.line(&format!("worker {}: move of {id}: 404", self.id));
            return connection.respond("404 Not Found", &json, "{}");
        };
        run.is_stopped.store(true, Ordering::SeqCst);
        let made = run.made.load(Ordering::SeqCst);
        let count = HANDLES.fetch_add(1, Ordering::SeqCst);
        let handle = format!("{:016x}", unix_ms() << 16 ^ count);
        let target = call.get("target").and_then(Json::text).unwrap_or_default();
        let copied = WORKERS.lock().unwrap().get(target).cloned();
        let copied = copied.filter(|target| !target.behaviour.is_full_for_copies);
        // The source keeps the memory until it is taken or freed.
        self.handles.lock().unwrap().insert(handle.clone(), run.clone());
        let (status, outcome) = match &copied {
            Some(target) => {
                target.handles.lock().unwrap().insert(handle.clone(), run);
                ("200 OK", format!("copied to {}, 200", target.id))
            }
            None => {
                ("503 Service Unavailable", "no room at the target, 503 with the handle".into())
            }
        };
        self.record
            .line(&format!("worker {}: move of {id}: {outcome}, {made} events made", self.id));
        let answer = format!("{{\"kvHandle\":\"{handle}\",\"created\":{made}}}");
        connection.respond(status, &json, &answer)
    }

    fn answer_fields(&self, head: &Head) -> String {
        let id = head.field("request-id").unwrap_or_default();
        format!("Request-Id: {id}\r\nServer-Signature: {}.{id}\r\n{}", self.id, self.fields())
    }

    /// Rejects a request for lack of a slot; returns whether it did.
    fn is_full(&self, connection: &mut Connection, head: &Head) -> io::Result<bool> {
        if self.running.fetch_add(1, Ordering::SeqCst) < self.slots {
            return Ok(false);
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.arrived(head, "rejected");
        let id = head.field("request-id").unwrap_or_default();
        let fields = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n{}", self.fields());
        connection.respond("503 Service Unavailable", &fields, "")?;
        Ok(true)
    }

    fn plain(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        if self.is_full(connection, head)? {
            return Ok(());
        }
        self.arrived(head, "run");
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let body = format!("done by {}\n", self.id);
        connection.respond("200 OK", &self.answer_fields(head), &body)
    }

    fn prefill(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        if self.stage != Some("prefill") {
            return connection.respond("421 Misdirected Request", "", "");
        }
        self.arrived(head, "prefill");
        thread::sleep(PREFILL_TIME);
        let handle = format!("{:016x}", unix_ms());
        let body = format!("{{\"kvHandle\":\"{handle}\",\"tokens\":100,\"version\":1}}");
        let fields = format!("{}Content-Type: application/json\r\n", self.answer_fields(head));
        connection.respond("200 OK", &fields, &body)
    }

    /// Runs a stream; returns whether the connection can carry another request.
    fn decode(self: &Arc<Worker>, connection: &mut Connection, head: &Head) -> io::Result<bool> {
        if self.stage != Some("decode") {
            connection.respond("421 Misdirected Request", "", "")?;
            return Ok(true);
        }
        let id = head.field("request-id").unwrap_or_default().to_owned();
        let source = head.field("kv-source").and_then(|source| source.split_once('/'));
        // A handle of a run that was moved: its copy is here, or it was stopped here.
        let kept = source.and_then(|(_, handle)| self.handles.lock().unwrap().remove(handle));
        let is_going_on = kept.is_some();
        if self.is_full(connection, head)? {
            return Ok(true);
        }
        self.arrived(head, if is_going_on { "go on" } else { "run" });
        let ended = self.stream(connection, head, &id);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.runs.lock().unwrap().remove(&id);
        ended
    }

    fn stream(
        self: &Arc<Worker>,
        connection: &mut Connection,
        head: &Head,
        id: &str,
    ) -> io::Result<bool> {
        let last = head.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let run = Arc::new(Run { made: AtomicU64::new(last), is_stopped: AtomicBool::new(false) });
        self.runs.lock().unwrap().insert(id.into(), run.clone());
        let framing = match self.behaviour.is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n{}\r\n",
            self.answer_fields(head)
        );
        let mut bytes = answer_head.into_bytes();
        let parts = head.field("prefix-hash").unwrap_or_default();
        let crashes = self.behaviour.crashing_part.is_some_and(|part| parts.contains(part));
        for event in last + 1..=self.pace.events {
            let pause = match self.pace.pause {
                Some((after, pause)) if event == after + 1 && last == 0 => {
                    self.record.line(&format!(
                        "worker {}: request {id}: preempted for {} ms after event {after}",
                        self.id,
                        pause.as_millis()
                    ));
                    self.pace.gap + pause
                }
                _ => self.pace.gap,
            };
            if !self.wait(pause, connection, &run) {
                let cause = match run.is_stopped.load(Ordering::SeqCst) {
                    true => "stopped by a move, its stream closed without an end",
                    false => "dropped, as its connection was closed",
                };
                self.record.line(&format!(
                    "worker {}: request {id}: {cause}, {} events made",
                    self.id,
                    event - 1
                ));
                return Ok(false);
            }
            let data = format!("{} {}", self.version, "x".repeat(self.pace.bytes));
            let text = format!("id: {event}\ndata: {data}\n\n");
            match self.behaviour.is_unframed {
                true => bytes.extend(text.bytes()),
                false => bytes.extend(format!("{:x}\r\n{text}\r\n", text.len()).bytes()),
            }
            connection.write(&bytes)?;
            bytes.clear();
            run.made.store(event, Ordering::SeqCst);
            if crashes {
                thread::sleep(Duration::from_millis(5));
                self.crash(Duration::from_millis(2_500));
                return Ok(false);
            }
        }
        self.record.line(&format!("worker {}: request {id}: ran to its end", self.id));
        if !self.behaviour.is_unframed {
            connection.write(b"0\r\n\r\n")?;
        }
        Ok(!self.behaviour.is_unframed)
    }

    /// Waits; returns false if the run ends early.
    fn wait(&self, span: Duration, connection: &Connection, run: &Run) -> bool {
        let until = std::time::Instant::now() + span;
        loop {
            let is_over = run.is_stopped.load(Ordering::SeqCst)
                || !self.server.get().unwrap().is_up()
                || connection.is_closed();
            if is_over {
                return false;
            }
            let left = until.saturating_duration_since(std::time::Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(Duration::from_millis(5)));
        }
    }
}
