//! The platform's store: objects by kind and name, with revisions, conditional writes and watches.

use {
    crate::{
        http::{Connection, Message, response},
        json::Json,
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Condvar, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Clone)]
struct Event {
    kind: String,
    name: String,
    object: Stored,
    is_deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: Vec<Event>,
}

/// A store that answers on a loopback port.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// While set, calls of the system get no answer.
    is_silent: AtomicBool,
}

impl Store {
    /// Starts a store.
    ///
    /// # Panics
    /// No port is free.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        let shared = Arc::new(Shared::default());
        shared.lock().revision = 100;
        let store = Store { address, shared };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.lock();
        state.write(kind, name, spec);
        let revision = state.revision;
        drop(state);
        self.shared.changed.notify_all();
        revision
    }

    /// Removes an object as a server does.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.lock().remove(kind, name);
        self.shared.changed.notify_all();
    }

    /// Number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        self.shared.lock().objects.keys().filter(|(listed, _)| listed == kind).count()
    }

    /// Content of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        self.shared.lock().objects.get(&key).map(|object| object.spec.clone())
    }

    /// Makes the store silent for the system, or lets it answer again.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    fn is_silent(&self) -> bool {
        self.shared.is_silent.load(Ordering::SeqCst)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request() {
            let answer = if self.is_silent() { None } else { self.answer(&request) };
            let Some((status, body)) = answer else {
                // No answer any more on this connection.
                while connection.fill().is_ok_and(|is_open| is_open) {}
                return;
            };
            let fields = [("Content-Type", "application/json")];
            if connection.write(&response(status, &fields, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let path = request.path().strip_prefix("/api/objects/").unwrap_or_default().to_owned();
        let mut parts = path.splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        match (request.method(), name) {
            ("GET", None) => match request.query("watch") {
                Some(since) => self.watch(&kind, since.parse().unwrap_or(0), request),
                None => Some(self.list(&kind)),
            },
            ("GET", Some(name)) => {
                let state = self.shared.lock();
                Some(match state.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, render(&name, object)),
                    None => (404, "{}".into()),
                })
            }
            ("POST", None) => Some(self.write(&kind, None, &request.body)),
            ("PUT", Some(name)) => Some(self.write(&kind, Some(name), &request.body)),
            ("DELETE", Some(name)) => {
                let mut state = self.shared.lock();
                let found = state.remove(&kind, &name);
                drop(state);
                self.shared.changed.notify_all();
                Some(if found { (200, "{}".into()) } else { (404, "{}".into()) })
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.shared.lock();
        let of_kind = state.objects.iter().filter(|((listed, _), _)| listed == kind);
        let items: Vec<String> = of_kind.map(|((_, name), object)| render(name, object)).collect();
        let at = state.revision;
        (200, format!("{{\"items\":[{}],\"hasMore\":false,\"at\":{at}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, since: u64, request: &Message) -> Option<(u16, String)> {
        let wait = request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.lock();
        loop {
            if self.is_silent() {
                return None;
            }
            let is_new = |event: &&Event| event.kind == kind && event.object.revision > since;
            let events: Vec<String> = state
                .history
                .iter()
                .filter(is_new)
                .map(|event| {
                    let object = render(&event.name, &event.object);
                    format!("{{\"deleted\":{},\"object\":{object}}}", event.is_deleted)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return Some((200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","))));
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, body: &[u8]) -> (u16, String) {
        let Some(object) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".into());
        };
        let metadata = object.get("metadata");
        let of_body = metadata.and_then(|metadata| metadata.get("name")).and_then(Json::text);
        let is_create = name.is_none();
        let Some(name) = name.or(of_body.map(str::to_owned)) else { return (400, "{}".into()) };
        let revision = metadata.and_then(|metadata| metadata.get("revision"));
        let expected = revision.and_then(Json::number);
        let spec = object.get("spec").cloned().unwrap_or(Json::Null).to_string();
        let mut state = self.shared.lock();
        let present = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        match (&present, is_create) {
            (Some(present), true) => return (409, render(&name, present)),
            (None, false) => return (404, "{}".into()),
            (Some(present), false) if expected.is_some_and(|it| it != present.revision) => {
                return (409, render(&name, present));
            }
            (Some(present), false) if present.spec == spec => return (200, render(&name, present)),
            _ => {}
        }
        let written = state.write(kind, &name, &spec);
        drop(state);
        self.shared.changed.notify_all();
        (if is_create { 201 } else { 200 }, render(&name, &written))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> Stored {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(self.revision, |object| object.created);
        let object = Stored { revision: self.revision, created, spec: spec.to_owned() };
        self.objects.insert(key, object.clone());
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.history.push(Event { kind, name, object: object.clone(), is_deleted: false });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = self.objects.remove(&key) else { return false };
        self.revision += 1;
        object.revision = self.revision;
        let (kind, name) = key;
        self.history.push(Event { kind, name, object, is_deleted: true });
        true
    }
}

fn render(name: &str, object: &Stored) -> String {
    let Stored { revision, created, spec } = object;
    let name = Json::Text(name.to_owned());
    format!(
        "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"created\":{created},\
         \"finalizers\":[],\"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
