//! Servers in trouble that answer with a status outside 100..=599, or with interim responses only.
//!
//! Guards against such a response that is taken for an answer: it is passed on to the caller, or
//! what it states is believed.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    harness::{
        Backend, Reply, Script, instance, not_run, request, response, router_before, signed,
    },
    rstest::rstest,
    std::sync::Arc,
};

/// Path of each kind of route.
const PATHS: [&str; 4] = ["/once/x", "/again/x", "/stream/x", "/resumable/x"];

const EVENT: &str = "id: 0\ndata: x\n\n";

/// A response with this status in place of another one.
fn with_status(bytes: &[u8], status: &str) -> Vec<u8> {
    let text = String::from_utf8(bytes.to_vec()).expect("text");
    let (version, rest) = text.split_once(' ').expect("a status line");
    let (_, rest) = rest.split_once(' ').expect("a reason");
    format!("{version} {status} {rest}").into_bytes()
}

async fn start(bytes: impl Fn(&Request) -> Vec<u8> + Send + Sync + 'static) -> Backend {
    let script: Script = Arc::new(move |_, head| Reply::Close(bytes(head)));
    Backend::start(script).await
}

#[rstest]
fn a_status_that_is_none_is_no_answer(
    #[values("000", "001", "099", "600", "999")] status: &'static str,
    #[values(signed_event, not_run, leaving)] reply: fn(&Request) -> Vec<u8>,
) {
    smol::block_on(async {
        for path in PATHS {
            let server = start(move |head| with_status(&reply(head), status)).await;
            let router = router_before(&server, &server).await;
            let received = request(&router, path).await;
            assert_eq!(received.status, 502, "{path} {status}: {}", received.body);
            let is_leaving = ["plain", "decode"].iter().any(|name| !router.may_send(name));
            assert!(!is_leaving, "{path} {status}: a notice of a response that is none");
        }
    });
}

fn signed_event(head: &Request) -> Vec<u8> {
    signed(head, EVENT)
}

fn leaving(head: &Request) -> Vec<u8> {
    response(head, 200, "Signature: s\r\nPushback-Ms: 60000\r\n", EVENT)
}

/// A prefill server's response with such a status names no result.
#[rstest]
fn a_status_that_is_none_is_no_prefill(#[values("000", "099", "600")] status: &'static str) {
    smol::block_on(async {
        let decode = start(signed_event).await;
        let prefill = start(move |head| with_status(&response(head, 200, "", "handle"), status));
        let router = harness::router(vec![
            instance("decode", Role::Decode, &decode, State::Live),
            instance("prefill", Role::Prefill, &prefill.await, State::Live),
        ]);
        request(&router, "/stream/x").await;
        assert!(!decode.calls().contains(&"decode".to_owned()));
    });
}

/// Interim responses, then the end of the connection.
#[rstest]
fn an_interim_response_is_never_the_answer(#[values("100", "103", "199")] status: &'static str) {
    smol::block_on(async {
        for path in PATHS {
            let server = start(move |head| with_status(&signed(head, ""), status)).await;
            let router = router_before(&server, &server).await;
            let received = request(&router, path).await;
            assert_eq!(received.status, 502, "{path} {status}: {}", received.body);
        }
    });
}

/// Guards against an answer that is refused for a status that is unusual but valid.
#[rstest]
fn an_unusual_status_is_an_answer(#[values(299, 399, 499, 599)] status: u16) {
    smol::block_on(async {
        let server = start(move |head| response(head, status, "Signature: s\r\n", "text")).await;
        let router = router_before(&server, &server).await;
        let received = request(&router, "/once/x").await;
        assert_eq!((received.status, &*received.body), (status, "text"));
    });
}
