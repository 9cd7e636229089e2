//! Invalid requests, slow callers, and peers without the shared key.
//!
//! Guards against input that crashes a daemon, holds a connection open, reaches a backend
//! server or affects the requests of other callers. Each caller gets an error with a code, or
//! its connection is closed.

use {
    ffw_http::client::{self, Call},
    ffw_peer::{handshake::Secret, link::PeerConnections},
    ffw_runtime::timer,
    ffw_standin::caller,
    ffw_support::cluster::{Cluster, KEY, Plan},
    http_types::Method,
    rstest::rstest,
    serde_json::{Value, json},
    smol::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

struct Reply {
    status: u16,
    run: String,
    error: Value,
}

async fn post(cluster: &Cluster, path: &str, key: &str, body: &[u8]) -> Reply {
    let mut call = Call::new(cluster.daemons[0].callers, Method::Post, path);
    call.body = body.into();
    call.headers.push(caller::header("authorization", &format!("Bearer {key}")));
    let mut response = client::send(&call).await.expect("an answer");
    let header = response.header("fireflyworks-run");
    let run = header.map_or("", |values| values.last().as_str()).to_owned();
    let status = response.status().into();
    let bytes = client::read_body(&mut response, Duration::from_secs(5)).await.expect("a body");
    let value: Value = serde_json::from_slice(&bytes).expect("JSON");
    Reply { status, run, error: value["error"].clone() }
}

fn completion(model: &str, max_tokens: u32) -> Vec<u8> {
    json!({ "model": model, "prompt": "a", "max_tokens": max_tokens }).to_string().into_bytes()
}

/// Guards against an invalid request that gets a general error without a code or help, or that
/// reaches a backend server, and against a daemon that serves no valid request afterwards.
#[test]
fn each_invalid_request_gets_its_error_code_and_help() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let path = "/v1/completions";
        let cases: [(&str, &str, Vec<u8>, u16, &str); 9] = [
            (path, "wrong", completion("season-notes", 9), 401, "unauthenticated"),
            (path, KEY, completion("no-such-model", 9), 404, "unknown_model"),
            (path, KEY, b"{\"model\":".to_vec(), 400, "malformed"),
            (path, KEY, completion("season-notes", 0), 400, "malformed"),
            (path, KEY, completion("season-notes", 100_000), 413, "too_large"),
            ("/services/none/x", KEY, b"x".to_vec(), 404, "unknown_service"),
            ("/services/captions/x", KEY, b"x".to_vec(), 404, "unknown_service"),
            ("/v2/nothing", KEY, b"x".to_vec(), 404, "not_found"),
            ("/services/booking/x", KEY, vec![b'x'; 5 << 20], 413, "too_large"),
        ];
        for (path, key, body, status, code) in cases {
            let reply = post(&cluster, path, key, &body).await;
            assert_eq!(
                (reply.status, reply.error["code"].as_str()),
                (status, Some(code)),
                "{path}"
            );
            assert_eq!(reply.run, "not run", "{path}");
            assert!(reply.error["help"].as_str().is_some_and(|help| !help.is_empty()));
        }
        assert_eq!(cluster.plains[0].service.runs(), []);
        assert!(cluster.completion(0, 1, 8).send().await.is_whole);
    });
}

/// A caller connects and sends no complete request head. Guards against connections that stay
/// open after `--head-timeout-ms`, so that such callers use up all connections.
#[rstest]
#[case::no_head(b"POST /v1/completions HTTP/1.1\r\n")]
#[case::nothing(b"")]
fn the_connection_of_a_slow_caller_is_closed(#[case] sent: &[u8]) {
    smol::block_on(async {
        let plan = Plan { arguments: vec!["--head-timeout-ms", "500"], ..Plan::new(BINARY) };
        let cluster = Cluster::start(plan).await;
        let mut stream = TcpStream::connect(cluster.daemons[0].callers).await.expect("connected");
        stream.write_all(sent).await.expect("sent");
        let mut byte = [0];
        let reading = timer::timeout(Duration::from_secs(5), stream.read(&mut byte)).await;
        assert!(
            matches!(reading, Some(Ok(0) | Err(_))),
            "the connection is still open: {reading:?}"
        );
    });
}

/// A caller sends bytes that are no HTTP request, such as the start of a TLS handshake. Guards
/// against a daemon that closes the connection without an answer.
#[test]
fn unreadable_bytes_are_answered_with_400() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let mut stream = TcpStream::connect(cluster.daemons[0].callers).await.expect("connected");
        stream.write_all(b"\x16\x03\x01 nonsense\r\n\r\n").await.expect("sent");
        let mut answer = String::new();
        let reading = timer::timeout(Duration::from_secs(5), stream.read_to_string(&mut answer));
        reading.await.expect("closed").expect("text");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    });
}

/// The port for peers is reachable from the network. Guards against a connection that stays
/// open after invalid bytes, and against requests that fail because of it.
#[test]
fn a_peer_without_the_key_or_with_a_malformed_frame_is_disconnected() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for sent in [[1_u8; 33].as_slice(), &[0xff; 200]] {
            let address = cluster.daemons[0].peers;
            let mut stream = TcpStream::connect(address).await.expect("connected");
            stream.write_all(sent).await.expect("sent");
            stream.write_all(&[0xff; 64]).await.ok();
            let mut rest = Vec::new();
            let reading = timer::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest));
            assert!(reading.await.is_some(), "the connection is still open");
        }
        let calls = (0..4).map(|n| cluster.completion(n % 2, n, 8)).collect();
        let answers = ffw_support::cluster::send_all(calls).await;
        assert!(answers.iter().all(|answer| answer.is_whole));
    });
}

/// A workspace sends more requests at once than `max_open` allows. Guards against a limit that
/// is not enforced, and against a refusal without a time after which to retry.
#[test]
fn a_workspace_above_its_limit_of_open_requests_gets_a_retry_time() {
    smol::block_on(async {
        let mut plan = Plan::new(BINARY);
        plan.declaration =
            plan.declaration.replace("weight = 2", "weight = 2\nmax_open = 3").into();
        let cluster = Cluster::start(plan).await;
        let calls = (0..8).map(|n| cluster.completion(0, n, 60)).collect();
        let answers = ffw_support::cluster::send_all(calls).await;
        let refusals: Vec<_> = answers.iter().filter(|answer| answer.status == 429).collect();
        assert_eq!(refusals.len(), 5, "{answers:?}");
        assert!(
            refusals.iter().all(|answer| &*answer.run == "not run" && answer.retry_after.is_some())
        );
    });
}

/// Guards against a daemon that executes calls of peers that do not have the shared key.
#[test]
fn only_the_shared_key_opens_the_calls_of_peers() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let address = cluster.daemons[0].peers;
        for (key, is_accepted) in
            [("a-shared-key-for-tests", true), ("another-key-altogether", false)]
        {
            let pool = PeerConnections::new(Secret::new(key));
            let status = pool.call(address, Duration::from_secs(2), async move |peer, context| {
                peer.status(context).await
            });
            assert_eq!(status.await.is_ok(), is_accepted, "{key}");
        }
    });
}
