//! Plain requests to servers that fail in different ways.
//!
//! Guards against requests that run twice although their route does not allow it, responses that
//! belong to another request, and errors that state more about a request than is known.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_protocol::instance::{Role, State},
    ffw_runtime::budget::{Kind, Side},
    harness::{
        Backend, Received, Reply, Script, instance, not_run, request, requests_ended, response,
        router, send, signed,
    },
    rstest::rstest,
    std::sync::Arc,
};

fn script(
    reply: impl Fn(usize, &ffw_http::message::Request) -> Reply + Send + Sync + 'static,
) -> Script {
    Arc::new(reply)
}

/// Sends a request to two servers. The first call is answered by the script, every later call
/// with a success. Returns the response and the number of calls.
async fn request_with_scripted_first(path: &str, script: Script) -> (Received, usize) {
    let first = Arc::new(std::sync::atomic::AtomicBool::new(true));
    let reply: Script = Arc::new(move |number, head| {
        let is_first = first.swap(false, std::sync::atomic::Ordering::SeqCst);
        if is_first { script(number, head) } else { Reply::Bytes(signed(head, "whole")) }
    });
    let (a, b) = (Backend::start(reply.clone()).await, Backend::start(reply).await);
    let servers = vec![
        instance("a", Role::Plain, &a, State::Live),
        instance("b", Role::Plain, &b, State::Live),
    ];
    let received = request(&router(servers), path).await;
    (received, a.calls().len() + b.calls().len())
}

#[rstest]
#[case::broken_off(script(|_, _| Reply::CloseUnanswered))]
#[case::cut_body(script(|_, head| {
    let mut bytes = signed(head, "whole");
    bytes.truncate(bytes.len() - 2);
    Reply::Close(bytes)
}))]
#[case::no_http_response(script(|_, _| Reply::Close(b"rubbish\r\n\r\n".to_vec())))]
#[case::unsigned(script(|_, head| Reply::Bytes(response(head, 200, "", "whole"))))]
#[case::without_id(script(|_, _| Reply::Bytes(
    b"HTTP/1.1 200 X\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwhole".to_vec()
)))]
fn only_a_request_that_may_run_twice_is_sent_again_after_a_failure(#[case] failure: Script) {
    smol::block_on(async {
        let (received, calls) = request_with_scripted_first("/once/x", failure.clone()).await;
        assert_eq!((received.status, calls), (502, 1), "{received:?}");
        let (received, calls) = request_with_scripted_first("/again/x", failure).await;
        assert_eq!((received.status, calls), (200, 2), "{received:?}");
    });
}

#[rstest]
#[case::once("/once/x")]
#[case::again("/again/x")]
fn a_request_that_did_not_run_is_sent_to_another_server(#[case] path: &str) {
    smol::block_on(async {
        let refusal = script(|_, head| Reply::Bytes(not_run(head)));
        let (received, calls) = request_with_scripted_first(path, refusal).await;
        assert_eq!((received.status, received.body.as_str(), calls), (200, "whole", 2));
    });
}

#[test]
fn a_refusal_by_all_servers_has_a_retry_after() {
    smol::block_on(async {
        let refusal = script(|_, head| Reply::Bytes(not_run(head)));
        let backend = Backend::start(refusal).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        let received = request(&router, "/once/x").await;
        assert_eq!(received.status, 503);
        assert!(received.retry_after.is_some(), "{received:?}");
    });
}

#[rstest]
#[case(503)]
#[case(429)]
#[case(408)]
fn a_status_that_promises_more_than_the_server_stated_is_not_passed_on(#[case] status: u16) {
    smol::block_on(async {
        let reply =
            script(move |_, head| Reply::Bytes(response(head, status, "Signature: s\r\n", "")));
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        assert_eq!(request(&router, "/once/x").await.status, 502);
    });
}

#[test]
fn a_response_to_another_request_is_skipped() {
    smol::block_on(async {
        let reply = script(|_, head| {
            let mut bytes =
                b"HTTP/1.1 200 X\r\nId: old\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold"
                    .to_vec();
            bytes.extend(signed(head, "mine"));
            Reply::Bytes(bytes)
        });
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        let received = request(&router, "/once/x").await;
        assert_eq!((received.status, received.body.as_str()), (200, "mine"));
    });
}

#[test]
fn a_connection_with_an_extra_response_carries_no_further_request() {
    smol::block_on(async {
        let reply = script(|number, head| {
            let mut bytes = signed(head, if number == 0 { "first" } else { "second" });
            bytes.extend(signed(head, "extra"));
            Reply::Bytes(bytes)
        });
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        assert_eq!(request(&router, "/again/x").await.body, "first");
        assert_eq!(request(&router, "/again/x").await.body, "second");
    });
}

#[test]
fn an_error_response_of_the_server_is_passed_on_unchanged() {
    smol::block_on(async {
        let reply = script(|_, head| Reply::Bytes(response(head, 500, "Signature: s\r\n", "bad")));
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        for path in ["/once/x", "/again/x"] {
            let received = request(&router, path).await;
            assert_eq!((received.status, received.body.as_str()), (500, "bad"), "{path}");
        }
    });
}

#[test]
fn a_leaving_server_receives_no_request() {
    smol::block_on(async {
        let reply = script(|_, head| Reply::Bytes(signed(head, "whole")));
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Leaving)]);
        assert_eq!(request(&router, "/again/x").await.status, 503);
        assert!(backend.calls().is_empty());
    });
}

#[test]
fn a_path_without_a_route_is_not_found_and_ambiguous_framing_is_rejected() {
    smol::block_on(async {
        let reply = script(|_, head| Reply::Bytes(signed(head, "whole")));
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        assert_eq!(request(&router, "/nowhere/x").await.status, 404);
        let smuggled = b"POST /once/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 3\r\n\
            Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        assert_eq!(harness::send(&router, smuggled).await.status, 400);
        assert!(backend.calls().is_empty());
    });
}

/// Checks that the bodies that a daemon holds at once are bounded, with a declared length and with
/// chunks, and that the memory of a refused body is released.
#[rstest]
#[case::with_a_length(false)]
#[case::in_chunks(true)]
fn a_body_for_which_there_is_no_memory_is_refused(#[case] in_chunks: bool) {
    const BYTES: usize = 1_500_000;
    let body = vec![b'x'; BYTES];
    let mut bytes = b"POST /once/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n".to_vec();
    if in_chunks {
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        for chunk in body.chunks(10_000) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
    } else {
        bytes.extend_from_slice(format!("Content-Length: {BYTES}\r\n\r\n").as_bytes());
        bytes.extend_from_slice(&body);
    }
    smol::block_on(async {
        let backend = Backend::start(script(|_, head| Reply::Bytes(signed(head, "whole")))).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        let received = send(&router, &bytes).await;
        assert_eq!((received.status, backend.calls().len()), (503, 0), "{received:?}");
        assert!(
            router.reserve(1 << 20).is_some(),
            "memory stays reserved for a body that was refused"
        );
    });
}

/// Interim responses of any status go before the response; one that switches protocols is none.
#[rstest]
#[case::continues("100 Continue", 200)]
#[case::not_assigned("104 X", 200)]
#[case::the_last_one("199 X", 200)]
#[case::switches_protocols("101 Switching Protocols", 502)]
fn an_interim_response_is_not_the_answer(#[case] interim: &'static str, #[case] status: u16) {
    smol::block_on(async {
        let reply = script(move |_, head| {
            let id = head.fields.text("Id").unwrap_or_default();
            let mut bytes = format!("HTTP/1.1 {interim}\r\nId: {id}\r\n\r\n").into_bytes();
            bytes.extend(signed(head, "whole"));
            Reply::Bytes(bytes)
        });
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        let received = request(&router, "/once/x").await;
        assert_eq!(received.status, status, "{received:?}");
        assert_eq!(received.body == "whole", status == 200, "{received:?}");
    });
}

/// With a price for bytes between data centres, requests stay with the own data centre's servers, and
/// leave at once if it has none or they refuse. Guards against refusals while another data
/// centre has room, and against calls that are counted under a wrong cause.
#[rstest]
#[case::own_servers(Some(true), None)]
#[case::no_own_servers(None, Some("no_servers"))]
#[case::own_servers_refuse(Some(false), Some("repeat"))]
fn a_request_leaves_its_data_centre_only_with_a_cause(
    #[case] own: Option<bool>,
    #[case] cause: Option<&str>,
) {
    smol::block_on(async {
        let reply = |serves: bool| {
            script(move |_, head| {
                Reply::Bytes(if serves { signed(head, "whole") } else { not_run(head) })
            })
        };
        let remote = Backend::start(reply(true)).await;
        let mut far = instance("far", Role::Plain, &remote, State::Live);
        far.data_centre = "b".into();
        let mut servers = vec![far];
        if let Some(serves) = own {
            let backend = Backend::start(reply(serves)).await;
            servers.push(instance("near", Role::Plain, &backend, State::Live));
        }
        let router = router(servers);
        router.set_price(0.0);
        for _ in 0..20 {
            assert_eq!(request(&router, "/once/x").await.status, 200);
        }
        router.update_gauges();
        let text = router.daemon.metrics.text();
        assert_eq!(remote.calls().is_empty(), cause.is_none(), "{text}");
        assert!(text.contains("fireflyworks_away_share{pool=\"plain\"}"), "{text}");
        for known in ["target", "no_servers", "repeat", "failing"] {
            let series = format!("cause=\"{known}\",data_centre=\"b\",pool=\"plain\"");
            let may_be = own == Some(false) && known == "target";
            assert!(may_be || text.contains(&series) == (cause == Some(known)), "{known}: {text}");
        }
    });
}

/// Guards deployments without the setting: nothing of locality is computed or exported.
#[test]
fn without_a_price_no_share_is_exported() {
    smol::block_on(async {
        let backend = Backend::start(script(|_, head| Reply::Bytes(signed(head, "whole")))).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        assert_eq!(request(&router, "/once/x").await.status, 200);
        router.update_gauges();
        assert!(!router.daemon.metrics.text().contains("fireflyworks_away"));
    });
}

/// Guards against a large response that is cut, mixed up or refused although there is memory for
/// it, and against memory that stays charged for it.
#[test]
fn a_response_of_the_largest_size_is_passed_on_whole() {
    const BYTES: usize = 8 << 20;
    let body: String = (0..BYTES).map(|index| char::from(b'a' + (index % 23) as u8)).collect();
    smol::block_on(async {
        let sent = body.clone();
        let reply = script(move |_, head| Reply::Bytes(signed(head, &sent)));
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        let received = request(&router, "/once/x").await;
        assert_eq!((received.status, received.is_whole), (200, true));
        assert!(received.body == body, "{} bytes arrived", received.body.len());
        requests_ended(&router).await;
        assert_eq!(Kind::ALL.map(|kind| router.memory.held(Side::Server, kind)), [0; 4]);
    });
}
