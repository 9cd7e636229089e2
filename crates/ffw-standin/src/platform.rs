//! A stand-in for the platform: an object API with versions, conditional updates and watches, and
//! an instance list whose changes can be delayed. All objects are kept in memory.

use {
    crate::handler,
    ffw_http::{
        body::{self, Writer},
        server::{self, CallerConnection, Limits},
    },
    ffw_protocol::{
        error::{Error, Kind},
        instance::Instance,
    },
    ffw_runtime::{executor, listener::Tracker, timer},
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

/// Number of changes that are kept for watches; a watch from an older version gets status 410.
const MAX_LOG_LENGTH: usize = 4_096;

/// Period at which a watch polls the log of changes.
const WATCH_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Period of the bookmarks that a watch sends while there are no changes.
const BOOKMARK_PERIOD: Duration = Duration::from_secs(1);

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call but those under `/control` is refused with status 503, and open watches end.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next successful writes that take effect but whose response is lost: it is sent
    /// after 5 s, with status 500.
    pub lost_answers: u32,
    /// Delay before a change of the instance list takes effect, in milliseconds.
    pub instance_lag_ms: u64,
}

/// Number of calls since the start, by type.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Gets and lists, without watches.
    pub reads: u64,
    /// Creates, updates and deletes.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Sum of the declared body lengths of writes, in bytes.
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

/// The platform; clones share its state.
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

/// The status and reason with which a write is refused.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    status: u16,
    reason: &'static str,
}

impl Data {
    /// Index of an object, or else the index at which it would be inserted; the objects are sorted
    /// by kind and name.
    fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|stored| (&*stored.kind, &*stored.name).cmp(&(kind, name)))
    }

    fn record(&mut self, change: &str, stored: &Stored) {
        let line = json!({ "type": change, "object": stored.json() }).to_string() + "\n";
        let (version, kind) = (stored.version, stored.kind.clone());
        self.log.push_back(Logged { version, kind, line: line.into() });
        if self.log.len() > MAX_LOG_LENGTH {
            self.log.pop_front();
        }
    }

    fn create(&mut self, kind: &str, name: &str, spec: Value) -> Result<Value, Refusal> {
        let Err(index) = self.find(kind, name) else {
            return Err(Refusal { status: 409, reason: "the object exists already" });
        };
        self.version += 1;
        let stored = Stored { kind: kind.into(), name: name.into(), version: self.version, spec };
        self.record("ADDED", &stored);
        let answer = stored.json();
        self.objects.insert(index, stored);
        Ok(answer)
    }

    fn update(&mut self, kind: &str, written: Written) -> Result<Value, Refusal> {
        let Ok(index) = self.find(kind, &written.metadata.name) else {
            return Err(Refusal { status: 404, reason: "no such object" });
        };
        if self.objects[index].version.to_string() != *written.metadata.resource_version {
            return Err(Refusal { status: 409, reason: "the object is at another version" });
        }
        self.version += 1;
        self.objects[index].version = self.version;
        self.objects[index].spec = written.spec;
        let stored = self.objects[index].clone();
        self.record("MODIFIED", &stored);
        Ok(stored.json())
    }

    fn delete(&mut self, kind: &str, name: &str) -> Result<Value, Refusal> {
        let Ok(index) = self.find(kind, name) else {
            return Err(Refusal { status: 404, reason: "no such object" });
        };
        self.version += 1;
        let mut stored = self.objects.remove(index);
        stored.version = self.version;
        self.record("DELETED", &stored);
        Ok(stored.json())
    }

    fn list(&self, kind: &str, prefix: &str) -> Value {
        let of_kind = self.objects.iter().filter(|stored| &*stored.kind == kind);
        let items: Vec<Value> =
            of_kind.filter(|stored| stored.name.starts_with(prefix)).map(Stored::json).collect();
        let version = self.version.to_string();
        json!({ "metadata": { "name": kind, "resourceVersion": version }, "items": items })
    }
}

impl Platform {
    /// Serves until the tracker is closed.
    pub async fn serve(self, listener: TcpListener, tracker: Tracker) {
        let handler = move |request, _: CallerConnection| self.clone().handle(request);
        server::serve(listener, Limits::default(), tracker, handler).await;
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Number of calls since the start.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Adds or replaces an instance in the instance list, after [`Faults::instance_lag_ms`].
    pub fn put_instance(&self, instance: Instance) {
        self.put_instance_of_version(instance, None);
    }

    /// The same with a version of the server's software, if it states one.
    pub fn put_instance_of_version(&self, instance: Instance, software: Option<&str>) {
        let software = software.map(str::to_owned);
        self.change_after_lag(move |data| {
            let mut spec = serde_json::to_value(&instance).unwrap_or_default();
            if let Some(software) = software {
                spec["software"] = software.into();
            }
            match data.find("instances", &instance.name) {
                Ok(index) => {
                    let version = data.objects[index].version.to_string().into();
                    let metadata =
                        WrittenMetadata { name: instance.name, resource_version: version };
                    drop(data.update("instances", Written { metadata, spec }));
                }
                Err(_) => drop(data.create("instances", &instance.name, spec)),
            }
        });
    }

    /// Removes an instance from the instance list, after [`Faults::instance_lag_ms`].
    pub fn remove_instance(&self, name: &str) {
        let name: Arc<str> = name.into();
        self.change_after_lag(move |data| drop(data.delete("instances", &name)));
    }

    fn change_after_lag(&self, change: impl FnOnce(&mut Data) + Send + 'static) {
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
            return handler::response(self.control(&mut request, &path).await);
        }
        let faults = self.lock().faults;
        timer::sleep(Duration::from_millis(faults.slow_ms)).await;
        if self.lock().faults.outage {
            return handler::status_response(503, "outage");
        }
        handler::response(self.call(&mut request, &path).await)
    }

    async fn control(&self, request: &mut Request, path: &str) -> Result<Response, Error> {
        match (request.method(), path) {
            (Method::Get, "/control/counters") => {
                return Ok(server::json_response(200, &self.counters()));
            }
            (Method::Post, "/control/faults") => {
                self.set_faults(handler::json_body(request).await?)
            }
            (Method::Post, "/control/instances") => {
                self.put_instance(handler::json_body(request).await?)
            }
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
            Method::Get if handler::query_parameter(request, "watch").is_some() => {
                self.watch(request, kind)
            }
            Method::Get if name.is_empty() => {
                let prefix = handler::query_parameter(request, "prefix").unwrap_or_default();
                let mut data = self.lock();
                data.counters.reads += 1;
                Ok(server::json_response(200, &data.list(kind, &prefix)))
            }
            Method::Get => {
                let mut data = self.lock();
                data.counters.reads += 1;
                let found = data.find(kind, name).map(|index| data.objects[index].json());
                Ok(found.map_or_else(
                    |_| handler::status_response(404, "no such object"),
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
            _ => Some(handler::json_body(request).await?),
        };
        let (result, loses_response) = {
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
            let loses_response = result.is_ok() && data.faults.lost_answers > 0;
            if loses_response {
                data.faults.lost_answers -= 1;
            }
            (result, loses_response)
        };
        if loses_response {
            // Longer than the time limit of the daemon's store client, so that it times out.
            timer::sleep(Duration::from_secs(5)).await;
            return Ok(handler::status_response(500, "lost"));
        }
        Ok(match result {
            Ok(object) => server::json_response(200, &object),
            Err(refusal) => handler::status_response(refusal.status, refusal.reason),
        })
    }

    fn watch(&self, request: &Request, kind: &str) -> Result<Response, Error> {
        let after = handler::query_parameter(request, "resourceVersion").unwrap_or_default();
        let after: u64 = after
            .parse()
            .map_err(|_| Error::new(Kind::Malformed, "resourceVersion is not a number"))?;
        let mut data = self.lock();
        data.counters.watches += 1;
        let oldest = data.log.front().map_or(0, |logged| logged.version);
        if data.log.len() == MAX_LOG_LENGTH && after < oldest {
            return Ok(handler::status_response(410, "the watched version is too old"));
        }
        let (writer, feed) = body::channel();
        executor::detach(self.clone().feed_watch(writer, kind.into(), after));
        Ok(server::stream_response("application/json", feed))
    }

    async fn feed_watch(self, writer: Writer, kind: Arc<str>, mut after: u64) {
        let mut silence = Duration::ZERO;
        loop {
            let (lines, last, outage) = {
                let data = self.lock();
                let newer = data.log.iter().rev().take_while(|logged| logged.version > after);
                let mut lines: Vec<Arc<str>> = newer
                    .filter(|logged| logged.kind == kind)
                    .map(|logged| logged.line.clone())
                    .collect();
                lines.reverse();
                (lines, data.version, data.faults.outage)
            };
            if outage {
                return;
            }
            after = last;
            silence = if lines.is_empty() { silence + WATCH_POLL_PERIOD } else { Duration::ZERO };
            for line in lines {
                if writer.write(line.as_bytes().to_vec()).await.is_err() {
                    return;
                }
            }
            if silence >= BOOKMARK_PERIOD {
                silence = Duration::ZERO;
                if writer.write(b"{\"type\":\"BOOKMARK\"}\n".to_vec()).await.is_err() {
                    return;
                }
            }
            timer::sleep(WATCH_POLL_PERIOD).await;
        }
    }
}
