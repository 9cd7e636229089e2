//! Workspaces on routes, with daemons as processes: keys that come and go, and a quota over all
//! daemons whose keepers are killed.
//!
//! Guards against a caller's key that leaves the daemon, a request that runs under the name that the
//! caller wrote, a removed key that is served, and a workspace that gets more than its quota because
//! the daemon that kept its account has ended.

use {
    ffw_runtime::{executor, timer},
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
const CORES: NonZero<usize> = NonZero::new(2).expect("not zero");

const DAEMONS: usize = 3;

const PROGRAM: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Time within which a change must be in force, the default of the settings.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Key of the workspace, which must stand in no log.
const KEY: &str = "a-key-that-stays-here";

/// The quota of the workspace, in requests: rate, burst, and what is tolerated beyond them in a
/// window.
const PER_S: f64 = 20.0;
const BURST: f64 = 10.0;
const WINDOW_S: f64 = 4.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 10.0;

struct Fleet {
    daemons: Vec<Daemon>,
    store: Store,
    _servers: Vec<Worker>,
    log: Log,
}

fn configuration(version: u64, workspaces: Value) -> Value {
    json!({
        "version": version,
        "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "type": "non_idempotent",
            "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 1, "maxAttempts": 1,
            "service": "app"},
            {"name": "open", "host": "h", "pathPrefix": "/open/", "type": "non_idempotent",
            "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 1, "maxAttempts": 1,
            "service": "app", "public": true}],
        "services": [{"name": "app"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": workspaces,
    })
}

impl Fleet {
    async fn start(name: &str, workspaces: Value) -> Fleet {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("workspaces-{name}"));
        fs::remove_dir_all(&folder).ok();
        fs::create_dir_all(&folder).expect("a folder");
        let (store, store_address) = Store::start().await.expect("a store");
        store.put("config", "main", configuration(1, workspaces));
        let log = Log::default();
        let mut servers = Vec::new();
        for name in ["app-1", "app-2"] {
            let server = Worker::start(name, "app", Role::Plain, &log).await.expect("a server");
            let entry = json!({"service": "app", "address": server.address, "zone": "a",
                "state": "ready", "slots": 16});
            store.put("servers", name, entry);
            servers.push(server);
        }
        let ports: Vec<Ports> = (0..DAEMONS).map(|_| Ports::choose().expect("ports")).collect();
        let seeds: Vec<SocketAddr> = ports.iter().map(Ports::peers).collect();
        let mut daemons = Vec::new();
        for (number, ports) in ports.into_iter().enumerate() {
            let daemon = Daemon::new(&folder, number, ports, &seeds, store_address);
            let mut daemon = daemon.expect("settings");
            let set_quota = |file: &mut Value| {
                file["bounds"]["quotaWindowS"] = json!(WINDOW_S);
                file["bounds"]["quotaOvershoot"] = json!(OVERSHOOT);
                file["bounds"]["quotaSlack"] = json!(SLACK);
            };
            daemon.change_settings(set_quota).expect("settings");
            daemon.start(Path::new(PROGRAM)).expect("a daemon");
            daemons.push(daemon);
        }
        let fleet = Fleet { daemons, store, _servers: servers, log };
        for daemon in &fleet.daemons {
            let started_at = Instant::now();
            while send(daemon.caller_address, "/open/x", "wait", "").await != Some(200) {
                assert!(started_at.elapsed() < Duration::from_secs(15), "{} serves", daemon.name);
                timer::sleep(Duration::from_millis(100)).await;
            }
        }
        timer::sleep(Duration::from_secs(2)).await;
        fleet
    }
}

/// Sends one request on a connection of its own; `None` if there is no whole response.
async fn send(address: SocketAddr, path: &str, id: &str, fields: &str) -> Option<u16> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n{fields}\
         Connection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    Some(client::send(address, &request).await?.status)
}

fn with_key(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\nTENANT: forged\r\n")
}

#[test]
fn a_key_stays_at_its_daemon_and_names_its_workspace() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let workspaces = json!([{"name": "dome", "apiKeys": [KEY, "another"]}]);
        let fleet = Fleet::start("keys", workspaces).await;
        for (number, daemon) in fleet.daemons.iter().enumerate() {
            let address = daemon.caller_address;
            let own = send(address, "/r/x", &format!("own-{number}"), &with_key(KEY)).await;
            let unknown = send(address, "/r/x", "unknown", &with_key("another-unknown")).await;
            let open = send(address, "/open/x", "open", &with_key(KEY)).await;
            assert_eq!((own, unknown, open), (Some(200), Some(401), Some(200)));
        }
        for run in fleet.log.runs().iter().filter(|run| run.id != "wait") {
            let workspace = (run.id != "open").then_some("dome");
            assert_eq!(run.workspace.as_deref(), workspace, "{run:?}");
            assert!(!run.has_credentials, "the key has reached a server: {run:?}");
        }
        // The key goes, and later the workspace.
        let without = json!([{"name": "dome", "apiKeys": ["another"]}]);
        fleet.store.put("config", "main", configuration(2, without));
        timer::sleep(APPLY_TIME).await;
        for daemon in &fleet.daemons {
            let removed = send(daemon.caller_address, "/r/x", "removed", &with_key(KEY)).await;
            let kept = send(daemon.caller_address, "/r/x", "kept", &with_key("another")).await;
            assert_eq!((removed, kept), (Some(401), Some(200)));
        }
        assert!(fleet.log.runs().iter().all(|run| run.id != "removed" && run.id != "unknown"));
        for daemon in &fleet.daemons {
            assert!(!daemon.log().contains(KEY), "{} has logged the key", daemon.name);
        }
    });
}

/// Many times the quota is sent to all daemons, which are killed and started again in turn, so that
/// the keeper of the account is among them.
#[test]
fn the_quota_holds_although_its_keeper_is_killed() {
    const LOAD_TIME: Duration = Duration::from_secs(12);
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let workspaces = json!([{"name": "dome", "apiKeys": [KEY], "ratePerS": PER_S,
            "burst": BURST}]);
        let mut fleet = Fleet::start("quota", workspaces).await;
        let end = Instant::now() + LOAD_TIME;
        let load = |number: usize, address: SocketAddr| async move {
            let mut sequence = 0;
            while Instant::now() < end {
                sequence += 1;
                send(address, "/r/x", &format!("{number:x}-{sequence:x}"), &with_key(KEY)).await;
                timer::sleep(Duration::from_millis(5)).await;
            }
        };
        let addresses = fleet.daemons.iter().map(|daemon| daemon.caller_address);
        let tasks: Vec<smol::Task<()>> = addresses
            .enumerate()
            .map(|(number, address)| executor::spawn(load(number, address)))
            .collect();
        timer::sleep(Duration::from_secs(3)).await;
        for daemon in &mut fleet.daemons {
            daemon.signal(Signal::KILL);
            timer::sleep(Duration::from_millis(800)).await;
            daemon.take_exit_code();
            daemon.start(Path::new(PROGRAM)).expect("a daemon");
            timer::sleep(Duration::from_millis(1_500)).await;
        }
        for task in tasks {
            task.await;
        }
        let runs = fleet.log.runs();
        let at: Vec<Instant> =
            runs.iter().filter(|run| run.workspace.is_some()).map(|run| run.received_at).collect();
        let window = Duration::from_secs_f64(WINDOW_S);
        let in_window = |begin: &Instant| {
            at.iter().filter(|at| **at >= *begin && **at < *begin + window).count()
        };
        let most = at.iter().map(in_window).max().unwrap_or(0);
        let bound = (PER_S * WINDOW_S + BURST) * (1.0 + OVERSHOOT) + SLACK;
        assert!(most as f64 <= bound, "{most} requests in a window, at most {bound} may be");
        assert!(!at.is_empty(), "nothing was served");
    });
}

/// All daemons but one are killed and come back soon, in turn, so that the one that is left keeps no
/// account in two of three turns. Guards against requests that are refused at once, whose callers
/// have no second try.
#[test]
fn requests_wait_for_a_keeper_that_comes_back_soon() {
    const DOWN_TIME: Duration = Duration::from_millis(250);
    const REQUESTS: usize = 150;
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let workspaces = json!([{"name": "dome", "apiKeys": [KEY], "ratePerS": 1_000.0,
            "burst": 1_000.0}]);
        let mut fleet = Fleet::start("keepers-back", workspaces).await;
        for survivor in 0..DAEMONS {
            let address = fleet.daemons[survivor].caller_address;
            let others = |number: &usize| *number != survivor;
            (0..DAEMONS).filter(others).for_each(|one| fleet.daemons[one].signal(Signal::KILL));
            let request = move |number: usize| {
                let request = format!(
                    "POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {survivor}-{number}\r\n\
                     Deadline-Ms: 10000\r\n{}Connection: close\r\nContent-Length: 2\r\n\r\nhi",
                    with_key(KEY)
                );
                async move { client::send(address, &request).await.map(|head| head.status) }
            };
            let tasks: Vec<smol::Task<Option<u16>>> =
                (0..REQUESTS).map(|number| executor::spawn(request(number))).collect();
            timer::sleep(DOWN_TIME).await;
            for other in (0..DAEMONS).filter(others) {
                fleet.daemons[other].take_exit_code();
                fleet.daemons[other].start(Path::new(PROGRAM)).expect("a daemon");
            }
            for task in tasks {
                assert_eq!(task.await, Some(200), "daemon {survivor} is left");
            }
            timer::sleep(Duration::from_secs(4)).await;
        }
    });
}
