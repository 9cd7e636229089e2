//! The platform's store: objects by kind and name, with one revision counter, lists and watches.

use {
    crate::{
        json::Json,
        net::{Connection, Head, Server},
        Record,
    },
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

impl Object {
    fn json(&self) -> Json {
        let number = |value: u64| Json::Number(value.to_string());
        Json::Table(vec![
            (
                "metadata".into(),
                Json::Table(vec![
                    ("name".into(), Json::Text(self.name.clone())),
                    ("revision".into(), number(self.revision)),
                    ("created".into(), number(self.created)),
                    ("finalizers".into(), Json::List(Vec::new())),
                    ("deletionPending".into(), Json::Bool(false)),
                ]),
            ),
            ("spec".into(), self.spec.clone()),
            ("status".into(), self.status.clone()),
        ])
    }
}

/// What a restore brings back.
#[derive(Clone)]
pub struct Copy {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
}

struct State {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    /// First revision of which the changes are known.
    history_from: u64,
    /// Changes: the object, and whether it was removed.
    history: Vec<(Object, bool)>,
    /// Number of restores, and one more.
    era: u64,
    is_up: bool,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    server: Arc<Server>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let state = State {
            objects: BTreeMap::new(),
            revision: 10,
            history_from: 10,
            history: Vec::new(),
            era: 1,
            is_up: true,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let served = state.clone();
        let server = Server::start(Arc::new(move |connection| {
            let _ = serve(&served, connection);
        }));
        let address = server.address;
        Store { state, server: Arc::new(server), record: record.clone(), address }
    }

    /// Writes an object as the operator or a worker does; no change if it is the same.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let _ = put(&mut state, kind, name, spec, None);
        changed.notify_all();
    }

    pub fn is_up(&self) -> bool {
        self.state.0.lock().unwrap().is_up
    }

    /// A copy, from which it may come back later.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        self.record.line(&format!("store: a copy is made at revision {}", state.revision));
        Copy { objects: state.objects.clone(), revision: state.revision }
    }

    /// Goes away: its listener and connections close.
    pub fn go_away(&self) {
        self.record.line("store: away");
        self.state.0.lock().unwrap().is_up = false;
        self.server.stop();
        self.state.1.notify_all();
    }

    /// Comes back, from a copy if there is one. Then its era rises, and revisions are given out again.
    pub fn come_back(&self, copy: Option<&Copy>) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(copy) = copy {
            state.objects = copy.objects.clone();
            state.revision = copy.revision;
            state.history_from = copy.revision;
            state.history.clear();
            state.era += 1;
        }
        state.is_up = true;
        self.record.line(&format!("store: back, Store-Era {}", state.era));
        drop(state);
        self.server.restart();
    }

    /// Number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.objects.keys().filter(|(of, _)| of == kind).count()
    }
}

fn put(
    state: &mut State,
    kind: &str,
    name: &str,
    spec: Json,
    expected: Option<u64>,
) -> Result<Object, Object> {
    let key = (kind.to_owned(), name.to_owned());
    let before = state.objects.get(&key).cloned();
    if let (Some(expected), Some(before)) = (expected, &before) {
        if before.revision != expected {
            return Err(before.clone());
        }
    }
    if let Some(before) = &before {
        if before.spec == spec {
            return Ok(before.clone());
        }
    }
    state.revision += 1;
    let revision = state.revision;
    let created = before.as_ref().map_or(revision, |before| before.created);
    let status = before.map_or(Json::Null, |before| before.status);
    let object = Object { kind: kind.into(), name: name.into(), revision, created, spec, status };
    state.objects.insert(key, object.clone());
    state.history.push((object.clone(), false));
    Ok(object)
}

fn remove(state: &mut State, kind: &str, name: &str) -> Option<Object> {
    let mut object = state.objects.remove(&(kind.to_owned(), name.to_owned()))?;
    state.revision += 1;
    object.revision = state.revision;
    state.history.push((object.clone(), true));
    Some(object)
}

fn serve(shared: &(Mutex<State>, Condvar), mut connection: Connection) -> io::Result<()> {
    loop {
        let head = connection.head()?;
        let body = connection.body(&head)?;
        let (status, answer) = answer(shared, &head, &body);
        let (era, is_up) = {
            let state = shared.0.lock().unwrap();
            (state.era, state.is_up)
        };
        if !is_up {
            return Ok(());
        }
        let fields = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        connection.respond(status, &fields, &answer)?;
    }
}

const MISSING: (&str, &str) = ("404 Not Found", "{}");

fn answer(shared: &(Mutex<State>, Condvar), head: &Head, body: &[u8]) -> (&'static str, String) {
    let (lock, changed) = shared;
    let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
    let parameter = |name: &str| {
        let found = query.split('&').filter_map(|pair| pair.split_once('='));
        found.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let parts: Vec<&str> = path.trim_start_matches("/api/objects/").split('/').collect();
    let kind = parts[0];
    let name = parts.get(1).copied();
    let sent = std::str::from_utf8(body).ok().and_then(Json::parse);
    let metadata = sent.as_ref().and_then(|sent| sent.get("metadata"));
    let revision = metadata.and_then(|metadata| metadata.get("revision")).and_then(Json::number);
    let revision = revision.or(parameter("revision").and_then(|text| text.parse().ok()));
    let spec = sent.as_ref().and_then(|sent| sent.get("spec")).cloned().unwrap_or(Json::Null);
    let mut state = lock.lock().unwrap();
    match (head.method(), name) {
        ("GET", Some(name)) => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", object.json().write()),
            None => (MISSING.0, MISSING.1.into()),
        },
        ("GET", None) => match parameter("watch").and_then(|text| text.parse::<u64>().ok()) {
            Some(since) => {
                let wait = parameter("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let era = state.era;
                loop {
                    if state.era != era || since > state.revision || since < state.history_from {
                        return ("410 Gone", "{}".into());
                    }
                    let is_news =
                        |entry: &&(Object, bool)| entry.0.kind == kind && entry.0.revision > since;
                    let news: Vec<Json> = state.history.iter().filter(is_news).map(event).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !news.is_empty() || left.is_zero() || !state.is_up {
                        let at = Json::Number(state.revision.to_string());
                        let page = vec![("events".into(), Json::List(news)), ("at".into(), at)];
                        return ("200 OK", Json::Table(page).write());
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            None => {
                let after = parameter("after").unwrap_or_default();
                let listed = state.objects.values();
                let listed = listed.filter(|object| object.kind == kind && object.name > after);
                let items = listed.map(Object::json).collect();
                let page = vec![
                    ("items".into(), Json::List(items)),
                    ("hasMore".into(), Json::Bool(false)),
                    ("at".into(), Json::Number(state.revision.to_string())),
                ];
                ("200 OK", Json::Table(page).write())
            }
        },
        ("POST", None) => {
            let name = metadata.and_then(|metadata| metadata.get("name")).and_then(Json::text);
            let name = name.unwrap_or_default().to_owned();
            if let Some(object) = state.objects.get(&(kind.to_owned(), name.clone())) {
                return ("409 Conflict", object.json().write());
            }
            let written = put(&mut state, kind, &name, spec, None);
            changed.notify_all();
            ("201 Created", written.map_or_else(|is| is.json(), |is| is.json()).write())
        }
        ("PUT", Some(name)) => {
            if !state.objects.contains_key(&(kind.to_owned(), name.to_owned())) {
                return (MISSING.0, MISSING.1.into());
            }
            let written = put(&mut state, kind, name, spec, revision);
            changed.notify_all();
            match written {
                Ok(object) => ("200 OK", object.json().write()),
                Err(object) => ("409 Conflict", object.json().write()),
            }
        }
        ("DELETE", Some(name)) => {
            let key = (kind.to_owned(), name.to_owned());
            let Some(object) = state.objects.get(&key) else {
                return (MISSING.0, MISSING.1.into());
            };
            if revision.is_some_and(|revision| revision != object.revision) {
                return ("409 Conflict", object.json().write());
            }
            let removed = remove(&mut state, kind, name);
            changed.notify_all();
            ("200 OK", removed.map_or("{}".into(), |object| object.json().write()))
        }
        _ => ("400 Bad Request", "{}".into()),
    }
}

fn event(entry: &(Object, bool)) -> Json {
    Json::Table(vec![("deleted".into(), Json::Bool(entry.1)), ("object".into(), entry.0.json())])
}
