//! The burn report: how fast each service uses up the error budget of its targets. It adds up
//! the counts of all daemons that answer. Guards against misses that are counted for the wrong
//! service, and against a report that does not list a daemon whose counts are missing.

use {
    ffw_operator::generated::{BurnReply, BurnRow},
    ffw_runtime::timer,
    ffw_support::cluster::{Cluster, Plan, operator, send_all, text_of},
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Row of a service for the window of 300 seconds.
fn row<'a>(reply: &'a BurnReply, service: &str) -> &'a BurnRow {
    let found = reply.rows.iter().find(|row| row.service == service && row.window_s == 300);
    found.expect("a row for the service")
}

/// One of two services of a pool misses its first token target with every request. Guards
/// against a burn rate that does not show the misses, that counts them for the other service,
/// or that hides the loss of a killed daemon's counts.
#[test]
fn a_breach_burns_the_budget_of_its_service_only() {
    smol::block_on(async {
        let mut plan = Plan::new(BINARY);
        // No request gets its first token within 1 ms, so all of them miss the target.
        plan.declaration =
            plan.declaration.replace("first_token_ms = 710", "first_token_ms = 1").into();
        let mut cluster = Cluster::start(plan).await;
        let calls = |service: &str| {
            let call = |n: usize| {
                let mut call = cluster.completion(n % 2, n, 8);
                call.service = service.into();
                call
            };
            (0..10).map(call).collect::<Vec<_>>()
        };
        assert!(send_all(calls("captions")).await.iter().all(|answer| answer.is_whole));
        assert!(send_all(calls("show-notes")).await.iter().all(|answer| answer.is_whole));
        timer::sleep(Duration::from_millis(100)).await;
        let reply = operator::burn(&cluster.daemons[0]).await;
        let breached = row(&reply, "captions");
        assert_eq!((breached.total, breached.missed, breached.first_token), (10, 10, 10));
        assert!((breached.burn_rate - 20.0).abs() < 1e-6, "{breached:?}");
        assert!(breached.budget_left < 0.0);
        let met = row(&reply, "show-notes");
        assert_eq!((met.total, met.missed), (10, 0));
        assert_eq!(reply.answered.len(), 2);
        let metrics = text_of(cluster.daemons[0].health, "/metrics").await;
        assert!(metrics.contains("fireflyworks_burn_rate_thousandths{"), "{metrics}");
        cluster.daemons[1].kill();
        let reply = operator::burn(&cluster.daemons[0]).await;
        assert_eq!((reply.answered.len(), reply.silent.len()), (1, 1), "{reply:?}");
        assert_eq!(row(&reply, "captions").total, 5);
    });
}
