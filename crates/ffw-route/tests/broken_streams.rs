//! Streams whose run breaks off after some events, and whose next server answers with an error or
//! with something else than a stream.
//!
//! Guards against text of an error in the middle of a caller's stream, and against a stream that
//! ends as if it were complete although events are missing.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    ffw_route::router::Router,
    harness::{
        Backend, Received, Reply, Script, instance, response, router, router_before, send,
        send_and_stop,
    },
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Events of a whole stream; the first run sends half of them.
const EVENTS: usize = 6;

fn events(range: std::ops::Range<usize>) -> String {
    range.map(|number| format!("id: {number}\ndata: x\n\n")).collect()
}

fn chunked(head: &Request, kind: &str, body: &str, end: &str) -> Vec<u8> {
    let id = head.fields.text("Id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\n{kind}Transfer-Encoding: chunked\r\n\r\n"
    );
    let chunk = match body.len() {
        0 => String::new(),
        length => format!("{length:x}\r\n{body}\r\n"),
    };
    format!("{head}{chunk}{end}").into_bytes()
}

const STREAM: &str = "Content-Type: text/event-stream\r\n";
const END: &str = "0\r\n\r\n";

/// Time after which a daemon ends. The first run must have sent its events by then, and is silent
/// for less than the time after which it counts as broken.
const DAEMON_TIME: Duration = Duration::from_millis(900);

/// What the second server answers.
#[derive(Clone, Copy, Debug)]
enum Next {
    Status(u16),
    /// A signed success of another media type with this body.
    Other(&'static str),
    /// A stream with this text in it, to its end.
    Text(&'static str),
    /// A stream with a length that ends at once.
    Empty,
    /// The same in chunks.
    EmptyChunks,
    /// A stream to the end of the connection, without an event.
    EmptyUntilClose,
    /// The answer to another request.
    Foreign,
    /// A stream that begins again from its first event.
    FromStart,
}

fn next_reply(head: &Request, next: Next) -> Reply {
    let id = head.fields.text("Id").unwrap_or_default();
    match next {
        Next::Status(status) => {
            Reply::Bytes(response(head, status, "Signature: s\r\n", "error text"))
        }
        Next::Other(body) => Reply::Bytes(response(
            head,
            200,
            "Signature: s\r\nContent-Type: application/json\r\n",
            body,
        )),
        Next::Text(text) => Reply::Bytes(chunked(head, STREAM, text, END)),
        Next::Empty => Reply::Bytes(response(head, 200, &format!("Signature: s\r\n{STREAM}"), "")),
        Next::EmptyChunks => Reply::Bytes(chunked(head, STREAM, "", END)),
        Next::EmptyUntilClose => Reply::Close(
            format!("HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\n{STREAM}\r\n").into_bytes(),
        ),
        Next::Foreign => {
            let mut other = head.clone();
            other.fields.set("Id", "other");
            Reply::Close(chunked(&other, STREAM, &events(3..EVENTS), END))
        }
        Next::FromStart => Reply::Bytes(chunked(head, STREAM, &events(0..EVENTS), END)),
    }
}

/// A router before servers of which the first run breaks off, the second answers as given, and the
/// third one goes on.
async fn start(next: Next, goes_on: bool) -> Arc<Router> {
    let prefill: Script = Arc::new(|_, head| Reply::Bytes(response(head, 200, "", "handle")));
    let prefill = Backend::start(prefill).await;
    let calls = Arc::new(AtomicUsize::new(0));
    let script: Script = Arc::new(move |_, head| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Close(chunked(head, STREAM, &events(0..EVENTS / 2), "")),
        2 if goes_on => Reply::Bytes(chunked(head, STREAM, &events(EVENTS / 2..EVENTS), END)),
        _ => next_reply(head, next),
    });
    let mut servers = vec![instance("prefill", Role::Prefill, &prefill, State::Live)];
    for number in 0..4 {
        let decode = Backend::start(script.clone()).await;
        let name = format!("decode-{number}");
        servers.push(instance(&name, Role::Decode, &decode, State::Live));
    }
    servers.sort_by(|a, b| a.name.cmp(&b.name));
    router(servers)
}

async fn ask(router: &Arc<Router>, path: &str, version: &str) -> Received {
    let head =
        format!("POST {path} HTTP/{version}\r\nHost: h\r\nId: r1\r\nContent-Length: 2\r\n\r\nhi");
    send(router, head.as_bytes()).await
}

/// The caller gets the whole stream, or sees that it was cut; in no case anything else.
#[rstest]
fn only_events_of_the_stream_reach_the_caller(
    #[values(
        Next::Status(500),
        Next::Status(404),
        Next::Status(204),
        Next::Status(302),
        Next::Other("{\"error\": 1}"),
        Next::Other("id: 9\ndata: wrong\n\n"),
        Next::Other(""),
        Next::Text("error text\n\n"),
        Next::Text("error: text\n\n"),
        Next::Text("HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\ntext"),
        Next::Text("HTTP/1.1 100 Continue\r\n\r\nid: 3\ndata: wrong\n\n"),
        Next::Text("id: 3\ndata: x\n\nHTTP/1.1 502 X\r\n\r\n"),
        Next::Text("id: 3\ndata: x\n\nerror: text\n\n"),
        Next::Text("<html>\n\n"),
        Next::Text("id: 3\ndata"),
        Next::Text("id: x\nerror: text\n\n"),
        Next::Empty,
        Next::EmptyChunks,
        Next::EmptyUntilClose,
        Next::Foreign,
        Next::FromStart
    )]
    next: Next,
    #[values(true, false)] goes_on: bool,
    #[values("1.1", "1.0")] version: &'static str,
) {
    smol::block_on(async {
        let router = start(next, goes_on).await;
        let received = ask(&router, "/resumable/x", version).await;
        assert_eq!(received.status, 200);
        let whole = events(0..EVENTS);
        assert!(whole.starts_with(&received.body), "{}", received.body);
        assert!(received.body.len() >= events(0..EVENTS / 2).len(), "{}", received.body);
        assert_eq!(received.is_whole, received.body == whole, "{}", received.body);
        let is_sound_elsewhere = goes_on && !matches!(next, Next::Text(_));
        assert!(!is_sound_elsewhere || received.is_whole, "the third server goes on");
    });
}

/// A caller takes a stream up, and the first server ends it at once although events are due.
#[rstest]
#[case::with_a_length(Next::Empty)]
#[case::in_chunks(Next::EmptyChunks)]
#[case::until_close(Next::EmptyUntilClose)]
fn a_stream_that_is_taken_up_does_not_end_without_an_event(#[case] next: Next) {
    smol::block_on(async {
        let prefill: Script = Arc::new(|_, head| Reply::Bytes(response(head, 200, "", "handle")));
        let prefill = Backend::start(prefill).await;
        let calls = Arc::new(AtomicUsize::new(0));
        let script: Script = Arc::new(move |_, head| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => next_reply(head, next),
            _ => Reply::Bytes(chunked(head, STREAM, &events(EVENTS / 2..EVENTS), END)),
        });
        let mut servers = vec![instance("prefill", Role::Prefill, &prefill, State::Live)];
        for name in ["decode-0", "decode-1"] {
            let decode = Backend::start(script.clone()).await;
            servers.push(instance(name, Role::Decode, &decode, State::Live));
        }
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        let router = router(servers);
        let last = EVENTS / 2 - 1;
        let head = format!(
            "POST /resumable/x HTTP/1.1\r\nHost: h\r\nId: r2\r\nResumes: r1\r\nLast-Event: {last}\r\n\
             Content-Length: 2\r\n\r\nhi"
        );
        let received = send(&router, head.as_bytes()).await;
        assert_eq!((received.status, received.is_whole), (200, true), "{}", received.body);
        assert_eq!(received.body, events(EVENTS / 2..EVENTS));
    });
}

/// A stream that may not be resumed is cut, whatever the next server would answer.
#[rstest]
fn a_stream_that_may_not_be_resumed_is_cut(#[values("1.1", "1.0")] version: &'static str) {
    smol::block_on(async {
        let router = start(Next::EmptyChunks, true).await;
        let received = ask(&router, "/stream/x", version).await;
        assert_eq!((received.status, received.is_whole), (200, false));
        assert_eq!(received.body, events(0..EVENTS / 2));
    });
}

/// The first answer to a stream is no event stream.
#[rstest]
#[case::another_type(Next::Other("{\"error\": 1}\n\n"))]
#[case::text(Next::Text("error text\n\n"))]
#[case::a_head(Next::Text("HTTP/1.1 500 X\r\n\r\n"))]
fn a_first_answer_that_is_no_stream_is_not_passed_on(#[case] next: Next) {
    smol::block_on(async {
        let decode: Script = Arc::new(move |_, head| next_reply(head, next));
        let decode = Backend::start(decode).await;
        let router = router_before(&decode, &decode).await;
        let received = ask(&router, "/stream/x", "1.1").await;
        assert_eq!(received.status, 502, "{}", received.body);
        assert!(!received.body.contains("error text"), "{}", received.body);
    });
}

/// The daemon ends, or the task of the connection panics, in the middle of a stream: its caller
/// must not take what it got for the whole stream.
#[rstest]
fn a_stream_whose_daemon_ends_is_cut(#[values("1.1", "1.0")] version: &'static str) {
    smol::block_on(async {
        let first: Script = Arc::new(|_, head| {
            let begun = chunked(head, STREAM, &events(0..EVENTS / 2), "");
            Reply::Twice(begun, 2 * DAEMON_TIME, Vec::new())
        });
        let decode = Backend::start(first).await;
        let router = router_before(&decode, &decode).await;
        let head = format!(
            "POST /stream/x HTTP/{version}\r\nHost: h\r\nId: r1\r\nContent-Length: 2\r\n\r\nhi"
        );
        let received = send_and_stop(&router, head.as_bytes(), DAEMON_TIME).await;
        assert_eq!((received.status, received.is_whole), (200, false));
        assert_eq!(received.body, events(0..EVENTS / 2));
    });
}
