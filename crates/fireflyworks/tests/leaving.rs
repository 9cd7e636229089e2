//! Backend servers and daemons that leave.
//!
//! Guards against a leaving backend server that still gets new work after a few seconds, and
//! against a graceful shutdown of a daemon that cuts off requests in progress.

use {
    ffw_protocol::instance::Role,
    ffw_runtime::{executor, timer},
    ffw_standin::{answer, engine::Faults, platform},
    ffw_support::cluster::{Cluster, Plan, operator, send_all},
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Required limit until a leaving server gets no new work: "a few seconds".
const NO_NEW_WORK_LIMIT: Duration = Duration::from_secs(3);

/// How a server is marked as leaving.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// In the instance list.
    InstanceList,
    /// In its load report.
    LoadReport,
    /// By an operator's drain.
    Operator,
}

async fn mark_leaving(cluster: &Cluster, source: Source) {
    let node = &cluster.decodes[1];
    match source {
        Source::InstanceList => cluster.mark_leaving(node, Role::Decode),
        Source::LoadReport => {
            node.service.set_faults(Faults { leaving: true, ..Faults::default() });
        }
        Source::Operator => {
            let reply = operator::drain(&cluster.daemons[0], &node.name, 1).await;
            assert!(reply.accepted, "{reply:?}");
        }
    }
}

/// Checks that a server gets no new work after the limit and that requests in progress complete.
async fn check_leaving(source: Source) {
    let cluster = Cluster::start(Plan::new(BINARY)).await;
    let faults = platform::Faults { instance_lag_ms: 1_000, ..platform::Faults::default() };
    cluster.platform.service.set_faults(faults);
    let calls: Vec<_> = (0..12).map(|n| cluster.completion(n % 2, n, 120)).collect();
    let call_task = executor::spawn(send_all(calls.clone()));
    timer::sleep(Duration::from_millis(500)).await;
    mark_leaving(&cluster, source).await;
    timer::sleep(NO_NEW_WORK_LIMIT).await;
    let transfers_before = cluster.decodes[1].service.counters().transfers;
    assert!(transfers_before > 0, "{source:?}: the server had no work before");
    let more = (100..120).map(|n| cluster.completion(n % 2, n, 16)).collect();
    assert!(send_all(more).await.iter().all(|answer| answer.is_whole), "{source:?}");
    assert_eq!(
        cluster.decodes[1].service.counters().transfers,
        transfers_before,
        "{source:?}: new work"
    );
    for (call, answer) in calls.iter().zip(call_task.await) {
        assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens), "{source:?}");
    }
}

/// The platform marks the server as leaving in the instance list, which the daemons read with a
/// delay of a second.
#[test]
fn a_server_that_is_listed_as_leaving_gets_no_new_work() {
    smol::block_on(check_leaving(Source::InstanceList));
}

/// The server marks itself as leaving in its load report, while the instance list does not
/// change.
#[test]
fn a_server_that_reports_that_it_is_leaving_gets_no_new_work() {
    smol::block_on(check_leaving(Source::LoadReport));
}

/// An operator drains the server through a daemon, while the instance list does not change.
#[test]
fn a_server_that_an_operator_drains_gets_no_new_work() {
    smol::block_on(check_leaving(Source::Operator));
}

/// The owner of the shard and then another daemon shut down while requests are in progress at
/// all three daemons. Guards against streams that end early, a daemon that does not exit or
/// reports an error, and a remaining daemon that does not serve.
#[test]
fn a_shutdown_under_load_cuts_off_no_request() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let calls: Vec<_> = (0..18).map(|n| cluster.completion(n % 3, n, 120)).collect();
        let call_task = executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(600)).await;
        // The owner shuts down, then one of the other daemons.
        cluster.daemons[owner].terminate();
        let other = (owner + 1) % 3;
        timer::sleep(Duration::from_millis(300)).await;
        cluster.daemons[other].terminate();
        assert!(!cluster.daemons[owner].is_ready().await);
        for (call, answer) in calls.iter().zip(call_task.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens), "{answer:?}");
        }
        for index in [owner, other] {
            let status = cluster.daemons[index].wait_exit(Duration::from_secs(20)).await;
            assert_eq!(status.code(), Some(0), "{}", cluster.daemons[index].name);
        }
        let remaining = 3 - owner - other;
        let answer = cluster.completion(remaining, 200, 16).send().await;
        assert!(answer.is_whole, "{answer:?}");
    });
}

/// A daemon shuts down while a backend server runs a booking. Guards against a connection that
/// is closed before the answer, so that the caller does not know whether the booking ran.
#[test]
fn a_booking_in_progress_is_answered_before_the_shutdown_ends() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let faults =
            ffw_standin::plain::Faults { work_ms: 1_500, ..ffw_standin::plain::Faults::default() };
        cluster.plains[0].service.set_faults(faults);
        let call = cluster.booking(1, "group", Some("key"));
        let call_task = executor::spawn(async move { call.send().await });
        timer::sleep(Duration::from_millis(300)).await;
        cluster.daemons[1].terminate();
        let answer = call_task.await;
        assert_eq!((answer.status, &*answer.run), (200, "ran"), "{answer:?}");
        let status = cluster.daemons[1].wait_exit(Duration::from_secs(20)).await;
        assert_eq!(status.code(), Some(0));
    });
}

/// A daemon gets SIGTERM again and again while a backend server runs a booking. Supervisors repeat
/// signals; the booking must be answered all the same.
#[test]
fn a_repeated_signal_cuts_off_no_booking() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let faults =
            ffw_standin::plain::Faults { work_ms: 1_500, ..ffw_standin::plain::Faults::default() };
        cluster.plains[0].service.set_faults(faults);
        let call = cluster.booking(1, "group", Some("key"));
        let call_task = executor::spawn(async move { call.send().await });
        for _ in 0..4 {
            timer::sleep(Duration::from_millis(250)).await;
            cluster.daemons[1].terminate();
        }
        let answer = call_task.await;
        assert_eq!((answer.status, &*answer.run), (200, "ran"), "{answer:?}");
        let status = cluster.daemons[1].wait_exit(Duration::from_secs(20)).await;
        assert_eq!(status.code(), Some(0));
    });
}

/// A daemon shuts down, with nothing else to wait for, while it carries out an operator's change
/// and the platform is slow. Guards against a change that is made and not answered.
#[test]
fn an_operators_change_is_answered_before_the_shutdown_ends() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        timer::sleep(Duration::from_secs(1)).await;
        let slow = platform::Faults { slow_ms: 700, ..platform::Faults::default() };
        cluster.platform.service.set_faults(slow);
        let name = cluster.decodes[1].name.clone();
        let changing = operator::drain(&cluster.daemons[1], &name, 1);
        let stopping = async {
            timer::sleep(Duration::from_millis(300)).await;
            cluster.daemons[1].terminate();
        };
        let (reply, ()) = smol::future::zip(changing, stopping).await;
        assert!(reply.accepted, "{reply:?}");
        cluster.platform.service.set_faults(platform::Faults::default());
        let status = cluster.daemons[1].wait_exit(Duration::from_secs(20)).await;
        assert_eq!(status.code(), Some(0));
    });
}
