//! A booking runs at most once, and *not run* means that it did not.

use {
    ffw_runtime::{executor, timer},
    ffw_standin::{caller::Answer, plain, platform},
    ffw_support::cluster::{Cluster, Plan},
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// How often the call with this body ran, over all servers.
fn runs(cluster: &Cluster, body: &str) -> u32 {
    cluster.plains.iter().map(|node| node.service.count(body)).sum()
}

fn check(cluster: &Cluster, body: &str, answer: &Answer) {
    let runs = runs(cluster, body);
    assert!(runs <= 1, "{body} ran {runs} times");
    match &*answer.run {
        "not run" => assert_eq!(runs, 0, "{body} ran after {answer:?}"),
        "ran" => assert_eq!(runs, 1, "{body} did not run: {answer:?}"),
        _ => {}
    }
}

#[test]
fn the_same_key_gets_the_recorded_answer_by_way_of_any_entry() {
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

#[test]
fn calls_at_once_with_one_key_run_once() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0].service.set_faults(plain::Faults { work_ms: 200, lost_answers: 0 });
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

#[test]
fn a_lost_answer_of_the_platform_is_read_back() {
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

#[test]
fn an_outage_of_the_platform_is_not_run_and_says_when_to_come_back() {
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

#[test]
fn an_unknown_outcome_stays_unknown_and_is_never_run_again() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0].service.set_faults(plain::Faults { work_ms: 0, lost_answers: 1 });
        let first = cluster.booking(0, "group", Some("key")).send().await;
        assert_eq!((first.status, &*first.run), (504, "unknown"), "{first:?}");
        let second = cluster.booking(1, "group", Some("key")).send().await;
        assert_eq!((second.status, &*second.run), (409, "unknown"), "{second:?}");
        assert_eq!(runs(&cluster, "group"), 1);
    });
}

#[test]
fn a_killed_entry_leaves_no_second_run() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0].service.set_faults(plain::Faults { work_ms: 400, lost_answers: 0 });
        let call = cluster.booking(1, "group", Some("key"));
        let sending = executor::spawn(async move { call.send().await });
        timer::sleep(Duration::from_millis(200)).await;
        cluster.daemons[1].kill();
        cluster.platform.service.remove_instance("entry-2");
        let cut = sending.await;
        assert_eq!(cut.status, 0, "{cut:?}");
        let second = cluster.booking(0, "group", Some("key")).send().await;
        assert_eq!((second.status, &*second.run), (409, "unknown"), "{second:?}");
        assert_eq!(runs(&cluster, "group"), 1);
    });
}

#[test]
fn a_paused_entry_that_comes_back_sends_nothing_twice() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster
            .platform
            .service
            .set_faults(platform::Faults { slow_ms: 100, ..platform::Faults::default() });
        for n in 0..6_u64 {
            let body = format!("group-{n}");
            let call = cluster.booking(1, &body, Some(&body));
            let sending = executor::spawn(async move { call.send().await });
            timer::sleep(Duration::from_millis(30 * n)).await;
            cluster.daemons[1].pause();
            let retry = cluster.booking(0, &body, Some(&body));
            let retrying = executor::spawn(async move { retry.send().await });
            timer::sleep(Duration::from_millis(900)).await;
            cluster.daemons[1].resume();
            let (first, second) = (sending.await, retrying.await);
            check(&cluster, &body, &first);
            check(&cluster, &body, &second);
        }
    });
}

#[test]
fn a_call_without_a_key_is_sent_once() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.plains[0].service.set_faults(plain::Faults { work_ms: 0, lost_answers: 1 });
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

#[test]
fn an_idempotent_call_is_repeated_elsewhere() {
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
