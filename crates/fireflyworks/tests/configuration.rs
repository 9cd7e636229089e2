//! An accepted configuration is in force everywhere within seconds and never reverts.

use {
    ffw_runtime::{executor, timer},
    ffw_standin::platform,
    ffw_support::cluster::{
        Cluster, Plan,
        daemon::{OPERATOR_KEY, OTHER_OPERATOR_KEY},
        operator,
    },
    std::time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Target of letter 1 for a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

fn declaration(weight: u32) -> String {
    let text = include_str!("../../../examples/matariki.toml");
    text.replace("weight = 2", &format!("weight = {weight}"))
}

/// Versions in force at all reachable daemons.
async fn versions(cluster: &Cluster, ask: usize) -> Vec<u64> {
    let status = operator::status(&cluster.daemons[ask]).await;
    status.daemons.iter().filter(|one| one.reachable).map(|one| one.config).collect()
}

async fn wait_in_force(cluster: &Cluster, ask: usize, number: u64, limit: Duration) {
    let begin = Instant::now();
    while versions(cluster, ask).await.iter().any(|version| *version < number) {
        assert!(begin.elapsed() < limit, "version {number} is not in force everywhere");
        timer::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_the_target() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { daemons: 4, ..Plan::new(BINARY) }).await;
        for number in 2..6 {
            let daemon = &cluster.daemons[number % 4];
            let change = format!("change-{number}");
            let text = declaration(number as u32);
            let reply = operator::apply(daemon, &text, number as u64 - 1, &change).await;
            assert!(reply.accepted && reply.unconfirmed.is_empty(), "{reply:?}");
            wait_in_force(&cluster, 0, number as u64, IN_FORCE).await;
        }
        let history = operator::history(&cluster.daemons[0]).await;
        assert_eq!((history.versions.len(), history.broken_at), (5, 0));
        assert!(history.versions.iter().all(|one| one.author == "operator"));
    });
}

#[test]
fn of_racing_operators_one_wins_and_the_other_sees_the_difference() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for round in 0..5_u64 {
            let (left, right) = (declaration(10), declaration(20));
            let (first, second) = (format!("left-{round}"), format!("right-{round}"));
            let expected = round + 1;
            let daemons = &cluster.daemons;
            let both = smol::future::zip(
                operator::try_apply(&daemons[0], &left, expected, &first, OPERATOR_KEY),
                operator::try_apply(&daemons[1], &right, expected, &second, OTHER_OPERATOR_KEY),
            );
            let (first, second) = both.await;
            let replies = [first.expect("an answer"), second.expect("an answer")];
            assert_eq!(replies.iter().filter(|one| one.accepted).count(), 1, "{replies:?}");
            let loser = replies.iter().find(|one| !one.accepted).expect("one lost");
            assert_eq!(loser.version.as_ref().map(|one| one.number), Some(expected + 1));
            assert!(loser.difference.contains("weight"), "{loser:?}");
        }
        let history = operator::history(&cluster.daemons[0]).await;
        assert_eq!((history.versions.len(), history.broken_at), (6, 0));
    });
}

#[test]
fn a_lost_answer_of_the_platform_does_not_lose_or_double_a_change() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let faults = platform::Faults { lost_answers: 2, ..platform::Faults::default() };
        cluster.platform.service.set_faults(faults);
        let reply = operator::apply(&cluster.daemons[0], &declaration(7), 1, "lost").await;
        assert!(reply.accepted, "{reply:?}");
        let again = operator::apply(&cluster.daemons[1], &declaration(7), 1, "lost").await;
        assert_eq!(again.version.map(|one| one.number), Some(2), "the same change id again");
        assert_eq!(operator::history(&cluster.daemons[0]).await.versions.len(), 2);
    });
}

#[test]
fn a_change_in_an_outage_is_refused_and_nothing_is_half_applied() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let outage = platform::Faults { outage: true, ..platform::Faults::default() };
        cluster.platform.service.set_faults(outage);
        let daemon = &cluster.daemons[0];
        let refused = operator::try_apply(daemon, &declaration(9), 1, "out", OPERATOR_KEY).await;
        let status = refused.expect_err("refused");
        assert_eq!(status.code(), tonic::Code::Unavailable, "{status:?}");
        let run = status.metadata().get("fireflyworks-run").and_then(|one| one.to_str().ok());
        assert_eq!(run, Some("not run"));
        cluster.platform.service.set_faults(platform::Faults::default());
        timer::sleep(Duration::from_millis(500)).await;
        assert_eq!(versions(&cluster, 0).await, [1, 1]);
    });
}

#[test]
fn a_daemon_that_starts_in_an_outage_has_the_newest_version() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let reply = operator::apply(&cluster.daemons[0], &declaration(5), 1, "newest").await;
        assert!(reply.unconfirmed.is_empty(), "{reply:?}");
        let outage = platform::Faults { outage: true, ..platform::Faults::default() };
        cluster.platform.service.set_faults(outage);
        cluster.daemons[2].restart();
        cluster.daemons[2].wait_ready().await;
        assert_eq!(versions(&cluster, 2).await, [2, 2, 2]);
        // It serves from what its peers know.
        let answer = cluster.completion(2, 1, 16).send().await;
        assert!(answer.is_whole, "{answer:?}");
    });
}

#[test]
fn a_paused_daemon_catches_up_and_never_goes_back() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        cluster.daemons[2].pause();
        let text = declaration(5);
        let reply = operator::apply(&cluster.daemons[0], &text, 1, "while-paused").await;
        assert!(reply.accepted, "{reply:?}");
        assert_eq!(reply.unconfirmed, ["entry-3"]);
        cluster.daemons[2].resume();
        wait_in_force(&cluster, 0, 2, IN_FORCE).await;
        let watching = async {
            for _ in 0..40 {
                let seen = versions(&cluster, 2).await;
                assert!(seen.iter().all(|version| *version >= 2), "reverted: {seen:?}");
                timer::sleep(Duration::from_millis(50)).await;
            }
        };
        watching.await;
    });
}

#[test]
fn a_wrong_key_or_an_empty_reason_changes_nothing() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let daemon = &cluster.daemons[0];
        let refused = operator::try_apply(daemon, &declaration(3), 1, "x", "wrong").await;
        assert_eq!(refused.expect_err("refused").code(), tonic::Code::Unauthenticated);
        let refused = operator::try_apply(daemon, &declaration(3), 1, " ", OPERATOR_KEY).await;
        assert_eq!(refused.expect_err("refused").code(), tonic::Code::InvalidArgument);
        let broken = declaration(3).replace("pool = \"notes\"", "pool = \"none\"");
        let refused = operator::try_apply(daemon, &broken, 1, "x", OPERATOR_KEY).await;
        let status = refused.expect_err("refused");
        assert!(status.message().contains("none"), "{status:?}");
        assert_eq!(versions(&cluster, 0).await, [1, 1]);
    });
}

#[test]
fn requests_go_on_while_the_configuration_changes() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = (0..20).map(|n| cluster.completion(n % 2, n, 40)).collect();
        let sending = executor::spawn(ffw_support::cluster::send_all(calls));
        for number in 2..8 {
            let daemon = &cluster.daemons[0];
            let text = declaration(number as u32);
            let change = format!("change-{number}");
            assert!(operator::apply(daemon, &text, number - 1, &change).await.accepted);
        }
        assert!(sending.await.iter().all(|answer| answer.is_whole));
    });
}
