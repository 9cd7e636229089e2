//! A backend server that leaves gets no new work after a few seconds, and a graceful shutdown cuts
//! off no request in flight.

use {
    ffw_protocol::instance::Role,
    ffw_runtime::{executor, timer},
    ffw_standin::{answer, engine::Faults, platform},
    ffw_support::cluster::{Cluster, Plan, operator, send_all},
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// The brief's "few seconds" until no new work arrives.
const FEW_SECONDS: Duration = Duration::from_secs(3);

/// How a server is told to leave.
#[derive(Clone, Copy, Debug)]
enum Way {
    List,
    OwnWord,
    Operator,
}

async fn tell_to_leave(cluster: &Cluster, way: Way) {
    let node = &cluster.decodes[1];
    match way {
        Way::List => cluster.mark_leaving(node, Role::Decode),
        Way::OwnWord => {
            node.service.set_faults(Faults { leaving: true, ..Faults::default() });
        }
        Way::Operator => {
            let reply = operator::drain(&cluster.daemons[0], &node.name, 1).await;
            assert!(reply.accepted, "{reply:?}");
        }
    }
}

async fn check_leaving(way: Way) {
    let cluster = Cluster::start(Plan::new(BINARY)).await;
    let faults = platform::Faults { instance_lag_ms: 1_000, ..platform::Faults::default() };
    cluster.platform.service.set_faults(faults);
    let calls: Vec<_> = (0..12).map(|n| cluster.completion(n % 2, n, 120)).collect();
    let sending = executor::spawn(send_all(calls.clone()));
    timer::sleep(Duration::from_millis(500)).await;
    tell_to_leave(&cluster, way).await;
    timer::sleep(FEW_SECONDS).await;
    let before = cluster.decodes[1].service.counters().transfers;
    assert!(before > 0, "{way:?}: the server had no work before");
    let more = (100..120).map(|n| cluster.completion(n % 2, n, 16)).collect();
    assert!(send_all(more).await.iter().all(|answer| answer.is_whole), "{way:?}");
    assert_eq!(cluster.decodes[1].service.counters().transfers, before, "{way:?}: new work");
    for (call, answer) in calls.iter().zip(sending.await) {
        assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens), "{way:?}");
    }
}

#[test]
fn a_server_that_the_list_marks_as_leaving_gets_no_new_work() {
    smol::block_on(check_leaving(Way::List));
}

#[test]
fn a_server_that_says_itself_that_it_leaves_gets_no_new_work() {
    smol::block_on(check_leaving(Way::OwnWord));
}

#[test]
fn a_server_that_an_operator_drains_gets_no_new_work() {
    smol::block_on(check_leaving(Way::Operator));
}

#[test]
fn a_shutdown_under_load_cuts_off_no_request() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let calls: Vec<_> = (0..18).map(|n| cluster.completion(n % 3, n, 120)).collect();
        let sending = executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(600)).await;
        // The owner leaves, then one of the others.
        cluster.daemons[owner].terminate();
        let other = (owner + 1) % 3;
        timer::sleep(Duration::from_millis(300)).await;
        cluster.daemons[other].terminate();
        assert!(!cluster.daemons[owner].is_ready().await);
        for (call, answer) in calls.iter().zip(sending.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens), "{answer:?}");
        }
        for at in [owner, other] {
            let status = cluster.daemons[at].wait_exit(Duration::from_secs(20)).await;
            assert_eq!(status.code(), Some(0), "{}", cluster.daemons[at].name);
        }
        let left = 3 - owner - other;
        let answer = cluster.completion(left, 200, 16).send().await;
        assert!(answer.is_whole, "{answer:?}");
    });
}

#[test]
fn a_booking_in_flight_is_answered_before_the_shutdown_ends() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let faults = ffw_standin::plain::Faults { work_ms: 1_500, lost_answers: 0 };
        cluster.plains[0].service.set_faults(faults);
        let call = cluster.booking(1, "group", Some("key"));
        let sending = executor::spawn(async move { call.send().await });
        timer::sleep(Duration::from_millis(300)).await;
        cluster.daemons[1].terminate();
        let answer = sending.await;
        assert_eq!((answer.status, &*answer.run), (200, "ran"), "{answer:?}");
        let status = cluster.daemons[1].wait_exit(Duration::from_secs(20)).await;
        assert_eq!(status.code(), Some(0));
    });
}
