//! Servers that answer long uploads at once and end the connection while the upload is still being
//! written.
//!
//! Guards against a part of an answer that reaches the caller as a complete one.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    ffw_route::router::Router,
    harness::{
        Backend, EarlyEnd, Received, Reply, Script, instance, router_with_memory, send, signed,
    },
    rstest::rstest,
    std::sync::Arc,
};

/// Size of an upload that the kernel's buffers hold in part or whole, in bytes.
const UPLOAD_BYTES: usize = 4_000_000;

/// Size of an upload that the kernel's buffers never hold, in bytes.
const UNBUFFERED_BYTES: usize = 16_000_000;

/// Memory for the bodies of requests and responses, in bytes.
const MEMORY_BYTES: usize = 64 << 20;

/// Number of uploads for each kind of route. Part of the resets are seen by reading in any case.
const UPLOADS: usize = 48;

/// Number of uploads where the end does not depend on the order of events.
const FEW_UPLOADS: usize = 8;

const EVENT: &str = "id: 0\ndata: x\n\n";

fn unstated(head: &Request) -> Vec<u8> {
    let id = head.fields.text("Id").unwrap_or_default();
    format!("HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\n\r\n{EVENT}").into_bytes()
}

fn stated(head: &Request) -> Vec<u8> {
    signed(head, EVENT)
}

fn chunked(head: &Request) -> Vec<u8> {
    let id = head.fields.text("Id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
         {:x}\r\n{EVENT}\r\n0\r\n\r\n",
        EVENT.len(),
    )
    .into_bytes()
}

/// A server that reads each request and answers it like `answer`.
async fn sound(answer: fn(&Request) -> Vec<u8>) -> Backend {
    let script: Script = Arc::new(move |_, head| Reply::Close(answer(head)));
    Backend::start(script).await
}

/// A router before these servers; without a prefill server, the decode server reads the prompts.
fn router(plain: &Backend, decode: &Backend, prefill: Option<&Backend>) -> Arc<Router> {
    let mut servers = vec![
        instance("decode", Role::Decode, decode, State::Live),
        instance("plain", Role::Plain, plain, State::Live),
    ];
    servers.extend(prefill.map(|prefill| instance("prefill", Role::Prefill, prefill, State::Live)));
    router_with_memory(servers, MEMORY_BYTES)
}

async fn upload(router: &Arc<Router>, path: &str, number: usize, bytes: usize) -> Received {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nId: r{number}\r\nContent-Length: {bytes}\r\n\r\n"
    );
    send(router, &[head.as_bytes(), &vec![b'x'; bytes]].concat()).await
}

#[rstest]
#[case::reset(EarlyEnd::Reset, UPLOADS, UPLOAD_BYTES)]
#[case::closing(EarlyEnd::Close, UPLOADS, UPLOAD_BYTES)]
#[case::regular_end(EarlyEnd::Regular, FEW_UPLOADS, UNBUFFERED_BYTES)]
fn an_answer_that_is_cut_during_the_upload_is_not_complete(
    #[case] end: EarlyEnd,
    #[case] uploads: usize,
    #[case] bytes: usize,
    #[values("/once/x", "/again/x", "/stream/x", "/resumable/x")] path: &'static str,
) {
    smol::block_on(async {
        let mut complete = 0;
        for number in 0..uploads {
            let early = Backend::start_early(unstated, end).await;
            let router = router(&early, &early, None);
            let received = upload(&router, path, number, bytes).await;
            complete += usize::from(received.status == 200 && received.is_whole);
            assert!(matches!(received.status, 200 | 502), "{received:?}");
        }
        assert_eq!(complete, 0, "of {uploads} uploads to {path}, {end:?}");
    });
}

/// Guards against a prefill whose cut answer is taken for the name of a whole result.
#[test]
fn a_prefill_whose_answer_is_cut_during_the_upload_has_no_result() {
    smol::block_on(async {
        for number in 0..FEW_UPLOADS {
            let early = Backend::start_early(unstated, EarlyEnd::Regular).await;
            let decode = sound(stated).await;
            let router = router(&early, &decode, Some(&early));
            upload(&router, "/stream/x", number, UNBUFFERED_BYTES).await;
            let is_used = decode.calls().contains(&"decode".to_owned());
            assert!(!is_used, "a part of an answer was used as a handle");
        }
    });
}

/// Guards against the loss of an answer that is whole, though its server has not read the request.
#[rstest]
fn an_early_answer_with_a_stated_end_is_served(
    #[values("/once/x", "/again/x", "/stream/x", "/resumable/x")] path: &'static str,
    #[values(stated, chunked)] answer: fn(&Request) -> Vec<u8>,
) {
    smol::block_on(async {
        let early = Backend::start_early(answer, EarlyEnd::Regular).await;
        let router = router(&early, &early, None);
        for number in 0..8 {
            let received = upload(&router, path, number, UPLOAD_BYTES).await;
            assert!(received.status == 200 && received.is_whole, "{received:?}");
            assert_eq!(received.body, EVENT);
        }
    });
}

/// Guards against the loss of an answer that ends with its connection after the whole request was
/// read.
#[rstest]
fn an_answer_without_a_stated_end_to_a_whole_upload_is_served(
    #[values("/once/x", "/again/x", "/stream/x", "/resumable/x")] path: &'static str,
    #[values(2, 1_000_000)] bytes: usize,
) {
    smol::block_on(async {
        let plain = sound(unstated).await;
        let router = router(&plain, &plain, None);
        for number in 0..8 {
            let received = upload(&router, path, number, bytes).await;
            assert!(received.status == 200 && received.is_whole, "{received:?}");
            assert_eq!(received.body, EVENT);
        }
    });
}
