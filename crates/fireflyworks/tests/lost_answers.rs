//! Connections between daemons and store that lose what is sent on them and stay open, while new
//! ones are sound, as when a firewall forgets its connections.
//!
//! Guards against daemons that take the silence of such a connection for "no change", and serve
//! moved routes by their old service, or use leaving servers, for as long as a watch may last.

use {
    ffw_runtime::{executor, timer},
    ffw_soak::{
        client,
        daemon::{Daemon, Ports},
        proxy::{Fault, Proxy},
        store::Store,
        worker::{Log, Role, Run, Worker},
    },
    ffw_support::permit,
    rstest::rstest,
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{
        fs,
        future::Future,
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

/// Time after the end of a disruption from which the users' rules hold again.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time within which a change must be in force, in the bounds of the users' deployments.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time from the start of the loss to the change.
const CHANGE_DELAY: Duration = Duration::from_secs(1);

/// Time for which requests are sent after the change must be in force.
const CHECKED_TIME: Duration = Duration::from_secs(3);

/// Pause between two requests to one daemon.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// What the operator or a server changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// The route moves to the other service.
    MovedRoute,
    /// One of the two servers of the route's service is leaving.
    LeavingServer,
    /// One of the two servers is gone from the list.
    RemovedServer,
}

/// Three daemons before a store, and two servers of one service with one of another.
struct Fleet {
    daemons: Vec<Daemon>,
    /// Addresses for callers, of all daemons.
    callers: Vec<SocketAddr>,
    store: Store,
    store_proxy: Proxy,
    servers: Vec<Worker>,
    log: Log,
}

fn configuration(version: u64, service: &str) -> Value {
    json!({
        "version": version,
        "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "type": "non_idempotent",
            "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 1, "maxAttempts": 1,
            "service": service}],
        "services": [{"name": "old"}, {"name": "new"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

fn entry(server: &Worker, state: &str) -> Value {
    json!({"service": server.service, "address": server.address, "zone": "a", "state": state,
        "slots": 16})
}

impl Fleet {
    /// Starts [`DAEMONS`] daemons in one data centre.
    async fn start(name: &str) -> Fleet {
        Fleet::start_in(name, &["a"; DAEMONS]).await
    }

    /// Starts a daemon in each of these data centres.
    async fn start_in(name: &str, data_centres: &[&str]) -> Fleet {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("lost-answers-{name}"));
        fs::create_dir_all(&folder).expect("a folder");
        let (store, store_address) = Store::start().await.expect("a store");
        let store_proxy = Proxy::start(store_address).await.expect("a proxy");
        store.put("config", "main", configuration(1, "old"));
        let log = Log::default();
        let mut servers = Vec::new();
        for (name, service) in [("old-1", "old"), ("old-2", "old"), ("new-1", "new")] {
            let server = Worker::start(name, service, Role::Plain, &log).await.expect("a server");
            store.put("servers", name, entry(&server, "ready"));
            servers.push(server);
        }
        let ports: Vec<Ports> =
            data_centres.iter().map(|_| Ports::choose().expect("ports")).collect();
        let seeds: Vec<SocketAddr> = ports.iter().map(Ports::peers).collect();
        let callers = ports.iter().map(Ports::callers).collect();
        let mut daemons = Vec::new();
        for (number, ports) in ports.into_iter().enumerate() {
            let daemon = Daemon::new(&folder, number, ports, &seeds, store_proxy.address);
            let mut daemon = daemon.expect("settings");
            let set_zone = |file: &mut Value| file["zone"] = json!(data_centres[number]);
            daemon.change_settings(set_zone).expect("settings");
            daemon.start(Path::new(PROGRAM)).expect("a daemon");
            daemons.push(daemon);
        }
        let fleet = Fleet { daemons, callers, store, store_proxy, servers, log };
        fleet.wait_until_known().await;
        fleet
    }

    /// Waits until each daemon serves, and has had time to find the others.
    async fn wait_until_known(&self) {
        for daemon in &self.daemons {
            let started_at = Instant::now();
            while send(daemon.caller_address, "wait").await != Some(200) {
                assert!(started_at.elapsed() < Duration::from_secs(15), "{} serves", daemon.name);
                timer::sleep(Duration::from_millis(100)).await;
            }
        }
        timer::sleep(Duration::from_secs(2)).await;
    }

    fn change(&self, change: Change) {
        match change {
            Change::MovedRoute => self.store.put("config", "main", configuration(4, "new")),
            Change::LeavingServer => {
                self.store.put("servers", "old-1", entry(&self.servers[0], "draining"));
            }
            Change::RemovedServer => assert!(self.store.remove("servers", "old-1")),
        }
    }

    /// Sends requests to all daemons until a time.
    async fn load_until(&self, end: Instant) {
        let mut tasks = Vec::new();
        for (number, address) in self.callers.iter().copied().enumerate() {
            tasks.push(executor::spawn(async move {
                let mut sequence = 0;
                while Instant::now() < end {
                    sequence += 1;
                    send(address, &format!("{number:x}-{sequence:x}")).await;
                    timer::sleep(REQUEST_PAUSE).await;
                }
            }));
        }
        for task in tasks {
            task.await;
        }
    }
}

/// Sends one request on a connection of its own; `None` if there is no whole response.
async fn send(address: SocketAddr, id: &str) -> Option<u16> {
    let request = format!(
        "POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    Some(client::send(address, &request).await?.status)
}

/// Whether a change forbids a run.
fn is_forbidden(change: Change, run: &Run) -> bool {
    match change {
        Change::MovedRoute => run.service == "old",
        Change::LeavingServer | Change::RemovedServer => run.server == "old-1",
    }
}

impl Fleet {
    /// Makes a change [`CHANGE_DELAY`] after now, while a loss goes on that is over after
    /// `loss_time`, and requests are sent. Checks that it is in force when it must be.
    async fn check(&self, change: Change, loss_time: Duration, loss: impl Future<Output = ()>) {
        let lost_at = Instant::now();
        let due_at = lost_at + (loss_time + STABLE_TIME).max(CHANGE_DELAY + APPLY_TIME);
        let changing = async {
            timer::sleep(CHANGE_DELAY).await;
            self.change(change);
        };
        let acting = smol::future::zip(loss, changing);
        smol::future::zip(acting, self.load_until(due_at + CHECKED_TIME)).await;
        let runs = self.log.runs();
        let is_late = |run: &&Run| run.received_at > due_at && is_forbidden(change, run);
        let late: Vec<&Run> = runs.iter().filter(is_late).collect();
        let since_loss = |at: Instant| (at - lost_at).as_millis();
        assert!(
            late.is_empty(),
            "{} requests as before the {change:?}, the last one {:?} ms after the start of the \
             loss; it was due at {} ms",
            late.len(),
            late.last().map(|run| since_loss(run.received_at)),
            since_loss(due_at)
        );
        assert!(runs.iter().any(|run| run.received_at > due_at), "nothing was served");
    }
}

/// All connections between the daemons and the store lose what is sent for a time, both ways or from
/// the store only, and a change comes meanwhile or soon after.
#[rstest]
#[case::both_ways("both-3000", Fault::Loss, 3_000)]
#[case::answers("answers-3000", Fault::LossOfAnswers, 3_000)]
#[case::answers_for_a_moment("answers-300", Fault::LossOfAnswers, 300)]
fn a_change_is_in_force_although_all_open_connections_are_silent(
    #[case] name: &str,
    #[case] fault: Fault,
    #[case] loss_ms: u64,
    #[values(Change::MovedRoute, Change::LeavingServer, Change::RemovedServer)] change: Change,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("{name}-{change:?}")).await;
        let loss_time = Duration::from_millis(loss_ms);
        let loss = async {
            fleet.store_proxy.set_fault(fault);
            timer::sleep(loss_time).await;
            fleet.store_proxy.set_fault(Fault::None);
        };
        fleet.check(change, loss_time, loss).await;
    });
}

/// Bytes between the daemons and the store are held back and arrive late, both ways or from the
/// store only: an answer of before must neither count as a confirmation nor replace a newer version.
#[rstest]
#[case::both_ways("held", Fault::Silence, 3_000)]
#[case::answers("held-answers", Fault::OneWay, 3_000)]
#[case::answers_for_a_moment("held-answers-300", Fault::OneWay, 300)]
fn a_change_is_in_force_although_bytes_arrive_late(
    #[case] name: &str,
    #[case] fault: Fault,
    #[case] hold_ms: u64,
    #[values(Change::MovedRoute, Change::LeavingServer)] change: Change,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("{name}-{change:?}")).await;
        let hold_time = Duration::from_millis(hold_ms);
        let holding = async {
            fleet.store_proxy.set_fault(fault);
            timer::sleep(hold_time).await;
            fleet.store_proxy.set_fault(Fault::None);
        };
        fleet.check(change, hold_time, holding).await;
    });
}

/// How a daemon is disturbed while the others act on old state.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// It is killed and starts again, beside others that are behind.
    Restart,
    /// It is stopped for a time and continues.
    Pause,
    /// It reads its settings again.
    Reload,
}

/// One daemon starts, continues or reads its settings again while all answers of the store are lost,
/// so that it can learn of nothing but what the others believe.
#[rstest]
fn a_change_is_in_force_at_a_daemon_that_was_disturbed_meanwhile(
    #[values(Disturbance::Restart, Disturbance::Pause, Disturbance::Reload)]
    disturbance: Disturbance,
    #[values(Change::MovedRoute, Change::LeavingServer)] change: Change,
) {
    const LOSS_TIME: Duration = Duration::from_secs(3);
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start(&format!("{disturbance:?}-{change:?}")).await;
        let mut disturbed = fleet.daemons.remove(0);
        let proxy = fleet.store_proxy.clone();
        let loss = async {
            proxy.set_fault(Fault::LossOfAnswers);
            match disturbance {
                Disturbance::Restart => {
                    disturbed.signal(Signal::KILL);
                    timer::sleep(LOSS_TIME / 2).await;
                    disturbed.take_exit_code();
                    disturbed.start(Path::new(PROGRAM)).expect("a daemon");
                }
                Disturbance::Pause => {
                    disturbed.signal(Signal::STOP);
                    timer::sleep(LOSS_TIME / 2).await;
                    disturbed.signal(Signal::CONT);
                }
                Disturbance::Reload => {
                    timer::sleep(LOSS_TIME / 2).await;
                    disturbed.signal(Signal::HUP);
                }
            }
            timer::sleep(LOSS_TIME / 2).await;
            proxy.set_fault(Fault::None);
        };
        fleet.check(change, LOSS_TIME, loss).await;
    });
}

/// All open connections to the store fall silent, and one daemon stands still, which may be the one
/// that asks the store on behalf of the others.
#[rstest]
fn a_change_is_in_force_although_one_daemon_stands_still(
    #[values(0, 1, 2)] stopped: usize,
    #[values(Change::MovedRoute, Change::RemovedServer)] change: Change,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("stopped-{stopped}-{change:?}")).await;
        let loss = async {
            fleet.daemons[stopped].signal(Signal::STOP);
            fleet.store_proxy.lose_open(Fault::LossOfAnswers, 1);
        };
        fleet.check(change, Duration::ZERO, loss).await;
    });
}

/// Daemons in several data centres, each with a daemon that asks the store on behalf of the others.
#[rstest]
fn a_change_is_in_force_in_each_data_centre(
    #[values(Fault::Loss, Fault::LossOfAnswers, Fault::LossWithinAnswers)] fault: Fault,
    #[values(Change::MovedRoute, Change::LeavingServer, Change::RemovedServer)] change: Change,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let name = format!("data-centres-{fault:?}-{change:?}");
        let fleet = Fleet::start_in(&name, &["a", "a", "b", "b", "c", "c"]).await;
        let loss = async { fleet.store_proxy.lose_open(fault, 1) };
        fleet.check(change, Duration::ZERO, loss).await;
    });
}

/// Some of the open connections fall silent, others don't.
#[rstest]
fn a_change_is_in_force_although_some_open_connections_are_silent(
    #[values(2, 3)] every: usize,
    #[values(Change::MovedRoute, Change::LeavingServer)] change: Change,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("some-{every}-{change:?}")).await;
        let loss = async { fleet.store_proxy.lose_open(Fault::LossOfAnswers, every) };
        fleet.check(change, Duration::ZERO, loss).await;
    });
}

/// Open connections fall silent again and again, also those that were opened to find out.
#[rstest]
fn a_change_is_in_force_although_connections_fall_silent_again_and_again(
    #[values(Fault::Loss, Fault::LossOfAnswers)] fault: Fault,
) {
    const LOSSES: u32 = 8;
    const PERIOD: Duration = Duration::from_millis(500);
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("again-{fault:?}")).await;
        let loss = async {
            for _ in 0..LOSSES {
                fleet.store_proxy.lose_open(fault, 1);
                timer::sleep(PERIOD).await;
            }
        };
        fleet.check(Change::MovedRoute, (LOSSES - 1) * PERIOD, loss).await;
    });
}

/// The next response on each open connection falls silent in its middle, and the first lists that
/// are asked for in its place are lost too.
#[rstest]
fn a_change_is_in_force_although_responses_fall_silent_in_their_middle(
    #[values(Change::MovedRoute, Change::LeavingServer, Change::RemovedServer)] change: Change,
    #[values(0, DAEMONS as u64)] lost_lists: u64,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("within-{change:?}-{lost_lists}")).await;
        let loss = async {
            fleet.store_proxy.lose_open(Fault::LossWithinAnswers, 1);
            fleet.store.leave_lists_unanswered(lost_lists);
        };
        fleet.check(change, Duration::ZERO, loss).await;
    });
}

/// All open connections to the store fall silent, and so do, in their middle, the first lists that
/// are asked for in place of the watches, as many as there are daemons.
#[rstest]
fn a_change_is_in_force_although_lists_fall_silent_in_their_middle(
    #[values(Change::LeavingServer, Change::RemovedServer)] change: Change,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("cut-lists-{change:?}")).await;
        let loss = async {
            fleet.store_proxy.lose_open(Fault::LossOfAnswers, 1);
            fleet.store.cut_lists(DAEMONS as u64);
        };
        fleet.check(change, Duration::ZERO, loss).await;
    });
}

/// The same with twice as many lists, of which one daemon may meet three in a row.
#[rstest]
fn a_change_is_in_force_although_twice_as_many_lists_fall_silent(
    #[values(Change::LeavingServer, Change::RemovedServer)] change: Change,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start(&format!("cut-twice-{change:?}")).await;
        let loss = async {
            fleet.store_proxy.lose_open(Fault::LossOfAnswers, 1);
            fleet.store.cut_lists(2 * DAEMONS as u64);
        };
        fleet.check(change, Duration::ZERO, loss).await;
    });
}

/// Guards against a belief that is older than its bound without a word in the logs.
#[test]
fn an_overdue_belief_and_its_next_confirmation_are_logged() {
    const LOSS_TIME: Duration = Duration::from_secs(3);
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let fleet = Fleet::start("overdue").await;
        let logged_before: Vec<usize> =
            fleet.daemons.iter().map(|daemon| daemon.log().len()).collect();
        fleet.store_proxy.set_fault(Fault::LossOfAnswers);
        timer::sleep(LOSS_TIME).await;
        fleet.store_proxy.set_fault(Fault::None);
        timer::sleep(STABLE_TIME).await;
        for (daemon, before) in fleet.daemons.iter().zip(logged_before) {
            let log = daemon.log().split_off(before);
            let overdue = log.find("event=belief_overdue kind=configuration");
            let confirmed = log.rfind("event=belief_confirmed kind=configuration");
            assert!(overdue.is_some() && confirmed > overdue, "{}", daemon.name);
        }
    });
}
