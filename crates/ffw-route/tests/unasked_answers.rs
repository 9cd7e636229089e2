//! Responses that nobody asked for, on connections to servers: an earlier one again, or late, or
//! before a request is sent.
//!
//! Guards against a response that is taken for that to another request. The gravest is a refusal:
//! the caller is told that its request has not run while a server runs it.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_route::router::Router,
    harness::{Backend, Received, Reply, Script, not_run, response, router_before, send, signed},
    rstest::rstest,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Time that a server takes for the second request.
const WORK_TIME: Duration = Duration::from_millis(80);

async fn ask(router: &Arc<Router>, path: &str, id: &str) -> Received {
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: h\r\nId: {id}\r\nContent-Length: 2\r\n\r\nhi");
    send(router, head.as_bytes()).await
}

fn body(head: &Request) -> Vec<u8> {
    signed(head, "id: 0\ndata: x\n\n")
}

fn without_id(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8(bytes.to_vec()).expect("text");
    let lines = text.split_inclusive("\r\n").filter(|line| !line.starts_with("Id:"));
    lines.collect::<String>().into_bytes()
}

/// What the server sends once more when the second request arrives.
#[derive(Clone, Copy, Debug)]
enum Again {
    Whole,
    WithoutId,
    TwoTimes,
}

/// The first request is refused, answered or failed; its response comes once more when the second
/// request, on the same connection, is being run.
#[rstest]
fn a_response_that_comes_again_is_not_taken_for_that_to_the_next_request(
    #[values("/once/x", "/again/x", "/stream/x")] path: &'static str,
    #[values(Again::Whole, Again::WithoutId, Again::TwoTimes)] again: Again,
    #[values("refused", "answered", "failed")] first: &'static str,
) {
    smol::block_on(async {
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let (earlier, script_runs): (Arc<Mutex<Vec<u8>>>, _) = (Arc::default(), runs.clone());
        let script: Script = Arc::new(move |number, head| {
            let id = head.fields.text("Id").unwrap_or_default().to_owned();
            let mut earlier = earlier.lock().expect("no panic");
            if number == 0 {
                *earlier = match first {
                    "refused" => not_run(head),
                    "answered" => body(head),
                    _ => response(head, 500, "Signature: s\r\n", "failed"),
                };
                return Reply::Bytes(earlier.clone());
            }
            script_runs.lock().expect("no panic").push(id);
            let again = match again {
                Again::Whole => earlier.clone(),
                Again::WithoutId => without_id(&earlier),
                Again::TwoTimes => earlier.repeat(2),
            };
            Reply::Twice(again, WORK_TIME, body(head))
        });
        let backend = Backend::start(script).await;
        let router = router_before(&backend, &backend).await;
        ask(&router, path, "first").await;
        let received = ask(&router, path, "second").await;
        let has_run = runs.lock().expect("no panic").contains(&"second".to_owned());
        assert!(received.status != 503 || !has_run, "{}", received.body);
        if received.status == 200 {
            assert_eq!(received.body, "id: 0\ndata: x\n\n");
            assert!(!matches!(again, Again::WithoutId), "whose answer it is can't be known");
        }
    });
}

/// A caller sends an id twice. A late response to the first request could not be told from that to
/// the second, so that each has a connection of its own.
#[rstest]
fn an_id_is_sent_once_on_a_connection(#[values("/once/x", "/stream/x")] path: &'static str) {
    smol::block_on(async {
        let script: Script = Arc::new(|_, head| Reply::Bytes(not_run(head)));
        let backend = Backend::start(script).await;
        let router = router_before(&backend, &backend).await;
        let calls = |backend: &Backend| backend.calls().len();
        for _ in 0..2 {
            assert_eq!(ask(&router, path, "same").await.status, 503);
        }
        assert_eq!(backend.connections(), calls(&backend), "an id twice on a connection");
        let before = backend.connections();
        ask(&router, path, "other").await;
        assert!(backend.connections() <= before + calls(&backend) - 2);
    });
}

/// A server sends a response before it has read a request.
#[rstest]
#[case::a_refusal("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::a_refusal_of_another(
    "HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::a_success("HTTP/1.1 200 X\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwrong")]
#[case::no_protocol("wrong bytes\r\n\r\n")]
fn a_response_before_the_request_is_not_taken_for_its_own(#[case] greeting: &'static str) {
    smol::block_on(async {
        for path in ["/once/x", "/again/x", "/stream/x"] {
            let runs: Arc<Mutex<Vec<String>>> = Arc::default();
            let script_runs = runs.clone();
            let script: Script = Arc::new(move |_, head| {
                let id = head.fields.text("Id").unwrap_or_default().to_owned();
                script_runs.lock().expect("no panic").push(id);
                Reply::Late(WORK_TIME, body(head))
            });
            let backend = Backend::start_eager(greeting.as_bytes().to_vec(), script).await;
            let router = router_before(&backend, &backend).await;
            for number in 0..10 {
                let id = format!("r{number}");
                let received = ask(&router, path, &id).await;
                smol::Timer::after(Duration::from_millis(5)).await;
                let has_run = runs.lock().expect("no panic").contains(&id);
                assert!(received.status != 503 || !has_run, "{path}: {}", received.body);
                assert!(!received.body.contains("wrong"), "{path}: {}", received.body);
            }
        }
    });
}
