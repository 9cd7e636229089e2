//! Six daemons in one process that remember at which version streams began, over their connections.
//!
//! Guards against a stream whose version is not known to a daemon at which its caller takes it up,
//! after the daemon that began it has ended, alone or with others; against a lookup that waits for
//! daemons that don't answer; and against a call that breaks the connection to an earlier build.

#[path = "support/daemon.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use {
    ffw_control::{calls, daemon::Daemon, origin},
    ffw_peer::{
        handler::Handlers,
        handshake::{self, Side},
        service::Roster,
    },
    ffw_protocol::{
        instance::{Instance, Role, State},
        origin::{Key, Record},
        software::Version,
    },
    ffw_runtime::{executor, listener::Tracker, timer},
    smol::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time for a lookup. Long beside a call on this machine, short beside a time-out.
const LIMIT: Duration = Duration::from_millis(2_000);

/// Time in which a record must have reached its replicas.
const SENT_LIMIT: Duration = Duration::from_secs(5);

struct Node {
    daemon: Arc<Daemon>,
    instance: Instance,
    tracker: Tracker,
}

impl Node {
    /// Ends the daemon, as far as others can tell.
    async fn end(&self) {
        self.tracker.close();
        self.tracker.drained().await;
    }

    async fn find(&self, request: &str) -> Option<Version> {
        origin::find(&self.daemon, &pool(), request, LIMIT).await
    }

    fn record(&self, request: &str, software: Version) {
        origin::record(&self.daemon, &pool(), request, software);
    }

    /// Records that it remembers.
    fn held(&self) -> i64 {
        self.daemon.metrics.routed.origins_held.get()
    }

    /// Copies of records with this outcome.
    fn copies(&self, outcome: &str) -> f64 {
        self.metric(&format!("fireflyworks_origin_records_total{{outcome=\"{outcome}\"}} "))
    }

    /// Lookups with this outcome.
    fn lookups(&self, outcome: &str) -> f64 {
        self.metric(&format!("fireflyworks_origin_lookups_total{{outcome=\"{outcome}\"}} "))
    }

    /// A line of its metrics.
    fn metric(&self, name: &str) -> f64 {
        let text = self.daemon.metrics_text();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0.0, |value| value.trim().parse().expect("a number"))
    }
}

fn pool() -> Arc<str> {
    "llm".into()
}

fn version(text: &str) -> Version {
    Version::Stated(text.into())
}

fn instance(name: &str, address: SocketAddr) -> Instance {
    Instance {
        name: name.into(),
        role: Role::Entry,
        data_centre: "a".into(),
        address,
        pool: "".into(),
        state: State::Live,
        capacity: 500,
    }
}

async fn start_with(name: &str, change: impl FnOnce(&mut Handlers)) -> Node {
    let daemon = support::create(name, "d", Vec::new());
    let tracker = Tracker::default();
    let mut handlers = calls::handlers(&daemon);
    change(&mut handlers);
    let address = support::serve_with(handlers, tracker.clone()).await;
    let instance = instance(name, address);
    Node { daemon, instance, tracker }
}

async fn start(name: &str) -> Node {
    start_with(name, |_| {}).await
}

/// Makes a daemon count the calls that bring records, and keep none.
fn count_records(handlers: &mut Handlers, calls: Arc<AtomicUsize>) {
    handlers.record_origins = Box::new(move |_| {
        calls.fetch_add(1, Ordering::SeqCst);
        Box::pin(std::future::ready(true))
    });
}

/// Waits until a daemon has sent this many copies of records.
async fn until_sent(node: &Node, copies: u32) {
    let started_at = Instant::now();
    while node.copies("sent") < f64::from(copies) {
        assert!(started_at.elapsed() < SENT_LIMIT, "only {} were sent", node.copies("sent"));
        timer::sleep(Duration::from_millis(5)).await;
    }
}

async fn start_six() -> Vec<Node> {
    let mut nodes = Vec::new();
    for number in 0..6 {
        nodes.push(start(&format!("entry-{number}")).await);
    }
    introduce(&nodes, &[], 1);
    nodes
}

/// Lists the daemons at each other, and others at all of them, at a version of the list.
fn introduce(nodes: &[Node], others: &[Instance], version: u64) {
    for node in nodes {
        let own = nodes.iter().map(|node| &node.instance);
        let mut instances: Vec<Instance> = own.chain(others).cloned().collect();
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        node.daemon.view.offer_roster(Roster::new(version, instances));
    }
}

fn run(test: impl Future<Output = ()> + Send + 'static) {
    executor::run(test).expect("the executor runs");
}

/// Fails if nothing is sent, if nobody is asked, and if a key depends on the daemon.
#[test]
fn a_record_is_found_at_each_daemon() {
    run(async {
        let nodes = start_six().await;
        for (number, writer) in nodes.iter().enumerate() {
            let request = format!("attempt-{number}");
            writer.record(&request, version("a"));
            until_sent(writer, 3).await;
            for node in &nodes {
                assert_eq!(node.find(&request).await, Some(version("a")), "record of {number}");
                assert_eq!(node.find("another").await, None);
            }
        }
        for node in &nodes {
            assert_eq!(node.lookups("own") + node.lookups("peer"), 6.0);
            assert_eq!(node.lookups("none"), 6.0);
        }
    });
}

/// Fails with a replica less, and if the daemon that makes the record counts as a replica.
#[test]
fn a_record_outlives_its_daemon_and_any_two_others() {
    let pairs = (1..6).flat_map(|first| (first + 1..6).map(move |second| [first, second]));
    for [first, second] in pairs {
        run(async move {
            let nodes = start_six().await;
            nodes[0].record("attempt", version("a"));
            until_sent(&nodes[0], 3).await;
            let ended = [0, first, second];
            for index in ended {
                nodes[index].end().await;
            }
            let left = nodes.iter().enumerate().filter(|(index, _)| !ended.contains(index));
            for (index, node) in left {
                let found = node.find("attempt").await;
                assert_eq!(found, Some(version("a")), "at {index} without {ended:?}");
            }
        });
    }
}

/// Two daemons start after the record and its daemon has ended. Fails if the
/// first answer counts, though a daemon that has just started knows nothing.
#[test]
fn a_record_is_found_at_a_daemon_that_started_later() {
    run(async {
        let mut nodes = start_six().await;
        for number in 0..20 {
            nodes[0].record(&format!("attempt-{number}"), version("a"));
        }
        until_sent(&nodes[0], 60).await;
        nodes[0].end().await;
        nodes.remove(0);
        for name in ["entry-6", "entry-0"] {
            nodes.push(start(name).await);
        }
        introduce(&nodes, &[], 2);
        for number in 0..20 {
            for node in &nodes {
                let found = node.find(&format!("attempt-{number}")).await;
                assert_eq!(found, Some(version("a")), "{number} at {}", node.instance.name);
            }
        }
    });
}

/// The listed daemons accept connections and never answer. Fails if a lookup waits longer for them
/// than its limit, or if a record waits for its replicas.
#[test]
fn a_lookup_ends_at_its_limit_if_nobody_answers() {
    run(async {
        let node = start("entry-0").await;
        let mut silent = Vec::new();
        for number in 1..6 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            silent.push((instance(&format!("entry-{number}"), address), listener));
        }
        let listed: Vec<Instance> = silent.iter().map(|(listed, _)| listed.clone()).collect();
        introduce(std::slice::from_ref(&node), &listed, 1);
        let limit = Duration::from_millis(150);
        let started_at = Instant::now();
        node.record("attempt", version("a"));
        assert!(started_at.elapsed() < Duration::from_millis(100), "{:?}", started_at.elapsed());
        let started_at = Instant::now();
        assert_eq!(origin::find(&node.daemon, &pool(), "other", limit).await, None);
        assert!(started_at.elapsed() < limit * 3, "{:?}", started_at.elapsed());
    });
}

/// All peers have ended. Fails if a lookup waits for its limit although everybody has failed.
#[test]
fn a_lookup_ends_as_soon_as_everybody_has_failed() {
    run(async {
        let nodes = start_six().await;
        for node in &nodes[1..] {
            node.end().await;
        }
        let started_at = Instant::now();
        let limit = Duration::from_secs(30);
        assert_eq!(origin::find(&nodes[0].daemon, &pool(), "other", limit).await, None);
        assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    });
}

/// Four of the five daemons that are asked hang in the call. Fails if daemons are asked one after
/// the other.
#[test]
fn a_daemon_that_hangs_delays_no_lookup() {
    run(async {
        let mut nodes = vec![start("entry-0").await];
        for number in 1..5 {
            let hang = |handlers: &mut Handlers| {
                handlers.find_origin = Box::new(|_| Box::pin(std::future::pending()));
            };
            nodes.push(start_with(&format!("entry-{number}"), hang).await);
        }
        nodes.push(start("entry-5").await);
        introduce(&nodes, &[], 1);
        for number in 0..8 {
            let request = format!("attempt-{number}");
            let record = Record { key: Key::new("llm", &request), software: version("a") };
            origin::accept(&nodes[5].daemon, &[record]);
            let started_at = Instant::now();
            assert_eq!(nodes[0].find(&request).await, Some(version("a")));
            assert!(started_at.elapsed() < LIMIT / 2, "{:?}", started_at.elapsed());
        }
    });
}

/// Fails if the later of two versions replaces the earlier one, or the earlier one stays.
#[test]
fn two_versions_of_one_attempt_are_none() {
    run(async {
        let nodes = start_six().await;
        nodes[0].record("attempt", version("a"));
        until_sent(&nodes[0], 3).await;
        nodes[0].record("attempt", version("b"));
        until_sent(&nodes[0], 6).await;
        for node in &nodes {
            assert_eq!(node.find("attempt").await, None, "at {}", node.instance.name);
        }
    });
}

/// Guards against calls and memory where no server states a version.
#[test]
fn nothing_is_recorded_or_sent_without_a_version() {
    run(async {
        let calls = Arc::new(AtomicUsize::new(0));
        let mut nodes = vec![start("entry-0").await];
        for number in 1..6 {
            let counted = calls.clone();
            let count = move |handlers: &mut Handlers| count_records(handlers, counted);
            nodes.push(start_with(&format!("entry-{number}"), count).await);
        }
        introduce(&nodes, &[], 1);
        nodes[0].record("attempt", Version::Unstated);
        timer::sleep(Duration::from_millis(200)).await;
        assert_eq!(calls.load(Ordering::SeqCst), 0);
        assert_eq!(nodes[0].held(), 0);
    });
}

/// 300 streams that begin at once. Fails if each record is sent in a call of its own.
#[test]
fn records_to_the_same_daemon_go_together() {
    run(async {
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = calls.clone();
        let count = move |handlers: &mut Handlers| count_records(handlers, counted);
        let nodes = [start("entry-0").await, start_with("entry-1", count).await];
        introduce(&nodes, &[], 1);
        for number in 0..300 {
            nodes[0].record(&format!("attempt-{number}"), version("a"));
        }
        until_sent(&nodes[0], 300).await;
        let calls = calls.load(Ordering::SeqCst);
        assert!(calls <= 100, "{calls} calls");
    });
}

/// Reads one message between daemons; `false` at the end of the connection.
async fn skip_frame(stream: &mut TcpStream) -> bool {
    let mut length = [0; 4];
    if stream.read_exact(&mut length).await.is_err() {
        return false;
    }
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body).await.is_ok()
}

/// A daemon of an earlier build: on its first connection it takes one call that it knows and is
/// slow to answer; any other call is one that it does not know, and closes the connection.
async fn run_earlier_build(listener: TcpListener) {
    for number in 0.. {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        executor::detach(async move {
            if handshake::authenticate(&mut stream, &support::secret(), Side::Server).await.is_err()
            {
                return;
            }
            let is_first = number == 0;
            if skip_frame(&mut stream).await && is_first {
                skip_frame(&mut stream).await;
            }
            stream.close().await.ok();
        });
    }
}

/// One of the replicas is of an earlier build. Fails if the calls go over the connection that other
/// calls share, and if a replica that fails is not replaced by the next daemon.
#[test]
fn an_earlier_build_is_replaced_and_keeps_its_connection() {
    run(async {
        let nodes = start_six().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        executor::detach(run_earlier_build(listener));
        let listed: Vec<Instance> = vec![instance("entry-6", address)];
        introduce(&nodes, &listed, 2);

        let peers = nodes[0].daemon.peers.clone();
        let waiting = executor::spawn(async move {
            let calling = async move |peer: ffw_peer::service::PeerClient, context| {
                peer.status(context).await
            };
            peers.call(address, Duration::from_millis(3_000), calling).await
        });
        timer::sleep(Duration::from_millis(300)).await;
        let count = 40;
        for number in 0..count {
            nodes[0].record(&format!("attempt-{number}"), version("a"));
        }
        for number in 0..20 {
            assert_eq!(nodes[0].find(&format!("unknown-{number}")).await, None);
        }
        until_sent(&nodes[0], count * 3).await;
        assert!(nodes[0].copies("resent") > 0.0, "the earlier build was never a replica");
        assert_eq!(nodes[0].copies("lost"), 0.0);
        for number in 0..count {
            for node in &nodes {
                let found = node.find(&format!("attempt-{number}")).await;
                assert_eq!(found, Some(version("a")), "{number} at {}", node.instance.name);
            }
        }
        let error = waiting.await.expect_err("it does not answer");
        assert!(error.to_string().contains("no answer in time"), "{error}");
    });
}
