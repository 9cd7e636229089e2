//! Remembers at which software version streams began, together with the other daemons.
//!
//! The daemon that relays a stream's first event records the version and sends the record to the
//! first daemons in the order of [`placement`]. A daemon whose caller takes the stream up asks the
//! daemons of that order, as the one that relayed the stream may have ended. What none of them
//! knows is looked up in the [`archive`], which outlives all daemons, and is unknown otherwise.

pub mod archive;
mod lookup;
mod outbox;

use {
    crate::{daemon::Daemon, identity},
    ffw_decide::{
        origin::{
            Memory,
            began::Began,
            placement::{self, Targets},
        },
        retry,
    },
    ffw_peer::link::Answering,
    ffw_protocol::{
        instance::Instance,
        origin::{Key, Record},
        software::Version,
        time::Moment,
    },
    ffw_runtime::{clock, signal::Signal},
    outbox::Outboxes,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
        time::Duration,
    },
};

/// Time for which a record is kept: longer than a stream and the time until its caller takes it up.
pub const LIFETIME: Duration = Duration::from_secs(120);

/// Groups of streams whose records are at the same daemons. Each needs an order of all daemons in
/// memory.
const GROUPS: u64 = 64;

/// Shortest and longest time for which a peer that has never answered is passed over. The time
/// doubles with each call that fails. The peer may be starting, or be of an earlier build.
const SILENT_PEER_PAUSE_MIN: Duration = Duration::from_millis(250);
const SILENT_PEER_PAUSE_MAX: Duration = Duration::from_secs(5);

/// Records of this daemon and for other daemons.
#[derive(Debug)]
pub struct Origins {
    memory: Mutex<Memory>,
    outboxes: Outboxes,
    /// Daemons that have answered such a call, and so know it.
    answering: Answering,
    /// Daemons that failed without having answered before.
    silent: Mutex<Vec<Silent>>,
    /// Streams of this daemon that may be taken up. Times are of [`clock::boot_time`].
    began: Mutex<Began>,
    /// Tells that a stream has begun, or that the versions of listed servers have changed.
    changed: Signal,
    /// Questions to the task that reads the archive; none is set if there is no archive.
    questions: OnceLock<smol::channel::Sender<archive::Question>>,
}

/// A daemon that failed without having answered before. It may be starting, or of an earlier build.
#[derive(Debug)]
struct Silent {
    name: Arc<str>,
    address: SocketAddr,
    until: Moment,
    failures: u32,
}

impl Default for Origins {
    fn default() -> Origins {
        Origins {
            memory: Mutex::new(Memory::new(LIFETIME)),
            outboxes: Outboxes::default(),
            answering: Answering::default(),
            silent: Mutex::default(),
            began: Mutex::new(Began::new(LIFETIME)),
            changed: Signal::default(),
            questions: OnceLock::new(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records the version of the server that wrote the first event of an attempt, here and, in the
/// background, at the replicas and in the archive. Does nothing for a server that states no version:
/// where no server states one, there is nothing to tell apart.
pub fn record(daemon: &Arc<Daemon>, pool: &Arc<str>, request: &str, software: Version) {
    if software == Version::Unstated {
        return;
    }
    let record = Record { key: Key::new(pool, request), software };
    remember(daemon, std::slice::from_ref(&record));
    lock(&daemon.origins.began).record(clock::boot_time(), pool, &record);
    daemon.origins.changed.notify();
    let ranked = ranked(daemon, record.key);
    let own = &daemon.identity.instance;
    let Targets { replicas, spares } = placement::targets(&ranked, own, &passed_over(daemon));
    outbox::send(daemon, record, replicas, spares);
}

/// Records that the stream of an attempt has come to its end, so that its caller won't take it up.
pub fn record_end(daemon: &Daemon, pool: &str, request: &str) {
    let mut began = lock(&daemon.origins.began);
    if !began.is_empty() {
        began.remove(Key::new(pool, request));
    }
}

/// Records that the versions of listed servers have changed: streams that began before may have to
/// be archived now.
pub(crate) fn record_versions_changed(daemon: &Daemon) {
    daemon.origins.changed.notify();
}

/// The version at which the stream of an attempt began, as the archive has it; `None` if it is not
/// known, or not within `limit`.
pub async fn find_archived(
    daemon: &Daemon,
    pool: &str,
    request: &str,
    limit: Duration,
) -> Option<Version> {
    archive::read(daemon, limit).await;
    recall(daemon, Key::new(pool, request))
}

/// The version at which the stream of an attempt began; `None` if it is not known, or not within
/// `limit`. Asks other daemons unless this one knows, so it is for pools only of which at least one
/// server states a version.
pub async fn find(
    daemon: &Arc<Daemon>,
    pool: &Arc<str>,
    request: &str,
    limit: Duration,
) -> Option<Version> {
    lookup::find(daemon, pool, request, limit).await
}

/// Accepts records of a peer.
pub fn accept(daemon: &Daemon, records: &[Record]) -> bool {
    remember(daemon, records);
    true
}

/// The version that this daemon remembers for a key.
pub fn recall(daemon: &Daemon, key: Key) -> Option<Version> {
    lock(&daemon.origins.memory).find(identity::now(), key)
}

fn remember(daemon: &Daemon, records: &[Record]) {
    let now = identity::now();
    let mut memory = lock(&daemon.origins.memory);
    for record in records {
        memory.record(now, record);
    }
    daemon.metrics.routed.origins_held.set(memory.len() as i64);
}

/// The live daemons in rendezvous order for a key.
fn ranked(daemon: &Daemon, key: Key) -> Arc<[Instance]> {
    daemon.view.ranked(&format!("origin/{}", key.0 % GROUPS))
}

/// Names of the daemons that are not written to, and asked last.
fn passed_over(daemon: &Daemon) -> Vec<Arc<str>> {
    let now = identity::now();
    let mut names = daemon.suspects.names();
    let silent = lock(&daemon.origins.silent);
    names.extend(silent.iter().filter(|peer| peer.until > now).map(|peer| peer.name.clone()));
    names
}

impl Origins {
    /// Records that a peer failed that had not answered before.
    fn record_silence(&self, peer: &Instance) {
        let now = identity::now();
        let mut silent = lock(&self.silent);
        silent.retain(|listed| now.since(listed.until) < SILENT_PEER_PAUSE_MAX);
        let index = silent.iter().position(|listed| listed.address == peer.address);
        let index = index.unwrap_or_else(|| {
            let (name, address) = (peer.name.clone(), peer.address);
            silent.push(Silent { name, address, until: now, failures: 0 });
            silent.len() - 1
        });
        let listed = &mut silent[index];
        listed.failures += 1;
        let pause = retry::delay(listed.failures, SILENT_PEER_PAUSE_MIN, SILENT_PEER_PAUSE_MAX);
        listed.until = now + pause;
    }

    /// Records that a peer has answered.
    fn record_answer(&self, peer: &Instance) {
        lock(&self.silent).retain(|listed| listed.address != peer.address);
    }
}
