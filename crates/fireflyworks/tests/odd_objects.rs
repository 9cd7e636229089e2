//! Odd objects in the store, left there by another writer, that change again and again, beside a
//! daemon in a process of its own.
//!
//! Guards against a process that ends or grows because of them, and against servers that are not
//! followed any more.

use {
    ffw_runtime::timer,
    ffw_soak::{
        client,
        daemon::{Daemon, Ports},
        store::Store,
        worker::{Log, Role, Worker},
    },
    ffw_support::permit,
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
const CORES: NonZero<usize> = NonZero::new(1).expect("not zero");

/// Time within which a change of the servers is followed, in the bounds of the users' deployments.
const FOLLOW_TIME: Duration = Duration::from_secs(2);

/// Memory of a daemon, by the settings of the users' deployments, in kilobytes.
const MEMORY_KB: u64 = 110_000;

/// Levels of a nested value. The stand-in of the store writes it by recursion.
const LEVELS: usize = 1_000;

fn nested() -> Value {
    (0..LEVELS).fold(json!(1), |inner, _| json!([inner]))
}

/// Odd contents, another one for each round.
fn odd(round: usize) -> Vec<Value> {
    vec![
        nested(),
        json!({"service": "app", "address": "127.0.0.1:70000", "zone": "a", "state": "ready"}),
        json!({"service": "app", "address": -3, "zone": "a", "state": "ready", "round": round}),
        json!({"service": "app", "address": "127.0.0.1:1", "zone": "a", "state": "ready", "born": 1e300}),
        json!({"service": "app", "address": "x".repeat(200_000 + round), "zone": "a", "state": "ready"}),
        json!([round, "text", null]),
    ]
}

async fn book(address: SocketAddr, id: &str) -> Option<u16> {
    let request = format!(
        "POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    let answer = client::send(address, &request).await?;
    Some(answer.status)
}

fn entry(server: &Worker) -> Value {
    json!({"service": "app", "address": server.address, "zone": "a", "state": "ready"})
}

#[test]
fn a_daemon_serves_beside_odd_objects() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("odd-objects");
        fs::create_dir_all(&folder).expect("a folder");
        let (store, store_address) = Store::start().await.expect("a store");
        let configuration = json!({
            "version": 1,
            "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "type": "non_idempotent",
                "timeoutMs": 1e300, "targetLatencyMs": 100, "priority": 1, "maxAttempts": 1,
                "service": "app"}],
            "services": [{"name": "app"}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        });
        store.put("config", "main", configuration);
        let log = Log::default();
        let first = Worker::start("first", "app", Role::Plain, &log).await.expect("a server");
        store.put("servers", "first", entry(&first));
        let kinds = ["servers", "fireflyworks-daemons", "fireflyworks-leases", "config"];
        let put_odd = |round: usize| {
            for (kind, (number, content)) in kinds
                .iter()
                .flat_map(|kind| odd(round).into_iter().enumerate().map(move |c| (kind, c)))
            {
                store.put(kind, &format!("a\r\nodd {number}"), content.clone());
                store.put(kind, &format!("odd-{number}"), content);
            }
            store.put("fireflyworks-leases", "orders", nested());
        };
        put_odd(0);
        let ports = Ports::choose().expect("ports");
        let daemon = Daemon::new(&folder, 0, ports, &[], store_address);
        let mut daemon = daemon.expect("settings");
        daemon.start(Path::new(env!("CARGO_BIN_EXE_fireflyworks"))).expect("a daemon");
        let started_at = Instant::now();
        while book(daemon.caller_address, "start").await != Some(200) {
            assert!(started_at.elapsed() < Duration::from_secs(15), "the daemon does not serve");
            timer::sleep(Duration::from_millis(50)).await;
        }
        for round in 1..30 {
            put_odd(round);
            let id = format!("r{round}");
            assert_eq!(book(daemon.caller_address, &id).await, Some(200), "round {round}");
            timer::sleep(Duration::from_millis(100)).await;
        }
        // Another server takes the place of the first one.
        let second = Worker::start("second", "app", Role::Plain, &log).await.expect("a server");
        store.put("servers", "second", entry(&second));
        assert!(store.remove("servers", "first"));
        timer::sleep(FOLLOW_TIME).await;
        assert_eq!(book(daemon.caller_address, "last").await, Some(200));
        assert_eq!(log.runs().last().map(|run| run.server.clone()).as_deref(), Some("second"));
        let memory = daemon.memory_kb().expect("a process");
        assert!(memory < MEMORY_KB, "{memory} kB");
        assert_eq!(daemon.take_exit_code(), None, "the process has ended");
        daemon.signal(Signal::TERM);
    });
}
