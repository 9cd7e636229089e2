//! Streams that callers take up while the servers of their software version want no requests for a
//! moment.
//!
//! Guards against a stream that waits for its whole patience, and is then refused, because the
//! servers of its version wanted no requests when it was queued.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_control::{origin, software},
    ffw_protocol::{
        instance::{Role, State},
        software::Version,
    },
    harness::{Backend, Reply, Script, instance, response, router, send, signed},
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time in which the stream goes on, or its caller is told when to come back.
const WAIT_MAX: Duration = Duration::from_millis(2_000);

/// The rest of the stream after event 5.
const REST: &str = "id: 6\ndata: x\n\n";

/// A server that turns the first request away and wants none for a second.
fn busy_once() -> Script {
    let calls = AtomicUsize::new(0);
    Arc::new(move |_, head| {
        let is_first = calls.fetch_add(1, Ordering::SeqCst) == 0;
        let busy = || response(head, 503, "Not-Run: 1\r\nPushback-Ms: 1000\r\n", "");
        Reply::Bytes(if is_first { busy() } else { signed(head, REST) })
    })
}

#[rstest]
#[case::of_one_version(false)]
#[case::beside_another_version(true)]
fn a_stream_is_taken_up_after_a_short_pushback(#[case] has_other_version: bool) {
    smol::block_on(async {
        let prefill: Script = Arc::new(|_, head| Reply::Bytes(response(head, 200, "", "handle")));
        let prefill = Backend::start(prefill).await;
        let old = Backend::start(busy_once()).await;
        let new = Backend::start(Arc::new(|_, head| Reply::Bytes(signed(head, REST)))).await;
        let mut servers = vec![
            instance("old", Role::Decode, &old, State::Live),
            instance("prefill", Role::Prefill, &prefill, State::Live),
        ];
        if has_other_version {
            servers.insert(0, instance("new", Role::Decode, &new, State::Live));
        }
        let router = router(servers.clone());
        for server in &servers {
            let version = if &*server.name == "new" { "v2" } else { "v1" };
            router.daemon.software.record_server(server, Version::Stated(version.into()));
        }
        software::record_list(&router.daemon);
        let version = Version::Stated("v1".into());
        origin::record(&router.daemon, &"engines".into(), "first", version);
        let started_at = Instant::now();
        let head = "POST /resumable/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nLast-Event: 5\r\n\
                    Resumes: first\r\nContent-Length: 2\r\n\r\nhi";
        let received = send(&router, head.as_bytes()).await;
        let elapsed = started_at.elapsed();
        assert!(new.calls().is_empty(), "the other version was called: {:?}", new.calls());
        let is_answered = received.status == 200 || received.retry_after.is_some();
        assert!(is_answered, "{received:?}");
        assert!(elapsed < WAIT_MAX, "after {elapsed:?}: {received:?}");
    });
}
