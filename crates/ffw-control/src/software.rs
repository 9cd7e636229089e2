//! Versions of the software of backend servers: what this daemon knows of each server, and which
//! versions each pool had lately.
//!
//! The reader of the store's list fills the table before it publishes the list. For servers that
//! only a peer has listed, that peer is asked.

pub mod record;

use {
    crate::{belief::Beliefs, daemon::Daemon, origin},
    ffw_decide::affinity::{
        Origin,
        history::{self, History, Listed},
    },
    ffw_peer::{link::Answering, service::PeerClient},
    ffw_protocol::{
        belief::Kind,
        instance::{Instance, Role},
        time::Moment,
    },
    ffw_runtime::clock,
    log::{debug, info},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
        time::Duration,
    },
};

pub use ffw_protocol::software::Version;

/// Time for which the version of a server that is no longer listed stays known. Requests that it
/// serves may last that long.
const KEEP_UNLISTED: Duration = Duration::from_secs(600);

/// Time in which the record of versions is usually read after changes of the list may have been
/// missed.
const RECORD_READ_TIME: Duration = Duration::from_secs(1);

/// Timeout of a call to a peer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// What a daemon knows of the software of backend servers. Times are of [`clock::boot_time`].
#[derive(Debug)]
pub struct Software {
    /// In order of server.
    known: RwLock<Vec<Known>>,
    history: Mutex<History>,
    beliefs: Arc<Beliefs>,
    /// Daemons that know the call for versions.
    answering: Answering,
}

#[derive(Clone, Debug)]
struct Known {
    server: Arc<str>,
    version: Version,
    /// When it was last seen in a list.
    listed_at: Moment,
}

impl Software {
    /// Knows nothing yet. `beliefs` tell whether the list of servers is confirmed.
    pub fn new(beliefs: Arc<Beliefs>) -> Software {
        Software {
            known: RwLock::default(),
            history: Mutex::default(),
            beliefs,
            answering: Answering::default(),
        }
    }

    /// Version of a server's software; `None` if it is not known.
    pub fn of(&self, server: &str) -> Option<Version> {
        find(&self.known(), server).cloned()
    }

    /// The only version at which a stream of a pool that callers may still take up can have begun;
    /// `None` if there are several, if not all are known, or if the list of servers is older than
    /// its bound. It holds for streams that began before the list was confirmed, see
    /// [`sole_before`].
    pub fn sole(&self, pool: &str) -> Option<Version> {
        if self.beliefs.is_overdue(Kind::Servers) {
            return None;
        }
        self.sole_listed(pool)
    }

    /// The same, however old the list of servers is.
    fn sole_listed(&self, pool: &str) -> Option<Version> {
        self.history().sole(clock::boot_time(), pool)
    }

    /// Whether the lists that this daemon has seen tell the only version at which such a stream can
    /// have begun, whatever their age. Shortly after changes of the list may have been missed, it
    /// counts as told: the record of versions, which tells what was missed, is about to be read.
    pub fn is_sole_known(&self, pool: &str) -> bool {
        let now = clock::boot_time();
        let history = self.history();
        let is_read_due =
            history.observed_since().is_none_or(|since| now.since(since) < RECORD_READ_TIME);
        history.sole(now, pool).is_some() || is_read_due && !history.has_several(now, pool)
    }

    /// Whether a server is known that states a version.
    pub fn is_any_stated(&self) -> bool {
        self.known().iter().any(|known| known.version != Version::Unstated)
    }

    /// Records the version of a server that a list or a change of it holds.
    pub fn record_server(&self, server: &Instance, version: Version) {
        let now = clock::boot_time();
        let listed = Listed {
            server: server.name.clone(),
            pool: server.pool.clone(),
            version: Some(version.clone()),
        };
        self.history().record_server(now, &listed);
        let mut known = self.known_to_write();
        let new = Known { server: server.name.clone(), version, listed_at: now };
        match known.binary_search_by(|known| known.server.cmp(&server.name)) {
            Ok(index) => known[index] = new,
            Err(index) => known.insert(index, new),
        }
    }

    /// Records what a peer has answered, unless a version of the server is known already.
    fn record_answer(&self, server: &Arc<str>, version: Version) {
        let mut known = self.known_to_write();
        if let Err(index) = known.binary_search_by(|known| known.server.cmp(server)) {
            let listed_at = clock::boot_time();
            known.insert(index, Known { server: server.clone(), version, listed_at });
        }
    }

    /// Records that the whole list is read in place of its changes, so that a server that came and went
    /// since the last read is missed. `is_restored` states that the store was restored from an earlier
    /// copy of itself: then servers may be missing for a time that came after the copy.
    pub fn record_list_read(&self, is_restored: bool) {
        let now = clock::boot_time();
        let mut history = self.history();
        if is_restored {
            history.record_restore(now);
        }
        if !is_restored || self.beliefs.is_overdue(Kind::Servers) {
            history.record_gap(now);
        }
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets servers that have not been listed for [`KEEP_UNLISTED`]. `list` is in order of
    /// server.
    fn forget(&self, now: Moment, list: &[Listed]) {
        self.known_to_write().retain_mut(|known| {
            let found = list.binary_search_by(|listed| listed.server.cmp(&known.server));
            if found.is_ok() {
                known.listed_at = now;
            }
            now.since(known.listed_at) < KEEP_UNLISTED
        });
    }

    fn known(&self) -> RwLockReadGuard<'_, Vec<Known>> {
        self.known.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn known_to_write(&self) -> RwLockWriteGuard<'_, Vec<Known>> {
        self.known.write().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find<'a>(known: &'a [Known], server: &str) -> Option<&'a Version> {
    let found = known.binary_search_by(|known| (*known.server).cmp(server));
    found.ok().map(|index| &known[index].version)
}

/// What the list of servers tells about where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sole {
    /// At this version: no other one can have begun it.
    Version(Version),
    /// Nothing: several versions can have begun it, or not all are known.
    Unknown,
    /// Nothing: the store has not confirmed in time that there is no further version.
    Unconfirmed,
}

/// What the list of servers tells about streams of a pool that began before `since`, within `limit`.
///
/// A server is listed before it gets a request, so a list that the store has confirmed by a call that
/// was sent at `since` or later has the version of each such stream. Whatever this daemon missed
/// before, and however long it stands still afterwards, does not change that.
pub async fn sole_before(daemon: &Daemon, pool: &str, since: Moment, limit: Duration) -> Sole {
    if daemon.software.sole_listed(pool).is_none() {
        return Sole::Unknown;
    }
    if !daemon.beliefs.confirm_servers(since, limit).await {
        return Sole::Unconfirmed;
    }
    daemon.software.sole_listed(pool).map_or(Sole::Unknown, Sole::Version)
}

/// Names of the listed decode servers of a pool, in order.
pub fn decode_servers(daemon: &Daemon, pool: &str) -> Vec<Arc<str>> {
    let roster = daemon.view.roster();
    let is_decode = |listed: &&Instance| listed.role == Role::Decode && &*listed.pool == pool;
    roster.instances.iter().filter(is_decode).map(|listed| listed.name.clone()).collect()
}

/// Whether none of the listed decode servers of a pool states a version.
pub fn is_unstated(daemon: &Daemon, pool: &str) -> bool {
    let servers = decode_servers(daemon, pool);
    let is_unstated = |server: &Arc<str>| daemon.software.of(server) == Some(Version::Unstated);
    !servers.is_empty() && servers.iter().all(is_unstated)
}

/// Listed decode servers of a pool that may not go on with a stream of this origin, in order.
pub fn excluded(daemon: &Daemon, pool: &str, origin: &Origin) -> Vec<Arc<str>> {
    if *origin == Origin::Fresh {
        return Vec::new();
    }
    let mut servers = decode_servers(daemon, pool);
    servers.retain(|server| !origin.allows(daemon.software.of(server).as_ref()));
    servers
}

/// Records the list of servers that the view has, with the versions that are known.
pub fn record_list(daemon: &Daemon) {
    let software = &daemon.software;
    let roster = daemon.view.roster();
    let servers = roster.instances.iter().filter(|instance| instance.role != Role::Entry);
    let config = daemon.view.config();
    let now = clock::boot_time();
    let mut history = software.history();
    if let Some(snapshot) = config {
        history.set_lifetime(history::lifetime(&snapshot.deployment));
    }
    let list: Vec<Listed> = {
        let known = software.known();
        let listed = servers.map(|server| Listed {
            server: server.name.clone(),
            pool: server.pool.clone(),
            version: find(&known, &server.name).cloned(),
        });
        listed.collect()
    };
    let changes = history.record_list(now, &list);
    drop(history);
    if !changes.is_empty() {
        origin::record_versions_changed(daemon);
    }
    for history::Change { pool, version, is_listed } in changes {
        info!("event=software_listed pool={pool} version={version} is_listed={is_listed}");
    }
    software.forget(now, &list);
}

/// Asks a peer that has just answered for the versions of listed servers that are not known, as its
/// list may have come without them, and records the list.
pub async fn learn_from(daemon: &Daemon, address: SocketAddr) {
    let roster = daemon.view.roster();
    let servers = roster.instances.iter().filter(|instance| instance.role != Role::Entry);
    let names = servers.map(|server| server.name.clone());
    let missing: Vec<Arc<str>> =
        names.filter(|server| daemon.software.of(server).is_none()).collect();
    if missing.is_empty() {
        return;
    }
    // In case that the peer does not answer.
    record_list(daemon);
    let asked = missing.clone();
    let calling = async move |peer: PeerClient, context| peer.software_of(context, asked).await;
    let answering = &daemon.software.answering;
    match answering.call(&daemon.peers, address, ASK_TIMEOUT, calling).await {
        Ok(versions) => {
            for (server, version) in missing.iter().zip(versions) {
                if let Some(version) = version {
                    daemon.software.record_answer(server, version);
                }
            }
            record_list(daemon);
        }
        Err(error) => debug!("event=software_not_learned peer={address} error=\"{error}\""),
    }
}
