//! How configuration and the instance list reach every daemon.
//!
//! The first two daemons of a data centre in rendezvous order watch the platform; the others ask
//! them twice a second. So the number of watches grows with the data centres and not with the
//! daemons, and a version that one daemon knows spreads while the platform is out.

use {
    crate::daemon::Daemon,
    ffw_decide::rendezvous,
    ffw_peer::service::Roster,
    ffw_platform::{
        fault::{Fault, Result},
        store::{Kind, List},
        watch::{self, Change},
    },
    ffw_protocol::{
        config::Version,
        instance::{Instance, Role},
    },
    ffw_runtime::timer,
    log::{debug, info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Daemons of a data centre that watch the platform.
const RELAYS: usize = 2;

/// Period at which the other daemons ask a relay.
const PULL_PERIOD: Duration = Duration::from_millis(500);

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
async fn gossip(daemon: &Daemon) {
    loop {
        timer::sleep(GOSSIP_PERIOD).await;
        let roster = daemon.register.roster();
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
        let read = read_both(daemon).await;
        match read {
            Ok(()) => return,
            Err(fault) => warn!("event=platform_unavailable error=\"{fault}\""),
        }
        if start_from_peers(daemon).await {
            info!("event=started_from_peers config={}", daemon.register.config_number());
            return;
        }
        timer::sleep(RETRY_PAUSE).await;
    }
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
    daemon.register.offer_roster(Roster { version: number, instances });
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
    if *name == *daemon.deployment && daemon.register.offer(version) {
        daemon.metrics.config_version.set(daemon.register.config_number() as i64);
    }
}

async fn start_from_peers(daemon: &Daemon) -> bool {
    let mut answered = 0;
    for address in &daemon.seeds {
        let reached = pull(daemon, *address).await;
        answered += usize::from(reached);
    }
    let known = daemon.seeds.len();
    answered > 0
        && answered as f64 >= known as f64 * PEER_QUORUM
        && daemon.register.config_number() > 0
}

/// The daemons of this data centre that watch the platform.
fn relays(daemon: &Daemon) -> Vec<Instance> {
    let roster = daemon.register.roster();
    let data_centre = &daemon.identity.data_centre;
    let ranked = rendezvous::rank(data_centre, &roster.instances);
    let here = ranked.into_iter().filter(|one| one.data_centre == *data_centre);
    let suspects = daemon.suspects.names();
    let trusted = here.filter(|one| !suspects.contains(&one.name));
    trusted.take(RELAYS).cloned().collect()
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
            Kind::Instances => note_instance(daemon, watch.next().await?)?,
            _ => note_config(daemon, watch.next().await?),
        }
    }
}

fn note_instance(daemon: &Daemon, event: watch::Event<Instance>) -> Result<()> {
    let Some(object) = event.object else { return Ok(()) };
    let version = object.metadata.resource_version.parse();
    let version = version.map_err(|_| Fault::Lost("bad resource version".into()))?;
    let instance = (event.change != Change::Deleted).then_some(object.spec);
    daemon.register.note_instance(version, &object.metadata.name, instance);
    Ok(())
}

fn note_config(daemon: &Daemon, event: watch::Event<Version>) {
    if let Some(object) = event.object
        && event.change != Change::Deleted
    {
        take_config(daemon, &object.metadata.name, object.spec);
    }
}

async fn pull_from_peers(daemon: &Arc<Daemon>) {
    let own = &daemon.identity.instance;
    let relays = relays(daemon);
    let others = relays.iter().filter(|one| one.name != *own);
    let mut reached = relays.iter().any(|one| one.name == *own);
    for relay in others {
        reached |= pull(daemon, relay.address).await;
    }
    if !reached && let Err(fault) = read_both(daemon).await {
        debug!("event=pull_failed error=\"{fault}\"");
    }
}

/// Asks a peer for a newer configuration and instance list; answers whether it could be reached.
async fn pull(daemon: &Daemon, address: SocketAddr) -> bool {
    let config = pull_config(daemon, address).await;
    let known = daemon.register.roster().version;
    let roster = daemon
        .peers
        .call(address, PULL_TIMEOUT, async move |peer, context| {
            peer.newer_roster(context, known).await
        })
        .await;
    let reached = config && roster.is_ok();
    if let Ok(Some(roster)) = roster {
        daemon.register.offer_roster(roster);
    }
    reached
}

/// Asks a peer for a newer configuration; answers whether it could be reached.
pub async fn pull_config(daemon: &Daemon, address: SocketAddr) -> bool {
    let known = daemon.register.config_number();
    let version = daemon
        .peers
        .call(address, PULL_TIMEOUT, async move |peer, context| {
            peer.newer_config(context, known).await
        })
        .await;
    match version {
        Ok(Some(version)) => {
            take_config(daemon, &daemon.deployment.clone(), version);
            true
        }
        Ok(None) => true,
        Err(_) => false,
    }
}

/// Offers the configuration in force to all live daemons; gives those that have it in force.
pub async fn offer_to_all(daemon: &Daemon, number: u64) -> Vec<Arc<str>> {
    let Some(snapshot) = daemon.register.config() else { return Vec::new() };
    let roster = daemon.register.roster();
    let mut confirmed = Vec::new();
    for one in roster.instances.iter().filter(|one| one.role == Role::Entry && one.is_live()) {
        if one.name == daemon.identity.instance {
            confirmed.push(one.name.clone());
            continue;
        }
        let version = snapshot.version.clone();
        let offered = daemon.peers.call(one.address, PULL_TIMEOUT, async move |peer, context| {
            peer.offer_config(context, version).await
        });
        if offered.await.is_ok_and(|in_force| in_force >= number) {
            confirmed.push(one.name.clone());
        }
    }
    confirmed
}
