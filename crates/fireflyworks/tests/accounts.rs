//! The ledger of admission decisions: which request was served first, and why.
//!
//! Guards against records that are lost in an outage of the platform, with a killed daemon or
//! in a shutdown, and against records that another workspace can read.

use {
    ffw_http::client::{self, Call},
    ffw_runtime::timer,
    ffw_standin::{caller, platform},
    ffw_support::cluster::{Cluster, KEY, OTHER_KEY, Plan, operator, send_all},
    http_types::Method,
    std::time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Events of a request, as one daemon explains it. Empty if the daemon does not answer.
async fn events(cluster: &Cluster, daemon: usize, request: &str) -> Vec<String> {
    let reply = operator::explain(&cluster.daemons[daemon], request, 5).await;
    let records = reply.map(|reply| reply.records).unwrap_or_default();
    records.into_iter().map(|record| record.event).collect()
}

fn has_event(events: &[String], start: &str) -> bool {
    events.iter().any(|event| event.starts_with(start))
}

/// Number of the grant that an event describes; `None` if it describes none.
fn grant_number(event: &str) -> Option<u64> {
    let fields = event.strip_prefix("granted ")?;
    let number = fields.split(' ').find_map(|field| field.strip_prefix("number="))?;
    number.parse().ok()
}

/// Grants of the owner before a request that are asked for.
const GRANTS_BEFORE: u32 = 5;

/// The records of a request are spread over its entry and the owner of its shard. Guards against
/// an explanation that lacks the arrival, the grant or the answer, or one of the grants that the
/// owner made just before. The requests come at once, so any of them may be granted first.
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
                assert!(has_event(&events, start), "{start} is missing: {events:?}");
            }
        }
        for (n, answer) in answers.iter().enumerate() {
            let daemon = &cluster.daemons[n % 2];
            let reply = operator::explain(daemon, &answer.request, GRANTS_BEFORE).await;
            let reply = reply.expect("records");
            let own = reply.records.iter().find_map(|record| grant_number(&record.event));
            let own = own.expect("a grant");
            let before: Vec<u64> =
                reply.before.iter().filter_map(|record| grant_number(&record.event)).collect();
            let first = own.saturating_sub(u64::from(GRANTS_BEFORE)).max(1);
            assert_eq!(before, (first..own).collect::<Vec<_>>(), "grants before number {own}");
        }
    });
}

/// Callers can read the records of a request by its id. Guards against records that are
/// returned to a workspace that did not send the request.
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

/// During an outage of the platform, a daemon can't store its records; only a copy at another
/// daemon survives its death. Guards against records that are lost with the killed daemon, and
/// against copies that are never stored after the outage.
#[test]
fn an_outage_and_the_death_of_a_daemon_lose_no_record() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let outage = platform::Faults { outage: true, ..platform::Faults::default() };
        cluster.platform.service.set_faults(outage);
        let calls = (0..24).map(|n| cluster.completion(n % 3, n, 16)).collect();
        let answers = send_all(calls).await;
        assert!(answers.iter().all(|answer| answer.is_whole));
        // Each daemon copies new records to another daemon after 50 ms.
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
                assert!(
                    has_event(&events, start),
                    "{start} of {} is lost: {events:?}",
                    answer.request
                );
            }
        }
        wait_stored(&cluster, survivor, &name).await;
    });
}

/// Waits until records of the killed daemon are stored, and checks that no stored chain is broken.
async fn wait_stored(cluster: &Cluster, daemon: usize, name: &str) {
    let began = Instant::now();
    loop {
        let reply = operator::verify_ledger(&cluster.daemons[daemon]).await;
        let broken = reply.chains.iter().find(|chain| !chain.broken.is_empty());
        assert!(broken.is_none(), "{broken:?}");
        if reply.chains.iter().any(|chain| chain.instance == name && chain.records > 0) {
            return;
        }
        assert!(
            began.elapsed() < Duration::from_secs(40),
            "no copied record of the killed daemon is stored"
        );
        timer::sleep(Duration::from_millis(500)).await;
    }
}

/// Guards against a graceful shutdown that ends before all records of the daemon are stored, so
/// that its chain is incomplete or broken.
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
        assert!(has_event(&events, "answered"), "{events:?}");
    });
}
