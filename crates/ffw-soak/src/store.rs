//! Stand-in for the object store of the platform: objects by kind and name with one revision
//! counter, and watches. It can drop its history, lose the responses to writes, leave watches
//! unanswered, and be restored from an earlier copy of itself; outages are injected by a
//! [`Proxy`](crate::proxy::Proxy) in front of it.

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
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Interval at which a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    /// Number that each response states and that rises with each restore; 0 if none is stated.
    era: u64,
}

/// Takes one off a number; returns whether there was one left.
fn take(number: &AtomicU64) -> bool {
    let order = Ordering::SeqCst;
    number.fetch_update(order, order, |count| count.checked_sub(1)).is_ok()
}

/// The objects of a store at one revision.
#[derive(Clone, Debug)]
pub struct Snapshot {
    revision: u64,
    objects: Vec<Object>,
}

/// The store. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    loses_responses: Arc<AtomicBool>,
    /// Time by which each response is late, in milliseconds.
    response_delay_ms: Arc<AtomicU64>,
    /// Number of calls of [`Store::silence_watches`]. A watch that began before the last one is
    /// never answered.
    silences: Arc<AtomicU64>,
    /// Time after which each response is sent once more, in milliseconds; 0 if it is not.
    repeat_after_ms: Arc<AtomicU64>,
    /// Whether calls that arrive are never answered, and earlier ones not yet.
    is_silent: Arc<AtomicBool>,
    /// Number of further lists that are never answered.
    unanswered_lists: Arc<AtomicU64>,
    /// Number of further lists of which only the first half is sent.
    cut_lists: Arc<AtomicU64>,
    /// Number of further writes that are never answered, nor executed.
    unanswered_writes: Arc<AtomicU64>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

impl Object {
    fn json(&self) -> Value {
        json!({"metadata": {"name": self.name, "revision": self.revision}, "spec": self.spec})
    }
}

impl Store {
    /// Starts an empty store on a free loopback port and returns its address.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start() -> io::Result<(Store, SocketAddr)> {
        let (listener, address) = wire::bind().await?;
        let store = Store::default();
        store.lock().revision = 1;
        let store_clone = store.clone();
        wire::serve(listener, move |exchange| store_clone.clone().answer(exchange));
        Ok((store, address))
    }

    /// Writes an object with a new revision, whether or not it exists.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let object = Object { kind: kind.into(), name: name.into(), revision, spec };
        state.objects.retain(|object| object.kind != kind || object.name != name);
        state.objects.push(object.clone());
        state.history.push(Event { object, deleted: false });
    }

    /// Removes an object and returns whether it existed.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.lock();
        let position =
            state.objects.iter().position(|object| object.kind == kind && object.name == name);
        let Some(index) = position else { return false };
        let mut object = state.objects.remove(index);
        state.revision += 1;
        object.revision = state.revision;
        state.history.push(Event { object, deleted: true });
        true
    }

    /// Drops the history of changes, so that a watch from an older revision gets 410 and its client
    /// has to list again.
    pub fn compact(&self) {
        self.lock().history.clear();
    }

    /// Sets the era that each response states from now on.
    pub fn set_era(&self, era: u64) {
        self.lock().era = era;
    }

    /// Takes a snapshot of the objects.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.lock();
        Snapshot { revision: state.revision, objects: state.objects.clone() }
    }

    /// Restores the objects and the revision of a snapshot, in the next era. What was written since
    /// is lost.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut state = self.lock();
        state.revision = snapshot.revision;
        state.objects = snapshot.objects.clone();
        state.history.clear();
        state.era += 1;
    }

    /// Writes those objects of a snapshot that are missing or have another content now, except the
    /// daemons' own kinds, whose names begin with `own_prefix`.
    pub fn rewrite(&self, snapshot: &Snapshot, own_prefix: &str) {
        let of_others =
            snapshot.objects.iter().filter(|object| !object.kind.starts_with(own_prefix));
        for object in of_others {
            let current = self.get(&object.kind, &object.name).1;
            if current["spec"] != object.spec {
                self.put(&object.kind, &object.name, object.spec.clone());
            }
        }
    }

    /// Name and content of each object of a kind.
    pub fn objects(&self, kind: &str) -> Vec<(String, Value)> {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|object| object.kind == kind);
        of_kind.map(|object| (object.name.clone(), object.spec.clone())).collect()
    }

    /// Sets whether writes are applied but their connection is closed without a response.
    pub fn set_loses_responses(&self, loses: bool) {
        self.loses_responses.store(loses, Ordering::SeqCst);
    }

    /// Delays each response from now on.
    pub fn set_response_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.response_delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Leaves the watches that are open now unanswered, on connections that stay open. Later calls
    /// are answered.
    pub fn silence_watches(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Sends each response once more after a time, on the same connection.
    pub fn set_repeat_after(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.repeat_after_ms.store(millis, Ordering::SeqCst);
    }

    /// Falls silent, or answers again. Calls that arrive in a silence are never answered, on
    /// connections that stay open; watches that were open before are answered after it.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Leaves the next lists unanswered, on connections that stay open. Other calls are answered.
    pub fn leave_lists_unanswered(&self, count: u64) {
        self.unanswered_lists.store(count, Ordering::SeqCst);
    }

    /// Sends only the first half of each of the next lists, on connections that stay open.
    pub fn cut_lists(&self, count: u64) {
        self.cut_lists.store(count, Ordering::SeqCst);
    }

    /// Neither executes nor answers the next writes, on connections that stay open.
    pub fn leave_writes_unanswered(&self, count: u64) {
        self.unanswered_writes.store(count, Ordering::SeqCst);
    }

    /// Number of reads, watches included, that have arrived.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }

    /// Number of writes that have arrived, refused ones included.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::SeqCst)
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
        self.reads.fetch_add(u64::from(!is_write), Ordering::SeqCst);
        self.writes.fetch_add(u64::from(is_write), Ordering::SeqCst);
        if self.is_silent.load(Ordering::SeqCst) {
            return smol::future::pending().await;
        }
        let is_list = !is_write && name.is_none() && !query.contains("watch=");
        let (status, body) = match (&*exchange.head.method, name) {
            ("GET", None) if query.contains("watch=") => self.watch(&kind, query).await,
            ("GET", None) if take(&self.unanswered_lists) => return smol::future::pending().await,
            ("GET", None) => (200, self.list(&kind)),
            ("GET", Some(name)) => self.get(&kind, &name),
            (method, _) if method != "GET" && take(&self.unanswered_writes) => {
                return smol::future::pending().await;
            }
            ("DELETE", Some(name)) => match self.remove(&kind, &name) {
                true => (200, json!({})),
                false => (404, json!({})),
            },
            (method, name) => self.write(method == "POST", &kind, name, &exchange.body),
        };
        if is_write && self.loses_responses.load(Ordering::SeqCst) {
            return None;
        }
        timer::sleep(Duration::from_millis(self.response_delay_ms.load(Ordering::SeqCst))).await;
        let body = body.to_string();
        let mut head = Response::new(status);
        let era = self.lock().era;
        if era > 0 {
            head.fields.set("Store-Era", era.to_string());
        }
        if is_list && take(&self.cut_lists) {
            exchange.answer_half(head, body.as_bytes()).await.ok()?;
            return smol::future::pending().await;
        }
        exchange.answer(head.clone(), body.as_bytes()).await.ok()?;
        let repeat_after_ms = self.repeat_after_ms.load(Ordering::SeqCst);
        if repeat_after_ms > 0 {
            timer::sleep(Duration::from_millis(repeat_after_ms)).await;
            exchange.answer(head, body.as_bytes()).await.ok()?;
        }
        Some(exchange)
    }

    fn list(&self, kind: &str) -> Value {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|object| object.kind == kind);
        let items: Vec<Value> = of_kind.map(Object::json).collect();
        json!({"items": items, "hasMore": false, "at": state.revision})
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        let state = self.lock();
        let object = state.objects.iter().find(|object| object.kind == kind && object.name == name);
        object.map_or((404, json!({})), |object| (200, object.json()))
    }

    fn write(
        &self,
        is_create: bool,
        kind: &str,
        name: Option<String>,
        body: &[u8],
    ) -> (u16, Value) {
        let Ok(document) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let body_name = document["metadata"]["name"].as_str().map(str::to_owned);
        let Some(name) = name.or(body_name) else { return (400, json!({})) };
        let (status, current) = self.get(kind, &name);
        let expected = document["metadata"]["revision"].as_u64();
        let is_stale = expected.is_some() && current["metadata"]["revision"].as_u64() != expected;
        match (is_create, status) {
            (true, 200) => return (409, current),
            (false, 404) => return (404, json!({})),
            _ if is_stale => return (409, current),
            _ => {}
        }
        self.put(kind, &name, document["spec"].clone());
        self.get(kind, &name)
    }

    async fn watch(&self, kind: &str, query: &str) -> (u16, Value) {
        let parameter = |name: &str| {
            let value = query.split('&').find_map(|part| part.strip_prefix(name));
            value.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let (since, wait) = (parameter("watch="), Duration::from_millis(parameter("waitMs=")));
        let started_at = Instant::now();
        let silences = self.silences.load(Ordering::SeqCst);
        loop {
            if self.silences.load(Ordering::SeqCst) != silences {
                smol::future::pending::<()>().await;
            }
            if self.is_silent.load(Ordering::SeqCst) {
                timer::sleep(POLL_INTERVAL).await;
                continue;
            }
            if let Some(answer) = self.changes(kind, since) {
                return answer;
            }
            if started_at.elapsed() >= wait {
                return (200, json!({"events": [], "at": self.lock().revision}));
            }
            timer::sleep(POLL_INTERVAL).await;
        }
    }

    fn changes(&self, kind: &str, since: u64) -> Option<(u16, Value)> {
        let state = self.lock();
        if since > state.revision {
            return Some((410, json!({})));
        }
        let first = state.history.first().map_or(state.revision + 1, |event| event.object.revision);
        if since + 1 < first && since < state.revision {
            return Some((410, json!({})));
        }
        let new = state.history.iter().filter(|event| event.object.revision > since);
        let of_kind = new.filter(|event| event.object.kind == kind);
        let events: Vec<Value> = of_kind
            .map(|event| json!({"object": event.object.json(), "deleted": event.deleted}))
            .collect();
        let revision = state.revision;
        (!events.is_empty()).then(|| (200, json!({"events": events, "at": revision})))
    }
}
