//! Requests whose time is over, or whose caller leaves, around the moment at which their server
//! answers.
//!
//! Guards against an answer that promises that a request has not run although it was sent to a
//! server that runs it: the caller then asks again, and the work is done twice.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_route::router::Router,
    ffw_runtime::{executor, timer},
    harness::{Backend, Received, Reply, Script, not_run, router_before, send, signed},
    proptest::{
        prelude::*,
        test_runner::{Config, TestRunner},
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Size of large bodies, which take time to send. The memory for bodies of the harness is 1 MiB.
const BODY_BYTES: usize = 450_000;

/// Ids of the requests that servers have run or are running.
type Runs = Arc<Mutex<Vec<String>>>;

fn id_of(head: &Request) -> String {
    head.fields.text("Id").unwrap_or_default().to_owned()
}

/// A router with one server of each kind, of which those that run requests follow a script.
async fn start(script: Script) -> Arc<Router> {
    let (decode, plain) = (Backend::start(script.clone()).await, Backend::start(script).await);
    router_before(&plain, &decode).await
}

async fn ask(router: &Arc<Router>, path: &str, id: &str, timeout_ms: u64, body: usize) -> Received {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nId: {id}\r\nTimeout-Ms: {timeout_ms}\r\n\
         Content-Length: {body}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body, b'x');
    send(router, &bytes).await
}

/// A server runs requests and never answers. The time limit of a stream and the one for its head
/// end at the same moment.
#[test]
fn a_request_that_its_server_runs_is_not_answered_not_run_at_its_deadline() {
    smol::block_on(async {
        let runs = Runs::default();
        let script_runs = runs.clone();
        let silent: Script = Arc::new(move |_, head| {
            script_runs.lock().expect("no panic").push(id_of(head));
            Reply::Silent
        });
        let router = start(silent).await;
        for path in ["/stream/x", "/once/x"] {
            for number in 0..20 {
                let id = format!("{path}{number}");
                let received = ask(&router, path, &id, 150, BODY_BYTES).await;
                let has_run = runs.lock().expect("no panic").contains(&id);
                assert!(received.status != 503 || !has_run, "{id}: {}", received.body);
            }
        }
        assert!(runs.lock().expect("no panic").len() >= 30, "too few requests were sent");
    });
}

/// What a server does with a request, and when its time is over.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    is_stream: bool,
    timeout_ms: u64,
    answer_ms: u64,
    answer: Answer,
    body_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Refused,
    Whole,
    Closed,
    Never,
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let answer = prop_oneof![
        Just(Answer::Refused),
        Just(Answer::Whole),
        Just(Answer::Closed),
        Just(Answer::Never)
    ];
    let body_bytes = prop_oneof![Just(2_usize), Just(20_000)];
    (any::<bool>(), 40..120_u64, 0..140_u64, answer, body_bytes).prop_map(
        |(is_stream, timeout_ms, answer_ms, answer, body_bytes)| Drawn {
            is_stream,
            timeout_ms,
            answer_ms,
            answer,
            body_bytes,
        },
    )
}

/// Sends the drawn requests all at once; returns the ids of those that were answered *not run*
/// although their server has run them.
async fn play(requests: Vec<Drawn>) -> Vec<String> {
    let runs = Runs::default();
    let (script_runs, plan) = (runs.clone(), requests.clone());
    let script: Script = Arc::new(move |_, head| {
        let id = id_of(head);
        let drawn = plan[id.parse::<usize>().expect("a number")];
        if drawn.answer != Answer::Refused {
            script_runs.lock().expect("no panic").push(id);
        }
        let after = Duration::from_millis(drawn.answer_ms);
        match drawn.answer {
            Answer::Refused => Reply::Late(after, not_run(head)),
            Answer::Whole => Reply::Late(after, signed(head, "id: 0\ndata: x\n\n")),
            Answer::Closed => Reply::LateClose(after),
            Answer::Never => Reply::Silent,
        }
    });
    let router = start(script).await;
    let asking = requests.into_iter().enumerate().map(|(number, drawn)| {
        let (router, id) = (router.clone(), number.to_string());
        executor::spawn(async move {
            let path = if drawn.is_stream { "/stream/x" } else { "/once/x" };
            let received = ask(&router, path, &id, drawn.timeout_ms, drawn.body_bytes).await;
            (id, received.status)
        })
    });
    let asking: Vec<_> = asking.collect();
    let mut promised = Vec::new();
    for task in asking {
        let (id, status) = task.await;
        if status == 503 {
            promised.push(id);
        }
    }
    // A request that was sent may begin to run a little later.
    timer::sleep(Duration::from_millis(50)).await;
    let runs = runs.lock().expect("no panic");
    promised.retain(|id| runs.contains(id));
    promised
}

/// Draws the order of sending, answer and deadline.
#[test]
fn not_run_is_true_in_any_order_of_answer_and_deadline() {
    let mut runner = TestRunner::new(Config { cases: 24, ..Config::default() });
    let checked = runner.run(&prop::collection::vec(drawn(), 12..20), |requests| {
        let broken = smol::block_on(play(requests));
        prop_assert!(broken.is_empty(), "answered 503, and run: {:?}", broken);
        Ok(())
    });
    checked.expect("no such request");
}
