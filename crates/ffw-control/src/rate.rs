//! Rate limits that backend servers state in their responses, followed by all daemons together.
//!
//! The owner of a pool's shard keeps an account for each limited server of the pool ([`account`]).
//! The other daemons get permits from it, ahead of their requests or for a request that waits
//! ([`request`]). Each exchange carries the latest statement of the server both ways, so that a
//! daemon that hears of a change tells the others.

pub mod account;
pub mod request;

use {
    crate::{daemon::Daemon, identity},
    account::Accounts,
    ffw_decide::permits::Stock,
    ffw_peer::link::Answering,
    ffw_protocol::{
        instance::Role,
        rate::{Stated, Statement},
        time::Moment,
    },
    ffw_runtime::executor,
    log::info,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Limits of servers, the permits that this daemon holds, and the accounts that it keeps.
#[derive(Debug, Default)]
pub struct Rates {
    /// In order of name; servers that have stated a limit since this daemon started.
    servers: Mutex<Vec<Server>>,
    /// Accounts for all daemons.
    accounts: Accounts,
    /// Accounts that this daemon uses alone while it reaches no owner.
    isolated: Accounts,
    /// Daemons that have answered a request for permits, and so know the call.
    answering: Answering,
}

#[derive(Debug)]
struct Server {
    name: Arc<str>,
    /// Requests a second from all daemons; `None` if the server no longer has a limit.
    per_s: Option<f64>,
    stated_at: Moment,
    stock: Stock,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Rates {
    /// Acts on a server that has a limit; `None` if it has none.
    fn with_limited<T>(&self, server: &str, act: impl FnOnce(&mut Server) -> T) -> Option<T> {
        let mut servers = lock(&self.servers);
        let index = servers.binary_search_by(|listed| (*listed.name).cmp(server)).ok()?;
        let listed = &mut servers[index];
        listed.per_s.is_some().then(|| act(listed))
    }

    /// The limit of a server, in requests a second from all daemons; `None` if it has none.
    pub fn limit(&self, server: &str) -> Option<f64> {
        self.with_limited(server, |listed| listed.per_s)?
    }

    /// Whether a request may be sent to a server now: it has no limit, or a permit is at hand.
    pub fn has_room(&self, server: &str) -> bool {
        let now = identity::now();
        self.with_limited(server, |listed| listed.stock.has_permit(now)).unwrap_or(true)
    }

    /// Time after which a limited server can be expected to take a request; `None` if it may do so
    /// now.
    pub fn wait(&self, server: &str) -> Option<Duration> {
        let now = identity::now();
        self.with_limited(server, |listed| {
            let has_permit = listed.stock.has_permit(now);
            listed.stock.wait(now, Duration::ZERO).filter(|_| !has_permit)
        })?
    }

    /// Servers that take no request now because of their limit, in order.
    pub fn exhausted(&self) -> Vec<Arc<str>> {
        let now = identity::now();
        let mut servers = lock(&self.servers);
        let limited = servers.iter_mut().filter(|listed| listed.per_s.is_some());
        let exhausted = limited.filter_map(|listed| {
            let is_exhausted =
                !listed.stock.has_permit(now) && listed.stock.wait(now, Duration::ZERO).is_some();
            is_exhausted.then(|| listed.name.clone())
        });
        exhausted.collect()
    }

    /// Uses a permit for a request to a server; `None` if the server has no limit.
    fn take(&self, server: &str) -> Option<bool> {
        let now = identity::now();
        self.with_limited(server, |listed| listed.stock.take(now))
    }

    /// Gives up a permit whose request was not sent.
    pub fn give_up(&self, server: &str) {
        self.with_limited(server, |listed| listed.stock.give_up());
    }

    fn stated(&self, server: &str) -> Option<Stated> {
        let servers = lock(&self.servers);
        let index = servers.binary_search_by(|listed| (*listed.name).cmp(server)).ok()?;
        let listed = &servers[index];
        Some(Stated { per_s: listed.per_s, age: identity::now().since(listed.stated_at) })
    }

    /// Records a statement, unless a later one is known; returns whether the limit changed, and
    /// from what.
    fn record(&self, server: &Arc<str>, stated: Stated) -> Option<Option<f64>> {
        let stated_at = identity::now() - stated.age;
        let mut servers = lock(&self.servers);
        match servers.binary_search_by(|listed| listed.name.cmp(server)) {
            Ok(index) if servers[index].stated_at <= stated_at => {
                let listed = &mut servers[index];
                listed.stated_at = stated_at;
                let before = std::mem::replace(&mut listed.per_s, stated.per_s);
                if before.is_none() || stated.per_s.is_none() {
                    listed.stock = Stock::default();
                }
                (before != stated.per_s).then_some(before)
            }
            Err(index) if stated.per_s.is_some() => {
                let (name, per_s) = (server.clone(), stated.per_s);
                servers.insert(index, Server { name, per_s, stated_at, stock: Stock::default() });
                Some(None)
            }
            _ => None,
        }
    }
}

/// Records what a server's response says about its limit. A change is reported to the daemon that
/// keeps the account.
pub fn record(daemon: &Arc<Daemon>, server: &Arc<str>, statement: Statement) {
    let per_s = match statement {
        Statement::Unknown => return,
        Statement::Unlimited => None,
        Statement::PerSecond(per_s) => Some(per_s),
    };
    let stated = Stated { per_s, age: Duration::ZERO };
    if record_stated(daemon, server, stated, "response") {
        let (daemon, server) = (daemon.clone(), server.clone());
        executor::detach(async move {
            request::send(&daemon, &server, 0, Duration::ZERO).await;
        });
    }
}

/// Records a statement; returns whether the limit changed.
fn record_stated(daemon: &Daemon, server: &Arc<str>, stated: Stated, told_by: &str) -> bool {
    let Some(before) = daemon.rates.record(server, stated) else { return false };
    let before = Stated { per_s: before, age: Duration::ZERO };
    info!(
        "event=server_limit server={server} per_s={stated} before={before} told_by={told_by} \
         age_ms={}",
        stated.age.as_millis()
    );
    daemon.metrics.routed.record_limit(server, stated.per_s);
    true
}

/// Uses a permit that is at hand for a request to a server; returns whether the request may be
/// sent.
pub fn take(daemon: &Daemon, server: &str) -> bool {
    let taken = daemon.rates.take(server);
    if taken == Some(true) {
        daemon.metrics.routed.record_limited(server, true);
    }
    taken.unwrap_or(true)
}

/// Time until a server of a pool and role takes requests; `None` unless all of them that take work
/// are pushing back or have used up their limits.
pub fn pushback(daemon: &Daemon, pool: &str, role: Role) -> Option<Duration> {
    daemon.view.pushback(pool, role, |server| daemon.rates.wait(server))
}

/// Forgets servers that are no longer listed.
pub fn clean_up(daemon: &Daemon, is_listed: impl Fn(&str) -> bool) {
    daemon.rates.accounts.retain(&is_listed);
    daemon.rates.isolated.retain(&is_listed);
    lock(&daemon.rates.servers).retain(|server| {
        let is_kept = is_listed(&server.name);
        if !is_kept {
            daemon.metrics.routed.forget_server(&server.name);
        }
        is_kept
    });
}
