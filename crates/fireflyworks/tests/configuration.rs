//! Changes of the configuration.
//!
//! Guards against a change that is not in force at all daemons within the required time, that
//! is lost, applied twice or half, or that a daemon reverts. Such faults come from concurrent
//! operators, lost answers and outages of the platform, and from daemons that start or resume
//! late.

use {
    ffw_platform::store::{Kind, Object, Store},
    ffw_protocol::config::Version,
    ffw_runtime::{executor, timer},
    ffw_standin::{caller::Plain as PlainCall, platform},
    ffw_support::cluster::{
        Cluster, Plan,
        daemon::{OPERATOR_KEY, OTHER_OPERATOR_KEY},
        operator,
    },
    std::time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Required limit until an accepted change is in force at all daemons.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// The bundled declaration with another weight, so that each weight is a change.
fn declaration(weight: u32) -> String {
    let text = include_str!("../../../examples/matariki.toml");
    text.replace("weight = 2", &format!("weight = {weight}"))
}

/// Version in force at each reachable daemon, as the status of one daemon reports it.
async fn versions(cluster: &Cluster, daemon: usize) -> Vec<u64> {
    let status = operator::status(&cluster.daemons[daemon]).await;
    status.daemons.iter().filter(|daemon| daemon.reachable).map(|daemon| daemon.config).collect()
}

async fn wait_in_force(cluster: &Cluster, daemon: usize, number: u64, limit: Duration) {
    let began = Instant::now();
    while versions(cluster, daemon).await.iter().any(|version| *version < number) {
        assert!(began.elapsed() < limit, "version {number} is not in force at all daemons");
        timer::sleep(Duration::from_millis(50)).await;
    }
}

/// Changes are accepted by a different daemon each time. Guards against a change that does not
/// reach the other daemons in time, and against an incomplete history.
#[test]
fn a_change_is_in_force_at_all_daemons_within_the_limit() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { daemons: 4, ..Plan::new(BINARY) }).await;
        for number in 2..6 {
            let daemon = &cluster.daemons[number % 4];
            let change = format!("change-{number}");
            let text = declaration(number as u32);
            let reply = operator::apply(daemon, &text, number as u64 - 1, &change).await;
            assert!(reply.accepted && reply.unconfirmed.is_empty(), "{reply:?}");
            wait_in_force(&cluster, 0, number as u64, IN_FORCE_LIMIT).await;
        }
        let history = operator::history(&cluster.daemons[0]).await;
        assert_eq!((history.versions.len(), history.broken_at), (5, 0));
        assert!(history.versions.iter().all(|version| version.author == "operator"));
    });
}

/// Two operators apply different declarations against the same version at the same time,
/// through two daemons. Guards against a change that silently overwrites the other, and against
/// a rejection that does not show what has changed.
#[test]
fn of_two_concurrent_changes_one_is_rejected_with_the_difference() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for round in 0..5_u64 {
            let (left, right) = (declaration(10), declaration(20));
            let (first, second) = (format!("left-{round}"), format!("right-{round}"));
            let expected = round + 1;
            let daemons = &cluster.daemons;
            let both_replies = smol::future::zip(
                operator::try_apply(&daemons[0], &left, expected, &first, OPERATOR_KEY),
                operator::try_apply(&daemons[1], &right, expected, &second, OTHER_OPERATOR_KEY),
            );
            let (first, second) = both_replies.await;
            let replies = [first.expect("an answer"), second.expect("an answer")];
            assert_eq!(replies.iter().filter(|reply| reply.accepted).count(), 1, "{replies:?}");
            let rejected = replies.iter().find(|reply| !reply.accepted).expect("a rejected change");
            assert_eq!(rejected.version.as_ref().map(|version| version.number), Some(expected + 1));
            assert!(rejected.difference.contains("weight"), "{rejected:?}");
        }
        let history = operator::history(&cluster.daemons[0]).await;
        assert_eq!((history.versions.len(), history.broken_at), (6, 0));
    });
}

/// The platform executes writes, but their answers are lost, and the operator repeats the
/// change with the same id. Guards against a change that is reported as failed, or that creates
/// a second version.
#[test]
fn a_lost_answer_of_the_platform_does_not_lose_or_double_a_change() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let faults = platform::Faults { lost_answers: 2, ..platform::Faults::default() };
        cluster.platform.service.set_faults(faults);
        let reply = operator::apply(&cluster.daemons[0], &declaration(7), 1, "lost").await;
        assert!(reply.accepted, "{reply:?}");
        let repeated = operator::apply(&cluster.daemons[1], &declaration(7), 1, "lost").await;
        assert_eq!(
            repeated.version.map(|version| version.number),
            Some(2),
            "the same change id creates no version"
        );
        assert_eq!(operator::history(&cluster.daemons[0]).await.versions.len(), 2);
    });
}

/// Without the platform, no version can be stored. Guards against a change that is in force at
/// some daemons although it was refused, and against a refusal that does not report that the
/// change was not made.
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
        let run = status.metadata().get("fireflyworks-run").and_then(|value| value.to_str().ok());
        assert_eq!(run, Some("not run"));
        cluster.platform.service.set_faults(platform::Faults::default());
        timer::sleep(Duration::from_millis(500)).await;
        assert_eq!(versions(&cluster, 0).await, [1, 1]);
    });
}

/// A daemon that starts during an outage of the platform can read the configuration from its
/// peers only. Guards against a daemon that starts with an old version, or that serves no
/// requests.
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
        // It serves with the configuration and instance list of its peers.
        let answer = cluster.completion(2, 1, 16).send().await;
        assert!(answer.is_whole, "{answer:?}");
    });
}

/// A daemon misses a change while it is paused. Guards against a change that is refused because
/// of it, against a reply that does not list it as unconfirmed, and against a daemon that keeps
/// the old version after it resumes or goes back to it later.
#[test]
fn a_paused_daemon_catches_up_and_never_reverts() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        cluster.daemons[2].pause();
        let text = declaration(5);
        let reply = operator::apply(&cluster.daemons[0], &text, 1, "while-paused").await;
        assert!(reply.accepted, "{reply:?}");
        assert_eq!(reply.unconfirmed, ["entry-3"]);
        cluster.daemons[2].resume();
        wait_in_force(&cluster, 0, 2, IN_FORCE_LIMIT).await;
        let watch = async {
            for _ in 0..40 {
                let seen = versions(&cluster, 2).await;
                assert!(seen.iter().all(|version| *version >= 2), "reverted: {seen:?}");
                timer::sleep(Duration::from_millis(50)).await;
            }
        };
        watch.await;
    });
}

/// Guards against a change that is accepted without a valid operator's key, with a blank change
/// id, or with a declaration that refers to a pool that does not exist.
#[test]
fn a_wrong_key_a_blank_id_or_an_invalid_declaration_changes_nothing() {
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

/// The store has a version with a further service; not each daemon has heard of it. Guards against
/// a daemon that refuses the service as unknown.
#[test]
fn a_service_is_not_unknown_once_the_store_has_it() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { daemons: 4, ..Plan::new(BINARY) }).await;
        // An answer of the store is relied on for 1 s, also the one of the daemon's start.
        timer::sleep(Duration::from_millis(1_100)).await;
        let (kind, name) = (Kind::Configurations, "matariki");
        let store = Store { address: cluster.platform.address };
        let mut stored: Object<Version> = store.get(kind, name).await.expect("a version");
        let services = "\"captions\", \"booking\"";
        let with_further = format!("{services}, \"group-booking\"");
        let declared = stored.spec.declaration.replace(services, &with_further);
        let service = "[[service]]\nname = \"group-booking\"\npool = \"booking\"\nfirst_token_ms = 500\ndeadline_ms = 3000\n";
        stored.spec.declaration = format!("{declared}\n{service}").into();
        stored.spec.number += 1;
        store.update(kind, &stored).await.expect("written");
        let calls = (0..4).map(|daemon| PlainCall {
            path: "/services/group-booking/confirm".into(),
            ..cluster.booking(daemon, &format!("group-{daemon}"), Some(&format!("key-{daemon}")))
        });
        let tasks: Vec<_> =
            calls.map(|call| executor::spawn(async move { call.send().await })).collect();
        for task in tasks {
            let answer = task.await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    });
}

/// Guards against changes of the configuration that end or fail the requests in progress.
#[test]
fn requests_complete_while_the_configuration_changes() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = (0..20).map(|n| cluster.completion(n % 2, n, 40)).collect();
        let call_task = executor::spawn(ffw_support::cluster::send_all(calls));
        for number in 2..8 {
            let daemon = &cluster.daemons[0];
            let text = declaration(number as u32);
            let change = format!("change-{number}");
            assert!(operator::apply(daemon, &text, number - 1, &change).await.accepted);
        }
        assert!(call_task.await.iter().all(|answer| answer.is_whole));
    });
}
