//! The entry of this daemon in the store, from which other daemons learn its address.
//!
//! The entry is written once this daemon can decide as an owner about requests that came to other
//! daemons, and removed at shutdown. Entries of daemons that ended without removing them are
//! removed by one of the remaining daemons. If the entry of a running daemon was removed in this
//! way, the daemon writes it again.

use {
    crate::daemon::Daemon,
    ffw_protocol::{error::Result, instance::Instance},
    ffw_runtime::timer,
    log::{debug, info, warn},
    smol::Task,
    std::{fmt, future::Future, pin::Pin, sync::Arc, time::Duration},
};

/// Pause before the second attempt to write the entry; doubles with each further failure.
const RETRY_FIRST: Duration = Duration::from_millis(300);

/// Longest pause between two attempts to write the entry.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// Period at which the view is checked for completeness before the first write.
const VIEW_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Period at which entries of unreachable daemons are removed.
const CLEANUP_PERIOD: Duration = Duration::from_secs(5);

/// Time for which a daemon must have been unreachable before its entry is removed.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(12);

/// Time limit for the removal of the entry at shutdown.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(400);

/// Key for which the first daemon in rendezvous order removes the entries of unreachable ones.
const CLEANUP_KEY: &str = "fireflyworks-daemons";

/// Future result of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// Functions that write and remove the entries of daemons in the store. Clones share them.
#[derive(Clone)]
pub struct Storage {
    /// Writes the entry of a daemon, whether or not it exists.
    pub write: Arc<dyn Fn(Instance) -> StoreFuture<()> + Send + Sync>,
    /// Removes the entry of this name; returns whether there was one.
    pub remove: Arc<dyn Fn(Arc<str>) -> StoreFuture<bool> + Send + Sync>,
}

impl fmt::Debug for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Storage")
    }
}

/// Writes the entry of this daemon.
///
/// Waits until the view has a configuration, the servers and the daemons, because without them this
/// daemon can't decide about requests that came to other daemons. Then tries until the store has
/// accepted the entry, or this daemon shuts down.
pub async fn announce(storage: Storage, daemon: Arc<Daemon>, own: Instance) {
    while !daemon.view.is_complete() && !daemon.is_draining() {
        timer::sleep(VIEW_CHECK_PERIOD).await;
    }
    if !write_until_accepted(&storage, &daemon, &own).await {
        return;
    }
    info!(
        "event=announced instance={} address={} capacity={}",
        own.name, own.address, own.capacity
    );
    daemon.view.add_self(own);
}

/// Writes the entry of this daemon after another daemon has removed it.
pub async fn restore(storage: Storage, daemon: Arc<Daemon>, own: Instance) {
    if write_until_accepted(&storage, &daemon, &own).await {
        info!("event=announced_again instance={}", own.name);
    }
}

/// Writes an entry until the store has accepted it; returns false if this daemon shuts down before.
async fn write_until_accepted(storage: &Storage, daemon: &Daemon, own: &Instance) -> bool {
    let mut pause = RETRY_FIRST;
    while !daemon.is_draining() {
        let Err(error) = (storage.write)(own.clone()).await else { return true };
        warn!("event=announce_failed error=\"{error}\"");
        timer::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
    false
}

/// Periodically removes the entries of daemons that have been unreachable for
/// [`UNREACHABLE_LIMIT`], until this daemon shuts down. Only one daemon does this, on behalf of
/// all: the first in the rendezvous order for [`CLEANUP_KEY`], without the daemons that this
/// daemon suspects to be unreachable.
pub async fn remove_unreachable(storage: Storage, daemon: Arc<Daemon>) {
    loop {
        timer::sleep(CLEANUP_PERIOD).await;
        if daemon.is_draining() {
            return;
        }
        let unreachable = daemon.suspects.names_older_than(UNREACHABLE_LIMIT);
        let suspects = daemon.suspects.names();
        let ranked = daemon.view.ranked(CLEANUP_KEY);
        let first = ranked.iter().find(|instance| !suspects.contains(&instance.name));
        if first.is_none_or(|instance| instance.name != daemon.identity.instance) {
            continue;
        }
        for name in unreachable {
            match (storage.remove)(name.clone()).await {
                Ok(true) => {
                    let silent_s = UNREACHABLE_LIMIT.as_secs();
                    info!("event=daemon_unlisted name={name} silent_s={silent_s}");
                }
                Ok(false) => {}
                Err(error) => debug!("event=unlist_failed name={name} error=\"{error}\""),
            }
        }
    }
}

/// Waits until the task that writes the entry named `name` has ended, as it does during a shutdown,
/// and removes the entry; a write that is under way could otherwise take effect after the removal.
/// Gives up after [`REMOVE_TIMEOUT`], so that an unavailable store does not delay the shutdown.
pub async fn withdraw(storage: &Storage, name: &Arc<str>, announcing: Task<()>) {
    let withdrawing = async {
        announcing.await;
        if let Err(error) = (storage.remove)(name.clone()).await {
            info!("event=retire_failed error=\"{error}\"");
        }
    };
    if timer::timeout(REMOVE_TIMEOUT, withdrawing).await.is_none() {
        info!("event=retire_failed error=\"the store did not respond in time\"");
    }
}
