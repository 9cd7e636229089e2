//! Daemons that did not answer in time. A suspect is passed over in the order of ownership until a
//! probe reaches it again.

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

/// Time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Names of the suspects.
#[derive(Debug, Default)]
pub struct List {
    suspects: Mutex<Vec<Suspect>>,
}

/// A daemon that did not answer.
#[derive(Clone, Debug)]
struct Suspect {
    name: Arc<str>,
    since: Instant,
}

impl List {
    /// The names, in order.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.lock().iter().map(|one| one.name.clone()).collect()
    }

    /// Names of those that have been suspects for longer than a span, in order.
    pub fn names_since(&self, span: Duration) -> Vec<Arc<str>> {
        let suspects = self.lock();
        let old = suspects.iter().filter(|one| one.since.elapsed() >= span);
        old.map(|one| one.name.clone()).collect()
    }

    fn insert(&self, name: &Arc<str>) -> bool {
        let mut suspects = self.lock();
        match suspects.binary_search_by(|one| one.name.cmp(name)) {
            Ok(_) => false,
            Err(at) => {
                suspects.insert(at, Suspect { name: name.clone(), since: Instant::now() });
                true
            }
        }
    }

    fn remove(&self, name: &Arc<str>) {
        self.lock().retain(|one| one.name != *name);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Suspect>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Suspects a daemon until a probe reaches it or it has left the instance list.
pub fn suspect(daemon: &Arc<Daemon>, name: &Arc<str>, address: SocketAddr) {
    if !daemon.suspects.insert(name) {
        return;
    }
    warn!("event=peer_suspected peer={name}");
    let (daemon, name) = (daemon.clone(), name.clone());
    executor::detach(async move {
        loop {
            timer::sleep(PROBE_PERIOD).await;
            let is_listed = daemon.view.roster().instances.iter().any(|one| one.name == name);
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
