//! Stand-in for the platform's store: objects by kind and name, pages, watches, conditional writes.

use super::{
    http::{self, Connection, Request, answer},
    json::Value,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Objects in a page of a list at most ("about 500").
pub const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    created: u64,
    revision: u64,
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        let Object { name, created, revision, spec, .. } = self;
        let name = Value::Text(name.clone());
        format!(
            "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"created\":{created},\
             \"finalizers\":[],\"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    history: Vec<(Object, bool)>,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Time that an answer takes, in milliseconds; watches and other writes are answered at once.
    pub read_ms: Arc<AtomicU64>,
    /// Whether calls that arrive get no answer, now or later; their connections stay open.
    pub is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Store {
        let (listener, address) = http::bind();
        let store = Store {
            address,
            state: Arc::default(),
            read_ms: Arc::new(AtomicU64::new(4)),
            is_silent: Arc::default(),
        };
        store.state.lock().unwrap().revision = 100;
        let serving = store.clone();
        http::serve(listener, move |request, connection| serving.serve(request, connection));
        store
    }

    /// Writes an object, unless it is the same already; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let found = state.objects.iter().position(|o| o.kind == kind && o.name == name);
        if let Some(index) = found
            && state.objects[index].spec == spec
        {
            return state.objects[index].revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = found.map_or(revision, |index| state.objects[index].created);
        let (kind, name, spec) = (kind.to_owned(), name.to_owned(), spec.to_owned());
        let object = Object { kind, name, created, revision, spec };
        match found {
            Some(index) => state.objects[index] = object.clone(),
            None => state.objects.push(object.clone()),
        }
        state.history.push((object, false));
        revision
    }

    /// Removes an object; returns whether it was there.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let found = state.objects.iter().position(|o| o.kind == kind && o.name == name);
        let Some(index) = found else { return false };
        let mut object = state.objects.remove(index);
        state.revision += 1;
        object.revision = state.revision;
        state.history.push((object, true));
        true
    }

    fn remove_after(&self, delay: Duration, kind: &str, name: &str) -> bool {
        let was_there = self.remove(kind, name);
        thread::sleep(delay);
        was_there
    }

    fn serve(&self, request: &Request, connection: &mut Connection) -> bool {
        if self.is_silent.load(Ordering::SeqCst) {
            while !connection.is_closed() {
                thread::sleep(Duration::from_millis(50));
            }
            return false;
        }
        let (path, query) = match request.head.target().split_once('?') {
            Some((path, query)) => (path, query),
            None => (request.head.target(), ""),
        };
        let parameter = |name: &str| {
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        };
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(|name| name.trim_end_matches("/status").to_owned());
        let delay = Duration::from_millis(self.read_ms.load(Ordering::SeqCst));
        let (status, body) = match (request.head.method(), name) {
            ("GET", None) if parameter("watch").is_some() => {
                let since = parameter("watch").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = parameter("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(&kind, since, Duration::from_millis(wait))
            }
            ("GET", None) => {
                let listed = self.list(&kind, parameter("after").unwrap_or(""));
                thread::sleep(delay);
                (200, listed)
            }
            ("GET", Some(name)) => {
                let read = self.get(&kind, &name);
                thread::sleep(delay);
                read
            }
            ("DELETE", Some(name)) => match self.remove_after(delay, &kind, &name) {
                true => (200, "{}".to_owned()),
                false => (404, "{}".to_owned()),
            },
            (method, name) => self.write(method == "POST", &kind, name, &request.body),
        };
        let fields = [("Content-Type", "application/json")];
        connection.write(&answer(status, &fields, body.as_bytes())).is_ok()
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let mut of_kind: Vec<&Object> =
            state.objects.iter().filter(|o| o.kind == kind && o.name.as_str() > after).collect();
        of_kind.sort_by(|a, b| a.name.cmp(&b.name));
        let has_more = of_kind.len() > PAGE;
        let items: Vec<String> = of_kind.iter().take(PAGE).map(|object| object.json()).collect();
        let (items, at) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"at\":{at}}}")
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found = state.objects.iter().find(|o| o.kind == kind && o.name == name);
        found.map_or((404, "{}".to_owned()), |object| (200, object.json()))
    }

    fn write(&self, is_new: bool, kind: &str, name: Option<String>, body: &[u8]) -> (u16, String) {
        let document = Value::parse(&String::from_utf8_lossy(body));
        let metadata = document.get("metadata");
        let name = name.unwrap_or_else(|| metadata.get("name").text().to_owned());
        let (status, current) = self.get(kind, &name);
        let expected = metadata.get("revision").number();
        let now = Value::parse(&current).get("metadata").get("revision").number();
        match (is_new, status) {
            (true, 200) => return (409, current),
            (false, 404) => return (404, current),
            (false, _) if expected.is_some() && expected != now => return (409, current),
            _ => {}
        }
        self.put(kind, &name, &document.get("spec").to_string());
        self.get(kind, &name)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let begun = Instant::now();
        loop {
            {
                let state = self.state.lock().unwrap();
                if since > state.revision {
                    return (410, "{}".to_owned());
                }
                let new =
                    state.history.iter().filter(|(o, _)| o.revision > since && o.kind == kind);
                let events: Vec<String> = new
                    .map(|(object, deleted)| {
                        format!("{{\"deleted\":{deleted},\"object\":{}}}", object.json())
                    })
                    .collect();
                let is_silent = self.is_silent.load(Ordering::SeqCst);
                if !is_silent && (!events.is_empty() || begun.elapsed() >= wait) {
                    let (events, at) = (events.join(","), state.revision);
                    return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
