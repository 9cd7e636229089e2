//! `fireflyworks serve`: the daemon, with its settings from flags and environment variables.

use {
    super::{Example, Subcommand},
    crate::{
        logs,
        settings::{self, Settings},
    },
    clap::{ArgMatches, Command},
    eyre::{Result, WrapErr as _},
    ffw_control::{
        calls,
        daemon::{Daemon, Mode, Setup},
        ledger, order, owner, quarantine, relay, report, sweep,
    },
    ffw_entry::{entry, health},
    ffw_operator::service::Service,
    ffw_peer::{handshake::Secret, link::PeerConnections},
    ffw_runtime::{
        executor,
        listener::{self, Tracker},
        shutdown::{self, Signal},
        timer,
    },
    log::{info, warn},
    smol::{channel::Receiver, net::TcpListener},
    std::{
        net::SocketAddr,
        process::ExitCode,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Time for which a shutdown retries to store the ledger records that are not stored yet.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time that a shutdown waits until other daemons own its shards.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest times that a shutdown waits for the calls of operators, and of other daemons, that are
/// being answered.
const OPERATORS_TIMEOUT: Duration = Duration::from_secs(10);
const PEERS_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two checks of a condition that a shutdown waits for.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "serve",
    about: "Run the daemon",
    examples: &[Example {
        description: "Serve the deployment `matariki` from the instance `entry-1`",
        line: "fireflyworks serve --instance entry-1 --data-centre nz-north-a --deployment matariki --platform 127.0.0.1:7000 --peer-secret 0123456789abcdef",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command.args(settings::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let settings = match Settings::read(matches) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("error: invalid settings:\n  {}", problems.join("\n  "));
            return Ok(ExitCode::from(2));
        }
    };
    logs::start(settings.log_level);
    executor::run(serve(settings)).wrap_err("the daemon stopped unexpectedly")?
}

struct Listeners {
    callers: TcpListener,
    health: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

async fn bind_all(settings: &Settings) -> Result<Listeners> {
    Ok(Listeners {
        callers: bind(settings.listen, "listen").await?,
        health: bind(settings.listen_health, "listen-health").await?,
        peers: bind(settings.listen_peers, "listen-peers").await?,
        operators: bind(settings.listen_operators, "listen-operators").await?,
    })
}

async fn bind(address: SocketAddr, flag: &str) -> Result<TcpListener> {
    let bound = listener::bind(address).await;
    bound.wrap_err_with(|| format!("binding --{flag} {address}"))
}

async fn serve(settings: Settings) -> Result<ExitCode> {
    let signals = shutdown::listen().wrap_err("installing signal handlers")?;
    let listeners = bind_all(&settings).await?;
    let secret = Secret::new(&settings.peer_secret);
    let daemon = Daemon::new(Setup {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        deployment: settings.deployment.clone(),
        platform: settings.platform,
        peers: PeerConnections::new(secret.clone()),
        seeds: settings.seed_peers.clone(),
        policy: settings.admission,
        mode: Mode::Declared,
    })?;
    info!(
        "event=started instance={} incarnation={:x}",
        settings.instance, daemon.identity.incarnation
    );
    let trackers = Trackers::default();
    let handlers = calls::handlers(&daemon);
    let peers = ffw_peer::server::serve(listeners.peers, secret, handlers, trackers.peers.clone());
    executor::detach(peers);
    let operators = Service::new(daemon.clone(), settings.operator_keys.clone());
    let operators =
        ffw_operator::server::serve(listeners.operators, operators, trackers.operators.clone());
    executor::detach(operators);
    executor::detach(health::serve(daemon.clone(), listeners.health, Tracker::default()));
    start_controllers(&daemon);
    let entry = entry::Entry::new(daemon.clone(), settings.limits);
    executor::detach(entry.clone().serve(listeners.callers));
    wait_for_stop(&signals).await;
    let repeated = async {
        loop {
            wait_for_stop(&signals).await;
            let open = daemon.open.load(Ordering::SeqCst);
            info!("event=shutdown_continues cause=repeated_signal open={open}");
        }
    };
    let shutting_down = shut_down(&daemon, &entry, &trackers, settings.drain_lag);
    Ok(smol::future::or(shutting_down, repeated).await)
}

/// Connections and calls besides those of callers.
#[derive(Default)]
struct Trackers {
    operators: Tracker,
    peers: Tracker,
}

/// Waits for a signal to stop. A reload signal changes nothing, as the flags and environment of a
/// running process are fixed.
async fn wait_for_stop(signals: &Receiver<Signal>) {
    while let Ok(Signal::Reload) = signals.recv().await {
        info!("event=reloaded changed=nothing");
    }
}

fn start_controllers(daemon: &Arc<Daemon>) {
    executor::detach(relay::run(daemon.clone()));
    executor::detach(owner::run_owned_shards(daemon.clone()));
    executor::detach(quarantine::exchange::run(daemon.clone()));
    executor::detach(report::run(daemon.clone()));
    executor::detach(sweep::run(daemon.clone()));
    executor::detach(order::run(daemon.clone()));
    executor::detach(ledger::run(daemon.clone()));
}

/// Reports not ready, closes the callers' listener after `lag`, the time in which load balancers
/// may still send connections, and waits for everything that was let in. Then waits until other
/// daemons own the shards, answers the operators' calls, stores the ledger, and answers the calls
/// of other daemons. A repeated signal to stop changes nothing, as it may come from a supervisor.
async fn shut_down(
    daemon: &Arc<Daemon>,
    entry: &entry::Entry,
    trackers: &Trackers,
    lag: Duration,
) -> ExitCode {
    info!("event=shutdown_begun open={}", daemon.open.load(Ordering::SeqCst));
    daemon.drain();
    timer::sleep(lag).await;
    entry.callers.close();
    entry.callers.drained().await;
    // The task that serves a request may outlive its connection.
    while daemon.open.load(Ordering::SeqCst) > 0 {
        timer::sleep(POLL_PERIOD).await;
    }
    wait_for_hand_over(daemon).await;
    trackers.operators.close();
    let operators = trackers.operators.drained();
    if timer::timeout(OPERATORS_TIMEOUT, operators).await.is_none() {
        warn!("event=operators_unanswered connections={}", trackers.operators.open());
    }
    let began = Instant::now();
    while !ledger::store_all(daemon).await && began.elapsed() < FLUSH_TIMEOUT {
        timer::sleep(POLL_PERIOD * 10).await;
    }
    trackers.peers.close();
    if timer::timeout(PEERS_TIMEOUT, trackers.peers.drained()).await.is_none() {
        warn!("event=peers_unanswered connections={}", trackers.peers.open());
    }
    info!("event=shutdown_done unstored_records={}", daemon.ledger.unstored());
    ExitCode::SUCCESS
}

async fn wait_for_hand_over(daemon: &Daemon) {
    let began = Instant::now();
    while !daemon.owned_shards.shards().is_empty() && began.elapsed() < HAND_OVER_TIMEOUT {
        timer::sleep(POLL_PERIOD).await;
    }
}
