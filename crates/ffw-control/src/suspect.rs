//! Daemons that did not answer in time or are shutting down. A suspect is left out of the
//! rendezvous order until it answers a probe and is not shutting down, so that the requests of a
//! failed owner reach the next daemon.

use {
    crate::daemon::Daemon,
    ffw_runtime::{executor, timer},
    log::{info, warn},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Period between two probes of a suspect.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The suspects, in order of name.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: Mutex<Vec<Suspect>>,
}

/// A daemon that did not answer in time or is shutting down.
#[derive(Clone, Debug)]
struct Suspect {
    name: Arc<str>,
    since: Instant,
}

impl Suspects {
    /// Names of the suspects, in order.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.lock().iter().map(|suspect| suspect.name.clone()).collect()
    }

    /// Names of the daemons that have been suspects for at least a span, in order.
    pub fn names_older_than(&self, span: Duration) -> Vec<Arc<str>> {
        let suspects = self.lock();
        let old = suspects.iter().filter(|suspect| suspect.since.elapsed() >= span);
        old.map(|suspect| suspect.name.clone()).collect()
    }

    /// Adds a suspect; returns whether it was not one before.
    fn insert(&self, name: &Arc<str>) -> bool {
        let mut suspects = self.lock();
        match suspects.binary_search_by(|suspect| suspect.name.cmp(name)) {
            Ok(_) => false,
            Err(index) => {
                suspects.insert(index, Suspect { name: name.clone(), since: Instant::now() });
                true
            }
        }
    }

    fn remove(&self, name: &Arc<str>) {
        self.lock().retain(|suspect| suspect.name != *name);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Suspect>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Suspects a daemon until it answers a probe and is not shutting down, or has left the instance
/// list.
pub fn suspect(daemon: &Arc<Daemon>, name: &Arc<str>, address: SocketAddr) {
    if !daemon.suspects.insert(name) {
        return;
    }
    warn!("event=peer_suspected peer={name}");
    let (daemon, name) = (daemon.clone(), name.clone());
    executor::detach(async move {
        loop {
            timer::sleep(PROBE_PERIOD).await;
            let is_listed =
                daemon.view.roster().instances.iter().any(|instance| instance.name == name);
            let probe = daemon.peers.call(address, PROBE_TIMEOUT, async move |peer, context| {
                peer.status(context).await
            });
            if !is_listed || probe.await.is_ok_and(|status| !status.is_draining) {
                break;
            }
        }
        daemon.suspects.remove(&name);
        info!("event=peer_cleared peer={name}");
    });
}
