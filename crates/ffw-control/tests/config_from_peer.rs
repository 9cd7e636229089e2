//! A daemon that can't reach the store gets the configuration from a peer over a slow link.
//!
//! Guards against a large configuration that no peer passes on, because its transfer takes longer
//! than a call between daemons may.

#[path = "support/daemon.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use {
    ffw_control::{daemon::Daemon, freshness::Arrival, relay},
    ffw_protocol::config::Version,
    ffw_runtime::{executor, timer},
    smol::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    support::serve,
};

/// Rate of the link between the daemons, in bytes per second.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;

/// Bytes that the link passes on at once.
const PART_BYTES: usize = 16 << 10;

fn daemon(name: &str, seeds: Vec<SocketAddr>) -> Arc<Daemon> {
    support::create(name, "platform", seeds)
}

fn version(number: u64, bytes: usize) -> Version {
    let mut declaration = "deployment = \"platform\"\n\n".to_owned();
    declaration.push_str("[[pool]]\nname = \"app\"\nkind = \"plain\"\n\n");
    let mut route = 0;
    while declaration.len() < bytes {
        route += 1;
        declaration.push_str(&format!(
            "[[route]]\nname = \"r{route}\"\nhost = \"caller.example\"\nprefix = \"/p{route}/\"\n\
             timeout_ms = 1000\ntarget_ms = 100\n\n[[route.pools]]\npool = \"app\"\nweight = 1\n\n"
        ));
    }
    Version {
        number,
        change: "change".into(),
        author: "operator".into(),
        reason: "".into(),
        at_ms: 0,
        previous: "".into(),
        declaration: declaration.into(),
        drained: Vec::new(),
    }
}

/// Passes bytes on at the rate of the link.
async fn pass_on(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; PART_BYTES];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
    {
        timer::sleep(Duration::from_secs_f64(count as f64 / LINK_BYTES_PER_S)).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Starts a link to `target`; returns its address.
async fn start_link(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    executor::detach(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else { continue };
            executor::detach(pass_on(near.clone(), far.clone()));
            executor::detach(pass_on(far, near));
        }
    });
    address
}

#[test]
fn a_large_configuration_comes_from_a_peer_over_a_slow_link() {
    let waited = executor::run(async {
        let holder = daemon("holder", Vec::new());
        assert!(
            holder.update_config(version(7, 800_000), Arrival::offered()),
            "the version is usable"
        );
        let link = start_link(serve(&holder).await).await;
        let reader = daemon("reader", vec![link]);
        executor::detach(relay::run_without_platform(reader.clone()));
        let started_at = Instant::now();
        while reader.view.config_number() < 7 && started_at.elapsed() < Duration::from_secs(4) {
            timer::sleep(Duration::from_millis(5)).await;
        }
        (reader.view.config_number(), started_at.elapsed())
    });
    let (number, elapsed) = waited.expect("the executor runs");
    assert_eq!(number, 7, "after {elapsed:?}");
}
