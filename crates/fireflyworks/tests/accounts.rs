//! The ledger: who was served first and why, also after outages and deaths.

use {
    ffw_http::client::{self, Call},
    ffw_runtime::timer,
    ffw_standin::{caller, platform},
    ffw_support::cluster::{Cluster, KEY, OTHER_KEY, Plan, operator, send_all},
    http_types::Method,
    std::time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

async fn events(cluster: &Cluster, ask: usize, request: &str) -> Vec<String> {
    let reply = operator::explain(&cluster.daemons[ask], request, 5).await;
    let records = reply.map(|one| one.records).unwrap_or_default();
    records.into_iter().map(|record| record.event).collect()
}

fn has(events: &[String], start: &str) -> bool {
    events.iter().any(|event| event.starts_with(start))
}

#[test]
fn each_request_is_explained_from_any_daemon() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = (0..10).map(|n| cluster.completion(n % 2, n, 16)).collect();
        let answers = send_all(calls).await;
        timer::sleep(Duration::from_millis(300)).await;
        for (n, answer) in answers.iter().enumerate() {
            let events = events(&cluster, n % 2, &answer.request).await;
            for start in ["arrived", "granted", "answered"] {
                assert!(has(&events, start), "{start} is missing: {events:?}");
            }
        }
        let reply = operator::explain(&cluster.daemons[0], &answers[9].request, 5).await;
        assert!(!reply.expect("records").before.is_empty());
    });
}

#[test]
fn a_workspace_reads_its_own_records_only() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let answer = cluster.completion(0, 1, 16).send().await;
        timer::sleep(Duration::from_millis(200)).await;
        for (key, expected) in [(KEY, 200_u16), (OTHER_KEY, 404)] {
            let path = format!("/v1/requests/{}", answer.request);
            let mut call = Call::new(cluster.daemons[1].callers, Method::Get, path);
            call.headers.push(caller::header("authorization", &format!("Bearer {key}")));
            let response = client::send(&call).await.expect("an answer");
            assert_eq!(u16::from(response.status()), expected);
        }
    });
}

#[test]
fn an_outage_and_the_death_of_a_daemon_lose_no_record() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let outage = platform::Faults { outage: true, ..platform::Faults::default() };
        cluster.platform.service.set_faults(outage);
        let calls = (0..24).map(|n| cluster.completion(n % 3, n, 16)).collect();
        let answers = send_all(calls).await;
        assert!(answers.iter().all(|answer| answer.is_whole));
        // Records are copied to another daemon within one period of 50 ms.
        timer::sleep(Duration::from_millis(500)).await;
        let owner = cluster.owner().await;
        let survivor = (owner + 1) % 3;
        cluster.daemons[owner].kill();
        cluster.platform.service.set_faults(platform::Faults::default());
        let name = cluster.daemons[owner].name.clone();
        cluster.platform.service.remove_instance(&name);
        for answer in &answers {
            let events = events(&cluster, survivor, &answer.request).await;
            for start in ["arrived", "granted", "answered"] {
                assert!(has(&events, start), "{start} of {} is lost: {events:?}", answer.request);
            }
        }
        wait_stored(&cluster, survivor, &name).await;
    });
}

/// Waits until the dead daemon's records stand in the platform, in an unbroken chain.
async fn wait_stored(cluster: &Cluster, ask: usize, name: &str) {
    let begin = Instant::now();
    loop {
        let reply = operator::verify_ledger(&cluster.daemons[ask]).await;
        let broken = reply.chains.iter().find(|chain| !chain.broken.is_empty());
        assert!(broken.is_none(), "{broken:?}");
        if reply.chains.iter().any(|chain| chain.instance == name && chain.records > 0) {
            return;
        }
        assert!(begin.elapsed() < Duration::from_secs(40), "the copies are not stored");
        timer::sleep(Duration::from_millis(500)).await;
    }
}

#[test]
fn a_shutdown_stores_the_whole_chain() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = (0..10).map(|n| cluster.completion(n % 2, n, 16)).collect();
        let answers = send_all(calls).await;
        cluster.daemons[1].terminate();
        cluster.daemons[1].wait_exit(Duration::from_secs(20)).await;
        cluster.platform.service.remove_instance("entry-2");
        let reply = operator::verify_ledger(&cluster.daemons[0]).await;
        let chain = reply.chains.iter().find(|chain| chain.instance == "entry-2");
        let chain = chain.expect("a stored chain");
        assert!(chain.broken.is_empty() && chain.records >= 10, "{chain:?}");
        let events = events(&cluster, 0, &answers[1].request).await;
        assert!(has(&events, "answered"), "{events:?}");
    });
}
