//! The platform: an object API with versions, conditional update and watch, and an instance list
//! that lags.

use {
    crate::route,
    ffw_http::{
        body::{self, Writer},
        server::{self, CallerConnection, Handle, Limits},
    },
    ffw_protocol::{
        error::{Error, Kind},
        instance::Instance,
    },
    ffw_runtime::{executor, timer},
    http_types::{Method, Request, Response},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    smol::net::TcpListener,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Events that a watch can go back over.
const LOG_LENGTH: usize = 4_096;

/// Pause between two looks of a watch at the log.
const WATCH_PAUSE: Duration = Duration::from_millis(5);

/// Period of bookmarks on a silent watch.
const BOOKMARK_PERIOD: Duration = Duration::from_secs(1);

/// Faults to bring about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503, and watches end.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Writes still to come whose answer is lost after they have taken effect.
    pub lost_answers: u32,
    /// Delay until a change of the instance list shows, in milliseconds.
    pub instance_lag_ms: u64,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Gets and lists.
    pub reads: u64,
    /// Creates, updates and deletes.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Bytes of the bodies of writes.
    pub written_bytes: u64,
}

#[derive(Clone, Debug)]
struct Stored {
    kind: Arc<str>,
    name: Arc<str>,
    version: u64,
    spec: Value,
}

impl Stored {
    fn json(&self) -> Value {
        json!({
            "metadata": { "name": self.name, "resourceVersion": self.version.to_string() },
            "spec": self.spec,
        })
    }
}

#[derive(Clone, Debug)]
struct Logged {
    version: u64,
    kind: Arc<str>,
    line: Arc<str>,
}

#[derive(Debug, Default)]
struct Data {
    version: u64,
    objects: Vec<Stored>,
    log: VecDeque<Logged>,
    faults: Faults,
    counters: Counters,
}

/// The platform's state, shared by its handlers.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    data: Arc<Mutex<Data>>,
}

#[derive(Deserialize)]
struct Written {
    metadata: WrittenMetadata,
    spec: Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WrittenMetadata {
    name: Arc<str>,
    #[serde(default)]
    resource_version: Arc<str>,
}

/// A write that was refused.
#[derive(Clone, Copy, Debug)]
struct Denial {
    status: u16,
    reason: &'static str,
}

impl Data {
    fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|one| (&*one.kind, &*one.name).cmp(&(kind, name)))
    }

    fn record(&mut self, change: &str, stored: &Stored) {
        let line = json!({ "type": change, "object": stored.json() }).to_string() + "\n";
        let (version, kind) = (stored.version, stored.kind.clone());
        self.log.push_back(Logged { version, kind, line: line.into() });
        if self.log.len() > LOG_LENGTH {
            self.log.pop_front();
        }
    }

    fn create(&mut self, kind: &str, name: &str, spec: Value) -> Result<Value, Denial> {
        let Err(at) = self.find(kind, name) else {
            return Err(Denial { status: 409, reason: "exists already" });
        };
        self.version += 1;
        let stored = Stored { kind: kind.into(), name: name.into(), version: self.version, spec };
        self.record("ADDED", &stored);
        let answer = stored.json();
        self.objects.insert(at, stored);
        Ok(answer)
    }

    fn update(&mut self, kind: &str, written: Written) -> Result<Value, Denial> {
        let Ok(at) = self.find(kind, &written.metadata.name) else {
            return Err(Denial { status: 404, reason: "no such object" });
        };
        if self.objects[at].version.to_string() != *written.metadata.resource_version {
            return Err(Denial { status: 409, reason: "at another version" });
        }
        self.version += 1;
        self.objects[at].version = self.version;
        self.objects[at].spec = written.spec;
        let stored = self.objects[at].clone();
        self.record("MODIFIED", &stored);
        Ok(stored.json())
    }

    fn delete(&mut self, kind: &str, name: &str) -> Result<Value, Denial> {
        let Ok(at) = self.find(kind, name) else {
            return Err(Denial { status: 404, reason: "no such object" });
        };
        self.version += 1;
        let mut stored = self.objects.remove(at);
        stored.version = self.version;
        self.record("DELETED", &stored);
        Ok(stored.json())
    }

    fn list(&self, kind: &str, prefix: &str) -> Value {
        let of_kind = self.objects.iter().filter(|one| &*one.kind == kind);
        let items: Vec<Value> =
            of_kind.filter(|one| one.name.starts_with(prefix)).map(Stored::json).collect();
        let version = self.version.to_string();
        json!({ "metadata": { "name": kind, "resourceVersion": version }, "items": items })
    }
}

impl Platform {
    /// Serves until the handle stops.
    pub async fn serve(self, listener: TcpListener, handle: Handle) {
        let handler = move |request, _: CallerConnection| self.clone().handle(request);
        server::serve(listener, Limits::default(), handle, handler).await;
    }

    /// Sets the faults to bring about.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Calls counted so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Puts an instance on the list, after the lag.
    pub fn put_instance(&self, instance: Instance) {
        self.after_lag(move |data| {
            let spec = serde_json::to_value(&instance).unwrap_or_default();
            match data.find("instances", &instance.name) {
                Ok(at) => {
                    let version = data.objects[at].version.to_string().into();
                    let metadata =
                        WrittenMetadata { name: instance.name, resource_version: version };
                    drop(data.update("instances", Written { metadata, spec }));
                }
                Err(_) => drop(data.create("instances", &instance.name, spec)),
            }
        });
    }

    /// Takes an instance off the list, after the lag.
    pub fn remove_instance(&self, name: &str) {
        let name: Arc<str> = name.into();
        self.after_lag(move |data| drop(data.delete("instances", &name)));
    }

    fn after_lag(&self, change: impl FnOnce(&mut Data) + Send + 'static) {
        let lag = Duration::from_millis(self.lock().faults.instance_lag_ms);
        if lag.is_zero() {
            change(&mut self.lock());
            return;
        }
        let platform = self.clone();
        executor::detach(async move {
            timer::sleep(lag).await;
            change(&mut platform.lock());
        });
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        if path.starts_with("/control/") {
            return route::answer(self.control(&mut request, &path).await);
        }
        let faults = self.lock().faults;
        timer::sleep(Duration::from_millis(faults.slow_ms)).await;
        if self.lock().faults.outage {
            return route::status(503, "outage");
        }
        route::answer(self.call(&mut request, &path).await)
    }

    async fn control(&self, request: &mut Request, path: &str) -> Result<Response, Error> {
        match (request.method(), path) {
            (Method::Get, "/control/counters") => {
                return Ok(server::json_response(200, &self.counters()));
            }
            (Method::Post, "/control/faults") => self.set_faults(route::body(request).await?),
            (Method::Post, "/control/instances") => self.put_instance(route::body(request).await?),
            (Method::Delete, _) => {
                self.remove_instance(path.trim_start_matches("/control/instances/"));
            }
            _ => return Err(Error::new(Kind::NotFound, path)),
        }
        Ok(server::json_response(200, &json!({})))
    }

    async fn call(&self, request: &mut Request, path: &str) -> Result<Response, Error> {
        let unknown = || Error::new(Kind::NotFound, path);
        let rest = path.strip_prefix("/apis/fireflyworks.example/v1/").ok_or_else(unknown)?;
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        match request.method() {
            Method::Get if route::query(request, "watch").is_some() => self.watch(request, kind),
            Method::Get if name.is_empty() => {
                let prefix = route::query(request, "prefix").unwrap_or_default();
                let mut data = self.lock();
                data.counters.reads += 1;
                Ok(server::json_response(200, &data.list(kind, &prefix)))
            }
            Method::Get => {
                let mut data = self.lock();
                data.counters.reads += 1;
                let found = data.find(kind, name).map(|at| data.objects[at].json());
                Ok(found.map_or_else(
                    |_| route::status(404, "no such object"),
                    |object| server::json_response(200, &object),
                ))
            }
            _ => self.write(request, kind, name).await,
        }
    }

    async fn write(
        &self,
        request: &mut Request,
        kind: &str,
        name: &str,
    ) -> Result<Response, Error> {
        let method = request.method();
        let length = request.len().unwrap_or(0) as u64;
        let written: Option<Written> = match method {
            Method::Delete => None,
            _ => Some(route::body(request).await?),
        };
        let (result, is_lost) = {
            let mut data = self.lock();
            data.counters.writes += 1;
            data.counters.written_bytes += length;
            let result = match written {
                None => data.delete(kind, name),
                Some(written) if method == Method::Post => {
                    data.create(kind, &written.metadata.name, written.spec)
                }
                Some(written) => data.update(kind, written),
            };
            let is_lost = result.is_ok() && data.faults.lost_answers > 0;
            if is_lost {
                data.faults.lost_answers -= 1;
            }
            (result, is_lost)
        };
        if is_lost {
            // Longer than any client waits.
            timer::sleep(Duration::from_secs(5)).await;
            return Ok(route::status(500, "lost"));
        }
        Ok(match result {
            Ok(object) => server::json_response(200, &object),
            Err(denial) => route::status(denial.status, denial.reason),
        })
    }

    fn watch(&self, request: &Request, kind: &str) -> Result<Response, Error> {
        let after = route::query(request, "resourceVersion").unwrap_or_default();
        let after: u64 =
            after.parse().map_err(|_| Error::new(Kind::Malformed, "bad resourceVersion"))?;
        let mut data = self.lock();
        data.counters.watches += 1;
        let oldest = data.log.front().map_or(0, |logged| logged.version);
        if data.log.len() == LOG_LENGTH && after < oldest {
            return Ok(route::status(410, "too old"));
        }
        let (writer, feed) = body::channel();
        executor::detach(self.clone().feed_watch(writer, kind.into(), after));
        Ok(server::stream_response("application/json", feed))
    }

    async fn feed_watch(self, writer: Writer, kind: Arc<str>, mut after: u64) {
        let mut silent = Duration::ZERO;
        loop {
            let (lines, last, outage) = {
                let data = self.lock();
                let newer = data.log.iter().rev().take_while(|logged| logged.version > after);
                let mut lines: Vec<Arc<str>> =
                    newer.filter(|one| one.kind == kind).map(|one| one.line.clone()).collect();
                lines.reverse();
                (lines, data.version, data.faults.outage)
            };
            if outage {
                return;
            }
            after = last;
            silent = if lines.is_empty() { silent + WATCH_PAUSE } else { Duration::ZERO };
            for line in lines {
                if writer.write(line.as_bytes().to_vec()).await.is_err() {
                    return;
                }
            }
            if silent >= BOOKMARK_PERIOD {
                silent = Duration::ZERO;
                if writer.write(b"{\"type\":\"BOOKMARK\"}\n".to_vec()).await.is_err() {
                    return;
                }
            }
            timer::sleep(WATCH_PAUSE).await;
        }
    }
}
