//! The daemon's view: the configuration in force and the instance list. Requests read both without
//! a lock; a write replaces a whole value. Versions come from the platform and from other daemons
//! in any order, and only a newer one replaces what is there.

use {
    crate::{freshness::Arrival, identity},
    arc_swap::{ArcSwap, ArcSwapOption},
    ffw_decide::{config, notice::Notices, order::Floor, rendezvous, shard},
    ffw_peer::service::{Roster, Versions},
    ffw_protocol::{
        admission,
        config::Version,
        declaration::{Deployment, Pool, Problem, Service, Workspace},
        instance::{Instance, Role},
        route::{self, Limits, Route},
    },
    log::{error, info},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// A configuration version with its parsed declaration.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The version, with who made it and why.
    pub version: Version,
    /// The parsed declaration, with the routes in the order that [`route::find`] needs.
    pub deployment: Deployment,
    /// Digest of each key with the workspace that holds it, in order of digest.
    workspaces_by_key: Vec<(Arc<str>, Arc<Workspace>)>,
}

impl Snapshot {
    /// Parses a version.
    ///
    /// # Errors
    /// The problems of its declaration, as one line of text.
    pub fn new(version: Version) -> Result<Snapshot, String> {
        let deployment = version.deployment().map_err(join)?;
        Ok(Snapshot::with_deployment(version, deployment))
    }

    /// A version whose declaration is parsed and checked already.
    fn with_deployment(version: Version, mut deployment: Deployment) -> Snapshot {
        route::sort(&mut deployment.routes);
        let holders = deployment.workspaces.iter().flat_map(|workspace| {
            let shared = Arc::new(workspace.clone());
            workspace.keys_sha256.iter().map(move |digest| (digest.clone(), shared.clone()))
        });
        let mut workspaces_by_key: Vec<(Arc<str>, Arc<Workspace>)> = holders.collect();
        workspaces_by_key.sort_by(|(a, _), (b, _)| a.cmp(b));
        Snapshot { deployment, version, workspaces_by_key }
    }

    /// The workspace that holds the key with this SHA-256 digest.
    pub fn workspace_of_key(&self, digest: &str) -> Option<&Arc<Workspace>> {
        let found = self.workspaces_by_key.binary_search_by(|(listed, _)| (**listed).cmp(digest));
        found.ok().map(|index| &self.workspaces_by_key[index].1)
    }

    /// The route of a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        route::find(&self.deployment.routes, host, path)
    }

    /// Limits on what callers of routes may send; the defaults if none are declared.
    pub fn limits(&self) -> Limits {
        self.deployment.limits.unwrap_or_default()
    }

    /// Settings of a pool's shard.
    pub fn shard_settings(&self, pool: &Pool) -> shard::Settings {
        let classes = self.deployment.classes.iter();
        shard::Settings {
            slots: pool.slots,
            pieces: pool.pieces,
            piece_tokens: pool.piece_tokens,
            memory_grows: pool.memory_grows,
            decode_reads: pool.decode_reads,
            prefill_rate: pool.prefill_rate,
            link_rate: pool.link_rate,
            token_time: Duration::from_millis(u64::from(pool.token_ms)),
            result_lifetime: Duration::from_millis(u64::from(pool.result_ms)),
            floors: classes.map(|class| Floor { rank: class.rank, share: class.floor }).collect(),
        }
    }

    /// The first of the allowed services whose pool serves the model.
    pub fn service_of_model(&self, allowed: &[Arc<str>], model: &str) -> Option<&Service> {
        let services = allowed.iter().filter_map(|name| self.deployment.service(name));
        let serves = |service: &&Service| {
            let pool = self.deployment.pool(&service.pool);
            pool.and_then(|pool| pool.model.as_deref()) == Some(model)
        };
        services.into_iter().find(serves)
    }
}

/// Configuration and instance list of a daemon.
#[derive(Debug, Default)]
pub struct View {
    config: ArcSwapOption<Snapshot>,
    roster: ArcSwap<Roster>,
    /// Held by each write, so that a write can depend on the value that it replaces.
    write_lock: Mutex<()>,
    /// In order of key.
    rankings: Mutex<Vec<Ranking>>,
    /// This daemon's instance, once it has registered at the platform.
    own: Mutex<Option<Instance>>,
    /// What backend servers said of themselves in their responses.
    notices: Mutex<Notices>,
}

/// The live daemons in rendezvous order for one key, at one version of the instance list.
#[derive(Clone, Debug)]
struct Ranking {
    key: Arc<str>,
    /// Version of the list's daemons.
    version: u64,
    daemons: Arc<[Instance]>,
}

impl View {
    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Snapshot>> {
        self.config.load_full()
    }

    /// Number of the configuration in force; 0 if there is none.
    pub fn config_number(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |snapshot| snapshot.version.number)
    }

    /// Puts a version in force if it is newer and its declaration can be parsed; returns whether it
    /// did.
    pub fn offer(&self, version: Version, arrival: Arrival) -> bool {
        self.replace_config(version, arrival, Snapshot::new)
    }

    /// As [`View::offer`], with the declaration of the version already parsed.
    pub fn offer_parsed(&self, version: Version, deployment: Deployment, arrival: Arrival) -> bool {
        self.replace_config(version, arrival, |version| {
            let deployment = deployment.checked().map_err(join)?;
            Ok(Snapshot::with_deployment(version, deployment))
        })
    }

    fn replace_config(
        &self,
        version: Version,
        arrival: Arrival,
        parse: impl FnOnce(Version) -> Result<Snapshot, String>,
    ) -> bool {
        if !self.is_superseded_by(&version) {
            return false;
        }
        let (number, change, bytes) =
            (version.number, version.change.clone(), version.declaration.len());
        let Arrival { source, transfer, decoding } = arrival;
        let parsing_since = Instant::now();
        match parse(version) {
            Ok(snapshot) => {
                // Parsed before the lock is taken, on which requests wait.
                let _write = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
                if !self.is_superseded_by(&snapshot.version) {
                    return false;
                }
                self.config.store(Some(Arc::new(snapshot)));
                info!(
                    "event=config_in_force version={number} change={change} source={source} \
                     bytes={bytes} transfer_ms={} decode_ms={} parse_ms={}",
                    transfer.as_millis(),
                    decoding.as_millis(),
                    parsing_since.elapsed().as_millis()
                );
                true
            }
            Err(problems) => {
                error!(
                    "event=config_unusable version={number} source={source} bytes={bytes} \
                     problems=\"{problems}\""
                );
                false
            }
        }
    }

    fn is_superseded_by(&self, version: &Version) -> bool {
        let current = self.config.load();
        config::supersedes(current.as_ref().map(|snapshot| &snapshot.version), version)
    }

    /// Versions of the configuration and of the instance list's parts; 0 for what is not read yet.
    pub fn versions(&self) -> Versions {
        let roster = self.roster.load();
        Versions { config: self.config_number(), servers: roster.servers, daemons: roster.daemons }
    }

    /// The instance list.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.load_full()
    }

    /// Replaces each part of the instance list, daemons or backend servers, by the offered part if
    /// that is newer; returns whether one was.
    pub fn offer_roster(&self, offered: Roster) -> bool {
        let _write = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.roster.load();
        if !offered.is_newer_than(&self.versions()) {
            return false;
        }
        let newer = |is_newer: bool| if is_newer { &offered } else { &**current };
        let daemons_from = newer(offered.daemons > current.daemons);
        let servers_from = newer(offered.servers > current.servers);
        let mut instances = instances_of(daemons_from, true);
        instances.extend(instances_of(servers_from, false));
        self.store_roster(servers_from.servers, daemons_from.daemons, instances);
        true
    }

    /// Replaces the backend servers by those that this daemon itself read from the platform at a
    /// version, unless it has newer ones from a peer. `pending_removals` names, in order, servers
    /// that the platform no longer lists but that stay in `servers` for a while. While there are
    /// any, the version of the list stays as it was, so that no peer takes the list as newer than
    /// its own; and a server among them that a peer's list has removed already stays removed.
    pub fn replace_servers(
        &self,
        version: u64,
        pending_removals: &[Arc<str>],
        servers: Vec<Instance>,
    ) {
        let _write = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.roster.load();
        if version < current.servers {
            return;
        }
        let version = if pending_removals.is_empty() { version } else { current.servers };
        let is_removed = |name: &Arc<str>| {
            pending_removals.binary_search(name).is_ok() && current.find(name).is_none()
        };
        let mut instances = instances_of(&current, true);
        instances.extend(servers.into_iter().filter(|server| !is_removed(&server.name)));
        self.store_roster(version, current.daemons, instances);
    }

    /// Whether this daemon has what it needs to own shards: a configuration, and both parts of the
    /// instance list.
    pub fn is_complete(&self) -> bool {
        let versions = self.versions();
        versions.config > 0 && versions.servers > 0 && versions.daemons > 0
    }

    /// Adds this daemon to the instance list from now on, even if a list read from the platform
    /// does not name it yet: others may have read a list that does.
    pub fn add_self(&self, own: Instance) {
        let _write = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        *self.own.lock().unwrap_or_else(PoisonError::into_inner) = Some(own);
        let current = self.roster.load();
        self.store_roster(current.servers, current.daemons, current.instances.clone());
        self.rankings.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// This daemon's instance, once it has registered at the platform.
    pub fn own_instance(&self) -> Option<Instance> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the instance list, and adds this daemon's instance once it has registered at the
    /// platform.
    fn store_roster(&self, servers: u64, daemons: u64, mut instances: Vec<Instance>) {
        if let Some(own) =
            self.own_instance().filter(|own| instances.iter().all(|listed| listed.name != own.name))
        {
            instances.push(own);
        }
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        self.roster.store(Arc::new(Roster { servers, daemons, instances }));
    }

    /// Adds, replaces or, with none, removes one instance as a watch of the platform reports it.
    /// Does nothing if both parts of the list are at this version or a newer one.
    pub fn record_instance(&self, version: u64, name: &str, instance: Option<Instance>) {
        let _write = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut roster = Roster::clone(&self.roster.load());
        if version <= roster.servers && version <= roster.daemons {
            return;
        }
        roster.servers = roster.servers.max(version);
        roster.daemons = roster.daemons.max(version);
        match (roster.instances.binary_search_by(|listed| (*listed.name).cmp(name)), instance) {
            (Ok(index), Some(instance)) => roster.instances[index] = instance,
            (Ok(index), None) => drop(roster.instances.remove(index)),
            (Err(index), Some(instance)) => roster.instances.insert(index, instance),
            (Err(_), None) => {}
        }
        self.roster.store(Arc::new(roster));
    }

    /// The live daemons in rendezvous order for a key. The order is cached for each version of the
    /// list's daemons.
    pub fn ranked(&self, key: &str) -> Arc<[Instance]> {
        let roster = self.roster.load();
        let mut rankings = self.rankings.lock().unwrap_or_else(PoisonError::into_inner);
        let found = rankings.binary_search_by(|ranking| (*ranking.key).cmp(key));
        if let Ok(index) = found
            && rankings[index].version == roster.daemons
        {
            return rankings[index].daemons.clone();
        }
        let ranked = rendezvous::rank(key, &roster.instances).into_iter();
        let daemons: Arc<[Instance]> = ranked.cloned().collect();
        let version = roster.daemons;
        let ranking = Ranking { key: key.into(), version, daemons: daemons.clone() };
        match found {
            Ok(index) => rankings[index] = ranking,
            Err(index) => rankings.insert(index, ranking),
        }
        daemons
    }

    /// Notices that backend servers gave in their responses: of leaving servers those to any
    /// daemon, of pushbacks those to this one.
    pub fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records servers that are leaving, as other daemons report. A server that is not listed is
    /// left out; otherwise two daemons would report it to each other for ever.
    pub fn accept_leaving(&self, servers: &[Arc<str>]) {
        if servers.is_empty() {
            return;
        }
        let roster = self.roster.load();
        for server in servers.iter().filter(|server| roster.find(server).is_some()) {
            if self.notices().record_leaving(identity::now(), server) {
                info!("event=server_leaving server={server} told_by=peer");
            }
        }
    }

    /// Drops notices that no longer matter.
    pub fn clean_up_notices(&self) {
        let roster = self.roster.load();
        self.notices().clean_up(identity::now(), |name| roster.find(name).is_some());
    }

    /// Time until the first server of a pool and role takes requests again; `None` unless all of
    /// them that take work are pushing back, or have to be waited for by `other_wait`.
    pub fn pushback(
        &self,
        pool: &str,
        role: Role,
        other_wait: impl Fn(&str) -> Option<Duration>,
    ) -> Option<Duration> {
        let roster = self.roster.load();
        let servers = roster.instances.iter().filter(|instance| {
            instance.role == role && &*instance.pool == pool && !self.is_leaving(instance, &[])
        });
        let mut shortest = None;
        for server in servers {
            let left = self.notices().pushback_left(identity::now(), &server.name);
            let left = left.max(other_wait(&server.name))?;
            shortest = Some(shortest.map_or(left, |shortest: Duration| shortest.min(left)));
        }
        shortest
    }

    /// Whether a backend server takes no new work: because the instance list, an operator's drain,
    /// the server's own report or one of its responses says that it is leaving.
    pub fn is_leaving(&self, instance: &Instance, self_reported_leaving: &[Arc<str>]) -> bool {
        let config = self.config.load();
        let is_drained = config
            .as_ref()
            .is_some_and(|snapshot| snapshot.version.drained.contains(&instance.name));
        !instance.is_live()
            || is_drained
            || self_reported_leaving.contains(&instance.name)
            || self.notices().is_leaving(&instance.name)
    }

    /// Whether a backend server is listed and takes new work. Servers' load reports are not looked
    /// at.
    pub fn takes_work(&self, server: &str) -> bool {
        let roster = self.roster.load();
        roster.find(server).is_some_and(|listed| !self.is_leaving(listed, &[]))
    }

    /// Listed servers of a pool in one role, live ones and leaving ones.
    pub fn members(
        &self,
        pool: &str,
        role: Role,
        self_reported_leaving: &[Arc<str>],
    ) -> Vec<shard::Member> {
        let roster = self.roster.load();
        let of_pool = roster
            .instances
            .iter()
            .filter(|instance| instance.role == role && &*instance.pool == pool);
        of_pool
            .map(|instance| shard::Member {
                server: admission::Server {
                    name: instance.name.clone(),
                    address: instance.address,
                },
                leaving: self.is_leaving(instance, self_reported_leaving),
            })
            .collect()
    }
}

fn join(problems: Vec<Problem>) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// The daemons of a list, or its backend servers.
fn instances_of(roster: &Roster, is_daemons: bool) -> Vec<Instance> {
    let of_part =
        roster.instances.iter().filter(|instance| (instance.role == Role::Entry) == is_daemons);
    of_part.cloned().collect()
}
