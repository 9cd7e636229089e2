//! How configuration and the instance list reach every daemon.
//!
//! The first two daemons of a data centre in rendezvous order watch the platform; the others ask
//! them once a second. So the number of watches grows with the data centres and not with the
//! daemons, and a version that one daemon knows spreads while the platform is out.

use {
    crate::{daemon::Daemon, suspect},
    ffw_peer::service::{Roster, Versions},
    ffw_platform::{
        fault::{Fault, Result},
        store::{Kind, List},
        watch::{self, Change},
    },
    ffw_protocol::{
        config::Version,
        digest,
        instance::{Instance, Role},
    },
    ffw_runtime::{executor, timer},
    log::{debug, info, warn},
    smol::Task,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Daemons of a data centre that watch the platform.
const RELAYS: usize = 2;

/// Period at which the other daemons ask a relay.
const PULL_PERIOD: Duration = Duration::from_secs(1);

/// Period at which a random daemon is asked.
const GOSSIP_PERIOD: Duration = Duration::from_secs(2);

/// Time for the answer of a relay.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before the platform is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Share of the known daemons that must answer before a version learnt from peers alone is used.
const PEER_QUORUM: f64 = 0.5;

/// Keeps configuration and instance list up to date for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    start(&daemon).await;
    smol::future::or(gossip(&daemon), follow(&daemon)).await;
}

/// Asks a random daemon now and then, so that a version known anywhere spreads everywhere.
/// Exchanges what is known with other daemons: the seeds until one has answered, then one daemon of
/// the list each period.
pub async fn exchange(daemon: Arc<Daemon>) {
    while daemon.view.config_number() == 0 {
        timer::sleep(RETRY_PAUSE).await;
        start_from_peers(&daemon).await;
    }
    gossip(&daemon).await;
}

async fn gossip(daemon: &Daemon) {
    loop {
        timer::sleep(GOSSIP_PERIOD).await;
        let roster = daemon.view.roster();
        let own = &daemon.identity.instance;
        let others = roster
            .instances
            .iter()
            .filter(|one| one.role == Role::Entry && one.is_live() && one.name != *own);
        let others: Vec<&Instance> = others.collect();
        if !others.is_empty() {
            let chosen = others[rand::random::<usize>() % others.len()];
            pull(daemon, chosen.address).await;
        }
    }
}

async fn follow(daemon: &Arc<Daemon>) {
    loop {
        if relays(daemon).iter().any(|one| one.name == daemon.identity.instance) {
            let watching = smol::future::zip(
                watch_until_failure(daemon, Kind::Configurations),
                watch_until_failure(daemon, Kind::Instances),
            );
            let relieved = no_longer_relay(daemon);
            smol::future::or(async { watching.await.0 }, relieved).await;
            timer::sleep(RETRY_PAUSE).await;
        } else {
            timer::sleep(PULL_PERIOD).await;
        }
        pull_from_peers(daemon).await;
    }
}

/// Reads both lists before the daemon serves: from the platform, or in an outage from the peers.
async fn start(daemon: &Arc<Daemon>) {
    loop {
        match read_at_start(daemon).await {
            Ok(()) => return,
            Err(fault) => warn!("event=platform_unavailable error=\"{fault}\""),
        }
        if start_from_peers(daemon).await {
            info!("event=started_from_peers config={}", daemon.view.config_number());
            return;
        }
        timer::sleep(RETRY_PAUSE).await;
    }
}

/// Reads the platform, and before that the relays: a read of the platform may be stale, and a daemon
/// must not serve an older version than its peers do.
async fn read_at_start(daemon: &Daemon) -> Result<()> {
    read_instances(daemon).await?;
    for relay in relays(daemon) {
        if relay.name != daemon.identity.instance {
            pull(daemon, relay.address).await;
        }
    }
    read_config(daemon).await.map(drop)
}

async fn read_both(daemon: &Daemon) -> Result<()> {
    read_instances(daemon).await?;
    read_config(daemon).await.map(drop)
}

/// Reads the instance list from the platform; gives its version.
async fn read_instances(daemon: &Daemon) -> Result<Arc<str>> {
    let list: List<Instance> = daemon.store.list(Kind::Instances, "").await?;
    let version = list.metadata.resource_version.clone();
    let instances = list.items.into_iter().map(|object| object.spec).collect();
    let number = version.parse().unwrap_or(0);
    daemon.view.offer_roster(Roster::new(number, instances));
    Ok(version)
}

/// Reads the configuration from the platform; gives the version of the collection.
async fn read_config(daemon: &Daemon) -> Result<Arc<str>> {
    let list: List<Version> = daemon.store.list(Kind::Configurations, &daemon.deployment).await?;
    for object in list.items {
        take_config(daemon, &object.metadata.name, object.spec);
    }
    Ok(list.metadata.resource_version)
}

fn take_config(daemon: &Daemon, name: &str, version: Version) {
    if *name == *daemon.deployment {
        daemon.update_config(version);
    }
}

async fn start_from_peers(daemon: &Daemon) -> bool {
    let mut answered = 0;
    for address in &daemon.seeds {
        let reached = pull(daemon, *address).await;
        answered += usize::from(reached);
    }
    let known = daemon.seeds.len();
    answered > 0 && answered as f64 >= known as f64 * PEER_QUORUM && daemon.view.config_number() > 0
}

/// The daemons of this data centre that watch the platform.
fn relays(daemon: &Daemon) -> Vec<Instance> {
    relays_of(daemon, &daemon.identity.data_centre)
}

/// The daemons of a data centre that watch the platform.
fn relays_of(daemon: &Daemon, data_centre: &Arc<str>) -> Vec<Instance> {
    let ranked = daemon.view.ranked(data_centre);
    let suspects = daemon.suspects.names();
    let here = ranked.iter().filter(|one| one.data_centre == *data_centre);
    here.filter(|one| !suspects.contains(&one.name)).take(RELAYS).cloned().collect()
}

async fn no_longer_relay(daemon: &Daemon) {
    while relays(daemon).iter().any(|one| one.name == daemon.identity.instance) {
        timer::sleep(PULL_PERIOD).await;
    }
}

async fn watch_until_failure(daemon: &Daemon, kind: Kind) {
    loop {
        if let Err(fault) = watch_once(daemon, kind).await {
            debug!("event=watch_ended kind={} error=\"{fault}\"", kind.plural());
        }
        timer::sleep(RETRY_PAUSE).await;
    }
}

async fn watch_once(daemon: &Daemon, kind: Kind) -> Result<()> {
    let version = match kind {
        Kind::Instances => read_instances(daemon).await?,
        _ => read_config(daemon).await?,
    };
    let mut watch = watch::start(&daemon.store, kind, &version).await?;
    loop {
        match kind {
            Kind::Instances => record_instance(daemon, watch.next().await?)?,
            _ => record_config(daemon, watch.next().await?),
        }
    }
}

fn record_instance(daemon: &Daemon, event: watch::Event<Instance>) -> Result<()> {
    let Some(object) = event.object else { return Ok(()) };
    let version = object.metadata.resource_version.parse();
    let version = version.map_err(|_| Fault::Lost("bad resource version".into()))?;
    let instance = (event.change != Change::Deleted).then_some(object.spec);
    daemon.view.record_instance(version, &object.metadata.name, instance);
    Ok(())
}

fn record_config(daemon: &Daemon, event: watch::Event<Version>) {
    if let Some(object) = event.object
        && event.change != Change::Deleted
    {
        take_config(daemon, &object.metadata.name, object.spec);
    }
}

/// Asks one relay, or the next one if it does not answer, or else the platform.
async fn pull_from_peers(daemon: &Arc<Daemon>) {
    let own = &daemon.identity.instance;
    let mut relays = relays(daemon);
    if relays.iter().any(|one| one.name == *own) {
        return;
    }
    // Which relay goes first differs from daemon to daemon, so that each gets half of the calls.
    relays.sort_by_cached_key(|one| digest::short(&[own, &one.name]));
    for relay in relays {
        if pull(daemon, relay.address).await {
            return;
        }
        suspect::suspect(daemon, &relay.name, relay.address);
    }
    if let Err(fault) = read_both(daemon).await {
        debug!("event=pull_failed error=\"{fault}\"");
    }
}

/// Asks a peer for a newer configuration and instance list; answers whether it could be reached.
pub async fn pull(daemon: &Daemon, address: SocketAddr) -> bool {
    news_of(daemon, address).await.is_some()
}

/// Takes over what a peer knows; gives the versions that it has.
async fn news_of(daemon: &Daemon, address: SocketAddr) -> Option<Versions> {
    let known = daemon.view.versions();
    let asked = daemon
        .peers
        .call(address, PULL_TIMEOUT, async move |peer, context| peer.news(context, known).await);
    let news = asked.await.ok()?;
    if let Some(version) = news.config {
        take_config(daemon, &daemon.deployment, version);
    }
    if let Some(roster) = news.roster {
        daemon.view.offer_roster(roster);
    }
    Some(news.known)
}

/// Offers the configuration in force to the relays of each data centre, from which the others take
/// it over, and gives the live daemons that have it in force. Those that have confirmed before are
/// not asked again: a version may be large.
pub async fn spread(
    daemon: &Arc<Daemon>,
    number: u64,
    mut confirmed: Vec<Arc<str>>,
) -> Vec<Arc<str>> {
    let Some(snapshot) = daemon.view.config() else { return confirmed };
    let roster = daemon.view.roster();
    let own = &daemon.identity.instance;
    let daemons = roster.instances.iter().filter(|one| one.role == Role::Entry && one.is_live());
    let mut asked = Vec::new();
    for one in daemons.cloned() {
        if one.name == *own || confirmed.contains(&one.name) {
            continue;
        }
        let is_relay = relays_of(daemon, &one.data_centre).iter().any(|r| r.name == one.name);
        let version = is_relay.then(|| snapshot.version.clone());
        let daemon = daemon.clone();
        let asking = executor::spawn(async move { offer(&daemon, one.address, version).await });
        asked.push(Asked { name: one.name, asking });
    }
    if !confirmed.contains(own) {
        confirmed.push(own.clone());
    }
    for one in asked {
        if one.asking.await.is_some_and(|in_force| in_force >= number) {
            confirmed.push(one.name);
        }
    }
    confirmed
}

struct Asked {
    name: Arc<str>,
    asking: Task<Option<u64>>,
}

/// Offers a version to a peer, or only asks; gives the number that it has in force.
async fn offer(daemon: &Daemon, address: SocketAddr, version: Option<Version>) -> Option<u64> {
    let Some(version) = version else {
        return news_of(daemon, address).await.map(|known| known.config);
    };
    let offered = daemon.peers.call(address, PULL_TIMEOUT, async move |peer, context| {
        peer.offer_config(context, version).await
    });
    offered.await.ok()
}
