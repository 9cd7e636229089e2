//! Orders to engines: the declared model is served, also when a holder of the lease was paused past
//! its end, by engines that check fencing numbers and by engines that don't.

use {
    ffw_backend::engine::{self, Order},
    ffw_runtime::timer,
    ffw_support::cluster::{Cluster, Plan, operator},
    rstest::rstest,
    std::time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

async fn wait_version(cluster: &Cluster, version: &str, limit: Duration) {
    let begin = Instant::now();
    loop {
        let mut missing = 0;
        for node in cluster.prefills.iter().chain(&cluster.decodes) {
            let loaded = engine::loaded(node.address).await;
            missing += u32::from(!loaded.is_ok_and(|one| &*one.version == version));
        }
        if missing == 0 {
            return;
        }
        assert!(begin.elapsed() < limit, "{missing} engines do not serve {version}");
        timer::sleep(Duration::from_millis(100)).await;
    }
}

fn declaration(version: &str) -> String {
    include_str!("../../../examples/matariki.toml").replace("2026.11", version)
}

/// Index of the daemon that holds the lease, as its log says.
fn holder(cluster: &Cluster) -> Option<usize> {
    cluster.daemons.iter().position(|one| one.log().contains("event=lease_acquired"))
}

#[rstest]
#[case::engines_that_check(true)]
#[case::engines_that_do_not(false)]
fn a_paused_holder_does_no_lasting_harm(#[case] fences: bool) {
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
        // The next holder waits out the old lease.
        wait_version(&cluster, "2026.12", Duration::from_secs(25)).await;
        cluster.daemons[old].resume();
        // A late order of the old holder, as it may still lie in a buffer.
        let late = Order { fence: 1, model: "season-notes".into(), version: "2026.11".into() };
        let answered = engine::order(cluster.decodes[0].address, &late).await;
        assert_eq!(answered.is_err(), fences, "{answered:?}");
        wait_version(&cluster, "2026.12", Duration::from_secs(10)).await;
        let fence = engine::loaded(cluster.decodes[0].address).await.expect("a report").fence;
        assert!(fence >= 2, "the new holder's fencing number is {fence}");
    });
}
