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
    ffw_protocol::instance::{Role, State},
    ffw_route::router::Router,
    ffw_runtime::{executor, timer},
    harness::{
        Backend, Received, Reply, Script, instance, not_run, response, router, router_before, send,
        signed,
    },
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

/// Id of a stream that each server runs at once.
const FIRST_ID: &str = "first";

/// Sends a stream and waits for its response. The owner of a new pool grants nothing for a time, in
/// which the streams that are drawn would all be refused without being sent.
async fn wait_for_grants(router: &Arc<Router>) {
    let received = ask(router, "/stream/x", FIRST_ID, 4_000, 2).await;
    assert_eq!(received.status, 200, "{}", received.body);
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
        if id == FIRST_ID {
            return Reply::Bytes(signed(head, "id: 0\ndata: x\n\n"));
        }
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
    wait_for_grants(&router).await;
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

/// How a server of several answers an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempted {
    /// It runs the request, and its response is complete.
    Whole,
    /// It states that it has not run the request.
    Refused,
    /// It states so on a connection that it closes.
    RefusedAndClosed,
    /// It runs the request and closes the connection.
    Closed,
    /// It runs the request and answers 503, without a statement that the request has not run.
    Unstated,
    /// It runs the request; the statement about another one comes before its response.
    AfterAnotherRefusal,
    /// It runs the request; a statement without an id comes in its place.
    RefusedWithoutId,
    /// It runs the request and sends nothing.
    Silent,
}

const ATTEMPTED: [Attempted; 8] = [
    Attempted::Whole,
    Attempted::Refused,
    Attempted::RefusedAndClosed,
    Attempted::Closed,
    Attempted::Unstated,
    Attempted::AfterAnotherRefusal,
    Attempted::RefusedWithoutId,
    Attempted::Silent,
];

const ROUTES: [&str; 4] = ["/once/x", "/again/x", "/stream/x", "/resumable/x"];

const SERVERS: usize = 3;

/// A request to one of the routes, and what each server does with each of its attempts.
#[derive(Clone, Debug)]
struct Several {
    route: usize,
    timeout_ms: u64,
    body_bytes: usize,
    answers: Vec<(usize, u64)>,
}

fn several() -> impl Strategy<Value = Several> {
    let answers = prop::collection::vec((0..ATTEMPTED.len(), 0..40_u64), SERVERS);
    let body_bytes = prop_oneof![Just(2_usize), Just(20_000)];
    (0..ROUTES.len(), 60..250_u64, body_bytes, answers).prop_map(
        |(route, timeout_ms, body_bytes, answers)| Several {
            route,
            timeout_ms,
            body_bytes,
            answers,
        },
    )
}

/// The reply of one of several servers; notes a run.
fn reply(runs: &Runs, head: &Request, attempted: Attempted, after: Duration) -> Reply {
    if !matches!(attempted, Attempted::Refused | Attempted::RefusedAndClosed) {
        runs.lock().expect("no panic").push(id_of(head));
    }
    let whole = signed(head, "id: 0\ndata: x\n\n");
    match attempted {
        Attempted::Whole => Reply::Late(after, whole),
        Attempted::Refused => Reply::Late(after, not_run(head)),
        Attempted::RefusedAndClosed => Reply::Close(not_run(head)),
        Attempted::Closed => Reply::LateClose(after),
        Attempted::Unstated => Reply::Late(after, response(head, 503, "", "")),
        Attempted::AfterAnotherRefusal => {
            let another = b"HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            Reply::Twice(another.to_vec(), after, whole)
        }
        Attempted::RefusedWithoutId => {
            let unnamed = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            Reply::Late(after, unnamed.to_vec())
        }
        Attempted::Silent => Reply::Silent,
    }
}

/// Sends the requests, half of them at once, to a router with several servers, of which the daemon
/// ends its requests at a time if one is given; returns those that were answered *not run* although
/// a server has run them.
async fn play_several(requests: Vec<Several>, ends_after: Option<Duration>) -> Vec<String> {
    let runs = Runs::default();
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let (runs, plan) = (runs.clone(), requests.clone());
        let script: Script = Arc::new(move |_, head| {
            let id = id_of(head);
            if id == FIRST_ID {
                return Reply::Bytes(signed(head, "id: 0\ndata: x\n\n"));
            }
            let (attempted, ms) = plan[id.parse::<usize>().expect("a number")].answers[index];
            reply(&runs, head, ATTEMPTED[attempted], Duration::from_millis(ms))
        });
        let (decode, plain) = (Backend::start(script.clone()).await, Backend::start(script).await);
        servers.push(instance(&format!("decode-{index}"), Role::Decode, &decode, State::Live));
        servers.push(instance(&format!("plain-{index}"), Role::Plain, &plain, State::Live));
    }
    let prefill: Script = Arc::new(|_, head| Reply::Bytes(response(head, 200, "", "handle")));
    let prefill = Backend::start(prefill).await;
    servers.push(instance("prefill", Role::Prefill, &prefill, State::Live));
    servers.sort_by(|a, b| a.name.cmp(&b.name));
    let router = router(servers);
    wait_for_grants(&router).await;
    if let Some(after) = ends_after {
        let router = router.clone();
        executor::detach(async move {
            timer::sleep(after).await;
            router.end_requests();
        });
    }
    let asking = requests.into_iter().enumerate().map(|(number, drawn)| {
        let (router, id) = (router.clone(), number.to_string());
        executor::spawn(async move {
            // The second half uses the connections that the first one has left.
            timer::sleep(Duration::from_millis(if number % 2 == 0 { 0 } else { 60 })).await;
            let path = ROUTES[drawn.route];
            let received = ask(&router, path, &id, drawn.timeout_ms, drawn.body_bytes).await;
            (id, received.status)
        })
    });
    let asking: Vec<_> = asking.collect();
    let mut promised = Vec::new();
    for task in asking {
        let (id, status) = task.await;
        if matches!(status, 408 | 421 | 429 | 503) {
            promised.push(id);
        }
    }
    // A request that was sent may begin to run a little later.
    timer::sleep(Duration::from_millis(50)).await;
    let runs = runs.lock().expect("no panic");
    promised.retain(|id| runs.contains(id));
    promised
}

/// Guards against a refusal of one attempt, or a statement about another request, that is taken for
/// all attempts of a request: over several servers, on kept connections, on routes that repeat and
/// routes that don't, also while the daemon ends.
#[test]
fn not_run_is_true_over_several_attempts() {
    let mut runner = TestRunner::new(Config { cases: 32, ..Config::default() });
    let ends_after = prop::option::of(20..150_u64);
    let requests = prop::collection::vec(several(), 16..32);
    let checked = runner.run(&(requests, ends_after), |(requests, ends_after)| {
        let ends_after = ends_after.map(Duration::from_millis);
        let broken = smol::block_on(play_several(requests, ends_after));
        prop_assert!(broken.is_empty(), "refused, and run: {:?}", broken);
        Ok(())
    });
    checked.expect("no such request");
}
