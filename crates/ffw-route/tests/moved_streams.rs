//! Streams whose run was stopped by the router's own move, with and without framing of their end.
//!
//! Guards against a stream that ends with its connection and reaches its caller as complete
//! although the server has only stopped its run for a move.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    ffw_runtime::timer,
    harness::{
        Backend, MoveAnswer, Received, Reply, Script, Slow, SlowFraming, instance, request,
        response, router, set_instances,
    },
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

/// Time from the start of a stream until its server leaves.
const LEAVING_AFTER: Duration = Duration::from_millis(600);

/// Longer than a move may take.
const LATE: Duration = Duration::from_millis(1_200);

/// The rest of the stream at another server: the events 1000 and 1001.
fn rest(head: &Request) -> Reply {
    let id = head.fields.text("Id").unwrap_or_default();
    let events: String = (1_000..1_002).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
    let length = events.len();
    let head =
        format!("HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\nContent-Length: {length}\r\n");
    Reply::Bytes(format!("{head}\r\n{events}").into_bytes())
}

/// Runs a stream whose server leaves midway and answers the move as given, while another server
/// can go on with it.
async fn moved(path: &str, framing: SlowFraming, answer: MoveAnswer) -> Received {
    let prefill: Script = Arc::new(|_, head| Reply::Bytes(response(head, 200, "", "handle")));
    let prefill = Backend::start(prefill).await;
    let old = Backend::start_slow_with(Slow { framing, answer, moved: Arc::default() }).await;
    let new = Backend::start(Arc::new(|_, head| rest(head))).await;
    let prefill = instance("prefill", Role::Prefill, &prefill, State::Live);
    let router = router(vec![instance("old", Role::Decode, &old, State::Live), prefill.clone()]);
    let daemon = router.daemon.clone();
    let leaving = vec![
        instance("new", Role::Decode, &new, State::Live),
        instance("old", Role::Decode, &old, State::Leaving),
        prefill,
    ];
    smol::spawn(async move {
        timer::sleep(LEAVING_AFTER).await;
        set_instances(&daemon, 2, leaving);
    })
    .detach();
    let received = request(&router, path).await;
    assert!(old.calls().contains(&"move".to_owned()), "the run was not moved: {:?}", old.calls());
    received
}

fn last_event(body: &str) -> Option<usize> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).next_back()
}

/// The caller gets the rest of the stream, or sees that it was cut.
#[rstest]
fn a_stream_that_was_stopped_for_a_move_is_not_complete(
    #[values("/stream/x", "/resumable/x")] path: &str,
    #[values(SlowFraming::Chunked, SlowFraming::UntilClose)] framing: SlowFraming,
    #[values(
        MoveAnswer::Handle(200),
        MoveAnswer::Handle(503),
        MoveAnswer::NoHandle(404),
        MoveAnswer::NoHandle(503),
        MoveAnswer::Late(LATE),
        MoveAnswer::Lost
    )]
    answer: MoveAnswer,
) {
    smol::block_on(async {
        let received = moved(path, framing, answer).await;
        assert_eq!(received.status, 200);
        let has_rest = last_event(&received.body).is_some_and(|id| [1_001, 2_001].contains(&id));
        assert_eq!(received.is_whole, has_rest, "{}", received.body);
        let can_go_on = matches!(answer, MoveAnswer::Handle(_)) || path.starts_with("/resumable");
        assert!(!can_go_on || has_rest, "the stream could go on: {}", received.body);
    });
}
