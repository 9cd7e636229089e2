//! The report on service-level burn during a breach, and after the death of a daemon.

use {
    ffw_operator::generated::{BurnReply, BurnRow},
    ffw_runtime::timer,
    ffw_support::cluster::{Cluster, Plan, operator, send_all, text_of},
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

fn row<'a>(reply: &'a BurnReply, service: &str) -> &'a BurnRow {
    let found = reply.rows.iter().find(|row| row.service == service && row.window_s == 300);
    found.expect("a row for the service")
}

#[test]
fn a_breach_burns_the_budget_of_its_service_only() {
    smol::block_on(async {
        let mut plan = Plan::new(BINARY);
        // No first token comes within a millisecond.
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
        let kept = row(&reply, "show-notes");
        assert_eq!((kept.total, kept.missed), (10, 0));
        assert_eq!(reply.answered.len(), 2);
        let metrics = text_of(cluster.daemons[0].health, "/metrics").await;
        assert!(metrics.contains("fireflyworks_burn_rate_thousandths{"), "{metrics}");
        cluster.daemons[1].kill();
        let reply = operator::burn(&cluster.daemons[0]).await;
        assert_eq!((reply.answered.len(), reply.silent.len()), (1, 1), "{reply:?}");
        assert_eq!(row(&reply, "captions").total, 5);
    });
}
