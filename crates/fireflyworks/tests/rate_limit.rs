//! Servers that state how many requests a second they take from all daemons together. The daemons
//! are processes of their own; the servers count what arrives.
//!
//! Guards against daemons that don't follow a limit, follow it each for itself, or leave much of it
//! unused, and against callers that wait for a server in need although another one is free.

use {
    ffw_runtime::{executor, timer},
    ffw_soak::{
        client,
        daemon::{Daemon, Ports},
        proxy::{Fault, Proxy},
        store::Store,
        worker::{Log, Role, Worker},
    },
    ffw_support::permit,
    rstest::rstest,
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        num::NonZero,
        path::Path,
        time::{Duration, Instant},
    },
};

/// Processor cores for each run.
const CORES: NonZero<usize> = NonZero::new(2).expect("not zero");

/// Time from the first statement of a limit after which it must be followed, by the users' rule.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Span over which arrivals are counted, by the users' rule.
const WINDOW: Duration = Duration::from_secs(4);

/// Largest number of arrivals in a [`WINDOW`], by the users' rule.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Largest number of arrivals in any window after `since`.
fn most_in_a_window(arrivals: &[Instant], since: Instant) -> usize {
    let later: Vec<Instant> = arrivals.iter().filter(|at| **at >= since).copied().collect();
    let in_window =
        |from: &Instant| later.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    later.iter().map(in_window).max().unwrap_or(0)
}

/// How a request ended.
struct Answer {
    status: u16,
    retry_after: Option<f64>,
    took: Duration,
}

struct Fleet {
    daemons: Vec<Daemon>,
    servers: Vec<Worker>,
    store: Store,
    /// Between the daemons and the store.
    store_proxy: Proxy,
    log: Log,
    /// Path of the requests.
    path: &'static str,
}

fn configuration() -> Value {
    let engine = json!({"slots": 16, "kvCapacity": 70_000, "kvTokenBytes": 35_136,
        "linkMbps": 5_900_000.0, "stride": 50, "kvHoldS": 0.5, "models": [{"name": "m"}]});
    json!({
        "version": 1,
        "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "type": "non_idempotent",
            "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 1, "maxAttempts": 1,
            "service": "app"},
            {"name": "s", "host": "h", "pathPrefix": "/s/", "type": "streaming",
            "timeoutMs": 4000, "targetLatencyMs": 900, "targetGapMs": 300, "priority": 1,
            "maxAttempts": 2, "service": "llm"}],
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

impl Fleet {
    /// Starts daemons and plain servers.
    async fn start(name: &str, daemons: usize, servers: usize) -> Fleet {
        Fleet::start_with(name, daemons, &vec![Role::Plain; servers]).await
    }

    /// Starts daemons and servers of these roles, all plain ones or all engines.
    async fn start_with(name: &str, daemons: usize, roles: &[Role]) -> Fleet {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("rate-limit-{name}"));
        fs::create_dir_all(&folder).expect("a folder");
        let (store, store_address) = Store::start().await.expect("a store");
        store.put("config", "main", configuration());
        let store_proxy = Proxy::start(store_address).await.expect("a proxy");
        let log = Log::default();
        let path = if roles.contains(&Role::Plain) { "/r/x" } else { "/s/x" };
        let mut fleet =
            Fleet { daemons: Vec::new(), servers: Vec::new(), store, store_proxy, log, path };
        for (number, role) in roles.iter().enumerate() {
            let name = format!("server-{number}");
            let service = if *role == Role::Plain { "app" } else { "llm" };
            let started = Worker::start(&name, service, *role, &fleet.log).await;
            let server = started.expect("a server");
            let mut entry = json!({"service": service, "address": server.address, "zone": "a",
                "state": "ready", "slots": 16});
            match role {
                Role::Plain => {}
                Role::Prefill => entry["stage"] = json!("prefill"),
                Role::Decode => entry["stage"] = json!("decode"),
            }
            fleet.store.put("servers", &name, entry);
            fleet.servers.push(server);
        }
        let ports: Vec<Ports> = (0..daemons).map(|_| Ports::choose().expect("ports")).collect();
        let seeds: Vec<SocketAddr> = ports.iter().take(3).map(Ports::peers).collect();
        for (number, ports) in ports.into_iter().enumerate() {
            let daemon = Daemon::new(&folder, number, ports, &seeds, fleet.store_proxy.address);
            let mut daemon = daemon.expect("settings");
            daemon.start(Path::new(env!("CARGO_BIN_EXE_fireflyworks"))).expect("a daemon");
            fleet.daemons.push(daemon);
        }
        fleet.wait_until_known().await;
        fleet
    }

    /// Waits until each daemon serves, and has had time to find the others.
    async fn wait_until_known(&self) {
        for daemon in &self.daemons {
            let started_at = Instant::now();
            while send(daemon.caller_address, self.path, "wait")
                .await
                .is_none_or(|end| end.status != 200)
            {
                assert!(started_at.elapsed() < Duration::from_secs(15), "{} serves", daemon.name);
                timer::sleep(Duration::from_millis(100)).await;
            }
        }
        timer::sleep(Duration::from_secs(2)).await;
    }

    /// Sends `per_s` requests a second for a time, in turn to the daemons of `targets`, whether or
    /// not earlier ones have ended; returns how they ended.
    async fn load(&self, per_s: f64, span: Duration, targets: &[usize]) -> Vec<Answer> {
        let started_at = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..(per_s * span.as_secs_f64()) as usize {
            let due = started_at + Duration::from_secs_f64(number as f64 / per_s);
            timer::sleep(due.saturating_duration_since(Instant::now())).await;
            let address = self.daemons[targets[number % targets.len()]].caller_address;
            let id = format!("{number:x}-{:x}", started_at.elapsed().as_micros());
            let path = self.path;
            tasks.push(executor::spawn(async move { send(address, path, &id).await }));
        }
        let mut answers = Vec::new();
        for task in tasks {
            answers.extend(task.await);
        }
        answers
    }
}

/// Sends one request on a connection of its own; `None` if there is no whole response.
async fn send(address: SocketAddr, path: &str, id: &str) -> Option<Answer> {
    let started_at = Instant::now();
    let deadline = if path == "/s/x" { 3_000 } else { 1_000 };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         Model: m\r\nToken-Count: 100,1000\r\nPrefix-Hash: {id}:100\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    let response = client::send(address, &request).await?;
    let retry_after = response.fields.text("Retry-After").and_then(|text| text.parse().ok());
    Some(Answer { status: response.status, retry_after, took: started_at.elapsed() })
}

/// One of two servers states a limit. The server in need gets no more than the users' rule allows,
/// and each request is served without waiting for it.
#[test]
fn requests_go_to_the_free_server() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start("free", 4, 2).await;
        let limit = 8.0;
        fleet.servers[0].set_rate_limit(Some(limit));
        let stated_at = Instant::now();
        let answers = fleet.load(100.0, Duration::from_secs(9), &[0, 1, 2, 3]).await;
        let most = most_in_a_window(&fleet.servers[0].arrivals(), stated_at + SETTLING_TIME);
        assert!(most <= allowed(limit), "{most} arrivals in 4 s, {} allowed", allowed(limit));
        let unserved = answers.iter().filter(|answer| answer.status != 200).count();
        assert_eq!(unserved, 0, "of {} requests", answers.len());
        let late = answers.iter().filter(|answer| answer.took > Duration::from_millis(300));
        assert!(late.count() * 50 <= answers.len(), "requests wait although a server is free");
    });
}

/// All servers state limits, together a third of what comes. They get nearly what they state, also
/// if one daemon has all requests or nearly all; the rest is refused soon, with a time to come
/// back.
#[rstest]
#[case::even("even", &[0, 1, 2, 3])]
#[case::one_daemon_has_all("one", &[2])]
#[case::one_daemon_has_nearly_all("skewed", &[2, 2, 2, 2, 2, 2, 2, 2, 0, 1, 3])]
fn limits_are_followed_by_all_daemons_together(#[case] name: &str, #[case] targets: &[usize]) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(name, 4, 2).await;
        let limits = [8.0, 5.0];
        for (server, limit) in fleet.servers.iter().zip(limits) {
            server.set_rate_limit(Some(limit));
        }
        let stated_at = Instant::now();
        let span = Duration::from_secs(11);
        let answers = fleet.load(40.0, span, targets).await;
        let since = stated_at + SETTLING_TIME;
        for (server, limit) in fleet.servers.iter().zip(limits) {
            let arrivals = server.arrivals();
            let most = most_in_a_window(&arrivals, since);
            assert!(most <= allowed(limit), "{most} arrivals in 4 s, {} allowed", allowed(limit));
            let later = arrivals.iter().filter(|at| **at >= since).count() as f64;
            let stated = limit * (span - SETTLING_TIME).as_secs_f64();
            assert!(later >= 0.9 * stated, "{later} arrivals of {stated} that the server takes");
        }
        let refused: Vec<&Answer> = answers.iter().filter(|answer| answer.status == 503).collect();
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        assert_eq!(refused.len() + served, answers.len(), "other answers");
        assert!(!refused.is_empty(), "none of {} requests was refused", answers.len());
        let without_time = refused.iter().filter(|answer| answer.retry_after.is_none()).count();
        assert_eq!(without_time, 0, "refusals without a time to come back");
        let slow = refused.iter().filter(|answer| answer.took > Duration::from_millis(200));
        assert!(slow.count() * 50 <= refused.len(), "callers wait for their refusal");
        // What was refused did not run.
        let runs = fleet.log.runs().iter().filter(|run| run.id != "wait").count();
        assert_eq!(runs, served, "runs, and answers of servers");
    });
}

/// Daemons are killed, paused and started again, one after the other, while a server states a limit
/// that changes. The answers of the store may be lost again and again on all connections that are
/// open, so that the daemons' lists of each other, by which they find the owner of the server's
/// account, differ for a time.
#[rstest]
#[case::beside_a_sound_store("churn", None)]
#[case::while_answers_of_the_store_are_lost("churn-lost", Some(Duration::from_millis(700)))]
fn a_limit_holds_while_daemons_come_and_go(
    #[case] name: &str,
    #[case] loss_period: Option<Duration>,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start(name, 4, 2).await;
        let proxy = fleet.store_proxy.clone();
        let _losing = loss_period.map(|period| {
            executor::spawn(async move {
                loop {
                    proxy.lose_open(Fault::LossOfAnswers, 1);
                    timer::sleep(period).await;
                }
            })
        });
        let limit = 8.0;
        fleet.servers[0].set_rate_limit(Some(limit));
        let stated_at = Instant::now();
        let addresses: Vec<SocketAddr> =
            fleet.daemons.iter().map(|daemon| daemon.caller_address).collect();
        let loading = executor::spawn(async move {
            let started_at = Instant::now();
            for number in 0.. {
                if started_at.elapsed() > Duration::from_secs(16) {
                    return;
                }
                let address = addresses[number % addresses.len()];
                executor::spawn(async move { send(address, "/r/x", &format!("{number:x}")).await })
                    .detach();
                timer::sleep(Duration::from_millis(25)).await;
            }
        });
        for number in 0..4 {
            timer::sleep(Duration::from_secs(2)).await;
            fleet.daemons[number].signal(Signal::KILL);
            timer::sleep(Duration::from_millis(500)).await;
            fleet.daemons[number].take_exit_code();
            let program = Path::new(env!("CARGO_BIN_EXE_fireflyworks"));
            fleet.daemons[number].start(program).expect("a daemon");
            timer::sleep(Duration::from_millis(500)).await;
            let paused = &fleet.daemons[(number + 1) % 4];
            paused.signal(Signal::STOP);
            timer::sleep(Duration::from_millis(400)).await;
            paused.signal(Signal::CONT);
        }
        loading.await;
        let most = most_in_a_window(&fleet.servers[0].arrivals(), stated_at + SETTLING_TIME);
        assert!(most <= allowed(limit), "{most} arrivals in 4 s, {} allowed", allowed(limit));
        // The limit ends, and the other server leaves; the one that had the limit takes all.
        fleet.servers[0].set_rate_limit(None);
        assert!(fleet.store.remove("servers", "server-1"));
        timer::sleep(Duration::from_secs(3)).await;
        let answers = fleet.load(40.0, Duration::from_secs(4), &[0, 1, 2, 3]).await;
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(served * 10 >= answers.len() * 9, "{served} of {} served", answers.len());
    });
}

/// One of two prefill servers and one of two decode servers state limits. Streams are served by the
/// others, and each limited server gets no more calls than the users' rule allows.
#[test]
fn engines_with_limits_get_few_calls() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let roles = [Role::Prefill, Role::Prefill, Role::Decode, Role::Decode];
        let fleet = Fleet::start_with("engines", 3, &roles).await;
        let limit = 1.5;
        let limited = [&fleet.servers[0], &fleet.servers[2]];
        limited.iter().for_each(|server| server.set_rate_limit(Some(limit)));
        let stated_at = Instant::now();
        let answers = fleet.load(12.0, Duration::from_secs(10), &[0, 1, 2]).await;
        for server in limited {
            let most = most_in_a_window(&server.arrivals(), stated_at + SETTLING_TIME);
            let allowed = allowed(limit);
            assert!(most <= allowed, "{most} calls to {} in 4 s, {allowed} allowed", server.name);
        }
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(served * 10 >= answers.len() * 9, "{served} of {} served", answers.len());
    });
}
