//! `fireflyworks route`: the daemon on the users' platform. All settings but the peer secret, the log
//! level and the price of bytes between data centres come from the platform's settings file, which is read again on SIGHUP and every
//! 5 s.

use {
    super::{Example, Subcommand},
    crate::logs,
    clap::{Arg, ArgMatches, Command},
    eyre::{Result, WrapErr as _},
    ffw_control::{
        announce, calls,
        daemon::{Daemon, Mode, Setup},
        origin::archive,
        owner, quarantine, relay,
        software::record,
    },
    ffw_decide::baseline::Policy,
    ffw_peer::{handshake::Secret, link::PeerConnections},
    ffw_protocol::instance::{Instance, Role, State},
    ffw_route::{
        engine, roles,
        router::{self, Limits, Router},
        server,
    },
    ffw_runtime::{
        executor,
        listener::{self, Tracker},
        shutdown::{self, Signal},
        timer,
    },
    fireflyworks_platform::{
        announce::storage, dialect::DIALECT, follow, lease, origin, settings::Settings,
        store::Store, stored,
    },
    log::{LevelFilter, info, warn},
    smol::channel::Receiver,
    std::{process::ExitCode, sync::Arc, time::Duration},
};

/// Time by which the process ends before the grace period of the platform is over.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Longest time that the end of the process waits for the calls of other daemons and of the platform
/// that are being answered.
const LAST_CALLS_TIMEOUT: Duration = Duration::from_millis(90);

/// Period at which the settings file is read again without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(5);

/// Buffered bodies may take the memory divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Memory that the process takes without requests, in bytes: 8 MB at rest, and room for peers, idle
/// connections to servers, and the store's responses.
const OWN_BYTES: usize = 20_000_000;

/// Share of the remaining memory that callers and servers may be charged with. The allocator holds
/// more than is charged, as freed blocks between others can't be returned to the system.
const CHARGED_SHARE: f64 = 0.6;

/// Both may be charged with at least the memory divided by this, so that the smallest machines
/// serve them as well.
const CALLER_MEMORY_DIVISOR_MAX: usize = 8;

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "route",
    about: "Run the daemon from the platform's settings file",
    examples: &[Example {
        description: "Serve with the settings file that the environment names",
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
    let price = Arg::new("remote-gb-ms")
        .long("remote-gb-ms")
        .env("FIREFLYWORKS_REMOTE_GB_MS")
        .value_name("MS")
        .value_parser(parse_price)
        .help(
            "Lets observed times decide which plain requests leave the data centre: milliseconds \
            that a GB to another one may cost, 0 if bytes cost nothing",
        );
    command.arg(secret).arg(level).arg(price)
}

fn parse_price(text: &str) -> Result<f64, String> {
    let price = text.parse::<f64>().map_err(|err| err.to_string())?;
    let is_valid = price.is_finite() && price >= 0.0;
    is_valid.then_some(price).ok_or_else(|| "must be a number of at least 0".into())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let level: LevelFilter = text("log-level").parse().wrap_err("--log-level")?;
    let secret = text("peer-secret");
    eyre::ensure!(secret.len() >= 16, "--peer-secret must have at least 16 bytes");
    let settings = Settings::read()?;
    logs::start(level);
    let gb_ms = matches.get_one::<f64>("remote-gb-ms").copied();
    executor::run(serve(settings, Secret::new(&secret), gb_ms))
        .wrap_err("the daemon stopped unexpectedly")?
}

async fn serve(settings: Settings, secret: Secret, gb_ms: Option<f64>) -> Result<ExitCode> {
    let signals = shutdown::listen().wrap_err("installing signal handlers")?;
    let callers =
        listener::bind(settings.callers).await.wrap_err("binding the address for callers")?;
    let readiness =
        listener::bind(settings.readiness).await.wrap_err("binding the address for readiness")?;
    let peers = listener::bind(settings.peers).await.wrap_err("binding the address for peers")?;
    let daemon = Daemon::new(Setup {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        deployment: "platform".into(),
        platform: settings.store,
        peers: PeerConnections::new(secret.clone()),
        seeds: settings.seeds.clone(),
        policy: Policy::Owner,
        mode: Mode::Routed,
    })?;
    let incarnation = daemon.identity.incarnation;
    info!("event=started instance={} incarnation={incarnation:x}", settings.instance);
    let (caller_tracker, call_tracker) = (Tracker::default(), Tracker::default());
    let handlers = calls::handlers(&daemon);
    executor::detach(ffw_peer::server::serve(peers, secret, handlers, call_tracker.clone()));
    let store = Arc::new(Store::new(settings.store));
    daemon.beliefs.set_bound(belief_age_max(&settings));
    daemon.quotas.set_tolerance(settings.quota_tolerance);
    follow::start(&daemon, &store);
    let records = stored::storage(&store, stored::SOFTWARE_KIND);
    executor::detach(record::run(daemon.clone(), records, settings.is_first_start));
    let records = stored::storage(&store, stored::QUARANTINE_KIND);
    executor::detach(quarantine::record::run(daemon.clone(), records));
    let copies = origin::storage(&store);
    executor::detach(archive::run(daemon.clone(), copies, settings.store_writes_per_s));
    let entries = storage(&store);
    let own = own_instance(&settings);
    let announcing = executor::spawn(announce::announce(entries.clone(), daemon.clone(), own));
    executor::detach(announce::remove_unreachable(entries.clone(), daemon.clone()));
    executor::detach(relay::run_without_platform(daemon.clone()));
    executor::detach(owner::run_owned_shards(daemon.clone()));
    executor::detach(quarantine::exchange::run(daemon.clone()));
    let router = Router::new(daemon.clone(), DIALECT, limits(&settings));
    if let Some(gb_ms) = gb_ms {
        router.set_price(gb_ms);
    }
    executor::detach(router::forget_vanished_servers(router.clone()));
    executor::detach(engine::run_probes(router.clone()));
    executor::detach(roles::run(router.clone(), lease::storage(&store)));
    executor::detach(server::serve_readiness(router.clone(), readiness, call_tracker.clone()));
    executor::detach(server::serve(router.clone(), callers, caller_tracker.clone()));
    reload_until_stop(&router, settings.clone(), &signals).await;
    shut_down(&router, &caller_tracker).await;
    announce::withdraw(&entries, &settings.instance, announcing).await;
    call_tracker.close();
    let is_answered = timer::timeout(LAST_CALLS_TIMEOUT, call_tracker.drained()).await.is_some();
    info!("event=shutdown_done open={} calls_answered={is_answered}", router.in_flight());
    Ok(ExitCode::SUCCESS)
}

/// Applies changes of the settings file until a signal to stop arrives. The file is read on a
/// reload signal and every [`RELOAD_PERIOD`], as it may change without a signal. An invalid file
/// leaves the settings as they are; without a signal, only the first failure in a row is logged.
async fn reload_until_stop(router: &Router, mut settings: Settings, signals: &Receiver<Signal>) {
    let mut is_invalid = false;
    loop {
        let signal = timer::timeout(RELOAD_PERIOD, signals.recv()).await;
        if let Some(Ok(Signal::Stop) | Err(_)) = signal {
            return;
        }
        let is_requested = signal.is_some();
        match Settings::read() {
            Ok(new) if new == settings => {
                if is_requested {
                    info!("event=reloaded changed=nothing");
                }
                is_invalid = false;
            }
            Ok(new) => {
                let changed = settings.differences(&new).join(",");
                info!("event=reloaded changed={changed} before={settings:?} now={new:?}");
                router.configure(limits(&new));
                router.daemon.beliefs.set_bound(belief_age_max(&new));
                router.daemon.quotas.set_tolerance(new.quota_tolerance);
                settings = new;
                is_invalid = false;
            }
            Err(fault) => {
                if is_requested || !is_invalid {
                    warn!("event=reload_failed error=\"{fault}\"");
                }
                is_invalid = true;
            }
        }
    }
}

/// This daemon, as other daemons list it.
fn own_instance(settings: &Settings) -> Instance {
    Instance {
        name: settings.instance.clone(),
        role: Role::Entry,
        data_centre: settings.data_centre.clone(),
        address: settings.peers,
        pool: "".into(),
        state: State::Live,
        capacity: settings.capacity,
    }
}

/// Bound on the age of what the daemon believes about the store: whatever it acts on must be known
/// within the shorter of both limits.
fn belief_age_max(settings: &Settings) -> Duration {
    settings.apply_limit.min(settings.leaving_limit)
}

/// Memory that callers' connections and those to servers may be charged with, of the memory of the
/// machine.
fn charged_bytes_max(memory_bytes: usize) -> usize {
    let free = (memory_bytes - memory_bytes / 10).saturating_sub(OWN_BYTES);
    let charged = (free as f64 * CHARGED_SHARE) as usize;
    charged.max(memory_bytes / CALLER_MEMORY_DIVISOR_MAX)
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window: settings.retry_window,
        buffered_bytes_max: settings.memory_bytes / BODY_MEMORY_DIVISOR,
        charged_bytes_max: charged_bytes_max(settings.memory_bytes),
        connections_max: settings.sockets / 2,
        shutdown_grace: settings.grace.saturating_sub(GRACE_MARGIN),
    }
}

/// Reports not ready, serves requests that still arrive for [`router::INGRESS_DRAIN_TIME`], and
/// then waits until each connection that was let in has ended. Returns at the latest when the grace
/// period is over; requests that still run then are answered shortly before. Further signals to stop change nothing.
async fn shut_down(router: &Router, callers: &Tracker) {
    info!("event=shutdown_begun open={}", router.in_flight());
    router.daemon.drain();
    let grace = router.limits().shutdown_grace;
    timer::sleep(router::INGRESS_DRAIN_TIME.min(grace)).await;
    callers.close();
    info!("event=listener_closed open={} connections={}", router.in_flight(), callers.open());
    let last_answers_at = grace.saturating_sub(router::LAST_ANSWER_TIME);
    let time_left = last_answers_at.saturating_sub(router.daemon.draining_for());
    if timer::timeout(time_left, callers.drained()).await.is_none() {
        warn!("event=shutdown_overdue open={} connections={}", router.in_flight(), callers.open());
        router.end_requests();
        timer::timeout(router::LAST_ANSWER_TIME, callers.drained()).await;
    }
}
