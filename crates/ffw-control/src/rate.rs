//! Rate limits that backend servers state in their responses.

use {
    crate::{daemon::Daemon, identity},
    ffw_protocol::{
        rate::{Stated, Statement},
        time::Moment,
    },
    log::info,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// What this daemon knows about the limits of servers.
#[derive(Debug, Default)]
pub struct Rates {
    /// In order of name; servers that have stated a limit since this daemon started.
    servers: Mutex<Vec<Server>>,
}

#[derive(Debug)]
struct Server {
    name: Arc<str>,
    /// Requests a second from all daemons; `None` if the server no longer has a limit.
    per_s: Option<f64>,
    stated_at: Moment,
}

impl Rates {
    fn lock(&self) -> MutexGuard<'_, Vec<Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limit that a server has stated last; `None` if it never had one.
    pub fn stated(&self, server: &str) -> Option<Stated> {
        let servers = self.lock();
        let index = servers.binary_search_by(|listed| (*listed.name).cmp(server)).ok()?;
        let listed = &servers[index];
        Some(Stated { per_s: listed.per_s, age: identity::now().since(listed.stated_at) })
    }
}

/// Records what a server's response says about its limit.
pub fn record(daemon: &Daemon, server: &Arc<str>, statement: Statement) {
    let per_s = match statement {
        Statement::Unknown => return,
        Statement::Unlimited => None,
        Statement::PerSecond(per_s) => Some(per_s),
    };
    let now = identity::now();
    let mut servers = daemon.rates.lock();
    let before = match servers.binary_search_by(|listed| listed.name.cmp(server)) {
        Ok(index) => {
            let listed = &mut servers[index];
            listed.stated_at = now;
            std::mem::replace(&mut listed.per_s, per_s)
        }
        Err(_) if per_s.is_none() => return,
        Err(index) => {
            servers.insert(index, Server { name: server.clone(), per_s, stated_at: now });
            None
        }
    };
    drop(servers);
    if before != per_s {
        log_change(daemon, server, before, per_s);
    }
}

fn log_change(daemon: &Daemon, server: &Arc<str>, before: Option<f64>, per_s: Option<f64>) {
    let stated = |per_s: Option<f64>| Stated { per_s, age: Duration::ZERO };
    info!("event=server_limit server={server} per_s={} before={}", stated(per_s), stated(before));
    daemon.metrics.routed.record_limit(server, per_s);
}

/// Forgets servers that are no longer listed.
pub fn clean_up(daemon: &Daemon, is_listed: impl Fn(&str) -> bool) {
    daemon.rates.lock().retain(|server| {
        let is_kept = is_listed(&server.name);
        if !is_kept {
            daemon.metrics.routed.record_limit(&server.name, None);
        }
        is_kept
    });
}
