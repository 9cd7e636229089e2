//! Responses whose end can't be told from a length or from chunks, and bytes without end.
//!
//! Guards against a cut response that looks whole, against bytes that are no answer and are passed
//! on as one, and against memory that grows with them.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    ffw_route::router::Router,
    ffw_runtime::budget::{Kind, Side},
    harness::{Backend, Reply, Script, instance, request, requests_ended, router, router_before},
    rstest::rstest,
    std::sync::Arc,
};

/// Head of a signed response that ends with its connection.
fn unframed(head: &Request) -> Vec<u8> {
    let id = head.fields.text("Id").unwrap_or_default();
    format!("HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\n\r\n").into_bytes()
}

fn unframed_with(head: &Request, body: &str) -> Vec<u8> {
    let mut bytes = unframed(head);
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

fn chunk(body: &str) -> Vec<u8> {
    format!("{:x}\r\n{body}\r\n", body.len()).into_bytes()
}

async fn start_streams(decode: Script) -> (Arc<Router>, Backend) {
    let decode = Backend::start(decode).await;
    (router_before(&decode, &decode).await, decode)
}

async fn start_plain(script: Script) -> (Arc<Router>, Backend) {
    let backend = Backend::start(script).await;
    (router(vec![instance("plain", Role::Plain, &backend, State::Live)]), backend)
}

#[test]
fn a_plain_response_that_ends_with_its_connection_is_whole() {
    smol::block_on(async {
        let (router, _) =
            start_plain(Arc::new(|_, head| Reply::Close(unframed_with(head, "all of it")))).await;
        let received = request(&router, "/once/x").await;
        assert_eq!((received.status, received.is_whole), (200, true));
        assert_eq!(received.body, "all of it");
    });
}

#[rstest]
#[case::whole("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", true)]
#[case::with_an_event_without_id_at_its_end("id: 0\ndata: x\n\ndata: end\n\n", true)]
#[case::inside_an_event("id: 0\ndata: x\n\nid: 1\ndata", false)]
#[case::inside_the_first_line("id: 0\ndata: x\n\nid", false)]
fn a_stream_that_ends_with_its_connection_is_whole_after_an_event(
    #[case] body: &'static str,
    #[case] is_whole: bool,
) {
    smol::block_on(async {
        let script: Script = Arc::new(move |_, head| Reply::Close(unframed_with(head, body)));
        let (router, _) = start_streams(script).await;
        let received = request(&router, "/stream/x").await;
        assert_eq!((received.status, received.is_whole), (200, is_whole));
        assert!(received.body.starts_with("id: 0"), "{}", received.body);
        assert_eq!(received.body == body, is_whole, "{}", received.body);
    });
}

#[test]
fn a_stream_that_ends_with_its_connection_before_an_event_is_no_answer() {
    smol::block_on(async {
        let (router, _) = start_streams(Arc::new(|_, head| Reply::Close(unframed(head)))).await;
        let received = request(&router, "/stream/x").await;
        assert_eq!(received.status, 502, "{}", received.body);
    });
}

#[rstest]
#[case::no_protocol(b"\x00\x01\x02garbage", b"garbage without a line end ")]
#[case::a_head_of_many_fields(b"HTTP/1.1 200 X\r\n", b"Field: value\r\n")]
#[case::a_line_without_end(b"HTTP/1.1 200 X\r\nField: ", b"value value value value value ")]
#[case::interim_responses(b"HTTP/1.1 102 X\r\n\r\n", b"HTTP/1.1 102 X\r\n\r\n")]
fn a_head_without_end_is_no_answer(#[case] first: &'static [u8], #[case] again: &'static [u8]) {
    smol::block_on(async {
        for path in ["/once/x", "/stream/x"] {
            let script: Script = Arc::new(|_, _| Reply::Endless(first.to_vec(), again.repeat(40)));
            let (router, backend) = match path {
                "/once/x" => start_plain(script).await,
                _ => start_streams(script).await,
            };
            let received = request(&router, path).await;
            assert_eq!(received.status, 502, "{}", received.body);
            assert!(received.is_whole && received.body.len() < 1_000, "{}", received.body);
            backend.endless_reply_closed().await;
        }
    });
}

/// A plain body without end.
#[rstest]
#[case::until_close("")]
#[case::chunked("Transfer-Encoding: chunked\r\n")]
fn a_plain_body_without_end_is_no_answer(#[case] framing: &'static str) {
    smol::block_on(async {
        let script: Script = Arc::new(move |_, head| {
            let id = head.fields.text("Id").unwrap_or_default();
            let head = format!("HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\n{framing}\r\n");
            let part = "bytes ".repeat(500);
            let part = if framing.is_empty() { part.into_bytes() } else { chunk(&part) };
            Reply::Endless(head.into_bytes(), part)
        });
        let (router, backend) = start_plain(script).await;
        let received = request(&router, "/once/x").await;
        assert_eq!(received.status, 502, "{}", received.body);
        assert!(!received.body.contains("bytes bytes"), "{}", received.body);
        backend.endless_reply_closed().await;
        requests_ended(&router).await;
        // The memory for the request and for its response is free again.
        assert!(router.reserve(1 << 20).is_some());
        assert_eq!(Kind::ALL.map(|kind| router.memory.held(Side::Server, kind)), [0; 4]);
    });
}

/// A stream whose bytes never make an event, or make events without an id.
#[rstest]
#[case::no_line_end("bytes ")]
#[case::lines("data: bytes\n")]
#[case::blank_lines("\n\n")]
#[case::events_without_id("data: bytes\n\n")]
#[case::ids_without_an_event("id: 1\n")]
fn a_stream_without_end_is_no_answer(#[case] part: &'static str) {
    smol::block_on(async {
        let script: Script =
            Arc::new(move |_, head| Reply::Endless(unframed(head), part.repeat(500).into_bytes()));
        let (router, backend) = start_streams(script).await;
        let received = request(&router, "/stream/x").await;
        assert_eq!(received.status, 502, "{}", received.body);
        backend.endless_reply_closed().await;
    });
}

/// The same event again and again.
#[test]
fn an_event_that_comes_twice_breaks_the_stream_off() {
    smol::block_on(async {
        let script: Script =
            Arc::new(|_, head| Reply::Endless(unframed(head), b"id: 0\ndata: x\n\n".to_vec()));
        let (router, backend) = start_streams(script).await;
        let received = request(&router, "/stream/x").await;
        assert!(received.status == 502 || !received.is_whole);
        let events = received.body.matches("id: 0").count();
        assert!(events <= 1, "{}", received.body);
        backend.endless_reply_closed().await;
    });
}

/// The same after some events: the stream is broken off, and nothing of it is passed on.
#[test]
fn bytes_without_end_after_events_break_the_stream_off() {
    smol::block_on(async {
        let script: Script = Arc::new(|_, head| {
            let first = unframed_with(head, "id: 0\ndata: x\n\n");
            Reply::Endless(first, "bytes\n\n".repeat(500).into_bytes())
        });
        let (router, backend) = start_streams(script).await;
        let received = request(&router, "/stream/x").await;
        assert_eq!((received.status, received.is_whole), (200, false));
        assert_eq!(received.body, "id: 0\ndata: x\n\n");
        backend.endless_reply_closed().await;
    });
}
