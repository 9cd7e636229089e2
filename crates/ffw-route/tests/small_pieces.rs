//! Streams whose bytes come without end and in small pieces, while other requests are served.
//!
//! Guards against a daemon that is busy with such streams alone: the work for a byte must not grow
//! with what came before it, and a task that always has bytes must give its thread back.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_runtime::{executor, meter::Wire, timer},
    harness::{Backend, Reply, Script, request, router_before, signed},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which a plain request is answered beside the streams. The timeout of its route is 2 s.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Most bytes that are looked at for a byte received: by the framing, by the search for events, and
/// in the other messages of the test.
const LOOKS_MAX: u64 = 12;

/// The streams run into the largest size of an event, never an event, or go on with events until
/// their deadline passes.
#[test]
fn other_requests_are_answered_while_bytes_come_without_end() {
    smol::block_on(async {
        for piece in ["1\r\nx\r\n", "1\r\n\n\r\n", "4\r\nid: \r\n", "2\r\n:\n\r\n"] {
            let decode: Script = Arc::new(move |_, head| {
                let id = head.fields.text("Id").unwrap_or_default();
                let head = format!(
                    "HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                Reply::Endless(head.into_bytes(), piece.repeat(400).into_bytes())
            });
            let plain: Script = Arc::new(|_, head| Reply::Bytes(signed(head, "done")));
            let (plain, decode) = (Backend::start(plain).await, Backend::start(decode).await);
            let router = router_before(&plain, &decode).await;
            let (received, examined) = (Wire::Request.bytes(), Wire::Request.examined());
            let streams: Vec<_> = (0..4)
                .map(|_| {
                    let router = router.clone();
                    executor::spawn(async move { request(&router, "/stream/x").await })
                })
                .collect();
            timer::sleep(Duration::from_millis(50)).await;
            for _ in 0..20 {
                let asked_at = Instant::now();
                let answer = request(&router, "/once/x").await;
                assert_eq!((answer.status, &*answer.body), (200, "done"), "{piece:?}");
                let took = asked_at.elapsed();
                assert!(took < ANSWER_TIME, "{piece:?}: answered after {} ms", took.as_millis());
            }
            for stream in streams {
                let end = stream.await;
                assert!(end.status >= 500 || !end.is_whole, "{piece:?}: {}", end.status);
            }
            let looks = (Wire::Request.examined() - examined)
                .div_ceil((Wire::Request.bytes() - received).max(1));
            assert!(looks <= LOOKS_MAX, "{piece:?}: {looks} looks a byte");
        }
    });
}

/// Two events arrive together, and the server then falls silent. Both are passed on at once.
#[test]
fn events_that_arrive_together_are_passed_on_together() {
    smol::block_on(async {
        let decode: Script = Arc::new(|_, head| {
            let id = head.fields.text("Id").unwrap_or_default();
            let events = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n";
            let head = format!(
                "HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            Reply::Bytes(format!("{head}{:x}\r\n{events}\r\n", events.len()).into_bytes())
        });
        let decode = Backend::start(decode).await;
        let router = router_before(&decode, &decode).await;
        let received = request(&router, "/stream/x").await;
        assert_eq!((received.status, received.is_whole), (200, false));
        assert!(received.body.contains("id: 1"), "{}", received.body);
    });
}
