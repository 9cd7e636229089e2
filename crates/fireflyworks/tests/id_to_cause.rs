//! Log lines that lead from the id of a failed request to the cause of its failure.
//!
//! The router runs as a process of its own, with a store and backend servers that run in the
//! process of the test. Each failure that `docs/OPERATIONS.md` describes is brought about, and
//! its log lines are found by the request id alone. Guards against log lines without the id,
//! the server, the cause, or whether the request ran.

use {
    ffw_http::{
        connection::Connection,
        framing::{Decoder, Framing},
    },
    ffw_runtime::{executor, meter::Wire, timer},
    ffw_soak::{
        daemon::{Daemon, Ports},
        store::Store,
        wire::IO_TIMEOUT,
        worker::{Log, Role, Worker},
    },
    rstest::rstest,
    serde_json::json,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
};

const READY_LIMIT: Duration = Duration::from_secs(15);

/// A router process with a plain server, a prefill server and a decode server.
struct Bench {
    daemon: Daemon,
    plain: Worker,
    decode: Worker,
    log: PathBuf,
}

/// Starts a store, the servers and the router, and waits until both routes serve requests.
async fn bench(name: &str) -> Bench {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (store, address) = Store::start().await.expect("a store");
    let log = Log::default();
    let start = async |name: &str, service: &str, role: Role| {
        let worker = Worker::start(name, service, role, &log).await.expect("a server");
        let mut entry = json!({"service": service, "address": worker.address, "zone": "a",
            "state": "ready"});
        match role {
            Role::Plain => {}
            Role::Prefill => entry["stage"] = json!("prefill"),
            Role::Decode => entry["stage"] = json!("decode"),
        }
        store.put("servers", name, entry);
        worker
    };
    let plain = start("plain-1", "app", Role::Plain).await;
    start("prefill-1", "llm", Role::Prefill).await;
    let decode = start("decode-1", "llm", Role::Decode).await;
    store.put("config", "main", configuration());
    let ports = Ports::choose().expect("ports");
    let mut daemon = Daemon::new(&folder, 0, ports, &[], address).expect("settings");
    daemon.start(Path::new(env!("CARGO_BIN_EXE_fireflyworks"))).expect("a daemon");
    let bench = Bench { daemon, plain, decode, log: folder.join("daemon-0.log") };
    bench.wait_until_served().await;
    bench
}

fn configuration() -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "type": kind,
            "timeoutMs": 4000, "targetLatencyMs": 300, "targetGapMs": 300, "priority": 1,
            "maxAttempts": 1, "service": service})
    };
    json!({"version": 1,
        "routes": [route("once", "non_idempotent", "app"), route("stream", "streaming", "llm")],
        "services": [{"name": "app"}, {"name": "llm", "engine": {"slots": 4, "kvCapacity": 70_000,
            "kvTokenBytes": 35_136, "linkMbps": 5_900_000.0, "stride": 50, "kvHoldS": 0.5,
            "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000}})
}

impl Bench {
    async fn wait_until_served(&self) {
        let began = Instant::now();
        while send(self.daemon.caller_address, "/once/", "warm").await != Some(200)
            || send(self.daemon.caller_address, "/stream/", "warm").await != Some(200)
        {
            assert!(began.elapsed() < READY_LIMIT, "{}", self.lines("event="));
            timer::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Lines of the router's log that contain a text.
    fn lines(&self, text: &str) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).collect::<Vec<_>>().join("\n")
    }

    /// Waits until the log lines of a request contain all parts.
    async fn expect(&self, id: &str, parts: &[&str]) {
        let began = Instant::now();
        let request_field = format!("request={id} ");
        while !parts.iter().all(|part| self.lines(&request_field).contains(part)) {
            let seen = self.lines(&request_field);
            assert!(began.elapsed() < Duration::from_secs(5), "{parts:?} not in:\n{seen}");
            timer::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends a request and returns the status of its answer, or `None` if no head arrives.
async fn send(daemon: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let opening = Connection::open(daemon, Wire::Request, IO_TIMEOUT, IO_TIMEOUT);
    let mut connection = opening.await.ok()?;
    let head = format!(
        "POST {path}x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 100,1000\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi"
    );
    connection.write(head.as_bytes(), IO_TIMEOUT).await.ok()?;
    let answer = connection.read_response(64 << 10).await.ok()?;
    let mut decoder = Decoder::new(Framing::of_response(&answer, "POST").ok()?);
    // The body of a stream that breaks off is incomplete, but the status is known.
    drop(connection.read_body(&mut decoder, 1 << 20).await);
    Some(answer.status)
}

/// Guards against a failure whose log lines name neither the server nor the cause under the id
/// of the request.
#[rstest]
#[case::refused_under_load(
    "refused",
    "/stream/",
    |bench: &Bench| bench.decode.is_full.store(true, Ordering::SeqCst),
    503,
    &["event=place_failed", "decode-1", "refused with 503", "event=request_failed", "not run"],
)]
#[case::a_stream_broken_midway(
    "midway",
    "/stream/",
    |bench: &Bench| bench.decode.aborts_responses.store(true, Ordering::SeqCst),
    200,
    &["event=place_failed", "events=12", "decode-1", "unknown"],
)]
#[case::a_plain_call_whose_outcome_is_unknown(
    "unknown",
    "/once/",
    |bench: &Bench| bench.plain.aborts_responses.store(true, Ordering::SeqCst),
    502,
    &["event=request_failed", "plain-1", "the connection was closed", "unknown"],
)]
fn the_cause_is_found_by_the_id(
    #[case] id: &'static str,
    #[case] path: &'static str,
    #[case] fail: fn(&Bench),
    #[case] status: u16,
    #[case] parts: &'static [&'static str],
) {
    let done = executor::run(async move {
        let bench = bench(id).await;
        fail(&bench);
        assert_eq!(send(bench.daemon.caller_address, path, id).await, Some(status));
        bench.expect(id, parts).await;
    });
    done.expect("the test ends");
}
