//! Servers that send bytes without end, in each part of a response, to many callers at once, beside
//! a daemon with lowered limits.
//!
//! Guards against a process that holds all that such servers send, exceeds the memory of its
//! machine and ends with the requests of all others. Nothing here depends on the speed of the
//! machine: no times and no shares of served requests are checked.

#[path = "support/limits.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod limits;

use {
    ffw_runtime::{executor, timer},
    ffw_soak::{
        daemon::{Daemon, Ports},
        store::Store,
        worker::{Log, Role, Worker},
    },
    ffw_support::permit,
    rstest::rstest,
    serde_json::{Value, json},
    smol::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Lowered `limits.memoryMb` of the daemon.
const MEMORY_MB: u64 = 88;

/// Resident memory that the process must not exceed.
const MEMORY_KB_MAX: u64 = limits::memory_kb_max(MEMORY_MB);

/// Callers that ask the endless servers at once.
const CROWD: usize = 1_000;

/// Time for which the crowd asks.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// Bytes of the pieces that are written at once.
const BLOCK_BYTES: usize = 256 << 10;

/// What an endless server sends: once, then again and again.
#[derive(Clone, Copy, Debug)]
struct Load {
    start: &'static str,
    /// Repeated until it fills a block.
    rest: &'static str,
}

const SIGNED: &str = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: {id}\r\n\
    Content-Type: text/event-stream\r\n";

impl Load {
    /// Sends bytes until the daemon closes the connection.
    async fn send(self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let start = self.start.replace("{signed}", SIGNED).replace("{id}", id);
        stream.write_all(start.as_bytes()).await?;
        let block = self.rest.repeat(BLOCK_BYTES.div_ceil(self.rest.len()));
        loop {
            stream.write_all(block.as_bytes()).await?;
        }
    }
}

/// Answers the requests of one connection: reports as usual, all others without end.
async fn serve(mut stream: TcpStream, load: Load) -> std::io::Result<()> {
    let mut received = Vec::new();
    let mut piece = [0; 4_096];
    while !received.ends_with(b"hi") {
        let count = stream.read(&mut piece).await?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&piece[..count]);
        if received.starts_with(b"GET ") && received.ends_with(b"\r\n\r\n") {
            let report =
                "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"busy\":false,\"sequence\":0}";
            return stream.write_all(report.as_bytes()).await;
        }
    }
    let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("request-id: "));
    load.send(&mut stream, id.unwrap_or_default()).await
}

/// Starts an endless server; returns its address.
async fn start_endless(load: Load) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    executor::detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            executor::detach(async move {
                // The daemon may close the connection at any time.
                serve(stream, load).await.ok();
            });
        }
    });
    address
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path}x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 100,1000\r\nDeadline-Ms: 4000\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// Sends requests to the endless servers until `end`, one after the other. Each fourth caller
/// leaves its responses unread.
async fn ask(address: SocketAddr, number: usize, end: Instant) {
    let path = if number.is_multiple_of(2) { "/plain/" } else { "/stream/" };
    let asking = async {
        for turn in 0.. {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                let request = request(path, &format!("c{number:x}-{turn:x}"));
                // The daemon may refuse the caller or close its connection at any time.
                stream.write_all(request.as_bytes()).await.ok();
                if number % 4 == 3 {
                    timer::sleep(CROWD_TIME).await;
                }
                let mut piece = vec![0; 16 << 10];
                while stream.read(&mut piece).await.is_ok_and(|count| count > 0) {}
            }
            timer::sleep(PAUSE).await;
        }
    };
    timer::timeout(end.saturating_duration_since(Instant::now()), asking).await;
}

/// A daemon with lowered limits before a store, an ordinary server, and endless ones.
struct Deployment {
    daemon: Daemon,
    _store: Store,
    _servers: Vec<Worker>,
}

fn configuration() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "type": kind,
            "timeoutMs": 4000, "targetLatencyMs": 300, "targetGapMs": 300, "priority": 1,
            "maxAttempts": 1, "service": service})
    };
    json!({"version": 1,
        "routes": [route("sound", "non_idempotent", "sound"),
            route("plain", "non_idempotent", "endless"), route("stream", "streaming", "llm")],
        "services": [{"name": "sound"}, {"name": "endless"}, {"name": "llm", "engine": {
            "slots": 2_000, "kvCapacity": 70_000_000, "kvTokenBytes": 35_136,
            "linkMbps": 5_900_000.0, "stride": 50, "kvHoldS": 0.5, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000}})
}

impl Deployment {
    async fn start(name: &str, load: Load) -> Deployment {
        let (store, address) = Store::start().await.expect("a store");
        store.put("config", "main", configuration());
        let log = Log::default();
        let sound = Worker::start("sound-1", "sound", Role::Plain, &log).await.expect("a server");
        let prefill =
            Worker::start("prefill-1", "llm", Role::Prefill, &log).await.expect("a server");
        let list = |name: &str, service: &str, address: SocketAddr, stage: Option<&str>| {
            let mut entry = json!({"service": service, "address": address, "zone": "a",
                "state": "ready", "slots": 2_000});
            if let Some(stage) = stage {
                entry["stage"] = json!(stage);
            }
            store.put("servers", name, entry);
        };
        list("sound-1", "sound", sound.address, None);
        list("prefill-1", "llm", prefill.address, Some("prefill"));
        list("endless-1", "endless", start_endless(load).await, None);
        list("decode-1", "llm", start_endless(load).await, Some("decode"));
        let ports = Ports::choose().expect("ports");
        let lower = |file: &mut Value| file["limits"]["memoryMb"] = json!(MEMORY_MB);
        let daemon = limits::start(&format!("endless-{name}"), ports, &[], address, lower);
        let deployment = Deployment { daemon, _store: store, _servers: vec![sound, prefill] };
        deployment.wait_until_serving("start").await;
        deployment
    }

    /// Sends ordinary requests until one is answered.
    async fn wait_until_serving(&self, id: &str) {
        let build = |id: &str| request("/sound/", id);
        limits::wait_until_serving(&self.daemon, id, build).await;
    }
}

/// Lets the crowd ask endless servers, and checks the process meanwhile and afterwards.
async fn check(name: &str, load: Load) {
    let _permit = permit::acquire(limits::CORES).await;
    let mut deployment = Deployment::start(name, load).await;
    let (address, end) = (deployment.daemon.caller_address, Instant::now() + CROWD_TIME);
    let crowd: Vec<_> =
        (0..CROWD).map(|number| executor::spawn(ask(address, number, end))).collect();
    let mut served = 0;
    while Instant::now() < end {
        deployment.wait_until_serving(&format!("during-{served}")).await;
        served += 1;
    }
    for caller in crowd {
        caller.await;
    }
    deployment.wait_until_serving("after").await;
    let peak_kb = limits::peak_kb(&deployment.daemon);
    println!("{name}: peak {peak_kb} kB, {served} ordinary requests served beside the crowd");
    assert_eq!(deployment.daemon.take_exit_code(), None, "the process lives");
    assert!(peak_kb <= MEMORY_KB_MAX, "{peak_kb} kB are resident, {MEMORY_KB_MAX} kB are allowed");
}

/// Guards against each part of a response that a daemon reads without a bound for all responses
/// together.
#[rstest]
#[case::head_line("head-line", "HTTP/1.1 200 OK\r\na: ", "x")]
#[case::head_lines("head-lines", "HTTP/1.1 200 OK\r\n", "a:\r\n")]
#[case::interim_heads("interim-heads", "", "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n")]
#[case::body_to_close("body-to-close", "{signed}\r\n", "x")]
#[case::large_chunks(
    "large-chunks",
    "{signed}Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
    "x"
)]
#[case::small_chunks("small-chunks", "{signed}Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")]
#[case::chunk_line("chunk-line", "{signed}Transfer-Encoding: chunked\r\n\r\n1;", "x")]
#[case::trailer("trailer", "{signed}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a: b\r\n")]
#[case::huge_length("huge-length", "{signed}Content-Length: 1000000000000\r\n\r\n", "x")]
#[case::one_event("one-event", "{signed}\r\nid: 0\ndata: ", "x")]
#[case::events_without_ids("events-without-ids", "{signed}\r\n", "data: x\n\n")]
fn a_process_stays_within_its_memory_beside_endless_servers(
    #[case] name: &str,
    #[case] start: &'static str,
    #[case] rest: &'static str,
) {
    smol::block_on(check(name, Load { start, rest }));
}
