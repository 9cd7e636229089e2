//! Backend servers that say in a response that they leave, or that they want no requests for a
//! time.
//!
//! Guards against requests that are still sent to them, over a kept connection or because the
//! instance list still shows the server as usable.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    ffw_runtime::timer,
    harness::{Backend, Reply, Script, instance, request, response, router, set_instances, signed},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn script(reply: impl Fn(usize, &Request) -> Reply + Send + Sync + 'static) -> Script {
    Arc::new(reply)
}

fn sound() -> Script {
    script(|_, head| Reply::Bytes(signed(head, "whole")))
}

/// Serves each request and says that it is leaving.
fn leaving() -> Script {
    script(|_, head| Reply::Bytes(response(head, 200, "Signature: s\r\nLeaving: 1\r\n", "whole")))
}

/// Refuses each request without running it, and wants no further ones for a time.
fn pushing_back(millis: u64) -> Script {
    script(move |_, head| {
        let extra = format!("Not-Run: 1\r\nPushback-Ms: {millis}\r\n");
        Reply::Bytes(response(head, 503, &extra, ""))
    })
}

#[rstest]
#[case::once("/once/x")]
#[case::again("/again/x")]
fn a_server_that_says_that_it_leaves_gets_no_further_request(#[case] path: &str) {
    smol::block_on(async {
        let (a, b) = (Backend::start(leaving()).await, Backend::start(sound()).await);
        let leaving = instance("a", Role::Plain, &a, State::Live);
        let router = router(vec![leaving.clone()]);
        assert_eq!(request(&router, path).await.status, 200);
        for version in 0..10 {
            // Newer lists still show the server as usable.
            let servers = vec![leaving.clone(), instance("b", Role::Plain, &b, State::Live)];
            set_instances(&router.daemon, 100 + version, servers);
            assert_eq!(request(&router, path).await.status, 200);
        }
        assert_eq!((a.calls().len(), b.calls().len()), (1, 10));
        // A request that has chosen the server already is checked once more before it is sent.
        assert!(router.withholding_cause("a").is_some());
    });
}

/// Without another server, the request is rejected at once and not run.
#[test]
fn the_only_server_gets_no_request_after_it_said_that_it_leaves() {
    smol::block_on(async {
        let a = Backend::start(leaving()).await;
        let router = router(vec![instance("a", Role::Plain, &a, State::Live)]);
        assert_eq!(request(&router, "/once/x").await.status, 200);
        let received = request(&router, "/once/x").await;
        assert_eq!(received.status, 503);
        assert!(received.retry_after.is_some(), "{received:?}");
        assert_eq!(a.calls().len(), 1);
    });
}

/// A server that comes back is another instance, with a name of its own.
#[test]
fn the_next_start_of_a_server_gets_requests() {
    smol::block_on(async {
        let a = Backend::start(leaving()).await;
        let router = router(vec![instance("a@1", Role::Plain, &a, State::Live)]);
        assert_eq!(request(&router, "/once/x").await.status, 200);
        set_instances(&router.daemon, 100, vec![instance("a@2", Role::Plain, &a, State::Live)]);
        assert_eq!(request(&router, "/once/x").await.status, 200);
        assert_eq!(a.calls().len(), 2);
    });
}

#[rstest]
#[case::prefill(leaving(), sound())]
#[case::decode(sound(), leaving())]
fn a_stream_is_not_sent_to_a_server_that_leaves(#[case] prefill: Script, #[case] decode: Script) {
    smol::block_on(async {
        let (prefill, decode) = (Backend::start(prefill).await, Backend::start(decode).await);
        let router = router(vec![
            instance("decode", Role::Decode, &decode, State::Live),
            instance("prefill", Role::Prefill, &prefill, State::Live),
        ]);
        request(&router, "/stream/x").await;
        let takes_work = |name: &str| router.daemon.view.takes_work(name);
        let leaving = if takes_work("prefill") { &decode } else { &prefill };
        assert!(!takes_work("prefill") || !takes_work("decode"), "no notice was recorded");
        let before = leaving.calls().len();
        assert_eq!(before, 1);
        request(&router, "/stream/x").await;
        assert_eq!(leaving.calls().len(), before);
    });
}

#[test]
fn a_server_that_wants_no_requests_gets_none_until_its_time_is_over() {
    smol::block_on(async {
        let (a, b) = (Backend::start(pushing_back(400)).await, Backend::start(sound()).await);
        let refusing = instance("a", Role::Plain, &a, State::Live);
        let router = router(vec![refusing.clone()]);
        assert_eq!(request(&router, "/once/x").await.status, 503);
        let named_at = Instant::now();
        let servers = vec![refusing.clone(), instance("b", Role::Plain, &b, State::Live)];
        set_instances(&router.daemon, 100, servers);
        while named_at.elapsed() < Duration::from_millis(300) {
            assert_eq!(request(&router, "/once/x").await.status, 200);
        }
        assert_eq!(a.calls().len(), 1);
        timer::sleep(Duration::from_millis(150)).await;
        set_instances(&router.daemon, 101, vec![refusing]);
        assert_eq!(request(&router, "/once/x").await.status, 503);
        assert_eq!(a.calls().len(), 2, "the server is not used again");
    });
}

/// The caller learns the time at which the first server takes requests again.
#[test]
fn a_request_is_rejected_at_once_while_all_servers_want_none() {
    smol::block_on(async {
        let (a, b) =
            (Backend::start(pushing_back(4_000)).await, Backend::start(pushing_back(9_000)).await);
        let router = router(vec![
            instance("a", Role::Plain, &a, State::Live),
            instance("b", Role::Plain, &b, State::Live),
        ]);
        while a.calls().is_empty() || b.calls().is_empty() {
            assert_eq!(request(&router, "/once/x").await.status, 503);
        }
        let before = a.calls().len() + b.calls().len();
        let received = request(&router, "/once/x").await;
        assert_eq!(received.status, 503);
        let retry_after: f64 =
            received.retry_after.as_deref().and_then(|text| text.parse().ok()).expect("a time");
        assert!((3.0..=4.0).contains(&retry_after), "{retry_after}");
        assert_eq!(a.calls().len() + b.calls().len(), before, "a request was sent");
    });
}
