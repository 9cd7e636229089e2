//! Servers that stop in the middle of the head of a response and close the connection.
//!
//! Guards against a part of a head that is taken for a head: a caller would get a success with an
//! empty or short body that looks complete.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    harness::{
        Backend, Received, Reply, Script, instance, request, response, router, router_before,
        signed,
    },
    rstest::rstest,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// What the server says about the end of the body, and what comes before its head.
#[derive(Clone, Copy, Debug)]
enum Form {
    Length,
    Chunks,
    /// The body ends with the connection.
    UntilClose,
    /// The same in HTTP/1.0.
    Old,
    /// An interim response comes first.
    AfterInterim,
    /// The response to another request comes first.
    AfterForeign,
    /// Lines end without a carriage return.
    BareLineEnds,
}

const EVENTS: &str = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n";

/// What comes before the head, and the head.
fn head_of(call: &Request, form: Form) -> (Vec<u8>, Vec<u8>) {
    let id = call.fields.text("Id").unwrap_or_default();
    let fields = format!("Id: {id}\r\nSignature: s\r\nContent-Type: text/event-stream\r\n");
    let length = format!("Content-Length: {}\r\n", EVENTS.len());
    let head = |version: &str, framing: &str| {
        format!("HTTP/{version} 200 X\r\n{fields}{framing}\r\n").into_bytes()
    };
    match form {
        Form::Length => (Vec::new(), head("1.1", &length)),
        Form::Chunks => (Vec::new(), head("1.1", "Transfer-Encoding: chunked\r\n")),
        Form::UntilClose => (Vec::new(), head("1.1", "")),
        Form::Old => (Vec::new(), head("1.0", "")),
        Form::AfterInterim => (b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), head("1.1", &length)),
        Form::AfterForeign => {
            let mut other = call.clone();
            other.fields.set("Id", "other");
            (signed(&other, EVENTS), head("1.1", &length))
        }
        Form::BareLineEnds => {
            let text = String::from_utf8(head("1.1", &length)).expect("text");
            (Vec::new(), text.replace("\r\n", "\n").into_bytes())
        }
    }
}

/// A script that sends the head without its last `missing` bytes and closes.
fn cut_by(missing: usize, form: Form) -> Script {
    Arc::new(move |_, call| {
        let (mut bytes, head) = head_of(call, form);
        bytes.extend_from_slice(&head[..head.len() - missing]);
        Reply::Close(bytes)
    })
}

/// Bytes of the longest part of a head that can be missing: none but the first one is left.
fn head_bytes(form: Form) -> usize {
    let mut call = Request::new("POST", "/");
    call.fields.set("Id", "r1");
    head_of(&call, form).1.len()
}

fn check(received: &Received, missing: usize) {
    let is_whole_success = received.status == 200 && received.is_whole;
    assert!(!is_whole_success, "{missing} bytes of the head are missing: {received:?}");
    assert_eq!(received.status, 502, "{missing} bytes of the head are missing: {received:?}");
}

#[rstest]
fn a_plain_response_with_a_cut_head_is_a_failure(
    #[values(
        Form::Length,
        Form::Chunks,
        Form::UntilClose,
        Form::Old,
        Form::AfterInterim,
        Form::AfterForeign,
        Form::BareLineEnds
    )]
    form: Form,
    #[values("/once/x", "/again/x")] path: &str,
) {
    smol::block_on(async {
        for missing in 1..head_bytes(form) {
            let backend = Backend::start(cut_by(missing, form)).await;
            let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
            check(&request(&router, path).await, missing);
        }
    });
}

#[rstest]
fn a_stream_with_a_cut_head_is_a_failure(
    #[values(
        Form::Length,
        Form::Chunks,
        Form::UntilClose,
        Form::Old,
        Form::AfterInterim,
        Form::AfterForeign,
        Form::BareLineEnds
    )]
    form: Form,
) {
    smol::block_on(async {
        for missing in 1..head_bytes(form) {
            let plain = Backend::gone().await;
            let decode = Backend::start(cut_by(missing, form)).await;
            let router = router_before(&plain, &decode).await;
            check(&request(&router, "/stream/x").await, missing);
        }
    });
}

/// The second response on a kept connection is cut.
#[test]
fn a_second_response_with_a_cut_head_is_a_failure() {
    smol::block_on(async {
        for missing in 1..head_bytes(Form::Length) {
            let cut = cut_by(missing, Form::Length);
            let script: Script = Arc::new(move |number, call| match number {
                0 => Reply::Bytes(signed(call, "first")),
                _ => cut(number, call),
            });
            let backend = Backend::start(script).await;
            let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
            assert_eq!(request(&router, "/once/x").await.body, "first");
            let second = harness::send(
                &router,
                b"POST /once/x HTTP/1.1\r\nHost: h\r\nId: r2\r\nContent-Length: 2\r\n\r\nhi",
            );
            check(&second.await, missing);
        }
    });
}

/// A run breaks off in the middle of its stream, and the head of the next one is cut. The caller
/// sees that its stream was cut.
#[test]
fn a_stream_that_is_resumed_with_a_cut_head_does_not_look_complete() {
    smol::block_on(async {
        for missing in (1..head_bytes(Form::Length)).step_by(7) {
            let calls = AtomicUsize::new(0);
            let cut = cut_by(missing, Form::Length);
            let script: Script = Arc::new(move |number, call| {
                if calls.fetch_add(1, Ordering::SeqCst) > 0 {
                    return cut(number, call);
                }
                let (_, mut bytes) = head_of(call, Form::Chunks);
                bytes.extend_from_slice(b"f\r\nid: 0\ndata: x\n\n\r\n");
                Reply::Close(bytes)
            });
            let plain = Backend::gone().await;
            let decode = Backend::start(script).await;
            let router = router_before(&plain, &decode).await;
            let received = request(&router, "/resumable/x").await;
            assert!(!received.is_whole, "{missing} bytes are missing: {received:?}");
        }
    });
}

/// The head of a prefill server's response is cut: its handle is not used.
#[test]
fn a_prefill_with_a_cut_head_yields_no_handle() {
    smol::block_on(async {
        let whole: Vec<u8> = {
            let mut call = Request::new("POST", "/");
            call.fields.set("Id", "r1");
            response(&call, 200, "", "handle")
        };
        let head = whole.len() - "handle".len();
        for missing in 1..head {
            let cut: Script = Arc::new(move |_, call| {
                let whole = response(call, 200, "", "handle");
                Reply::Close(whole[..head - missing].to_vec())
            });
            let prefill = Backend::start(cut).await;
            let decode = Backend::start(Arc::new(|_, call| Reply::Bytes(signed(call, EVENTS))));
            let decode = decode.await;
            let router = router(vec![
                instance("decode", Role::Decode, &decode, State::Live),
                instance("prefill", Role::Prefill, &prefill, State::Live),
            ]);
            let received = request(&router, "/stream/x").await;
            assert_ne!(received.status, 200, "{missing} bytes are missing: {received:?}");
            assert_eq!(decode.calls().len(), 0, "{missing} bytes are missing");
        }
    });
}

/// Only the status line came, or a part of the fields, and then the empty line that ends a head: it
/// says nothing of whose answer it is, and names no body.
#[rstest]
fn a_head_without_its_fields_is_a_failure(
    #[values(
        "HTTP/1.1 200 X\r\n\r\n",
        "HTTP/1.0 200 X\r\n\r\n",
        "HTTP/1.1 200 X\r\nId: r1\r\n\r\n"
    )]
    head: &'static str,
    #[values("/once/x", "/again/x", "/stream/x")] path: &str,
) {
    smol::block_on(async {
        let script: Script = Arc::new(move |_, _| Reply::Close(head.into()));
        let plain = Backend::start(script.clone()).await;
        let decode = Backend::start(script).await;
        let router = router_before(&plain, &decode).await;
        check(&request(&router, path).await, 0);
    });
}
