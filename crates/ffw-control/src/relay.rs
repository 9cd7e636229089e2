//! Distribution of the configuration and the instance list to every daemon.
//!
//! The first two daemons of a data centre in rendezvous order are its relays: they watch the
//! platform, and the other daemons ask them once a second. Therefore the number of watches grows
//! with the data centres and not with the daemons. Each daemon also asks a random daemon now and
//! then, so that a version that one daemon has reaches all others while the platform is
//! unavailable.

use {
    crate::{
        daemon::{Daemon, Mode},
        freshness::{Arrival, Source},
        snapshot::Snapshot,
        software, suspect,
    },
    ffw_peer::service::{Roster, Updates, Versions},
    ffw_platform::{
        fault::{Fault, Result},
        store::{CALL_TIMEOUT, Kind, List},
        watch::{self, Change},
    },
    ffw_protocol::{
        config::Version,
        digest,
        instance::{Instance, Role},
    },
    ffw_runtime::{clock, executor, timer},
    log::{debug, info, warn},
    serde::Deserialize,
    smol::Task,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of daemons of a data centre that watch the platform.
const RELAYS: usize = 2;

/// Period at which the other daemons ask a relay, and at which a relay checks that it still is one.
const PULL_PERIOD: Duration = Duration::from_secs(1);

/// Period at which a random daemon is asked.
const GOSSIP_PERIOD: Duration = Duration::from_secs(2);

/// Timeout of a call to another daemon.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the configuration of another daemon, which may be as large as an object of the
/// platform.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// Slowest link over which a configuration is offered, in bytes per second; the time limit of an
/// offer grows with the size.
const OFFER_BYTES_PER_S: f64 = 250_000.0;

/// Largest number of configurations that are fetched from other daemons at once.
const CONFIG_FETCHES_MAX: usize = 2;

/// Pause before the platform, or at start the seeds, are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest time limit of a read of the platform. It starts at [`CALL_TIMEOUT`], and doubles with
/// each read that fails: the platform may be slow.
const READ_TIMEOUT_MAX: Duration = Duration::from_secs(12);

/// Time after which a daemon that starts also asks the seeds, while its read of the platform goes
/// on.
const SEEDS_DELAY: Duration = Duration::from_millis(500);

/// Share of the seeds that must answer before a daemon starts with a version from peers alone.
const PEER_QUORUM: f64 = 0.5;

/// An instance as the platform lists it.
#[derive(Deserialize)]
struct Listed {
    #[serde(flatten)]
    instance: Instance,
    /// Version of a backend server's software; absent if it states none.
    #[serde(default)]
    software: Option<Arc<str>>,
}

impl Listed {
    /// Records the version of the software; returns the instance.
    fn record_software(self, daemon: &Daemon) -> Instance {
        if self.instance.role != Role::Entry {
            let version =
                self.software.map_or(software::Version::Unstated, software::Version::Stated);
            daemon.software.record_server(&self.instance, version);
        }
        self.instance
    }
}

/// Keeps configuration and instance list up to date for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    start(&daemon).await;
    let following = smol::future::or(gossip(&daemon), watch_or_pull(&daemon));
    smol::future::or(following, confirm(&daemon)).await;
}

/// Reads the configuration when a request names something that it lacks. Never returns.
async fn confirm(daemon: &Arc<Daemon>) {
    loop {
        daemon.freshness().confirmation_wanted().await;
        while let Err(fault) = read_config(daemon, CALL_TIMEOUT).await {
            debug!("event=config_unconfirmed error=\"{fault}\"");
            daemon.freshness().record_store_lost(true);
            timer::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Keeps configuration and instance list up to date from other daemons alone, for as long as the
/// daemon runs: asks the seeds until there is a configuration, then a random daemon each period.
pub async fn run_without_platform(daemon: Arc<Daemon>) {
    while daemon.view.config_number() == 0 {
        timer::sleep(RETRY_PAUSE).await;
        start_from_peers(&daemon).await;
    }
    gossip(&daemon).await;
}

/// Asks a random live daemon each period, so that a version that one daemon has reaches all others.
async fn gossip(daemon: &Arc<Daemon>) {
    loop {
        timer::sleep(GOSSIP_PERIOD).await;
        let roster = daemon.view.roster();
        let own = &daemon.identity.instance;
        let others = roster
            .instances
            .iter()
            .filter(|other| other.role == Role::Entry && other.is_live() && other.name != *own);
        let others: Vec<&Instance> = others.collect();
        if !others.is_empty() {
            let chosen = others[rand::random::<usize>() % others.len()];
            pull_in_background(daemon, chosen.address);
        }
    }
}

/// Watches the platform while this daemon is a relay, and asks the relays while it is not.
async fn watch_or_pull(daemon: &Arc<Daemon>) {
    loop {
        if relays(daemon).iter().any(|relay| relay.name == daemon.identity.instance) {
            let watching = smol::future::zip(
                watch_forever(daemon, Kind::Configurations),
                watch_forever(daemon, Kind::Instances),
            );
            let replaced = until_replaced_as_relay(daemon);
            smol::future::or(async { watching.await.0 }, replaced).await;
            timer::sleep(RETRY_PAUSE).await;
        } else {
            timer::sleep(PULL_PERIOD).await;
        }
        pull_from_peers(daemon).await;
    }
}

/// Reads configuration and instance list before the daemon serves: from the platform, or from the
/// seeds while the platform is unavailable.
async fn start(daemon: &Arc<Daemon>) {
    smol::future::or(start_from_platform(daemon), start_from_seeds(daemon)).await;
}

async fn start_from_platform(daemon: &Arc<Daemon>) {
    let mut limit = CALL_TIMEOUT;
    while let Err(fault) = read_at_start(daemon, limit).await {
        warn!("event=platform_unavailable error=\"{fault}\"");
        limit = (limit * 2).min(READ_TIMEOUT_MAX);
        timer::sleep(RETRY_PAUSE).await;
    }
}

async fn start_from_seeds(daemon: &Arc<Daemon>) {
    timer::sleep(SEEDS_DELAY).await;
    while !start_from_peers(daemon).await {
        timer::sleep(RETRY_PAUSE).await;
    }
    info!("event=started_from_peers config={}", daemon.view.config_number());
}

/// Reads the instance list, asks the relays, and then reads the configuration. A read of the
/// platform may be stale, and a daemon must not serve an older version than its peers do.
async fn read_at_start(daemon: &Arc<Daemon>, limit: Duration) -> Result<()> {
    read_instances(daemon, limit).await?;
    for relay in relays(daemon) {
        if relay.name != daemon.identity.instance {
            pull(daemon, relay.address).await;
        }
    }
    read_config(daemon, limit).await.map(drop)
}

async fn read_both(daemon: &Arc<Daemon>, limit: Duration) -> Result<()> {
    read_instances(daemon, limit).await?;
    read_config(daemon, limit).await.map(drop)
}

/// Reads the instance list from the platform; returns its version.
async fn read_instances(daemon: &Daemon, limit: Duration) -> Result<Arc<str>> {
    let list: List<Listed> = daemon.store.list_within(limit, Kind::Instances, "").await?;
    let resource_version = list.metadata.resource_version.clone();
    let listed = list.items.into_iter().map(|object| object.spec.record_software(daemon));
    let instances = listed.collect();
    let number = resource_version.parse().unwrap_or(0);
    daemon.view.offer_roster(Roster::new(number, instances));
    software::record_list(daemon);
    Ok(resource_version)
}

/// Reads the configuration from the platform; returns the version of the collection.
async fn read_config(daemon: &Arc<Daemon>, limit: Duration) -> Result<Arc<str>> {
    let (asked_at, asked_at_boot) = (Instant::now(), clock::boot_time());
    let (kind, name) = (Kind::Configurations, &daemon.deployment);
    let list: List<Version> = daemon.store.list_within(limit, kind, name).await?;
    let arrival = arrival_since(Source::Store, asked_at);
    for object in list.items {
        take_config(daemon, &object.metadata.name, object.spec, arrival).await;
    }
    daemon.record_config_confirmed(asked_at_boot);
    Ok(list.metadata.resource_version)
}

/// Offers a configuration to the view, unless it is of another deployment.
async fn take_config(daemon: &Arc<Daemon>, name: &str, version: Version, arrival: Arrival) {
    if *name == *daemon.deployment {
        daemon.update_config_apart(version, arrival).await;
    }
}

fn arrival_since(source: Source, asked_at: Instant) -> Arrival {
    Arrival { source, transfer: asked_at.elapsed(), decoding: Duration::ZERO }
}

/// Asks the seeds; returns whether enough of them answered and there is a configuration.
async fn start_from_peers(daemon: &Arc<Daemon>) -> bool {
    let mut answered = 0;
    for address in &daemon.seeds {
        let reached = pull(daemon, *address).await;
        answered += usize::from(reached);
    }
    let total = daemon.seeds.len();
    answered > 0 && answered as f64 >= total as f64 * PEER_QUORUM && daemon.view.config_number() > 0
}

/// The daemons of this data centre that watch the platform.
fn relays(daemon: &Daemon) -> Vec<Instance> {
    relays_of(daemon, &daemon.identity.data_centre)
}

/// The daemons of a data centre that watch the platform.
pub(crate) fn relays_of(daemon: &Daemon, data_centre: &Arc<str>) -> Vec<Instance> {
    let ranked = daemon.view.ranked(data_centre);
    let suspects = daemon.suspects.names();
    let local = ranked.iter().filter(|listed| listed.data_centre == *data_centre);
    local.filter(|listed| !suspects.contains(&listed.name)).take(RELAYS).cloned().collect()
}

/// Returns as soon as this daemon is no relay any more.
async fn until_replaced_as_relay(daemon: &Daemon) {
    while relays(daemon).iter().any(|relay| relay.name == daemon.identity.instance) {
        timer::sleep(PULL_PERIOD).await;
    }
}

/// Watches one kind of object, and starts the watch again after each failure. Never returns.
async fn watch_forever(daemon: &Arc<Daemon>, kind: Kind) {
    let mut limit = CALL_TIMEOUT;
    loop {
        let result = match start_watch(daemon, kind, limit).await {
            Ok(watch) => {
                limit = CALL_TIMEOUT;
                follow_watch(daemon, kind, watch).await
            }
            Err(fault) => {
                limit = (limit * 2).min(READ_TIMEOUT_MAX);
                Err(fault)
            }
        };
        if let Err(fault) = result {
            debug!("event=watch_ended kind={} error=\"{fault}\"", kind.plural());
        }
        timer::sleep(RETRY_PAUSE).await;
    }
}

/// Reads one kind of object and starts to watch it.
async fn start_watch(daemon: &Arc<Daemon>, kind: Kind, limit: Duration) -> Result<watch::Watch> {
    let resource_version = match kind {
        Kind::Instances => read_instances(daemon, limit).await?,
        _ => read_config(daemon, limit).await?,
    };
    watch::start(&daemon.store, kind, &resource_version, limit).await
}

/// Applies the changes of a watch until it fails.
async fn follow_watch(daemon: &Arc<Daemon>, kind: Kind, mut watch: watch::Watch) -> Result<()> {
    loop {
        match kind {
            Kind::Instances => record_instance(daemon, watch.next().await?)?,
            _ => record_config(daemon, watch.next().await?).await,
        }
    }
}

fn record_instance(daemon: &Daemon, event: watch::Event<Listed>) -> Result<()> {
    let Some(object) = event.object else { return Ok(()) };
    let resource_version = object.metadata.resource_version.parse();
    let resource_version =
        resource_version.map_err(|_| Fault::Lost("the resource version is not a number".into()))?;
    let listed = (event.change != Change::Deleted).then_some(object.spec);
    let instance = listed.map(|listed| listed.record_software(daemon));
    daemon.view.record_instance(resource_version, &object.metadata.name, instance);
    software::record_list(daemon);
    Ok(())
}

async fn record_config(daemon: &Arc<Daemon>, event: watch::Event<Version>) {
    if let Some(object) = event.object
        && event.change != Change::Deleted
    {
        let arrival = arrival_since(Source::Store, Instant::now());
        take_config(daemon, &object.metadata.name, object.spec, arrival).await;
    }
}

/// Asks the relays until one answers, or else reads the platform. Does nothing on a relay.
async fn pull_from_peers(daemon: &Arc<Daemon>) {
    let own = &daemon.identity.instance;
    let mut relays = relays(daemon);
    if relays.iter().any(|relay| relay.name == *own) {
        return;
    }
    // The order of the relays differs from daemon to daemon, so that each gets half of the calls.
    relays.sort_by_cached_key(|relay| digest::hash64(&[own, &relay.name]));
    for relay in relays {
        if pull(daemon, relay.address).await {
            return;
        }
        suspect::suspect(daemon, &relay.name, relay.address);
    }
    if let Err(fault) = read_both(daemon, CALL_TIMEOUT).await {
        debug!("event=pull_failed error=\"{fault}\"");
    }
}

/// Asks a peer for a newer configuration and instance list, without waiting for the answer.
pub fn pull_in_background(daemon: &Arc<Daemon>, address: SocketAddr) {
    let daemon = daemon.clone();
    executor::detach(async move {
        pull(&daemon, address).await;
    });
}

/// Asks a peer for a newer configuration and instance list; returns whether it answered.
pub async fn pull(daemon: &Arc<Daemon>, address: SocketAddr) -> bool {
    fetch_updates(daemon, address).await.is_some()
}

/// Applies the newer configuration and instance list of a peer; returns the versions that the peer
/// has, or none if it does not answer.
async fn fetch_updates(daemon: &Arc<Daemon>, address: SocketAddr) -> Option<Versions> {
    let known = without_config(daemon.view.versions());
    let asked = daemon
        .peers
        .call(address, PULL_TIMEOUT, async move |peer, context| peer.news(context, known).await);
    let updates = asked.await.ok()?;
    daemon.record_known_config(updates.known.config);
    if let Some(roster) = updates.roster {
        daemon.view.offer_roster(roster);
    }
    software::learn_from(daemon, address).await;
    daemon.view.accept_leaving(&updates.leaving);
    if updates.known.config > daemon.view.config_number() && fetches_from_peers(daemon) {
        fetch_config(daemon, address).await;
    }
    Some(updates.known)
}

/// Whether a newer configuration of a peer is fetched from it now. Without routes, the relays are
/// what most daemons get it from; with them, each daemon follows the store.
fn fetches_from_peers(daemon: &Daemon) -> bool {
    let size = |snapshot: Arc<Snapshot>| snapshot.version.declaration.len();
    let bytes = daemon.view.config().map_or(0, size);
    daemon.mode == Mode::Declared || daemon.freshness().fetches_from_peer(bytes)
}

/// Versions to which no peer has a newer configuration, so that its answer comes without one.
fn without_config(known: Versions) -> Versions {
    Versions { config: u64::MAX, ..known }
}

/// Fetches the configuration of a peer, apart from the other calls, since the transfer of a large
/// one may take seconds. Does nothing while enough others are being fetched.
async fn fetch_config(daemon: &Arc<Daemon>, address: SocketAddr) {
    let Some(_fetch) = daemon.begin_config_fetch(CONFIG_FETCHES_MAX) else { return };
    // The other parts of the view are up to date.
    let known =
        Versions { config: daemon.view.config_number(), servers: u64::MAX, daemons: u64::MAX };
    let asked_at = Instant::now();
    let asked = daemon.peers.call_apart(address, CONFIG_TIMEOUT, async move |peer, context| {
        peer.news(context, known).await
    });
    match asked.await {
        Ok(Updates { config: Some(version), .. }) => {
            let arrival = arrival_since(Source::Peer(address), asked_at);
            take_config(daemon, &daemon.deployment, version, arrival).await;
        }
        Ok(Updates { config: None, .. }) => {}
        Err(error) => debug!("event=config_fetch_failed peer={address} error=\"{error}\""),
    }
}

/// Offers the configuration in force to the relays of each data centre, from which the other
/// daemons get it, and asks the others which version they have. Returns `confirmed` with this
/// daemon and those others added that answered that version `number` or a later one is in force
/// there. Daemons in `confirmed` are not asked again, since a version may be large.
pub async fn distribute(
    daemon: &Arc<Daemon>,
    number: u64,
    mut confirmed: Vec<Arc<str>>,
) -> Vec<Arc<str>> {
    let Some(snapshot) = daemon.view.config() else { return confirmed };
    let roster = daemon.view.roster();
    let own = &daemon.identity.instance;
    let daemons = roster
        .instances
        .iter()
        .filter(|instance| instance.role == Role::Entry && instance.is_live());
    let mut pending = Vec::new();
    for target in daemons.cloned() {
        if target.name == *own || confirmed.contains(&target.name) {
            continue;
        }
        let is_relay =
            relays_of(daemon, &target.data_centre).iter().any(|relay| relay.name == target.name);
        let version = is_relay.then(|| snapshot.version.clone());
        let daemon = daemon.clone();
        let reply = executor::spawn(async move { offer(&daemon, target.address, version).await });
        pending.push(PendingOffer { name: target.name, reply });
    }
    if !confirmed.contains(own) {
        confirmed.push(own.clone());
    }
    for offer in pending {
        if offer.reply.await.is_some_and(|in_force| in_force >= number) {
            confirmed.push(offer.name);
        }
    }
    confirmed
}

/// An offer to a daemon whose reply is not read yet: the number of the version in force there, or
/// none if it does not answer.
struct PendingOffer {
    name: Arc<str>,
    reply: Task<Option<u64>>,
}

/// Offers a version to a peer, or without one only asks; returns the number of the version that the
/// peer then has in force, or none if it does not answer.
async fn offer(daemon: &Arc<Daemon>, address: SocketAddr, version: Option<Version>) -> Option<u64> {
    let Some(version) = version else {
        return fetch_updates(daemon, address).await.map(|versions| versions.config);
    };
    let bytes = version.declaration.len();
    let limit = PULL_TIMEOUT + Duration::from_secs_f64(bytes as f64 / OFFER_BYTES_PER_S);
    let offered = daemon.peers.call_apart(address, limit, async move |peer, context| {
        peer.offer_config(context, version).await
    });
    offered.await.ok()
}
