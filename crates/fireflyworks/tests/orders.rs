//! Orders to engines to load the declared model.
//!
//! Guards against engines that keep a wrong model because a paused holder of the controllers'
//! lease resumes after another daemon has acquired the lease, and its late order reaches an
//! engine. Engines that check fencing numbers reject such an order; the others execute it, and
//! it must be corrected.

use {
    ffw_backend::engine::{self, Order},
    ffw_runtime::timer,
    ffw_support::cluster::{Cluster, Plan, operator},
    rstest::rstest,
    std::time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Waits until each engine serves a version of the model.
async fn wait_version(cluster: &Cluster, version: &str, limit: Duration) {
    let began = Instant::now();
    loop {
        let mut missing = 0;
        for node in cluster.prefills.iter().chain(&cluster.decodes) {
            let loaded = engine::loaded(node.address).await;
            missing += u32::from(!loaded.is_ok_and(|report| &*report.version == version));
        }
        if missing == 0 {
            return;
        }
        assert!(began.elapsed() < limit, "{missing} engines do not serve {version}");
        timer::sleep(Duration::from_millis(100)).await;
    }
}

fn declaration(version: &str) -> String {
    include_str!("../../../examples/matariki.toml").replace("2026.11", version)
}

/// Index of the first daemon whose log shows that it has acquired the lease.
fn holder(cluster: &Cluster) -> Option<usize> {
    cluster.daemons.iter().position(|daemon| daemon.log().contains("event=lease_acquired"))
}

/// The holder is paused until another daemon has acquired the lease and ordered a new version,
/// and then an order with the old fencing number arrives. Guards against an engine that keeps
/// the old version.
#[rstest]
#[case::engines_that_check(true)]
#[case::engines_that_do_not(false)]
fn a_late_order_of_a_paused_lease_holder_has_no_lasting_effect(#[case] fences: bool) {
    smol::block_on(async {
        let mut plan = Plan { daemons: 3, ..Plan::new(BINARY) };
        plan.engine.fences = fences;
        let cluster = Cluster::start(plan).await;
        wait_version(&cluster, "2026.11", Duration::from_secs(10)).await;
        let old = holder(&cluster).expect("a holder");
        cluster.daemons[old].pause();
        let other = (old + 1) % 3;
        let text = declaration("2026.12");
        let reply = operator::apply(&cluster.daemons[other], &text, 1, "upgrade").await;
        assert!(reply.accepted);
        // The next holder waits until the lease of the paused one has expired.
        wait_version(&cluster, "2026.12", Duration::from_secs(25)).await;
        cluster.daemons[old].resume();
        // An order of the old holder arrives late, as if it had been buffered on the way.
        let late = Order { fence: 1, model: "season-notes".into(), version: "2026.11".into() };
        let result = engine::order(cluster.decodes[0].address, &late).await;
        assert_eq!(result.is_err(), fences, "{result:?}");
        wait_version(&cluster, "2026.12", Duration::from_secs(10)).await;
        let fence = engine::loaded(cluster.decodes[0].address).await.expect("a report").fence;
        assert!(fence >= 2, "the new holder's fencing number is {fence}");
    });
}
