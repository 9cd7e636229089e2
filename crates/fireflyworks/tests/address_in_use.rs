//! A `route` process that starts while another process still has one of its addresses.
//!
//! Guards against an instance that stays away because the previous process of it ends a moment
//! later than the next one starts.

use {
    ffw_runtime::timer,
    ffw_soak::{
        client,
        daemon::{Daemon, Ports},
        store::Store,
    },
    rstest::rstest,
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::Path,
        time::{Duration, Instant},
    },
};

/// Time within which an address must be released.
const BIND_TIME: Duration = Duration::from_secs(3);

/// Longest time to start or to end, beside [`BIND_TIME`].
const LIMIT: Duration = Duration::from_secs(10);

async fn start(name: &str, ports: Ports) -> Daemon {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("address-in-use-{name}"));
    fs::create_dir_all(&folder).expect("a folder");
    let (_store, store_address) = Store::start().await.expect("a store");
    let daemon = Daemon::new(&folder, 0, ports, &[], store_address);
    let mut daemon = daemon.expect("settings");
    daemon.start(Path::new(env!("CARGO_BIN_EXE_fireflyworks"))).expect("a daemon");
    daemon
}

#[rstest]
#[case::of_callers("callers", Ports::callers)]
#[case::of_readiness("readiness", Ports::readiness)]
#[case::of_peers("peers", Ports::peers)]
fn an_address_that_is_released_soon_is_waited_for(
    #[case] name: &str,
    #[case] address: fn(&Ports) -> SocketAddr,
) {
    smol::block_on(async {
        let ports = Ports::choose().expect("ports");
        let taken = TcpListener::bind(address(&ports)).expect("a free port");
        let mut daemon = start(name, ports).await;
        timer::sleep(Duration::from_millis(800)).await;
        assert_eq!(daemon.take_exit_code(), None, "{}", daemon.last_log_line());
        drop(taken);
        let released_at = Instant::now();
        while client::open(daemon.readiness_address).await.is_none() {
            assert!(released_at.elapsed() < LIMIT, "{}", daemon.last_log_line());
            timer::sleep(Duration::from_millis(20)).await;
        }
        assert!(client::open(daemon.caller_address).await.is_some());
        assert_eq!(daemon.take_exit_code(), None, "{}", daemon.last_log_line());
    });
}

#[test]
fn an_address_that_stays_in_use_is_named() {
    smol::block_on(async {
        let ports = Ports::choose().expect("ports");
        let _taken = TcpListener::bind(ports.peers()).expect("a free port");
        let mut daemon = start("stays", ports).await;
        let started_at = Instant::now();
        let code = loop {
            assert!(started_at.elapsed() < BIND_TIME + LIMIT, "it neither serves nor ends");
            if let Some(code) = daemon.take_exit_code() {
                break code;
            }
            timer::sleep(Duration::from_millis(20)).await;
        };
        assert_ne!(code, 0);
        let line = daemon.last_log_line();
        assert!(line.contains("address for peers"), "{line}");
    });
}
