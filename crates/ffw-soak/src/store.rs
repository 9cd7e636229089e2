//! A stand-in of the platform's store: objects by kind and name with one revision counter, watches,
//! outages, and writes whose answer is lost.

use {
    crate::wire::{self, Exchange},
    ffw_http::message::Response,
    ffw_runtime::timer,
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Pause between two looks of a watch.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    spec: Value,
}

#[derive(Clone, Debug)]
struct Event {
    object: Object,
    deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    history: Vec<Event>,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    loses_answers: Arc<AtomicBool>,
}

impl Object {
    fn json(&self) -> Value {
        json!({"metadata": {"name": self.name, "revision": self.revision}, "spec": self.spec})
    }
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start() -> io::Result<(Store, SocketAddr)> {
        let (listener, address) = wire::bind().await?;
        let store = Store::default();
        store.lock().revision = 1;
        let serving = store.clone();
        wire::serve(listener, move |exchange| serving.clone().answer(exchange));
        Ok((store, address))
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let object = Object { kind: kind.into(), name: name.into(), revision, spec };
        state.objects.retain(|one| one.kind != kind || one.name != name);
        state.objects.push(object.clone());
        state.history.push(Event { object, deleted: false });
    }

    /// Removes an object; answers whether there was one.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.lock();
        let found = state.objects.iter().position(|one| one.kind == kind && one.name == name);
        let Some(at) = found else { return false };
        let mut object = state.objects.remove(at);
        state.revision += 1;
        object.revision = state.revision;
        state.history.push(Event { object, deleted: true });
        true
    }

    /// Forgets its history, so that watches have to list again.
    pub fn compact(&self) {
        self.lock().history.clear();
    }

    /// Lets the answers of writes be lost, or not any more.
    pub fn lose_answers(&self, loses: bool) {
        self.loses_answers.store(loses, Ordering::SeqCst);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, mut exchange: Exchange) -> Option<Exchange> {
        let target = exchange.head.target.to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let is_write = &*exchange.head.method != "GET";
        let (status, body) = match (&*exchange.head.method, name) {
            ("GET", None) if query.contains("watch=") => self.watch(&kind, query).await,
            ("GET", None) => (200, self.list(&kind)),
            ("GET", Some(name)) => self.get(&kind, &name),
            ("DELETE", Some(name)) => match self.remove(&kind, &name) {
                true => (200, json!({})),
                false => (404, json!({})),
            },
            (method, name) => self.write(method == "POST", &kind, name, &exchange.body),
        };
        if is_write && self.loses_answers.load(Ordering::SeqCst) {
            return None;
        }
        let body = body.to_string();
        exchange.answer(Response::new(status), body.as_bytes()).await.ok()?;
        Some(exchange)
    }

    fn list(&self, kind: &str) -> Value {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|one| one.kind == kind);
        let items: Vec<Value> = of_kind.map(Object::json).collect();
        json!({"items": items, "hasMore": false, "at": state.revision})
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        let state = self.lock();
        let found = state.objects.iter().find(|one| one.kind == kind && one.name == name);
        found.map_or((404, json!({})), |one| (200, one.json()))
    }

    fn write(&self, creates: bool, kind: &str, name: Option<String>, body: &[u8]) -> (u16, Value) {
        let Ok(sent) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let named = sent["metadata"]["name"].as_str().map(str::to_owned);
        let Some(name) = name.or(named) else { return (400, json!({})) };
        let (status, known) = self.get(kind, &name);
        let expected = sent["metadata"]["revision"].as_u64();
        let is_stale = expected.is_some() && known["metadata"]["revision"].as_u64() != expected;
        match (creates, status) {
            (true, 200) => return (409, known),
            (false, 404) => return (404, json!({})),
            _ if is_stale => return (409, known),
            _ => {}
        }
        self.put(kind, &name, sent["spec"].clone());
        self.get(kind, &name)
    }

    async fn watch(&self, kind: &str, query: &str) -> (u16, Value) {
        let number = |name: &str| {
            let found = query.split('&').find_map(|part| part.strip_prefix(name));
            found.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let (since, wait) = (number("watch="), Duration::from_millis(number("waitMs=")));
        let began = Instant::now();
        loop {
            if let Some(answer) = self.changes(kind, since) {
                return answer;
            }
            if began.elapsed() >= wait {
                return (200, json!({"events": [], "at": self.lock().revision}));
            }
            timer::sleep(LOOK).await;
        }
    }

    fn changes(&self, kind: &str, since: u64) -> Option<(u16, Value)> {
        let state = self.lock();
        let first = state.history.first().map_or(state.revision + 1, |one| one.object.revision);
        if since + 1 < first && since < state.revision {
            return Some((410, json!({})));
        }
        let new = state.history.iter().filter(|one| one.object.revision > since);
        let of_kind = new.filter(|one| one.object.kind == kind);
        let events: Vec<Value> = of_kind
            .map(|one| json!({"object": one.object.json(), "deleted": one.deleted}))
            .collect();
        let at = state.revision;
        (!events.is_empty()).then(|| (200, json!({"events": events, "at": at})))
    }
}
