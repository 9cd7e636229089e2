//! A backend server: a plain one, or an engine that prefills or decodes.

use {
    crate::{
        http::{Connection, Message, response},
        record::Record,
        store::Store,
    },
    std::{
        io,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// What a server does with a request that it runs: writes the response to the connection.
pub type Behaviour =
    Arc<dyn Fn(&Worker, &Message, &mut Connection) -> io::Result<()> + Send + Sync>;

/// What a server answers to an order to move a run: status and body.
pub type MoveBehaviour = Arc<dyn Fn(&Worker, &Message) -> (u16, String) + Send + Sync>;

/// What a server says of itself in its entry.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub stage: Option<&'static str>,
    pub software: String,
    pub slots: u32,
}

#[derive(Clone)]
pub struct Worker {
    pub entry: Entry,
    pub address: SocketAddr,
    pub born: u64,
    pub record: Record,
    pub store: Store,
    behaviour: Behaviour,
    on_move: Arc<Mutex<Option<MoveBehaviour>>>,
    is_leaving: Arc<AtomicBool>,
    runs: Arc<AtomicU64>,
    process: Arc<Mutex<Process>>,
}

/// What ends with the process.
#[derive(Default)]
struct Process {
    is_up: bool,
    connections: Vec<TcpStream>,
}

fn lock(process: &Mutex<Process>) -> std::sync::MutexGuard<'_, Process> {
    process.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    /// Starts a server on a free port and writes its entry.
    ///
    /// # Panics
    /// No port is free.
    pub fn start(store: &Store, record: &Record, entry: Entry, behaviour: Behaviour) -> Worker {
        Worker::start_at(store, record, entry, behaviour, "127.0.0.1:0".parse().expect("address"))
    }

    /// Starts a server at an address and writes its entry.
    ///
    /// # Panics
    /// The address is in use.
    pub fn start_at(
        store: &Store,
        record: &Record,
        entry: Entry,
        behaviour: Behaviour,
        address: SocketAddr,
    ) -> Worker {
        let worker = Worker::start_unannounced(store, record, entry, behaviour, address);
        worker.announce("ready");
        worker
    }

    /// Starts a server at an address, without an entry.
    ///
    /// # Panics
    /// The address is in use.
    pub fn start_unannounced(
        store: &Store,
        record: &Record,
        entry: Entry,
        behaviour: Behaviour,
        address: SocketAddr,
    ) -> Worker {
        let listener = TcpListener::bind(address).expect("the address is in use");
        let address = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("a listener can be set non-blocking");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let worker = Worker {
            entry,
            address,
            born: born as u64,
            record: record.clone(),
            store: store.clone(),
            behaviour,
            on_move: Arc::default(),
            is_leaving: Arc::default(),
            runs: Arc::default(),
            process: Arc::new(Mutex::new(Process { is_up: true, connections: Vec::new() })),
        };
        let accepting = worker.clone();
        thread::spawn(move || accepting.accept(&listener));
        worker
    }

    /// Writes the entry with a state.
    pub fn announce(&self, state: &str) {
        let Entry { id, service, stage, software, slots } = &self.entry;
        let engine = stage.map_or(String::new(), |stage| {
            format!(
                ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
            )
        });
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"mu-west-a\",\
             \"version\":\"{software}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"born\":{},\"sequence\":0{engine}}}",
            self.address, self.born
        );
        self.store.put("servers", id, &spec);
    }

    /// Sets what it answers to an order to move a run.
    pub fn set_move_behaviour(&self, on_move: MoveBehaviour) {
        *self.on_move.lock().unwrap_or_else(PoisonError::into_inner) = Some(on_move);
    }

    /// Makes it leave: it says so in its entry and in all its answers.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.announce("draining");
        self.record.line(&format!("server {} reports that it is draining", self.entry.id));
    }

    /// Fields of all its answers.
    pub fn common_fields(&self) -> &'static str {
        if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn write_answer(
        &self,
        connection: &mut Connection,
        status: u16,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut fields = fields.to_vec();
        if self.is_leaving.load(Ordering::SeqCst) {
            fields.push(("Server-Leaving", "1"));
        }
        connection.write(&response(status, &fields, body))
    }

    /// Number of requests that it began to run.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    /// Ends the process at once: its connections end, and its address accepts none.
    pub fn kill(&self) {
        let mut process = lock(&self.process);
        process.is_up = false;
        for stream in process.connections.drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        drop(process);
        thread::sleep(Duration::from_millis(30));
        self.record.line(&format!("server {} was killed", self.entry.id));
    }

    fn accept(&self, listener: &TcpListener) {
        while lock(&self.process).is_up {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    let mut process = lock(&self.process);
                    process.connections.retain(|open| open.peer_addr().is_ok());
                    process.connections.extend(stream.try_clone());
                    drop(process);
                    let worker = self.clone();
                    thread::spawn(move || worker.serve(Connection::new(stream)));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request() {
            if self.answer(&request, &mut connection).is_err() {
                connection.stream.shutdown(Shutdown::Both).ok();
                return;
            }
        }
    }

    fn answer(&self, request: &Message, connection: &mut Connection) -> io::Result<()> {
        let id = request.field("request-id").unwrap_or_default().to_owned();
        let expected = request.field("expect-instance");
        if expected.is_some_and(|expected| expected != self.entry.id) {
            let fields = [("Request-Id", &*id), ("Instance-Id", &*self.entry.id)];
            return self.write_answer(connection, 421, &fields, b"");
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => {
                self.write_answer(connection, 200, &[("Instance-Id", &self.entry.id)], b"")
            }
            ("GET", "/api/report") => {
                let body = format!(
                    "{{\"stage\":\"{}\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\
                     \"running\":0,\"kvUsed\":0,\"kvTotal\":86766,\"kvHandles\":0,\"born\":{}}}",
                    self.entry.stage.unwrap_or("decode"),
                    self.born
                );
                let fields = [("Content-Type", "application/json")];
                self.write_answer(connection, 200, &fields, body.as_bytes())
            }
            ("POST", "/api/order") => {
                self.record.line(&format!(
                    "server {} got the order {}",
                    self.entry.id,
                    String::from_utf8_lossy(&request.body)
                ));
                self.write_answer(connection, 202, &[], b"")
            }
            ("POST", "/api/kv-move") => {
                let on_move = self.on_move.lock().unwrap_or_else(PoisonError::into_inner).clone();
                let (status, body) =
                    on_move.map_or((404, "{}".into()), |on_move| on_move(self, request));
                self.record.line(&format!(
                    "server {} got the order to move {} and answers {status} {body}",
                    self.entry.id,
                    String::from_utf8_lossy(&request.body)
                ));
                let fields = [("Content-Type", "application/json")];
                self.write_answer(connection, status, &fields, body.as_bytes())
            }
            ("DELETE", _) if request.path().starts_with("/api/") => {
                self.write_answer(connection, 200, &[], b"")
            }
            _ if request.field("serving-stage") == Some("prefill") => {
                let body = format!("{{\"kvHandle\":\"h{id}\",\"tokens\":1,\"version\":1}}");
                let fields = [("Request-Id", &*id), ("Content-Type", "application/json")];
                self.write_answer(connection, 200, &fields, body.as_bytes())
            }
            _ => {
                self.runs.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "server {} (software {}) runs {id} after event {} with {} ms left",
                    self.entry.id,
                    self.entry.software,
                    request.field("last-event-id").unwrap_or("none"),
                    request.field("deadline-ms").unwrap_or("no"),
                ));
                (self.behaviour)(self, request, connection)
            }
        }
    }
}

/// Writes the head of an event stream in chunks.
///
/// # Errors
/// The connection has failed.
pub fn write_stream_head(
    worker: &Worker,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    let id = request.field("request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.{}\r\nWeight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        worker.entry.id,
        worker.common_fields()
    );
    connection.write(head.as_bytes())
}

/// Writes one event.
///
/// # Errors
/// The connection has failed, or the other side has closed it.
pub fn write_event(worker: &Worker, connection: &mut Connection, number: u64) -> io::Result<()> {
    if connection.is_closed() {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let event = format!("id: {number}\ndata: piece {number} of {}\n\n", worker.entry.software);
    connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

/// Writes the end of a chunked body.
///
/// # Errors
/// The connection has failed.
pub fn write_end(connection: &mut Connection) -> io::Result<()> {
    connection.write(b"0\r\n\r\n")
}

/// The event after which a stream goes on; 0 for a new one.
pub fn last_event(request: &Message) -> u64 {
    request.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Streams events up to `count`, one each `gap`.
pub fn sound_stream(count: u64, gap: Duration) -> Behaviour {
    Arc::new(move |worker, request, connection| {
        write_stream_head(worker, request, connection)?;
        for number in last_event(request) + 1..=count {
            thread::sleep(gap);
            write_event(worker, connection, number)?;
        }
        write_end(connection)
    })
}

/// Answers a plain request after `work`.
pub fn sound_plain(work: Duration) -> Behaviour {
    Arc::new(move |worker, request, connection| {
        thread::sleep(work);
        let id = request.field("request-id").unwrap_or_default();
        let signature = format!("s.{}", worker.entry.id);
        let fields = [("Request-Id", id), ("Server-Signature", &*signature)];
        connection.write(&response(200, &fields, format!("answer to {id}").as_bytes()))
    })
}
