//! What the path of a request reads without a lock: the configuration in force and the instance
//! list, replaced as a whole.

use {
    arc_swap::{ArcSwap, ArcSwapOption},
    ffw_decide::{config, order::Floor, rendezvous, shard},
    ffw_peer::service::{Roster, Versions},
    ffw_protocol::{
        admission,
        config::Version,
        declaration::{Deployment, Pool, Service, Workspace},
        instance::{Instance, Role},
        route::{self, Limits, Route},
    },
    log::{error, info},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// A configuration version, parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The version with its account.
    pub version: Version,
    /// Hash of the version.
    pub hash: Arc<str>,
    /// Its declaration.
    pub deployment: Deployment,
    /// Indices of the workspaces, in order of their keys' digests.
    by_key: Vec<usize>,
}

impl Snapshot {
    /// Parses a version.
    ///
    /// # Errors
    /// What is wrong with its declaration, in words.
    pub fn new(version: Version) -> Result<Snapshot, String> {
        let mut deployment = version.deployment().map_err(|problems| {
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
        })?;
        route::sort(&mut deployment.routes);
        let mut by_key: Vec<usize> = (0..deployment.workspaces.len()).collect();
        by_key.sort_by(|a, b| {
            let digest = |index: &usize| &deployment.workspaces[*index].key_sha256;
            digest(a).cmp(digest(b))
        });
        Ok(Snapshot { hash: version.hash(), deployment, version, by_key })
    }

    /// The workspace whose key has this digest.
    pub fn workspace_of_key(&self, digest: &str) -> Option<&Workspace> {
        let workspaces = &self.deployment.workspaces;
        let found =
            self.by_key.binary_search_by(|index| (*workspaces[*index].key_sha256).cmp(digest));
        found.ok().map(|at| &workspaces[self.by_key[at]])
    }

    /// The route of a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        route::find(&self.deployment.routes, host, path)
    }

    /// Bounds of what callers of routes may send.
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
            result_life: Duration::from_millis(u64::from(pool.result_ms)),
            floors: classes.map(|class| Floor { rank: class.rank, share: class.floor }).collect(),
        }
    }

    /// The service through which a workspace reaches a model.
    pub fn service_of_model(&self, allowed: &[Arc<str>], model: &str) -> Option<&Service> {
        let services = allowed.iter().filter_map(|name| self.deployment.service(name));
        let serves = |service: &&Service| {
            let pool = self.deployment.pool(&service.pool);
            pool.and_then(|pool| pool.model.as_deref()) == Some(model)
        };
        services.into_iter().find(serves)
    }
}

/// The shared state.
#[derive(Debug, Default)]
pub struct View {
    config: ArcSwapOption<Snapshot>,
    roster: ArcSwap<Roster>,
    write: Mutex<()>,
    rankings: Mutex<Vec<Ranking>>,
    /// This daemon, once it is listed for others.
    own: Mutex<Option<Instance>>,
}

/// The daemons in rendezvous order for one key, at one version of the instance list.
#[derive(Clone, Debug)]
struct Ranking {
    key: Arc<str>,
    /// Version of the daemons in the list.
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

    /// Takes a version over if it is newer; answers whether it was.
    pub fn offer(&self, version: Version) -> bool {
        let _write = self.write.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.config.load_full();
        if !config::supersedes(known.as_ref().map(|one| &one.version), &version) {
            return false;
        }
        let (number, change) = (version.number, version.change.clone());
        match Snapshot::new(version) {
            Ok(snapshot) => {
                self.config.store(Some(Arc::new(snapshot)));
                info!("event=config_in_force version={number} change={change}");
                true
            }
            Err(problems) => {
                error!("event=config_unusable version={number} problems=\"{problems}\"");
                false
            }
        }
    }

    /// Versions that this daemon knows.
    pub fn versions(&self) -> Versions {
        let roster = self.roster.load();
        Versions { config: self.config_number(), servers: roster.servers, daemons: roster.daemons }
    }

    /// The instance list.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.load_full()
    }

    /// Takes over each part of an instance list that is newer; answers whether one was.
    pub fn offer_roster(&self, offered: Roster) -> bool {
        let _write = self.write.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.roster.load();
        if !offered.is_newer_than(&self.versions()) {
            return false;
        }
        let newer = |is_newer: bool| if is_newer { &offered } else { &**known };
        let daemons = newer(offered.daemons > known.daemons);
        let servers = newer(offered.servers > known.servers);
        let mut instances = part(daemons, true);
        instances.extend(part(servers, false));
        self.store_roster(servers.servers, daemons.daemons, instances);
        true
    }

    /// Takes over the backend servers as this daemon itself read them at a version, unless it has
    /// newer ones from a peer. While removals are held back, the version stays what it was, so that
    /// no peer takes the list for news; and what a peer has said to be gone stays gone.
    pub fn replace_servers(&self, version: u64, held: &[Arc<str>], servers: Vec<Instance>) {
        let _write = self.write.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.roster.load();
        if version < known.servers {
            return;
        }
        let version = if held.is_empty() { version } else { known.servers };
        let is_listed =
            |name: &Arc<str>| known.instances.binary_search_by(|one| one.name.cmp(name)).is_ok();
        let is_known_gone = |name: &Arc<str>| held.binary_search(name).is_ok() && !is_listed(name);
        let mut instances = part(&known, true);
        instances.extend(servers.into_iter().filter(|one| !is_known_gone(&one.name)));
        self.store_roster(version, known.daemons, instances);
    }

    /// Whether this daemon knows enough to decide for others: configuration, servers and daemons.
    pub fn is_informed(&self) -> bool {
        let known = self.versions();
        known.config > 0 && known.servers > 0 && known.daemons > 0
    }

    /// Counts this daemon among the daemons from now on, before the platform's list names it here:
    /// others may have read it there already.
    pub fn list_own(&self, own: Instance) {
        let _write = self.write.lock().unwrap_or_else(PoisonError::into_inner);
        *self.own.lock().unwrap_or_else(PoisonError::into_inner) = Some(own);
        let known = self.roster.load();
        self.store_roster(known.servers, known.daemons, known.instances.clone());
        self.rankings.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// This daemon, once it is listed for others.
    pub fn own(&self) -> Option<Instance> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn store_roster(&self, servers: u64, daemons: u64, mut instances: Vec<Instance>) {
        if let Some(own) = self.own().filter(|own| instances.iter().all(|one| one.name != own.name))
        {
            instances.push(own);
        }
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        self.roster.store(Arc::new(Roster { servers, daemons, instances }));
    }

    /// Changes one instance of the list, as a watch of the platform reports it.
    pub fn record_instance(&self, version: u64, name: &str, instance: Option<Instance>) {
        let _write = self.write.lock().unwrap_or_else(PoisonError::into_inner);
        let mut roster = Roster::clone(&self.roster.load());
        if version <= roster.servers && version <= roster.daemons {
            return;
        }
        roster.servers = roster.servers.max(version);
        roster.daemons = roster.daemons.max(version);
        match (roster.instances.binary_search_by(|one| (*one.name).cmp(name)), instance) {
            (Ok(at), Some(instance)) => roster.instances[at] = instance,
            (Ok(at), None) => drop(roster.instances.remove(at)),
            (Err(at), Some(instance)) => roster.instances.insert(at, instance),
            (Err(_), None) => {}
        }
        self.roster.store(Arc::new(roster));
    }

    /// The live daemons in rendezvous order for a key. Ranked once for each version of the list.
    pub fn ranked(&self, key: &str) -> Arc<[Instance]> {
        let roster = self.roster.load();
        let mut rankings = self.rankings.lock().unwrap_or_else(PoisonError::into_inner);
        let found = rankings.binary_search_by(|one| (*one.key).cmp(key));
        if let Ok(at) = found
            && rankings[at].version == roster.daemons
        {
            return rankings[at].daemons.clone();
        }
        let ranked = rendezvous::rank(key, &roster.instances).into_iter();
        let daemons: Arc<[Instance]> = ranked.cloned().collect();
        let version = roster.daemons;
        let ranking = Ranking { key: key.into(), version, daemons: daemons.clone() };
        match found {
            Ok(at) => rankings[at] = ranking,
            Err(at) => rankings.insert(at, ranking),
        }
        daemons
    }

    /// Whether a backend server takes no new work: by the list, an operator, or its own word.
    pub fn is_leaving(&self, instance: &Instance, self_reported_leaving: &[Arc<str>]) -> bool {
        let drained = self.config.load();
        let is_drained =
            drained.as_ref().is_some_and(|one| one.version.drained.contains(&instance.name));
        !instance.is_live() || is_drained || self_reported_leaving.contains(&instance.name)
    }

    /// Whether the list names a backend server that takes new work.
    pub fn takes_work(&self, server: &str) -> bool {
        let roster = self.roster.load();
        let found = roster.instances.binary_search_by(|one| (*one.name).cmp(server));
        found.is_ok_and(|at| !self.is_leaving(&roster.instances[at], &[]))
    }

    /// Members of a pool in one role.
    pub fn members(
        &self,
        pool: &str,
        role: Role,
        self_reported_leaving: &[Arc<str>],
    ) -> Vec<shard::Member> {
        let roster = self.roster.load();
        let of_pool = roster.instances.iter().filter(|one| one.role == role && &*one.pool == pool);
        of_pool
            .map(|one| shard::Member {
                server: admission::Server { name: one.name.clone(), address: one.address },
                leaving: self.is_leaving(one, self_reported_leaving),
            })
            .collect()
    }
}

/// The daemons or the backend servers of a list.
fn part(roster: &Roster, is_daemons: bool) -> Vec<Instance> {
    let of_part = roster.instances.iter().filter(|one| (one.role == Role::Entry) == is_daemons);
    of_part.cloned().collect()
}
