//! Calls of a service that may run at most once, here bookings.
//!
//! Guards against a call that runs twice, and against an answer that reports *not run* for a
//! call that ran. Both can happen when an entry, a backend server or the platform fails between
//! the claim, the call and its answer.

use {
    ffw_runtime::{executor, timer},
    ffw_standin::{caller::Answer, plain, platform},
    ffw_support::cluster::{Cluster, Plan},
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Number of runs of the call with this body, summed over all servers.
fn runs(cluster: &Cluster, body: &str) -> u32 {
    cluster.plains.iter().map(|node| node.service.count(body)).sum()
}

/// Checks that the call ran at most once, and that the answer reports correctly whether it ran.
fn check(cluster: &Cluster, body: &str, answer: &Answer) {
    let runs = runs(cluster, body);
    assert!(runs <= 1, "{body} ran {runs} times");
    match &*answer.run {
        "not run" => assert_eq!(runs, 0, "{body} ran after {answer:?}"),
        "ran" => assert_eq!(runs, 1, "{body} did not run: {answer:?}"),
        _ => {}
    }
}

/// A caller repeats a call with the same idempotency key through another entry. Guards against
/// a second run, and against a key that is accepted for another call.
#[test]
fn the_same_key_gets_the_recorded_answer_from_any_entry() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let first = cluster.booking(0, "group-1", Some("key-1")).send().await;
        let second = cluster.booking(1, "group-1", Some("key-1")).send().await;
        assert_eq!((first.status, &*first.run), (200, "ran"));
        assert_eq!((second.status, &second.text), (200, &first.text));
        assert_eq!(runs(&cluster, "group-1"), 1);
        let other = cluster.booking(1, "group-2", Some("key-1")).send().await;
        assert_eq!((other.status, &*other.run), (422, "not run"));
        assert_eq!(runs(&cluster, "group-2"), 0);
    });
}

/// Several callers send the same call with one key at the same time, through two entries.
/// Guards against a second run while the first is in progress.
#[test]
fn concurrent_calls_with_one_key_run_once() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0]
            .service
            .set_faults(plain::Faults { work_ms: 200, ..plain::Faults::default() });
        let calls = (0..8).map(|n| cluster.booking(n % 2, "group", Some("key")));
        let tasks: Vec<_> =
            calls.map(|call| executor::spawn(async move { call.send().await })).collect();
        for task in tasks {
            let answer = task.await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        assert_eq!(runs(&cluster, "group"), 1);
    });
}

/// The platform executes a write of the claim, but its answer is lost. Guards against an entry
/// that rejects the call, or runs it twice, because it does not read the claim again.
#[test]
fn a_claim_whose_write_was_not_confirmed_is_read_back() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for n in 0..4 {
            let faults = platform::Faults { lost_answers: 1, ..platform::Faults::default() };
            cluster.platform.service.set_faults(faults);
            let body = format!("group-{n}");
            let answer = cluster.booking(n % 2, &body, Some(&body)).send().await;
            check(&cluster, &body, &answer);
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    });
}

/// Without the platform, no claim can be created. Guards against a call that is sent without a
/// claim, and against a refusal without a time after which to retry.
#[test]
fn a_platform_outage_refuses_a_call_as_not_run_with_a_retry_time() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let outage = platform::Faults { outage: true, ..platform::Faults::default() };
        cluster.platform.service.set_faults(outage);
        let answer = cluster.booking(0, "group", Some("key")).send().await;
        assert_eq!((answer.status, &*answer.run), (503, "not run"), "{answer:?}");
        assert!(answer.retry_after.is_some());
        check(&cluster, "group", &answer);
        cluster.platform.service.set_faults(platform::Faults::default());
        let answer = cluster.booking(1, "group", Some("key")).send().await;
        check(&cluster, "group", &answer);
        assert_eq!(answer.status, 200, "{answer:?}");
    });
}

/// The backend server runs the call, but its answer is lost. Guards against a repeated call
/// that runs the booking a second time.
#[test]
fn an_unknown_outcome_stays_unknown_and_is_never_run_again() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0]
            .service
            .set_faults(plain::Faults { lost_answers: 1, ..plain::Faults::default() });
        let first = cluster.booking(0, "group", Some("key")).send().await;
        assert_eq!((first.status, &*first.run), (504, "unknown"), "{first:?}");
        let second = cluster.booking(1, "group", Some("key")).send().await;
        assert_eq!((second.status, &*second.run), (409, "unknown"), "{second:?}");
        assert_eq!(runs(&cluster, "group"), 1);
    });
}

/// The entry is killed while the backend server runs the call, so that the claim stays without
/// an outcome. Guards against a second run when the caller repeats the call at another entry.
#[test]
fn a_call_whose_entry_was_killed_is_not_run_again() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0]
            .service
            .set_faults(plain::Faults { work_ms: 400, ..plain::Faults::default() });
        let call = cluster.booking(1, "group", Some("key"));
        let call_task = executor::spawn(async move { call.send().await });
        timer::sleep(Duration::from_millis(200)).await;
        cluster.daemons[1].kill();
        cluster.platform.service.remove_instance("entry-2");
        let first = call_task.await;
        assert_eq!(first.status, 0, "{first:?}");
        let second = cluster.booking(0, "group", Some("key")).send().await;
        assert_eq!((second.status, &*second.run), (409, "unknown"), "{second:?}");
        assert_eq!(runs(&cluster, "group"), 1);
    });
}

/// An entry is paused at different points between the claim and the call, and a caller repeats
/// the call at another entry meanwhile. Guards against a second run when the paused entry
/// resumes and sends the call late.
#[test]
fn a_paused_entry_that_resumes_sends_no_call_twice() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster
            .platform
            .service
            .set_faults(platform::Faults { slow_ms: 100, ..platform::Faults::default() });
        for n in 0..6_u64 {
            let body = format!("group-{n}");
            let call = cluster.booking(1, &body, Some(&body));
            let call_task = executor::spawn(async move { call.send().await });
            timer::sleep(Duration::from_millis(30 * n)).await;
            cluster.daemons[1].pause();
            let retry = cluster.booking(0, &body, Some(&body));
            let retry_task = executor::spawn(async move { retry.send().await });
            timer::sleep(Duration::from_millis(900)).await;
            cluster.daemons[1].resume();
            let (first, second) = (call_task.await, retry_task.await);
            check(&cluster, &body, &first);
            check(&cluster, &body, &second);
        }
    });
}

/// Guards against a retry of a call whose outcome is unknown, and against *unknown* for a call
/// that was never sent because the server refused the connection.
#[test]
fn a_call_without_a_key_is_sent_once() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0]
            .service
            .set_faults(plain::Faults { lost_answers: 1, ..plain::Faults::default() });
        let answer = cluster.booking(0, "group", None).send().await;
        assert_eq!((answer.status, &*answer.run), (504, "unknown"), "{answer:?}");
        assert_eq!(runs(&cluster, "group"), 1);
        cluster.plains[0].stop();
        timer::sleep(Duration::from_millis(300)).await;
        let answer = cluster.booking(0, "late", None).send().await;
        assert_eq!((answer.status, &*answer.run), (502, "not run"), "{answer:?}");
        assert_eq!(runs(&cluster, "late"), 0);
    });
}

/// One of two servers refuses connections. Guards against an error for a call that may be
/// repeated at the other server.
#[test]
fn an_idempotent_call_is_retried_at_another_server() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { plains: 2, ..Plan::new(BINARY) }).await;
        cluster.plains[0].stop();
        timer::sleep(Duration::from_millis(300)).await;
        for n in 0..6 {
            let mut call = cluster.booking(n % 2, "seats", None);
            call.path = "/services/booking/availability/today".into();
            let answer = call.send().await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    });
}

/// One of two servers cuts off its responses, the other refuses connections. Guards against *not
/// run* for a call that ran at the first, because its last attempt did not reach the other.
#[test]
fn a_retry_that_is_refused_says_nothing_of_the_attempts_before() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { plains: 2, ..Plan::new(BINARY) }).await;
        let faults = plain::Faults { cuts_answers: true, ..plain::Faults::default() };
        cluster.plains[0].service.set_faults(faults);
        cluster.plains[1].stop();
        timer::sleep(Duration::from_millis(300)).await;
        for n in 0..12 {
            let body = format!("seats-{n}");
            let mut call = cluster.booking(n % 2, &body, None);
            call.path = "/services/booking/availability/today".into();
            let answer = call.send().await;
            assert!(answer.status >= 500, "{answer:?}");
            let told = if runs(&cluster, &body) > 0 { "unknown" } else { "not run" };
            assert_eq!(&*answer.run, told, "{answer:?}");
        }
    });
}
