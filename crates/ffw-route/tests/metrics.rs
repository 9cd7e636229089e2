//! Counters and histograms of routed requests after each outcome.

#[path = "support/harness.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod harness;

use {
    ffw_http::message::Request,
    ffw_protocol::instance::{Role, State},
    ffw_route::router::Router,
    ffw_runtime::timer,
    harness::{Backend, Reply, Script, instance, not_run, request, response, router, signed},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn script(reply: impl Fn(usize, &Request) -> Reply + Send + Sync + 'static) -> Script {
    Arc::new(reply)
}

/// Value of a metric in Prometheus's text format; 0 if it is not there.
fn value(text: &str, metric: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(metric));
    line.map_or(0, |value| value.trim().parse().expect("a whole number"))
}

/// Time in which a request that its caller has read to the end must be counted.
const COUNT_TIMEOUT: Duration = Duration::from_secs(5);

/// The metrics once the end of a request to the pool has been recorded, which happens after its
/// caller has read the last byte; the metrics as they are if that takes too long.
async fn text_after_the_end(router: &Router, pool: &str) -> String {
    let whole = format!("fireflyworks_routed_step_seconds_count{{pool=\"{pool}\",step=\"whole\"}}");
    let started_at = Instant::now();
    loop {
        let text = router.daemon.metrics.text().to_string();
        if value(&text, &whole) > 0 || started_at.elapsed() > COUNT_TIMEOUT {
            return text;
        }
        timer::sleep(Duration::from_millis(1)).await;
    }
}

#[rstest]
#[case::served("/once/x", script(|_, head| Reply::Bytes(signed(head, "whole"))), "served")]
#[case::failed_by_its_server(
    "/once/x",
    script(|_, head| Reply::Bytes(response(head, 500, "Signature: s\r\n", "no"))),
    "server_failed"
)]
#[case::broken("/once/x", script(|_, _| Reply::CloseUnanswered), "backend_failed")]
#[case::refused("/once/x", script(|_, head| Reply::Bytes(not_run(head))), "backend_refused")]
fn the_outcome_of_a_plain_request_is_counted(
    #[case] path: &str,
    #[case] reply: Script,
    #[case] outcome: &str,
) {
    smol::block_on(async {
        let backend = Backend::start(reply).await;
        let router = router(vec![instance("a", Role::Plain, &backend, State::Live)]);
        request(&router, path).await;
        let text = router.daemon.metrics.text();
        let labels = format!("{{outcome=\"{outcome}\",pool=\"plain\"}}");
        let counted = format!("fireflyworks_routed_requests_total{labels}");
        assert_eq!(value(&text, &counted), 1, "{text}");
        let timed = "fireflyworks_routed_step_seconds_count{pool=\"plain\",step=\"whole\"}";
        assert_eq!(value(&text, timed), 1, "{text}");
    });
}

#[test]
fn a_request_without_a_route_is_counted_without_a_pool() {
    smol::block_on(async {
        let router = router(Vec::new());
        request(&router, "/nowhere/x").await;
        let counted = "fireflyworks_routed_requests_total{outcome=\"not_found\",pool=\"none\"}";
        assert_eq!(value(&router.daemon.metrics.text(), counted), 1);
    });
}

#[test]
fn each_step_of_a_stream_is_timed() {
    smol::block_on(async {
        let prefill = script(|_, head| Reply::Bytes(response(head, 200, "", "handle")));
        let decode = script(|_, head| {
            let id = head.fields.text("Id").unwrap_or_default();
            let head = format!("HTTP/1.1 200 X\r\nId: {id}\r\nSignature: s\r\n");
            let event = "id: 0\ndata: x\n\n";
            Reply::Bytes(format!("{head}Content-Length: {}\r\n\r\n{event}", event.len()).into())
        });
        let (prefill, decode) = (Backend::start(prefill).await, Backend::start(decode).await);
        let router = router(vec![
            instance("decode", Role::Decode, &decode, State::Live),
            instance("prefill", Role::Prefill, &prefill, State::Live),
        ]);
        assert_eq!(request(&router, "/stream/x").await.status, 200);
        let text = text_after_the_end(&router, "engines").await;
        for step in ["wait", "prefill", "first_event", "pause", "whole"] {
            let timed = format!(
                "fireflyworks_routed_step_seconds_count{{pool=\"engines\",step=\"{step}\"}}"
            );
            assert_eq!(value(&text, &timed), 1, "{step}: {text}");
        }
    });
}

/// Guards the count of retries against the budget: both servers refuse one request, which takes two
/// retries, one after each refusal.
#[test]
fn retries_and_the_rest_of_their_budget_are_exported() {
    smol::block_on(async {
        let reply = script(|_, head| Reply::Bytes(not_run(head)));
        let (a, b) = (Backend::start(reply.clone()).await, Backend::start(reply).await);
        let router = router(vec![
            instance("a", Role::Plain, &a, State::Live),
            instance("b", Role::Plain, &b, State::Live),
        ]);
        router.record_request(&"plain".into());
        router.update_gauges();
        let left = "fireflyworks_routed_repeats_left{pool=\"plain\"}";
        let before = value(&router.daemon.metrics.text(), left);
        request(&router, "/once/x").await;
        router.update_gauges();
        let text = router.daemon.metrics.text();
        let repeats = "fireflyworks_routed_repeats_total{allowed=\"yes\",pool=\"plain\"}";
        assert_eq!(value(&text, repeats), 2, "{text}");
        // The request itself earned one retry.
        assert_eq!(value(&text, left), before + 1 - 2, "{text}");
    });
}
