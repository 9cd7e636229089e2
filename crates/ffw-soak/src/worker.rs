//! Stand-ins of backend servers: a plain one, and engines that read prompts or make tokens. Each
//! notes what it ran, so that the promises can be checked.

use {
    crate::wire::{self, Exchange},
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

/// Events of a stream, and the time between two.
pub const EVENTS: u32 = 20;
const EVENT_TIME: Duration = Duration::from_millis(40);

/// Time to read a prompt, and to run a plain request.
const READ_TIME: Duration = Duration::from_millis(20);
const PLAIN_TIME: Duration = Duration::from_millis(15);

/// What a server is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Plain requests.
    Plain,
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Ran {
    /// Id of the request.
    pub id: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Name of the server.
    pub server: String,
    /// When it came.
    pub at: Instant,
}

/// What all servers ran, and how much is running.
#[derive(Clone, Debug, Default)]
pub struct Log {
    ran: Arc<Mutex<Vec<Ran>>>,
    running: Arc<AtomicUsize>,
}

impl Log {
    /// All that was run so far.
    pub fn ran(&self) -> Vec<Ran> {
        self.lock().clone()
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Ran>> {
        self.ran.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn lock(ids: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    ids.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Names a run as going on at its server while it lives.
struct Here {
    ids: Arc<Mutex<Vec<String>>>,
    id: String,
}

impl Drop for Here {
    fn drop(&mut self) {
        lock(&self.ids).retain(|one| *one != self.id);
    }
}

/// Counts a run while it lives.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn begin(log: &Log) -> Running {
        log.running.fetch_add(1, Ordering::SeqCst);
        Running(log.running.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A server.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// What it is for.
    pub work: Work,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Says that it is full, and runs nothing.
    pub is_full: Arc<AtomicBool>,
    /// Breaks its answers off.
    pub breaks_off: Arc<AtomicBool>,
    /// Ids of the runs that go on here, and of those that are to stop because they move.
    here: Arc<Mutex<Vec<String>>>,
    stopping: Arc<Mutex<Vec<String>>>,
    log: Log,
}

/// What a handle of a moved run begins with.
const MOVED: &str = "moved-";

impl Worker {
    /// Starts a server.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(name: &str, service: &str, work: Work, log: &Log) -> io::Result<Worker> {
        let (listener, address) = wire::bind().await?;
        let worker = Worker {
            name: name.into(),
            service: service.into(),
            work,
            address,
            is_full: Arc::default(),
            breaks_off: Arc::default(),
            here: Arc::default(),
            stopping: Arc::default(),
            log: log.clone(),
        };
        let serving = worker.clone();
        wire::serve(listener, move |exchange| serving.clone().answer(exchange));
        Ok(worker)
    }

    async fn answer(self, mut exchange: Exchange) -> Option<Exchange> {
        let text = |name: &str| exchange.head.fields.text(name).unwrap_or_default().to_owned();
        let (id, expected, stage) =
            (text("Request-Id"), text("Expect-Instance"), text("Serving-Stage"));
        if &*exchange.head.target == "/api/report" {
            let body = br#"{"busy":false,"sequence":0}"#;
            exchange.answer(Response::new(200), body).await.ok()?;
            return Some(exchange);
        }
        if &*exchange.head.target == "/api/order" {
            exchange.answer(Response::new(202), b"").await.ok()?;
            return Some(exchange);
        }
        if &*exchange.head.target == "/api/kv-move" {
            return self.stop(exchange).await;
        }
        let mut head = Response::new(200);
        head.fields.set("Request-Id", &id);
        if expected != self.name || self.is_full.load(Ordering::SeqCst) {
            head = Response::new(if expected == self.name { 503 } else { 421 });
            head.fields.set("Request-Id", &id);
            head.fields.set("Not-Executed", "1");
            exchange.answer(head, b"").await.ok()?;
            return Some(exchange);
        }
        if stage == "prefill" {
            timer::sleep(READ_TIME).await;
            let body = format!(r#"{{"kvHandle":"{id}","tokens":1,"version":1}}"#);
            exchange.answer(head, body.as_bytes()).await.ok()?;
            return Some(exchange);
        }
        head.fields.set("Server-Signature", format!("sig-{}", self.name));
        let is_moved = text("Kv-Source").contains(MOVED);
        if !is_moved {
            self.log.lock().push(Ran {
                id: id.clone(),
                service: self.service.clone(),
                server: self.name.clone(),
                at: Instant::now(),
            });
        }
        let _running = Running::begin(&self.log);
        match self.work {
            Work::Plain => self.run_plain(exchange, head, &id).await,
            Work::Prefill | Work::Decode => self.run_stream(exchange, head, &id).await,
        }
    }

    /// Stops a run that is to move; whoever has its handle may go on with it.
    async fn stop(self, mut exchange: Exchange) -> Option<Exchange> {
        let body: serde_json::Value = serde_json::from_slice(&exchange.body).ok()?;
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let is_here = lock(&self.here).contains(&id);
        let (status, answer) = match is_here {
            true => (200, format!(r#"{{"kvHandle":"{MOVED}{id}","created":0}}"#)),
            false => (404, "{}".to_owned()),
        };
        if is_here {
            lock(&self.stopping).push(id);
        }
        exchange.answer(Response::new(status), answer.as_bytes()).await.ok()?;
        Some(exchange)
    }

    async fn run_plain(self, mut exchange: Exchange, head: Response, id: &str) -> Option<Exchange> {
        timer::sleep(PLAIN_TIME).await;
        if self.breaks_off.load(Ordering::SeqCst) {
            return None;
        }
        let body = format!("{id} by {}", self.service);
        exchange.answer(head, body.as_bytes()).await.ok()?;
        Some(exchange)
    }

    async fn run_stream(
        self,
        mut exchange: Exchange,
        mut head: Response,
        id: &str,
    ) -> Option<Exchange> {
        let last = exchange.head.fields.text("Last-Event-Id").and_then(|text| text.parse().ok());
        let first: u32 = last.map_or(0, |last: u32| last + 1);
        head.fields.set("Content-Type", "text/event-stream");
        head.fields.set("Transfer-Encoding", "chunked");
        let mut bytes = head.to_bytes();
        let watcher = exchange.connection.close_watcher();
        lock(&self.here).push(id.to_owned());
        let _here = Here { ids: self.here.clone(), id: id.to_owned() };
        for number in first..EVENTS {
            if lock(&self.stopping).iter().any(|one| one == id) {
                lock(&self.stopping).retain(|one| one != id);
                return None;
            }
            let event = format!("id: {number}\ndata: {id}\n\n");
            bytes.extend(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
            exchange.connection.write(&bytes, wire::SILENCE).await.ok()?;
            bytes.clear();
            if self.breaks_off.load(Ordering::SeqCst) && number > EVENTS / 2 {
                return None;
            }
            // A run ends when its caller has left.
            let gone = async {
                watcher.closed().await;
                true
            };
            let pause = async {
                timer::sleep(EVENT_TIME).await;
                false
            };
            if smol::future::or(gone, pause).await {
                return None;
            }
        }
        exchange.connection.write(b"0\r\n\r\n", wire::SILENCE).await.ok()?;
        Some(exchange)
    }
}
