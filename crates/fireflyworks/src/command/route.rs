//! `fireflyworks route`: the daemon on the users' platform, which tells it all but its shared key.

use {
    super::{Entry, Example},
    crate::logs,
    clap::{Arg, ArgMatches, Command},
    eyre::{Result, WrapErr as _},
    ffw_control::{
        calls,
        daemon::{Daemon, Mode, Setup},
        owner, relay,
    },
    ffw_decide::baseline::Policy,
    ffw_http::server as listener,
    ffw_peer::{handshake::Secret, link::Pool},
    ffw_route::{
        engine, roles,
        router::{self, Limits, Router},
        server,
    },
    ffw_runtime::{
        executor,
        shutdown::{self, Signal},
        timer,
    },
    fireflyworks_platform::{
        announce, dialect::DIALECT, follow, lease, settings::Settings, store::Store,
    },
    log::{LevelFilter, info, warn},
    smol::channel::Receiver,
    std::{
        process::ExitCode,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time before the end of the grace at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Pause between two looks at what a shutdown waits for.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Period at which the settings file is looked at without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(5);

/// Share of the memory that bodies may take.
const BODY_SHARE: usize = 4;

/// The command.
pub const ENTRY: Entry = Entry {
    name: "route",
    about: "Run the daemon from the platform's settings file",
    examples: &[Example {
        what: "Serve with the settings file that the environment names",
        line: "fireflyworks route --peer-secret 0123456789abcdef",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    let secret = Arg::new("peer-secret")
        .long("peer-secret")
        .env("FIREFLYWORKS_PEER_SECRET")
        .hide_env_values(true)
        .required(true)
        .help("Key that all daemons of the deployment share, at least 16 bytes");
    let level = Arg::new("log-level")
        .long("log-level")
        .env("FIREFLYWORKS_LOG_LEVEL")
        .default_value("info")
        .help("error, warn, info, debug or trace");
    command.arg(secret).arg(level)
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let level: LevelFilter = text("log-level").parse().wrap_err("--log-level")?;
    let secret = text("peer-secret");
    eyre::ensure!(secret.len() >= 16, "--peer-secret: at least 16 bytes are needed");
    let settings = Settings::read()?;
    logs::start(level);
    executor::run(serve(settings, Secret::new(&secret))).wrap_err("the daemon ended early")?
}

async fn serve(settings: Settings, secret: Secret) -> Result<ExitCode> {
    let signals = shutdown::listen().wrap_err("installing signal handlers")?;
    let callers = listener::bind(settings.callers).await.wrap_err("address for callers")?;
    let readiness = listener::bind(settings.readiness).await.wrap_err("address for readiness")?;
    let peers = listener::bind(settings.peers).await.wrap_err("address for peers")?;
    let daemon = Daemon::new(Setup {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        deployment: "platform".into(),
        platform: settings.store,
        peers: Pool::new(secret.clone()),
        seeds: settings.seeds.clone(),
        policy: Policy::Owner,
        mode: Mode::Routed,
    })?;
    let incarnation = daemon.identity.incarnation;
    info!("event=started instance={} incarnation={incarnation:x}", settings.instance);
    executor::detach(ffw_peer::server::serve(peers, secret, calls::handlers(&daemon)));
    let store = Arc::new(Store::new(settings.store));
    follow::start(&daemon, &store);
    executor::detach(announce::announce(store.clone(), daemon.clone(), settings.peers));
    executor::detach(announce::remove_gone_daemons(store.clone(), daemon.clone()));
    executor::detach(relay::exchange(daemon.clone()));
    executor::detach(owner::run_owned_shards(daemon.clone()));
    let router = Router::new(daemon.clone(), DIALECT, limits(&settings));
    executor::detach(router::forget_vanished_servers(router.clone()));
    executor::detach(engine::run_probes(router.clone()));
    executor::detach(roles::run(router.clone(), lease::storage(&store)));
    executor::detach(server::serve_readiness(router.clone(), readiness));
    executor::detach(server::serve(router.clone(), callers));
    run_until_told_to_end(&router, settings.clone(), &signals).await;
    shut_down(&router).await;
    announce::remove_entry(&store, &settings.instance).await;
    info!("event=shutdown_done open={}", router.in_flight());
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings file again when a signal says so, and now and then, as it may change without.
async fn run_until_told_to_end(router: &Router, mut known: Settings, signals: &Receiver<Signal>) {
    let mut is_wrong = false;
    loop {
        let signal = timer::timeout(RELOAD_PERIOD, signals.recv()).await;
        if let Some(Ok(Signal::Stop) | Err(_)) = signal {
            return;
        }
        let is_asked = signal.is_some();
        match Settings::read() {
            Ok(read) if read == known => {
                if is_asked {
                    info!("event=reloaded changed=nothing");
                }
                is_wrong = false;
            }
            Ok(read) => {
                let changed = known.differences(&read).join(",");
                info!("event=reloaded changed={changed} before={known:?} now={read:?}");
                router.configure(limits(&read));
                known = read;
                is_wrong = false;
            }
            Err(fault) => {
                if is_asked || !is_wrong {
                    warn!("event=reload_failed error=\"{fault}\"");
                }
                is_wrong = true;
            }
        }
    }
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window: settings.retry_window,
        buffered_bytes: settings.memory_bytes / BODY_SHARE,
        connections: settings.sockets / 2,
        grace: settings.grace.saturating_sub(GRACE_MARGIN),
    }
}

/// Not ready first; then what still comes is served, and what is open ends, within the grace.
async fn shut_down(router: &Router) {
    info!("event=shutdown_begun open={}", router.in_flight());
    router.daemon.drain();
    let began = Instant::now();
    let last = router.limits().grace;
    let first = router::INGRESS_LAG.min(last);
    while began.elapsed() < first || router.in_flight() > 0 && began.elapsed() < last {
        timer::sleep(LOOK_PAUSE).await;
    }
}
