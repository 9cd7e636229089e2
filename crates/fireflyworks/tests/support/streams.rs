//! Daemons before decode servers of several software versions, and callers of single streams, for
//! tests that look at the streams' events.

use {
    ffw_http::{
        connection::Connection,
        framing::{Decoder, Framing},
    },
    ffw_runtime::{executor, timer},
    ffw_soak::{
        client,
        daemon::{Daemon, Ports},
        proxy::Proxy,
        store::Store,
        wire::IO_TIMEOUT,
        worker::{EVENT_COUNT, Log, Role, Worker},
    },
    rustix::process::Signal,
    serde_json::{Value, json},
    smol::Task,
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_fireflyworks");

const DAEMONS: usize = 3;

/// Path on a route whose streams may be resumed.
pub(crate) const RESUMABLE: &str = "/resumable/x";

/// Path on a route whose streams may not be resumed.
pub(crate) const STREAM: &str = "/stream/x";

/// Time between two events of a stream: a stream takes three seconds.
pub(crate) const EVENT_INTERVAL: Duration = Duration::from_millis(150);

/// Time in which all daemons learn of a change of the server list.
pub(crate) const LIST_TIME: Duration = Duration::from_secs(1);

/// Time in which daemons that have started find each other and learn what the others know.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Age up to which daemons that can't reach each other use a list of servers.
const LIST_AGE_MAX_MS: u64 = 4_000;

/// Timeout of the routes, and deadline of the requests.
const TIMEOUT_MS: u64 = 15_000;

/// Events that a caller has got of a stream when its connection breaks.
pub(crate) const EVENTS_SEEN: u32 = 5;

const MAX_HEAD_BYTES: usize = 64 << 10;

fn configuration() -> Value {
    let route = |name: &str, is_resumable: bool| {
        json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "type": "streaming",
            "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 900, "targetGapMs": 400, "priority": 1,
            "maxAttempts": 4, "service": "llm", "resumable": is_resumable, "sticky": true})
    };
    let engine = json!({"slots": 16, "kvCapacity": 70_000, "kvTokenBytes": 35_136,
        "linkMbps": 5_900_000.0, "stride": 50, "kvHoldS": 0.5, "models": [{"name": "m"}]});
    json!({
        "version": 1,
        "routes": [route("resumable", true), route("stream", false)],
        "services": [{"name": "llm", "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

/// States in a daemon's settings whether the whole system starts for the first time.
fn set_first_start(daemon: &Daemon, is_first: bool) {
    let change = |file: &mut Value| file["bootstrap"] = json!(is_first);
    daemon.change_settings(change).expect("settings");
}

/// Daemons before a store and servers of one service.
pub(crate) struct Fleet {
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) store: Store,
    /// Connections of each daemon to the store.
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) servers: Vec<Worker>,
    log: Log,
}

impl Fleet {
    /// Starts three daemons, and two decode servers and a prefill server of a version.
    pub(crate) async fn start(name: &str, version: Option<&str>) -> Fleet {
        let mut fleet = Fleet::prepare(name, DAEMONS).await;
        fleet.add_servers(version, 2).await;
        fleet.start_daemons();
        fleet.wait_until_it_serves().await;
        fleet
    }

    /// The same, with servers that come once the daemons have listed none.
    pub(crate) async fn start_before_servers(name: &str, version: Option<&str>) -> Fleet {
        let mut fleet = Fleet::prepare(name, DAEMONS).await;
        fleet.start_daemons();
        timer::sleep(LIST_TIME).await;
        fleet.add_servers(version, 2).await;
        fleet.wait_until_it_serves().await;
        fleet
    }

    /// Starts two daemons that can't reach each other, with lists of servers that may be as old as the
    /// limits of the deployments allow.
    pub(crate) async fn start_apart(name: &str, version: Option<&str>) -> Fleet {
        let mut fleet = Fleet::prepare(name, 2).await;
        fleet.daemons[1].set_peer_secret("another-key-than-the-others");
        for daemon in &fleet.daemons {
            let set_limits = |file: &mut Value| {
                file["bounds"]["configApplyMs"] = json!(LIST_AGE_MAX_MS);
                file["bounds"]["drainMs"] = json!(LIST_AGE_MAX_MS);
            };
            daemon.change_settings(set_limits).expect("settings");
        }
        fleet.add_servers(version, 2).await;
        fleet.start_daemons();
        fleet.wait_until_it_serves().await;
        fleet
    }

    /// A store with a configuration, and daemons of a first start that are not running yet.
    async fn prepare(name: &str, daemon_count: usize) -> Fleet {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("streams-{name}"));
        drop(fs::remove_dir_all(&folder));
        fs::create_dir_all(&folder).expect("a folder");
        let (store, store_address) = Store::start().await.expect("a store");
        store.put("config", "main", configuration());
        let mut fleet = Fleet {
            daemons: Vec::new(),
            store,
            store_links: Vec::new(),
            servers: Vec::new(),
            log: Log::default(),
        };
        let ports: Vec<Ports> =
            (0..daemon_count).map(|_| Ports::choose().expect("ports")).collect();
        let seeds: Vec<SocketAddr> = ports.iter().map(Ports::peers).collect();
        for (number, ports) in ports.into_iter().enumerate() {
            let link = Proxy::start(store_address).await.expect("a proxy");
            let daemon = Daemon::new(&folder, number, ports, &seeds, link.address);
            let daemon = daemon.expect("settings");
            set_first_start(&daemon, true);
            fleet.daemons.push(daemon);
            fleet.store_links.push(link);
        }
        fleet
    }

    fn start_daemons(&mut self) {
        let start = |daemon: &mut Daemon| daemon.start(Path::new(PROGRAM)).expect("a daemon");
        self.daemons.iter_mut().for_each(start);
    }

    /// Adds a prefill server and this many decode servers of a version.
    pub(crate) async fn add_servers(&mut self, version: Option<&str>, decode_count: usize) {
        let roles = [vec![Role::Prefill], vec![Role::Decode; decode_count]].concat();
        for role in roles {
            let name = format!("server-{}", self.servers.len());
            let server = Worker::start(&name, "llm", role, &self.log).await.expect("a server");
            server.set_version(version);
            server.set_event_interval(EVENT_INTERVAL);
            self.put(&server, "ready");
            self.servers.push(server);
        }
    }

    fn put(&self, server: &Worker, state: &str) {
        let stage = if server.role == Role::Prefill { "prefill" } else { "decode" };
        let mut entry = json!({"service": "llm", "address": server.address, "zone": "a",
            "state": state, "slots": 16, "stage": stage});
        if let Some(version) = server.version() {
            entry["version"] = json!(version);
        }
        self.store.put("servers", &server.name, entry);
    }

    /// Lets a server leave, which goes on serving what it runs.
    pub(crate) fn drain(&self, server: &Worker) {
        self.put(server, "draining");
    }

    /// Removes all servers of a version from the list.
    pub(crate) fn remove_version(&self, version: &str) {
        for server in self.servers.iter().filter(|one| one.version().as_deref() == Some(version)) {
            assert!(self.store.remove("servers", &server.name));
        }
    }

    /// The decode servers of a version.
    pub(crate) fn decode_servers(&self, version: &str) -> Vec<Worker> {
        let is_of_version = |server: &&Worker| {
            server.role == Role::Decode && server.version().as_deref() == Some(version)
        };
        self.servers.iter().filter(is_of_version).cloned().collect()
    }

    /// Address for callers of a daemon.
    pub(crate) fn address(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].caller_address
    }

    /// Kills a daemon without any notice.
    pub(crate) fn kill(&self, daemon: usize) {
        self.daemons[daemon].signal(Signal::KILL);
    }

    /// Kills all daemons, and waits until their calls have ended.
    pub(crate) async fn kill_all(&self) {
        self.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
        timer::sleep(LIST_TIME).await;
    }

    /// Starts daemons again that were killed.
    pub(crate) async fn start_again(&mut self) {
        for daemon in &mut self.daemons {
            daemon.take_exit_code();
            set_first_start(daemon, false);
        }
        self.start_daemons();
        self.wait_until_it_serves().await;
    }

    /// Gets the first events of streams at a daemon. Their connections end at the same time.
    pub(crate) async fn first_parts(&self, daemon: usize, count: usize) -> Vec<Part> {
        let address = self.address(daemon);
        let begin = |number: usize| async move {
            Call::new(&format!("first-{number}")).begin(address, EVENTS_SEEN).await
        };
        let parts = all((0..count).map(|number| executor::spawn(begin(number))).collect()).await;
        assert!(parts.iter().all(|part| part.ids().len() == EVENTS_SEEN as usize), "{parts:?}");
        parts
    }

    /// Takes these streams up at a daemon.
    pub(crate) async fn take_up(&self, daemon: usize, count: usize) -> Vec<Part> {
        let address = self.address(daemon);
        let take_up = |number: usize| async move {
            let (id, resumes) = (format!("again-{number}"), format!("first-{number}"));
            let last_event = Some(EVENTS_SEEN - 1);
            let call = Call { last_event, resumes: Some(&resumes), ..Call::new(&id) };
            call.send(address).await
        };
        all((0..count).map(|number| executor::spawn(take_up(number))).collect()).await
    }

    pub(crate) async fn wait_until_it_serves(&self) {
        for daemon in &self.daemons {
            let started_at = Instant::now();
            let mut tries = 0;
            loop {
                let id = format!("wait-{}-{tries}", daemon.name);
                tries += 1;
                if Call::new(&id).begin(daemon.caller_address, 0).await.status == Some(200) {
                    break;
                }
                assert!(started_at.elapsed() < Duration::from_secs(15), "{} serves", daemon.name);
                timer::sleep(Duration::from_millis(100)).await;
            }
        }
        timer::sleep(SETTLING_TIME).await;
    }
}

/// A request for a stream.
#[derive(Clone, Copy)]
pub(crate) struct Call<'a> {
    pub(crate) id: &'a str,
    pub(crate) path: &'a str,
    /// Last event that the caller has, of a stream that is taken up.
    pub(crate) last_event: Option<u32>,
    /// Request that brought the stream's first event, of a stream that is taken up.
    pub(crate) resumes: Option<&'a str>,
}

/// What a caller got of a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    /// Status of the answer; `None` if there was none.
    pub(crate) status: Option<u16>,
    /// Whether the body arrived to its end.
    pub(crate) is_whole: bool,
    pub(crate) body: String,
}

impl<'a> Call<'a> {
    pub(crate) fn new(id: &'a str) -> Call<'a> {
        Call { id, path: RESUMABLE, last_event: None, resumes: None }
    }

    fn head(&self) -> String {
        let Call { id, path, .. } = self;
        let last_event = self.last_event.map(|last| format!("Last-Event-Id: {last}\r\n"));
        let resumes = self.resumes.map(|resumes| format!("Resumes: {resumes}\r\n"));
        let own = self.resumes.unwrap_or(id);
        let own: u32 = own.bytes().fold(7, |hash, byte| hash * 31 % 65_521 + u32::from(byte));
        format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nModel: m\r\n\
             Token-Count: 100,1000\r\nPrefix-Hash: feed:40,{own:x}:60\r\n{}{}\
             Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 2\r\n\r\nhi",
            last_event.unwrap_or_default(),
            resumes.unwrap_or_default()
        )
    }

    /// Reads the whole answer.
    pub(crate) async fn send(&self, address: SocketAddr) -> Part {
        self.begin(address, EVENT_COUNT + 1).await
    }

    /// Reads until this many events have arrived, and closes the connection.
    pub(crate) async fn begin(&self, address: SocketAddr, events: u32) -> Part {
        let mut part = Part::default();
        let reading = self.read(address, events, &mut part);
        timer::timeout(Duration::from_millis(TIMEOUT_MS), reading).await;
        part
    }

    async fn read(&self, address: SocketAddr, events: u32, part: &mut Part) -> Option<()> {
        let mut connection: Connection = client::open(address).await?;
        connection.write(self.head().as_bytes(), IO_TIMEOUT).await.ok()?;
        let head = connection.read_response(MAX_HEAD_BYTES).await.ok()?;
        part.status = Some(head.status);
        let mut decoder = Decoder::new(Framing::of_response(&head, "POST").ok()?);
        while part.ids().len() < events as usize {
            let Some(bytes) = connection.read_part(&mut decoder).await.ok()? else {
                part.is_whole = true;
                return Some(());
            };
            part.body.push_str(&String::from_utf8_lossy(&bytes));
        }
        Some(())
    }
}

impl Part {
    /// Ids of the events.
    pub(crate) fn ids(&self) -> Vec<u32> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    /// Software versions that wrote events, sorted; an empty name stands for none.
    pub(crate) fn versions(&self) -> Vec<String> {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let version = |text: &str| text.split_once(' ').map_or("", |parts| parts.1).to_owned();
        let mut versions: Vec<String> = data.map(version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Whether it is the rest of a stream after an event, or a whole stream, to its last event.
    pub(crate) fn is_rest_after(&self, last_event: Option<u32>) -> bool {
        let first = last_event.map_or(0, |last| last + 1);
        self.status == Some(200)
            && self.is_whole
            && self.ids() == (first..EVENT_COUNT).collect::<Vec<u32>>()
    }
}

/// Begins streams at one daemon, and reads them in the background.
pub(crate) fn begin_streams(
    address: SocketAddr,
    path: &'static str,
    prefix: &str,
    count: usize,
) -> Vec<Task<Part>> {
    let read = |id: String| async move { Call { path, ..Call::new(&id) }.send(address).await };
    (0..count).map(|number| executor::spawn(read(format!("{prefix}-{number}")))).collect()
}

/// Waits for all parts.
pub(crate) async fn all(tasks: Vec<Task<Part>>) -> Vec<Part> {
    let mut parts = Vec::new();
    for task in tasks {
        parts.push(task.await);
    }
    parts
}

/// The server that runs most streams, of which there is at least one.
pub(crate) fn busiest(servers: &[Worker]) -> &Worker {
    let busiest = servers.iter().max_by_key(|server| server.stream_count()).expect("a server");
    assert!(busiest.stream_count() > 0, "no stream runs there");
    busiest
}
